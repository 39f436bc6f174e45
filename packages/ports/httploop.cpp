#include "ports/httploop.h"

#include "ports/httprequest.h"
#include "util/threadname.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/intrusive/list.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <optional>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace Catkin
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using SteadyTime = std::chrono::steady_clock::time_point;
using Parser = http::response_parser<http::string_body>;

/// Largest header of a reply, in bytes.
constexpr auto maxReplyHeader = std::uint32_t{16} << 10U;
/// Shared by all connections, because only one is read at a time.
constexpr auto inputSize = std::size_t{64} << 10U;

/// @return whether @p text can stand in a line of a request's header.
auto isHeaderText(std::string_view text) -> bool
{
    return std::none_of(text.begin(), text.end(), [](unsigned char c) { return c < ' ' && c != '\t'; });
}

/// @return the request as sent; nothing if a part of it would break its header.
auto encodeRequest(const HttpCall &call, const std::string &address) -> std::optional<std::string>
{
    auto out = call.method + " " + call.path + " HTTP/1.1\r\nHost: " + address + "\r\nContent-Length: " + std::to_string(call.body.size()) + "\r\n";
    if (!call.body.empty()) {
        out += "Content-Type: " + call.contentType + "\r\n";
    }
    auto sound = isHeaderText(call.method) && isHeaderText(call.path) && isHeaderText(call.contentType);
    for (const auto &[name, value] : call.headers) {
        sound = sound && isHeaderText(name) && isHeaderText(value);
        out.append(name).append(": ").append(value).append("\r\n");
    }
    out += "\r\n" + call.body;
    return sound ? std::optional{std::move(out)} : std::nullopt;
}

auto toReply(const Parser::value_type &message) -> HttpReply
{
    auto out = HttpReply{.status = static_cast<int>(message.result_int()), .body = message.body()};
    for (const auto &it : message) {
        auto &value = out.headers[lowerCase(std::string(it.name_string()))];
        value += (value.empty() ? "" : ", ") + std::string(it.value());
    }
    return out;
}

using ListHook = boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

}

/// Handlers that wait hold the channel, so that it lives until the last of them has run.
struct HttpLoopChannel::Impl : std::enable_shared_from_this<HttpLoopChannel::Impl>, ListHook
{
    Impl(std::shared_ptr<HttpLoop::Impl> owner, std::string target);

    auto begin(const HttpCall &call, Callback done) -> void;
    auto connect(Millis limit) -> void;
    auto write() -> void;
    auto waitReadable() -> void;
    auto readable() -> void;
    auto parse(std::string_view data) -> void;
    auto complete() -> void;
    auto inputEnded() -> void;
    auto armTimer() -> void;
    auto timerExpired() -> void;
    auto deadlinePassed() -> void;
    auto fail(Error error) -> void;
    auto failLater(Error error) -> void;
    auto disconnect() -> void;

    std::shared_ptr<HttpLoop::Impl> loop; ///< the socket must not outlive it
    std::string address;
    std::optional<tcp::endpoint> endpoint; ///< nothing if the address cannot be used
    std::string addressError;
    tcp::socket socket;
    asio::steady_timer timer;
    bool connected = false;
    std::uint64_t exchange = 0; ///< number of the exchange
    std::uint64_t connection = 0; ///< number of the connection; handlers of an earlier one do nothing
    std::optional<SteadyTime> timerAt; ///< when the timer expires; nothing while it is not set
    SteadyTime deadline; ///< of the exchange or, while connecting, of the connection
    SteadyTime exchangeDeadline;
    std::string output;
    std::size_t written = 0;
    std::string input; ///< received and not yet parsed
    std::optional<Parser> parser;
    Callback callback; ///< set while an exchange is under way
};

struct HttpLoop::Impl
{
    explicit Impl(const char *threadName)
        : timer(context)
        , work(asio::make_work_guard(context))
        , thread([this, threadName] {
            nameThread(threadName);
            context.run();
        })
    {
    }

    struct Delayed
    {
        SteadyTime at;
        std::function<void()> task;
    };

    static auto isLater(const Delayed &a, const Delayed &b) -> bool
    {
        return a.at > b.at;
    }

    auto runDelayed() -> void;
    auto armTimer() -> void;
    auto dropAll() -> void;

    asio::io_context context{1};
    std::array<char, inputSize> input{};
    boost::intrusive::list<HttpLoopChannel::Impl, boost::intrusive::constant_time_size<false>> channels;
    std::vector<Delayed> delayed; ///< a heap, the earliest first
    asio::steady_timer timer; ///< of the earliest delayed task
    SteadyTime timerAt = SteadyTime::max();
    bool stopping = false;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::thread thread;
};

HttpLoopChannel::Impl::Impl(std::shared_ptr<HttpLoop::Impl> owner, std::string target)
    : loop(std::move(owner))
    , address(std::move(target))
    , socket(loop->context)
    , timer(loop->context)
{
    const auto parts = splitAddress(address);
    if (!parts) {
        addressError = parts.error().message;
        return;
    }
    auto ec = error_code{};
    const auto &[host, port] = parts.value();
    const auto ip = asio::ip::make_address(host.front() == '[' ? host.substr(1, host.size() - 2) : host, ec);
    if (ec) {
        addressError = "not an IP number: " + host;
        return;
    }
    endpoint = tcp::endpoint{ip, static_cast<unsigned short>(port)};
}

auto HttpLoopChannel::Impl::begin(const HttpCall &call, Callback done) -> void
{
    ++exchange;
    callback = std::move(done);
    if (!endpoint) {
        failLater(failure(ErrorCode::InvalidInput, addressError));
        return;
    }
    if (call.timeout.count() <= 0) {
        failLater(failure(ErrorCode::NotSent, "no time left for the exchange"));
        return;
    }
    auto request = encodeRequest(call, address);
    if (!request) {
        failLater(failure(ErrorCode::InvalidInput, "a header of the call has control characters"));
        return;
    }
    output = std::move(*request);
    written = 0;
    parser.emplace();
    parser->eager(true);
    parser->header_limit(maxReplyHeader);
    parser->body_limit(call.maxBody);
    exchangeDeadline = std::chrono::steady_clock::now() + call.timeout;
    deadline = exchangeDeadline;
    if (connected) {
        armTimer();
        write();
    } else {
        connect(std::clamp(call.connectTimeout, Millis{1}, call.timeout));
    }
}

auto HttpLoopChannel::Impl::connect(Millis limit) -> void
{
    deadline = std::chrono::steady_clock::now() + limit;
    armTimer();
    auto ec = error_code{};
    socket.open(endpoint->protocol(), ec);
    if (!ec) {
        socket.non_blocking(true, ec);
    }
    if (ec) {
        failLater(failure(ErrorCode::NotSent, "no socket: " + ec.message()));
        return;
    }
    socket.set_option(tcp::no_delay{true}, ec);
    socket.async_connect(*endpoint, [self = shared_from_this(), number = connection](error_code result) {
        if (number != self->connection) {
            return;
        }
        if (result) {
            self->fail(failure(ErrorCode::NotSent, "no connection: " + result.message()));
            return;
        }
        self->connected = true;
        self->deadline = self->exchangeDeadline;
        self->armTimer();
        self->waitReadable();
        self->write();
    });
}

auto HttpLoopChannel::Impl::write() -> void
{
    auto ec = error_code{};
    written += socket.write_some(asio::buffer(output.data() + written, output.size() - written), ec);
    if (ec && ec != asio::error::would_block) {
        failLater(failure(ErrorCode::Unknown, "the exchange broke off: " + ec.message()));
        return;
    }
    if (written == output.size()) {
        output.clear();
        return;
    }
    socket.async_wait(tcp::socket::wait_write, [self = shared_from_this(), number = connection](error_code) {
        if (number == self->connection) {
            self->write();
        }
    });
}

/// One read waits as long as the connection is open, so that the end of an idle connection is seen.
auto HttpLoopChannel::Impl::waitReadable() -> void
{
    socket.async_wait(tcp::socket::wait_read, [self = shared_from_this(), number = connection](error_code) {
        if (number == self->connection) {
            self->readable();
        }
    });
}

auto HttpLoopChannel::Impl::readable() -> void
{
    auto ec = error_code{};
    const auto n = socket.read_some(asio::buffer(loop->input), ec);
    if (ec == asio::error::would_block) {
        waitReadable();
        return;
    }
    if (ec) {
        inputEnded();
        return;
    }
    const auto number = connection;
    parse({loop->input.data(), n});
    if (number == connection) {
        waitReadable();
    }
}

auto HttpLoopChannel::Impl::parse(std::string_view data) -> void
{
    if (!callback) {
        disconnect(); // nothing was asked
        return;
    }
    input.append(data);
    auto ec = error_code{};
    auto used = std::size_t{0};
    while (!parser->is_done()) {
        const auto n = parser->put(asio::buffer(input.data() + used, input.size() - used), ec);
        used += n;
        if (ec || n == 0) {
            break;
        }
    }
    input.erase(0, used);
    if (ec == http::error::body_limit || ec == http::error::header_limit) {
        fail(failure(ErrorCode::Limit, "the answer is longer than accepted"));
    } else if (ec && ec != http::error::need_more) {
        fail(failure(ErrorCode::Unknown, "the answer is not HTTP: " + ec.message()));
    } else if (parser->is_done()) {
        complete();
    }
}

auto HttpLoopChannel::Impl::complete() -> void
{
    const auto done = std::exchange(callback, nullptr);
    const auto reply = toReply(parser->get());
    // What follows the reply would be taken for the next one, and a reply before the whole request is no answer to it.
    if (!parser->keep_alive() || !input.empty() || written < output.size()) {
        disconnect();
    }
    parser.reset();
    done(reply);
}

auto HttpLoopChannel::Impl::inputEnded() -> void
{
    if (!callback) {
        disconnect();
        return;
    }
    // A reply without a length ends with its connection.
    auto ec = error_code{};
    if (parser->got_some()) {
        parser->put_eof(ec);
        if (!ec && parser->is_done()) {
            complete();
            return;
        }
    }
    fail(failure(ErrorCode::Unknown, "the exchange broke off: the peer closed the connection"));
}

/// The timer is set anew only when it would be late: most exchanges end long before their deadline.
auto HttpLoopChannel::Impl::armTimer() -> void
{
    if (timerAt && *timerAt <= deadline) {
        return;
    }
    timerAt = deadline;
    timer.expires_at(deadline);
    timer.async_wait([self = shared_from_this()](error_code result) {
        if (!result) {
            self->timerAt.reset();
            self->timerExpired();
        }
    });
}

auto HttpLoopChannel::Impl::timerExpired() -> void
{
    if (!callback) {
        return;
    }
    if (std::chrono::steady_clock::now() < deadline) {
        armTimer();
        return;
    }
    // When the thread is late, an answer may have arrived as well; its handler runs first.
    asio::post(loop->context, [self = shared_from_this(), late = deadline] {
        if (self->callback && self->deadline == late) {
            self->deadlinePassed();
        }
    });
}

auto HttpLoopChannel::Impl::deadlinePassed() -> void
{
    if (connected) {
        fail(failure(ErrorCode::Timeout, "no complete answer in time"));
    } else {
        fail(failure(ErrorCode::NotSent, "no connection in time"));
    }
}

auto HttpLoopChannel::Impl::fail(Error error) -> void
{
    const auto done = std::exchange(callback, nullptr);
    disconnect();
    if (done) {
        done(std::move(error));
    }
}

/// For a failure before anything is awaited: a callback never runs inside the call that it belongs to.
auto HttpLoopChannel::Impl::failLater(Error error) -> void
{
    asio::post(loop->context, [self = shared_from_this(), number = exchange, error = std::move(error)] {
        if (self->callback && self->exchange == number) {
            self->fail(error);
        }
    });
}

auto HttpLoopChannel::Impl::disconnect() -> void
{
    ++connection;
    connected = false;
    auto ec = error_code{};
    socket.close(ec);
    input.clear();
    output.clear();
    written = 0;
}

auto HttpLoopChannel::exchange(const HttpCall &call, Callback callback) -> void
{
    m_impl->begin(call, std::move(callback));
}

auto HttpLoopChannel::close() -> void
{
    m_impl->callback = nullptr;
    m_impl->disconnect();
    m_impl->timer.cancel();
    m_impl->timerAt.reset();
}

auto HttpLoop::Impl::armTimer() -> void
{
    if (delayed.empty() || delayed.front().at >= timerAt) {
        return;
    }
    timerAt = delayed.front().at;
    timer.expires_at(timerAt);
    timer.async_wait([this](error_code result) {
        if (!result) {
            runDelayed();
        }
    });
}

auto HttpLoop::Impl::runDelayed() -> void
{
    const auto now = std::chrono::steady_clock::now();
    auto due = std::vector<std::function<void()>>{};
    while (!delayed.empty() && delayed.front().at <= now) {
        std::pop_heap(delayed.begin(), delayed.end(), isLater);
        due.push_back(std::move(delayed.back().task));
        delayed.pop_back();
    }
    timerAt = SteadyTime::max();
    armTimer();
    for (const auto &it : due) {
        it();
    }
}

auto HttpLoop::Impl::dropAll() -> void
{
    stopping = true;
    delayed.clear();
    timer.cancel();
    while (!channels.empty()) {
        auto &it = channels.front();
        it.unlink();
        it.callback = nullptr;
        it.disconnect();
        it.timer.cancel();
    }
    work.reset();
}

HttpLoop::HttpLoop(const char *name)
    : m_impl(std::make_shared<Impl>(name))
{
}

HttpLoop::~HttpLoop()
{
    stop();
}

auto HttpLoop::open(const std::string &address) -> HttpLoopChannel
{
    auto channel = HttpLoopChannel{};
    channel.m_impl = std::make_shared<HttpLoopChannel::Impl>(m_impl, address);
    m_impl->channels.push_back(*channel.m_impl);
    return channel;
}

auto HttpLoop::post(std::function<void()> task) -> void
{
    asio::post(m_impl->context, [impl = m_impl.get(), task = std::move(task)] {
        if (!impl->stopping) {
            task();
        }
    });
}

auto HttpLoop::postAfter(Millis delay, std::function<void()> task) -> void
{
    post([impl = m_impl.get(), at = std::chrono::steady_clock::now() + delay, task = std::move(task)]() mutable {
        impl->delayed.push_back({.at = at, .task = std::move(task)});
        std::push_heap(impl->delayed.begin(), impl->delayed.end(), Impl::isLater);
        impl->armTimer();
    });
}

auto HttpLoop::stop() -> void
{
    if (m_impl->thread.joinable()) {
        post([impl = m_impl.get()] { impl->dropAll(); });
        m_impl->thread.join();
    }
}

}

#include "daemon/eventlistener.h"

#include "daemon/handlerpool.h"
#include "daemon/httprequestparser.h"
#include "util/logging.h"
#include "util/threadname.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/intrusive/list.hpp>
#include <httplib.h>

#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <mutex>
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
using SteadyClock = std::chrono::steady_clock;
using SteadyTime = SteadyClock::time_point;

/// Connections that the operating system keeps until they are accepted.
constexpr auto listenBacklog = 512;
/// Connections accepted in one turn, so that the open ones are served meanwhile.
constexpr auto maxAccepts = 64;
/// Connections are checked for their deadlines at most this often.
constexpr auto leastSweep = Millis{100};
/// Until connections are accepted again after the process had no descriptor left.
constexpr auto acceptPause = Millis{50};
/// An unfinished request younger than this is closed last: most requests arrive whole within it.
constexpr auto youngRequest = Millis{500};
/// What a refused caller still sends is read and dropped for this long, because closing a socket with unread bytes discards the answer.
constexpr auto lingerTime = Millis{1'000};
/// At most so many bytes are dropped, or twice the longest body: callers that are not far over the limit read the answer only when they have sent everything.
constexpr auto leastLinger = std::size_t{256} << 10U;
/// The library that served plain HTTP before refused longer forms, except those that a handler decodes itself.
constexpr auto maxDecodedForm = std::size_t{8} << 10U;
constexpr auto closeLogPeriod = Millis{1'000};
constexpr auto formType = std::string_view{"application/x-www-form-urlencoded"};
constexpr auto continueAnswer = std::string_view{"HTTP/1.1 100 Continue\r\n\r\n"};

constexpr auto statusNoContent = 204;
constexpr auto statusNotModified = 304;
constexpr auto statusMalformed = 400;
constexpr auto statusNotFound = 404;
constexpr auto statusTooSlow = 408;
constexpr auto statusBodyTooLong = 413;
constexpr auto statusTargetTooLong = 414;
constexpr auto statusHeaderTooLong = 431;
constexpr auto httpVersion11 = 11;

using ListHook = boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// What a connection does. In Working a handler's thread owns it, otherwise the listener's thread.
enum class Stage { Idle, Header, Body, Working, Writing, Lingering, Closed };

struct Connection : std::enable_shared_from_this<Connection>, ListHook
{
    explicit Connection(asio::io_context &context)
        : socket(context)
    {
    }

    std::shared_ptr<Connection> self; ///< keeps it while it is open
    tcp::socket socket;
    std::mutex mutex; ///< guards the next three, which end the ownership of a handler's thread
    Stage stage = Stage::Idle;
    bool isReadable = false; ///< something has arrived that is not read yet
    SteadyTime since; ///< begin of the stage
    bool isWaiting = false; ///< its next bytes will be noticed
    bool isFirst = true; ///< no request has been answered yet
    bool isOverdue = false; ///< its deadline has passed while bytes had arrived that were not read
    SteadyTime progressAt; ///< last bytes in this stage
    std::size_t progress = 0; ///< bytes of the body or of the answer
    std::string input; ///< read and not parsed
    std::optional<HttpRequestParser> parser; ///< of the present request
    const ListenerRoute *route = nullptr;
    bool keepAlive = false; ///< what the present request asks for
    bool isHttp11 = true;
    bool isHead = false;
    std::string output;
    std::size_t written = 0;
    bool closesAfterOutput = false;
    bool lingers = false; ///< the caller may still be sending when its answer is complete
    std::size_t lingered = 0;
    std::size_t charged = 0; ///< share of the listener's buffer
};

using ConnectionPtr = std::shared_ptr<Connection>;

auto encodeAnswer(const HttpResponse &response, const Connection &connection, bool closes) -> std::string
{
    auto out = "HTTP/1.1 " + std::to_string(response.status) + " ";
    const auto reason = http::obsolete_reason(http::int_to_status(static_cast<unsigned>(response.status)));
    out.append(reason.data(), reason.size()).append("\r\n");
    const auto hasBody = response.status != statusNoContent && response.status != statusNotModified;
    if (hasBody) {
        out += "Content-Length: " + std::to_string(response.body.size()) + "\r\nContent-Type: " + response.contentType + "\r\n";
    }
    for (const auto &[name, value] : response.headers) {
        out.append(name).append(": ").append(value).append("\r\n");
    }
    out += closes ? "Connection: close\r\n\r\n" : connection.isHttp11 ? "\r\n" : "Connection: keep-alive\r\n\r\n";
    if (hasBody && !connection.isHead) {
        out += response.body;
    }
    return out;
}

/// @return bytes sent; 0 if none can be at present, nothing if the connection is broken.
auto sendSome(Connection &connection) -> std::optional<std::size_t>
{
    const auto n = ::send(connection.socket.native_handle(),
                          connection.output.data() + connection.written,
                          connection.output.size() - connection.written,
                          MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n >= 0) {
        connection.written += static_cast<std::size_t>(n);
        return static_cast<std::size_t>(n);
    }
    return errno == EAGAIN || errno == EINTR ? std::optional{std::size_t{0}} : std::nullopt;
}

}

struct EventListener::Impl
{
    Impl(const HttpListenerOptions &given, const ListenerRoutes &routesGiven)
        : options(given)
        , limits(given.limits)
        , routes(routesGiven)
        , buffer(std::max<std::size_t>(given.limits.readAhead, 1))
        , acceptor(context)
        , timer(context)
        , acceptTimer(context)
        , work(asio::make_work_guard(context))
        , pool(static_cast<std::size_t>(given.threads), static_cast<std::size_t>(given.backlog))
    {
        auto files = rlimit{};
        if (::getrlimit(RLIMIT_NOFILE, &files) == 0 && files.rlim_cur != RLIM_INFINITY) {
            maxConnections = std::min(maxConnections, std::max<std::size_t>(1, files.rlim_cur / 2));
        }
    }

    auto bind(const std::string &host, int port) -> Result<int>;
    auto beginStop() -> void;
    auto endIfStopped() -> void;

    auto waitForConnection() -> void;
    auto acceptSome(int most) -> void;
    auto addConnection(int sock) -> void;

    auto waitReadable(const ConnectionPtr &it) -> void;
    auto readable(const ConnectionPtr &it) -> void;
    auto receive(const ConnectionPtr &it) -> bool;
    auto resume(const ConnectionPtr &it) -> void;
    auto parseNext(const ConnectionPtr &it) -> bool;
    auto beginRequest(Connection &it) -> void;
    auto headerComplete(Connection &it) -> void;
    auto refuseBroken(const ConnectionPtr &it, const error_code &ec) -> void;
    auto dispatch(const ConnectionPtr &it) -> bool;
    auto handle(const ConnectionPtr &it) -> void;
    auto handlerDone(const ConnectionPtr &it) -> void;

    auto answer(const ConnectionPtr &it, const HttpResponse &response) -> bool;
    auto refuse(const ConnectionPtr &it, const HttpResponse &response, std::optional<ListenerClose> cause) -> void;
    auto write(const ConnectionPtr &it) -> bool;
    auto becomeIdle(Connection &it) -> void;
    auto linger(const ConnectionPtr &it) -> void;

    auto deadlineOf(const Connection &it, SteadyTime now) const -> SteadyTime;
    auto follow(const Connection &it) -> void;
    auto armTimer(SteadyTime at) -> void;
    auto sweep() -> void;
    auto expired(const ConnectionPtr &it) -> void;

    auto account(Connection &it) -> void;
    auto keepBudget() -> void;
    auto leastProgress(bool onlyCharged) -> ConnectionPtr;
    auto close(const ConnectionPtr &it, std::optional<ListenerClose> cause) -> void;
    auto count(ListenerClose cause) -> void;

    const HttpListenerOptions &options;
    const ListenerLimits &limits;
    const ListenerRoutes &routes;
    std::size_t maxConnections = limits.connections;
    asio::io_context context{1};
    std::vector<char> buffer; ///< shared by all connections, because only one is read at a time
    tcp::acceptor acceptor;
    tcp protocol = tcp::v4(); ///< of the address
    asio::steady_timer timer; ///< of the next sweep
    SteadyTime timerAt = SteadyTime::max();
    asio::steady_timer acceptTimer;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    boost::intrusive::list<Connection, boost::intrusive::constant_time_size<false>> connections; ///< the open ones
    std::size_t open = 0; ///< their number
    std::atomic<std::size_t> buffered{0};
    std::atomic<bool> closing{false};
    bool stopping = false;
    SteadyTime stopBefore = SteadyTime::max(); ///< unfinished requests are given up by then
    std::atomic<std::uint64_t> overflowed{0};
    std::array<std::uint64_t, listenerCloseNames.size()> closes{}; ///< since the last line of the log
    SteadyTime closesLoggedAt;
    HandlerPool pool;
    std::thread thread;
};

auto EventListener::Impl::bind(const std::string &host, int port) -> Result<int>
{
    auto ec = error_code{};
    const auto numeric = host.size() > 2 && host.front() == '[' ? host.substr(1, host.size() - 2) : host;
    auto endpoint = tcp::endpoint{asio::ip::make_address(numeric, ec), static_cast<unsigned short>(port)};
    if (ec) {
        const auto found = tcp::resolver{context}.resolve(host, std::to_string(port), tcp::resolver::passive, ec);
        if (ec || found.empty()) {
            return failure(ErrorCode::Unavailable, "cannot listen on " + options.address);
        }
        endpoint = found.begin()->endpoint();
    }
    protocol = endpoint.protocol();
    acceptor.open(protocol, ec);
    if (!ec) {
        // As the library that served plain HTTP before: a process that replaces another one can listen while that one ends.
        const auto yes = 1;
        ::setsockopt(acceptor.native_handle(), SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        ::setsockopt(acceptor.native_handle(), SOL_SOCKET, SO_REUSEPORT, &yes, sizeof yes);
        acceptor.bind(endpoint, ec);
    }
    if (!ec) {
        acceptor.listen(listenBacklog, ec);
    }
    if (!ec) {
        acceptor.non_blocking(true, ec);
    }
    const auto bound = ec ? tcp::endpoint{} : acceptor.local_endpoint(ec);
    if (ec) {
        return failure(ErrorCode::Unavailable, "cannot listen on " + options.address);
    }
    return static_cast<int>(bound.port());
}

auto EventListener::Impl::beginStop() -> void
{
    stopping = true;
    closing = true;
    stopBefore = SteadyClock::now() + options.keepAlive;
    acceptSome(listenBacklog);
    auto ec = error_code{};
    acceptor.close(ec);
    acceptTimer.cancel();
    sweep();
    endIfStopped();
}

auto EventListener::Impl::endIfStopped() -> void
{
    if (stopping && connections.empty()) {
        timer.cancel();
        work.reset();
    }
}

auto EventListener::Impl::waitForConnection() -> void
{
    acceptor.async_wait(tcp::acceptor::wait_read, [this](error_code ec) {
        if (!ec && !stopping) {
            acceptSome(maxAccepts);
        }
    });
}

auto EventListener::Impl::acceptSome(int most) -> void
{
    for (auto i = 0; i < most; ++i) {
        const auto sock = ::accept(acceptor.native_handle(), nullptr, nullptr);
        if (sock >= 0) {
            addConnection(sock);
            continue;
        }
        if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
            if (const auto victim = leastProgress(false)) {
                close(victim, ListenerClose::Connections);
                continue;
            }
            acceptTimer.expires_after(acceptPause);
            acceptTimer.async_wait([this](error_code ec) {
                if (!ec && !stopping) {
                    waitForConnection();
                }
            });
            return;
        }
        if (errno == EAGAIN || errno == EWOULDBLOCK) {
            break;
        }
    }
    if (!stopping) {
        waitForConnection();
    }
}

auto EventListener::Impl::addConnection(int sock) -> void
{
    const auto it = std::make_shared<Connection>(context);
    auto ec = error_code{};
    it->socket.assign(protocol, sock, ec);
    if (ec) {
        ::close(sock);
        return;
    }
    if (open >= maxConnections) {
        const auto victim = leastProgress(false);
        if (!victim) {
            count(ListenerClose::Connections);
            return;
        }
        close(victim, ListenerClose::Connections);
    }
    const auto yes = 1;
    ::setsockopt(sock, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    it->self = it;
    it->since = SteadyClock::now();
    it->progressAt = it->since;
    connections.push_back(*it);
    ++open;
    follow(*it);
    waitReadable(it);
}

auto EventListener::Impl::waitReadable(const ConnectionPtr &it) -> void
{
    if (std::exchange(it->isWaiting, true)) {
        return;
    }
    it->socket.async_wait(tcp::socket::wait_read, [this, it](error_code ec) {
        it->isWaiting = false;
        if (!ec) {
            readable(it);
        }
    });
}

auto EventListener::Impl::readable(const ConnectionPtr &it) -> void
{
    {
        const auto lock = std::lock_guard{it->mutex};
        // Nothing more is read until the present request is answered.
        if (it->stage == Stage::Working || it->stage == Stage::Writing) {
            it->isReadable = true;
            return;
        }
    }
    if (receive(it)) {
        resume(it);
    }
}

/// Reads once.
/// @return whether something was read that is not parsed yet.
auto EventListener::Impl::receive(const ConnectionPtr &it) -> bool
{
    if (it->stage == Stage::Closed) {
        return false;
    }
    it->isReadable = false;
    const auto n = ::recv(it->socket.native_handle(), buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR)) {
        close(it, std::nullopt);
        return false;
    }
    if (n < 0) {
        waitReadable(it);
        return false;
    }
    if (it->stage == Stage::Lingering) {
        it->lingered += static_cast<std::size_t>(n);
        if (it->lingered > std::max(leastLinger, 2 * options.maxBody)) {
            close(it, std::nullopt);
        } else {
            waitReadable(it);
        }
        return false;
    }
    it->input.append(buffer.data(), static_cast<std::size_t>(n));
    it->progressAt = SteadyClock::now();
    return true;
}

/// Parses what has been read, and waits for more unless a request is in work.
auto EventListener::Impl::resume(const ConnectionPtr &it) -> void
{
    const auto isReading = [&] { return it->stage == Stage::Idle || it->stage == Stage::Header || it->stage == Stage::Body; };
    for (;;) {
        while (isReading() && !it->input.empty() && parseNext(it)) { }
        {
            const auto lock = std::lock_guard{it->mutex};
            if (!isReading()) {
                return;
            }
        }
        account(*it);
        keepBudget();
        if (!isReading()) {
            return;
        }
        follow(*it);
        if (!it->isReadable) {
            waitReadable(it);
            return;
        }
        if (!receive(it)) {
            return;
        }
    }
}

/// @return whether the next request can be parsed at once.
auto EventListener::Impl::parseNext(const ConnectionPtr &it) -> bool
{
    if (it->stage == Stage::Idle) {
        beginRequest(*it);
    }
    auto ec = error_code{};
    it->input.erase(0, it->parser->put(asio::buffer(it->input), ec));
    if (ec && ec != http::error::need_more) {
        refuseBroken(it, ec);
        return false;
    }
    if (it->stage == Stage::Header && it->parser->is_header_done()) {
        headerComplete(*it);
    }
    it->progress = it->parser->bodyBytes();
    if (it->parser->is_done()) {
        return dispatch(it);
    }
    // The header is limited by the parser; this is a chunk's first line or the fields after the last chunk.
    if (it->input.size() > limits.headerBytes) {
        refuseBroken(it, http::error::header_limit);
    }
    return false;
}

auto EventListener::Impl::beginRequest(Connection &it) -> void
{
    it.stage = Stage::Header;
    it.since = SteadyClock::now();
    it.isOverdue = false;
    it.progress = 0;
    it.route = nullptr;
    it.parser.emplace(limits, options.maxBody, [this, &it](HttpRequestParser &parser) {
        it.route = parser.isTargetTooLong() ? nullptr : routes.find(parser.request());
        return it.route != nullptr;
    });
}

auto EventListener::Impl::headerComplete(Connection &it) -> void
{
    it.stage = Stage::Body;
    if (it.parser->is_done() || it.parser->bodyBytes() > 0 || !it.input.empty()) {
        return;
    }
    const auto &headers = it.parser->request().headers;
    if (const auto expect = headers.find("expect"); expect != headers.end() && expect->second.find("100-") == 0) {
        (void)::send(it.socket.native_handle(), continueAnswer.data(), continueAnswer.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    }
}

auto EventListener::Impl::refuseBroken(const ConnectionPtr &it, const error_code &ec) -> void
{
    if (ec == http::error::body_limit) {
        refuse(it, notRunAnswer(statusBodyTooLong, "the body is too long"), ListenerClose::BodyLimit);
    } else if (ec == http::error::header_limit) {
        refuse(it, notRunAnswer(statusHeaderTooLong, "the header is too long or has too many fields"), ListenerClose::HeaderLimit);
    } else {
        refuse(it, notRunAnswer(statusMalformed, "malformed request"), std::nullopt);
    }
}

/// Hands a complete request to a handler, or answers it if there is none.
/// @return whether it is answered and the next one can be parsed.
auto EventListener::Impl::dispatch(const ConnectionPtr &it) -> bool
{
    auto &request = it->parser->request();
    it->keepAlive = it->parser->keep_alive();
    it->isHttp11 = it->parser->version() >= httpVersion11;
    it->isHead = request.method == "HEAD";
    if (it->parser->isTargetTooLong()) {
        refuse(it, notRunAnswer(statusTargetTooLong, "malformed request"), ListenerClose::HeaderLimit);
        return false;
    }
    if (it->route == nullptr) {
        return answer(it, notRunAnswer(statusNotFound, "no such path or method"));
    }
    if (!it->route->isForm && request.header("content-type").compare(0, formType.size(), formType) == 0) {
        if (request.body.size() > maxDecodedForm) {
            refuse(it, notRunAnswer(statusBodyTooLong, "the body is too long"), ListenerClose::BodyLimit);
            return false;
        }
        httplib::detail::parse_query_text(request.body, request.params);
    }
    account(*it);
    it->stage = Stage::Working;
    keepBudget();
    if (buffered > limits.bufferBytes) {
        refuse(it, overflowAnswer(), ListenerClose::Buffer);
        return false;
    }
    // From here on a handler's thread may own the connection.
    waitReadable(it);
    if (!pool.push([this, it] { handle(it); })) {
        ++overflowed;
        refuse(it, overflowAnswer(), ListenerClose::NoHandler);
    }
    return false;
}

/// Runs in a handler's thread, which also sends the answer: in most cases that needs no wake-up of the listener's thread.
auto EventListener::Impl::handle(const ConnectionPtr &it) -> void
{
    auto response = HttpResponse{};
    try {
        response = it->route->handler(it->parser->request());
    } catch (...) {
        response = handlerFailedAnswer();
    }
    it->closesAfterOutput = closing || !it->keepAlive;
    it->output = encodeAnswer(response, *it, it->closesAfterOutput);
    it->written = 0;
    if (sendSome(*it) && it->written == it->output.size() && !it->closesAfterOutput && it->input.empty()) {
        becomeIdle(*it);
        const auto lock = std::lock_guard{it->mutex};
        it->since = SteadyClock::now();
        if (!it->isReadable) {
            it->stage = Stage::Idle;
            return;
        }
    }
    asio::post(context, [this, it] { handlerDone(it); });
}

auto EventListener::Impl::handlerDone(const ConnectionPtr &it) -> void
{
    if (write(it)) {
        resume(it);
    }
}

/// @return whether the answer is sent and the connection can be read further.
auto EventListener::Impl::answer(const ConnectionPtr &it, const HttpResponse &response) -> bool
{
    it->closesAfterOutput = closing || !it->keepAlive;
    it->output = encodeAnswer(response, *it, it->closesAfterOutput);
    it->written = 0;
    return write(it);
}

auto EventListener::Impl::refuse(const ConnectionPtr &it, const HttpResponse &response, std::optional<ListenerClose> cause) -> void
{
    if (cause) {
        count(*cause);
    }
    it->isHead = false;
    it->output = encodeAnswer(response, *it, true);
    it->written = 0;
    if (!sendSome(*it) || it->written < it->output.size()) {
        close(it, std::nullopt);
        return;
    }
    linger(it);
}

/// @return whether the whole answer is sent and the connection can be read further.
auto EventListener::Impl::write(const ConnectionPtr &it) -> bool
{
    const auto before = it->written;
    while (it->written < it->output.size()) {
        const auto n = sendSome(*it);
        if (!n) {
            close(it, std::nullopt);
            return false;
        }
        if (*n == 0) {
            break;
        }
    }
    if (it->written == it->output.size()) {
        if (it->closesAfterOutput) {
            linger(it);
            return false;
        }
        becomeIdle(*it);
        it->since = SteadyClock::now();
        it->stage = Stage::Idle;
        return true;
    }
    const auto now = SteadyClock::now();
    if (it->stage != Stage::Writing) {
        it->stage = Stage::Writing;
        it->since = now;
        it->progressAt = now;
        it->isOverdue = false;
        it->parser.reset();
    } else if (it->written > before) {
        it->progressAt = now;
    }
    it->progress = it->written;
    account(*it);
    keepBudget();
    if (it->stage == Stage::Closed) {
        return false;
    }
    follow(*it);
    it->socket.async_wait(tcp::socket::wait_write, [this, it](error_code ec) {
        if (!ec && it->stage == Stage::Writing && write(it)) {
            resume(it);
        }
    });
    return false;
}

/// Releases what the answered request has taken; its caller sets the stage.
auto EventListener::Impl::becomeIdle(Connection &it) -> void
{
    it.parser.reset();
    it.route = nullptr;
    it.output = {};
    it.written = 0;
    it.isFirst = false;
    it.isOverdue = false;
    account(it);
}

/// Closes a connection whose last answer is sent, after what its caller is still sending has been dropped.
auto EventListener::Impl::linger(const ConnectionPtr &it) -> void
{
    const auto isComplete = it->parser && it->parser->is_done() && it->input.empty() && !it->isReadable;
    it->parser.reset();
    it->output = {};
    it->input = {};
    account(*it);
    if (isComplete) {
        close(it, std::nullopt);
        return;
    }
    auto ec = error_code{};
    it->socket.shutdown(tcp::socket::shutdown_send, ec);
    it->stage = Stage::Lingering;
    it->since = SteadyClock::now();
    follow(*it);
    waitReadable(it);
}

auto EventListener::Impl::deadlineOf(const Connection &it, SteadyTime now) const -> SteadyTime
{
    auto out = SteadyTime::max();
    switch (it.stage) {
    case Stage::Idle:
        out = it.since + options.keepAlive;
        break;
    case Stage::Header:
        out = it.since + limits.headerTimeout;
        break;
    case Stage::Body:
    case Stage::Writing: {
        const auto earned = Millis{static_cast<std::int64_t>(it.progress * 1'000 / std::max<std::size_t>(limits.transferRate, 1))};
        out = std::min(it.since + limits.transferTimeout + earned, it.progressAt + options.readTimeout);
        break;
    }
    case Stage::Lingering:
        out = it.since + lingerTime;
        break;
    case Stage::Working:
        // It is idle later at the earliest.
        return now + options.keepAlive;
    case Stage::Closed:
        break;
    }
    return std::min(out, stopBefore);
}

auto EventListener::Impl::follow(const Connection &it) -> void
{
    armTimer(deadlineOf(it, SteadyClock::now()));
}

/// The timer is set anew only when it would be late.
auto EventListener::Impl::armTimer(SteadyTime at) -> void
{
    const auto wanted = std::max(at, SteadyClock::now() + leastSweep);
    if (timerAt <= wanted) {
        return;
    }
    timerAt = wanted;
    timer.expires_at(wanted);
    timer.async_wait([this](error_code ec) {
        if (!ec) {
            sweep();
        }
    });
}

auto EventListener::Impl::sweep() -> void
{
    timerAt = SteadyTime::max();
    const auto now = SteadyClock::now();
    auto late = std::vector<ConnectionPtr>{};
    auto next = SteadyTime::max();
    for (auto &it : connections) {
        const auto lock = std::lock_guard{it.mutex};
        const auto deadline = deadlineOf(it, now);
        if (deadline <= now && it.stage != Stage::Working) {
            late.push_back(it.self);
        } else {
            next = std::min(next, deadline);
        }
    }
    for (const auto &it : late) {
        expired(it);
    }
    if (next != SteadyTime::max()) {
        armTimer(next);
    }
}

auto EventListener::Impl::expired(const ConnectionPtr &it) -> void
{
    if (it->stage == Stage::Closed) {
        return;
    }
    // When this thread is late, the rest of the request may have arrived in time.
    if (it->stage != Stage::Writing && it->stage != Stage::Lingering && !std::exchange(it->isOverdue, true)) {
        if (receive(it)) {
            resume(it);
        }
        armTimer(SteadyClock::now() + leastSweep);
        return;
    }
    switch (it->stage) {
    case Stage::Header:
        refuse(it, notRunAnswer(statusTooSlow, "the header took too long"), ListenerClose::SlowHeader);
        break;
    case Stage::Body:
        refuse(it, notRunAnswer(statusTooSlow, "the body took too long"), ListenerClose::SlowBody);
        break;
    case Stage::Writing:
        close(it, ListenerClose::SlowReader);
        break;
    default:
        close(it, std::nullopt);
        break;
    }
}

/// Brings the share of a connection in the buffer up to date.
auto EventListener::Impl::account(Connection &it) -> void
{
    const auto emptyCapacity = std::string{}.capacity();
    if (it.input.empty() && it.input.capacity() > emptyCapacity) {
        it.input = {};
    }
    const auto input = it.input.capacity() > emptyCapacity ? it.input.capacity() : 0;
    const auto charge = input + (it.parser ? it.parser->charge() : 0) + it.output.size();
    buffered += charge;
    buffered -= std::exchange(it.charged, charge);
}

auto EventListener::Impl::keepBudget() -> void
{
    while (buffered > limits.bufferBytes) {
        const auto victim = leastProgress(true);
        if (!victim) {
            return;
        }
        close(victim, ListenerClose::Buffer);
    }
}

/// @return the connection to close first, never one whose request is in work: one whose request is unfinished for long, then an idle one, then a young one.
auto EventListener::Impl::leastProgress(bool onlyCharged) -> ConnectionPtr
{
    const auto now = SteadyClock::now();
    auto out = ConnectionPtr{};
    auto best = std::pair{0, SteadyTime::max()};
    for (auto &it : connections) {
        const auto lock = std::lock_guard{it.mutex};
        if (it.stage == Stage::Working || it.stage == Stage::Closed || (onlyCharged && it.charged == 0)) {
            continue;
        }
        const auto isBetweenRequests = it.stage == Stage::Idle && !it.isFirst;
        const auto isYoung = now - it.since < youngRequest;
        const auto rank = std::pair{it.stage == Stage::Lingering ? 0 : isBetweenRequests ? 2 : isYoung ? 3 : 1, it.since};
        if (!out || rank < best) {
            out = it.self;
            best = rank;
        }
    }
    return out;
}

auto EventListener::Impl::close(const ConnectionPtr &it, std::optional<ListenerClose> cause) -> void
{
    if (it->stage == Stage::Closed) {
        return;
    }
    it->stage = Stage::Closed;
    it->unlink();
    --open;
    buffered -= std::exchange(it->charged, 0);
    auto ec = error_code{};
    it->socket.close(ec);
    it->parser.reset();
    it->input = {};
    it->output = {};
    it->self.reset();
    if (cause) {
        count(*cause);
    }
    endIfStopped();
}

auto EventListener::Impl::count(ListenerClose cause) -> void
{
    ++closes.at(static_cast<std::size_t>(cause));
    if (options.closed) {
        options.closed(cause);
    }
    const auto now = SteadyClock::now();
    if (now - closesLoggedAt < closeLogPeriod) {
        return;
    }
    closesLoggedAt = now;
    auto text = std::string{};
    for (auto i = std::size_t{0}; i < closes.size(); ++i) {
        if (const auto n = std::exchange(closes.at(i), 0); n > 0) {
            text += " " + std::string(listenerCloseNames.at(i)) + "=" + std::to_string(n);
        }
    }
    logEvent(LogLevel::Warn, 1016, "connections closed listener=" + (options.name.empty() ? options.address : options.name) + text);
}

EventListener::EventListener(const HttpListenerOptions &options, const ListenerRoutes &routes)
    : m_impl(std::make_unique<Impl>(options, routes))
{
}

EventListener::~EventListener()
{
    stop();
}

auto EventListener::start(const std::string &host, int port) -> Result<int>
{
    auto bound = m_impl->bind(host, port);
    if (bound) {
        m_impl->thread = std::thread([impl = m_impl.get()] {
            nameThread("listener-io");
            impl->waitForConnection();
            impl->context.run();
        });
    }
    return bound;
}

auto EventListener::closeAfterResponse() -> void
{
    m_impl->closing = true;
}

auto EventListener::stop() -> void
{
    if (m_impl->thread.joinable()) {
        asio::post(m_impl->context, [impl = m_impl.get()] { impl->beginStop(); });
        m_impl->thread.join();
    }
    m_impl->pool.finish();
}

auto EventListener::overflowed() const -> std::uint64_t
{
    return m_impl->overflowed;
}

}

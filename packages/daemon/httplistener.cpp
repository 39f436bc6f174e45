#include "daemon/httplistener.h"

#include "daemon/eventlistener.h"
#include "daemon/handlerpool.h"
#include "daemon/listenerroutes.h"
#include "ports/deadlinestream.h"
#include "ports/httpclient.h"
#include "ports/httprequest.h"

#include <httplib.h>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <limits>
#include <optional>
#include <thread>
#include <utility>

namespace Catkin
{

namespace
{

/// Threads that only answer 503; a connection cannot be refused after it was accepted without reading its request.
constexpr auto overflowThreads = 2;

thread_local auto isOverflowThread = false;

/// Serves connections on a bounded number of threads; those beyond the waiting places go to the overflow threads.
class BoundedQueue : public httplib::TaskQueue
{
public:
    BoundedQueue(int threads, int backlog, std::atomic<std::uint64_t> &overflowed)
        : m_overflowed(overflowed)
        , m_served(static_cast<std::size_t>(threads), static_cast<std::size_t>(backlog))
        , m_refused(overflowThreads, std::numeric_limits<std::size_t>::max() - overflowThreads)
    {
    }

    auto enqueue(std::function<void()> task) -> void override
    {
        if (m_served.push(task)) {
            return;
        }
        ++m_overflowed;
        const auto refuse = [task = std::move(task)] {
            const auto before = std::exchange(isOverflowThread, true);
            task();
            isOverflowThread = before;
        };
        // Without any thread the accepting one must do it, or the connection would stay open.
        if (!m_refused.push(refuse)) {
            refuse();
        }
    }

    auto shutdown() -> void override
    {
        m_served.finish();
        m_refused.finish();
    }

private:
    std::atomic<std::uint64_t> &m_overflowed;
    HandlerPool m_served;
    HandlerPool m_refused;
};

/// A connection on an overflow thread must not keep the other refusals waiting for the whole of a stalled handshake.
constexpr auto overflowHandshake = Millis{1'000};
/// Rest of a plain request that is read before its connection is closed.
constexpr auto maxDrained = std::size_t{64} << 10U;
constexpr auto drainTime = Millis{500};

/// HTTPS. The library's own TLS server holds one context for ever and restarts its timeouts with every byte of a handshake; here each
/// connection takes the current context, so that a replaced certificate is in force for the next connection and cuts none.
class TlsServer : public httplib::Server
{
public:
    explicit TlsServer(const HttpListenerOptions &options)
        : m_options(options)
    {
    }

    /// The library listens with a backlog of 5, which a burst of new connections exceeds.
    auto widenBacklog() -> void
    {
        constexpr auto backlog = 512;
        ::listen(svr_sock_, backlog);
    }

private:
    auto process_and_close_socket(socket_t sock) -> bool override
    {
        auto tls = TlsConnection{sock, m_options.tls->current(), TlsRole::Server};
        const auto limit = isOverflowThread ? std::min(overflowHandshake, m_options.readTimeout) : m_options.readTimeout;
        const auto done = tls.handshake(std::chrono::steady_clock::now() + limit);
        if (done) {
            serve(sock, tls);
            tls.close();
        } else {
            // Before the answer, so that a client that has it finds its failure counted.
            if (m_options.handshakeFailed) {
                m_options.handshakeFailed(done.error());
            }
            if (tls.sawPlainHttp()) {
                sendPlainAnswer(sock);
                drain(sock);
            } else if (done.error().code == ErrorCode::Unauthorized) {
                drain(sock);
            }
        }
        ::shutdown(sock, SHUT_RDWR);
        ::close(sock);
        return done.has_value();
    }

    auto serve(socket_t sock, TlsConnection &tls) -> void
    {
        auto stream = DeadlineStream{sock, {}, 0, &tls};
        stream.setOperationTimeout(m_options.readTimeout);
        // A client that has just made its handshake has a request under way, which a stopping server still answers.
        for (auto left = keep_alive_max_count_, served = std::size_t{0}; left > 0 && (served == 0 || svr_sock_ != INVALID_SOCKET); --left, ++served) {
            if (!stream.buffered() && !waitReadable(sock, m_options.keepAlive)) {
                return;
            }
            auto closed = false;
            if (!process_request(stream, left == 1, closed, nullptr) || closed) {
                return;
            }
        }
    }

    static auto waitReadable(socket_t sock, Millis timeout) -> bool
    {
        const auto deadline = std::chrono::steady_clock::now() + timeout;
        for (;;) {
            const auto left = std::chrono::ceil<Millis>(deadline - std::chrono::steady_clock::now()).count();
            auto fds = pollfd{.fd = sock, .events = POLLIN, .revents = 0};
            const auto n = poll(&fds, 1, static_cast<int>(std::max<std::int64_t>(left, 0)));
            if (n >= 0 || errno != EINTR) {
                return n > 0;
            }
        }
    }

    /// Tells a client that uses plain HTTP by mistake.
    static auto sendPlainAnswer(socket_t sock) -> void
    {
        const auto body = failureBody("not_run", "this port accepts only https");
        const auto answer = "HTTP/1.1 400 Bad Request\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size())
                            + "\r\n\r\n" + body;
        (void)::send(sock, answer.data(), answer.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    }

    /// Reads what the client has sent already, because closing a socket with unread bytes would discard the answer or alert that
    /// tells the client why it is refused.
    static auto drain(socket_t sock) -> void
    {
        ::shutdown(sock, SHUT_WR);
        const auto deadline = std::chrono::steady_clock::now() + drainTime;
        auto buf = std::array<char, 4096>{};
        for (auto drained = std::size_t{0}; drained < maxDrained;) {
            const auto left = std::chrono::ceil<Millis>(deadline - std::chrono::steady_clock::now());
            const auto n = left.count() > 0 && waitReadable(sock, left) ? ::recv(sock, buf.data(), buf.size(), MSG_DONTWAIT) : 0;
            if (n <= 0) {
                return;
            }
            drained += static_cast<std::size_t>(n);
        }
    }

    const HttpListenerOptions &m_options;
};

auto toRequest(const httplib::Request &in) -> HttpRequest
{
    auto out = HttpRequest{.method = in.method, .path = in.path, .params = in.params, .body = in.body};
    for (auto i = std::size_t{1}; i < in.matches.size(); ++i) {
        out.matches.push_back(in.matches[i].str());
    }
    for (const auto &[name, value] : in.headers) {
        out.headers[lowerCase(name)] = value;
    }
    return out;
}

}

auto HttpRequest::header(const std::string &name) const -> std::string
{
    const auto it = headers.find(name);
    return it == headers.end() ? std::string{} : it->second;
}

auto HttpRequest::param(const std::string &name) const -> std::string
{
    const auto it = params.find(name);
    return it == params.end() ? std::string{} : it->second;
}

struct HttpListener::Impl
{
    explicit Impl(const HttpListenerOptions &given)
        : options(given)
    {
        if (options.tls) {
            prepareTls();
        } else {
            events.emplace(options, routes);
        }
    }

    HttpListenerOptions options;
    ListenerRoutes routes; ///< of plain HTTP
    std::optional<EventListener> events; ///< for plain HTTP
    std::unique_ptr<TlsServer> server; ///< for TLS
    std::thread thread;
    std::atomic<bool> closing{false};
    std::atomic<std::uint64_t> overflowed{0};

    auto prepareTls() -> void;
    auto listenTls(const std::string &host, int wanted) -> Result<int>;

    auto write(const HttpResponse &in, httplib::Response &out) const -> void
    {
        out.status = in.status;
        for (const auto &[name, value] : in.headers) {
            out.set_header(name, value);
        }
        if (closing) {
            out.set_header("Connection", "close");
        }
        out.set_content(in.body, in.contentType);
    }
};

auto HttpListener::Impl::prepareTls() -> void
{
    server = std::make_unique<TlsServer>(options);
    server->new_task_queue = [this] { return new BoundedQueue(options.threads, options.backlog, overflowed); };
    server->set_payload_max_length(options.maxBody);
    server->set_keep_alive_timeout(std::max<time_t>(1, std::chrono::duration_cast<Seconds>(options.keepAlive).count()));
    server->set_keep_alive_max_count(100'000);
    server->set_read_timeout(options.readTimeout);
    server->set_write_timeout(options.readTimeout);
    server->set_tcp_nodelay(true);
    server->set_pre_routing_handler([](const httplib::Request &, httplib::Response &response) {
        if (!isOverflowThread) {
            return httplib::Server::HandlerResponse::Unhandled;
        }
        const auto answer = overflowAnswer();
        response.status = answer.status;
        response.set_header("Connection", "close");
        for (const auto &[name, value] : answer.headers) {
            response.set_header(name, value);
        }
        response.set_content(answer.body, answer.contentType);
        return httplib::Server::HandlerResponse::Handled;
    });
    server->set_error_handler([](const httplib::Request &, httplib::Response &response) {
        if (!response.body.empty()) {
            return;
        }
        const auto *reason = response.status == 404 ? "no such path or method" : response.status == 413 ? "the body is too long" : "malformed request";
        response.set_content(failureBody("not_run", reason), "application/json");
    });
    server->set_exception_handler([](const httplib::Request &, httplib::Response &response, const std::exception_ptr &) {
        const auto answer = handlerFailedAnswer();
        response.status = answer.status;
        response.set_content(answer.body, answer.contentType);
    });
}

auto HttpListener::Impl::listenTls(const std::string &host, int wanted) -> Result<int>
{
    auto port = wanted;
    if (wanted == 0) {
        port = server->bind_to_any_port(host);
    } else if (!server->bind_to_port(host, wanted)) {
        port = -1;
    }
    if (port <= 0) {
        return failure(ErrorCode::Unavailable, "cannot listen on " + options.address);
    }
    server->widenBacklog();
    thread = std::thread([this] { server->listen_after_bind(); });
    // A stop before the accept loop runs would be lost.
    while (!server->is_running()) {
        std::this_thread::sleep_for(Millis{1});
    }
    return port;
}

HttpListener::HttpListener(const HttpListenerOptions &options)
    : m_impl(std::make_unique<Impl>(options))
{
}

HttpListener::~HttpListener()
{
    stop();
}

auto HttpListener::route(const std::string &method, const std::string &pattern, Handler handler) -> void
{
    if (m_impl->events) {
        m_impl->routes.add(method, pattern, false, std::move(handler));
        return;
    }
    auto call = [impl = m_impl.get(), handler = std::move(handler)](const httplib::Request &request, httplib::Response &response) {
        impl->write(handler(toRequest(request)), response);
    };
    if (method == "GET") {
        m_impl->server->Get(pattern, std::move(call));
    } else if (method == "POST") {
        m_impl->server->Post(pattern, std::move(call));
    } else if (method == "PUT") {
        m_impl->server->Put(pattern, std::move(call));
    } else if (method == "DELETE") {
        m_impl->server->Delete(pattern, std::move(call));
    }
}

auto HttpListener::routeForm(const std::string &pattern, Handler handler) -> void
{
    if (m_impl->events) {
        m_impl->routes.add("POST", pattern, true, std::move(handler));
        return;
    }
    m_impl->server->Post(
        pattern,
        [impl = m_impl.get(), handler = std::move(handler)](const httplib::Request &request, httplib::Response &response, const httplib::ContentReader &read) {
            auto converted = toRequest(request);
            const auto complete = read([&](const char *data, std::size_t n) {
                converted.body.append(data, n);
                return true;
            });
            // The library has set the status of a body that is too long or ends early.
            if (complete) {
                impl->write(handler(converted), response);
            }
        });
}

auto HttpListener::start() -> Result<int>
{
    auto parts = splitAddress(m_impl->options.address, AddressUse::Listen);
    if (!parts) {
        return parts.error();
    }
    const auto &[host, wanted] = parts.value();
    return m_impl->events ? m_impl->events->start(host, wanted) : m_impl->listenTls(host, wanted);
}

auto HttpListener::closeAfterResponse() -> void
{
    m_impl->closing = true;
    if (m_impl->events) {
        m_impl->events->closeAfterResponse();
    }
}

auto HttpListener::stop() -> void
{
    if (m_impl->events) {
        m_impl->events->stop();
    }
    if (m_impl->thread.joinable()) {
        m_impl->server->stop();
        m_impl->thread.join();
    }
}

auto HttpListener::overflowed() const -> std::uint64_t
{
    return m_impl->events ? m_impl->events->overflowed() : m_impl->overflowed.load();
}

}

#pragma once

/// An HTTP or HTTPS listener with bounded threads, bodies and waiting calls.
///
/// With plain HTTP one thread reads and writes all connections, and a thread is taken only by a complete request (EventListener). With TLS a thread serves one
/// open connection.
///
/// @code
///   auto listener = Catkin::HttpListener{{.address = "127.0.0.1:0", .threads = 64}};
///   listener.route("GET", "/healthz", [](const Catkin::HttpRequest &) { return Catkin::HttpResponse{.body = "ok\n", .contentType = "text/plain"}; });
///   auto port = listener.start();
///   listener.stop();                       // finishes the requests that have arrived
/// @endcode

#include "daemon/listenerlimits.h"
#include "ports/tls.h"
#include "util/outcome.h"
#include "util/units.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Catkin
{

struct HttpListenerOptions
{
    std::string address; ///< "ip:port"; port 0 lets the operating system choose
    int threads = 16; ///< most threads for calls, with TLS for open connections; each is started when it is first needed
    int backlog = 64; ///< calls, with TLS connections, that wait for a thread; further ones are answered with 503
    std::size_t maxBody = std::size_t{1} << 20U;
    Millis keepAlive{5'000}; ///< an idle connection is closed after this time
    Millis readTimeout{5'000}; ///< between two pieces of a request, and for a whole TLS handshake
    std::shared_ptr<TlsCredentials> tls; ///< of a server; null for plain HTTP
    std::function<void(const Error &)> handshakeFailed; ///< told of every failed TLS handshake; called by the connection's thread
    std::string name; ///< in log lines; empty for the address
    ListenerLimits limits; ///< of plain HTTP
    std::function<void(ListenerClose)> closed; ///< told of every connection of plain HTTP that a limit closed; must not block
};

struct HttpRequest
{
    std::string method;
    std::string path;
    std::vector<std::string> matches; ///< groups of the route's pattern
    std::multimap<std::string, std::string> params; ///< query and form fields
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;

    /// @return the header, or an empty text.
    [[nodiscard]] auto header(const std::string &name) const -> std::string;
    /// @return the first parameter of this name, or an empty text.
    [[nodiscard]] auto param(const std::string &name) const -> std::string;
};

struct HttpResponse
{
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
};

class HttpListener
{
public:
    using Handler = std::function<HttpResponse(const HttpRequest &)>;

    explicit HttpListener(const HttpListenerOptions &options);
    ~HttpListener();
    HttpListener(const HttpListener &) = delete;
    auto operator=(const HttpListener &) -> HttpListener & = delete;

    /// Adds a route; only before start().
    /// @param pattern regular expression that matches the whole path
    auto route(const std::string &method, const std::string &pattern, Handler handler) -> void;

    /// Adds a POST route for an HTML form whose handler decodes the body itself; only before start(). On other routes bodies of type
    /// application/x-www-form-urlencoded are decoded into params and refused beyond 8 KiB; here maxBody alone limits them.
    auto routeForm(const std::string &pattern, Handler handler) -> void;

    /// Listens in a thread of its own.
    /// @return the port; ErrorCode::InvalidInput for a malformed address, ErrorCode::Unavailable when it cannot be bound.
    auto start() -> Result<int>;

    /// From now on every response closes its connection.
    auto closeAfterResponse() -> void;

    /// Accepts no more connections and waits for the ones that are open.
    auto stop() -> void;

    /// @return calls, with TLS connections, answered with 503 because every thread and waiting place was taken.
    [[nodiscard]] auto overflowed() const -> std::uint64_t;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}

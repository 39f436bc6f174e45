#pragma once

/// A small HTTP/1.1 server and client for the stand-ins of the review. The server can drop an answer or end all its connections at once,
/// as a killed process does.

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace Review
{

struct Request
{
    std::string method;
    std::string path; ///< without the query
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
};

struct Response
{
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    bool silent = false; ///< no answer is sent; the connection stays open and carries nothing more
};

using Handler = std::function<Response(const Request &)>;

/// Milliseconds of the steady clock.
auto steadyMs() -> std::int64_t;
/// Milliseconds since 1970.
auto unixMs() -> std::int64_t;

class Server
{
public:
    /// @param port 0 lets the system choose; stays the same for all starts
    Server(int port, Handler handler);
    ~Server();
    Server(const Server &) = delete;
    auto operator=(const Server &) -> Server & = delete;

    /// @return whether the port could be opened.
    auto start() -> bool;
    /// Ends the listener and all connections at once. Handlers under way must end by themselves.
    auto crash() -> void;
    [[nodiscard]] auto port() const -> int;
    [[nodiscard]] auto address() const -> std::string;

private:
    auto acceptLoop(int listener) -> void;
    auto serve(int sock) -> void;

    int m_port;
    Handler m_handler;
    std::mutex m_mutex;
    int m_listener = -1;
    std::set<int> m_sockets;
    std::atomic<int> m_active{0};
    std::thread m_acceptor;
};

/// @return the answer, or nothing when there was none in time.
auto call(const std::string &address,
          const std::string &method,
          const std::string &path,
          const std::vector<std::pair<std::string, std::string>> &headers,
          const std::string &body,
          int timeoutMs) -> std::optional<Response>;

/// @return a port of the loopback address at which the following @p count - 1 ports are free as well.
auto freePorts(int count) -> int;

}

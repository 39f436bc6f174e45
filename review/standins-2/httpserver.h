#pragma once

/// A small HTTP server whose connections can be reset at once, as they are when a process is killed.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace Review
{

struct ServerRequest
{
    std::string path;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
};

struct ServerResponse
{
    int status = 200; ///< 0: the connection is closed without an answer
    std::string body;
};

class HttpServer
{
public:
    using Handler = std::function<ServerResponse(const ServerRequest &)>;

    /// @param port 0 lets the system choose
    HttpServer(int port, Handler handler);
    /// Resets all connections, and waits for the handlers.
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    auto operator=(const HttpServer &) -> HttpServer & = delete;

    [[nodiscard]] auto port() const -> int;

private:
    auto accept() -> void;
    auto serve(int sock) -> void;

    Handler m_handler;
    int m_listener = -1;
    int m_port = 0;
    std::mutex m_mutex;
    bool m_stopping = false;
    std::set<int> m_open;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

}

#include "httpserver.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <optional>
#include <stdexcept>
#include <utility>

namespace Review
{

namespace
{

constexpr auto backlog = 512;
constexpr auto headerEnd = "\r\n\r\n";
constexpr auto lineEnd = "\r\n";

/// Appends what arrives next. @return false at the end of the connection
auto receive(int sock, std::string &input) -> bool
{
    auto buf = std::array<char, 16'384>{};
    const auto n = ::recv(sock, buf.data(), buf.size(), 0);
    if (n <= 0) {
        return false;
    }
    input.append(buf.data(), static_cast<std::size_t>(n));
    return true;
}

/// @return the next request; nothing at the end of the connection
auto readRequest(int sock, std::string &input) -> std::optional<ServerRequest>
{
    auto end = input.find(headerEnd);
    while (end == std::string::npos) {
        if (!receive(sock, input)) {
            return std::nullopt;
        }
        end = input.find(headerEnd);
    }
    auto request = ServerRequest{};
    const auto head = input.substr(0, end);
    input.erase(0, end + std::string(headerEnd).size());
    const auto path = head.find(' ') + 1;
    request.path = head.substr(path, head.find(' ', path) - path);
    for (auto at = head.find(lineEnd); at != std::string::npos; at = head.find(lineEnd, at + 2)) {
        const auto line = head.substr(at + 2, head.find(lineEnd, at + 2) - at - 2);
        auto name = line.substr(0, line.find(':'));
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        const auto value = line.find_first_not_of(' ', name.size() + 1);
        request.headers[name] = value == std::string::npos ? std::string{} : line.substr(value);
    }
    const auto length = request.headers.contains("content-length") ? std::stoul(request.headers["content-length"]) : 0;
    while (input.size() < length) {
        if (!receive(sock, input)) {
            return std::nullopt;
        }
    }
    request.body = input.substr(0, length);
    input.erase(0, length);
    return request;
}

auto sendAnswer(int sock, const ServerResponse &response) -> bool
{
    const auto text = "HTTP/1.1 " + std::to_string(response.status)
                      + " -\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response.body.size()) + headerEnd + response.body;
    for (auto sent = std::size_t{0}; sent < text.size();) {
        const auto n = ::send(sock, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

/// A closed connection with this option is reset.
auto resetOnClose(int sock) -> void
{
    const auto option = linger{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(sock, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

}

HttpServer::HttpServer(int port, Handler handler)
    : m_handler(std::move(handler))
    , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const auto on = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 || ::listen(m_listener, backlog) != 0) {
        throw std::runtime_error("no port for a stand-in");
    }
    auto length = socklen_t{sizeof(address)};
    ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &length);
    m_port = ntohs(address.sin_port);
    m_acceptor = std::thread([this] { accept(); });
}

HttpServer::~HttpServer()
{
    {
        const auto lock = std::lock_guard{m_mutex};
        m_stopping = true;
        for (const auto it : m_open) {
            resetOnClose(it);
            ::shutdown(it, SHUT_RD);
        }
    }
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    ::close(m_listener);
    for (auto &it : m_threads) {
        it.join();
    }
}

auto HttpServer::port() const -> int
{
    return m_port;
}

auto HttpServer::accept() -> void
{
    while (true) {
        const auto sock = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (sock < 0) {
            return;
        }
        const auto on = 1;
        ::setsockopt(sock, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        const auto lock = std::lock_guard{m_mutex};
        if (m_stopping) {
            resetOnClose(sock);
            ::close(sock);
            continue;
        }
        m_open.insert(sock);
        m_threads.emplace_back([this, sock] { serve(sock); });
    }
}

auto HttpServer::serve(int sock) -> void
{
    auto input = std::string{};
    while (const auto request = readRequest(sock, input)) {
        const auto response = m_handler(*request);
        if (response.status == 0 || !sendAnswer(sock, response)) {
            break;
        }
    }
    const auto lock = std::lock_guard{m_mutex};
    m_open.erase(sock);
    ::close(sock);
}

}

#include "http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <chrono>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Review
{

namespace
{

constexpr auto backlog = 512;
constexpr auto chunkSize = std::size_t{64} << 10U;
constexpr auto decimal = 10;
constexpr auto hexadecimal = 16;

auto loopback(int port) -> sockaddr_in
{
    auto out = sockaddr_in{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return out;
}

auto openListener(int port) -> int
{
    const auto sock = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto on = 1;
    ::setsockopt(sock, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto at = loopback(port);
    if (::bind(sock, reinterpret_cast<const sockaddr *>(&at), sizeof(at)) != 0 || ::listen(sock, backlog) != 0) {
        ::close(sock);
        return -1;
    }
    return sock;
}

auto portOf(int sock) -> int
{
    auto at = sockaddr_in{};
    auto size = socklen_t{sizeof(at)};
    ::getsockname(sock, reinterpret_cast<sockaddr *>(&at), &size);
    return ntohs(at.sin_port);
}

auto sendAll(int sock, const std::string &text) -> bool
{
    auto sent = std::size_t{0};
    while (sent < text.size()) {
        const auto n = ::send(sock, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

auto lowerCase(std::string text) -> std::string
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

auto decodeQuery(const std::string &text) -> std::string
{
    auto out = std::string{};
    for (auto i = std::size_t{0}; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, hexadecimal));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

auto parseQuery(const std::string &text) -> std::map<std::string, std::string>
{
    auto out = std::map<std::string, std::string>{};
    for (auto at = std::size_t{0}; at < text.size();) {
        const auto end = std::min(text.find('&', at), text.size());
        const auto field = text.substr(at, end - at);
        const auto equals = std::min(field.find('='), field.size());
        out[field.substr(0, equals)] = equals < field.size() ? decodeQuery(field.substr(equals + 1)) : std::string{};
        at = end + 1;
    }
    return out;
}

/// A message as read from a connection: its first line, its headers and its body.
struct Message
{
    std::string firstLine;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// @param buffer what has been read beyond the last message
/// @param deadline on the steady clock; 0: none
auto readMessage(int sock, std::string &buffer, std::int64_t deadline) -> std::optional<Message>
{
    auto chunk = std::array<char, chunkSize>{};
    auto headEnd = std::string::npos;
    auto total = std::string::npos;
    auto out = Message{};
    while (true) {
        if (headEnd == std::string::npos) {
            headEnd = buffer.find("\r\n\r\n");
            if (headEnd != std::string::npos) {
                auto at = buffer.find("\r\n");
                out.firstLine = buffer.substr(0, at);
                while (at < headEnd) {
                    const auto end = buffer.find("\r\n", at + 2);
                    const auto line = buffer.substr(at + 2, end - at - 2);
                    const auto colon = line.find(':');
                    if (colon != std::string::npos) {
                        const auto value = line.find_first_not_of(' ', colon + 1);
                        out.headers[lowerCase(line.substr(0, colon))] = value == std::string::npos ? std::string{} : line.substr(value);
                    }
                    at = end;
                }
                const auto length = out.headers.find("content-length");
                total = headEnd + 4 + (length == out.headers.end() ? 0 : std::strtoull(length->second.c_str(), nullptr, decimal));
            }
        }
        if (headEnd != std::string::npos && buffer.size() >= total) {
            out.body = buffer.substr(headEnd + 4, total - headEnd - 4);
            buffer.erase(0, total);
            return out;
        }
        if (deadline > 0) {
            auto fds = pollfd{.fd = sock, .events = POLLIN, .revents = 0};
            const auto left = deadline - steadyMs();
            if (left <= 0 || ::poll(&fds, 1, static_cast<int>(left)) <= 0) {
                return std::nullopt;
            }
        }
        const auto n = ::recv(sock, chunk.data(), chunk.size(), 0);
        if (n <= 0) {
            return std::nullopt;
        }
        buffer.append(chunk.data(), static_cast<std::size_t>(n));
    }
}

}

auto steadyMs() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

auto unixMs() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

Server::Server(int port, Handler handler)
    : m_port(port)
    , m_handler(std::move(handler))
{
}

Server::~Server()
{
    crash();
    while (m_active > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
}

auto Server::start() -> bool
{
    const auto listener = openListener(m_port);
    if (listener < 0) {
        return false;
    }
    m_port = portOf(listener);
    const auto lock = std::lock_guard{m_mutex};
    m_listener = listener;
    m_acceptor = std::thread([this, listener] { acceptLoop(listener); });
    return true;
}

auto Server::crash() -> void
{
    auto acceptor = std::thread{};
    {
        const auto lock = std::lock_guard{m_mutex};
        if (m_listener >= 0) {
            ::shutdown(m_listener, SHUT_RDWR);
        }
        for (const auto it : m_sockets) {
            // A reset, as from a process that is killed with unread bytes.
            const auto hard = linger{.l_onoff = 1, .l_linger = 0};
            ::setsockopt(it, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
            ::shutdown(it, SHUT_RDWR);
        }
        acceptor = std::move(m_acceptor);
    }
    if (acceptor.joinable()) {
        acceptor.join();
    }
}

auto Server::port() const -> int
{
    return m_port;
}

auto Server::address() const -> std::string
{
    return "127.0.0.1:" + std::to_string(m_port);
}

auto Server::acceptLoop(int listener) -> void
{
    while (true) {
        const auto sock = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (sock < 0) {
            break;
        }
        const auto on = 1;
        ::setsockopt(sock, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        const auto lock = std::lock_guard{m_mutex};
        m_sockets.insert(sock);
        ++m_active;
        std::thread([this, sock] { serve(sock); }).detach();
    }
    const auto lock = std::lock_guard{m_mutex};
    ::close(listener);
    m_listener = -1;
}

auto Server::serve(int sock) -> void
{
    auto buffer = std::string{};
    while (const auto message = readMessage(sock, buffer, 0)) {
        const auto &line = message->firstLine;
        const auto space = line.find(' ');
        const auto target = line.substr(space + 1, line.rfind(' ') - space - 1);
        const auto mark = std::min(target.find('?'), target.size());
        const auto response = m_handler({
            .method = line.substr(0, space),
            .path = target.substr(0, mark),
            .query = mark < target.size() ? parseQuery(target.substr(mark + 1)) : std::map<std::string, std::string>{},
            .headers = message->headers,
            .body = message->body,
        });
        if (response.silent) {
            // Nothing more comes back on this connection.
            auto chunk = std::array<char, chunkSize>{};
            while (::recv(sock, chunk.data(), chunk.size(), 0) > 0) { }
            break;
        }
        const auto head = "HTTP/1.1 " + std::to_string(response.status) + " X\r\nContent-Type: " + response.contentType
                          + "\r\nContent-Length: " + std::to_string(response.body.size()) + "\r\n\r\n";
        if (!sendAll(sock, head + response.body)) {
            break;
        }
    }
    {
        const auto lock = std::lock_guard{m_mutex};
        m_sockets.erase(sock);
        ::close(sock);
    }
    --m_active;
}

auto call(const std::string &address,
          const std::string &method,
          const std::string &path,
          const std::vector<std::pair<std::string, std::string>> &headers,
          const std::string &body,
          int timeoutMs) -> std::optional<Response>
{
    const auto port = static_cast<int>(std::strtol(address.substr(address.rfind(':') + 1).c_str(), nullptr, decimal));
    const auto sock = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto at = loopback(port);
    auto out = std::optional<Response>{};
    if (::connect(sock, reinterpret_cast<const sockaddr *>(&at), sizeof(at)) == 0) {
        auto text = method + " " + path + " HTTP/1.1\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
        if (!body.empty()) {
            text += "Content-Type: application/json\r\n";
        }
        for (const auto &[name, value] : headers) {
            text.append(name).append(": ").append(value).append("\r\n");
        }
        text.append("\r\n").append(body);
        auto buffer = std::string{};
        if (sendAll(sock, text)) {
            if (const auto message = readMessage(sock, buffer, steadyMs() + timeoutMs)) {
                const auto space = message->firstLine.find(' ');
                out = Response{.status = static_cast<int>(std::strtol(message->firstLine.c_str() + space + 1, nullptr, decimal)), .body = message->body};
            }
        }
    }
    ::close(sock);
    return out;
}

auto freePorts(int count) -> int
{
    // Below the ports that the system gives to outgoing connections, and apart from those of other scripts.
    constexpr auto firstPort = 10'000;
    constexpr auto blockSize = 64;
    constexpr auto blocks = 300;
    static auto next = firstPort + (::getpid() % blocks) * blockSize;
    constexpr auto tries = 200;
    for (auto i = 0; i < tries; ++i) {
        const auto port = next;
        next += count;
        auto open = std::vector<int>{};
        for (auto n = 0; n < count; ++n) {
            open.push_back(openListener(port + n));
        }
        const auto all = std::all_of(open.begin(), open.end(), [](int it) { return it >= 0; });
        for (const auto it : open) {
            if (it >= 0) {
                ::close(it);
            }
        }
        if (all) {
            return port;
        }
    }
    return 0;
}

}

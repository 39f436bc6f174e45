#include "standins/socketstream.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstring>
#include <thread>

namespace Catkin
{

namespace
{

constexpr auto ioTimeoutMs = 5000;

auto ready(socket_t sock, short events, int timeoutMs) -> bool
{
    auto fds = pollfd{.fd = sock, .events = events, .revents = 0};
    return poll(&fds, 1, timeoutMs) > 0;
}

}

SocketStream::SocketStream(socket_t sock)
    : m_sock(sock)
{
}

auto SocketStream::is_readable() const -> bool
{
    return m_begin < m_end || ready(m_sock, POLLIN, ioTimeoutMs);
}

auto SocketStream::is_writable() const -> bool
{
    return true;
}

auto SocketStream::read(char *ptr, size_t size) -> ssize_t
{
    if (m_begin == m_end) {
        if (!ready(m_sock, POLLIN, ioTimeoutMs)) {
            return -1;
        }
        const auto n = recv(m_sock, m_buf.data(), m_buf.size(), 0);
        if (n <= 0) {
            return n;
        }
        m_received += static_cast<std::size_t>(n);
        m_begin = 0;
        m_end = static_cast<std::size_t>(n);
    }
    const auto n = std::min(size, m_end - m_begin);
    std::memcpy(ptr, m_buf.data() + m_begin, n);
    m_begin += n;
    return static_cast<ssize_t>(n);
}

auto SocketStream::write(const char *ptr, size_t size) -> ssize_t
{
    m_answer.append(ptr, size);
    return static_cast<ssize_t>(size);
}

auto SocketStream::get_remote_ip_and_port(std::string &ip, int &port) const -> void
{
    ip = "127.0.0.1";
    port = 0;
}

auto SocketStream::get_local_ip_and_port(std::string &ip, int &port) const -> void
{
    ip = "127.0.0.1";
    port = 0;
}

auto SocketStream::socket() const -> socket_t
{
    return m_sock;
}

auto SocketStream::sendAll(const char *data, std::size_t size) -> bool
{
    while (size > 0) {
        if (!ready(m_sock, POLLOUT, ioTimeoutMs)) {
            return false;
        }
        const auto n = send(m_sock, data, size, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        m_sent += static_cast<std::size_t>(n);
        data += n;
        size -= static_cast<std::size_t>(n);
    }
    return true;
}

auto SocketStream::received() const -> std::size_t
{
    return m_received;
}

auto SocketStream::sent() const -> std::size_t
{
    return m_sent;
}

auto SocketStream::flush(const AnswerFate &fate) -> void
{
    if (fate.close || fate.hold) {
        return;
    }
    auto size = m_answer.size();
    if (fate.truncate) {
        const auto headerEnd = m_answer.find("\r\n\r\n");
        const auto bodyStart = headerEnd == std::string::npos ? size : headerEnd + 4;
        size = bodyStart + (size - bodyStart) / 2;
    }
    if (fate.trickle.count() == 0) {
        sendAll(m_answer.data(), size);
        return;
    }
    for (auto i = std::size_t{0}; i < size && sendAll(m_answer.data() + i, 1); ++i) {
        std::this_thread::sleep_for(fate.trickle);
    }
}

}

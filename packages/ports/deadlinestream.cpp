#include "ports/deadlinestream.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace Catkin
{

DeadlineStream::DeadlineStream(socket_t sock, std::chrono::steady_clock::time_point deadline, std::size_t maxBytes, TlsConnection *tls)
    : m_sock(sock)
    , m_deadline(deadline)
    , m_bytesLeft(maxBytes)
    , m_tls(tls)
{
}

auto DeadlineStream::setOperationTimeout(std::chrono::milliseconds timeout) -> void
{
    m_operationTimeout = timeout;
}

auto DeadlineStream::startOperation() -> void
{
    if (m_operationTimeout.count() > 0) {
        m_deadline = std::chrono::steady_clock::now() + m_operationTimeout;
        m_bytesLeft = m_buf.size();
    }
}

auto DeadlineStream::buffered() const -> bool
{
    return m_begin != m_end || (m_tls != nullptr && m_tls->pending());
}

/// Waits until the socket is ready or the deadline has passed.
auto DeadlineStream::waitFor(short events) -> bool
{
    for (;;) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(m_deadline - std::chrono::steady_clock::now()).count();
        if (left <= 0) {
            m_timedOut = true;
            return false;
        }
        auto fds = pollfd{.fd = m_sock, .events = events, .revents = 0};
        const auto n = poll(&fds, 1, static_cast<int>(std::min<std::int64_t>(left, 60000)));
        if (n > 0 || (n < 0 && errno != EINTR)) {
            return n > 0;
        }
    }
}

// The library asks before it writes; the functions below wait themselves, so the answer is always yes.
auto DeadlineStream::is_readable() const -> bool
{
    return true;
}

auto DeadlineStream::is_writable() const -> bool
{
    return true;
}

auto DeadlineStream::receive(std::size_t size) -> ssize_t
{
    if (m_tls != nullptr) {
        const auto n = m_tls->read(m_buf.data(), size, m_deadline);
        m_timedOut = m_timedOut || m_tls->timedOut();
        return n;
    }
    return waitFor(POLLIN) ? recv(m_sock, m_buf.data(), size, 0) : -1;
}

auto DeadlineStream::read(char *ptr, size_t size) -> ssize_t
{
    if (m_begin == m_end) {
        startOperation();
        if (m_bytesLeft == 0) {
            m_tooLong = true;
            return -1;
        }
        const auto n = receive(std::min(m_buf.size(), m_bytesLeft));
        if (n <= 0) {
            return n;
        }
        m_begin = 0;
        m_end = static_cast<std::size_t>(n);
        m_bytesLeft -= m_end;
    }
    const auto n = std::min(size, m_end - m_begin);
    std::memcpy(ptr, m_buf.data() + m_begin, n);
    m_begin += n;
    return static_cast<ssize_t>(n);
}

auto DeadlineStream::write(const char *ptr, size_t size) -> ssize_t
{
    startOperation();
    if (m_tls != nullptr) {
        const auto n = m_tls->write(ptr, size, m_deadline);
        m_timedOut = m_timedOut || m_tls->timedOut();
        return n;
    }
    // MSG_DONTWAIT: a blocking send of a large body would wait for the peer beyond the deadline.
    for (;;) {
        if (!waitFor(POLLOUT)) {
            return -1;
        }
        const auto n = send(m_sock, ptr, size, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n >= 0 || (errno != EAGAIN && errno != EINTR)) {
            return n;
        }
    }
}

auto DeadlineStream::get_remote_ip_and_port(std::string &ip, int &port) const -> void
{
    ip.clear();
    port = 0;
}

auto DeadlineStream::get_local_ip_and_port(std::string &ip, int &port) const -> void
{
    ip.clear();
    port = 0;
}

auto DeadlineStream::socket() const -> socket_t
{
    return m_sock;
}

auto DeadlineStream::timedOut() const -> bool
{
    return m_timedOut;
}

auto DeadlineStream::tooLong() const -> bool
{
    return m_tooLong;
}

}

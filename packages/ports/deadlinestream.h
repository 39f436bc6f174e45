#pragma once

/// A connected socket, plain or with TLS, as cpp-httplib sees it, with one deadline and one size limit for the whole exchange.
///
/// cpp-httplib's own timeouts restart with every byte, and it bounds a header line but not their number, so a
/// peer that trickles or that never ends its header would hold a thread and memory without limit.
///
/// @code
///   auto stream = Catkin::DeadlineStream{sock, deadline, maxBytes};
///   callback(stream);
///   if (stream.timedOut()) { ... }
/// @endcode

#include "ports/tls.h"

#include <httplib.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <string>

namespace Catkin
{

class DeadlineStream : public httplib::Stream
{
public:
    /// @param sock connected socket, not owned
    /// @param deadline time at which reads and writes fail
    /// @param maxBytes number of bytes after which reads fail
    /// @param tls connection over @p sock whose handshake is done, not owned; null for plain text
    DeadlineStream(socket_t sock, std::chrono::steady_clock::time_point deadline, std::size_t maxBytes, TlsConnection *tls = nullptr);

    /// From now on each read and write has its own deadline, @p timeout after its start, and any number of bytes may be read.
    auto setOperationTimeout(std::chrono::milliseconds timeout) -> void;

    /// @return whether a read would return without the socket becoming readable.
    [[nodiscard]] auto buffered() const -> bool;

    [[nodiscard]] auto is_readable() const -> bool override;
    [[nodiscard]] auto is_writable() const -> bool override;
    auto read(char *ptr, size_t size) -> ssize_t override;
    auto write(const char *ptr, size_t size) -> ssize_t override;
    auto get_remote_ip_and_port(std::string &ip, int &port) const -> void override;
    auto get_local_ip_and_port(std::string &ip, int &port) const -> void override;
    [[nodiscard]] auto socket() const -> socket_t override;

    /// @return whether a read or write failed because of the deadline.
    [[nodiscard]] auto timedOut() const -> bool;
    /// @return whether a read failed because of the size limit.
    [[nodiscard]] auto tooLong() const -> bool;

private:
    auto waitFor(short events) -> bool;
    auto receive(std::size_t size) -> ssize_t;
    auto startOperation() -> void;

    socket_t m_sock;
    std::chrono::steady_clock::time_point m_deadline;
    std::size_t m_bytesLeft;
    TlsConnection *m_tls;
    std::chrono::milliseconds m_operationTimeout{0}; // 0: one deadline for all
    bool m_timedOut = false;
    bool m_tooLong = false;
    std::array<char, 4096> m_buf{};
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
};

}

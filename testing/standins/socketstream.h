#pragma once

/// A connection as cpp-httplib sees it; the answer is held back so that a fault can still change or drop it.

#include <httplib.h>

#include <array>
#include <chrono>
#include <string>

namespace Catkin
{

/// What happens to the answer of a connection.
struct AnswerFate
{
    bool close = false; ///< close without sending anything
    bool hold = false; ///< keep the connection open and never send anything
    bool truncate = false; ///< send the header and half of the body, then close
    std::chrono::milliseconds trickle{0}; ///< pause after every byte
};

class SocketStream : public httplib::Stream
{
public:
    explicit SocketStream(socket_t sock);
    [[nodiscard]] auto is_readable() const -> bool override;
    [[nodiscard]] auto is_writable() const -> bool override;
    auto read(char *ptr, size_t size) -> ssize_t override;
    auto write(const char *ptr, size_t size) -> ssize_t override;
    auto get_remote_ip_and_port(std::string &ip, int &port) const -> void override;
    auto get_local_ip_and_port(std::string &ip, int &port) const -> void override;
    [[nodiscard]] auto socket() const -> socket_t override;

    /// Sends the answer that was written, changed as @p fate says.
    auto flush(const AnswerFate &fate) -> void;

    /// @return bytes received so far.
    [[nodiscard]] auto received() const -> std::size_t;
    /// @return bytes sent by flush().
    [[nodiscard]] auto sent() const -> std::size_t;

private:
    auto sendAll(const char *data, std::size_t size) -> bool;

    socket_t m_sock;
    std::array<char, 4096> m_buf{};
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
    std::string m_answer;
    std::size_t m_received = 0;
    std::size_t m_sent = 0;
};

}

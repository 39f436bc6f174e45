#pragma once

/// Non-blocking TCP sockets by IP address.
///
/// @code
///   auto listener = Catkin::listenTcp("127.0.0.1:0");
///   auto port = Catkin::localPort(listener.value().get());
///   auto connection = Catkin::connectTcp("127.0.0.1:4100");   // completes when the socket becomes writable
/// @endcode

#include "util/outcome.h"

#include <string>

namespace Catkin
{

/// Owns a file descriptor.
class UniqueFd
{
public:
    UniqueFd() = default;
    explicit UniqueFd(int fd);
    ~UniqueFd();
    UniqueFd(UniqueFd &&other) noexcept;
    auto operator=(UniqueFd &&other) noexcept -> UniqueFd &;
    UniqueFd(const UniqueFd &) = delete;
    auto operator=(const UniqueFd &) -> UniqueFd & = delete;

    /// @return the descriptor, or -1.
    [[nodiscard]] auto get() const -> int;
    /// Closes the descriptor.
    auto reset() -> void;

private:
    int m_fd = -1;
};

/// @param address "ip:port" (IPv4, or IPv6 in brackets); port 0 selects a free one
/// @return a listening socket; ErrorCode::InvalidInput for a malformed address, ErrorCode::Unavailable when the system refuses.
auto listenTcp(const std::string &address) -> Result<UniqueFd>;

/// Starts to connect.
/// @return the socket; errors as above, when the attempt failed at once.
auto connectTcp(const std::string &address) -> Result<UniqueFd>;

/// @return a connection from @p listener's queue; ErrorCode::NotFound when there is none, ErrorCode::Unavailable when
/// the system cannot give one now.
auto acceptTcp(int listener) -> Result<UniqueFd>;

/// @return the port that @p fd is bound to, or 0.
auto localPort(int fd) -> int;

/// Wakes a thread that polls.
class WakePipe
{
public:
    /// @return ErrorCode::Unavailable when no pipe can be had.
    auto open() -> Result<void>;
    /// Makes readFd() readable; callable from any thread.
    auto wake() const -> void;
    /// Discards earlier wakes.
    auto drain() const -> void;
    [[nodiscard]] auto readFd() const -> int;

private:
    UniqueFd m_read;
    UniqueFd m_write;
};

}

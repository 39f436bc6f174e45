#include "wire/sockets.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <system_error>
#include <utility>

namespace Catkin
{

namespace
{

struct SocketAddress
{
    sockaddr_storage storage{};
    socklen_t size = 0;
};

auto parseAddress(const std::string &address) -> Result<SocketAddress>
{
    const auto bad = [&] { return failure(ErrorCode::InvalidInput, "'" + address + "' is not \"ip:port\""); };
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return bad();
    }
    auto host = address.substr(0, colon);
    auto port = 0;
    const auto *end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    if (parsed.ec != std::errc{} || parsed.ptr != end || port < 0 || port > 65535) {
        return bad();
    }
    auto result = SocketAddress{};
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
        auto in6 = sockaddr_in6{};
        in6.sin6_family = AF_INET6;
        in6.sin6_port = htons(static_cast<std::uint16_t>(port));
        if (inet_pton(AF_INET6, host.c_str(), &in6.sin6_addr) != 1) {
            return bad();
        }
        std::memcpy(&result.storage, &in6, sizeof in6);
        result.size = sizeof in6;
        return result;
    }
    auto in4 = sockaddr_in{};
    in4.sin_family = AF_INET;
    in4.sin_port = htons(static_cast<std::uint16_t>(port));
    if (inet_pton(AF_INET, host.c_str(), &in4.sin_addr) != 1) {
        return bad();
    }
    std::memcpy(&result.storage, &in4, sizeof in4);
    result.size = sizeof in4;
    return result;
}

auto systemError(const std::string &what) -> Error
{
    return failure(ErrorCode::Unavailable, what + ": " + std::system_category().message(errno));
}

auto asSockaddr(const sockaddr_storage &storage) -> const sockaddr *
{
    return reinterpret_cast<const sockaddr *>(&storage);
}

/// Small control messages must not wait for the acknowledgement of earlier ones.
auto disableDelay(int fd) -> void
{
    const auto on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}

UniqueFd::UniqueFd(int fd)
    : m_fd(fd)
{
}

UniqueFd::~UniqueFd()
{
    reset();
}

UniqueFd::UniqueFd(UniqueFd &&other) noexcept
    : m_fd(std::exchange(other.m_fd, -1))
{
}

auto UniqueFd::operator=(UniqueFd &&other) noexcept -> UniqueFd &
{
    if (this != &other) {
        reset();
        m_fd = std::exchange(other.m_fd, -1);
    }
    return *this;
}

auto UniqueFd::get() const -> int
{
    return m_fd;
}

auto UniqueFd::reset() -> void
{
    if (m_fd >= 0) {
        close(m_fd);
        m_fd = -1;
    }
}

auto listenTcp(const std::string &address) -> Result<UniqueFd>
{
    auto target = parseAddress(address);
    if (!target) {
        return target.error();
    }
    auto fd = UniqueFd{socket(target.value().storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
    const auto on = 1;
    constexpr auto backlog = 64;
    if (fd.get() < 0 || setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0
        || bind(fd.get(), asSockaddr(target.value().storage), target.value().size) != 0 || listen(fd.get(), backlog) != 0) {
        return systemError("listen on " + address);
    }
    return fd;
}

auto connectTcp(const std::string &address) -> Result<UniqueFd>
{
    auto target = parseAddress(address);
    if (!target) {
        return target.error();
    }
    auto fd = UniqueFd{socket(target.value().storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
    if (fd.get() < 0) {
        return systemError("socket");
    }
    disableDelay(fd.get());
    if (connect(fd.get(), asSockaddr(target.value().storage), target.value().size) != 0 && errno != EINPROGRESS) {
        return systemError("connect to " + address);
    }
    return fd;
}

auto acceptTcp(int listener) -> Result<UniqueFd>
{
    auto fd = UniqueFd{accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)};
    if (fd.get() < 0) {
        const auto none = errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR || errno == ECONNABORTED;
        return none ? failure(ErrorCode::NotFound, "no connection waits") : systemError("accept");
    }
    disableDelay(fd.get());
    return fd;
}

auto localPort(int fd) -> int
{
    auto storage = sockaddr_storage{};
    auto size = socklen_t{sizeof storage};
    if (getsockname(fd, reinterpret_cast<sockaddr *>(&storage), &size) != 0) {
        return 0;
    }
    if (storage.ss_family == AF_INET6) {
        auto in6 = sockaddr_in6{};
        std::memcpy(&in6, &storage, sizeof in6);
        return ntohs(in6.sin6_port);
    }
    auto in4 = sockaddr_in{};
    std::memcpy(&in4, &storage, sizeof in4);
    return ntohs(in4.sin_port);
}

auto WakePipe::open() -> Result<void>
{
    auto fds = std::array<int, 2>{};
    if (pipe2(fds.data(), O_NONBLOCK | O_CLOEXEC) != 0) {
        return systemError("pipe");
    }
    m_read = UniqueFd{fds[0]};
    m_write = UniqueFd{fds[1]};
    return success();
}

auto WakePipe::wake() const -> void
{
    const auto byte = char{0};
    // A full pipe is readable already, so a failed write loses nothing.
    [[maybe_unused]] const auto n = write(m_write.get(), &byte, 1);
}

auto WakePipe::drain() const -> void
{
    auto buf = std::array<char, 256>{};
    while (read(m_read.get(), buf.data(), buf.size()) == static_cast<ssize_t>(buf.size())) { }
}

auto WakePipe::readFd() const -> int
{
    return m_read.get();
}

}

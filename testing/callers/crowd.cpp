#include "callers/crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <utility>

namespace Catkin
{

namespace
{

constexpr auto turnInterval = std::chrono::milliseconds{2};
constexpr auto slowInterval = std::chrono::milliseconds{400};
/// Small, so that few unread answers fill it.
constexpr auto receiveBuffer = 4'096;

auto wouldBlock() -> bool
{
    return errno == EAGAIN || errno == EINPROGRESS || errno == ENOTCONN || errno == EINTR;
}

}

Crowd::Crowd(CrowdAddress address)
    : m_address(std::move(address))
{
}

Crowd::~Crowd()
{
    m_stopping = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
    for (const auto &it : m_callers) {
        if (it.fd >= 0) {
            ::close(it.fd);
        }
    }
}

auto Crowd::add(int callers, const CallerPattern &pattern) -> void
{
    for (auto i = 0; i < callers; ++i) {
        m_callers.push_back({.pattern = pattern});
    }
}

auto Crowd::begin() -> void
{
    m_thread = std::thread([this] { run(); });
}

auto Crowd::open() const -> int
{
    return m_open;
}

auto Crowd::sent() const -> std::size_t
{
    return m_sent;
}

auto Crowd::run() -> void
{
    for (auto &it : m_callers) {
        connect(it);
    }
    auto nextSlow = std::chrono::steady_clock::now();
    while (!m_stopping) {
        const auto isSlowTurn = std::chrono::steady_clock::now() >= nextSlow;
        if (isSlowTurn) {
            nextSlow += slowInterval;
        }
        for (auto &it : m_callers) {
            turn(it, isSlowTurn);
        }
        m_open = static_cast<int>(std::count_if(m_callers.begin(), m_callers.end(), [](const auto &it) { return !it.isClosed; }));
        std::this_thread::sleep_for(turnInterval);
    }
}

auto Crowd::connect(Caller &caller) const -> void
{
    caller.fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    ::setsockopt(caller.fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    auto to = sockaddr_in{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(m_address.port));
    inet_pton(AF_INET, m_address.ip.c_str(), &to.sin_addr);
    caller.isClosed = ::connect(caller.fd, reinterpret_cast<const sockaddr *>(&to), sizeof to) != 0 && !wouldBlock();
}

auto Crowd::turn(Caller &caller, bool isSlowTurn) -> void
{
    const auto &pattern = caller.pattern;
    const auto total = pattern.text->size() * pattern.repeats;
    if (caller.isClosed) {
        return;
    }
    // A peer that closes is noticed also by a caller that has nothing left to send.
    auto byte = char{};
    const auto reads = pattern.readsSlowly && isSlowTurn;
    const auto got = ::recv(caller.fd, &byte, 1, MSG_DONTWAIT | (reads ? 0 : MSG_PEEK));
    if (got == 0 || (got < 0 && !wouldBlock())) {
        caller.isClosed = true;
        return;
    }
    const auto isSlow = caller.sent >= pattern.slowFrom;
    if (caller.sent >= total || (isSlow && !isSlowTurn)) {
        return;
    }
    const auto at = caller.sent % pattern.text->size();
    auto n = isSlow ? std::size_t{1} : std::min(pattern.text->size() - at, pattern.piece);
    if (!isSlow) {
        n = std::min(n, pattern.slowFrom - caller.sent);
    }
    const auto done = ::send(caller.fd, pattern.text->data() + at, n, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (done > 0) {
        caller.sent += static_cast<std::size_t>(done);
        m_sent += static_cast<std::size_t>(done);
    } else if (!wouldBlock()) {
        caller.isClosed = true;
    }
}

}

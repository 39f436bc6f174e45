#include "harness/relay.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <list>
#include <mutex>
#include <thread>
#include <vector>

namespace Catkin
{

namespace
{

using SteadyTime = std::chrono::steady_clock::time_point;

constexpr auto backlog = 256;
constexpr auto chunkBytes = std::size_t{16384};
constexpr auto maxQueuedBytes = std::size_t{1} << 20U;

auto loopback(int port) -> sockaddr_in
{
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

auto setOption(int fd, int level, int name) -> void
{
    const auto on = 1;
    setsockopt(fd, level, name, &on, sizeof on);
}

/// @param port port to bind, 0 for any
/// @return a bound socket; -1 when the port cannot be had
auto openBound(int port) -> int
{
    const auto fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    setOption(fd, SOL_SOCKET, SO_REUSEADDR);
    const auto address = loopback(port);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/// @return a listening socket; -1 when the port cannot be had
auto openListener(int port) -> int
{
    const auto fd = openBound(port);
    if (fd >= 0 && listen(fd, backlog) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

auto portOf(int fd) -> int
{
    auto address = sockaddr_in{};
    auto size = socklen_t{sizeof address};
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

struct Chunk
{
    SteadyTime due;
    std::string data; ///< empty for the end of the stream
};

/// Data on its way in one direction.
struct Direction
{
    int from = -1;
    int to = -1;
    std::deque<Chunk> queue;
    std::size_t queued = 0;
    bool ended = false; ///< the sender has closed its side
};

struct Connection
{
    std::array<Direction, 2> directions;
    bool frozen = false;
    bool broken = false;
    int ends = 0; ///< directions whose end has been passed on
};

}

/// One thread that serves every connection of a relay.
class Relay::Loop
{
public:
    Loop(int targetPort, Millis delay)
        : m_targetPort(targetPort)
        , m_delay(delay)
        , m_holder(openBound(0))
        , m_port(m_holder < 0 ? 0 : portOf(m_holder))
        , m_listener(m_port == 0 ? -1 : openListener(m_port))
        , m_wake(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
        , m_thread([this] { run(); })
    {
    }

    ~Loop()
    {
        command([this] { m_stop = true; });
        m_thread.join();
        cut();
        close(m_holder);
        close(m_wake);
    }

    /// Runs @p change on the loop's thread and waits for it.
    auto command(std::function<void()> change) -> void
    {
        auto lock = std::unique_lock{m_mutex};
        m_command = std::move(change);
        const auto one = std::uint64_t{1};
        while (write(m_wake, &one, sizeof one) < 0) { }
        m_done.wait(lock, [this] { return !m_command; });
    }

    auto setMode(RelayMode mode) -> void
    {
        m_mode = mode;
        if (mode == RelayMode::Cut) {
            cut();
        } else if (m_listener < 0) {
            m_listener = openListener(m_port);
        }
    }

    auto setTarget(int targetPort) -> void
    {
        m_targetPort = targetPort;
    }

    auto freeze() -> void
    {
        for (auto &it : m_connections) {
            it.frozen = true;
        }
    }

    [[nodiscard]] auto port() const -> int
    {
        return m_port;
    }

    [[nodiscard]] auto bytes() const -> std::int64_t
    {
        return m_bytes;
    }

private:
    auto cut() -> void
    {
        for (auto &it : m_connections) {
            closeBoth(it);
        }
        m_connections.clear();
        if (m_listener >= 0) {
            close(m_listener);
            m_listener = -1;
        }
    }

    static auto closeBoth(const Connection &connection) -> void
    {
        close(connection.directions[0].from);
        close(connection.directions[0].to);
    }

    auto run() -> void
    {
        while (!m_stop) {
            waitForWork();
            takeCommand();
            acceptAll();
            for (auto it = m_connections.begin(); it != m_connections.end();) {
                serve(*it);
                if (it->broken || it->ends == 2) {
                    closeBoth(*it);
                    it = m_connections.erase(it);
                } else {
                    ++it;
                }
            }
        }
    }

    [[nodiscard]] auto passes(const Connection &connection) const -> bool
    {
        return m_mode == RelayMode::Pass && !connection.frozen;
    }

    auto waitForWork() -> void
    {
        auto fds = std::vector<pollfd>{{.fd = m_wake, .events = POLLIN, .revents = 0}, {.fd = m_listener, .events = POLLIN, .revents = 0}};
        auto timeout = -1;
        const auto now = std::chrono::steady_clock::now();
        for (const auto &connection : m_connections) {
            if (!passes(connection)) {
                continue;
            }
            for (const auto &it : connection.directions) {
                if (!it.ended && it.queued < maxQueuedBytes) {
                    fds.push_back({.fd = it.from, .events = POLLIN, .revents = 0});
                }
                if (!it.queue.empty() && it.queue.front().due <= now) {
                    fds.push_back({.fd = it.to, .events = POLLOUT, .revents = 0});
                } else if (!it.queue.empty()) {
                    const auto wait = static_cast<int>(std::chrono::duration_cast<Millis>(it.queue.front().due - now).count()) + 1;
                    timeout = timeout < 0 ? wait : std::min(timeout, wait);
                }
            }
        }
        poll(fds.data(), fds.size(), timeout);
    }

    auto takeCommand() -> void
    {
        auto count = std::uint64_t{0};
        if (read(m_wake, &count, sizeof count) < 0) {
            return;
        }
        const auto lock = std::lock_guard{m_mutex};
        if (m_command) {
            m_command();
            m_command = nullptr;
            m_done.notify_all();
        }
    }

    auto acceptAll() -> void
    {
        if (m_listener < 0) {
            return;
        }
        for (auto fd = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC); fd >= 0;
             fd = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) {
            const auto target = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const auto address = loopback(m_targetPort);
            // On loopback a connection stands or is refused at once.
            if (connect(target, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
                close(target);
                close(fd);
                continue;
            }
            fcntl(target, F_SETFL, O_NONBLOCK);
            setOption(fd, IPPROTO_TCP, TCP_NODELAY);
            setOption(target, IPPROTO_TCP, TCP_NODELAY);
            m_connections.push_back({.directions = {Direction{.from = fd, .to = target}, Direction{.from = target, .to = fd}}});
        }
    }

    auto serve(Connection &connection) -> void
    {
        if (!passes(connection)) {
            return;
        }
        for (auto &it : connection.directions) {
            receive(connection, it);
            forward(connection, it);
        }
    }

    auto receive(Connection &connection, Direction &direction) const -> void
    {
        auto buf = std::array<char, chunkBytes>{};
        while (!direction.ended && direction.queued < maxQueuedBytes) {
            const auto n = recv(direction.from, buf.data(), buf.size(), 0);
            if (n < 0) {
                connection.broken = connection.broken || (errno != EAGAIN && errno != EINTR);
                return;
            }
            direction.ended = n == 0;
            direction.queued += static_cast<std::size_t>(n);
            direction.queue.push_back({.due = std::chrono::steady_clock::now() + m_delay, .data = std::string(buf.data(), static_cast<std::size_t>(n))});
        }
    }

    auto forward(Connection &connection, Direction &direction) -> void
    {
        const auto now = std::chrono::steady_clock::now();
        while (!direction.queue.empty() && direction.queue.front().due <= now) {
            auto &data = direction.queue.front().data;
            if (data.empty()) {
                shutdown(direction.to, SHUT_WR);
                ++connection.ends;
                direction.queue.pop_front();
                continue;
            }
            const auto n = send(direction.to, data.data(), data.size(), MSG_NOSIGNAL);
            if (n < 0) {
                connection.broken = connection.broken || (errno != EAGAIN && errno != EINTR);
                return;
            }
            m_bytes += n;
            direction.queued -= static_cast<std::size_t>(n);
            data.erase(0, static_cast<std::size_t>(n));
            if (data.empty()) {
                direction.queue.pop_front();
            }
        }
    }

    int m_targetPort;
    Millis m_delay;
    RelayMode m_mode = RelayMode::Pass;
    bool m_stop = false;
    int m_holder; ///< bound and never listening: keeps the port from others while it is cut
    int m_port;
    int m_listener;
    int m_wake;
    std::list<Connection> m_connections;
    std::atomic<std::int64_t> m_bytes = 0;
    std::mutex m_mutex;
    std::condition_variable m_done;
    std::function<void()> m_command;
    std::thread m_thread; ///< last, because it uses the other members
};

Relay::Relay(int targetPort, Millis delay)
    : m_loop(std::make_unique<Loop>(targetPort, delay))
{
}

Relay::~Relay() = default;

auto Relay::port() const -> int
{
    return m_loop->port();
}

auto Relay::address() const -> std::string
{
    return "127.0.0.1:" + std::to_string(port());
}

auto Relay::setMode(RelayMode mode) -> void
{
    m_loop->command([this, mode] { m_loop->setMode(mode); });
}

auto Relay::setTarget(int targetPort) -> void
{
    m_loop->command([this, targetPort] { m_loop->setTarget(targetPort); });
}

auto Relay::freezeOpenConnections() -> void
{
    m_loop->command([this] { m_loop->freeze(); });
}

auto Relay::bytesPassed() const -> std::int64_t
{
    return m_loop->bytes();
}

}

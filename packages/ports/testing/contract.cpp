#include "contract.h"

#include "harness/poll.h"

#include <nlohmann/json.hpp>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <csignal>

namespace Catkin
{

namespace
{

auto openListener() -> int
{
    const auto fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0);
    REQUIRE(listen(fd, 16) == 0);
    return fd;
}

}

auto requireStandin(const std::string &name, const std::vector<std::string> &arguments) -> std::unique_ptr<ChildProcess>
{
    auto child = startStandin(name, arguments);
    REQUIRE_MESSAGE(child.has_value(), (child ? "" : child.error().message));
    return std::move(child.value());
}

auto setFaults(const ChildProcess &standin, const std::string &json) -> void
{
    auto merged = nlohmann::json{{"reset", true}};
    merged.update(nlohmann::json::parse(json));
    const auto done = control(standin, merged.dump());
    REQUIRE_MESSAGE(done.has_value(), (done ? "" : done.error().message));
}

auto countEvents(const ChildProcess &standin, const std::string &event) -> int
{
    const auto text = fetchHistory(standin);
    REQUIRE(text.has_value());
    auto n = 0;
    const auto history = nlohmann::json::parse(text.value());
    for (const auto &it : history["events"]) {
        n += it["event"] == event ? 1 : 0;
    }
    return n;
}

auto checkEffects(const std::function<int()> &count, int expected) -> void
{
    eventually([&] { return count() >= expected; });
    CHECK(count() == expected);
}

auto deadAddress() -> std::string
{
    const auto child = requireStandin("executor_standin");
    child->signal(SIGKILL);
    REQUIRE(child->waitExit(longTimeout).has_value());
    return child->address();
}

RawPeer::RawPeer(std::string answer, Millis pause)
    : m_answer(std::move(answer))
    , m_pause(pause)
    , m_listener(openListener())
    , m_thread([this] { run(); })
{
}

RawPeer::~RawPeer()
{
    shutdown(m_listener, SHUT_RDWR);
    m_thread.join();
    close(m_listener);
}

auto RawPeer::address() const -> std::string
{
    auto address = sockaddr_in{};
    auto size = socklen_t{sizeof address};
    getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

auto RawPeer::run() const -> void
{
    for (auto fd = accept(m_listener, nullptr, nullptr); fd >= 0; fd = accept(m_listener, nullptr, nullptr)) {
        auto buf = std::array<char, 65536>{};
        recv(fd, buf.data(), buf.size(), 0);
        const auto step = m_pause.count() == 0 ? m_answer.size() : std::size_t{1};
        for (auto i = std::size_t{0}; i < m_answer.size() && send(fd, m_answer.data() + i, step, MSG_NOSIGNAL) > 0; i += step) {
            std::this_thread::sleep_for(m_pause);
        }
        shutdown(fd, SHUT_RDWR);
        close(fd);
    }
}

}

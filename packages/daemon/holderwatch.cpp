#include "daemon/holderwatch.h"

#include "ports/httpclient.h"
#include "util/logging.h"
#include "util/threadname.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace Catkin
{

namespace
{

/// Between two looks at whether the holder has changed while its connection is quiet.
constexpr auto quietPoll = Millis{200};
constexpr auto connectTimeout = Millis{300};
/// Between two connections, so that a holder that closes each at once costs little.
constexpr auto reconnectPause = Millis{20};

enum class Contact { Open, Refused, Failed };

struct Connection
{
    Contact contact = Contact::Failed;
    int sock = -1;
};

auto connectTo(const std::string &address) -> Connection
{
    const auto parts = splitAddress(address);
    auto target = sockaddr_in{.sin_family = AF_INET};
    if (!parts || inet_pton(AF_INET, parts.value().first.c_str(), &target.sin_addr) != 1) {
        return {};
    }
    target.sin_port = htons(static_cast<std::uint16_t>(parts.value().second));
    const auto sock = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (sock < 0) {
        return {};
    }
    auto error = 0;
    if (::connect(sock, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0) {
        error = errno;
    }
    if (error == EINPROGRESS) {
        auto fds = pollfd{.fd = sock, .events = POLLOUT, .revents = 0};
        error = ETIMEDOUT;
        if (::poll(&fds, 1, static_cast<int>(connectTimeout.count())) > 0) {
            auto length = socklen_t{sizeof(error)};
            ::getsockopt(sock, SOL_SOCKET, SO_ERROR, &error, &length);
        }
    }
    if (error == 0) {
        return {.contact = Contact::Open, .sock = sock};
    }
    ::close(sock);
    return {.contact = error == ECONNREFUSED ? Contact::Refused : Contact::Failed};
}

/// @return whether the peer has closed or reset the connection.
auto isClosed(int sock) -> bool
{
    auto fds = pollfd{.fd = sock, .events = POLLIN, .revents = 0};
    return ::poll(&fds, 1, static_cast<int>(quietPoll.count())) > 0;
}

}

HolderWatch::HolderWatch(std::function<void(std::int64_t epoch)> ended)
    : m_ended(std::move(ended))
    , m_thread([this] { run(); })
{
}

HolderWatch::~HolderWatch()
{
    stop();
}

auto HolderWatch::stop() -> void
{
    {
        const auto lock = std::lock_guard{m_mutex};
        m_stopping = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

auto HolderWatch::setHolder(const std::string &address, std::int64_t epoch) -> void
{
    const auto lock = std::lock_guard{m_mutex};
    if (m_epoch != epoch || m_address != address) {
        m_address = address;
        m_epoch = epoch;
        m_changed.notify_all();
    }
}

auto HolderWatch::unchanged(std::int64_t epoch) -> bool
{
    const auto lock = std::lock_guard{m_mutex};
    return !m_stopping && m_epoch == epoch;
}

auto HolderWatch::watch(const std::string &address, std::int64_t epoch) -> void
{
    const auto connection = connectTo(address);
    if (connection.contact == Contact::Open) {
        while (unchanged(epoch) && !isClosed(connection.sock)) { }
        ::close(connection.sock);
    } else if (connection.contact == Contact::Refused && unchanged(epoch)) {
        logEvent(LogLevel::Info, 6048, "the holder of epoch=" + std::to_string(epoch) + " at " + address + " has ended");
        m_ended(epoch);
        const auto lock = std::lock_guard{m_mutex};
        m_reported = epoch;
    }
}

auto HolderWatch::run() -> void
{
    nameThread("holder-watch");
    auto lock = std::unique_lock{m_mutex};
    while (!m_stopping) {
        m_changed.wait(lock, [&] { return m_stopping || (!m_address.empty() && m_reported != m_epoch); });
        if (m_stopping) {
            return;
        }
        const auto address = m_address;
        const auto epoch = m_epoch;
        lock.unlock();
        watch(address, epoch);
        lock.lock();
        m_changed.wait_for(lock, reconnectPause, [&] { return m_stopping; });
    }
}

}

#include "harness/tlspeer.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

namespace Catkin
{

namespace
{

/// Longer than any test; a client that goes away ends the wait at once.
constexpr auto patience = std::chrono::seconds{20};

auto openListener() -> int
{
    const auto fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || listen(fd, 16) != 0) {
        throw std::runtime_error("cannot listen on the loopback address");
    }
    return fd;
}

auto loadServer(const TlsFiles &files) -> std::shared_ptr<TlsCredentials>
{
    // Faulty certificates are what the tests are about; their check accepts the time of their making.
    auto clock = systemClock();
    auto loaded = TlsCredentials::load(TlsRole::Server, files, clock);
    for (auto hours = -48; !loaded && hours <= 48; ++hours) {
        clock.wall = [hours] { return systemClock().wall() + std::chrono::hours{hours}; };
        loaded = TlsCredentials::load(TlsRole::Server, files, clock);
    }
    if (!loaded) {
        throw std::runtime_error(loaded.error().message);
    }
    return loaded.value();
}

}

TlsPeer::TlsPeer(const TlsFiles &files, TlsPeerOptions options)
    : m_credentials(loadServer(files))
    , m_options(std::move(options))
    , m_listener(openListener())
    , m_thread([this] { run(); })
{
}

TlsPeer::~TlsPeer()
{
    shutdown(m_listener, SHUT_RDWR);
    m_thread.join();
    close(m_listener);
}

auto TlsPeer::address() const -> std::string
{
    auto address = sockaddr_in{};
    auto size = socklen_t{sizeof address};
    getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
    return "https://127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

auto TlsPeer::requestBytes() const -> std::size_t
{
    return m_requestBytes;
}

auto TlsPeer::connections() const -> int
{
    return m_connections;
}

auto TlsPeer::run() -> void
{
    for (auto fd = accept(m_listener, nullptr, nullptr); fd >= 0; fd = accept(m_listener, nullptr, nullptr)) {
        serve(fd);
        shutdown(fd, SHUT_RDWR);
        close(fd);
        ++m_connections;
    }
}

auto TlsPeer::serve(int sock) -> void
{
    const auto deadline = std::chrono::steady_clock::now() + patience;
    auto tls = TlsConnection{sock, m_credentials->current(), TlsRole::Server};
    if (!tls.handshake(deadline)) {
        return;
    }
    auto buf = std::array<char, 65536>{};
    auto n = tls.read(buf.data(), buf.size(), deadline);
    m_requestBytes += static_cast<std::size_t>(std::max<ssize_t>(n, 0));
    while (n > 0 && m_options.stall) {
        n = tls.read(buf.data(), buf.size(), deadline);
    }
    if (n <= 0) {
        return;
    }
    for (auto sent = std::size_t{0}; sent < m_options.answer.size();) {
        const auto written = tls.write(m_options.answer.data() + sent, m_options.answer.size() - sent, deadline);
        if (written < 0) {
            return;
        }
        sent += static_cast<std::size_t>(written);
    }
    if (m_options.announceEnd) {
        tls.close();
    }
}

}

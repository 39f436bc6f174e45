// Cost of TLS on a listener: latency and processor time of a request with and without it, and memory for each open connection.
// usage: tls_figures [REQUESTS]

#include "daemon/httplistener.h"
#include "harness/certificates.h"
#include "ports/httpclient.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace Catkin;

namespace
{

constexpr auto connections = 64; ///< the daemon's default number of threads for callers
constexpr auto patience = Millis{20'000};

/// The listener in a process of its own, so that its time and memory are not the client's.
struct Server
{
    pid_t pid = -1;
    int port = 0;
    int closeToStop = -1;
};

auto serve(const std::shared_ptr<TlsCredentials> &tls, int portFd, int stopFd) -> void
{
    auto listener = HttpListener{{.address = "127.0.0.1:0", .threads = connections, .keepAlive = patience, .tls = tls}};
    listener.route("POST", "/echo", [](const HttpRequest &request) { return HttpResponse{.body = request.body, .contentType = "text/plain"}; });
    const auto port = listener.start().value();
    auto end = char{};
    if (write(portFd, &port, sizeof port) == sizeof port) {
        (void)!read(stopFd, &end, 1); // returns when the parent closes its end
    }
    std::_Exit(0);
}

auto startServer(const std::shared_ptr<TlsCredentials> &tls) -> Server
{
    auto ports = std::array<int, 2>{};
    auto stops = std::array<int, 2>{};
    if (pipe(ports.data()) != 0 || pipe(stops.data()) != 0) {
        std::abort();
    }
    auto server = Server{.pid = fork(), .port = 0, .closeToStop = stops[1]};
    if (server.pid == 0) {
        close(stops[1]);
        serve(tls, ports[1], stops[0]);
    }
    if (read(ports[0], &server.port, sizeof server.port) != sizeof server.port) {
        std::abort();
    }
    return server;
}

auto stopServer(const Server &server) -> void
{
    close(server.closeToStop);
    waitpid(server.pid, nullptr, 0);
}

auto cpuMicros(pid_t pid) -> double
{
    auto id = clockid_t{};
    auto time = timespec{};
    clock_getcpuclockid(pid, &id);
    clock_gettime(id, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) * 1e-3;
}

auto residentKb(pid_t pid) -> long
{
    auto in = std::ifstream("/proc/" + std::to_string(pid) + "/status");
    for (auto line = std::string{}; std::getline(in, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::strtol(line.c_str() + 6, nullptr, 10);
        }
    }
    return 0;
}

/// One kept connection, plain or with TLS.
struct Kept
{
    Kept(int port, const std::shared_ptr<TlsCredentials> &credentials)
        : sock(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        auto address = sockaddr_in{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const auto on = 1;
        setsockopt(sock, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        if (connect(sock, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
            std::abort();
        }
        if (credentials) {
            tls = std::make_unique<TlsConnection>(sock, credentials->current(), TlsRole::Client, "127.0.0.1");
            if (!tls->handshake(std::chrono::steady_clock::now() + patience)) {
                std::abort();
            }
        }
    }

    Kept(const Kept &) = delete;
    auto operator=(const Kept &) -> Kept & = delete;

    ~Kept()
    {
        close(sock);
    }

    auto exchange(const std::string &text, const std::string &end) const -> void
    {
        const auto deadline = std::chrono::steady_clock::now() + patience;
        auto got = std::string{};
        auto buf = std::array<char, 4096>{};
        const auto sent = tls ? tls->write(text.data(), text.size(), deadline) : send(sock, text.data(), text.size(), MSG_NOSIGNAL);
        while (sent > 0 && !got.ends_with(end)) {
            const auto n = tls ? tls->read(buf.data(), buf.size(), deadline) : recv(sock, buf.data(), buf.size(), 0);
            if (n <= 0) {
                std::abort();
            }
            got.append(buf.data(), static_cast<std::size_t>(n));
        }
    }

    int sock;
    std::unique_ptr<TlsConnection> tls;
};

/// @param times how often @p run is called
auto report(const char *name, const Server &server, int times, const std::function<void()> &run) -> void
{
    auto took = std::vector<double>{};
    const auto serverBefore = cpuMicros(server.pid);
    const auto clientBefore = cpuMicros(getpid());
    for (auto i = 0; i < times; ++i) {
        const auto begin = std::chrono::steady_clock::now();
        run();
        took.push_back(std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count());
    }
    const auto serverCpu = (cpuMicros(server.pid) - serverBefore) / times;
    const auto clientCpu = (cpuMicros(getpid()) - clientBefore) / times;
    std::sort(took.begin(), took.end());
    std::printf("| %s | %.0f | %.0f | %.0f | %.0f |\n", name, took[took.size() / 2], took[took.size() * 99 / 100], serverCpu, clientCpu);
}

auto measure(const std::string &name, const std::shared_ptr<TlsCredentials> &server, const std::shared_ptr<TlsCredentials> &client, int times) -> void
{
    const auto listener = startServer(server);
    const auto address = (client ? "https://127.0.0.1:" : "127.0.0.1:") + std::to_string(listener.port);
    const auto body = std::string(200, 'x');
    const auto text = "POST /echo HTTP/1.1\r\nHost: x\r\nContent-Type: text/plain\r\nContent-Length: 200\r\n\r\n" + body;
    report((name + ", a connection for each request").c_str(), listener, times, [&] {
        const auto reply = httpExchange({.address = address,
                                         .method = "POST",
                                         .path = "/echo",
                                         .body = body,
                                         .contentType = "text/plain",
                                         .connectTimeout = patience,
                                         .timeout = patience,
                                         .tls = {.credentials = client, .name = {}}});
        if (!reply || reply.value().body != body) {
            std::abort();
        }
    });
    {
        const auto kept = Kept{listener.port, client};
        report((name + ", one connection").c_str(), listener, times, [&] { kept.exchange(text, body); });
    }
    const auto after = residentKb(listener.pid);
    stopServer(listener);
    // A new process, because memory that earlier connections have freed would hide what the first ones take.
    const auto fresh = startServer(server);
    auto open = std::vector<std::unique_ptr<Kept>>{};
    const auto before = residentKb(fresh.pid);
    for (auto i = 0; i < connections; ++i) {
        open.push_back(std::make_unique<Kept>(fresh.port, client));
        open.back()->exchange(text, body);
    }
    std::printf("%s: %ld KB resident at start, %.1f KB for each of %d open connections, %ld KB after the requests above\n",
                name.c_str(),
                before,
                static_cast<double>(residentKb(fresh.pid) - before) / connections,
                connections,
                after);
    open.clear();
    stopServer(fresh);
}

}

auto main(int argc, char **argv) -> int
{
    const auto times = argc > 1 ? std::max(100, std::atoi(argv[1])) : 2000;
    auto made = TestCertificates{};
    const auto server = TlsCredentials::load(TlsRole::Server, made.issue("server", {.ip = "127.0.0.1"}), systemClock()).value();
    const auto client = made.client();
    std::printf("| %d requests of 200 bytes | median µs | 99%% µs | server CPU µs | client CPU µs |\n|---|---|---|---|---|\n", times);
    measure("plain", nullptr, nullptr, times);
    measure("TLS", server, client, times);
    return 0;
}

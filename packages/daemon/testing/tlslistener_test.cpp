#include "daemon/httplistener.h"
#include "harness/certificates.h"
#include "harness/poll.h"
#include "ports/httpclient.h"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <fstream>
#include <iterator>
#include <mutex>
#include <optional>
#include <thread>

using namespace Catkin;

namespace
{

constexpr auto longTimeout = Millis{20'000};

auto deadline() -> TlsConnection::Deadline
{
    return std::chrono::steady_clock::now() + longTimeout;
}

auto fileText(const std::string &path) -> std::string
{
    auto in = std::ifstream(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
}

/// A listener with a certificate for 127.0.0.1 that echoes bodies.
struct Site
{
    explicit Site(const std::string &clientCa = {}, Millis readTimeout = longTimeout, int threads = 4)
    {
        auto files = made.issue("server", {.ip = "127.0.0.1"});
        files.ca = clientCa.empty() ? clientCa : made.ca(clientCa);
        credentials = TlsCredentials::load(TlsRole::Server, files, systemClock()).value();
        listener.emplace(HttpListenerOptions{.address = "127.0.0.1:0",
                                             .threads = threads,
                                             .keepAlive = longTimeout,
                                             .readTimeout = readTimeout,
                                             .tls = credentials,
                                             .handshakeFailed = [this](const Error &error) {
                                                 const auto lock = std::lock_guard{mutex};
                                                 failures.push_back(error.message);
                                             }});
        listener->route("POST", "/echo", [](const HttpRequest &request) { return HttpResponse{.body = request.body, .contentType = "text/plain"}; });
        port = listener->start().value();
    }

    [[nodiscard]] auto address() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(port);
    }

    [[nodiscard]] auto failed() -> std::vector<std::string>
    {
        const auto lock = std::lock_guard{mutex};
        return failures;
    }

    auto echo(const std::shared_ptr<TlsCredentials> &client, const std::string &body = "hello") const -> Result<HttpReply>
    {
        return httpExchange({.address = "https://" + address(),
                             .method = "POST",
                             .path = "/echo",
                             .body = body,
                             .contentType = "text/plain",
                             .connectTimeout = longTimeout,
                             .timeout = longTimeout,
                             .tls = {.credentials = client, .name = {}}});
    }

    TestCertificates made;
    std::shared_ptr<TlsCredentials> credentials;
    std::mutex mutex;
    std::vector<std::string> failures;
    int port = 0;
    std::optional<HttpListener> listener; // stopped before what its threads use
};

/// A client whose connection stays open.
struct Client
{
    explicit Client(int port)
        : sock(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        auto address = sockaddr_in{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(connect(sock, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0);
    }

    Client(const Client &) = delete;
    auto operator=(const Client &) -> Client & = delete;

    ~Client()
    {
        close(sock);
    }

    auto startTls(const std::shared_ptr<TlsCredentials> &credentials) -> bool
    {
        tls.emplace(sock, credentials->current(), TlsRole::Client, "127.0.0.1");
        return tls->handshake(deadline()).has_value();
    }

    /// Reads until @p text has arrived @p times times, or to the end.
    auto readUntil(const std::string &text, int times = 1) -> std::string
    {
        auto got = std::string{};
        auto buf = std::array<char, 4096>{};
        const auto seen = [&] {
            auto n = 0;
            for (auto at = got.find(text); at != std::string::npos; at = got.find(text, at + 1)) {
                ++n;
            }
            return n;
        };
        while (seen() < times) {
            const auto n = tls->read(buf.data(), buf.size(), deadline());
            if (n <= 0) {
                break;
            }
            got.append(buf.data(), static_cast<std::size_t>(n));
        }
        return got;
    }

    auto write(const std::string &text) -> void
    {
        REQUIRE(tls->write(text.data(), text.size(), deadline()) == static_cast<ssize_t>(text.size()));
    }

    /// @return what arrives on the plain socket until its end.
    auto plainAnswer() const -> std::string
    {
        auto got = std::string{};
        auto buf = std::array<char, 4096>{};
        for (auto n = recv(sock, buf.data(), buf.size(), 0); n > 0; n = recv(sock, buf.data(), buf.size(), 0)) {
            got.append(buf.data(), static_cast<std::size_t>(n));
        }
        return got;
    }

    int sock;
    std::optional<TlsConnection> tls;
};

auto request(const std::string &body) -> std::string
{
    return "POST /echo HTTP/1.1\r\nHost: x\r\nContent-Type: text/plain\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}

TEST_CASE("a TLS listener serves requests of every size, one after the other on one connection")
{
    auto site = Site{};
    const auto client = site.made.client();
    const auto large = std::string(std::size_t{900} << 10U, 'x');
    const auto reply = site.echo(client, large);
    REQUIRE_MESSAGE(reply.has_value(), reply.error().message);
    CHECK(reply.value().body == large);
    auto kept = Client{site.port};
    REQUIRE(kept.startTls(client));
    kept.write(request("one"));
    CHECK(kept.readUntil("one").find("200 OK") != std::string::npos);
    // Both arrive in one record: the second must not wait for further bytes.
    kept.write(request("two") + request("three"));
    CHECK(kept.readUntil("three").find("two") != std::string::npos);
    CHECK(site.echo(client, std::string(std::size_t{2} << 20U, 'x')).value().status == 413);
    CHECK(site.failed().empty());
}

// Guards against a listener that a client without TLS, or a stalled one, can hold or confuse.
TEST_CASE("connections that do not complete their handshake are closed, counted, and keep nobody waiting")
{
    auto site = Site{{}, Millis{1000}, 1};
    const auto good = site.made.client();
    struct Case
    {
        std::string name;
        std::string bytes;
        bool end; ///< the client closes its side
        std::string reason;
        std::string answer;
    };
    const auto plain = request(std::string(20'000, 'x'));
    const auto hello = std::string("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 11); // the start of a ClientHello
    for (const auto &it : std::vector<Case>{
             {"plain HTTP", plain, false, "does not speak TLS", "this port accepts only https"},
             {"stalled", "", false, "did not end in time", ""},
             {"stalled inside its first message", hello, false, "did not end in time", ""},
             {"truncated", hello, true, "closed during the TLS handshake", ""},
             {"closed at once", "", true, "closed during the TLS handshake", ""},
             {"garbage", std::string(64, '\x7f'), false, "", ""},
         }) {
        CAPTURE(it.name);
        const auto before = site.failed().size();
        auto client = Client{site.port};
        REQUIRE(send(client.sock, it.bytes.data(), it.bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(it.bytes.size()));
        if (it.end) {
            shutdown(client.sock, SHUT_WR);
        }
        const auto answer = client.plainAnswer();
        CHECK(answer.find(it.answer) != std::string::npos);
        REQUIRE(eventually([&] { return site.failed().size() == before + 1; }));
        CHECK_MESSAGE(site.failed().back().find(it.reason) != std::string::npos, site.failed().back());
        CHECK(site.echo(good).has_value());
    }
}

// Guards against an operator who is told of the wrong scheme and then reads metrics without the failure.
TEST_CASE("a failed handshake is counted before the client of plain HTTP has its answer")
{
    constexpr auto slowCount = Millis{200};
    auto made = TestCertificates{};
    auto counted = std::atomic<bool>{false};
    auto listener = HttpListener{{.address = "127.0.0.1:0",
                                  .threads = 1,
                                  .keepAlive = longTimeout,
                                  .readTimeout = longTimeout,
                                  .tls = TlsCredentials::load(TlsRole::Server, made.issue("server", {.ip = "127.0.0.1"}), systemClock()).value(),
                                  .handshakeFailed = [&](const Error &) {
                                      std::this_thread::sleep_for(slowCount);
                                      counted = true;
                                  }}};
    auto client = Client{listener.start().value()};
    const auto text = request("plain");
    REQUIRE(send(client.sock, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
    CHECK(client.plainAnswer().find("only https") != std::string::npos);
    CHECK(counted);
}

TEST_CASE("with a client CA only clients with a certificate of that CA are served")
{
    auto site = Site{"clients"};
    auto &made = site.made;
    CHECK(site.echo(made.client("ca", made.issue("good", {.issuer = "clients"}))).has_value());
    struct Case
    {
        std::string name;
        TlsFiles own;
        std::string seenByServer;
        std::string seenByClient;
    };
    for (const auto &it : std::vector<Case>{
             {"none", {}, "gave no certificate", "requires a client certificate"},
             {"another CA", made.issue("stranger", {.issuer = "others"}), "not signed by a known CA", "does not know the CA"},
         }) {
        CAPTURE(it.name);
        const auto before = site.failed().size();
        const auto reply = site.echo(made.client("ca", it.own));
        REQUIRE(reply.has_error());
        CHECK(reply.error().code == ErrorCode::Unknown);
        CHECK_MESSAGE(reply.error().message.find(it.seenByClient) != std::string::npos, reply.error().message);
        REQUIRE(eventually([&] { return site.failed().size() == before + 1; }));
        CHECK_MESSAGE(site.failed().back().find(it.seenByServer) != std::string::npos, site.failed().back());
    }
}

// Guards against a replacement of certificates that cuts connections or that needs a restart.
TEST_CASE("a replaced certificate is used by the next connection and cuts none")
{
    auto site = Site{};
    auto &made = site.made;
    const auto former = made.client();
    const auto later = made.client("next-ca");
    auto open = Client{site.port};
    REQUIRE(open.startTls(former));
    CHECK_FALSE(site.echo(later).has_value());
    const auto next = made.issue("next", {.ip = "127.0.0.1", .issuer = "next-ca"});
    made.write("server.pem", fileText(next.certificate));
    CHECK(site.credentials->refresh() == TlsRefresh::Rejected);
    CHECK(site.echo(former).has_value());
    made.write("server.key", fileText(next.key));
    CHECK(site.credentials->refresh() == TlsRefresh::Replaced);
    CHECK(site.echo(later).has_value());
    const auto refused = site.echo(former);
    REQUIRE(refused.has_error());
    CHECK(refused.error().code == ErrorCode::NotSent);
    open.write(request("still open"));
    CHECK(open.readUntil("still open").find("200 OK") != std::string::npos);
}

TEST_CASE("a stopping TLS listener finishes the request in progress and then closes")
{
    auto site = Site{};
    auto client = Client{site.port};
    REQUIRE(client.startTls(site.made.client()));
    const auto text = request("the end");
    client.write(text.substr(0, text.size() - 3));
    site.listener->closeAfterResponse();
    auto stopper = std::thread([&] { site.listener->stop(); });
    client.write(text.substr(text.size() - 3));
    const auto answer = client.readUntil("never sent");
    stopper.join();
    CHECK(answer.find("the end") != std::string::npos);
    CHECK(answer.find("Connection: close") != std::string::npos);
}

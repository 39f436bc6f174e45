#include "daemon/httplistener.h"
#include "harness/poll.h"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

using namespace Catkin;

namespace
{

/// Generous: only a fault makes a test wait this long.
constexpr auto patienceMs = 10'000;

/// A listener that echoes bodies and tells why it closed connections.
struct Site
{
    explicit Site(HttpListenerOptions options = {})
    {
        options.address = "127.0.0.1:0";
        options.closed = [this](ListenerClose cause) {
            const auto lock = std::lock_guard{mutex};
            closes.push_back(cause);
        };
        listener.emplace(options);
        listener->route("POST", "/echo", [](const HttpRequest &request) { return HttpResponse{.body = request.body, .contentType = "text/plain"}; });
        listener->route("GET", "/item/([a-z]+)", [](const HttpRequest &request) {
            return HttpResponse{.body = request.matches.at(0) + "," + request.param("a") + "," + request.header("x-one"), .contentType = "text/plain"};
        });
        listener->route("GET", "/large", [](const HttpRequest &) { return HttpResponse{.body = std::string(std::size_t{8} << 20U, 'x')}; });
        listener->route("GET", "/wait", [this](const HttpRequest &) {
            ++entered;
            eventually([this] { return released.load(); });
            return HttpResponse{.body = "waited"};
        });
        port = listener->start().value();
    }

    auto closedBy(ListenerClose cause) -> bool
    {
        return eventually([&] {
            const auto lock = std::lock_guard{mutex};
            return std::find(closes.begin(), closes.end(), cause) != closes.end();
        });
    }

    std::mutex mutex;
    std::vector<ListenerClose> closes;
    std::atomic<int> entered{0};
    std::atomic<bool> released{false};
    int port = 0;
    std::optional<HttpListener> listener; // stopped before what its threads use
};

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

    ~Client()
    {
        close(sock);
    }

    Client(const Client &) = delete;
    auto operator=(const Client &) -> Client & = delete;

    auto say(const std::string &text) const -> void
    {
        (void)::send(sock, text.data(), text.size(), MSG_NOSIGNAL);
    }

    /// Reads until @p text has arrived, or to the end.
    auto readUntil(const std::string &text) -> std::string
    {
        auto buf = std::array<char, 4096>{};
        while (got.find(text) == std::string::npos) {
            auto fds = pollfd{.fd = sock, .events = POLLIN, .revents = 0};
            const auto n = ::poll(&fds, 1, patienceMs) > 0 ? ::recv(sock, buf.data(), buf.size(), 0) : 0;
            if (n <= 0) {
                return std::exchange(got, {});
            }
            got.append(buf.data(), static_cast<std::size_t>(n));
        }
        const auto end = got.find(text) + text.size();
        auto out = got.substr(0, end);
        got.erase(0, end);
        return out;
    }

    auto readToEnd() -> std::string
    {
        return readUntil("\1 never sent");
    }

    int sock;
    std::string got;
};

auto contains(const std::string &text, const std::string &part) -> bool
{
    return text.find(part) != std::string::npos;
}

}

// Guards against a request that is lost, answered twice or mixed with its neighbour when it arrives in one piece with others or byte by byte.
TEST_CASE("pipelined requests and requests in single bytes are answered in order")
{
    auto site = Site{};
    auto client = Client{site.port};
    const auto chunked = std::string{"POST /echo HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n4;x=y\r\ndefg\r\n0\r\n\r\n"};
    const auto item = std::string{"GET /item/pen?a=1%202 HTTP/1.1\r\nHost: h\r\nX-One: two\r\n\r\n"};
    const auto missing = std::string{"PUT /nowhere HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"};
    auto all = chunked;
    all.append(item).append(missing).append(item);
    SUBCASE("in one piece")
    {
        client.say(all);
    }
    SUBCASE("in single bytes")
    {
        for (const auto c : all) {
            client.say({c});
        }
    }
    CHECK(contains(client.readUntil("abcdefg"), "200 OK"));
    CHECK(contains(client.readUntil("pen,1 2,two"), "200 OK"));
    const auto refused = client.readUntil("}\n");
    CHECK(contains(refused, "404"));
    CHECK(contains(refused, R"("result":"not_run")"));
    CHECK(contains(client.readUntil("pen,1 2,two"), "200 OK"));
}

TEST_CASE("HEAD is answered without the body, and a body that its caller announces is asked for")
{
    auto site = Site{};
    auto client = Client{site.port};
    client.say("HEAD /item/pen HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(contains(client.readUntil("\r\n\r\n"), "Content-Length: 5\r\n"));
    client.say("POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\n");
    CHECK(client.readUntil("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
    client.say("hello");
    CHECK(contains(client.readUntil("hello"), "200 OK"));
}

// Guards against a refusal that is lost because the connection is closed while its caller still sends.
TEST_CASE("requests over a limit are refused without being read whole")
{
    auto site = Site{{.maxBody = 1'000, .limits = {.headerBytes = 2'000, .headerFields = 20}}};
    auto client = Client{site.port};
    auto cause = ListenerClose::BodyLimit;
    auto status = std::string{"413"};
    SUBCASE("an announced body")
    {
        client.say("POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n" + std::string(500, 'x'));
    }
    SUBCASE("chunks")
    {
        client.say("POST /echo HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1f4\r\n" + std::string(500, 'x') + "\r\n1f5\r\n"
                   + std::string(100, 'x'));
    }
    SUBCASE("fields")
    {
        auto fields = std::string{};
        for (auto i = 0; i < 21; ++i) {
            fields += "a:b\r\n";
        }
        client.say("GET /item/pen HTTP/1.1\r\n" + fields + "\r\n");
        cause = ListenerClose::HeaderLimit;
        status = "431";
    }
    SUBCASE("header bytes")
    {
        client.say("GET /item/pen HTTP/1.1\r\nHost: " + std::string(3'000, 'h'));
        cause = ListenerClose::HeaderLimit;
        status = "431";
    }
    SUBCASE("the first line of a chunk")
    {
        client.say("POST /echo HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;" + std::string(3'000, 'x'));
        cause = ListenerClose::HeaderLimit;
        status = "431";
    }
    const auto answer = client.readToEnd();
    CHECK(contains(answer, "HTTP/1.1 " + status));
    CHECK(contains(answer, R"("result":"not_run")"));
    CHECK(site.closedBy(cause));
}

// Guards against a caller who loses the refusal because it sends its whole body, not far over the limit, before it reads.
TEST_CASE("a caller that reads after it has sent a body over the limit gets the refusal")
{
    auto site = Site{{.maxBody = 1'000'000}};
    auto client = Client{site.port};
    client.say("POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 1500000\r\n\r\n" + std::string(1'500'000, 'x'));
    CHECK(contains(client.readToEnd(), "HTTP/1.1 413"));
}

// Guards against callers that keep a connection by a byte now and then.
TEST_CASE("callers that are too slow are refused or closed")
{
    auto site = Site{{.readTimeout = Millis{300}, .limits = {.headerTimeout = Millis{300}, .transferTimeout = Millis{300}}}};
    auto client = Client{site.port};
    SUBCASE("header")
    {
        client.say("GET /item/pen HTTP/1.1\r\n");
        CHECK(contains(client.readToEnd(), "408"));
        CHECK(site.closedBy(ListenerClose::SlowHeader));
    }
    SUBCASE("body")
    {
        client.say("POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhell");
        CHECK(contains(client.readToEnd(), "408"));
        CHECK(site.closedBy(ListenerClose::SlowBody));
    }
    SUBCASE("answer")
    {
        client.say("GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
        CHECK(site.closedBy(ListenerClose::SlowReader));
    }
}

// Guards against a request in work that is cut to make room, and against new callers that find no room.
TEST_CASE("a new connection takes the place of the one with the least progress")
{
    auto site = Site{{.limits = {.connections = 2}}};
    auto working = Client{site.port};
    working.say("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(eventually([&] { return site.entered == 1; }));
    auto stalled = Client{site.port};
    stalled.say("GET /item/pen HTTP/1.1\r\n");
    auto ordinary = Client{site.port};
    ordinary.say("GET /item/pen HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(contains(ordinary.readUntil("pen,,"), "200 OK"));
    CHECK(stalled.readToEnd().empty());
    CHECK(site.closedBy(ListenerClose::Connections));
    site.released = true;
    CHECK(contains(working.readUntil("waited"), "200 OK"));
}

// Guards against bodies that each are legal and together take all memory.
TEST_CASE("when the buffer is full the oldest unfinished request is closed")
{
    auto site = Site{{.maxBody = 1'000'000, .limits = {.bufferBytes = 500'000}}};
    const auto begin = "POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 200001\r\n\r\n" + std::string(200'000, 'x');
    auto first = Client{site.port};
    first.say(begin);
    auto second = Client{site.port};
    second.say(begin);
    auto third = Client{site.port};
    third.say(begin);
    CHECK(first.readToEnd().empty());
    CHECK(site.closedBy(ListenerClose::Buffer));
    auto ordinary = Client{site.port};
    ordinary.say("GET /item/pen HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(contains(ordinary.readUntil("pen,,"), "200 OK"));
}

// Guards against a planned stop that drops a request which has arrived.
TEST_CASE("a stop answers the requests that have arrived")
{
    auto site = Site{{.keepAlive = Millis{300}}};
    auto idle = Client{site.port};
    auto working = Client{site.port};
    working.say("GET /wait HTTP/1.1\r\nHost: h\r\n\r\nGET /item/pen HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(eventually([&] { return site.entered == 1; }));
    auto fresh = Client{site.port};
    fresh.say("GET /item/ink HTTP/1.1\r\nHost: h\r\n\r\n");
    auto stopper = std::thread([&] { site.listener->stop(); });
    CHECK(contains(fresh.readToEnd(), "ink,,"));
    CHECK(idle.readToEnd().empty());
    site.released = true;
    const auto answer = working.readToEnd();
    CHECK(contains(answer, "waited"));
    CHECK(contains(answer, "Connection: close"));
    stopper.join();
}

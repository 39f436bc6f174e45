#include "ports/httploop.h"

#include <doctest/doctest.h>
#include <httplib.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <fstream>
#include <future>
#include <optional>
#include <thread>

using namespace Catkin;

namespace
{

constexpr auto timeout = Millis{2'000};

/// A loop whose channels are used from the test's thread.
class TestLoop
{
public:
    auto open(const std::string &address) -> HttpLoopChannel
    {
        return run<HttpLoopChannel>([&](auto done) { done(m_loop.open(address)); });
    }

    auto exchange(HttpLoopChannel &channel, const HttpCall &call) -> Result<HttpReply>
    {
        return run<Result<HttpReply>>([&](auto done) { channel.exchange(call, done); });
    }

    auto loop() -> HttpLoop &
    {
        return m_loop;
    }

private:
    template<typename T>
    auto run(const std::function<void(std::function<void(T)>)> &task) -> T
    {
        auto result = std::promise<T>{};
        m_loop.post([&] { task([&](T it) { result.set_value(std::move(it)); }); });
        return result.get_future().get();
    }

    HttpLoop m_loop{"test-loop"};
};

/// A server of the library that answers on any number of connections.
class TestServer
{
public:
    TestServer()
    {
        m_server.Post("/echo", [](const httplib::Request &request, httplib::Response &response) {
            response.set_header("X-Twice", "a");
            response.set_header("X-Twice", "b");
            response.set_content(request.body + request.get_header_value("X-Name"), "text/plain");
        });
        m_server.Post("/slow", [this](const httplib::Request &, httplib::Response &response) {
            while (!m_released) {
                std::this_thread::sleep_for(Millis{2});
            }
            response.set_content("late", "text/plain");
        });
        m_server.Get("/chunks", [](const httplib::Request &, httplib::Response &response) {
            response.set_chunked_content_provider("text/plain", [](std::size_t offset, httplib::DataSink &sink) {
                const auto part = std::string(50'000, 'x');
                if (offset >= 4 * part.size()) {
                    sink.done();
                    return true;
                }
                return sink.write(part.data(), part.size());
            });
        });
        m_port = m_server.bind_to_any_port("127.0.0.1");
        m_thread = std::thread([this] { m_server.listen_after_bind(); });
        while (!m_server.is_running()) {
            std::this_thread::sleep_for(Millis{1});
        }
    }

    ~TestServer()
    {
        release();
        m_server.stop();
        m_thread.join();
    }

    TestServer(const TestServer &) = delete;
    auto operator=(const TestServer &) -> TestServer & = delete;

    [[nodiscard]] auto address() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(m_port);
    }

    auto release() -> void
    {
        m_released = true;
    }

private:
    httplib::Server m_server;
    std::atomic<bool> m_released{false};
    int m_port = 0;
    std::thread m_thread;
};

/// A listening socket whose connections get one fixed text each, whatever they ask, and are closed afterwards if @p closes.
class RawServer
{
public:
    RawServer(std::string text, bool closes)
        : m_text(std::move(text))
        , m_closes(closes)
        , m_listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        auto local = sockaddr_in{.sin_family = AF_INET, .sin_port = 0, .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)}, .sin_zero = {}};
        REQUIRE(::bind(m_listener, reinterpret_cast<sockaddr *>(&local), sizeof(local)) == 0);
        REQUIRE(::listen(m_listener, 16) == 0);
        auto n = socklen_t{sizeof(local)};
        ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&local), &n);
        m_port = ntohs(local.sin_port);
        m_thread = std::thread([this] { run(); });
    }

    ~RawServer()
    {
        ::shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        ::close(m_listener);
        for (const auto it : m_open) {
            ::close(it);
        }
    }

    RawServer(const RawServer &) = delete;
    auto operator=(const RawServer &) -> RawServer & = delete;

    [[nodiscard]] auto address() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(m_port);
    }

    std::atomic<int> accepted{0};

private:
    auto run() -> void
    {
        while (true) {
            const auto sock = ::accept(m_listener, nullptr, nullptr);
            if (sock < 0) {
                return;
            }
            ++accepted;
            auto buf = std::array<char, 4096>{};
            (void)::recv(sock, buf.data(), buf.size(), 0);
            (void)::send(sock, m_text.data(), m_text.size(), MSG_NOSIGNAL);
            if (m_closes) {
                ::close(sock);
            } else {
                m_open.push_back(sock);
            }
        }
    }

    std::string m_text;
    bool m_closes;
    int m_listener;
    int m_port = 0;
    std::vector<int> m_open;
    std::thread m_thread;
};

auto threadCount() -> int
{
    auto in = std::ifstream{"/proc/self/status"};
    auto word = std::string{};
    while (in >> word) {
        if (word == "Threads:") {
            auto n = 0;
            in >> n;
            return n;
        }
    }
    return -1;
}

auto post(const std::string &path, const std::string &body = {}) -> HttpCall
{
    return {.method = "POST", .path = path, .headers = {{"X-Name", "n"}}, .body = body, .timeout = timeout};
}

}

TEST_CASE("exchanges of one channel share its connection, and replies arrive whole")
{
    auto server = TestServer{};
    auto loop = TestLoop{};
    auto channel = loop.open(server.address());
    for (auto i = 0; i < 3; ++i) {
        const auto reply = loop.exchange(channel, post("/echo", std::string(100'000, 'a') + std::to_string(i)));
        REQUIRE(reply);
        CHECK(reply.value().status == 200);
        CHECK(reply.value().body == std::string(100'000, 'a') + std::to_string(i) + "n");
        CHECK(reply.value().headers.at("x-twice") == "a, b");
    }
    const auto chunks = loop.exchange(channel, {.method = "GET", .path = "/chunks", .timeout = timeout});
    REQUIRE(chunks);
    CHECK(chunks.value().body.size() == 200'000);
    CHECK(loop.exchange(channel, post("/missing")).value().status == 404);
}

// Guards against a thread for each connection: a planner of 1,100 workers then needs 1,100 of them.
TEST_CASE("many calls that wait at once need no thread each")
{
    constexpr auto calls = 300;
    auto silent = RawServer{"", false};
    auto loop = HttpLoop{"test-loop"};
    auto ended = std::atomic<int>{0};
    auto opened = std::promise<void>{};
    const auto before = threadCount();
    loop.post([&] {
        for (auto i = 0; i < calls; ++i) {
            auto channel = loop.open(silent.address());
            channel.exchange(post("/x"), [&](const Result<HttpReply> &) { ++ended; });
        }
        opened.set_value();
    });
    opened.get_future().wait();
    CHECK(threadCount() == before);
    CHECK(ended == 0);
    loop.stop();
    CHECK(ended == 0); // callbacks are dropped with the loop
}

TEST_CASE("an exchange that fails says whether it can have had an effect")
{
    auto loop = TestLoop{};
    auto refused = loop.open("127.0.0.1:1");
    CHECK(hadNoEffect(loop.exchange(refused, post("/x")).error()));
    auto malformed = loop.open("nowhere");
    CHECK(loop.exchange(malformed, post("/x")).error().code == ErrorCode::InvalidInput);
    auto server = TestServer{};
    auto channel = loop.open(server.address());
    auto call = post("/slow");
    call.timeout = Millis{150};
    CHECK(loop.exchange(channel, call).error().code == ErrorCode::Timeout);
    server.release();
    CHECK(loop.exchange(channel, post("/echo", "again")).value().body == "againn"); // on a new connection
    call.timeout = Millis{0};
    CHECK(loop.exchange(channel, call).error().code == ErrorCode::NotSent);
}

// Guards against an id from a worker's entry that adds lines to the header of an order.
TEST_CASE("a call whose header would have a line break is not sent")
{
    auto server = TestServer{};
    auto loop = TestLoop{};
    auto channel = loop.open(server.address());
    auto call = post("/echo");
    call.headers = {{"X-Name", "a\r\nX-Other: b"}};
    const auto reply = loop.exchange(channel, call);
    REQUIRE_FALSE(reply);
    CHECK(reply.error().code == ErrorCode::InvalidInput);
    CHECK(hadNoEffect(reply.error()));
}

TEST_CASE("odd answers end an exchange and its connection, not the loop")
{
    struct Case
    {
        std::string text;
        bool closes = false;
        std::optional<ErrorCode> error;
    };
    const auto cases = std::vector<Case>{
        {"", true, ErrorCode::Unknown},
        {"nonsense\r\n\r\n", false, ErrorCode::Unknown},
        {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", true, ErrorCode::Unknown},
        {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabc", false, std::nullopt},
        {"HTTP/1.1 200 OK\r\n\r\nab", true, std::nullopt},
        {"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", false, ErrorCode::Limit},
        {"HTTP/1.1 200 OK\r\nX: " + std::string(20'000, 'x'), false, ErrorCode::Limit},
    };
    for (const auto &it : cases) {
        CAPTURE(it.text.substr(0, 60));
        auto server = RawServer{it.text, it.closes};
        auto loop = TestLoop{};
        auto channel = loop.open(server.address());
        for (auto i = 1; i <= 2; ++i) {
            const auto reply = loop.exchange(channel, post("/x"));
            CHECK(reply.has_value() == !it.error);
            if (it.error && !reply) {
                CHECK(reply.error().code == *it.error);
            } else if (reply) {
                CHECK(reply.value().body == "ab");
            }
            CHECK(server.accepted == i);
        }
    }
}

// Guards against an answer that is lost because its connection was closed while it was idle.
TEST_CASE("a connection that the peer closed while it was idle is replaced")
{
    auto server = RawServer{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", true};
    auto loop = TestLoop{};
    auto channel = loop.open(server.address());
    for (auto i = 1; i <= 3; ++i) {
        CHECK(loop.exchange(channel, post("/x")).value().body == "ab");
        std::this_thread::sleep_for(Millis{50});
    }
    CHECK(server.accepted == 3);
}

TEST_CASE("delayed tasks run in the order of their times, and none after a stop")
{
    auto order = std::string{};
    auto done = std::promise<void>{};
    auto loop = HttpLoop{"test-loop"};
    loop.postAfter(Millis{60}, [&] {
        order += "c";
        done.set_value();
    });
    loop.postAfter(Millis{30}, [&] { order += "b"; });
    loop.post([&] { order += "a"; });
    loop.postAfter(Millis{100'000}, [&] { order += "never"; });
    done.get_future().wait();
    loop.stop();
    loop.post([&] { order += "late"; });
    CHECK(order == "abc");
}

TEST_CASE("a call that is dropped by close() has no callback, and the channel can be used again")
{
    auto server = TestServer{};
    auto loop = TestLoop{};
    auto channel = loop.open(server.address());
    auto ended = std::atomic<int>{0};
    loop.loop().post([&] {
        channel.exchange(post("/slow"), [&](const Result<HttpReply> &) { ++ended; });
        channel.close();
    });
    CHECK(loop.exchange(channel, post("/echo", "x")).value().body == "xn");
    CHECK(ended == 0);
}

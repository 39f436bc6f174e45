#include "daemon/httplistener.h"

#include "ports/httpclient.h"

#include <doctest/doctest.h>

#include <atomic>
#include <fstream>
#include <thread>
#include <vector>

using namespace Catkin;

namespace
{

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

/// A listener whose calls wait until they are released.
struct SlowListener
{
    SlowListener(int threads, int backlog)
        : listener({.address = "127.0.0.1:0", .threads = threads, .backlog = backlog})
    {
        listener.route("GET", "/", [this](const HttpRequest &) {
            ++entered;
            while (!released) {
                std::this_thread::sleep_for(Millis{1});
            }
            return HttpResponse{.body = "ok", .contentType = "text/plain"};
        });
        port = listener.start().value();
    }

    ~SlowListener()
    {
        released = true;
        for (auto &it : callers) {
            it.join();
        }
        listener.stop();
    }

    SlowListener(const SlowListener &) = delete;
    auto operator=(const SlowListener &) -> SlowListener & = delete;

    auto get() const -> int
    {
        const auto reply = httpExchange({.address = "127.0.0.1:" + std::to_string(port), .method = "GET", .path = "/", .timeout = Millis{10'000}});
        return reply ? reply.value().status : 0;
    }

    auto begin(int calls) -> void
    {
        for (auto i = 0; i < calls; ++i) {
            callers.emplace_back([this] { statuses += get() == 200 ? 1 : 0; });
        }
    }

    auto waitUntilEntered(int calls) const -> bool
    {
        for (auto i = 0; i < 5'000 && entered < calls; ++i) {
            std::this_thread::sleep_for(Millis{1});
        }
        return entered == calls;
    }

    std::atomic<int> entered{0};
    std::atomic<bool> released{false};
    std::atomic<int> statuses{0};
    HttpListener listener;
    int port = 0;
    std::vector<std::thread> callers;
};

}

// Guards against an instance that starts all threads of all its listeners at once: 136 in each of hundreds of processes.
TEST_CASE("a listener starts threads as connections need them")
{
    const auto before = threadCount();
    auto slow = SlowListener{96, 64};
    CHECK(threadCount() == before + 1); // it accepts
    slow.begin(3);
    REQUIRE(slow.waitUntilEntered(3));
    CHECK(threadCount() == before + 1 + 3 + 3);
    slow.released = true;
    for (auto &it : slow.callers) {
        it.join();
    }
    slow.callers.clear();
    CHECK(slow.statuses == 3);
    for (auto i = 0; i < 20; ++i) {
        CHECK(slow.get() == 200);
    }
    CHECK(threadCount() == before + 1 + 3);
}

TEST_CASE("calls beyond the threads wait, and those beyond the waiting places are refused at once")
{
    auto slow = SlowListener{2, 1};
    slow.begin(2);
    REQUIRE(slow.waitUntilEntered(2));
    slow.begin(1); // waits for a thread
    std::this_thread::sleep_for(Millis{200});
    CHECK(slow.get() == 503);
    CHECK(slow.get() == 503);
    CHECK(slow.listener.overflowed() == 2);
    CHECK(slow.entered == 2);
    slow.released = true;
    for (auto &it : slow.callers) {
        it.join();
    }
    slow.callers.clear();
    CHECK(slow.statuses == 3);
}

#include "daemon/logtail.h"

#include "util/clock.h"

#include <doctest/doctest.h>

#include <future>

using namespace Catkin;

namespace
{

constexpr auto limit = Millis{10'000};

auto port(const std::function<Result<LogPage>(int call)> &answer) -> LogPort
{
    auto calls = std::make_shared<std::atomic<int>>(0);
    return {.append = {}, .read = [calls, answer](const std::string &, LogOffset, int, Millis) { return answer((*calls)++); }};
}

auto waitSettled(const LogTail &tail) -> bool
{
    const auto until = std::chrono::steady_clock::now() + limit;
    while (!tail.settled() && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(Millis{1});
    }
    return tail.settled();
}

}

// Guards against an instance that reports ready while the first page of its stream is still on the way.
TEST_CASE("a tail is settled once it has reached the end of the stream and not while the first read waits")
{
    auto release = std::promise<void>{};
    auto gate = release.get_future().share();
    auto tail
        = LogTail{port([gate](int call) -> Result<LogPage> {
                      gate.wait();
                      return call == 0 ? LogPage{.next = LogOffset{1}, .records = {{.offset = LogOffset{0}, .data = "a"}}} : LogPage{.next = LogOffset{1}};
                  }),
                  systemClock(),
                  "config",
                  [](const LogPage &, bool) {},
                  {}};
    CHECK_FALSE(tail.settled());
    release.set_value();
    CHECK(tail.waitCaughtUp(limit));
    CHECK(tail.settled());
}

// Guards against an instance that never becomes ready because the log is down, although its peers know the configuration.
TEST_CASE("a tail whose reads keep failing is settled without having caught up")
{
    const auto options = LogTailOptions{.retryDelay = Millis{1}};
    auto tail = LogTail{
        port([](int) -> Result<LogPage> { return failure(ErrorCode::Unavailable, "down"); }), systemClock(), "config", [](const LogPage &, bool) {}, options};
    CHECK(waitSettled(tail));
    CHECK_FALSE(tail.caughtUp());
}

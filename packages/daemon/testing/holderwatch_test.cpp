#include "daemon/holderwatch.h"

#include "daemon/httplistener.h"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <thread>

using namespace Catkin;

// Guards against seconds without a planner after its process has ended, and against a takeover because an idle connection was closed.
TEST_CASE("the end of the holder's process is noticed, the end of a connection is not taken for it")
{
    auto ended = std::atomic<std::int64_t>{0};
    auto watch = HolderWatch{[&](std::int64_t epoch) { ended = epoch; }};
    auto holder = std::make_unique<HttpListener>(HttpListenerOptions{.address = "127.0.0.1:0", .keepAlive = Millis{50}});
    const auto port = holder->start();
    REQUIRE(port);
    const auto address = "127.0.0.1:" + std::to_string(port.value());
    watch.setHolder(address, 7);
    // The listener closes idle connections several times meanwhile.
    std::this_thread::sleep_for(Millis{500});
    CHECK(ended == 0);
    holder.reset();
    for (auto i = 0; i < 1'000 && ended == 0; ++i) {
        std::this_thread::sleep_for(Millis{10});
    }
    CHECK(ended == 7);
}

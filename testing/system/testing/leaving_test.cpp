#include "harness/poll.h"
#include "history/reader.h"
#include "system/faultload.h"

#include <doctest/doctest.h>

#include <thread>

using namespace Catkin;

// Guards against a planner that trusts the lagging instance list, and against one that ends what still runs on a leaving worker.
TEST_CASE("a leaving worker gets no new gang after its grace time, although the list does not say so; what runs there ends by itself")
{
    auto site = Deployment{barilocheShape()};
    site.start();
    auto load = FaultLoad{site, {.seed = 5}};
    const auto running = load.mustSubmit(0, {.key = "running", .domain = "cerro-catedral", .tasks = 4, .slots = 2, .runMs = 7'000, .restartable = false});
    REQUIRE(load.waitState(0, running, "running"));
    const auto runs = load.runs(running);
    REQUIRE_FALSE(runs.empty());
    auto victim = std::size_t{0};
    while (site.worker(victim).id != runs.front().server) {
        ++victim;
    }
    REQUIRE(control(*site.worker(victim).process, R"({"accept_while_leaving":true,"leaving":true})"));
    // Work for more than the other workers, so that a planner would use this one if it could.
    auto jobs = std::vector<std::string>{};
    for (auto i = 0; i < 24; ++i) {
        jobs.push_back(load.mustSubmit(static_cast<std::size_t>(i % 2),
                                       {.key = "sim-" + std::to_string(i), .domain = "cerro-catedral", .tasks = 1, .slots = 4, .runMs = 2'000}));
        std::this_thread::sleep_for(Millis{250});
    }
    for (const auto &it : jobs) {
        CHECK(load.waitState(0, it, "succeeded"));
    }
    CHECK(load.waitState(0, running, "succeeded"));
    CHECK(load.runs(running).size() == 4);
    for (const auto &it : load.finish({.partialStartMs = 2'500, .partialLossMs = 8'000})) {
        FAIL_CHECK(it);
    }
    CHECK(load.history().leaving.size() == 1);
    MESSAGE("leaving worker: " << load.summary());
}

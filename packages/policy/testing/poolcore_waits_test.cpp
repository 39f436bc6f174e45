#include "policy/poolcore.h"

#include "policy/testing/idlefleet.h"

#include <doctest/doctest.h>

#include <string>

using namespace Catkin;
using namespace Catkin::Testing;

/// Work that cannot start keeps no other work from starting.

namespace
{

auto withLabel(PoolStep step, const std::string &label) -> PoolStep
{
    step.requiredLabel = label;
    return step;
}

/// @return a step whose tasks run until they are cancelled.
auto lasting(int tasks, std::int64_t accelerators) -> PoolStep
{
    auto step = batchOf(tasks);
    step.perTask.accelerators = accelerators;
    step.maxPerWorker = 1;
    step.longRunning = true;
    return step;
}

auto startsOf(Fleet &fleet, const std::string &job, Millis span) -> int
{
    return tasksOf(fleet.run(span), job);
}

}

// Guards against jobs that no worker can ever run and that use up the searches of each pass, so that no job behind them starts.
TEST_CASE("jobs that no worker can take keep no later job of their priority from starting")
{
    for (const auto *queue : {"urgent", "batch"}) {
        for (const auto labelled : {true, false}) {
            CAPTURE(queue);
            CAPTURE(labelled);
            auto fleet = Fleet{4};
            for (auto i = 0; i < 40; ++i) {
                auto step = withLabel(batchOf(1), labelled ? "nowhere" : "");
                step.maxPerWorker = labelled ? 1 : 0;
                step.perTask.accelerators = labelled ? 1 : 100 - i;
                fleet.core.addJob(makeJob("hopeless" + std::to_string(100 + i), queue, step), fleet.now);
            }
            fleet.run(Millis{100});
            fleet.core.addJob(makeJob("sound", queue, batchOf(2)), fleet.now);
            CHECK(startsOf(fleet, "sound", Millis{200}) == 2);
            CHECK(fleet.core.find(JobId{"hopeless100"})->phase == PoolJobPhase::Queued);
        }
    }
}

// Guards against groups at the end of a long queue that no pass ever looks at, because each begins with the same ones in the same order.
TEST_CASE("each group is looked at in turn when a pass leaves some out")
{
    for (const auto *queue : {"urgent", "batch"}) {
        CAPTURE(queue);
        auto fleet = Fleet{4};
        fleet.core.addJob(makeJob("lasting", "urgent", lasting(4, 2)), fleet.now);
        REQUIRE(startsOf(fleet, "lasting", Millis{200}) == 4);
        for (auto i = 0; i < 120; ++i) {
            // Each needs less memory than those before it, so that none of them rules out another.
            auto step = gangOf(4, 8);
            step.perTask.memoryMb = 100'000 - i;
            fleet.core.addJob(makeJob("gang" + std::to_string(1'000 + i), queue, step), fleet.now);
        }
        fleet.run(Millis{100});
        fleet.core.addJob(makeJob("small", queue, batchOf(2)), fleet.now);
        CHECK(startsOf(fleet, "small", Millis{4'000}) == 2);
        REQUIRE_FALSE(fleet.logged("searches_limited").empty());
        CHECK(fleet.logged("searches_limited").front().find("next_job=gang") != std::string::npos);
    }
}

// Guards against a job that waits without a word to its caller.
TEST_CASE("a job that no worker can take is set aside with a reason until one can")
{
    auto fleet = Fleet{2};
    fleet.core.addJob(makeJob("a", "batch", withLabel(batchOf(1), "fast")), fleet.now);
    fleet.run(Millis{4'900});
    CHECK(fleet.logged("set_aside").empty()); // workers may be about to come back
    fleet.run(Millis{300});
    REQUIRE(fleet.logged("set_aside").size() == 1);
    CHECK(fleet.logged("set_aside").front().find("job=a occurrence=0 step=0 reason=no_worker_fits service=s label=fast") == 0);
    CHECK_FALSE(fleet.core.find(JobId{"a"})->reason.empty());
    auto workers = fleet.workers;
    workers.front().labels = {"fast"};
    fleet.list(workers);
    CHECK(startsOf(fleet, "a", Millis{200}) == 1);
    CHECK(fleet.logged("set_aside_ended").size() == 1);
    CHECK(fleet.core.find(JobId{"a"})->reason.empty());
}

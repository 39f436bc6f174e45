#include "policy/poolcore.h"

#include "policy/testing/idlefleet.h"
#include "policy/testing/poolsimulation.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

using namespace Catkin;
using namespace Catkin::Testing;

/// Work that cannot start keeps no other work from starting.

namespace
{

/// What callers wait for at most while most of the capacity is idle: `finish_s` of the users' platform and 3 s.
constexpr auto idleWait = Millis{17'000};

/// A job with nothing running may stand for less than this while there is room for it and most of the capacity is idle.
constexpr auto stillLimit = Millis{2'900};

/// How long the tasks of a stream run that passes a gang; longer than a reservation holds them at first.
constexpr auto streamTask = Millis{12'000};

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

/// Adds a job that takes part of each of four workers for an hour, and starts it.
auto addHour(Fleet &fleet) -> void
{
    auto step = lasting(4, 2);
    step.longRunning = false;
    step.estimate = Millis{3'600'000};
    fleet.core.addJob(makeJob("hour", "batch", step), fleet.now);
    REQUIRE(tasksOf(fleet.run(Millis{200}), "hour") == 4);
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

// Guards against a gang that waits for room of work that lasts, and whose reservation keeps all other jobs of its priority from starting.
TEST_CASE("a gang that waits for capacity of work that lasts reserves nothing")
{
    auto fleet = Fleet{4};
    fleet.core.addJob(makeJob("lasting", "batch", lasting(4, 2)), fleet.now);
    REQUIRE(startsOf(fleet, "lasting", Millis{200}) == 4);
    fleet.core.addJob(makeJob("gang", "batch", gangOf(4, 8)), fleet.now);
    fleet.run(Millis{100});
    fleet.core.addJob(makeJob("small", "batch", batchOf(2)), fleet.now);
    CHECK(startsOf(fleet, "small", Millis{200}) == 2);
    // It starts when the lasting work is cancelled and the other has ended.
    fleet.core.cancelJob(JobId{"lasting"}, fleet.now);
    fleet.core.cancelJob(JobId{"small"}, fleet.now);
    CHECK(startsOf(fleet, "gang", Millis{500}) == 4);
}

// Guards against a reservation without an end: the work that the gang waits for takes an hour.
TEST_CASE("a reservation keeps other jobs from idle capacity for a limited time")
{
    for (const auto &late : {batchOf(2), lasting(2, 1)}) {
        auto fleet = Fleet{4};
        auto hour = lasting(4, 2);
        hour.longRunning = false;
        hour.estimate = Millis{3'600'000};
        fleet.core.addJob(makeJob("hour", "batch", hour), fleet.now);
        REQUIRE(startsOf(fleet, "hour", Millis{200}) == 4);
        fleet.core.addJob(makeJob("gang", "batch", gangOf(4, 8)), fleet.now);
        fleet.run(Millis{100});
        fleet.core.addJob(makeJob("late", "batch", late), fleet.now);
        CHECK(startsOf(fleet, "late", Millis{1'000}) == 0);
        // Tasks that run until they are cancelled may wait for 3 s.
        CHECK(startsOf(fleet, "late", late.longRunning ? Millis{2'000} : idleWait - Millis{1'000}) == 2);
        REQUIRE_FALSE(fleet.logged("passes_reservation").empty());
        CHECK(fleet.logged("passes_reservation").front() == "job=late occurrence=0 step=0 tasks=2 reserved_for=gang");
    }
}

// Guards against a gang that could start and is passed for ever, because reservations are open to others again and again.
TEST_CASE("a gang that can start is not passed for ever by a stream of small jobs")
{
    auto simulation = PoolSimulation{1, 4, {}};
    const auto step = [](int tasks, std::int64_t accelerators, bool gang) {
        return PoolStep{.tasks = tasks, .perTask = {.cpuMillis = 100, .memoryMb = 100, .accelerators = accelerators}, .estimate = streamTask, .gang = gang};
    };
    auto n = 0;
    const auto runTo = [&](Millis until) {
        for (; Millis{n * 1'000} < until; ++n) {
            simulation.submit(makeJob("small" + std::to_string(n), "batch", step(1, 1, false)));
            simulation.run(Millis{(n + 1) * 1'000});
        }
    };
    runTo(Millis{20'000});
    const auto submitted = simulation.now();
    simulation.submit(makeJob("gang", "batch", step(4, 8, true)));
    // The hold is a tenth of the gang's wait, and has to be as long as the work once.
    runTo(Millis{20'000} + streamTask * 12);
    REQUIRE(simulation.startedAt(JobId{"gang"}));
    CHECK(*simulation.startedAt(JobId{"gang"}) - submitted < streamTask * 12);
    CHECK(simulation.violations().empty());
}

// Guards against an urgent gang that can never fit and for which the capacity is kept free of other work.
TEST_CASE("no capacity is kept free for urgent work that no worker can take")
{
    auto fleet = Fleet{4};
    fleet.core.addJob(makeJob("urgent", "urgent", gangOf(5, 8)), fleet.now);
    fleet.run(Millis{200});
    auto step = batchOf(4);
    step.estimate = Millis{40'000};
    fleet.core.addJob(makeJob("late", "batch", step), fleet.now);
    CHECK(startsOf(fleet, "late", Millis{300}) == 4);
}

// Guards against a reserve for urgent work that cannot start now, which keeps others waiting for half of their slack, however long that is.
TEST_CASE("the reserve for urgent work that waits delays other work for a limited time while most of the capacity is idle")
{
    auto fleet = Fleet{4};
    fleet.core.addJob(makeJob("lasting", "urgent", lasting(4, 2)), fleet.now);
    REQUIRE(startsOf(fleet, "lasting", Millis{200}) == 4);
    fleet.core.addJob(makeJob("urgent", "urgent", gangOf(4, 8)), fleet.now);
    fleet.run(Millis{200});
    auto step = batchOf(4);
    step.estimate = Millis{600'000};
    fleet.core.addJob(makeJob("late", "batch", step), fleet.now);
    CHECK(startsOf(fleet, "late", idleWait) == 4);
}

// Guards against a preference for one rack that becomes a requirement together with a label or with other work.
TEST_CASE("a gang that prefers one rack starts on several when no rack has room for it")
{
    for (const auto labelled : {true, false}) {
        CAPTURE(labelled);
        auto fleet = Fleet{16};
        auto workers = fleet.workers;
        for (auto i = std::size_t{0}; i < workers.size(); i += 4) {
            workers[i].labels = {"fast"};
        }
        fleet.list(workers);
        auto step = gangOf(labelled ? 4 : 8, 8);
        step.sameRack = true;
        step.requiredLabel = labelled ? "fast" : "";
        if (!labelled) {
            fleet.core.addJob(makeJob("lasting", "batch", withLabel(lasting(4, 1), "fast")), fleet.now);
            REQUIRE(startsOf(fleet, "lasting", Millis{200}) == 4);
        }
        fleet.core.addJob(makeJob("gang", "batch", step), fleet.now);
        CHECK(startsOf(fleet, "gang", labelled ? Millis{200} : idleWait) == step.tasks);
    }
}

// Guards against sound work that never ends: a task that takes an hour gains a percent in 36 s, was taken for hung after 4.5 s, and began
// anew each time.
TEST_CASE("a task that makes progress slowly is stopped a limited number of times")
{
    for (const auto estimate : {Millis{3'600'000}, Millis{4'000}}) {
        CAPTURE(estimate.count());
        auto fleet = Fleet{2};
        fleet.timePerPercent = Millis{36'000};
        auto step = batchOf(1);
        step.estimate = estimate;
        fleet.core.addJob(makeJob("slow", "batch", step), fleet.now);
        const auto starts = startsOf(fleet, "slow", Millis{300'000});
        CHECK(starts <= (estimate == Millis{4'000} ? 5 : 1));
        CHECK(startsOf(fleet, "slow", Millis{600'000}) == 0);
        CHECK(fleet.core.find(JobId{"slow"})->phase == PoolJobPhase::Running);
    }
}

// Guards against waits beside idle capacity that leave no line when they are cut short.
TEST_CASE("what keeps a group from starting on a mostly idle service is logged after one second")
{
    auto fleet = Fleet{4};
    addHour(fleet);
    fleet.core.addJob(makeJob("gang", "batch", gangOf(4, 8)), fleet.now);
    fleet.run(Millis{100});
    fleet.core.addJob(makeJob("late", "batch", batchOf(2)), fleet.now);
    fleet.run(Millis{900});
    CHECK(fleet.logged("held").empty());
    fleet.run(Millis{300});
    REQUIRE(fleet.logged("held").size() == 1);
    CHECK(fleet.logged("held").front().find("job=late occurrence=0 step=0 cause=reservation waited_ms=1000 for_job=gang latest_end_ms=") == 0);
}

// Guards against a reservation that keeps a job with nothing running from idle capacity for 3 s or longer.
TEST_CASE("a reservation holds a job for less than 3 s while most of the capacity is idle")
{
    auto fleet = Fleet{4};
    addHour(fleet);
    fleet.core.addJob(makeJob("gang", "batch", gangOf(4, 8)), fleet.now);
    fleet.run(Millis{100});
    fleet.core.addJob(makeJob("late", "batch", batchOf(2)), fleet.now);
    CHECK(startsOf(fleet, "late", stillLimit) == 2);
}

// Guards against a gang past its preference for one rack that is only tried in one rack on reserved capacity, or that waits for each of the
// preference and a reservation in turn.
TEST_CASE("a preference for one rack and a reservation together hold a gang for less than 3 s while most of the capacity is idle")
{
    for (const auto reserved : {false, true}) {
        CAPTURE(reserved);
        auto fleet = Fleet{16};
        auto lastingStep = lasting(16, 1);
        lastingStep.longRunning = !reserved;
        lastingStep.estimate = Millis{3'600'000};
        fleet.core.addJob(makeJob("beside", "batch", lastingStep), fleet.now);
        REQUIRE(startsOf(fleet, "beside", Millis{200}) == 16);
        if (reserved) {
            fleet.core.addJob(makeJob("whole", "batch", gangOf(16, 8)), fleet.now);
            fleet.run(Millis{100});
        }
        // One task fits on each worker beside the other job, so that no rack of eight has room for ten.
        auto step = gangOf(10, 4);
        step.sameRack = true;
        fleet.core.addJob(makeJob("gang", "batch", step), fleet.now);
        CHECK(startsOf(fleet, "gang", stillLimit) == step.tasks);
    }
}

// Guards against the reserve for urgent work that cannot start now, which keeps a job from idle capacity for 3 s or longer.
TEST_CASE("the urgent reserve holds a job for less than 3 s while most of the capacity is idle")
{
    auto fleet = Fleet{4};
    fleet.core.addJob(makeJob("lasting", "urgent", lasting(4, 2)), fleet.now);
    REQUIRE(startsOf(fleet, "lasting", Millis{200}) == 4);
    fleet.core.addJob(makeJob("urgent", "urgent", gangOf(4, 8)), fleet.now);
    fleet.run(Millis{200});
    auto step = batchOf(4);
    step.estimate = Millis{600'000};
    fleet.core.addJob(makeJob("late", "batch", step), fleet.now);
    CHECK(startsOf(fleet, "late", stillLimit) == 4);
}

// Guards against a wait behind a reservation that begins anew with each planner, and has no end while planners change.
TEST_CASE("a new planner counts the wait of a job that has not begun from its acceptance")
{
    for (const auto waited : {Millis{0}, Millis{1'500}, Millis{20'000}}) {
        CAPTURE(waited.count());
        auto fleet = Fleet{4};
        addHour(fleet);
        fleet.core.addJob(makeJob("gang", "batch", gangOf(4, 8)), fleet.now);
        fleet.core.addJob(makeJob("late", "batch", batchOf(2)), fleet.now - waited);
        fleet.core.addJob(makeJob("before", "batch", gangOf(4, 8)), fleet.now - waited - Millis{100});
        CHECK(startsOf(fleet, "late", stillLimit - std::min(waited, Millis{2'500})) == 2);
    }
}

// Guards against a gang that has waited for long, and keeps a job with nothing running from idle capacity for 3 s or longer.
TEST_CASE("the reservation of a gang that has waited for a minute holds a job for less than 3 s while most of the capacity is idle")
{
    // A reservation holds others and is open to them in turn, so that the job comes at different times of a hold.
    for (auto waited = Millis{70'000}; waited < Millis{80'000}; waited += Millis{1'000}) {
        CAPTURE(waited.count());
        auto fleet = Fleet{4};
        addHour(fleet);
        fleet.core.addJob(makeJob("gang", "batch", gangOf(4, 8)), fleet.now);
        fleet.run(waited);
        fleet.core.addJob(makeJob("late", "batch", batchOf(2)), fleet.now);
        CHECK(startsOf(fleet, "late", stillLimit) == 2);
    }
}

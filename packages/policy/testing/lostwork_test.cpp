#include "policy/lostwork.h"

#include "policy/poolcore.h"
#include "policy/testing/poolsimulation.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Catkin;
using namespace Catkin::Testing;

namespace
{

constexpr auto need = Resources{.cpuMillis = 2'000, .memoryMb = 1'000, .accelerators = 1}; // 10 cores

/// Two workers, each full with one task of 8 accelerators: one with checkpoints that has run for a minute, and one without that has run for
/// two seconds.
struct Preemption
{
    explicit Preemption(std::optional<Millis> restore)
        : core(PoolOptions{.restore = restore})
    {
        core.setRules(simulationRules());
        auto listed = std::vector<PoolWorkerInfo>{};
        for (const auto *it : {"w0", "w1"}) {
            listed.push_back({.id = WorkerId{it},
                              .address = "10.0.0.1:1",
                              .service = ServiceId{"s"},
                              .capacity = {.cpuMillis = 32'000, .memoryMb = 128'000, .accelerators = 8},
                              .born = Incarnation{1}});
        }
        core.setWorkers(listed, now);
        for (const auto &it : listed) {
            core.applyPollReply(it.id, {.clock = {1}, .born = Incarnation{1}, .complete = false}, now, now);
        }
        submit("saved", "batch", true);
        plan();
        for (auto i = 0; i < 60; ++i) {
            now += Seconds{1};
            ++percent;
            plan();
        }
        submit("unsaved", "batch", false);
        plan();
        now += Seconds{2};
        submit("urgent", "urgent", false);
    }

    auto submit(const std::string &id, const std::string &queue, bool checkpointing) -> void
    {
        core.addJob(
            {.id = JobId{id},
             .queue = QueueId{queue},
             .workspace = WorkspaceId{"w"},
             .steps
             = {{.tasks = 1, .perTask = {.cpuMillis = 1'000, .memoryMb = 1'000, .accelerators = 8}, .estimate = Seconds{100}, .checkpointing = checkpointing}}},
            now);
    }

    auto plan() -> PoolEffects
    {
        auto effects = core.plan(now, WallTime{});
        for (const auto &it : effects.starts) {
            core.leaseFor(it.worker, now);
            core.applyOrder(it, {.outcome = OrderOutcome::Accepted}, now);
        }
        for (const auto &[id, worker] : core.workers()) {
            core.nextPoll(id, now); // keeps the lease
            auto reply = WorkerPollReply{.clock = {1}, .born = Incarnation{1}};
            for (const auto &[key, it] : worker.allocations) {
                reply.running.push_back({.task = key.first, .attempt = key.second, .percent = percent});
            }
            core.applyPollReply(id, reply, now, now);
        }
        return effects;
    }

    PoolCore core;
    MonoTime now{Seconds{1'000}};
    int percent = 0;
};

}

// Load: stops of work with and without checkpoints. Guards against a loss that grows with the age of work whose progress is saved.
TEST_CASE("with checkpoints a stop loses the time to resume, without them all work of the attempt")
{
    auto it = StoppedAttempt{.resources = need, .age = Seconds{30}, .estimate = Seconds{100}, .restore = Millis{600}};
    CHECK(lostCoreSeconds(it) == doctest::Approx(300.0));
    it.checkpointing = true;
    CHECK(lostCoreSeconds(it) == doctest::Approx(6.0));
    it.restore.reset(); // as before the time was a setting
    CHECK(lostCoreSeconds(it) == doctest::Approx(30.0));
    it.stopGrace = Millis{900}; // the capacity is in use for nothing while the attempt stops
    CHECK(lostCoreSeconds(it) == doctest::Approx(39.0));
}

// Load: estimates that are off by up to 90%, and planners that follow each other. Guards against work that counts by its estimate although lists
// have shown its speed.
TEST_CASE("the work of an attempt is counted by its progress where this planner did not see it begin")
{
    auto it = StoppedAttempt{.resources = need, .age = Seconds{4}, .estimate = Seconds{100}, .basePercent = 0, .percent = 50, .progressSpan = Seconds{4}};
    CHECK(lostCoreSeconds(it) == doctest::Approx(40.0));
    it.basePercent = 51; // taken over with its first list
    it.progressSpan = Micros{0};
    CHECK(lostCoreSeconds(it) == doctest::Approx(500.0));
    it.percent = 61;
    it.progressSpan = Seconds{2};
    CHECK(lostCoreSeconds(it) == doctest::Approx(122.0));
}

// Load: urgent work while all capacity is in use. Guards against the preemption of work that loses all it has done while work with saved
// progress runs beside it.
TEST_CASE("urgent work preempts work with checkpoints rather than younger work without, and the loss is counted by cause")
{
    auto pool = Preemption{Millis{100}};
    const auto effects = pool.plan();
    REQUIRE(effects.stops.size() == 1);
    CHECK(effects.stops[0].task == TaskKey{.job = JobId{"saved"}});
    CHECK(effects.stops[0].attempt == 1);
    REQUIRE(effects.stopped.contains(StopReason::Preempted));
    CHECK(effects.stopped.at(StopReason::Preempted).attempts == 1);
    CHECK(effects.stopped.at(StopReason::Preempted).lostCoreSeconds == doctest::Approx(19.5));
    const auto line
        = std::find_if(effects.logEntries.begin(), effects.logEntries.end(), [](const PoolLogEntry &it) { return it.decision == std::string("stopping"); });
    REQUIRE(line != effects.logEntries.end());
    CHECK(line->text.find(" loss_core_s=19.5") != std::string::npos);
    pool.now += Millis{20};
    CHECK(pool.plan().stopped.empty());
}

// Load: as above, with settings that have no time to resume. Guards against deployments that are served in another way than before.
TEST_CASE("without a time to resume, a share of the saved work counts as lost")
{
    auto pool = Preemption{std::nullopt};
    const auto effects = pool.plan();
    REQUIRE(effects.stops.size() == 1);
    CHECK(effects.stops[0].task.job == JobId{"unsaved"});
}

// Load: callers that cancel, while the records of attempts cannot be stored. Guards against stops that are not counted, and against cancelled work
// that counts as lost by the scheduler.
TEST_CASE("stops that go out while nothing can be recorded are counted by the next pass, cancelled work without a loss")
{
    auto pool = Preemption{std::nullopt};
    pool.core.cancelJob(JobId{"unsaved"}, pool.now);
    REQUIRE(pool.core.planStops(pool.now).size() == 1);
    const auto effects = pool.plan();
    REQUIRE(effects.stopped.contains(StopReason::JobFinal));
    CHECK(effects.stopped.at(StopReason::JobFinal).attempts == 1);
    CHECK(effects.stopped.at(StopReason::JobFinal).lostCoreSeconds == 0.0);
}

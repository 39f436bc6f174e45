#include "policy/poolcore.h"

#include <doctest/doctest.h>

using namespace Catkin;

/// A planner that takes over before it knows the rules of a queue.

namespace
{

/// A job of two tasks that run on one worker; the first of them fails.
struct EarlyTakeover
{
    explicit EarlyTakeover(int earlierFailures)
    {
        auto recorded = makeJobState(job);
        recorded.phase = PoolJobPhase::Running;
        for (auto i = 0; i < 2; ++i) {
            auto &task = taskAt(recorded, {.job = job.id, .index = i});
            task.phase = TaskPhase::Placed;
            task.attempt = earlierFailures + 1;
            task.failures = earlierFailures;
            task.lastFailedAttempt = earlierFailures;
            task.worker = worker.id;
            task.workerBorn = worker.born;
        }
        core.addJob(job, now);
        core.adoptRecord(job.id, recorded, now + Seconds{12}, now);
        core.setWorkers({worker}, now);
        const auto attempt = earlierFailures + 1;
        core.applyPollReply(worker.id,
                            {.clock = WorkerTime{100'000},
                             .born = Incarnation{1},
                             .running = {{.task = {.job = job.id, .index = 1}, .attempt = attempt, .percent = 10}},
                             .completions = {{.number = 1, .task = {.job = job.id}, .attempt = attempt, .kind = CompletionKind::Failed}}},
                            now,
                            now);
    }

    auto phaseAfterPass() -> PoolJobPhase
    {
        now += Millis{100};
        core.recorded(core.plan(now, WallTime{}));
        return core.find(job.id)->phase;
    }

    auto learnRules() -> void
    {
        core.setRules({.queues = {{QueueId{"q"}, {.id = QueueId{"q"}, .service = ServiceId{"s"}, .maxAttempts = 3}}}});
    }

    MonoTime now{Seconds{100}};
    PoolWorkerInfo worker{.id = WorkerId{"w0"},
                          .address = "10.0.0.1:1",
                          .service = ServiceId{"s"},
                          .capacity = {.cpuMillis = 32'000, .memoryMb = 128'000, .accelerators = 8},
                          .born = Incarnation{1}};
    PoolJob job{.id = JobId{"a"}, .queue = QueueId{"q"}, .workspace = WorkspaceId{"w"}, .steps = {{.tasks = 2, .perTask = {.cpuMillis = 1'000}}}};
    PoolCore core{PoolOptions{}};
};

}

// Guards against a job that is shown as failed after one failure of a task, because the planner that reads of the failure has no
// configuration yet.
TEST_CASE("a failure that is reported before the rules of its queue are known does not fail the job")
{
    auto takeover = EarlyTakeover{0};
    CHECK(takeover.phaseAfterPass() == PoolJobPhase::Running);
    takeover.learnRules();
    CHECK(takeover.phaseAfterPass() == PoolJobPhase::Running);
    CHECK(taskAt(*takeover.core.find(takeover.job.id), {.job = takeover.job.id}).attempt == 2); // it runs again
}

TEST_CASE("a job that has failed too often fails when the rules of its queue become known")
{
    auto takeover = EarlyTakeover{2};
    CHECK(takeover.phaseAfterPass() == PoolJobPhase::Running);
    takeover.learnRules();
    CHECK(takeover.phaseAfterPass() == PoolJobPhase::Failed);
}

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

namespace
{

auto rulesOf(int version, const std::vector<PoolQueue> &queues) -> PoolRules
{
    auto rules = PoolRules{.version = ConfigVersion{version}};
    for (const auto &it : queues) {
        rules.queues[it.id] = it;
    }
    return rules;
}

/// A planner with one idle worker.
struct RulesPlanner
{
    RulesPlanner()
    {
        const auto worker = PoolWorkerInfo{.id = WorkerId{"w0"},
                                           .address = "10.0.0.1:1",
                                           .service = ServiceId{"s"},
                                           .capacity = {.cpuMillis = 32'000, .memoryMb = 128'000, .accelerators = 8},
                                           .born = Incarnation{1}};
        core.setWorkers({worker}, now);
        core.applyPollReply(worker.id, {.clock = WorkerTime{100'000}, .born = Incarnation{1}}, now, now);
    }

    auto plan() -> PoolEffects
    {
        now += Millis{100};
        return core.plan(now, WallTime{});
    }

    PoolCore core{PoolOptions{}};
    MonoTime now{Seconds{100}};
};

const auto seasonal = PoolQueue{.id = QueueId{"season"}, .service = ServiceId{"s"}, .priority = 1, .maxAttempts = 3};
const auto other = PoolQueue{.id = QueueId{"other"}, .service = ServiceId{"s"}, .priority = 1, .maxAttempts = 3};

auto seasonalJob(std::optional<PoolQueue> rules) -> PoolJob
{
    return {.id = JobId{"a"}, .queue = seasonal.id, .rules = std::move(rules), .workspace = WorkspaceId{"w"}, .steps = {{.tasks = 1}}};
}

auto saysOf(const PoolEffects &effects, const std::string &decision) -> std::string
{
    for (const auto &it : effects.logEntries) {
        if (it.decision == decision) {
            return it.text;
        }
    }
    return {};
}

}

// Guards against a job that never goes on: its queue was removed, and a planner that never knew the queue takes over.
TEST_CASE("a new planner runs a job of a queue that is in no present configuration")
{
    auto planner = RulesPlanner{};
    planner.core.setRules(rulesOf(3, {other}));
    planner.core.addJob(seasonalJob(seasonal), planner.now);
    const auto effects = planner.plan();
    CHECK(effects.starts.size() == 1);
    CHECK(saysOf(effects, "queue_removed") == "job=a queue=season version=3 service=s priority=1 max_attempts=3");
    CHECK(saysOf(planner.plan(), "queue_removed").empty()); // once
}

// Guards against rules that only the planner's memory holds: those that changed after the job was accepted.
TEST_CASE("changed rules of a queue become part of the records of its jobs")
{
    auto planner = RulesPlanner{};
    planner.core.setRules(rulesOf(1, {seasonal}));
    planner.core.addJob(seasonalJob(seasonal), planner.now);
    CHECK(planner.plan().jobChanged.empty());
    auto changed = seasonal;
    changed.maxAttempts = 7;
    planner.core.setRules(rulesOf(2, {changed}));
    CHECK(planner.plan().jobChanged == std::set{JobId{"a"}});
    planner.core.setRules(rulesOf(3, {other}));
    CHECK(planner.plan().jobChanged.empty());
    CHECK(planner.core.find(JobId{"a"})->job.rules == changed);
}

// Guards against a job that waits without a word: a record of an earlier version has no rules, and its queue is gone.
TEST_CASE("a job of a removed queue without recorded rules is set aside, and goes on when its queue is back")
{
    auto planner = RulesPlanner{};
    planner.core.addJob(seasonalJob(std::nullopt), planner.now);
    CHECK(planner.plan().reasonChanged.empty()); // no configuration is known yet
    planner.core.setRules(rulesOf(3, {other}));
    const auto effects = planner.plan();
    CHECK(effects.starts.empty());
    CHECK(effects.reasonChanged == std::vector{JobId{"a"}});
    CHECK(saysOf(effects, "set_aside") == "job=a queue=season version=3 reason=queue_unknown");
    CHECK_FALSE(planner.core.find(JobId{"a"})->reason.empty());
    planner.core.setRules(rulesOf(4, {seasonal, other}));
    CHECK(planner.plan().starts.size() == 1);
    CHECK(planner.core.find(JobId{"a"})->reason.empty());
}

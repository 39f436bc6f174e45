#include "policy/poolcore.h"

#include "policy/testing/idlefleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>

using namespace Catkin;
using namespace Catkin::Testing;

/// Loads of a fleet of hundreds of workers: long backlogs, and many starts at once.

// Guards against members of a gang that wait, without progress and in vain, for members whose orders are queued at the planner, until
// each of them gives up alone.
TEST_CASE("a gang of which a member cannot be started is stopped before its members give up, and placed again")
{
    auto fleet = Fleet{3, {.gangTimeout = Millis{3'000}}};
    fleet.core.addJob(makeJob("g", "batch", gangOf(3, 8)), fleet.now);
    const auto starts = fleet.plan().starts;
    REQUIRE(starts.size() == 3);
    fleet.answer({starts[0], starts[1]}, OrderOutcome::Accepted);
    CHECK(fleet.plan(Millis{1'400}).stops.empty());
    CHECK(fleet.core.isCurrent(starts[2]));
    const auto effects = fleet.plan(Millis{200});
    CHECK(tasksOf(effects.stops, "g") == 3);
    CHECK(hasDecision(effects, "stopping", "reason=gang_incomplete"));
    CHECK_FALSE(fleet.core.isCurrent(starts[2])); // withdrawn from its queue
    fleet.answer({starts[2]}, OrderOutcome::NotSent);
    fleet.answer(effects.stops, OrderOutcome::Accepted);
    for (const auto &it : {starts[0], starts[1]}) {
        const auto end = AttemptCompletion{.number = 1, .task = it.task, .attempt = 1, .kind = CompletionKind::Stopped};
        fleet.core.applyPollReply(it.worker, {.clock = WorkerTime{103'000}, .born = Incarnation{1}, .completions = {end}}, fleet.now, fleet.now);
    }
    const auto again = fleet.plan().starts;
    REQUIRE(again.size() == 3);
    CHECK(again[0].attempt == 2);
}

TEST_CASE("a gang whose members have all started is not stopped, however long it runs")
{
    auto fleet = Fleet{3, {.gangTimeout = Millis{3'000}}};
    fleet.core.addJob(makeJob("g", "batch", gangOf(3, 8)), fleet.now);
    const auto starts = fleet.plan().starts;
    for (const auto &it : starts) {
        fleet.plan(Millis{400});
        fleet.answer({it}, OrderOutcome::Accepted);
    }
    CHECK(fleet.plan(Millis{2'000}).stops.empty());
}

// Guards against thousands of start orders that wait at the planner: they hold capacity, urgent work waits behind them, and gangs
// start in part.
TEST_CASE("a pass starts no more than can be sent soon: urgent groups first, gangs whole, the rest in later passes")
{
    auto fleet = Fleet{200, {.maxOpenStarts = 150}};
    for (auto i = 0; i < 10; ++i) {
        fleet.core.addJob(makeJob("batch" + std::to_string(i), "batch", batchOf(60)), fleet.now);
    }
    fleet.core.addJob(makeJob("gang", "batch", gangOf(64, 1)), fleet.now);
    fleet.core.addJob(makeJob("urgent", "urgent", gangOf(16, 8)), fleet.now);
    auto started = std::map<std::string, int>{};
    auto passes = 0;
    for (auto total = 0; total < 10 * 60 + 64 + 16; ++passes) {
        REQUIRE(passes < 20);
        const auto effects = fleet.plan();
        CHECK(effects.starts.size() < 150 + 64);
        CHECK(hasDecision(effects, "starts_deferred", "open_starts=1") == (passes == 0));
        if (passes == 0) {
            CHECK(tasksOf(effects.starts, "urgent") == 16);
            CHECK(effects.deferredGroups > 0);
            CHECK(fleet.plan().starts.empty()); // none has been answered
        }
        const auto members = tasksOf(effects.starts, "gang");
        CHECK((members == 0 || members == 64));
        total += static_cast<int>(effects.starts.size());
        fleet.answer(effects.starts, OrderOutcome::Accepted);
    }
    CHECK(passes >= 4);
    CHECK(fleet.plan().deferredGroups == 0);
}

// Guards against a planner whose start orders fill its link: answers, stop orders and renewals of the leadership came too late, orders
// were sent twice, and the planner stopped giving orders.
TEST_CASE("start orders without an answer take a short time on the planner's link, urgent groups first and gangs whole")
{
    auto fleet = Fleet{100, {.linkBytesPerSecond = 250'000}}; // 2 Mbit/s
    const auto large = [](PoolJob job) {
        job.payload = std::string(3'400, 'p'); // 4,000 bytes an order
        return job;
    };
    fleet.core.addJob(large(makeJob("batch", "batch", batchOf(300))), fleet.now);
    fleet.core.addJob(large(makeJob("gang", "batch", gangOf(64, 1))), fleet.now);
    fleet.core.addJob(large(makeJob("urgent", "urgent", gangOf(4, 1))), fleet.now);
    const auto first = fleet.plan();
    CHECK(tasksOf(first.starts, "urgent") == 4);
    const auto others = static_cast<int>(first.starts.size()) - 4;
    CHECK(others > 0);
    CHECK((tasksOf(first.starts, "gang") == 64 || others <= 9)); // 150 ms are 37,500 bytes
    CHECK(first.starts.front().answerTimeout < Millis{330});
    const auto ahead = Millis{(static_cast<int>(first.starts.size()) - 1) * 4'000 / 250};
    CHECK(first.starts.back().answerTimeout >= Millis{300} + ahead);
    CHECK(fleet.plan().starts.empty());
    auto started = static_cast<int>(first.starts.size());
    fleet.answer(first.starts, OrderOutcome::Accepted);
    for (auto passes = 0; started < 368; ++passes) {
        REQUIRE(passes < 100);
        const auto starts = fleet.plan().starts;
        const auto members = tasksOf(starts, "gang");
        CHECK((members == 0 || members == 64));
        CHECK(static_cast<int>(starts.size()) - members <= 10);
        started += static_cast<int>(starts.size());
        fleet.answer(starts, OrderOutcome::Accepted);
    }
}

// Guards against a pass whose time grows with the backlog times the fleet: with 1,100 workers and 3,300 jobs that differ a little it took
// more than 0.2 s, and urgent work waited for it.
TEST_CASE("a pass over a long backlog of differing jobs looks for capacity a bounded number of times")
{
    auto fleet = Fleet{40, {.maxOpenStarts = 100'000}};
    for (auto i = 0; i < 40; ++i) {
        fleet.core.addJob(makeJob("full" + std::to_string(i), "urgent", gangOf(8, 1)), fleet.now);
    }
    fleet.answer(fleet.plan().starts, OrderOutcome::Accepted);
    auto searches = std::vector<int>{};
    for (const auto jobs : {500, 2'000}) {
        for (auto i = 0; i < jobs; ++i) {
            auto step = i % 2 == 0 ? gangOf(1 + i % 7, 1 + i % 8) : batchOf(1 + i % 50);
            step.sameRack = i % 3 == 0;
            step.perTask.cpuMillis += 30'000 - std::int64_t{13} * i; // any of them fits on an idle worker
            step.perTask.memoryMb += std::int64_t{13} * i;
            fleet.core.addJob(makeJob("job" + std::to_string(jobs) + "-" + std::to_string(i), i % 5 == 0 ? "urgent" : "batch", step), fleet.now);
        }
        const auto effects = fleet.plan();
        CHECK(effects.starts.empty());
        searches.push_back(effects.searches);
    }
    CHECK(searches[0] > 0);
    CHECK(searches[1] <= 200);
}

// Guards against small work that is never placed because larger work before it finds no capacity.
TEST_CASE("jobs that fit are placed although many larger ones of another priority wait")
{
    auto fleet = Fleet{20, {}};
    for (auto i = 0; i < 20; ++i) {
        fleet.core.addJob(makeJob("most" + std::to_string(i), "urgent", gangOf(1, 5)), fleet.now);
    }
    fleet.answer(fleet.plan().starts, OrderOutcome::Accepted);
    for (auto i = 0; i < 300; ++i) {
        auto step = gangOf(1 + i % 3, 8);
        step.perTask.cpuMillis = 31'900 - std::int64_t{7} * i;
        fleet.core.addJob(makeJob("large" + std::to_string(i), "urgent", step), fleet.now);
    }
    fleet.core.addJob(makeJob("small", "batch", batchOf(1)), fleet.now);
    auto started = 0;
    for (auto i = 0; i < 60 && started == 0; ++i) {
        started = tasksOf(fleet.plan().starts, "small");
    }
    CHECK(started == 1);
}

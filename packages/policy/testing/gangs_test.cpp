#include "policy/gangs.h"

#include "policy/testing/fakeworker.h"
#include "util/clock.h"
#include "util/random.h"

#include <doctest/doctest.h>

#include <functional>
#include <set>

using namespace Catkin;
using Catkin::Testing::FakeWorker;

namespace
{

constexpr auto stepTime = Millis{50};

/// Four workers, a planner's gang table, and an exchange with each worker in every step.
struct Bench
{
    ManualClock clock;
    GangOptions options;
    GangTable table{options};
    std::map<WorkerId, FakeWorker> workers;
    std::vector<GangEvent> events;
    Generation generation{.counter = 1, .holder = "i-1"};
    bool attemptWins = true;
    Millis partialFor{0}; ///< longest time that some but not all members ran
    Millis partialNow{0};

    Bench()
    {
        for (auto i = 0; i < 4; ++i) {
            const auto id = "w-" + std::to_string(i);
            workers.emplace(WorkerId{id}, FakeWorker{id});
        }
    }

    static auto spec(bool atMostOnce = false, bool checkpointable = false) -> GangSpec
    {
        auto out = GangSpec{.job = JobId{"job"}, .members = {}, .needsAttemptRecord = atMostOnce, .checkpointable = checkpointable};
        for (auto i = 0; i < 4; ++i) {
            out.members.push_back({.worker = WorkerId{"w-" + std::to_string(i)}, .slots = {0, 1}});
        }
        return out;
    }

    auto running() const -> int
    {
        auto n = 0;
        for (const auto &[id, it] : workers) {
            n += it.running(JobId{"job"});
        }
        return n;
    }

    auto step(bool plannerAlive = true) -> void
    {
        clock.advance(stepTime);
        for (auto &[id, it] : workers) {
            it.advance(clock.now());
        }
        if (plannerAlive) {
            auto out = table.tick(clock.now());
            for (const auto &it : out.events) {
                events.push_back(it);
                if (it.type == GangEventType::AttemptRecordNeeded) {
                    table.attemptDecided(it.job, it.attempt, attemptWins, clock.now());
                }
            }
            for (const auto &[id, orders] : out.orders) {
                table.ordersDone(id, orders, workers.at(id).orders(generation, orders), clock.now());
            }
            for (auto &[id, it] : workers) {
                if (!out.orders.contains(id)) {
                    table.statusDone(id, it.status(), clock.now());
                }
            }
        }
        const auto n = running();
        partialNow = n > 0 && n < 4 ? partialNow + stepTime : Millis{0};
        partialFor = std::max(partialFor, partialNow);
    }

    auto steps(int n, bool plannerAlive = true) -> void
    {
        for (auto i = 0; i < n; ++i) {
            step(plannerAlive);
        }
    }

    auto finishAll(LeaseExit exit) -> void
    {
        for (auto i = 0; i < 4; ++i) {
            workers.at(WorkerId{"w-" + std::to_string(i)}).finish(GangTable::leaseId(JobId{"job"}, 1, i), exit);
        }
    }

    auto outcome() const -> std::string
    {
        return events.empty() || events.back().type != GangEventType::Ended ? "none" : outcomeName(events.back().outcome);
    }
};

}

TEST_CASE("a gang starts whole, is renewed, and succeeds")
{
    auto bench = Bench{};
    bench.table.start(Bench::spec(), bench.clock.now());
    bench.steps(10);
    CHECK(bench.running() == 4);
    CHECK(bench.table.phase(JobId{"job"}) == GangPhase::Running);
    bench.steps(4000); // 200 s, longer than the run lease
    CHECK(bench.running() == 4);
    bench.finishAll(LeaseExit::Ok);
    bench.steps(2);
    CHECK(bench.outcome() == "succeeded");
    CHECK(bench.table.size() == 0);
}

// Guards against one exchange for each lease: gangs that start at different times would otherwise renew at different times.
TEST_CASE("a worker's leases are renewed together")
{
    auto bench = Bench{};
    constexpr auto gangs = 6;
    for (auto i = 0; i < gangs; ++i) {
        auto spec = Bench::spec();
        spec.job = JobId{"job-" + std::to_string(i)};
        bench.table.start(spec, bench.clock.now());
        bench.steps(14);
    }
    auto batches = 0;
    auto renewals = 0;
    for (auto i = 0; i < 400; ++i) {
        const auto out = [&] {
            bench.clock.advance(stepTime);
            return bench.table.tick(bench.clock.now());
        }();
        for (const auto &[id, orders] : out.orders) {
            ++batches;
            renewals += static_cast<int>(orders.size());
            bench.workers.at(id).advance(bench.clock.now());
            bench.table.ordersDone(id, orders, bench.workers.at(id).orders(bench.generation, orders), bench.clock.now());
        }
    }
    // 20 s: two rounds at each of the four workers, each of them with a lease of every gang.
    CHECK(batches == 8);
    CHECK(renewals == 8 * gangs);
}

TEST_CASE("faults while a gang starts leave no part of it running beyond the probation time")
{
    struct Case
    {
        const char *name;
        std::function<void(FakeWorker &)> before; ///< applied to w-2 before the start
        std::function<void(FakeWorker &)> duringStart; ///< applied to w-2 once every member is reserved
        const char *outcome;
        int running = 0; ///< members running in the end
    };
    const auto cases = std::vector<Case>{
        {"reservation refused", [](auto &w) { w.refuseReserve = true; }, {}, "aborted"},
        {"worker down before the reservation", [](auto &w) { w.down = true; }, {}, "aborted"},
        {"start refused", [](auto &w) { w.refuseStart = true; }, {}, "lost"},
        {"worker vanishes before its start", {}, [](auto &w) { w.down = true; }, "lost"},
        {"worker reboots before its start", {}, [](auto &w) { w.reboot(); }, "lost"},
        // The orders took effect and status polls show it, so the gang runs.
        {"answers to orders lost", [](auto &w) { w.loseAnswers = true; }, {}, "none", 4},
    };
    for (const auto &it : cases) {
        CAPTURE(it.name);
        auto bench = Bench{};
        auto &worker = bench.workers.at(WorkerId{"w-2"});
        if (it.before) {
            it.before(worker);
        }
        bench.table.start(Bench::spec(), bench.clock.now());
        bench.step();
        if (it.duringStart) {
            it.duringStart(worker);
        }
        bench.steps(600);
        CHECK(bench.outcome() == it.outcome);
        CHECK(bench.running() == it.running);
        CHECK(bench.partialFor <= bench.options.probationTtl);
    }
}

TEST_CASE("a planner lost at any step leaves no part of a gang running beyond the probation time, and a successor settles it")
{
    for (auto lostAt = 0; lostAt < 12; ++lostAt) {
        CAPTURE(lostAt);
        auto bench = Bench{};
        // One worker is unreachable for the first planner from some step on, so that the gang can be half started.
        bench.table.start(Bench::spec(), bench.clock.now());
        bench.steps(lostAt / 3);
        bench.workers.at(WorkerId{"w-3"}).down = true;
        bench.steps(lostAt % 3);
        bench.steps(100, false); // 5 s without a planner
        CHECK(bench.partialFor <= bench.options.probationTtl);
        bench.workers.at(WorkerId{"w-3"}).down = false;
        bench.table = GangTable{bench.options};
        bench.generation = {.counter = 2, .holder = "i-2"};
        bench.table.adopt(Bench::spec(), bench.clock.now());
        bench.steps(20);
        const auto n = bench.running();
        const auto whole = n == 0 || n == 4;
        CHECK(whole);
        CHECK((n == 4) == (bench.table.phase(JobId{"job"}) == GangPhase::Running));
    }
}

TEST_CASE("an at-most-once gang starts only after its attempt has won")
{
    auto bench = Bench{};
    bench.attemptWins = false;
    bench.table.start(Bench::spec(true), bench.clock.now());
    bench.steps(20);
    CHECK(bench.outcome() == "aborted");
    CHECK(bench.running() == 0);

    auto waiting = Bench{};
    waiting.table.start(Bench::spec(true), waiting.clock.now());
    waiting.step();
    auto out = waiting.table.tick(waiting.clock.now());
    REQUIRE(out.events.size() == 1);
    CHECK(out.events[0].type == GangEventType::AttemptRecordNeeded);
    // The log does not answer: the reservations are given back and nothing has run.
    waiting.steps(200);
    CHECK(waiting.running() == 0);
    CHECK(waiting.outcome() == "aborted");
}

// Guards against a planner that ends with an exception: the workers of the replaced gang still named the job.
TEST_CASE("a gang that replaces another one of the same job on other workers leaves nothing behind")
{
    auto bench = Bench{};
    auto first = Bench::spec();
    bench.table.start(first, bench.clock.now());
    bench.steps(2);
    auto second = Bench::spec();
    second.attempt = 2;
    second.members.resize(1);
    bench.table.adopt(second, bench.clock.now());
    bench.steps(100);
    CHECK(bench.table.size() == 0);
    bench.table.statusDone(WorkerId{"w-3"}, failure(ErrorCode::Timeout, "silent"), bench.clock.now());
    bench.table.statusDone(WorkerId{"w-3"}, bench.workers.at(WorkerId{"w-3"}).status(), bench.clock.now());
    CHECK(bench.table.size() == 0);
}

TEST_CASE("losing a member of a running gang ends the rest")
{
    struct Case
    {
        const char *name;
        std::function<void(Bench &)> fault;
        const char *outcome;
    };
    const auto id = WorkerId{"w-1"};
    const auto cases = std::vector<Case>{
        {"worker unreachable", [&](Bench &b) { b.workers.at(id).down = true; }, "lost"},
        {"worker rebooted", [&](Bench &b) { b.workers.at(id).reboot(); }, "lost"},
        {"task failed", [&](Bench &b) { b.workers.at(id).finish(GangTable::leaseId(JobId{"job"}, 1, 1), LeaseExit::Failed); }, "failed"},
        {"lease lapsed", [&](Bench &b) { b.workers.at(id).finish(GangTable::leaseId(JobId{"job"}, 1, 1), LeaseExit::Lapsed); }, "lost"},
    };
    for (const auto &it : cases) {
        CAPTURE(it.name);
        auto bench = Bench{};
        bench.table.start(Bench::spec(), bench.clock.now());
        bench.steps(10);
        REQUIRE(bench.running() == 4);
        it.fault(bench);
        bench.steps(10);
        auto others = bench.running() - bench.workers.at(id).running(JobId{"job"});
        CHECK(others == 0);
        // The end is reported only when the silent worker's lease is certainly over.
        if (bench.workers.at(id).running(JobId{"job"}) > 0) {
            CHECK(bench.outcome() == "none");
        }
        bench.steps(2700);
        CHECK(bench.outcome() == it.outcome);
        CHECK(bench.running() == 0);
    }
}

TEST_CASE("a stop asks for checkpoints first, and cuts the lease of a task that ignores it")
{
    auto bench = Bench{};
    bench.table.start(Bench::spec(false, true), bench.clock.now());
    bench.steps(10);
    bench.workers.at(WorkerId{"w-0"}).ignoreStop = true;
    const auto asked = bench.clock.now();
    bench.table.stop(JobId{"job"}, true, "reclaimed", bench.clock.now());
    while (bench.outcome() == "none" && bench.clock.now() - asked < Seconds{10}) {
        bench.step();
    }
    CHECK(bench.outcome() == "stopped");
    CHECK(bench.events.back().checkpointed);
    // Urgent work starts within 3.1 s; the stop may take at most the checkpoint budget and the grace time of it.
    CHECK(bench.clock.now() - asked <= bench.options.checkpointBudget + bench.options.stopGrace + Millis{300});
}

TEST_CASE("random faults never leave a partial gang running beyond the bound")
{
    for (auto seed = 0U; seed < 200; ++seed) {
        CAPTURE(seed);
        auto random = Random{seed};
        auto bench = Bench{};
        bench.table.start(Bench::spec(), bench.clock.now());
        auto alive = true;
        for (auto i = 0; i < 400; ++i) {
            auto &worker = bench.workers.at(WorkerId{"w-" + std::to_string(uniform(random, 4))});
            switch (uniform(random, 60)) {
            case 0:
                worker.down = !worker.down;
                break;
            case 1:
                worker.loseAnswers = !worker.loseAnswers;
                break;
            case 2:
                worker.reboot();
                break;
            case 3:
                alive = !alive;
                break;
            default:
                break;
            }
            bench.step(alive);
        }
        // Without a planner, or with a silent worker, a part may run until the run lease ends.
        CHECK(bench.partialFor <= bench.options.runTtl);
        for (auto &[id, it] : bench.workers) {
            it.down = false;
            it.loseAnswers = false;
        }
        bench.steps(60);
        const auto whole = bench.running() == 0 || bench.running() == 4;
        CHECK(whole);
    }
}

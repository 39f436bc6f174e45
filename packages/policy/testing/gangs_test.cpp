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

/// Four workers and the gang table of a planner that exchanges messages with each of them in every step.
struct Fixture
{
    ManualClock clock;
    GangOptions options;
    GangTable table{options};
    std::map<WorkerId, FakeWorker> workers;
    std::vector<GangEvent> events;
    Generation generation{.counter = 1, .holder = "i-1"};
    bool attemptWins = true;
    Millis longestPartialRun{0}; ///< longest time in which some but not all members ran
    Millis partialRun{0}; ///< the current such time

    Fixture()
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
        partialRun = n > 0 && n < 4 ? partialRun + stepTime : Millis{0};
        longestPartialRun = std::max(longestPartialRun, partialRun);
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

TEST_CASE("all members of a gang start, keep running beyond their lease time, and end with success")
{
    auto fixture = Fixture{};
    fixture.table.start(Fixture::spec(), fixture.clock.now());
    fixture.steps(10);
    CHECK(fixture.running() == 4);
    CHECK(fixture.table.phase(JobId{"job"}) == GangPhase::Running);
    fixture.steps(4000); // 200 s, longer than the run lease
    CHECK(fixture.running() == 4);
    fixture.finishAll(LeaseExit::Ok);
    fixture.steps(2);
    CHECK(fixture.outcome() == "succeeded");
    CHECK(fixture.table.size() == 0);
}

// Guards against one exchange per lease: gangs that start at different times would otherwise be renewed at different times.
TEST_CASE("all leases on a worker are renewed in one batch")
{
    auto fixture = Fixture{};
    constexpr auto gangs = 6;
    for (auto i = 0; i < gangs; ++i) {
        auto spec = Fixture::spec();
        spec.job = JobId{"job-" + std::to_string(i)};
        fixture.table.start(spec, fixture.clock.now());
        fixture.steps(14);
    }
    auto batches = 0;
    auto renewals = 0;
    for (auto i = 0; i < 400; ++i) {
        const auto out = [&] {
            fixture.clock.advance(stepTime);
            return fixture.table.tick(fixture.clock.now());
        }();
        for (const auto &[id, orders] : out.orders) {
            ++batches;
            renewals += static_cast<int>(orders.size());
            fixture.workers.at(id).advance(fixture.clock.now());
            fixture.table.ordersDone(id, orders, fixture.workers.at(id).orders(fixture.generation, orders), fixture.clock.now());
        }
    }
    // In 20 s, each of the four workers gets two batches of renewals, with a lease of every gang in each batch.
    CHECK(batches == 8);
    CHECK(renewals == 8 * gangs);
}

TEST_CASE("a worker fault while a gang starts does not leave a part of it running beyond the probation time")
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
        // The orders took effect and status polls report it, so the gang runs.
        {"answers to orders lost", [](auto &w) { w.loseReplies = true; }, {}, "none", 4},
    };
    for (const auto &it : cases) {
        CAPTURE(it.name);
        auto fixture = Fixture{};
        auto &worker = fixture.workers.at(WorkerId{"w-2"});
        if (it.before) {
            it.before(worker);
        }
        fixture.table.start(Fixture::spec(), fixture.clock.now());
        fixture.step();
        if (it.duringStart) {
            it.duringStart(worker);
        }
        fixture.steps(600);
        CHECK(fixture.outcome() == it.outcome);
        CHECK(fixture.running() == it.running);
        CHECK(fixture.longestPartialRun <= fixture.options.probationTtl);
    }
}

TEST_CASE("after the loss of a planner at any step no part of a gang runs beyond the probation time, and the next planner runs or ends it")
{
    for (auto lostAt = 0; lostAt < 12; ++lostAt) {
        CAPTURE(lostAt);
        auto fixture = Fixture{};
        // One worker becomes unreachable for the first planner, so that the gang may be started partly.
        fixture.table.start(Fixture::spec(), fixture.clock.now());
        fixture.steps(lostAt / 3);
        fixture.workers.at(WorkerId{"w-3"}).down = true;
        fixture.steps(lostAt % 3);
        fixture.steps(100, false); // 5 s without a planner
        CHECK(fixture.longestPartialRun <= fixture.options.probationTtl);
        fixture.workers.at(WorkerId{"w-3"}).down = false;
        fixture.table = GangTable{fixture.options};
        fixture.generation = {.counter = 2, .holder = "i-2"};
        fixture.table.adopt(Fixture::spec(), fixture.clock.now());
        fixture.steps(20);
        const auto n = fixture.running();
        const auto whole = n == 0 || n == 4;
        CHECK(whole);
        CHECK((n == 4) == (fixture.table.phase(JobId{"job"}) == GangPhase::Running));
    }
}

TEST_CASE("an at-most-once gang starts only after its attempt is recorded as the one that counts")
{
    auto fixture = Fixture{};
    fixture.attemptWins = false;
    fixture.table.start(Fixture::spec(true), fixture.clock.now());
    fixture.steps(20);
    CHECK(fixture.outcome() == "aborted");
    CHECK(fixture.running() == 0);

    auto waiting = Fixture{};
    waiting.table.start(Fixture::spec(true), waiting.clock.now());
    waiting.step();
    auto out = waiting.table.tick(waiting.clock.now());
    REQUIRE(out.events.size() == 1);
    CHECK(out.events[0].type == GangEventType::AttemptRecordNeeded);
    // The result of the record is never reported: the reservations are released without a start.
    waiting.steps(200);
    CHECK(waiting.running() == 0);
    CHECK(waiting.outcome() == "aborted");
}

// Guards against an exception that ended the planner: the table still listed the job at workers that only the replaced gang
// had used.
TEST_CASE("a gang that replaces another one of its job removes the job from workers that it does not use itself")
{
    auto fixture = Fixture{};
    auto first = Fixture::spec();
    fixture.table.start(first, fixture.clock.now());
    fixture.steps(2);
    auto second = Fixture::spec();
    second.attempt = 2;
    second.members.resize(1);
    fixture.table.adopt(second, fixture.clock.now());
    fixture.steps(100);
    CHECK(fixture.table.size() == 0);
    fixture.table.statusDone(WorkerId{"w-3"}, failure(ErrorCode::Timeout, "silent"), fixture.clock.now());
    fixture.table.statusDone(WorkerId{"w-3"}, fixture.workers.at(WorkerId{"w-3"}).status(), fixture.clock.now());
    CHECK(fixture.table.size() == 0);
}

TEST_CASE("when a running gang loses a member, the other members are stopped")
{
    struct Case
    {
        const char *name;
        std::function<void(Fixture &)> fault;
        const char *outcome;
    };
    const auto id = WorkerId{"w-1"};
    const auto cases = std::vector<Case>{
        {"worker unreachable", [&](Fixture &b) { b.workers.at(id).down = true; }, "lost"},
        {"worker rebooted", [&](Fixture &b) { b.workers.at(id).reboot(); }, "lost"},
        {"task failed", [&](Fixture &b) { b.workers.at(id).finish(GangTable::leaseId(JobId{"job"}, 1, 1), LeaseExit::Failed); }, "failed"},
        {"lease lapsed", [&](Fixture &b) { b.workers.at(id).finish(GangTable::leaseId(JobId{"job"}, 1, 1), LeaseExit::Lapsed); }, "lost"},
    };
    for (const auto &it : cases) {
        CAPTURE(it.name);
        auto fixture = Fixture{};
        fixture.table.start(Fixture::spec(), fixture.clock.now());
        fixture.steps(10);
        REQUIRE(fixture.running() == 4);
        it.fault(fixture);
        fixture.steps(10);
        auto others = fixture.running() - fixture.workers.at(id).running(JobId{"job"});
        CHECK(others == 0);
        // The end is not reported as long as the unreachable worker's lease may last.
        if (fixture.workers.at(id).running(JobId{"job"}) > 0) {
            CHECK(fixture.outcome() == "none");
        }
        fixture.steps(2700);
        CHECK(fixture.outcome() == it.outcome);
        CHECK(fixture.running() == 0);
    }
}

TEST_CASE("a gang is checkpointed before a stop, and the lease of a task that ignores the stop is cut short")
{
    auto fixture = Fixture{};
    fixture.table.start(Fixture::spec(false, true), fixture.clock.now());
    fixture.steps(10);
    fixture.workers.at(WorkerId{"w-0"}).ignoreStop = true;
    const auto asked = fixture.clock.now();
    fixture.table.stop(JobId{"job"}, true, "reclaimed", fixture.clock.now());
    while (fixture.outcome() == "none" && fixture.clock.now() - asked < Seconds{10}) {
        fixture.step();
    }
    CHECK(fixture.outcome() == "stopped");
    CHECK(fixture.events.back().checkpointed);
    // An urgent job has to start within 3.1 s. Of these, the stop may take the checkpoint budget and the grace time.
    CHECK(fixture.clock.now() - asked <= fixture.options.checkpointBudget + fixture.options.stopGrace + Millis{300});
}

TEST_CASE("after random faults no part of a gang runs alone for longer than the run lease, and in the end all members run or none")
{
    for (auto seed = 0U; seed < 200; ++seed) {
        CAPTURE(seed);
        auto random = Random{seed};
        auto fixture = Fixture{};
        fixture.table.start(Fixture::spec(), fixture.clock.now());
        auto alive = true;
        for (auto i = 0; i < 400; ++i) {
            auto &worker = fixture.workers.at(WorkerId{"w-" + std::to_string(uniform(random, 4))});
            switch (uniform(random, 60)) {
            case 0:
                worker.down = !worker.down;
                break;
            case 1:
                worker.loseReplies = !worker.loseReplies;
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
            fixture.step(alive);
        }
        // Without a planner, or with an unreachable worker, a part may run until the run lease ends.
        CHECK(fixture.longestPartialRun <= fixture.options.runTtl);
        for (auto &[id, it] : fixture.workers) {
            it.down = false;
            it.loseReplies = false;
        }
        fixture.steps(60);
        const auto whole = fixture.running() == 0 || fixture.running() == 4;
        CHECK(whole);
    }
}

// Guards against a gang that waits anew with each planner for the lease of a member whose worker is gone.
TEST_CASE("a gang of a vanished worker ends although planners of its failure domain follow each other")
{
    const auto options = GangOptions{};
    for (const auto term : {Millis{600'000}, Millis{60'000}}) {
        CAPTURE(term.count());
        auto now = MonoTime{Seconds{1'000}};
        const auto begin = now;
        auto ended = false;
        while (!ended && now - begin < Millis{600'000}) {
            auto table = GangTable{options};
            table.adopt({.job = JobId{"a"}, .members = {{.worker = WorkerId{"gone"}, .slots = {0}}}}, now);
            for (auto passed = Millis{0}; passed < term && !ended; passed += Millis{1'000}) {
                now += Millis{1'000};
                auto step = table.tick(now);
                for (const auto &[worker, orders] : step.orders) {
                    table.ordersDone(worker, orders, failure(ErrorCode::Timeout, "no answer"), now);
                }
                ended = !step.events.empty();
            }
        }
        CHECK(now - begin < Millis{150'000});
    }
}

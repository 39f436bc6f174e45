#include "policy/testing/idlefleet.h"
#include "policy/testing/poolsimulation.h"
#include "policy/testing/restartplanner.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

using namespace Catkin;
using namespace Catkin::Testing;

/// Work of silent workers waits for the end of what they were granted, and no longer.

namespace
{

/// The longest lease on the slowest clock of a worker, with the planner's slack.
constexpr auto longestLease = Millis{10'800};
/// How long a task that could run may have nothing running: LOST of the users' platform.
constexpr auto standingLimit = Millis{3'000};
/// After a takeover an earlier planner may have granted a lease until then.
constexpr auto earlierOrders = Millis{2'000};
/// How long the simulation has no planner at a takeover.
constexpr auto takeoverTime = Millis{2'000};
constexpr auto vanishes = Millis{3'000};

/// A job of one task whose worker vanishes while planners follow each other.
/// @param takeovers times since the start
/// @param limit the task runs elsewhere by then
auto runsElsewhere(const std::vector<Millis> &takeovers, Millis limit) -> bool
{
    auto simulation = PoolSimulation{1, 3, {}};
    auto step = batchOf(1);
    step.estimate = Millis{600'000};
    step.longRunning = true;
    simulation.submit(makeJob("a", "normal", step));
    for (const auto it : takeovers) {
        simulation.takeOverAt(it);
    }
    simulation.run(Millis{1'000});
    const auto taskOf = [&] { return simulation.core().find(JobId{"a"})->occurrences.front().steps.front().tasks.front(); };
    const auto vanished = taskOf().worker;
    REQUIRE(taskOf().phase == TaskPhase::Placed);
    simulation.loseWorkerAt(vanished, vanishes);
    simulation.run(limit);
    CHECK(simulation.violations().empty());
    return taskOf().phase == TaskPhase::Placed && taskOf().worker != vanished && taskOf().attemptPhase == AttemptPhase::Running;
}

/// Lets planners follow each other while the worker of a task writes its entry and answers none of them.
/// @param term between two takeovers
/// @return from the first unanswered poll until the attempt is given up; a minute if it is not
auto givenUpAfter(Millis term) -> Millis
{
    auto fleet = Fleet{1};
    const auto id = JobId{"a"};
    fleet.core.tookOver(fleet.now);
    fleet.core.addJob(makeJob(id.str(), "batch", batchOf(1)), fleet.now);
    REQUIRE(tasksOf(fleet.run(Millis{200}), id.str()) == 1);
    const auto state = *fleet.core.find(id);
    const auto worker = state.occurrences.front().steps.front().tasks.front().worker;
    auto known = KnownLeaseBounds{};
    constexpr auto pass = Millis{100};
    constexpr auto limit = Millis{60'000};
    for (auto passed = Millis{0}; passed < limit; passed += pass) {
        fleet.now += pass;
        auto &core = fleet.core;
        if (passed.count() > 0 && passed % term == Millis{0}) {
            core = PoolCore{PoolOptions{}};
            core.setRules(simulationRules());
            core.adoptLeaseBounds(known.ends);
            core.addJob(state.job, fleet.now);
            core.adoptRecord(id, state, fleet.now + longestLease, fleet.now);
            core.tookOver(fleet.now);
            core.setWorkers(fleet.workers, fleet.now);
        }
        core.pollFailed(worker);
        core.workerWrote(worker, fleet.now);
        core.entriesRead(fleet.now);
        core.plan(fleet.now, WallTime{});
        if (core.find(id)->occurrences.front().steps.front().tasks.front().phase == TaskPhase::Waiting) {
            return passed;
        }
        const auto bounds = core.composeLeaseBounds(fleet.now);
        noteLeaseBounds(known, {.bounds = bounds}, fleet.now);
        core.leaseBoundsStored(bounds);
    }
    return limit;
}

}

// Guards against a wait for the list of a worker that begins anew with each planner after its leases have expired.
TEST_CASE("a worker that writes its entry and does not answer is waited for no longer because planners follow each other")
{
    constexpr auto longestWait = longestLease + Millis{10'000};
    const auto oneTerm = givenUpAfter(Millis{60'000});
    CHECK(oneTerm > longestLease);
    CHECK(oneTerm <= longestWait);
    for (const auto term : {Millis{3'000}, Millis{6'000}, Millis{9'000}}) {
        CAPTURE(term.count());
        const auto several = givenUpAfter(term);
        CHECK(several >= oneTerm);
        CHECK(several <= longestWait + Millis{100});
    }
}

// Guards against a wait for a lease that begins anew with each planner, so that work of a vanished worker never starts again.
TEST_CASE("work of a vanished worker starts elsewhere although planners follow each other")
{
    CHECK(runsElsewhere({}, vanishes + longestLease + standingLimit));
    // The first planner has noticed that the worker is silent.
    auto takeovers = std::vector<Millis>{};
    for (auto at = Millis{7'000}; at < Millis{60'000}; at += Millis{6'000}) {
        takeovers.push_back(at);
    }
    CHECK(runsElsewhere(takeovers, vanishes + longestLease + standingLimit));
    // The first planner has not.
    constexpr auto early = Millis{3'500};
    takeovers.insert(takeovers.begin(), early);
    CHECK(runsElsewhere(takeovers, early + takeoverTime + earlierOrders + longestLease + standingLimit));
}

// Guards against a worker that gets a lease while a stored record says that its leases end sooner: its work would run twice.
TEST_CASE("no work runs twice when planners follow each other and workers come back")
{
    for (const auto &faults : {
             PoolFaults{.lostAnswers = 5, .cutWorkers = 80, .takeovers = 8, .slowRecords = 30},
             PoolFaults{.lateOrders = 20, .cutWorkers = 60, .takeovers = 8, .slowRecords = 10},
             PoolFaults{.cutWorkers = 50, .restarts = 20, .takeovers = 6, .takeoversBetweenSteps = 6},
             PoolFaults{.takeovers = 14, .slowRecords = 10, .flappingWorkers = 60},
         }) {
        for (auto seed = std::uint64_t{1}; seed <= 20; ++seed) {
            CAPTURE(seed);
            auto simulation = PoolSimulation{seed, 6, faults};
            for (auto i = 0; i < 30; ++i) {
                auto step = batchOf(2);
                step.estimate = Millis{2'000 + (seed * 977 + static_cast<std::uint64_t>(i) * 1'009) % 14'000};
                simulation.submit(makeJob("job" + std::to_string(i), i % 3 == 0 ? "urgent" : "batch", step));
                simulation.run(Millis{(i + 1) * 1'000});
            }
            simulation.run(Millis{140'000}); // before the first final job is forgotten
            for (const auto &it : simulation.violations()) {
                FAIL_CHECK(it);
            }
            for (const auto &[id, state] : simulation.core().jobs()) {
                CHECK(state.phase == PoolJobPhase::Completed);
            }
        }
    }
}

// Guards against a lease that is granted before the record that excludes it has been replaced, and against one that is withheld for longer.
TEST_CASE("a worker that a stored record names gets a lease again once a record without it is stored")
{
    auto fleet = Fleet{2};
    fleet.core.tookOver(fleet.now);
    fleet.core.addJob(makeJob("a", "batch", batchOf(1)), fleet.now);
    REQUIRE(tasksOf(fleet.run(Millis{200}), "a") == 1);
    const auto worker = fleet.core.find(JobId{"a"})->occurrences.front().steps.front().tasks.front().worker;
    CHECK(fleet.core.composeLeaseBounds(fleet.now).empty());
    fleet.core.pollFailed(worker);
    const auto bounds = fleet.core.composeLeaseBounds(fleet.now + Millis{1'000});
    REQUIRE(bounds.size() == 1);
    CHECK(bounds.front() == LeaseBound{.worker = worker, .left = longestLease - Millis{1'000}});
    fleet.core.leaseBoundsStored(bounds);
    CHECK_FALSE(fleet.core.withholdsFromAnswering());
    fleet.answerPolls();
    CHECK(fleet.core.withholdsFromAnswering());
    // The poll that is open when the lease is free again must not keep it back.
    CHECK(fleet.core.nextPoll(worker, fleet.now).request.wait <= Millis{100});
    CHECK(fleet.core.leaseFor(worker, fleet.now).value == 0);
    const auto after = fleet.core.composeLeaseBounds(fleet.now);
    CHECK(after.empty());
    CHECK(fleet.core.leaseFor(worker, fleet.now).value == 0); // the record without it may not have arrived
    fleet.core.leaseBoundsStored(after);
    CHECK(fleet.core.leaseFor(worker, fleet.now).value > 0);
}

// Guards against a bound that becomes shorter on its way, or that outlives a planner which did not know of it.
TEST_CASE("bounds are carried from term to term")
{
    const auto read = MonoTime{Seconds{100}};
    auto known = KnownLeaseBounds{};
    CHECK(carriedBounds(known, -1, 7, read).bounds.empty());
    noteLeaseBounds(known, {.epoch = 7, .bounds = {{.worker = WorkerId{"a"}, .left = Millis{5'000}}}}, read);
    CHECK(known.ends.at(WorkerId{"a"}) == read + Millis{5'000});
    const auto carried = carriedBounds(known, 7, 9, read + Micros{1'999'500});
    CHECK(carried.epoch == 9);
    REQUIRE(carried.bounds.size() == 1);
    CHECK(carried.bounds.front().left == Millis{3'001});
    CHECK(carriedBounds(known, 7, 9, read + Millis{6'000}).bounds.front().left == Millis{0});
    CHECK(carriedBounds(known, 8, 9, read).bounds.empty());
    const auto past = carriedBounds(known, 7, 9, read + Micros{6'000'500}).bounds.front();
    CHECK(past.over == Millis{1'000});
    noteLeaseBounds(known, {.epoch = 9, .bounds = {past}}, read + Millis{7'000});
    CHECK(known.ends.at(WorkerId{"a"}) == read + Millis{6'000});
}

// Guards against a task that waits for a lease without a word to the operator until the wait is over.
TEST_CASE("the log tells at the beginning of a wait for a lease which attempts wait and until when")
{
    auto fleet = Fleet{2};
    fleet.core.addJob(makeJob("a", "batch", batchOf(1)), fleet.now);
    REQUIRE(tasksOf(fleet.run(Millis{200}), "a") == 1);
    const auto worker = fleet.core.find(JobId{"a"})->occurrences.front().steps.front().tasks.front().worker;
    fleet.core.pollFailed(worker);
    const auto effects = fleet.plan();
    CHECK(hasDecision(effects, "awaits_lease", "worker=" + worker.str() + " attempts=1 listed=yes answered=yes lease_end_ms=10"));
    CHECK(hasDecision(effects, "awaits_lease", "bound=granted names=a.0.0.0#1"));
    CHECK_FALSE(hasDecision(fleet.plan(), "awaits_lease", "worker="));
    // A new planner that the worker does not answer has its own line.
    auto next = Fleet{0};
    next.core.addJob(fleet.core.find(JobId{"a"})->job, next.now);
    next.core.adoptRecord(JobId{"a"}, *fleet.core.find(JobId{"a"}), next.now + longestLease, next.now);
    next.core.tookOver(next.now);
    CHECK_FALSE(hasDecision(next.plan(), "awaits_lease", "worker="));
    CHECK(hasDecision(next.plan(Millis{300}),
                      "awaits_lease",
                      "worker=" + worker.str() + " attempts=1 listed=no answered=no lease_end_ms=10400 latest_end_ms=10400 bound=assumed"));
}

// Guards against an operator who cannot see why one attempt of a silent worker waits longer than the others.
TEST_CASE("the log names the attempts that wait longer because their start order may arrive late")
{
    auto fleet = Fleet{1};
    fleet.core.addJob(makeJob("a", "batch", batchOf(2)), fleet.now);
    const auto starts = fleet.plan().starts;
    REQUIRE(tasksOf(starts, "a") == 2);
    fleet.answer({starts.front()}, OrderOutcome::Accepted);
    const auto &known = fleet.core.workers().at(WorkerId{"w0"});
    fleet.core.applyPollReply(
        WorkerId{"w0"}, {.clock = known.clock, .born = known.info.born, .running = {{.task = starts.front().task, .attempt = 1}}}, fleet.now, fleet.now);
    fleet.answer({starts.back()}, OrderOutcome::OutcomeUnknown);
    fleet.core.pollFailed(WorkerId{"w0"});
    const auto late = "a.0.0." + std::to_string(starts.back().task.index) + "#1";
    const auto first = fleet.plan();
    CHECK(hasDecision(
        first, "awaits_lease", "attempts=2 listed=yes answered=yes lease_end_ms=10700 latest_end_ms=33700 bound=granted names=a.0.0.0#1,a.0.0.1#1"));
    CHECK(hasDecision(first, "awaits_lease", " late_starts=1 late_end_ms=23700 late_names=" + late));
    CHECK_FALSE(hasDecision(first, "awaits_lease", "late_names=" + late + ","));
    const auto expired = fleet.plan(Millis{10'800});
    CHECK(hasDecision(expired, "leases_expired", "attempts=1 "));
    CHECK(hasDecision(expired, "attempt_lost", "start_order=answered late_calls_ms=0"));
    CHECK_FALSE(hasDecision(expired, "attempt_lost", "start_order=may_arrive"));
    CHECK(hasDecision(fleet.plan(Millis{13'000}), "attempt_lost", "start_order=may_arrive late_calls_ms=13000"));
}

// Guards against work that waits for the late start order of another attempt after a takeover: the stored bound is one for all attempts of a worker.
TEST_CASE("the stored bound of a silent worker does not count late start orders")
{
    auto fleet = Fleet{1};
    fleet.core.tookOver(fleet.now);
    fleet.core.addJob(makeJob("a", "batch", batchOf(2)), fleet.now);
    const auto starts = fleet.plan().starts;
    REQUIRE(tasksOf(starts, "a") == 2);
    fleet.answer({starts.front()}, OrderOutcome::Accepted);
    fleet.answer({starts.back()}, OrderOutcome::OutcomeUnknown);
    fleet.core.pollFailed(WorkerId{"w0"});
    const auto bounds = fleet.core.composeLeaseBounds(fleet.now);
    REQUIRE(bounds.size() == 1);
    CHECK(bounds.front().left <= longestLease);
}

// Guards against a task that runs twice at the same time: a lifetime that no list and no entry has shown accepts one start, carries another one out
// late, and the lease of the latter holds for both.
TEST_CASE("an attempt that was accepted after the last list waits with one whose start order may arrive late")
{
    auto fleet = Fleet{1};
    fleet.core.addJob(makeJob("a", "batch", batchOf(2)), fleet.now);
    const auto starts = fleet.plan().starts;
    REQUIRE(tasksOf(starts, "a") == 2);
    fleet.now += Millis{10};
    fleet.answer({starts.front()}, OrderOutcome::Accepted);
    fleet.answer({starts.back()}, OrderOutcome::OutcomeUnknown);
    fleet.core.pollFailed(WorkerId{"w0"});
    CHECK_FALSE(hasDecision(fleet.plan(Millis{21'900}), "leases_expired", ""));
    CHECK(hasDecision(fleet.plan(Millis{2'000}), "leases_expired", "attempts=2 "));
}

// Guards against a line whose length grows with the attempts of a worker.
TEST_CASE("a line about a wait for a lease names at most 16 attempts whose start order may arrive late")
{
    auto fleet = Fleet{1};
    fleet.core.addJob(makeJob("a", "batch", {.tasks = 20, .perTask = {.cpuMillis = 1'000, .memoryMb = 1'000}, .estimate = Millis{4'000}}), fleet.now);
    const auto starts = fleet.plan().starts;
    REQUIRE(tasksOf(starts, "a") == 20);
    fleet.answer(starts, OrderOutcome::OutcomeUnknown);
    fleet.core.pollFailed(WorkerId{"w0"});
    auto names = std::vector<std::ptrdiff_t>{};
    for (const auto &it : fleet.plan().logEntries) {
        if (std::string{it.decision} == "awaits_lease") {
            const auto at = it.text.find(" late_starts=20 late_end_ms=23700 late_names=");
            REQUIRE(at != std::string::npos);
            names.push_back(std::count(it.text.begin() + static_cast<std::ptrdiff_t>(at), it.text.end(), '#'));
        }
    }
    CHECK(names == std::vector<std::ptrdiff_t>{16, 4});
}

// Guards against a wait of a new planner whose line does not tell that the restart of a silent worker makes it longer.
TEST_CASE("the line about a new lifetime in the entry of a worker tells until when the orders of an earlier planner count")
{
    auto fleet = Fleet{1};
    fleet.core.addJob(makeJob("a", "batch", batchOf(1)), fleet.now);
    REQUIRE(tasksOf(fleet.run(Millis{200}), "a") == 1);
    auto next = PoolCore{PoolOptions{}};
    next.addJob(fleet.core.find(JobId{"a"})->job, fleet.now);
    next.adoptRecord(JobId{"a"}, *fleet.core.find(JobId{"a"}), fleet.now + longestLease, fleet.now);
    next.tookOver(fleet.now);
    next.setWorkers(fleet.workers, fleet.now);
    CHECK(hasDecision(
        next.plan(fleet.now + Millis{300}, {}), "awaits_lease", "lease_end_ms=10500 latest_end_ms=20500 bound=assumed names=a.0.0.0#1 late_starts=0"));
    fleet.workers.front().born = Incarnation{2};
    next.setWorkers(fleet.workers, fleet.now + Millis{1'000});
    const auto reborn = next.plan(fleet.now + Millis{1'000}, {});
    CHECK(hasDecision(reborn, "worker_reborn", "answered_born=none late_starts=1 late_end_ms=22800"));
    // The worker writes its entry, so that its report is awaited for one more lease.
    CHECK(hasDecision(next.plan(fleet.now + Millis{23'900}, {}), "report_awaited", "silent_ms=always granted_until=0 lifetime=2 listed_lifetime=2 attempts=1"));
    const auto expired = next.plan(fleet.now + Millis{33'900}, {});
    CHECK(hasDecision(expired, "attempt_lost", "lifetime=2 listed_lifetime=2 granted_until=0 start_order=may_arrive late_calls_ms=13000"));
}

// Guards against a new planner that starts work again before it has asked the worker, which writes its entry and may hold the end of that work.
TEST_CASE("a new planner with a bound that has passed awaits the report of a worker that writes its entry")
{
    auto fleet = Fleet{2};
    fleet.core.tookOver(fleet.now);
    fleet.core.addJob(makeJob("a", "batch", batchOf(1)), fleet.now);
    REQUIRE(tasksOf(fleet.run(Millis{200}), "a") == 1);
    const auto worker = fleet.core.find(JobId{"a"})->occurrences.front().steps.front().tasks.front().worker;
    auto next = PoolCore{PoolOptions{}};
    // As daemon/poolterm does it: the entries are read while the records are loaded.
    next.entriesRead(fleet.now);
    for (const auto &it : fleet.workers) {
        next.workerWrote(it.id, fleet.now);
    }
    next.adoptLeaseBounds({{worker, fleet.now - Millis{100}}});
    next.addJob(fleet.core.find(JobId{"a"})->job, fleet.now);
    next.adoptRecord(JobId{"a"}, *fleet.core.find(JobId{"a"}), fleet.now + longestLease + earlierOrders, fleet.now);
    next.tookOver(fleet.now);
    next.setWorkers(fleet.workers, fleet.now);
    CHECK_FALSE(hasDecision(next.plan(fleet.now, {}), "attempt_lost", ""));
}

// Guards against a hung task that no planner stops because each counts its standstill from its own beginning.
TEST_CASE("a hung task is stopped although planners follow each other")
{
    for (const auto term : {Millis{60'000}, Millis{4'000}}) {
        CAPTURE(term.count());
        auto fleet = Fleet{1};
        const auto id = JobId{"a"};
        fleet.core.addJob(makeJob(id.str(), "batch", batchOf(1)), fleet.now);
        REQUIRE(tasksOf(fleet.run(Millis{200}), id.str()) == 1);
        const auto state = *fleet.core.find(id);
        const auto key = TaskKey{.job = id, .occurrence = 0, .step = 0, .index = 0};
        auto stopped = false;
        auto passed = Millis{0};
        for (; passed < Millis{60'000} && !stopped; passed += Millis{100}) {
            fleet.now += Millis{100};
            if (passed.count() > 0 && passed % term == Millis{0}) {
                fleet.core = PoolCore{PoolOptions{}};
                fleet.core.setRules(simulationRules());
                fleet.core.addJob(state.job, fleet.now);
                fleet.core.adoptRecord(id, state, fleet.now + longestLease, fleet.now);
                fleet.core.tookOver(fleet.now);
                fleet.core.setWorkers(fleet.workers, fleet.now);
            }
            auto reply = WorkerPollReply{.clock = WorkerTime{200'000 + passed.count()}, .born = Incarnation{1}};
            reply.running.push_back({.task = key, .attempt = 1, .percent = 50});
            fleet.core.applyPollReply(WorkerId{"w0"}, reply, fleet.now, fleet.now);
            stopped = !fleet.core.plan(fleet.now, WallTime{}).stops.empty();
        }
        CHECK(stopped);
    }
}

// Guards against work that waits for a lease which its worker got after it had ended, because an answer of before arrived late.
TEST_CASE("a list that answers a failed poll brings no lease before the worker answers again or writes its entry")
{
    enum class Then { Answers, Writes };
    for (const auto then : {Then::Answers, Then::Writes}) {
        CAPTURE(static_cast<int>(then));
        auto planner = Planner{};
        const auto order = planner.place();
        planner.accept(order, planner.firstClockNow());
        const auto reply = [&] {
            auto out = WorkerPollReply{.clock = planner.firstClockNow(), .born = firstBorn};
            out.running.push_back({.task = order.task, .attempt = order.attempt, .percent = 1});
            return out;
        };
        const auto sentAt = planner.now;
        planner.core.nextPoll(workerId, sentAt);
        planner.now += Millis{2'900};
        planner.core.pollFailed(workerId);
        planner.now += Millis{200};
        CHECK(planner.core.nextPoll(workerId, planner.now).request.leaseUntil.value == 0);
        const auto leaseEnd = planner.core.workers().at(workerId).leaseEnd;
        planner.now += Millis{100};
        if (then == Then::Writes) {
            planner.core.workerWrote(workerId, planner.now);
        }
        planner.core.applyPollReply(workerId, reply(), sentAt, planner.now);
        planner.plan();
        CHECK(planner.hasLine("list_overdue", "worker=w1 born=1000 asked_ms_ago=3200 listed=yes") == (then == Then::Answers));
        CHECK((planner.core.nextPoll(workerId, planner.now).request.leaseUntil.value != 0) == (then == Then::Writes));
        CHECK((planner.core.workers().at(workerId).leaseEnd == leaseEnd) == (then == Then::Answers));
        planner.now += Millis{10};
        planner.core.applyPollReply(workerId, reply(), planner.now - Millis{5}, planner.now);
        CHECK(planner.core.nextPoll(workerId, planner.now).request.leaseUntil.value != 0);
        CHECK(planner.isPlaced());
    }
}

// Guards against work that waits for a lease of a later lifetime although its worker has no entry any more, and against work that is placed again before
// the lease of a worker that is cut off has ended, or while its start order may still arrive.
TEST_CASE("work of a worker without an entry waits for its lease and for its late start order, one beside the other")
{
    constexpr auto returnTime = Millis{2'000};
    for (const auto isAnswered : {true, false}) {
        for (const auto isListed : {false, true}) {
            CAPTURE(isAnswered);
            CAPTURE(isListed);
            auto planner = Planner{};
            const auto order = planner.place();
            const auto begin = planner.now;
            planner.core.applyOrder(order, {.outcome = isAnswered ? OrderOutcome::Accepted : OrderOutcome::OutcomeUnknown}, planner.now);
            planner.core.pollFailed(workerId);
            const auto step = [&](Millis passed) {
                planner.now = begin + passed;
                planner.core.entriesRead(planner.now);
                planner.core.applyPollReply(planner.ids[1], {.clock = planner.firstClockNow(), .born = firstBorn}, planner.now, planner.now);
                return planner.plan().starts;
            };
            auto passed = Millis{0};
            for (; passed < Millis{60'000} && step(passed).empty(); passed += Millis{100}) {
                if (passed == Millis{4'500} && !isListed) {
                    planner.listWorkers({{}, firstBorn});
                }
            }
            constexpr auto lateCalls = Millis{13'000};
            const auto expected = isAnswered ? longestLease : isListed ? lateCalls + longestLease : lateCalls;
            CHECK(passed >= expected);
            CHECK(passed <= expected + Millis{200});
        }
    }
    // An entry that was dropped while the store was away may be back.
    auto planner = Planner{};
    const auto order = planner.place();
    planner.core.applyOrder(order, {.outcome = OrderOutcome::OutcomeUnknown}, planner.now);
    planner.core.pollFailed(workerId);
    planner.now += Millis{13'000};
    planner.listWorkers({{}, firstBorn});
    planner.core.entriesRead(planner.now);
    CHECK(planner.plan().starts.empty());
    planner.now += returnTime - Millis{1};
    planner.core.entriesRead(planner.now);
    CHECK(planner.plan().starts.empty());
    planner.now += Millis{1};
    planner.core.entriesRead(planner.now);
    CHECK(planner.plan().starts.size() == 1);
}

#include "policy/testing/restartplanner.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

using namespace Catkin;
using namespace Catkin::Testing;

namespace
{

/// Readings with which the clock of a new lifetime may begin: the platform promises none.
constexpr auto firstReadings = std::array{WorkerTime{1}, WorkerTime{8'261'000}};

}

// Guards against a task that runs twice at the same time: the list that shows a restart was made before a start that the new lifetime accepted.
TEST_CASE("a start that overtakes the first list of a new lifetime is not given up")
{
    auto planner = Planner{};
    const auto sentAt = planner.now;
    planner.now += Millis{2'300};
    planner.accept(planner.place(), WorkerTime{2'363});
    planner.now += Millis{450};
    planner.list(WorkerTime{2'066}, sentAt, false);
    CHECK(planner.isPlaced());
    auto effects = planner.plan();
    CHECK(effects.starts.empty());
    CHECK(effects.stops.empty());
    CHECK(planner.hasLine("worker_restarted", "clock=2066 asked_ms_ago=2750 running=0 ends=0"));
    CHECK(planner.hasLine("worker_restarted", "a.0.0.0#1(tries=1 accepted_ms_ago=450 accepted_clock=2363 in_doubt)"));
    // The next list settles it, so that it is asked for at once.
    CHECK(planner.core.nextPoll(workerId, planner.now).request.wait == Millis{0});
    planner.now += Millis{20};
    planner.list(WorkerTime{2'840}, planner.now - Millis{10}, true);
    CHECK(planner.isPlaced());
    effects = planner.plan();
    CHECK(effects.starts.empty());
    CHECK(effects.stops.empty());
}

// Guards against a task that runs twice at the same time, as above, when answers to orders have no clock.
TEST_CASE("a start that may have overtaken the first list of a new lifetime is in doubt until the next list")
{
    auto planner = Planner{};
    const auto sentAt = planner.now;
    planner.now += Millis{500};
    planner.accept(planner.place(), WorkerTime{});
    planner.now += Millis{500};
    planner.list(WorkerTime{300}, sentAt, false);
    CHECK(planner.isPlaced());
    CHECK(planner.plan().starts.empty());
    planner.now += Millis{20};
    planner.list(WorkerTime{800}, planner.now - Millis{10}, false);
    CHECK(!planner.isPlaced());
    CHECK(planner.plan().starts.size() == 1);
}

// Guards against work that ended with its worker and waits: the answer to its start arrives while the list of the new lifetime is under way.
TEST_CASE("a start of the earlier lifetime that is answered while the first list is under way is given up with the second list")
{
    auto planner = Planner{};
    const auto sentAt = planner.now;
    planner.now += Millis{500};
    planner.accept(planner.place(), WorkerTime{firstClock.value + 500});
    planner.now += Millis{500};
    planner.list(WorkerTime{300}, sentAt, false);
    CHECK(planner.core.nextPoll(workerId, planner.now).request.wait == Millis{0});
    planner.now += Millis{20};
    planner.list(WorkerTime{320}, planner.now - Millis{10}, false);
    CHECK(!planner.isPlaced());
    CHECK(planner.plan().starts.size() == 1);
}

// Guards against work that ended with its worker and waits: its start was answered before the poll was sent, so that the first list decides.
TEST_CASE("a start that was answered before the first list was asked for is given up with it")
{
    auto planner = Planner{};
    planner.accept(planner.place(), WorkerTime{firstClock.value + 10});
    planner.now += Millis{500};
    planner.list(WorkerTime{300}, planner.now - Millis{400}, false);
    CHECK(!planner.isPlaced());
    CHECK(planner.plan().starts.size() == 1);
}

// Guards against work that ended with its worker and waits: its lifetime could not be told from the clocks, as after two restarts in series.
TEST_CASE("a start of an earlier short lifetime is given up with the second list")
{
    auto planner = Planner{};
    const auto sentAt = planner.now;
    planner.now += Millis{500};
    planner.accept(planner.place(), WorkerTime{400});
    planner.now += Millis{500};
    planner.list(WorkerTime{100}, sentAt, false);
    CHECK(planner.isPlaced());
    CHECK(planner.core.nextPoll(workerId, planner.now).request.wait == Millis{0});
    planner.now += Millis{20};
    planner.list(WorkerTime{120}, planner.now - Millis{10}, false);
    CHECK(!planner.isPlaced());
    CHECK(planner.plan().starts.size() == 1);
    // The line tells which list decided, and what the start was known by.
    CHECK(planner.hasLine("attempt_lost",
                          "worker=w1 reason=worker restarted accepted_ms_ago=520 accepted_clock=400 list_born=2000 list_clock=120 list_asked_ms_ago=10"));
}

// Guards against work that ended with its worker and waits: the answer of the earlier lifetime arrives after the list of the new one.
TEST_CASE("a start that is answered after the first list of a new lifetime is settled by the next one")
{
    for (const auto names : {true, false}) {
        CAPTURE(names);
        auto planner = Planner{};
        const auto order = planner.place();
        planner.now += Millis{100};
        planner.list(WorkerTime{50}, planner.now - Millis{10}, false);
        CHECK(planner.isPlaced());
        planner.now += Millis{50};
        planner.accept(order, names ? WorkerTime{90} : WorkerTime{firstClock.value + 20});
        CHECK(planner.core.nextPoll(workerId, planner.now).request.wait == Millis{0});
        planner.now += Millis{20};
        planner.list(WorkerTime{160}, planner.now - Millis{10}, names);
        CHECK(planner.isPlaced() == names);
        const auto effects = planner.plan();
        CHECK(effects.starts.size() == (names ? 0 : 1));
        CHECK(effects.stops.empty());
    }
}

// Guards against a task that runs twice at the same time: a try of its start order is not answered, the repeat is, and the first try is carried out
// by the next lifetime, which would refuse it after a stop order.
TEST_CASE("an attempt with an unanswered try is given up after a restart only when the new lifetime has been told to stop it")
{
    for (const auto isOfEarlier : {false, true}) {
        CAPTURE(isOfEarlier);
        auto planner = Planner{};
        planner.core.applyOrder(planner.place(), {.outcome = OrderOutcome::OutcomeUnknown}, planner.now);
        const auto repeats = planner.plan().starts;
        REQUIRE(repeats.size() == 1);
        planner.accept(repeats.front(), firstClock);
        planner.now += Millis{1'000};
        planner.list(WorkerTime{50}, planner.now - Millis{10}, false);
        CHECK(planner.isPlaced());
        auto effects = planner.plan();
        CHECK(effects.starts.empty());
        REQUIRE(effects.stops.size() == 1);
        CHECK(planner.core.nextPoll(workerId, planner.now).request.wait == Millis{100});
        // The order may have been carried out before the restart, and its answer come late.
        planner.now += Millis{20};
        planner.core.applyOrder(effects.stops.front(),
                                {.outcome = OrderOutcome::Accepted, .clock = isOfEarlier ? WorkerTime{firstClock.value + 950} : WorkerTime{65}},
                                planner.now);
        planner.now += Millis{20};
        planner.list(WorkerTime{85}, planner.now - Millis{10}, false);
        CHECK(planner.isPlaced() == isOfEarlier);
        effects = planner.plan();
        CHECK(effects.stops.size() == (isOfEarlier ? 1 : 0));
        CHECK(effects.starts.size() == (isOfEarlier ? 0 : 1));
    }
}

// Guards against a task that runs twice at the same time: a list of the earlier lifetime arrives after one of the new lifetime, and is taken for a
// restart that ended what the new lifetime runs.
TEST_CASE("a list of an earlier lifetime that a later list has overtaken changes nothing")
{
    auto planner = Planner{};
    const auto sentAt = planner.now;
    planner.now += Millis{100};
    planner.list(WorkerTime{50}, planner.now - Millis{10}, false);
    planner.accept(planner.place(), WorkerTime{60});
    planner.now += Millis{100};
    planner.list(WorkerTime{150}, planner.now - Millis{10}, true);
    const auto outdated = WorkerPollReply{.clock = firstClock, .born = firstBorn};
    CHECK(!planner.core.applyPollReply(workerId, outdated, sentAt, planner.now));
    planner.plan();
    CHECK(planner.hasLine("list_outdated", "worker=w1 born=1000 present=2000 clock=100000"));
    CHECK(planner.isPlaced());
    CHECK(planner.core.workers().at(workerId).info.born == secondBorn);
    // A poll that is sent now shows another restart, after which the time of day was set back.
    planner.now += Millis{100};
    planner.core.applyPollReply(workerId, {.clock = WorkerTime{20}, .born = firstBorn}, planner.now - Millis{10}, planner.now);
    CHECK(!planner.isPlaced());
}

// Guards against a task that runs twice at the same time: only the entry shows the restart, and the new lifetime carries out a late start order,
// with a lease that ends after those of the earlier lifetime.
TEST_CASE("a restart that only the entry shows extends the lease while a start order may still be carried out")
{
    for (const auto isAnswered : {false, true}) {
        CAPTURE(isAnswered);
        auto planner = Planner{};
        const auto allocations = [&] { return planner.core.workers().at(workerId).allocations; };
        planner.core.applyOrder(planner.place(), {.outcome = isAnswered ? OrderOutcome::Accepted : OrderOutcome::OutcomeUnknown}, planner.now);
        planner.core.pollFailed(workerId);
        planner.now += Millis{1'000};
        planner.listWorkers({secondBorn, firstBorn});
        planner.now += Millis{10'000};
        planner.plan();
        CHECK(allocations().empty() == isAnswered);
        // The order is carried out up to 12 s after it was sent, and its lease is 10 s.
        planner.now += Millis{11'000};
        planner.plan();
        CHECK(allocations().empty() == isAnswered);
        planner.now += Millis{2'000};
        planner.plan();
        CHECK(allocations().empty());
    }
}

// Guards against a restart that is noticed late: an idle worker is asked with a long wait although its entry names a new lifetime.
TEST_CASE("a worker whose entry names a new lifetime is polled with a short wait")
{
    auto planner = Planner{};
    constexpr auto noticeable = Millis{100};
    CHECK(planner.core.nextPoll(workerId, planner.now).request.wait > noticeable);
    planner.listWorkers({secondBorn, firstBorn});
    CHECK(planner.core.nextPoll(workerId, planner.now).request.wait <= noticeable);
    planner.list(WorkerTime{50}, planner.now, false);
    CHECK(planner.core.nextPoll(workerId, planner.now).request.wait > noticeable);
}

// Guards against a task that runs twice at the same time: the next lifetime of a worker carries out a start order after the leases of the earlier
// lifetime have expired, and its clock does not begin at zero.
TEST_CASE("an attempt whose start order may still arrive stays placed after a restart, wherever the new clock begins")
{
    for (const auto clock : firstReadings) {
        CAPTURE(clock.value);
        auto planner = Planner{};
        planner.core.applyOrder(planner.place(), {.outcome = OrderOutcome::OutcomeUnknown}, planner.now);
        planner.core.pollFailed(workerId);
        planner.now += Millis{1'000};
        planner.listWorkers({secondBorn, firstBorn}, clock);
        // The leases of the earlier lifetime have expired; the order may arrive until 12 s after it was sent.
        planner.now += Millis{10'000};
        planner.plan();
        CHECK(planner.isPlaced());
        // It arrived late, and its lease lasts 10 s.
        planner.now += Millis{10'500};
        CHECK(planner.plan().starts.empty());
        CHECK(planner.isPlaced());
    }
}

// Guards against a task that runs twice at the same time, as above, when nothing shows that the silent worker has restarted.
TEST_CASE("an attempt on a silent worker stays placed while its start order may still arrive")
{
    auto planner = Planner{};
    planner.core.applyOrder(planner.place(), {.outcome = OrderOutcome::OutcomeUnknown}, planner.now);
    planner.core.pollFailed(workerId);
    planner.now += Millis{21'500};
    CHECK(planner.plan().starts.empty());
    CHECK(planner.isPlaced());
    planner.now += Millis{3'000};
    CHECK(planner.plan().starts.size() == 1);
}

// Guards against a task that runs twice at the same time: the answer of the earlier lifetime to a stop order is taken for one of the new lifetime,
// which carries out a start order that arrives later.
TEST_CASE("a stop order that was sent before the restart showed does not count as told to the new lifetime")
{
    for (const auto clock : firstReadings) {
        CAPTURE(clock.value);
        auto planner = Planner{};
        planner.core.applyOrder(planner.place(), {.outcome = OrderOutcome::OutcomeUnknown}, planner.now);
        planner.core.cancelJob(JobId{"a"}, planner.now);
        const auto stops = planner.plan().stops;
        REQUIRE(stops.size() == 1);
        planner.now += Millis{300};
        planner.list({clock.value + 20}, planner.now - Millis{10}, false);
        planner.core.applyOrder(stops.front(), {.outcome = OrderOutcome::Accepted, .clock = WorkerTime{firstClock.value + 10}}, planner.now);
        planner.now += Millis{20};
        planner.list({clock.value + 40}, planner.now - Millis{10}, false);
        CHECK(planner.core.workers().at(workerId).allocations.size() == 1);
        CHECK(planner.plan().stops.size() == 1);
    }
}

// Guards against a task that runs twice at the same time: two restarts follow each other, the third lifetime accepts the start before the list of
// the second one arrives, and its clock does not continue that list.
TEST_CASE("a start that a third lifetime accepts before the list of the second one arrives is not given up")
{
    for (const auto clock : firstReadings) {
        CAPTURE(clock.value);
        auto planner = Planner{};
        const auto sentAt = planner.now;
        planner.now += Millis{500};
        planner.accept(planner.place(), clock);
        planner.now += Millis{200};
        planner.list(WorkerTime{300'000}, sentAt, false);
        CHECK(planner.isPlaced());
        CHECK(planner.plan().starts.empty());
        planner.now += Millis{20};
        planner.core.applyPollReply(workerId,
                                    {.clock = {clock.value + 220}, .born = thirdBorn, .running = {{.task = Planner::task(), .attempt = 1, .percent = 1}}},
                                    planner.now - Millis{10},
                                    planner.now);
        CHECK(planner.isPlaced());
        const auto effects = planner.plan();
        CHECK(effects.starts.empty());
        CHECK(effects.stops.empty());
    }
}

// Guards against work that runs unnoticed on an idle worker: a start order for the earlier lifetime may still be carried out, and the worker is
// polled only now and then because its clock does not begin at zero.
TEST_CASE("an idle worker that has restarted is polled on while a start order may still arrive, wherever the new clock begins")
{
    for (const auto clock : firstReadings) {
        CAPTURE(clock.value);
        auto planner = Planner{};
        planner.core.applyOrder(planner.place(), {.outcome = OrderOutcome::OutcomeUnknown}, planner.now);
        planner.core.cancelJob(JobId{"a"}, planner.now);
        planner.now += Millis{100};
        planner.list({clock.value + 100}, planner.now - Millis{10}, false);
        const auto stops = planner.plan().stops;
        REQUIRE(stops.size() == 1);
        planner.now += Millis{10};
        planner.core.applyOrder(stops.front(), {.outcome = OrderOutcome::Accepted, .clock = {clock.value + 105}}, planner.now);
        planner.now += Millis{20};
        planner.list({clock.value + 130}, planner.now - Millis{10}, false);
        REQUIRE(planner.core.workers().at(workerId).allocations.empty());
        CHECK(planner.core.pollPause(workerId) == PollPause::None);
        planner.now += Millis{11'000};
        planner.list({clock.value + 11'100}, planner.now - Millis{10}, false);
        CHECK(planner.core.pollPause(workerId) == PollPause::None);
        planner.now += Millis{5'000};
        planner.list({clock.value + 16'100}, planner.now - Millis{10}, false);
        CHECK(planner.core.pollPause(workerId) == PollPause::WhileIdle);
    }
}

// Guards against a task that waits, or runs twice, without a line that tells which lifetime's clock bounds its lease and what late orders add to it.
TEST_CASE("the log tells what the leases of a start order that may arrive late were counted from")
{
    auto planner = Planner{};
    planner.core.applyOrder(planner.place(), {.outcome = OrderOutcome::OutcomeUnknown}, planner.now);
    planner.core.pollFailed(workerId);
    planner.plan();
    CHECK(planner.hasLine("awaits_lease", "lease_end_ms=10800 latest_end_ms=33800 bound=granted names=a.0.0.0#1"));
    CHECK(planner.hasLine("awaits_lease", "names=a.0.0.0#1 late_starts=1 late_end_ms=23800 late_names=a.0.0.0#1"));
    planner.now += Millis{1'000};
    planner.listWorkers({secondBorn, firstBorn});
    planner.plan();
    CHECK(planner.hasLine("worker_reborn", "worker=w1 listed_born=2000 before=1000 answered_born=1000 late_starts=1 late_end_ms=22800"));
    planner.now += Millis{22'900};
    planner.plan();
    CHECK(planner.hasLine("leases_expired", "worker=w1 silent_ms=23900 granted_until=110000 lifetime=1000 listed_lifetime=2000 attempts=1"));
    CHECK(planner.hasLine("attempt_lost",
                          "reason=lease expired lifetime=1000 listed_lifetime=2000 granted_until=110000 start_order=may_arrive late_calls_ms=13000"));
}

// Guards against a lease that looks as if nothing had been counted for late orders, because the restart had already extended it.
TEST_CASE("the log tells what a restart has added to the leases of an attempt that is given up later")
{
    auto planner = Planner{};
    planner.accept(planner.place(), firstClock);
    planner.core.pollFailed(workerId);
    planner.now += Millis{1'000};
    planner.list(WorkerTime{50}, planner.now - Millis{10}, true);
    planner.plan();
    // The poll without an answer granted a lease of 10.8 s at the beginning, which may begin 13 s late; that of the list ends after 11.8 s.
    CHECK(planner.hasLine("worker_restarted", "running=1 ends=0 late_calls_ms=12000"));
    planner.core.pollFailed(workerId);
    planner.plan();
    CHECK(planner.hasLine("awaits_lease", "lease_end_ms=22800 latest_end_ms=32800 bound=granted names=a.0.0.0#1 late_starts=0"));
    CHECK_FALSE(planner.hasLine("awaits_lease", "late_end_ms="));
    planner.now += Millis{22'900};
    planner.plan();
    CHECK(planner.hasLine("leases_expired", "granted_until=0 lifetime=2000 listed_lifetime=1000 attempts=1"));
    CHECK(planner.hasLine("attempt_lost", "reason=lease expired lifetime=2000 listed_lifetime=1000 granted_until=0 start_order=answered late_calls_ms=12000"));
}

// Guards against a stop that looks answered although the answer may be of an earlier lifetime: stop_answered names neither attempt nor lifetime.
TEST_CASE("the log tells once in a lifetime that an answer to a stop order may be of an earlier one")
{
    auto planner = Planner{};
    planner.core.applyOrder(planner.place(), {.outcome = OrderOutcome::OutcomeUnknown}, planner.now);
    planner.core.cancelJob(JobId{"a"}, planner.now);
    auto stops = planner.plan().stops;
    REQUIRE(stops.size() == 1);
    planner.now += Millis{300};
    planner.list(WorkerTime{20}, planner.now - Millis{10}, false);
    planner.core.applyOrder(stops.front(), {.outcome = OrderOutcome::Accepted, .clock = WorkerTime{firstClock.value + 10}}, planner.now);
    planner.now += Millis{5};
    stops = planner.plan().stops;
    REQUIRE(stops.size() == 1);
    CHECK(planner.hasLine("worker_restarted", "a.0.0.0#1(tries=1 accepted_ms_ago=unknown accepted_clock=0 may_arrive stop_open in_doubt)"));
    CHECK(planner.hasLine("stop_in_doubt",
                          "worker=w1 lifetime=2000 sent=before_restart answer_clock=100010 list_clock=20 list_asked_ms_ago=10 the answer may be of"));
    // The clock in the answer to the next order does not fit the list either.
    planner.now += Millis{5};
    planner.core.applyOrder(stops.front(), {.outcome = OrderOutcome::Accepted, .clock = WorkerTime{50'000}}, planner.now);
    CHECK(planner.plan().stops.size() == 1);
    CHECK(std::count_if(planner.lines.begin(), planner.lines.end(), [](const std::string &it) { return it.starts_with("stop_in_doubt "); }) == 1);
}

// Guards against a restart whose line does not show that the attempt waits for a stop order, or that a stop was told to the earlier lifetime only.
TEST_CASE("the line about a restart marks attempts whose start order may arrive and those whose stop was told to the earlier lifetime")
{
    auto planner = Planner{};
    planner.core.applyOrder(planner.place(), {.outcome = OrderOutcome::OutcomeUnknown}, planner.now);
    const auto repeats = planner.plan().starts;
    REQUIRE(repeats.size() == 1);
    planner.accept(repeats.front(), firstClock);
    planner.core.cancelJob(JobId{"a"}, planner.now);
    const auto stops = planner.plan().stops;
    REQUIRE(stops.size() == 1);
    planner.core.applyOrder(stops.front(), {.outcome = OrderOutcome::Accepted, .clock = firstClock}, planner.now);
    planner.now += Millis{1'000};
    planner.list(WorkerTime{50}, planner.now - Millis{10}, false);
    planner.plan();
    CHECK(planner.hasLine("worker_restarted", "a.0.0.0#1(tries=2 accepted_ms_ago=1000 accepted_clock=100000 may_arrive stop_answered)"));
}

// Guards against a task that runs twice at the same time: the entry of a worker is dropped and comes back with a new lifetime, and a poll that was
// sent before that reaches it late and extends the lease of the work that it has got since.
TEST_CASE("a poll without an answer counts for the leases of a worker whose entry was missing meanwhile")
{
    auto planner = Planner{};
    REQUIRE(planner.core.leaseFor(workerId, planner.now).value != 0);
    planner.core.pollFailed(workerId);
    planner.now += Millis{4'500};
    planner.listWorkers({{}, firstBorn});
    planner.plan();
    REQUIRE(!planner.core.workers().contains(workerId));
    planner.now += Millis{500};
    planner.listWorkers({secondBorn, firstBorn});
    planner.list(WorkerTime{8'261'000}, planner.now, false);
    planner.accept(planner.place(), WorkerTime{8'261'010});
    planner.core.pollFailed(workerId);
    // The poll may arrive until 12 s after it was sent, and its lease lasts 10 s.
    planner.now += Millis{16'500};
    CHECK(planner.plan().starts.empty());
    CHECK(planner.isPlaced());
    planner.now += Millis{3'000};
    CHECK(planner.plan().starts.size() == 1);
}

// Guards against a task that runs twice for longer than an exchange: its attempt is given up after a stop order, and the next lifetime of the
// worker, which has not been told, carries out a try of its start order.
TEST_CASE("an attempt whose start order may still arrive is stopped again when its worker restarts")
{
    enum class Shown { ByList, ByEntry, ByNewEntry };
    for (const auto shown : {Shown::ByList, Shown::ByEntry, Shown::ByNewEntry}) {
        CAPTURE(static_cast<int>(shown));
        auto planner = Planner{};
        auto starts = std::vector{planner.place()};
        auto effects = PoolEffects{};
        while (!starts.empty()) {
            planner.core.applyOrder(starts.front(), {.outcome = OrderOutcome::OutcomeUnknown}, planner.now);
            planner.now += Millis{300};
            effects = planner.plan();
            starts = effects.starts;
        }
        REQUIRE(effects.stops.size() == 1);
        planner.core.applyOrder(effects.stops.front(), {.outcome = OrderOutcome::Accepted, .clock = WorkerTime{firstClock.value + 920}}, planner.now);
        planner.now += Millis{20};
        planner.core.applyPollReply(workerId, {.clock = WorkerTime{firstClock.value + 940}, .born = firstBorn}, planner.now - Millis{10}, planner.now);
        effects = planner.plan();
        REQUIRE(effects.starts.size() == 1);
        REQUIRE(effects.starts.front().worker != workerId);
        planner.accept(effects.starts.front(), firstClock);
        planner.core.leaseFor(planner.ids[1], planner.now);
        planner.now += Millis{1'000};
        if (shown == Shown::ByNewEntry) {
            planner.listWorkers({{}, firstBorn});
            planner.plan();
            // It is polled on, so that its next lifetime hears of this planner as early as possible.
            REQUIRE(planner.core.workers().contains(workerId));
            CHECK(planner.core.pollTargets().front().first == workerId);
        }
        if (shown == Shown::ByList) {
            planner.list(WorkerTime{8'261'050}, planner.now - Millis{10}, false);
        } else {
            planner.listWorkers({secondBorn, firstBorn}, WorkerTime{8'261'050});
        }
        auto stops = planner.plan().stops;
        REQUIRE(stops.size() == 1);
        CHECK(stops.front().worker == workerId);
        CHECK(stops.front().attempt == 1);
        planner.now += Millis{10};
        planner.core.applyOrder(stops.front(), {.outcome = OrderOutcome::Accepted, .clock = WorkerTime{8'261'060}}, planner.now);
        planner.now += Millis{20};
        planner.list(WorkerTime{8'261'080}, planner.now - Millis{10}, false);
        stops = planner.plan().stops;
        CHECK(stops.size() == (shown == Shown::ByList ? 0 : 1)); // the list is the first of the lifetime, whose answers count
        for (const auto &it : stops) {
            planner.core.applyOrder(it, {.outcome = OrderOutcome::Accepted, .clock = WorkerTime{8'261'090}}, planner.now);
        }
        planner.now += Millis{20};
        planner.list(WorkerTime{8'261'100}, planner.now - Millis{10}, false);
        CHECK(planner.core.workers().at(workerId).allocations.empty());
        // No try can arrive any more.
        planner.now += Millis{13'000};
        planner.core.leaseFor(planner.ids[1], planner.now);
        planner.core.applyPollReply(workerId, {.clock = WorkerTime{50}, .born = thirdBorn}, planner.now - Millis{10}, planner.now);
        CHECK(planner.plan().stops.empty());
        CHECK(planner.isPlaced());
    }
}

// Guards against a task that runs twice at the same time: a lifetime that no list has shown accepts one start, carries another one out late, and the
// lease of the latter holds for both.
TEST_CASE("an attempt that was accepted after the last list waits for the leases of late calls")
{
    auto planner = Planner{};
    planner.now += Millis{500};
    planner.accept(planner.place(), WorkerTime{5'000'000});
    planner.core.pollFailed(workerId);
    planner.listWorkers({secondBorn, firstBorn});
    planner.now += Millis{22'000};
    CHECK(planner.plan().starts.empty());
    CHECK(planner.isPlaced());
    planner.now += Millis{3'000};
    CHECK(planner.plan().starts.size() == 1);
}

// Guards against work of a silent worker that waits longer than it has to: a list has named the attempt, so that no lifetime is unknown.
TEST_CASE("an attempt that the last list names waits for the leases that the worker was granted only")
{
    auto planner = Planner{};
    planner.now += Millis{500};
    planner.accept(planner.place(), WorkerTime{firstClock.value + 500});
    planner.now += Millis{100};
    planner.core.applyPollReply(workerId,
                                {.clock = {firstClock.value + 590}, .born = firstBorn, .running = {{.task = Planner::task(), .attempt = 1}}},
                                planner.now - Millis{10},
                                planner.now);
    planner.core.pollFailed(workerId);
    planner.now += Millis{11'000};
    CHECK(planner.plan().starts.size() == 1);
}

// Guards against a task that runs twice at the same time: the worker restarts before the new planner reads its entry for the first time, and carries
// out a start order of the earlier planner late.
TEST_CASE("a new planner counts the start orders of the earlier one when the first entry that it reads names another lifetime than the record")
{
    for (const auto hasRestarted : {false, true}) {
        CAPTURE(hasRestarted);
        auto planner = Planner{};
        planner.core.applyOrder(planner.place(), {.outcome = OrderOutcome::OutcomeUnknown}, planner.now);
        const auto state = *planner.core.find(JobId{"a"});
        planner.now += Millis{2'500};
        const auto rules = PoolRules{.version = {1}, .queues = {{QueueId{"q"}, {.id = QueueId{"q"}, .service = ServiceId{"s"}, .maxAttempts = 3}}}};
        planner.core = PoolCore{PoolOptions{}};
        planner.core.setRules(rules);
        planner.core.addJob(state.job, planner.now);
        planner.core.adoptRecord(JobId{"a"}, state, planner.now + Millis{12'800}, planner.now);
        planner.core.tookOver(planner.now);
        planner.listWorkers({hasRestarted ? secondBorn : firstBorn, firstBorn});
        planner.core.pollFailed(workerId);
        planner.core.applyPollReply(planner.ids[1], {.clock = firstClock, .born = firstBorn}, planner.now, planner.now);
        // The order is carried out up to 12 s after it was sent, and its lease is 10 s.
        planner.now += Millis{19'500};
        planner.core.entriesRead(planner.now); // the worker has ceased to write its entry
        CHECK(planner.plan().starts.empty() == hasRestarted);
        planner.now += Millis{7'000};
        CHECK(planner.plan().starts.size() == (hasRestarted ? 1 : 0));
    }
}

// Guards against a task that runs twice at the same time: calls of the earlier planner reach the lifetime that begins after the takeover.
TEST_CASE("a restart after a takeover counts the calls of the earlier planner")
{
    auto planner = Planner{};
    planner.place();
    const auto state = *planner.core.find(JobId{"a"});
    planner.core = PoolCore{PoolOptions{}};
    planner.core.addJob(state.job, planner.now);
    planner.core.adoptRecord(JobId{"a"}, state, planner.now + Millis{12'800}, planner.now);
    planner.core.tookOver(planner.now);
    planner.listWorkers({firstBorn, firstBorn});
    planner.core.applyPollReply(workerId, {.clock = firstClock, .born = firstBorn}, planner.now, planner.now);
    planner.now += Millis{600};
    planner.list(WorkerTime{50}, planner.now - Millis{10}, false);
    CHECK(planner.core.workers().at(workerId).leaseEnd >= planner.now + Millis{22'000});
}

// Guards against work that waits although its worker answers: the start order cannot arrive any more, and no stop order is answered.
TEST_CASE("an attempt in doubt ends with a list that was asked for after its start order can have arrived")
{
    auto planner = Planner{};
    planner.core.applyOrder(planner.place(), {.outcome = OrderOutcome::OutcomeUnknown}, planner.now);
    planner.now += Millis{100};
    planner.list(WorkerTime{50}, planner.now - Millis{10}, false);
    planner.core.cancelJob(JobId{"a"}, planner.now);
    REQUIRE(planner.plan().stops.size() == 1);
    planner.now += Millis{13'500};
    planner.list(WorkerTime{13'550}, planner.now - Millis{10}, false);
    CHECK(planner.core.workers().at(workerId).allocations.empty());
}

// Guards against a task that runs twice at the same time: a lifetime that no list has shown accepts its start, and a poll that was sent to the
// earlier lifetime extends its lease.
TEST_CASE("a poll without an answer counts for an attempt that a lifetime without a list may have accepted")
{
    for (const auto isListed : {false, true}) {
        CAPTURE(isListed);
        auto planner = Planner{};
        planner.now += Millis{100};
        const auto order = planner.place();
        planner.now += Millis{10};
        planner.accept(order, WorkerTime{65});
        if (isListed) {
            planner.core.applyPollReply(
                workerId,
                {.clock = WorkerTime{firstClock.value + 120}, .born = firstBorn, .running = {{.task = Planner::task(), .attempt = 1, .percent = 1}}},
                planner.now,
                planner.now);
        }
        planner.core.pollFailed(workerId);
        planner.listWorkers({secondBorn, firstBorn});
        planner.now += Millis{11'000};
        CHECK(planner.plan().starts.size() == (isListed ? 1 : 0));
        CHECK(planner.isPlaced());
        planner.now += Millis{13'000};
        CHECK(planner.plan().starts.size() == (isListed ? 0 : 1));
    }
}

// Guards against work that waits for a lease of its worker although the worker's entry shows that it has restarted, out of reach.
TEST_CASE("work that an earlier list has named is placed again when the entry of its worker shows a restart, unless a start order may arrive")
{
    enum class Case { Listed, Accepted, Repeated };
    for (const auto how : {Case::Listed, Case::Accepted, Case::Repeated}) {
        CAPTURE(static_cast<int>(how));
        auto planner = Planner{};
        auto order = planner.place();
        if (how == Case::Repeated) {
            planner.core.applyOrder(order, {.outcome = OrderOutcome::OutcomeUnknown}, planner.now);
            planner.now += Millis{300};
            order = planner.plan().starts.at(0);
        }
        planner.accept(order, planner.firstClockNow());
        planner.now += Millis{20};
        if (how != Case::Accepted) {
            auto reply = WorkerPollReply{.clock = planner.firstClockNow(), .born = firstBorn};
            reply.running.push_back({.task = order.task, .attempt = order.attempt, .percent = 1});
            planner.core.applyPollReply(workerId, reply, planner.now, planner.now);
        }
        planner.core.pollFailed(workerId);
        planner.now += Millis{2'000};
        planner.listWorkers({secondBorn, firstBorn});
        const auto starts = planner.plan().starts;
        CHECK(starts.size() == (how == Case::Listed ? 1 : 0));
        CHECK(planner.hasLine("attempt_lost", "reason=worker restarted entry_born=2000 list_born=1000") == (how == Case::Listed));
    }
}

#include "policy/departure.h"

#include <doctest/doctest.h>

using namespace Catkin;

namespace
{

constexpr auto now = MonoTime{Seconds{1'000}};
constexpr auto stopGrace = Millis{900};

auto leavingIn(Millis left, const RemainingTime &remaining) -> LeavingAttempt
{
    return {.leavesAt = now + left, .remaining = remaining, .priority = 1, .stopGrace = stopGrace};
}

/// A remaining time that is known well.
auto known(Millis remaining, double done = 0.8) -> RemainingTime
{
    return {.least = remaining, .expected = remaining, .most = remaining, .done = done};
}

}

// Load: a worker leaves 2 s after a notice. Guards against work that is stopped although it ends in time.
TEST_CASE("an attempt that ends before its worker leaves is left alone")
{
    for (const auto checkpointing : {false, true}) {
        for (const auto priority : {0, 1}) {
            for (const auto hasRoom : {false, true}) {
                auto it = leavingIn(Millis{2'000}, known(Millis{1'500}, 0.1));
                it.checkpointing = checkpointing;
                it.priority = priority;
                it.hasRoom = hasRoom;
                CHECK(departureDecision(it, now).action == DepartureAction::LetRun);
            }
        }
    }
}

// Load: a worker leaves 2 s after a notice, and a stop takes 0.9 s. Guards against a checkpoint that is lost because the stop comes late, and
// against a stop that comes much earlier than needed.
TEST_CASE("a checkpointing attempt that may not end is stopped in time for its checkpoint, with room elsewhere at once")
{
    constexpr auto leastExchange = Millis{200};
    constexpr auto earliest = Millis{700};
    auto it = leavingIn(Millis{2'000}, known(Millis{5'000}));
    it.checkpointing = true;
    const auto decision = departureDecision(it, now);
    REQUIRE(decision.action == DepartureAction::StopAt);
    CHECK(decision.at <= it.leavesAt - stopGrace - leastExchange);
    CHECK(decision.at >= it.leavesAt - stopGrace - earliest);
    CHECK_FALSE(isDue(decision, now));
    CHECK(isDue(decision, decision.at));
    it.hasRoom = true;
    CHECK(departureDecision(it, now).action == DepartureAction::StopNow);
    // In doubt, it runs on until the last moment although there is room.
    it.remaining.least = Micros{0};
    CHECK(departureDecision(it, now).action == DepartureAction::StopAt);
    it.leavesAt = now + Millis{300};
    CHECK(isDue(departureDecision(it, now), now));
}

// Load: estimates that are off by up to 90%. Guards against work without checkpoints that is stopped, and loses all, in doubt.
TEST_CASE("an attempt without checkpoints is stopped only when it cannot end and there is room elsewhere")
{
    auto it = leavingIn(Millis{2'000}, {.least = Millis{1'000}, .expected = Millis{3'000}, .most = Millis{6'000}});
    it.hasRoom = true;
    CHECK(departureDecision(it, now).action == DepartureAction::LetRun);
    it.remaining.least = Millis{2'500};
    CHECK(departureDecision(it, now).action == DepartureAction::StopNow);
    it.hasRoom = false;
    CHECK(departureDecision(it, now).action == DepartureAction::LetRun);
}

// Load: urgent work with an objective of 1.5 times its length. Guards against urgent work that is begun anew elsewhere after its objective, and
// against a restart that would lose more than it gains.
TEST_CASE("urgent work that has done less than half and is not expected to end moves at once to room elsewhere")
{
    auto it = leavingIn(Millis{1'000}, {.least = Micros{0}, .expected = Millis{1'700}, .most = Millis{3'600}, .done = 0.2});
    it.priority = 0;
    it.hasRoom = true;
    CHECK(departureDecision(it, now).action == DepartureAction::StopNow);
    it.hasRoom = false;
    CHECK(departureDecision(it, now).action == DepartureAction::LetRun);
    it.hasRoom = true;
    it.remaining.done = 0.6;
    CHECK(departureDecision(it, now).action == DepartureAction::LetRun);
    it.remaining.done = 0.2;
    it.priority = 1;
    CHECK(departureDecision(it, now).action == DepartureAction::LetRun);
}

// Load: long-running tasks on a worker that leaves. Guards against a service that is down for as long as nobody notices, and against one that
// is stopped while no other worker can take it.
TEST_CASE("a long-running attempt moves at once if there is room elsewhere")
{
    auto it = leavingIn(Millis{60'000}, known(Millis{1'000}));
    it.longRunning = true;
    CHECK(departureDecision(it, now).action == DepartureAction::LetRun);
    it.hasRoom = true;
    CHECK(departureDecision(it, now).action == DepartureAction::StopNow);
    it.hasRoom = false;
    it.checkpointing = true;
    CHECK(departureDecision(it, now).action == DepartureAction::StopAt);
}

// Load: tasks of which 3% take 7 times as long as estimated. Guards against a remaining time that follows the estimate although lists have
// shown the progress.
TEST_CASE("the remaining time follows the progress that lists have shown, otherwise the estimate")
{
    auto task = TaskState{};
    auto progress = AttemptProgress{.estimate = Millis{2'000}, .since = now - Millis{3'000}};
    const auto list = [&](int percent, MonoTime at) {
        noteProgress(task, percent, now - Millis{3'000}, at);
        task.percent = percent;
        progress.basePercent = task.basePercent;
        progress.baseAt = task.baseAt;
        progress.percent = percent;
        progress.percentAt = at;
    };
    const auto byEstimate = remainingTime(progress, now);
    CHECK(byEstimate.least == Micros{0});
    CHECK(byEstimate.expected == Micros{0});
    CHECK(byEstimate.most > Millis{600});
    list(20, now - Millis{1'000});
    const auto byProgress = remainingTime(progress, now);
    CHECK(byProgress.least > Millis{5'500});
    CHECK(byProgress.expected > Millis{6'000});
    CHECK(byProgress.most == Millis{7'000});
    CHECK(byProgress.done == doctest::Approx(0.2));
    const auto unlisted = remainingTime({.estimate = Millis{10'000}, .since = now - Millis{500}}, now);
    CHECK(unlisted.least == Millis{500});
    CHECK(unlisted.expected == Millis{9'500});
    CHECK(unlisted.most == Millis{18'500});
}

// Load: attempts that resume from checkpoints. Guards against progress of earlier attempts that is taken for the speed of this one.
TEST_CASE("a resumed attempt has a speed from its second list on")
{
    auto task = TaskState{};
    noteProgress(task, 60, std::nullopt, now);
    task.percent = 60;
    auto progress = AttemptProgress{.estimate = Millis{10'000},
                                    .since = now - Millis{100},
                                    .resumed = true,
                                    .basePercent = task.basePercent,
                                    .baseAt = task.baseAt,
                                    .percent = 60,
                                    .percentAt = now};
    CHECK(remainingTime(progress, now).expected > Millis{9'000});
    noteProgress(task, 71, std::nullopt, now + Seconds{1});
    progress.percent = 71;
    progress.percentAt = now + Seconds{1};
    CHECK(remainingTime(progress, now + Seconds{1}).most == Millis{2'900});
}

// Load: entries that come late through the store. Guards against a departure that is expected later than it happens.
TEST_CASE("the time of a departure is counted from when the entry was written")
{
    const auto notice = DepartureNotice{.remaining = Millis{2'000}, .writtenClock = WorkerTime{50'000}, .readAt = now};
    CHECK(leavesAt(notice, WorkerTime{}, MonoTime{}) == now + Millis{2'000});
    CHECK(leavesAt(notice, WorkerTime{49'500}, now - Seconds{1}) == now + Millis{1'500});
    CHECK(leavesAt(notice, WorkerTime{50'200}, now - Millis{100}) == now + Millis{1'700});
    CHECK(leavesAt(notice, WorkerTime{49'000}, now) == now + Millis{2'000});
}

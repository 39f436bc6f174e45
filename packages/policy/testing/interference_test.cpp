#include "policy/interference.h"

#include "policy/tasktrace.h"
#include "util/random.h"

#include <doctest/doctest.h>

#include <cmath>
#include <string>

using namespace Catkin;

namespace
{

constexpr auto percent = std::uint32_t{100};

/// A table with the kinds A and B and random samples of A.
struct Samples
{
    InterferenceTable table;
    Random random{7};
    MonoTime now{Seconds{1'000}};
    KindSlot a = slotOf(table, TaskKindId{"A"}, now);
    KindSlot b = slotOf(table, TaskKindId{"B"}, now);

    auto maskOf(KindSlot slot) -> KindMask
    {
        auto kinds = PresentKinds{};
        addKind(kinds, slot);
        return kinds.once;
    }

    /// Time of a task of which 3% take 7 times as long, with an estimate that is off by up to half.
    auto draw() -> double
    {
        const auto slow = random(percent) < 3 ? std::log(7.0) : 0.0;
        return slow + std::log(0.5 + random(percent) / 100.0);
    }

    /// Adds five samples a second for @p span, half of them beside B.
    auto run(Millis span, double slowdown) -> void
    {
        for (const auto end = now + span; now < end; now += Millis{200}) {
            const auto beside = random(2) == 0;
            observe(table, a, {.logCost = draw() + (beside ? std::log1p(slowdown) : 0.0), .present = beside ? maskOf(b) : 0}, now);
            reviewPairs(table, now);
        }
    }

    auto isCertain() -> bool
    {
        return kindsToAvoid(table, a) != 0;
    }
};

}

// Load: estimates off by half, 3% of the tasks take 7 times as long. Guards against tasks that are kept apart without cause.
TEST_CASE("a slowdown of 40% becomes certain within a minute of five tasks a second, and none is certain without one")
{
    auto slowed = Samples{};
    slowed.run(Millis{60'000}, 0.4);
    CHECK(slowed.isCertain());
    const auto estimate = slowdownOf(slowed.table, slowed.a, slowed.b, slowed.now);
    REQUIRE(estimate);
    CHECK(std::abs(estimate->slowdown - 0.4) < estimate->error);
    CHECK(kindsToAvoid(slowed.table, slowed.b) == slowed.maskOf(slowed.a)); // also for the kind that slows the other down
    auto changes = 0;
    auto same = Samples{};
    for (auto i = 0; i < 600; ++i) {
        same.run(Millis{1'000}, 0.0);
        changes += same.isCertain() ? 1 : 0;
    }
    CHECK(changes == 0);
}

// Guards against work that is kept apart for ever because of what was true once.
TEST_CASE("a slowdown that has ended is forgotten")
{
    auto samples = Samples{};
    samples.run(Millis{120'000}, 0.4);
    REQUIRE(samples.isCertain());
    samples.run(Millis{240'000}, 0.0);
    CHECK_FALSE(samples.isCertain());
    samples.run(Millis{120'000}, 0.4);
    REQUIRE(samples.isCertain());
    samples.now += Seconds{1'800};
    const auto changes = reviewPairs(samples.table, samples.now);
    REQUIRE(changes.size() == 1);
    CHECK_FALSE(changes[0].certain);
    CHECK(changes[0].affected == TaskKindId{"A"});
    CHECK(samples.table.pairs.empty());
}

// Load: thousands of queues, of which a few have work at a time. Guards against memory that grows with their number, and against kinds that are
// seldom used taking the place of those in use.
TEST_CASE("the table is bounded, and kinds in use stay")
{
    auto samples = Samples{};
    samples.run(Millis{60'000}, 0.4);
    for (auto i = 0; i < 2'000; ++i) {
        const auto slot = slotOf(samples.table, TaskKindId{"queue" + std::to_string(i)}, samples.now);
        observe(samples.table, slot, {.present = ~KindMask{0}}, samples.now);
        samples.now += Millis{100};
        samples.run(Millis{200}, 0.4);
    }
    CHECK(samples.table.slots.size() <= maxTaskKinds);
    CHECK(samples.table.pairs.size() <= maxKindPairs);
    CHECK(findSlot(samples.table, TaskKindId{"A"}) == samples.a);
    CHECK(samples.isCertain());
    CHECK(slotOf(samples.table, TaskKindId{"late"}, samples.now + Seconds{300}) != noKind);
}

// Guards against times in ms that are compared with progress.
TEST_CASE("samples of different figures are not mixed")
{
    auto samples = Samples{};
    samples.run(Millis{60'000}, 0.0);
    for (auto i = 0; i < 100; ++i) {
        observe(samples.table, samples.a, {.figure = TaskFigure::ResponseTime, .logCost = 3.0, .present = samples.maskOf(samples.b)}, samples.now);
    }
    samples.run(Millis{5'000}, 0.0);
    CHECK_FALSE(samples.isCertain());
}

// Load: lists each half second, with whole percents. Guards against progress that is counted over a span in which other tasks came or went,
// and against many samples of one task that count as many tasks.
TEST_CASE("rows of an attempt become samples for each span under the same conditions")
{
    const auto step = PoolStep{.tasks = 1, .estimate = Millis{10'000}};
    auto trace = TaskTrace{};
    const auto at = [&](std::int64_t clock, int done, KindMask present) {
        return takeSample(trace, step, {.clock = WorkerTime{clock}, .percent = done, .present = present});
    };
    CHECK_FALSE(at(500, 5, 1));
    CHECK_FALSE(at(1'000, 10, 1)); // too short
    const auto first = at(1'500, 15, 1);
    REQUIRE(first);
    CHECK(first->logCost == doctest::Approx(0.0)); // 10% of the estimate in 1 s
    CHECK(first->weight == 1.0);
    CHECK_FALSE(at(2'500, 20, 3));
    const auto slower = at(3'500, 25, 3);
    REQUIRE(slower);
    CHECK(slower->logCost == doctest::Approx(std::log(2.0)));
    CHECK(slower->weight < 0.2);
    const auto further = at(4'500, 30, 3);
    REQUIRE(further);
    CHECK(further->weight < 0.1);
    const auto later = at(24'500, 60, 3);
    REQUIRE(later);
    CHECK(later->weight == 1.0);
    CHECK_FALSE(at(26'500, 100, 3)); // has finished at an unknown time
}

TEST_CASE("tasks that serve are compared by their response times, and others that last by their processor time")
{
    auto step = PoolStep{.tasks = 1, .perTask = {.cpuMillis = 2'000}, .longRunning = true, .responseTarget = Millis{100}};
    const auto sampleOf = [&](std::int64_t load) {
        auto trace = TaskTrace{};
        auto sample = std::optional<TaskSample>{};
        for (auto clock = std::int64_t{0}; clock <= 4'000; clock += 500) {
            sample = takeSample(trace, step, {.clock = WorkerTime{clock}, .load = load, .present = 1});
        }
        REQUIRE(sample);
        return *sample;
    };
    CHECK(sampleOf(200).figure == TaskFigure::ResponseTime);
    CHECK(sampleOf(200).logCost == doctest::Approx(std::log(2.0)));
    step.responseTarget = Millis{0};
    CHECK(sampleOf(500).figure == TaskFigure::CpuShare);
    CHECK(sampleOf(500).logCost == doctest::Approx(std::log(4.0)));
}

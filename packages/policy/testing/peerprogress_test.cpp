#include "policy/peerprogress.h"

#include "policy/testing/idlefleet.h"

#include <doctest/doctest.h>

using namespace Catkin;
using namespace Catkin::Testing;

namespace
{

/// A task of which two lists have shown progress.
auto moving(int percent, Millis span) -> TaskState
{
    return {.phase = TaskPhase::Placed, .percent = percent, .progressAt = MonoTime{Seconds{10}} + span, .basePercent = 0, .baseAt = MonoTime{Seconds{10}}};
}

/// Workers that all make progress at one rate but those that stand still or are slow.
struct UnevenFleet
{
    explicit UnevenFleet(int workers, Millis wholeTask)
        : fleet(workers)
        , whole(wholeTask)
    {
    }

    /// @param timesAsLong of the tasks on worker 0; 0: they stand still
    auto run(Millis span, int timesAsLong) -> void
    {
        for (auto left = span; left > Millis{0}; left -= Millis{500}) {
            fleet.now += Millis{500};
            for (const auto &it : fleet.workers) {
                const auto first = it.id == fleet.workers.front().id;
                auto reply = WorkerPollReply{.clock = WorkerTime{200'000 + std::chrono::duration_cast<Millis>(fleet.now - fleet.begin).count()},
                                             .born = Incarnation{1}};
                for (const auto &[key, allocation] : fleet.core.workers().at(it.id).allocations) {
                    const auto factor = first ? timesAsLong : 1;
                    const auto percent = factor == 0 ? 0 : static_cast<int>((fleet.now - allocation.placedAt) * 100 / (whole * factor));
                    reply.running.push_back({.task = key.first, .attempt = key.second, .percent = std::min(percent, 100)});
                }
                fleet.core.leaseFor(it.id, fleet.now);
                fleet.core.applyPollReply(it.id, reply, fleet.now, fleet.now);
            }
            for (const auto &it : fleet.core.plan(fleet.now, WallTime{}).logEntries) {
                hung += it.decision == std::string("task_hung") ? 1 : 0;
            }
        }
    }

    Fleet fleet;
    Millis whole;
    int hung = 0;
};

}

// Guards against a rate that one odd task decides, and against one from too few tasks.
TEST_CASE("the rate of a step is the median of the tasks that have made progress")
{
    CHECK_FALSE(typicalRate({moving(50, Millis{1'000}), TaskState{}}));
    const auto rate = typicalRate({moving(50, Millis{1'000}), moving(40, Millis{1'000}), moving(1, Millis{1'000}), TaskState{}});
    REQUIRE(rate);
    CHECK(*rate == doctest::Approx(40.0));
    CHECK(typicalRate({moving(50, Millis{1'000}), moving(1, Millis{1'000})}) == std::optional{1.0});
}

// Guards against slow tasks that are stopped because others are fast, and against a verdict without a list.
TEST_CASE("a task falls behind when a task ten times as slow would have made progress")
{
    const auto still = moving(10, Millis{1'000});
    const auto since = still.progressAt;
    CHECK_FALSE(fallsBehindPeers(still, 50.0, since + Millis{400}));
    CHECK_FALSE(fallsBehindPeers(still, 10.0, since + Millis{2'400}));
    CHECK(fallsBehindPeers(still, 10.0, since + Millis{2'500}));
    auto again = still;
    again.hungStops = 1;
    CHECK_FALSE(fallsBehindPeers(again, 10.0, since + Millis{2'500}));
    auto done = still;
    done.percent = 100;
    CHECK_FALSE(fallsBehindPeers(done, 50.0, since + Millis{60'000}));
}

// Pattern: a tenth of the workers answer polls while their tasks stand still. Guards against a gang of short tasks that holds its capacity
// for 4.5 s before its hung member is stopped.
TEST_CASE("a hung member is found by the progress of its gang")
{
    auto uneven = UnevenFleet{4, Millis{4'000}};
    uneven.fleet.core.addJob(makeJob("gang", "urgent", gangOf(4, 8)), uneven.fleet.now);
    REQUIRE(uneven.fleet.run(Millis{100}).size() == 4);
    uneven.run(Millis{2'500}, 0);
    CHECK(uneven.hung == 1);
    const auto &workers = uneven.fleet.core.workers();
    CHECK(workers.at(uneven.fleet.workers[0].id).suspectUntil > uneven.fleet.now);
    CHECK(workers.at(uneven.fleet.workers[1].id).suspectUntil == MonoTime{});
}

// Pattern: 3% of the tasks take seven times as long. Guards against gangs that begin anew because members that have done their work stand
// still while they wait for a slow one, and against suspicion of the workers of those members.
TEST_CASE("a gang with a slow member is left alone, and the members that wait for it are not blamed")
{
    auto uneven = UnevenFleet{4, Millis{4'000}};
    uneven.fleet.core.addJob(makeJob("gang", "urgent", gangOf(4, 8)), uneven.fleet.now);
    REQUIRE(uneven.fleet.run(Millis{100}).size() == 4);
    uneven.run(Millis{24'000}, 7);
    CHECK(uneven.hung == 0);
    for (const auto &[id, it] : uneven.fleet.core.workers()) {
        CHECK(it.suspectUntil == MonoTime{});
    }
}

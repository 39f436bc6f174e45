#include "policy/shapeguarantee.h"

#include "policy/testing/idlefleet.h"
#include "policy/testing/overloadfleet.h"
#include "util/random.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>
#include <string>
#include <vector>

using namespace Catkin;
using namespace Catkin::Testing;

/// Guarantees of accelerators that single tasks of other guarantees have spread over.

namespace
{

/// A guarantee is reclaimed within 3.4 s, of which a worker takes up to 0.9 s to stop a task; these workers stop at once.
constexpr auto reclaimLimit = Millis{2'500};
/// Longer than a test lasts.
constexpr auto hour = Millis{3'600'000};

auto guaranteedJob(const std::string &id, const std::string &workspace, int tasks, std::int64_t accelerators) -> PoolJob
{
    auto step = batchOf(tasks);
    step.perTask = {.cpuMillis = 100, .memoryMb = 100, .accelerators = accelerators};
    step.estimate = hour;
    step.longRunning = true;
    auto job = makeJob(id, "urgent", step);
    job.workspace = WorkspaceId{workspace};
    return job;
}

/// Work of priority 2 that keeps the fleet full; its tasks end one by one, on one worker after another.
auto fill(OverloadFleet &fleet, int accelerators, Millis until, std::uint64_t seed) -> void
{
    auto random = Random{seed};
    const auto count = until.count() * accelerators / 2'500;
    for (auto i = std::int64_t{0}; i < count; ++i) {
        auto job = makeJob("fill" + std::to_string(i), "batch", batchOf(1));
        job.workspace = WorkspaceId{"other"};
        job.steps.front().perTask = {.cpuMillis = 100, .memoryMb = 100, .accelerators = 1};
        job.steps.front().estimate = Millis{1'000 + uniform(random, 4'000)};
        fleet.submit(job, until * i / count);
    }
}

}

// Guards against a guarantee that cannot be used for a task of eight accelerators because single tasks of another guarantee last on all workers.
TEST_CASE("a task that needs a whole worker starts beside single lasting tasks of another guarantee")
{
    auto fleet = OverloadFleet{4};
    fleet.rules.guaranteedAccelerators = {{WorkspaceId{"a"}, 8}, {WorkspaceId{"b"}, 12}};
    fleet.core.setRules(fleet.rules);
    fill(fleet, 32, Millis{30'000}, 1);
    fleet.run(Millis{3'000});
    auto at = Millis{3'000};
    for (auto i = 0; i < 12; ++i) {
        const auto job = guaranteedJob("b" + std::to_string(i), "b", 1, 1);
        fleet.core.addJob(job, fleet.now());
        fleet.run(at += Millis{700});
        CHECK(fleet.startedAt(job.id) != MonoTime{});
    }
    const auto asked = fleet.now();
    fleet.core.addJob(guaranteedJob("a", "a", 1, 8), asked);
    fleet.run(at += Millis{10'000});
    REQUIRE(fleet.startedAt(JobId{"a"}) != MonoTime{});
    CHECK(fleet.startedAt(JobId{"a"}) - asked <= reclaimLimit);
    CHECK(fleet.runningAccelerators(WorkspaceId{"b"}) == 12);
}

// Guards against single tasks that use free capacity on every worker although a guarantee beside them is unused.
TEST_CASE("guaranteed work stays together where an unused guarantee needs the other workers")
{
    auto fleet = OverloadFleet{4};
    fleet.rules.guaranteedAccelerators = {{WorkspaceId{"a"}, 8}, {WorkspaceId{"b"}, 12}};
    fleet.core.setRules(fleet.rules);
    fill(fleet, 32, Millis{30'000}, 1);
    fleet.run(Millis{3'000});
    auto at = Millis{3'000};
    for (auto i = 0; i < 12; ++i) {
        fleet.core.addJob(guaranteedJob("b" + std::to_string(i), "b", 1, 1), fleet.now());
        fleet.run(at += Millis{700});
    }
    CHECK(fleet.workersOf(WorkspaceId{"b"}) <= 3);
    CHECK(fleet.logged("moved_for_shape") == 0);
}

namespace
{

/// A drawn fleet with guarantees of 0.62 of its accelerators, and the guaranteed jobs that run.
class DrawnFleet
{
public:
    explicit DrawnFleet(std::uint64_t seed)
        : m_random(seed)
        , m_workers(3 + static_cast<int>(uniform(m_random, 10)))
        , m_fleet(m_workers)
    {
        for (auto left = std::int64_t{m_workers} * 8 * 62 / 100; left > 0;) {
            const auto size = std::min<std::int64_t>(left, 1 + uniform(m_random, 24));
            m_names.push_back("g" + std::to_string(m_names.size()));
            m_unused[m_names.back()] = size;
            m_fleet.rules.guaranteedAccelerators[WorkspaceId{m_names.back()}] = size;
            left -= size;
        }
        m_fleet.core.setRules(m_fleet.rules);
        if (seed % 4 != 0) {
            fill(m_fleet, m_workers * 8, Millis{60'000}, seed);
        }
        m_fleet.run(m_at);
    }

    auto draw(std::uint32_t bound) -> std::uint32_t
    {
        return uniform(m_random, bound);
    }

    auto names() const -> const std::vector<std::string> &
    {
        return m_names;
    }

    /// Cancels a guaranteed job.
    auto endOne() -> void
    {
        if (m_live.empty()) {
            return;
        }
        const auto it = std::next(m_live.begin(), draw(static_cast<std::uint32_t>(m_live.size())));
        m_fleet.core.cancelJob(JobId{it->first}, m_fleet.now());
        m_unused[it->second.workspace.str()] += demandOf(it->second);
        m_live.erase(it);
        m_fleet.run(m_at += Millis{300});
    }

    /// Submits a job within a guarantee, with tasks of up to @p size accelerators each.
    /// @return whether the guarantee had room, and the job did not start in time
    auto isLate(const std::string &workspace, std::int64_t size, int tasks, bool gang) -> bool
    {
        size = std::min(size, m_unused[workspace]);
        if (size == 0) {
            return false;
        }
        tasks = std::min(tasks, static_cast<int>(m_unused[workspace] / size));
        auto job = guaranteedJob("j" + std::to_string(m_number++), workspace, tasks, size);
        job.steps.front().gang = gang;
        job.steps.front().longRunning = !gang && draw(2) == 0;
        m_unused[workspace] -= demandOf(job);
        m_live[job.id.str()] = job;
        m_fleet.core.addJob(job, m_fleet.now());
        m_fleet.run(m_at += reclaimLimit);
        const auto &started = m_fleet.core.find(job.id)->occurrences[0].steps[0].tasks;
        return std::any_of(started.begin(), started.end(), [](const TaskState &it) { return it.phase != TaskPhase::Placed; });
    }

    /// @return whether all guaranteed jobs run, those that were moved included.
    auto allRun() const -> bool
    {
        return std::all_of(m_unused.begin(), m_unused.end(), [&](const auto &it) {
            return m_fleet.runningAccelerators(WorkspaceId{it.first}) + it.second == m_fleet.rules.guaranteedAccelerators.at(WorkspaceId{it.first});
        });
    }

    auto unused(const std::string &workspace) const -> std::int64_t
    {
        return m_unused.at(workspace);
    }

    auto settle() -> void
    {
        m_fleet.run(m_at += reclaimLimit);
    }

    auto moves() const -> int
    {
        return m_fleet.logged("moved_for_shape");
    }

private:
    static auto demandOf(const PoolJob &job) -> std::int64_t
    {
        return job.steps.front().tasks * job.steps.front().perTask.accelerators;
    }

    Random m_random;
    int m_workers;
    OverloadFleet m_fleet;
    Millis m_at{3'000};
    std::vector<std::string> m_names;
    std::map<std::string, std::int64_t> m_unused;
    std::map<std::string, PoolJob> m_live;
    int m_number = 0;
};

}

// Guards against histories of guaranteed work after which a guarantee that the capacity can hold does not begin in time.
TEST_CASE("guaranteed work of any shape starts in time after any history")
{
    auto moves = 0;
    for (auto seed = std::uint64_t{1}; seed <= 60; ++seed) {
        CAPTURE(seed);
        auto fleet = DrawnFleet{seed};
        auto late = 0;
        const auto &names = fleet.names();
        const auto small = fleet.draw(2) == 0;
        for (auto i = 0; i < 24; ++i) {
            if (fleet.draw(3) == 0) {
                fleet.endOne();
            }
            const auto size = std::int64_t{1} + fleet.draw(small ? 2 : 8);
            const auto tasks = 1 + static_cast<int>(fleet.draw(3));
            const auto gang = fleet.draw(2) == 0;
            late += fleet.isLate(names[fleet.draw(static_cast<std::uint32_t>(names.size()))], size, tasks, gang) ? 1 : 0;
        }
        while (fleet.draw(4) != 0) {
            fleet.endOne();
        }
        // What is left of each guarantee is asked for in the largest tasks that it can have.
        for (const auto &it : names) {
            while (fleet.unused(it) > 0) {
                late += fleet.isLate(it, 8, 1, false) ? 1 : 0;
            }
        }
        CHECK(late == 0);
        fleet.settle();
        CHECK(fleet.allRun());
        moves += fleet.moves();
    }
    MESSAGE("moves " << moves);
    CHECK(moves > 0);
}

// Guards against a move that costs more than another, that leaves the moved work without room, or that takes a gang apart.
TEST_CASE("a move stops the guaranteed work of the least loss that fits elsewhere, and whole gangs")
{
    const auto one = Resources{.accelerators = 1};
    const auto room = [](std::int64_t accelerators) { return ShapeWorker{.room = {.accelerators = accelerators}}; };
    const auto all = std::vector<bool>(3, true);
    const auto need = ShapeNeed{.perTask = {.accelerators = 8}, .tasks = 1, .allowed = all};
    auto units = std::vector<ShapeUnit>{{.parts = {{0, one}}, .allowed = all, .loss = 9.0},
                                        {.parts = {{1, one}}, .allowed = all, .loss = 1.0},
                                        {.parts = {{2, one}}, .allowed = all, .loss = 5.0}};
    auto workers = std::vector{room(7), room(7), room(7)};
    auto move = chooseMove(workers, units, need);
    REQUIRE(move);
    CHECK(move->units == std::vector<std::size_t>{1});
    CHECK(move->workers == std::vector<std::size_t>{1});
    units[1].allowed = {false, true, false}; // by a label
    move = chooseMove(workers, units, need);
    REQUIRE(move);
    CHECK(move->units == std::vector<std::size_t>{2});
    // A gang on two workers moves whole, and finds room for each member.
    units = {{.parts = {{0, one}, {1, one}}, .allowed = all, .loss = 1.0}, {.parts = {{2, one}}, .allowed = all, .loss = 5.0}};
    move = chooseMove(workers, units, need);
    REQUIRE(move);
    CHECK(move->units == std::vector<std::size_t>{0});
    // Nothing moves that would find no room.
    units = {{.parts = {{0, {.accelerators = 5}}}, .allowed = all, .loss = 1.0},
             {.parts = {{1, {.accelerators = 5}}}, .allowed = all, .loss = 1.0},
             {.parts = {{2, {.accelerators = 5}}}, .allowed = all, .loss = 1.0}};
    workers = {room(3), room(3), room(3)};
    CHECK_FALSE(chooseMove(workers, units, need));
}

// Guards against a price for shapes that no guarantee can ask for.
TEST_CASE("whole workers are kept for what is left of each guarantee")
{
    CHECK(wholeWorkersNeeded({8, 12}, 8) == 2);
    CHECK(wholeWorkersNeeded({5, 4}, 8) == 1);
    CHECK(wholeWorkersNeeded({0, -3}, 8) == 0);
    CHECK(wholeWorkersNeeded({8}, 0) == 0);
}

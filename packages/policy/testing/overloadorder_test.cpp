#include "policy/overloadorder.h"

#include "policy/testing/idlefleet.h"
#include "policy/testing/overloadfleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

using namespace Catkin;
using namespace Catkin::Testing;

/// Loads beyond the capacity: 20 s in which about three times as much work arrives as the fleet can do.

namespace
{

constexpr auto start = MonoTime{Seconds{1'000}};

/// @return a group of a job with an estimate of 4 s and an objective of 8 s.
auto groupOf(const std::string &job, const std::string &workspace, MonoTime since) -> OrderedGroup
{
    return {.id = {.job = JobId{job}},
            .workspace = WorkspaceId{workspace},
            .priority = 1,
            .work = {.since = since, .objective = Millis{8'000}, .remaining = Millis{4'000}},
            .latestStart = since + Millis{4'000}};
}

/// @return what became of the jobs of six draws of the queues of haddad, summed up.
auto playHaddad(int workers) -> std::map<std::string, ServedJobs>
{
    auto sums = std::map<std::string, ServedJobs>{};
    for (auto seed = std::uint64_t{1}; seed <= 6; ++seed) {
        auto fleet = OverloadFleet{workers};
        for (const auto &[begin, span, rate] : {std::tuple{0, 8'000, 0.6}, std::tuple{8'000, 20'000, 1.0}}) {
            for (const auto &[at, job] : drawHaddad(seed, Millis{begin}, Millis{span}, rate)) {
                fleet.submit(job, at);
            }
        }
        fleet.run(Millis{180'000});
        CHECK(fleet.unfinished() == 0);
        for (const auto &[name, it] : fleet.tally()) {
            auto &sum = sums[name];
            sum.jobs += it.jobs;
            sum.inTime += it.inTime;
            sum.late += it.late;
        }
    }
    for (const auto &[name, it] : sums) {
        MESSAGE(workers << " workers, " << name << ": " << it.jobs << " jobs, in time " << it.inTime << ", late " << it.late << ", worthless "
                        << it.jobs - it.inTime - it.late);
    }
    return sums;
}

}

// Guards against a boundary that calls work late which can still end in time, or valuable which cannot.
TEST_CASE("urgency follows the time at which a start now would end the job")
{
    auto work = WaitingWork{.since = start, .objective = Millis{8'000}, .remaining = Millis{4'000}};
    CHECK(urgencyOf(work, start + Millis{4'000}) == WaitUrgency::InTime);
    CHECK(urgencyOf(work, start + Millis{4'001}) == WaitUrgency::Late);
    CHECK(urgencyOf(work, start + Millis{20'000}) == WaitUrgency::Late);
    CHECK(urgencyOf(work, start + Millis{20'001}) == WaitUrgency::Worthless);
    work.lasting = true;
    CHECK(urgencyOf(work, start + Millis{60'000}) == WaitUrgency::InTime);
}

// Guards against later steps that count as late because the time of the steps before them is counted again.
TEST_CASE("the remaining chain of a step leaves out the steps before it")
{
    auto step = batchOf(1);
    auto job = makeJob("j", "batch", step);
    step.dependsOn = {0};
    job.steps.push_back(step);
    CHECK(remainingChain(job, 0) == Millis{8'000});
    CHECK(remainingChain(job, 1) == Millis{4'000});
}

// Guards against an order that differs from the latest start without overload, and against one that puts late work first with it.
TEST_CASE("late work goes behind work that can still be in time, and worthless work runs in the order of its wait")
{
    auto order = OverloadOrder{};
    order.noteStarted(WorkspaceId{"a"}, 1, 100.0, start);
    const auto inTime = order.rank({groupOf("1", "a", start), groupOf("2", "b", start + Millis{1})}, {}, start + Millis{100});
    CHECK(inTime[0] < inTime[1]);
    CHECK_FALSE(inTime[0].overShare);

    auto groups = std::vector{groupOf("old", "b", start - Millis{40'000}),
                              groupOf("older", "a", start - Millis{50'000}),
                              groupOf("late", "b", start - Millis{8'000}),
                              groupOf("greedy", "a", start),
                              groupOf("new", "b", start + Millis{50})};
    groups[0].latestStart = start - Millis{90'000};
    const auto p = order.rank(groups, {}, start + Millis{100});
    CHECK(p[4] < p[3]); // its workspace has had less
    CHECK(p[3] < p[2]);
    CHECK(p[2] < p[1]);
    CHECK(p[1] < p[0]);
    CHECK(order.waiting() == UrgencyCounts{2, 1, 2});
    // Shares are held while a search goes on over several passes, and forgotten after the window.
    const auto later = start + Millis{3'000};
    order.noteStarted(WorkspaceId{"b"}, 1, 500.0, later);
    CHECK(order.rank(groups, {1}, later)[3].overShare);
    CHECK_FALSE(order.rank(groups, {}, later)[3].overShare);
    CHECK(order.rank(groups, {}, later)[4].overShare);
    CHECK_FALSE(order.rank(groups, {}, later + Millis{11'000})[4].overShare);
}

// Guards against a guarantee that is held back because its workspace has started much.
TEST_CASE("groups within a guarantee have no shares")
{
    auto order = OverloadOrder{};
    order.noteStarted(WorkspaceId{"a"}, 1, 100.0, start);
    auto groups = std::vector{groupOf("1", "a", start), groupOf("2", "b", start - Millis{9'000})};
    groups[0].guaranteed = true;
    groups.push_back(groupOf("3", "a", start));
    const auto p = order.rank(groups, {}, start);
    CHECK_FALSE(p[0].overShare);
    CHECK(p[2].overShare);
}

// Guards against a gang that becomes late while its room is being freed, and loses that room to others.
TEST_CASE("a group whose capacity is being freed keeps its position")
{
    auto order = OverloadOrder{};
    const auto groups = std::vector{groupOf("gang", "a", start), groupOf("new", "b", start + Millis{4'900})};
    for (auto t = Millis{0}; t <= Millis{5'000}; t += Millis{100}) {
        order.noteFilling(groups[0].id, order.rank(groups, {}, start + t)[0], start + t);
    }
    CHECK(order.rank(groups, {}, start + Millis{5'100})[0].urgency == WaitUrgency::InTime);
    CHECK(order.rank(groups, {}, start + Millis{6'500})[0].urgency == WaitUrgency::Late);
}

// Guards against work that waits for as long as other work arrives, and against turns that serve the oldest work first again.
TEST_CASE("one group at a time that has waited for a minute gets a turn at the head")
{
    auto order = OverloadOrder{};
    const auto groups = std::vector{groupOf("1", "a", start), groupOf("2", "a", start + Millis{1}), groupOf("new", "b", start + Millis{64'000})};
    const auto head = [&](Millis at) {
        const auto p = order.rank(groups, {}, start + at);
        return std::min_element(p.begin(), p.end()) - p.begin();
    };
    CHECK(head(Millis{59'900}) == 2);
    CHECK(head(Millis{61'000}) == 0);
    CHECK(head(Millis{65'900}) == 0);
    CHECK(head(Millis{66'000}) == 1);
    const auto entries = order.takeLog();
    REQUIRE(entries.size() == 2);
    CHECK(entries[0].text == "job=1 occurrence=0 step=0 priority=1 urgency=worthless waited_ms=61000 waiting=2");
}

// Guards against records of workspaces and groups that are gone.
TEST_CASE("the records of the order are bounded and end with the window")
{
    auto order = OverloadOrder{};
    for (auto i = 0; i < 5'000; ++i) {
        order.noteStarted(WorkspaceId{"w" + std::to_string(i)}, 1, 1.0 + i, start);
    }
    CHECK(order.records() <= 1'024);
    order.rank({}, {}, start + Millis{11'000});
    CHECK(order.records() == 0);
}

// Guards against an order that serves late work first until all work of a priority is late, and against one that serves small gangs only.
TEST_CASE("under load beyond the capacity most work that can be in time is, whatever its size and workspace")
{
    // By the latest start alone, 1,477 jobs, 90 plans and 8 batches were in time.
    auto sums = playHaddad(70);
    CHECK(sums["all"].inTime >= 1'540);
    CHECK(sums["plans"].inTime >= 105);
    CHECK(sums["batch"].inTime >= 40);
    for (const auto *queue : {"urgent", "plans", "batch"}) {
        CAPTURE(queue);
        const auto whole = sums[queue].rate();
        CHECK(sums[std::string{queue} + " largest tenth"].rate() >= whole / 2);
        CHECK(sums[std::string{queue} + " next fifth"].rate() >= whole / 2);
    }
    for (const auto &it : sums) {
        CAPTURE(it.first);
        CHECK((it.first.find("workspace") == std::string::npos || it.second.rate() >= sums["all"].rate() * 0.9));
    }
}

// Guards against one workspace whose burst takes the capacity of all others of its priority.
TEST_CASE("a burst of one workspace does not make the work of another late")
{
    auto fleet = OverloadFleet{4};
    const auto add = [&](const std::string &workspace, int number, Millis at) {
        auto job = makeJob(workspace + "-" + std::to_string(number), "plans", batchOf(1));
        job.workspace = WorkspaceId{workspace};
        job.steps.front().perTask.accelerators = 4;
        fleet.submit(job, at);
    };
    // 8 tasks of 4 s fit at a time: 2 in a second. One workspace wants 4 in a second, the other 0.5.
    for (auto i = 0; i < 120; ++i) {
        add("large", i, Millis{i * 250});
        if (i % 8 == 0) {
            add("small", i, Millis{i * 250});
        }
    }
    fleet.run(Millis{120'000});
    auto sums = fleet.tally();
    CHECK(fleet.unfinished() == 0);
    CHECK(sums["workspace small"].inTime >= 14); // of 15; 4 by the latest start alone
}

// Guards against a gang that a new planner finds late, and that never gets its room beside a stream of small jobs which are in time.
TEST_CASE("a late gang starts beside a stream of small jobs that are in time")
{
    auto fleet = OverloadFleet{4};
    auto step = batchOf(1);
    step.estimate = Millis{6'000};
    for (auto i = 0; i < 800; ++i) {
        fleet.submit(makeJob("small" + std::to_string(i), "batch", step), Millis{i * 250});
    }
    fleet.core.addJob(makeJob("gang", "batch", gangOf(4, 8)), start - Millis{30'000});
    fleet.run(Millis{180'000});
    CHECK(fleet.startedAt(JobId{"gang"}) != MonoTime{});
}

// Guards against groups that no pass looks at because shares change between the passes over which a search goes on.
TEST_CASE("each group is looked at in turn although shares change between passes")
{
    auto fleet = Fleet{4};
    auto lasting = batchOf(4);
    lasting.perTask.accelerators = 2;
    lasting.maxPerWorker = 1;
    lasting.longRunning = true;
    fleet.core.addJob(makeJob("lasting", "urgent", lasting), fleet.now);
    REQUIRE(tasksOf(fleet.run(Millis{200}), "lasting") == 4);
    for (auto i = 0; i < 120; ++i) {
        // Each needs less memory than those before it, so that none of them rules out another.
        auto step = gangOf(4, 8);
        step.perTask.memoryMb = 100'000 - i;
        auto job = makeJob("gang" + std::to_string(1'000 + i), "batch", step);
        job.workspace = WorkspaceId{i % 2 == 0 ? "a" : "b"};
        fleet.core.addJob(job, fleet.now - Millis{i < 60 ? 9'000 : 0});
    }
    fleet.run(Millis{100});
    auto started = 0;
    for (auto i = 0; i < 10; ++i) {
        auto job = makeJob("small" + std::to_string(i), "batch", batchOf(1));
        job.workspace = WorkspaceId{i % 2 == 0 ? "a" : "b"};
        fleet.core.addJob(job, fleet.now);
        const auto starts = fleet.run(Millis{400});
        started += static_cast<int>(starts.size());
    }
    started += static_cast<int>(fleet.run(Millis{4'000}).size());
    CHECK(started == 10);
}

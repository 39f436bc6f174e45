#include "policy/scheduler.h"

#include <doctest/doctest.h>

using namespace Catkin;

TEST_CASE("a gang starts whole, and its slots return when it ends")
{
    auto scheduler = Scheduler{};
    const auto now = MonoTime{};
    for (const auto *name : {"w1", "w2"}) {
        REQUIRE(scheduler.updateWorker({.worker = WorkerId{name}, .rack = RackId{"r1"}, .slots = 8}, now));
    }
    scheduler.configure({.workspaces = {{.name = WorkspaceId{"rental"}}}});
    REQUIRE(scheduler.submit({.job = JobId{"a"}, .workspace = WorkspaceId{"rental"}, .tasks = 2, .slotsPerTask = 8, .restartable = true}, now));
    REQUIRE(scheduler.submit({.job = JobId{"b"}, .workspace = WorkspaceId{"rental"}, .tasks = 1, .slotsPerTask = 4, .restartable = true}, now));
    auto decisions = scheduler.decide(now);
    REQUIRE(decisions.starts.size() == 1);
    CHECK(decisions.starts[0].members.size() == 2);
    CHECK(scheduler.cancel(JobId{"a"}) == JobCancelResult::Running);
    scheduler.jobEnded(JobId{"a"}, JobEnd::Succeeded, now);
    decisions = scheduler.decide(now);
    REQUIRE(decisions.starts.size() == 1);
    CHECK(decisions.starts[0].job == JobId{"b"});
}

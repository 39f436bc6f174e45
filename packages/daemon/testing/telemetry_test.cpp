#include "daemon/telemetry.h"

#include <doctest/doctest.h>

using namespace Catkin;

namespace
{

auto worker(const char *rack, std::vector<int> leased, bool reachable = true) -> WorkerView
{
    auto out = WorkerView{.worker = WorkerId{"w"}, .rack = RackId{rack}, .slots = 8, .reachable = reachable};
    out.leases.push_back({.slots = std::move(leased), .state = LeaseState::Running});
    out.leases.push_back({.slots = {0, 1, 2, 3, 4, 5, 6, 7}, .state = LeaseState::Ended});
    return out;
}

struct BlockCase
{
    const char *name;
    std::vector<WorkerView> workers;
    int expected;
};

}

TEST_CASE("the largest free block is aligned, and whole workers count together within one rack only")
{
    const auto cases = std::vector<BlockCase>{
        {"no workers", {}, 0},
        {"all slots leased", {worker("a", {0, 1, 2, 3, 4, 5, 6, 7})}, 0},
        {"five free slots, four of them aligned", {worker("a", {0, 1, 2})}, 4},
        {"four free slots in a row that are not aligned", {worker("a", {0, 1, 6, 7})}, 2},
        {"three free workers of a rack", {worker("a", {}), worker("a", {}), worker("a", {})}, 16},
        {"free workers of two racks", {worker("a", {}), worker("b", {})}, 8},
        {"an unreachable worker", {worker("a", {}, false), worker("a", {4})}, 4},
    };
    for (const auto &it : cases) {
        CHECK_MESSAGE(largestFreeBlock(it.workers).value == it.expected, it.name);
    }
}

TEST_CASE("answers of the log are counted by what is certain about them")
{
    auto telemetry = Telemetry{Clock{.mono = [] { return MonoTime{}; }, .wall = [] { return WallTime{}; }}};
    auto code = ErrorCode::NotSent;
    auto log = telemetry.observed(LogPort{.append = [&](const auto &, const auto &) -> Result<LogOffset> { return failure(code, "down"); }, .read = {}});
    for (const auto it : {ErrorCode::NotSent, ErrorCode::InvalidInput, ErrorCode::Unknown}) {
        code = it;
        CHECK_FALSE(log.append("jobs", {"record"}));
    }
    // Lost answers must stand out from appends that certainly had no effect.
    CHECK(telemetry.metricsText().find("catkin_log_appends_total{result=\"not_sent\",stream=\"jobs\"} 2") != std::string::npos);
    CHECK(telemetry.metricsText().find("catkin_log_appends_total{result=\"unknown\",stream=\"jobs\"} 1") != std::string::npos);
}

TEST_CASE("a reclaim lasts from the preemption until the end of the gang is recorded, and a requeued job has one first start")
{
    auto now = MonoTime{};
    auto telemetry = Telemetry{Clock{.mono = [&] { return now; }, .wall = [] { return WallTime{}; }}};
    const auto job = Job{.spec = {.id = JobId{"j"}, .workspace = WorkspaceId{"w"}}};
    telemetry.jobRecorded(job, JobRecord{JobStartedRecord{.job = job.spec.id, .attempt = 1}});
    telemetry.jobPreempted(job);
    now += Millis{1'500};
    telemetry.jobRecorded(job, JobRecord{JobFinishRecord{.job = job.spec.id, .attempt = 1, .result = JobResult::Requeue}});
    telemetry.jobRecorded(job, JobRecord{JobStartedRecord{.job = job.spec.id, .attempt = 2}});
    const auto text = telemetry.metricsText();
    for (const auto *expected : {"catkin_reclaim_seconds_sum 1.5",
                                 "catkin_preemptions_total{workspace=\"w\"} 1",
                                 "catkin_jobs_total{event=\"started\",workspace=\"w\"} 2",
                                 "catkin_jobs_total{event=\"requeued\",workspace=\"w\"} 1",
                                 "catkin_job_wait_seconds_count{urgency=\"normal\"} 1"}) {
        CHECK_MESSAGE(text.find(expected) != std::string::npos, expected << " is missing in\n" << text);
    }
}

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

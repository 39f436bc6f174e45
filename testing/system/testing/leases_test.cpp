#include "harness/poll.h"
#include "history/reader.h"
#include "system/faultload.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>
#include <thread>

using namespace Catkin;

namespace
{

auto oneDomain(const std::string &leases) -> DeploymentShape
{
    return {.domains = {{.name = "oviedo", .region = "cantabrico", .entries = 3, .executors = 1}}, .workspace = "centralita", .relays = true, .leases = leases};
}

auto setRates(Deployment &site) -> void
{
    // Within the 5% by which docs/design.md, 3.1, lets clocks differ.
    REQUIRE(control(*site.worker(0).process, R"({"clock_rate":0.955})"));
    REQUIRE(control(*site.worker(1).process, R"({"clock_rate":1.045})"));
}

}

// Guards against a woken planner whose orders still count, and against leases that end because a successor renews too late.
TEST_CASE("a planner is paused for longer than the run lease, a successor goes on, and the first one wakes; workers' clocks differ")
{
    auto site = Deployment{oneDomain("probation = \"1500ms\"\nrun = \"6s\"\nrenew = \"1s\"\n")};
    site.start();
    setRates(site);
    auto load = FaultLoad{site, {.seed = 6}};
    const auto mold = load.mustSubmit(0, {.key = "mold", .tasks = 4, .slots = 2, .runMs = 14'000, .restartable = false});
    const auto sim = load.mustSubmit(1, {.key = "sim", .tasks = 4, .slots = 2, .runMs = 14'000});
    REQUIRE(load.waitState(0, mold, "running"));
    REQUIRE(load.waitState(0, sim, "running"));
    auto planner = std::optional<std::size_t>{};
    REQUIRE(eventually([&] {
        for (auto i = std::size_t{0}; i < site.entryCount() && !planner; ++i) {
            planner = plannerOf(site, i, "oviedo");
        }
        return planner.has_value();
    }));
    const auto other = (*planner + 1) % site.entryCount();
    site.entry(*planner).process->signal(SIGSTOP);
    std::this_thread::sleep_for(Millis{7'500});
    const auto during = load.mustSubmit(other, {.key = "during", .tasks = 4, .slots = 4});
    CHECK(load.waitState(other, during, "succeeded"));
    site.entry(*planner).process->signal(SIGCONT);
    for (const auto &it : {mold, sim, during}) {
        CHECK(load.waitState(other, it, "succeeded"));
        CHECK(load.waitState(*planner, it, "succeeded"));
        CHECK(load.runs(it).size() == 4);
    }
    for (const auto &it : load.finish({.partialStartMs = 2'500, .partialLossMs = 8'000})) {
        FAIL_CHECK(it);
    }
    MESSAGE("paused planner: " << load.summary());
}

// Guards against counting a silent lease as over by the planner's own clock. The run lease is so long that the margin for
// the clock's rate (1.5 s) exceeds the one for an order under way (1 s).
TEST_CASE("a job whose worker falls silent runs again only after the slowest lease has ended")
{
    auto site = Deployment{oneDomain("probation = \"1500ms\"\nrun = \"30s\"\nrenew = \"1s\"\n")};
    site.start();
    auto load = FaultLoad{site, {.seed = 7, .requests = false}};
    const auto sim = load.mustSubmit(0, {.key = "sim", .tasks = 3, .slots = 8, .runMs = 60'000});
    REQUIRE(load.waitState(0, sim, "running"));
    const auto runs = load.runs(sim);
    REQUIRE_FALSE(runs.empty());
    auto victim = std::size_t{0};
    while (site.worker(victim).id != runs.front().server) {
        ++victim;
    }
    REQUIRE(control(*site.worker(victim).process, R"({"clock_rate":0.955})"));
    std::this_thread::sleep_for(Millis{1'500}); // until a renewal by the slow clock
    site.ways("oviedo", WayTo::Worker, "oviedo").at(victim)->setMode(RelayMode::Silent);
    // The three other workers can hold the gang once the silent one cannot run its member any more.
    CHECK(eventually(
        [&] {
            const auto all = load.runs(sim);
            return std::count_if(all.begin(), all.end(), [](const TaskRun &it) { return it.attempt == 2; }) == 3;
        },
        {.tries = 2'000}));
    REQUIRE(site.caller(0, "DELETE", "/v1/jobs/" + sim, {}, Millis{3'000}));
    CHECK(load.waitState(0, sim, "cancelled"));
    for (const auto &it : load.finish({.partialStartMs = 2'500, .partialLossMs = 33'000})) {
        FAIL_CHECK(it);
    }
    MESSAGE("slow clock: " << load.summary());
}

// Guards against work of a cancelled job that runs until its lease ends. The planner starts the job while the log is down and is
// killed, so the log shows the job as queued, and its cancellation makes it final. The tasks do not obey the first order.
TEST_CASE("work of a job that was cancelled before its attempt was on record ends after a takeover")
{
    auto site = Deployment{oneDomain("probation = \"1500ms\"\nrun = \"120s\"\nrenew = \"1s\"\n")};
    site.start();
    auto load = FaultLoad{site, {.seed = 11, .requests = false}};
    const auto block = load.mustSubmit(0, {.key = "block", .tasks = 4, .slots = 6, .runMs = 4'000});
    REQUIRE(load.waitState(0, block, "running"));
    const auto sim = load.mustSubmit(0, {.key = "sim", .tasks = 4, .slots = 6, .runMs = 600'000});
    for (auto i = std::size_t{0}; i < site.entryCount(); ++i) {
        REQUIRE(load.waitState(i, sim, "queued"));
    }
    auto planner = std::optional<std::size_t>{};
    REQUIRE(eventually([&] {
        for (auto i = std::size_t{0}; i < site.entryCount() && !planner; ++i) {
            planner = plannerOf(site, i, "oviedo");
        }
        return planner.has_value();
    }));
    site.platformRelay().setMode(RelayMode::Cut);
    REQUIRE(eventually([&] { return load.runs(sim).size() == 4; }, {.tries = 1'000}));
    for (auto i = std::size_t{0}; i < site.workerCount(); ++i) {
        REQUIRE(control(*site.worker(i).process, R"({"ignore_stop":true})"));
    }
    site.entry(*planner).process->signal(SIGKILL);
    (void)site.entry(*planner).process->waitExit(Millis{5'000});
    site.platformRelay().setMode(RelayMode::Pass);
    const auto other = (*planner + 1) % site.entryCount();
    CHECK(eventually([&] {
        const auto reply = site.caller(other, "DELETE", "/v1/jobs/" + sim, {}, Millis{4'000});
        return reply && reply.value().status == 202;
    }));
    CHECK(load.waitState(other, sim, "cancelled"));
    // The run lease of 120 s ends long after the limit.
    CHECK(eventually(
        [&] {
            const auto runs = load.runs(sim);
            return std::all_of(runs.begin(), runs.end(), [](const TaskRun &it) { return it.endMs + 500 < historyNowMs(); });
        },
        {.tries = 1'000}));
    CHECK(load.runs(sim).size() == 4);
    CHECK(load.waitState(other, block, "succeeded"));
    for (const auto &it : load.finish({.partialStartMs = 2'500, .partialLossMs = 8'000})) {
        FAIL_CHECK(it);
    }
    MESSAGE("cancelled without a record: " << load.summary());
}

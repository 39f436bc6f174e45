#include "harness/poll.h"
#include "history/reader.h"
#include "system/faultload.h"

#include <doctest/doctest.h>

#include <array>
#include <csignal>
#include <thread>

using namespace Catkin;
using nlohmann::json;

namespace
{

constexpr auto bounds = HistoryBounds{.partialStartMs = 2'500, .partialLossMs = 8'000};

auto findPlanner(Deployment &site, const std::string &domain) -> std::size_t
{
    auto planner = std::optional<std::size_t>{};
    REQUIRE(eventually([&] {
        for (auto i = std::size_t{0}; i < site.entryCount() && !planner; ++i) {
            planner = plannerOf(site, i, domain);
        }
        return planner.has_value();
    }));
    return *planner;
}

auto killEntry(Deployment &site, std::size_t index) -> void
{
    site.entry(index).process->signal(SIGKILL);
    (void)site.entry(index).process->waitExit(Millis{5'000});
}

}

// Guards against an attempt that is taken for lost because the answer of its append was, while another planner follows.
TEST_CASE("the log loses answers while the planner is killed")
{
    auto site = Deployment{barilocheShape()};
    site.start();
    auto load = FaultLoad{site, {.seed = 8}};
    auto jobs = std::vector<std::string>{};
    for (auto round = 0; round < 3; ++round) {
        REQUIRE(control(site.platform(), R"({"lose_answer":true,"only":"POST /v1/streams"})"));
        const auto planner = findPlanner(site, "cerro-catedral");
        for (auto i = 0; i < 4; ++i) {
            const auto key = "job-" + std::to_string(round) + "-" + std::to_string(i);
            jobs.push_back(load.mustSubmit(1 - planner, {.key = key, .domain = "cerro-catedral", .runMs = 1'500, .restartable = i % 2 == 0}));
        }
        std::this_thread::sleep_for(Millis{50 * round});
        killEntry(site, planner);
        std::this_thread::sleep_for(Millis{1'500});
        REQUIRE(control(site.platform(), R"({"reset":true})"));
        site.startEntry(planner);
        REQUIRE(site.waitReady(planner));
    }
    for (const auto &it : jobs) {
        CHECK(eventually(
            [&] {
                const auto state = site.jobState(0, it);
                return state == "succeeded" || state == "unknown";
            },
            {.tries = 800}));
    }
    for (const auto &it : load.finish(bounds)) {
        FAIL_CHECK(it);
    }
    MESSAGE("lost answers and a killed planner: " << load.summary());
}

// Guards against a reclaim that waits for the log, or for a worker that has vanished.
TEST_CASE("a guaranteed shape is reclaimed while the log is down and a borrower's worker vanishes")
{
    auto site = Deployment{barilocheShape()};
    site.start();
    auto load = FaultLoad{site, {.seed = 9}};
    auto borrowers = std::vector<std::string>{};
    for (auto i = 0; i < 8; ++i) {
        borrowers.push_back(load.mustSubmit(
            0, {.key = "borrow-" + std::to_string(i), .domain = "cerro-catedral", .tasks = 1, .slots = 4, .runMs = 600'000, .neighbour = true}));
    }
    for (const auto &it : borrowers) {
        REQUIRE(load.waitState(0, it, "running"));
    }
    const auto urgent = load.mustSubmit(1, {.key = "urgent", .domain = "cerro-catedral", .tasks = 1, .slots = 8, .runMs = 600'000});
    // The acceptance wakes the planner at once, so the outage meets the reclaim on its way.
    site.platformRelay().setMode(RelayMode::Cut);
    site.killServer(site.worker(0));
    // Only the planner knows the state while the log is down; the workers show what runs.
    CHECK(eventually([&] { return load.runs(urgent).size() == 1; }));
    const auto next = load.submit(1, {.key = "next", .domain = "cerro-catedral"});
    CHECK(next.empty());
    site.platformRelay().setMode(RelayMode::Pass);
    for (const auto &it : borrowers) {
        const auto reply = site.caller(0, "DELETE", "/v1/jobs/" + it, {}, Millis{3'000}, true);
        CHECK(reply);
    }
    REQUIRE(site.caller(0, "DELETE", "/v1/jobs/" + urgent, {}, Millis{3'000}));
    CHECK(load.waitState(1, urgent, "cancelled"));
    for (const auto &it : borrowers) {
        CHECK(load.waitState(1, it, "cancelled"));
    }
    for (const auto &it : load.finish(bounds)) {
        FAIL_CHECK(it);
    }
    MESSAGE("reclaim without the log: " << load.summary());
}

// Guards against a version that two operators both believe to be theirs, and against one that a restarted instance forgets.
TEST_CASE("operators race while an instance restarts")
{
    auto site = Deployment{barilocheShape()};
    site.start();
    auto load = FaultLoad{site, {.seed = 10, .pauseMs = 200}};
    for (auto round = 0; round < 4; ++round) {
        const auto victim = static_cast<std::size_t>(round) % site.entryCount();
        const auto first = (victim + 1) % site.entryCount();
        const auto second = (victim + 2) % site.entryCount();
        const auto base = versionAt(site, first);
        auto statuses = std::array<int, 3>{};
        auto threads = std::vector<std::thread>{};
        auto at = std::size_t{0};
        for (const auto entry : {first, second, victim}) {
            threads.emplace_back([&, entry, slot = at++] { statuses[slot] = changeConfig(site, entry, base, 20 + round * 3 + static_cast<int>(slot)); });
        }
        killEntry(site, victim);
        for (auto &it : threads) {
            it.join();
        }
        site.startEntry(victim);
        REQUIRE(site.waitReady(victim));
        CHECK(versionAt(site, victim) == base + 1);
        // The killed instance's change may have won without its answer; then both others lose.
        CHECK(std::count(statuses.begin(), statuses.end(), 200) <= 1);
        CHECK(statuses[0] + statuses[1] >= 609); // 200 and 409, or 409 twice
        for (auto i = std::size_t{0}; i < site.entryCount(); ++i) {
            CHECK(eventually([&] { return versionAt(site, i) == base + 1; }));
        }
    }
    for (const auto &it : load.finish(bounds)) {
        FAIL_CHECK(it);
    }
    MESSAGE("operators and a restart: " << load.summary());
}

#include "harness/poll.h"
#include "history/reader.h"
#include "system/callers.h"

#include <doctest/doctest.h>

#include <csignal>

using namespace Catkin;
using nlohmann::json;

namespace
{

constexpr auto jobPoll = PollOptions{.tries = 1500};

auto job(const char *kind, const std::string &key, int tasks, int slots, int runMs, bool restartable) -> json
{
    return {{"kind", kind},
            {"key", key},
            {"tasks", tasks},
            {"slots_per_task", slots},
            {"adjacency", "rack"},
            {"restartable", restartable},
            {"payload", json{{"key", key}, {"run_ms", runMs}}.dump()}};
}

/// Fills the first failure domain with the neighbour's jobs.
auto fillWithBorrowers(Deployment &site, bool checkpointable) -> std::vector<std::string>
{
    auto ids = std::vector<std::string>{};
    for (auto i = 0; i < 8; ++i) {
        auto it = job("simulate", "borrow-" + std::to_string(i), 1, 4, 600'000, true);
        it["checkpointable"] = checkpointable;
        const auto id = site.submit(0, it, true);
        REQUIRE(id.has_value());
        ids.push_back(*id);
    }
    for (const auto &it : ids) {
        REQUIRE(eventually([&] { return site.jobState(0, it, true) == "running"; }, jobPoll));
    }
    return ids;
}

auto waitState(Deployment &site, const std::string &id, const std::string &state) -> bool
{
    return eventually([&] { return site.jobState(0, id) == state; }, jobPoll);
}

/// Half of the rack: two adjacent workers of 8 slots.
auto guaranteedPair() -> DeploymentShape
{
    auto shape = barilocheShape();
    shape.guaranteeSlots = 16;
    return shape;
}

}

TEST_CASE("a guaranteed shape is reclaimed from a neighbour that has borrowed every slot")
{
    struct Case
    {
        const char *name;
        bool checkpointable;
        const char *fault; ///< applied to every worker before the reclaim
    };
    const auto cases = std::vector<Case>{
        {"borrowers that checkpoint", true, "{}"},
        {"borrowers that only restart", false, "{}"},
        {"borrowers that ignore the stop", false, R"({"ignore_stop":true})"},
        {"slow checkpoints", true, R"({"checkpoint_ms":600000})"},
    };
    for (const auto &it : cases) {
        CAPTURE(it.name);
        auto site = Deployment{guaranteedPair()};
        site.start();
        const auto borrowers = fillWithBorrowers(site, it.checkpointable);
        for (auto i = std::size_t{0}; i < site.workerCount(); ++i) {
            REQUIRE(control(*site.worker(i).process, it.fault));
        }
        const auto id = site.submit(0, job("mold", "reclaim", 2, 8, 300, false));
        REQUIRE(id.has_value());
        CHECK(waitState(site, *id, "succeeded"));
        auto history = History{};
        site.collect(history);
        CHECK(checkSlots(history) == Violations{});
        // Only as many borrowers as needed gave way: four of the eight jobs of 4 slots hold half of the rack.
        auto untouched = 0;
        for (const auto &borrower : borrowers) {
            const auto reply = site.caller(0, "GET", "/v1/jobs/" + borrower, {}, Millis{3'000}, true);
            const auto body = json::parse(reply.value().body);
            untouched += body.at("attempt") == 1 && body.at("state") == "running" ? 1 : 0;
        }
        CHECK(untouched == 4);
    }
}

TEST_CASE("work that must not run twice never takes the slots that a guarantee needs, even if it can checkpoint")
{
    auto site = Deployment{guaranteedPair()};
    site.start();
    auto started = std::vector<std::string>{};
    for (auto i = 0; i < 8; ++i) {
        auto fixed = job("mold", "fixed-" + std::to_string(i), 1, 4, 600'000, false);
        fixed["checkpointable"] = i % 2 == 0;
        const auto id = site.submit(0, fixed, true);
        REQUIRE(id.has_value());
        started.push_back(*id);
    }
    const auto running = [&] { return std::count_if(started.begin(), started.end(), [&](const auto &it) { return site.jobState(0, it, true) == "running"; }); };
    REQUIRE(eventually([&] { return running() == 4; }, jobPoll));
    const auto id = site.submit(0, job("mold", "guaranteed", 2, 8, 300, false));
    REQUIRE(id.has_value());
    CHECK(waitState(site, *id, "succeeded"));
    CHECK(running() == 4);
}

TEST_CASE("the guaranteed shape survives the loss of a worker that the document tolerates")
{
    auto site = Deployment{guaranteedPair()};
    site.start();
    (void)fillWithBorrowers(site, false);
    site.worker(1).process->signal(SIGKILL);
    const auto id = site.submit(1, job("mold", "after-loss", 2, 8, 300, false));
    REQUIRE(id.has_value());
    CHECK(waitState(site, *id, "succeeded"));
}

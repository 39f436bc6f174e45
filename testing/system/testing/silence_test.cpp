#include "harness/poll.h"
#include "system/faultload.h"

#include <doctest/doctest.h>

#include <thread>

using namespace Catkin;
using nlohmann::json;

namespace
{

constexpr auto bounds = HistoryBounds{.partialStartMs = 2'500, .partialLossMs = 8'000};

auto twoDomains() -> DeploymentShape
{
    auto shape = barilocheShape();
    shape.relays = true;
    shape.regionDelay = Millis{10};
    return shape;
}

/// Makes every open connection to the servers of one role silent for good.
auto freezeAll(Deployment &site, const DeploymentShape &shape, WayTo role) -> void
{
    for (const auto &from : shape.domains) {
        for (const auto &to : shape.domains) {
            for (auto *it : site.ways(from.name, role, to.name)) {
                it->freezeOpenConnections();
            }
        }
    }
}

}

// Guards against a connection that is kept although nothing arrives on it, and against sending again what may have run.
TEST_CASE("open connections go silent for good while new ones work")
{
    struct Case
    {
        const char *name;
        WayTo role;
    };
    const auto cases = std::vector<Case>{{"peers", WayTo::Entry}, {"platform", WayTo::Platform}, {"executors", WayTo::Executor}, {"workers", WayTo::Worker}};
    const auto shape = twoDomains();
    auto site = Deployment{shape};
    site.start();
    auto load = FaultLoad{site, {.seed = 4, .pauseMs = 10}};
    auto version = std::int64_t{1};
    for (const auto &it : cases) {
        CAPTURE(it.name);
        const auto mold = load.mustSubmit(0, {.key = std::string("mold-") + it.name, .domain = "cerro-catedral", .runMs = 4'000, .restartable = false});
        REQUIRE(load.waitState(0, mold, "running"));
        // Several times, because a connection for one exchange is open for a moment only.
        constexpr auto rounds = 8;
        for (auto i = 0; i < rounds; ++i) {
            freezeAll(site, shape, it.role);
            const auto job = load.submit(1, {.key = std::string(it.name) + "-" + std::to_string(i), .domain = "cerro-catedral", .slots = 1, .runMs = 200});
            std::this_thread::sleep_for(Millis{100});
        }
        const auto key = std::string("after-") + it.name;
        CHECK(eventually([&] { return site.request(0, {.kind = "plan", .payload = R"({"key":"probe"})"}).result == CallResult::Answer; }));
        CHECK(eventually([&] { return changeConfig(site, 0, version, static_cast<int>(20 + version)) == 200 || versionAt(site, 0) > version; }));
        ++version;
        for (auto i = std::size_t{0}; i < site.entryCount(); ++i) {
            CHECK(eventually([&] { return versionAt(site, i) == version; }));
            CHECK(site.waitMesh(i));
        }
        const auto after = load.mustSubmit(2, {.key = key, .domain = "cerro-catedral", .restartable = false});
        CHECK(load.waitState(0, mold, "succeeded"));
        CHECK(load.waitState(0, after, "succeeded"));
        CHECK(load.runs(mold).size() == 2);
    }
    for (const auto &it : load.finish(bounds)) {
        FAIL_CHECK(it);
    }
    MESSAGE("silent connections: " << load.summary());
}

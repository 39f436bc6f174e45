#include "harness/poll.h"
#include "history/checker.h"
#include "system/callers.h"

#include <doctest/doctest.h>

#include <csignal>
#include <thread>

using namespace Catkin;
using nlohmann::json;

namespace
{

auto versionAt(Deployment &site, std::size_t index) -> std::int64_t
{
    const auto reply = site.operate(index, "GET", "/v1/config");
    return reply && reply.value().status == 200 ? json::parse(reply.value().body).at("version").get<std::int64_t>() : -1;
}

/// @return the weight of the workspace that change() changes; a document in force lists workspaces by name.
auto weightOf(const json &config) -> int
{
    for (const auto &it : config.at("document").at("workspaces")) {
        if (it.at("name") == "patrulla") {
            return it.at("weight").get<int>();
        }
    }
    return -1;
}

auto change(const Deployment &site, std::int64_t base, int weight) -> std::string
{
    auto document = site.document();
    document["workspaces"][0]["weight"] = weight;
    return json{{"base", base}, {"document", document}}.dump();
}

}

TEST_CASE("of two operators that race on the same base, one wins everywhere and the other is told")
{
    auto site = Deployment{barilocheShape()};
    site.start();
    const auto rounds = 5;
    for (auto round = 0; round < rounds; ++round) {
        const auto base = versionAt(site, 0);
        auto statuses = std::array<int, 2>{};
        auto threads = std::vector<std::thread>{};
        for (auto i = std::size_t{0}; i < 2; ++i) {
            threads.emplace_back([&, i] {
                const auto reply = site.operate(i, "PUT", "/v1/config", change(site, base, 20 + round * 2 + static_cast<int>(i)));
                statuses[i] = reply ? reply.value().status : 0;
            });
        }
        for (auto &it : threads) {
            it.join();
        }
        CHECK(std::min(statuses[0], statuses[1]) == 200);
        CHECK(std::max(statuses[0], statuses[1]) == 409);
        const auto winner = statuses[0] == 200 ? 0 : 1;
        for (auto i = std::size_t{0}; i < site.entryCount(); ++i) {
            CHECK(eventually([&] {
                const auto reply = site.operate(i, "GET", "/v1/config");
                if (!reply || reply.value().status != 200) {
                    return false;
                }
                const auto body = json::parse(reply.value().body);
                return body.value("version", std::int64_t{0}) == base + 1 && weightOf(body) == 20 + round * 2 + winner;
            }));
        }
    }
}

TEST_CASE("versions never decrease while instances restart and the log loses answers")
{
    auto site = Deployment{barilocheShape()};
    site.start();
    auto history = History{};
    auto observe = [&] {
        for (auto i = std::size_t{0}; i < site.entryCount(); ++i) {
            const auto version = versionAt(site, i);
            if (version > 0) {
                history.versions.push_back({.observer = site.entry(i).id, .version = version});
            }
        }
    };
    for (auto round = 0; round < 4; ++round) {
        const auto base = versionAt(site, 0);
        observe();
        REQUIRE(control(site.platform(), round % 2 == 0 ? R"({"lose_answer":true})" : R"({"lose_answer":false})"));
        // The answer of the append may be lost; the change still decides itself when it is read back.
        const auto reply = site.operate(0, "PUT", "/v1/config", change(site, base, 40 + round));
        REQUIRE(reply);
        CHECK((reply.value().status == 200 || reply.value().status == 504));
        REQUIRE(control(site.platform(), R"({"lose_answer":false})"));
        const auto victim = static_cast<std::size_t>(round) % site.entryCount();
        site.entry(victim).process->signal(SIGKILL);
        (void)site.entry(victim).process->waitExit(Millis{5'000});
        observe();
        site.startEntry(victim);
        REQUIRE(site.waitReady(victim));
        // A ready instance may still be reading; it must not show an older version than it has shown before.
        CHECK(eventually([&] { return versionAt(site, victim) == versionAt(site, (victim + 1) % site.entryCount()); }));
        observe();
    }
    CHECK(checkVersions(history) == Violations{});
    CHECK(versionAt(site, 0) == 5);
}

// Guards against an instance that is ready with a peer's configuration before it has read its own stream: it refused
// changes as "not read yet" and could show an older version than before its restart.
TEST_CASE("an instance that is ready after a restart takes a change at once")
{
    auto shape = barilocheShape();
    shape.logDelay = Millis{350};
    auto site = Deployment{shape};
    site.start();
    for (auto round = 0; round < 2; ++round) {
        const auto base = versionAt(site, 1);
        site.entry(0).process->signal(SIGKILL);
        (void)site.entry(0).process->waitExit(Millis{5'000});
        site.startEntry(0);
        REQUIRE(site.waitReady(0));
        CHECK(versionAt(site, 0) == base);
        const auto reply = site.operate(0, "PUT", "/v1/config", change(site, base, 60 + round));
        REQUIRE(reply);
        CHECK(reply.value().status == 200);
        CHECK(eventually([&] { return versionAt(site, 1) == base + 1; }));
    }
}

TEST_CASE("an instance that cannot read the log takes the configuration from its peers")
{
    auto site = Deployment{barilocheShape()};
    site.start();
    REQUIRE(eventually([&] {
        const auto reply = site.operate(0, "GET", "/v1/instances");
        return reply && reply.value().body.find("fresh") != std::string::npos;
    }));
    REQUIRE(site.operate(0, "PUT", "/v1/config", change(site, 1, 77)).value().status == 200);
    // Reads fail from here on, and the list still names the peers.
    REQUIRE(control(site.platform(), R"({"down":true})"));
    for (auto i = std::size_t{0}; i < site.entryCount(); ++i) {
        CHECK(eventually([&] { return versionAt(site, i) == 2; }));
    }
    const auto refused = site.operate(0, "PUT", "/v1/config", change(site, 2, 78));
    REQUIRE(refused);
    CHECK(refused.value().status >= 503);
    REQUIRE(control(site.platform(), R"({"down":false})"));
}

TEST_CASE("a document that promises more than the fleet can hold is rejected with the reason")
{
    auto site = Deployment{barilocheShape()};
    site.start();
    auto document = site.document();
    document["workspaces"][0]["guarantees"][0]["count"] = 50;
    const auto reply = site.operate(0, "PUT", "/v1/config", json{{"base", 1}, {"document", document}}.dump());
    REQUIRE(reply);
    CHECK(reply.value().status == 422);
    const auto body = json::parse(reply.value().body);
    CHECK_FALSE(body["errors"].empty());
    CHECK(versionAt(site, 0) == 1);
}

// Guards against a document whose nesting ends the instance: it was written again before it was validated, which recurses.
TEST_CASE("a deeply nested document is refused and the instance serves on")
{
    auto site = Deployment{barilocheShape()};
    site.start();
    const auto nested = std::string(200'000, '[') + std::string(200'000, ']');
    const auto base = versionAt(site, 0);
    for (const auto &body : {R"({"base":)" + std::to_string(base) + R"(,"document":)" + nested + "}", nested, R"({"base":1e300,"document":)" + nested + "}"}) {
        const auto reply = site.operate(0, "PUT", "/v1/config", body);
        REQUIRE(reply);
        CHECK(reply.value().status == 400);
    }
    CHECK(versionAt(site, 0) == base);
    CHECK(site.operate(0, "PUT", "/v1/config", change(site, base, 79)).value().status == 200);
}

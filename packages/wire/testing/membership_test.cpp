#include "util/clock.h"
#include "util/random.h"
#include "util/rendezvous.h"
#include "wire/membership.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace Catkin;

namespace
{

auto beat(const char *id, std::int64_t incarnation = 1, const char *domain = "oviedo", const char *region = "cantabrico") -> Heartbeat
{
    return {.instance = InstanceId{id}, .incarnation = {incarnation}, .domain = FailureDomainId{domain}, .region = RegionId{region}, .address = "127.0.0.1:9"};
}

auto members(MonoTime now) -> Membership
{
    return Membership{{.self = InstanceId{"i-0"}, .domain = FailureDomainId{"oviedo"}, .region = RegionId{"cantabrico"}, .incarnation = {1}}, now};
}

auto viewOf(const Membership &table, const char *id, MonoTime now) -> InstanceView
{
    for (const auto &it : table.instances(now)) {
        if (it.id == InstanceId{id}) {
            return it;
        }
    }
    return {};
}

}

TEST_CASE("an instance is fresh for three of its periods")
{
    struct Case
    {
        const char *region;
        Millis age;
        bool draining;
        InstanceState expected;
    };
    const auto cases = std::vector<Case>{
        {"cantabrico", Millis{0}, false, InstanceState::Fresh},
        {"cantabrico", Millis{1500}, false, InstanceState::Fresh},
        {"cantabrico", Millis{1501}, false, InstanceState::Silent},
        {"cantabrico", Millis{1500}, true, InstanceState::Draining},
        {"cantabrico", Millis{1501}, true, InstanceState::Silent},
        {"meseta", Millis{1501}, false, InstanceState::Fresh},
        {"meseta", Millis{6000}, false, InstanceState::Fresh},
        {"meseta", Millis{6001}, false, InstanceState::Silent},
    };
    for (const auto &it : cases) {
        CAPTURE(it.region);
        CAPTURE(it.age.count());
        auto clock = ManualClock{};
        auto table = members(clock.now());
        auto heartbeat = beat("i-1", 1, "burgos", it.region);
        heartbeat.draining = it.draining;
        table.observe(heartbeat, clock.now());
        clock.advance(it.age);
        CHECK(table.state(InstanceId{"i-1"}, clock.now()) == it.expected);
        CHECK(table.freshCount(clock.now()) == (it.expected == InstanceState::Silent ? 1 : 2));
    }
}

TEST_CASE("late messages of an old incarnation change nothing")
{
    auto clock = ManualClock{};
    auto table = members(clock.now());
    CHECK(table.observe(beat("i-1", 5), clock.now()) == HeartbeatEffect::NewIncarnation);
    CHECK(table.observe(beat("i-1", 5), clock.now()) == HeartbeatEffect::Accepted);
    auto restarted = beat("i-1", 6, "bilbao");
    restarted.configVersion = {8};
    CHECK(table.observe(restarted, clock.now()) == HeartbeatEffect::NewIncarnation);
    clock.advance(Seconds{2});
    // The old process, paused until now, must not make the instance look alive.
    CHECK(table.observe(beat("i-1", 5), clock.now()) == HeartbeatEffect::OldIncarnation);
    CHECK(table.superseded(InstanceId{"i-1"}, {5}));
    CHECK_FALSE(table.superseded(InstanceId{"i-1"}, {6}));
    const auto view = viewOf(table, "i-1", clock.now());
    CHECK(view.state == InstanceState::Silent);
    CHECK(view.domain == FailureDomainId{"bilbao"});
    CHECK(view.last->configVersion == ConfigVersion{8});
    CHECK(table.observe(beat("i-0", 9), clock.now()) == HeartbeatEffect::Self);
    // A clock that was set back must not lock an instance out for ever.
    clock.advance(Seconds{601});
    table.forget(clock.now());
    CHECK(table.observe(beat("i-1", 2), clock.now()) == HeartbeatEffect::NewIncarnation);
}

TEST_CASE("partial load lists are merged, and not across incarnations")
{
    const auto e1 = ExecutorId{"e-1"};
    const auto e2 = ExecutorId{"e-2"};
    struct Case
    {
        const char *name;
        std::int64_t incarnation;
        bool full;
        std::vector<ExecutorLoad> sent;
        std::vector<ExecutorLoad> expected;
    };
    const auto cases = std::vector<Case>{
        {"complete", 1, true, {{e1, 1}, {e2, 2}}, {{e1, 1}, {e2, 2}}},
        {"no change", 1, false, {}, {{e1, 1}, {e2, 2}}},
        {"one changed", 1, false, {{e2, 5}}, {{e1, 1}, {e2, 5}}},
        {"one gone", 1, false, {{e1, 0}}, {{e2, 5}}},
        {"complete again", 1, true, {{e1, 3}}, {{e1, 3}}},
        {"restarted", 2, false, {{e2, 1}}, {{e2, 1}}},
    };
    auto clock = ManualClock{};
    auto table = members(clock.now());
    for (const auto &it : cases) {
        CAPTURE(it.name);
        auto heartbeat = beat("i-1", it.incarnation);
        heartbeat.fullLoads = it.full;
        heartbeat.executors = it.sent;
        table.observe(heartbeat, clock.now());
        CHECK(viewOf(table, "i-1", clock.now()).last->executors == it.expected);
    }
}

TEST_CASE("sources are replaced as a whole and forgotten instances disappear")
{
    auto clock = ManualClock{};
    auto table = members(clock.now());
    const auto known = [](const char *id, const char *address, bool leaving = false) {
        return KnownInstance{InstanceId{id}, FailureDomainId{"oviedo"}, RegionId{"cantabrico"}, address, leaving};
    };
    table.setKnown(KnownSource::Settings, {known("i-1", "127.0.0.1:1"), known("i-0", "127.0.0.1:0")});
    table.setKnown(KnownSource::InstanceList, {known("i-1", "127.0.0.1:2"), known("i-2", "127.0.0.1:3", true)});
    CHECK(table.instances(clock.now()).size() == 3);
    CHECK(viewOf(table, "i-1", clock.now()).address == "127.0.0.1:2");
    table.observe(beat("i-2"), clock.now());
    CHECK(table.state(InstanceId{"i-2"}, clock.now()) == InstanceState::Draining);
    // The list lags: an instance that it no longer names stays while it is heard of.
    table.setKnown(KnownSource::InstanceList, {});
    CHECK(table.instances(clock.now()).size() == 3);
    CHECK(table.state(InstanceId{"i-2"}, clock.now()) == InstanceState::Fresh);
    CHECK(viewOf(table, "i-1", clock.now()).address == "127.0.0.1:1");
    clock.advance(Seconds{601});
    table.forget(clock.now());
    CHECK(table.instances(clock.now()).size() == 2);
}

TEST_CASE("the planner comes from the failure domain, then its region, then anywhere")
{
    auto clock = ManualClock{};
    auto table = members(clock.now());
    const auto planner = [&](const char *domain) { return table.planner(FailureDomainId{domain}, clock.now()).str(); };
    CHECK(planner("burgos") == "i-0");
    table.observe(beat("b-1", 1, "burgos", "meseta"), clock.now());
    CHECK(planner("burgos") == "b-1");
    CHECK(planner("oviedo") == "i-0");
    CHECK(planner("bilbao") != "");
    table.observe(beat("m-2", 1, "soria", "meseta"), clock.now());
    auto draining = beat("b-1", 1, "burgos", "meseta");
    draining.draining = true;
    table.observe(draining, clock.now());
    // The draining instance hands over to its region; this instance would be a candidate only after that.
    CHECK(planner("burgos") == "m-2");
    clock.advance(Millis{6001});
    CHECK(planner("burgos") == "i-0");
    table.setDraining(true);
    CHECK(planner("burgos") == "i-0");
    table.observe(beat("b-1", 2, "burgos", "meseta"), clock.now());
    CHECK(planner("oviedo") == "b-1");
    // A failure domain without entry instances: the region given decides.
    CHECK(table.planner(FailureDomainId{"palencia"}, RegionId{"meseta"}, clock.now()).str() == "b-1");
}

TEST_CASE("instances with the same view name the same planner")
{
    // Against a direct reference: the three candidate sets, in order, for random tables.
    auto random = Random{99};
    const auto domains = std::vector<std::pair<std::string, std::string>>{{"d1", "r1"}, {"d2", "r1"}, {"d3", "r2"}};
    for (auto round = 0; round < 300; ++round) {
        auto clock = ManualClock{};
        auto all = std::vector<Heartbeat>{};
        for (auto i = 0U; i < 2 + uniform(random, 8); ++i) {
            const auto &[domain, region] = domains[uniform(random, 3)];
            all.push_back(beat(("i-" + std::to_string(i)).c_str(), 1, domain.c_str(), region.c_str()));
            all.back().draining = uniform(random, 4) == 0;
        }
        for (const auto &[domain, region] : domains) {
            auto expected = std::string{};
            for (auto step = 0; step < 6 && expected.empty(); ++step) {
                auto names = std::vector<std::string>{};
                for (const auto &it : all) {
                    const auto within = step % 3 == 0 ? it.domain.str() == domain : step % 3 == 1 ? it.region.str() == region : true;
                    if (within && it.draining == (step >= 3)) {
                        names.push_back(it.instance.str());
                    }
                }
                if (const auto owner = rendezvousOwner("planner/" + domain, names)) {
                    expected = names[*owner];
                }
            }
            auto answers = std::set<std::string>{};
            for (const auto &self : all) {
                auto table = Membership{{.self = self.instance, .domain = self.domain, .region = self.region, .incarnation = {1}}, clock.now()};
                table.setDraining(self.draining);
                for (const auto &it : all) {
                    table.observe(it, clock.now());
                }
                answers.insert(table.planner(FailureDomainId{domain}, RegionId{region}, clock.now()).str());
            }
            CHECK(answers == std::set{expected});
        }
    }
}

TEST_CASE("a process is settled once it has waited for the slowest heartbeats")
{
    auto clock = ManualClock{};
    const auto table = members(clock.now());
    clock.advance(Millis{5999});
    CHECK_FALSE(table.settled(clock.now()));
    clock.advance(Millis{1});
    CHECK(table.settled(clock.now()));
}

TEST_CASE("the own region is settled before the slower heartbeats of other regions have arrived")
{
    // A restarted instance that waits for other regions leaves the gangs of its own one without a planner for longer.
    auto clock = ManualClock{};
    const auto table = Membership{{.self = InstanceId{"i"}, .domain = FailureDomainId{"d"}, .region = RegionId{"near"}, .incarnation = {1}}, clock.now()};
    clock.advance(Millis{1499});
    CHECK_FALSE(table.settled(RegionId{"near"}, clock.now()));
    clock.advance(Millis{1});
    CHECK(table.settled(RegionId{"near"}, clock.now()));
    CHECK_FALSE(table.settled(RegionId{"far"}, clock.now()));
    clock.advance(Millis{4500});
    CHECK(table.settled(RegionId{"far"}, clock.now()));
}

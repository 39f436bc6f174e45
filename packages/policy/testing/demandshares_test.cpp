#include "policy/demandshares.h"
#include "policy/requestscheduler.h"
#include "util/random.h"

#include <doctest/doctest.h>

#include <numeric>
#include <string>

using namespace Catkin;

namespace
{

constexpr auto start = MonoTime{Seconds{1000}};
const auto weights = std::unordered_map<std::uint32_t, double>{{1, 1}, {2, 1}, {3, 2}, {4, 4}};

auto demandOf(double first, double second, double third, double fourth) -> std::vector<WorkspaceDemand>
{
    return {{1, first}, {2, second}, {3, third}, {4, fourth}};
}

/// Reports of eight instances; only the first two see demand of workspace 4.
auto concentrated() -> std::vector<std::vector<WorkspaceDemand>>
{
    auto demands = std::vector<std::vector<WorkspaceDemand>>(8, demandOf(50, 50, 50, 0));
    demands[0] = demands[1] = demandOf(50, 50, 50, 200);
    return demands;
}

auto sum(const std::vector<double> &values) -> double
{
    return std::accumulate(values.begin(), values.end(), 0.0);
}

}

TEST_CASE("the division stays equal while it gives every workspace its share")
{
    // Guards against a needless shift of slots: with even load, with uneven load that saturates every instance, and with less
    // demand than slots.
    const auto cases = std::vector<std::pair<std::string, std::vector<std::vector<WorkspaceDemand>>>>{
        {"even", std::vector<std::vector<WorkspaceDemand>>(8, demandOf(50, 50, 50, 50))},
        {"uneven", {demandOf(25, 50, 75, 55), demandOf(75, 25, 50, 75), demandOf(50, 75, 25, 60), demandOf(25, 50, 75, 50)}},
        {"less demand than slots", {demandOf(0, 0, 0, 300), demandOf(0, 0, 0, 0)}},
        {"one instance", {demandOf(500, 0, 0, 500)}},
        {"none", {}},
    };
    for (const auto &it : cases) {
        CAPTURE(it.first);
        const auto &demands = it.second;
        const auto division = divideByDemand(weights, demands, 400, {}, false);
        CHECK_FALSE(division.shifted);
        CHECK(division.fractions == std::vector<double>(demands.size(), 1.0 / static_cast<double>(std::max<std::size_t>(1, demands.size()))));
    }
}

TEST_CASE("fractions follow demand that an equal division would not serve")
{
    // Guards against a workspace below its share because its callers reach only two of eight instances.
    const auto division = divideByDemand(weights, concentrated(), 400, {}, false);
    REQUIRE(division.shifted);
    CHECK(sum(division.fractions) == doctest::Approx(1));
    // 400 slots: 200 for workspace 4 in two instances, 200 for the others in eight.
    CHECK(division.fractions[0] * 400 == doctest::Approx(125));
    CHECK(division.fractions[7] * 400 == doctest::Approx(25));
    CHECK(division.weightFactors[0].at(4) == doctest::Approx(4));
    CHECK(division.weightFactors[0].at(1) == doctest::Approx(1));
    CHECK(division.weightFactors[7].at(4) == doctest::Approx(DemandOptions{}.minWeightFactor));
}

TEST_CASE("for random reports the fractions add up to 1 and each is at least half of the minimum")
{
    // Guards against limits of all instances that add up to more, or fewer, than the slots of an executor.
    auto random = Random{99};
    auto shifted = 0;
    for (auto round = 0; round < 300; ++round) {
        const auto instances = 1 + uniform(random, 9);
        auto demands = std::vector<std::vector<WorkspaceDemand>>(instances);
        for (auto &it : demands) {
            for (auto w = 1U; w <= 5; ++w) { // workspace 5 is not configured
                if (uniform(random, 3) > 0) {
                    it.push_back({w, static_cast<double>(uniform(random, 200))});
                }
            }
        }
        const auto division = divideByDemand(weights, demands, 400, {}, round % 2 == 0);
        shifted += division.shifted ? 1 : 0;
        REQUIRE(division.fractions.size() == instances);
        CHECK(sum(division.fractions) == doctest::Approx(1));
        for (const auto fraction : division.fractions) {
            CHECK(fraction >= DemandOptions{}.minFraction / instances / 2);
        }
        for (auto ordinal = std::size_t{0}; ordinal < 5; ++ordinal) {
            auto total = 0;
            for (auto i = std::size_t{0}; i < instances; ++i) {
                total += slotsOfFraction(division.fractions, i, 8, ordinal);
            }
            CHECK(total == 8);
        }
    }
    CHECK(shifted > 50);
}

TEST_CASE("over many executors each instance gets slots in proportion to its fraction")
{
    // Guards against rounding to whole slots that favors the same instances at every executor.
    const auto fractions = divideByDemand(weights, concentrated(), 400, {}, false).fractions;
    for (auto i = std::size_t{0}; i < fractions.size(); ++i) {
        auto own = 0;
        for (auto ordinal = std::size_t{0}; ordinal < 50; ++ordinal) {
            own += slotsOfFraction(fractions, i, 8, ordinal);
        }
        CHECK(std::abs(own - fractions[i] * 400) <= 3);
    }
}

TEST_CASE("successive reports differ in at most maxChangesPerReport demands and follow the load")
{
    // Guards against large heartbeats when the demand of all 250 workspaces changes at once.
    auto options = DemandOptions{};
    auto meter = DemandMeter{options};
    auto now = start;
    auto before = std::vector<WorkspaceDemand>{};
    auto run = [&](std::uint32_t workspaces, int beats) {
        for (auto beat = 0; beat < beats; ++beat) {
            for (auto tick = 0; tick < 10; ++tick) {
                for (auto w = 0U; w < workspaces; ++w) {
                    meter.offered(w, Micros{100'000}, now); // 2 slots
                }
                now += Millis{50};
            }
            const auto &report = meter.report(now);
            auto changed = 0;
            for (const auto &it : report) {
                changed += std::find(before.begin(), before.end(), it) == before.end() ? 1 : 0;
            }
            changed += std::max(0, static_cast<int>(before.size()) - static_cast<int>(report.size()));
            CHECK(changed <= options.maxChangesPerReport);
            CHECK(meter.report(now + Millis{1}) == report);
            before = report;
        }
    };
    run(250, 20);
    REQUIRE(before.size() == 250);
    for (const auto &it : before) {
        CHECK(it.slots == doctest::Approx(2).epsilon(0.06));
    }
    run(10, 40);
    CHECK(before.size() == 10);
}

TEST_CASE("the scheduler divides slots by demand only while all peers report theirs")
{
    // Guards against shares from incomplete or old reports: when heartbeats stop, when a peer is of an earlier release that
    // reports no demand, and when the instance is cut off from its peers.
    auto options = RequestSchedulerOptions{.instance = InstanceId{"i-1"}, .domain = FailureDomainId{"oviedo"}, .region = RegionId{"cantabrico"}};
    auto s = RequestScheduler{options, 1};
    s.configChanged({{{.id = WorkspaceId{"gas"}}, {.id = WorkspaceId{"ski"}, .weight = 3}}, {{.id = KindId{"plan"}}}}, start);
    auto list = std::vector<ListedExecutor>{};
    for (auto i = 0; i < 10; ++i) {
        list.push_back({ExecutorId{"e-" + std::to_string(i)}, "a", options.domain, options.region});
    }
    s.executorsChanged(list, start);
    for (const auto &it : list) {
        s.executorPolled(it.id, HealthSample{8, 0, false}, start);
    }
    auto now = start;
    // This instance sees requests of workspace "gas" only.
    for (auto i = 0; i < 2000; ++i) {
        now += Millis{1};
        s.enqueue({WorkspaceId{"gas"}, CallerId{"c"}, KindId{"plan"}, now + Seconds{1}, Bytes{100}}, now);
    }
    s.enqueue({WorkspaceId{"gas"}, CallerId{"late"}, KindId{"plan"}, now + Seconds{1}, Bytes{100}}, now);
    (void)s.ownDemands(now);
    for (const auto &it : list) {
        s.executorPolled(it.id, HealthSample{8, 0, false}, now);
    }
    auto share = [&] {
        auto total = 0.0;
        for (const auto &it : s.executors(now)) {
            total += it.share;
        }
        return total;
    };
    const auto peers = std::vector<InstanceId>{InstanceId{"i-2"}, InstanceId{"i-3"}, InstanceId{"i-4"}};
    const auto equal = 20.0;
    const auto busy = std::vector<WorkspaceDemand>{{workspaceKey(WorkspaceId{"gas"}), 20}};
    const auto ski = std::vector<WorkspaceDemand>{{workspaceKey(WorkspaceId{"gas"}), 20}, {workspaceKey(WorkspaceId{"ski"}), 200}};
    s.peersChanged(peers, now);
    CHECK(share() == equal);
    s.peerDemandsChanged(peers[0], ski);
    s.peerDemandsChanged(peers[1], busy);
    s.peersChanged(peers, now);
    CHECK(share() == equal); // the third peer has not reported
    s.peerDemandsChanged(peers[2], busy);
    s.peersChanged(peers, now);
    CHECK(share() == equal); // the shortage has lasted less than shiftDelay
    now += options.demand.shiftDelay;
    s.peersChanged(peers, now);
    CHECK(share() < equal / 2);
    s.peerDemandsChanged(peers[2], {}); // the third peer stops reporting
    s.peersChanged(peers, now);
    CHECK(share() == equal);
    s.peerDemandsChanged(peers[2], busy);
    s.peersChanged(peers, now);
    now += options.demand.shiftDelay;
    s.peersChanged(peers, now);
    CHECK(share() < equal / 2);
    s.peersChanged({peers[1], peers[2]}, now); // the peer that sees the demand of "ski" is not fresh
    CHECK(share() > equal); // divided equally by three
    s.peersChanged(std::vector<InstanceId>{}, now); // cut off
    CHECK(share() == 80);
    s.peersChanged(peers, now); // the reports from before the cut are discarded
    CHECK(share() == equal);
}

/// Figures of the request path under overload, next to baselines in the same run.
///
/// usage: request_figures [--seeds N] [--seconds N] [--only TEXT] [--equal-parts 0|1] [--reserved PART] [--out DIR]
/// --only runs the scenarios whose name contains TEXT; --equal-parts 1 never divides slots by demand; --reserved sets FairQueueOptions::reservedFraction.
/// Prints a table and, with --out, writes requests.csv and requests.svg.

#include "figuretable.h"
#include "requestsimulation.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <future>

using namespace Catkin;

namespace
{

struct Deployment
{
    SimSetting setting;
    std::vector<std::string> workspaces;
    /// Kinds with their cost and deadline; least urgent first, most urgent last.
    std::vector<SimStream> kinds;
};

auto deployment(bool bariloche) -> Deployment
{
    auto d = Deployment{};
    auto &config = d.setting.config;
    d.setting.executorsPerDomain = {20, 20, 10};
    d.setting.warmUp = Seconds{3};
    if (bariloche) {
        d.setting.name = "bariloche";
        d.setting.instancesPerDomain = {3, 3, 2};
        d.setting.oneWay = Millis{1};
        d.workspaces = {"fitters", "school", "patrol", "rental"};
        d.kinds = {{.kind = "fit-report", .cost = Millis{150}, .deadline = Millis{5000}},
                   {.kind = "scan-check", .cost = Millis{80}, .deadline = Millis{2000}},
                   {.kind = "pressure-map", .cost = Millis{50}, .deadline = Millis{1000}}};
    } else {
        d.setting.name = "gas";
        d.setting.instancesPerDomain = {3, 2, 2};
        d.setting.oneWay = Millis{1};
        d.workspaces = {"call-centre", "installers", "portal", "recall"};
        d.kinds = {{.kind = "safety-notice", .cost = Millis{100}, .deadline = Millis{5000}},
                   {.kind = "visit-plan", .cost = Millis{200}, .deadline = Millis{3000}},
                   {.kind = "serial-check", .cost = Millis{20}, .deadline = Millis{500}}};
    }
    for (const auto &it : d.workspaces) {
        config.workspaces.push_back({.id = WorkspaceId{it}, .weight = 1, .urgentShare = 0.3});
    }
    for (auto i = std::size_t{0}; i < d.kinds.size(); ++i) {
        const auto urgency = i == 0 ? RequestUrgency::Batch : i + 1 == d.kinds.size() ? RequestUrgency::Urgent : RequestUrgency::Normal;
        config.kinds.push_back({.id = KindId{d.kinds[i].kind}, .weight = 1, .urgency = urgency, .idempotent = true});
    }
    return d;
}

auto totalSlots(const SimSetting &setting) -> double
{
    auto executors = 0;
    for (const auto n : setting.executorsPerDomain) {
        executors += n;
    }
    return static_cast<double>(executors) * setting.slots;
}

/// @return arrivals of @p kind in @p workspace that keep @p load of all slots busy.
auto stream(const Deployment &d, const std::string &workspace, std::size_t kind, double load, int callers) -> SimStream
{
    auto result = d.kinds[kind];
    result.workspace = workspace;
    result.callerPrefix = workspace + "-caller-";
    result.callers = callers;
    result.perSecond = load * totalSlots(d.setting) / std::chrono::duration<double>(result.cost).count();
    return result;
}

/// @return every workspace's usual load: @p load of all slots in total, 25 callers each.
auto usual(const Deployment &d, double load, std::size_t skippedKind) -> std::vector<SimStream>
{
    auto streams = std::vector<SimStream>{};
    const auto kinds = d.kinds.size() - (skippedKind < d.kinds.size() ? 1 : 0);
    for (const auto &workspace : d.workspaces) {
        for (auto kind = std::size_t{0}; kind < d.kinds.size(); ++kind) {
            if (kind != skippedKind) {
                streams.push_back(stream(d, workspace, kind, load / static_cast<double>(kinds * d.workspaces.size()), 25));
            }
        }
    }
    return streams;
}

/// Results of the measured streams taken together.
struct Together
{
    double worstRatio = 0; ///< largest p99 relative to alone
    double goodput = 1; ///< requests answered in time relative to alone; lowest stream
};

auto compare(const SimResult &alone, const SimResult &loaded, const std::vector<SimStream> &streams) -> Together
{
    auto result = Together{};
    for (auto i = std::size_t{0}; i < alone.streams.size(); ++i) {
        // An unanswered request is worse than any latency; the deadline stands for it.
        auto p99 = [&](const SimResult &it) {
            const auto value = it.streams[i].latency(0.99);
            return value < 0 ? static_cast<double>(streams[i].deadline.count()) : value;
        };
        result.worstRatio = std::max(result.worstRatio, p99(loaded) / p99(alone));
        result.goodput = std::min(result.goodput, loaded.streams[i].goodput() / std::max(1e-9, alone.streams[i].goodput()));
    }
    return result;
}

auto policyName(SimPolicy policy) -> const char *
{
    return policy == SimPolicy::Fair ? "fair" : policy == SimPolicy::Fifo ? "fifo" : "fifo, own share";
}

/// One caller asks for 100 times what all others together ask for.
auto heavyCaller(FigureTable &table, const Deployment &d, std::uint64_t seed) -> void
{
    auto streams = usual(d, 0.3, d.kinds.size());
    auto heavy = stream(d, d.workspaces[0], 1, 30, 1);
    heavy.callerPrefix = "heavy-";
    heavy.fromStart = false;
    for (const auto policy : {SimPolicy::Fair, SimPolicy::Fifo, SimPolicy::FifoShare}) {
        const auto alone = simulate(d.setting, streams, policy, seed);
        auto all = streams;
        all.push_back(heavy);
        const auto loaded = simulate(d.setting, all, policy, seed);
        const auto together = compare(alone, loaded, streams);
        table.add({d.setting.name, "one caller at 100x", policyName(policy), "others' p99 / alone, worst kind"}, together.worstRatio, {"<=", 1.5});
        table.add({d.setting.name, "one caller at 100x", policyName(policy), "others' goodput / alone, worst kind"}, together.goodput, {">=", 0.95});
        table.add({d.setting.name, "one caller at 100x", policyName(policy), "utilisation"}, loaded.utilisation, {});
        table.add({d.setting.name, "one caller at 100x", policyName(policy), "executor refusals per attempt"}, loaded.refusedAttempts, {});
        table.add({d.setting.name, "one caller at 100x", policyName(policy), "retries per first attempt"}, loaded.retryShare, {"<=", 0.1});
        table.add({d.setting.name, "one caller at 100x", policyName(policy), "refused by executors, given up / s"},
                  static_cast<double>(loaded.notRunAfterDispatch) / std::chrono::duration<double>(d.setting.length).count(),
                  {});
    }
}

/// One kind asks for 10 times the capacity, in all workspaces.
auto floodedKind(FigureTable &table, const Deployment &d, std::size_t kind, std::uint64_t seed) -> void
{
    const auto name = std::string{kind == 0 ? "least" : "most"} + " urgent kind at 10x";
    const auto others = usual(d, 0.4, kind);
    for (const auto policy : {SimPolicy::Fair, SimPolicy::Fifo, SimPolicy::FifoShare}) {
        const auto alone = simulate(d.setting, others, policy, seed);
        auto all = others;
        for (const auto &workspace : d.workspaces) {
            all.push_back(stream(d, workspace, kind, 10.0 / static_cast<double>(d.workspaces.size()), 25));
            all.back().fromStart = false;
        }
        const auto loaded = simulate(d.setting, all, policy, seed);
        const auto together = compare(alone, loaded, others);
        auto flooded = 0.0;
        for (auto i = others.size(); i < all.size(); ++i) {
            flooded += loaded.streams[i].slotSeconds;
        }
        table.add({d.setting.name, name, policyName(policy), "other kinds' goodput / alone, worst kind"}, together.goodput, {">=", 0.95});
        table.add({d.setting.name, name, policyName(policy), "other kinds' p99 / alone, worst kind"}, together.worstRatio, {});
        table.add({d.setting.name, name, policyName(policy), "utilisation"}, loaded.utilisation, {});
        table.add({d.setting.name, name, policyName(policy), "flooded kind's part of all slots"},
                  flooded / totalSlots(d.setting) / std::chrono::duration<double>(d.setting.length).count(),
                  {});
        table.add({d.setting.name, name, policyName(policy), "executor refusals per attempt"}, loaded.refusedAttempts, {});
        table.add({d.setting.name, name, policyName(policy), "retries per first attempt"}, loaded.retryShare, {"<=", 0.1});
    }
}

/// How the load of the workspaces spreads over the instances.
enum class Spread {
    Even,
    Uneven, ///< each workspace sends a third of the instances three times as much as another third
    Concentrated, ///< the workspace with the highest weight uses two instances only
};

/// Every workspace asks for more than its share (weights 1, 1, 2, 4) on the executors of one region.
auto shares(FigureTable &table, Deployment d, const std::string &name, const std::vector<int> &cutOff, Spread spread, std::uint64_t seed) -> void
{
    d.setting.executorsPerDomain = {25, 25, 0};
    const auto instances = d.setting.instancesPerDomain[0] + d.setting.instancesPerDomain[1] + d.setting.instancesPerDomain[2];
    d.setting.instancesPerDomain = {(instances + 1) / 2, instances / 2, 0};
    d.setting.cutOff = cutOff;
    const auto weights = std::vector<double>{1, 1, 2, 4};
    auto streams = std::vector<SimStream>{};
    for (auto i = std::size_t{0}; i < weights.size(); ++i) {
        d.setting.config.workspaces[i].weight = weights[i];
        auto it = stream(d, d.workspaces[i], 1, 1.0, 25);
        for (auto n = 0; n < instances && spread != Spread::Even; ++n) {
            const auto concentrated = i + 1 == weights.size() && n >= 2 ? 0.0 : 1.0;
            it.instanceWeights.push_back(spread == Spread::Uneven ? 1 + (n + static_cast<int>(i)) % 3 : concentrated);
        }
        streams.push_back(it);
    }
    for (const auto policy : {SimPolicy::Fair, SimPolicy::Fifo, SimPolicy::FifoShare}) {
        const auto result = simulate(d.setting, streams, policy, seed);
        auto total = 0.0;
        for (const auto &it : result.streams) {
            total += it.slotSeconds;
        }
        auto worst = 0.0;
        for (auto i = std::size_t{0}; i < weights.size(); ++i) {
            worst = std::max(worst, std::abs(result.streams[i].slotSeconds / total / (weights[i] / 8) - 1));
        }
        table.add({d.setting.name, name, policyName(policy), "largest deviation from the share by weight"}, worst, {"<=", 0.1});
        table.add({d.setting.name, name, policyName(policy), "utilisation"}, result.utilisation, {});
        table.add({d.setting.name, name, policyName(policy), "executor refusals per attempt"}, result.refusedAttempts, {});
        table.add({d.setting.name, name, policyName(policy), "executor refusals per attempt after the warm-up"}, result.refusedWhenMeasured, {});
        table.add({d.setting.name, name, policyName(policy), "retries per first attempt"}, result.retryShare, {"<=", 0.1});
        table.add({d.setting.name, name, policyName(policy), "refused by executors, given up / s"},
                  static_cast<double>(result.notRunAfterDispatch) / std::chrono::duration<double>(d.setting.length).count(),
                  {});
    }
}

auto allScenarios(const Deployment &d, const std::string &only, std::uint64_t seed) -> FigureTable
{
    auto table = FigureTable{};
    auto everyone = std::vector<int>{};
    for (const auto n : d.setting.instancesPerDomain) {
        for (auto i = 0; i < n; ++i) {
            everyone.push_back(static_cast<int>(everyone.size()));
        }
    }
    auto run = [&](const std::string &name, const std::function<void(const std::string &)> &scenario) {
        if (name.find(only) != std::string::npos) {
            scenario(name);
        }
    };
    auto delayed = d;
    delayed.setting.heartbeatDelay = Millis{250};
    delayed.setting.heartbeatLoss = 0.2;
    auto cut = d;
    cut.setting.cutOffAfter = d.setting.length / 2;
    run("one caller at 100x", [&](const auto &) { heavyCaller(table, d, seed); });
    run("least urgent kind at 10x", [&](const auto &) { floodedKind(table, d, 0, seed); });
    run("most urgent kind at 10x", [&](const auto &) { floodedKind(table, d, d.kinds.size() - 1, seed); });
    run("shares, even load", [&](const auto &name) { shares(table, d, name, {}, Spread::Even, seed); });
    run("shares, uneven load", [&](const auto &name) { shares(table, d, name, {}, Spread::Uneven, seed); });
    run("shares, one workspace on 2 instances", [&](const auto &name) { shares(table, d, name, {}, Spread::Concentrated, seed); });
    run("shares, one workspace on 2 instances, heartbeats late and lost",
        [&](const auto &name) { shares(table, delayed, name, {}, Spread::Concentrated, seed); });
    run("shares, one workspace on 2 instances, one of them cut off half-way",
        [&](const auto &name) { shares(table, cut, name, {0}, Spread::Concentrated, seed); });
    run("shares, 2 instances cut off", [&](const auto &name) { shares(table, d, name, {0, 1}, Spread::Uneven, seed); });
    run("shares, all cut off", [&](const auto &name) { shares(table, d, name, everyone, Spread::Uneven, seed); });
    return table;
}

}

auto main(int argc, char **argv) -> int
{
    auto seeds = 5;
    auto seconds = 10;
    auto out = std::string{};
    auto only = std::string{};
    auto equalParts = false;
    auto reserved = FairQueueOptions{}.reservedFraction;
    for (auto i = 1; i + 1 < argc; i += 2) {
        if (std::strcmp(argv[i], "--seeds") == 0) {
            seeds = std::max(1, std::atoi(argv[i + 1]));
        } else if (std::strcmp(argv[i], "--seconds") == 0) {
            seconds = std::max(1, std::atoi(argv[i + 1]));
        } else if (std::strcmp(argv[i], "--only") == 0) {
            only = argv[i + 1];
        } else if (std::strcmp(argv[i], "--equal-parts") == 0) {
            equalParts = std::atoi(argv[i + 1]) != 0;
        } else if (std::strcmp(argv[i], "--reserved") == 0) {
            reserved = std::atof(argv[i + 1]);
        } else if (std::strcmp(argv[i], "--out") == 0) {
            out = argv[i + 1];
        }
    }
    auto table = FigureTable{};
    for (const auto bariloche : {true, false}) {
        auto d = deployment(bariloche);
        d.setting.length = Seconds{seconds};
        d.setting.options.queue.reservedFraction = reserved;
        // A shortfall never exceeds all slots.
        d.setting.options.demand.shiftThreshold = equalParts ? 2 : d.setting.options.demand.shiftThreshold;
        // Seeds are independent; at most four run at once.
        for (auto first = 1; first <= seeds; first += 4) {
            auto runs = std::vector<std::future<FigureTable>>{};
            for (auto seed = first; seed <= std::min(seeds, first + 3); ++seed) {
                runs.push_back(std::async(std::launch::async, allScenarios, d, only, static_cast<std::uint64_t>(seed)));
            }
            for (auto &run : runs) {
                table.merge(run.get());
            }
        }
    }
    table.print();
    if (!out.empty() && !(table.writeCsv(out + "/requests.csv") && table.writeSvg(out + "/requests.svg"))) {
        std::fprintf(stderr, "cannot write to %s\n", out.c_str());
        return 1;
    }
    return 0;
}

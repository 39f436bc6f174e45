#include "policy/poolplacement.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <tuple>

namespace Catkin
{

namespace
{

/// @return how many tasks of the step the worker can take; at most @p count.
auto copiesAt(const WorkerCandidate &it, const PoolStep &step, int count) -> int
{
    const auto limit = step.maxPerWorker > 0 ? std::min(count, step.maxPerWorker - it.placed) : count;
    return limit <= 0 ? 0 : copiesThatFit(step.perTask, it.available, limit);
}

/// Order in which workers are filled: those not suspect first, then by lowest cost, by what has been learned, and by least available capacity.
auto fillsBefore(const WorkerCandidate &a, const WorkerCandidate &b) -> bool
{
    if (a.suspect != b.suspect) {
        return b.suspect;
    }
    if (a.cost != b.cost) {
        return a.cost < b.cost;
    }
    if (a.avoid != b.avoid) {
        return a.avoid < b.avoid;
    }
    if (a.available.accelerators != b.available.accelerators) {
        return a.available.accelerators < b.available.accelerators;
    }
    if (a.available.cpuMillis != b.available.cpuMillis) {
        return a.available.cpuMillis < b.available.cpuMillis;
    }
    return a.worker < b.worker;
}

/// Fills the workers at @p indices in the order of fillsBefore().
auto fill(const std::vector<WorkerCandidate> &candidates, std::vector<std::size_t> indices, const PoolStep &step, int count) -> std::vector<std::size_t>
{
    std::sort(indices.begin(), indices.end(), [&](std::size_t a, std::size_t b) { return fillsBefore(candidates[a], candidates[b]); });
    auto chosen = std::vector<std::size_t>{};
    for (const auto it : indices) {
        const auto n = copiesAt(candidates[it], step, count - static_cast<int>(chosen.size()));
        chosen.insert(chosen.end(), static_cast<std::size_t>(n), it);
        if (static_cast<int>(chosen.size()) == count) {
            break;
        }
    }
    return chosen;
}

struct RackChoice
{
    std::vector<std::size_t> indices;
    std::int64_t fit = 0; ///< tasks that fit
    bool suspect = false; ///< fits only with suspect workers
    double cost = 0.0;
};

auto rackChoices(const std::vector<WorkerCandidate> &candidates, const PoolStep &step, int count) -> std::map<std::string, RackChoice>
{
    auto racks = std::map<std::string, RackChoice>{};
    for (auto i = std::size_t{0}; i < candidates.size(); ++i) {
        const auto n = copiesAt(candidates[i], step, count);
        if (n > 0) {
            auto &rack = racks[candidates[i].rack];
            rack.indices.push_back(i);
            rack.fit += n;
        }
    }
    return racks;
}

auto costOf(const std::vector<WorkerCandidate> &candidates, std::vector<std::size_t> chosen) -> double
{
    std::sort(chosen.begin(), chosen.end());
    chosen.erase(std::unique(chosen.begin(), chosen.end()), chosen.end());
    return std::accumulate(chosen.begin(), chosen.end(), 0.0, [&](double sum, std::size_t it) { return sum + candidates[it].cost; });
}

auto usesSuspect(const std::vector<WorkerCandidate> &candidates, const std::vector<std::size_t> &chosen) -> bool
{
    return std::any_of(chosen.begin(), chosen.end(), [&](std::size_t it) { return candidates[it].suspect; });
}

/// @return workers of one rack that take the whole group, or nothing. Prefers the data's rack, then racks without suspect workers,
/// then the lowest cost, then the least available capacity.
auto bestRack(const std::vector<WorkerCandidate> &candidates, const PoolStep &step, int count) -> std::optional<std::vector<std::size_t>>
{
    auto best = std::optional<std::vector<std::size_t>>{};
    auto bestRank = std::tuple<bool, bool, double, std::int64_t>{};
    for (const auto &[name, rack] : rackChoices(candidates, step, count)) {
        if (rack.fit < count) {
            continue;
        }
        auto chosen = fill(candidates, rack.indices, step, count);
        const auto remote = !step.dataRack.empty() && name != step.dataRack;
        const auto rank = std::tuple{remote, usesSuspect(candidates, chosen), costOf(candidates, chosen), rack.fit};
        if (!best || rank < bestRank) {
            best = std::move(chosen);
            bestRank = rank;
        }
    }
    return best;
}

auto allIndices(const std::vector<WorkerCandidate> &candidates) -> std::vector<std::size_t>
{
    auto all = std::vector<std::size_t>(candidates.size());
    std::iota(all.begin(), all.end(), std::size_t{0});
    return all;
}

auto inDataRack(const std::vector<WorkerCandidate> &candidates, const PoolStep &step, bool inside) -> std::vector<std::size_t>
{
    auto out = allIndices(candidates);
    std::erase_if(out, [&](std::size_t it) { return (candidates[it].rack == step.dataRack) != inside; });
    return out;
}

}

auto chooseForSome(const std::vector<WorkerCandidate> &candidates, const PoolStep &step, int count) -> std::vector<std::size_t>
{
    if (step.dataRack.empty()) {
        return fill(candidates, allIndices(candidates), step, count);
    }
    auto chosen = fill(candidates, inDataRack(candidates, step, true), step, count);
    const auto rest = fill(candidates, inDataRack(candidates, step, false), step, count - static_cast<int>(chosen.size()));
    chosen.insert(chosen.end(), rest.begin(), rest.end());
    return chosen;
}

auto chooseWorkers(const std::vector<WorkerCandidate> &candidates, const PoolStep &step, int count, Spread spread) -> std::optional<std::vector<std::size_t>>
{
    if (spread == Spread::OneRack) {
        return bestRack(candidates, step, count);
    }
    auto chosen = spread == Spread::DataRack ? chooseForSome(candidates, step, count) : fill(candidates, allIndices(candidates), step, count);
    if (static_cast<int>(chosen.size()) < count) {
        return std::nullopt;
    }
    return chosen;
}

}

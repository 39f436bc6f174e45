#include "policy/poolplacement.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <tuple>

namespace Catkin
{

namespace
{

/// How many tasks of the step one worker takes.
auto copiesAt(const WorkerRoom &it, const PoolStep &step, int count) -> int
{
    const auto limit = step.maxPerWorker > 0 ? std::min(count, step.maxPerWorker - it.placed) : count;
    return limit <= 0 ? 0 : copiesThatFit(step.perTask, it.room, limit);
}

/// Order in which workers are filled: sound ones first, cheap room first, then the least room.
auto fillsBefore(const WorkerRoom &a, const WorkerRoom &b) -> bool
{
    if (a.suspect != b.suspect) {
        return b.suspect;
    }
    if (a.cost != b.cost) {
        return a.cost < b.cost;
    }
    if (a.room.accelerators != b.room.accelerators) {
        return a.room.accelerators < b.room.accelerators;
    }
    if (a.room.cpuMillis != b.room.cpuMillis) {
        return a.room.cpuMillis < b.room.cpuMillis;
    }
    return a.worker < b.worker;
}

/// Fills the candidates in order.
auto fill(const std::vector<WorkerRoom> &rooms, std::vector<std::size_t> candidates, const PoolStep &step, int count) -> std::vector<std::size_t>
{
    std::sort(candidates.begin(), candidates.end(), [&](std::size_t a, std::size_t b) { return fillsBefore(rooms[a], rooms[b]); });
    auto chosen = std::vector<std::size_t>{};
    for (const auto it : candidates) {
        const auto n = copiesAt(rooms[it], step, count - static_cast<int>(chosen.size()));
        chosen.insert(chosen.end(), static_cast<std::size_t>(n), it);
        if (static_cast<int>(chosen.size()) == count) {
            break;
        }
    }
    return chosen;
}

struct RackChoice
{
    std::vector<std::size_t> candidates;
    std::int64_t fit = 0; ///< tasks that fit
    bool suspect = false; ///< fits only with suspect workers
    double cost = 0.0;
};

auto rackChoices(const std::vector<WorkerRoom> &rooms, const PoolStep &step, int count) -> std::map<std::string, RackChoice>
{
    auto racks = std::map<std::string, RackChoice>{};
    for (auto i = std::size_t{0}; i < rooms.size(); ++i) {
        const auto n = copiesAt(rooms[i], step, count);
        if (n > 0) {
            auto &rack = racks[rooms[i].rack];
            rack.candidates.push_back(i);
            rack.fit += n;
        }
    }
    return racks;
}

auto costOf(const std::vector<WorkerRoom> &rooms, std::vector<std::size_t> chosen) -> double
{
    std::sort(chosen.begin(), chosen.end());
    chosen.erase(std::unique(chosen.begin(), chosen.end()), chosen.end());
    return std::accumulate(chosen.begin(), chosen.end(), 0.0, [&](double sum, std::size_t it) { return sum + rooms[it].cost; });
}

auto usesSuspect(const std::vector<WorkerRoom> &rooms, const std::vector<std::size_t> &chosen) -> bool
{
    return std::any_of(chosen.begin(), chosen.end(), [&](std::size_t it) { return rooms[it].suspect; });
}

/// The rack that takes the whole group: without suspect workers, at the least cost, leaving the least room.
auto bestRack(const std::vector<WorkerRoom> &rooms, const PoolStep &step, int count) -> std::optional<std::vector<std::size_t>>
{
    auto best = std::optional<std::vector<std::size_t>>{};
    auto bestRank = std::tuple<bool, bool, double, std::int64_t>{};
    for (const auto &[name, rack] : rackChoices(rooms, step, count)) {
        if (rack.fit < count) {
            continue;
        }
        auto chosen = fill(rooms, rack.candidates, step, count);
        const auto remote = !step.dataRack.empty() && name != step.dataRack;
        const auto rank = std::tuple{remote, usesSuspect(rooms, chosen), costOf(rooms, chosen), rack.fit};
        if (!best || rank < bestRank) {
            best = std::move(chosen);
            bestRank = rank;
        }
    }
    return best;
}

auto allCandidates(const std::vector<WorkerRoom> &rooms) -> std::vector<std::size_t>
{
    auto all = std::vector<std::size_t>(rooms.size());
    std::iota(all.begin(), all.end(), std::size_t{0});
    return all;
}

auto inDataRack(const std::vector<WorkerRoom> &rooms, const PoolStep &step, bool inside) -> std::vector<std::size_t>
{
    auto out = allCandidates(rooms);
    std::erase_if(out, [&](std::size_t it) { return (rooms[it].rack == step.dataRack) != inside; });
    return out;
}

}

auto chooseForSome(const std::vector<WorkerRoom> &rooms, const PoolStep &step, int count) -> std::vector<std::size_t>
{
    if (step.dataRack.empty()) {
        return fill(rooms, allCandidates(rooms), step, count);
    }
    auto chosen = fill(rooms, inDataRack(rooms, step, true), step, count);
    const auto rest = fill(rooms, inDataRack(rooms, step, false), step, count - static_cast<int>(chosen.size()));
    chosen.insert(chosen.end(), rest.begin(), rest.end());
    return chosen;
}

auto chooseWorkers(const std::vector<WorkerRoom> &rooms, const PoolStep &step, int count, Spread spread) -> std::optional<std::vector<std::size_t>>
{
    if (spread == Spread::OneRack) {
        return bestRack(rooms, step, count);
    }
    auto chosen = spread == Spread::DataRack ? chooseForSome(rooms, step, count) : fill(rooms, allCandidates(rooms), step, count);
    if (static_cast<int>(chosen.size()) < count) {
        return std::nullopt;
    }
    return chosen;
}

}

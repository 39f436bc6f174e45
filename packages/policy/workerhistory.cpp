#include "policy/workerhistory.h"

#include <algorithm>
#include <map>
#include <optional>

namespace Catkin
{

namespace
{

/// In half heartbeats. Less than the three heartbeats of silence after which the store drops an entry, by more than the error of
/// a clock.
constexpr auto departureHalfHeartbeats = 5;
/// A worker's clock may be 2% slow.
constexpr auto clockDriftFactor = 1.02;

/// A worker's clock at one of its writes.
struct Reading
{
    std::size_t at = 0; ///< index in the history
    Incarnation born;
    WorkerTime clock;
};
using Readings = std::map<WorkerId, std::vector<Reading>>;

/// Indices of a worker's last write and of the removal that follows it.
struct Gap
{
    std::size_t lastWrite = 0;
    std::size_t removal = 0;
};

/// @return an upper bound of the gap's duration by the worker's clock; nothing if its writes do not enclose the gap.
auto boundOf(const std::vector<Reading> &readings, const Gap &gap) -> std::optional<Millis>
{
    const auto behind = [](const Reading &it, std::size_t at) { return it.at < at; };
    const auto first = std::lower_bound(readings.begin(), readings.end(), gap.lastWrite, behind);
    const auto next = std::lower_bound(first, readings.end(), gap.removal, behind);
    if (first == readings.begin() || readings.end() - next < 2) {
        return std::nullopt;
    }
    const auto &before = *(first - 1);
    const auto &after = *(next + 1);
    if (before.born != after.born || after.clock < before.clock) {
        return std::nullopt;
    }
    return Millis{static_cast<std::int64_t>(static_cast<double>(after.clock.value - before.clock.value) * clockDriftFactor)};
}

auto isCertain(const Readings &readings, const WorkerId &worker, const Gap &gap, Millis heartbeat) -> bool
{
    return std::any_of(readings.begin(), readings.end(), [&](const auto &it) {
        const auto bound = it.first == worker ? std::nullopt : boundOf(it.second, gap);
        return bound && *bound * 2 < heartbeat * departureHalfHeartbeats;
    });
}

}

auto departuresIn(const std::vector<WorkerWrite> &history, Millis heartbeat) -> std::vector<WorkerId>
{
    auto readings = Readings{};
    auto announced = std::map<WorkerId, std::size_t>{}; ///< last write of each worker that was draining in it
    auto gaps = std::map<WorkerId, Gap>{};
    for (auto i = std::size_t{0}; i < history.size(); ++i) {
        const auto &it = history[i];
        if (!it.removal) {
            readings[it.id].push_back({.at = i, .born = it.born, .clock = it.clock});
            gaps.erase(it.id);
            announced.erase(it.id);
            if (it.draining) {
                announced[it.id] = i;
            }
        } else if (const auto last = announced.find(it.id); last != announced.end()) {
            gaps[it.id] = {.lastWrite = last->second, .removal = i};
            announced.erase(last);
        }
    }
    auto out = std::vector<WorkerId>{};
    for (const auto &[id, gap] : gaps) {
        if (isCertain(readings, id, gap, heartbeat)) {
            out.push_back(id);
        }
    }
    return out;
}

auto lastWritesIn(const std::vector<WorkerWrite> &history) -> std::map<WorkerId, WorkerWrite>
{
    auto out = std::map<WorkerId, WorkerWrite>{};
    for (const auto &it : history) {
        if (!it.removal) {
            out[it.id] = it;
        }
    }
    return out;
}

}

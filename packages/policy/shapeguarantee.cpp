#include "policy/shapeguarantee.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <tuple>

namespace Catkin
{

namespace
{

/// Most choices of workers that are tried for one move. Each costs a fit of all moved units.
constexpr auto maxTries = std::size_t{16};

auto copiesAt(const Resources &room, const ShapeNeed &need) -> int
{
    const auto limit = need.maxPerWorker > 0 ? std::min(need.maxPerWorker, need.tasks) : need.tasks;
    const auto available = Resources{.cpuMillis = std::max<std::int64_t>(room.cpuMillis, 0),
                                     .memoryMb = std::max<std::int64_t>(room.memoryMb, 0),
                                     .accelerators = std::max<std::int64_t>(room.accelerators, 0)};
    return copiesThatFit(need.perTask, available, limit);
}

/// The units to stop so that one worker takes as many tasks as it can.
struct Clearing
{
    std::size_t worker = 0;
    std::vector<std::size_t> units; ///< the smallest loss first
    double loss = 0.0;
};

/// @return the smallest loss that makes room for one more task on the worker, or nothing.
auto clear(const std::vector<ShapeWorker> &workers, const std::vector<ShapeUnit> &units, const ShapeNeed &need, std::size_t worker) -> std::optional<Clearing>
{
    auto here = std::vector<std::size_t>{};
    for (auto i = std::size_t{0}; i < units.size(); ++i) {
        if (std::any_of(units[i].parts.begin(), units[i].parts.end(), [&](const auto &it) { return it.worker == worker; })) {
            here.push_back(i);
        }
    }
    std::sort(here.begin(), here.end(), [&](std::size_t a, std::size_t b) { return std::tie(units[a].loss, a) < std::tie(units[b].loss, b); });
    auto room = workers[worker].room;
    auto out = Clearing{.worker = worker};
    const auto add = [&](std::size_t unit, bool isAdded) {
        for (const auto &part : units[unit].parts) {
            if (part.worker == worker) {
                room += isAdded ? part.resources : Resources{};
                room -= isAdded ? Resources{} : part.resources;
            }
        }
    };
    for (const auto it : here) {
        if (copiesAt(room, need) > 0) {
            break;
        }
        add(it, true);
        out.units.push_back(it);
    }
    if (copiesAt(room, need) == 0) {
        return std::nullopt;
    }
    // The last unit may have made those before it unnecessary; the largest loss is spared first.
    for (auto i = out.units.size(); i-- > 0;) {
        add(out.units[i], false);
        if (copiesAt(room, need) > 0) {
            out.units.erase(out.units.begin() + static_cast<std::ptrdiff_t>(i));
        } else {
            add(out.units[i], true);
        }
    }
    out.loss = std::accumulate(out.units.begin(), out.units.end(), 0.0, [&](double sum, std::size_t it) { return sum + units[it].loss; });
    return out;
}

/// Takes room for the tasks of @p need, from workers in the order of @p order.
auto takeRoom(std::vector<Resources> &room, const ShapeNeed &need, const std::vector<std::size_t> &order) -> std::vector<std::size_t>
{
    auto out = std::vector<std::size_t>{};
    for (const auto worker : order) {
        const auto copies = need.allowed[worker] ? copiesAt(room[worker], need) : 0;
        for (auto n = copies; n > 0 && static_cast<int>(out.size()) < need.tasks; --n) {
            room[worker] -= need.perTask;
            out.push_back(worker);
        }
    }
    return out;
}

/// @return whether the parts of all units find room, the largest first, on the fullest worker that has it.
auto fitElsewhere(std::vector<Resources> room, const std::vector<ShapeUnit> &units, const std::set<std::size_t> &moved) -> bool
{
    auto parts = std::vector<std::pair<const ShapeUnit *, const ShapeUnit::Part *>>{};
    for (const auto it : moved) {
        for (const auto &part : units[it].parts) {
            parts.emplace_back(&units[it], &part);
        }
    }
    std::stable_sort(
        parts.begin(), parts.end(), [](const auto &a, const auto &b) { return a.second->resources.accelerators > b.second->resources.accelerators; });
    return std::all_of(parts.begin(), parts.end(), [&](const auto &it) {
        const auto need = ShapeNeed{.perTask = it.second->resources, .tasks = 1};
        auto best = room.size();
        for (auto i = std::size_t{0}; i < room.size(); ++i) {
            if (it.first->allowed[i] && copiesAt(room[i], need) > 0 && (best == room.size() || room[i].accelerators < room[best].accelerators)) {
                best = i;
            }
        }
        if (best == room.size()) {
            return false;
        }
        room[best] -= it.second->resources;
        return true;
    });
}

}

auto wholeWorkersNeeded(const std::vector<std::int64_t> &unused, std::int64_t perWorker) -> int
{
    auto sum = std::int64_t{0};
    for (const auto it : unused) {
        if (it > 0 && perWorker > 0) {
            // Two tasks of up to half a worker share one with other work.
            sum += it / perWorker + (it % perWorker * 2 > perWorker ? 1 : 0);
        }
    }
    return static_cast<int>(sum);
}

auto chooseMove(const std::vector<ShapeWorker> &workers, const std::vector<ShapeUnit> &units, const ShapeNeed &need) -> std::optional<ShapeMove>
{
    auto clearings = std::vector<Clearing>{};
    auto ready = std::vector<std::size_t>{};
    for (auto i = std::size_t{0}; i < workers.size(); ++i) {
        if (!need.allowed[i]) {
            continue;
        }
        if (copiesAt(workers[i].room, need) > 0) {
            ready.push_back(i);
        } else if (auto it = clear(workers, units, need, i)) {
            clearings.push_back(std::move(*it));
        }
    }
    std::sort(clearings.begin(), clearings.end(), [](const Clearing &a, const Clearing &b) { return std::tie(a.loss, a.worker) < std::tie(b.loss, b.worker); });
    for (auto first = std::size_t{0}; first < std::min(clearings.size(), maxTries); ++first) {
        auto room = std::vector<Resources>{};
        for (const auto &it : workers) {
            room.push_back(it.room);
        }
        auto moved = std::set<std::size_t>{};
        auto chosen = takeRoom(room, need, ready);
        for (auto i = first; i < clearings.size() && static_cast<int>(chosen.size()) < need.tasks; ++i) {
            for (const auto unit : clearings[i].units) {
                if (moved.insert(unit).second) {
                    for (const auto &part : units[unit].parts) {
                        room[part.worker] += part.resources;
                    }
                }
            }
            auto rest = need;
            rest.tasks -= static_cast<int>(chosen.size());
            const auto more = takeRoom(room, rest, {clearings[i].worker});
            chosen.insert(chosen.end(), more.begin(), more.end());
        }
        if (static_cast<int>(chosen.size()) < need.tasks || !fitElsewhere(room, units, moved)) {
            continue;
        }
        auto loss = 0.0;
        for (const auto it : moved) {
            loss += units[it].loss;
        }
        return ShapeMove{.units = {moved.begin(), moved.end()}, .workers = std::move(chosen), .loss = loss};
    }
    return std::nullopt;
}

}

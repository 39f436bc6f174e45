#include "policy/placement.h"

#include <algorithm>
#include <numeric>

namespace Catkin
{

namespace
{

/// A maximal aligned block of usable slots.
struct Hole
{
    int worker = 0;
    int first = 0;
    int level = 0;
    int key = 0; ///< level of the largest block that using the hole breaks, counting blocks of whole workers
};

struct Fill
{
    std::int64_t cost = 0;
    std::vector<SlotBlock> members;
};

auto blockedOn(BlockedSlots blocked, int worker) -> SlotMask
{
    return worker < static_cast<int>(blocked.size()) ? blocked[worker] : 0;
}

/// Appends the holes of @p mask with at least 2^@p atLeast slots. Breaking a hole is judged by the block of @p base
/// around it: free slots for reclaimable gangs, reclaimable and free slots for others.
auto findHoles(const Topology &topology, int index, SlotMask mask, SlotMask base, int atLeast, std::vector<Hole> &holes) -> void
{
    if (mask == 0) {
        return;
    }
    const auto starts = blockStarts(mask);
    const auto around = mask == base ? starts : blockStarts(base);
    const auto workerLevel = topology.workerLevel();
    for (auto level = atLeast; level <= workerLevel; ++level) {
        for (auto left = starts[level]; left != 0; left &= left - 1) {
            const auto first = std::countr_zero(left);
            if (level < workerLevel && ((starts[level + 1] >> (first & ~((2 << level) - 1))) & 1U) != 0) {
                continue; // part of a larger hole
            }
            auto key = level;
            while (key < workerLevel && ((around[key + 1] >> (first & ~((2 << key) - 1))) & 1U) != 0) {
                ++key;
            }
            if (key == workerLevel) {
                // Breaking a whole worker also breaks the blocks of 2^q workers that the rack forms just exactly.
                const auto whole = std::max(1, topology.racks()[topology.workers()[index].rack].wholeWorkers);
                key += std::countr_zero(static_cast<unsigned>(whole));
            }
            holes.push_back({index, first, level, std::min(key, shapeLevels)});
        }
    }
}

/// Fills the holes of @p group, those first whose use breaks the smallest blocks.
auto fillGroup(const Topology &topology, const GangRequest &gang, BlockedSlots blocked, std::span<const int> group, std::vector<Hole> &scratch)
    -> std::optional<Fill>
{
    const auto taskLevel = levelOf(gang.slotsPerTask);
    scratch.clear();
    auto room = 0;
    for (auto index : group) {
        const auto &worker = topology.workers()[index];
        const auto mask = worker.free & ~blockedOn(blocked, index) & (gang.reclaimable ? ~SlotMask{0} : ~worker.inShapes);
        const auto before = scratch.size();
        findHoles(topology, index, mask, gang.reclaimable ? mask : worker.available, taskLevel, scratch);
        for (auto i = before; i < scratch.size(); ++i) {
            room += 1 << (scratch[i].level - taskLevel);
        }
    }
    if (room < gang.tasks) {
        return std::nullopt;
    }
    std::sort(scratch.begin(), scratch.end(), [](const auto &a, const auto &b) {
        return std::tuple{a.key, a.level, a.worker, a.first} < std::tuple{b.key, b.level, b.worker, b.first};
    });
    auto fill = Fill{};
    auto left = gang.tasks;
    for (const auto &hole : scratch) {
        const auto tasks = std::min(left, 1 << (hole.level - taskLevel));
        for (auto i = 0; i < tasks; ++i) {
            fill.members.push_back({hole.worker, blockMask(hole.first + (i << taskLevel), gang.slotsPerTask)});
        }
        fill.cost += (std::int64_t{1} << hole.key) - (std::int64_t{tasks} << taskLevel);
        left -= tasks;
        if (left == 0) {
            break;
        }
    }
    // Among equal costs the fuller group is preferred, so that empty racks and workers stay empty.
    fill.cost = fill.cost * 4096 + std::min(4095, room - gang.tasks);
    return fill;
}

template<typename Visit>
auto forEachGroup(const Topology &topology, Adjacency adjacency, Visit visit) -> void
{
    if (adjacency == Adjacency::Any) {
        auto all = std::vector<int>{};
        for (const auto &rack : topology.racks()) {
            all.insert(all.end(), rack.workers.begin(), rack.workers.end());
        }
        visit(std::span<const int>{all});
        return;
    }
    for (const auto &rack : topology.racks()) {
        if (adjacency == Adjacency::Rack) {
            visit(std::span<const int>{rack.workers});
            continue;
        }
        for (const auto &worker : rack.workers) {
            visit(std::span<const int>{&worker, 1});
        }
    }
}

auto findDisplaced(const Topology &topology, const std::vector<SlotBlock> &members) -> std::vector<int>
{
    auto displaced = std::vector<int>{};
    for (const auto &member : members) {
        for (const auto &use : topology.workers()[member.worker].uses) {
            if ((use.mask & member.mask) != 0) {
                displaced.push_back(use.owner);
            }
        }
    }
    std::sort(displaced.begin(), displaced.end());
    displaced.erase(std::unique(displaced.begin(), displaced.end()), displaced.end());
    return displaced;
}

/// One block that a preempting gang could use.
struct PricedBlock
{
    int price = 0; ///< slots of borrowers inside
    int key = 0;
    SlotBlock block;
};

/// @return blocks for the whole gang in one group with few displaced allocations, and the slots that those hold.
auto cheapestBlocks(const Topology &topology, const GangRequest &gang, BlockedSlots blocked, std::span<const int> group) -> std::optional<Fill>
{
    const auto taskLevel = levelOf(gang.slotsPerTask);
    const auto size = 1 << taskLevel;
    auto priced = std::vector<PricedBlock>{};
    for (auto index : group) {
        const auto &worker = topology.workers()[index];
        const auto mask = (worker.free | (worker.reclaimableSlots & ~worker.urgentSlots)) & ~blockedOn(blocked, index)
                          & (gang.reclaimable ? ~SlotMask{0} : ~worker.inShapes);
        for (auto left = blockStarts(mask)[taskLevel]; left != 0; left &= left - 1) {
            const auto first = std::countr_zero(left);
            const auto price = std::popcount(worker.reclaimableSlots & ~worker.stopping & blockMask(first, size));
            priced.push_back({price, std::popcount(worker.free), {index, blockMask(first, gang.slotsPerTask)}});
        }
    }
    if (static_cast<int>(priced.size()) < gang.tasks) {
        return std::nullopt;
    }
    const auto cheaper = [](const PricedBlock &a, const PricedBlock &b) {
        return std::tuple{a.price, a.key, a.block.worker, a.block.mask} < std::tuple{b.price, b.key, b.block.worker, b.block.mask};
    };
    auto fill = Fill{};
    auto displaced = std::vector<int>{};
    const auto isDisplaced = [&](int owner) { return std::find(displaced.begin(), displaced.end(), owner) != displaced.end(); };
    const auto isTaken = [&](const SlotBlock &block) {
        return std::any_of(fill.members.begin(), fill.members.end(), [&](const auto &m) { return m.worker == block.worker && (m.mask & block.mask) != 0; });
    };
    auto sorted = std::size_t{0};
    for (auto i = std::size_t{0}; i < priced.size() && static_cast<int>(fill.members.size()) < gang.tasks; ++i) {
        if (i == sorted) {
            // Mostly the cheapest few blocks are enough, so only a part is sorted at a time.
            sorted = std::min(priced.size(), std::max(std::size_t{256}, sorted * 4));
            std::partial_sort(priced.begin() + static_cast<std::ptrdiff_t>(i), priced.begin() + static_cast<std::ptrdiff_t>(sorted), priced.end(), cheaper);
        }
        const auto &candidate = priced[i];
        if (isTaken(candidate.block)) {
            continue;
        }
        fill.members.push_back(candidate.block);
        // A preempted gang frees all its blocks, so these are used before another gang is preempted.
        for (const auto owner : findDisplaced(topology, {candidate.block})) {
            if (isDisplaced(owner) || topology.allocation(owner).hold == Hold::Stopping) {
                continue;
            }
            displaced.push_back(owner);
            fill.cost += topology.allocation(owner).slots();
            for (const auto &freed : topology.allocation(owner).blocks) {
                const auto first = freed.worker < 0 ? 0 : std::countr_zero(freed.mask) & ~(size - 1);
                const auto block = SlotBlock{freed.worker, blockMask(first, gang.slotsPerTask)};
                if (freed.worker < 0 || static_cast<int>(fill.members.size()) == gang.tasks || isTaken(block)
                    || std::none_of(group.begin(), group.end(), [&](int w) { return w == block.worker; })) {
                    continue;
                }
                const auto &worker = topology.workers()[block.worker];
                const auto usable = (worker.free | (worker.reclaimableSlots & ~worker.urgentSlots)) & ~blockedOn(blocked, block.worker)
                                    & (gang.reclaimable ? ~SlotMask{0} : ~worker.inShapes);
                const auto others = findDisplaced(topology, {block});
                if ((blockMask(first, size) & ~usable) == 0 && std::all_of(others.begin(), others.end(), isDisplaced)) {
                    fill.members.push_back(block);
                }
            }
        }
    }
    return fill;
}

}

auto gangLevel(const GangRequest &gang, int workerSlots) -> int
{
    const auto taskLevel = levelOf(gang.slotsPerTask);
    const auto perWorker = workerSlots >> taskLevel;
    if (perWorker == 0) {
        return shapeLevels;
    }
    if (gang.tasks <= perWorker) {
        return levelOf(gang.tasks << taskLevel);
    }
    return levelOf(workerSlots) + levelOf((gang.tasks + perWorker - 1) / perWorker);
}

auto placeFree(const Topology &topology, const GangRequest &gang, BlockedSlots blocked) -> std::optional<Placement>
{
    if (topology.freeSlots() < gang.tasks * gang.slotsPerTask) {
        return std::nullopt;
    }
    auto fills = std::vector<Fill>{};
    auto scratch = std::vector<Hole>{};
    forEachGroup(topology, gang.adjacency, [&](std::span<const int> group) {
        auto fill = fillGroup(topology, gang, blocked, group, scratch);
        if (!fill) {
            return;
        }
        if (gang.reclaimable && !fills.empty()) {
            if (fill->cost < fills.front().cost) {
                fills.front() = std::move(*fill);
            }
            return;
        }
        fills.push_back(std::move(*fill));
    });
    std::stable_sort(fills.begin(), fills.end(), [](const auto &a, const auto &b) { return a.cost < b.cost; });
    for (auto &fill : fills) {
        // A borrower that can be reclaimed never makes a guarantee unformable.
        if (gang.reclaimable || topology.admissible(topology.formableLoss(fill.members))) {
            return Placement{.members = std::move(fill.members)};
        }
    }
    return std::nullopt;
}

auto placePreempting(const Topology &topology, const GangRequest &gang, BlockedSlots blocked) -> std::optional<Placement>
{
    auto fills = std::vector<Fill>{};
    forEachGroup(topology, gang.adjacency, [&](std::span<const int> group) {
        if (auto fill = cheapestBlocks(topology, gang, blocked, group)) {
            fills.push_back(std::move(*fill));
        }
    });
    std::stable_sort(fills.begin(), fills.end(), [](const auto &a, const auto &b) { return a.cost < b.cost; });
    for (auto &fill : fills) {
        if (auto placement = placeAt(topology, gang, std::move(fill.members))) {
            return placement;
        }
    }
    return std::nullopt;
}

auto placeAt(const Topology &topology, const GangRequest &gang, std::vector<SlotBlock> members) -> std::optional<Placement>
{
    for (const auto &member : members) {
        const auto &worker = topology.workers()[member.worker];
        if ((member.mask & ~(worker.free | worker.reclaimableSlots)) != 0 || (!gang.reclaimable && (member.mask & worker.inShapes) != 0)) {
            return std::nullopt;
        }
    }
    if (!gang.reclaimable && !topology.admissible(topology.formableLoss(members))) {
        return std::nullopt;
    }
    auto displaced = findDisplaced(topology, members);
    return Placement{.members = std::move(members), .displaced = std::move(displaced)};
}

auto applyPlacement(Topology &topology, const GangRequest &gang, const Placement &placement, const JobId &job, MonoTime now) -> int
{
    auto placedShapes = placement.placedShapes;
    for (const auto &shape : placement.newShapes) {
        placedShapes.push_back(topology.placeShape(gang.workspace, shape.level, shape.blocks));
    }
    const auto hold = placement.covered ? Hold::Covered : gang.reclaimable ? Hold::Reclaimable : Hold::Fixed;
    return topology.allocate({.job = job,
                              .workspace = gang.workspace,
                              .urgency = gang.urgency,
                              .reclaimable = gang.reclaimable,
                              .level = gangLevel(gang, topology.workerSlots()),
                              .movable = gang.movable,
                              .backfill = placement.backfill,
                              .hold = hold,
                              .since = now,
                              .blocks = placement.members,
                              .placedShapes = std::move(placedShapes)});
}

auto unplaceableReason(Topology &idle, const GangRequest &gang) -> std::optional<std::string>
{
    const auto largest = idle.workerSlots();
    if (gang.slotsPerTask > largest) {
        return "a task needs " + std::to_string(gang.slotsPerTask) + " slots, and the largest worker has " + std::to_string(largest);
    }
    auto anywhere = gang;
    anywhere.reclaimable = true; // leaves guarantees out of account
    if (!placeFree(idle, anywhere, {})) {
        const auto *where = gang.adjacency == Adjacency::Worker ? "no worker" : gang.adjacency == Adjacency::Rack ? "no rack" : "the failure domain does not";
        const auto *verb = gang.adjacency == Adjacency::Any ? " hold " : " holds ";
        return where + std::string{verb} + std::to_string(gang.tasks) + " tasks of " + std::to_string(gang.slotsPerTask) + " slots";
    }
    if (gang.reclaimable) {
        return std::nullopt;
    }
    if (placeCovered(idle, gang) || placeFree(idle, gang, {})) {
        return std::nullopt;
    }
    return "the job can be neither stopped nor restarted, it does not fit the workspace's guarantee, and the slots that no guarantee needs do not hold it";
}

}

#include "policy/placement.h"

#include <algorithm>
#include <numeric>

namespace Catkin
{

namespace
{

/// A maximal aligned block of free slots that the gang may use.
struct Hole
{
    int worker = 0;
    int first = 0;
    int level = 0;
    int brokenLevel = 0; ///< level of the largest block that using the hole breaks, blocks of several workers included
};

/// Blocks for all tasks of a gang in one group of workers.
struct GroupPlacement
{
    std::int64_t cost = 0;
    std::vector<SlotBlock> members;
};

/// @return the slots of @p worker that must not be used.
auto blockedOn(BlockedSlots blocked, int worker) -> SlotMask
{
    return worker < static_cast<int>(blocked.size()) ? blocked[worker] : 0;
}

/// Appends the holes of at least 2^@p atLeast slots in @p mask to @p holes.
/// @param mask the slots that the gang may use
/// @param base the slots whose blocks should stay unbroken: for a reclaimable gang @p mask, for others all available slots
auto findHoles(const Topology &topology, int index, SlotMask mask, SlotMask base, int atLeast, std::vector<Hole> &holes) -> void
{
    if (mask == 0) {
        return;
    }
    const auto starts = blockStarts(mask);
    const auto enclosing = mask == base ? starts : blockStarts(base);
    const auto workerLevel = topology.workerLevel();
    for (auto level = atLeast; level <= workerLevel; ++level) {
        for (auto left = starts[level]; left != 0; left &= left - 1) {
            const auto first = std::countr_zero(left);
            if (level < workerLevel && ((starts[level + 1] >> (first & ~((2 << level) - 1))) & 1U) != 0) {
                continue; // part of a larger hole
            }
            auto brokenLevel = level;
            while (brokenLevel < workerLevel && ((enclosing[brokenLevel + 1] >> (first & ~((2 << brokenLevel) - 1))) & 1U) != 0) {
                ++brokenLevel;
            }
            if (brokenLevel == workerLevel) {
                // If the rack's whole workers are an exact multiple of 2^q, breaking one also breaks a block of 2^q workers.
                const auto wholeWorkers = std::max(1, topology.racks()[topology.workers()[index].rack].wholeWorkers);
                brokenLevel += std::countr_zero(static_cast<unsigned>(wholeWorkers));
            }
            holes.push_back({index, first, level, std::min(brokenLevel, shapeLevels)});
        }
    }
}

/// Places the gang in the holes of one group of workers, first in those whose use breaks the smallest blocks.
/// @param holes buffer that is reused for every group
auto placeInGroup(const Topology &topology, const GangRequest &gang, BlockedSlots blocked, std::span<const int> group, std::vector<Hole> &holes)
    -> std::optional<GroupPlacement>
{
    const auto taskLevel = levelOf(gang.slotsPerTask);
    holes.clear();
    auto capacity = 0; // in tasks
    for (auto index : group) {
        const auto &worker = topology.workers()[index];
        const auto mask = worker.free & ~blockedOn(blocked, index) & (gang.reclaimable ? ~SlotMask{0} : ~worker.inShapes);
        const auto before = holes.size();
        findHoles(topology, index, mask, gang.reclaimable ? mask : worker.available, taskLevel, holes);
        for (auto i = before; i < holes.size(); ++i) {
            capacity += 1 << (holes[i].level - taskLevel);
        }
    }
    if (capacity < gang.tasks) {
        return std::nullopt;
    }
    std::sort(holes.begin(), holes.end(), [](const auto &a, const auto &b) {
        return std::tuple{a.brokenLevel, a.level, a.worker, a.first} < std::tuple{b.brokenLevel, b.level, b.worker, b.first};
    });
    auto found = GroupPlacement{};
    auto left = gang.tasks;
    for (const auto &hole : holes) {
        const auto tasks = std::min(left, 1 << (hole.level - taskLevel));
        for (auto i = 0; i < tasks; ++i) {
            found.members.push_back({hole.worker, blockMask(hole.first + (i << taskLevel), gang.slotsPerTask)});
        }
        found.cost += (std::int64_t{1} << hole.brokenLevel) - (std::int64_t{tasks} << taskLevel);
        left -= tasks;
        if (left == 0) {
            break;
        }
    }
    // Among equal costs the group with the smallest remaining capacity is preferred, so that empty racks and workers stay empty.
    found.cost = found.cost * 4096 + std::min(4095, capacity - gang.tasks);
    return found;
}

/// Calls @p visit with each group of workers that may hold a whole gang: all workers, those of a rack, or a single one.
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

/// @return the allocations that hold slots of @p members, ascending.
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

/// A block for one task of a preempting gang.
struct RankedBlock
{
    int reclaimed = 0; ///< slots inside that borrowers hold
    int freeSlots = 0; ///< free slots of the worker; fuller workers are used first
    SlotBlock block;
};

/// Places a preempting gang in one group of workers, displacing few allocations.
/// @return the blocks; the cost is the number of slots of the displaced allocations.
auto placePreemptingInGroup(const Topology &topology, const GangRequest &gang, BlockedSlots blocked, std::span<const int> group)
    -> std::optional<GroupPlacement>
{
    const auto taskLevel = levelOf(gang.slotsPerTask);
    const auto size = 1 << taskLevel;
    auto ranked = std::vector<RankedBlock>{};
    for (auto index : group) {
        const auto &worker = topology.workers()[index];
        const auto mask = (worker.free | (worker.reclaimableSlots & ~worker.urgentSlots)) & ~blockedOn(blocked, index)
                          & (gang.reclaimable ? ~SlotMask{0} : ~worker.inShapes);
        for (auto left = blockStarts(mask)[taskLevel]; left != 0; left &= left - 1) {
            const auto first = std::countr_zero(left);
            const auto reclaimed = std::popcount(worker.reclaimableSlots & ~worker.stopping & blockMask(first, size));
            ranked.push_back({reclaimed, std::popcount(worker.free), {index, blockMask(first, gang.slotsPerTask)}});
        }
    }
    if (static_cast<int>(ranked.size()) < gang.tasks) {
        return std::nullopt;
    }
    const auto cheaper = [](const RankedBlock &a, const RankedBlock &b) {
        return std::tuple{a.reclaimed, a.freeSlots, a.block.worker, a.block.mask} < std::tuple{b.reclaimed, b.freeSlots, b.block.worker, b.block.mask};
    };
    auto found = GroupPlacement{};
    auto displaced = std::vector<int>{};
    const auto isDisplaced = [&](int owner) { return std::find(displaced.begin(), displaced.end(), owner) != displaced.end(); };
    const auto isTaken = [&](const SlotBlock &block) {
        return std::any_of(found.members.begin(), found.members.end(), [&](const auto &m) { return m.worker == block.worker && (m.mask & block.mask) != 0; });
    };
    auto sorted = std::size_t{0};
    for (auto i = std::size_t{0}; i < ranked.size() && static_cast<int>(found.members.size()) < gang.tasks; ++i) {
        if (i == sorted) {
            // Usually the first few blocks are enough, so the list is sorted in steps.
            sorted = std::min(ranked.size(), std::max(std::size_t{256}, sorted * 4));
            std::partial_sort(ranked.begin() + static_cast<std::ptrdiff_t>(i), ranked.begin() + static_cast<std::ptrdiff_t>(sorted), ranked.end(), cheaper);
        }
        const auto &candidate = ranked[i];
        if (isTaken(candidate.block)) {
            continue;
        }
        found.members.push_back(candidate.block);
        // A preempted gang releases all its blocks, so these are used before another gang is preempted.
        for (const auto owner : findDisplaced(topology, {candidate.block})) {
            if (isDisplaced(owner) || topology.allocation(owner).hold == Hold::Stopping) {
                continue;
            }
            displaced.push_back(owner);
            found.cost += topology.allocation(owner).slots();
            for (const auto &freed : topology.allocation(owner).blocks) {
                const auto first = freed.worker < 0 ? 0 : std::countr_zero(freed.mask) & ~(size - 1);
                const auto block = SlotBlock{freed.worker, blockMask(first, gang.slotsPerTask)};
                if (freed.worker < 0 || static_cast<int>(found.members.size()) == gang.tasks || isTaken(block)
                    || std::none_of(group.begin(), group.end(), [&](int w) { return w == block.worker; })) {
                    continue;
                }
                const auto &worker = topology.workers()[block.worker];
                const auto usable = (worker.free | (worker.reclaimableSlots & ~worker.urgentSlots)) & ~blockedOn(blocked, block.worker)
                                    & (gang.reclaimable ? ~SlotMask{0} : ~worker.inShapes);
                const auto others = findDisplaced(topology, {block});
                if ((blockMask(first, size) & ~usable) == 0 && std::all_of(others.begin(), others.end(), isDisplaced)) {
                    found.members.push_back(block);
                }
            }
        }
    }
    return found;
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
    auto perGroup = std::vector<GroupPlacement>{};
    auto holes = std::vector<Hole>{};
    forEachGroup(topology, gang.adjacency, [&](std::span<const int> group) {
        auto found = placeInGroup(topology, gang, blocked, group, holes);
        if (!found) {
            return;
        }
        if (gang.reclaimable && !perGroup.empty()) {
            if (found->cost < perGroup.front().cost) {
                perGroup.front() = std::move(*found);
            }
            return;
        }
        perGroup.push_back(std::move(*found));
    });
    std::stable_sort(perGroup.begin(), perGroup.end(), [](const auto &a, const auto &b) { return a.cost < b.cost; });
    for (auto &found : perGroup) {
        // A reclaimable borrower never makes a guaranteed shape unformable.
        if (gang.reclaimable || topology.admissible(topology.formableLoss(found.members))) {
            return Placement{.members = std::move(found.members)};
        }
    }
    return std::nullopt;
}

auto placePreempting(const Topology &topology, const GangRequest &gang, BlockedSlots blocked) -> std::optional<Placement>
{
    auto perGroup = std::vector<GroupPlacement>{};
    forEachGroup(topology, gang.adjacency, [&](std::span<const int> group) {
        if (auto found = placePreemptingInGroup(topology, gang, blocked, group)) {
            perGroup.push_back(std::move(*found));
        }
    });
    std::stable_sort(perGroup.begin(), perGroup.end(), [](const auto &a, const auto &b) { return a.cost < b.cost; });
    for (auto &found : perGroup) {
        if (auto placement = placeAt(topology, gang, std::move(found.members))) {
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
    auto reclaimableGang = gang;
    reclaimableGang.reclaimable = true; // ignores the guarantees
    if (!placeFree(idle, reclaimableGang, {})) {
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

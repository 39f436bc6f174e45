#include "policy/placement.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace Catkin
{

namespace
{

/// Number of racks for which the exact cost is computed, those with the lowest estimate. The limit keeps the time of a
/// decision independent of the number of running tasks.
constexpr auto maxComparedRacks = 4;

/// @return the slots of @p block, a block of a shape, that are free or reclaimable.
auto usableSlots(const Topology &topology, const SlotBlock &block) -> SlotMask
{
    const auto &worker = topology.workers()[block.worker];
    return block.mask & (worker.free | worker.reclaimableSlots);
}

/// @return the number of slots of @p mask that a gang there would reclaim; those of stopping allocations don't count.
auto slotsToReclaim(const Topology &topology, int worker, SlotMask mask) -> int
{
    const auto &state = topology.workers()[worker];
    return std::popcount(mask & state.reclaimableSlots & ~state.stopping);
}

/// @return the number of slots that the tasks of @p gang reclaim in @p mask of one worker, counting as many tasks as fit there.
/// For a whole worker it is the number of all reclaimable slots, so that the shape is placed where the next gangs of
/// the workspace displace no borrowers.
auto slotsToReclaimByGang(const Topology &topology, const GangRequest &gang, int worker, SlotMask mask) -> int
{
    const auto level = levelOf(gang.slotsPerTask);
    const auto reclaimed = slotsToReclaim(topology, worker, mask);
    if (reclaimed == 0 || gang.tasks << level >= std::popcount(mask) || mask == topology.workers()[worker].all) {
        return reclaimed;
    }
    if (level == 0) {
        return std::max(0, gang.tasks - (std::popcount(mask) - reclaimed));
    }
    auto perBlock = std::array<int, maxWorkerSlots>{};
    auto count = std::ptrdiff_t{0};
    for (auto left = blockStarts(mask)[level]; left != 0; left &= left - 1) {
        perBlock.at(count++) = slotsToReclaim(topology, worker, blockMask(std::countr_zero(left), gang.slotsPerTask));
    }
    std::sort(perBlock.begin(), perBlock.begin() + count);
    return std::accumulate(perBlock.begin(), perBlock.begin() + gang.tasks, 0);
}

/// Appends to @p members up to @p tasks tasks in @p mask of one worker, first in the blocks with the fewest slots to reclaim.
/// @return the number of tasks appended.
auto appendTasks(const Topology &topology, const GangRequest &gang, int worker, SlotMask mask, int tasks, std::vector<SlotBlock> &members) -> int
{
    const auto level = levelOf(gang.slotsPerTask);
    auto found = std::vector<std::pair<int, int>>{};
    for (auto left = blockStarts(mask)[level]; left != 0; left &= left - 1) {
        const auto first = std::countr_zero(left);
        found.emplace_back(slotsToReclaim(topology, worker, blockMask(first, gang.slotsPerTask)), first);
    }
    std::sort(found.begin(), found.end());
    const auto count = std::min<int>(tasks, static_cast<int>(found.size()));
    for (auto i = 0; i < count; ++i) {
        members.push_back({worker, blockMask(found[i].second, gang.slotsPerTask)});
    }
    return count;
}

/// @return the number of slots that the allocations displaced by @p members hold, also outside @p members; stopping
/// allocations don't count.
auto displacedSlots(const Topology &topology, const std::vector<SlotBlock> &members) -> int
{
    auto owners = std::vector<int>{};
    auto slots = 0;
    for (const auto &member : members) {
        for (const auto &use : topology.workers()[member.worker].uses) {
            const auto &owner = topology.allocation(use.owner);
            if ((use.mask & member.mask) != 0 && owner.hold != Hold::Stopping && std::find(owners.begin(), owners.end(), use.owner) == owners.end()) {
                owners.push_back(use.owner);
                slots += owner.slots();
            }
        }
    }
    return slots;
}

/// Appends to @p members up to @p tasks tasks in @p blocks; with Adjacency::Worker all of them in the same block or none.
/// @return the number of tasks appended.
auto appendTasksInBlocks(const Topology &topology, const GangRequest &gang, const std::vector<SlotBlock> &blocks, int tasks, std::vector<SlotBlock> &members)
    -> int
{
    auto appended = 0;
    for (const auto &block : blocks) {
        const auto before = members.size();
        appended += appendTasks(topology, gang, block.worker, usableSlots(topology, block), tasks - appended, members);
        if (appended == tasks) {
            break;
        }
        if (gang.adjacency == Adjacency::Worker) {
            members.resize(before);
            appended = 0;
        }
    }
    return appended;
}

/// A possible place for an unused shape.
struct Candidate
{
    std::int64_t cost = std::numeric_limits<std::int64_t>::max();
    bool admissible = false; ///< all other unused shapes remain formable
    NewShape shape;
};

/// Finds a place for an unused shape of @p level inside one worker: where the gang reclaims the fewest slots, then where the
/// smallest block is broken.
auto findWorkerShape(const Topology &topology, const GangRequest &gang, int level) -> std::optional<Candidate>
{
    const auto workerLevel = topology.workerLevel();
    const auto slack = topology.slack();
    auto best = std::optional<Candidate>{};
    for (const auto &rack : topology.racks()) {
        // If the rack's whole workers are an exact multiple of 2^q, using a part of one more breaks a block of 2^q workers.
        const auto brokenRackLevels = rack.wholeWorkers > 0 ? std::countr_zero(static_cast<unsigned>(rack.wholeWorkers)) : 0;
        for (auto index : rack.workers) {
            const auto &worker = topology.workers()[index];
            const auto starts = blockStarts(worker.available);
            for (auto left = starts[level]; left != 0; left &= left - 1) {
                const auto first = std::countr_zero(left);
                auto brokenLevel = level;
                while (brokenLevel < workerLevel && ((starts[brokenLevel + 1] >> (first & ~((2 << brokenLevel) - 1))) & 1U) != 0) {
                    ++brokenLevel;
                }
                brokenLevel = std::min(brokenLevel + (brokenLevel == workerLevel ? brokenRackLevels : 0), shapeLevels - 1);
                const auto mask = blockMask(first, 1 << level);
                // Places are compared by the slots that the gang itself reclaims, then by the size of the broken block, then by the
                // free slots of the worker, so that the fullest one is taken. Borrowers in the rest of the shape stay; counting
                // these too would place each small gang on an empty worker.
                const auto cost = (((std::int64_t{slotsToReclaimByGang(topology, gang, index, mask)} << 16) + (std::int64_t{1} << brokenLevel)) << 6)
                                  + std::popcount(worker.free);
                auto admissible = true;
                for (auto j = level + 1; j <= brokenLevel; ++j) {
                    admissible = admissible && slack[j] >= 1;
                }
                if (!best || std::pair{!admissible, cost} < std::pair{!best->admissible, best->cost}) {
                    best = Candidate{cost, admissible, {level, {{index, mask}}}};
                }
            }
        }
    }
    return best;
}

/// Finds a place for an unused shape of whole workers, in the rack where the gang displaces the fewest slots.
auto findRackShape(const Topology &topology, const GangRequest &gang, int level) -> std::optional<Candidate>
{
    const auto count = 1 << (level - topology.workerLevel());
    const auto slack = topology.slack();
    auto candidates = std::vector<Candidate>{};
    for (const auto &rack : topology.racks()) {
        if (rack.wholeWorkers < count) {
            continue;
        }
        auto byReclaimed = std::vector<std::pair<int, int>>{};
        for (auto index : rack.workers) {
            const auto &worker = topology.workers()[index];
            if (worker.available == worker.all && worker.info.slots == topology.workerSlots() && worker.info.usable) {
                byReclaimed.emplace_back(slotsToReclaim(topology, index, worker.all), index);
            }
        }
        std::sort(byReclaimed.begin(), byReclaimed.end());
        auto candidate = Candidate{.cost = 0, .admissible = true, .shape = {level, {}}};
        for (auto i = 0; i < count; ++i) {
            candidate.shape.blocks.push_back({byReclaimed[i].second, topology.workers()[byReclaimed[i].second].all});
            candidate.cost += std::int64_t{byReclaimed[i].first} << 16;
        }
        for (auto q = level + 1; q < shapeLevels; ++q) {
            const auto workers = 1 << (q - topology.workerLevel());
            if (rack.wholeWorkers % workers < count && rack.wholeWorkers >= workers) {
                candidate.cost += std::int64_t{1} << q;
                candidate.admissible = candidate.admissible && slack[q] >= 1;
            }
        }
        candidates.push_back(std::move(candidate));
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto order = [](const auto &a, const auto &b) { return std::pair{!a.admissible, a.cost} < std::pair{!b.admissible, b.cost}; };
    std::stable_sort(candidates.begin(), candidates.end(), order);
    candidates.resize(std::min<std::size_t>(candidates.size(), maxComparedRacks));
    for (auto &candidate : candidates) {
        auto members = std::vector<SlotBlock>{};
        appendTasksInBlocks(topology, gang, candidate.shape.blocks, gang.tasks, members);
        candidate.cost = (std::int64_t{displacedSlots(topology, members)} << 16) + (candidate.cost & 0xffff);
    }
    return *std::min_element(candidates.begin(), candidates.end(), order);
}

/// Finds a place for an unused shape. While no level has a deficit, there is always an admissible place; during a deficit the
/// place with the lowest cost is accepted even if it is not admissible.
auto findShape(const Topology &topology, const GangRequest &gang, int level) -> std::optional<Candidate>
{
    auto found = level <= topology.workerLevel() ? findWorkerShape(topology, gang, level) : findRackShape(topology, gang, level);
    if (found && !found->admissible && !topology.hasDeficit()) {
        return std::nullopt;
    }
    return found;
}

/// Places the gang in one shape: a placed one or an unused one, whichever displaces fewer slots.
auto placeInOneShape(const Topology &topology, const GangRequest &gang) -> std::optional<Placement>
{
    const auto needed = gangLevel(gang, topology.workerSlots());
    if (gang.adjacency == Adjacency::Worker && needed > topology.workerLevel()) {
        return std::nullopt;
    }
    auto best = std::optional<Placement>{};
    auto bestCost = std::numeric_limits<int>::max();
    for (auto shape : topology.placedShapes(gang.workspace)) {
        if (topology.placedShape(shape).level < needed) {
            continue;
        }
        auto members = std::vector<SlotBlock>{};
        if (appendTasksInBlocks(topology, gang, topology.placedShape(shape).blocks, gang.tasks, members) < gang.tasks) {
            continue;
        }
        const auto cost = displacedSlots(topology, members) * shapeLevels + topology.placedShape(shape).level;
        if (cost < bestCost) {
            bestCost = cost;
            best = Placement{.members = std::move(members), .covered = true, .placedShapes = {shape}};
        }
    }
    if (best && bestCost < shapeLevels) {
        return best; // no borrower is displaced
    }
    for (auto level = needed; level < shapeLevels; ++level) {
        if (topology.unusedShapes(gang.workspace)[level] == 0) {
            continue;
        }
        auto found = findShape(topology, gang, level);
        if (!found) {
            continue;
        }
        auto members = std::vector<SlotBlock>{};
        if (appendTasksInBlocks(topology, gang, found->shape.blocks, gang.tasks, members) < gang.tasks) {
            continue;
        }
        if (displacedSlots(topology, members) * shapeLevels + level < bestCost) {
            best = Placement{.members = std::move(members), .covered = true, .newShapes = {std::move(found->shape)}};
        }
        break;
    }
    return best;
}

/// Places the tasks of a gang without adjacency in several shapes.
auto placeInSeveralShapes(Topology &topology, const GangRequest &gang) -> std::optional<Placement>
{
    auto placement = Placement{.covered = true};
    auto addedShapes = std::vector<int>{};
    auto left = gang.tasks;
    for (auto shape : topology.placedShapes(gang.workspace)) {
        const auto taken = appendTasksInBlocks(topology, gang, topology.placedShape(shape).blocks, left, placement.members);
        left -= taken;
        if (taken > 0) {
            placement.placedShapes.push_back(shape);
        }
    }
    for (auto level = levelOf(gang.slotsPerTask); level < shapeLevels && left > 0;) {
        if (topology.unusedShapes(gang.workspace)[level] == 0) {
            ++level;
            continue;
        }
        auto found = findShape(topology, gang, level);
        if (!found) {
            ++level;
            continue;
        }
        // Each shape is placed at once, so that the search for the next one takes it into account; all are unplaced at the end.
        addedShapes.push_back(topology.placeShape(gang.workspace, level, found->shape.blocks));
        left -= appendTasksInBlocks(topology, gang, found->shape.blocks, left, placement.members);
        placement.newShapes.push_back(std::move(found->shape));
    }
    for (auto shape : addedShapes) {
        topology.unplaceShape(shape);
    }
    return left == 0 ? std::optional{std::move(placement)} : std::nullopt;
}

}

auto placeCovered(Topology &topology, const GangRequest &gang) -> std::optional<Placement>
{
    auto placement = placeInOneShape(topology, gang);
    if (!placement && gang.adjacency == Adjacency::Any) {
        placement = placeInSeveralShapes(topology, gang);
    }
    if (placement) {
        auto reclaimableGang = GangRequest{gang};
        reclaimableGang.reclaimable = true; // placeAt() then only lists the displaced allocations; the guarantees were checked above
        placement->displaced = placeAt(topology, reclaimableGang, placement->members).value_or(Placement{}).displaced;
    }
    return placement;
}

auto coverInPlace(Topology &topology, int index) -> bool
{
    const auto workspace = topology.allocation(index).workspace;
    const auto blocks = topology.allocation(index).blocks;
    const auto workerLevel = topology.workerLevel();
    auto placedShapes = std::vector<int>{};
    auto addedShapes = std::vector<int>{};
    const auto previousHold = topology.allocation(index).hold;
    // While the allocation is reclaimable, its slots count as available for its own shape.
    topology.setHold(index, Hold::Reclaimable);
    const auto enclosingShape = [&](const SlotBlock &block) {
        return std::find_if(topology.placedShapes(workspace).begin(), topology.placedShapes(workspace).end(), [&](int shape) {
            const auto &parts = topology.placedShape(shape).blocks;
            return std::any_of(parts.begin(), parts.end(), [&](const auto &part) { return part.worker == block.worker && (block.mask & ~part.mask) == 0; });
        });
    };
    const auto tryPlaceShape = [&](int level, std::vector<SlotBlock> parts) {
        if (!topology.admissible(topology.formableLoss(parts), level)) {
            return false;
        }
        addedShapes.push_back(topology.placeShape(workspace, level, std::move(parts)));
        return true;
    };
    const auto placeWorkerShape = [&](const SlotBlock &block) {
        const auto &worker = topology.workers()[block.worker];
        for (auto level = 0; level <= workerLevel; ++level) {
            const auto first = std::countr_zero(block.mask) & ~((1 << level) - 1);
            const auto mask = blockMask(first, 1 << level);
            if (topology.unusedShapes(workspace)[level] > 0 && (block.mask & ~mask) == 0 && (mask & ~worker.available) == 0
                && tryPlaceShape(level, {{block.worker, mask}})) {
                return true;
            }
        }
        return false;
    };
    const auto placeRackShape = [&](const SlotBlock &block) {
        const auto &rack = topology.racks()[topology.workers()[block.worker].rack];
        auto ranked = std::vector<std::pair<int, int>>{};
        for (auto w : rack.workers) {
            const auto &worker = topology.workers()[w];
            if (worker.available == worker.all && worker.info.slots == topology.workerSlots()) {
                // The worker of the block first, then the gang's other workers, then those with the fewest reclaimable slots.
                const auto own = std::any_of(blocks.begin(), blocks.end(), [w](const auto &b) { return b.worker == w; });
                ranked.emplace_back(w == block.worker ? 0 : own ? 1 : 2 + std::popcount(worker.reclaimableSlots), w);
            }
        }
        std::sort(ranked.begin(), ranked.end());
        if (ranked.empty() || ranked.front().first != 0) {
            return false;
        }
        for (auto level = workerLevel + 1; level < shapeLevels; ++level) {
            const auto count = 1U << (level - workerLevel);
            if (topology.unusedShapes(workspace)[level] == 0 || ranked.size() < count) {
                continue;
            }
            auto parts = std::vector<SlotBlock>{};
            for (auto i = 0U; i < count; ++i) {
                parts.push_back({ranked[i].second, topology.workers()[ranked[i].second].all});
            }
            if (tryPlaceShape(level, std::move(parts))) {
                return true;
            }
        }
        return false;
    };
    // A gang on several workers is first covered with a shape of whole workers, because covering its blocks one by one could
    // use up many small shapes.
    const auto spansWorkers = std::any_of(blocks.begin(), blocks.end(), [&](const auto &block) { return block.worker != blocks.front().worker; });
    auto covered = !blocks.empty();
    for (const auto &block : blocks) {
        covered = covered && block.worker >= 0 && topology.workers()[block.worker].info.usable;
        if (!covered) {
            break;
        }
        if (enclosingShape(block) == topology.placedShapes(workspace).end()) {
            covered = spansWorkers ? placeRackShape(block) || placeWorkerShape(block) : placeWorkerShape(block) || placeRackShape(block);
        }
        if (covered) {
            placedShapes.push_back(*enclosingShape(block));
        }
    }
    if (!covered) {
        for (auto shape : addedShapes) {
            topology.unplaceShape(shape);
        }
        topology.setHold(index, previousHold);
        return false;
    }
    std::sort(placedShapes.begin(), placedShapes.end());
    placedShapes.erase(std::unique(placedShapes.begin(), placedShapes.end()), placedShapes.end());
    topology.setHold(index, Hold::Covered, placedShapes);
    return true;
}

}

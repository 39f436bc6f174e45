#include "policy/placement.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace Catkin
{

namespace
{

/// Exact costs are computed for this many of the racks that look cheapest, so the cost of a decision does not grow
/// with the number of running tasks.
constexpr auto comparedRacks = 4;

/// @return the slots of @p placed shape on one of its blocks that covered work does not hold.
auto openSlots(const Topology &topology, const SlotBlock &block) -> SlotMask
{
    const auto &worker = topology.workers()[block.worker];
    return block.mask & (worker.free | worker.reclaimableSlots);
}

auto reclaimPrice(const Topology &topology, int worker, SlotMask mask) -> int
{
    const auto &state = topology.workers()[worker];
    return std::popcount(mask & state.reclaimableSlots & ~state.stopping);
}

/// @return the borrowed slots that the tasks of @p gang displace in @p mask of one worker, as many tasks as fit there; for a
/// whole worker all borrowed slots, so that the next gangs of the workspace find room in the shape without displacing any.
auto gangPrice(const Topology &topology, const GangRequest &gang, int worker, SlotMask mask) -> int
{
    const auto level = levelOf(gang.slotsPerTask);
    const auto price = reclaimPrice(topology, worker, mask);
    if (price == 0 || gang.tasks << level >= std::popcount(mask) || mask == topology.workers()[worker].all) {
        return price;
    }
    if (level == 0) {
        return std::max(0, gang.tasks - (std::popcount(mask) - price));
    }
    auto prices = std::array<int, maxWorkerSlots>{};
    auto count = std::ptrdiff_t{0};
    for (auto left = blockStarts(mask)[level]; left != 0; left &= left - 1) {
        prices.at(count++) = reclaimPrice(topology, worker, blockMask(std::countr_zero(left), gang.slotsPerTask));
    }
    std::sort(prices.begin(), prices.begin() + count);
    return std::accumulate(prices.begin(), prices.begin() + gang.tasks, 0);
}

/// Appends up to @p tasks tasks in @p mask of one worker, the cheapest blocks first.
/// @return how many were appended.
auto takeTasks(const Topology &topology, const GangRequest &gang, int worker, SlotMask mask, int tasks, std::vector<SlotBlock> &members) -> int
{
    const auto level = levelOf(gang.slotsPerTask);
    auto found = std::vector<std::pair<int, int>>{};
    for (auto left = blockStarts(mask)[level]; left != 0; left &= left - 1) {
        const auto first = std::countr_zero(left);
        found.emplace_back(reclaimPrice(topology, worker, blockMask(first, gang.slotsPerTask)), first);
    }
    std::sort(found.begin(), found.end());
    const auto count = std::min<int>(tasks, static_cast<int>(found.size()));
    for (auto i = 0; i < count; ++i) {
        members.push_back({worker, blockMask(found[i].second, gang.slotsPerTask)});
    }
    return count;
}

auto priceOf(const Topology &topology, const std::vector<SlotBlock> &members) -> int
{
    auto owners = std::vector<int>{};
    auto price = 0;
    for (const auto &member : members) {
        for (const auto &use : topology.workers()[member.worker].uses) {
            const auto &owner = topology.allocation(use.owner);
            if ((use.mask & member.mask) != 0 && owner.hold != Hold::Stopping && std::find(owners.begin(), owners.end(), use.owner) == owners.end()) {
                owners.push_back(use.owner);
                price += owner.slots();
            }
        }
    }
    return price;
}

/// Takes tasks inside a set of blocks; the whole gang in one block when it must share a worker.
auto takeInBlocks(const Topology &topology, const GangRequest &gang, const std::vector<SlotBlock> &blocks, int tasks, std::vector<SlotBlock> &members) -> int
{
    auto taken = 0;
    for (const auto &block : blocks) {
        const auto before = members.size();
        taken += takeTasks(topology, gang, block.worker, openSlots(topology, block), tasks - taken, members);
        if (taken == tasks) {
            break;
        }
        if (gang.adjacency == Adjacency::Worker) {
            members.resize(before);
            taken = 0;
        }
    }
    return taken;
}

struct Candidate
{
    std::int64_t cost = std::numeric_limits<std::int64_t>::max();
    bool admissible = false;
    NewShape shape;
};

/// Finds a place for a shape inside one worker.
auto findWorkerShape(const Topology &topology, const GangRequest &gang, int level) -> std::optional<Candidate>
{
    const auto workerLevel = topology.workerLevel();
    const auto slack = topology.slack();
    auto best = std::optional<Candidate>{};
    for (const auto &rack : topology.racks()) {
        // Blocks of 2^q workers that the rack forms just exactly break when one more worker is used in part.
        const auto brokenSizes = rack.wholeWorkers > 0 ? std::countr_zero(static_cast<unsigned>(rack.wholeWorkers)) : 0;
        for (auto index : rack.workers) {
            const auto &worker = topology.workers()[index];
            const auto starts = blockStarts(worker.available);
            for (auto left = starts[level]; left != 0; left &= left - 1) {
                const auto first = std::countr_zero(left);
                auto top = level;
                while (top < workerLevel && ((starts[top + 1] >> (first & ~((2 << top) - 1))) & 1U) != 0) {
                    ++top;
                }
                top = std::min(top + (top == workerLevel ? brokenSizes : 0), shapeLevels - 1);
                const auto mask = blockMask(first, 1 << level);
                // The price counts only what the gang itself displaces: borrowers in the rest of the shape stay, and a price
                // for the whole shape would open an empty worker for each small gang. Among equals the fullest worker is taken.
                const auto cost = (((std::int64_t{gangPrice(topology, gang, index, mask)} << 16) + (std::int64_t{1} << top)) << 6) + std::popcount(worker.free);
                auto admissible = true;
                for (auto j = level + 1; j <= top; ++j) {
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

/// Finds a place for a shape of whole workers: the rack in which the gang displaces the least.
auto findRackShape(const Topology &topology, const GangRequest &gang, int level) -> std::optional<Candidate>
{
    const auto count = 1 << (level - topology.workerLevel());
    const auto slack = topology.slack();
    auto candidates = std::vector<Candidate>{};
    for (const auto &rack : topology.racks()) {
        if (rack.wholeWorkers < count) {
            continue;
        }
        auto priced = std::vector<std::pair<int, int>>{};
        for (auto index : rack.workers) {
            const auto &worker = topology.workers()[index];
            if (worker.available == worker.all && worker.info.slots == topology.workerSlots() && worker.info.usable) {
                priced.emplace_back(reclaimPrice(topology, index, worker.all), index);
            }
        }
        std::sort(priced.begin(), priced.end());
        auto candidate = Candidate{.cost = 0, .admissible = true, .shape = {level, {}}};
        for (auto i = 0; i < count; ++i) {
            candidate.shape.blocks.push_back({priced[i].second, topology.workers()[priced[i].second].all});
            candidate.cost += std::int64_t{priced[i].first} << 16;
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
    candidates.resize(std::min<std::size_t>(candidates.size(), comparedRacks));
    for (auto &candidate : candidates) {
        auto members = std::vector<SlotBlock>{};
        takeInBlocks(topology, gang, candidate.shape.blocks, gang.tasks, members);
        candidate.cost = (std::int64_t{priceOf(topology, members)} << 16) + (candidate.cost & 0xffff);
    }
    return *std::min_element(candidates.begin(), candidates.end(), order);
}

/// A shape can always get a place while nothing is in deficit; otherwise the least harmful place is taken.
auto findShape(const Topology &topology, const GangRequest &gang, int level) -> std::optional<Candidate>
{
    auto found = level <= topology.workerLevel() ? findWorkerShape(topology, gang, level) : findRackShape(topology, gang, level);
    if (found && !found->admissible && !topology.hasDeficit()) {
        return std::nullopt;
    }
    return found;
}

/// Places the gang in one shape: an existing placed shape or a new one, whichever displaces less.
auto placeInOneShape(const Topology &topology, const GangRequest &gang) -> std::optional<Placement>
{
    const auto needed = gangLevel(gang, topology.workerSlots());
    if (gang.adjacency == Adjacency::Worker && needed > topology.workerLevel()) {
        return std::nullopt;
    }
    auto best = std::optional<Placement>{};
    auto bestPrice = std::numeric_limits<int>::max();
    for (auto shape : topology.placedShapes(gang.workspace)) {
        if (topology.placedShape(shape).level < needed) {
            continue;
        }
        auto members = std::vector<SlotBlock>{};
        if (takeInBlocks(topology, gang, topology.placedShape(shape).blocks, gang.tasks, members) < gang.tasks) {
            continue;
        }
        const auto price = priceOf(topology, members) * shapeLevels + topology.placedShape(shape).level;
        if (price < bestPrice) {
            bestPrice = price;
            best = Placement{.members = std::move(members), .covered = true, .placedShapes = {shape}};
        }
    }
    if (best && bestPrice < shapeLevels) {
        return best; // displaces nothing
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
        if (takeInBlocks(topology, gang, found->shape.blocks, gang.tasks, members) < gang.tasks) {
            continue;
        }
        if (priceOf(topology, members) * shapeLevels + level < bestPrice) {
            best = Placement{.members = std::move(members), .covered = true, .newShapes = {std::move(found->shape)}};
        }
        break;
    }
    return best;
}

/// Places the tasks of a gang without adjacency in several shapes.
auto placeInManyShapes(Topology &topology, const GangRequest &gang) -> std::optional<Placement>
{
    auto placement = Placement{.covered = true};
    auto addedShapes = std::vector<int>{};
    auto left = gang.tasks;
    for (auto shape : topology.placedShapes(gang.workspace)) {
        const auto taken = takeInBlocks(topology, gang, topology.placedShape(shape).blocks, left, placement.members);
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
        // Regions are entered while searching, so that each choice sees the ones before.
        addedShapes.push_back(topology.placeShape(gang.workspace, level, found->shape.blocks));
        left -= takeInBlocks(topology, gang, found->shape.blocks, left, placement.members);
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
        placement = placeInManyShapes(topology, gang);
    }
    if (placement) {
        auto place = GangRequest{gang};
        place.reclaimable = true; // only the displaced allocations are wanted; the shapes were checked above
        placement->displaced = placeAt(topology, place, placement->members).value_or(Placement{}).displaced;
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
    const auto holdOf = topology.allocation(index).hold;
    // While it holds its slots reclaimably, the arithmetic sees them as a possible place for its own shape.
    topology.setHold(index, Hold::Reclaimable);
    const auto inside = [&](const SlotBlock &block) {
        return std::find_if(topology.placedShapes(workspace).begin(), topology.placedShapes(workspace).end(), [&](int shape) {
            const auto &parts = topology.placedShape(shape).blocks;
            return std::any_of(parts.begin(), parts.end(), [&](const auto &part) { return part.worker == block.worker && (block.mask & ~part.mask) == 0; });
        });
    };
    const auto tryPin = [&](int level, std::vector<SlotBlock> parts) {
        if (!topology.admissible(topology.formableLoss(parts), level)) {
            return false;
        }
        addedShapes.push_back(topology.placeShape(workspace, level, std::move(parts)));
        return true;
    };
    const auto pinWorker = [&](const SlotBlock &block) {
        const auto &worker = topology.workers()[block.worker];
        for (auto level = 0; level <= workerLevel; ++level) {
            const auto first = std::countr_zero(block.mask) & ~((1 << level) - 1);
            const auto mask = blockMask(first, 1 << level);
            if (topology.unusedShapes(workspace)[level] > 0 && (block.mask & ~mask) == 0 && (mask & ~worker.available) == 0
                && tryPin(level, {{block.worker, mask}})) {
                return true;
            }
        }
        return false;
    };
    const auto pinRack = [&](const SlotBlock &block) {
        const auto &rack = topology.racks()[topology.workers()[block.worker].rack];
        auto whole = std::vector<std::pair<int, int>>{};
        for (auto w : rack.workers) {
            const auto &worker = topology.workers()[w];
            if (worker.available == worker.all && worker.info.slots == topology.workerSlots()) {
                const auto own = std::any_of(blocks.begin(), blocks.end(), [w](const auto &b) { return b.worker == w; });
                whole.emplace_back(w == block.worker ? 0 : own ? 1 : 2 + std::popcount(worker.reclaimableSlots), w);
            }
        }
        std::sort(whole.begin(), whole.end());
        if (whole.empty() || whole.front().first != 0) {
            return false;
        }
        for (auto level = workerLevel + 1; level < shapeLevels; ++level) {
            const auto count = 1U << (level - workerLevel);
            if (topology.unusedShapes(workspace)[level] == 0 || whole.size() < count) {
                continue;
            }
            auto parts = std::vector<SlotBlock>{};
            for (auto i = 0U; i < count; ++i) {
                parts.push_back({whole[i].second, topology.workers()[whole[i].second].all});
            }
            if (tryPin(level, std::move(parts))) {
                return true;
            }
        }
        return false;
    };
    // A gang across workers first tries a shape of whole workers, because covering its blocks one by one could use up
    // many small shapes.
    const auto many = std::any_of(blocks.begin(), blocks.end(), [&](const auto &block) { return block.worker != blocks.front().worker; });
    auto covered = !blocks.empty();
    for (const auto &block : blocks) {
        covered = covered && block.worker >= 0 && topology.workers()[block.worker].info.usable;
        if (!covered) {
            break;
        }
        if (inside(block) == topology.placedShapes(workspace).end()) {
            covered = many ? pinRack(block) || pinWorker(block) : pinWorker(block) || pinRack(block);
        }
        if (covered) {
            placedShapes.push_back(*inside(block));
        }
    }
    if (!covered) {
        for (auto shape : addedShapes) {
            topology.unplaceShape(shape);
        }
        topology.setHold(index, holdOf);
        return false;
    }
    std::sort(placedShapes.begin(), placedShapes.end());
    placedShapes.erase(std::unique(placedShapes.begin(), placedShapes.end()), placedShapes.end());
    topology.setHold(index, Hold::Covered, placedShapes);
    return true;
}

}

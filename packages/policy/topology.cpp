#include "policy/topology.h"

#include <algorithm>

namespace Catkin
{

namespace
{

auto countBlocks(SlotMask mask) -> BlockCounts
{
    const auto starts = blockStarts(mask);
    auto counts = BlockCounts{};
    for (auto level = 0U; level < counts.size(); ++level) {
        counts[level] = static_cast<std::uint8_t>(std::popcount(starts[level]));
    }
    return counts;
}

auto eraseUse(std::vector<Topology::Use> &uses, int owner) -> void
{
    std::erase_if(uses, [owner](const auto &use) { return use.owner == owner; });
}

}

auto Allocation::slots() const -> int
{
    auto sum = 0;
    for (const auto &block : blocks) {
        sum += block.worker >= 0 ? std::popcount(block.mask) : 0;
    }
    return sum;
}

auto blockStarts(SlotMask mask) -> std::array<SlotMask, 6>
{
    auto starts = std::array<SlotMask, 6>{};
    starts[0] = mask;
    starts[1] = starts[0] & (starts[0] >> 1) & 0x55555555U;
    starts[2] = starts[1] & (starts[1] >> 2) & 0x11111111U;
    starts[3] = starts[2] & (starts[2] >> 4) & 0x01010101U;
    starts[4] = starts[3] & (starts[3] >> 8) & 0x00010001U;
    starts[5] = starts[4] & (starts[4] >> 16) & 0x00000001U;
    return starts;
}

auto Topology::updateWorker(const WorkerInfo &info) -> int
{
    if (info.slots > m_workerSlots) {
        setLargestWorker(info.slots);
    }
    auto found = m_workerIndex.find(info.worker);
    if (found == m_workerIndex.end()) {
        auto index = static_cast<int>(m_workers.size());
        if (m_freeWorkers.empty()) {
            m_workers.emplace_back();
        } else {
            index = m_freeWorkers.back();
            m_freeWorkers.pop_back();
        }
        found = m_workerIndex.emplace(info.worker, index).first;
        m_workers[index].present = true;
        m_workers[index].rack = -1;
    }
    const auto index = found->second;
    auto &worker = m_workers[index];
    const auto [rack, added] = m_rackIndex.emplace(info.rack, static_cast<int>(m_racks.size()));
    if (added) {
        m_racks.push_back({info.rack, {}, 0});
    }
    if (worker.rack != rack->second) {
        if (worker.rack >= 0) {
            // Subtracts the worker's blocks from the old rack before it joins the new one.
            worker.info.usable = false;
            recountWorker(index);
            std::erase(m_racks[worker.rack].workers, index);
        }
        worker.rack = rack->second;
        auto &members = m_racks[worker.rack].workers;
        members.insert(std::lower_bound(members.begin(), members.end(), index), index);
    }
    worker.info = info;
    worker.all = blockMask(0, info.slots);
    recountWorker(index);
    return index;
}

auto Topology::removeWorker(int index) -> std::vector<int>
{
    auto &worker = m_workers[index];
    auto affected = std::vector<int>{};
    for (const auto &use : worker.uses) {
        affected.push_back(use.owner);
        for (auto &block : m_allocations[use.owner].blocks) {
            if (block.worker == index) {
                block.worker = -1;
            }
        }
    }
    for (const auto &use : worker.shapeUses) {
        std::erase_if(m_placedShapes[use.owner].blocks, [index](const auto &block) { return block.worker == index; });
    }
    worker.uses.clear();
    worker.shapeUses.clear();
    worker.info.usable = false;
    recountWorker(index);
    std::erase(m_racks[worker.rack].workers, index);
    m_workerIndex.erase(worker.info.worker);
    worker = Worker{};
    m_freeWorkers.push_back(index);
    std::sort(affected.begin(), affected.end());
    affected.erase(std::unique(affected.begin(), affected.end()), affected.end());
    return affected;
}

auto Topology::workerIndex(const WorkerId &worker) const -> std::optional<int>
{
    const auto it = m_workerIndex.find(worker);
    return it == m_workerIndex.end() ? std::nullopt : std::optional{it->second};
}

auto Topology::shapesOf(int workspace) -> WorkspaceShapes &
{
    if (workspace >= static_cast<int>(m_shapes.size())) {
        m_shapes.resize(workspace + 1);
    }
    return m_shapes[workspace];
}

auto Topology::addDemand(int level, int count) -> void
{
    for (auto s = 0; s <= level; ++s) {
        m_demand[s] += count * (1 << (level - s));
    }
}

auto Topology::recountShapes(int workspace) -> void
{
    auto &shapes = shapesOf(workspace);
    auto guaranteed = LevelCounts{};
    for (const auto &guarantee : shapes.guarantees) {
        // A shape larger than any block is skipped; the validation of the configuration rejects it.
        if (const auto level = shapeLevel(guarantee.slots, m_workerSlots); level < shapeLevels) {
            guaranteed[level] += guarantee.count;
        }
    }
    auto newUnused = guaranteed;
    while (true) {
        newUnused = guaranteed;
        for (auto shape : shapes.placed) {
            --newUnused[m_placedShapes[shape].level];
        }
        const auto surplus = std::find_if(shapes.placed.rbegin(), shapes.placed.rend(), [&](int shape) { return newUnused[m_placedShapes[shape].level] < 0; });
        if (surplus == shapes.placed.rend()) {
            break;
        }
        // A placed shape becomes unused with its last allocation, so every round removes at least one.
        const auto shape = *surplus;
        for (auto i = 0; i < static_cast<int>(m_allocations.size()); ++i) {
            const auto &used = m_allocations[i].placedShapes;
            if (std::find(used.begin(), used.end(), shape) != used.end()) {
                setHold(i, m_allocations[i].reclaimable ? Hold::Reclaimable : Hold::Fixed);
            }
        }
    }
    for (auto level = 0; level < shapeLevels; ++level) {
        addDemand(level, newUnused[level] - shapes.unused[level]);
        shapes.unused[level] = newUnused[level];
    }
}

auto Topology::setGuarantees(int workspace, std::span<const Guarantee> guarantees) -> void
{
    shapesOf(workspace).guarantees.assign(guarantees.begin(), guarantees.end());
    recountShapes(workspace);
}

auto Topology::setLargestWorker(int workerSlots) -> void
{
    // The levels above one worker stand for other sizes now, so every covered allocation becomes a borrower; the scheduler
    // covers them again.
    for (auto i = 0; i < static_cast<int>(m_allocations.size()); ++i) {
        if (m_allocations[i].hold == Hold::Covered) {
            setHold(i, m_allocations[i].reclaimable ? Hold::Reclaimable : Hold::Fixed);
        }
    }
    m_workerSlots = workerSlots;
    m_formable = {};
    for (auto &rack : m_racks) {
        rack.wholeWorkers = 0;
    }
    for (auto i = 0; i < static_cast<int>(m_workers.size()); ++i) {
        m_workers[i].blocks = {};
        m_workers[i].available = 0;
        recountWorker(i);
    }
    for (auto w = 0; w < static_cast<int>(m_shapes.size()); ++w) {
        recountShapes(w);
    }
}

auto Topology::addRackBlocks(int rack, int sign) -> void
{
    for (auto q = 1; workerLevel() + q < shapeLevels; ++q) {
        m_formable[workerLevel() + q] += sign * (m_racks[rack].wholeWorkers >> q);
    }
}

auto Topology::recountWorker(int index) -> void
{
    auto &worker = m_workers[index];
    if (worker.rack < 0 || !worker.present) {
        return;
    }
    const auto oldFree = std::popcount(worker.free);
    const auto oldBlocks = worker.blocks;
    const auto wasWhole = worker.available != 0 && std::popcount(worker.available) == m_workerSlots;
    auto fixedMask = SlotMask{0};
    auto reclaimableMask = SlotMask{0};
    auto urgentMask = SlotMask{0};
    auto stoppingMask = SlotMask{0};
    for (const auto &use : worker.uses) {
        const auto &owner = m_allocations[use.owner];
        switch (owner.hold) {
        case Hold::Covered:
        case Hold::Fixed:
            fixedMask |= use.mask;
            break;
        case Hold::Reclaimable:
            reclaimableMask |= use.mask;
            urgentMask |= owner.urgency == Urgency::Urgent ? use.mask : 0;
            break;
        case Hold::Stopping:
            stoppingMask |= use.mask;
            break;
        }
    }
    worker.inShapes = 0;
    for (const auto &use : worker.shapeUses) {
        worker.inShapes |= use.mask;
    }
    const auto usable = worker.info.usable ? worker.all : SlotMask{0};
    worker.free = usable & ~(fixedMask | reclaimableMask | stoppingMask);
    worker.reclaimableSlots = usable & (reclaimableMask | stoppingMask) & ~fixedMask;
    worker.urgentSlots = worker.reclaimableSlots & urgentMask;
    worker.stopping = worker.reclaimableSlots & stoppingMask & ~reclaimableMask;
    worker.available = (worker.free | worker.reclaimableSlots) & ~worker.inShapes;
    worker.blocks = countBlocks(worker.available);
    m_freeSlots += std::popcount(worker.free) - oldFree;
    for (auto level = 0U; level < worker.blocks.size(); ++level) {
        m_formable[level] += (static_cast<int>(level) <= workerLevel()) ? worker.blocks[level] - oldBlocks[level] : 0;
    }
    const auto isWhole = worker.available != 0 && std::popcount(worker.available) == m_workerSlots;
    if (isWhole != wasWhole) {
        addRackBlocks(worker.rack, -1);
        m_racks[worker.rack].wholeWorkers += isWhole ? 1 : -1;
        addRackBlocks(worker.rack, 1);
    }
}

auto Topology::allocate(Allocation allocation) -> int
{
    auto index = static_cast<int>(m_allocations.size());
    if (m_freeAllocations.empty()) {
        m_allocations.emplace_back();
    } else {
        index = m_freeAllocations.back();
        m_freeAllocations.pop_back();
    }
    m_allocations[index] = std::move(allocation);
    const auto &entered = m_allocations[index];
    for (auto shape : entered.placedShapes) {
        ++m_placedShapes[shape].users;
    }
    for (const auto &block : entered.blocks) {
        m_workers[block.worker].uses.push_back({index, block.mask});
    }
    for (const auto &block : entered.blocks) {
        recountWorker(block.worker);
    }
    return index;
}

auto Topology::release(int index) -> void
{
    auto &allocation = m_allocations[index];
    leaveShapes(allocation);
    for (const auto &block : allocation.blocks) {
        if (block.worker >= 0) {
            eraseUse(m_workers[block.worker].uses, index);
            recountWorker(block.worker);
        }
    }
    allocation = Allocation{};
    m_freeAllocations.push_back(index);
}

auto Topology::leaveShapes(Allocation &allocation) -> void
{
    for (auto shape : allocation.placedShapes) {
        if (--m_placedShapes[shape].users == 0) {
            unplaceShape(shape);
        }
    }
    allocation.placedShapes.clear();
}

auto Topology::setHold(int index, Hold hold, std::vector<int> placedShapes) -> void
{
    auto &allocation = m_allocations[index];
    for (auto shape : placedShapes) {
        ++m_placedShapes[shape].users;
    }
    leaveShapes(allocation);
    allocation.hold = hold;
    allocation.placedShapes = std::move(placedShapes);
    for (const auto &block : allocation.blocks) {
        if (block.worker >= 0) {
            recountWorker(block.worker);
        }
    }
}

auto Topology::setExpectedEnd(int allocation, MonoTime start, MonoTime end) -> void
{
    m_allocations[allocation].since = start;
    m_allocations[allocation].expectedEnd = end;
}

auto Topology::placeShape(int workspace, int level, std::vector<SlotBlock> blocks) -> int
{
    auto index = static_cast<int>(m_placedShapes.size());
    if (m_freePlacedShapes.empty()) {
        m_placedShapes.emplace_back();
    } else {
        index = m_freePlacedShapes.back();
        m_freePlacedShapes.pop_back();
    }
    m_placedShapes[index] = {workspace, level, 0, std::move(blocks)};
    for (const auto &block : m_placedShapes[index].blocks) {
        m_workers[block.worker].shapeUses.push_back({index, block.mask});
        recountWorker(block.worker);
    }
    auto &shapes = shapesOf(workspace);
    shapes.placed.insert(std::lower_bound(shapes.placed.begin(), shapes.placed.end(), index), index);
    --shapes.unused[level];
    addDemand(level, -1);
    return index;
}

auto Topology::unplaceShape(int index) -> void
{
    auto &shape = m_placedShapes[index];
    for (const auto &block : shape.blocks) {
        eraseUse(m_workers[block.worker].shapeUses, index);
        recountWorker(block.worker);
    }
    auto &shapes = shapesOf(shape.workspace);
    std::erase(shapes.placed, index);
    ++shapes.unused[shape.level];
    addDemand(shape.level, 1);
    shape = PlacedShape{};
    m_freePlacedShapes.push_back(index);
}

auto Topology::slack() const -> LevelCounts
{
    auto slack = LevelCounts{};
    for (auto level = 0; level < shapeLevels; ++level) {
        slack[level] = m_formable[level] - m_demand[level];
    }
    return slack;
}

auto Topology::formableLoss(std::span<const SlotBlock> taken) const -> LevelCounts
{
    auto loss = LevelCounts{};
    auto merged = std::vector<SlotBlock>{taken.begin(), taken.end()};
    std::sort(merged.begin(), merged.end(), [this](const auto &a, const auto &b) {
        return std::pair{m_workers[a.worker].rack, a.worker} < std::pair{m_workers[b.worker].rack, b.worker};
    });
    for (auto it = merged.begin(); it != merged.end();) {
        const auto rack = m_workers[it->worker].rack;
        auto broken = 0;
        while (it != merged.end() && m_workers[it->worker].rack == rack) {
            const auto &worker = m_workers[it->worker];
            const auto index = it->worker;
            auto mask = SlotMask{0};
            for (; it != merged.end() && it->worker == index; ++it) {
                mask |= it->mask;
            }
            const auto left = countBlocks(worker.available & ~mask);
            for (auto level = 0; level <= workerLevel(); ++level) {
                loss[level] += worker.blocks[level] - left[level];
            }
            broken += worker.blocks[workerLevel()] - left[workerLevel()];
        }
        for (auto q = 1; workerLevel() + q < shapeLevels; ++q) {
            loss[workerLevel() + q] += (m_racks[rack].wholeWorkers >> q) - ((m_racks[rack].wholeWorkers - broken) >> q);
        }
    }
    return loss;
}

auto Topology::admissible(const LevelCounts &loss, int placedLevel) const -> bool
{
    for (auto level = 0; level < shapeLevels; ++level) {
        const auto net = loss[level] - (level <= placedLevel ? 1 << (placedLevel - level) : 0);
        if (net > std::max(0, m_formable[level] - m_demand[level])) {
            return false;
        }
    }
    return true;
}

auto Topology::hasDeficit() const -> bool
{
    const auto values = slack();
    return std::any_of(values.begin(), values.end(), [](int value) { return value < 0; });
}

auto Topology::placedShapes(int workspace) const -> const std::vector<int> &
{
    static const auto none = std::vector<int>{};
    return workspace < static_cast<int>(m_shapes.size()) ? m_shapes[workspace].placed : none;
}

auto Topology::unusedShapes(int workspace) const -> const LevelCounts &
{
    static const auto none = LevelCounts{};
    return workspace < static_cast<int>(m_shapes.size()) ? m_shapes[workspace].unused : none;
}

}

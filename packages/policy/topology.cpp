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
        rebuild(info.slots);
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
            // Withdraws the worker's counts from the old rack before it is entered in the new one.
            worker.info.usable = false;
            refresh(index);
            std::erase(m_racks[worker.rack].workers, index);
        }
        worker.rack = rack->second;
        auto &members = m_racks[worker.rack].workers;
        members.insert(std::lower_bound(members.begin(), members.end(), index), index);
    }
    worker.info = info;
    worker.all = blockMask(0, info.slots);
    refresh(index);
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
    for (const auto &use : worker.pins) {
        std::erase_if(m_regions[use.owner].blocks, [index](const auto &block) { return block.worker == index; });
    }
    worker.uses.clear();
    worker.pins.clear();
    worker.info.usable = false;
    refresh(index);
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
    auto promised = LevelCounts{};
    for (const auto &guarantee : shapes.guarantees) {
        // A shape that no fleet can form is left out; the validation of the configuration rejects it.
        if (const auto level = shapeLevel(guarantee.slots, m_workerSlots); level < shapeLevels) {
            promised[level] += guarantee.count;
        }
    }
    auto wanted = promised;
    while (true) {
        wanted = promised;
        for (auto region : shapes.regions) {
            --wanted[m_regions[region].level];
        }
        const auto surplus = std::find_if(shapes.regions.rbegin(), shapes.regions.rend(), [&](int region) { return wanted[m_regions[region].level] < 0; });
        if (surplus == shapes.regions.rend()) {
            break;
        }
        // The region ends with its last user, so every round removes at least one.
        const auto region = *surplus;
        for (auto i = 0; i < static_cast<int>(m_allocations.size()); ++i) {
            const auto &used = m_allocations[i].regions;
            if (std::find(used.begin(), used.end(), region) != used.end()) {
                setHold(i, m_allocations[i].reclaimable ? Hold::Reclaimable : Hold::Fixed);
            }
        }
    }
    for (auto level = 0; level < shapeLevels; ++level) {
        addDemand(level, wanted[level] - shapes.unused[level]);
        shapes.unused[level] = wanted[level];
    }
}

auto Topology::setGuarantees(int workspace, std::span<const Guarantee> guarantees) -> void
{
    shapesOf(workspace).guarantees.assign(guarantees.begin(), guarantees.end());
    recountShapes(workspace);
}

auto Topology::rebuild(int workerSlots) -> void
{
    // Sizes above one worker change their meaning, so every covered allocation loses its regions first; the scheduler
    // covers them again.
    for (auto i = 0; i < static_cast<int>(m_allocations.size()); ++i) {
        if (m_allocations[i].hold == Hold::Covered) {
            setHold(i, m_allocations[i].reclaimable ? Hold::Reclaimable : Hold::Fixed);
        }
    }
    m_workerSlots = workerSlots;
    m_formable = {};
    for (auto &rack : m_racks) {
        rack.whole = 0;
    }
    for (auto i = 0; i < static_cast<int>(m_workers.size()); ++i) {
        m_workers[i].blocks = {};
        m_workers[i].available = 0;
        refresh(i);
    }
    for (auto w = 0; w < static_cast<int>(m_shapes.size()); ++w) {
        recountShapes(w);
    }
}

auto Topology::countRack(int rack, int sign) -> void
{
    for (auto q = 1; workerLevel() + q < shapeLevels; ++q) {
        m_formable[workerLevel() + q] += sign * (m_racks[rack].whole >> q);
    }
}

auto Topology::refresh(int index) -> void
{
    auto &worker = m_workers[index];
    if (worker.rack < 0 || !worker.present) {
        return;
    }
    const auto oldFree = std::popcount(worker.free);
    const auto oldBlocks = worker.blocks;
    const auto wasWhole = worker.available != 0 && std::popcount(worker.available) == m_workerSlots;
    auto hard = SlotMask{0};
    auto soft = SlotMask{0};
    auto urgent = SlotMask{0};
    auto stopping = SlotMask{0};
    for (const auto &use : worker.uses) {
        const auto &owner = m_allocations[use.owner];
        switch (owner.hold) {
        case Hold::Covered:
        case Hold::Fixed:
            hard |= use.mask;
            break;
        case Hold::Reclaimable:
            soft |= use.mask;
            urgent |= owner.urgency == Urgency::Urgent ? use.mask : 0;
            break;
        case Hold::Stopping:
            stopping |= use.mask;
            break;
        }
    }
    worker.pinned = 0;
    for (const auto &pin : worker.pins) {
        worker.pinned |= pin.mask;
    }
    const auto usable = worker.info.usable ? worker.all : SlotMask{0};
    worker.free = usable & ~(hard | soft | stopping);
    worker.soft = usable & (soft | stopping) & ~hard;
    worker.softUrgent = worker.soft & urgent;
    worker.stopping = worker.soft & stopping & ~soft;
    worker.available = (worker.free | worker.soft) & ~worker.pinned;
    worker.blocks = countBlocks(worker.available);
    m_freeSlots += std::popcount(worker.free) - oldFree;
    for (auto level = 0U; level < worker.blocks.size(); ++level) {
        m_formable[level] += (static_cast<int>(level) <= workerLevel()) ? worker.blocks[level] - oldBlocks[level] : 0;
    }
    const auto isWhole = worker.available != 0 && std::popcount(worker.available) == m_workerSlots;
    if (isWhole != wasWhole) {
        countRack(worker.rack, -1);
        m_racks[worker.rack].whole += isWhole ? 1 : -1;
        countRack(worker.rack, 1);
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
    for (auto region : entered.regions) {
        ++m_regions[region].users;
    }
    for (const auto &block : entered.blocks) {
        m_workers[block.worker].uses.push_back({index, block.mask});
    }
    for (const auto &block : entered.blocks) {
        refresh(block.worker);
    }
    return index;
}

auto Topology::release(int index) -> void
{
    auto &allocation = m_allocations[index];
    leaveRegions(allocation);
    for (const auto &block : allocation.blocks) {
        if (block.worker >= 0) {
            eraseUse(m_workers[block.worker].uses, index);
            refresh(block.worker);
        }
    }
    allocation = Allocation{};
    m_freeAllocations.push_back(index);
}

auto Topology::leaveRegions(Allocation &allocation) -> void
{
    for (auto region : allocation.regions) {
        if (--m_regions[region].users == 0) {
            unpin(region);
        }
    }
    allocation.regions.clear();
}

auto Topology::setHold(int index, Hold hold, std::vector<int> regions) -> void
{
    auto &allocation = m_allocations[index];
    for (auto region : regions) {
        ++m_regions[region].users;
    }
    leaveRegions(allocation);
    allocation.hold = hold;
    allocation.regions = std::move(regions);
    for (const auto &block : allocation.blocks) {
        if (block.worker >= 0) {
            refresh(block.worker);
        }
    }
}

auto Topology::setExpectedEnd(int allocation, MonoTime start, MonoTime end) -> void
{
    m_allocations[allocation].since = start;
    m_allocations[allocation].expectedEnd = end;
}

auto Topology::pin(int workspace, int level, std::vector<SlotBlock> blocks) -> int
{
    auto index = static_cast<int>(m_regions.size());
    if (m_freeRegions.empty()) {
        m_regions.emplace_back();
    } else {
        index = m_freeRegions.back();
        m_freeRegions.pop_back();
    }
    m_regions[index] = {workspace, level, 0, std::move(blocks)};
    for (const auto &block : m_regions[index].blocks) {
        m_workers[block.worker].pins.push_back({index, block.mask});
        refresh(block.worker);
    }
    auto &shapes = shapesOf(workspace);
    shapes.regions.insert(std::lower_bound(shapes.regions.begin(), shapes.regions.end(), index), index);
    --shapes.unused[level];
    addDemand(level, -1);
    return index;
}

auto Topology::unpin(int index) -> void
{
    auto &region = m_regions[index];
    for (const auto &block : region.blocks) {
        eraseUse(m_workers[block.worker].pins, index);
        refresh(block.worker);
    }
    auto &shapes = shapesOf(region.workspace);
    std::erase(shapes.regions, index);
    ++shapes.unused[region.level];
    addDemand(region.level, 1);
    region = Region{};
    m_freeRegions.push_back(index);
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
            loss[workerLevel() + q] += (m_racks[rack].whole >> q) - ((m_racks[rack].whole - broken) >> q);
        }
    }
    return loss;
}

auto Topology::admissible(const LevelCounts &loss, int pinned) const -> bool
{
    for (auto level = 0; level < shapeLevels; ++level) {
        const auto net = loss[level] - (level <= pinned ? 1 << (pinned - level) : 0);
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

auto Topology::regionsOf(int workspace) const -> const std::vector<int> &
{
    static const auto none = std::vector<int>{};
    return workspace < static_cast<int>(m_shapes.size()) ? m_shapes[workspace].regions : none;
}

auto Topology::unusedShapes(int workspace) const -> const LevelCounts &
{
    static const auto none = LevelCounts{};
    return workspace < static_cast<int>(m_shapes.size()) ? m_shapes[workspace].unused : none;
}

}

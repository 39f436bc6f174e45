#include "state/guarantees.h"

#include <algorithm>
#include <bit>
#include <functional>
#include <map>
#include <numeric>

namespace Catkin
{

namespace
{

/// @param racks number of workers of every rack
/// @param size workers of a block; a block lies in one rack
/// @return number of blocks that remain in the worst case after @p lost workers have failed.
/// The first block of a rack is lost after (workers mod size) + 1 failures, each further block after size more failures, which
/// is never less. The worst case is therefore that the failures hit the blocks that need the fewest failures.
auto blocksAfterWorkerLoss(const std::vector<int> &racks, int size, int lost) -> std::int64_t
{
    auto blocks = std::int64_t{0};
    auto firstCosts = std::vector<int>{};
    for (const auto workers : racks) {
        blocks += workers / size;
        if (workers >= size) {
            firstCosts.push_back(workers % size + 1);
        }
    }
    std::sort(firstCosts.begin(), firstCosts.end());
    auto failuresLeft = lost;
    auto destroyed = std::int64_t{0};
    for (const auto cost : firstCosts) {
        if (cost > failuresLeft) {
            return blocks - destroyed;
        }
        failuresLeft -= cost;
        ++destroyed;
    }
    return std::max<std::int64_t>(0, blocks - destroyed - failuresLeft / size);
}

/// Like blocksAfterWorkerLoss(), after the loss of the @p lost racks with the most blocks.
auto blocksAfterRackLoss(const std::vector<int> &racks, int size, int lost) -> std::int64_t
{
    auto blocks = std::vector<std::int64_t>{};
    for (const auto workers : racks) {
        blocks.push_back(workers / size);
    }
    std::sort(blocks.begin(), blocks.end(), std::greater<>());
    const auto lostRacks = std::min<std::size_t>(static_cast<std::size_t>(std::max(0, lost)), blocks.size());
    return std::accumulate(blocks.begin() + static_cast<std::ptrdiff_t>(lostRacks), blocks.end(), std::int64_t{0});
}

}

auto blockSlots(SlotCount slots) -> SlotCount
{
    return {static_cast<std::int64_t>(std::bit_ceil(static_cast<std::uint64_t>(std::max<std::int64_t>(1, slots.value))))};
}

auto findShortfalls(const std::vector<ShapeDemand> &demands, const DomainFleet &fleet, const ToleratedLosses &losses) -> std::vector<Shortfall>
{
    auto bySize = std::map<SlotCount, std::int64_t, std::greater<>>{};
    for (const auto &it : demands) {
        bySize[blockSlots(it.slots)] += it.count;
    }
    auto shortfalls = std::vector<Shortfall>{};
    auto neededSlots = std::int64_t{0};
    for (const auto &[size, count] : bySize) {
        // Every size divides the next larger one, so larger shapes take a whole number of blocks of this size.
        neededSlots += count * size.value;
        const auto needed = neededSlots / size.value;
        const auto perWorker = std::max(1, fleet.slotsPerWorker);
        const auto workers = static_cast<int>(std::max<std::int64_t>(1, size.value / perWorker));
        const auto perBlock = std::max<std::int64_t>(1, perWorker / size.value);
        const auto capacity = fleet.slotsPerWorker <= 0 ? std::vector<int>{} : fleet.workersPerRack;
        const auto intact = blocksAfterWorkerLoss(capacity, workers, 0) * perBlock;
        const auto workerLoss = blocksAfterWorkerLoss(capacity, workers, losses.workers) * perBlock;
        const auto rackLoss = blocksAfterRackLoss(capacity, workers, losses.racks) * perBlock;
        // A smaller size must not be reported for the excess of a larger one, so only blocks that can be formed count from here on.
        neededSlots = std::min(neededSlots, std::min({intact, workerLoss, rackLoss}) * size.value);
        if (needed > intact) {
            shortfalls.push_back({size, needed, intact, LossKind::None});
        } else if (needed > std::min(workerLoss, rackLoss)) {
            const auto loss = workerLoss <= rackLoss ? LossKind::Workers : LossKind::Racks;
            shortfalls.push_back({size, needed, std::min(workerLoss, rackLoss), loss});
        }
    }
    return shortfalls;
}

}

#include "policy/shapes.h"

#include <algorithm>
#include <functional>
#include <string>

namespace Catkin
{

namespace
{

auto largestWorker(std::span<const RackCapacity> racks) -> int
{
    auto largest = 1;
    for (const auto &rack : racks) {
        for (auto slots : rack.workerSlots) {
            largest = std::max(largest, slots);
        }
    }
    return largest;
}

/// @return the number of blocks of @p level that one rack forms.
auto rackBlocks(const RackCapacity &rack, int level, int workerLevel) -> int
{
    auto blocks = 0;
    if (level <= workerLevel) {
        for (auto slots : rack.workerSlots) {
            blocks += slots >> level;
        }
        return blocks;
    }
    for (auto slots : rack.workerSlots) {
        blocks += slots == 1 << workerLevel ? 1 : 0;
    }
    return blocks >> (level - workerLevel);
}

auto sumOfLargest(std::vector<int> values, int n) -> int
{
    std::sort(values.begin(), values.end(), std::greater<>{});
    auto sum = 0;
    for (auto i = 0; i < std::min<int>(n, static_cast<int>(values.size())); ++i) {
        sum += values[i];
    }
    return sum;
}

/// @return the largest number of blocks of @p level that a loss of @p lost workers can remove.
auto worstWorkerLoss(std::span<const RackCapacity> racks, int level, int workerLevel, int lost) -> int
{
    if (level <= workerLevel) {
        auto blocks = std::vector<int>{};
        for (const auto &rack : racks) {
            for (auto slots : rack.workerSlots) {
                blocks.push_back(slots >> level);
            }
        }
        return sumOfLargest(std::move(blocks), lost);
    }
    // A rack with F workers of the largest size loses its first block of k workers after (F mod k) + 1 lost workers and each
    // further block after k more. The first block never costs more lost workers than a later one, so taking the cheapest
    // blocks first gives the worst case.
    const auto k = 1 << (level - workerLevel);
    auto lossesNeeded = std::vector<int>{};
    for (const auto &rack : racks) {
        const auto whole = rackBlocks(rack, workerLevel, workerLevel);
        for (auto i = 0; i < whole / k; ++i) {
            lossesNeeded.push_back(i == 0 ? whole % k + 1 : k);
        }
    }
    std::sort(lossesNeeded.begin(), lossesNeeded.end());
    auto removed = 0;
    for (auto needed : lossesNeeded) {
        lost -= needed;
        if (lost < 0) {
            break;
        }
        ++removed;
    }
    return removed;
}

auto blockSizeText(int level, int workerLevel) -> std::string
{
    if (level <= workerLevel) {
        return std::to_string(1 << level) + " adjacent slots";
    }
    return std::to_string(1 << (level - workerLevel)) + " whole workers in one rack";
}

}

auto levelOf(int value) -> int
{
    return value <= 1 ? 0 : static_cast<int>(std::bit_width(static_cast<unsigned>(value - 1)));
}

auto shapeLevel(int slots, int workerSlots) -> int
{
    workerSlots = std::max(workerSlots, 1);
    if (slots <= workerSlots) {
        return levelOf(slots);
    }
    return levelOf(workerSlots) + levelOf((slots - 1) / workerSlots + 1);
}

auto demandedBlocks(std::span<const Guarantee> guarantees, int workerSlots) -> LevelCounts
{
    auto demand = LevelCounts{};
    for (const auto &guarantee : guarantees) {
        const auto level = shapeLevel(guarantee.slots, workerSlots);
        for (auto s = 0; s < shapeLevels && s <= level; ++s) {
            demand[s] += guarantee.count << (std::min(level, shapeLevels) - s);
        }
    }
    return demand;
}

auto formableBlocks(std::span<const RackCapacity> racks) -> LevelCounts
{
    const auto workerLevel = levelOf(largestWorker(racks));
    auto counts = LevelCounts{};
    for (auto level = 0; level < shapeLevels; ++level) {
        for (const auto &rack : racks) {
            counts[level] += rackBlocks(rack, level, workerLevel);
        }
    }
    return counts;
}

auto checkCapacity(const FailureDomainId &domain, std::span<const RackCapacity> racks, std::span<const Guarantee> guarantees, const LossTolerance &tolerance)
    -> Result<void>
{
    const auto workerSlots = largestWorker(racks);
    const auto workerLevel = levelOf(workerSlots);
    for (const auto &guarantee : guarantees) {
        if (guarantee.slots < 1 || guarantee.count < 0) {
            return failure(ErrorCode::InvalidInput, "failure domain " + domain.str() + ": a guarantee needs at least one slot and a count of at least 0");
        }
        if (guarantee.count > 0 && shapeLevel(guarantee.slots, workerSlots) >= shapeLevels) {
            return failure(ErrorCode::Limit, "failure domain " + domain.str() + ": a shape of " + std::to_string(guarantee.slots) + " slots is too large");
        }
    }
    const auto demand = demandedBlocks(guarantees, workerSlots);
    const auto formable = formableBlocks(racks);
    // The shapes fit if and only if there are enough blocks of every size, so the worst loss is found for each size alone.
    for (auto level = shapeLevels - 1; level >= 0; --level) {
        if (demand[level] == 0) {
            continue;
        }
        auto perRack = std::vector<int>{};
        for (const auto &rack : racks) {
            perRack.push_back(rackBlocks(rack, level, workerLevel));
        }
        const auto check = [&](int lost, const std::string &after) -> Result<void> {
            if (formable[level] - lost >= demand[level]) {
                return success();
            }
            return failure(ErrorCode::Limit,
                           "failure domain " + domain.str() + ": the guarantees need " + std::to_string(demand[level]) + " blocks of "
                               + blockSizeText(level, workerLevel) + ", but only " + std::to_string(formable[level] - lost) + " can be formed" + after);
        };
        if (auto result = check(0, ""); !result) {
            return result;
        }
        if (auto result
            = check(worstWorkerLoss(racks, level, workerLevel, tolerance.workers), " after losing " + std::to_string(tolerance.workers) + " workers");
            !result) {
            return result;
        }
        if (auto result = check(sumOfLargest(std::move(perRack), tolerance.racks), " after losing " + std::to_string(tolerance.racks) + " racks"); !result) {
            return result;
        }
    }
    return success();
}

}

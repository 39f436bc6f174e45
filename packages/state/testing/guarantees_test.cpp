#include "state/guarantees.h"
#include "util/random.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Catkin;

namespace
{

/// Tries every place for every shape, so its answer is exact.
/// @param racks free slots of every worker of every rack
/// @param sizes block sizes, largest first; those from index @p next on are still to be placed
auto canPack(std::vector<std::vector<int>> &racks, const std::vector<int> &sizes, std::size_t next, int slotsPerWorker) -> bool
{
    if (next == sizes.size()) {
        return true;
    }
    const auto size = sizes[next];
    for (auto &rack : racks) {
        if (size <= slotsPerWorker) {
            for (auto &free : rack) {
                if (free >= size) {
                    free -= size;
                    const auto packed = canPack(racks, sizes, next + 1, slotsPerWorker);
                    free += size;
                    if (packed) {
                        return true;
                    }
                }
            }
            continue;
        }
        const auto whole = std::count(rack.begin(), rack.end(), slotsPerWorker);
        if (whole >= size / slotsPerWorker) {
            auto workersLeft = size / slotsPerWorker;
            const auto before = rack;
            for (auto &free : rack) {
                if (workersLeft > 0 && free == slotsPerWorker) {
                    free = 0;
                    --workersLeft;
                }
            }
            const auto packed = canPack(racks, sizes, next + 1, slotsPerWorker);
            rack = before;
            if (packed) {
                return true;
            }
        }
    }
    return false;
}

/// @param left number of workers that may still be lost, from the racks from index @p from on
/// @return whether all blocks can be placed after every such loss.
auto survivesWorkers(std::vector<int> &racks, const std::vector<int> &sizes, int slotsPerWorker, int left, std::size_t from) -> bool
{
    auto free = std::vector<std::vector<int>>{};
    for (const auto workers : racks) {
        free.emplace_back(static_cast<std::size_t>(workers), slotsPerWorker);
    }
    if (!canPack(free, sizes, 0, slotsPerWorker)) {
        return false;
    }
    for (auto i = from; left > 0 && i < racks.size(); ++i) {
        if (racks[i] > 0) {
            --racks[i];
            const auto survives = survivesWorkers(racks, sizes, slotsPerWorker, left - 1, i);
            ++racks[i];
            if (!survives) {
                return false;
            }
        }
    }
    return true;
}

/// Like survivesWorkers(), for the loss of @p left racks.
auto survivesRacks(std::vector<int> &racks, const std::vector<int> &sizes, int slotsPerWorker, int left, std::size_t from) -> bool
{
    if (!survivesWorkers(racks, sizes, slotsPerWorker, 0, 0)) {
        return false;
    }
    for (auto i = from; left > 0 && i < racks.size(); ++i) {
        const auto workers = std::exchange(racks[i], 0);
        const auto survives = survivesRacks(racks, sizes, slotsPerWorker, left - 1, i + 1);
        racks[i] = workers;
        if (!survives) {
            return false;
        }
    }
    return true;
}

}

// Guards against accepting guarantees that do not hold after a tolerated loss, and against refusing guarantees that hold.
TEST_CASE("findShortfalls() finds none exactly when the blocks can be placed after every tolerated loss")
{
    auto random = Random{11};
    auto rejected = 0;
    constexpr auto rounds = 3000;
    for (auto round = 0; round < rounds; ++round) {
        const auto fleet = DomainFleet{
            .domain = {},
            .slotsPerWorker = 4,
            .workersPerRack = {static_cast<int>(uniform(random, 6)), static_cast<int>(uniform(random, 6)), static_cast<int>(uniform(random, 5))},
        };
        const auto losses = ToleratedLosses{static_cast<int>(uniform(random, 3)), static_cast<int>(uniform(random, 2))};
        auto demands = std::vector<ShapeDemand>{};
        auto sizes = std::vector<int>{};
        for (auto i = uniform(random, 4); i > 0; --i) {
            demands.push_back({{1 + uniform(random, 16)}, 1 + uniform(random, 2)});
            sizes.insert(sizes.end(), static_cast<std::size_t>(demands.back().count), static_cast<int>(blockSlots(demands.back().slots).value));
        }
        std::sort(sizes.rbegin(), sizes.rend());
        auto racks = fleet.workersPerRack;
        const auto holds = survivesWorkers(racks, sizes, 4, losses.workers, 0) && survivesRacks(racks, sizes, 4, losses.racks, 0);
        CAPTURE(round);
        REQUIRE(findShortfalls(demands, fleet, losses).empty() == holds);
        rejected += holds ? 0 : 1;
    }
    CHECK(rejected > rounds / 5);
    CHECK(rejected < rounds * 4 / 5);
}

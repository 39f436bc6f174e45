#include "policy/shapes.h"
#include "util/random.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Catkin;

namespace
{

struct TestWorker
{
    int rack;
    int slots;
    SlotMask used = 0;
};

/// Exhaustive search: places the shapes one by one in every possible way.
/// @param shapes sizes in slots, ascending; the largest is placed first
auto canPlaceAll(std::vector<TestWorker> &fleet, std::vector<int> shapes, int largest) -> bool
{
    if (shapes.empty()) {
        return true;
    }
    const auto shape = shapes.back();
    shapes.pop_back();
    if (shape <= largest) {
        const auto size = static_cast<int>(std::bit_ceil(static_cast<unsigned>(shape)));
        const auto block = static_cast<SlotMask>((std::uint64_t{1} << size) - 1);
        for (auto &worker : fleet) {
            for (auto first = 0; first + size <= worker.slots; first += size) {
                if ((worker.used & (block << first)) != 0) {
                    continue;
                }
                worker.used |= block << first;
                const auto fits = canPlaceAll(fleet, shapes, largest);
                worker.used &= ~(block << first);
                if (fits) {
                    return true;
                }
            }
        }
        return false;
    }
    const auto workerCount = static_cast<int>(std::bit_ceil(static_cast<unsigned>((shape + largest - 1) / largest)));
    for (auto choice = 1U; choice < 1U << fleet.size(); ++choice) {
        auto rack = -1;
        auto valid = std::popcount(choice) == workerCount;
        for (auto i = 0U; valid && i < fleet.size(); ++i) {
            if ((choice >> i & 1U) != 0) {
                valid = fleet[i].used == 0 && fleet[i].slots == largest && (rack < 0 || rack == fleet[i].rack);
                rack = fleet[i].rack;
            }
        }
        if (!valid) {
            continue;
        }
        auto taken = fleet;
        for (auto i = 0U; i < fleet.size(); ++i) {
            taken[i].used = (choice >> i & 1U) != 0 ? ~SlotMask{0} : taken[i].used;
        }
        if (canPlaceAll(taken, shapes, largest)) {
            return true;
        }
    }
    return false;
}

/// @return whether the shapes can be placed after every loss that @p tolerance allows.
auto survivesEveryLoss(const std::vector<TestWorker> &fleet, const std::vector<int> &shapes, int largest, const LossTolerance &tolerance) -> bool
{
    for (auto lost = 0U; lost < 1U << fleet.size(); ++lost) {
        auto left = std::vector<TestWorker>{};
        auto racksLost = std::vector<int>{};
        for (auto i = 0U; i < fleet.size(); ++i) {
            if ((lost >> i & 1U) == 0) {
                left.push_back(fleet[i]);
            } else if (std::find(racksLost.begin(), racksLost.end(), fleet[i].rack) == racksLost.end()) {
                racksLost.push_back(fleet[i].rack);
            }
        }
        const auto tolerated = std::popcount(lost) <= tolerance.workers || static_cast<int>(racksLost.size()) <= tolerance.racks;
        if (tolerated && !canPlaceAll(left, shapes, largest)) {
            return false;
        }
    }
    return true;
}

}

TEST_CASE("guarantees are accepted exactly when an exhaustive search can place them after every tolerated loss")
{
    // Guards against block counts that accept guarantees which the fleet cannot form, or refuse some that it can.
    auto random = Random{11};
    auto accepted = 0;
    for (auto round = 0; round < 1500; ++round) {
        const auto largest = 2 << uniform(random, 2);
        auto fleet = std::vector<TestWorker>{};
        auto racks = std::vector<RackCapacity>{};
        const auto rackCount = 1 + uniform(random, 3);
        for (auto r = 0U; r < rackCount; ++r) {
            racks.push_back({RackId{std::to_string(r)}, {}});
            for (auto w = 0U; w < 1 + uniform(random, 3) && fleet.size() < 6; ++w) {
                const auto slots = w == 0 || uniform(random, 4) != 0 ? largest : largest / 2;
                racks.back().workerSlots.push_back(slots);
                fleet.push_back({static_cast<int>(r), slots});
            }
        }
        auto guarantees = std::vector<Guarantee>{};
        auto shapes = std::vector<int>{};
        for (auto g = 0U; g < 1 + uniform(random, 3); ++g) {
            guarantees.push_back({1 + static_cast<int>(uniform(random, largest * 2)), 1 + static_cast<int>(uniform(random, 2))});
            shapes.insert(shapes.end(), guarantees.back().count, guarantees.back().slots);
        }
        std::sort(shapes.begin(), shapes.end());
        const auto tolerance = LossTolerance{static_cast<int>(uniform(random, 2)), static_cast<int>(uniform(random, 2))};
        const auto result = checkCapacity(FailureDomainId{"d"}, racks, guarantees, tolerance);
        CHECK(result.has_value() == survivesEveryLoss(fleet, shapes, largest, tolerance));
        accepted += result.has_value() ? 1 : 0;
    }
    CHECK(accepted > 150);
    CHECK(accepted < 1350);
}

TEST_CASE("the error for guarantees that do not fit names the failure domain, the block size and the loss")
{
    const auto racks = std::vector<RackCapacity>{{RackId{"r"}, {8, 8}}};
    const auto result = checkCapacity(FailureDomainId{"burgos"}, racks, std::vector<Guarantee>{{16, 1}}, {.workers = 1});
    REQUIRE_FALSE(result);
    CHECK(result.error().message
          == "failure domain burgos: the guarantees need 1 blocks of 2 whole workers in one rack, but only 0 can be formed after losing 1 workers");
}

#include "policy/shapes.h"
#include "util/random.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Catkin;

namespace
{

struct Bin
{
    int rack;
    int slots;
    SlotMask used = 0;
};

/// Exhaustive search: places the shapes one by one, largest first, in every possible way.
auto fitsSomehow(std::vector<Bin> &bins, std::vector<int> shapes, int largest) -> bool
{
    if (shapes.empty()) {
        return true;
    }
    const auto shape = shapes.back();
    shapes.pop_back();
    if (shape <= largest) {
        const auto size = static_cast<int>(std::bit_ceil(static_cast<unsigned>(shape)));
        const auto block = static_cast<SlotMask>((std::uint64_t{1} << size) - 1);
        for (auto &bin : bins) {
            for (auto first = 0; first + size <= bin.slots; first += size) {
                if ((bin.used & (block << first)) != 0) {
                    continue;
                }
                bin.used |= block << first;
                const auto fits = fitsSomehow(bins, shapes, largest);
                bin.used &= ~(block << first);
                if (fits) {
                    return true;
                }
            }
        }
        return false;
    }
    const auto workers = static_cast<int>(std::bit_ceil(static_cast<unsigned>((shape + largest - 1) / largest)));
    for (auto choice = 1U; choice < 1U << bins.size(); ++choice) {
        auto rack = -1;
        auto valid = std::popcount(choice) == workers;
        for (auto i = 0U; valid && i < bins.size(); ++i) {
            if ((choice >> i & 1U) != 0) {
                valid = bins[i].used == 0 && bins[i].slots == largest && (rack < 0 || rack == bins[i].rack);
                rack = bins[i].rack;
            }
        }
        if (!valid) {
            continue;
        }
        auto taken = bins;
        for (auto i = 0U; i < bins.size(); ++i) {
            taken[i].used = (choice >> i & 1U) != 0 ? ~SlotMask{0} : taken[i].used;
        }
        if (fitsSomehow(taken, shapes, largest)) {
            return true;
        }
    }
    return false;
}

/// Tries every loss of the tolerated size.
auto survivesEveryLoss(const std::vector<Bin> &bins, const std::vector<int> &shapes, int largest, const Tolerate &tolerate) -> bool
{
    for (auto lost = 0U; lost < 1U << bins.size(); ++lost) {
        auto left = std::vector<Bin>{};
        auto racksLost = std::vector<int>{};
        for (auto i = 0U; i < bins.size(); ++i) {
            if ((lost >> i & 1U) == 0) {
                left.push_back(bins[i]);
            } else if (std::find(racksLost.begin(), racksLost.end(), bins[i].rack) == racksLost.end()) {
                racksLost.push_back(bins[i].rack);
            }
        }
        const auto tolerated = std::popcount(lost) <= tolerate.workers || static_cast<int>(racksLost.size()) <= tolerate.racks;
        if (tolerated && !fitsSomehow(left, shapes, largest)) {
            return false;
        }
    }
    return true;
}

}

TEST_CASE("the block counts agree with an exhaustive search over places and losses")
{
    // Guards against accepting a configuration that cannot be kept, and against refusing one that can.
    auto random = Random{11};
    auto accepted = 0;
    for (auto round = 0; round < 1500; ++round) {
        const auto largest = 2 << uniform(random, 2);
        auto bins = std::vector<Bin>{};
        auto racks = std::vector<RackCapacity>{};
        const auto rackCount = 1 + uniform(random, 3);
        for (auto r = 0U; r < rackCount; ++r) {
            racks.push_back({RackId{std::to_string(r)}, {}});
            for (auto w = 0U; w < 1 + uniform(random, 3) && bins.size() < 6; ++w) {
                const auto slots = w == 0 || uniform(random, 4) != 0 ? largest : largest / 2;
                racks.back().workerSlots.push_back(slots);
                bins.push_back({static_cast<int>(r), slots});
            }
        }
        auto guarantees = std::vector<Guarantee>{};
        auto shapes = std::vector<int>{};
        for (auto g = 0U; g < 1 + uniform(random, 3); ++g) {
            guarantees.push_back({1 + static_cast<int>(uniform(random, largest * 2)), 1 + static_cast<int>(uniform(random, 2))});
            shapes.insert(shapes.end(), guarantees.back().count, guarantees.back().slots);
        }
        std::sort(shapes.begin(), shapes.end());
        const auto tolerate = Tolerate{static_cast<int>(uniform(random, 2)), static_cast<int>(uniform(random, 2))};
        const auto result = checkCapacity(FailureDomainId{"d"}, racks, guarantees, tolerate);
        CHECK(result.has_value() == survivesEveryLoss(bins, shapes, largest, tolerate));
        accepted += result.has_value() ? 1 : 0;
    }
    CHECK(accepted > 150);
    CHECK(accepted < 1350);
}

TEST_CASE("a refused configuration names the failure domain, the shape and the loss")
{
    const auto racks = std::vector<RackCapacity>{{RackId{"r"}, {8, 8}}};
    const auto result = checkCapacity(FailureDomainId{"burgos"}, racks, std::vector<Guarantee>{{16, 1}}, {.workers = 1});
    REQUIRE_FALSE(result);
    CHECK(result.error().message
          == "failure domain burgos: the guarantees need 1 blocks of 2 whole workers in one rack, but only 0 can be formed after losing 1 workers");
}

#pragma once

/// Worst-case arithmetic of guaranteed shapes in one failure domain.
///
/// @code
///   auto fleet = Catkin::DomainFleet{.domain = Catkin::FailureDomainId{"oviedo"}, .slotsPerWorker = 8, .workersPerRack = {8, 8, 6}};
///   auto missing = Catkin::findShortfalls({{{64}, 2}, {{4}, 10}}, fleet, {.workers = 1, .racks = 0});
/// @endcode

#include "util/ids.h"
#include "util/units.h"

#include <cstdint>
#include <vector>

namespace Catkin
{

/// The workers of one failure domain. When their sizes differ, slotsPerWorker is the smallest.
struct DomainFleet
{
    FailureDomainId domain;
    int slotsPerWorker = 0; ///< a power of two
    std::vector<int> workersPerRack;
};

/// Losses that the guarantees of every failure domain have to survive: that many workers, or that many racks.
struct ToleratedLosses
{
    int workers = 1;
    int racks = 0;

    auto operator==(const ToleratedLosses &) const -> bool = default;
};

/// A number of shapes of the same size.
struct ShapeDemand
{
    SlotCount slots; ///< as promised, before rounding
    std::int64_t count = 0;
};

enum class LossKind { None, Workers, Racks };

/// A block size of which there are too few.
struct Shortfall
{
    SlotCount blockSlots; ///< rounded size of the blocks
    std::int64_t needed = 0; ///< blocks of this size that the shapes of this and larger sizes take
    std::int64_t available = 0; ///< blocks that remain after the worst loss
    LossKind loss = LossKind::None; ///< the loss that causes it; None when the intact fleet is already too small
};

/// @return the size of the block that a shape of @p slots occupies: the next power of two.
/// On workers with a power-of-two number of slots this also rounds larger shapes up to a power of two of whole workers.
auto blockSlots(SlotCount slots) -> SlotCount;

/// @param demands shapes promised in the failure domain by all workspaces
/// @param fleet its workers
/// @param losses what has to be survived
/// @return the sizes that cannot be formed all at once, in descending order of size; empty when the promises hold.
auto findShortfalls(const std::vector<ShapeDemand> &demands, const DomainFleet &fleet, const ToleratedLosses &losses) -> std::vector<Shortfall>;

}

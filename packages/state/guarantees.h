#pragma once

/// Checks whether a failure domain can keep all its guarantees after the worst tolerated loss of workers or racks.
///
/// @code
///   auto fleet = Catkin::DomainFleet{.domain = Catkin::FailureDomainId{"oviedo"}, .slotsPerWorker = 8, .workersPerRack = {8, 8, 6}};
///   auto shortfalls = Catkin::findShortfalls({{{64}, 2}, {{4}, 10}}, fleet, {.workers = 1, .racks = 0});
/// @endcode
///
/// A guarantee promises shapes: numbers of adjacent slots. A shape occupies a block, whose size is a power of two.

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

/// Losses after which every failure domain must still keep its guarantees: this many workers or this many racks, not both at once.
struct ToleratedLosses
{
    int workers = 1;
    int racks = 0;

    auto operator==(const ToleratedLosses &) const -> bool = default;
};

/// A number of promised shapes of the same size.
struct ShapeDemand
{
    SlotCount slots; ///< size of one shape as promised, before rounding to a block
    std::int64_t count = 0;
};

enum class LossKind { None, Workers, Racks };

/// A block size of which the failure domain has too few.
struct Shortfall
{
    SlotCount blockSlots; ///< size of a block
    std::int64_t needed = 0; ///< blocks of this size that the shapes of this and larger sizes occupy
    std::int64_t available = 0; ///< blocks of this size that remain after the worst loss
    LossKind loss = LossKind::None; ///< loss after which too few remain; None when even the intact fleet has too few
};

/// @return the size of the block that a shape of @p slots occupies: the smallest power of two that is not below @p slots.
/// As the slots of a worker are a power of two, a shape larger than a worker occupies a power of two of whole workers.
auto blockSlots(SlotCount slots) -> SlotCount;

/// @param demands shapes promised in the failure domain by all workspaces
/// @param fleet its workers
/// @param losses losses after which the promises must still hold
/// @return the block sizes of which there are too few, largest first; empty when all promises hold at the same time.
auto findShortfalls(const std::vector<ShapeDemand> &demands, const DomainFleet &fleet, const ToleratedLosses &losses) -> std::vector<Shortfall>;

}

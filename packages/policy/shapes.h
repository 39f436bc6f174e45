#pragma once

/// Guarantee arithmetic: whether a set of guaranteed shapes fits a fleet (design.md, section 3.3).
///
/// A shape of up to one worker's slots is an aligned block of a power of two of slots inside one worker. A larger
/// shape is a power of two of whole workers inside one rack. Every size divides the next larger one, so counting the
/// blocks of each size is exact: shapes fit at once if and only if, for every size s, the number of blocks of size s
/// that can be formed is at least the number of blocks of size s contained in all shapes of size s or larger.
/// @code
///   auto ok = Catkin::checkCapacity(FailureDomainId{"burgos"}, racks, {{.slots = 64, .count = 1}}, {.workers = 1});
///   if (!ok) report(ok.error().message);
/// @endcode

#include "policy/jobspec.h"
#include "util/outcome.h"

#include <array>
#include <span>

namespace Catkin
{

/// @p count shapes of @p slots adjacent slots each.
struct Guarantee
{
    int slots = 0;
    int count = 0;

    auto operator==(const Guarantee &other) const -> bool = default;
};

/// Losses that guarantees must survive in each failure domain: this many workers, or this many racks.
struct Tolerate
{
    int workers = 0;
    int racks = 0;
};

/// The workers of one rack, as the number of slots of each.
struct RackCapacity
{
    RackId rack;
    std::vector<int> workerSlots;
};

/// Number of block sizes: 1, 2, 4, … slots up to 64 workers of 32 slots.
inline constexpr auto shapeLevels = 12;

/// A count for each block size; index n stands for blocks of 2^n slots.
using LevelCounts = std::array<int, shapeLevels>;

/// @return the smallest n with 2^n >= @p value; 0 for values below 1.
auto levelOf(int value) -> int;

/// @return the level of a shape of @p slots slots where the largest workers have @p workerSlots slots, rounded up as
/// section 3.3 says; shapeLevels or more when it is larger than any block.
auto shapeLevel(int slots, int workerSlots) -> int;

/// @param guarantees the shapes of all workspaces
/// @param workerSlots slots of the largest workers
/// @return for each size the number of blocks of that size contained in all shapes of that size or larger.
auto demandedBlocks(std::span<const Guarantee> guarantees, int workerSlots) -> LevelCounts;

/// @return for each size the number of blocks that the idle workers of @p racks form.
auto formableBlocks(std::span<const RackCapacity> racks) -> LevelCounts;

/// Checks that a set of guarantees fits a failure domain, also after any loss that must be tolerated.
/// @param domain named in the message
/// @param racks the known workers
/// @param guarantees the shapes of all workspaces in this failure domain
/// @param tolerate the losses to survive; workers and racks are not lost at the same time
/// @return success, or ErrorCode::Limit with the reason.
auto checkCapacity(const FailureDomainId &domain, std::span<const RackCapacity> racks, std::span<const Guarantee> guarantees, const Tolerate &tolerate)
    -> Result<void>;

}

#pragma once

/// Checks whether a failure domain can form a set of guaranteed shapes (design.md, section 3.3).
/// @code
///   auto ok = Catkin::checkCapacity(FailureDomainId{"burgos"}, racks, {{.slots = 64, .count = 1}}, {.workers = 1});
///   if (!ok) report(ok.error().message);
/// @endcode
///
/// A set of shapes can be formed at the same time if and only if, for every size s, the racks form at least as many blocks
/// of size s as all shapes of size s or larger contain. Counting is exact because every size divides the next larger one.
///
/// A shape of up to one worker's slots is an aligned block inside one worker; its number of slots is a power of two. A
/// larger shape consists of whole workers of one rack; their number is a power of two.

#include "policy/jobspec.h"
#include "util/outcome.h"

#include <array>
#include <span>

namespace Catkin
{

/// A number of shapes of the same size.
struct Guarantee
{
    int slots = 0; ///< adjacent slots of each shape
    int count = 0;

    auto operator==(const Guarantee &other) const -> bool = default;
};

/// The losses after which the guarantees of a failure domain must still fit: either of @c workers or of @c racks.
struct LossTolerance
{
    int workers = 0;
    int racks = 0;
};

/// The workers of one rack.
struct RackCapacity
{
    RackId rack;
    std::vector<int> workerSlots; ///< number of slots of each worker, a power of two
};

/// Number of block sizes: 1, 2, 4, … slots, up to 64 workers of 32 slots.
inline constexpr auto shapeLevels = 12;

/// A count for each block size; index n stands for blocks of 2^n slots.
using LevelCounts = std::array<int, shapeLevels>;

/// @return the smallest n with 2^n >= @p value; 0 for values below 1.
auto levelOf(int value) -> int;

/// @param slots size of the shape, rounded up to the next block size (design.md, section 3.3)
/// @param workerSlots slots of the largest workers
/// @return the level of the shape; shapeLevels or more if it is larger than any block.
auto shapeLevel(int slots, int workerSlots) -> int;

/// @param guarantees the shapes of all workspaces
/// @param workerSlots slots of the largest workers
/// @return for each level the number of blocks of its size that all shapes of this size or larger contain.
auto demandedBlocks(std::span<const Guarantee> guarantees, int workerSlots) -> LevelCounts;

/// @return for each level the number of blocks of its size that @p racks form when all workers are idle.
auto formableBlocks(std::span<const RackCapacity> racks) -> LevelCounts;

/// Checks that a set of guarantees fits a failure domain, also after each loss that must be tolerated.
/// @param domain the failure domain, for the message
/// @param racks the known workers
/// @param guarantees the shapes of all workspaces in this failure domain
/// @param tolerance a loss of workers and a loss of racks are checked one at a time
/// @return success; ErrorCode::InvalidInput for a guarantee without slots or with a negative count; ErrorCode::Limit if a
/// shape is larger than any block or the racks form too few blocks.
auto checkCapacity(const FailureDomainId &domain, std::span<const RackCapacity> racks, std::span<const Guarantee> guarantees, const LossTolerance &tolerance)
    -> Result<void>;

}

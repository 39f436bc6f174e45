#pragma once

/// The properties of a job that placement and scheduling use.
///
/// @code
///   auto spec = Catkin::ScheduledJob{.job = JobId{"j-1"}, .workspace = WorkspaceId{"rental"}, .tasks = 4, .slotsPerTask = 2};
///   for (auto slot : Catkin::slotList(member.slots)) { ... }
/// @endcode

#include "util/ids.h"
#include "util/units.h"

#include <bit>
#include <cstdint>
#include <vector>

namespace Catkin
{

/// How close together the tasks of a gang have to be.
enum class Adjacency { Worker, Rack, Any };
/// Ascending: a larger value is more urgent.
enum class Urgency { Batch, Normal, Urgent };

/// Set of slots of one worker; bit n is slot n.
using SlotMask = std::uint32_t;

/// Largest number of slots of one worker.
inline constexpr auto maxWorkerSlots = 32;
/// Largest number of tasks in one gang.
inline constexpr auto maxGangTasks = 64;

/// See the file comment.
struct ScheduledJob
{
    JobId job;
    WorkspaceId workspace;
    CallerId caller;
    KindId kind;
    int tasks = 1; ///< 1 … maxGangTasks
    int slotsPerTask = 1; ///< 1 … maxWorkerSlots
    Adjacency adjacency = Adjacency::Any;
    Urgency urgency = Urgency::Normal;
    bool checkpointable = false;
    bool restartable = false;

    /// @return whether the job may be preempted.
    [[nodiscard]] auto reclaimable() const -> bool
    {
        return checkpointable || restartable;
    }
    /// @return the number of slots that the whole gang holds.
    [[nodiscard]] auto slots() const -> int
    {
        return tasks * slotsPerTask;
    }
};

/// Where one task of a gang runs; the index in the enclosing vector is the member number.
struct MemberPlacement
{
    WorkerId worker;
    SlotMask slots = 0;

    auto operator==(const MemberPlacement &other) const -> bool = default;
};

/// @return the slot numbers in @p mask, ascending.
inline auto slotList(SlotMask mask) -> std::vector<int>
{
    auto list = std::vector<int>{};
    for (; mask != 0; mask &= mask - 1) {
        list.push_back(std::countr_zero(mask));
    }
    return list;
}

/// @return the mask of @p slots; numbers outside 0 … maxWorkerSlots - 1 are ignored.
inline auto slotMask(const std::vector<int> &slots) -> SlotMask
{
    auto mask = SlotMask{0};
    for (auto slot : slots) {
        if (slot >= 0 && slot < maxWorkerSlots) {
            mask |= SlotMask{1} << slot;
        }
    }
    return mask;
}

}

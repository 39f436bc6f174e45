#pragma once

/// Placement of gangs: chooses workers and slots, and the borrowers to preempt.
/// @code
///   auto place = Catkin::placeCovered(topology, gang);
///   if (!place) place = Catkin::placeFree(topology, gang, {});
///   if (place) allocation = Catkin::applyPlacement(topology, gang, *place, job, now);
/// @endcode
///
/// Only applyPlacement() and coverInPlace() change the topology. placeCovered() and unplaceableReason() take it by
/// non-const reference because they change it while they search; they restore it.

#include "policy/topology.h"

#include <optional>
#include <span>
#include <string>

namespace Catkin
{

/// The properties of a gang that its placement depends on.
struct GangRequest
{
    int workspace = 0;
    int tasks = 1;
    int slotsPerTask = 1;
    Adjacency adjacency = Adjacency::Any;
    Urgency urgency = Urgency::Normal;
    bool reclaimable = false; ///< may be stopped
    bool movable = false; ///< keeps its progress when it is stopped
};

/// An unused shape that is placed together with the gang.
struct NewShape
{
    int level = 0;
    std::vector<SlotBlock> blocks;
};

/// Blocks for all tasks of a gang.
struct Placement
{
    std::vector<SlotBlock> members; ///< one block for each task
    bool covered = false; ///< inside the workspace's guarantee
    bool backfill = false; ///< in slots reserved for another job, which can reclaim them
    std::vector<int> placedShapes; ///< indices of the placed shapes that it uses; empty unless covered
    std::vector<NewShape> newShapes; ///< shapes to place for it; empty unless covered
    std::vector<int> displaced; ///< indices, ascending: allocations to preempt, and stopping ones whose release the gang waits for
};

/// Slots that must not be used, by the worker's index. A missing entry blocks nothing.
using BlockedSlots = std::span<const SlotMask>;

/// @param workerSlots slots of the largest workers
/// @return the level of the smallest single shape that the whole gang fits; shapeLevels or more if a task is larger than a
/// worker or the gang larger than any block.
auto gangLevel(const GangRequest &gang, int workerSlots) -> int;

/// Places a gang inside its workspace's guarantee, displacing borrowers where needed.
/// @return nothing if the unused part of the guarantee is too small for the gang.
auto placeCovered(Topology &topology, const GangRequest &gang) -> std::optional<Placement>;

/// Places a gang as a borrower in free slots. A gang that is not reclaimable is placed so that all unused shapes remain
/// formable.
/// @param blocked slots reserved for other jobs
/// @return the placement with the least fragmentation, or nothing.
auto placeFree(const Topology &topology, const GangRequest &gang, BlockedSlots blocked) -> std::optional<Placement>;

/// Places an urgent gang as a borrower in free slots and in slots of reclaimable borrowers that are not urgent.
/// @param blocked slots reserved for other jobs
/// @return the placement that displaces the fewest slots among those compared, or nothing.
auto placePreempting(const Topology &topology, const GangRequest &gang, BlockedSlots blocked) -> std::optional<Placement>;

/// Places a gang on the given blocks.
/// @param members one block for each task
/// @return nothing if a slot is neither free nor reclaimable, or if a gang that is not reclaimable would use blocks of a placed
/// shape or make an unused shape unformable.
auto placeAt(const Topology &topology, const GangRequest &gang, std::vector<SlotBlock> members) -> std::optional<Placement>;

/// Enters the gang in the topology and places the new shapes. The displaced allocations stay until the caller stops them.
/// @return the index of the new allocation.
auto applyPlacement(Topology &topology, const GangRequest &gang, const Placement &placement, const JobId &job, MonoTime now) -> int;

/// Makes a running borrower covered by its workspace's guarantee without moving it, if the guarantee allows it.
/// @return whether it is covered now; if not, nothing has changed.
auto coverInPlace(Topology &topology, int allocation) -> bool;

/// @param idle a topology of the known workers, all usable and without allocations, with the guarantees of every workspace
/// @return the reason why the gang cannot be placed even when no other job runs, or nothing if it can.
auto unplaceableReason(Topology &idle, const GangRequest &gang) -> std::optional<std::string>;

}

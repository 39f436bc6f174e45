#pragma once

/// Where a gang goes: the choice of workers and slots, and of the borrowers that give way.
///
/// All functions leave the topology as they found it (some change it for a moment, hence the non-const reference);
/// applyPlacement() carries a result out.
/// @code
///   auto place = Catkin::placeCovered(topology, gang);
///   if (!place) place = Catkin::placeFree(topology, gang, {});
///   if (place) allocation = Catkin::applyPlacement(topology, gang, *place, job, now);
/// @endcode

#include "policy/topology.h"

#include <optional>
#include <span>
#include <string>

namespace Catkin
{

/// A gang as far as its place is concerned.
struct GangRequest
{
    int workspace = 0;
    int tasks = 1;
    int slotsPerTask = 1;
    Adjacency adjacency = Adjacency::Any;
    Urgency urgency = Urgency::Normal;
    bool reclaimable = false;
    bool movable = false; ///< keeps its progress when it is stopped
};

/// A shape of a guarantee that gets its place together with the gang.
struct NewShape
{
    int level = 0;
    std::vector<SlotBlock> blocks;
};

/// A place for a whole gang.
struct Placement
{
    std::vector<SlotBlock> members;
    bool covered = false;
    bool backfill = false; ///< in slots reserved for another job, which may reclaim them
    std::vector<int> placedShapes; ///< existing placed shapes used; covered only
    std::vector<NewShape> newShapes; ///< covered only
    std::vector<int> displaced; ///< allocations to preempt, and stopping ones to wait for; ascending
};

/// Slots of each worker (by index) that must not be used; may be shorter than the list of workers.
using BlockedSlots = std::span<const SlotMask>;

/// @return the level of the smallest single shape that holds the whole gang.
auto gangLevel(const GangRequest &gang, int workerSlots) -> int;

/// Places a gang inside its workspace's guarantee, displacing borrowers where needed.
/// @return nothing when the unused part of the guarantee does not hold the gang.
auto placeCovered(Topology &topology, const GangRequest &gang) -> std::optional<Placement>;

/// Places a gang as a borrower in free slots. A gang that is not reclaimable leaves every unused shape formable.
/// @param blocked slots kept for others
/// @return the place with the least fragmentation, or nothing.
auto placeFree(const Topology &topology, const GangRequest &gang, BlockedSlots blocked) -> std::optional<Placement>;

/// Places an urgent gang as a borrower in free slots and those of less urgent borrowers.
auto placePreempting(const Topology &topology, const GangRequest &gang, BlockedSlots blocked) -> std::optional<Placement>;

/// Places a gang on the given blocks, or nothing if the slots are not free or softly held, or a guarantee would suffer.
auto placeAt(const Topology &topology, const GangRequest &gang, std::vector<SlotBlock> members) -> std::optional<Placement>;

/// Enters a placement.
/// @return the index of the new allocation.
auto applyPlacement(Topology &topology, const GangRequest &gang, const Placement &placement, const JobId &job, MonoTime now) -> int;

/// Tries to bring a running borrower under its workspace's guarantee where it is.
/// @return whether it is covered now.
auto coverInPlace(Topology &topology, int allocation) -> bool;

/// @param idle the known workers, all usable and without allocations, and every workspace's guarantees
/// @return the reason why a gang cannot run even when nothing else runs, or nothing.
auto unplaceableReason(Topology &idle, const GangRequest &gang) -> std::optional<std::string>;

}

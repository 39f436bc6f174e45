#pragma once

/// Reservations: slots kept for a large waiting job, which other jobs may backfill meanwhile.
/// @code
///   auto reservation = Catkin::chooseReservation(topology, gang, blocked, now);
///   // until then, other jobs may use these slots only if they end before reservation->readyAt or can be reclaimed
///   if (auto place = Catkin::placeReserved(topology, gang, *reservation, spareSlots)) { ... }
/// @endcode

#include "policy/placement.h"

namespace Catkin
{

struct Reservation
{
    JobId job;
    MonoTime chosenAt; ///< when the blocks were chosen
    MonoTime readyAt; ///< when the jobs in the blocks are expected to have ended
    std::vector<SlotBlock> blocks; ///< one for each task
};

/// Chooses the blocks in which the whole gang can start earliest, by the expected ends of the jobs that run there.
/// @param blocked slots of other reservations
/// @return nothing if the usable workers could not hold the gang outside @p blocked even when idle. Blocks of placed shapes
/// are used only for a reclaimable gang.
auto chooseReservation(const Topology &topology, const GangRequest &gang, BlockedSlots blocked, MonoTime now) -> std::optional<Reservation>;

/// Places the gang in its reservation if every allocation there is stopping, backfilled, or a smaller gang that can be moved.
/// @param spareSlots number of free slots elsewhere; the gangs to move must fit in these
/// @return nothing if an allocation must be waited for, or if placeAt() rejects the blocks.
auto placeReserved(const Topology &topology, const GangRequest &gang, const Reservation &reservation, int spareSlots) -> std::optional<Placement>;

/// Adds the slots of a reservation to @p blocked.
auto blockReservedSlots(const Topology &topology, const Reservation &reservation, std::vector<SlotMask> &blocked) -> void;

}

#pragma once

/// Reservations: the place kept for a large waiting job, and who may use it meanwhile.
///
/// @code
///   auto reservation = Catkin::chooseReservation(topology, gang, blocked, now);
///   // others may use the place only if they end before reservation->readyAt, or can be reclaimed
///   if (auto place = Catkin::placeReserved(topology, gang, *reservation)) { ... }
/// @endcode

#include "policy/placement.h"

namespace Catkin
{

struct Reservation
{
    JobId job;
    MonoTime chosenAt; ///< when the place was chosen
    MonoTime readyAt; ///< when the jobs in the place are expected to have ended
    std::vector<SlotBlock> blocks; ///< one for each task
};

/// Chooses the place in which the whole gang can start first, judged by the expected ends of what runs there.
/// @param blocked slots kept for other reservations
/// @return nothing when no usable place exists.
auto chooseReservation(const Topology &topology, const GangRequest &gang, BlockedSlots blocked, MonoTime now) -> std::optional<Reservation>;

/// @return the placement when nothing is left in the place but backfilled borrowers, and
/// smaller borrowers that keep their progress and find room in @p spareSlots free slots elsewhere; or nothing.
auto placeReserved(const Topology &topology, const GangRequest &gang, const Reservation &reservation, int spareSlots) -> std::optional<Placement>;

/// Marks the slots of a reservation, whole task blocks included, in @p blocked.
auto blockReservedSlots(const Topology &topology, const Reservation &reservation, std::vector<SlotMask> &blocked) -> void;

}

#pragma once

/// Bounds on the leases of silent workers, stored so that they outlive the planner that granted the leases. Without them, a new planner has to
/// assume that a worker which it has never heard of got a lease at the last moment before its own term.
///
/// The planner in office stores a bound for each silent worker with attempts, beside its renewals:
/// @code
///   const auto bounds = core.composeLeaseBounds(now);
///   append(encodeLeaseBounds({.epoch = epoch, .bounds = bounds}));
///   core.leaseBoundsStored(bounds);
/// @endcode
/// Every instance reads them. One that claims the leadership stores them again with its claim, and takes them over when its term begins:
/// @code
///   Catkin::noteLeaseBounds(known, record, clock.mono());
///   append(claim, encodeLeaseBounds(Catkin::carriedBounds(known, holder, epoch, clock.mono())));
///   core.adoptLeaseBounds(known.ends);
/// @endcode
///
/// Beside the bounds, a record names the workers that may carry out start orders late, so that the next planner calls a new lifetime of such a worker
/// as early as the planner that gave the orders, see CallFence.
///
/// Why a bound holds:
/// - It is a time that is left when the record is composed. A reader adds it to the later time at which it reads the record.
/// - The planner grants no lease to a worker from the composition of a record that names it until a record without it is stored.
/// - A planner that has been replaced cannot store such a record: the log refuses its epoch.
/// - A claim is appended only where the log ends for the claimant, so that a new planner has read the last record of the earlier one. A record
///   of another term than the last one is void: the planner of that term did not know of it.

#include "util/ids.h"
#include "util/units.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace Catkin
{

/// Workers in one record; the others have no bound, as if they answered.
constexpr auto maxLeaseBounds = std::size_t{512};
/// Length of the ids in one record; with the other fields of maxLeaseBounds workers, it fits into the shortest record of a store.
constexpr auto maxLeaseBoundBytes = std::size_t{32'768};

/// Workers in one record that may carry out start orders late, and the length of their ids.
constexpr auto maxLateStarts = std::size_t{128};
constexpr auto maxLateStartBytes = std::size_t{8'192};

/// Every lease of the worker, granted by any planner, has expired after this time.
struct LeaseBound
{
    WorkerId worker;
    Millis left{0}; ///< from the composition of the record; 0 if the leases have expired
    Millis over{0}; ///< since the leases expired; a worker that may report ends is waited for from then on, over any number of terms

    auto operator==(const LeaseBound &other) const -> bool = default;
};

/// @return the bound of a worker whose leases have expired at @p end, which may have passed.
auto leaseBound(const WorkerId &worker, MonoTime end, MonoTime now) -> LeaseBound;

/// Start orders that were not answered may be carried out by the worker until then, by any of its lifetimes.
struct LateStartBound
{
    WorkerId worker;
    Millis left{0}; ///< from the composition of the record

    auto operator==(const LateStartBound &other) const -> bool = default;
};

/// The silent workers of a planner, and those with late start orders; replaces the record before it.
struct LeaseBoundsRecord
{
    std::int64_t epoch = 0; ///< of the planner that wrote it
    std::vector<LeaseBound> bounds;
    std::vector<LateStartBound> lateStarts;
};

/// The bounds of the last record, as an instance has read it.
struct KnownLeaseBounds
{
    std::int64_t epoch = -1; ///< of its planner; -1: no record has been read
    std::map<WorkerId, MonoTime> ends;
    std::map<WorkerId, MonoTime> lateStarts;
};

/// @param readAt when the record was read
auto noteLeaseBounds(KnownLeaseBounds &known, const LeaseBoundsRecord &record, MonoTime readAt) -> void;

/// @param holder epoch of the last planner before the claim
/// @param epoch of the claim
/// @return the record to store with a claim.
auto carriedBounds(const KnownLeaseBounds &known, std::int64_t holder, std::int64_t epoch, MonoTime now) -> LeaseBoundsRecord;

/// @return whether both name the same workers, each for the same reason.
auto namesSameWorkers(const LeaseBoundsRecord &a, const LeaseBoundsRecord &b) -> bool;

}

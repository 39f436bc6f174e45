#pragma once

/// Evacuation of failure domains: operators request that nothing more be started in a domain until further notice.
///
/// Handles the load of a deployment from which a whole domain is taken away at short notice while jobs keep arriving: nothing is started
/// there any more, also by repeated or queued start orders, and what already runs there continues to its end.
///
/// @code
///   auto records = Catkin::EvacuationRecords{};             // every instance, from the operators' log
///   Catkin::noteEvacuation(records, domain, true);
///   auto evacuation = Catkin::Evacuation{};                 // the planner
///   Catkin::setEvacuated(evacuation, records.inForce);
///   if (Catkin::takesStarts(evacuation, worker.domain)) { ... }
/// @endcode

#include "policy/idlecapacity.h"
#include "policy/poollogentry.h"
#include "util/ids.h"
#include "util/units.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Catkin
{

/// What an instance has read of evacuations from the operators' log.
struct EvacuationRecords
{
    std::set<FailureDomainId> inForce;
    std::optional<std::set<FailureDomainId>> named; ///< domains that the snapshot being read has named; nothing outside a snapshot
    bool isKnown = false; ///< the log has been read to its end once
};

/// A snapshot follows: what it does not name is no longer in force at its end, and stays in force until then.
auto beginSnapshot(EvacuationRecords &records) -> void;

/// Takes one record.
/// @param isRequested false: the evacuation is revoked
/// @return whether this changes what is in force
auto noteEvacuation(EvacuationRecords &records, const FailureDomainId &domain, bool isRequested) -> bool;

/// Reports that the log has been read to its end.
/// @return whether this changes what is in force, or is the first time
auto noteRead(EvacuationRecords &records) -> bool;

/// What runs, or may run, in a domain.
struct DomainUse
{
    int workers = 0; ///< that are listed
    int attempts = 0;
};

/// What the planner acts on.
struct Evacuation
{
    std::set<FailureDomainId> domains;
    bool isSuspended = false; ///< the operators' records are not known well enough to start anything anywhere
    std::set<FailureDomainId> unannounced; ///< of @c domains, those whose begin has not been logged
    std::set<FailureDomainId> emptied; ///< of @c domains, those of which the log has that no attempt is left
    std::vector<FailureDomainId> ended; ///< whose end has not been logged
    IdleCapacity idle; ///< of the listed workers in @c domains
    std::map<WorkerId, MonoTime> coldUntil; ///< until when workers are slow, as their entries say
};

/// @return whether the set of evacuated domains has changed
auto setEvacuated(Evacuation &evacuation, const std::set<FailureDomainId> &domains) -> bool;

auto isEvacuated(const Evacuation &evacuation, const FailureDomainId &domain) -> bool;

/// @return whether a start order may be sent to a worker of the domain, first or repeated.
auto takesStarts(const Evacuation &evacuation, const FailureDomainId &domain) -> bool;

/// Takes from a worker's entry for how long it will be slow, as after an evacuation.
/// @param left 0: it is not cold
auto noteCold(Evacuation &evacuation, const WorkerId &id, Millis left, MonoTime now) -> void;

/// @return whether the worker should be chosen only if no other fits.
auto isCold(const Evacuation &evacuation, const WorkerId &id, MonoTime now) -> bool;

/// @param bound time after its record from which an evacuation is in force; nothing: the deployment has none
/// @return the age of the last confirmed read of the operators' log at which nothing more is started, if there is such a limit. It is below
/// the bound, because a start order that is sent then is carried out later.
auto placementReadLimit(std::optional<Millis> bound) -> std::optional<Millis>;

/// @param readAt when the last read of the operators' log was sent that has been answered
/// @param limit see placementReadLimit()
auto isReadRecent(std::optional<MonoTime> readAt, std::optional<Millis> limit, MonoTime now) -> bool;

/// @param uses of the evacuated domains; a domain without workers and attempts may be left out
/// @return the lines about evacuations that have begun, become empty or ended since the last call.
auto takeEvacuationEntries(Evacuation &evacuation, const std::map<FailureDomainId, DomainUse> &uses) -> std::vector<PoolLogEntry>;

}

#pragma once

/// Chooses the executor of a request.
///
/// @code
///   auto choice = Catkin::chooseExecutor(candidates, Catkin::Locality::OwnDomain, Catkin::Locality::SameRegion, random);
///   if (choice) { send to candidates[*choice]; }
/// @endcode
/// The own failure domain is preferred to the rest of the region, which is preferred to other regions. Within one
/// locality, the less loaded of two random candidates is chosen (power of two choices): if each instance chose the least
/// loaded one, all would send to the same executor, since their view of its load is up to one heartbeat old.

#include "policy/requesttypes.h"
#include "util/random.h"

#include <optional>
#include <span>

namespace Catkin
{

/// Location of an executor relative to the instance, nearest first.
enum class Locality { OwnDomain, SameRegion, OtherRegion };

/// One executor and its load, for chooseExecutor().
struct RouteCandidate
{
    Locality locality = Locality::OwnDomain;
    bool usable = false; ///< healthy, not leaving, not quarantined (or due for a probe)
    int inFlight = 0; ///< own requests
    int limit = 0; ///< limit of inFlight
    int peersInFlight = 0; ///< requests of the peers, as last reported
    int slots = 1;
};

/// @return the locality of the executor relative to an instance in @p domain and @p region.
auto localityOf(const ListedExecutor &executor, const FailureDomainId &domain, const RegionId &region) -> Locality;

/// @param nearest first locality to try
/// @param farthest last locality to try; OtherRegion only if the kind allows it, and the caller must check the link budget
/// @return index of the executor, or nothing when every usable executor from nearest to farthest has reached its limit.
auto chooseExecutor(std::span<const RouteCandidate> candidates, Locality nearest, Locality farthest, Random &random) -> std::optional<std::size_t>;

}

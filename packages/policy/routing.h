#pragma once

/// Chooses the executor of a request.
///
/// @code
///   auto choice = Catkin::chooseExecutor(candidates, Catkin::Locality::OwnDomain, Catkin::Locality::SameRegion, random);
///   if (choice) { send to candidates[*choice]; }
/// @endcode
/// The own failure domain comes before the rest of the region, and that before other regions. Within one of these, two
/// candidates are drawn and the less loaded one is taken: always taking the least loaded one would send all instances
/// to the same executor while their view of it is up to one heartbeat old.

#include "policy/requesttypes.h"
#include "util/random.h"

#include <optional>
#include <span>

namespace Catkin
{

enum class Locality { OwnDomain, SameRegion, OtherRegion };

/// One executor as the choice sees it.
struct RouteCandidate
{
    Locality locality = Locality::OwnDomain;
    bool usable = false; ///< healthy, not leaving, not quarantined (or due for a probe)
    int inFlight = 0; ///< own
    int limit = 0; ///< own
    int peersInFlight = 0; ///< as last reported
    int slots = 1;
};

/// @return how far the executor is from the instance at (@p domain, @p region).
auto localityOf(const ListedExecutor &executor, const FailureDomainId &domain, const RegionId &region) -> Locality;

/// @param nearest first reach to try
/// @param farthest last reach to try; OtherRegion only when the kind allows it and the byte budget was checked
/// @return index of the executor, or nothing when no usable one within reach has room.
auto chooseExecutor(std::span<const RouteCandidate> candidates, Locality nearest, Locality farthest, Random &random) -> std::optional<std::size_t>;

}

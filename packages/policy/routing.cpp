#include "policy/routing.h"

#include <utility>

namespace Catkin
{

namespace
{

/// @return the load relative to the slots. The peers' counts are older, but without them the load of other instances would be
///         unknown.
auto relativeLoad(const RouteCandidate &candidate) -> double
{
    return static_cast<double>(candidate.inFlight + candidate.peersInFlight) / candidate.slots;
}

}

auto localityOf(const ListedExecutor &executor, const FailureDomainId &domain, const RegionId &region) -> Locality
{
    if (executor.region != region) {
        return Locality::OtherRegion;
    }
    return executor.domain == domain ? Locality::OwnDomain : Locality::SameRegion;
}

auto chooseExecutor(std::span<const RouteCandidate> candidates, Locality nearest, Locality farthest, Random &random) -> std::optional<std::size_t>
{
    for (const auto locality : {Locality::OwnDomain, Locality::SameRegion, Locality::OtherRegion}) {
        if (locality < nearest || locality > farthest) {
            continue;
        }
        // Draws two of the candidates below their limits in one pass (reservoir sampling), without a list of them.
        auto first = std::optional<std::size_t>{};
        auto second = std::optional<std::size_t>{};
        auto seen = std::uint32_t{0};
        for (auto i = std::size_t{0}; i < candidates.size(); ++i) {
            const auto &it = candidates[i];
            if (it.locality != locality || !it.usable || it.inFlight >= it.limit) {
                continue;
            }
            ++seen;
            if (!first) {
                first = i;
            } else if (!second) {
                second = i;
            } else if (const auto draw = uniform(random, seen); draw < 2) {
                (draw == 0 ? first : second) = i;
            }
        }
        if (!first) {
            continue;
        }
        if (!second) {
            return first;
        }
        const auto a = relativeLoad(candidates[*first]);
        const auto b = relativeLoad(candidates[*second]);
        return a < b || (a == b && uniform(random, 2) == 0) ? first : second;
    }
    return {};
}

}

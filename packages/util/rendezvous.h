#pragma once

/// Rendezvous (highest random weight) hashing.
///
/// All instances with the same list of candidates choose the same owner for a key. When a candidate is lost, only the keys that
/// it owned get another owner.
/// @code
///   auto i = Catkin::rendezvousOwner("domain/oviedo", {"i-1", "i-2", "i-3"});
/// @endcode

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Catkin
{

/// @param key name of the thing to own, such as a failure domain
/// @param candidates names of the possible owners; their order does not matter
/// @return the index of the owner in @p candidates, or nothing if there are none.
auto rendezvousOwner(std::string_view key, std::span<const std::string> candidates) -> std::optional<std::size_t>;

}

#pragma once

/// Rendezvous (highest random weight) hashing.
///
/// Every instance that sees the same candidates names the same owner, and the loss of one candidate
/// moves only that candidate's keys.
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

/// @param key what is to be owned
/// @param candidates names of the possible owners
/// @return the index of the owner, or nothing when there is no candidate.
auto rendezvousOwner(std::string_view key, std::span<const std::string> candidates) -> std::optional<std::size_t>;

}

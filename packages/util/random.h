#pragma once

/// The source of random numbers, a pcg32 that the caller seeds, so that runs can be repeated.
///
/// @code
///   auto random = Catkin::Random{seed};
///   auto delay = Catkin::uniform(random, 100);   // 0 … 99
/// @endcode

#include <pcg_random.hpp>

#include <cstdint>

namespace Catkin
{

using Random = pcg32;

/// @param random the generator, advanced by the call
/// @param bound exclusive upper bound, at least 1
/// @return an evenly distributed number in [0, @p bound).
inline auto uniform(Random &random, std::uint32_t bound) -> std::uint32_t
{
    return random(bound);
}

}

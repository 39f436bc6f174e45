#pragma once

/// Waits for a condition with a bounded number of tries.
///
/// @code
///   REQUIRE(Catkin::eventually([&] { return queryState() == "running"; }));
/// @endcode

#include "util/units.h"

#include <functional>

namespace Catkin
{

struct PollOptions
{
    int tries = 500;
    Millis interval{20}; ///< pause between two tries
};

/// @return whether @p condition became true within the tries.
auto eventually(const std::function<bool()> &condition, const PollOptions &options = {}) -> bool;

}

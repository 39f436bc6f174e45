#pragma once

/// Rules for start orders that workers must not get, because of an evacuation or of their departure, and for gangs that do not run whole.
///
/// @code
///   for (const auto &text : evacuationViolations(world.startOrders(), world.evacuations(), world.frozenSpans())) { ... }
///   for (const auto &text : departureViolations(world.startOrders(), world.departures(), world.frozenSpans())) { ... }
///   if (const auto since = aloneSince(run, otherMember, excuse)) { ... }
/// @endcode
///
/// An order counts by the moment at which it arrived, also if its executor carried it out later. Orders of planners that have been replaced, which the
/// executors refuse, do not count; repeated ones do.
///
/// An instance that was frozen has no contact with the store. It may send what it had prepared, until it has read the logs again.

#include "soak/soakworld.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Catkin::Soak
{

/// @return the start orders in a failure domain from 5 s after its record was acknowledged until the revocation.
auto evacuationViolations(const std::vector<StartOrder> &orders, const std::vector<Evacuation> &evacuations, const std::vector<FrozenSpan> &frozen)
    -> std::vector<std::string>;

/// @return the start orders on workers from 1 s after their entries showed that they leave.
auto departureViolations(const std::vector<StartOrder> &orders, const std::map<std::string, SteadyTime> &departures, const std::vector<FrozenSpan> &frozen)
    -> std::vector<std::string>;

/// @param runs of another member of the same gang, the earliest first
/// @param allowedUntil until when the member may run on alone that is alone from the given time on
/// @return since when a member has run without the other one for longer than is allowed; nothing if it has not.
auto aloneSince(const Run &run, const std::vector<Run> &runs, const std::function<SteadyTime(SteadyTime)> &allowedUntil) -> std::optional<SteadyTime>;

}

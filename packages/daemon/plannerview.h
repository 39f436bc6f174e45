#pragma once

/// The configuration, the listed fleet and a job in the terms of the scheduler's decisions.
///
/// @code
///   scheduler.configure(Catkin::schedulerConfig(document, domain));
///   if (auto reason = Catkin::unschedulableReason(document, *fleet.view(), spec)) { ... }   // refuse with *reason
/// @endcode

#include "daemon/fleet.h"
#include "policy/scheduler.h"
#include "state/document.h"
#include "state/records.h"

#include <optional>
#include <string>

namespace Catkin
{

auto toScheduled(const JobDescription &spec) -> ScheduledJob;

/// @return the rules of the workspaces in @p domain.
auto schedulerConfig(const ConfigDocument &document, const FailureDomainId &domain) -> SchedulerConfig;

/// The check that the planner makes, on what every instance knows.
/// @return why the workers listed in the job's home failure domain could never hold it beside the guarantees and quotas, or
///         nothing when they could or none is listed.
auto unschedulableReason(const ConfigDocument &document, const FleetView &fleet, const JobDescription &spec) -> std::optional<std::string>;

}

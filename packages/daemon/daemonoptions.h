#pragma once

/// The options of the daemon's services, derived from its settings.
///
/// @code
///   auto gate = Catkin::CallGate{Catkin::gateOptions(settings)};
/// @endcode

#include "daemon/callgate.h"
#include "daemon/domainplanner.h"
#include "daemon/intentservice.h"
#include "daemon/logtail.h"
#include "daemon/requestservice.h"
#include "daemon/settings.h"
#include "daemon/ticketservice.h"
#include "wire/peermesh.h"

namespace Catkin
{

auto logTailOptions(const Settings &settings) -> LogTailOptions;

/// @return how long the log keeps records.
auto retentionOf(const Settings &settings) -> Seconds;

auto gateOptions(const Settings &settings) -> CallGateOptions;

auto intentOptions(const Settings &settings) -> IntentServiceOptions;

/// @param incarnation of this process
auto ticketOptions(const Settings &settings, Incarnation incarnation) -> TicketServiceOptions;

/// @param incarnation of this process
auto requestOptions(const Settings &settings, Incarnation incarnation) -> RequestServiceOptions;

auto plannerOptions(const Settings &settings) -> PlannerOptions;

/// @param incarnation of this process
auto meshOptions(const Settings &settings, Incarnation incarnation) -> PeerMeshOptions;

}

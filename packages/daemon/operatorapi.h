#pragma once

/// The operators' HTTP interface (docs/interfaces.md): configuration, state of the instance, metrics, drain.
///
/// @code
///   Catkin::addOperatorRoutes(listener, context);
/// @endcode

#include "daemon/callerapi.h"
#include "daemon/configservice.h"
#include "daemon/fleet.h"
#include "daemon/httplistener.h"
#include "daemon/plannerservice.h"
#include "daemon/requestservice.h"
#include "state/slo.h"
#include "wire/peermesh.h"

#include <functional>
#include <string>
#include <vector>

namespace Catkin
{

/// What the routes use; everything outlives the listener.
struct OperatorContext
{
    InstanceId instance;
    FailureDomainId domain;
    std::string tokenHash; ///< SHA-256 from the settings; empty: only the document's operators count
    ConfigService *config = nullptr;
    RequestService *requests = nullptr;
    JobService *jobs = nullptr;
    PlannerService *planners = nullptr;
    Fleet *fleet = nullptr;
    PeerMesh *mesh = nullptr;
    Clock clock;
    std::function<std::string()> metrics; ///< text of GET /metrics
    std::function<std::string()> readiness; ///< empty when ready, else why not
    std::function<void()> drain; ///< starts a graceful shutdown
    std::function<std::vector<SloStatus>()> slo; ///< state of every objective
    std::function<void()> unauthorized;
};

auto addOperatorRoutes(HttpListener &listener, const OperatorContext &context) -> void;

/// @return the name of the operator whose token the request bears, or nothing.
auto authenticateOperator(const OperatorContext &context, const HttpRequest &request) -> std::optional<std::string>;

/// @return the workers that the instance list names, per failure domain and rack.
auto domainFleets(const FleetView &view) -> std::vector<DomainFleet>;

}

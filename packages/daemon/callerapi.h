#pragma once

/// The callers' HTTP interface (docs/interfaces.md): requests, tickets and jobs.
///
/// @code
///   Catkin::addCallerRoutes(listener, context);
/// @endcode

#include "daemon/callgate.h"
#include "daemon/configservice.h"
#include "daemon/fleet.h"
#include "daemon/httplistener.h"
#include "daemon/jobservice.h"
#include "daemon/requestservice.h"
#include "daemon/ticketservice.h"

#include <atomic>
#include <functional>

namespace Catkin
{

/// What the routes use; everything outlives the listener.
struct CallerContext
{
    ConfigService *config = nullptr;
    RequestService *requests = nullptr;
    JobService *jobs = nullptr;
    TicketService *tickets = nullptr;
    Fleet *fleet = nullptr;
    CallGate *gate = nullptr;
    Clock clock;
    FailureDomainId domain; ///< of this instance: the home of jobs that name none
    const std::atomic<bool> *draining = nullptr;
    /// Serves a ticket of another instance there.
    std::function<RequestReply(const Ticket &ticket, const RequestCall &call)> forwardTicket;
    /// Tells the planner of the job's failure domain about a new or cancelled job.
    std::function<void(const Job &job)> noticeJob;
    /// Counts a call without a valid credential.
    std::function<void()> unauthorized;
};

auto addCallerRoutes(HttpListener &listener, const CallerContext &context) -> void;

/// @return the workspace whose token the request bears, or nothing.
auto authenticate(const ActiveConfig &config, const HttpRequest &request) -> std::optional<WorkspaceId>;

}

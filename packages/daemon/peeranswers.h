#pragma once

/// Conversions between the daemon's results and the messages that carry them between peers.

#include "daemon/jobservice.h"
#include "daemon/requestservice.h"
#include "wire/messages.h"

#include <optional>

namespace Catkin
{

auto toTicketResult(const RequestReply &reply) -> TicketResult;

auto fromTicketResult(const TicketResult &result) -> RequestReply;

/// @param job nothing when this instance does not know the job
auto toJobStatus(const JobId &id, const std::optional<Job> &job) -> JobStatus;

}

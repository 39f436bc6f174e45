#include "daemon/peeranswers.h"

namespace Catkin
{

auto toTicketResult(const RequestReply &reply) -> TicketResult
{
    return {
        .verdict = reply.verdict,
        .request = reply.request,
        .answer = reply.answer,
        .reason = reply.reason,
        .retryAfter = reply.retryAfter,
        .configVersion = reply.configVersion,
        .status = reply.status,
    };
}

auto fromTicketResult(const TicketResult &result) -> RequestReply
{
    return {
        .verdict = result.verdict,
        .status = result.status,
        .request = result.request,
        .answer = result.answer,
        .reason = result.reason,
        .retryAfter = result.retryAfter,
        .configVersion = result.configVersion,
    };
}

auto toJobStatus(const JobId &id, const std::optional<Job> &job) -> JobStatus
{
    if (!job) {
        return {.job = id};
    }
    return {.job = id, .known = true, .state = jobStateName(job->state), .reason = job->detail, .attempt = job->attempt};
}

}

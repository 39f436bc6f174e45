#pragma once

/// Plain data of the messages between a pool planner and a worker: the poll request, its reply, and the outcome of an order.

#include "policy/poolfleet.h"
#include "policy/pooljob.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Catkin
{

struct RunningAttempt
{
    TaskKey task;
    int attempt = 0;
    std::string checkpoint;
    int percent = 0; ///< progress in percent
    /// Rough figure for the last half second, if listed: the tail of the response times in ms of a task that serves, and otherwise the processor
    /// time in use in thousandths of a core.
    std::optional<std::int64_t> load;
};

enum class CompletionKind {
    Done,
    Failed, ///< by a fault of the task or of the worker
    Stopped, ///< by a stop order
    LeaseExpired,
    GangMemberEnded, ///< stopped because another member of its gang ended
    GangIncomplete, ///< stopped because other members of its gang did not start
};

/// The end of an attempt, successful or not.
struct AttemptCompletion
{
    std::int64_t number = 0; ///< increases until the worker restarts
    TaskKey task;
    int attempt = 0;
    CompletionKind kind = CompletionKind::Stopped;
    std::string checkpoint;
};

struct WorkerPollRequest
{
    std::int64_t token = 0; ///< fencing token
    WorkerTime leaseUntil; ///< end of the lease of all attempts on the worker; 0: the lease is not changed
    std::int64_t seenCompletions = 0; ///< completions up to this number are recorded, so that the worker may forget them
    Millis wait{0}; ///< long poll: how long the worker may delay its reply until there is a new completion
    bool isBrief = false; ///< not sent: the reply is waited for only briefly, because the next poll may find a later lifetime of the worker
};

struct WorkerPollReply
{
    WorkerTime clock;
    Incarnation born; ///< changes when the worker restarts
    std::vector<RunningAttempt> running;
    std::vector<AttemptCompletion> completions; ///< those not yet acknowledged by WorkerPollRequest::seenCompletions
    std::int64_t acknowledged = 0; ///< WorkerPollRequest::seenCompletions of the poll that is answered
    bool complete = true; ///< whether no completion was left out for want of space
};

enum class OrderOutcome {
    Accepted,
    Fenced, ///< refused: the worker has seen a newer planner
    Superseded, ///< refused: this or a later attempt of the task has already been stopped or has ended on the worker
    Expired, ///< refused: the lease in the order had already expired
    InsufficientCapacity,
    WorkerRestarted, ///< refused: the worker has restarted since
    Unhealthy, ///< refused: the worker is unhealthy and did nothing
    Rejected, ///< refused: the worker found the order malformed
    NotSent, ///< the order certainly did not arrive
    OutcomeUnknown, ///< no answer; the order may have been carried out or may still be
};

struct OrderAnswer
{
    OrderOutcome outcome = OrderOutcome::OutcomeUnknown;
    WorkerTime clock; ///< worker's clock when it answered; 0 when the answer had none
};

}

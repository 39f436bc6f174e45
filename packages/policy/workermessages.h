#pragma once

/// What a planner asks of a worker and what the worker answers, as plain data.

#include "policy/poolfleet.h"
#include "policy/pooljob.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Catkin
{

struct RunningAttempt
{
    TaskKey task;
    int attempt = 0;
    std::string checkpoint;
    int percent = 0; ///< progress
};

enum class CompletionKind {
    Done,
    Failed, ///< by its own fault or the worker's
    Stopped, ///< on an order
    LeaseExpired, ///< its lease ran out
    GangMemberEnded, ///< another member of its gang ended
    GangIncomplete, ///< the rest of its gang did not appear
};

struct AttemptCompletion
{
    std::int64_t number = 0; ///< rises within one life of the worker
    TaskKey task;
    int attempt = 0;
    CompletionKind kind = CompletionKind::Stopped;
    std::string checkpoint;
};

struct WorkerPollRequest
{
    std::int64_t token = 0; ///< fencing token
    WorkerTime leaseUntil; ///< everything on the worker may run until then; 0: leave the lease as it is
    std::int64_t seenCompletions = 0; ///< ends up to this number are on record
    Millis wait{0}; ///< how long the worker may hold back its answer for a new end
};

struct WorkerPollReply
{
    WorkerTime clock;
    Incarnation born;
    std::vector<RunningAttempt> running;
    std::vector<AttemptCompletion> completions;
};

enum class OrderOutcome {
    Accepted,
    Fenced, ///< a newer planner exists
    Superseded, ///< this or a later attempt has already been stopped or has ended there
    Expired, ///< the lease in the order had already run out
    InsufficientCapacity,
    WorkerRestarted, ///< the worker has restarted since
    Unhealthy, ///< the worker refused and did nothing
    Rejected, ///< the order is malformed to the worker
    NotSent, ///< it certainly did not arrive
    OutcomeUnknown, ///< no answer; it may be carried out, also later
};

}

#pragma once

/// Port for orders to the workers of a pool.
///
/// @code
///   auto reply = orders.poll(target, {.token = epoch, .leaseUntil = until, .seenCompletions = 57, .wait = Catkin::Millis{2000}});
///   auto result = orders.start(target, start);
/// @endcode
///
/// Every order carries the planner's fencing token; a worker that has seen a higher one does nothing.

#include "policy/workermessages.h"
#include "util/outcome.h"
#include "util/units.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Catkin
{

/// One life of a worker process at an address.
struct WorkerTarget
{
    WorkerId id;
    std::string address; ///< "ip:port"
};

struct OrderAnswer
{
    OrderOutcome outcome = OrderOutcome::OutcomeUnknown;
    WorkerTime clock; ///< 0 when the answer had none
};

struct StartOrder
{
    TaskKey task;
    int attempt = 0;
    std::string payload;
    WorkerTime leaseUntil;
    std::int64_t token = 0;
    std::string checkpoint;
};

struct StopOrder
{
    TaskKey task;
    int attempt = 0;
    std::int64_t token = 0;
};

/// A kept connection to one worker; one thread at a time.
struct WorkerChannel
{
    std::function<Result<WorkerPollReply>(const WorkerPollRequest &request, Millis timeout)> poll;
    std::function<OrderAnswer(const StartOrder &order, Millis timeout)> start;
    std::function<OrderAnswer(const StopOrder &order, Millis timeout)> stop;
    std::function<void()> interrupt; ///< breaks a call of another thread
};

/// Opens channels; the connection is made with the first call.
struct WorkerOrders
{
    std::function<WorkerChannel(const WorkerTarget &target)> open;
};

}

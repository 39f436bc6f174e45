#pragma once

/// Port for orders to the workers of a pool.
///
/// @code
///   auto calls = orders.begin();
///   calls.post([&] {
///       channel = calls.open({.id = id, .address = address});
///       channel.poll({.token = epoch, .leaseUntil = until, .seenCompletions = 57, .wait = Catkin::Millis{2000}}, timeout, [](auto reply) { ... });
///       ...
///   });
///   calls.stop();
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

/// A kept connection to one worker, for one call at a time. A callback is called once, unless close() or WorkerCalls::stop() comes before.
struct WorkerChannel
{
    /// Fails with ErrorCode::NotFound if another worker answered at the address.
    std::function<void(const WorkerPollRequest &request, Millis timeout, std::function<void(Result<WorkerPollReply>)> done)> poll;
    std::function<void(const StartOrder &order, Millis timeout, std::function<void(OrderAnswer)> done)> start;
    std::function<void(const StopOrder &order, Millis timeout, std::function<void(OrderAnswer)> done)> stop;
    std::function<void()> close; ///< drops the connection and the call under way
};

/// Calls to any number of workers, made by one thread: channels are used there, and callbacks and tasks run there.
struct WorkerCalls
{
    std::function<WorkerChannel(const WorkerTarget &target)> open; ///< the connection is made with the first call
    std::function<void(std::function<void()> task)> post; ///< runs a task; any thread may call
    std::function<void(Millis delay, std::function<void()> task)> postAfter; ///< runs a task after a time; any thread may call
    std::function<void()> stop; ///< drops what is under way and ends the thread
};

struct WorkerOrders
{
    std::function<WorkerCalls()> begin; ///< starts the thread
};

}

#pragma once

/// Port to the workers, the backend servers that run tasks on accelerators under leases.
///
/// @code
///   auto reply = workers.orders(address, generation, {Catkin::WorkerOrder{.op = Catkin::OrderOp::Renew, .lease = id, .ttl = ttl}});
/// @endcode

#include "util/ids.h"
#include "util/outcome.h"
#include "util/units.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Catkin
{

/// A planner's fencing token; a worker refuses orders below the highest that it has seen.
struct Generation
{
    std::int64_t counter = 0;
    std::string holder; ///< instance id; decides between equal counters

    auto operator<=>(const Generation &other) const = default;
};

enum class OrderOp { Claim, Reserve, Start, Renew, Checkpoint, Throttle, Stop, Release };
enum class LeaseState { Reserved, Running, Checkpointing, Ended };
/// Why a lease ended; None while it has not.
enum class LeaseExit { None, Ok, Failed, Stopped, Lapsed };

struct WorkerOrder
{
    OrderOp op = OrderOp::Claim;
    LeaseId lease;
    JobId job; ///< Reserve only
    int attempt = 0; ///< Reserve only
    int member = 0; ///< Reserve only: index of the task within its gang
    std::vector<int> slots; ///< Reserve only
    Millis ttl{0}; ///< Reserve, Start, Renew
    int percent = 100; ///< Throttle only
    std::string payload; ///< Reserve only
};

struct OrderResult
{
    bool ok = false;
    std::string error;
};

struct WorkerLease
{
    LeaseId lease;
    JobId job;
    int attempt = 0;
    int member = 0;
    std::string holder;
    std::vector<int> slots;
    LeaseState state = LeaseState::Reserved;
    Millis remaining{0};
    bool started = false; ///< whether user work ever began under this lease
    LeaseExit exit = LeaseExit::None;
    std::optional<std::string> checkpoint;
};

/// Usage of one lease, measured @c age ago.
struct LeaseUsage
{
    LeaseId lease;
    int busyPercent = 0;
    Millis age{0};
};

struct WorkerStatus
{
    WorkerId worker;
    std::string boot; ///< changes when the worker restarts and has lost its leases
    RackId rack;
    FailureDomainId domain;
    int slots = 0;
    bool leaving = false;
    Generation generation;
    std::vector<WorkerLease> leases; ///< live ones, and those ended within the last 10 minutes
    std::vector<LeaseUsage> usage;
    /// Names everything but remaining times and usage: equal tags, equal contents. Empty when the worker names none.
    std::string tag;
};

struct OrdersReply
{
    std::vector<OrderResult> results; ///< in the order of the request
    WorkerStatus status;
};

/// Functions to reach a worker by "ip:port"; each blocks up to its timeout and may be called from any thread.
struct WorkerPort
{
    /// @return the worker's status; ErrorCode::Unavailable without a complete answer, ErrorCode::Protocol for a malformed one.
    std::function<Result<WorkerStatus>(const std::string &address, Millis timeout)> status;

    /// Orders are idempotent by lease and operation, so they may be sent again after a lost answer.
    /// @return the result of each order; ErrorCode::StaleGeneration when a newer planner owns the worker;
    /// ErrorCode::NotSent when the orders certainly had no effect, ErrorCode::InvalidInput likewise because one is not UTF-8,
    /// ErrorCode::Unknown when no answer arrived that belongs to them.
    std::function<Result<OrdersReply>(const std::string &address, const Generation &generation, const std::vector<WorkerOrder> &orders, Millis timeout)> orders;
};

}

#pragma once

/// Queues, workspaces and workers as the pool planner sees them.
///
/// Plain data, filled from the configuration and from the workers' own entries.

#include "policy/pooljob.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Catkin
{

/// Time on a worker's own clock, in milliseconds since an arbitrary start.
using WorkerTime = Quantity<struct WorkerTimeTag>;
/// Rate of the slowest clock of a worker.
constexpr auto slowestWorkerClock = 0.98;

/// A call to a worker without an answer arrives within 1 s, and is carried out up to 12 s later.
constexpr auto lateCallLimit = Millis{13'000};

/// Silence after which a worker's entry is dropped, in heartbeats.
constexpr auto entryHeartbeats = 3;

/// The scheduling part of a configuration.
struct PoolRules
{
    ConfigVersion version;
    std::map<QueueId, PoolQueue> queues;
    std::map<WorkspaceId, std::int64_t> guaranteedAccelerators;
};

/// The host and path at which callers reach a queue.
struct QueueAddress
{
    std::string host;
    std::string pathPrefix;
    QueueId queue;
    bool isPublic = false; ///< callers need no key
    std::string unsupported; ///< why jobs of the queue cannot run; empty: they can
    Millis callTimeout{0}; ///< how long callers wait for an answer, all retries included; 0: unknown
};

/// The configuration in force.
struct PoolConfig
{
    PoolRules rules;
    std::vector<QueueAddress> addresses;
    std::map<std::string, WorkspaceId> keys; ///< workspace of each caller's key
    std::vector<std::string> lowered; ///< what was above a limit and counts as the limit, for the log
};

/// @return the address whose host is @p host and whose prefix is the longest that @p path begins with, or null.
auto findQueue(const PoolConfig &config, const std::string &host, const std::string &path) -> const QueueAddress *;

/// A worker's entry about itself.
struct PoolWorkerInfo
{
    WorkerId id;
    std::string address;
    ServiceId service;
    FailureDomainId domain;
    std::string rack; ///< empty: unknown
    std::vector<std::string> labels; ///< includes the rack
    Resources capacity;
    bool draining = false;
    Incarnation born; ///< changes when the worker restarts
    WorkerTime clock; ///< when the worker wrote the entry
    std::optional<Millis> remaining; ///< minimum time until a draining worker leaves, when it wrote the entry; nothing: not announced
    Millis coldLeft{0}; ///< for how long after that it is slow because it was not in use before; 0: it is not
};

}

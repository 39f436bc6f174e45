#pragma once

/// Settings of an instance that schedules a shared worker pool.
///
/// Filled by the adapter of a deployment; checked there.

#include "daemon/listenerlimits.h"
#include "state/poolrecords.h"
#include "util/ids.h"
#include "util/units.h"

#include <optional>
#include <string>
#include <vector>

namespace Catkin
{

/// Each listener of an instance has its own limits, so that overload of one takes nothing from the others. Together they fit into the smallest instance, with
/// 160 MB and 4,100 descriptors.
struct PoolListenerLimits
{
    ListenerLimits callers{.connections = 2'048, .bufferBytes = std::size_t{24} << 20U};
    ListenerLimits readiness{.connections = 128, .bufferBytes = std::size_t{1} << 20U};
    ListenerLimits metrics{.connections = 64, .bufferBytes = std::size_t{4} << 20U};
    ListenerLimits peers{.connections = 512, .bufferBytes = std::size_t{16} << 20U};
};

struct PoolSettings
{
    InstanceId instance;
    FailureDomainId domain;
    std::string callerAddress; ///< "ip:port" for callers
    std::string readinessAddress; ///< "ip:port" of the readiness check
    std::string peerAddress; ///< "ip:port" for other instances
    std::string metricsAddress; ///< "ip:port" of the metrics
    std::string storeAddress; ///< "ip:port" of the record store
    double cores = 1.0; ///< processor share of the instance, in cores
    double linkMbps = 1'000.0; ///< what the instance's link carries each way, in Mbit/s
    std::size_t recordBytes = defaultRecordBytes; ///< longest record that the store takes, its key included
    Millis lease{10'000}; ///< longest time that a worker runs on without word from a planner
    Millis stopGrace{200}; ///< longest time that a stop of a task takes
    std::optional<Millis> restore; ///< time to resume a task from its checkpoint; nothing: not known
    Millis gangTimeout{3'000}; ///< how long a started member of a gang waits for the others; above 0
    Millis workerHeartbeat{1'500}; ///< between two writes of a worker's entry in the store
    Millis configApply{2'500}; ///< time within which a configuration must be in force
    Millis configStretch{6'000}; ///< added to configApply while the store turns instances away
    std::optional<Millis> evacuate; ///< time within which an evacuation must be in force; nothing: the deployment has no bound
    Millis visibility{3'000}; ///< time within which every instance must know an accepted job
    Millis grace{6'000}; ///< from the signal to stop until the process is killed
    Millis retention{120'000}; ///< how long the state of a final job can be asked for
    PoolListenerLimits listeners;
};

/// @return what differs, one text for each setting: its name, the value in use and the new one.
auto settingChanges(const PoolSettings &inUse, const PoolSettings &read) -> std::vector<std::string>;

}

#pragma once

/// Learns how fast each worker is relative to the others, from the progress of its tasks against tasks of the same queue elsewhere.
///
/// Load: a third of the workers takes 1.3 times as long; 3% of the tasks take 7 times as long wherever they run, and estimates are off by up
/// to 90%.
///
/// @code
///   auto speeds = Catkin::WorkerSpeeds{};
///   Catkin::observeSpeed(speeds, worker, queue, logCost, 1.0, now);
///   Catkin::reviewSpeeds(speeds, now);
///   if (speeds.slow.contains(worker)) { ... }
/// @endcode

#include "policy/decayedsums.h"
#include "policy/poolqueue.h"
#include "util/ids.h"

#include <cstddef>
#include <map>
#include <optional>

namespace Catkin
{

/// The least used queues and workers are dropped beyond these numbers.
constexpr auto maxSpeedQueues = std::size_t{64};
constexpr auto maxSpeedWorkers = std::size_t{4'096};

struct SpeedEstimate
{
    double slowness = 0.0; ///< 0.3: its tasks take 1.3 times as long as those on the median worker
    double error = 0.0;
    double samples = 0.0; ///< weight of its samples
};

struct WorkerSpeeds
{
    std::map<QueueId, DecayedSums> queues; ///< logarithms of time per estimated time, on all workers
    std::map<WorkerId, DecayedSums> workers; ///< the same, less the mean of the queue
    double median = 0.0; ///< mean of the median worker
    std::map<WorkerId, double> slow; ///< workers that are certainly slow, with the logarithm of their slowness
    MonoTime reviewedAt;
};

/// @param logCost logarithm of the time that a task needed per estimated time
/// @param weight below 1 for further samples of one task
auto observeSpeed(WorkerSpeeds &speeds, const WorkerId &worker, const QueueId &queue, double logCost, double weight, MonoTime now) -> void;

/// @return nothing with too few samples.
auto speedOf(const WorkerSpeeds &speeds, const WorkerId &worker, MonoTime now) -> std::optional<SpeedEstimate>;

/// Decides which workers are slow, at most once a second, and drops forgotten ones.
auto reviewSpeeds(WorkerSpeeds &speeds, MonoTime now) -> void;

/// @return logarithm of the slowness of a worker that is certainly slow; 0 of any other.
auto certainLogSlowness(const WorkerSpeeds &speeds, const WorkerId &worker) -> double;

}

#pragma once

/// The scheduling settings of a queue, as the configuration has them and as a job keeps them.
///
/// A job carries the settings of its queue, so that it can be planned to its end by any planner after the queue has been removed from the
/// configuration:
/// @code
///   job.rules = config.rules.queues.at(job.queue);
/// @endcode

#include "util/ids.h"
#include "util/units.h"

#include <chrono>
#include <cstdint>
#include <limits>
#include <string>

namespace Catkin
{

using QueueId = StringId<struct QueueTag>;

/// @name Limits of a queue's settings
/// What decodes a configuration and what reads a stored job use the same ones, so that a job is never accepted under settings that no reader takes.
/// @{
constexpr auto maxQueuePriority = std::int64_t{std::numeric_limits<int>::max()};
constexpr auto maxQueueAttempts = std::int64_t{std::numeric_limits<int>::max()};
constexpr auto maxStretch = 1'000.0;
/// Also of estimates, intervals and response times: sums of some thousand of them fit into a time in microseconds.
constexpr auto maxSpan = std::chrono::duration_cast<Millis>(std::chrono::years{1});
/// @}

struct PoolQueue
{
    QueueId id;
    ServiceId service; ///< its tasks run on the workers of this service
    int priority = 0; ///< 0 is the highest and may preempt the others
    int maxAttempts = 1; ///< failed attempts of one task, or of one gang, after which the job fails
    double stretch = 1.0; ///< objective of the job's run time, as a multiple of the estimate of its longest chain of steps
    Millis targetRuntime{0}; ///< added to the objective

    auto operator==(const PoolQueue &other) const -> bool = default;
};

}

#pragma once

/// Feeds request arrivals into several schedulers over shared executors, with a virtual clock.
///
/// @code
///   auto result = Catkin::simulate(setting, streams, Catkin::SimPolicy::Fair, seed);
///   result.streams[0].latency(0.99);
/// @endcode

#include "policy/requestscheduler.h"

#include <optional>
#include <string>
#include <vector>

namespace Catkin
{

enum class SimPolicy {
    Fair, ///< RequestScheduler
    Fifo, ///< one FIFO queue per instance, limit fixed at all slots of each executor, immediate retries
    FifoShare, ///< the same with the limit fixed at the slots divided by the instances of the region, rounded up
};

/// Poisson arrivals of one kind from some callers of one workspace.
struct SimStream
{
    std::string workspace;
    std::string kind;
    std::string callerPrefix;
    int callers = 1;
    double perSecond = 1;
    Millis cost{50}; ///< mean service time; log-normal with sigma 0.5
    Millis deadline{1000};
    bool fromStart = true; ///< otherwise it begins at the end of the warm-up, when the measurement begins
    std::vector<double> instanceWeights; ///< how arrivals spread over the instances; empty for by capacity
};

struct SimSetting
{
    std::string name;
    RequestConfig config;
    std::vector<int> executorsPerDomain; ///< the last domain is alone in its region
    std::vector<int> instancesPerDomain;
    int slots = 8;
    Millis oneWay{1}; ///< between an instance and an executor of its region
    Seconds warmUp{2};
    Seconds length{10}; ///< after the warm-up
    std::vector<int> cutOff; ///< instances that see no peers, and that their peers do not see
    std::optional<Seconds> cutOffAfter; ///< the cut begins this long after the warm-up; otherwise it is there from the start
    Millis heartbeatDelay{0}; ///< one way
    double heartbeatLoss = 0; ///< part of the heartbeats that never arrive
    RequestSchedulerOptions options;
};

struct SimStreamResult
{
    std::vector<double> latencies; ///< milliseconds of answered requests, sorted
    std::int64_t offered = 0;
    std::int64_t inTime = 0; ///< answered before the deadline
    double slotSeconds = 0; ///< executor time of all attempts

    /// @return latency in ms at a quantile over all offered requests; unanswered ones count as infinite (-1).
    [[nodiscard]] auto latency(double quantile) const -> double;
    [[nodiscard]] auto goodput() const -> double;
};

struct SimResult
{
    std::vector<SimStreamResult> streams;
    double utilisation = 0; ///< busy part of all slots after the warm-up
    double refusedAttempts = 0; ///< executor refusals per dispatch
    double refusedWhenMeasured = 0; ///< the same for the attempts after the warm-up
    double retryShare = 0; ///< retries per first attempt
    std::int64_t notRunAfterDispatch = 0; ///< accepted requests given up because executors refused them
};

auto simulate(const SimSetting &setting, const std::vector<SimStream> &streams, SimPolicy policy, std::uint64_t seed) -> SimResult;

}

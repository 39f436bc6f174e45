#pragma once

/// Feeds the metrics from the daemon's parts.
///
/// @code
///   auto log = Catkin::observeLog(Catkin::makeHttpLog(options), metrics, clock);
///   Catkin::setConfigGauges(metrics, *config.active(), age);
///   Catkin::setPlannerGauges(metrics, planners.views(limit));
/// @endcode

#include "daemon/configservice.h"
#include "daemon/domainplanner.h"
#include "daemon/metrics.h"
#include "policy/requesttypes.h"
#include "ports/executorport.h"
#include "ports/logport.h"
#include "state/records.h"
#include "util/clock.h"

#include <mutex>
#include <vector>

namespace Catkin
{

/// @param metrics must outlive the port; the same for the other functions
/// @return a port that counts every append and read of @p log.
auto observeLog(const LogPort &log, Metrics &metrics, const Clock &clock) -> LogPort;

/// @return a port that counts every execution at an executor.
auto observeExecutors(const ExecutorPort &executors, Metrics &metrics, const Clock &clock) -> ExecutorPort;

/// Counts one finished request towards its objective, if it has one.
auto observeObjective(Metrics &metrics, const ActiveConfig &config, const WorkspaceId &workspace, const KindId &kind, bool answered, Millis latency) -> void;

auto setConfigGauges(Metrics &metrics, const ActiveConfig &config, std::optional<Millis> age) -> void;

/// @param config names the workspaces, so that one without waiting requests shows 0
auto setRequestGauges(Metrics &metrics, const ActiveConfig &config, const std::vector<RequestQueueView> &queues, const std::vector<ExecutorView> &executors)
    -> void;

/// @param views the planners in this instance; none of them sets every gauge to 0
/// @param jobs live jobs of their failure domains
auto setPlannerGauges(Metrics &metrics, const ActiveConfig &config, const std::vector<PlannerView> &views, const std::vector<Job> &jobs) -> void;

/// Turns running totals of retries into counter increments.
class RetryObserver
{
public:
    auto update(Metrics &metrics, const RequestFigures &figures) -> void;

private:
    std::mutex m_mutex;
    std::int64_t m_sent = 0;
    std::int64_t m_denied = 0;
};

}

#pragma once

/// The daemon's metrics, in the Prometheus text format. docs/metrics.md lists every metric.
///
/// @code
///   auto metrics = Catkin::Metrics{{}};
///   metrics.requestFinished(workspace, kind, Catkin::MetricRequestResult::Answer, latency);
///   response.set_content(metrics.text(), Catkin::Metrics::contentType);
/// @endcode
///
/// All functions are thread-safe. Give only names from the configuration as workspace and kind, never names that
/// a caller sent unchecked: the number of series of a metric is bounded, and further names share the series "other".

#include "daemon/listenerlimits.h"
#include "policy/overloadorder.h"
#include "policy/poolqueue.h"
#include "util/ids.h"
#include "util/units.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace Catkin
{

enum class MetricRequestResult { Answer, NotRun, OutcomeUnknown };
enum class MetricRefusal { Deadline, QueueFull, CallerLimit, BadInput, Unauthorized, LogUnavailable, NotReady, NoExecutor, RetryBudget };
enum class ExecutorResult { Answer, NotRun, Error, Discarded };
enum class AttemptMechanism { Intent, Ticket };
enum class JobEvent { Accepted, Started, Succeeded, Failed, Cancelled, Parked, Unknown, Requeued };
enum class MetricOrderResult { Ok, Refused, Stale, Failed };
enum class LogStream { Config, Jobs, Requests };
enum class AppendResult { Ok, NotSent, Unknown };
enum class MetricLinkClass { Control, Payload };
enum class TlsListener { Callers, Operators };
enum class ListenerKind { Callers, Operators, Readiness, Metrics, Peers };
enum class LinkDirection { Sent, Received };
enum class ConfigResult { Accepted, Rejected, Conflict, NotApplied, Unknown };
enum class JobUrgency { Urgent, Normal, Batch };
enum class BackendState { Usable, Lost, Quarantined, Leaving };
enum class SlotState { Total, Free, Reclaimable, Leased, Lost };

struct MetricsOptions
{
    /// Most series of one counter or gauge.
    std::size_t maxSeries = 2048;
    /// Most series of one histogram; lower, because each has 11 to 15 buckets.
    std::size_t maxHistogramSeries = 256;
};

/// One pass of a pool planner.
struct PlanningPass
{
    Micros duration{0};
    int searches = 0; ///< times that it looked for capacity on all workers
    int openStarts = 0; ///< start orders without an answer
    int deferredGroups = 0; ///< groups left to the next pass because of too many open start orders
    std::size_t kindPairs = 0; ///< pairs of kinds of tasks that were seen on one worker
    std::size_t certainKindPairs = 0; ///< those with a certain slowdown
    std::size_t slowWorkers = 0; ///< workers that are certainly slow
    UrgencyCounts waiting{}; ///< waiting groups by urgency
};

class Metrics
{
public:
    static constexpr auto contentType = "text/plain; version=0.0.4";

    explicit Metrics(const MetricsOptions &options);
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics(Metrics &&) = delete;
    auto operator=(const Metrics &) -> Metrics & = delete;
    auto operator=(Metrics &&) -> Metrics & = delete;

    /// @name Requests
    /// @{
    auto requestFinished(const WorkspaceId &workspace, const KindId &kind, MetricRequestResult result, Micros latency) -> void;
    auto requestRefused(MetricRefusal reason) -> void;
    auto requestDequeued(const KindId &kind, Micros waited) -> void;
    auto retry(bool sent, std::uint64_t count = 1) -> void; ///< @param sent whether the retry budget allowed it
    auto attemptStarted(AttemptMechanism mechanism) -> void;
    auto executorCall(const KindId &kind, ExecutorResult result, Micros latency) -> void;
    auto setQueue(const WorkspaceId &workspace, std::size_t length) -> void;
    auto setQueueBytes(Bytes bytes) -> void;
    auto setExecutors(BackendState state, std::size_t count) -> void;
    /// @}

    /// @name Jobs
    /// @{
    auto jobEvent(const WorkspaceId &workspace, JobEvent event) -> void;
    auto jobStarted(JobUrgency urgency, Micros waited) -> void; ///< @param waited from acceptance until the whole gang ran
    auto jobPreempted(const WorkspaceId &workspace) -> void;
    auto gangStarted(Micros took) -> void; ///< @param took from the first reservation until the whole gang ran
    auto reclaimed(Micros took) -> void; ///< @param took from the decision until the slots were free
    auto placementDecided(Micros took) -> void;
    auto workerOrder(MetricOrderResult result) -> void;
    /// Shows the job counters of a workspace from the start, at zero.
    auto addWorkspace(const WorkspaceId &workspace) -> void;
    auto setJobs(const WorkspaceId &workspace, std::size_t waiting, std::size_t running) -> void;
    auto setWorkers(BackendState state, std::size_t count) -> void;
    /// @param count attempts that are to be stopped and may still run
    /// @param oldest how long the first of them has been stopping
    auto setStoppingAttempts(std::size_t count, Micros oldest) -> void;
    /// @param attempts that still run, or may run, there
    auto setEvacuation(const FailureDomainId &domain, bool evacuated, std::size_t attempts) -> void;
    /// @param cause why attempts were asked to stop
    /// @param lostCoreSeconds work that the stops lose; an accelerator counts as 8 cores
    auto attemptsStopped(const std::string &cause, std::size_t count, double lostCoreSeconds) -> void;
    /// Counts a job that was refused because it could not start while its result has a value.
    auto admissionRefused(const QueueId &queue) -> void;
    auto setPlanningPass(const PlanningPass &pass) -> void;
    auto setSlots(SlotState state, SlotCount slots) -> void;
    auto setLargestFreeBlock(SlotCount slots) -> void;
    auto setPlanner(bool active) -> void;
    /// @}

    /// @name Platform log and configuration
    /// @{
    auto logAppended(LogStream stream, AppendResult result, Micros latency) -> void;
    auto logRead(LogStream stream, std::size_t records) -> void;
    auto setLogAvailable(LogStream stream, bool available) -> void;
    auto configChanged(ConfigResult result) -> void;
    auto setConfig(ConfigVersion version, Seconds age) -> void; ///< @param age time since the log or a peer confirmed the version
    /// @}

    /// @name Peers, link and process
    /// @{
    auto linkTraffic(MetricLinkClass linkClass, LinkDirection direction, Bytes bytes) -> void;
    auto linkRefused(MetricLinkClass linkClass, std::uint64_t count = 1) -> void;
    auto peerLinksClosed(std::uint64_t count) -> void;
    /// @param cut whether the connection ended inside a frame; otherwise the frame was changed, repeated, left out or moved
    auto peerFramesRejected(bool cut, std::uint64_t count) -> void;
    auto setPreviousKeyLinks(std::uint64_t count) -> void;
    auto tlsHandshakeFailed(TlsListener listener) -> void;
    auto listenerClosed(ListenerKind listener, ListenerClose cause) -> void;
    auto setFreshPeers(std::size_t count) -> void;
    auto setReady(bool ready) -> void;
    auto setDraining(bool draining) -> void;
    /// @}

    /// @name Service-level objectives
    /// @{
    auto sloObserved(const WorkspaceId &workspace, const KindId &kind, bool good) -> void;
    auto setSloTarget(const WorkspaceId &workspace, const KindId &kind, double targetPercent) -> void;
    /// @}

    /// @return all metrics in the Prometheus text format.
    [[nodiscard]] auto text() const -> std::string;

private:
    struct Families;
    std::unique_ptr<Families> m_families;
};

}

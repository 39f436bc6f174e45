#pragma once

/// Feeds the metrics from the parts of the daemon.
///
/// @code
///   auto telemetry = Catkin::Telemetry{clock};
///   auto log = telemetry.observed(Catkin::makeHttpLog(options));   // counts every call of the port
///   telemetry.requestFinished(call, reply, latency);
///   auto text = telemetry.scrape({.requests = &requests, ...});    // GET /metrics
/// @endcode
/// Calls of ports and single events are counted when they happen; everything that a service counts or shows anyway is
/// read when the metrics are scraped. All functions are thread-safe. The ports returned by observed() use this object.

#include "daemon/configservice.h"
#include "daemon/jobservice.h"
#include "daemon/metrics.h"
#include "daemon/plannerservice.h"
#include "daemon/requestservice.h"
#include "ports/executorport.h"
#include "ports/logport.h"
#include "ports/workerport.h"
#include "state/slo.h"
#include "util/clock.h"
#include "wire/peermesh.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Catkin
{

/// What a scrape reads.
struct TelemetrySources
{
    FailureDomainId domain; ///< of this instance
    const RequestService *requests = nullptr;
    const JobService *jobs = nullptr;
    const ConfigService *config = nullptr;
    PlannerService *planners = nullptr;
    const PeerMesh *mesh = nullptr;
    bool ready = false;
    bool draining = false;
};

/// @return slots of the largest block that the workers could lease now: an aligned power of two within one worker, or a
/// power of two of wholly free workers of one rack.
auto largestFreeBlock(const std::vector<WorkerView> &workers) -> SlotCount;

class Telemetry
{
public:
    explicit Telemetry(Clock clock);

    /// @name Ports whose calls are counted
    /// @{
    [[nodiscard]] auto observed(LogPort port) -> LogPort;
    [[nodiscard]] auto observed(ExecutorPort port) -> ExecutorPort;
    [[nodiscard]] auto observed(WorkerPort port) -> WorkerPort;
    /// @}

    /// @name Events
    /// @{
    /// @param active the configuration in force; its names alone become series
    auto requestFinished(const RequestCall &call, const RequestReply &reply, Millis latency, const ActiveConfig *active) -> void;
    auto unauthorized() -> void;
    auto configChanged(const ConfigDocument &document) -> void;
    auto configApplied(ApplyOutcome outcome) -> void;
    auto jobRecorded(const Job &job, const JobRecord &record) -> void;
    auto jobPreempted(const Job &job) -> void;
    auto placementDecided(Micros took) -> void;
    auto tlsHandshakeFailed(TlsListener listener) -> void;
    auto listenerClosed(ListenerKind listener, ListenerClose cause) -> void;
    /// @}

    /// @return the state of every objective.
    [[nodiscard]] auto slo() -> std::vector<SloStatus>;

    /// Reads the sources.
    /// @return all metrics in the Prometheus text format.
    auto scrape(const TelemetrySources &sources) -> std::string;
    /// @return the same without reading anything first.
    [[nodiscard]] auto metricsText() const -> std::string;

private:
    /// Times of a job that this instance plans.
    struct JobTimes
    {
        std::optional<MonoTime> reserved; ///< first reservation of the present attempt
        std::optional<MonoTime> preempted;
        bool ran = false; ///< an earlier attempt has run
    };

    auto ordersSent(const std::vector<WorkerOrder> &orders, const Result<OrdersReply> &reply, MonoTime sent) -> void;
    auto jobStarted(const Job &job) -> void;
    auto jobFinished(const Job &job, const JobFinishRecord &record) -> void;
    auto observeObjective(const WorkspaceId &workspace, const KindId &kind, Millis elapsed, bool answered) -> void;
    auto timesOf(const JobId &job) -> JobTimes &;
    auto increase(const std::string &source, std::uint64_t value) -> std::uint64_t;
    auto scrapeRequests(const RequestService &requests, const ActiveConfig *active) -> void;
    auto scrapePlanners(const TelemetrySources &sources, const ActiveConfig *active) -> void;
    auto scrapePeers(const TelemetrySources &sources) -> void;

    Clock m_clock;
    Metrics m_metrics;
    std::mutex m_mutex; ///< guards the tables below; held only for their own use
    SloTable m_slo;
    std::map<std::pair<WorkspaceId, KindId>, Millis> m_objectives; ///< largest latency that counts as good
    std::map<JobId, JobTimes> m_jobs;
    std::mutex m_scrapeMutex; ///< one scrape at a time, so that no increase is counted twice
    std::map<std::string, std::uint64_t> m_seen; ///< counters of other parts at the last scrape
};

}

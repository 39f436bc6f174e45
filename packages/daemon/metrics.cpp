#include "daemon/metrics.h"

#include "policy/stopreport.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <sys/resource.h>
#include <unistd.h>

#include <array>
#include <fstream>
#include <map>
#include <mutex>
#include <sstream>
#include <string_view>
#include <vector>

namespace Catkin
{

namespace
{

using Names = std::vector<std::string>;

/// Label values of an enumeration, in the order of its constants.
template<typename Enum, std::size_t N>
auto nameOf(const std::array<const char *, N> &names, Enum value) -> std::string
{
    return names.at(static_cast<std::size_t>(value));
}

constexpr auto requestResults = std::array{"answer", "not_run", "outcome_unknown"};
constexpr auto refusalReasons
    = std::array{"deadline", "queue_full", "caller_limit", "bad_input", "unauthorized", "log_unavailable", "not_ready", "no_executor", "retry_budget"};
constexpr auto executorResults = std::array{"answer", "not_run", "error", "discarded"};
constexpr auto mechanisms = std::array{"intent", "ticket"};
constexpr auto jobEvents = std::array{"accepted", "started", "succeeded", "failed", "cancelled", "parked", "unknown", "requeued"};
constexpr auto orderResults = std::array{"ok", "refused", "stale", "failed"};
constexpr auto streams = std::array{"config", "jobs", "requests"};
constexpr auto appendResults = std::array{"ok", "not_sent", "unknown"};
constexpr auto linkClasses = std::array{"control", "payload"};
constexpr auto tlsListeners = std::array{"callers", "operators"};
constexpr auto listenerKinds = std::array{"callers", "operators", "readiness", "metrics", "peers"};
constexpr auto directions = std::array{"sent", "received"};
constexpr auto configResults = std::array{"accepted", "rejected", "conflict", "not_applied", "unknown"};
constexpr auto urgencies = std::array{"urgent", "normal", "batch"};
constexpr auto backendStates = std::array{"usable", "lost", "quarantined", "leaving"};
constexpr auto slotStates = std::array{"total", "free", "reclaimable", "leased", "lost"};

/// Seconds; from one request on an idle instance to the longest deadlines.
const auto requestBuckets = prometheus::Histogram::BucketBoundaries{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30};
/// Seconds; 3.1 is the target for urgent work, and jobs may wait for hours.
const auto jobBuckets = prometheus::Histogram::BucketBoundaries{.1, .5, 1, 1.5, 2, 3.1, 5, 10, 30, 120, 600, 3600, 14400};
/// Seconds; 0.001 is the target for a gang of 64.
const auto placementBuckets = prometheus::Histogram::BucketBoundaries{.00001, .00005, .0001, .00025, .0005, .001, .0025, .005, .01, .1};

auto seconds(Micros value) -> double
{
    return std::chrono::duration<double>(value).count();
}

/// One metric with all its label combinations; further combinations above the bound share the label values "other".
template<typename Metric>
class Family
{
public:
    Family(prometheus::Family<Metric> &family, Names labels, std::size_t maxSeries, prometheus::Histogram::BucketBoundaries buckets = {})
        : m_family(family)
        , m_labels(std::move(labels))
        , m_maxSeries(maxSeries)
        , m_buckets(std::move(buckets))
    {
        // A metric without labels is shown from the start, so that a rate over it has a first point.
        if (m_labels.empty()) {
            at({});
        }
    }

    auto at(const Names &values) -> Metric &
    {
        const auto guard = std::lock_guard(m_mutex);
        const auto it = m_series.find(values);
        if (it != m_series.end()) {
            return *it->second;
        }
        if (m_series.size() < m_maxSeries) {
            return add(values);
        }
        const auto other = Names(values.size(), "other");
        const auto shared = m_series.find(other);
        return shared != m_series.end() ? *shared->second : add(other);
    }

private:
    auto add(const Names &values) -> Metric &
    {
        auto labels = prometheus::Labels{};
        for (auto i = std::size_t{0}; i < m_labels.size(); ++i) {
            labels.emplace(m_labels[i], values.at(i));
        }
        auto *metric = static_cast<Metric *>(nullptr);
        if constexpr (std::is_same_v<Metric, prometheus::Histogram>) {
            metric = &m_family.Add(labels, m_buckets);
        } else {
            metric = &m_family.Add(labels);
        }
        m_series.emplace(values, metric);
        return *metric;
    }

    prometheus::Family<Metric> &m_family;
    Names m_labels;
    std::size_t m_maxSeries;
    prometheus::Histogram::BucketBoundaries m_buckets;
    std::mutex m_mutex;
    std::map<Names, Metric *> m_series;
};

using CounterFamily = Family<prometheus::Counter>;
using GaugeFamily = Family<prometheus::Gauge>;
using HistogramFamily = Family<prometheus::Histogram>;

}

struct Metrics::Families
{
    explicit Families(const MetricsOptions &o)
        : options(o)
    {
    }

    auto counter(const std::string &name, const std::string &help, Names labels = {}) -> CounterFamily
    {
        return {prometheus::BuildCounter().Name("catkin_" + name).Help(help).Register(registry), std::move(labels), options.maxSeries};
    }
    auto gauge(const std::string &name, const std::string &help, Names labels = {}) -> GaugeFamily
    {
        return {prometheus::BuildGauge().Name("catkin_" + name).Help(help).Register(registry), std::move(labels), options.maxSeries};
    }
    auto histogram(const std::string &name, const std::string &help, const prometheus::Histogram::BucketBoundaries &buckets, Names labels = {})
        -> HistogramFamily
    {
        auto &family = prometheus::BuildHistogram().Name("catkin_" + name).Help(help).Register(registry);
        return {family, std::move(labels), options.maxHistogramSeries, buckets};
    }

    MetricsOptions options;
    prometheus::Registry registry;

    CounterFamily requests = counter("requests_total", "Finished requests by result", {"workspace", "kind", "result"});
    HistogramFamily requestSeconds = histogram("request_seconds", "Time from acceptance to the result", requestBuckets, {"workspace", "kind"});
    CounterFamily refusals = counter("refusals_total", "Requests refused before any work by reason", {"reason"});
    HistogramFamily queueWait = histogram("queue_wait_seconds", "Time in the request queue", requestBuckets, {"kind"});
    CounterFamily retries = counter("retries_total", "Retries by whether the budget allowed them", {"outcome"});
    CounterFamily attempts = counter("attempts_total", "Attempts of non-idempotent requests by mechanism", {"mechanism"});
    CounterFamily executorCalls = counter("executor_calls_total", "Calls of executors by result", {"kind", "result"});
    HistogramFamily executorSeconds = histogram("executor_seconds", "Duration of executor calls", requestBuckets, {"kind"});
    GaugeFamily queueLength = gauge("queue_length", "Requests that wait", {"workspace"});
    GaugeFamily queueBytes = gauge("queue_bytes", "Payload of the requests that wait");
    GaugeFamily executors = gauge("executors", "Known executors by state", {"state"});

    CounterFamily jobs = counter("jobs_total", "Job events", {"workspace", "event"});
    HistogramFamily jobWait = histogram("job_wait_seconds", "Time from acceptance until the whole gang ran", jobBuckets, {"urgency"});
    CounterFamily preemptions = counter("preemptions_total", "Jobs stopped to reclaim slots", {"workspace"});
    HistogramFamily gangStart = histogram("gang_start_seconds", "Time from the first reservation until the whole gang ran", jobBuckets);
    HistogramFamily reclaim = histogram("reclaim_seconds", "Time from the decision until reclaimed slots were free", jobBuckets);
    HistogramFamily placement = histogram("placement_seconds", "Duration of one placement decision", placementBuckets);
    CounterFamily orders = counter("worker_orders_total", "Orders to workers by result", {"result"});
    GaugeFamily jobsWaiting = gauge("jobs_waiting", "Jobs that wait", {"workspace"});
    GaugeFamily jobsRunning = gauge("jobs_running", "Jobs that run", {"workspace"});
    GaugeFamily workers = gauge("workers", "Workers of the failure domain by state", {"state"});
    CounterFamily stops = counter("pool_stops_total", "Attempts that were asked to stop by cause", {"cause"});
    CounterFamily lostWork = counter("pool_lost_core_seconds_total", "Work lost by stops in core-seconds by cause", {"cause"});
    CounterFamily admissionRefused = counter("pool_admission_refused_total", "Jobs refused because no start in time was possible by queue", {"queue"});
    GaugeFamily stopping = gauge("stopping_attempts", "Attempts that are to be stopped and may still run");
    GaugeFamily evacuated = gauge("evacuated", "Whether the failure domain is evacuated; on the leader", {"domain"});
    GaugeFamily evacuatedAttempts = gauge("evacuated_attempts", "Attempts that still run, or may run, in an evacuated failure domain", {"domain"});
    GaugeFamily oldestStop = gauge("oldest_stop_seconds", "How long the first of them has been stopping");
    GaugeFamily planSeconds = gauge("plan_pass_seconds", "Duration of the last pass of the pool planner");
    GaugeFamily planSearches = gauge("plan_searches", "Times that the last pass looked for capacity on all workers");
    GaugeFamily openStarts = gauge("open_starts", "Start orders without an answer after the last pass");
    GaugeFamily deferredGroups = gauge("deferred_groups", "Groups of tasks that the last pass left to the next because of open start orders");
    GaugeFamily kindPairs = gauge("interference_pairs", "Pairs of kinds of tasks that were seen on one worker");
    GaugeFamily certainKindPairs = gauge("interference_certain_pairs", "Pairs of kinds of which one certainly slows the other down");
    GaugeFamily slowWorkers = gauge("slow_workers", "Workers that are certainly slower than the median");
    GaugeFamily waitingGroups = gauge("waiting_groups", "Groups of tasks that waited when the last pass began, by what a start can still achieve", {"urgency"});
    GaugeFamily slots = gauge("slots", "Slots of the failure domain by state", {"state"});
    GaugeFamily largestFree = gauge("largest_free_block_slots", "Largest block of adjacent free slots");
    GaugeFamily planner = gauge("planner", "1 while this instance plans a failure domain");

    CounterFamily appends = counter("log_appends_total", "Appends to the platform log by result", {"stream", "result"});
    HistogramFamily appendSeconds = histogram("log_append_seconds", "Duration of appends", requestBuckets, {"stream"});
    CounterFamily recordsRead = counter("log_records_read_total", "Records read from the platform log", {"stream"});
    GaugeFamily logAvailable = gauge("log_available", "1 while the last call of the stream succeeded", {"stream"});
    CounterFamily configChanges = counter("config_changes_total", "Configuration changes sent through this instance by result", {"result"});
    GaugeFamily configVersion = gauge("config_version", "Configuration version in force");
    GaugeFamily configAge = gauge("config_age_seconds", "Time since the log or a peer confirmed the version");

    CounterFamily linkBytes = counter("link_bytes_total", "Bytes exchanged with other regions by class", {"class", "direction"});
    CounterFamily linkRefused = counter("link_refused_total", "Sends to other regions that the byte budget refused", {"class"});
    CounterFamily linksClosed = counter("peer_links_closed_total", "Connections to peers that ended after their handshake");
    CounterFamily framesRejected = counter("peer_frames_rejected_total", "Links to peers that ended with a frame that was changed or cut", {"reason"});
    GaugeFamily previousKeyLinks = gauge("peer_links_previous_key", "Open links to peers that were authenticated with the previous key");
    CounterFamily tlsFailed = counter("tls_handshakes_failed_total", "Connections that ended in their TLS handshake", {"listener"});
    CounterFamily listenerClosed = counter("listener_closed_total", "Connections that a limit of their listener closed", {"listener", "cause"});
    GaugeFamily freshPeers = gauge("fresh_peers", "Peers with a fresh heartbeat");
    GaugeFamily ready = gauge("ready", "1 while the instance takes requests");
    GaugeFamily draining = gauge("draining", "1 while the instance drains");
    GaugeFamily cpuSeconds = gauge("process_cpu_seconds", "Processor time used by the process");
    GaugeFamily residentBytes = gauge("process_resident_bytes", "Resident memory of the process");

    CounterFamily sloRequests = counter("slo_requests_total", "Requests that count towards an objective", {"workspace", "kind"});
    CounterFamily sloGood = counter("slo_good_total", "Requests that met their objective", {"workspace", "kind"});
    GaugeFamily sloTarget = gauge("slo_target_ratio", "Part of the requests that must meet the objective", {"workspace", "kind"});
};

Metrics::Metrics(const MetricsOptions &options)
    : m_families(std::make_unique<Families>(options))
{
    // Series whose labels are all known are shown from the start, so that a rate over them has a first point.
    auto &families = *m_families;
    for (const auto *it : refusalReasons) {
        families.refusals.at({it});
    }
    for (const auto *it : mechanisms) {
        families.attempts.at({it});
    }
    for (const auto *it : urgencies) {
        families.jobWait.at({it});
    }
    for (const auto it : stopReasons) {
        families.stops.at({stopReasonName(it)});
        families.lostWork.at({stopReasonName(it)});
    }
    for (const auto it : {WaitUrgency::InTime, WaitUrgency::Late, WaitUrgency::Worthless}) {
        families.waitingGroups.at({waitUrgencyName(it)});
    }
    families.admissionRefused.at({"other"}); // names of queues come with the configuration
    for (const auto *it : orderResults) {
        families.orders.at({it});
    }
    for (const auto *it : configResults) {
        families.configChanges.at({it});
    }
    for (const auto *it : tlsListeners) {
        families.tlsFailed.at({it});
    }
    for (const auto *listener : listenerKinds) {
        for (const auto *cause : listenerCloseNames) {
            families.listenerClosed.at({listener, cause});
        }
    }
    for (const auto *stream : streams) {
        families.appendSeconds.at({stream});
        families.recordsRead.at({stream});
        for (const auto *result : appendResults) {
            families.appends.at({stream, result});
        }
    }
}

Metrics::~Metrics() = default;

auto Metrics::requestFinished(const WorkspaceId &workspace, const KindId &kind, MetricRequestResult result, Micros latency) -> void
{
    m_families->requests.at({workspace.str(), kind.str(), nameOf(requestResults, result)}).Increment();
    m_families->requestSeconds.at({workspace.str(), kind.str()}).Observe(seconds(latency));
}

auto Metrics::requestRefused(MetricRefusal reason) -> void
{
    m_families->refusals.at({nameOf(refusalReasons, reason)}).Increment();
}

auto Metrics::requestDequeued(const KindId &kind, Micros waited) -> void
{
    m_families->queueWait.at({kind.str()}).Observe(seconds(waited));
}

auto Metrics::retry(bool sent, std::uint64_t count) -> void
{
    m_families->retries.at({sent ? "sent" : "refused"}).Increment(static_cast<double>(count));
}

auto Metrics::attemptStarted(AttemptMechanism mechanism) -> void
{
    m_families->attempts.at({nameOf(mechanisms, mechanism)}).Increment();
}

auto Metrics::executorCall(const KindId &kind, ExecutorResult result, Micros latency) -> void
{
    m_families->executorCalls.at({kind.str(), nameOf(executorResults, result)}).Increment();
    m_families->executorSeconds.at({kind.str()}).Observe(seconds(latency));
}

auto Metrics::setQueue(const WorkspaceId &workspace, std::size_t length) -> void
{
    m_families->queueLength.at({workspace.str()}).Set(static_cast<double>(length));
}

auto Metrics::setQueueBytes(Bytes bytes) -> void
{
    m_families->queueBytes.at({}).Set(static_cast<double>(bytes.value));
}

auto Metrics::setExecutors(BackendState state, std::size_t count) -> void
{
    m_families->executors.at({nameOf(backendStates, state)}).Set(static_cast<double>(count));
}

auto Metrics::jobEvent(const WorkspaceId &workspace, JobEvent event) -> void
{
    m_families->jobs.at({workspace.str(), nameOf(jobEvents, event)}).Increment();
}

auto Metrics::jobStarted(JobUrgency urgency, Micros waited) -> void
{
    m_families->jobWait.at({nameOf(urgencies, urgency)}).Observe(seconds(waited));
}

auto Metrics::jobPreempted(const WorkspaceId &workspace) -> void
{
    m_families->preemptions.at({workspace.str()}).Increment();
}

auto Metrics::gangStarted(Micros took) -> void
{
    m_families->gangStart.at({}).Observe(seconds(took));
}

auto Metrics::reclaimed(Micros took) -> void
{
    m_families->reclaim.at({}).Observe(seconds(took));
}

auto Metrics::placementDecided(Micros took) -> void
{
    m_families->placement.at({}).Observe(seconds(took));
}

auto Metrics::workerOrder(MetricOrderResult result) -> void
{
    m_families->orders.at({nameOf(orderResults, result)}).Increment();
}

auto Metrics::addWorkspace(const WorkspaceId &workspace) -> void
{
    m_families->preemptions.at({workspace.str()});
    for (const auto *it : jobEvents) {
        m_families->jobs.at({workspace.str(), it});
    }
}

auto Metrics::setJobs(const WorkspaceId &workspace, std::size_t waiting, std::size_t running) -> void
{
    m_families->jobsWaiting.at({workspace.str()}).Set(static_cast<double>(waiting));
    m_families->jobsRunning.at({workspace.str()}).Set(static_cast<double>(running));
}

auto Metrics::setWorkers(BackendState state, std::size_t count) -> void
{
    m_families->workers.at({nameOf(backendStates, state)}).Set(static_cast<double>(count));
}

auto Metrics::setStoppingAttempts(std::size_t count, Micros oldest) -> void
{
    m_families->stopping.at({}).Set(static_cast<double>(count));
    m_families->oldestStop.at({}).Set(seconds(oldest));
}

auto Metrics::setEvacuation(const FailureDomainId &domain, bool evacuated, std::size_t attempts) -> void
{
    m_families->evacuated.at({domain.str()}).Set(evacuated ? 1.0 : 0.0);
    m_families->evacuatedAttempts.at({domain.str()}).Set(static_cast<double>(attempts));
}

auto Metrics::attemptsStopped(const std::string &cause, std::size_t count, double lostCoreSeconds) -> void
{
    m_families->stops.at({cause}).Increment(static_cast<double>(count));
    m_families->lostWork.at({cause}).Increment(lostCoreSeconds);
}

auto Metrics::admissionRefused(const QueueId &queue) -> void
{
    m_families->admissionRefused.at({queue.str()}).Increment();
}

auto Metrics::setPlanningPass(const PlanningPass &pass) -> void
{
    m_families->planSeconds.at({}).Set(seconds(pass.duration));
    m_families->planSearches.at({}).Set(pass.searches);
    m_families->openStarts.at({}).Set(pass.openStarts);
    m_families->deferredGroups.at({}).Set(pass.deferredGroups);
    m_families->kindPairs.at({}).Set(static_cast<double>(pass.kindPairs));
    m_families->certainKindPairs.at({}).Set(static_cast<double>(pass.certainKindPairs));
    m_families->slowWorkers.at({}).Set(static_cast<double>(pass.slowWorkers));
    for (const auto it : {WaitUrgency::InTime, WaitUrgency::Late, WaitUrgency::Worthless}) {
        m_families->waitingGroups.at({waitUrgencyName(it)}).Set(pass.waiting.at(static_cast<std::size_t>(it)));
    }
}

auto Metrics::setSlots(SlotState state, SlotCount slots) -> void
{
    m_families->slots.at({nameOf(slotStates, state)}).Set(static_cast<double>(slots.value));
}

auto Metrics::setLargestFreeBlock(SlotCount slots) -> void
{
    m_families->largestFree.at({}).Set(static_cast<double>(slots.value));
}

auto Metrics::setPlanner(bool active) -> void
{
    m_families->planner.at({}).Set(active ? 1 : 0);
}

auto Metrics::logAppended(LogStream stream, AppendResult result, Micros latency) -> void
{
    m_families->appends.at({nameOf(streams, stream), nameOf(appendResults, result)}).Increment();
    m_families->appendSeconds.at({nameOf(streams, stream)}).Observe(seconds(latency));
}

auto Metrics::logRead(LogStream stream, std::size_t records) -> void
{
    m_families->recordsRead.at({nameOf(streams, stream)}).Increment(static_cast<double>(records));
}

auto Metrics::setLogAvailable(LogStream stream, bool available) -> void
{
    m_families->logAvailable.at({nameOf(streams, stream)}).Set(available ? 1 : 0);
}

auto Metrics::configChanged(ConfigResult result) -> void
{
    m_families->configChanges.at({nameOf(configResults, result)}).Increment();
}

auto Metrics::setConfig(ConfigVersion version, Seconds age) -> void
{
    m_families->configVersion.at({}).Set(static_cast<double>(version.value));
    m_families->configAge.at({}).Set(static_cast<double>(age.count()));
}

auto Metrics::linkTraffic(MetricLinkClass linkClass, LinkDirection direction, Bytes bytes) -> void
{
    m_families->linkBytes.at({nameOf(linkClasses, linkClass), nameOf(directions, direction)}).Increment(static_cast<double>(bytes.value));
}

auto Metrics::linkRefused(MetricLinkClass linkClass, std::uint64_t count) -> void
{
    m_families->linkRefused.at({nameOf(linkClasses, linkClass)}).Increment(static_cast<double>(count));
}

auto Metrics::peerLinksClosed(std::uint64_t count) -> void
{
    m_families->linksClosed.at({}).Increment(static_cast<double>(count));
}

auto Metrics::peerFramesRejected(bool cut, std::uint64_t count) -> void
{
    m_families->framesRejected.at({cut ? "cut" : "changed"}).Increment(static_cast<double>(count));
}

auto Metrics::setPreviousKeyLinks(std::uint64_t count) -> void
{
    m_families->previousKeyLinks.at({}).Set(static_cast<double>(count));
}

auto Metrics::tlsHandshakeFailed(TlsListener listener) -> void
{
    m_families->tlsFailed.at({nameOf(tlsListeners, listener)}).Increment();
}

auto Metrics::listenerClosed(ListenerKind listener, ListenerClose cause) -> void
{
    m_families->listenerClosed.at({nameOf(listenerKinds, listener), nameOf(listenerCloseNames, cause)}).Increment();
}

auto Metrics::setFreshPeers(std::size_t count) -> void
{
    m_families->freshPeers.at({}).Set(static_cast<double>(count));
}

auto Metrics::setReady(bool ready) -> void
{
    m_families->ready.at({}).Set(ready ? 1 : 0);
}

auto Metrics::setDraining(bool draining) -> void
{
    m_families->draining.at({}).Set(draining ? 1 : 0);
}

auto Metrics::sloObserved(const WorkspaceId &workspace, const KindId &kind, bool good) -> void
{
    m_families->sloRequests.at({workspace.str(), kind.str()}).Increment();
    m_families->sloGood.at({workspace.str(), kind.str()}).Increment(good ? 1 : 0);
}

auto Metrics::setSloTarget(const WorkspaceId &workspace, const KindId &kind, double targetPercent) -> void
{
    m_families->sloTarget.at({workspace.str(), kind.str()}).Set(targetPercent / 100);
}

auto Metrics::text() const -> std::string
{
    auto usage = rusage{};
    if (getrusage(RUSAGE_SELF, &usage) == 0) {
        const auto micros = [](const timeval &t) { return Micros{t.tv_usec} + Seconds{t.tv_sec}; };
        m_families->cpuSeconds.at({}).Set(seconds(micros(usage.ru_utime) + micros(usage.ru_stime)));
    }
    auto pages = 0.0;
    auto resident = 0.0;
    if (std::ifstream("/proc/self/statm") >> pages >> resident) {
        m_families->residentBytes.at({}).Set(resident * static_cast<double>(sysconf(_SC_PAGESIZE)));
    }
    auto out = std::ostringstream{};
    prometheus::TextSerializer{}.Serialize(out, m_families->registry.Collect());
    return out.str();
}

}

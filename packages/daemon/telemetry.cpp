#include "daemon/telemetry.h"

#include <algorithm>
#include <bit>

namespace Catkin
{

namespace
{

constexpr auto viewWait = Millis{500};
/// Jobs that another planner takes over never end here, so the table is emptied when it has grown beyond any real fleet.
constexpr auto maxJobTimes = std::size_t{32'768};

auto toStream(const std::string &name) -> LogStream
{
    return name == "config" ? LogStream::Config : name == "jobs" ? LogStream::Jobs : LogStream::Requests;
}

auto toMetric(RequestVerdict verdict) -> MetricRequestResult
{
    switch (verdict) {
    case RequestVerdict::Answer:
        return MetricRequestResult::Answer;
    case RequestVerdict::NotRun:
        return MetricRequestResult::NotRun;
    case RequestVerdict::OutcomeUnknown:
        break;
    }
    return MetricRequestResult::OutcomeUnknown;
}

auto toMetric(ApplyOutcome outcome) -> ConfigResult
{
    switch (outcome) {
    case ApplyOutcome::Accepted:
        return ConfigResult::Accepted;
    case ApplyOutcome::Invalid:
        return ConfigResult::Rejected;
    case ApplyOutcome::Conflict:
        return ConfigResult::Conflict;
    case ApplyOutcome::NotApplied:
        return ConfigResult::NotApplied;
    case ApplyOutcome::Unknown:
        break;
    }
    return ConfigResult::Unknown;
}

auto toMetric(JobResult result) -> JobEvent
{
    switch (result) {
    case JobResult::Succeeded:
        return JobEvent::Succeeded;
    case JobResult::Failed:
        return JobEvent::Failed;
    case JobResult::Cancelled:
        return JobEvent::Cancelled;
    case JobResult::Parked:
        return JobEvent::Parked;
    case JobResult::Requeue:
        return JobEvent::Requeued;
    case JobResult::Unknown:
        break;
    }
    return JobEvent::Unknown;
}

auto toMetric(WorkUrgency urgency) -> JobUrgency
{
    return urgency == WorkUrgency::Urgent ? JobUrgency::Urgent : urgency == WorkUrgency::Batch ? JobUrgency::Batch : JobUrgency::Normal;
}

auto executorResult(const Result<ExecutorAnswer> &answer) -> ExecutorResult
{
    if (answer) {
        return ExecutorResult::Answer;
    }
    if (certainlyNotRun(answer.error())) {
        return ExecutorResult::NotRun;
    }
    return answer.error().code == ErrorCode::Protocol ? ExecutorResult::Discarded : ExecutorResult::Error;
}

auto appendResult(const Result<LogOffset> &result) -> AppendResult
{
    if (result) {
        return AppendResult::Ok;
    }
    const auto certain = result.error().code == ErrorCode::NotSent || result.error().code == ErrorCode::InvalidInput;
    return certain ? AppendResult::NotSent : AppendResult::Unknown;
}

auto executorState(const ExecutorView &executor) -> BackendState
{
    if (executor.quarantined) {
        return BackendState::Quarantined;
    }
    switch (executor.state) {
    case ExecutorState::Usable:
        return BackendState::Usable;
    case ExecutorState::Leaving:
        return BackendState::Leaving;
    default:
        return BackendState::Lost;
    }
}

auto freeSlots(const WorkerView &worker) -> std::uint64_t
{
    auto free = worker.slots >= 64 ? ~std::uint64_t{0} : (std::uint64_t{1} << static_cast<unsigned>(worker.slots)) - 1;
    for (const auto &lease : worker.leases) {
        if (lease.state != LeaseState::Ended) {
            for (const auto slot : lease.slots) {
                free &= ~(std::uint64_t{1} << static_cast<unsigned>(slot));
            }
        }
    }
    return free;
}

auto largestIn(std::uint64_t free, int slots) -> int
{
    for (auto size = slots; size > 0; size /= 2) {
        const auto block = size >= 64 ? ~std::uint64_t{0} : (std::uint64_t{1} << static_cast<unsigned>(size)) - 1;
        for (auto first = 0; first + size <= slots; first += size) {
            const auto mask = block << static_cast<unsigned>(first);
            if ((free & mask) == mask) {
                return size;
            }
        }
    }
    return 0;
}

constexpr auto backendStates = {BackendState::Usable, BackendState::Lost, BackendState::Quarantined, BackendState::Leaving};

}

auto largestFreeBlock(const std::vector<WorkerView> &workers) -> SlotCount
{
    auto best = 0;
    auto racks = std::map<std::pair<RackId, int>, unsigned>{}; // wholly free workers by rack and size
    for (const auto &it : workers) {
        if (it.reachable && !it.leaving && it.slots > 0) {
            const auto block = largestIn(freeSlots(it), it.slots);
            best = std::max(best, block);
            racks[{it.rack, it.slots}] += block == it.slots ? 1 : 0;
        }
    }
    for (const auto &[rack, count] : racks) {
        best = std::max(best, static_cast<int>(std::bit_floor(count)) * rack.second);
    }
    return SlotCount{best};
}

Telemetry::Telemetry(Clock clock)
    : m_clock(std::move(clock))
    , m_metrics(MetricsOptions{})
{
}

auto Telemetry::observed(LogPort port) -> LogPort
{
    auto out = LogPort{};
    out.append = [this, append = std::move(port.append)](const std::string &stream, const std::vector<std::string> &records) {
        const auto started = m_clock.mono();
        auto result = append(stream, records);
        m_metrics.logAppended(toStream(stream), appendResult(result), m_clock.mono() - started);
        m_metrics.setLogAvailable(toStream(stream), result.has_value());
        return result;
    };
    out.read = [this, read = std::move(port.read)](const std::string &stream, LogOffset from, int limit, Millis wait) {
        auto page = read(stream, from, limit, wait);
        m_metrics.setLogAvailable(toStream(stream), page.has_value());
        m_metrics.logRead(toStream(stream), page ? page.value().records.size() : 0);
        return page;
    };
    return out;
}

auto Telemetry::observed(ExecutorPort port) -> ExecutorPort
{
    auto out = port;
    out.execute = [this, execute = std::move(port.execute)](const std::string &address, const ExecutorCall &call) {
        const auto started = m_clock.mono();
        auto answer = execute(address, call);
        m_metrics.executorCall(call.kind, executorResult(answer), m_clock.mono() - started);
        return answer;
    };
    return out;
}

auto Telemetry::observed(WorkerPort port) -> WorkerPort
{
    auto out = port;
    out.orders = [this, send = std::move(port.orders)](
                     const std::string &address, const Generation &generation, const std::vector<WorkerOrder> &orders, Millis timeout) {
        const auto sent = m_clock.mono();
        auto reply = send(address, generation, orders, timeout);
        ordersSent(orders, reply, sent);
        return reply;
    };
    return out;
}

auto Telemetry::ordersSent(const std::vector<WorkerOrder> &orders, const Result<OrdersReply> &reply, MonoTime sent) -> void
{
    for (auto i = std::size_t{0}; i < orders.size(); ++i) {
        if (reply) {
            const auto &results = reply.value().results;
            m_metrics.workerOrder(i < results.size() && results[i].ok ? MetricOrderResult::Ok : MetricOrderResult::Refused);
        } else {
            m_metrics.workerOrder(reply.error().code == ErrorCode::StaleGeneration ? MetricOrderResult::Stale : MetricOrderResult::Failed);
        }
        if (orders[i].op == OrderOp::Reserve) {
            const auto lock = std::lock_guard{m_mutex};
            auto &reserved = timesOf(orders[i].job).reserved;
            reserved = std::min(reserved.value_or(sent), sent);
        }
    }
}

auto Telemetry::timesOf(const JobId &job) -> JobTimes &
{
    if (m_jobs.size() >= maxJobTimes && !m_jobs.contains(job)) {
        m_jobs.clear();
    }
    return m_jobs[job];
}

auto Telemetry::requestFinished(const RequestCall &call, const RequestReply &reply, Millis latency, const ActiveConfig *active) -> void
{
    observeObjective(call.workspace, call.kind, latency, reply.verdict == RequestVerdict::Answer);
    if (reply.refusal) {
        m_metrics.requestRefused(*reply.refusal);
    } else if (reply.verdict == RequestVerdict::NotRun && reply.status >= 400 && reply.status < 500) {
        m_metrics.requestRefused(MetricRefusal::BadInput);
    }
    if (reply.mechanism) {
        m_metrics.attemptStarted(*reply.mechanism);
    }
    // Names that the configuration does not know must not become series.
    if (active != nullptr && findKind(active->document, call.kind) != nullptr) {
        m_metrics.requestFinished(call.workspace, call.kind, toMetric(reply.verdict), latency);
        if (reply.queueWait) {
            m_metrics.requestDequeued(call.kind, *reply.queueWait);
        }
    }
}

auto Telemetry::unauthorized() -> void
{
    m_metrics.requestRefused(MetricRefusal::Unauthorized);
}

auto Telemetry::observeObjective(const WorkspaceId &workspace, const KindId &kind, Millis elapsed, bool answered) -> void
{
    auto limit = std::optional<Millis>{};
    {
        const auto lock = std::lock_guard{m_mutex};
        m_slo.observe(workspace, kind, elapsed, answered, m_clock.mono());
        const auto it = m_objectives.find({workspace, kind});
        limit = it == m_objectives.end() ? std::nullopt : std::optional{it->second};
    }
    if (limit) {
        m_metrics.sloObserved(workspace, kind, answered && elapsed <= *limit);
    }
}

auto Telemetry::configChanged(const ConfigDocument &document) -> void
{
    for (const auto &it : document.workspaces) {
        m_metrics.addWorkspace(it.name);
    }
    const auto lock = std::lock_guard{m_mutex};
    m_slo.configure(document.objectives);
    m_objectives.clear();
    for (const auto &it : document.objectives) {
        m_objectives[{it.workspace, it.kind}] = it.latency;
        m_metrics.setSloTarget(it.workspace, it.kind, it.targetMillipercent / 1000.0);
    }
}

auto Telemetry::configApplied(ApplyOutcome outcome) -> void
{
    m_metrics.configChanged(toMetric(outcome));
}

auto Telemetry::jobRecorded(const Job &job, const JobRecord &record) -> void
{
    if (std::holds_alternative<JobAcceptRecord>(record)) {
        m_metrics.jobEvent(job.spec.workspace, JobEvent::Accepted);
    } else if (std::holds_alternative<JobStartedRecord>(record)) {
        jobStarted(job);
    } else if (const auto *finish = std::get_if<JobFinishRecord>(&record)) {
        jobFinished(job, *finish);
    }
}

auto Telemetry::jobStarted(const Job &job) -> void
{
    m_metrics.jobEvent(job.spec.workspace, JobEvent::Started);
    auto times = JobTimes{};
    {
        const auto lock = std::lock_guard{m_mutex};
        auto &known = timesOf(job.spec.id);
        times = known;
        known.reserved.reset();
        known.ran = true;
    }
    if (times.reserved) {
        m_metrics.gangStarted(m_clock.mono() - *times.reserved);
    }
    if (!times.ran) {
        const auto waited = std::max(Millis{0}, std::chrono::duration_cast<Millis>(m_clock.wall() - job.accepted));
        m_metrics.jobStarted(toMetric(job.spec.urgency), waited);
        observeObjective(job.spec.workspace, job.spec.kind, waited, true);
    }
}

auto Telemetry::jobFinished(const Job &job, const JobFinishRecord &record) -> void
{
    m_metrics.jobEvent(job.spec.workspace, toMetric(record.result));
    auto preempted = std::optional<MonoTime>{};
    {
        const auto lock = std::lock_guard{m_mutex};
        if (const auto it = m_jobs.find(job.spec.id); it != m_jobs.end()) {
            preempted = std::exchange(it->second.preempted, std::nullopt);
            it->second.reserved.reset();
            if (record.result != JobResult::Requeue) {
                m_jobs.erase(it);
            }
        }
    }
    if (preempted) {
        m_metrics.reclaimed(m_clock.mono() - *preempted);
    }
}

auto Telemetry::jobPreempted(const Job &job) -> void
{
    m_metrics.jobPreempted(job.spec.workspace);
    const auto lock = std::lock_guard{m_mutex};
    timesOf(job.spec.id).preempted = m_clock.mono();
}

auto Telemetry::placementDecided(Micros took) -> void
{
    m_metrics.placementDecided(took);
}

auto Telemetry::slo() -> std::vector<SloStatus>
{
    const auto lock = std::lock_guard{m_mutex};
    return m_slo.report(m_clock.mono());
}

auto Telemetry::increase(const std::string &source, std::uint64_t value) -> std::uint64_t
{
    const auto before = std::exchange(m_seen[source], value);
    return value > before ? value - before : 0;
}

auto Telemetry::scrapeRequests(const RequestService &requests, const ActiveConfig *active) -> void
{
    const auto counts = requests.counts();
    const auto grown = [&](const char *source, std::int64_t value) { return increase(source, static_cast<std::uint64_t>(value)); };
    m_metrics.retry(true, grown("retries", counts.retries));
    m_metrics.retry(false, grown("retries denied", counts.retriesDenied));
    m_metrics.linkRefused(MetricLinkClass::Payload, grown("link denied", counts.linkDenied));
    m_metrics.linkTraffic(MetricLinkClass::Payload, LinkDirection::Sent, Bytes{static_cast<std::int64_t>(grown("executor bytes", counts.otherRegionBytes))});
    auto queued = std::map<WorkspaceId, std::size_t>{};
    if (active != nullptr) {
        for (const auto &it : active->document.workspaces) {
            queued[it.name] = 0;
        }
    }
    for (const auto &it : requests.queues()) {
        queued[it.workspace] += static_cast<std::size_t>(it.queued);
    }
    for (const auto &[workspace, count] : queued) {
        m_metrics.setQueue(workspace, count);
    }
    m_metrics.setQueueBytes(requests.queuedBytes());
    auto states = std::map<BackendState, std::size_t>{};
    for (const auto &it : requests.executors()) {
        ++states[executorState(it)];
    }
    for (const auto state : backendStates) {
        m_metrics.setExecutors(state, states[state]);
    }
}

auto Telemetry::scrapePlanners(const TelemetrySources &sources, const ActiveConfig *active) -> void
{
    const auto planned = sources.planners->planned();
    m_metrics.setPlanner(!planned.empty());
    auto jobs = std::map<WorkspaceId, std::pair<std::size_t, std::size_t>>{};
    if (active != nullptr) {
        for (const auto &it : active->document.workspaces) {
            jobs[it.name] = {};
        }
    }
    for (const auto &domain : planned) {
        for (const auto &it : sources.jobs->liveIn(domain.domain)) {
            auto &[waiting, running] = jobs[it.spec.workspace];
            ++(it.state == JobState::Queued ? waiting : running);
        }
    }
    for (const auto &[workspace, it] : jobs) {
        m_metrics.setJobs(workspace, it.first, it.second);
    }
    const auto views = planned.empty() ? std::vector<PlannerView>{} : sources.planners->views(viewWait);
    if (views.empty() && !planned.empty()) {
        return; // The planner is busy; the figures of the last scrape stay.
    }
    auto workers = std::map<BackendState, int>{};
    auto slots = std::map<SlotState, int>{};
    auto largest = SlotCount{0};
    for (const auto &view : views) {
        auto usable = 0;
        for (const auto &it : view.workers) {
            const auto state = !it.reachable ? BackendState::Lost : it.leaving ? BackendState::Leaving : BackendState::Usable;
            usable += state == BackendState::Usable ? 1 : 0;
            ++workers[state];
            slots[SlotState::Total] += it.slots;
            slots[SlotState::Lost] += it.reachable ? 0 : it.slots;
        }
        const auto quarantined = std::min(view.stats.quarantinedWorkers, usable);
        workers[BackendState::Quarantined] += quarantined;
        workers[BackendState::Usable] -= quarantined;
        slots[SlotState::Free] += view.stats.freeSlots;
        slots[SlotState::Reclaimable] += view.stats.borrowedSlots;
        slots[SlotState::Leased] += std::max(0, view.stats.usableSlots - view.stats.freeSlots);
        largest = std::max(largest, largestFreeBlock(view.workers));
    }
    for (const auto state : backendStates) {
        m_metrics.setWorkers(state, static_cast<std::size_t>(workers[state]));
    }
    for (const auto state : {SlotState::Total, SlotState::Free, SlotState::Reclaimable, SlotState::Leased, SlotState::Lost}) {
        m_metrics.setSlots(state, SlotCount{slots[state]});
    }
    m_metrics.setLargestFreeBlock(largest);
}

auto Telemetry::tlsHandshakeFailed(TlsListener listener) -> void
{
    m_metrics.tlsHandshakeFailed(listener);
}

auto Telemetry::listenerClosed(ListenerKind listener, ListenerClose cause) -> void
{
    m_metrics.listenerClosed(listener, cause);
}

auto Telemetry::scrapePeers(const TelemetrySources &sources) -> void
{
    const auto counters = sources.mesh->counters();
    for (auto i = std::size_t{0}; i < trafficClassCount; ++i) {
        const auto &it = counters.acrossRegions.at(i);
        const auto traffic = static_cast<TrafficClass>(i);
        const auto linkClass = traffic == TrafficClass::Bulk ? MetricLinkClass::Payload : MetricLinkClass::Control;
        const auto name = std::string(trafficClassName(traffic));
        m_metrics.linkTraffic(linkClass, LinkDirection::Sent, Bytes{static_cast<std::int64_t>(increase(name + " sent", it.bytesOut))});
        m_metrics.linkTraffic(linkClass, LinkDirection::Received, Bytes{static_cast<std::int64_t>(increase(name + " received", it.bytesIn))});
    }
    m_metrics.peerFramesRejected(false, increase("frames rejected", counters.framesRejected));
    m_metrics.peerFramesRejected(true, increase("frames cut", counters.framesCut));
    m_metrics.setPreviousKeyLinks(counters.linksPreviousKey);
    m_metrics.peerLinksClosed(increase("links closed", counters.linksClosed));
    const auto instances = sources.mesh->membership().instances(m_clock.mono());
    m_metrics.setFreshPeers(static_cast<std::size_t>(
        std::count_if(instances.begin(), instances.end(), [](const InstanceView &it) { return !it.self && it.state != InstanceState::Silent; })));
}

auto Telemetry::scrape(const TelemetrySources &sources) -> std::string
{
    const auto lock = std::lock_guard{m_scrapeMutex};
    const auto active = sources.config->active();
    m_metrics.setEvacuation(sources.domain, false, 0); // only the pool scheduler evacuates failure domains
    scrapeRequests(*sources.requests, active.get());
    scrapePlanners(sources, active.get());
    scrapePeers(sources);
    if (active) {
        m_metrics.setConfig(active->state.version, std::chrono::duration_cast<Seconds>(sources.config->age().value_or(Millis{0})));
    }
    m_metrics.setReady(sources.ready);
    m_metrics.setDraining(sources.draining);
    return m_metrics.text();
}

auto Telemetry::metricsText() const -> std::string
{
    return m_metrics.text();
}

}

#include "daemon/daemon.h"

#include "daemon/callerapi.h"
#include "daemon/callgate.h"
#include "daemon/configservice.h"
#include "daemon/consoleroutes.h"
#include "daemon/daemonoptions.h"
#include "daemon/executorpoller.h"
#include "daemon/fleet.h"
#include "daemon/httplistener.h"
#include "daemon/intentservice.h"
#include "daemon/jobservice.h"
#include "daemon/logwriter.h"
#include "daemon/operatorapi.h"
#include "daemon/peeranswers.h"
#include "daemon/plannerservice.h"
#include "daemon/requestservice.h"
#include "daemon/telemetry.h"
#include "daemon/ticketservice.h"
#include "daemon/workpool.h"
#include "ports/httpexecutor.h"
#include "ports/httpinstancelist.h"
#include "ports/httplog.h"
#include "ports/httpworker.h"
#include "util/digest.h"
#include "util/logging.h"
#include "util/threadname.h"
#include "wire/peermesh.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

namespace Catkin
{

namespace
{

constexpr auto maxQueuedWork = std::size_t{4096};
constexpr auto housekeepingPeriod = Millis{100};
constexpr auto snapshotInterval = Millis{1'000};
constexpr auto flushWait = Millis{5'000};
constexpr auto forwardMargin = Millis{500};

/// @return the credentials; null, with the reason in @p error, when the files have become unusable since the settings were checked.
auto loadTls(TlsRole role, const TlsFiles &files, const Clock &clock, std::string &error) -> std::shared_ptr<TlsCredentials>
{
    if (files.certificate.empty() && files.ca.empty()) {
        return nullptr;
    }
    auto loaded = TlsCredentials::load(role, files, clock);
    if (!loaded) {
        error = loaded.error().message;
        return nullptr;
    }
    return loaded.value();
}

/// Client CAs count only beside a certificate.
auto listenerFiles(const TlsSettings &tls, const std::string &clientCa) -> TlsFiles
{
    return tls.certificate.empty() ? TlsFiles{} : listenerTls(tls, clientCa);
}

}

struct Daemon::Impl
{
    Impl(const Settings &given, const Clock &time);
    ~Impl();

    auto meshHandlers() -> PeerMeshHandlers;
    auto plannerContext() -> PlannerContext;
    auto callerContext() -> CallerContext;
    auto operatorContext() -> OperatorContext;

    auto configChanged(const ActiveConfig &active) -> void;
    auto fleetChanged(const FleetView &view) -> void;
    auto heartbeat(const Heartbeat &beat) -> void;
    auto localStatus() -> LocalStatus;
    auto serveForwarded(const TicketForward &forward, const Responder<TicketResult> &respond) -> void;
    auto forwardTicket(const Ticket &ticket, const RequestCall &call) -> RequestReply;
    auto noticeJob(const Job &job) -> void;
    auto isPlanner(const FailureDomainId &domain, const RegionId &region) const -> bool;
    auto readiness() const -> std::string;
    auto housekeeping() -> void;
    auto freshInstances(bool ownRegionOnly) const -> std::vector<InstanceId>;
    auto forgetSilentPeers() -> void;
    auto appendSnapshots() -> void;
    auto metricsText() -> std::string;
    auto httpTls(const std::string &name = {}) const -> HttpTls;
    auto handshakeFailed(TlsListener listener, const Error &error) -> void;
    auto refreshTls() -> void;

    Settings settings;
    Clock clock;
    std::string tlsError; ///< why TLS cannot be used; the daemon does not start with it
    std::shared_ptr<TlsCredentials> callerTls; ///< null: plain HTTP
    std::shared_ptr<TlsCredentials> operatorTls;
    std::shared_ptr<TlsCredentials> clientTls; ///< null: no https addresses
    std::mutex handshakeMutex;
    MonoTime nextHandshakeWarning{}; ///< guarded by handshakeMutex
    Incarnation incarnation;
    std::atomic<bool> assembled{false};
    std::atomic<bool> draining{false}; ///< not ready any more; still serving
    std::atomic<bool> closing{false}; ///< refusing new work
    std::atomic<bool> drainRequested{false};
    Telemetry telemetry;
    LogPort log;
    ExecutorPort executorPort;
    LogWriter writer;
    WorkPool pool;
    PeerMesh mesh;
    mutable std::mutex membershipMutex;
    std::shared_ptr<const Membership> membership; ///< refreshed by housekeeping()
    ConfigService config;
    IntentService intents;
    CallGate gate;
    RequestService requests;
    std::unique_ptr<PlannerService> planners;
    JobService jobs;
    TicketService tickets;
    ExecutorPoller poller;
    std::unique_ptr<Fleet> fleet;
    HttpListener callers;
    HttpListener operators;
    std::mutex stopMutex;
    std::condition_variable stopChanged;
    bool stopping = false;
    std::thread housekeeper;
};

Daemon::Impl::Impl(const Settings &given, const Clock &time)
    : settings(given)
    , clock(time)
    , callerTls(loadTls(TlsRole::Server, listenerFiles(given.tls, given.tls.callerClientCa), time, tlsError))
    , operatorTls(loadTls(TlsRole::Server, listenerFiles(given.tls, given.tls.operatorClientCa), time, tlsError))
    , clientTls(loadTls(TlsRole::Client, {.certificate = {}, .key = {}, .ca = given.tls.ca}, time, tlsError))
    , incarnation{time.wall().time_since_epoch().count()}
    , telemetry(time)
    , log(telemetry.observed(makeHttpLog({.address = given.platform.log, .timeout = given.platform.timeout, .tls = httpTls(given.tls.platformName)})))
    , executorPort(telemetry.observed(makeHttpExecutor({.maxAnswerBytes = static_cast<std::size_t>(given.limits.answerBody.value), .tls = httpTls()})))
    , writer(log, time, {})
    , pool(static_cast<std::size_t>(given.limits.dispatchThreads), maxQueuedWork)
    , mesh(meshOptions(given, incarnation), meshHandlers(), time)
    , membership(std::make_shared<const Membership>(mesh.membership()))
    , config(log,
             writer,
             time,
             {.instance = given.instance,
              .retention = retentionOf(given),
              .tail = logTailOptions(given),
              .applied = [this](ApplyOutcome outcome) { telemetry.configApplied(outcome); }},
             [this](const ActiveConfig &active) { configChanged(active); })
    , intents(log,
              writer,
              time,
              intentOptions(given),
              [this](const InstanceId &peer, const AttemptQuery &query, Millis timeout) { return mesh.queryAttempt(peer, query, timeout); })
    , gate(gateOptions(given))
    , requests(executorPort,
               config,
               intents,
               gate,
               time,
               requestOptions(given, incarnation),
               [this](const RequestCall &call, const RequestReply &reply, Millis latency) {
                   telemetry.requestFinished(call, reply, latency, config.active().get());
               })
    , jobs(log,
           writer,
           time,
           {.tail = logTailOptions(given), .recorded = [this](const Job &job, const JobRecord &record) { telemetry.jobRecorded(job, record); }},
           [this] {
               if (assembled) {
                   planners->jobsChanged();
               }
           })
    , tickets(ticketOptions(given, incarnation), time)
    , poller(executorPort,
             time,
             {.period = given.poll.executors},
             [this](const ExecutorId &id, const std::optional<HealthSample> &sample) { requests.executorPolled(id, sample); })
    , callers({
          .address = given.listeners.callers,
          .threads = given.limits.callerThreads,
          .backlog = given.limits.callerBacklog,
          .maxBody = static_cast<std::size_t>(given.limits.requestBody.value),
          .keepAlive = given.limits.keepAlive,
          .tls = callerTls,
          .handshakeFailed = [this](const Error &error) { handshakeFailed(TlsListener::Callers, error); },
          .name = "callers",
          .closed = [this](ListenerClose cause) { telemetry.listenerClosed(ListenerKind::Callers, cause); },
      })
    , operators({
          .address = given.listeners.operators,
          .threads = given.limits.operatorThreads,
          .backlog = given.limits.operatorBacklog,
          .maxBody = static_cast<std::size_t>(given.limits.documentBody.value),
          .keepAlive = given.limits.keepAlive,
          .tls = operatorTls,
          .handshakeFailed = [this](const Error &error) { handshakeFailed(TlsListener::Operators, error); },
          .name = "operators",
          .closed = [this](ListenerClose cause) { telemetry.listenerClosed(ListenerKind::Operators, cause); },
      })
{
    planners = std::make_unique<PlannerService>(plannerContext(),
                                                [this](const FailureDomainId &domain, const RegionId &region) { return isPlanner(domain, region); });
    fleet = std::make_unique<Fleet>(makeHttpInstanceList(given.platform.instances, given.platform.timeout, httpTls(given.tls.platformName)),
                                    time,
                                    given.poll.instances,
                                    [this](const FleetView &view) { fleetChanged(view); });
    assembled = true;
    if (const auto active = config.active()) {
        configChanged(*active);
    }
    planners->jobsChanged();
    fleetChanged(*fleet->view());
    addCallerRoutes(callers, callerContext());
    addOperatorRoutes(operators, operatorContext());
    addConsoleRoutes(operators, {.operators = operatorContext(), .formSecret = hmacSha256Hex(settings.peers.key, "console form secret")});
    housekeeper = std::thread([this] { housekeeping(); });
}

Daemon::Impl::~Impl()
{
    {
        const auto lock = std::lock_guard{stopMutex};
        stopping = true;
    }
    stopChanged.notify_all();
    housekeeper.join();
    callers.stop();
    operators.stop();
    mesh.stop();
    // Callbacks of the remaining threads check this before they use what is destroyed first.
    assembled = false;
    fleet.reset();
    pool.stop();
    planners.reset();
}

auto Daemon::Impl::meshHandlers() -> PeerMeshHandlers
{
    auto handlers = PeerMeshHandlers{};
    handlers.localStatus = [this] { return localStatus(); };
    handlers.heartbeat = [this](const Heartbeat &beat, HeartbeatEffect) { heartbeat(beat); };
    handlers.configOffer = [this](const InstanceId &, const ConfigOffer &offer) {
        config.offer({.version = offer.version, .id = offer.id, .author = offer.author, .document = offer.document});
    };
    handlers.attemptQuery = [this](const InstanceId &, const AttemptQuery &query, const Responder<AttemptOutcome> &respond) {
        respond(intents.outcome(RequestId{query.attempt}));
    };
    handlers.ticketForward = [this](const InstanceId &, const TicketForward &forward, const Responder<TicketResult> &respond) {
        if (!pool.post([this, forward, respond] { serveForwarded(forward, respond); })) {
            respond(failure(ErrorCode::Limit, "the work pool is full"));
        }
    };
    handlers.jobNotice = [this](const InstanceId &, const JobNotice &) {
        if (assembled) {
            planners->jobsChanged();
        }
    };
    handlers.jobCancel = [this](const InstanceId &from, const JobCancelRequest &cancel, const Responder<JobStatus> &respond) {
        const auto job = jobs.cancel(cancel.job, from.str(), cancel.reason);
        respond(job ? toJobStatus(cancel.job, job.value()) : JobStatus{.job = cancel.job});
    };
    handlers.jobStatusQuery = [this](const InstanceId &, const JobStatusQuery &query, const Responder<JobStatus> &respond) {
        respond(toJobStatus(query.job, jobs.find(query.job)));
    };
    return handlers;
}

auto Daemon::Impl::plannerContext() -> PlannerContext
{
    auto context = PlannerContext{.workers = telemetry.observed(makeHttpWorker(httpTls())), .jobs = &jobs, .pool = &pool, .clock = clock};
    context.decided = [this](Micros took) { telemetry.placementDecided(took); };
    context.preempted = [this](const Job &job) { telemetry.jobPreempted(job); };
    context.options = plannerOptions(settings);
    return context;
}

auto Daemon::Impl::callerContext() -> CallerContext
{
    return {
        .config = &config,
        .requests = &requests,
        .jobs = &jobs,
        .tickets = &tickets,
        .fleet = fleet.get(),
        .gate = &gate,
        .clock = clock,
        .domain = settings.domain,
        .draining = &closing,
        .forwardTicket = [this](const Ticket &ticket, const RequestCall &call) { return forwardTicket(ticket, call); },
        .noticeJob = [this](const Job &job) { noticeJob(job); },
        .unauthorized = [this] { telemetry.unauthorized(); },
    };
}

auto Daemon::Impl::operatorContext() -> OperatorContext
{
    return {
        .instance = settings.instance,
        .domain = settings.domain,
        .tokenHash = settings.operators.tokenSha256,
        .config = &config,
        .requests = &requests,
        .jobs = &jobs,
        .planners = planners.get(),
        .fleet = fleet.get(),
        .mesh = &mesh,
        .clock = clock,
        .metrics = [this] { return metricsText(); },
        .readiness = [this] { return readiness(); },
        .drain = [this] { drainRequested = true; },
        .slo = [this] { return telemetry.slo(); },
        .unauthorized = [this] { telemetry.unauthorized(); },
    };
}

auto Daemon::Impl::configChanged(const ActiveConfig &active) -> void
{
    if (!assembled) {
        return;
    }
    telemetry.configChanged(active.document);
    requests.configChanged(active);
    planners->configChanged(std::make_shared<const ActiveConfig>(active));
    mesh.announce();
}

auto Daemon::Impl::fleetChanged(const FleetView &view) -> void
{
    if (!assembled) {
        return;
    }
    requests.executorsChanged(view.executors);
    poller.setExecutors(view.executors);
    planners->workersChanged(view.workers);
    auto known = std::vector<KnownInstance>{};
    for (const auto &it : view.entries) {
        if (!it.peerAddress.empty()) {
            known.push_back({.id = InstanceId{it.id}, .domain = it.domain, .region = it.region, .address = it.peerAddress, .leaving = it.leaving});
        }
    }
    mesh.setKnown(KnownSource::InstanceList, known);
}

auto Daemon::Impl::localStatus() -> LocalStatus
{
    auto status = LocalStatus{.draining = draining};
    if (!assembled) {
        status.draining = true;
        return status;
    }
    // Until the jobs have been read, another instance is the better planner.
    status.draining = draining || !jobs.caughtUp();
    if (const auto active = config.active()) {
        status.configVersion = active->state.version;
    }
    for (const auto &it : requests.ownLoads()) {
        status.executors.push_back({.executor = it.executor, .inFlight = it.inFlight});
    }
    status.reportsDemand = true;
    for (const auto &it : requests.ownDemands()) {
        status.demands.push_back({.workspace = it.workspace, .slots = static_cast<float>(it.slots)});
    }
    for (const auto &it : planners->planned()) {
        status.planners.push_back({.domain = it.domain, .generation = it.generation.counter, .holder = it.generation.holder});
    }
    return status;
}

auto Daemon::Impl::heartbeat(const Heartbeat &beat) -> void
{
    if (!assembled) {
        return;
    }
    auto loads = std::vector<InFlightLoad>{};
    for (const auto &it : beat.executors) {
        loads.push_back({.executor = it.executor, .inFlight = it.inFlight});
    }
    requests.peerLoadsChanged(beat.instance, loads);
    auto demands = std::vector<WorkspaceDemand>{};
    for (const auto &it : beat.demands) {
        demands.push_back({.workspace = it.workspace, .slots = it.slots});
    }
    requests.peerDemandsChanged(beat.instance, beat.reportsDemand ? std::optional{std::move(demands)} : std::nullopt);
    const auto active = config.active();
    if (active && beat.configVersion < active->state.version) {
        const auto &state = active->state;
        (void)mesh.sendConfigOffer(
            beat.instance,
            {.version = state.version, .base = state.version - ConfigVersion{1}, .id = state.id, .author = state.author, .document = state.document});
    }
}

auto Daemon::Impl::serveForwarded(const TicketForward &forward, const Responder<TicketResult> &respond) -> void
{
    const auto ticket = tickets.parse(forward.key.str());
    if (!ticket || !tickets.owns(*ticket)) {
        respond(TicketResult{.verdict = RequestVerdict::OutcomeUnknown, .reason = "the issuing process of the ticket has ended", .status = 504});
        return;
    }
    const auto call = RequestCall{
        .workspace = forward.workspace,
        .caller = forward.caller,
        .kind = forward.kind,
        .key = forward.key,
        .firstSent = std::nullopt,
        .attempt = forward.attempt,
        .deadline = forward.deadline,
        .payload = forward.payload,
    };
    respond(toTicketResult(tickets.serve(*ticket, call, [&] { return requests.handleOwned(call); })));
}

auto Daemon::Impl::forwardTicket(const Ticket &ticket, const RequestCall &call) -> RequestReply
{
    const auto active = config.active();
    const auto *kind = active ? findKind(active->document, call.kind) : nullptr;
    if (kind == nullptr) {
        return {.verdict = RequestVerdict::OutcomeUnknown,
                .status = 504,
                .reason = "kind '" + call.kind.str() + "' is not configured; an earlier attempt may have run"};
    }
    const auto deadline = std::min(call.deadline.value_or(kind->deadline), kind->deadline);
    const auto forward = TicketForward{
        .workspace = call.workspace,
        .caller = call.caller,
        .kind = call.kind,
        .key = call.key,
        .firstSent = {},
        .attempt = call.attempt,
        .deadline = deadline,
        .payload = call.payload,
    };
    const auto result = mesh.forwardTicket(ticket.instance, forward, deadline + forwardMargin);
    if (result) {
        return fromTicketResult(result.value());
    }
    // Whether the owner ran an earlier attempt cannot be known here; for a first attempt that was not sent it can.
    if (call.attempt == 1 && (result.error().code == ErrorCode::NotSent || result.error().code == ErrorCode::Limit)) {
        return {.verdict = RequestVerdict::NotRun, .status = 503, .reason = "the issuing instance of the ticket cannot be reached", .retryAfter = Millis{1000}};
    }
    return {.verdict = RequestVerdict::OutcomeUnknown, .status = 504, .reason = "the issuing instance of the ticket cannot be reached"};
}

auto Daemon::Impl::noticeJob(const Job &job) -> void
{
    auto planner = InstanceId{};
    {
        const auto lock = std::lock_guard{membershipMutex};
        planner = membership->planner(job.spec.domain, clock.mono());
    }
    if (planner == settings.instance) {
        planners->jobsChanged();
        return;
    }
    if (job.cancelRequested) {
        const auto cancel = JobCancelRequest{.job = job.spec.id, .domain = job.spec.domain, .reason = "cancelled"};
        mesh.cancelJob(planner, cancel, Millis{2'000}, [](const Result<JobStatus> &) {});
        return;
    }
    (void)mesh.sendJobNotice(planner, {.job = job.spec.id, .domain = job.spec.domain, .offset = {}});
}

auto Daemon::Impl::isPlanner(const FailureDomainId &domain, const RegionId &region) const -> bool
{
    const auto lock = std::lock_guard{membershipMutex};
    const auto now = clock.mono();
    return membership->settled(region, now) && membership->planner(domain, region, now) == settings.instance;
}

auto Daemon::Impl::readiness() const -> std::string
{
    if (draining) {
        return "draining";
    }
    if (!config.active()) {
        return "no configuration is known";
    }
    // A peer's offer may be older than what the log holds; callers must not see an older version after a restart.
    if (!config.settled()) {
        return "the configuration stream is still being read";
    }
    return {};
}

auto Daemon::Impl::freshInstances(bool ownRegionOnly) const -> std::vector<InstanceId>
{
    const auto lock = std::lock_guard{membershipMutex};
    auto out = std::vector<InstanceId>{};
    for (const auto &it : membership->instances(clock.mono())) {
        const auto near = !ownRegionOnly || it.region == settings.region;
        if (it.self || (near && it.state == InstanceState::Fresh)) {
            out.push_back(it.id);
        }
    }
    return out;
}

auto Daemon::Impl::appendSnapshots() -> void
{
    auto fresh = std::vector<std::string>{};
    for (const auto &it : freshInstances(false)) {
        fresh.push_back(it.str());
    }
    const auto posted = pool.post([this, fresh] {
        config.appendSnapshots(fresh, clock.wall());
        jobs.appendSnapshots(fresh, clock.wall());
    });
    (void)posted; // a full pool only delays the next round
}

auto Daemon::Impl::forgetSilentPeers() -> void
{
    for (const auto &it : membership->instances(clock.mono())) {
        if (!it.self && it.state == InstanceState::Silent) {
            requests.peerLoadsChanged(it.id, {});
        }
    }
}

auto Daemon::Impl::housekeeping() -> void
{
    nameThread("housekeeping");
    auto nextSnapshotAt = clock.mono() + snapshotInterval;
    while (true) {
        {
            auto fresh = std::make_shared<const Membership>(mesh.membership());
            const auto lock = std::lock_guard{membershipMutex};
            membership = std::move(fresh);
        }
        // Executors are shared with the instances of the own region; a silent peer's load is no longer known.
        requests.peersChanged(freshInstances(true));
        forgetSilentPeers();
        if (clock.mono() >= nextSnapshotAt) {
            nextSnapshotAt = clock.mono() + snapshotInterval;
            appendSnapshots();
            refreshTls();
        }
        auto lock = std::unique_lock{stopMutex};
        if (stopChanged.wait_for(lock, housekeepingPeriod, [&] { return stopping; })) {
            return;
        }
    }
}

auto Daemon::Impl::httpTls(const std::string &name) const -> HttpTls
{
    return {.credentials = clientTls, .name = name};
}

auto Daemon::Impl::handshakeFailed(TlsListener listener, const Error &error) -> void
{
    telemetry.tlsHandshakeFailed(listener);
    // At most one warning in this time, because anyone who reaches the port can cause them.
    constexpr auto warningInterval = Millis{1'000};
    const auto lock = std::lock_guard{handshakeMutex};
    const auto now = clock.mono();
    if (now >= nextHandshakeWarning) {
        nextHandshakeWarning = now + warningInterval;
        const auto name = std::string(listener == TlsListener::Callers ? "callers" : "operators");
        logEvent(LogLevel::Warn, 1013, "a TLS handshake failed on the listener for " + name + ": " + error.message);
    }
}

auto Daemon::Impl::refreshTls() -> void
{
    for (const auto &it : {callerTls, operatorTls, clientTls}) {
        const auto found = it ? it->refresh() : TlsRefresh::Unchanged;
        if (found == TlsRefresh::Replaced) {
            const auto until = it->validUntil();
            logEvent(LogLevel::Info, 1011, "changed TLS files are in use for new connections" + (until.empty() ? "" : "; certificate valid until " + until));
        } else if (found == TlsRefresh::Rejected) {
            logEvent(LogLevel::Error, 1012, "changed TLS files cannot be used, the earlier ones stay in use: " + it->rejection());
        }
    }
}

auto Daemon::Impl::metricsText() -> std::string
{
    return telemetry.scrape({
        .domain = settings.domain,
        .requests = &requests,
        .jobs = &jobs,
        .config = &config,
        .planners = planners.get(),
        .mesh = &mesh,
        .ready = readiness().empty(),
        .draining = draining,
    });
}

Daemon::Daemon(const Settings &settings, const Clock &clock)
    : m_impl(std::make_unique<Impl>(settings, clock))
{
}

Daemon::~Daemon() = default;

auto Daemon::start() -> Result<DaemonPorts>
{
    auto ports = DaemonPorts{};
    if (!m_impl->tlsError.empty()) {
        return failure(ErrorCode::InvalidInput, m_impl->tlsError);
    }
    if (!m_impl->callerTls) {
        logEvent(LogLevel::Warn, 1014, "the listeners for callers and operators speak plain HTTP, because tls.certificate is not set");
    } else {
        logEvent(LogLevel::Info, 1010, "the listeners for callers and operators speak TLS; certificate valid until " + m_impl->callerTls->validUntil());
    }
    if (auto started = m_impl->mesh.start(); !started) {
        return started.error();
    }
    ports.peers = m_impl->mesh.port();
    auto operators = m_impl->operators.start();
    if (!operators) {
        return operators.error();
    }
    ports.operators = operators.value();
    auto callers = m_impl->callers.start();
    if (!callers) {
        return callers.error();
    }
    ports.callers = callers.value();
    return ports;
}

auto Daemon::drainRequested() const -> bool
{
    return m_impl->drainRequested;
}

auto Daemon::drain() -> std::size_t
{
    auto &impl = *m_impl;
    impl.draining = true;
    impl.mesh.announce();
    logEvent(LogLevel::Info, 1003, "draining: not ready, serving for " + std::to_string(impl.settings.drain.notice.count()) + " ms more");
    impl.callers.closeAfterResponse();
    std::this_thread::sleep_for(impl.settings.drain.notice);
    impl.closing = true;
    // The listener's stop waits for open connections without a limit, so it runs beside the clock.
    auto stopped = std::atomic<bool>{false};
    auto stopper = std::thread([&] {
        impl.callers.stop();
        stopped = true;
    });
    const auto deadline = impl.clock.mono() + impl.settings.drain.time;
    while (!stopped && impl.clock.mono() < deadline) {
        std::this_thread::sleep_for(Millis{20});
    }
    const auto cut = stopped ? std::size_t{0} : impl.requests.inProgress();
    const auto pending = impl.writer.flush(flushWait);
    logEvent(cut + pending == 0 ? LogLevel::Info : LogLevel::Warn,
             1004,
             "drained: " + std::to_string(cut) + " requests cut, " + std::to_string(pending) + " log records lost");
    if (!stopped) {
        stopper.detach();
        std::_Exit(1); // The connections that did not end in time would keep the process alive.
    }
    stopper.join();
    return cut + pending;
}

}

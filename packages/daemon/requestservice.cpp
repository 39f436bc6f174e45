#include "daemon/requestservice.h"

#include "daemon/requestreply.h"
#include "util/digest.h"
#include "util/logging.h"
#include "util/threadname.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace Catkin
{

namespace
{

constexpr auto requestIdBytes = std::size_t{12};
/// Retry time for a call that found its part of the connection threads in use.
constexpr auto busyPause = Millis{500};

auto toOutcome(const Error &error) -> DispatchOutcome
{
    switch (error.code) {
    case ErrorCode::NotSent:
        return DispatchOutcome::NotSent;
    case ErrorCode::Limit:
        return DispatchOutcome::Refused;
    case ErrorCode::Timeout:
        return DispatchOutcome::TimedOut;
    default:
        return DispatchOutcome::Failed;
    }
}

auto toUrgency(WorkUrgency urgency) -> RequestUrgency
{
    switch (urgency) {
    case WorkUrgency::Urgent:
        return RequestUrgency::Urgent;
    case WorkUrgency::Batch:
        return RequestUrgency::Batch;
    case WorkUrgency::Normal:
        break;
    }
    return RequestUrgency::Normal;
}

}

/// The caller's thread waits here for the scheduler's next step; guarded by the service's mutex.
struct RequestService::Waiter
{
    std::condition_variable changed;
    MonoTime queuedAt{};
    Bytes bytes;
    bool queued = true; ///< no attempt is at an executor
    std::optional<Micros> waited; ///< until the first dispatch
    std::optional<RequestDispatch> dispatch;
    std::optional<RequestDropped> dropped;
};

RequestService::RequestService(
    ExecutorPort executors, ConfigService &config, IntentService &intents, CallGate &gate, Clock clock, const RequestServiceOptions &options, Finished finished)
    : m_executors(std::move(executors))
    , m_config(config)
    , m_intents(intents)
    , m_gate(gate)
    , m_clock(std::move(clock))
    , m_options(options)
    , m_finished(std::move(finished))
    , m_scheduler(options.scheduler, options.seed)
    , m_thread([this] { runTimer(); })
{
}

RequestService::~RequestService()
{
    {
        const auto lock = std::lock_guard{m_mutex};
        m_stopping = true;
    }
    m_timer.notify_all();
    m_thread.join();
}

auto RequestService::deadlineOf(const RequestCall &call, const KindConfig &kind) const -> Millis
{
    return std::min(call.deadline.value_or(kind.deadline), kind.deadline);
}

auto RequestService::check(const RequestCall &call, KindConfig &kind) const -> std::optional<RequestReply>
{
    const auto active = m_config.active();
    if (!active) {
        auto reply = notRun(statusUnavailable, "no configuration is known yet", Millis{1000});
        reply.refusal = MetricRefusal::NotReady;
        return reply;
    }
    const auto *found = findKind(active->document, call.kind);
    if (found == nullptr || found->mode != WorkMode::Request) {
        return notRun(statusBadRequest, "kind '" + call.kind.str() + "' is not a kind of request");
    }
    if (!mayUseKind(active->document, call.workspace, call.kind)) {
        return notRun(statusForbidden, "no service of the workspace offers kind '" + call.kind.str() + "'");
    }
    if (call.payload.size() > static_cast<std::size_t>(found->maxPayload.value)) {
        return notRun(statusTooLarge, "the payload is longer than the kind allows");
    }
    if (call.deadline && *call.deadline <= Millis{0}) {
        return notRun(statusBadRequest, "deadline_ms must be positive");
    }
    kind = *found;
    return std::nullopt;
}

auto RequestService::checkKey(const RequestCall &call) const -> std::optional<RequestReply>
{
    if (call.key.empty()) {
        return notRun(statusBadRequest, "kind '" + call.kind.str() + "' is not idempotent, so 'key' is required");
    }
    if (!call.firstSent) {
        return notRun(statusBadRequest, "kind '" + call.kind.str() + "' is not idempotent, so 'first_sent_ms' is required");
    }
    if (*call.firstSent > m_clock.wall() + m_options.maxClockAhead) {
        return notRun(statusBadRequest, "first_sent_ms lies in the future");
    }
    if (*call.firstSent + m_options.keyWindow < m_clock.wall()) {
        return unknownOutcome("the key is older than the key window");
    }
    return std::nullopt;
}

auto RequestService::handle(const RequestCall &call) -> RequestReply
{
    const auto started = m_clock.mono();
    auto kind = KindConfig{};
    if (auto bad = check(call, kind)) {
        return finish(call, std::move(*bad), started);
    }
    if (kind.idempotent) {
        return finish(call, serve(call, kind, {}), started);
    }
    if (auto bad = checkKey(call)) {
        return finish(call, std::move(*bad), started);
    }
    return finish(call, serveOnce(call, kind), started);
}

auto RequestService::refuse(const RequestCall &call, const std::string &reason) -> RequestReply
{
    const auto active = m_config.active();
    const auto *kind = active ? findKind(active->document, call.kind) : nullptr;
    const auto repeatable = kind != nullptr && kind->idempotent;
    const auto neverSent = call.attempt == 1 || (call.firstSent && m_intents.neverSeen({call.workspace, call.key, *call.firstSent}));
    if (call.key.empty() || repeatable || neverSent) {
        return notRun(statusUnavailable, reason, Millis{1000});
    }
    return unknownOutcome(reason + "; an earlier attempt of the key may have run");
}

auto RequestService::handleOwned(const RequestCall &call) -> RequestReply
{
    const auto started = m_clock.mono();
    auto kind = KindConfig{};
    if (auto bad = check(call, kind)) {
        return finish(call, std::move(*bad), started);
    }
    auto reply = serve(call, kind, {});
    if (!kind.idempotent && reply.queueWait) {
        reply.mechanism = AttemptMechanism::Ticket;
    }
    return finish(call, std::move(reply), started);
}

auto RequestService::serveOnce(const RequestCall &call, const KindConfig &kind) -> RequestReply
{
    const auto key = RequestKey{.workspace = call.workspace, .key = call.key, .firstSent = *call.firstSent};
    const auto deadline = m_clock.mono() + deadlineOf(call, kind);
    auto claim = Claim{};
    auto reply = serve(call, kind, [&]() -> std::optional<RequestReply> {
        claim = m_intents.claim(key, call.attempt == 1, deadline);
        if (claim.kind == ClaimKind::Won) {
            return std::nullopt;
        }
        return fromClaim(claim);
    });
    if (claim.kind != ClaimKind::Won) {
        // A refusal before the claim says nothing about earlier attempts of the same key.
        const auto claimed = !claim.reason.empty() || claim.kind == ClaimKind::Settled;
        if (!claimed && reply.verdict == RequestVerdict::NotRun && call.attempt != 1 && !m_intents.neverSeen(key)) {
            return unknownOutcome(reply.reason + "; an earlier attempt of the key may have run");
        }
        return reply;
    }
    reply.mechanism = AttemptMechanism::Intent;
    if (reply.verdict == RequestVerdict::NotRun) {
        m_intents.giveUp(key, claim.attempt);
    } else {
        m_intents.finish(key, claim.attempt, reply.verdict, reply.answer);
    }
    return reply;
}

auto RequestService::serve(const RequestCall &call, const KindConfig &kind, const Prepare &prepare) -> RequestReply
{
    const auto pass = m_gate.enter(call.workspace, call.kind, call.caller, Bytes{static_cast<std::int64_t>(call.payload.size())});
    if (!pass) {
        return fromRefusal({RefusalReason::QueueFull, busyPause}, false);
    }
    auto waiter = Waiter{};
    auto number = RequestNumber{};
    {
        const auto lock = std::lock_guard{m_mutex};
        const auto now = m_clock.mono();
        const auto queued = m_scheduler.enqueue(
            {
                .workspace = call.workspace,
                .caller = call.caller,
                .kind = call.kind,
                .deadline = now + deadlineOf(call, kind),
                .bytes = Bytes{static_cast<std::int64_t>(call.payload.size())},
            },
            now);
        if (queued.refusal) {
            return fromRefusal(*queued.refusal, false);
        }
        number = queued.number;
        waiter.queuedAt = now;
        waiter.bytes = Bytes{static_cast<std::int64_t>(call.payload.size())};
        m_waiters[number] = &waiter;
    }
    pump();
    auto reply = std::optional<RequestReply>{};
    if (prepare) {
        reply = prepare();
    }
    if (reply) {
        abandon(number);
    } else {
        reply = runAttempts(call, number, waiter);
    }
    {
        const auto lock = std::lock_guard{m_mutex};
        m_waiters.erase(number);
        reply->queueWait = waiter.waited;
    }
    pump();
    return std::move(*reply);
}

auto RequestService::abandon(RequestNumber number) -> void
{
    const auto lock = std::lock_guard{m_mutex};
    const auto now = m_clock.mono();
    if (m_scheduler.cancel(number, now) == RequestCancelResult::InFlight) {
        (void)m_scheduler.completed(number, DispatchOutcome::Answered, Millis{1}, now);
    }
}

auto RequestService::runAttempts(const RequestCall &call, RequestNumber number, Waiter &waiter) -> RequestReply
{
    while (true) {
        auto step = RequestDispatch{};
        {
            auto lock = std::unique_lock{m_mutex};
            waiter.changed.wait(lock, [&] { return waiter.dispatch || waiter.dropped; });
            if (waiter.dropped) {
                return fromRefusal(waiter.dropped->refusal, waiter.dropped->mayHaveRun);
            }
            step = *std::exchange(waiter.dispatch, std::nullopt);
        }
        auto reply = RequestReply{};
        const auto [outcome, cost] = execute(call, step, reply);
        auto after = RequestCompletion{};
        {
            const auto lock = std::lock_guard{m_mutex};
            after = m_scheduler.completed(number, outcome, cost, m_clock.mono());
            waiter.queued = std::holds_alternative<RequestRetry>(after);
        }
        pump();
        if (const auto *ended = std::get_if<RequestNotRun>(&after)) {
            return fromRefusal(ended->refusal, false);
        }
        if (std::holds_alternative<RequestFinished>(after)) {
            return reply;
        }
    }
}

auto RequestService::execute(const RequestCall &call, const RequestDispatch &step, RequestReply &reply) -> std::pair<DispatchOutcome, Micros>
{
    const auto started = m_clock.mono();
    const auto request = RequestId{m_options.instance.str() + "-" + randomHex(requestIdBytes)};
    auto answer = m_executors.execute(step.address,
                                      {.request = request, .kind = call.kind, .workspace = call.workspace, .deadline = step.timeLeft, .payload = call.payload});
    const auto elapsed = m_clock.mono() - started;
    if (!answer) {
        logEvent(LogLevel::Debug, 2301, "request " + request.str() + " at " + step.executor.str() + ": " + answer.error().message);
        reply = unknownOutcome(answer.error().message);
        reply.request = request;
        return {toOutcome(answer.error()), certainlyNotRun(answer.error()) ? Micros{0} : elapsed};
    }
    reply = {.verdict = RequestVerdict::Answer, .status = statusOk, .request = request, .answer = std::move(answer.value().body)};
    const auto reported = answer.value().cost;
    return {DispatchOutcome::Answered, reported > Millis{0} ? Micros{reported} : elapsed};
}

auto RequestService::pump() -> void
{
    const auto lock = std::lock_guard{m_mutex};
    while (true) {
        const auto step = m_scheduler.next(m_clock.mono());
        if (const auto *idle = std::get_if<RequestIdle>(&step)) {
            if (idle->wakeAt != m_wakeAt) {
                m_wakeAt = idle->wakeAt;
                m_timer.notify_all();
            }
            return;
        }
        if (const auto *dispatch = std::get_if<RequestDispatch>(&step)) {
            auto &waiter = *m_waiters.at(dispatch->number);
            waiter.dispatch = *dispatch;
            waiter.queued = false;
            if (!waiter.waited) {
                waiter.waited = m_clock.mono() - waiter.queuedAt;
            }
            waiter.changed.notify_all();
        } else if (const auto *dropped = std::get_if<RequestDropped>(&step)) {
            auto &waiter = *m_waiters.at(dropped->number);
            waiter.dropped = *dropped;
            waiter.changed.notify_all();
        }
    }
}

auto RequestService::runTimer() -> void
{
    nameThread("request-timer");
    while (true) {
        {
            auto lock = std::unique_lock{m_mutex};
            const auto due = [&] { return m_stopping || (m_wakeAt && *m_wakeAt <= m_clock.mono()); };
            while (!due()) {
                const auto pause = m_wakeAt ? std::max(Micros{500}, *m_wakeAt - m_clock.mono()) : Micros{Seconds{1}};
                m_timer.wait_for(lock, pause);
            }
            if (m_stopping) {
                return;
            }
            m_wakeAt.reset();
        }
        pump();
    }
}

auto RequestService::finish(const RequestCall &call, RequestReply reply, MonoTime started) -> RequestReply
{
    if (const auto active = m_config.active()) {
        reply.configVersion = active->state.version;
    }
    if (m_finished) {
        m_finished(call, reply, std::chrono::duration_cast<Millis>(m_clock.mono() - started));
    }
    return reply;
}

auto RequestService::configChanged(const ActiveConfig &config) -> void
{
    auto view = RequestConfig{};
    for (const auto &it : config.document.workspaces) {
        view.workspaces.push_back({
            .id = it.name,
            .weight = static_cast<double>(it.weight),
            .urgentShare = it.urgentSharePercent / 100.0,
            .callersLimit = it.callersLimit.value_or(0),
        });
    }
    for (const auto &it : config.document.kinds) {
        if (it.mode == WorkMode::Request) {
            view.kinds.push_back({
                .id = it.name,
                .weight = static_cast<double>(it.weight),
                .urgency = toUrgency(it.urgency),
                .idempotent = it.idempotent,
                .crossRegion = it.crossRegion,
            });
        }
    }
    {
        const auto lock = std::lock_guard{m_mutex};
        m_scheduler.configChanged(view, m_clock.mono());
    }
    pump();
}

auto RequestService::executorsChanged(const std::vector<ListedInstance> &executors) -> void
{
    auto list = std::vector<ListedExecutor>{};
    list.reserve(executors.size());
    for (const auto &it : executors) {
        list.push_back({.id = ExecutorId{it.id}, .address = it.address, .domain = it.domain, .region = it.region, .leaving = it.leaving});
    }
    {
        const auto lock = std::lock_guard{m_mutex};
        m_scheduler.executorsChanged(list, m_clock.mono());
    }
    pump();
}

auto RequestService::executorPolled(const ExecutorId &executor, const std::optional<HealthSample> &sample) -> void
{
    {
        const auto lock = std::lock_guard{m_mutex};
        m_scheduler.executorPolled(executor, sample, m_clock.mono());
    }
    pump();
}

auto RequestService::peersChanged(const std::vector<InstanceId> &fresh) -> void
{
    {
        const auto lock = std::lock_guard{m_mutex};
        m_scheduler.peersChanged(fresh, m_clock.mono());
    }
    pump();
}

auto RequestService::peerLoadsChanged(const InstanceId &peer, const std::vector<InFlightLoad> &loads) -> void
{
    const auto lock = std::lock_guard{m_mutex};
    m_scheduler.peerLoadsChanged(peer, loads, m_clock.mono());
}

auto RequestService::peerDemandsChanged(const InstanceId &peer, std::optional<std::vector<WorkspaceDemand>> demands) -> void
{
    const auto lock = std::lock_guard{m_mutex};
    m_scheduler.peerDemandsChanged(peer, std::move(demands));
}

auto RequestService::ownDemands() -> std::vector<WorkspaceDemand>
{
    const auto lock = std::lock_guard{m_mutex};
    return m_scheduler.ownDemands(m_clock.mono());
}

auto RequestService::ownLoads() const -> std::vector<InFlightLoad>
{
    const auto lock = std::lock_guard{m_mutex};
    return m_scheduler.ownLoads();
}

auto RequestService::counts() const -> RequestCounts
{
    const auto lock = std::lock_guard{m_mutex};
    return m_scheduler.counts();
}

auto RequestService::queuedBytes() const -> Bytes
{
    const auto lock = std::lock_guard{m_mutex};
    auto sum = std::int64_t{0};
    for (const auto &[number, it] : m_waiters) {
        sum += it->queued ? it->bytes.value : 0;
    }
    return Bytes{sum};
}

auto RequestService::queues() const -> std::vector<RequestQueueView>
{
    const auto lock = std::lock_guard{m_mutex};
    return m_scheduler.queues(m_clock.mono());
}

auto RequestService::executors() const -> std::vector<ExecutorView>
{
    const auto lock = std::lock_guard{m_mutex};
    return m_scheduler.executors(m_clock.mono());
}

auto RequestService::inProgress() const -> std::size_t
{
    const auto lock = std::lock_guard{m_mutex};
    return m_waiters.size();
}

}

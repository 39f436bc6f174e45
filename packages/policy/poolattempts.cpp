#include "policy/poolcore.h"

#include <algorithm>
#include <array>

/// Attempts on workers: what the workers' answers mean, when an attempt is over, and which orders go out.

namespace Catkin
{

namespace
{

/// A worker's clock may be 2% slow, so a lease may last longer by our clock; the rest covers the error of the estimate.
constexpr auto leaseStretch = 1.03;
constexpr auto leaseSlack = Millis{500};
/// How long each try of a start waits for its answer. A lost answer is more frequent than a slow or lost worker, and a repeat does no
/// harm, so that the first tries are short against the slack of urgent work; all together end before a gang gives up waiting.
constexpr auto startTryLimits = std::array{Millis{300}, Millis{400}, Millis{700}};
/// The same for each try of a stop, which others may wait for.
constexpr auto stopTryLimit = Millis{400};
/// Between two stop orders for the same attempt; longer than a round trip between regions and the stop's own grace.
constexpr auto stopRetry = Millis{500};
/// A task whose progress figure stands still for this long hangs; the slowest sound task seen moves 1% in 2 s.
constexpr auto hungAfter = Millis{4'500};
/// First time without new work for a worker that failed a task; doubles with each further failure.
constexpr auto suspectFor = Millis{2'000};
constexpr auto maxSuspectFor = Millis{16'000};
constexpr auto maxSuspectDoublings = 3;
/// Looks at a worker: how long it may hold back its answer when nothing is open, and when an attempt must be settled soon.
constexpr auto longPollWait = Millis{2'000};
constexpr auto shortPollWait = Millis{100};

auto outcomeName(OrderOutcome outcome) -> const char *
{
    switch (outcome) {
    case OrderOutcome::Accepted:
        return "accepted";
    case OrderOutcome::Fenced:
        return "fenced";
    case OrderOutcome::Superseded:
        return "superseded";
    case OrderOutcome::Expired:
        return "lease expired";
    case OrderOutcome::InsufficientCapacity:
        return "no room";
    case OrderOutcome::WorkerRestarted:
        return "worker restarted";
    case OrderOutcome::Unhealthy:
        return "worker unhealthy";
    case OrderOutcome::Rejected:
        return "rejected";
    case OrderOutcome::NotSent:
        return "not sent";
    case OrderOutcome::OutcomeUnknown:
        return "no answer";
    }
    return "unknown";
}

}

auto PoolCore::loseAttempt(Worker &worker, const AttemptKey &key, const char *reason) -> void
{
    release(worker, key);
    auto *task = findTask(key.first);
    if (task == nullptr || task->phase != TaskPhase::Placed || task->attempt != key.second || task->worker != worker.info.id) {
        return;
    }
    auto &state = m_jobs.at(key.first.job);
    task->phase = TaskPhase::Waiting;
    m_changed.insert(key.first.job);
    if (!isFinal(state.phase)) {
        logDecision("attempt_lost", describeAttempt(key.first, key.second) + " worker=" + worker.info.id.str() + " reason=" + reason);
        if (specOf(state, key.first).gang) {
            stopStep(state, key.first.occurrence, key.first.step);
        }
    }
}

auto PoolCore::recordFailure(Worker &worker, MonoTime now) -> void
{
    ++worker.failures;
    const auto doublings = std::min(worker.failures - 1, maxSuspectDoublings);
    worker.suspectUntil = std::max(worker.suspectUntil, now + std::min(suspectFor * (1 << doublings), maxSuspectFor));
}

auto PoolCore::endAttempt(Worker &worker, const AttemptCompletion &end, MonoTime now) -> void
{
    const auto key = AttemptKey{end.task, end.attempt};
    release(worker, key);
    auto *task = findTask(end.task);
    if (task == nullptr || task->attempt != end.attempt) {
        return;
    }
    auto &state = m_jobs.at(end.task.job);
    if (end.kind == CompletionKind::Done) {
        worker.failures = 0;
        worker.suspectUntil = MonoTime{};
    } else if (end.kind == CompletionKind::Failed) {
        recordFailure(worker, now);
    }
    const auto placedHere = task->phase == TaskPhase::Placed && task->worker == worker.info.id;
    // An attempt that was given up, for example after its lease, and of which no successor exists yet.
    const auto late = task->phase == TaskPhase::Waiting && (end.kind == CompletionKind::Done || end.kind == CompletionKind::Failed);
    if (!placedHere && !late) {
        return;
    }
    m_changed.insert(end.task.job);
    if (isFinal(state.phase)) {
        task->phase = TaskPhase::Waiting;
        return;
    }
    if (end.kind == CompletionKind::Done && !specOf(state, end.task).longRunning) {
        finishTask(state, end.task, now);
        return;
    }
    task->phase = TaskPhase::Waiting;
    saveCheckpoint(state, end.task, end.checkpoint);
    if (end.kind == CompletionKind::Failed) {
        failTask(state, end.task, end.attempt, now);
    }
    if (specOf(state, end.task).gang) {
        stopStep(state, end.task.occurrence, end.task.step);
    }
}

auto PoolCore::newLifetime(Worker &worker, const WorkerPollReply &answer) -> void
{
    logDecision("worker_restarted",
                "worker=" + worker.info.id.str() + " born=" + std::to_string(answer.born.value) + " before=" + std::to_string(worker.info.born.value));
    worker.info.born = answer.born;
    worker.processedCompletions = 0;
    worker.recordedCompletions = 0;
    auto running = std::set<AttemptKey>{};
    for (const auto &it : answer.running) {
        running.emplace(it.task, it.attempt);
    }
    auto gone = std::vector<AttemptKey>{};
    for (const auto &[key, allocation] : worker.allocations) {
        if (!running.contains(key) && !allocation.orderOpen && !allocation.startOutcomeUnknown) {
            gone.push_back(key);
        }
    }
    for (const auto &it : gone) {
        loseAttempt(worker, it, "worker restarted");
    }
}

auto PoolCore::noteRunning(Worker &worker, const RunningAttempt &it, MonoTime now) -> void
{
    const auto key = AttemptKey{it.task, it.attempt};
    auto *task = findTask(it.task);
    const auto current = task != nullptr && task->phase == TaskPhase::Placed && task->attempt == it.attempt && task->worker == worker.info.id;
    auto allocation = worker.allocations.find(key);
    if (allocation == worker.allocations.end()) {
        const auto job = m_jobs.find(it.task.job);
        if (job != m_jobs.end() && containsTask(job->second, it.task)) {
            allocate(worker, job->second, key);
        } else {
            worker.allocations[key] = {};
        }
        allocation = worker.allocations.find(key);
        allocation->second.placedAt = now;
        allocation->second.stopping = !current;
        if (!current) {
            logDecision("foreign_attempt", describeAttempt(it.task, it.attempt) + " worker=" + worker.info.id.str() + " is not on record there and is stopped");
        }
    }
    // A stop that was answered and had no effect is sent again.
    if (allocation->second.stopAnswered && now - allocation->second.stopAnsweredAt > m_options.stopGrace + stopRetry) {
        allocation->second.stopAnswered = false;
    }
    if (!current) {
        return;
    }
    allocation->second.startOutcomeUnknown = false;
    if (task->attemptPhase != AttemptPhase::Running) {
        task->attemptPhase = AttemptPhase::Running;
        task->progressAt = now;
    }
    if (task->percent != it.percent) {
        task->percent = it.percent;
        task->progressAt = now;
    }
    saveCheckpoint(m_jobs.at(it.task.job), it.task, it.checkpoint);
}

auto PoolCore::resolveMissing(Worker &worker, const WorkerPollReply &answer, MonoTime sentAt) -> void
{
    auto running = std::set<AttemptKey>{};
    for (const auto &it : answer.running) {
        running.emplace(it.task, it.attempt);
    }
    auto gone = std::vector<AttemptKey>{};
    for (auto &[key, it] : worker.allocations) {
        if (running.contains(key) || it.orderOpen || (it.startOutcomeUnknown && !it.stopping)) {
            continue;
        }
        if (it.stopping) {
            if (it.stopAnswered && it.stopAnsweredAt <= sentAt) {
                gone.push_back(key);
            }
        } else if (it.acceptedAt <= sentAt) {
            // It should be there: whatever the cause, a stop bars it, and a later look then settles it.
            it.stopping = true;
            it.stopSentAt = MonoTime{};
        }
    }
    for (const auto &it : gone) {
        loseAttempt(worker, it, "not running");
    }
}

auto PoolCore::applyPollReply(const WorkerId &id, const WorkerPollReply &answer, MonoTime sentAt, MonoTime now) -> bool
{
    const auto it = m_workers.find(id);
    if (it == m_workers.end()) {
        return false;
    }
    auto &worker = it->second;
    const auto wasUsable = worker.answered && worker.reachable;
    const auto before = worker.allocations.size();
    if (worker.answered && worker.info.born != answer.born) {
        newLifetime(worker, answer);
    }
    worker.info.born = answer.born;
    worker.answered = true;
    worker.reachable = true;
    worker.answeredAt = now;
    worker.clock = answer.clock;
    worker.clockAt = now;
    for (const auto &end : answer.completions) {
        if (end.number > worker.processedCompletions) {
            endAttempt(worker, end, now);
            worker.processedCompletions = end.number;
        }
    }
    for (const auto &running : answer.running) {
        noteRunning(worker, running, now);
    }
    resolveMissing(worker, answer, sentAt);
    const auto open = std::any_of(worker.allocations.begin(), worker.allocations.end(), [](const auto &entry) { return entry.second.stopping; });
    return !wasUsable || open || worker.allocations.size() != before || worker.processedCompletions > worker.recordedCompletions;
}

auto PoolCore::pollFailed(const WorkerId &id) -> void
{
    const auto it = m_workers.find(id);
    if (it != m_workers.end()) {
        it->second.reachable = false;
    }
}

auto PoolCore::startRefused(Worker &worker, const AttemptKey &key, OrderOutcome outcome, MonoTime now) -> void
{
    logDecision("start_refused", describeAttempt(key.first, key.second) + " worker=" + worker.info.id.str() + " answer=" + outcomeName(outcome));
    auto &allocation = worker.allocations.at(key);
    // A start that was given up before it was sent says nothing of the worker.
    if (!allocation.stopping && (outcome == OrderOutcome::Unhealthy || outcome == OrderOutcome::NotSent || outcome == OrderOutcome::InsufficientCapacity)) {
        recordFailure(worker, now);
    }
    if (allocation.startTries > 1 && !allocation.startOutcomeUnknown && outcome != OrderOutcome::Superseded) {
        return; // the first order was carried out: a look has shown the attempt since
    }
    if (allocation.startTries > 1 || outcome == OrderOutcome::Superseded) {
        allocation.stopping = true;
        return;
    }
    loseAttempt(worker, key, outcomeName(outcome));
}

auto PoolCore::applyStart(Worker &worker, const AttemptKey &key, OrderOutcome outcome, MonoTime now) -> void
{
    auto &allocation = worker.allocations.at(key);
    allocation.orderOpen = false;
    if (outcome == OrderOutcome::Accepted) {
        allocation.startOutcomeUnknown = false;
        allocation.acceptedAt = now;
        auto *task = findTask(key.first);
        if (task != nullptr && task->attempt == key.second && task->attemptPhase == AttemptPhase::Starting) {
            task->attemptPhase = AttemptPhase::Running;
            task->progressAt = now;
        }
    } else if (outcome == OrderOutcome::OutcomeUnknown) {
        allocation.startOutcomeUnknown = true;
        if (allocation.startTries >= static_cast<int>(startTryLimits.size())) {
            logDecision("start_refused", describeAttempt(key.first, key.second) + " worker=" + worker.info.id.str() + " answer=" + outcomeName(outcome));
            allocation.stopping = true;
            recordFailure(worker, now);
            auto *task = findTask(key.first);
            if (task != nullptr && task->attempt == key.second && specOf(m_jobs.at(key.first.job), key.first).gang) {
                stopStep(m_jobs.at(key.first.job), key.first.occurrence, key.first.step);
            }
        }
    } else {
        startRefused(worker, key, outcome, now);
    }
}

auto PoolCore::applyStop(Worker &worker, const AttemptKey &key, OrderOutcome outcome, MonoTime now) -> void
{
    auto &allocation = worker.allocations.at(key);
    if (outcome == OrderOutcome::Accepted) {
        allocation.stopAnswered = true;
        allocation.stopAnsweredAt = now;
        allocation.startOutcomeUnknown = false; // a start that arrives later is refused
    } else if (outcome == OrderOutcome::WorkerRestarted) {
        loseAttempt(worker, key, outcomeName(outcome));
    }
}

auto PoolCore::applyOrder(const PoolOrder &order, OrderOutcome outcome, MonoTime now) -> void
{
    if (outcome == OrderOutcome::Fenced) {
        m_fenced = true;
        return;
    }
    const auto worker = m_workers.find(order.worker);
    const auto key = AttemptKey{order.task, order.attempt};
    if (worker == m_workers.end() || !worker->second.allocations.contains(key)) {
        return;
    }
    if (order.kind == PoolOrder::Kind::Start) {
        applyStart(worker->second, key, outcome, now);
    } else {
        applyStop(worker->second, key, outcome, now);
    }
}

auto PoolCore::loseAll(Worker &worker, const char *reason) -> void
{
    auto keys = std::vector<AttemptKey>{};
    for (const auto &it : worker.allocations) {
        keys.push_back(it.first);
    }
    for (const auto &it : keys) {
        loseAttempt(worker, it, reason);
    }
}

auto PoolCore::expireLeases(MonoTime now) -> void
{
    for (auto &[id, worker] : m_workers) {
        // An order that is still on its way will carry a lease of its own.
        const auto orderOpen = std::any_of(worker.allocations.begin(), worker.allocations.end(), [](const auto &it) { return it.second.orderOpen; });
        if (worker.allocations.empty() || orderOpen || now <= worker.leaseEnd) {
            continue;
        }
        logDecision("leases_expired", "worker=" + id.str() + " attempts=" + std::to_string(worker.allocations.size()) + " no answer and no lease left");
        loseAll(worker, "lease expired");
    }
}

auto PoolCore::stopHung(MonoTime now) -> void
{
    for (auto &[id, worker] : m_workers) {
        if (!worker.reachable) {
            continue;
        }
        for (auto &[key, it] : worker.allocations) {
            const auto *task = findTask(key.first);
            if (it.stopping || task == nullptr || task->attempt != key.second || task->attemptPhase != AttemptPhase::Running || task->phase != TaskPhase::Placed
                || specOf(m_jobs.at(key.first.job), key.first).longRunning || now - task->progressAt < hungAfter
                || worker.answeredAt < task->progressAt + hungAfter) {
                continue;
            }
            logDecision("task_hung",
                        describeAttempt(key.first, key.second) + " worker=" + id.str() + " percent=" + std::to_string(task->percent)
                            + " still_ms=" + std::to_string(std::chrono::duration_cast<Millis>(now - task->progressAt).count()));
            recordFailure(worker, now);
            it.stopping = true;
            if (specOf(m_jobs.at(key.first.job), key.first).gang) {
                stopStep(m_jobs.at(key.first.job), key.first.occurrence, key.first.step);
            }
        }
    }
}

auto PoolCore::emitStart(PoolEffects &effects, const Worker &worker, const AttemptKey &key) -> void
{
    const auto &state = m_jobs.at(key.first.job);
    effects.orders.push_back({
        .kind = PoolOrder::Kind::Start,
        .worker = worker.info.id,
        .address = worker.info.address,
        .task = key.first,
        .attempt = key.second,
        .payload = state.job.payload,
        .checkpoint = findTask(key.first)->checkpoint,
        .answerTimeout = startTryLimits.at(static_cast<std::size_t>(worker.allocations.at(key).startTries - 1)),
    });
}

auto PoolCore::emitOrders(PoolEffects &effects, MonoTime now) -> void
{
    for (auto &[id, worker] : m_workers) {
        // Orders to a worker that does not answer would only hold up those to others; its lease bounds what it runs.
        if (worker.info.address.empty() || !worker.reachable) {
            continue;
        }
        for (auto &[key, it] : worker.allocations) {
            if (it.stopping && !it.stopAnswered && (it.stopSentAt == MonoTime{} || now - it.stopSentAt >= stopRetry)) {
                it.stopSentAt = now;
                effects.orders.push_back({.kind = PoolOrder::Kind::Stop,
                                          .worker = id,
                                          .address = worker.info.address,
                                          .task = key.first,
                                          .attempt = key.second,
                                          .answerTimeout = stopTryLimit});
            } else if (!it.stopping && it.startOutcomeUnknown && !it.orderOpen && m_jobs.contains(key.first.job)) {
                it.orderOpen = true;
                ++it.startTries;
                emitStart(effects, worker, key);
            }
        }
    }
}

auto PoolCore::extendLease(Worker &worker, MonoTime now) const -> void
{
    const auto stretched = Millis{static_cast<std::int64_t>(static_cast<double>(m_options.leaseDuration.count()) * leaseStretch)};
    worker.leaseEnd = std::max(worker.leaseEnd, now + stretched + leaseSlack);
}

auto PoolCore::isCurrent(const PoolOrder &order) const -> bool
{
    if (order.kind == PoolOrder::Kind::Stop) {
        return true;
    }
    const auto worker = m_workers.find(order.worker);
    if (worker == m_workers.end()) {
        return false;
    }
    const auto allocation = worker->second.allocations.find({order.task, order.attempt});
    return allocation != worker->second.allocations.end() && !allocation->second.stopping;
}

auto PoolCore::leaseFor(const WorkerId &id, MonoTime now) -> WorkerTime
{
    const auto it = m_workers.find(id);
    if (it == m_workers.end() || !it->second.answered) {
        return {};
    }
    auto &worker = it->second;
    extendLease(worker, now);
    return worker.clock + WorkerTime{std::chrono::duration_cast<Millis>(now - worker.clockAt).count() + m_options.leaseDuration.count()};
}

auto PoolCore::pollTargets() const -> std::vector<std::pair<WorkerId, std::string>>
{
    auto out = std::vector<std::pair<WorkerId, std::string>>{};
    for (const auto &[id, worker] : m_workers) {
        if (!worker.info.address.empty()) {
            out.emplace_back(id, worker.info.address);
        }
    }
    return out;
}

auto PoolCore::isIdle(const WorkerId &id) const -> bool
{
    const auto it = m_workers.find(id);
    return it == m_workers.end()
           || (it->second.answered && it->second.allocations.empty() && it->second.recordedCompletions >= it->second.processedCompletions
               && it->second.reachable);
}

auto PoolCore::hasUnrecordedCompletions(const WorkerId &id) const -> bool
{
    const auto it = m_workers.find(id);
    return it != m_workers.end() && it->second.processedCompletions > it->second.recordedCompletions;
}

auto PoolCore::nextPoll(const WorkerId &id, MonoTime now) -> WorkerPoll
{
    const auto it = m_workers.find(id);
    if (it == m_workers.end()) {
        return {};
    }
    const auto &worker = it->second;
    const auto open = std::any_of(worker.allocations.begin(), worker.allocations.end(), [&](const auto &entry) {
        const auto *task = findTask(entry.first.first);
        return entry.second.stopping || (task != nullptr && task->attemptPhase == AttemptPhase::Unknown);
    });
    auto plan = WorkerPoll{.worker = id, .address = worker.info.address};
    // A worker that does not answer gets no new lease, or its work would stay bound to it for ever.
    plan.request.leaseUntil = worker.reachable ? leaseFor(id, now) : WorkerTime{};
    plan.request.seenCompletions = worker.recordedCompletions;
    plan.request.wait = !worker.answered ? Millis{0} : open ? shortPollWait : longPollWait;
    return plan;
}

}

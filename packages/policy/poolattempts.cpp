#include "policy/peerprogress.h"
#include "policy/poolcore.h"

#include <algorithm>
#include <array>
#include <utility>

/// Attempts on workers: evaluates poll replies and answers to orders, decides when an attempt is over, and issues orders.

namespace Catkin
{

namespace
{

/// Answer timeout of each try of a start order. A lost answer is more frequent than a slow or lost worker, and a repeated order has
/// no further effect, so the first timeouts are short compared with the slack of urgent work. Their sum is less than the time for
/// which the started members of a gang wait for the others.
constexpr auto startTimeouts = std::array{Millis{300}, Millis{400}, Millis{700}};
/// A task whose reported progress does not change for this long is considered hung, unless more is to be expected of it; see hungLimit().
constexpr auto hungTimeout = Millis{4'500};
/// Part of the estimate within which a task makes progress: it reports whole percents, may take ten times as long as estimated, and one
/// report may be missed.
constexpr auto progressPart = 5;
/// The estimate alone does not keep a hung task on its worker for longer than this.
constexpr auto maxProgressWait = Millis{600'000};
constexpr auto maxHungDoublings = 12;
/// How long a worker is avoided after its first failure; doubles with each further failure up to the maximum.
constexpr auto suspectPeriod = Millis{2'000};
constexpr auto maxSuspectPeriod = Millis{16'000};
constexpr auto maxSuspectDoublings = 3;
/// How long a worker may delay its poll reply: normally, and while an attempt is being stopped or has an unknown state.
constexpr auto longPollWait = Millis{2'000};
constexpr auto shortPollWait = Millis{100};

}

auto enqueueOrder(std::deque<PoolOrder> &queue, PoolOrder order) -> void
{
    const auto isStart = [](const PoolOrder &it) { return it.kind == PoolOrder::Kind::Start; };
    const auto at = isStart(order) ? queue.end() : std::find_if(queue.begin(), queue.end(), isStart);
    queue.insert(at, std::move(order));
}

auto PoolCore::loseAttempt(Worker &worker, const AttemptKey &key, const std::string &reason) -> void
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
            stopStep(state, key.first.occurrence, key.first.step, StopReason::GangBroken);
        }
    }
}

/// Notes that an attempt of a gang is over without success, by the end of a member or because a member was never started.
auto PoolCore::noteUnsuccessful(PoolJobState &state, const AttemptKey &key) -> void
{
    if (specOf(state, key.first).gang) {
        stepAt(state, key.first).unsuccessfulAttempt = key.second;
    }
}

auto PoolCore::recordFailure(Worker &worker, MonoTime now) -> void
{
    ++worker.failures;
    const auto doublings = std::min(worker.failures - 1, maxSuspectDoublings);
    worker.suspectUntil = std::max(worker.suspectUntil, now + std::min(suspectPeriod * (1 << doublings), maxSuspectPeriod));
}

auto PoolCore::applyCompletion(Worker &worker, const AttemptCompletion &completion, MonoTime now) -> EndUse
{
    const auto key = AttemptKey{completion.task, completion.attempt};
    release(worker, key);
    auto *task = findTask(completion.task);
    if (task == nullptr) {
        return EndUse::Unknown;
    }
    auto &state = m_jobs.at(completion.task.job);
    if (task->attempt != completion.attempt) {
        // A lifetime that carried a start order out late has done the work. The present attempt is stopped when it is listed.
        if (completion.kind != CompletionKind::Done || task->phase == TaskPhase::Done || isFinal(state.phase) || specOf(state, completion.task).longRunning) {
            return EndUse::Superseded;
        }
        logDecision("done_by_earlier_attempt",
                    describeAttempt(completion.task, completion.attempt) + " worker=" + worker.info.id.str()
                        + " present_attempt=" + std::to_string(task->attempt));
        finishTask(state, completion.task, now);
        return EndUse::Applied;
    }
    if (completion.kind == CompletionKind::Done) {
        worker.failures = 0;
        worker.suspectUntil = MonoTime{};
    } else if (completion.kind == CompletionKind::Failed) {
        recordFailure(worker, now);
    }
    const auto placedHere = task->phase == TaskPhase::Placed && task->worker == worker.info.id;
    // The attempt was given up, for example when its lease expired, and the task has not been placed again.
    const auto late = task->phase == TaskPhase::Waiting && (completion.kind == CompletionKind::Done || completion.kind == CompletionKind::Failed);
    if (!placedHere && !late) {
        return task->phase == TaskPhase::Done ? EndUse::TaskDone : EndUse::Superseded;
    }
    m_changed.insert(completion.task.job);
    if (isFinal(state.phase)) {
        task->phase = TaskPhase::Waiting;
        return EndUse::JobFinal;
    }
    if (completion.kind == CompletionKind::Done && !specOf(state, completion.task).longRunning) {
        finishTask(state, completion.task, now);
        return EndUse::Applied;
    }
    task->phase = TaskPhase::Waiting;
    noteUnsuccessful(state, key);
    saveCheckpoint(state, completion.task, completion.checkpoint);
    if (completion.kind == CompletionKind::Failed) {
        failTask(state, completion.task, completion.attempt, now);
    }
    // What a failed job leaves is stopped because the job is final.
    if (specOf(state, completion.task).gang && !isFinal(state.phase)) {
        stopStep(state, completion.task.occurrence, completion.task.step, StopReason::GangBroken);
    }
    return EndUse::Applied;
}

/// An end that changes nothing although its task has a later attempt has a line of its own: the task may have run twice.
auto PoolCore::noteListedEnd(const Worker &worker, const AttemptCompletion &completion, EndUse use) -> void
{
    noteEnd(m_endReport, {.worker = worker.info.id, .born = worker.info.born}, {.completion = completion, .use = use});
    const auto *task = findTask(completion.task);
    if (use != EndUse::Superseded || completion.kind != CompletionKind::Done || task == nullptr) {
        return;
    }
    logDecision("end_superseded",
                describeAttempt(completion.task, completion.attempt) + " worker=" + describeLifetime({.worker = worker.info.id, .born = worker.info.born})
                    + " number=" + std::to_string(completion.number) + " how=" + completionName(completion.kind) + " present_attempt="
                    + std::to_string(task->attempt) + " on=" + (task->phase == TaskPhase::Placed ? task->worker.str() : std::string("none"))
                    + " lease_left_ms=" + std::to_string(worker.grantedUntil.value - worker.clock.value));
}

/// Adds an attempt that the worker runs, or may run, although it was not placed there by this planner or was released since.
auto PoolCore::addForeign(Worker &worker, const AttemptKey &key, MonoTime now) -> Allocation &
{
    const auto job = m_jobs.find(key.first.job);
    auto &allocation = job != m_jobs.end() && containsTask(job->second, key.first) ? allocate(worker, job->second, key) : worker.allocations[key];
    allocation.placedAt = now;
    return allocation;
}

auto PoolCore::applyRunning(Worker &worker, const RunningAttempt &it, MonoTime now) -> void
{
    const auto key = AttemptKey{it.task, it.attempt};
    auto *task = findTask(it.task);
    const auto current = task != nullptr && task->phase == TaskPhase::Placed && task->attempt == it.attempt && task->worker == worker.info.id;
    auto allocation = worker.allocations.find(key);
    if (allocation == worker.allocations.end()) {
        addForeign(worker, key, now);
        allocation = worker.allocations.find(key);
        if (!current) {
            logDecision("foreign_attempt",
                        describeAttempt(it.task, it.attempt) + " worker=" + worker.info.id.str() + " is not recorded on this worker; stopping it");
        }
    }
    allocation->second.lifetimeInDoubt = false;
    allocation->second.listedIn = worker.info.born;
    repeatStop(allocation->second, now);
    if (!current) {
        requestStop(allocation->second, StopReason::NotRecorded);
        return;
    }
    if (allocation->second.startOutcomeUnknown && allocation->second.startTries == 1) {
        allocation->second.startArrivesUntil = MonoTime{}; // the only try has been carried out
    }
    allocation->second.startOutcomeUnknown = false;
    const auto begins = task->attemptPhase != AttemptPhase::Unknown && task->checkpoint.empty();
    noteProgress(*task, it.percent, begins ? std::optional{std::max(allocation->second.placedAt, allocation->second.acceptedAt)} : std::nullopt, now);
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

auto PoolCore::resolveMissing(Worker &worker, const WorkerPollReply &reply, MonoTime sentAt, MonoTime now) -> void
{
    if (!reply.complete) {
        return; // the attempt may be among the completions that were left out
    }
    auto running = std::set<AttemptKey>{};
    for (const auto &it : reply.running) {
        running.emplace(it.task, it.attempt);
    }
    auto gone = std::vector<AttemptKey>{};
    auto restarted = std::vector<AttemptKey>{}; // ended with an earlier lifetime, or never began
    for (auto &[key, it] : worker.allocations) {
        if (running.contains(key) || it.orderOpen || (it.startOutcomeUnknown && !it.stopping)) {
            continue;
        }
        if (it.lifetimeInDoubt && !mayStartLate(it, sentAt)) {
            if (!mayFollowList(it, sentAt)) {
                restarted.push_back(key);
            }
            continue;
        }
        if (it.stopping) {
            if (it.stopAnswered && it.stopAnsweredAt <= sentAt) {
                (it.lifetimeInDoubt ? restarted : gone).push_back(key);
            }
        } else if (it.acceptedAt <= sentAt) {
            // The accepted attempt is not listed. A stop order prevents it from starting later, so that a later poll can show that
            // it does not run.
            requestStop(it, StopReason::NotListed);
            if (it.startTries == 0) {
                noteStartInDoubt(worker, now); // the earlier planner may have ended before its start order was answered
            }
            if (it.acceptedAt != MonoTime{} && !it.lifetimeInDoubt) {
                recordFailure(worker, sentAt); // it accepts orders and runs nothing
            }
            it.stopSentAt = MonoTime{};
        }
    }
    for (const auto &it : gone) {
        loseAttempt(worker, it, "not running");
    }
    for (const auto &it : restarted) {
        loseEarlier(worker, it, reply, sentAt, now);
    }
}

auto PoolCore::applyPollReply(const WorkerId &id, const WorkerPollReply &reply, MonoTime sentAt, MonoTime now) -> bool
{
    const auto it = m_workers.find(id);
    if (it == m_workers.end()) {
        return false;
    }
    auto &worker = it->second;
    if (isOutdated(worker, reply, sentAt)) {
        logDecision("list_outdated",
                    "worker=" + id.str() + " born=" + std::to_string(reply.born.value) + " present=" + std::to_string(worker.info.born.value)
                        + " clock=" + std::to_string(reply.clock.value));
        return false;
    }
    const auto wasUsable = worker.answered && worker.reachable;
    const auto before = worker.allocations.size();
    const auto restarted = worker.answered && worker.info.born != reply.born;
    if (restarted) {
        applyRestart(worker, reply, sentAt, now);
    } else {
        worker.acknowledgedCompletions = std::max(worker.acknowledgedCompletions, reply.acknowledged);
    }
    worker.info.born = reply.born;
    worker.answered = true;
    worker.reportAwaited = false;
    if (isOverdue(worker, reply, sentAt)) {
        logDecision("list_overdue",
                    "worker=" + id.str() + " born=" + std::to_string(reply.born.value) + " asked_ms_ago="
                        + std::to_string(std::chrono::duration_cast<Millis>(now - sentAt).count()) + " listed=" + (worker.listed ? "yes" : "no"));
    } else {
        worker.reachable = true;
        worker.retriedAt = MonoTime{};
        worker.leaseWaitLogged = false;
    }
    worker.answeredAt = now;
    // A late answer has an old reading; the clock has gone on since, at least as fast as the slowest clock.
    const auto elapsed = std::chrono::duration_cast<Millis>(now - worker.clockAt);
    const auto least = WorkerTime{worker.clock.value + static_cast<std::int64_t>(static_cast<double>(elapsed.count()) * slowestWorkerClock)};
    worker.clock = restarted || worker.clock.value == 0 ? reply.clock : std::max(reply.clock, least);
    worker.clockAt = now;
    worker.listAskedAt = sentAt;
    std::erase_if(worker.heldEnds, [&](const auto &held) { return held.second <= now; });
    for (const auto &completion : reply.completions) {
        if (completion.number > worker.processedCompletions) {
            noteListedEnd(worker, completion, applyCompletion(worker, completion, now));
            holdEnd(worker, completion, now);
            worker.processedCompletions = completion.number;
        }
    }
    // What runs has a lease, also one that this planner has not counted: of an order that came late, or of an earlier planner.
    if (!reply.running.empty() && worker.leaseEnd <= now) {
        extendLease(worker, now);
    }
    for (const auto &running : reply.running) {
        applyRunning(worker, running, now);
    }
    resolveMissing(worker, reply, sentAt, now);
    observeTasks(worker, reply, now);
    const auto open = std::any_of(worker.allocations.begin(), worker.allocations.end(), [](const auto &entry) { return entry.second.stopping; });
    return !wasUsable || open || worker.allocations.size() != before || worker.processedCompletions > worker.recordedCompletions;
}

auto PoolCore::pollFailed(const WorkerId &id) -> void
{
    const auto it = m_workers.find(id);
    if (it != m_workers.end()) {
        it->second.reachable = false;
        it->second.failedPollAt = it->second.polledAt;
        it->second.unansweredGrantAt = std::max(it->second.unansweredGrantAt, it->second.grantedAt);
    }
}

auto PoolCore::startRefused(Worker &worker, const AttemptKey &key, OrderOutcome outcome, MonoTime now) -> void
{
    logDecision("start_refused", describeAttempt(key.first, key.second) + " worker=" + worker.info.id.str() + " answer=" + outcomeName(outcome));
    auto &allocation = worker.allocations.at(key);
    // A start order that was withdrawn before it was sent is no failure of the worker.
    if (isWanted(worker, key, allocation) && takesStarts(m_evacuation, worker.info.domain)
        && (outcome == OrderOutcome::Unhealthy || outcome == OrderOutcome::NotSent || outcome == OrderOutcome::InsufficientCapacity)) {
        recordFailure(worker, now);
    }
    if (allocation.startTries > 1 && !allocation.startOutcomeUnknown && !allocation.lifetimeInDoubt && outcome != OrderOutcome::Superseded) {
        return; // an earlier try was carried out: a poll reply of this lifetime has listed the attempt since
    }
    if (allocation.startTries > 1 || outcome == OrderOutcome::Superseded) {
        requestStop(allocation, StopReason::StartRefused);
        return;
    }
    if (const auto job = m_jobs.find(key.first.job); job != m_jobs.end()) {
        noteUnsuccessful(job->second, key); // it was never started
    }
    loseAttempt(worker, key, outcomeName(outcome));
}

auto PoolCore::applyStart(Worker &worker, const AttemptKey &key, const OrderAnswer &answer, MonoTime now) -> void
{
    const auto outcome = answer.outcome;
    auto &allocation = worker.allocations.at(key);
    allocation.orderOpen = false;
    if (outcome == OrderOutcome::Accepted) {
        allocation.startOutcomeUnknown = false;
        allocation.acceptedAt = now;
        allocation.acceptedClock = answer.clock;
        auto *task = findTask(key.first);
        if (task != nullptr && task->attempt == key.second && task->attemptPhase == AttemptPhase::Starting) {
            task->attemptPhase = AttemptPhase::Running;
            task->progressAt = now;
        }
    } else if (outcome == OrderOutcome::OutcomeUnknown) {
        allocation.startOutcomeUnknown = true;
        allocation.startArrivesUntil = noteUnansweredStart(worker, now);
        if (allocation.startTries >= static_cast<int>(startTimeouts.size())) {
            logDecision("start_refused", describeAttempt(key.first, key.second) + " worker=" + worker.info.id.str() + " answer=" + outcomeName(outcome));
            requestStop(allocation, StopReason::StartUnanswered);
            recordFailure(worker, now);
            auto *task = findTask(key.first);
            if (task != nullptr && task->attempt == key.second) {
                task->isStartUnanswered = true;
            }
            if (task != nullptr && task->attempt == key.second && specOf(m_jobs.at(key.first.job), key.first).gang) {
                stopStep(m_jobs.at(key.first.job), key.first.occurrence, key.first.step, StopReason::GangBroken);
            }
        }
    } else {
        startRefused(worker, key, outcome, now);
    }
}

auto PoolCore::applyOrder(const PoolOrder &order, const OrderAnswer &answer, MonoTime now) -> void
{
    if (answer.outcome == OrderOutcome::Fenced) {
        m_fenced = true;
        return;
    }
    const auto worker = m_workers.find(order.worker);
    const auto key = AttemptKey{order.task, order.attempt};
    if (worker == m_workers.end()) {
        return;
    }
    if (!worker->second.allocations.contains(key)) {
        if (order.kind == PoolOrder::Kind::Start && answer.outcome == OrderOutcome::OutcomeUnknown) {
            const auto until = noteUnansweredStart(worker->second, now);
            worker->second.releasedStarts[key] = until;
            noteReleasedStart(worker->second, key, until);
        }
        return;
    }
    if (order.kind == PoolOrder::Kind::Start) {
        applyStart(worker->second, key, answer, now);
    } else {
        applyStop(worker->second, key, answer, now);
    }
}

auto PoolCore::loseAllAttempts(Worker &worker, const char *reason) -> void
{
    auto keys = std::vector<AttemptKey>{};
    for (const auto &it : worker.allocations) {
        keys.push_back(it.first);
    }
    for (const auto &it : keys) {
        loseAttempt(worker, it, reason);
    }
}

/// @return how long the reported progress of a task may stand still. Each stop doubles it, so that a task that is slower than estimated ends.
auto PoolCore::hungLimit(const PoolStep &step, const TaskState &task) -> Millis
{
    return std::max(hungTimeout, std::min(step.estimate / progressPart, maxProgressWait)) * (1 << std::min(task.hungStops, maxHungDoublings));
}

/// Counts a stop for want of progress; the members of a gang make progress together.
auto PoolCore::noteHungStop(PoolJobState &state, const TaskKey &key) -> void
{
    if (!specOf(state, key).gang) {
        ++taskAt(state, key).hungStops;
        return;
    }
    for (auto &it : stepAt(state, key).tasks) {
        ++it.hungStops;
    }
}

/// @return whether the attempt has stood still for longer than a sound one does, as far as its worker's lists show.
auto PoolCore::isHung(const PoolJobState &state, const TaskKey &key, const Worker &worker, StepRates &rates, MonoTime now) const -> bool
{
    const auto &spec = specOf(state, key);
    const auto &task = taskAt(state, key);
    const auto &tasks = state.occurrences[static_cast<std::size_t>(key.occurrence)].steps[static_cast<std::size_t>(key.step)].tasks;
    const auto limit = hungLimit(spec, task);
    if (spec.longRunning || (spec.gang && waitsForPeers(task, tasks))) {
        return false;
    }
    if (now - task.progressAt >= limit && worker.answeredAt >= task.progressAt + limit) {
        return true;
    }
    const auto [rate, isNew] = rates.try_emplace({key.job, key.occurrence, key.step});
    if (isNew) {
        rate->second = typicalRate(tasks);
    }
    return rate->second && fallsBehindPeers(task, *rate->second, worker.answeredAt);
}

auto PoolCore::stopHung(MonoTime now) -> void
{
    auto rates = StepRates{};
    for (auto &[id, worker] : m_workers) {
        if (!worker.reachable) {
            continue;
        }
        for (auto &[key, it] : worker.allocations) {
            const auto *task = findTask(key.first);
            if (it.stopping || task == nullptr || task->attempt != key.second || task->attemptPhase != AttemptPhase::Running
                || task->phase != TaskPhase::Placed) {
                continue;
            }
            auto &state = m_jobs.at(key.first.job);
            if (!isHung(state, key.first, worker, rates, now)) {
                continue;
            }
            const auto &spec = specOf(state, key.first);
            const auto rate = rates.find({key.first.job, key.first.occurrence, key.first.step});
            const auto known = rate != rates.end() && rate->second;
            logDecision("task_hung",
                        describeAttempt(key.first, key.second) + " worker=" + id.str() + " percent=" + std::to_string(task->percent)
                            + " still_ms=" + std::to_string(std::chrono::duration_cast<Millis>(now - task->progressAt).count())
                            + " limit_ms=" + std::to_string(hungLimit(spec, *task).count())
                            + " peers_percent_s=" + (known ? std::to_string(static_cast<int>(*rate->second)) : std::string("none"))
                            + " earlier_stops=" + std::to_string(task->hungStops));
            recordFailure(worker, now);
            requestStop(it, StopReason::NoProgress);
            noteHungStop(state, key.first);
            if (spec.gang) {
                stopStep(state, key.first.occurrence, key.first.step, StopReason::GangBroken);
            }
        }
    }
}

auto PoolCore::linkTime(std::int64_t bytes) const -> Millis
{
    constexpr auto millisPerSecond = 1'000;
    return Millis{bytes * millisPerSecond / std::max<std::int64_t>(m_options.linkBytesPerSecond, 1)};
}

/// The time for an answer begins when the orders before this one have passed the link.
auto PoolCore::emitStart(PoolEffects &effects, const Worker &worker, const AttemptKey &key) -> void
{
    const auto &state = m_jobs.at(key.first.job);
    m_openStartBytes += startOrderBytes(state.job);
    effects.starts.push_back({
        .kind = PoolOrder::Kind::Start,
        .worker = worker.info.id,
        .address = worker.info.address,
        .task = key.first,
        .attempt = key.second,
        .payload = state.job.payload,
        .checkpoint = findTask(key.first)->checkpoint,
        .answerTimeout = startTimeouts.at(static_cast<std::size_t>(worker.allocations.at(key).startTries - 1)) + linkTime(m_openStartBytes),
    });
}

/// Repeats the start orders without an answer.
auto PoolCore::emitStarts(PoolEffects &effects) -> void
{
    for (auto &[id, worker] : m_workers) {
        if (!getsOrders(worker) || isWithheld(id) || !takesStarts(m_evacuation, worker.info.domain)) {
            continue;
        }
        for (auto &[key, it] : worker.allocations) {
            if (!it.stopping && it.startOutcomeUnknown && !it.orderOpen && m_jobs.contains(key.first.job)) {
                it.orderOpen = true;
                ++it.startTries;
                emitStart(effects, worker, key);
            }
        }
    }
}

auto PoolCore::isCurrent(const PoolOrder &order) const -> bool
{
    const auto worker = m_workers.find(order.worker);
    if (worker == m_workers.end()) {
        return false;
    }
    const auto found = worker->second.allocations.find({order.task, order.attempt});
    if (found == worker->second.allocations.end()) {
        return false;
    }
    const auto &[key, allocation] = *found;
    if (order.kind == PoolOrder::Kind::Start) {
        return isWanted(worker->second, key, allocation) && takesStarts(m_evacuation, worker->second.info.domain);
    }
    return getsOrders(worker->second) && allocation.stopping && !allocation.stopAnswered;
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

auto PoolCore::pollPause(const WorkerId &id) const -> PollPause
{
    const auto it = m_workers.find(id);
    if (it == m_workers.end()) {
        return PollPause::WhileIdle;
    }
    const auto &worker = it->second;
    if (worker.processedCompletions > worker.recordedCompletions) {
        return PollPause::UntilRecorded;
    }
    const auto isAwaited = std::any_of(worker.allocations.begin(), worker.allocations.end(), [](const auto &entry) { return entry.second.stopping; });
    if (!worker.heldEnds.empty() && !isAwaited) {
        return PollPause::WhileHeld;
    }
    return worker.answered && worker.reachable && worker.allocations.empty() && !needsOpenPoll(worker) ? PollPause::WhileIdle : PollPause::None;
}

auto PoolCore::pollPauseAfterFailure(const WorkerId &id, MonoTime now) const -> PollPause
{
    const auto it = m_workers.find(id);
    return it != m_workers.end() && isWatched(it->second, now) ? PollPause::AfterUrgentFailure : PollPause::AfterFailure;
}

auto PoolCore::nextPoll(const WorkerId &id, MonoTime now) -> WorkerPoll
{
    const auto it = m_workers.find(id);
    if (it == m_workers.end()) {
        return {};
    }
    auto &worker = it->second;
    const auto open = std::any_of(worker.allocations.begin(), worker.allocations.end(), [&](const auto &entry) {
        const auto *task = findTask(entry.first.first);
        return entry.second.stopping || (task != nullptr && task->attemptPhase == AttemptPhase::Unknown);
    });
    worker.polledAt = now;
    if (!worker.reachable && worker.retriedAt == MonoTime{}) {
        worker.retriedAt = now;
    }
    auto poll = WorkerPoll{.worker = id, .address = worker.info.address};
    // An unreachable worker gets no new lease: its lease would never expire, and its tasks could never be placed elsewhere.
    poll.request.leaseUntil = worker.reachable ? leaseFor(id, now) : WorkerTime{};
    // A poll may reach the next incarnation, whose completions are numbered from the beginning. So it carries a number only as long as this
    // is needed, and only while the incarnation that has counted is known to answer.
    const auto upTo = acknowledgeable(worker, now);
    if (worker.reachable && !isReborn(worker) && upTo > worker.acknowledgedCompletions) {
        poll.request.seenCompletions = upTo;
        if (std::exchange(worker.loggedAcknowledgement, upTo) != upTo) {
            noteAcknowledgement(m_endReport, {.worker = id, .born = worker.info.born}, upTo);
        }
    }
    poll.request.isBrief = !worker.reachable && isWatched(worker, now);
    // A withheld lease goes out with the poll after this one.
    poll.request.wait = pollWait(worker, open || isWithheld(id), now);
    return poll;
}

/// @param isAwaited whether something waits for the reply
auto PoolCore::pollWait(const Worker &worker, bool isAwaited, MonoTime now) -> Millis
{
    // Until a worker answers, it gets no stop orders, so that nothing may hold its answer back.
    if (!worker.answered || !worker.reachable) {
        return Millis{0};
    }
    // Attempts whose lifetime is in doubt; the next list settles those whose orders have been answered.
    const auto isDoubtful = [](const auto &it) { return it.second.lifetimeInDoubt; };
    const auto isSettledNext = [&](const auto &it) {
        return isDoubtful(it) && !it.second.orderOpen && !it.second.startOutcomeUnknown && (!mayStartLate(it.second, now) || it.second.stopAnswered);
    };
    if (std::any_of(worker.allocations.begin(), worker.allocations.end(), isSettledNext)) {
        return Millis{0};
    }
    return isAwaited || isReborn(worker) || std::any_of(worker.allocations.begin(), worker.allocations.end(), isDoubtful) ? shortPollWait : longPollWait;
}

}

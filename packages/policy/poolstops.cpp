#include "policy/lostwork.h"
#include "policy/poolcore.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

/// Which attempts are to be stopped, their stop orders, and what is logged about both.

namespace Catkin
{

namespace
{

/// Answer timeout of each try of a stop order; other work may be waiting for the attempt's resources.
constexpr auto stopTimeout = Millis{400};
/// Interval between two stop orders for the same attempt; longer than a round trip between regions plus PoolOptions::stopGrace.
constexpr auto stopRetryInterval = Millis{500};
/// Part of PoolOptions::gangTimeout after which a gang with missing members is stopped; the rest is for the stop orders.
constexpr auto gangStartPart = 0.5;

}

/// @return why the state of the job does not call for an attempt, or nothing if it does. A task that is done needs no stop: its worker
/// reports the completion, and an attempt that is listed all the same is stopped by applyRunning().
auto PoolCore::stopReasonOf(const Worker &worker, const AttemptKey &key) const -> std::optional<StopReason>
{
    const auto *state = find(key.first.job);
    if (state == nullptr || !containsTask(*state, key.first)) {
        return StopReason::NotRecorded;
    }
    const auto &task = taskAt(*state, key.first);
    if (task.phase == TaskPhase::Done) {
        return std::nullopt;
    }
    if (isFinal(state->phase)) {
        return StopReason::JobFinal;
    }
    const auto current = task.phase == TaskPhase::Placed && task.attempt == key.second && task.worker == worker.info.id;
    return current ? std::nullopt : std::optional{StopReason::NotRecorded};
}

auto PoolCore::isWanted(const Worker &worker, const AttemptKey &key, const Allocation &allocation) const -> bool
{
    return !allocation.stopping && !stopReasonOf(worker, key);
}

auto PoolCore::stopUnwanted() -> void
{
    for (auto &[id, worker] : m_workers) {
        for (auto &[key, it] : worker.allocations) {
            if (it.stopping) {
                continue;
            }
            if (const auto reason = stopReasonOf(worker, key)) {
                requestStop(it, *reason);
            }
        }
    }
}

/// A gang of which a member is over cannot go on. An earlier planner may have recorded that member and not stopped the others.
auto PoolCore::stopBrokenGangs() -> void
{
    for (const auto &id : m_active) {
        const auto &state = m_jobs.at(id);
        for (auto o = 0; o < static_cast<int>(state.occurrences.size()); ++o) {
            for (auto s = 0; s < static_cast<int>(state.job.steps.size()); ++s) {
                const auto &tasks = state.occurrences[static_cast<std::size_t>(o)].steps[static_cast<std::size_t>(s)].tasks;
                const auto is
                    = [&](TaskPhase phase) { return std::any_of(tasks.begin(), tasks.end(), [&](const TaskState &it) { return it.phase == phase; }); };
                if (state.job.steps[static_cast<std::size_t>(s)].gang && is(TaskPhase::Placed) && is(TaskPhase::Waiting)) {
                    stopStep(state, o, s, StopReason::GangBroken);
                }
            }
        }
    }
}

/// @return whether a member has run for so long without all the others that it might give up before they start.
auto PoolCore::lacksMembers(const PoolJobState &state, int occurrence, int step, MonoTime now) const -> bool
{
    const auto &tasks = state.occurrences[static_cast<std::size_t>(occurrence)].steps[static_cast<std::size_t>(step)].tasks;
    const auto isStarting = [](const TaskState &it) { return it.phase == TaskPhase::Placed && it.attemptPhase == AttemptPhase::Starting; };
    if (std::none_of(tasks.begin(), tasks.end(), isStarting)) {
        return false;
    }
    auto firstStart = std::optional<MonoTime>{};
    for (auto i = 0; i < static_cast<int>(tasks.size()); ++i) {
        const auto &task = tasks[static_cast<std::size_t>(i)];
        if (task.phase != TaskPhase::Placed || task.attemptPhase == AttemptPhase::Unknown) {
            return false;
        }
        const auto worker = m_workers.find(task.worker);
        if (isStarting(task) || worker == m_workers.end()) {
            continue;
        }
        const auto it = worker->second.allocations.find({{.job = state.job.id, .occurrence = occurrence, .step = step, .index = i}, task.attempt});
        if (it != worker->second.allocations.end()) {
            // An attempt whose order was not answered is known from the worker's list, at most a poll after its start.
            const auto startedAt = it->second.acceptedAt == MonoTime{} ? it->second.placedAt : it->second.acceptedAt;
            firstStart = std::min(firstStart.value_or(startedAt), startedAt);
        }
    }
    const auto limit = std::chrono::duration_cast<Micros>(m_options.gangTimeout * gangStartPart);
    return firstStart && now - *firstStart >= limit;
}

/// Members that wait for the others hold their accelerators without progress, and in the end each of them gives up alone.
auto PoolCore::stopIncompleteGangs(MonoTime now) -> void
{
    for (const auto &id : m_active) {
        const auto &state = m_jobs.at(id);
        for (auto o = 0; o < static_cast<int>(state.occurrences.size()); ++o) {
            for (auto s = 0; s < static_cast<int>(state.job.steps.size()); ++s) {
                if (state.job.steps[static_cast<std::size_t>(s)].gang && lacksMembers(state, o, s, now)) {
                    stopStep(state, o, s, StopReason::GangIncomplete);
                }
            }
        }
    }
}

auto PoolCore::requestStop(Allocation &allocation, StopReason reason) -> void
{
    if (!allocation.stopping) {
        allocation.stopping = true;
        allocation.stopReason = reason;
    }
}

auto PoolCore::stopAttempt(const TaskKey &key, const TaskState &task, StopReason reason) -> void
{
    if (task.phase != TaskPhase::Placed) {
        return;
    }
    const auto worker = m_workers.find(task.worker);
    if (worker == m_workers.end()) {
        return;
    }
    const auto allocation = worker->second.allocations.find({key, task.attempt});
    if (allocation != worker->second.allocations.end()) {
        requestStop(allocation->second, reason);
    }
}

auto PoolCore::stopStep(const PoolJobState &state, int occurrence, int step, StopReason reason) -> void
{
    const auto &tasks = state.occurrences[static_cast<std::size_t>(occurrence)].steps[static_cast<std::size_t>(step)].tasks;
    for (auto i = 0; i < static_cast<int>(tasks.size()); ++i) {
        stopAttempt({.job = state.job.id, .occurrence = occurrence, .step = step, .index = i}, tasks[static_cast<std::size_t>(i)], reason);
    }
}

/// Orders to an unreachable worker would only delay orders to others; its attempts end when its lease expires.
auto PoolCore::getsOrders(const Worker &worker) -> bool
{
    return worker.reachable && !worker.info.address.empty();
}

auto PoolCore::emitStops(std::vector<PoolOrder> &stops, MonoTime now) -> void
{
    for (auto &[id, worker] : m_workers) {
        if (!getsOrders(worker)) {
            continue;
        }
        for (auto &[key, it] : worker.allocations) {
            if (it.stopping && !it.stopOpen && !it.stopAnswered && (it.stopSentAt == MonoTime{} || now - it.stopSentAt >= stopRetryInterval)) {
                it.stopOpen = true;
                it.stopSentAt = now;
                stops.push_back({.kind = PoolOrder::Kind::Stop,
                                 .worker = id,
                                 .address = worker.info.address,
                                 .task = key.first,
                                 .attempt = key.second,
                                 .answerTimeout = stopTimeout});
            }
        }
    }
}

auto PoolCore::planStops(MonoTime now) -> std::vector<PoolOrder>
{
    auto stops = std::vector<PoolOrder>{};
    stopUnwanted();
    stopBrokenGangs();
    stopIncompleteGangs(now);
    stopEvacuated();
    stopLeaving(now, false);
    logStops(now);
    emitStops(stops, now);
    return stops;
}

/// Issues the stop order of an attempt again that is listed although its stop was answered.
auto PoolCore::repeatStop(Allocation &allocation, MonoTime now) const -> void
{
    if (allocation.stopAnswered && now - allocation.stopAnsweredAt > m_options.stopGrace + stopRetryInterval) {
        allocation.stopAnswered = false;
    }
}

auto PoolCore::noteStopAnswer(Worker &worker, const AttemptKey &key, OrderOutcome outcome) -> void
{
    auto &allocation = worker.allocations.at(key);
    const auto accepted = outcome == OrderOutcome::Accepted;
    // Stop orders are repeated until one is answered; the log has the first that was not.
    if (accepted || !std::exchange(allocation.stopRefusalLogged, true)) {
        noteStop(m_stopReport.answered[{key.first.job, outcome}], worker.info.id, worker.reachable);
    }
}

/// Logs an answer to a stop order that may come from an earlier lifetime of the worker; once for each attempt in a lifetime, since the order is sent
/// again until an answer counts.
auto PoolCore::logUncountedStop(Worker &worker, const AttemptKey &key, const OrderAnswer &answer, MonoTime now) -> void
{
    auto &allocation = worker.allocations.at(key);
    if (std::exchange(allocation.uncountedStopLogged, true)) {
        return;
    }
    const auto asked = std::chrono::duration_cast<Millis>(now - worker.listAskedAt);
    logDecision("stop_in_doubt",
                describeAttempt(key.first, key.second) + " worker=" + worker.info.id.str() + " lifetime=" + std::to_string(worker.info.born.value)
                    + " sent=" + (allocation.stopSentAt == MonoTime{} ? "before_restart" : "after_restart")
                    + " answer_clock=" + std::to_string(answer.clock.value) + " list_clock=" + std::to_string(worker.clock.value)
                    + " list_asked_ms_ago=" + std::to_string(asked.count()) + " the answer may be of an earlier lifetime; the order is sent again");
}

auto PoolCore::applyStop(Worker &worker, const AttemptKey &key, const OrderAnswer &answer, MonoTime now) -> void
{
    const auto outcome = answer.outcome;
    auto &allocation = worker.allocations.at(key);
    allocation.stopOpen = false;
    if (allocation.stopAnswered && outcome == OrderOutcome::NotSent) {
        return; // withdrawn
    }
    noteStopAnswer(worker, key, outcome);
    if (outcome == OrderOutcome::Accepted && allocation.lifetimeInDoubt && mayBeOfEarlierLifetime(worker, answer, allocation.stopSentAt, now)) {
        logUncountedStop(worker, key, answer, now);
        allocation.stopSentAt = MonoTime{}; // the present lifetime has not been told
    } else if (outcome == OrderOutcome::Accepted) {
        allocation.stopAnswered = true;
        allocation.stopAnsweredAt = now;
        allocation.startOutcomeUnknown = false; // the worker refuses a start order that arrives later
    } else if (outcome == OrderOutcome::WorkerRestarted) {
        loseAttempt(worker, key, outcomeName(outcome));
    }
}

/// @return core-seconds that a stop of this attempt alone loses.
auto PoolCore::lossOf(const AttemptKey &key, const Allocation &allocation, MonoTime now) const -> double
{
    auto stopped
        = StoppedAttempt{.resources = allocation.resources, .age = now - allocation.placedAt, .stopGrace = m_options.stopGrace, .restore = m_options.restore};
    const auto *state = find(key.first.job);
    if (state == nullptr || !containsTask(*state, key.first)) {
        return lostCoreSeconds(stopped);
    }
    const auto &spec = specOf(*state, key.first);
    stopped.estimate = spec.estimate;
    stopped.checkpointing = spec.checkpointing;
    if (const auto &task = taskAt(*state, key.first); task.attempt == key.second) {
        stopped.basePercent = task.basePercent;
        stopped.percent = task.percent;
        stopped.progressSpan = task.progressAt - task.baseAt;
    }
    return lostCoreSeconds(stopped);
}

auto PoolCore::logStops(MonoTime now) -> void
{
    for (auto &[id, worker] : m_workers) {
        for (auto &[key, it] : worker.allocations) {
            if (it.stopping && it.stopRequestedAt == MonoTime{}) {
                it.stopRequestedAt = now;
                // Nobody needs the work of a job that has ended.
                const auto loss = it.stopReason == StopReason::JobFinal ? 0.0 : lossOf(key, it, now);
                noteStop(m_stopReport.requested[{key.first.job, it.stopReason}], id, getsOrders(worker), loss);
                auto &total = m_stopReport.totals[it.stopReason];
                ++total.attempts;
                total.lostCoreSeconds += loss;
            }
        }
    }
    for (auto &it : takeStopEntries(m_stopReport)) {
        m_logEntries.push_back(std::move(it));
    }
}

/// A job that ended while attempts of it ran gets a line when the last of them is over.
auto PoolCore::logStoppedJobs(MonoTime now) -> void
{
    auto over = std::exchange(m_released, {});
    std::erase_if(over, [&](const JobId &it) {
        const auto *state = find(it);
        return state == nullptr || !isFinal(state->phase) || state->phase == PoolJobPhase::Completed;
    });
    if (over.empty()) {
        return;
    }
    for (const auto &[id, worker] : m_workers) {
        for (const auto &[key, it] : worker.allocations) {
            over.erase(key.first.job);
        }
    }
    for (const auto &it : over) {
        const auto &state = m_jobs.at(it);
        logDecision("job_stopped",
                    "job=" + it.str() + " state=" + phaseName(state.phase)
                        + " took_ms=" + std::to_string(std::chrono::duration_cast<Millis>(now - state.finalSince).count()));
    }
}

auto PoolCore::stoppingAttempts() const -> int
{
    auto n = 0;
    for (const auto &[id, worker] : m_workers) {
        n += static_cast<int>(std::count_if(worker.allocations.begin(), worker.allocations.end(), [](const auto &it) { return it.second.stopping; }));
    }
    return n;
}

auto PoolCore::oldestStop(MonoTime now) const -> Micros
{
    auto oldest = Micros{0};
    for (const auto &[id, worker] : m_workers) {
        for (const auto &[key, it] : worker.allocations) {
            if (it.stopping && it.stopRequestedAt != MonoTime{}) {
                oldest = std::max(oldest, now - it.stopRequestedAt);
            }
        }
    }
    return oldest;
}

}

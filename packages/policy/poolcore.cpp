#include "policy/poolcore.h"

#include "policy/poolplacer.h"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

namespace Catkin
{

PoolCore::PoolCore(const PoolOptions &options)
    : m_options(options)
{
}

auto PoolCore::logDecision(const char *decision, std::string text) -> void
{
    m_logEntries.push_back({.decision = decision, .text = std::move(text)});
}

auto PoolCore::setRules(const PoolRules &rules) -> void
{
    m_rules = rules;
    m_rulesChanged = true;
    for (const auto &id : m_active) {
        takeRules(m_jobs.at(id));
    }
}

/// A job without recorded rules cannot be planned: a record of an earlier version has none.
auto PoolCore::noteRemovedQueue(PoolJobState &state) -> void
{
    if (std::exchange(state.removalLogged, true)) {
        return;
    }
    const auto text = "job=" + state.job.id.str() + " queue=" + state.job.queue.str() + " version=" + std::to_string(m_rules.version.value);
    if (const auto &rules = state.job.rules) {
        logDecision("queue_removed",
                    text + " service=" + rules->service.str() + " priority=" + std::to_string(rules->priority)
                        + " max_attempts=" + std::to_string(rules->maxAttempts));
    } else {
        logDecision("set_aside", text + " reason=queue_unknown");
        setReason(state, "the queue of the job is not in the configuration");
    }
}

/// Gives the job the present rules of its queue. They are part of its record, so that it continues under them when the queue is removed,
/// whichever planner is in office then.
auto PoolCore::takeRules(PoolJobState &state) -> void
{
    const auto queue = m_rules.queues.find(state.job.queue);
    if (queue == m_rules.queues.end()) {
        // Before the first configuration nothing is known of any queue.
        if (m_rules.version.value != 0) {
            noteRemovedQueue(state);
        }
        return;
    }
    state.removalLogged = false;
    if (!state.job.rules) {
        setReason(state, "");
    }
    if (state.job.rules != queue->second) {
        state.job.rules = queue->second;
        m_changed.insert(state.job.id);
        m_jobChanged.insert(state.job.id);
    }
}

auto PoolCore::addJob(const PoolJob &job, MonoTime now) -> void
{
    if (m_jobs.contains(job.id)) {
        return;
    }
    auto state = makeJobState(job);
    state.knownSince = now;
    m_active.insert(job.id);
    takeRules(m_jobs.emplace(job.id, std::move(state)).first->second);
}

auto PoolCore::cancelJob(const JobId &id, MonoTime now) -> void
{
    const auto it = m_jobs.find(id);
    if (it == m_jobs.end() || isFinal(it->second.phase)) {
        return;
    }
    it->second.cancelRequested = true;
    it->second.finalSince = now;
    setPhase(it->second, PoolJobPhase::Cancelled);
}

auto PoolCore::failJob(const JobId &id, const char *reason, MonoTime now) -> void
{
    const auto it = m_jobs.find(id);
    if (it == m_jobs.end() || isFinal(it->second.phase)) {
        return;
    }
    setReason(it->second, reason);
    it->second.finalSince = now;
    setPhase(it->second, PoolJobPhase::Failed);
}

auto PoolCore::adoptRecord(const JobId &id, const PoolJobState &recorded, MonoTime earlierLeasesEnd, MonoTime now) -> void
{
    const auto it = m_jobs.find(id);
    if (it == m_jobs.end()) {
        return;
    }
    auto &state = it->second;
    state.phase = recorded.phase;
    state.occurrences = recorded.occurrences;
    state.finalSince = now;
    if (isFinal(state.phase)) {
        m_active.erase(id);
    }
    auto placed = 0;
    for (auto o = 0; o < static_cast<int>(state.occurrences.size()); ++o) {
        for (auto s = 0; s < static_cast<int>(state.job.steps.size()); ++s) {
            for (auto i = 0; i < state.job.steps[static_cast<std::size_t>(s)].tasks; ++i) {
                const auto key = TaskKey{.job = id, .occurrence = o, .step = s, .index = i};
                auto &task = taskAt(state, key);
                adoptReleasedStart(key, task);
                if (task.phase != TaskPhase::Placed) {
                    continue;
                }
                auto &worker = m_workers[task.worker];
                worker.info.id = task.worker;
                const auto bound = m_withheld.find(task.worker);
                worker.isBoundStored = bound != m_withheld.end();
                const auto end = bound == m_withheld.end() ? earlierLeasesEnd : bound->second;
                worker.leaseEnd = std::max(worker.leaseEnd, end);
                worker.grantedLeaseEnd = std::max(worker.grantedLeaseEnd, end);
                worker.grantedAt = std::max(worker.grantedAt, end - longestLease());
                worker.unansweredGrantAt = worker.grantedAt;
                noteRecordedLifetime(worker, task.workerBorn);
                task.progressAt = now;
                task.attemptPhase = AttemptPhase::Unknown;
                allocate(worker, state, {key, task.attempt}).placedAt = now; // the record does not contain the start time
                ++placed;
            }
        }
    }
    if (placed > 0) {
        logDecision("adopted", "job=" + id.str() + " state=" + phaseName(state.phase) + " placed=" + std::to_string(placed));
    }
}

auto PoolCore::tookOver(MonoTime now) -> void
{
    m_tookOverAt = now;
}

auto PoolCore::adoptFinal(const JobId &id, PoolJobPhase phase, MonoTime now) -> void
{
    const auto it = m_jobs.find(id);
    if (it == m_jobs.end() || isFinal(it->second.phase)) {
        return;
    }
    it->second.finalSince = now;
    setPhase(it->second, phase);
}

auto PoolCore::setWorkers(const std::vector<PoolWorkerInfo> &listed, MonoTime now) -> void
{
    for (auto &[id, worker] : m_workers) {
        worker.listed = false;
    }
    for (const auto &it : listed) {
        if (isSucceeded(it)) {
            continue;
        }
        const auto [known, isNew] = m_workers.try_emplace(it.id);
        auto &worker = known->second;
        if (isNew) {
            adoptLateCalls(worker, it.id, now);
        }
        takeAdoptedLateStarts(worker, it.id);
        const auto moved = worker.info.address != it.address;
        const auto born = worker.info.born;
        if (!worker.info.id.empty() && worker.listedBorn.value != 0 && worker.listedBorn != it.born) {
            doubtAdoptedStarts(worker);
            logDecision("worker_reborn",
                        "worker=" + it.id.str() + " listed_born=" + std::to_string(it.born.value) + " before=" + std::to_string(worker.listedBorn.value)
                            + " answered_born=" + (worker.answered ? std::to_string(born.value) : std::string("none")) + " " + describeLateStarts(worker, now));
        }
        if (isNew || worker.listedBorn != it.born) {
            worker.shownAt = now;
        }
        worker.info = it;
        worker.listedBorn = it.born;
        worker.listed = true;
        loseListedEarlier(worker);
        noteDeparture(worker, now);
        if (worker.answered) {
            worker.info.born = born; // the list may lag behind the worker's own replies
        }
        // Before the first answer it is not known whether this lifetime has answered the stops of an earlier planner.
        if ((isReborn(worker) || !worker.answered) && getsOrders(worker)) {
            stopReleasedStarts(worker, now, now);
        }
        if (moved) {
            worker.unansweredGrantAt = std::max(worker.unansweredGrantAt, worker.grantedAt); // a poll under way ends without an answer
            worker.reachable = true;
            worker.answeredAt = now;
        }
    }
    noteSuccessors(now);
    noteUnlisted(now);
    countIdleCapacity();
    dropUnlisted(now);
}

auto PoolCore::workerWrote(const WorkerId &id, MonoTime now) -> void
{
    const auto it = m_workers.find(id);
    if (it != m_workers.end()) {
        it->second.wroteAt = now;
    }
}

auto PoolCore::entriesRead(MonoTime sentAt) -> void
{
    if (sentAt - m_entriesReadAt > m_options.heartbeat * entryHeartbeats) {
        m_entriesReadSince = sentAt;
    }
    m_entriesReadAt = sentAt;
}

auto PoolCore::workerLeft(const WorkerId &id) -> void
{
    const auto it = m_workers.find(id);
    if (it == m_workers.end()) {
        return;
    }
    logDecision("worker_left", "worker=" + id.str() + " attempts=" + std::to_string(it->second.allocations.size()));
    loseAllAttempts(it->second, "worker left");
    keepLateCalls(it->second);
    m_workers.erase(it);
}

auto PoolCore::dropUnlisted(MonoTime now) -> void
{
    std::erase_if(m_workers, [&](const auto &it) {
        const auto isDropped = !it.second.listed && it.second.allocations.empty() && !isWatched(it.second, now);
        if (isDropped) {
            keepLateCalls(it.second);
        }
        return isDropped;
    });
}

auto PoolCore::findTask(const TaskKey &key) -> TaskState *
{
    const auto it = m_jobs.find(key.job);
    return it == m_jobs.end() || !containsTask(it->second, key) ? nullptr : &taskAt(it->second, key);
}

auto PoolCore::setPhase(PoolJobState &state, PoolJobPhase phase) -> void
{
    if (state.phase == phase) {
        return;
    }
    state.phase = phase;
    m_changed.insert(state.job.id);
    m_phaseChanged.insert(state.job.id);
    if (isFinal(phase)) {
        m_active.erase(state.job.id);
        logDecision("job_final", "job=" + state.job.id.str() + " workspace=" + state.job.workspace.str() + " state=" + phaseName(phase));
    }
}

/// @param reason why the job cannot go on, for its caller; empty: it can
auto PoolCore::setReason(PoolJobState &state, const char *reason) -> void
{
    if (state.reason != reason) {
        state.reason = reason;
        m_reasonChanged.insert(state.job.id);
    }
}

auto PoolCore::allocate(Worker &worker, const PoolJobState &state, const AttemptKey &key) -> Allocation &
{
    auto &allocation = worker.allocations[key];
    allocation.resources = specOf(state, key.first).perTask;
    allocation.queue = state.job.queue;
    allocation.priority = state.job.rules ? state.job.rules->priority : 0;
    worker.used += allocation.resources;
    followKind(m_learning, allocation.trace, state.job, specOf(state, key.first));
    addKind(worker.kinds, allocation.trace.kind);
    return allocation;
}

auto PoolCore::release(Worker &worker, const AttemptKey &key) -> void
{
    const auto it = worker.allocations.find(key);
    if (it != worker.allocations.end()) {
        if (it->second.startArrivesUntil != MonoTime{}) {
            worker.releasedStarts[key] = it->second.startArrivesUntil;
            noteReleasedStart(worker, key, it->second.startArrivesUntil);
        }
        worker.used -= it->second.resources;
        worker.allocations.erase(it);
        m_released.insert(key.first.job);
    }
}

auto PoolCore::saveCheckpoint(PoolJobState &state, const TaskKey &key, const std::string &checkpoint) -> void
{
    if (checkpoint.empty()) {
        return;
    }
    if (!specOf(state, key).gang) {
        taskAt(state, key).checkpoint = checkpoint;
        return;
    }
    // The members of a gang resume from one common point.
    for (auto &it : stepAt(state, key).tasks) {
        it.checkpoint = checkpoint;
    }
}

auto PoolCore::finishTask(PoolJobState &state, const TaskKey &key, MonoTime now) -> void
{
    auto &step = stepAt(state, key);
    if (specOf(state, key).gang) {
        // The members of a gang succeed together; the allocations of the others are released when their workers report completion.
        for (auto &it : step.tasks) {
            it.phase = TaskPhase::Done;
        }
    } else {
        taskAt(state, key).phase = TaskPhase::Done;
    }
    m_changed.insert(state.job.id);
    checkFinished(state, now);
}

auto PoolCore::checkFinished(PoolJobState &state, MonoTime now) -> void
{
    const auto done = std::all_of(
        state.occurrences.begin(), state.occurrences.end(), [](const OccurrenceState &it) { return std::all_of(it.steps.begin(), it.steps.end(), stepDone); });
    if (done) {
        state.finalSince = now;
        setPhase(state, PoolJobPhase::Completed);
    }
}

auto PoolCore::failTask(PoolJobState &state, const TaskKey &key, int attempt, MonoTime now) -> void
{
    auto &step = stepAt(state, key);
    const auto &spec = specOf(state, key);
    auto &task = taskAt(state, key);
    auto &lastFailed = spec.gang ? step.lastFailedAttempt : task.lastFailedAttempt;
    auto &failures = spec.gang ? step.gangFailures : task.failures;
    if (lastFailed == attempt) {
        return;
    }
    lastFailed = attempt;
    ++failures;
    const auto limit = attemptLimit(state);
    logDecision("task_failed",
                describeAttempt(key, attempt) + " failures=" + std::to_string(failures) + " of=" + (limit ? std::to_string(*limit) : std::string("unknown")));
    if (limit && failures >= *limit && !spec.longRunning) {
        state.finalSince = now;
        setPhase(state, PoolJobPhase::Failed);
    }
}

/// The record of an earlier version has no rules, and a planner may take over before it has read a configuration.
auto PoolCore::attemptLimit(const PoolJobState &state) -> std::optional<int>
{
    return state.job.rules ? std::optional{state.job.rules->maxAttempts} : std::nullopt;
}

/// Fails the jobs that had failed too often when the limit of their queue was not known.
auto PoolCore::failExhausted(MonoTime now) -> void
{
    if (!std::exchange(m_rulesChanged, false)) {
        return;
    }
    const auto active = m_active;
    for (const auto &id : active) {
        auto &state = m_jobs.at(id);
        const auto limit = attemptLimit(state);
        const auto exhausted = [&](const OccurrenceState &occurrence) {
            for (auto s = std::size_t{0}; s < occurrence.steps.size(); ++s) {
                const auto &[spec, step] = std::tie(state.job.steps[s], occurrence.steps[s]);
                const auto failures = std::accumulate(
                    step.tasks.begin(), step.tasks.end(), step.gangFailures, [](int most, const TaskState &it) { return std::max(most, it.failures); });
                if (failures >= *limit && !spec.longRunning) {
                    return true;
                }
            }
            return false;
        };
        if (limit && std::any_of(state.occurrences.begin(), state.occurrences.end(), exhausted)) {
            state.finalSince = now;
            setPhase(state, PoolJobPhase::Failed);
        }
    }
}

auto PoolCore::expireJobs(MonoTime now) -> void
{
    auto old = std::vector<JobId>{};
    for (const auto &[id, state] : m_jobs) {
        if (isFinal(state.phase) && now - state.finalSince > m_options.retention) {
            old.push_back(id);
        }
    }
    for (const auto &it : old) {
        m_unplaceable.erase(it);
        m_jobs.erase(it);
        m_expired.insert(it);
    }
}

auto PoolCore::plan(MonoTime now, WallTime wall) -> PoolEffects
{
    auto effects = PoolEffects{};
    failExhausted(now);
    logLeaseWaits(now);
    expireLeases(now);
    stopUnwanted();
    stopBrokenGangs();
    stopIncompleteGangs(now);
    stopEvacuated();
    stopHung(now);
    expireJobs(now);
    dropUnlisted(now);
    reviewObservations(now);
    if (!m_evacuation.isSuspended) {
        PoolPlacer{*this, now, wall}.place(effects);
    }
    stopLeaving(now, !m_evacuation.isSuspended);
    logEvacuations();
    logStops(now);
    emitStops(effects.stops, now);
    emitStarts(effects);
    logStoppedJobs(now);
    effects.changed.assign(m_changed.begin(), m_changed.end());
    effects.jobChanged.swap(m_jobChanged);
    effects.phaseChanged.assign(m_phaseChanged.begin(), m_phaseChanged.end());
    effects.reasonChanged.assign(m_reasonChanged.begin(), m_reasonChanged.end());
    effects.expired.assign(m_expired.begin(), m_expired.end());
    std::erase_if(effects.changed, [&](const JobId &it) { return !m_jobs.contains(it); });
    std::erase_if(effects.phaseChanged, [&](const JobId &it) { return !m_jobs.contains(it); });
    for (auto &it : takeEndEntries(m_endReport)) {
        m_logEntries.push_back(std::move(it));
    }
    effects.logEntries = std::move(m_logEntries);
    effects.learning = countsOf(m_learning);
    effects.stopped = std::exchange(m_stopReport.totals, {});
    for (const auto &[id, worker] : m_workers) {
        if (worker.processedCompletions > worker.recordedCompletions) {
            effects.completions[{.worker = id, .born = worker.info.born}] = worker.processedCompletions;
        }
    }
    m_changed.clear();
    m_phaseChanged.clear();
    m_reasonChanged.clear();
    m_expired.clear();
    m_logEntries.clear();
    return effects;
}

auto PoolCore::recorded(const PoolEffects &effects) -> void
{
    for (const auto &[lifetime, number] : effects.completions) {
        const auto it = m_workers.find(lifetime.worker);
        // A worker that has restarted meanwhile numbers its completions from the beginning.
        if (it != m_workers.end() && it->second.info.born == lifetime.born) {
            it->second.recordedCompletions = std::max(it->second.recordedCompletions, number);
        }
    }
}

auto PoolCore::fenced() const -> bool
{
    return m_fenced;
}

auto PoolCore::hasUnlistedWork() const -> bool
{
    return std::any_of(m_workers.begin(), m_workers.end(), [](const auto &it) {
        return !it.second.listed && (!it.second.allocations.empty() || !it.second.releasedStarts.empty());
    });
}

auto PoolCore::find(const JobId &id) const -> const PoolJobState *
{
    const auto it = m_jobs.find(id);
    return it == m_jobs.end() ? nullptr : &it->second;
}

auto PoolCore::jobs() const -> const std::map<JobId, PoolJobState> &
{
    return m_jobs;
}

auto PoolCore::workers() const -> const std::map<WorkerId, Worker> &
{
    return m_workers;
}

}

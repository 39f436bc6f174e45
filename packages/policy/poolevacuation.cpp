#include "policy/evacuationmoves.h"
#include "policy/poolplacer.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>
#include <vector>

/// What evacuated failure domains change for the attempts and workers of a planner, and the moves of long-running steps out of them; see
/// evacuationmoves.h.

namespace Catkin
{

auto PoolCore::setEvacuated(const std::set<FailureDomainId> &domains) -> void
{
    if (Catkin::setEvacuated(m_evacuation, domains)) {
        countIdleCapacity();
        // At once, so that queued start orders are withdrawn without counting against their workers.
        stopEvacuated();
    }
}

auto PoolCore::suspendStarts(bool isSuspended) -> void
{
    m_evacuation.isSuspended = isSuspended;
}

auto PoolCore::workerCold(const WorkerId &id, Millis left, MonoTime now) -> void
{
    noteCold(m_evacuation, id, left, now);
}

/// Workers of evacuated domains count apart: they take nothing until the evacuation is revoked.
auto PoolCore::countIdleCapacity() -> void
{
    m_idleCapacity = {};
    m_evacuation.idle = {};
    for (const auto &[id, worker] : m_workers) {
        if (worker.listed) {
            addWorker(isEvacuated(m_evacuation, worker.info.domain) ? m_evacuation.idle : m_idleCapacity, worker.info);
        }
    }
}

/// Stops the attempts in evacuated domains whose start order has not been answered, with their whole gangs. What runs there continues.
auto PoolCore::stopEvacuated() -> void
{
    if (m_evacuation.domains.empty()) {
        return;
    }
    for (auto &[id, worker] : m_workers) {
        if (!isEvacuated(m_evacuation, worker.info.domain)) {
            continue;
        }
        for (auto &[key, it] : worker.allocations) {
            if (it.stopping || !(it.orderOpen || it.startOutcomeUnknown)) {
                continue;
            }
            requestStop(it, StopReason::Evacuated);
            const auto *state = find(key.first.job);
            if (state != nullptr && containsTask(*state, key.first) && taskAt(*state, key.first).attempt == key.second && specOf(*state, key.first).gang) {
                stopStep(*state, key.first.occurrence, key.first.step, StopReason::Evacuated);
            }
        }
    }
}

auto PoolCore::evacuatedUse() const -> std::map<FailureDomainId, DomainUse>
{
    auto out = std::map<FailureDomainId, DomainUse>{};
    for (const auto &it : m_evacuation.domains) {
        out[it] = {};
    }
    for (const auto &[id, worker] : m_workers) {
        if (const auto it = out.find(worker.info.domain); it != out.end()) {
            it->second.workers += worker.listed ? 1 : 0;
            it->second.attempts += static_cast<int>(worker.allocations.size());
        }
    }
    return out;
}

auto PoolCore::logEvacuations() -> void
{
    for (auto &it : takeEvacuationEntries(m_evacuation, evacuatedUse())) {
        m_logEntries.push_back(std::move(it));
    }
}

/// @return whether the step that is being moved runs again: each of its tasks, so that it does not matter which of them were stopped.
auto PoolPlacer::progressOf(const TaskKey &step) const -> MoveProgress
{
    const auto *state = m_core.find(step.job);
    if (state == nullptr || isFinal(state->phase) || !containsTask(*state, step) || !state->job.rules) {
        return MoveProgress::Over;
    }
    auto key = step;
    for (key.index = 0; containsTask(*state, key); ++key.index) {
        const auto &task = taskAt(*state, key);
        const auto worker = m_core.m_workers.find(task.worker);
        const auto isStopping = [&] {
            const auto it = worker->second.allocations.find({key, task.attempt});
            return it != worker->second.allocations.end() && it->second.stopping;
        };
        if (task.phase == TaskPhase::Waiting
            || (task.phase == TaskPhase::Placed && (task.attemptPhase != AttemptPhase::Running || worker == m_core.m_workers.end() || isStopping()))) {
            return MoveProgress::Moving;
        }
    }
    return MoveProgress::Runs;
}

/// @return a group of the step without tasks.
auto PoolPlacer::makeGroup(const TaskKey &step) -> TaskGroup
{
    auto &state = m_core.m_jobs.at(step.job);
    return {.job = &state,
            .queue = &*state.job.rules,
            .occurrence = step.occurrence,
            .step = step.step,
            .guaranteed = m_guaranteedJobs.contains(step.job),
            .since = state.knownSince,
            .readySince = m_now,
            .latestStart = m_now,
            .position = {.time = MonoTime::min()}};
}

/// Follows the open move. Its step goes first in its class, and its room is held while its attempts stop; see holdRoomForMove().
auto PoolPlacer::followMove() -> void
{
    auto &moves = m_core.m_evacuationMoves;
    if (!moves.step) {
        return;
    }
    const auto step = *moves.step;
    const auto beganAt = moves.beganAt;
    const auto result = Catkin::followMove(moves, progressOf(step), m_now);
    if (result == MoveResult::GivenUp) {
        m_core.logDecision("evacuation_moves_paused",
                           "job=" + step.job.str() + " occurrence=" + std::to_string(step.occurrence) + " step=" + std::to_string(step.step)
                               + " waited_ms=" + std::to_string(std::chrono::duration_cast<Millis>(m_now - beganAt).count())
                               + " pause_ms=" + std::to_string(std::chrono::duration_cast<Millis>(moves.pausedUntil - m_now).count()));
    }
    if (result != MoveResult::Open) {
        return;
    }
    m_core.m_overload.noteFirst(step, m_now);
    auto group = makeGroup(step);
    auto stops = false;
    auto key = step;
    for (key.index = 0; containsTask(*group.job, key); ++key.index) {
        const auto &task = taskAt(*group.job, key);
        const auto worker = m_core.m_workers.find(task.worker);
        const auto isStopping = task.phase == TaskPhase::Placed && worker != m_core.m_workers.end() && worker->second.allocations.contains({key, task.attempt})
                                && worker->second.allocations.at({key, task.attempt}).stopping;
        stops = stops || isStopping;
        if (isStopping || spec(group).gang) {
            group.tasks.push_back(key.index);
        }
    }
    if (stops) {
        m_moving = std::move(group);
    }
}

auto PoolPlacer::goesBeforeMove(const TaskGroup &group) const -> bool
{
    return std::pair{group.queue->priority, !group.guaranteed} < std::pair{m_moving->queue->priority, !m_moving->guaranteed};
}

/// Keeps groups of its own class and of less urgent ones from the room of the tasks that still stop. Without room, the step waits like any other.
auto PoolPlacer::holdRoomForMove() -> void
{
    const auto group = std::exchange(m_moving, std::nullopt);
    reserveFreeSoon(*group, spreadOfMove(*group));
}

/// Reports that work of the queue waits.
auto PoolPlacer::noteWaiting(const PoolQueue &queue) -> void
{
    auto &most = m_demand[queue.service].waitingPriority;
    most = std::min(most.value_or(queue.priority), queue.priority);
}

/// Also counts the work that is on its way towards ServiceDemand.
/// @return the long-running steps with attempts in evacuated domains.
auto PoolPlacer::evacuatedSteps() -> std::vector<EvacuatedStep>
{
    auto found = std::map<TaskKey, EvacuatedStep>{};
    for (const auto &slot : m_slots) {
        const auto evacuated = isEvacuated(m_core.m_evacuation, slot.worker->info.domain);
        for (const auto &[key, it] : slot.worker->allocations) {
            const auto *state = m_core.find(key.first.job);
            if (state == nullptr || isFinal(state->phase) || !state->job.rules || !containsTask(*state, key.first)) {
                continue;
            }
            const auto &task = taskAt(*state, key.first);
            const auto &rules = *state->job.rules;
            if (task.phase != TaskPhase::Placed || task.attempt != key.second) {
                continue;
            }
            auto id = key.first;
            id.index = 0;
            if (it.stopping) {
                noteWaiting(rules);
            } else if (specOf(*state, key.first).longRunning) {
                const auto restarts = task.attemptPhase == AttemptPhase::Starting && task.attempt > 1;
                m_demand[rules.service].isRestarting |= restarts || task.attemptPhase == AttemptPhase::Unknown;
                if (evacuated) {
                    found.try_emplace(
                        id, EvacuatedStep{.id = id, .service = rules.service, .priority = rules.priority, .guaranteed = m_guaranteedJobs.contains(id.job)});
                }
            }
        }
    }
    auto out = std::vector<EvacuatedStep>{};
    for (auto &[id, it] : found) {
        out.push_back(std::move(it));
    }
    return out;
}

/// @return what a move of the step stops: its tasks in evacuated domains, or the whole gang. Nothing unless all of them run, on workers that get
/// stop orders.
auto PoolPlacer::collectMove(const TaskKey &step) -> std::optional<TaskGroup>
{
    auto group = makeGroup(step);
    auto key = step;
    for (key.index = 0; containsTask(*group.job, key); ++key.index) {
        const auto &task = taskAt(*group.job, key);
        if (task.phase == TaskPhase::Done) {
            continue;
        }
        const auto worker = m_core.m_workers.find(task.worker);
        if (task.phase != TaskPhase::Placed || worker == m_core.m_workers.end()) {
            return std::nullopt;
        }
        if (!spec(group).gang && !isEvacuated(m_core.m_evacuation, worker->second.info.domain)) {
            continue;
        }
        const auto it = worker->second.allocations.find({key, task.attempt});
        if (it == worker->second.allocations.end() || it->second.stopping || task.attemptPhase != AttemptPhase::Running
            || !PoolCore::getsOrders(worker->second)) {
            return std::nullopt;
        }
        group.tasks.push_back(key.index);
    }
    return group.tasks.empty() ? std::nullopt : std::optional{std::move(group)};
}

/// Urgent work preempts other work for the sake of one rack, which a move must not cause. Less urgent gangs are spread if need be.
auto PoolPlacer::spreadOfMove(const TaskGroup &group) -> Spread
{
    const auto &wanted = spec(group);
    return group.queue->priority == 0 && wanted.sameRack && fitsOneRack(group) ? Spread::OneRack : Spread::Anywhere;
}

/// @return whether the tasks fit on capacity that is free, or that their own gang frees outside the evacuated domains, without the urgent reserve.
/// Reservations do not count: they are those of less urgent groups. Suspect and cold workers are left out: a step that runs can wait for others.
/// A guaranteed step leaves the whole workers that unused guarantees need, as in placeTogether(), which would preempt other work for that.
auto PoolPlacer::fitsElsewhere(const TaskGroup &group) -> bool
{
    const auto &wanted = spec(group);
    const auto addOwn = [&](bool isAdded) {
        auto accelerators = std::int64_t{0};
        for (const auto i : wanted.gang ? group.tasks : std::vector<int>{}) {
            const auto &id = taskAt(*group.job, {.job = group.job->job.id, .occurrence = group.occurrence, .step = group.step, .index = i}).worker;
            const auto slot = std::find_if(m_slots.begin(), m_slots.end(), [&](const Slot &it) { return it.usable && it.worker->info.id == id; });
            for (auto *room : slot == m_slots.end() ? std::vector<Resources *>{} : std::vector{&slot->freeSoon, &slot->idle}) {
                *room += isAdded ? wanted.perTask : Resources{};
                *room -= isAdded ? Resources{} : wanted.perTask;
            }
            accelerators += slot == m_slots.end() ? 0 : wanted.perTask.accelerators;
        }
        return accelerators;
    };
    const auto need = wanted.perTask.accelerators * static_cast<std::int64_t>(group.tasks.size());
    if (group.guaranteed) {
        auto &unused = unusedGuarantees()[group.job->job.workspace];
        unused += need; // once it has been stopped
        m_keepsWholeWorkers = needsWholeWorkers(group);
        unused -= need;
    }
    const auto own = addOwn(true);
    auto found = candidates(group, CapacityKind::Unreserved);
    addOwn(false);
    m_keepsWholeWorkers = false;
    std::erase_if(found, [](const WorkerCandidate &it) { return it.suspect; });
    for (auto &it : found) {
        it.placed = wanted.gang ? 0 : it.placed; // all members stop
    }
    const auto leavesUrgentReserve = group.queue->priority == 0 || m_freeAccelerators + own - need >= m_urgentReserve;
    return leavesUrgentReserve && chooseWorkers(found, wanted, static_cast<int>(group.tasks.size()), spreadOfMove(group));
}

auto PoolPlacer::stopForEvacuation(const TaskGroup &group) -> void
{
    auto loss = 0.0;
    auto stopped = 0;
    for (const auto index : group.tasks) {
        auto key = idOf(group);
        key.index = index;
        const auto &task = taskAt(*group.job, key);
        const auto &worker = m_core.m_workers.at(task.worker);
        loss += m_core.lossOf({key, task.attempt}, worker.allocations.at({key, task.attempt}), m_now);
        stopped += isEvacuated(m_core.m_evacuation, worker.info.domain) ? 1 : 0;
        m_core.stopAttempt(key, task, StopReason::MovedForEvacuation);
    }
    m_core.logDecision("moved_for_evacuation",
                       "job=" + group.job->job.id.str() + " occurrence=" + std::to_string(group.occurrence) + " step=" + std::to_string(group.step)
                           + " tasks=" + std::to_string(group.tasks.size()) + "/" + std::to_string(spec(group).tasks) + " evacuated=" + std::to_string(stopped)
                           + " loss_core_s=" + std::to_string(static_cast<int>(loss)));
}

/// Moves at most one long-running step. After the placement of waiting work, which goes first.
auto PoolPlacer::moveEvacuated() -> void
{
    auto &moves = m_core.m_evacuationMoves;
    if (m_core.m_evacuation.domains.empty() || !mayBeginMove(moves, m_now) || !mayStartMore()) {
        return;
    }
    const auto steps = evacuatedSteps();
    for (const auto &it : stepsToTry(moves, steps, m_demand)) {
        const auto group = collectMove(it.id);
        if (group && fitsElsewhere(*group)) {
            stopForEvacuation(*group);
            beginMove(moves, it.id, m_now);
            return;
        }
    }
}

}

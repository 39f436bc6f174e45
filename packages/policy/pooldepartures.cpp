#include "policy/departure.h"
#include "policy/idlecapacity.h"
#include "policy/poolcore.h"
#include "policy/poolplacement.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>
#include <vector>

/// Attempts on workers that leave: finds those that cannot end there, and requests their stop with their whole gang.

namespace Catkin
{

namespace
{

/// Searches in vain for free capacity in one pass; each one looks at all workers, and a sixth of the workers may leave at once.
constexpr auto maxVainSearches = 32;

/// A task, or a gang under its first task.
struct LeavingUnit
{
    TaskKey key;
    const PoolJobState *job = nullptr;
    int priority = 0;
    MonoTime leavesAt;
};

auto isGang(const LeavingUnit &unit) -> bool
{
    return specOf(*unit.job, unit.key).gang;
}

auto isSameStep(const TaskKey &a, const TaskKey &b) -> bool
{
    return std::tie(a.job, a.occurrence, a.step) == std::tie(b.job, b.occurrence, b.step);
}

}

/// Free capacity of the workers that stay, as one planning pass sees it. Work that is moved takes its share until it has been placed again, so
/// that no two take the same.
class DepartureRoom
{
public:
    explicit DepartureRoom(const PoolCore &core, MonoTime now)
        : m_core(core)
        , m_now(now)
    {
    }

    /// Takes the capacity for the whole unit.
    /// @return false if it is not free, or the pass has searched in vain for long enough
    auto take(const LeavingUnit &unit) -> bool;

private:
    auto takeForMoving() -> void;
    auto find(const LeavingUnit &unit) -> bool;
    auto candidates(const LeavingUnit &unit, std::vector<const PoolCore::Worker *> &workers) const -> std::vector<WorkerCandidate>;

    const PoolCore &m_core;
    MonoTime m_now;
    std::map<WorkerId, Resources> m_taken;
    int m_vainSearches = 0;
    bool m_hasTakenForMoving = false;
};

/// Takes the capacity of what earlier passes have stopped and no pass has placed again.
auto DepartureRoom::takeForMoving() -> void
{
    auto moving = std::map<TaskKey, LeavingUnit>{};
    for (const auto &[id, worker] : m_core.m_workers) {
        for (const auto &[key, it] : worker.allocations) {
            const auto moves = it.stopReason == StopReason::WorkerLeaving || it.stopReason == StopReason::MovedForEvacuation;
            const auto *state = it.stopping && moves ? m_core.find(key.first.job) : nullptr;
            if (state != nullptr && !isFinal(state->phase) && containsTask(*state, key.first)) {
                auto unit = LeavingUnit{.key = key.first, .job = state};
                unit.key.index = isGang(unit) ? 0 : unit.key.index;
                moving.try_emplace(unit.key, unit);
            }
        }
    }
    for (const auto &[key, unit] : moving) {
        find(unit);
    }
    m_vainSearches = 0;
}

auto DepartureRoom::candidates(const LeavingUnit &unit, std::vector<const PoolCore::Worker *> &workers) const -> std::vector<WorkerCandidate>
{
    const auto &wanted = specOf(*unit.job, unit.key);
    auto out = std::vector<WorkerCandidate>{};
    for (const auto &[id, worker] : m_core.m_workers) {
        const auto &info = worker.info;
        if (!worker.listed || !PoolCore::isAnswering(worker) || info.draining || m_core.isWithheld(id) || !takesStarts(m_core.m_evacuation, info.domain)
            || m_now < worker.suspectUntil || info.service != unit.job->job.rules->service || !hasLabel(info.labels, wanted)) {
            continue;
        }
        auto candidate = WorkerCandidate{.worker = workers.size(), .rack = info.rack, .available = info.capacity};
        candidate.available -= worker.used;
        if (const auto taken = m_taken.find(id); taken != m_taken.end()) {
            candidate.available -= taken->second;
        }
        if (wanted.gang || wanted.maxPerWorker > 0) {
            for (const auto &[key, it] : worker.allocations) {
                if (!isSameStep(key.first, unit.key)) {
                    continue;
                }
                if (wanted.gang) {
                    candidate.available += it.resources; // it stops with the others
                } else {
                    ++candidate.placed;
                }
            }
        }
        if (copiesThatFit(wanted.perTask, candidate.available, 1) > 0) {
            workers.push_back(&worker);
            out.push_back(std::move(candidate));
        }
    }
    return out;
}

auto DepartureRoom::take(const LeavingUnit &unit) -> bool
{
    if (!std::exchange(m_hasTakenForMoving, true)) {
        takeForMoving();
    }
    return find(unit);
}

auto DepartureRoom::find(const LeavingUnit &unit) -> bool
{
    if (m_vainSearches >= maxVainSearches || !unit.job->job.rules) {
        return false;
    }
    const auto &wanted = specOf(*unit.job, unit.key);
    auto workers = std::vector<const PoolCore::Worker *>{};
    const auto all = candidates(unit, workers);
    const auto chosen = chooseWorkers(all, wanted, wanted.gang ? wanted.tasks : 1, wanted.gang && wanted.sameRack ? Spread::OneRack : Spread::Anywhere);
    if (!chosen) {
        ++m_vainSearches;
        return false;
    }
    for (const auto it : *chosen) {
        m_taken[workers[all[it].worker]->info.id] += wanted.perTask;
    }
    return true;
}

auto PoolCore::noteDeparture(Worker &worker, MonoTime now) -> void
{
    const auto &info = worker.info;
    if (!info.draining || (worker.notice && worker.notice->born != worker.listedBorn)) {
        worker.notice.reset();
    }
    // Entries are handed over again whenever another one has changed.
    const auto isKnown = worker.notice && info.remaining && worker.notice->remaining == *info.remaining && worker.notice->writtenClock == info.clock;
    if (!info.draining || !info.remaining || isKnown) {
        return;
    }
    if (!worker.notice) {
        logDecision("worker_leaving",
                    "worker=" + info.id.str() + " remaining_ms=" + std::to_string(info.remaining->count())
                        + " attempts=" + std::to_string(worker.allocations.size()));
    }
    worker.notice = DepartureNotice{.born = worker.listedBorn, .remaining = *info.remaining, .writtenClock = info.clock, .readAt = now};
}

auto PoolCore::departureOf(const Worker &worker) -> MonoTime
{
    const auto isClockOfLifetime = worker.answered && worker.info.born == worker.notice->born;
    return leavesAt(*worker.notice, isClockOfLifetime ? worker.clock : WorkerTime{}, worker.clockAt);
}

/// @return the remaining time of an attempt. The members of a gang progress together, so that the one with the most progress tells for all.
auto PoolCore::remainingOf(const PoolJobState &state, const TaskKey &key, MonoTime now) const -> RemainingTime
{
    const auto &spec = specOf(state, key);
    auto progress = AttemptProgress{.estimate = spec.estimate, .since = now};
    const auto &tasks = state.occurrences[static_cast<std::size_t>(key.occurrence)].steps[static_cast<std::size_t>(key.step)].tasks;
    const auto first = spec.gang ? 0 : key.index;
    const auto end = spec.gang ? static_cast<int>(tasks.size()) : key.index + 1;
    auto gained = -1;
    for (auto i = first; i < end; ++i) {
        const auto &task = tasks[static_cast<std::size_t>(i)];
        const auto member = TaskKey{.job = key.job, .occurrence = key.occurrence, .step = key.step, .index = i};
        const auto worker = m_workers.find(task.worker);
        if (worker == m_workers.end() || !worker->second.allocations.contains({member, task.attempt})) {
            continue;
        }
        progress.since = std::min(progress.since, worker->second.allocations.at({member, task.attempt}).placedAt);
        progress.resumed = progress.resumed || task.attemptPhase == AttemptPhase::Unknown || !task.checkpoint.empty();
        const auto own = task.basePercent < 0 || task.percent < 0 ? -1 : task.percent - task.basePercent;
        if (own > gained) {
            gained = own;
            progress.basePercent = task.basePercent;
            progress.baseAt = task.baseAt;
            progress.percent = task.percent;
            // Later lists of the worker have shown the same progress.
            progress.percentAt = std::max(task.progressAt, worker->second.answeredAt);
        }
    }
    return remainingTime(progress, now);
}

/// Requests the stop of attempts that would be cut off when their workers leave. After the placement of waiting work, so that only capacity that
/// no waiting work takes counts as room.
/// @param mayMove whether work may be stopped because there is room for it elsewhere
auto PoolCore::stopLeaving(MonoTime now, bool mayMove) -> void
{
    auto found = std::map<TaskKey, LeavingUnit>{};
    for (const auto &[id, worker] : m_workers) {
        if (!worker.notice || !getsOrders(worker)) {
            continue;
        }
        for (const auto &[key, it] : worker.allocations) {
            const auto state = m_jobs.find(key.first.job);
            if (state == m_jobs.end() || !isWanted(worker, key, it) || taskAt(state->second, key.first).phase != TaskPhase::Placed) {
                continue;
            }
            auto unit = LeavingUnit{.key = key.first, .job = &state->second, .priority = it.priority, .leavesAt = departureOf(worker)};
            unit.key.index = isGang(unit) ? 0 : unit.key.index;
            auto &known = found.try_emplace(unit.key, unit).first->second;
            known.leavesAt = std::min(known.leavesAt, unit.leavesAt);
        }
    }
    auto units = std::vector<LeavingUnit>{};
    for (auto &[key, unit] : found) {
        units.push_back(std::move(unit));
    }
    std::stable_sort(
        units.begin(), units.end(), [](const auto &a, const auto &b) { return std::tie(a.priority, a.leavesAt) < std::tie(b.priority, b.leavesAt); });
    auto room = DepartureRoom{*this, now};
    for (const auto &unit : units) {
        const auto &spec = specOf(*unit.job, unit.key);
        auto leaving = LeavingAttempt{.leavesAt = unit.leavesAt,
                                      .remaining = remainingOf(*unit.job, unit.key, now),
                                      .priority = unit.priority,
                                      .checkpointing = spec.checkpointing,
                                      .longRunning = spec.longRunning,
                                      .stopGrace = m_options.stopGrace};
        auto stops = isDue(departureDecision(leaving, now), now);
        if (!stops && mayMove) {
            leaving.hasRoom = true;
            stops = isDue(departureDecision(leaving, now), now) && room.take(unit);
        }
        if (stops && spec.gang) {
            stopStep(*unit.job, unit.key.occurrence, unit.key.step, StopReason::WorkerLeaving);
        } else if (stops) {
            stopAttempt(unit.key, taskAt(*unit.job, unit.key), StopReason::WorkerLeaving);
        }
    }
}

}

#include "policy/poolplacer.h"
#include "policy/shapeguarantee.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

/// Placement of guaranteed work so that guarantees hold for tasks of several accelerators; see shapeguarantee.h.

namespace Catkin
{

namespace
{

/// How long a guaranteed group may wait for room beside other guaranteed work while other workers would do. A worker stops a task within 0.9 s
/// unless it has failed; the guarantee has to be reclaimed within 3.4 s.
constexpr auto togetherLimit = Millis{1'000};
/// Groups of a pass for which guaranteed work that could move is looked for; each costs a look at all attempts.
constexpr auto maxMoveSearches = 8;

}

/// @return whether the worker could take a guaranteed task of any size: it has the most accelerators, and no guaranteed work.
auto PoolPlacer::isWhole(const Slot &slot, const ServiceId &service) const -> bool
{
    return slot.usable && slot.guaranteed == 0 && slot.worker->info.service == service && slot.worker->info.capacity.accelerators == m_wholeWorker.at(service);
}

/// @return the accelerators of each guarantee that no work uses, as of the beginning of the pass and what it has started since.
auto PoolPlacer::unusedGuarantees() -> std::map<WorkspaceId, std::int64_t> &
{
    if (!m_unusedGuarantees) {
        m_unusedGuarantees = m_core.m_rules.guaranteedAccelerators;
        for (const auto &slot : m_slots) {
            for (const auto &[key, it] : slot.worker->allocations) {
                if (it.priority == 0 && !it.stopping && m_guaranteedJobs.contains(key.first.job)) {
                    (*m_unusedGuarantees)[m_core.m_jobs.at(key.first.job).job.workspace] -= it.resources.accelerators;
                }
            }
        }
    }
    return *m_unusedGuarantees;
}

/// @return whether unused guarantees need the whole workers that are left once the group has taken some.
auto PoolPlacer::needsWholeWorkers(const TaskGroup &group) -> bool
{
    const auto &service = group.queue->service;
    const auto whole = std::count_if(m_slots.begin(), m_slots.end(), [&](const Slot &it) { return isWhole(it, service); });
    const auto demand = spec(group).perTask.accelerators * static_cast<std::int64_t>(group.tasks.size());
    auto left = std::vector<std::int64_t>{};
    for (const auto &[workspace, accelerators] : unusedGuarantees()) {
        left.push_back(accelerators - (workspace == group.job->job.workspace ? demand : 0));
    }
    const auto perWorker = std::max<std::int64_t>(m_wholeWorker[service], 1);
    const auto taken = std::max<std::int64_t>((demand + perWorker - 1) / perWorker, 1);
    return whole - taken < wholeWorkersNeeded(left, perWorker);
}

/// Places a guaranteed group beside other guaranteed work, where it may preempt other work if it lasts.
/// @return whether the group was placed, or capacity is being freed for it
auto PoolPlacer::placeTogether(TaskGroup &group, Spread spread, PoolEffects &effects) -> bool
{
    if (!group.guaranteed || m_now - group.readySince >= togetherLimit || static_cast<int>(group.tasks.size()) > startsLeft(group)
        || !needsWholeWorkers(group)) {
        return false;
    }
    m_keepsWholeWorkers = true;
    auto done = false;
    for (const auto kind : {CapacityKind::Free, CapacityKind::FreeSoon, CapacityKind::Preemptible}) {
        // Work that ends by itself uses a worker for a short time: preempting other work would cost more than moving this when a task needs it.
        if (kind != CapacityKind::Free && !spec(group).longRunning) {
            break;
        }
        const auto found = candidates(group, kind);
        const auto chosen = chooseWorkers(found, spec(group), static_cast<int>(group.tasks.size()), spread);
        if (!chosen) {
            continue;
        }
        if (kind == CapacityKind::Free) {
            startSome(group, found, *chosen, effects);
        } else {
            std::erase_if(m_ruledOut, [](const RuledOut &it) { return it.kind == CapacityKind::FreeSoon; });
            for (const auto it : *chosen) {
                auto &slot = m_slots[found[it].worker];
                if (kind == CapacityKind::Preemptible) {
                    preemptOn(group, slot, spec(group).perTask);
                }
                reserveOn(slot, spec(group).perTask);
            }
            noteFilling(group);
        }
        done = true;
        break;
    }
    m_keepsWholeWorkers = false;
    failedSearches(group) += done ? 0 : 1;
    return done;
}

auto PoolPlacer::canRunOn(const Slot &slot, const PoolJobState &state, int step) const -> bool
{
    const auto &wanted = state.job.steps[static_cast<std::size_t>(step)];
    if (!slot.usable || !state.job.rules || slot.worker->info.service != state.job.rules->service || !hasLabel(slot.worker->info.labels, wanted)) {
        return false;
    }
    const auto placed = std::count_if(slot.worker->allocations.begin(), slot.worker->allocations.end(), [&](const auto &it) {
        return it.first.first.job == state.job.id && it.first.first.step == step;
    });
    return wanted.maxPerWorker == 0 || placed < wanted.maxPerWorker;
}

auto PoolPlacer::stopForMove(const TaskGroup &group, const PoolCore::AttemptKey &key, double loss) -> void
{
    const auto &task = key.first;
    const auto &state = m_core.m_jobs.at(task.job);
    const auto &wanted = state.job.steps[static_cast<std::size_t>(task.step)];
    const auto &tasks = state.occurrences[static_cast<std::size_t>(task.occurrence)].steps[static_cast<std::size_t>(task.step)].tasks;
    m_core.logDecision("moved_for_shape",
                       "job=" + task.job.str() + " step=" + std::to_string(task.step) + " task=" + std::to_string(task.index)
                           + " tasks=" + std::to_string(wanted.gang ? wanted.tasks : 1) + " for_job=" + group.job->job.id.str()
                           + " loss_core_s=" + std::to_string(static_cast<int>(loss)));
    for (auto i = wanted.gang ? 0 : task.index; i < (wanted.gang ? wanted.tasks : task.index + 1); ++i) {
        const auto &it = tasks[static_cast<std::size_t>(i)];
        addFreeSoon(it.worker, {{.job = task.job, .occurrence = task.occurrence, .step = task.step, .index = i}, it.attempt});
    }
    if (wanted.gang) {
        m_core.stopStep(state, task.occurrence, task.step, StopReason::MovedForShape);
    } else {
        m_core.stopAttempt(task, tasks[static_cast<std::size_t>(task.index)], StopReason::MovedForShape);
    }
}

/// Makes room for a guaranteed group by moving guaranteed work that starts again elsewhere; at most once in a pass.
auto PoolPlacer::moveForShape(const TaskGroup &group) -> bool
{
    if (!group.guaranteed || m_movedForShape || ++m_moveSearches > maxMoveSearches) {
        return false;
    }
    const auto &wanted = spec(group);
    auto workers = std::vector<ShapeWorker>{};
    auto need = ShapeNeed{.perTask = wanted.perTask, .tasks = static_cast<int>(group.tasks.size()), .maxPerWorker = wanted.maxPerWorker};
    auto parts = std::map<TaskKey, ShapeUnit>{};
    auto keys = std::map<TaskKey, PoolCore::AttemptKey>{};
    for (auto i = std::size_t{0}; i < m_slots.size(); ++i) {
        const auto &slot = m_slots[i];
        auto room = slot.freeSoon;
        for (const auto &it : attemptsOn(slot)) {
            if (mayPreempt(group, it)) {
                room += it.allocation->resources;
            } else if (it.guaranteed && !it.allocation->stopping && it.key->first.job != group.job->job.id) {
                auto id = it.key->first;
                id.index = specOf(m_core.m_jobs.at(id.job), id).gang ? 0 : id.index;
                auto &unit = parts[id];
                unit.loss = std::max(unit.loss, it.loss);
                unit.parts.push_back({.worker = i, .resources = it.allocation->resources});
                keys.try_emplace(id, *it.key);
            }
        }
        workers.push_back({.room = room});
        need.allowed.push_back(canRunOn(slot, *group.job, group.step));
    }
    auto units = std::vector<ShapeUnit>{};
    auto ids = std::vector<TaskKey>{};
    for (auto &[id, unit] : parts) {
        for (const auto &slot : m_slots) {
            unit.allowed.push_back(canRunOn(slot, m_core.m_jobs.at(id.job), id.step));
        }
        units.push_back(std::move(unit));
        ids.push_back(id);
    }
    const auto move = chooseMove(workers, units, need);
    if (!move) {
        return false;
    }
    m_movedForShape = true;
    for (const auto it : move->units) {
        stopForMove(group, keys.at(ids[it]), units[it].loss);
    }
    std::erase_if(m_ruledOut, [](const RuledOut &it) { return it.kind == CapacityKind::FreeSoon; });
    for (const auto it : move->workers) {
        preemptOn(group, m_slots[it], wanted.perTask);
        reserveOn(m_slots[it], wanted.perTask);
    }
    m_core.m_overload.noteFirst(idOf(group), m_now);
    return true;
}

}

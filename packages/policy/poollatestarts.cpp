#include "policy/poolplacer.h"

#include <algorithm>
#include <chrono>
#include <utility>

/// Placement of tasks of which an earlier attempt may still be started, because its start order was not answered.
///
/// The worker of that attempt refuses the order in its present lifetime, in which the stop was answered or the end was listed. A later lifetime does not,
/// until a call with a higher token has reached it (callfence.h). So such a task is placed on the same worker again: a lifetime that could carry the order
/// out has ended the present attempt. It is placed elsewhere
/// - when the order cannot arrive any more,
/// - when another worker is at the address of the worker, which refuses the order, see poolsuccessors.cpp,
/// - while the worker answers and has no room, or has answered no try of the start order, so that another one would hardly be answered, or
/// - not at all while the worker does not answer: a lifetime may have begun that no call has reached.
///
/// For the same reason the end of such a task is not acknowledged before its start orders cannot arrive any more.

namespace Catkin
{

/// @param task that waits
auto PoolCore::placeOf(const TaskKey &key, const TaskState &task, MonoTime now) const -> TaskPlace
{
    if (now >= task.startsArriveUntil || hasSuccessor(task.worker)) {
        return TaskPlace::Any;
    }
    const auto worker = m_workers.find(task.worker);
    if (worker == m_workers.end() || !worker->second.listed || !isAnswering(worker->second) || isReborn(worker->second)) {
        return TaskPlace::None;
    }
    // A new lifetime has not yet answered the stop order for the earlier attempt.
    const auto &allocations = worker->second.allocations;
    const auto own = allocations.lower_bound({key, 0});
    if (own != allocations.end() && own->first.first == key) {
        return TaskPlace::None;
    }
    return task.isStartUnanswered ? TaskPlace::Any : TaskPlace::Same;
}

/// Notes that a try of the start order of an attempt may be carried out after the attempt has been released.
auto PoolCore::noteReleasedStart(const Worker &worker, const AttemptKey &key, MonoTime until) -> void
{
    auto *task = findTask(key.first);
    if (task != nullptr && task->worker == worker.info.id) {
        task->startsArriveUntil = std::max(task->startsArriveUntil, until);
    }
}

/// Takes over, with the record of a task, that an earlier planner's start order for it may still be carried out on its worker.
auto PoolCore::adoptReleasedStart(const TaskKey &key, TaskState &task) -> void
{
    const auto late = m_adoptedLateStarts.find(task.worker);
    if (late == m_adoptedLateStarts.end()) {
        return;
    }
    task.startsArriveUntil = late->second;
    if (task.phase == TaskPhase::Waiting) {
        auto &worker = m_workers[task.worker];
        worker.info.id = task.worker;
        worker.releasedStarts[{key, task.attempt}] = late->second;
        worker.unansweredGrantAt = std::max(worker.unansweredGrantAt, late->second - lateCallLimit);
        watchUntil(worker, late->second);
    }
}

/// @return until when a start order of the task, or of another member of its gang, may still be carried out.
auto PoolCore::lateStartsEnd(const PoolJobState &state, const TaskKey &key) const -> MonoTime
{
    auto end = MonoTime{};
    const auto &tasks = state.occurrences[static_cast<std::size_t>(key.occurrence)].steps[static_cast<std::size_t>(key.step)].tasks;
    const auto isGang = specOf(state, key).gang;
    for (auto i = isGang ? 0 : key.index; i < (isGang ? static_cast<int>(tasks.size()) : key.index + 1); ++i) {
        const auto &task = tasks[static_cast<std::size_t>(i)];
        end = std::max(end, task.startsArriveUntil);
        if (task.attempt > 1) {
            end = std::max(end, m_earlierStartsEnd); // the record does not name the workers of the attempts before the last one
        }
        auto member = key;
        member.index = i;
        if (const auto worker = m_workers.find(task.worker); worker != m_workers.end()) {
            const auto it = worker->second.allocations.find({member, task.attempt});
            end = it == worker->second.allocations.end() ? end : std::max(end, it->second.startArrivesUntil);
        }
    }
    return end;
}

/// Holds the acknowledgement of an end back for as long as a start order of its task may still be carried out: an end that has not been acknowledged is
/// lost with the lifetime that lists it, and a later lifetime may begin the task again.
auto PoolCore::holdEnd(Worker &worker, const AttemptCompletion &completion, MonoTime now) -> void
{
    const auto *state = find(completion.task.job);
    if (state == nullptr || !containsTask(*state, completion.task) || (completion.kind != CompletionKind::Done && state->phase != PoolJobPhase::Failed)) {
        return;
    }
    const auto until = lateStartsEnd(*state, completion.task);
    if (until <= now) {
        return;
    }
    if (worker.heldEnds.empty()) {
        logDecision("ends_held",
                    "worker=" + worker.info.id.str() + " number=" + std::to_string(completion.number) + " "
                        + describeAttempt(completion.task, completion.attempt) + " left_ms=" + std::to_string(std::chrono::ceil<Millis>(until - now).count()));
    }
    worker.heldEnds[completion.number] = until;
}

/// @return the highest number up to which the ends of the worker can be acknowledged.
auto PoolCore::acknowledgeable(const Worker &worker, MonoTime now) -> std::int64_t
{
    const auto held = std::find_if(worker.heldEnds.begin(), worker.heldEnds.end(), [&](const auto &it) { return it.second > now; });
    return held == worker.heldEnds.end() ? worker.recordedCompletions : std::min(worker.recordedCompletions, held->first - 1);
}

/// Takes the tasks out of a group that can only be placed on the worker that they were on, and those that cannot be placed.
/// @param group of all waiting tasks of a step; a gang keeps them all, and is left without tasks if one cannot be placed
auto PoolPlacer::separateLateStarts(TaskGroup &group) -> void
{
    const auto isGang = spec(group).gang;
    const auto &tasks = stepOf(group).tasks;
    auto others = std::vector<int>{};
    auto inPlace = std::map<WorkerId, std::vector<int>>{};
    for (const auto i : group.tasks) {
        auto key = idOf(group);
        key.index = i;
        const auto &task = tasks[static_cast<std::size_t>(i)];
        const auto place = m_core.placeOf(key, task, m_now);
        if (place == PoolCore::TaskPlace::None && isGang) {
            group.tasks.clear();
            return;
        }
        if (place == PoolCore::TaskPlace::Same) {
            inPlace[task.worker].push_back(i);
        } else if (place == PoolCore::TaskPlace::Any) {
            others.push_back(i);
        }
    }
    if (isGang) {
        group.inPlace = std::move(inPlace);
        return;
    }
    for (auto &[worker, own] : inPlace) {
        auto part = group;
        part.tasks = own;
        part.inPlace = {{worker, std::move(own)}};
        m_groups.push_back(std::move(part));
    }
    group.tasks = std::move(others);
}

/// Places the tasks of a group that have to stay on their workers there, and the other members of a gang beside them.
/// @return whether the group was placed; otherwise its tasks may be placed anywhere
auto PoolPlacer::placeInPlace(TaskGroup &group, Spread spread, PoolEffects &effects) -> bool
{
    const auto &wanted = spec(group);
    auto found = candidates(group, CapacityKind::Free);
    auto tasks = std::vector<int>{};
    auto slots = std::vector<std::size_t>{};
    auto others = group.tasks;
    auto racks = std::set<std::string>{};
    for (const auto &part : group.inPlace) {
        const auto &worker = part.first;
        const auto &own = part.second;
        const auto n = static_cast<int>(own.size());
        const auto it
            = std::find_if(found.begin(), found.end(), [&](const WorkerCandidate &candidate) { return m_slots[candidate.worker].worker->info.id == worker; });
        const auto hasRoom
            = it != found.end() && copiesThatFit(wanted.perTask, it->available, n) == n && (wanted.maxPerWorker == 0 || it->placed + n <= wanted.maxPerWorker);
        if (!hasRoom) {
            return false;
        }
        for (auto i = 0; i < n; ++i) {
            it->available -= wanted.perTask;
        }
        it->placed += n;
        racks.insert(it->rack);
        tasks.insert(tasks.end(), own.begin(), own.end());
        slots.insert(slots.end(), own.size(), it->worker);
        std::erase_if(others, [&](int task) { return std::find(own.begin(), own.end(), task) != own.end(); });
    }
    if (spread == Spread::OneRack) {
        std::erase_if(found, [&](const WorkerCandidate &it) { return !racks.contains(it.rack); });
    }
    const auto chosen = chooseWorkers(found, wanted, static_cast<int>(others.size()), spread);
    if (!chosen || (spread == Spread::OneRack && racks.size() > 1)) {
        return false;
    }
    tasks.insert(tasks.end(), others.begin(), others.end());
    for (const auto it : *chosen) {
        slots.push_back(found[it].worker);
    }
    start(group, tasks, slots, effects);
    group.tasks.clear();
    return true;
}

}

#include "policy/poolplacer.h"

#include <algorithm>

/// Learns from the lists of workers, and prefers workers by what has been learned where several are of equal rank.

namespace Catkin
{

namespace
{

/// Lines about pairs of kinds in one planning pass.
constexpr auto maxPairLines = std::size_t{16};
/// Capacity is scarce when more than this many quarters of the accelerators of a service are in use.
constexpr auto scarceQuarters = 3;
constexpr auto quarters = 4;

}

/// @return whether an attempt runs where its step prefers to: away from its data, or spread over racks, it is slower whatever runs beside it.
auto PoolCore::isComparable(const Worker &worker, const PoolJobState &state, const TaskKey &key) const -> bool
{
    const auto &spec = specOf(state, key);
    if (!spec.dataRack.empty() && spec.dataRack != worker.info.rack) {
        return false;
    }
    if (!spec.gang || !spec.sameRack) {
        return true;
    }
    const auto &tasks = state.occurrences[static_cast<std::size_t>(key.occurrence)].steps[static_cast<std::size_t>(key.step)].tasks;
    return std::all_of(tasks.begin(), tasks.end(), [&](const TaskState &it) {
        const auto other = m_workers.find(it.worker);
        return other != m_workers.end() && other->second.info.rack == worker.info.rack;
    });
}

auto PoolCore::recountKinds(Worker &worker) -> void
{
    worker.kinds = {};
    for (auto &[key, it] : worker.allocations) {
        if (it.trace.generation != m_learning.interference.generation) {
            const auto job = m_jobs.find(key.first.job);
            if (job == m_jobs.end() || !containsTask(job->second, key.first)) {
                continue;
            }
            followKind(m_learning, it.trace, job->second.job, specOf(job->second, key.first));
        }
        addKind(worker.kinds, it.trace.kind);
    }
}

auto PoolCore::observeTasks(Worker &worker, const WorkerPollReply &reply, MonoTime now) -> void
{
    m_learning.now = now;
    recountKinds(worker);
    const auto passed = reply.clock - worker.observedClock;
    if (passed.value >= 0 && passed.value < observationPeriod.count()) {
        return;
    }
    worker.observedClock = reply.clock;
    for (const auto &it : reply.running) {
        const auto allocation = worker.allocations.find({it.task, it.attempt});
        if (allocation == worker.allocations.end() || allocation->second.stopping || allocation->second.trace.kind == noKind) {
            continue;
        }
        const auto job = m_jobs.find(it.task.job);
        if (job == m_jobs.end() || !containsTask(job->second, it.task)) {
            continue;
        }
        auto &trace = allocation->second.trace;
        if (!trace.comparable) {
            trace.comparable = isComparable(worker, job->second, it.task);
        }
        if (*trace.comparable) {
            learnFrom(m_learning,
                      {.worker = worker.info.id,
                       .job = job->second.job,
                       .step = specOf(job->second, it.task),
                       .trace = trace,
                       .row = {.clock = reply.clock, .percent = it.percent, .load = it.load, .present = othersOf(worker.kinds, trace.kind)}},
                      now);
        }
    }
}

auto PoolCore::reviewObservations(MonoTime now) -> void
{
    const auto changes = reviewLearning(m_learning, now);
    for (auto i = std::size_t{0}; i < std::min(changes.size(), maxPairLines); ++i) {
        logDecision("interference", describeChange(changes[i]));
    }
}

/// @return whether more than three quarters of the accelerators of a service are in use; without any, always.
auto PoolPlacer::isScarce(const ServiceId &service) const -> bool
{
    auto all = std::int64_t{0};
    auto used = std::int64_t{0};
    for (const auto &it : m_slots) {
        if (it.usable && it.worker->info.service == service) {
            all += it.worker->info.capacity.accelerators;
            used += it.worker->used.accelerators;
        }
    }
    return all == 0 || used * quarters > all * scarceQuarters;
}

/// Marks workers on which the group would slow others down or be slowed down. Guaranteed work is only kept from slow workers: it is packed
/// closely, so that its guarantee holds for large shapes as well.
auto PoolPlacer::markAvoided(const TaskGroup &group, std::vector<WorkerCandidate> &found) const -> void
{
    if (!m_core.m_options.usesLearning) {
        return;
    }
    const auto &learning = m_core.m_learning;
    const auto isUrgent = group.queue->priority == 0 && !learning.speeds.slow.empty();
    const auto avoided = learning.interference.certainPairs == 0 || group.guaranteed
                             ? KindMask{0}
                             : kindsToAvoid(learning.interference, findSlot(learning.interference, kindOf(group.job->job, spec(group))));
    if (!isUrgent && avoided == 0) {
        return;
    }
    auto most = 0;
    for (auto &it : found) {
        const auto &worker = *m_slots[it.worker].worker;
        it.avoid = ((worker.kinds.once & avoided) != 0 ? 1 : 0) + (isUrgent && learning.speeds.slow.contains(worker.info.id) ? 1 : 0);
        most = std::max(most, it.avoid);
    }
    if (most == 0 || !(group.guaranteed || isScarce(group.queue->service))) {
        return;
    }
    for (auto &it : found) {
        if (m_slots[it.worker].worker->used == Resources{}) {
            it.avoid = most; // best fit decides, which leaves whole workers free
        }
    }
}

}

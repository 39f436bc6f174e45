#include "policy/schedulerstate.h"

#include <algorithm>

namespace Catkin
{

Scheduler::Scheduler(const SchedulerOptions &options)
    : m_state(std::make_unique<State>(options))
{
}

Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler &&) noexcept = default;
auto Scheduler::operator=(Scheduler &&) noexcept -> Scheduler & = default;

auto Scheduler::State::indexOf(const WorkspaceId &workspace) -> int
{
    const auto [it, added] = workspaceIndex.emplace(workspace, static_cast<int>(workspaces.size()));
    if (added) {
        workspaces.emplace_back();
        workspaces.back().rule.name = workspace;
    }
    return it->second;
}

auto Scheduler::State::toGangRequest(const ScheduledJob &spec, int workspace) const -> GangRequest
{
    return {.workspace = workspace,
            .tasks = spec.tasks,
            .slotsPerTask = spec.slotsPerTask,
            .adjacency = spec.adjacency,
            .urgency = spec.urgency,
            .reclaimable = spec.reclaimable(),
            .movable = spec.checkpointable};
}

auto Scheduler::State::unschedulableReason(const ScheduledJob &spec, int workspace) -> std::optional<std::string>
{
    const auto &quota = workspaces[workspace].rule.quotaSlots;
    if (quota && spec.slots() > *quota) {
        return "the job needs " + std::to_string(spec.slots()) + " slots, and the workspace's quota is " + std::to_string(*quota);
    }
    if (reportedUsable.empty()) {
        return std::nullopt;
    }
    return unplaceableReason(emptyTopology, toGangRequest(spec, workspace));
}

auto Scheduler::State::account(int allocation, int sign) -> void
{
    const auto &entry = topology.allocation(allocation);
    auto &workspace = workspaces[entry.workspace];
    // The blocks of lost workers count too, so that the amount subtracted at the end equals the amount added at the start.
    auto slots = 0;
    for (const auto &block : entry.blocks) {
        slots += std::popcount(block.mask);
    }
    workspace.held += sign * slots;
    workspace.borrowed += entry.hold == Hold::Covered ? 0 : sign * slots;
    workspace.urgent += entry.urgency == Urgency::Urgent ? sign * slots : 0;
}

auto Scheduler::State::recount() -> void
{
    for (auto &workspace : workspaces) {
        workspace.held = 0;
        workspace.borrowed = 0;
        workspace.urgent = 0;
    }
    for (const auto &[id, job] : running) {
        account(job.allocation, 1);
    }
}

auto Scheduler::State::releaseJob(const JobId &id, MonoTime now) -> RunningJob
{
    auto node = running.extract(id);
    auto job = std::move(node.mapped());
    account(job.allocation, -1);
    const auto wasCovered = topology.allocation(job.allocation).hold == Hold::Covered;
    workspaces[job.workspace].recheckBorrowers = workspaces[job.workspace].recheckBorrowers || wasCovered;
    topology.release(job.allocation);
    std::erase(placed, id);
    queue.changeHeldSlots(job.workspace, job.spec, -job.spec.slots(), now);
    dirty = true;
    return job;
}

auto Scheduler::State::requeue(const RunningJob &job) -> void
{
    queue.add({.spec = job.spec, .workspace = job.workspace, .since = job.since, .sequence = job.sequence, .avoid = quarantine.failedOn(job.spec.job)});
    fleetChanged = fleetChanged || !unschedulable.empty();
    dirty = true;
}

auto Scheduler::State::setUsable(const WorkerId &worker) -> void
{
    const auto index = topology.workerIndex(worker);
    if (!index) {
        return;
    }
    auto info = topology.workers()[*index].info;
    info.usable = reportedUsable[worker] && !quarantine.contains(worker);
    topology.updateWorker(info);
    dirty = true;
}

auto Scheduler::State::dropReservation(const JobId &job) -> void
{
    if (std::erase_if(reservations, [&](const auto &reservation) { return reservation.job == job; }) > 0) {
        dirty = true;
    }
}

auto Scheduler::configure(const SchedulerConfig &config) -> void
{
    auto &state = *m_state;
    for (auto &workspace : state.workspaces) {
        // A workspace missing from the new configuration keeps its running jobs, without a guarantee or a quota.
        workspace.rule = {.name = workspace.rule.name};
    }
    state.totalWeight = 0;
    for (const auto &rule : config.workspaces) {
        auto &workspace = state.workspaces[state.indexOf(rule.name)];
        workspace.rule = rule;
        workspace.rule.weight = std::max(1, rule.weight);
        state.totalWeight += workspace.rule.weight;
    }
    state.totalWeight = std::max(1, state.totalWeight);
    for (auto i = 0; i < static_cast<int>(state.workspaces.size()); ++i) {
        auto &workspace = state.workspaces[i];
        workspace.guaranteed = 0;
        for (const auto &guarantee : workspace.rule.guarantees) {
            workspace.guaranteed += guarantee.slots * guarantee.count;
        }
        workspace.recheckBorrowers = workspace.guaranteed > 0;
        state.topology.setGuarantees(i, workspace.rule.guarantees);
        state.emptyTopology.setGuarantees(i, workspace.rule.guarantees);
    }
    state.recount();
    state.dirty = true;
    state.fleetChanged = true;
}

auto Scheduler::updateWorker(const WorkerInfo &worker, MonoTime /*now*/) -> Result<void>
{
    if (worker.slots < 1 || worker.slots > maxWorkerSlots || !std::has_single_bit(static_cast<unsigned>(worker.slots))) {
        return failure(ErrorCode::InvalidInput,
                       "worker " + worker.worker.str() + " has " + std::to_string(worker.slots) + " slots, not a power of two up to 32");
    }
    auto &state = *m_state;
    const auto known = state.topology.workerIndex(worker.worker);
    auto effective = worker;
    effective.usable = worker.usable && !state.quarantine.contains(worker.worker);
    if (known) {
        const auto &old = state.topology.workers()[*known].info;
        if (old.rack == worker.rack && old.slots == worker.slots && old.usable == effective.usable) {
            state.reportedUsable[worker.worker] = worker.usable;
            return success();
        }
    }
    const auto largest = state.topology.workerSlots();
    state.reportedUsable[worker.worker] = worker.usable;
    state.topology.updateWorker(effective);
    if (const auto emptyIndex = state.emptyTopology.workerIndex(worker.worker)) {
        const auto &old = state.emptyTopology.workers()[*emptyIndex].info;
        state.capacity -= old.slots;
        state.fleetChanged = state.fleetChanged || old.slots != worker.slots || old.rack != worker.rack;
    } else {
        state.fleetChanged = true;
    }
    effective.usable = true;
    state.emptyTopology.updateWorker(effective);
    state.capacity += worker.slots;
    if (state.topology.workerSlots() != largest) {
        // The topology has turned every covered job into a borrower: the size of a whole worker changed, and with it the
        // shapes that consist of whole workers.
        for (auto &workspace : state.workspaces) {
            workspace.recheckBorrowers = workspace.guaranteed > 0;
        }
        state.recount();
    }
    state.dirty = true;
    return success();
}

auto Scheduler::workerLost(const WorkerId &worker) -> std::vector<JobId>
{
    auto &state = *m_state;
    auto affected = std::vector<JobId>{};
    const auto index = state.topology.workerIndex(worker);
    if (!index) {
        return affected;
    }
    for (auto &reservation : state.reservations) {
        if (std::any_of(reservation.blocks.begin(), reservation.blocks.end(), [&](const auto &block) { return block.worker == *index; })) {
            reservation.blocks.clear(); // the next decision chooses new slots
        }
    }
    for (const auto allocation : state.topology.removeWorker(*index)) {
        const auto &id = state.topology.allocation(allocation).job;
        // A job that was not dispatched yet has nothing to stop; the next decision queues and places it again.
        if (state.running.at(id).phase != Phase::Placed) {
            affected.push_back(id);
        }
    }
    const auto emptyIndex = *state.emptyTopology.workerIndex(worker);
    state.capacity -= state.emptyTopology.workers()[emptyIndex].info.slots;
    state.emptyTopology.removeWorker(emptyIndex);
    state.reportedUsable.erase(worker);
    state.quarantine.forgetWorker(worker);
    state.dirty = true;
    state.fleetChanged = true;
    return affected;
}

auto Scheduler::submit(const ScheduledJob &spec, MonoTime now) -> Result<void>
{
    if (spec.tasks < 1 || spec.tasks > maxGangTasks || spec.slotsPerTask < 1 || spec.slotsPerTask > maxWorkerSlots) {
        return failure(ErrorCode::InvalidInput, "a job has 1 to 64 tasks of 1 to 32 slots");
    }
    if (auto reason = m_state->unschedulableReason(spec, m_state->indexOf(spec.workspace))) {
        return failure(ErrorCode::Limit, *reason);
    }
    const auto newEntry = !m_state->unschedulable.contains(spec.job);
    resubmit(spec, now);
    if (newEntry) {
        m_state->unschedulable.erase(spec.job); // resubmit() lists the job for the check that was made above
    }
    return success();
}

auto Scheduler::resubmit(const ScheduledJob &spec, MonoTime since) -> void
{
    auto &state = *m_state;
    if (state.running.contains(spec.job) || state.parked.contains(spec.job)) {
        return;
    }
    const auto workspace = state.indexOf(spec.workspace);
    if (state.queue.add({.spec = spec, .workspace = workspace, .since = since, .sequence = state.sequence}) != nullptr) {
        ++state.sequence;
        state.unschedulable.emplace(spec.job, MonoTime::max()); // the next decision checks it
        state.dirty = true;
    }
}

auto Scheduler::cancel(const JobId &job) -> JobCancelResult
{
    auto &state = *m_state;
    if (const auto it = state.running.find(job); it != state.running.end()) {
        if (it->second.phase != Phase::Placed) {
            return JobCancelResult::Running;
        }
        // The jobs preempted for it still stop; the next decision assigns their slots.
        state.releaseJob(job, it->second.since);
        return JobCancelResult::Removed;
    }
    if (state.parked.erase(job) > 0) {
        return JobCancelResult::Removed;
    }
    if (state.queue.find(job) == nullptr) {
        return JobCancelResult::Unknown;
    }
    state.queue.remove(job);
    state.unschedulable.erase(job);
    state.dropReservation(job);
    state.quarantine.forgetJob(job);
    return JobCancelResult::Removed;
}

auto Scheduler::adopt(const ScheduledJob &spec, const std::vector<MemberPlacement> &members, MonoTime startedAt) -> Result<void>
{
    auto &state = *m_state;
    auto blocks = std::vector<SlotBlock>{};
    auto undispatched = std::vector<JobId>{}; // jobs that have slots here but were not dispatched; they return to the queue
    for (const auto &member : members) {
        const auto index = state.topology.workerIndex(member.worker);
        if (!index) {
            return failure(ErrorCode::NotFound, "worker " + member.worker.str() + " is not known");
        }
        for (const auto &use : state.topology.workers()[*index].uses) {
            const auto &owner = state.topology.allocation(use.owner).job;
            if ((use.mask & member.slots) == 0 || owner == spec.job) {
                continue;
            }
            if (state.running.at(owner).phase != Phase::Placed) {
                return failure(ErrorCode::Conflict, "slots of worker " + member.worker.str() + " belong to job " + owner.str());
            }
            undispatched.push_back(owner);
        }
        blocks.push_back({*index, member.slots});
    }
    if (const auto it = state.running.find(spec.job); it != state.running.end()) {
        if (it->second.phase != Phase::Placed) {
            return it->second.members == members ? Result<void>{success()}
                                                 : Result<void>{failure(ErrorCode::Conflict, "job " + spec.job.str() + " already holds other slots")};
        }
        state.releaseJob(spec.job, startedAt);
    }
    for (const auto &owner : undispatched) {
        if (state.running.contains(owner)) {
            state.requeue(state.releaseJob(owner, startedAt));
        }
    }
    state.queue.remove(spec.job);
    state.unschedulable.erase(spec.job);
    state.parked.erase(spec.job);
    state.dropReservation(spec.job);
    const auto workspace = state.indexOf(spec.workspace);
    const auto allocation = state.topology.allocate({.job = spec.job,
                                                     .workspace = workspace,
                                                     .urgency = spec.urgency,
                                                     .reclaimable = spec.reclaimable(),
                                                     .level = gangLevel(state.toGangRequest(spec, workspace), state.topology.workerSlots()),
                                                     .movable = spec.checkpointable,
                                                     .hold = spec.reclaimable() ? Hold::Reclaimable : Hold::Fixed,
                                                     .since = startedAt,
                                                     .expectedEnd = startedAt + state.runTimes.typical(spec.workspace, spec.kind),
                                                     .blocks = std::move(blocks)});
    coverInPlace(state.topology, allocation);
    state.running[spec.job] = {.spec = spec,
                               .workspace = workspace,
                               .since = startedAt,
                               .sequence = state.sequence++,
                               .phase = Phase::Dispatched,
                               .allocation = allocation,
                               .started = true,
                               .members = members};
    state.account(allocation, 1);
    state.queue.changeHeldSlots(workspace, spec, spec.slots(), startedAt);
    state.dirty = true;
    return success();
}

auto Scheduler::jobStarted(const JobId &job, MonoTime now) -> void
{
    auto &state = *m_state;
    const auto it = state.running.find(job);
    if (it == state.running.end() || it->second.started) {
        return;
    }
    it->second.started = true;
    state.topology.setExpectedEnd(it->second.allocation, now, now + state.runTimes.typical(it->second.spec.workspace, it->second.spec.kind));
}

auto Scheduler::jobEnded(const JobId &id, JobEnd end, MonoTime now, const std::optional<WorkerId> &failedOn) -> void
{
    auto &state = *m_state;
    const auto found = state.running.find(id);
    if (found == state.running.end()) {
        return;
    }
    const auto began = state.topology.allocation(found->second.allocation).since;
    const auto job = state.releaseJob(id, now);
    if (end == JobEnd::Succeeded) {
        if (job.started) {
            state.runTimes.observe(job.spec.workspace, job.spec.kind, now - began);
        }
        auto workers = std::vector<WorkerId>{};
        for (const auto &member : job.members) {
            workers.push_back(member.worker);
        }
        state.quarantine.succeeded(id, workers, now);
        return;
    }
    const auto countsForQuarantine
        = failedOn && (end == JobEnd::Failed || end == JobEnd::FailedRetry || end == JobEnd::Requeue) && state.topology.workerIndex(*failedOn);
    auto verdict = FailureVerdict{};
    if (countsForQuarantine) {
        verdict = state.quarantine.failed(id, *failedOn, static_cast<int>(state.reportedUsable.size()), now);
        if (verdict.workerQuarantined) {
            state.setUsable(*failedOn);
        }
    }
    if (end == JobEnd::FailedRetry && verdict.jobFaulty) {
        const auto count = state.quarantine.failedOn(id).size();
        state.parked[id] = {{.spec = job.spec, .workspace = job.workspace, .since = job.since, .sequence = job.sequence},
                            "the job failed on " + std::to_string(count) + " workers where other jobs succeed",
                            true};
        state.newlyParked.push_back({id, state.parked[id].reason});
    } else if (end == JobEnd::FailedRetry || end == JobEnd::Requeue) {
        state.requeue(job);
    } else {
        state.quarantine.forgetJob(id);
    }
}

auto Scheduler::queue() const -> std::vector<QueuedJob>
{
    auto jobs = std::vector<QueuedJob>{};
    const auto &state = *m_state;
    for (const auto *job : state.queue.all()) {
        const auto reserved = std::any_of(state.reservations.begin(), state.reservations.end(), [&](const auto &r) { return r.job == job->spec.job; });
        const auto reason = reserved ? WaitReason::Reserved : job->reason;
        jobs.push_back({job->spec.job, job->spec.workspace, job->spec.slots(), job->since, waitReasonText(reason), false, reserved});
    }
    for (const auto &id : state.placed) {
        const auto &job = state.running.at(id);
        jobs.push_back({id, job.spec.workspace, job.spec.slots(), job.since, "waits for preempted jobs to stop", false, true});
    }
    for (const auto &[id, parked] : state.parked) {
        jobs.push_back({id, parked.job.spec.workspace, parked.job.spec.slots(), parked.job.since, parked.reason, true, false});
    }
    return jobs;
}

auto Scheduler::placementOf(const JobId &job) const -> std::optional<std::vector<MemberPlacement>>
{
    const auto it = m_state->running.find(job);
    return it == m_state->running.end() ? std::nullopt : std::optional{it->second.members};
}

auto Scheduler::stats() const -> SchedulerStats
{
    const auto &state = *m_state;
    auto stats = SchedulerStats{};
    auto wholeFree = 0;
    for (const auto &rack : state.topology.racks()) {
        for (auto index : rack.workers) {
            const auto &worker = state.topology.workers()[index];
            ++stats.workers;
            stats.usableSlots += worker.info.usable ? worker.info.slots : 0;
            stats.freeSlots += std::popcount(worker.free);
            wholeFree += worker.free == worker.all ? worker.info.slots : 0;
        }
    }
    for (const auto &[id, job] : state.running) {
        const auto &allocation = state.topology.allocation(job.allocation);
        auto &sum = allocation.hold == Hold::Covered ? stats.coveredSlots : allocation.hold == Hold::Fixed ? stats.fixedSlots : stats.borrowedSlots;
        sum += allocation.slots();
    }
    stats.queuedJobs = static_cast<int>(state.queue.size() + state.placed.size());
    stats.runningJobs = static_cast<int>(state.running.size() - state.placed.size());
    stats.quarantinedWorkers = state.quarantine.size();
    const auto slack = state.topology.slack();
    for (auto level = 0; level < shapeLevels; ++level) {
        stats.guaranteeDeficit = std::max(stats.guaranteeDeficit, -slack[level] * (1 << level));
    }
    stats.fragmentation = stats.freeSlots > 0 ? 1.0 - static_cast<double>(wholeFree) / stats.freeSlots : 0.0;
    return stats;
}

}

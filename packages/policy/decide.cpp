#include "policy/schedulerstate.h"

#include <algorithm>
#include <limits>
#include <set>

namespace Catkin
{

auto Scheduler::State::withinQuota(const WaitingJob &job) const -> bool
{
    const auto &workspace = workspaces[job.workspace];
    return !workspace.rule.quotaSlots || workspace.held + job.spec.slots() <= *workspace.rule.quotaSlots;
}

auto Scheduler::State::withinUrgentShare(const WaitingJob &job) const -> bool
{
    const auto &workspace = workspaces[job.workspace];
    const auto entitlement = std::max<std::int64_t>(workspace.guaranteed, capacity * workspace.rule.weight / totalWeight);
    return job.spec.urgency == Urgency::Urgent && (workspace.urgent + job.spec.slots()) * std::int64_t{100} <= entitlement * workspace.rule.urgentSharePercent;
}

auto Scheduler::State::respectedReservations(const WaitingJob &job, MonoTime now, bool ignoreReservations) const -> std::uint64_t
{
    if (reservations.empty()) {
        return 0;
    }
    auto mask = std::uint64_t{0};
    const auto longest = runTimes.longest(job.spec.workspace, job.spec.kind);
    // A checkpointable job keeps its progress when it is stopped, so a short time on reserved slots is enough. Another job should
    // be likely to end before the reservation needs them.
    const auto requiredTime = job.spec.checkpointable ? Micros{options.backfillAtLeast} : runTimes.typical(job.spec.workspace, job.spec.kind);
    for (auto i = std::size_t{0}; i < reservations.size(); ++i) {
        const auto &reservation = reservations[i];
        const auto endsBefore = longest && now + *longest <= reservation.readyAt;
        const auto backfillable = ignoreReservations && job.spec.reclaimable() && now + requiredTime <= reservation.readyAt;
        mask |= reservation.job != job.spec.job && !endsBefore && !backfillable ? std::uint64_t{1} << i : 0;
    }
    return mask;
}

auto Scheduler::State::blockedSlotsFor(const WaitingJob &job, MonoTime now, bool ignoreReservations) const -> std::vector<SlotMask>
{
    auto blocked = std::vector<SlotMask>{};
    for (auto remaining = respectedReservations(job, now, ignoreReservations); remaining != 0; remaining &= remaining - 1) {
        blockReservedSlots(topology, reservations[std::countr_zero(remaining)], blocked);
    }
    for (const auto &worker : job.avoid) {
        if (const auto index = topology.workerIndex(worker)) {
            blocked.resize(topology.workers().size());
            blocked[*index] = ~SlotMask{0};
        }
    }
    return blocked;
}

auto Scheduler::State::tryFreeSlots(const WaitingJob &job, MonoTime now) const -> std::optional<Placement>
{
    const auto gang = toGangRequest(job.spec, job.workspace);
    auto placement = placeFree(topology, gang, blockedSlotsFor(job, now, false));
    if (!placement && job.spec.reclaimable() && respectedReservations(job, now, true) != respectedReservations(job, now, false)) {
        placement = placeFree(topology, gang, blockedSlotsFor(job, now, true));
        if (placement) {
            placement->backfill = true;
        }
    }
    return placement;
}

auto Scheduler::State::displace(int allocation, const JobId &beneficiary, MonoTime now, Decisions &decisions) -> void
{
    const auto id = topology.allocation(allocation).job;
    auto &job = running.at(id);
    if (job.phase == Phase::Stopping) {
        return;
    }
    const auto justStarted = std::erase_if(decisions.starts, [&](const auto &start) { return start.job == id; }) > 0;
    if (job.phase == Phase::Placed || justStarted) {
        requeue(releaseJob(id, now)); // decide() has not returned its start
        return;
    }
    account(allocation, -1);
    topology.setHold(allocation, Hold::Stopping);
    account(allocation, 1);
    job.phase = Phase::Stopping;
    decisions.preemptions.push_back({id, beneficiary});
}

auto Scheduler::State::allocateJob(WaitingJob &waiting, const Placement &placement, MonoTime now, Decisions &decisions) -> void
{
    const auto job = waiting;
    const auto &id = job.spec.job;
    queue.remove(id);
    unschedulable.erase(id);
    dropReservation(id);
    for (const auto allocation : placement.displaced) {
        displace(allocation, id, now, decisions);
    }
    const auto allocation = applyPlacement(topology, toGangRequest(job.spec, job.workspace), placement, id, now);
    topology.setExpectedEnd(allocation, now, now + runTimes.typical(job.spec.workspace, job.spec.kind));
    auto entry = RunningJob{.spec = job.spec, .workspace = job.workspace, .since = job.since, .sequence = job.sequence, .allocation = allocation};
    for (const auto &member : placement.members) {
        entry.members.push_back({topology.workers()[member.worker].info.worker, member.mask});
    }
    queue.changeHeldSlots(job.workspace, job.spec, job.spec.slots(), now);
    account(allocation, 1);
    if (placement.displaced.empty()) {
        entry.phase = Phase::Dispatched;
        decisions.starts.push_back({id, entry.members, placement.covered});
    } else {
        placed.push_back(id);
    }
    running[id] = std::move(entry);
}

auto Scheduler::State::startPlaced(MonoTime now, Decisions &decisions) -> void
{
    for (const auto &id : std::vector<JobId>{placed}) {
        auto &job = running.at(id);
        const auto &allocation = topology.allocation(job.allocation);
        const auto unusable = std::any_of(allocation.blocks.begin(), allocation.blocks.end(), [this](const auto &block) {
            return block.worker < 0 || !topology.workers()[block.worker].info.usable;
        });
        if (unusable) {
            requeue(releaseJob(id, now));
            continue;
        }
        const auto slotsInUse = std::any_of(allocation.blocks.begin(), allocation.blocks.end(), [&](const auto &block) {
            const auto &uses = topology.workers()[block.worker].uses;
            return std::any_of(uses.begin(), uses.end(), [&](const auto &use) { return use.owner != job.allocation && (use.mask & block.mask) != 0; });
        });
        if (slotsInUse) {
            continue;
        }
        job.phase = Phase::Dispatched;
        decisions.starts.push_back({id, job.members, allocation.hold == Hold::Covered});
        topology.setExpectedEnd(job.allocation, now, now + runTimes.typical(job.spec.workspace, job.spec.kind));
        std::erase(placed, id);
    }
}

auto Scheduler::State::startUrgent(MonoTime now, Decisions &decisions) -> void
{
    auto order = std::vector<std::pair<double, int>>{};
    for (auto index = 0; index < static_cast<int>(workspaces.size()); ++index) {
        if (queue.waitingIn(index) > 0 && workspaces[index].rule.urgentSharePercent > 0) {
            order.emplace_back(static_cast<double>(workspaces[index].urgent) / workspaces[index].rule.weight, index);
        }
    }
    std::sort(order.begin(), order.end());
    auto failed = std::set<EquivalenceClass>{};
    for (const auto &[use, index] : order) {
        auto cursor = queue.cursor(index, now);
        auto candidatesLeft = options.candidatesPerWorkspace;
        auto scansLeft = candidatesLeft * scannedPerCandidate;
        while (auto *job = candidatesLeft > 0 && scansLeft-- > 0 ? cursor.next() : nullptr) {
            if (job->spec.urgency != Urgency::Urgent || failed.contains(equivalenceClassOf(job->spec)) || !withinQuota(*job) || !withinUrgentShare(*job)
                || unschedulable.contains(job->spec.job)) {
                continue;
            }
            --candidatesLeft;
            auto placement = tryFreeSlots(*job, now);
            if (!placement) {
                // An urgent job within its workspace's urgent share may also use reserved slots.
                placement = placePreempting(topology, toGangRequest(job->spec, index), {});
            }
            if (!placement) {
                failed.insert(equivalenceClassOf(job->spec));
                continue;
            }
            cursor.charge(job->spec.slots());
            allocateJob(*job, *placement, now, decisions);
        }
    }
}

auto Scheduler::State::startReserved(MonoTime now, Decisions &decisions) -> void
{
    for (const auto &id : [this] {
             auto ids = std::vector<JobId>{};
             for (const auto &reservation : reservations) {
                 ids.push_back(reservation.job);
             }
             return ids;
         }()) {
        auto *job = queue.find(id);
        if (job == nullptr || unschedulable.contains(id)) {
            dropReservation(id);
            continue;
        }
        if (!withinQuota(*job)) {
            job->reason = WaitReason::Quota;
            dropReservation(id);
            continue;
        }
        const auto gang = toGangRequest(job->spec, job->workspace);
        auto placement = placeFree(topology, gang, blockedSlotsFor(*job, now, false));
        auto &reservation = *std::find_if(reservations.begin(), reservations.end(), [&](const auto &r) { return r.job == id; });
        if (!placement && !reservation.blocks.empty()) {
            // Jobs that are preempted on the reserved slots have to fit into free slots that are not reserved.
            auto reserved = std::vector<SlotMask>{};
            for (const auto &other : reservations) {
                blockReservedSlots(topology, other, reserved);
            }
            auto spare = 0;
            for (auto index = std::size_t{0}; index < topology.workers().size(); ++index) {
                spare += std::popcount(topology.workers()[index].free & ~reserved[index]);
            }
            placement = placeReserved(topology, gang, reservation, spare);
        }
        if (placement) {
            allocateJob(*job, *placement, now, decisions);
            continue;
        }
        if (reservation.blocks.empty() || now >= reservation.chosenAt + options.reservationRefresh) {
            auto chosen = chooseReservation(topology, gang, blockedSlotsFor(*job, now, false), now);
            if (!chosen) {
                reservation.blocks.clear();
                reservation.chosenAt = now;
                continue;
            }
            chosen->job = id;
            reservation = std::move(*chosen);
        }
    }
}

auto Scheduler::State::reserve(WaitingJob &job, MonoTime now) -> void
{
    const auto maxReservations = std::clamp(static_cast<int>(topology.racks().size()) / std::max(1, options.racksPerReservation), 1, 64);
    const auto large = job.spec.slots() >= topology.workerSlots();
    if (static_cast<int>(reservations.size()) >= maxReservations || now < job.since + (large ? options.reserveAfter : options.reserveSmallAfter)) {
        return;
    }
    if (std::any_of(reservations.begin(), reservations.end(), [&](const auto &r) { return r.job == job.spec.job; })) {
        return;
    }
    if (auto chosen = chooseReservation(topology, toGangRequest(job.spec, job.workspace), blockedSlotsFor(job, now, false), now)) {
        chosen->job = job.spec.job;
        reservations.push_back(std::move(*chosen));
    }
}

auto Scheduler::State::startBorrowers(MonoTime now, Decisions &decisions) -> void
{
    using Rank = std::pair<double, int>;
    const auto rankOf = [this](int index) { return Rank{static_cast<double>(workspaces[index].borrowed) / workspaces[index].rule.weight, index}; };
    auto order = std::set<Rank>{};
    struct WorkspaceScan
    {
        JobQueue::Cursor cursor;
        int candidatesLeft = 0;
        int scansLeft = 0;
    };
    auto scans = std::map<int, WorkspaceScan>{};
    for (auto index = 0; index < static_cast<int>(workspaces.size()); ++index) {
        if (queue.waitingIn(index) > 0) {
            order.insert(rankOf(index));
            scans.emplace(index, WorkspaceScan{queue.cursor(index, now), options.candidatesPerWorkspace, options.candidatesPerWorkspace * scannedPerCandidate});
        }
    }
    // If one job finds no slots, the others of its equivalence class that respect the same reservations find none either.
    // Without this set, thousands of waiting jobs would each be tried in every decision.
    auto failed = std::set<std::tuple<EquivalenceClass, std::uint64_t, std::uint64_t>>{};
    while (!order.empty()) {
        // The workspace with the least borrowed slots per weight starts one job.
        const auto index = order.begin()->second;
        order.erase(order.begin());
        auto &[cursor, candidatesLeft, scansLeft] = scans.at(index);
        while (auto *job = candidatesLeft > 0 && scansLeft-- > 0 ? cursor.next() : nullptr) {
            if (unschedulable.contains(job->spec.job)) {
                continue;
            }
            if (!withinQuota(*job)) {
                job->reason = WaitReason::Quota;
                continue;
            }
            const auto key = std::tuple{equivalenceClassOf(job->spec), respectedReservations(*job, now, false), respectedReservations(*job, now, true)};
            if (failed.contains(key)) {
                job->reason = job->reason == WaitReason::New ? WaitReason::NoFreeSlots : job->reason;
                reserve(*job, now);
                continue;
            }
            --candidatesLeft;
            auto placement = tryFreeSlots(*job, now);
            if (!placement) {
                if (job->avoid.empty()) {
                    failed.insert(key);
                }
                job->reason = reportedUsable.empty()                      ? WaitReason::NoWorkers
                              : job->reason == WaitReason::GuaranteeInUse ? job->reason
                                                                          : WaitReason::NoFreeSlots;
                reserve(*job, now);
                continue;
            }
            cursor.charge(job->spec.slots());
            allocateJob(*job, *placement, now, decisions);
            order.insert(rankOf(index));
            break;
        }
    }
}

auto Scheduler::State::parkUnschedulable(MonoTime now, Decisions &decisions) -> void
{
    if (fleetChanged) {
        fleetChanged = false;
        for (auto it = parked.begin(); it != parked.end();) {
            if (!it->second.faulty && !unschedulableReason(it->second.job.spec, it->second.job.workspace)) {
                queue.add(it->second.job);
                it = parked.erase(it);
            } else {
                ++it;
            }
        }
        // All waiting jobs are checked again, with one check per workspace and equivalence class.
        for (const auto *job : queue.all()) {
            unschedulable.emplace(job->spec.job, MonoTime::max());
        }
    }
    if (unschedulable.empty()) {
        return;
    }
    auto verdicts = std::map<std::pair<int, EquivalenceClass>, std::optional<std::string>>{};
    for (auto it = unschedulable.begin(); it != unschedulable.end();) {
        auto *job = queue.find(it->first);
        if (job == nullptr) {
            it = unschedulable.erase(it);
            continue;
        }
        const auto [verdict, added] = verdicts.try_emplace({job->workspace, equivalenceClassOf(job->spec)});
        if (added) {
            verdict->second = unschedulableReason(job->spec, job->workspace);
        }
        if (!verdict->second) {
            job->reason = job->reason == WaitReason::NeverFits ? WaitReason::New : job->reason;
            it = unschedulable.erase(it);
            continue;
        }
        job->reason = WaitReason::NeverFits;
        it->second = std::min(it->second, now);
        if (now < it->second + options.parkAfter) {
            ++it;
            continue;
        }
        decisions.parked.push_back({it->first, *verdict->second});
        parked[it->first] = {*job, *verdict->second, false};
        dropReservation(it->first);
        queue.remove(it->first);
        it = unschedulable.erase(it);
    }
}

auto Scheduler::decide(MonoTime now) -> Decisions
{
    auto &state = *m_state;
    auto decisions = Decisions{};
    for (const auto &worker : state.quarantine.releaseExpired(now)) {
        state.setUsable(worker);
    }
    decisions.parked = std::exchange(state.newlyParked, {});
    state.parkUnschedulable(now, decisions);
    if (state.dirty || now >= state.wakeAt) {
        state.dirty = false;
        state.startPlaced(now, decisions);
        state.startCovered(now, decisions);
        state.startUrgent(now, decisions);
        state.startReserved(now, decisions);
        state.startBorrowers(now, decisions);
        state.coverBorrowers();
    }
    state.wakeAt = MonoTime::max();
    for (const auto &reservation : state.reservations) {
        state.wakeAt = std::min(state.wakeAt, reservation.chosenAt + state.options.reservationRefresh);
    }
    for (const auto &[job, since] : state.unschedulable) {
        state.wakeAt = std::min(state.wakeAt, since + state.options.parkAfter);
    }
    if (const auto release = state.quarantine.nextRelease()) {
        state.wakeAt = std::min(state.wakeAt, *release);
    }
    if (state.dirty) {
        state.wakeAt = now; // a pass returned a job to the queue; the passes run again to place it
    }
    if (state.wakeAt != MonoTime::max()) {
        decisions.wakeAt = state.wakeAt;
    }
    return decisions;
}

}

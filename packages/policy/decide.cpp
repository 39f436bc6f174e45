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

auto Scheduler::State::respected(const WaitingJob &job, MonoTime now, bool ignoreReservations) const -> std::uint64_t
{
    if (reservations.empty()) {
        return 0;
    }
    auto mask = std::uint64_t{0};
    const auto upper = runTimes.upper(job.spec.workspace, job.spec.kind);
    // A job that keeps its progress may use whatever time there is; others should be likely to end before.
    const auto useful = job.spec.checkpointable ? Micros{options.backfillAtLeast} : runTimes.typical(job.spec.workspace, job.spec.kind);
    for (auto i = std::size_t{0}; i < reservations.size(); ++i) {
        const auto &reservation = reservations[i];
        const auto endsBefore = upper && now + *upper <= reservation.readyAt;
        const auto givesWay = ignoreReservations && job.spec.reclaimable() && now + useful <= reservation.readyAt;
        mask |= reservation.job != job.spec.job && !endsBefore && !givesWay ? std::uint64_t{1} << i : 0;
    }
    return mask;
}

auto Scheduler::State::blockedFor(const WaitingJob &job, MonoTime now, bool ignoreReservations) const -> std::vector<SlotMask>
{
    auto blocked = std::vector<SlotMask>{};
    for (auto left = respected(job, now, ignoreReservations); left != 0; left &= left - 1) {
        blockReservedSlots(topology, reservations[std::countr_zero(left)], blocked);
    }
    for (const auto &worker : job.avoid) {
        if (const auto index = topology.workerIndex(worker)) {
            blocked.resize(topology.workers().size());
            blocked[*index] = ~SlotMask{0};
        }
    }
    return blocked;
}

auto Scheduler::State::tryFree(const WaitingJob &job, MonoTime now) const -> std::optional<Placement>
{
    const auto gang = gangOf(job.spec, job.workspace);
    auto placement = placeFree(topology, gang, blockedFor(job, now, false));
    if (!placement && job.spec.reclaimable() && respected(job, now, true) != respected(job, now, false)) {
        placement = placeFree(topology, gang, blockedFor(job, now, true));
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
        requeue(leave(id, now)); // nobody has been told to start it
        return;
    }
    account(allocation, -1);
    topology.setHold(allocation, Hold::Stopping);
    account(allocation, 1);
    job.phase = Phase::Stopping;
    decisions.preemptions.push_back({id, beneficiary});
}

auto Scheduler::State::enter(WaitingJob &waiting, const Placement &placement, MonoTime now, Decisions &decisions) -> void
{
    const auto job = waiting;
    const auto &id = job.spec.job;
    queue.remove(id);
    impossible.erase(id);
    dropReservation(id);
    for (const auto allocation : placement.displaced) {
        displace(allocation, id, now, decisions);
    }
    const auto allocation = applyPlacement(topology, gangOf(job.spec, job.workspace), placement, id, now);
    topology.setExpectedEnd(allocation, now, now + runTimes.typical(job.spec.workspace, job.spec.kind));
    auto entry = RunningJob{.spec = job.spec, .workspace = job.workspace, .since = job.since, .sequence = job.sequence, .allocation = allocation};
    for (const auto &member : placement.members) {
        entry.members.push_back({topology.workers()[member.worker].info.worker, member.mask});
    }
    queue.hold(job.workspace, job.spec, job.spec.slots(), now);
    account(allocation, 1);
    if (placement.displaced.empty()) {
        entry.phase = Phase::Handed;
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
        const auto gone = std::any_of(allocation.blocks.begin(), allocation.blocks.end(), [this](const auto &block) {
            return block.worker < 0 || !topology.workers()[block.worker].info.usable;
        });
        if (gone) {
            requeue(leave(id, now));
            continue;
        }
        const auto waits = std::any_of(allocation.blocks.begin(), allocation.blocks.end(), [&](const auto &block) {
            const auto &uses = topology.workers()[block.worker].uses;
            return std::any_of(uses.begin(), uses.end(), [&](const auto &use) { return use.owner != job.allocation && (use.mask & block.mask) != 0; });
        });
        if (waits) {
            continue;
        }
        job.phase = Phase::Handed;
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
    auto failed = std::set<Shape>{};
    for (const auto &[use, index] : order) {
        auto cursor = queue.cursor(index, now);
        auto left = options.candidatesPerWorkspace;
        auto seen = left * seenPerCandidate;
        while (auto *job = left > 0 && seen-- > 0 ? cursor.next() : nullptr) {
            if (job->spec.urgency != Urgency::Urgent || failed.contains(shapeOf(job->spec)) || !withinQuota(*job) || !withinUrgentShare(*job)
                || impossible.contains(job->spec.job)) {
                continue;
            }
            --left;
            auto placement = tryFree(*job, now);
            if (!placement) {
                // Urgent work within its share also uses reserved slots.
                placement = placePreempting(topology, gangOf(job->spec, index), {});
            }
            if (!placement) {
                failed.insert(shapeOf(job->spec));
                continue;
            }
            cursor.charge(job->spec.slots());
            enter(*job, *placement, now, decisions);
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
        if (job == nullptr || impossible.contains(id)) {
            dropReservation(id);
            continue;
        }
        if (!withinQuota(*job)) {
            job->reason = WaitReason::Quota;
            dropReservation(id);
            continue;
        }
        const auto gang = gangOf(job->spec, job->workspace);
        auto placement = placeFree(topology, gang, blockedFor(*job, now, false));
        auto &reservation = *std::find_if(reservations.begin(), reservations.end(), [&](const auto &r) { return r.job == id; });
        if (!placement && !reservation.blocks.empty()) {
            // What is moved out of the place has to fit into free slots that are not reserved.
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
            enter(*job, *placement, now, decisions);
            continue;
        }
        if (reservation.blocks.empty() || now >= reservation.chosenAt + options.reservationRefresh) {
            auto chosen = chooseReservation(topology, gang, blockedFor(*job, now, false), now);
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
    const auto most = std::clamp(static_cast<int>(topology.racks().size()) / std::max(1, options.racksPerReservation), 1, 64);
    const auto large = job.spec.slots() >= topology.workerSlots();
    if (static_cast<int>(reservations.size()) >= most || now < job.since + (large ? options.reserveAfter : options.reserveSmallAfter)) {
        return;
    }
    if (std::any_of(reservations.begin(), reservations.end(), [&](const auto &r) { return r.job == job.spec.job; })) {
        return;
    }
    if (auto chosen = chooseReservation(topology, gangOf(job.spec, job.workspace), blockedFor(job, now, false), now)) {
        chosen->job = job.spec.job;
        reservations.push_back(std::move(*chosen));
    }
}

auto Scheduler::State::startBorrowers(MonoTime now, Decisions &decisions) -> void
{
    using Rank = std::pair<double, int>;
    const auto rankOf = [this](int index) { return Rank{static_cast<double>(workspaces[index].borrowed) / workspaces[index].rule.weight, index}; };
    auto order = std::set<Rank>{};
    struct Walk
    {
        JobQueue::Cursor cursor;
        int left = 0;
        int seen = 0;
    };
    auto walks = std::map<int, Walk>{};
    for (auto index = 0; index < static_cast<int>(workspaces.size()); ++index) {
        if (queue.waitingIn(index) > 0) {
            order.insert(rankOf(index));
            walks.emplace(index, Walk{queue.cursor(index, now), options.candidatesPerWorkspace, options.candidatesPerWorkspace * seenPerCandidate});
        }
    }
    // Jobs of equal shape that respect the same reservations fail together; without this, thousands of waiting jobs would
    // each be tried in every decision.
    auto failed = std::set<std::tuple<Shape, std::uint64_t, std::uint64_t>>{};
    while (!order.empty()) {
        // The workspace that borrows least for its weight is asked for one job that fits.
        const auto index = order.begin()->second;
        order.erase(order.begin());
        auto &[cursor, left, seen] = walks.at(index);
        while (auto *job = left > 0 && seen-- > 0 ? cursor.next() : nullptr) {
            if (impossible.contains(job->spec.job)) {
                continue;
            }
            if (!withinQuota(*job)) {
                job->reason = WaitReason::Quota;
                continue;
            }
            const auto key = std::tuple{shapeOf(job->spec), respected(*job, now, false), respected(*job, now, true)};
            if (failed.contains(key)) {
                job->reason = job->reason == WaitReason::New ? WaitReason::NoPlace : job->reason;
                reserve(*job, now);
                continue;
            }
            --left;
            auto placement = tryFree(*job, now);
            if (!placement) {
                if (job->avoid.empty()) {
                    failed.insert(key);
                }
                job->reason = reportedUsable.empty() ? WaitReason::NoWorkers : job->reason == WaitReason::GuaranteeInUse ? job->reason : WaitReason::NoPlace;
                reserve(*job, now);
                continue;
            }
            cursor.charge(job->spec.slots());
            enter(*job, *placement, now, decisions);
            order.insert(rankOf(index));
            break;
        }
    }
}

auto Scheduler::State::parkImpossible(MonoTime now, Decisions &decisions) -> void
{
    if (fleetChanged) {
        fleetChanged = false;
        for (auto it = parked.begin(); it != parked.end();) {
            if (!it->second.blamed && !neverRuns(it->second.job.spec, it->second.job.workspace)) {
                queue.add(it->second.job);
                it = parked.erase(it);
            } else {
                ++it;
            }
        }
        // Every waiting job is checked again, one check for each shape.
        for (const auto *job : queue.all()) {
            impossible.emplace(job->spec.job, MonoTime::max());
        }
    }
    if (impossible.empty()) {
        return;
    }
    auto verdicts = std::map<std::pair<int, Shape>, std::optional<std::string>>{};
    for (auto it = impossible.begin(); it != impossible.end();) {
        auto *job = queue.find(it->first);
        if (job == nullptr) {
            it = impossible.erase(it);
            continue;
        }
        const auto [verdict, added] = verdicts.try_emplace({job->workspace, shapeOf(job->spec)});
        if (added) {
            verdict->second = neverRuns(job->spec, job->workspace);
        }
        if (!verdict->second) {
            job->reason = job->reason == WaitReason::NeverFits ? WaitReason::New : job->reason;
            it = impossible.erase(it);
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
        it = impossible.erase(it);
    }
}

auto Scheduler::decide(MonoTime now) -> Decisions
{
    auto &state = *m_state;
    auto decisions = Decisions{};
    for (const auto &worker : state.quarantine.released(now)) {
        state.setUsable(worker);
    }
    decisions.parked = std::exchange(state.newlyParked, {});
    state.parkImpossible(now, decisions);
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
    for (const auto &[job, since] : state.impossible) {
        state.wakeAt = std::min(state.wakeAt, since + state.options.parkAfter);
    }
    if (const auto release = state.quarantine.nextRelease()) {
        state.wakeAt = std::min(state.wakeAt, *release);
    }
    if (state.dirty) {
        state.wakeAt = now; // a job that was placed for preemption returned to the queue
    }
    if (state.wakeAt != MonoTime::max()) {
        decisions.wakeAt = state.wakeAt;
    }
    return decisions;
}

}

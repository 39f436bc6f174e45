#include "policy/schedulerstate.h"

#include <algorithm>
#include <set>

namespace Catkin
{

namespace
{

/// Most borrowing jobs of one workspace that one decision tries to cover by its guarantee.
constexpr auto coverAttempts = 8;

}

auto Scheduler::State::tryCovered(const WaitingJob &job, MonoTime now) -> std::optional<Placement>
{
    auto placement = placeCovered(topology, toGangRequest(job.spec, job.workspace));
    if (!placement) {
        return coverByDemotion(job);
    }
    // A reclaimable job that would displace others takes free slots as a borrower instead: no job is preempted, and the
    // guarantee stays unused. A job that cannot be stopped and needs only a part of a shape also prefers free slots; otherwise
    // it would withhold that shape from the jobs that need it whole.
    const auto needed = gangLevel(toGangRequest(job.spec, job.workspace), topology.workerSlots());
    const auto usesLargerShape
        = std::any_of(placement->newShapes.begin(), placement->newShapes.end(), [&](const auto &shape) { return shape.level > needed; })
          || std::any_of(placement->placedShapes.begin(), placement->placedShapes.end(), [&](int shape) { return topology.placedShape(shape).level > needed; });
    if (job.spec.reclaimable() ? !placement->displaced.empty() : usesLargerShape) {
        if (auto free = tryFreeSlots(job, now)) {
            return free;
        }
    }
    return placement;
}

auto Scheduler::State::startCovered(MonoTime now, Decisions &decisions) -> void
{
    for (auto index = 0; index < static_cast<int>(workspaces.size()); ++index) {
        if (workspaces[index].guaranteed == 0 || queue.waitingIn(index) == 0) {
            continue;
        }
        // Urgent jobs within the workspace's urgent share come first.
        for (const auto urgentOnly : {true, false}) {
            auto failed = std::set<EquivalenceClass>{};
            auto cursor = queue.cursor(index, now);
            auto candidatesLeft = options.candidatesPerWorkspace;
            auto scansLeft = candidatesLeft * scannedPerCandidate;
            while (auto *job = candidatesLeft > 0 && scansLeft-- > 0 ? cursor.next() : nullptr) {
                const auto urgent = job->spec.urgency == Urgency::Urgent && withinUrgentShare(*job);
                if ((urgentOnly && !urgent) || unschedulable.contains(job->spec.job)) {
                    continue;
                }
                if (!withinQuota(*job)) {
                    job->reason = WaitReason::Quota;
                    continue;
                }
                if (failed.contains(equivalenceClassOf(job->spec))) {
                    continue;
                }
                --candidatesLeft;
                auto placement = tryCovered(*job, now);
                if (!placement) {
                    job->reason = WaitReason::GuaranteeInUse;
                    failed.insert(equivalenceClassOf(job->spec));
                    continue;
                }
                cursor.charge(job->spec.slots());
                allocateJob(*job, *placement, now, decisions);
            }
        }
    }
}

auto Scheduler::State::coverByDemotion(const WaitingJob &job) -> std::optional<Placement>
{
    const auto level = gangLevel(toGangRequest(job.spec, job.workspace), topology.workerSlots());
    auto demoted = std::vector<int>{};
    auto candidates = std::vector<std::tuple<Urgency, MonoTime, int>>{};
    for (auto shape : topology.placedShapes(job.workspace)) {
        for (const auto &block : topology.placedShape(shape).blocks) {
            for (const auto &use : topology.workers()[block.worker].uses) {
                const auto &owner = topology.allocation(use.owner);
                if (owner.hold != Hold::Covered || owner.workspace != job.workspace || !owner.reclaimable) {
                    continue;
                }
                // A gang that needs only a part of the shape can run elsewhere, so it gives up the guarantee even to a less urgent
                // job. An urgent gang keeps it against jobs that are not urgent, because it would take the shape back.
                const auto usesPartOfShape = owner.level < level && topology.placedShape(shape).level >= level
                                             && (owner.urgency != Urgency::Urgent || job.spec.urgency == Urgency::Urgent);
                if (usesPartOfShape || (owner.urgency < job.spec.urgency && withinUrgentShare(job))) {
                    candidates.emplace_back(owner.urgency, MonoTime{} - owner.since.time_since_epoch(), use.owner);
                }
            }
        }
    }
    // The least urgent first; among equally urgent jobs the one that started last, because it would lose the least work.
    std::sort(candidates.begin(), candidates.end());
    candidates.erase(std::unique(candidates.begin(), candidates.end()), candidates.end());
    auto placement = std::optional<Placement>{};
    for (const auto &[urgency, age, allocation] : candidates) {
        account(allocation, -1);
        topology.setHold(allocation, Hold::Reclaimable);
        account(allocation, 1);
        demoted.push_back(allocation);
        placement = placeCovered(topology, toGangRequest(job.spec, job.workspace));
        if (placement) {
            workspaces[job.workspace].recheckBorrowers = true;
            return placement;
        }
    }
    for (auto allocation : demoted) {
        account(allocation, -1);
        coverInPlace(topology, allocation);
        account(allocation, 1);
    }
    return std::nullopt;
}

auto Scheduler::State::coverBorrowers() -> void
{
    auto candidates = std::map<int, std::vector<std::tuple<MonoTime, std::uint64_t, int>>>{};
    if (std::none_of(workspaces.begin(), workspaces.end(), [](const auto &workspace) { return workspace.recheckBorrowers; })) {
        return;
    }
    for (const auto &[id, job] : running) {
        const auto hold = topology.allocation(job.allocation).hold;
        if (workspaces[job.workspace].recheckBorrowers && hold != Hold::Covered && hold != Hold::Stopping && job.phase == Phase::Dispatched) {
            candidates[job.workspace].emplace_back(job.since, job.sequence, job.allocation);
        }
    }
    for (auto index = 0; index < static_cast<int>(workspaces.size()); ++index) {
        if (!workspaces[index].recheckBorrowers) {
            continue;
        }
        workspaces[index].recheckBorrowers = false;
        auto &list = candidates[index];
        std::sort(list.begin(), list.end());
        for (auto i = 0; i < std::min<int>(coverAttempts, static_cast<int>(list.size())); ++i) {
            const auto allocation = std::get<2>(list[i]);
            account(allocation, -1);
            coverInPlace(topology, allocation);
            account(allocation, 1);
        }
    }
}

}

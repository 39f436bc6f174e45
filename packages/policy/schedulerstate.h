#pragma once

/// Internal state of Scheduler, shared by its source files. Users include scheduler.h.

#include "policy/jobqueue.h"
#include "policy/quarantine.h"
#include "policy/reservation.h"
#include "policy/runtimes.h"
#include "policy/scheduler.h"

#include <map>
#include <tuple>

namespace Catkin
{

/// The properties of a job that decide whether free slots fit it: tasks, slots per task, adjacency, reclaimable. When one
/// job of a class finds no slots, the pass skips the others of that class.
using EquivalenceClass = std::tuple<int, int, Adjacency, bool>;

inline auto equivalenceClassOf(const ScheduledJob &spec) -> EquivalenceClass
{
    return {spec.tasks, spec.slotsPerTask, spec.adjacency, spec.reclaimable()};
}

/// A pass scans at most this many jobs of a workspace per job that it may try to place (candidatesPerWorkspace).
inline constexpr auto scannedPerCandidate = 16;

enum class Phase {
    Placed, ///< has slots, but waits for the jobs preempted on them to end
    Dispatched, ///< decide() returned it as a start
    Stopping, ///< decide() returned it as a preemption
};

/// A job that holds slots.
struct RunningJob
{
    ScheduledJob spec;
    int workspace = 0; ///< index in State::workspaces
    MonoTime since; ///< when it was submitted, or when it started if it was adopted
    std::uint64_t sequence = 0; ///< order of submission
    Phase phase = Phase::Placed;
    int allocation = 0; ///< index in State::topology
    bool started = false; ///< jobStarted() was called
    std::vector<MemberPlacement> members;
};

struct WorkspaceState
{
    WorkspaceRule rule;
    int guaranteed = 0; ///< slots of all guaranteed shapes
    int held = 0; ///< slots of all running jobs
    int borrowed = 0; ///< slots of running jobs that are not covered
    int urgent = 0; ///< slots of running urgent jobs
    bool recheckBorrowers = false; ///< part of the guarantee may have become unused, so coverBorrowers() tries to cover running borrowers
};

struct ParkedJob
{
    WaitingJob job;
    std::string reason;
    bool faulty = false; ///< parked because it fails; a change of the fleet does not return it to the queue
};

struct Scheduler::State
{
    explicit State(const SchedulerOptions &given)
        : options(given)
        , queue(given.usageHalfLife)
        , quarantine(given.quarantine)
    {
    }

    SchedulerOptions options;
    Topology topology;
    Topology emptyTopology; ///< the same workers and guarantees, with every worker usable and no allocation
    JobQueue queue;
    RunTimes runTimes;
    Quarantine quarantine;
    std::vector<WorkspaceState> workspaces;
    std::map<WorkspaceId, int> workspaceIndex;
    std::map<JobId, RunningJob> running;
    std::vector<JobId> placed; ///< jobs in Phase::Placed, in the order in which they got their slots
    std::map<JobId, ParkedJob> parked;
    std::vector<Parked> newlyParked; ///< returned by the next decision
    std::vector<Reservation> reservations;
    /// Queued jobs that cannot run on the known fleet, with the time at which this was found; MonoTime::max() for jobs whose
    /// check is pending. No pass tries to place them.
    std::map<JobId, MonoTime> unschedulable;
    std::map<WorkerId, bool> reportedUsable; ///< the planner's WorkerInfo::usable, without the effect of quarantine
    std::uint64_t sequence = 0;
    int totalWeight = 1;
    std::int64_t capacity = 0; ///< slots of all known workers
    MonoTime wakeAt; ///< when the passes run again even if the state has not changed
    bool dirty = true; ///< the state changed since the passes last ran
    bool fleetChanged = true; ///< workers or rules changed: waiting and parked jobs are checked again

    auto indexOf(const WorkspaceId &workspace) -> int;
    [[nodiscard]] auto toGangRequest(const ScheduledJob &spec, int workspace) const -> GangRequest;
    /// @return why a job can never run on the known fleet under the current quotas and guarantees, or nothing.
    auto unschedulableReason(const ScheduledJob &spec, int workspace) -> std::optional<std::string>;
    /// Adds an allocation's slots to its workspace's counts.
    /// @param sign 1 to add, -1 to subtract
    auto account(int allocation, int sign) -> void;
    /// Computes the counts of every workspace anew.
    auto recount() -> void;
    /// Allocates the slots of @p placement to a queued job, preempts the displaced jobs, and starts the job if there are none.
    auto allocateJob(WaitingJob &job, const Placement &placement, MonoTime now, Decisions &decisions) -> void;
    /// Preempts a running job, or puts it back into the queue if its start has not been returned by decide() yet.
    auto displace(int allocation, const JobId &beneficiary, MonoTime now, Decisions &decisions) -> void;
    /// Releases a running job's slots.
    /// @return the job, which is no longer in the map of running jobs; the caller requeues or drops it.
    auto releaseJob(const JobId &job, MonoTime now) -> RunningJob;
    /// Queues a released job at its old position.
    auto requeue(const RunningJob &job) -> void;
    /// Updates whether a worker is usable after a change of its quarantine.
    auto setUsable(const WorkerId &worker) -> void;
    auto dropReservation(const JobId &job) -> void;

    // The passes of one decision, in the order in which decide() runs them, after parkUnschedulable().
    /// Starts the jobs in Phase::Placed whose slots have become free.
    auto startPlaced(MonoTime now, Decisions &decisions) -> void;
    /// Starts queued jobs within their workspace's guarantee.
    auto startCovered(MonoTime now, Decisions &decisions) -> void;
    /// Starts urgent jobs within their workspace's urgent share as borrowers; they may preempt less urgent borrowers.
    auto startUrgent(MonoTime now, Decisions &decisions) -> void;
    /// Starts jobs that have a reservation, or chooses its slots anew after SchedulerOptions::reservationRefresh.
    auto startReserved(MonoTime now, Decisions &decisions) -> void;
    /// Starts queued jobs on free slots and makes reservations for blocked ones.
    auto startBorrowers(MonoTime now, Decisions &decisions) -> void;
    /// Covers running borrowers where part of their workspace's guarantee may have become unused.
    auto coverBorrowers() -> void;
    /// Checks the jobs listed as unschedulable and parks those listed for longer than SchedulerOptions::parkAfter. After a change
    /// of the fleet, all waiting jobs are checked, and parked jobs that can run again return to the queue.
    auto parkUnschedulable(MonoTime now, Decisions &decisions) -> void;

    [[nodiscard]] auto withinQuota(const WaitingJob &job) const -> bool;
    /// @return whether the job is urgent and fits into what is left of its workspace's urgent share.
    [[nodiscard]] auto withinUrgentShare(const WaitingJob &job) const -> bool;
    /// @return the reservations of other jobs whose slots a job must not use; bit n is reservation n.
    /// @param ignoreReservations whether a reclaimable job may also use reserved slots that it would have to give back
    [[nodiscard]] auto respectedReservations(const WaitingJob &job, MonoTime now, bool ignoreReservations) const -> std::uint64_t;
    /// @return the slots that a job must not use: those of respectedReservations() and of the workers on which it failed.
    [[nodiscard]] auto blockedSlotsFor(const WaitingJob &job, MonoTime now, bool ignoreReservations) const -> std::vector<SlotMask>;
    /// @return a placement on free slots, as a borrower, or nothing.
    auto tryFreeSlots(const WaitingJob &job, MonoTime now) const -> std::optional<Placement>;
    /// @return a placement within the guarantee, or one on free slots where that is cheaper, or nothing.
    auto tryCovered(const WaitingJob &job, MonoTime now) -> std::optional<Placement>;
    /// Finds a covered placement by turning covered jobs of the same workspace into borrowers: those that are less urgent
    /// than @p job, and those that are not urgent and use only a part of a shape that @p job needs whole.
    /// @return the placement; if there is none, nothing, and the jobs are covered as before.
    auto coverByDemotion(const WaitingJob &job) -> std::optional<Placement>;
    /// Reserves slots for a blocked job that has waited long enough, if another reservation is allowed.
    auto reserve(WaitingJob &job, MonoTime now) -> void;
};

}

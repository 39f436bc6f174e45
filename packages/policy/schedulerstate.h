#pragma once

/// Internals of Scheduler; include scheduler.h instead.

#include "policy/jobqueue.h"
#include "policy/quarantine.h"
#include "policy/reservation.h"
#include "policy/runtimes.h"
#include "policy/scheduler.h"

#include <map>
#include <tuple>

namespace Catkin
{

/// What decides whether a gang finds free slots; jobs with equal shape fail together within one pass.
using Shape = std::tuple<int, int, Adjacency, bool>;

inline auto shapeOf(const ScheduledJob &spec) -> Shape
{
    return {spec.tasks, spec.slotsPerTask, spec.adjacency, spec.reclaimable()};
}

/// Jobs that one pass passes over in a workspace for each one that it tries to place.
inline constexpr auto seenPerCandidate = 16;

enum class Phase {
    Placed, ///< has slots, waits for preempted jobs to end
    Dispatched, ///< returned as a start
    Stopping, ///< returned as a preemption
};

/// A job that holds slots.
struct RunningJob
{
    ScheduledJob spec;
    int workspace = 0;
    MonoTime since;
    std::uint64_t sequence = 0;
    Phase phase = Phase::Placed;
    int allocation = 0;
    bool started = false; ///< jobStarted() was called
    std::vector<MemberPlacement> members;
};

struct WorkspaceState
{
    WorkspaceRule rule;
    int guaranteed = 0; ///< slots of all shapes
    int held = 0;
    int borrowed = 0;
    int urgent = 0; ///< slots of running urgent jobs
    bool mayCover = false; ///< part of the guarantee became unused while borrowers run
};

struct ParkedJob
{
    WaitingJob job;
    std::string reason;
    bool faulty = false; ///< parked because it fails; a larger fleet does not help
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
    Topology idle; ///< the same workers and guarantees, all usable and with nothing running
    JobQueue queue;
    RunTimes runTimes;
    Quarantine quarantine;
    std::vector<WorkspaceState> workspaces;
    std::map<WorkspaceId, int> workspaceIndex;
    std::map<JobId, RunningJob> running;
    std::vector<JobId> placed; ///< jobs in Phase::Placed, in the order of placement
    std::map<JobId, ParkedJob> parked;
    std::vector<Parked> newlyParked; ///< returned by the next decision
    std::vector<Reservation> reservations;
    /// Queued jobs that the fleet cannot hold, with the time since when; MonoTime::max() before the first check.
    std::map<JobId, MonoTime> impossible;
    std::map<WorkerId, bool> reportedUsable; ///< as the planner said, before quarantine
    std::uint64_t sequence = 0;
    int totalWeight = 1;
    std::int64_t capacity = 0; ///< slots of all known workers
    MonoTime wakeAt; ///< when the passes run again without an event
    bool dirty = true;
    bool fleetChanged = true;

    auto indexOf(const WorkspaceId &workspace) -> int;
    [[nodiscard]] auto gangOf(const ScheduledJob &spec, int workspace) const -> GangRequest;
    auto unschedulableReason(const ScheduledJob &spec, int workspace) -> std::optional<std::string>;
    auto account(int allocation, int sign) -> void;
    auto recount() -> void;
    auto enter(WaitingJob &job, const Placement &placement, MonoTime now, Decisions &decisions) -> void;
    auto displace(int allocation, const JobId &beneficiary, MonoTime now, Decisions &decisions) -> void;
    /// Removes a job's allocation; the job itself stays with the caller.
    auto leave(const JobId &job, MonoTime now) -> RunningJob;
    auto requeue(const RunningJob &job) -> void;
    auto setUsable(const WorkerId &worker) -> void;
    auto dropReservation(const JobId &job) -> void;

    // The passes of one decision, in this order.
    auto startPlaced(MonoTime now, Decisions &decisions) -> void;
    auto startCovered(MonoTime now, Decisions &decisions) -> void;
    auto startUrgent(MonoTime now, Decisions &decisions) -> void;
    auto startReserved(MonoTime now, Decisions &decisions) -> void;
    auto startBorrowers(MonoTime now, Decisions &decisions) -> void;
    auto coverBorrowers() -> void;
    auto parkImpossible(MonoTime now, Decisions &decisions) -> void;

    [[nodiscard]] auto withinQuota(const WaitingJob &job) const -> bool;
    [[nodiscard]] auto withinUrgentShare(const WaitingJob &job) const -> bool;
    /// @return the reservations of other jobs that a job must respect; bit n is reservation n.
    [[nodiscard]] auto respected(const WaitingJob &job, MonoTime now, bool ignoreReservations) const -> std::uint64_t;
    /// @return the slots that a job must not use: other jobs' reservations and the workers on which it failed.
    [[nodiscard]] auto blockedFor(const WaitingJob &job, MonoTime now, bool ignoreReservations) const -> std::vector<SlotMask>;
    auto tryFree(const WaitingJob &job, MonoTime now) const -> std::optional<Placement>;
    auto tryCovered(const WaitingJob &job, MonoTime now) -> std::optional<Placement>;
    /// Makes a job covered in place of covered jobs of the same workspace that are less urgent, or that are not urgent and use
    /// only a part of a shape that this job needs whole; those become borrowers.
    auto coverInstead(const WaitingJob &job) -> std::optional<Placement>;
    auto reserve(WaitingJob &job, MonoTime now) -> void;
};

}

#pragma once

/// Schedules the jobs of one failure domain: which job starts where, and which borrowers give way.
///
/// A pure state machine: time comes in as a parameter, nothing blocks, and equal calls give equal decisions. It is not
/// thread-safe. The planner feeds it what it knows and carries out what decide() returns:
/// @code
///   auto scheduler = Catkin::Scheduler{options};
///   scheduler.configure(config);
///   scheduler.updateWorker({.worker = WorkerId{"w-1"}, .rack = RackId{"r-1"}, .slots = 8}, now);
///   scheduler.adopt(spec, members, startedAt);         // takeover: gangs found running on workers
///   if (auto ok = scheduler.submit(spec, now); !ok) refuse(ok.error().message);
///   const auto decisions = scheduler.decide(now);      // after every batch of events, and at decisions.wakeAt
///   // preempt: checkpoint and stop; when the leases have ended: jobEnded(job, JobEnd::Requeue, now)
///   // start: reserve, start, renew; then jobStarted(job, now), or jobEnded(job, JobEnd::Requeue, now) on refusal
/// @endcode
///
/// The slots of a start belong to the job from decide() until jobEnded(). A job that needs preemptions is returned as a
/// start by a later decide(), once jobEnded() has been called for every job that it displaces; until then its slots
/// are kept for it.

#include "policy/jobspec.h"
#include "policy/quarantine.h"
#include "policy/shapes.h"
#include "policy/topology.h"
#include "util/outcome.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Catkin
{

/// What one workspace may use in this failure domain.
struct WorkspaceRule
{
    WorkspaceId name;
    int weight = 1; ///< share of borrowed slots, at least 1
    int urgentSharePercent = 0; ///< part of the workspace's entitlement that may run with urgent priority
    std::optional<int> quotaSlots; ///< most slots held at once; nothing: unlimited
    std::vector<Guarantee> guarantees; ///< those of this failure domain
};

struct SchedulerConfig
{
    std::vector<WorkspaceRule> workspaces;
};

struct SchedulerOptions
{
    Seconds usageHalfLife{3600}; ///< how fast a caller's past slot-seconds are forgotten
    Seconds reserveAfter{0}; ///< a blocked large job gets a reservation after this wait
    Seconds reserveSmallAfter{600}; ///< any blocked job gets a reservation after this wait
    Seconds reservationRefresh{30}; ///< how often the place of a reservation is chosen again
    Seconds parkAfter{60}; ///< a job that the fleet can no longer hold is parked after this time
    int racksPerReservation = 3; ///< one reservation at a time for each this many racks, at least one
    Seconds backfillAtLeast{60}; ///< a reclaimable job uses a reserved place only if that is not needed for this long
    QuarantineOptions quarantine;
    int candidatesPerWorkspace = 64; ///< most queued jobs of one workspace that one decision considers
};

/// A gang to start now; every listed slot is free of other gangs' leases.
struct Start
{
    JobId job;
    std::vector<MemberPlacement> members; ///< index is the member number
    bool covered = false; ///< runs within its workspace's guarantee and is never preempted by other workspaces
};

/// A gang to checkpoint (if it can) and stop so that another one can start.
struct Preemption
{
    JobId job;
    JobId beneficiary;
};

/// A job that cannot run on the known fleet or that fails on several workers.
struct Parked
{
    JobId job;
    std::string reason;
};

struct Decisions
{
    std::vector<Start> starts;
    std::vector<Preemption> preemptions;
    std::vector<Parked> parked;
    std::optional<MonoTime> wakeAt; ///< call decide() again by then even if nothing happens
};

/// How a gang, or the attempt to start it, ended.
enum class JobEnd {
    Succeeded,
    Failed, ///< its own exit; counted by quarantine; the job leaves the scheduler
    FailedRetry, ///< as Failed, but the job returns to the queue (or is parked when quarantine blames the job)
    Cancelled,
    Requeue, ///< preempted, refused or lost with a worker; the job returns to the queue at its old position
    Lost, ///< lost with a worker and must not run again
};

enum class JobCancelResult {
    Unknown, ///< no such job here
    Removed, ///< it was queued or parked, or waited for preempted jobs to end; it will not be started
    Running, ///< it has been handed out as a start: stop it and report JobEnd::Cancelled
};

/// One waiting job, for operators and callers.
struct QueuedJob
{
    JobId job;
    WorkspaceId workspace;
    int slots = 0;
    MonoTime since;
    std::string reason; ///< why it waits, or why it is parked
    bool parked = false;
    bool reserved = false; ///< a place is being kept for it
};

struct SchedulerStats
{
    int workers = 0;
    int usableSlots = 0;
    int freeSlots = 0;
    int coveredSlots = 0;
    int borrowedSlots = 0; ///< reclaimable use beyond guarantees
    int fixedSlots = 0; ///< use beyond guarantees that cannot be stopped
    int queuedJobs = 0;
    int runningJobs = 0;
    int quarantinedWorkers = 0;
    int guaranteeDeficit = 0; ///< slots of guaranteed shapes that cannot be formed now, because workers were lost
    double fragmentation = 0; ///< part of the free slots that lies outside wholly free workers
};

/// See the file comment.
class Scheduler
{
public:
    explicit Scheduler(const SchedulerOptions &options = {});
    ~Scheduler();
    Scheduler(Scheduler &&) noexcept;
    auto operator=(Scheduler &&) noexcept -> Scheduler &;

    /// Replaces the workspaces' rules. Running jobs continue; jobs beyond a smaller guarantee become borrowers.
    auto configure(const SchedulerConfig &config) -> void;

    /// Adds a worker or changes a known one. Reducing the slots or changing the rack of a worker with running tasks
    /// takes effect for the free slots only.
    /// @return ErrorCode::InvalidInput when the number of slots is not a power of two up to maxWorkerSlots.
    auto updateWorker(const WorkerInfo &worker, MonoTime now) -> Result<void>;

    /// Removes a worker whose tasks have certainly ended (restarted, or every lease has expired).
    /// @return the jobs that had a member there; the planner stops their other members and reports jobEnded().
    auto workerLost(const WorkerId &worker) -> std::vector<JobId>;

    /// Queues a job; submitting a known job again changes nothing.
    /// @return ErrorCode::InvalidInput or ErrorCode::Limit with the reason when the job can never run on the known
    /// fleet under the current quotas. Nothing is refused on capacity while no worker is known.
    auto submit(const ScheduledJob &spec, MonoTime now) -> Result<void>;

    /// Queues a job that was accepted earlier (read from the log); if it can never run, decide() parks it.
    auto resubmit(const ScheduledJob &spec, MonoTime since) -> void;

    auto cancel(const JobId &job) -> JobCancelResult;

    /// Enters a gang found running on workers. Its place is taken as it is, even when it breaks a guarantee.
    /// @return ErrorCode::NotFound for an unknown worker, ErrorCode::Conflict when slots belong to another job.
    auto adopt(const ScheduledJob &spec, const std::vector<MemberPlacement> &members, MonoTime startedAt) -> Result<void>;

    /// Every member runs; the run time counts from here.
    auto jobStarted(const JobId &job, MonoTime now) -> void;

    /// The gang holds no lease any more.
    /// @param job ignored when unknown
    /// @param end how it ended
    /// @param now when
    /// @param failedOn the worker whose member failed first, for JobEnd::Failed, FailedRetry and Requeue after a
    /// refused start; nothing when no worker is to blame
    auto jobEnded(const JobId &job, JobEnd end, MonoTime now, const std::optional<WorkerId> &failedOn = std::nullopt) -> void;

    /// @return what to do now; each start, preemption and parked job is returned once.
    auto decide(MonoTime now) -> Decisions;

    /// @return the waiting and parked jobs, in the order of submission.
    [[nodiscard]] auto queue() const -> std::vector<QueuedJob>;

    /// @return the placement of a job that holds slots, or nothing.
    [[nodiscard]] auto placementOf(const JobId &job) const -> std::optional<std::vector<MemberPlacement>>;

    [[nodiscard]] auto stats() const -> SchedulerStats;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}

#pragma once

/// Schedules the jobs of one failure domain: which job starts where, and which borrowing jobs are preempted for it.
///
/// The planner reports workers, jobs and their ends, and carries out what decide() returns:
/// @code
///   auto scheduler = Catkin::Scheduler{options};
///   scheduler.configure(config);
///   scheduler.updateWorker({.worker = WorkerId{"w-1"}, .rack = RackId{"r-1"}, .slots = 8}, now);
///   scheduler.adopt(spec, members, startedAt);         // after a takeover: gangs found running on workers
///   if (auto ok = scheduler.submit(spec, now); !ok) refuse(ok.error().message);
///   const auto decisions = scheduler.decide(now);      // after every batch of events, and at decisions.wakeAt
///   // for each preemption: checkpoint and stop; when the leases have ended: jobEnded(job, JobEnd::Requeue, now)
///   // for each start: reserve, start, renew; then jobStarted(job, now), or jobEnded(job, JobEnd::Requeue, now) if a
///   // worker refuses it
/// @endcode
///
/// The scheduler is a pure state machine: the caller passes the time, no call blocks, and the same sequence of calls
/// gives the same decisions. It is not thread-safe.
///
/// A started job owns its slots from decide() until jobEnded(). A job that needs preemptions is returned as a start by
/// a later decide(), once jobEnded() has been called for every job that it displaces. Until then its slots are kept for
/// it.
///
/// Jobs that run within their workspace's guarantee are covered. All other jobs borrow their slots.

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

/// Limits and guarantees of one workspace in this failure domain.
struct WorkspaceRule
{
    WorkspaceId name;
    int weight = 1; ///< share of borrowed slots, at least 1
    int urgentSharePercent = 0; ///< percentage of the entitlement (the larger of guarantee and weighted share) that may run with urgent priority
    std::optional<int> quotaSlots; ///< most slots held at once; unlimited if empty
    std::vector<Guarantee> guarantees; ///< only those of this failure domain
};

struct SchedulerConfig
{
    std::vector<WorkspaceRule> workspaces;
};

struct SchedulerOptions
{
    Seconds usageHalfLife{3600}; ///< half-life of a caller's past slot-seconds
    Seconds reserveAfter{0}; ///< wait of a blocked large job, one that needs at least the slots of a whole worker, before it gets a reservation
    Seconds reserveSmallAfter{600}; ///< the same for smaller jobs
    Seconds reservationRefresh{30}; ///< interval at which the slots of a reservation are chosen again
    Seconds parkAfter{60}; ///< time after which a queued job that cannot run on the known fleet is parked
    int racksPerReservation = 3; ///< there is at most one reservation per this many racks, but always one
    Seconds backfillAtLeast{60}; ///< a checkpointable job may use reserved slots only if the reservation does not need them for this long
    QuarantineOptions quarantine;
    int candidatesPerWorkspace = 64; ///< most queued jobs of one workspace that one pass of a decision tries to place
};

/// A gang to start now. No other gang holds a lease on its slots.
struct Start
{
    JobId job;
    std::vector<MemberPlacement> members; ///< indexed by member number
    bool covered = false; ///< runs within its workspace's guarantee and is never preempted by other workspaces
};

/// A gang to checkpoint, if it is checkpointable, and to stop.
struct Preemption
{
    JobId job;
    JobId beneficiary; ///< the job that gets the slots
};

/// A job taken out of the queue, because it cannot run on the known fleet or failed on several workers.
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
    std::optional<MonoTime> wakeAt; ///< when to call decide() again at the latest, even without an event
};

/// How a gang, or the attempt to start it, ended.
enum class JobEnd {
    Succeeded,
    Failed, ///< a task failed; counted by quarantine; the job leaves the scheduler
    FailedRetry, ///< as Failed, but the job returns to the queue, or is parked when quarantine finds the job faulty
    Cancelled,
    Requeue, ///< preempted, refused by a worker or lost with one; the job returns to the queue at its old position
    Lost, ///< lost with a worker and must not run again
};

enum class JobCancelResult {
    Unknown, ///< the scheduler does not have the job
    Removed, ///< the job was queued, parked or waiting for preempted jobs to end; it will not be started
    Running, ///< decide() has returned the job as a start: stop it and report JobEnd::Cancelled
};

/// A waiting or parked job, as shown to operators and callers.
struct QueuedJob
{
    JobId job;
    WorkspaceId workspace;
    int slots = 0;
    MonoTime since;
    std::string reason; ///< why it waits, or why it is parked
    bool parked = false;
    bool reserved = false; ///< slots are reserved for it
};

struct SchedulerStats
{
    int workers = 0;
    int usableSlots = 0;
    int freeSlots = 0;
    int coveredSlots = 0; ///< held within guarantees
    int borrowedSlots = 0; ///< held beyond guarantees by reclaimable jobs
    int fixedSlots = 0; ///< held beyond guarantees by jobs that cannot be stopped
    int queuedJobs = 0;
    int runningJobs = 0;
    int quarantinedWorkers = 0;
    int guaranteeDeficit = 0; ///< slots missing to form every guaranteed shape, for example after workers were lost
    double fragmentation = 0; ///< fraction of the free slots that are on partly used workers
};

/// See the file comment. Not thread-safe.
class Scheduler
{
public:
    explicit Scheduler(const SchedulerOptions &options = {});
    ~Scheduler();
    Scheduler(Scheduler &&) noexcept;
    auto operator=(Scheduler &&) noexcept -> Scheduler &;

    /// Replaces the workspaces' rules. Running jobs continue; those that a reduced guarantee no longer covers become borrowers.
    auto configure(const SchedulerConfig &config) -> void;

    /// Adds a worker or changes a known one. If tasks run on the worker, fewer slots or another rack take effect for its
    /// free slots only.
    /// @return ErrorCode::InvalidInput when the number of slots is not a power of two up to maxWorkerSlots.
    auto updateWorker(const WorkerInfo &worker, MonoTime now) -> Result<void>;

    /// Removes a worker whose tasks have certainly ended, because it restarted or every lease has expired.
    /// @return the dispatched jobs that had a member on it; the planner stops their other members and calls jobEnded().
    auto workerLost(const WorkerId &worker) -> std::vector<JobId>;

    /// Queues a job; submitting a known job again changes nothing.
    /// @return ErrorCode::InvalidInput for an invalid number of tasks or slots, ErrorCode::Limit with the reason when the
    /// job can never run on the known fleet under the current quotas and guarantees. While no worker is known, only the
    /// quota is checked.
    auto submit(const ScheduledJob &spec, MonoTime now) -> Result<void>;

    /// Queues a job that was accepted earlier and read back from the log. If it can never run, decide() parks it.
    /// @param since when the job was submitted
    auto resubmit(const ScheduledJob &spec, MonoTime since) -> void;

    auto cancel(const JobId &job) -> JobCancelResult;

    /// Records a gang found running on workers. Its slots are accepted even when a guarantee can then no longer be met.
    /// A job that holds some of them but has not been dispatched returns to the queue.
    /// @return ErrorCode::NotFound for an unknown worker, ErrorCode::Conflict when slots belong to another job.
    auto adopt(const ScheduledJob &spec, const std::vector<MemberPlacement> &members, MonoTime startedAt) -> Result<void>;

    /// Reports that every member runs. The job's run time is measured from @p now.
    auto jobStarted(const JobId &job, MonoTime now) -> void;

    /// Reports that a gang no longer holds any lease. The call has no effect when the job holds no slots.
    /// @param end how the gang, or the attempt to start it, ended
    /// @param failedOn the worker whose member failed first, for JobEnd::Failed, JobEnd::FailedRetry, and JobEnd::Requeue after
    /// a refused start; empty when the end is not a failure of a worker or job
    auto jobEnded(const JobId &job, JobEnd end, MonoTime now, const std::optional<WorkerId> &failedOn = std::nullopt) -> void;

    /// @return the starts, preemptions and parked jobs that are new since the last call; each is returned once.
    auto decide(MonoTime now) -> Decisions;

    /// @return the queued jobs in the order of submission, then those that wait for preempted jobs to end, then the parked ones.
    [[nodiscard]] auto queue() const -> std::vector<QueuedJob>;

    /// @return the placement of a job that holds slots, or nothing.
    [[nodiscard]] auto placementOf(const JobId &job) const -> std::optional<std::vector<MemberPlacement>>;

    [[nodiscard]] auto stats() const -> SchedulerStats;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}

#pragma once

/// Plans the jobs of one failure domain while this instance is its planner.
///
/// Decisions come from policy/scheduler.h and policy/gangs.h; this class carries them out. All members but post() belong
/// to the planner thread; network calls run on the work pool and return their results through post().
/// @code
///   auto planner = Catkin::DomainPlanner{domain, context};
///   planner.setWorkers(workers);
///   auto due = planner.step();            // again at due, or after a notification
/// @endcode
///
/// A new planner first reads the status of every worker, claims a generation above the highest that it finds, and adopts
/// the gangs that run when the workers answer the claim. Nothing is started or ended before that. A planner that reaches no worker at all may be cut off
/// from a failure domain in which another planner goes on, so it claims and settles nothing until a worker answers.
///
/// Each status of a worker, and each change of the jobs, is compared with the gangs and the jobs: a live lease that they do not
/// call for is ended, whoever started it and whenever its job ended. The orders are sent until the worker reports the end, so
/// that no end depends on the planner that decided it.

#include "daemon/configservice.h"
#include "daemon/fleet.h"
#include "daemon/jobservice.h"
#include "daemon/workpool.h"
#include "policy/gangs.h"
#include "policy/scheduler.h"
#include "ports/workerport.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Catkin
{

struct PlannerOptions
{
    InstanceId instance;
    SchedulerOptions scheduler;
    GangOptions gangs;
    Millis pollPeriod{500}; ///< least time between status polls of one worker
    int maxPollsPerSecond = 30; ///< over all workers of the failure domain; bounds the planner's processor time
    Millis claimWait{2'000}; ///< longest wait for the first status of unreachable workers before claiming
    /// Pause before claiming when the first worker answers only after claimWait, as at the end of a partition: longer
    /// than peers need to connect again (backoff of at most 4 s), so that the planner inside is known first.
    Millis reconnectWait{5'000};
    Millis adoptWait{30'000}; ///< longest wait for unreachable workers before the members of an incomplete gang that are found are ended
    Millis attemptWait{3'000}; ///< longest wait for the log to confirm an attempt
    Millis staleBackoff{1'000}; ///< pause before claiming again after another planner has claimed a worker
};

/// What a planner needs; everything outlives it.
struct PlannerContext
{
    WorkerPort workers;
    JobService *jobs = nullptr;
    WorkPool *pool = nullptr;
    Clock clock;
    PlannerOptions options;
    std::function<void()> wake; ///< wakes the planner thread
    std::function<void(Micros)> decided; ///< duration of a decision that started or stopped jobs; may be empty
    std::function<void(const Job &)> preempted; ///< a job is stopped for another one; may be empty
};

/// A worker as operators see it.
struct WorkerView
{
    WorkerId worker;
    RackId rack;
    int slots = 0;
    bool reachable = false;
    bool leaving = false;
    Generation generation;
    std::vector<WorkerLease> leases;
    std::vector<LeaseUsage> usage;
};

/// A planner as operators see it.
struct PlannerView
{
    FailureDomainId domain;
    bool claimed = false;
    Generation generation;
    SchedulerStats stats;
    std::vector<QueuedJob> queue;
    std::vector<WorkerView> workers;
    std::size_t gangs = 0;
};

class DomainPlanner : public std::enable_shared_from_this<DomainPlanner>
{
public:
    DomainPlanner(FailureDomainId domain, PlannerContext context);

    /// Sets the workers that the instance list names for this failure domain.
    auto setWorkers(const std::vector<ListedInstance> &workers) -> void;
    auto setConfig(const ActiveConfig &config) -> void;
    /// Jobs may have changed.
    auto jobsChanged() -> void;

    /// Advances everything.
    /// @return when to call again even if nothing happens.
    auto step() -> MonoTime;

    /// Queues a call for the planner thread; any thread may call this.
    /// @param urgent whether to wake the planner thread; otherwise its next step makes the call
    auto post(std::function<void()> call, bool urgent = true) -> void;

    [[nodiscard]] auto view() const -> PlannerView;
    [[nodiscard]] auto generation() const -> const Generation &;
    [[nodiscard]] auto claimed() const -> bool;
    /// @return whether another planner has claimed a worker since. This object then knows nothing of what that planner started, and
    /// does nothing more: a new one has to take over in its place.
    [[nodiscard]] auto superseded() const -> bool;
    /// Takes the place of a superseded planner of this instance after a pause.
    auto succeed(const DomainPlanner &superseded) -> void;

private:
    struct Worker
    {
        ListedInstance listed;
        std::optional<WorkerStatus> status;
        MonoTime answeredAt{}; ///< when the status arrived
        /// The claim was not answered, so the status is older than it and the worker counts as not reached. Its leases may still run.
        bool stale = false;
        bool heard = false; ///< at least one exchange has ended, with or without success
        MonoTime lastPoll{};
        bool claimDue = false; ///< the claim of the present generation has not been answered
        bool claimSent = false;
        std::map<LeaseId, MonoTime> ending; ///< live leases that nothing calls for, with the time at which this was found
        MonoTime lastEnding{}; ///< when their end was last ordered
    };

    /// Members of one attempt as found on the workers.
    struct Found
    {
        int attempt = 0;
        std::map<int, GangMember> members;
        bool live = false; ///< some member's lease has not ended
    };

    auto runInbox() -> void;
    auto claim(MonoTime now) -> void;
    auto sendClaims() -> void;
    auto adoptGangs(MonoTime now) -> void;
    auto findGangs() const -> std::map<JobId, Found>;
    auto highestListed(const JobId &job) const -> int;
    auto foreignAttemptRuns(const JobId &job) const -> bool;
    auto leaseLasts(const JobId &job, MonoTime now) const -> bool;
    auto longestLease() const -> Millis;
    auto adoptJob(const Job &job, const Found *found, bool complete, MonoTime now) -> void;
    auto succeededAttempt(const Job &job) const -> std::optional<int>;
    auto settleSucceeded(const Job &job, int attempt) -> void;
    auto settleLost(const Job &job) -> void;
    auto calledFor(const WorkerId &id, const WorkerLease &lease) -> bool;
    auto checkLeases(const WorkerId &id, MonoTime now) -> void;
    auto endLeases(const WorkerId &id, MonoTime now) -> void;
    auto syncJobs(MonoTime now) -> void;
    auto syncJob(const Job &job, MonoTime now) -> void;
    auto syncWorker(const WorkerId &id, MonoTime now) -> void;
    auto decide(MonoTime now) -> std::optional<MonoTime>;
    auto startGang(const Start &start, MonoTime now) -> void;
    auto handleEvent(const GangEvent &event, MonoTime now) -> void;
    auto handleEnd(const GangEvent &event, MonoTime now) -> void;
    auto successNumber(const Job &job, int attempt) -> int;
    auto finishJob(const Job &job, const GangEvent &event, JobResult result, bool ran) -> void;
    auto confirmAttempt(const GangEvent &event) -> void;
    auto sendOrders(const WorkerId &id, const std::vector<WorkerOrder> &orders) -> void;
    auto ordersDone(const WorkerId &id, const std::vector<WorkerOrder> &orders, const Result<OrdersReply> &reply) -> void;
    auto poll(const WorkerId &id, MonoTime now) -> void;
    auto pollPeriod() const -> Micros;
    auto pollDone(const WorkerId &id, Result<WorkerStatus> status) -> void;
    auto noteStatus(const WorkerId &id, WorkerStatus status) -> void;
    auto noteStale(MonoTime now) -> void;

    FailureDomainId m_domain;
    PlannerContext m_context;
    Scheduler m_scheduler;
    GangTable m_gangs;
    std::map<WorkerId, Worker> m_workers;
    Generation m_generation;
    bool m_claimed = false;
    bool m_superseded = false;
    bool m_adopted = false;
    bool m_jobsChanged = true;
    MonoTime m_since;
    std::optional<MonoTime> m_contact; ///< when the first worker answered
    MonoTime m_claimAfter; ///< no claim before this time
    std::map<JobId, int> m_lastAttempt; ///< highest attempt number used here
    std::set<JobId> m_unsettled; ///< jobs of an earlier planner whose members have not been found yet
    std::set<JobId> m_abandoned; ///< those of m_unsettled that were not found whole in time; their members are ended
    std::mutex m_inboxMutex;
    std::deque<std::function<void()>> m_inbox;
};

}

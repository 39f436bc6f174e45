#pragma once

/// Starts, renews and stops gangs on the workers of one failure domain.
///
/// The planner sends the orders and handles the events that tick() returns, and reports the workers' replies:
/// @code
///   auto gangs = Catkin::GangTable{options};
///   gangs.start(spec, now);
///   auto step = gangs.tick(now);              // step.orders: one batch per idle worker; step.events: for the log
///   gangs.ordersDone(WorkerId{"w-1"}, batch, reply, now);
/// @endcode
///
/// The table is a pure state machine: it uses no sockets, threads or clock. As long as workers follow the lease protocol
/// (docs/interfaces.md), it guarantees:
/// - No member is started before every member is reserved and, for an at-most-once job, the attempt is recorded in the log.
/// - If not every member is confirmed running within the probation time, the gang is stopped. If the table itself is lost
///   before that, the members' leases expire.
/// - A gang is reported as ended only when no member can be running any more.

#include "ports/workerport.h"
#include "util/ids.h"
#include "util/units.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Catkin
{

struct GangOptions
{
    Millis reserveTtl{10'000}; ///< lease time of a reserved member that has not started
    Millis probationTtl{3'000}; ///< lease time of a started member until every member is confirmed running
    Millis runTtl{120'000}; ///< lease time of a member once the whole gang is confirmed running
    Millis renewPeriod{10'000}; ///< interval between renewals of a confirmed gang's leases
    Millis resendPeriod{100}; ///< interval at which an order is sent again until its effect is seen
    Millis checkpointBudget{1'500}; ///< longest time for checkpoints before a stop
    Millis stopGrace{400}; ///< time for a task to obey a stop order; after it the lease is cut short
    Millis orderTimeout{1'000}; ///< timeout of an exchange with a worker, and so the longest time until an order arrives
    int missedPolls = 3; ///< number of consecutive failed exchanges after which a worker counts as unreachable
};

struct GangMember
{
    WorkerId worker;
    std::vector<int> slots;
};

struct GangSpec
{
    JobId job;
    int attempt = 1;
    std::vector<GangMember> members;
    std::vector<int> indexes{}; ///< the members' numbers if an adopted gang is incomplete; if empty, they are 0, 1, 2 …
    bool needsAttemptRecord = false; ///< at-most-once job: it starts only after its attempt is recorded as the one that counts
    bool checkpointable = false;
    std::string payload;
};

enum class GangOutcome {
    Succeeded, ///< every member succeeded
    Failed, ///< a member's task failed
    Stopped, ///< stopped on request after it had started
    Aborted, ///< ended before any task began
    Lost, ///< a member vanished or its lease lapsed; tasks may have begun
};

/// @return the stable lower-case name of @p outcome, used in records and logs.
auto outcomeName(GangOutcome outcome) -> const char *;

enum class GangEventType {
    AttemptRecordNeeded, ///< the planner has to record the attempt and then call attemptDecided()
    Started, ///< every member is confirmed running
    Ended, ///< no member can be running any more; the gang is removed from the table
};

struct GangEvent
{
    GangEventType type = GangEventType::Ended;
    JobId job;
    int attempt = 0;
    GangOutcome outcome = GangOutcome::Aborted; ///< Ended only
    std::string reason; ///< Ended only; why the gang did not succeed; empty on success
    std::optional<WorkerId> failedWorker; ///< Ended only; the worker on which a member failed first, if any
    bool checkpointed = false; ///< Ended only; every member has a checkpoint
};

struct GangStep
{
    std::map<WorkerId, std::vector<WorkerOrder>> orders; ///< one batch per worker, to be sent now
    std::vector<GangEvent> events;
};

enum class GangPhase { Reserving, AwaitingAttempt, Starting, Running, Checkpointing, Stopping, Recovering };

/// @param running whether the task of the lease may run; a lease that is only reserved is released
/// @param asked time since the end of the lease was first ordered; a task that has not obeyed within GangOptions::stopGrace has
/// its lease cut short
/// @return the orders that end a lease, to be sent again until the worker reports its end.
auto endLeaseOrders(const GangOptions &options, const LeaseId &lease, bool running, Micros asked) -> std::vector<WorkerOrder>;

/// See the file comment. Not thread-safe.
class GangTable
{
public:
    explicit GangTable(const GangOptions &options);

    /// Starts a gang on members that the scheduler has chosen.
    auto start(GangSpec spec, MonoTime now) -> void;

    /// Takes over a gang that an earlier planner may have started. The state of its members is read from their workers. If a
    /// worker stays unreachable, its member is considered lost after the longest time that its lease can last.
    auto adopt(GangSpec spec, MonoTime now) -> void;

    /// Reports the result of an AttemptRecordNeeded event.
    /// @param won whether this attempt, not another one of the job, is the recorded one
    auto attemptDecided(const JobId &job, int attempt, bool won, MonoTime now) -> void;

    /// Stops a gang; tick() reports its end later.
    /// @param withCheckpoint whether a running, checkpointable gang gets up to the checkpoint budget for checkpoints first
    auto stop(const JobId &job, bool withCheckpoint, const std::string &reason, MonoTime now) -> void;

    /// Reports a worker's reply to a batch that tick() returned. A failed exchange counts towards GangOptions::missedPolls.
    auto ordersDone(const WorkerId &worker, const std::vector<WorkerOrder> &orders, const Result<OrdersReply> &reply, MonoTime now) -> void;

    /// Reports that a status poll of @p worker begins. tick() returns no batch for it until statusDone().
    auto pollStarted(const WorkerId &worker) -> void;

    /// Reports the result of the poll that pollStarted() announced.
    auto statusDone(const WorkerId &worker, const Result<WorkerStatus> &status, MonoTime now) -> void;

    /// Advances every gang.
    /// @return at most one batch for each worker without an exchange in progress, and the new events
    auto tick(MonoTime now) -> GangStep;

    /// @return whether an exchange (batch or status poll) with @p worker is in progress.
    [[nodiscard]] auto busy(const WorkerId &worker) const -> bool;
    /// @return whether the last GangOptions::missedPolls exchanges with @p worker failed.
    [[nodiscard]] auto unreachable(const WorkerId &worker) const -> bool;
    [[nodiscard]] auto contains(const JobId &job) const -> bool;
    /// @return whether the lease on this worker is one of a member of the job's gang.
    [[nodiscard]] auto holds(const JobId &job, const WorkerId &worker, const LeaseId &lease) const -> bool;
    [[nodiscard]] auto phase(const JobId &job) const -> std::optional<GangPhase>;
    [[nodiscard]] auto size() const -> std::size_t;

    /// @return the lease id of a member. Every planner computes the same one, so orders stay idempotent across a takeover.
    static auto leaseId(const JobId &job, int attempt, int member) -> LeaseId;

private:
    enum class MemberState {
        Unknown, ///< its worker has not reported it yet; may be reserved or running
        Reserved,
        Running,
        Ended,
        Gone, ///< its worker reports that it does not have the lease
    };

    struct Member
    {
        WorkerId worker;
        std::vector<int> slots;
        LeaseId lease;
        MemberState state = MemberState::Unknown;
        LeaseExit exit = LeaseExit::None;
        bool started = false; ///< the task is known to have begun
        bool checkpointed = false;
        bool refused = false; ///< the worker refused the reservation
        MonoTime lastOrder{};
        MonoTime lastRenewal{};
        MonoTime mayHoldUntil{}; ///< latest time at which the lease can end, if every order sent was received
    };

    struct Gang
    {
        GangSpec spec;
        GangPhase phase = GangPhase::Reserving;
        std::vector<Member> members;
        MonoTime phaseSince{};
        MonoTime nextDue{}; ///< when tick() looks at the gang again
        bool attemptWon = false;
        bool stopRequested = false;
        bool startedReported = false;
        GangOutcome outcome = GangOutcome::Aborted;
        std::string reason;
        std::optional<WorkerId> failedWorker;
    };

    struct WorkerLink
    {
        bool busy = false; ///< an exchange is in progress
        int failures = 0; ///< consecutive failed exchanges
    };

    auto enterPhase(Gang &gang, GangPhase phase, MonoTime now) -> void;
    auto beginStop(Gang &gang, GangOutcome outcome, std::string reason, std::optional<WorkerId> failedWorker, MonoTime now) -> void;
    /// @return whether the gang has ended.
    auto advance(Gang &gang, MonoTime now, GangStep &step) -> bool;
    auto advanceReserving(Gang &gang, MonoTime now, GangStep &step) -> void;
    auto advanceStarting(Gang &gang, MonoTime now, GangStep &step) -> void;
    auto advanceRunning(Gang &gang, MonoTime now) -> void;
    auto advanceRecovering(Gang &gang, MonoTime now, GangStep &step) -> void;
    auto confirmRunning(Gang &gang, MonoTime now, GangStep &step) -> void;
    auto finishedStopping(const Gang &gang, MonoTime now) const -> bool;
    auto endEvent(const Gang &gang) const -> GangEvent;
    auto emitOrders(Gang &gang, MonoTime now, GangStep &step) -> void;
    auto mergeRenewals(MonoTime now, GangStep &step) -> void;
    auto appendOrders(Gang &gang, std::size_t index, MonoTime now, std::vector<WorkerOrder> &batch) -> void;
    auto observe(const WorkerStatus &status, MonoTime now) -> void;
    auto observeMember(Gang &gang, Member &member, const WorkerStatus &status) -> void;
    auto recordFailure(const WorkerId &worker, MonoTime now) -> void;
    auto allMembers(const Gang &gang, MemberState state) const -> bool;
    auto insert(GangSpec spec, GangPhase phase, MonoTime now) -> Gang &;

    GangOptions m_options;
    std::map<JobId, Gang> m_gangs;
    std::map<WorkerId, WorkerLink> m_links;
    std::map<WorkerId, std::vector<JobId>> m_jobsOnWorker;
};

}

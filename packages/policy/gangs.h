#pragma once

/// The life of running gangs on the workers of one failure domain, as a pure state machine.
///
/// The planner feeds in what happened and carries out what comes back; no sockets, no threads, no clock:
/// @code
///   auto gangs = Catkin::GangTable{options};
///   gangs.start(spec, now);
///   auto step = gangs.tick(now);              // step.orders: one batch per idle worker; step.events: for the log
///   gangs.ordersDone("w-1", batch, reply, now);
/// @endcode
///
/// Guarantees, as long as workers keep their lease protocol (docs/interfaces.md):
/// - no member is started before every member is reserved and, where the gang needs one, its attempt is on record;
/// - a gang of which not every member is confirmed running within the probation time is stopped, and lapses by itself
///   if this table is lost;
/// - a gang is reported ended only when no member can be running any more.

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
    Millis probationTtl{3'000}; ///< first lease time of a started member, until the whole gang is confirmed
    Millis runTtl{120'000}; ///< lease time of a confirmed gang
    Millis renewPeriod{10'000}; ///< time between renewals of a confirmed gang
    Millis resendPeriod{100}; ///< time before an order whose effect has not been seen is sent again
    Millis checkpointBudget{1'500}; ///< longest wait for checkpoints before a stop
    Millis stopGrace{400}; ///< time that a task has to obey a stop before its lease is cut short
    Millis orderTimeout{1'000}; ///< longest time that an order can be under way
    int missedPolls = 3; ///< failed exchanges in a row after which a worker counts as unreachable
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
    std::vector<int> indexes{}; ///< member numbers, when an adopted gang is incomplete; empty: 0, 1, 2 …
    bool needsAttemptRecord = false; ///< an at-most-once job starts only after its attempt has won in the log
    bool checkpointable = false;
    std::string payload;
};

enum class GangOutcome {
    Succeeded, ///< every member ended with success
    Failed, ///< a member's own work failed
    Stopped, ///< ended on request after it had started
    Aborted, ///< no user work ran
    Lost, ///< a member vanished or its lease lapsed; user work may have run
};

/// @return the stable lower-case name of @p outcome, used in records and logs.
auto outcomeName(GangOutcome outcome) -> const char *;

enum class GangEventType {
    AttemptRecordNeeded, ///< record the attempt, then call attemptDecided()
    Started, ///< every member is confirmed running
    Ended, ///< no member runs any more; the gang has left the table
};

struct GangEvent
{
    GangEventType type = GangEventType::Ended;
    JobId job;
    int attempt = 0;
    GangOutcome outcome = GangOutcome::Aborted; ///< Ended only
    std::string reason; ///< Ended only; why the gang did not simply succeed
    std::optional<WorkerId> failedWorker; ///< Ended only; the worker on which it went wrong
    bool checkpointed = false; ///< Ended only; every member has a checkpoint
};

struct GangStep
{
    std::map<WorkerId, std::vector<WorkerOrder>> orders;
    std::vector<GangEvent> events;
};

enum class GangPhase { Reserving, AwaitingAttempt, Starting, Running, Checkpointing, Stopping, Recovering };

class GangTable
{
public:
    explicit GangTable(const GangOptions &options);

    /// Starts a gang on members that the scheduler has chosen.
    auto start(GangSpec spec, MonoTime now) -> void;

    /// Takes over a gang that an earlier planner may have started; its members' workers tell what runs.
    /// A member whose worker stays unreachable is given up after the longest time that its lease can last.
    auto adopt(GangSpec spec, MonoTime now) -> void;

    /// Reports the result of a AttemptRecordNeeded event.
    /// @param won whether this attempt is the one on record
    auto attemptDecided(const JobId &job, int attempt, bool won, MonoTime now) -> void;

    /// Ends a gang.
    /// @param withCheckpoint whether to ask for a checkpoint first, for at most the checkpoint budget
    auto stop(const JobId &job, bool withCheckpoint, const std::string &reason, MonoTime now) -> void;

    /// Reports a batch that tick() returned. A failed exchange counts towards the worker being unreachable.
    auto ordersDone(const WorkerId &worker, const std::vector<WorkerOrder> &orders, const Result<OrdersReply> &reply, MonoTime now) -> void;

    /// Announces a status poll, so that no batch is sent to the worker until statusDone().
    auto pollStarted(const WorkerId &worker) -> void;

    /// Reports the status poll announced by pollStarted().
    auto statusDone(const WorkerId &worker, const Result<WorkerStatus> &status, MonoTime now) -> void;

    /// Advances every gang.
    /// @return at most one batch for each worker without a batch under way, and what has happened
    auto tick(MonoTime now) -> GangStep;

    /// @return whether a batch for @p worker is under way.
    [[nodiscard]] auto busy(const WorkerId &worker) const -> bool;
    /// @return whether @p worker failed the last exchanges in a row.
    [[nodiscard]] auto unreachable(const WorkerId &worker) const -> bool;
    [[nodiscard]] auto contains(const JobId &job) const -> bool;
    [[nodiscard]] auto phase(const JobId &job) const -> std::optional<GangPhase>;
    [[nodiscard]] auto size() const -> std::size_t;

    /// @return the lease id of a member; the same for every planner, so that orders stay idempotent across a takeover.
    static auto leaseId(const JobId &job, int attempt, int member) -> LeaseId;

private:
    enum class MemberState {
        Unknown, ///< nothing heard; may be reserved or running
        Reserved,
        Running,
        Ended,
        Gone, ///< the worker is reachable and does not hold the lease
    };

    struct Member
    {
        WorkerId worker;
        std::vector<int> slots;
        LeaseId lease;
        MemberState state = MemberState::Unknown;
        LeaseExit exit = LeaseExit::None;
        bool started = false; ///< user work is known to have begun
        bool checkpointed = false;
        bool refused = false; ///< the worker turned the reservation down
        MonoTime lastOrder{};
        MonoTime lastRenewal{};
        MonoTime mayHoldUntil{}; ///< the lease can not outlive this time, whatever the worker received
    };

    struct Gang
    {
        GangSpec spec;
        GangPhase phase = GangPhase::Reserving;
        std::vector<Member> members;
        MonoTime phaseSince{};
        MonoTime nextDue{};
        bool attemptWon = false;
        bool stopRequested = false;
        bool startedSent = false;
        GangOutcome outcome = GangOutcome::Aborted;
        std::string reason;
        std::optional<WorkerId> failedWorker;
    };

    struct WorkerLink
    {
        bool busy = false;
        int failures = 0;
    };

    auto enter(Gang &gang, GangPhase phase, MonoTime now) -> void;
    auto beginStop(Gang &gang, GangOutcome outcome, std::string reason, std::optional<WorkerId> failedWorker, MonoTime now) -> void;
    auto advance(Gang &gang, MonoTime now, GangStep &step) -> bool;
    auto advanceReserving(Gang &gang, MonoTime now, GangStep &step) -> void;
    auto advanceStarting(Gang &gang, MonoTime now, GangStep &step) -> void;
    auto advanceRunning(Gang &gang, MonoTime now) -> void;
    auto advanceRecovering(Gang &gang, MonoTime now, GangStep &step) -> void;
    auto confirmRunning(Gang &gang, MonoTime now, GangStep &step) -> void;
    auto finishedStopping(const Gang &gang, MonoTime now) const -> bool;
    auto endEvent(const Gang &gang) const -> GangEvent;
    auto emitOrders(Gang &gang, MonoTime now, GangStep &step) -> void;
    auto joinRenewals(MonoTime now, GangStep &step) -> void;
    auto emitFor(Gang &gang, std::size_t index, MonoTime now, std::vector<WorkerOrder> &batch) -> void;
    auto observe(const WorkerStatus &status, MonoTime now) -> void;
    auto observeMember(Gang &gang, Member &member, const WorkerStatus &status) -> void;
    auto noteFailure(const WorkerId &worker, MonoTime now) -> void;
    auto allMembers(const Gang &gang, MemberState state) const -> bool;
    auto insert(GangSpec spec, GangPhase phase, MonoTime now) -> Gang &;

    GangOptions m_options;
    std::map<JobId, Gang> m_gangs;
    std::map<WorkerId, WorkerLink> m_links;
    std::map<WorkerId, std::vector<JobId>> m_jobsOnWorker;
};

}

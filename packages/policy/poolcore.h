#pragma once

/// The pool planner's decisions: which task runs where, what an answer of a worker means, and what must be on record
/// before the next order goes out. No network, threads or clock of its own.
///
/// @code
///   auto core = Catkin::PoolCore{options};
///   core.setRules(rules, now);
///   core.addJob(job, now);
///   core.applyPollReply("w-1", request, answer, sentAt, now);
///   auto effects = core.plan(now, wall);
///   write(effects.changed);                    // first the record,
///   core.recorded(effects);                    // then the orders and the acknowledgement of ends
///   send(effects.orders);
/// @endcode
///
/// Why a task never runs twice at once: each placed attempt has an allocation on its worker, and the task can only be
/// placed again after the allocation is gone. An allocation goes when the worker lists the attempt's end, when a look
/// that was sent after every open order had been answered does not show it, when the worker has another lifetime, when
/// its process has ended by itself, or when every lease that any planner can have given has run out.

#include "policy/poolfleet.h"
#include "policy/pooljob.h"
#include "policy/workermessages.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Catkin
{

struct PoolOptions
{
    Millis leaseDuration{10'000}; ///< how long a worker keeps running without word from a planner
    Millis stopGrace{200}; ///< how long a stop may take
    Millis retention{120'000}; ///< how long a final job stays known
};

/// What PoolCore wants sent.
struct PoolOrder
{
    enum class Kind { Start, Stop };
    Kind kind = Kind::Start;
    WorkerId worker;
    std::string address;
    TaskKey task;
    int attempt = 0;
    std::string payload; ///< of a start
    std::string checkpoint; ///< of a start
    Millis answerTimeout{0}; ///< how long the answer may take
};

/// Decision worth a log line.
struct PoolLogEntry
{
    const char *decision = ""; ///< one word, listed in docs/OPERATIONS.md
    std::string text;
};

struct PoolEffects
{
    std::vector<JobId> changed; ///< jobs whose placement record must be written first
    std::vector<JobId> phaseChanged; ///< jobs whose published state has changed
    std::vector<JobId> expired; ///< jobs to forget
    std::vector<PoolOrder> orders;
    std::map<WorkerId, std::int64_t> completions; ///< ends that the changes cover
    std::vector<PoolLogEntry> logEntries;
};

/// How a look at a worker should be made now.
struct WorkerPoll
{
    WorkerId worker;
    std::string address;
    WorkerPollRequest request; ///< without the token
};

class PoolCore
{
public:
    explicit PoolCore(const PoolOptions &options);

    /// @name What others report
    /// @{
    auto setRules(const PoolRules &rules) -> void;
    auto addJob(const PoolJob &job, MonoTime now) -> void;
    auto cancelJob(const JobId &id, MonoTime now) -> void;
    /// Takes over a job with the record of an earlier planner; addJob() must have been called.
    /// @param takenOverUntil when every lease of earlier planners has run out
    auto adoptRecord(const JobId &id, const PoolJobState &recorded, MonoTime takenOverUntil, MonoTime now) -> void;
    /// Takes over a final state that an earlier planner published; what is left of the job is stopped.
    auto adoptFinal(const JobId &id, PoolJobPhase phase, MonoTime now) -> void;
    auto setWorkers(const std::vector<PoolWorkerInfo> &listed, MonoTime now) -> void;
    /// The worker's process has certainly ended, so that nothing it was told to run can be running.
    auto workerLeft(const WorkerId &id) -> void;
    /// @param sentAt when the look was sent
    /// @return whether plan() may decide otherwise now
    auto applyPollReply(const WorkerId &id, const WorkerPollReply &answer, MonoTime sentAt, MonoTime now) -> bool;
    auto pollFailed(const WorkerId &id) -> void;
    auto applyOrder(const PoolOrder &order, OrderOutcome outcome, MonoTime now) -> void;
    /// @}

    /// Decides what to do next.
    /// @param now monotonic time that also counts suspension
    /// @param wall wall-clock time, for scheduled jobs
    auto plan(MonoTime now, WallTime wall) -> PoolEffects;

    /// The records of @p effects are stored.
    auto recorded(const PoolEffects &effects) -> void;

    /// @return whether an order that has waited to be sent is still to be sent.
    [[nodiscard]] auto isCurrent(const PoolOrder &order) const -> bool;

    /// @return the lease that an order sent now should carry; the core remembers it. Nothing before the worker's first answer.
    auto leaseFor(const WorkerId &id, MonoTime now) -> WorkerTime;

    /// @return whether work may still run on a worker that is not listed any more.
    [[nodiscard]] auto hasUnlistedWork() const -> bool;
    /// @return workers to look at: those listed and those with allocations.
    [[nodiscard]] auto pollTargets() const -> std::vector<std::pair<WorkerId, std::string>>;
    /// @return whether nothing runs on the worker and nothing of it is open, so that it need not be looked at now.
    [[nodiscard]] auto isIdle(const WorkerId &id) const -> bool;
    /// @return whether the worker has listed ends that are not on record yet.
    [[nodiscard]] auto hasUnrecordedCompletions(const WorkerId &id) const -> bool;
    /// @return the next look at a worker.
    auto nextPoll(const WorkerId &id, MonoTime now) -> WorkerPoll;

    /// @return whether a worker has seen a newer planner.
    [[nodiscard]] auto fenced() const -> bool;
    /// @return the state of a job, or null.
    [[nodiscard]] auto find(const JobId &id) const -> const PoolJobState *;
    [[nodiscard]] auto jobs() const -> const std::map<JobId, PoolJobState> &;

    /// Room that an attempt holds, or may hold, on a worker.
    struct Allocation
    {
        Resources resources;
        QueueId queue;
        int priority = 0;
        bool stopping = false;
        bool orderOpen = false; ///< a start is on its way and not answered
        bool startOutcomeUnknown = false; ///< a start without an answer may still be carried out
        bool stopAnswered = false;
        int startTries = 0;
        MonoTime placedAt;
        MonoTime acceptedAt; ///< when the start was answered
        MonoTime stopSentAt;
        MonoTime stopAnsweredAt;
    };
    using AttemptKey = std::pair<TaskKey, int>;
    struct Worker
    {
        PoolWorkerInfo info;
        bool listed = false;
        bool answered = false; ///< a look has been answered in this planner's term
        Resources used;
        std::map<AttemptKey, Allocation> allocations;
        WorkerTime clock; ///< at the last answer
        MonoTime clockAt;
        MonoTime leaseEnd; ///< no lease given by any planner lasts longer
        MonoTime answeredAt;
        bool reachable = true; ///< the last look was answered
        std::int64_t processedCompletions = 0;
        std::int64_t recordedCompletions = 0;
        int failures = 0; ///< since the last success
        MonoTime suspectUntil;
    };
    /// @return the workers, for reports and tests.
    [[nodiscard]] auto workers() const -> const std::map<WorkerId, Worker> &;

private:
    friend class PoolPlacer;

    auto setPhase(PoolJobState &state, PoolJobPhase phase) -> void;
    auto release(Worker &worker, const AttemptKey &key) -> void;
    auto endAttempt(Worker &worker, const AttemptCompletion &end, MonoTime now) -> void;
    auto finishTask(PoolJobState &state, const TaskKey &key, MonoTime now) -> void;
    auto failTask(PoolJobState &state, const TaskKey &key, int attempt, MonoTime now) -> void;
    auto recordFailure(Worker &worker, MonoTime now) -> void;
    auto loseAttempt(Worker &worker, const AttemptKey &key, const char *reason) -> void;
    auto saveCheckpoint(PoolJobState &state, const TaskKey &key, const std::string &checkpoint) -> void;
    auto stopAttempt(const TaskKey &key, const TaskState &task) -> void;
    auto stopStep(const PoolJobState &state, int occurrence, int step) -> void;
    auto stopJob(const PoolJobState &state) -> void;
    auto checkFinished(PoolJobState &state, MonoTime now) -> void;
    auto findTask(const TaskKey &key) -> TaskState *;
    auto allocate(Worker &worker, const PoolJobState &state, const AttemptKey &key) -> Allocation &;
    auto newLifetime(Worker &worker, const WorkerPollReply &answer) -> void;
    auto noteRunning(Worker &worker, const RunningAttempt &it, MonoTime now) -> void;
    auto resolveMissing(Worker &worker, const WorkerPollReply &answer, MonoTime sentAt) -> void;
    auto applyStart(Worker &worker, const AttemptKey &key, OrderOutcome outcome, MonoTime now) -> void;
    auto applyStop(Worker &worker, const AttemptKey &key, OrderOutcome outcome, MonoTime now) -> void;
    auto startRefused(Worker &worker, const AttemptKey &key, OrderOutcome outcome, MonoTime now) -> void;
    auto extendLease(Worker &worker, MonoTime now) const -> void;
    auto loseAll(Worker &worker, const char *reason) -> void;
    auto expireLeases(MonoTime now) -> void;
    auto stopHung(MonoTime now) -> void;
    auto expireJobs(MonoTime now) -> void;
    auto dropUnlisted() -> void;
    auto emitOrders(PoolEffects &effects, MonoTime now) -> void;
    auto emitStart(PoolEffects &effects, const Worker &worker, const AttemptKey &key) -> void;
    auto logDecision(const char *decision, std::string text) -> void;

    PoolOptions m_options;
    PoolRules m_rules;
    std::map<JobId, PoolJobState> m_jobs;
    std::set<JobId> m_active; ///< jobs that are not final
    std::map<WorkerId, Worker> m_workers;
    std::set<JobId> m_changed;
    std::set<JobId> m_phaseChanged;
    std::set<JobId> m_expired;
    std::vector<PoolLogEntry> m_logEntries;
    std::deque<std::pair<MonoTime, std::int64_t>> m_urgentDemand; ///< accelerators that urgent work used or waited for
    bool m_fenced = false;
};

}

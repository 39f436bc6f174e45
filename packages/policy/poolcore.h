#pragma once

/// Scheduling decisions of the pool planner: places tasks on workers, follows their attempts, and issues the orders that
/// start and stop them. Has no network access, threads or clock of its own.
///
/// @code
///   auto core = Catkin::PoolCore{options};
///   core.setRules(rules);
///   core.addJob(job, now);
///   core.applyPollReply(Catkin::WorkerId{"w-1"}, reply, sentAt, now);
///   auto effects = core.plan(now, wall);
///   send(effects.stops);
///   write(effects.changed);                    // records are stored before
///   core.recorded(effects);                    // completions are acknowledged
///   send(effects.starts);                      // and start orders are sent
/// @endcode
///
/// A task never runs twice at the same time: each placed attempt has an allocation on its worker, and the task can be
/// placed again only after this allocation is released. An allocation is released when
/// - the worker reports the attempt's completion,
/// - the reply to a poll that was sent after every open order had been answered does not list the attempt,
/// - the worker has restarted, and a list of the new lifetime that is later than the answer to the start order does not name the attempt,
/// - the worker's process has shut down by itself,
/// - another worker is at its address, or
/// - every lease that any planner can have granted has expired, and the worker is not known to run. What earlier planners granted is known
///   from bounds that they have stored, see leasebounds.h, and otherwise taken to be the longest lease at the end of their term.
///
/// An expired lease shows that an attempt does not run any more, but not that it has not succeeded. A worker that still writes its entry runs,
/// and may hold a completion that no reply has brought on a slow path. Its attempts are released when one more lease duration has passed.
///
/// The end that a call names is a reading of the clock of one lifetime of the worker. A call without an answer may be carried out seconds later, by a
/// later lifetime, which then grants a lease of full length: such calls are counted from when they were sent, see PoolCore::leaseEndOf().
///
/// The next lifetime of a worker also carries out a start order whose attempt this planner has released for what the lifetime before has told. It
/// refuses the order from the first call that reaches it, see callfence.h, so that a worker with such orders is polled without a pause, and again at
/// once when a poll fails, for as long as they can arrive.
///
/// Each planning pass compares every allocation with the state of its job and stops the attempts that this state does not call for,
/// whichever planner made the state and whether or not stop orders were sent for it before.

#include "policy/departure.h"
#include "policy/endreport.h"
#include "policy/evacuation.h"
#include "policy/evacuationmoves.h"
#include "policy/idlecapacity.h"
#include "policy/leasebounds.h"
#include "policy/overloadorder.h"
#include "policy/pollschedule.h"
#include "policy/poolfleet.h"
#include "policy/pooljob.h"
#include "policy/stopreport.h"
#include "policy/tasklearning.h"
#include "policy/workermessages.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace Catkin
{

struct PoolOptions
{
    Millis leaseDuration{10'000}; ///< how long a worker keeps running attempts after the last poll or start order of a planner
    Millis heartbeat{1'500}; ///< between two writes of a worker's entry
    Millis stopGrace{200}; ///< time that a worker has to stop an attempt
    std::optional<Millis> restore; ///< time to resume an attempt from its checkpoint; nothing: not known
    Millis retention{120'000}; ///< a final job is forgotten after this time
    Millis gangTimeout{3'000}; ///< a member of a gang that has started waits so long for the others, and ends if they do not start
    int maxOpenStarts = 512; ///< start orders without an answer at which a planning pass places nothing more
    bool usesLearning = true; ///< whether what was learned from lists of workers decides between workers of equal rank
    std::int64_t linkBytesPerSecond = 125'000'000; ///< what the planner's link carries; bounds the bytes of start orders without an answer
};

/// An order to send to a worker.
struct PoolOrder
{
    enum class Kind { Start, Stop };
    Kind kind = Kind::Start;
    WorkerId worker;
    std::string address;
    TaskKey task;
    int attempt = 0;
    std::string payload; ///< start orders only
    std::string checkpoint; ///< start orders only
    Millis answerTimeout{0}; ///< without an answer within this time, the outcome is unknown
};

/// Adds an order to those that wait to be sent to one worker: stop orders go before start orders. A worker that has answered a stop order
/// refuses the attempt's start orders afterwards.
auto enqueueOrder(std::deque<PoolOrder> &queue, PoolOrder order) -> void;

struct PoolEffects
{
    std::vector<JobId> changed; ///< jobs whose placement record must be stored before the start orders are sent
    std::set<JobId> jobChanged; ///< those of @c changed whose job itself has to be stored again
    std::vector<JobId> phaseChanged; ///< jobs whose published state has changed
    std::vector<JobId> reasonChanged; ///< jobs whose PoolJobState::reason has changed, to be published
    std::vector<JobId> expired; ///< final jobs whose retention has passed
    std::vector<PoolOrder> stops; ///< can be sent before the records are stored
    std::vector<PoolOrder> starts;
    std::map<WorkerLifetime, std::int64_t> completions; ///< highest number of the completions that the records of @c changed include
    std::vector<PoolLogEntry> logEntries;
    std::map<StopReason, StopTotal> stopped; ///< attempts that were asked to stop since the last pass, by cause
    int searches = 0; ///< times that the pass looked for capacity on all workers
    int openStarts = 0; ///< start orders without an answer, those of the pass included
    int deferredGroups = 0; ///< groups that the pass left to the next one because of too many open start orders
    LearningCounts learning;
    UrgencyCounts waiting{}; ///< groups that waited when the pass began, by urgency
};

/// The next poll of a worker.
struct WorkerPoll
{
    WorkerId worker;
    std::string address;
    WorkerPollRequest request; ///< the caller sets the token
};

class PoolCore
{
public:
    explicit PoolCore(const PoolOptions &options);

    /// @name Input from configuration, job queues and workers
    /// @{
    auto setRules(const PoolRules &rules) -> void;
    /// @param domains failure domains in which nothing is started until they are left out again
    auto setEvacuated(const std::set<FailureDomainId> &domains) -> void;
    /// @param isSuspended whether nothing is placed and no start order sent, because the operators' records are not known well enough
    auto suspendStarts(bool isSuspended) -> void;
    auto addJob(const PoolJob &job, MonoTime now) -> void;
    auto cancelJob(const JobId &id, MonoTime now) -> void;
    /// Ends a job that cannot go on as failed; its attempts are stopped.
    /// @param reason shown to callers
    auto failJob(const JobId &id, const char *reason, MonoTime now) -> void;
    /// Takes over what earlier planners have stored about the leases of silent workers; before adoptRecord().
    /// @param ends until when each of these workers may have a lease
    auto adoptLeaseBounds(const std::map<WorkerId, MonoTime> &ends) -> void;
    /// Takes over a job with the record of an earlier planner; addJob() must have been called.
    /// @param earlierLeasesEnd time at which every lease granted by earlier planners has expired, for workers without a stored bound
    auto adoptRecord(const JobId &id, const PoolJobState &recorded, MonoTime earlierLeasesEnd, MonoTime now) -> void;
    /// Reports that all records of earlier planners have been taken over.
    auto tookOver(MonoTime now) -> void;
    /// Takes over a final state that an earlier planner published; attempts of the job that still run are stopped.
    auto adoptFinal(const JobId &id, PoolJobPhase phase, MonoTime now) -> void;
    auto setWorkers(const std::vector<PoolWorkerInfo> &listed, MonoTime now) -> void;
    /// Reports that the worker has written its entry, so that its process runs.
    auto workerWrote(const WorkerId &id, MonoTime now) -> void;
    /// Reports for how long the worker will be slow, as its entry says; 0: it is not.
    auto workerCold(const WorkerId &id, Millis left, MonoTime now) -> void;
    /// Tells the last entry of a worker that has had none since this planner took over, so that it can be polled, and another worker at its address shows.
    /// @return whether the worker may run something, and its address was not known
    auto recallEntry(const WorkerId &id, const std::string &address, Incarnation born) -> bool;
    /// Reports that the workers' entries have been read up to what was stored at @p sentAt.
    auto entriesRead(MonoTime sentAt) -> void;
    /// Reports that the worker's process has certainly ended, so that none of its attempts can be running.
    auto workerLeft(const WorkerId &id) -> void;
    /// @param sentAt time at which the poll was sent
    /// @return whether the reply may change the next decisions, so that plan() should be called
    auto applyPollReply(const WorkerId &id, const WorkerPollReply &reply, MonoTime sentAt, MonoTime now) -> bool;
    auto pollFailed(const WorkerId &id) -> void;
    /// Reports that another worker has answered a poll of this one, so that its process has ended.
    /// @param sentAt time at which the poll was sent
    /// @return whether that changes the next decisions; it does not if the poll was sent before the worker was last known to be there.
    auto otherWorkerAnswered(const WorkerId &id, MonoTime sentAt, MonoTime now) -> bool;
    auto applyOrder(const PoolOrder &order, const OrderAnswer &answer, MonoTime now) -> void;
    /// @}

    /// Updates attempts and jobs whose time limits have passed, places waiting tasks, and collects the orders to send.
    /// @param now monotonic time that also counts suspension
    /// @param wall wall-clock time, for scheduled jobs
    auto plan(MonoTime now, WallTime wall) -> PoolEffects;

    /// Collects only the stop orders to send; for use while the records of a planning pass cannot be stored.
    auto planStops(MonoTime now) -> std::vector<PoolOrder>;

    /// Reports that the records of @p effects are stored.
    auto recorded(const PoolEffects &effects) -> void;

    /// @return whether a queued order should still be sent; false for a start order whose attempt is to be stopped or was lost, and for a
    /// stop order whose attempt is over, whose stop has been answered, or whose worker has become unreachable.
    [[nodiscard]] auto isCurrent(const PoolOrder &order) const -> bool;

    /// Grants a lease to a worker and extends the worker's Worker::leaseEnd accordingly.
    /// @return end of the lease on the worker's clock; 0 if none is granted: before the worker's first poll reply, and while a record that names
    /// the worker is, or may be, stored.
    auto leaseFor(const WorkerId &id, MonoTime now) -> WorkerTime;

    /// @name Stored bounds of leases, see leasebounds.h
    /// @{
    /// Withholds leases from all workers that the record names.
    /// @return what to store, in place of the record before.
    auto composeLeaseBounds(MonoTime now) -> std::vector<LeaseBound>;
    /// Reports that the result of the last composeLeaseBounds() is stored, so that other workers get leases again.
    auto leaseBoundsStored(const std::vector<LeaseBound> &bounds) -> void;
    /// @return whether a worker that answers gets no lease until a record without it is stored.
    [[nodiscard]] auto withholdsFromAnswering() const -> bool;
    /// @return the workers that may carry out start orders late, to store beside the bounds.
    [[nodiscard]] auto composeLateStarts(MonoTime now) const -> std::vector<LateStartBound>;
    /// Takes over what earlier planners have stored about late start orders.
    /// @param until until when the start orders to each of these workers may be carried out
    auto adoptLateStarts(const std::map<WorkerId, MonoTime> &until) -> void;
    /// @}

    /// @return whether attempts may still run or begin on a worker that is no longer listed.
    [[nodiscard]] auto hasUnlistedWork() const -> bool;
    /// @return id and address of the workers to poll: those listed and those with allocations.
    [[nodiscard]] auto pollTargets() const -> std::vector<std::pair<WorkerId, std::string>>;
    /// @return why the next poll of the worker can wait, or PollPause::None.
    [[nodiscard]] auto pollPause(const WorkerId &id) const -> PollPause;
    /// @return how long the next poll waits after one without an answer.
    [[nodiscard]] auto pollPauseAfterFailure(const WorkerId &id, MonoTime now) const -> PollPause;
    /// @return the next poll of a worker; grants a lease if the worker is reachable.
    auto nextPoll(const WorkerId &id, MonoTime now) -> WorkerPoll;

    /// @return workers and attempts of each evacuated failure domain.
    [[nodiscard]] auto evacuatedUse() const -> std::map<FailureDomainId, DomainUse>;
    /// @return attempts that are to be stopped and may still run.
    [[nodiscard]] auto stoppingAttempts() const -> int;
    /// @return how long the oldest of them has been stopping; 0 without any.
    [[nodiscard]] auto oldestStop(MonoTime now) const -> Micros;
    /// @return whether a worker has refused an order because it has seen a newer planner.
    [[nodiscard]] auto fenced() const -> bool;
    /// @return the state of a job, or null.
    [[nodiscard]] auto find(const JobId &id) const -> const PoolJobState *;
    [[nodiscard]] auto jobs() const -> const std::map<JobId, PoolJobState> &;

    /// Resources that are reserved on a worker for an attempt that runs, or may run, there.
    struct Allocation
    {
        Resources resources;
        QueueId queue;
        int priority = 0;
        bool stopping = false; ///< the attempt is to be stopped
        StopReason stopReason = StopReason::JobFinal; ///< valid while stopping
        bool stopRefusalLogged = false; ///< whether a stop order without success has been logged
        bool orderOpen = false; ///< a start order has been issued and not answered
        bool startOutcomeUnknown = false; ///< no try of the start order has been answered, and no list has named the attempt
        /// Until when a try of the start order that was not answered may still be carried out, also after the answer to a repeat; MonoTime{}: no
        /// try can be. Before that time, only a list that names the attempt after a single try shows that none is under way.
        MonoTime startArrivesUntil;
        Incarnation listedIn; ///< lifetime whose list has last named the attempt; Incarnation{}: none has
        bool lifetimeInDoubt = false; ///< the worker has restarted, and no list has shown whether the attempt belongs to the present lifetime
        bool stopOpen = false; ///< a stop order has been issued, and has neither been answered nor counts as unanswered
        bool stopAnswered = false;
        bool uncountedStopLogged = false; ///< whether an answer that does not count for the present lifetime has been logged
        int startTries = 0;
        MonoTime placedAt;
        MonoTime acceptedAt; ///< time at which the answer of a worker that accepted the start order arrived
        WorkerTime acceptedClock; ///< worker's clock in that answer; 0 when it had none
        MonoTime stopRequestedAt; ///< first planning pass that found the attempt stopping; MonoTime{} before
        MonoTime stopSentAt; ///< last stop order; MonoTime{} before the first
        MonoTime stopAnsweredAt;
        TaskTrace trace; ///< what its rows have shown
    };
    using AttemptKey = std::pair<TaskKey, int>;
    struct Worker
    {
        PoolWorkerInfo info;
        bool listed = false;
        MonoTime unlistedAt; ///< since when it has no entry; MonoTime{} while it is listed
        MonoTime shownAt; ///< when its entry first named the present lifetime
        std::optional<DepartureNotice> notice; ///< of the entry of a worker that leaves; see stopLeaving()
        bool answered = false; ///< a poll has been answered in this planner's term
        Incarnation listedBorn; ///< incarnation in the worker's entry
        Resources used;
        std::map<AttemptKey, Allocation> allocations;
        /// Released attempts with an unanswered try of their start order, with the time until which it may be carried out. A worker that has
        /// restarted does not know that they were stopped or have ended.
        std::map<AttemptKey, MonoTime> releasedStarts;
        WorkerTime clock; ///< worker's clock in the last poll reply
        MonoTime clockAt; ///< time at which this reply arrived
        MonoTime listAskedAt; ///< time at which its poll was sent
        bool isBoundStored = false; ///< an earlier planner has stored until when it can have a lease
        /// Every lease granted to the worker, by any planner, has expired by then, unless a later lifetime carries out the call that grants it:
        /// see leaseEndOf().
        MonoTime leaseEnd;
        MonoTime grantedLeaseEnd; ///< leaseEnd without what restarts have added for calls that are carried out late; for the log
        /// When a lease was last granted. Until this planner grants one: the latest time at which an earlier planner can have.
        MonoTime grantedAt;
        MonoTime startsArriveUntil; ///< until when any of its start orders without an answer may be carried out, also of attempts that are over
        MonoTime unansweredGrantAt; ///< last grant whose poll or start order may be without an answer; MonoTime{} if there was none
        WorkerTime grantedUntil; ///< end of the last lease that this planner granted, on the worker's clock
        MonoTime answeredAt;
        MonoTime wroteAt; ///< last write of its entry that was read; MonoTime{} before the first
        bool reportAwaited = false; ///< its leases have expired, and it may list completions of attempts
        bool leaseWaitLogged = false; ///< whether the log has that its attempts wait for the end of its leases
        bool reachable = true; ///< the last poll was answered
        MonoTime polledAt; ///< when the last poll was sent
        MonoTime failedPollAt; ///< when the last poll that failed was sent
        MonoTime retriedAt; ///< when the first poll after that was sent; MonoTime{} while the worker is reachable
        std::int64_t processedCompletions = 0;
        std::int64_t recordedCompletions = 0;
        std::int64_t acknowledgedCompletions = 0; ///< highest number that an answered poll has carried
        std::int64_t loggedAcknowledgement = 0; ///< highest number that a logged poll has carried
        std::map<std::int64_t, MonoTime> heldEnds; ///< numbers of the ends that are not acknowledged before a time, see holdEnd()
        int failures = 0; ///< since the last success
        MonoTime suspectUntil; ///< until then the worker is chosen only if no other fits
        PresentKinds kinds; ///< of its attempts
        WorkerTime observedClock; ///< in the last list whose rows were looked at
    };
    /// @return the workers, for reports and tests.
    [[nodiscard]] auto workers() const -> const std::map<WorkerId, Worker> &;

private:
    friend class PoolPlacer;
    friend class DepartureRoom;

    /// Calls to a worker that is no longer known and that may be carried out late, by a lifetime that comes back under its id.
    struct LateCalls
    {
        MonoTime grantedAt; ///< last grant of a lease
        MonoTime startsArriveUntil; ///< see Worker::startsArriveUntil
        std::map<AttemptKey, MonoTime> releasedStarts; ///< see Worker::releasedStarts
        std::string address; ///< the last one; empty: not known
        Incarnation born; ///< last lifetime
    };

    /// The worker that has taken the address of one whose process has ended.
    struct Successor
    {
        WorkerId id; ///< empty: not known
        Incarnation endedBorn; ///< last lifetime of the worker whose process has ended
        MonoTime seenAt;
    };

    /// Groups of one priority, within a guarantee or not.
    using PriorityClass = std::pair<int, bool>;
    /// Place of a group of tasks among those of its class; earlier ones are placed first.
    struct GroupRank
    {
        GroupPosition position;
        JobId job;
        int occurrence = 0;
        int step = 0;

        auto operator<=>(const GroupRank &other) const = default;
    };

    auto setPhase(PoolJobState &state, PoolJobPhase phase) -> void;
    auto setReason(PoolJobState &state, const char *reason) -> void;
    auto release(Worker &worker, const AttemptKey &key) -> void;
    /// Where a waiting task can be placed, see poollatestarts.cpp.
    enum class TaskPlace {
        Any,
        Same, ///< on the worker of its last attempt
        None, ///< nowhere yet
    };
    auto placeOf(const TaskKey &key, const TaskState &task, MonoTime now) const -> TaskPlace;
    auto noteReleasedStart(const Worker &worker, const AttemptKey &key, MonoTime until) -> void;
    auto adoptReleasedStart(const TaskKey &key, TaskState &task) -> void;
    auto lateStartsEnd(const PoolJobState &state, const TaskKey &key) const -> MonoTime;
    auto holdEnd(Worker &worker, const AttemptCompletion &completion, MonoTime now) -> void;
    static auto acknowledgeable(const Worker &worker, MonoTime now) -> std::int64_t;
    /// @return what the end changed.
    auto applyCompletion(Worker &worker, const AttemptCompletion &completion, MonoTime now) -> EndUse;
    auto noteListedEnd(const Worker &worker, const AttemptCompletion &completion, EndUse use) -> void;
    auto finishTask(PoolJobState &state, const TaskKey &key, MonoTime now) -> void;
    auto failTask(PoolJobState &state, const TaskKey &key, int attempt, MonoTime now) -> void;
    static auto attemptLimit(const PoolJobState &state) -> std::optional<int>;
    auto takeRules(PoolJobState &state) -> void;
    auto noteRemovedQueue(PoolJobState &state) -> void;
    auto failExhausted(MonoTime now) -> void;
    static auto noteUnsuccessful(PoolJobState &state, const AttemptKey &key) -> void;
    auto recordFailure(Worker &worker, MonoTime now) -> void;
    auto loseAttempt(Worker &worker, const AttemptKey &key, const std::string &reason) -> void;
    auto saveCheckpoint(PoolJobState &state, const TaskKey &key, const std::string &checkpoint) -> void;
    auto stopAttempt(const TaskKey &key, const TaskState &task, StopReason reason) -> void;
    auto stopStep(const PoolJobState &state, int occurrence, int step, StopReason reason) -> void;
    auto stopReasonOf(const Worker &worker, const AttemptKey &key) const -> std::optional<StopReason>;
    auto isWanted(const Worker &worker, const AttemptKey &key, const Allocation &allocation) const -> bool;
    auto stopUnwanted() -> void;
    auto stopBrokenGangs() -> void;
    auto countIdleCapacity() -> void;
    auto stopEvacuated() -> void;
    auto logEvacuations() -> void;
    auto stopIncompleteGangs(MonoTime now) -> void;
    auto noteDeparture(Worker &worker, MonoTime now) -> void;
    static auto departureOf(const Worker &worker) -> MonoTime;
    auto remainingOf(const PoolJobState &state, const TaskKey &key, MonoTime now) const -> RemainingTime;
    auto stopLeaving(MonoTime now, bool mayMove) -> void;
    auto lacksMembers(const PoolJobState &state, int occurrence, int step, MonoTime now) const -> bool;
    auto checkFinished(PoolJobState &state, MonoTime now) -> void;
    auto findTask(const TaskKey &key) -> TaskState *;
    auto allocate(Worker &worker, const PoolJobState &state, const AttemptKey &key) -> Allocation &;
    auto applyRestart(Worker &worker, const WorkerPollReply &reply, MonoTime sentAt, MonoTime now) -> void;
    auto logRestart(const Worker &worker, const WorkerPollReply &reply, MonoTime sentAt, MonoTime now, Millis lateCalls) -> void;
    auto loseListedEarlier(Worker &worker) -> void;
    auto loseEarlier(Worker &worker, const AttemptKey &key, const WorkerPollReply &reply, MonoTime sentAt, MonoTime now) -> void;
    auto addForeign(Worker &worker, const AttemptKey &key, MonoTime now) -> Allocation &;
    auto stopReleasedStarts(Worker &worker, MonoTime askedAt, MonoTime now) -> void;
    auto applyRunning(Worker &worker, const RunningAttempt &it, MonoTime now) -> void;
    auto isComparable(const Worker &worker, const PoolJobState &state, const TaskKey &key) const -> bool;
    auto recountKinds(Worker &worker) -> void;
    auto observeTasks(Worker &worker, const WorkerPollReply &reply, MonoTime now) -> void;
    auto reviewObservations(MonoTime now) -> void;
    auto resolveMissing(Worker &worker, const WorkerPollReply &reply, MonoTime sentAt, MonoTime now) -> void;
    static auto describeAcceptance(const Allocation &allocation, MonoTime now) -> std::string;
    static auto describeOrders(const Allocation &allocation, MonoTime sentAt) -> std::string;
    static auto mayFollowList(const Allocation &allocation, MonoTime sentAt) -> bool;
    static auto mayBeOfEarlierLifetime(const Worker &worker, const OrderAnswer &answer, MonoTime sentAt, MonoTime now) -> bool;
    static auto pollWait(const Worker &worker, bool isAwaited, MonoTime now) -> Millis;
    auto applyStart(Worker &worker, const AttemptKey &key, const OrderAnswer &answer, MonoTime now) -> void;
    auto applyStop(Worker &worker, const AttemptKey &key, const OrderAnswer &answer, MonoTime now) -> void;
    auto startRefused(Worker &worker, const AttemptKey &key, OrderOutcome outcome, MonoTime now) -> void;
    auto extendLease(Worker &worker, MonoTime now) const -> void;
    auto countLateCalls(Worker &worker, MonoTime now) const -> Millis;
    static auto noteUnansweredStart(Worker &worker, MonoTime now) -> MonoTime;
    static auto doubtAdoptedStarts(Worker &worker) -> void;
    static auto noteRecordedLifetime(Worker &worker, Incarnation born) -> void;
    static auto mayStartLate(const Allocation &allocation, MonoTime askedAt) -> bool;
    static auto lateStarts(const Worker &worker) -> int;
    [[nodiscard]] auto describeLateStarts(const Worker &worker, MonoTime now) const -> std::string;
    [[nodiscard]] auto longestLease() const -> Millis;
    [[nodiscard]] auto isGone(const Worker &worker) const -> bool;
    [[nodiscard]] auto lateLeaseEnd(const Worker &worker) const -> MonoTime;
    [[nodiscard]] auto leaseEndOf(const Worker &worker, const Allocation &allocation) const -> MonoTime;
    [[nodiscard]] auto lastLeaseEnd(const Worker &worker) const -> MonoTime;
    [[nodiscard]] auto describeLeaseEnd(const Worker &worker, const Allocation &allocation) const -> std::string;
    static auto needsOpenPoll(const Worker &worker) -> bool;
    static auto isReborn(const Worker &worker) -> bool;
    static auto mayGetLateLease(const Worker &worker, const Allocation &allocation) -> bool;
    static auto isOverdue(const Worker &worker, const WorkerPollReply &reply, MonoTime sentAt) -> bool;
    static auto isOutdated(const Worker &worker, const WorkerPollReply &reply, MonoTime sentAt) -> bool;
    auto loseAllAttempts(Worker &worker, const char *reason) -> void;
    auto mayReport(const Worker &worker, MonoTime leaseEnd, MonoTime now) const -> bool;
    auto mayHaveSucceeded(const Worker &worker, const AttemptKey &key) const -> bool;
    auto isSilent(const Worker &worker, MonoTime now) const -> bool;
    static auto isAnswering(const Worker &worker) -> bool;
    auto needsBound(const WorkerId &id, const Worker &worker, MonoTime now) const -> bool;
    auto isWithheld(const WorkerId &id) const -> bool;
    auto logLeaseWaits(MonoTime now) -> void;
    auto logLeaseWait(const Worker &worker, MonoTime now) -> void;
    auto expireLeases(MonoTime now) -> void;
    auto expireLeases(Worker &worker, MonoTime now) -> void;
    static auto hungLimit(const PoolStep &step, const TaskState &task) -> Millis;
    static auto noteHungStop(PoolJobState &state, const TaskKey &key) -> void;
    /// Progress of the tasks of a step (job, occurrence, step) in percent per second, as typicalRate() has it.
    using StepRates = std::map<std::tuple<JobId, int, int>, std::optional<double>>;
    auto isHung(const PoolJobState &state, const TaskKey &key, const Worker &worker, StepRates &rates, MonoTime now) const -> bool;
    auto stopHung(MonoTime now) -> void;
    auto expireJobs(MonoTime now) -> void;
    auto dropUnlisted(MonoTime now) -> void;
    static auto isAwaited(const Worker &worker, MonoTime now) -> bool;
    auto noteUnlisted(MonoTime now) -> void;
    auto describeWaits(const Worker &worker, MonoTime now) const -> std::string;
    auto isOfQueue(const PoolWorkerInfo &info) const -> bool;
    auto noteSuccessors(MonoTime now) -> void;
    auto succeed(const WorkerId &id, const Successor &successor, MonoTime now) -> void;
    auto isSucceeded(const PoolWorkerInfo &info) -> bool;
    auto hasSuccessor(const WorkerId &id) const -> bool;
    static auto isWatched(const Worker &worker, MonoTime now) -> bool;
    static auto watchUntil(Worker &worker, MonoTime until) -> void;
    static auto noteStartInDoubt(Worker &worker, MonoTime sentAt) -> void;
    auto takeAdoptedLateStarts(Worker &worker, const WorkerId &id) -> void;
    auto keepLateCalls(const Worker &worker) -> void;
    auto adoptLateCalls(Worker &worker, const WorkerId &id, MonoTime now) -> void;
    static auto getsOrders(const Worker &worker) -> bool;
    auto emitStops(std::vector<PoolOrder> &stops, MonoTime now) -> void;
    auto emitStarts(PoolEffects &effects) -> void;
    auto linkTime(std::int64_t bytes) const -> Millis;
    auto emitStart(PoolEffects &effects, const Worker &worker, const AttemptKey &key) -> void;
    auto logDecision(const char *decision, std::string text) -> void;
    static auto requestStop(Allocation &allocation, StopReason reason) -> void;
    auto lossOf(const AttemptKey &key, const Allocation &allocation, MonoTime now) const -> double;
    auto logStops(MonoTime now) -> void;
    auto logStoppedJobs(MonoTime now) -> void;
    auto repeatStop(Allocation &allocation, MonoTime now) const -> void;
    auto noteStopAnswer(Worker &worker, const AttemptKey &key, OrderOutcome outcome) -> void;
    auto logUncountedStop(Worker &worker, const AttemptKey &key, const OrderAnswer &answer, MonoTime now) -> void;

    PoolOptions m_options;
    PoolRules m_rules;
    bool m_rulesChanged = false; ///< since the last planning pass
    std::map<JobId, PoolJobState> m_jobs;
    std::set<JobId> m_active; ///< jobs that are not final
    std::map<WorkerId, Worker> m_workers;
    std::map<WorkerId, LateCalls> m_lateCalls; ///< of workers that are not in m_workers
    std::map<WorkerId, Successor> m_successors; ///< of workers that are not in m_workers, for as long as start orders to these may arrive
    std::map<WorkerId, MonoTime> m_adoptedLateStarts; ///< of workers that this planner has not seen yet
    MonoTime m_earlierStartsEnd; ///< no start order of an earlier planner is carried out after that, as far as it has been stored
    MonoTime m_entriesReadAt;
    MonoTime m_entriesReadSince; ///< begin of the time in which the entries have been read without a longer pause
    std::map<WorkerId, MonoTime> m_withheld; ///< workers that get no lease because a stored record names them, with the end of their leases
    MonoTime m_tookOverAt; ///< MonoTime{} until the records of earlier planners have been taken over
    std::set<JobId> m_changed;
    std::set<JobId> m_jobChanged;
    std::set<JobId> m_phaseChanged;
    std::set<JobId> m_reasonChanged;
    std::set<JobId> m_expired;
    std::vector<PoolLogEntry> m_logEntries;
    StopReport m_stopReport;
    EndReport m_endReport;
    std::set<JobId> m_released; ///< jobs with an allocation released since the last planning pass
    std::deque<std::pair<MonoTime, std::int64_t>> m_urgentDemand; ///< accelerators that priority-0 work used or waited for at each planning pass
    std::int64_t m_openStartBytes = 0; ///< of the start orders without an answer; counted anew by each planning pass
    bool m_deferring = false; ///< the last planning pass deferred groups
    /// The first group of each class that the last planning pass left out for want of searches; the next one goes on from there.
    std::map<PriorityClass, GroupRank> m_searchResume;
    std::map<PriorityClass, MonoTime> m_searchLimitLogged; ///< when the log last had that searches were left out
    Evacuation m_evacuation;
    EvacuationMoves m_evacuationMoves;
    OverloadOrder m_overload;
    IdleCapacity m_idleCapacity; ///< of the listed workers outside evacuated domains
    std::map<ServiceId, MonoTime> m_holdBegan; ///< since when reservations hold other groups of a service; see PoolPlacer::mayPass()
    std::set<JobId> m_unplaceable; ///< jobs that are set aside because no listed worker can take one of their steps
    TaskLearning m_learning;
    bool m_fenced = false;
};

}

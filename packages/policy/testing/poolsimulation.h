#pragma once

/// Simulates the workers of a pool for tests of PoolCore: carries out its orders and answers its polls, loses and delays orders and
/// answers, cuts off and restarts workers, replaces the planner, and checks invariants at each start. Orders to a worker are sent one
/// after the other, and polls are held back by the worker, as daemon/poolterm does it.
///
/// @code
///   auto simulation = Catkin::Testing::PoolSimulation{seed, 12, {.lostAnswers = 5}};
///   simulation.submit(job);
///   simulation.run(Catkin::Millis{120'000});
///   CHECK(simulation.violations().empty());
/// @endcode

#include "policy/poolcore.h"
#include "util/random.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Catkin::Testing
{

struct PoolFaults
{
    int lostAnswers = 0; ///< percentage of orders that are carried out but not answered
    int lateOrders = 0; ///< percentage of orders that are not answered, and carried out 2 to 12 s later
    int failedTasks = 0; ///< percentage of finished attempts that fail
    int cutWorkers = 0; ///< percentage of workers that are cut off once for 12 s
    int lostWorkers = 0; ///< percentage of workers that are cut off for good
    int restarts = 0; ///< percentage of workers that restart within 30 s, on average
    int takeovers = 0; ///< number of takeovers by a new planner
    /// Further takeovers. The earlier planner has only stored its records, and sent no orders, or has only sent its stop orders.
    int takeoversBetweenSteps = 0;
    int departures = 0; ///< percentage of workers that drain, leave, and come back under their id
    bool announcedDepartures = false; ///< whether the entries of workers that drain tell the time left
    int slowRecords = 0; ///< percentage of planning passes whose records take 0.5 to 3 s to store
    int rebornWorkers = 0; ///< percentage of workers that are cut off once, and restart within that time
    /// Percentage of workers whose path to the planner is slow once for 8 to 11 s: the planner gives up their polls and orders, which arrive
    /// late or not at all. Not for use with faults that end or cut off workers, which lose successes that count.
    int slowPaths = 0;
    int flappingWorkers = 0; ///< percentage of workers that are cut off again and again, for 3 to 9 s each
    int slowLists = 0; ///< percentage of replies to polls that are under way for up to 0.8 s, so that answers to orders overtake them
    int slowAnswers = 0; ///< percentage of answers to orders that are under way for up to 0.28 s, so that lists overtake them
    bool misdirectedOrders = false; ///< whether late orders are also carried out by the next incarnation of their worker
};

struct SimulatedAttempt
{
    int attempt = 0;
    MonoTime begin;
    MonoTime end; ///< when its task succeeds or fails by itself
    Resources resources;
    bool stopping = false;
    MonoTime stopAt; ///< when a stop order takes effect
    bool late = false; ///< started by a late order
    bool stopHeldUp = false; ///< a stop order for it is carried out late
    /// Started by an order for an attempt that the planner had released for what an earlier incarnation told. No planner can prevent that.
    bool excused = false;
};

struct SimulatedPoolWorker
{
    PoolWorkerInfo info;
    std::map<TaskKey, SimulatedAttempt> running;
    std::vector<AttemptCompletion> completions;
    std::map<std::int64_t, MonoTime> listedAt; ///< by the number of the completion
    std::set<std::int64_t> voidCompletions; ///< completions that were not recorded before the worker's lease expired
    std::map<TaskKey, int> lastClosed; ///< highest attempt that was stopped or has ended; starts up to it are refused
    std::int64_t nextCompletion = 1;
    std::int64_t token = 0; ///< highest fencing token seen
    MonoTime leaseUntil;
    MonoTime bornAt;
    WorkerTime firstReading{1}; ///< of the clock of this lifetime
    MonoTime cutFrom; ///< the worker is cut off from here until cutUntil
    MonoTime cutUntil;
    MonoTime slowFrom; ///< the path to the planner is slow from here until slowUntil
    MonoTime slowUntil; ///< MonoTime{} if it never is
    MonoTime wroteAt; ///< last write of its entry
    std::optional<MonoTime> restartsAt; ///< within the time for which it is cut off
    std::optional<MonoTime> drainsAt; ///< the worker leaves drainDuration later
    std::optional<MonoTime> unlistedAt; ///< when its entry is removed for silence
    bool flapping = false; ///< is cut off again and again
    bool gone = false; ///< has left and not come back yet
};

class PoolSimulation
{
public:
    PoolSimulation(std::uint64_t seed, int workers, const PoolFaults &faults);

    auto submit(const PoolJob &job) -> void;
    auto cancel(const JobId &id) -> void;
    /// Cancels a job at a time since the start of the simulation, also while no planner is in office.
    auto cancelAt(const JobId &id, Millis time) -> void;
    /// Replaces the planner at a time since the start of the simulation.
    auto takeOverAt(Millis time) -> void;
    /// Lets a worker vanish at a time since the start of the simulation: from then on it is cut off, and its entry is removed after its silence.
    auto loseWorkerAt(const WorkerId &id, Millis time) -> void;
    /// Runs in steps of 20 ms.
    /// @param until time since the start of the simulation
    auto run(Millis until) -> void;

    [[nodiscard]] auto core() const -> const PoolCore &;
    /// @return one line for each violated invariant.
    [[nodiscard]] auto violations() const -> const std::vector<std::string> &;
    /// @return jobs that have failed although none of their tasks or gangs failed as often as the queue allows.
    [[nodiscard]] auto failedWithoutCause() const -> std::string;
    [[nodiscard]] auto now() const -> MonoTime;
    /// @return attempts that planners asked to stop for this cause.
    [[nodiscard]] auto stopsFor(StopReason cause) const -> int;
    /// @return when the first task of a job started, or nothing.
    [[nodiscard]] auto startedAt(const JobId &id) const -> std::optional<MonoTime>;

private:
    struct LateOrder
    {
        MonoTime at;
        PoolOrder order;
        WorkerTime leaseUntil;
        std::int64_t token = 0;
        Incarnation born; ///< incarnation of the worker that the order is meant for
        /// Incarnation of the worker that told what the planner released the attempt for, or that had left then. Nothing while the attempt is placed,
        /// and when it was released for the end of a lease: no order may start it after that.
        std::optional<Incarnation> releasedIn;
        bool isReleased = false;
    };
    struct LatePoll
    {
        MonoTime at;
        WorkerId worker;
        WorkerPollRequest request;
        Incarnation born; ///< incarnation of the worker that the poll is meant for
    };
    /// Orders to one worker.
    struct Link
    {
        std::deque<PoolOrder> queue;
        std::optional<PoolOrder> unanswered;
        MonoTime answerDue; ///< when @c unanswered counts as such, or its answer arrives
        OrderAnswer answer; ///< that arrives then; OutcomeUnknown if none does
    };
    struct Poller
    {
        std::optional<WorkerPollRequest> open;
        MonoTime sentAt;
        Incarnation born; ///< of the worker when the poll was sent
        bool lost = false;
        MonoTime pauseUntil;
        MonoTime idleUntil; ///< an idle worker is not polled before
        std::optional<WorkerPollReply> reply; ///< is under way until arrivesAt
        MonoTime arrivesAt;
    };

    auto step() -> void;
    auto advanceWorkers() -> void;
    auto advanceWorker(SimulatedPoolWorker &worker) -> void;
    auto completeAttempt(SimulatedPoolWorker &worker, const TaskKey &key, CompletionKind kind) -> void;
    auto endGang(const TaskKey &key, int attempt, CompletionKind first) -> void;
    auto plan() -> void;
    auto publishLeaseBounds() -> void;
    auto leaseBoundsStored() -> void;
    auto recordsOf(const PoolEffects &effects) const -> std::map<JobId, PoolJobState>;
    auto finishPass() -> void;
    auto sendOrders() -> void;
    auto send(Link &link, const PoolOrder &order) -> void;
    auto noteReleases() -> void;
    auto executeLateOrders() -> void;
    auto receiveLatePolls() -> void;
    auto writeEntry(SimulatedPoolWorker &worker) -> void;
    auto countListed(const SimulatedPoolWorker &worker) -> void;
    auto execute(const PoolOrder &order, WorkerTime leaseUntil, std::int64_t token, const LateOrder *late) -> OrderOutcome;
    auto startAt(SimulatedPoolWorker &worker, const PoolOrder &order, WorkerTime leaseUntil, const LateOrder *late) -> OrderOutcome;
    auto pollWorkers() -> void;
    auto receivePoll(SimulatedPoolWorker &worker, const WorkerPollRequest &request) -> void;
    auto drawFirstReading() -> WorkerTime;
    [[nodiscard]] auto replyOf(const SimulatedPoolWorker &worker, const Poller &poller) const -> WorkerPollReply;
    auto applyCancellations() -> void;
    auto lifetimeEnds(SimulatedPoolWorker &worker) -> void;
    auto moveWorker(SimulatedPoolWorker &worker) -> void;
    auto finalSince(const JobId &id) const -> std::optional<MonoTime>;
    auto takeOver() -> void;
    auto isLostBetweenSteps(const PoolEffects &effects) -> bool;
    auto checkFinalJobs() -> void;
    auto listWorkers() -> void;
    auto chance(int percent) -> bool;
    auto isCutOff(const SimulatedPoolWorker &worker) const -> bool;
    auto hasSlowPath(const SimulatedPoolWorker &worker) const -> bool;
    auto sendLate(const PoolOrder &order, WorkerTime lease, MonoTime at) -> void;
    auto receiveReply(const WorkerId &id, Poller &poller) -> void;
    auto sendPoll(const SimulatedPoolWorker &worker) -> Poller;
    auto checkStart(const SimulatedPoolWorker &worker, const PoolOrder &order, bool misdirected) -> void;
    auto sameUnit(const TaskKey &a, const TaskKey &b) const -> bool;
    auto hasSucceeded(const TaskKey &key) const -> bool;
    auto acknowledge(SimulatedPoolWorker &worker, std::int64_t upTo) -> void;
    auto isGangComplete(const TaskKey &key, int attempt) const -> bool;

    PoolOptions m_options;
    PoolFaults m_faults;
    Random m_random;
    MonoTime m_start{Seconds{1'000}};
    MonoTime m_now{Seconds{1'000}};
    std::int64_t m_token = 1;
    std::map<WorkerId, SimulatedPoolWorker> m_workers;
    std::map<JobId, PoolJob> m_jobs;
    std::map<JobId, MonoTime> m_cancelled;
    std::vector<std::pair<MonoTime, JobId>> m_cancellations; ///< still to come
    std::map<JobId, MonoTime> m_failed; ///< when a planner first found the job failed
    std::map<JobId, PoolJobState> m_records;
    /// A planning pass whose records are being stored. As in the daemon, no other pass begins meanwhile.
    struct OpenPass
    {
        PoolEffects effects;
        std::map<JobId, PoolJobState> records;
        MonoTime storedAt;
    };
    std::optional<OpenPass> m_openPass;
    /// Bounds of leases that are being stored.
    struct OpenBounds
    {
        std::vector<LeaseBound> bounds;
        MonoTime storedAt;
    };
    std::optional<OpenBounds> m_openBounds;
    Random m_boundsRandom; ///< apart, so that a seed plays the same faults as before bounds were stored
    Random m_clockRandom; ///< for the first readings of clocks; apart for the same reason
    Random m_transitRandom; ///< for replies and answers that are under way; apart for the same reason
    KnownLeaseBounds m_leaseBounds; ///< as the next planner has read them
    MonoTime m_renewedAt; ///< when the planner last composed bounds
    std::map<WorkerId, std::int64_t> m_acknowledged;
    std::vector<LateOrder> m_lateOrders;
    std::vector<LatePoll> m_latePolls;
    std::map<WorkerId, Link> m_links;
    std::map<WorkerId, Poller> m_pollers;
    std::set<TaskKey> m_everSucceeded; ///< tasks that have succeeded, recorded or not
    std::set<TaskKey> m_recordedSuccesses; ///< tasks whose success is recorded, or counts as such
    std::map<JobId, MonoTime> m_startedAt;
    std::map<TaskKey, std::set<int>> m_failures; ///< failed attempts of a task, or of a gang under its first task
    std::vector<std::string> m_violations;
    std::map<StopReason, int> m_stops;
    std::vector<MonoTime> m_takeovers;
    std::vector<MonoTime> m_takeoversBetweenSteps; ///< earliest time of each
    MonoTime m_tookOverAt{Seconds{1'000}}; ///< when the planner in office began
    std::set<std::pair<TaskKey, int>> m_reportedFinal; ///< attempts that checkFinalJobs() has reported
    PoolCore m_core;
};

/// @return rules with the queues "urgent" (priority 0), "normal" (1) and "batch" (2) of one service.
auto simulationRules() -> PoolRules;

}

#pragma once

/// Jobs of a shared worker pool: steps of tasks that need processors, memory and accelerators.
///
/// A PoolJob is the job as submitted; a PoolJobState adds the state of its tasks. Both are plain data:
/// @code
///   auto state = Catkin::makeJobState(job);
///   auto &task = Catkin::taskAt(state, {.job = job.id, .occurrence = 0, .step = 1, .index = 17});
///   if (Catkin::stepReady(state, 0, 1)) { ... }
/// @endcode

#include "policy/poolqueue.h"
#include "util/ids.h"
#include "util/units.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Catkin
{

/// An amount of each resource of a worker.
struct Resources
{
    std::int64_t cpuMillis = 0; ///< thousandths of a core
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    auto operator==(const Resources &other) const -> bool = default;
    auto operator+=(const Resources &other) -> Resources &;
    auto operator-=(const Resources &other) -> Resources &;
};

/// @return how many times @p need fits into @p available; at most @p limit.
auto copiesThatFit(const Resources &need, const Resources &available, int limit) -> int;

struct PoolStep
{
    int tasks = 0;
    Resources perTask;
    Millis estimate{0}; ///< the caller's estimate of the run time of one task
    std::vector<int> dependsOn; ///< indices of earlier steps that must be done before this one starts
    bool checkpointing = false; ///< whether its tasks can resume from checkpoints
    bool gang = false; ///< the tasks start together and run only together
    bool sameRack = false; ///< prefers a single rack: spread over several, the tasks run slower
    std::string requiredLabel; ///< label that a worker must have; empty: any worker
    std::string dataRack; ///< rack of the input data, where the tasks run faster; empty: no preference
    int maxPerWorker = 0; ///< most tasks of one occurrence on a worker; 0: no limit
    bool longRunning = false; ///< runs until the job is cancelled
    std::string image; ///< what its tasks run; empty: unknown
    Millis responseTarget{0}; ///< target of the tail of its tasks' response times; 0: they do not serve
};

/// A job as submitted.
struct PoolJob
{
    JobId id;
    QueueId queue;
    std::optional<PoolQueue> rules; ///< of the queue: at acceptance, then the last ones that a planner has recorded; none in records of earlier versions
    WorkspaceId workspace;
    WallTime acceptedAt; ///< by the clock of the instance that accepted it
    std::string payload; ///< opaque text handed to each task
    std::vector<PoolStep> steps;
    int occurrences = 1;
    std::optional<WallTime> firstDue; ///< set for a scheduled job
    Millis interval{0}; ///< between two occurrences of a scheduled job
};

/// Most of one resource of a task or a worker, and most accelerators of a guarantee: far above any machine, and sums over a pool fit.
constexpr auto maxResource = std::int64_t{1'000'000'000'000};
/// Longest id of a worker, in bytes; it is part of records and log lines.
constexpr auto maxWorkerId = std::size_t{255};
/// Highest number of an attempt, and most failures of a task that are counted.
constexpr auto maxAttemptNumber = std::int64_t{1'000'000'000};
/// Latest time at which a job is accepted or due, in the year 2286; sums of such times fit.
constexpr auto maxJobTime = WallTime{Millis{10'000'000'000'000}};

/// Longest id of a job: with its longest prefix, of seven bytes, it is a key of the record store, of at most 255 bytes.
constexpr auto maxJobId = std::size_t{248};

/// @return whether the id can be stored and sent: 1 to maxJobId visible ASCII characters.
auto isJobId(const JobId &id) -> bool;

enum class PoolJobPhase { Queued, Running, Completed, Failed, Cancelled };

/// @return the word for @p phase in log lines.
auto phaseName(PoolJobPhase phase) -> const char *;

/// @return whether a job in @p phase will never run again.
auto isFinal(PoolJobPhase phase) -> bool;

enum class TaskPhase {
    Waiting, ///< to be placed; no attempt of the task can be running
    Placed, ///< an attempt may be running on the task's worker
    Done,
};

/// State of a placed attempt as far as this planner has observed it; never stored.
enum class AttemptPhase {
    Unknown, ///< taken over from an earlier planner and not yet listed by its worker
    Starting, ///< the start order has not been answered
    Running,
};

struct TaskState
{
    TaskPhase phase = TaskPhase::Waiting;
    int attempt = 0; ///< number of the last attempt; increases with each placement
    int failures = 0; ///< failed attempts
    int lastFailedAttempt = 0; ///< a failure that is reported again is not counted again
    int hungStops = 0; ///< times that an attempt was stopped for want of progress
    WorkerId worker; ///< of the last attempt; valid while Placed, and while startsArriveUntil has not passed
    Incarnation workerBorn; ///< incarnation of that worker
    std::string checkpoint; ///< resume point; empty: from the beginning

    AttemptPhase attemptPhase = AttemptPhase::Unknown;
    int percent = -1; ///< progress in the last poll reply; -1: none yet
    MonoTime progressAt; ///< last time the progress changed
    int basePercent = -1; ///< most progress that the attempt can have had at baseAt, see noteProgress(); valid while percent is; never stored
    MonoTime baseAt;
    /// Until when a start order of an attempt that has been released may be carried out by the worker of that attempt, which is mostly @c worker; never
    /// stored. MonoTime{}: none may be.
    MonoTime startsArriveUntil;
    bool isStartUnanswered = false; ///< no try of the start order of the last attempt was answered; never stored
};

struct StepState
{
    std::vector<TaskState> tasks;
    int gangFailures = 0; ///< failed attempts of a gang as a whole
    int lastFailedAttempt = 0; ///< of a gang; a second failing member of the same attempt is not counted
    int unsuccessfulAttempt = 0; ///< last attempt of a gang that is known to be over without success; never stored
    bool everStarted = false;
    bool waitLogged = false; ///< whether the reason of its waiting has been logged; never stored
    MonoTime unplaceableSince; ///< since when no listed worker could take it, even idle; MonoTime{}: one could; never stored
    bool reservationLogged = false; ///< whether its reservation has been logged; never stored
    MonoTime readySince; ///< since when tasks of it wait whose turn has come, as this planner knows; MonoTime{}: none does; never stored
    unsigned heldLogged = 0; ///< set of causes with which `held` has been logged; never stored
};

/// One run of all steps; jobs without a schedule have one.
struct OccurrenceState
{
    std::vector<StepState> steps;
};

struct PoolJobState
{
    PoolJob job;
    PoolJobPhase phase = PoolJobPhase::Queued;
    std::string reason; ///< why the job cannot go on, for its caller; empty: it can, or its tasks have decided its end
    bool cancelRequested = false;
    bool removalLogged = false; ///< whether the removal of its queue has been logged; never stored
    std::vector<OccurrenceState> occurrences;
    MonoTime knownSince; ///< when this planner first saw the job
    MonoTime finalSince; ///< when this planner saw the job become final
};

/// Identifies a task.
struct TaskKey
{
    JobId job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    auto operator<=>(const TaskKey &other) const = default;
};

/// @return the state of a job of which no task has started.
auto makeJobState(const PoolJob &job) -> PoolJobState;

/// @param state must contain the task
auto taskAt(PoolJobState &state, const TaskKey &key) -> TaskState &;
auto taskAt(const PoolJobState &state, const TaskKey &key) -> const TaskState &;

/// @return whether the job contains the task.
auto containsTask(const PoolJobState &state, const TaskKey &key) -> bool;

/// @param state must contain the task
auto stepAt(PoolJobState &state, const TaskKey &key) -> StepState &;

/// @param state must contain the task
/// @return the step of the task as it was submitted.
auto specOf(const PoolJobState &state, const TaskKey &key) -> const PoolStep &;

/// @return the ids of an attempt as fields of a log line.
auto describeAttempt(const TaskKey &key, int attempt) -> std::string;

/// @return the attempt as one word of a log line, for example "4f0c.0.1.17#2": job, occurrence, step, task and attempt.
auto attemptName(const TaskKey &key, int attempt) -> std::string;

/// @return whether all tasks of a step have succeeded.
auto stepDone(const StepState &step) -> bool;

/// @return whether all steps that @p step depends on are done in this occurrence.
auto stepReady(const PoolJobState &state, int occurrence, int step) -> bool;

/// @return time at which an occurrence becomes due; nothing for a job without a schedule.
auto dueTime(const PoolJob &job, int occurrence) -> std::optional<WallTime>;

/// @return whether any task has been started.
auto hasBegun(const PoolJobState &state) -> bool;

/// @return about how many bytes the start order of one task takes on the wire, headers included.
auto startOrderBytes(const PoolJob &job) -> std::int64_t;

/// Checks a submitted job against the limits of the product.
/// @return why the job is invalid; nothing if it is valid
auto jobProblem(const PoolJob &job) -> std::optional<std::string>;

}

template<>
struct std::hash<Catkin::TaskKey>
{
    auto operator()(const Catkin::TaskKey &key) const noexcept -> std::size_t
    {
        constexpr auto spread = std::size_t{1'000'003};
        const auto numbers
            = (static_cast<std::size_t>(key.occurrence) * spread + static_cast<std::size_t>(key.step)) * spread + static_cast<std::size_t>(key.index);
        return std::hash<std::string>{}(key.job.str()) ^ (numbers * spread);
    }
};

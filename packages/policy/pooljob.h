#pragma once

/// Jobs of a shared worker pool: steps of tasks that need processors, memory and accelerators.
///
/// A PoolJob is what a caller submitted; a PoolJobState adds what has happened to it. Both are plain data:
/// @code
///   auto state = Catkin::makeJobState(job);
///   auto &task = Catkin::taskAt(state, {.job = job.id, .occurrence = 0, .step = 1, .index = 17});
///   if (Catkin::stepReady(state, 0, 1)) { ... }
/// @endcode

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

using QueueId = StringId<struct QueueTag>;

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

/// @return how many copies of @p need fit into @p room at once; at most @p limit.
auto copiesThatFit(const Resources &need, const Resources &room, int limit) -> int;

struct PoolStep
{
    int tasks = 0;
    Resources perTask;
    Millis estimate{0}; ///< the caller's rough figure for one task
    std::vector<int> dependsOn; ///< earlier steps that must be done first
    bool checkpointing = false;
    bool gang = false; ///< the tasks run only together
    bool sameRack = false; ///< slower by a factor when spread over racks
    std::string requiredLabel; ///< empty: any worker
    std::string dataRack; ///< faster there; empty: anywhere
    int maxPerWorker = 0; ///< most tasks of one occurrence on a worker; 0: no limit
    bool longRunning = false; ///< runs until the job is cancelled
};

/// A job as submitted.
struct PoolJob
{
    JobId id;
    QueueId queue;
    WorkspaceId workspace;
    WallTime acceptedAt; ///< by the clock of the instance that accepted it
    std::string payload; ///< opaque text handed to each task
    std::vector<PoolStep> steps;
    int occurrences = 1;
    std::optional<WallTime> firstDue; ///< set for a scheduled job
    Millis interval{0}; ///< between occurrences
};

enum class PoolJobPhase { Queued, Running, Completed, Failed, Cancelled };

/// @return whether a job in @p phase will never run again.
auto isFinal(PoolJobPhase phase) -> bool;

enum class TaskPhase {
    Waiting, ///< no attempt exists anywhere
    Placed, ///< an attempt may exist on the task's worker
    Done,
};

/// What this planner knows about a placed attempt beyond the record; never stored.
enum class AttemptPhase {
    Unknown, ///< taken over from an earlier planner and not yet seen
    Starting, ///< the start order has not been answered
    Running,
};

struct TaskState
{
    TaskPhase phase = TaskPhase::Waiting;
    int attempt = 0; ///< number of the last attempt; rises with each placement
    int failures = 0; ///< attempts that ended by a failure
    int lastFailedAttempt = 0; ///< so that a failure that is reported twice counts once
    WorkerId worker; ///< while Placed
    Incarnation workerBorn; ///< lifetime of that worker
    std::string checkpoint; ///< resume point; empty: from the beginning

    AttemptPhase attemptPhase = AttemptPhase::Unknown;
    int percent = -1; ///< progress at the last look
    MonoTime progressAt; ///< last time the progress changed
};

struct StepState
{
    std::vector<TaskState> tasks;
    int gangFailures = 0; ///< attempts of a gang in which a member failed
    int lastFailedAttempt = 0; ///< of a gang, so that two failing members count once
    bool everStarted = false;
    bool waitLogged = false; ///< a log line has said why it waits; never stored
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
    bool cancelRequested = false;
    std::vector<OccurrenceState> occurrences;
    MonoTime knownSince; ///< when this planner first saw the job
    MonoTime finalSince;
};

/// Names one task.
struct TaskKey
{
    JobId job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    auto operator<=>(const TaskKey &other) const = default;
};

/// @return the state of a job of which nothing has run.
auto makeJobState(const PoolJob &job) -> PoolJobState;

/// @param state must contain the task
auto taskAt(PoolJobState &state, const TaskKey &key) -> TaskState &;

/// @return whether the job has such a task.
auto containsTask(const PoolJobState &state, const TaskKey &key) -> bool;

/// @param state must contain the task
auto stepAt(PoolJobState &state, const TaskKey &key) -> StepState &;

/// @param state must contain the task
/// @return the step of the task as it was submitted.
auto specOf(const PoolJobState &state, const TaskKey &key) -> const PoolStep &;

/// @return the names and numbers of an attempt, for log lines.
auto describeAttempt(const TaskKey &key, int attempt) -> std::string;

/// @return whether all tasks of a step have ended well.
auto stepDone(const StepState &step) -> bool;

/// @return whether all steps that @p step depends on are done in this occurrence.
auto stepReady(const PoolJobState &state, int occurrence, int step) -> bool;

/// @return when an occurrence may start; nothing for a job without a schedule.
auto dueTime(const PoolJob &job, int occurrence) -> std::optional<WallTime>;

/// @return whether any task has been started.
auto hasBegun(const PoolJobState &state) -> bool;

/// Checks what a caller submitted against the limits of the product.
/// @return why the job is malformed; nothing when it is sound
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

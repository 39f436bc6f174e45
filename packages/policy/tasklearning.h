#pragma once

/// What the planner in office has learned from the lists of workers: interference between kinds of tasks, and the speed of workers.
///
/// @code
///   Catkin::followKind(learning, allocation.trace, job, step);
///   Catkin::learnFrom(learning, {.worker = id, .job = job, .step = step, .trace = allocation.trace, .row = row}, now);
///   const auto changes = Catkin::reviewLearning(learning, now);
/// @endcode

#include "policy/interference.h"
#include "policy/tasktrace.h"
#include "policy/workerspeed.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Catkin
{

/// Between two rows of an attempt that are looked at.
constexpr auto observationPeriod = Millis{500};

struct TaskLearning
{
    InterferenceTable interference;
    WorkerSpeeds speeds;
    MonoTime now; ///< of the last list or planning pass
};

/// Numbers for reports.
struct LearningCounts
{
    std::size_t kinds = 0;
    std::size_t pairs = 0;
    std::size_t certainPairs = 0;
    std::size_t slowWorkers = 0;
};

/// A row of an attempt of a known job.
struct LearningRow
{
    const WorkerId &worker;
    const PoolJob &job;
    const PoolStep &step;
    TaskTrace &trace;
    TaskRow row;
};

/// @return the image of the step, or the queue of the job if it has none.
auto kindOf(const PoolJob &job, const PoolStep &step) -> TaskKindId;

/// Looks the kind of an attempt up, unless @p trace has it already.
auto followKind(TaskLearning &learning, TaskTrace &trace, const PoolJob &job, const PoolStep &step) -> void;

/// Adds what the row shows. A certain slowdown by other kinds does not count against the worker, nor a certainly slow worker against the
/// kinds on it.
auto learnFrom(TaskLearning &learning, const LearningRow &row, MonoTime now) -> void;

/// @return pairs of kinds whose slowdown has become certain or is no longer.
auto reviewLearning(TaskLearning &learning, MonoTime now) -> std::vector<PairChange>;

/// @return the change as fields of a log line.
auto describeChange(const PairChange &change) -> std::string;

auto countsOf(const TaskLearning &learning) -> LearningCounts;

}

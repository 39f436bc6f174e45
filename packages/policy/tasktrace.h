#pragma once

/// Turns the rows in which a worker lists an attempt into samples for interference.h and workerspeed.h.
///
/// @code
///   if (const auto sample = Catkin::takeSample(trace, step, {.clock = reply.clock, .percent = row.percent, .load = row.load, .present = others})) {
///       Catkin::observe(table, trace.kind, *sample, now);
///   }
/// @endcode
///
/// A sample covers a span in which the same kinds of tasks shared the worker; a change of these begins a new one. Further samples of an
/// attempt weigh less, also under other conditions: an attempt that is far from its estimate is so in all of them.

#include "policy/interference.h"
#include "policy/workermessages.h"

#include <limits>
#include <optional>

namespace Catkin
{

/// What is known of an attempt from earlier rows.
struct TaskTrace
{
    KindSlot kind = noKind;
    std::uint32_t generation = std::numeric_limits<std::uint32_t>::max(); ///< of the table when @c kind was looked up
    std::optional<bool> comparable; ///< whether it runs where its step prefers to run
    bool open = false; ///< a span has begun
    bool counted = false; ///< it has given a sample
    KindMask present = 0;
    WorkerTime since; ///< begin of the span
    WorkerTime countedAt; ///< last sample
    int percent = 0; ///< at the begin of the span
    double logSum = 0.0; ///< of the figures of the span
    int rows = 0; ///< with a figure
};

/// One row of a worker's list.
struct TaskRow
{
    WorkerTime clock;
    int percent = 0;
    std::optional<std::int64_t> load; ///< see RunningAttempt::load
    KindMask present = 0; ///< kinds that the task shares the worker with
};

/// @return what the tasks of a step are compared by.
auto figureOf(const PoolStep &step) -> TaskFigure;

/// @return a sample when the row completes one.
auto takeSample(TaskTrace &trace, const PoolStep &step, const TaskRow &row) -> std::optional<TaskSample>;

}

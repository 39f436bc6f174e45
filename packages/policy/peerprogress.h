#pragma once

/// Tells a task that hangs from one that is slow, by the progress of the other tasks of its step.
///
/// The load that this answers: workers that answer polls while all or some of their tasks stand still. A fixed limit must allow for the
/// slowest sound task, so that a short task has missed its objective before its worker is suspected, and the other members of its gang
/// hold their capacity in vain meanwhile. Tasks of one step are alike, so that their progress shows much sooner what is to be expected.
///
/// @code
///   const auto rate = Catkin::typicalRate(step.tasks);
///   if (rate && Catkin::fallsBehindPeers(task, *rate, worker.answeredAt)) { ... }
/// @endcode

#include "policy/pooljob.h"

#include <optional>
#include <vector>

namespace Catkin
{

/// @param tasks of one step and occurrence
/// @return the median progress of those whose progress has been seen, in percent per second, and of two the lower; nothing with fewer than two.
auto typicalRate(const std::vector<TaskState> &tasks) -> std::optional<double>;

/// @param rate of the other tasks of the step, in percent per second
/// @param listedAt when the last list that names the task arrived
/// @return whether the task has stood still for so long that a task several times as slow as the others would have made progress.
auto fallsBehindPeers(const TaskState &task, double rate, MonoTime listedAt) -> bool;

/// @param tasks members of a gang
/// @return whether the gang waits for other members than @p task: those at the end of their work stand still until the last one is there.
auto waitsForPeers(const TaskState &task, const std::vector<TaskState> &tasks) -> bool;

}

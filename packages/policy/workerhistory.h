#pragma once

/// Finds the workers that have certainly shut down, and the last entry of each, from a section of the log of workers' entries.
///
/// Used by a planner at the start of its term. It has not observed when the entries were written, which workerentries.h
/// relies on.
/// @code
///   auto history = std::vector<Catkin::WorkerWrite>{...};   // in the order of the log, without gaps
///   for (const auto &id : Catkin::departuresIn(history, heartbeat)) { ... }  // their processes have ended
/// @endcode
///
/// Why a departure is certain: the store drops the entry of a silent worker after three heartbeats at the earliest. If
/// less time passed between the last write of a draining worker and its removal (the gap), the worker removed the entry
/// itself.
///
/// The clock of any other worker gives an upper bound of this time. For its last write before the gap, that worker read
/// its clock before the gap began. For its second write after the gap, it read its clock after the gap had ended, since
/// it starts a write only after the previous one is done. If the two readings are less than two and a half heartbeats
/// apart, silence cannot explain the removal.

#include "policy/poolfleet.h"

#include <map>
#include <string>
#include <vector>

namespace Catkin
{

/// One record of the log of workers' entries.
struct WorkerWrite
{
    WorkerId id;
    bool removal = false;
    bool draining = false;
    Incarnation born;
    WorkerTime clock; ///< the worker's own clock, read before the write
    std::string address; ///< empty in a removal
};

/// @param history in the order of the log, without gaps
/// @param heartbeat interval between two writes of a worker
/// @return the workers whose last record in @p history is a removal and whose processes have certainly ended.
auto departuresIn(const std::vector<WorkerWrite> &history, Millis heartbeat) -> std::vector<WorkerId>;

/// @param history in the order of the log
/// @return the last write of each worker that is no removal.
auto lastWritesIn(const std::vector<WorkerWrite> &history) -> std::map<WorkerId, WorkerWrite>;

}

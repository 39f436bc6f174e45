#pragma once

/// Reads the histories of the stand-ins.
///
/// @code
///   auto ok = Catkin::readWorker("worker-3", text, killedMs, history);
/// @endcode

#include "history/checker.h"
#include "history/history.h"

#include <cstdint>
#include <string>

namespace Catkin
{

/// Adds the executions of an executor and the times at which it was leaving.
/// @param server name of the executor
/// @param text answer of `GET /control/history`, or the lines of a history file
/// @param endMs time at which the process was killed or the history read
/// @return whether @p text is a history
auto readExecutor(const std::string &server, const std::string &text, std::int64_t endMs, History &history) -> bool;

/// Adds the runs and leases of a worker and the times at which it was leaving; what had not ended ends at @p endMs.
/// @return whether @p text is a history
auto readWorker(const std::string &server, const std::string &text, std::int64_t endMs, History &history) -> bool;

/// @return whether an answer of the executor stand-in belongs to @p payload.
auto isStandinAnswer(const std::string &payload, const std::string &answer) -> bool;

/// @return the present time of the machine's monotonic clock in milliseconds, as in the histories.
auto historyNowMs() -> std::int64_t;

}

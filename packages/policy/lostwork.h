#pragma once

/// What the stop of an attempt costs, in core-seconds.
///
/// Load: more work than capacity, so that attempts are preempted all the time, and stops before departures. Work of which progress is saved is
/// cheap to stop however long it has run; work without checkpoints loses all that it has done.
///
/// @code
///   const auto loss = Catkin::lostCoreSeconds({.resources = need, .age = now - placedAt, .checkpointing = true, .restore = Millis{600}});
/// @endcode

#include "policy/pooljob.h"
#include "util/units.h"

#include <optional>

namespace Catkin
{

struct StoppedAttempt
{
    Resources resources;
    Micros age{0}; ///< since this planner placed it, or took it over
    Millis estimate{0}; ///< the caller's estimate of the run time
    int basePercent = -1; ///< see TaskState::basePercent; 0: it began anew under this planner
    int percent = -1; ///< last listed progress; -1: none
    Micros progressSpan{0}; ///< in which the progress came from basePercent to percent
    bool checkpointing = false;
    Millis stopGrace{0}; ///< for which the attempt holds its capacity without progress while it stops
    std::optional<Millis> restore; ///< time to resume from a checkpoint; nothing: not known
};

/// @return the amount in cores, with an accelerator as several of them.
auto coresOf(const Resources &it) -> double;

/// @return the time to stop, and the time to resume with checkpoints or all work of the attempt without, times the cores that it uses.
auto lostCoreSeconds(const StoppedAttempt &it) -> double;

}

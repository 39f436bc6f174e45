#pragma once

/// Decides what becomes of an attempt on a worker that has announced when it leaves.
///
/// Load: workers leave 2 s after a notice, up to a sixth of them at once, and tasks run for 2 to 10 s with estimates that are off by up to 90%.
/// What still runs when the worker leaves loses its last progress, and a gang with a member there fails as a whole.
///
/// @code
///   auto it = Catkin::LeavingAttempt{.leavesAt = leavesAt, .remaining = Catkin::remainingTime(progress, now), .checkpointing = true};
///   const auto decision = Catkin::departureDecision(it, now);
///   if (isDue(decision, now)) { ... }                       // stop it, with its whole gang
/// @endcode

#include "policy/poolfleet.h"
#include "policy/pooljob.h"
#include "util/clock.h"
#include "util/units.h"

#include <optional>

namespace Catkin
{

/// What a worker has announced about its departure.
struct DepartureNotice
{
    Incarnation born; ///< lifetime of the worker that leaves
    Millis remaining{0}; ///< minimum time left when the entry was written
    WorkerTime writtenClock; ///< the worker's clock then; 0: unknown
    MonoTime readAt; ///< when the entry was first read
};

/// @param clock the worker's clock in the same lifetime, in a list that arrived at @p clockAt; 0: no list of it has arrived
/// @return when the worker leaves at the earliest. A late read of the entry does not move it if the clock is known.
auto leavesAt(const DepartureNotice &notice, WorkerTime clock, MonoTime clockAt) -> MonoTime;

/// What is known about the run time of an attempt.
struct AttemptProgress
{
    Millis estimate{0}; ///< the caller's estimate of the run time
    MonoTime since; ///< when the attempt was placed or accepted
    bool resumed = false; ///< it may have begun with progress of an earlier attempt
    int basePercent = -1; ///< see TaskState::basePercent
    MonoTime baseAt;
    int percent = -1; ///< last listed progress; -1: none
    MonoTime percentAt; ///< when a list last showed it
};

/// Bounds of the remaining run time of an attempt.
struct RemainingTime
{
    Micros least{0};
    Micros expected{0};
    Micros most{0};
    double done = 0.0; ///< part of the work that is done, from 0 to 1
};

/// Takes the listed progress in the first list of an attempt and in later ones, before TaskState::percent is set.
/// @param begunAt when the attempt began with no progress at the earliest; nothing if that is not known
auto noteProgress(TaskState &task, int percent, std::optional<MonoTime> begunAt, MonoTime now) -> void;

/// @return the remaining run time, from the progress over time where an attempt has been seen to progress, otherwise from the estimate.
auto remainingTime(const AttemptProgress &progress, MonoTime now) -> RemainingTime;

/// An attempt, or a gang of which at least one member is on a leaving worker.
struct LeavingAttempt
{
    MonoTime leavesAt; ///< the first departure of a worker with a member
    RemainingTime remaining;
    int priority = 0;
    bool checkpointing = false;
    bool longRunning = false;
    bool hasRoom = false; ///< workers that stay have free capacity for all of it
    Millis stopGrace{0}; ///< time that a worker has to stop an attempt and save a checkpoint
};

enum class DepartureAction { LetRun, StopAt, StopNow };

struct DepartureDecision
{
    DepartureAction action = DepartureAction::LetRun;
    MonoTime at; ///< with StopAt: the last time at which a stop saves a checkpoint that is read before the worker leaves
};

auto departureDecision(const LeavingAttempt &it, MonoTime now) -> DepartureDecision;

/// @return whether the attempt is to be stopped now.
auto isDue(const DepartureDecision &decision, MonoTime now) -> bool;

}

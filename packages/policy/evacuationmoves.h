#pragma once

/// Moves of long-running tasks out of evacuated failure domains.
///
/// Handles the load of an evacuated domain whose long-running tasks never end by themselves, while the other domains have room for some of them
/// and are needed by other work as well. One step (tasks that were started together) moves at a time, and only when it fits elsewhere at once:
///
/// @code
///   auto moves = Catkin::EvacuationMoves{};
///   if (Catkin::followMove(moves, progress, now) == Catkin::MoveResult::GivenUp) { ... }
///   if (Catkin::mayBeginMove(moves, now)) {
///       for (const auto &it : Catkin::stepsToTry(moves, steps, services)) {
///           if (fits(it)) { Catkin::beginMove(moves, it.id, now); break; }
///       }
///   }
/// @endcode
///
/// EvacuationMoves is the memory of one planner and is not stored. The next planner begins with an empty one.

#include "policy/pooljob.h"
#include "util/clock.h"
#include "util/ids.h"
#include "util/units.h"

#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace Catkin
{

/// A long-running step with attempts in an evacuated domain.
struct EvacuatedStep
{
    TaskKey id; ///< of its first task
    ServiceId service;
    int priority = 0;
    bool guaranteed = false;
};

/// Work of a service that goes before a move.
struct ServiceDemand
{
    std::optional<int> waitingPriority; ///< the most urgent of the work that waits for capacity, or will when its attempts have stopped
    bool isRestarting = false; ///< a long-running task is being started again, or no list has shown yet whether it runs
};

struct EvacuationMoves
{
    std::optional<TaskKey> step; ///< that is being moved, under its first task
    MonoTime beganAt; ///< valid with @c step
    MonoTime pausedUntil; ///< no move begins before
    std::optional<std::tuple<int, bool, TaskKey>> tried; ///< place of the last step that was tried in vain; nothing: the next search begins anew
};

enum class MoveProgress {
    Moving, ///< a task of the step is stopping, waits, or has not been reported as running
    Runs,
    Over, ///< the job is final or unknown
};

enum class MoveResult { Open, Ended, GivenUp };

/// Ends the move of a step that runs again, or that has taken too long; after the latter, no move begins for a while.
/// @return Open also without a move
auto followMove(EvacuationMoves &moves, MoveProgress progress, MonoTime now) -> MoveResult;

/// @return whether no move is open and none has been given up recently.
auto mayBeginMove(const EvacuationMoves &moves, MonoTime now) -> bool;

/// @return whether no work of the service goes before the move of the step.
auto isTurnOf(const EvacuatedStep &step, const std::map<ServiceId, ServiceDemand> &services) -> bool;

/// Chooses the steps for which one planning pass looks for room: the most urgent first, a limited number, beginning after those that earlier passes
/// have tried in vain.
/// @return steps whose turn it is, in the order in which to try them
auto stepsToTry(EvacuationMoves &moves, std::vector<EvacuatedStep> steps, const std::map<ServiceId, ServiceDemand> &services) -> std::vector<EvacuatedStep>;

auto beginMove(EvacuationMoves &moves, const TaskKey &step, MonoTime now) -> void;

}

#include "policy/evacuationmoves.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace Catkin
{

namespace
{

/// How long a moved step may take until it runs again. A worker stops a task within 0.9 s unless it has failed, and the start follows in the
/// next pass; a step that takes longer has lost its room to more urgent work, or a worker does not answer.
constexpr auto moveLimit = Millis{10'000};
/// How long no move begins after one that has taken too long, so that a shortage does not take one step after the other out of service.
constexpr auto pauseAfterGivingUp = Millis{60'000};
/// Steps for which a pass looks for room; each search looks at all workers.
constexpr auto maxSearches = std::size_t{8};

/// The most urgent step has the smallest place.
auto placeOf(const EvacuatedStep &step) -> std::tuple<int, bool, TaskKey>
{
    return {step.priority, !step.guaranteed, step.id};
}

}

auto followMove(EvacuationMoves &moves, MoveProgress progress, MonoTime now) -> MoveResult
{
    if (!moves.step) {
        return MoveResult::Open;
    }
    if (progress != MoveProgress::Moving) {
        moves.step.reset();
        return MoveResult::Ended;
    }
    if (now - moves.beganAt < moveLimit) {
        return MoveResult::Open;
    }
    moves.step.reset();
    moves.pausedUntil = now + pauseAfterGivingUp;
    return MoveResult::GivenUp;
}

auto mayBeginMove(const EvacuationMoves &moves, MonoTime now) -> bool
{
    return !moves.step && now >= moves.pausedUntil;
}

auto isTurnOf(const EvacuatedStep &step, const std::map<ServiceId, ServiceDemand> &services) -> bool
{
    const auto it = services.find(step.service);
    if (it == services.end()) {
        return true;
    }
    const auto &waiting = it->second.waitingPriority;
    return !it->second.isRestarting && (!waiting || *waiting > step.priority);
}

auto stepsToTry(EvacuationMoves &moves, std::vector<EvacuatedStep> steps, const std::map<ServiceId, ServiceDemand> &services) -> std::vector<EvacuatedStep>
{
    std::erase_if(steps, [&](const EvacuatedStep &it) { return !isTurnOf(it, services) || (moves.tried && placeOf(it) <= *moves.tried); });
    std::sort(steps.begin(), steps.end(), [](const EvacuatedStep &a, const EvacuatedStep &b) { return placeOf(a) < placeOf(b); });
    if (steps.size() <= maxSearches) {
        moves.tried.reset();
    } else {
        steps.resize(maxSearches);
        moves.tried = placeOf(steps.back());
    }
    return steps;
}

auto beginMove(EvacuationMoves &moves, const TaskKey &step, MonoTime now) -> void
{
    moves.step = step;
    moves.beganAt = now;
    moves.tried.reset();
}

}

#pragma once

/// Keeps guarantees usable for tasks of several accelerators.
///
/// A guarantee is a number of accelerators. Work within guarantees is not preempted, so that single tasks on all workers would keep a task that needs
/// a whole worker from ever starting. Two decisions prevent that:
/// @code
///   if (idleWorkers <= Catkin::wholeWorkersNeeded(unused, 8)) { /* place guaranteed work beside other guaranteed work */ }
///   if (const auto move = Catkin::chooseMove(workers, units, need)) { /* stop the units of the move; they start again elsewhere */ }
/// @endcode

#include "policy/pooljob.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace Catkin
{

/// @param unused accelerators of each guarantee that are not in use
/// @param perWorker accelerators of a whole worker
/// @return how many workers without guaranteed work the guarantees may need for tasks of up to @p perWorker accelerators.
auto wholeWorkersNeeded(const std::vector<std::int64_t> &unused, std::int64_t perWorker) -> int;

/// What guaranteed work can have on a worker beside the guaranteed work that runs there.
struct ShapeWorker
{
    Resources room;
};

/// Guaranteed work that moves as a whole: a task, or all members of a gang.
struct ShapeUnit
{
    struct Part
    {
        std::size_t worker = 0; ///< index of the worker where it runs
        Resources resources;
    };
    std::vector<Part> parts;
    std::vector<bool> allowed; ///< for each worker whether the unit can run there
    double loss = 0.0; ///< core-seconds of work that are lost when it is stopped
};

/// Work that finds no room.
struct ShapeNeed
{
    Resources perTask;
    int tasks = 0;
    int maxPerWorker = 0; ///< 0: no limit
    std::vector<bool> allowed; ///< for each worker whether the work can run there
};

struct ShapeMove
{
    std::vector<std::size_t> units; ///< to be stopped
    std::vector<std::size_t> workers; ///< where the work starts, one for each task
    double loss = 0.0;
};

/// @return the units to stop so that the work starts and all of them find room elsewhere, with little loss; nothing if none was found.
auto chooseMove(const std::vector<ShapeWorker> &workers, const std::vector<ShapeUnit> &units, const ShapeNeed &need) -> std::optional<ShapeMove>;

}

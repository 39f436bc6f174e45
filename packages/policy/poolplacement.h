#pragma once

/// Chooses workers for the tasks of one step.
///
/// @code
///   auto candidates = std::vector<Catkin::WorkerCandidate>{...};
///   auto chosen = Catkin::chooseWorkers(candidates, step, 4, Catkin::Spread::OneRack);
/// @endcode
///
/// The choice packs tightly: it takes the workers with the least room left that still fit, and the rack with the
/// least room left, so that large gangs find whole workers and racks.

#include "policy/pooljob.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace Catkin
{

/// A worker as a placement sees it.
struct WorkerCandidate
{
    std::size_t worker = 0; ///< the caller's index
    std::string rack;
    Resources available;
    int placed = 0; ///< tasks of the same occurrence and step that run there already
    bool suspect = false; ///< failed work recently; taken only when no other worker fits
    double cost = 0.0; ///< of making the room, in core-seconds of lost work; 0 for free room
};

enum class Spread {
    OneRack, ///< all tasks in one rack, the data's if the step names one
    DataRack, ///< the data's rack first, then any
    Anywhere,
};

/// @param count how many tasks to place
/// @return for each task the index into @p candidates, or nothing when they do not all fit.
auto chooseWorkers(const std::vector<WorkerCandidate> &candidates, const PoolStep &step, int count, Spread spread) -> std::optional<std::vector<std::size_t>>;

/// As chooseWorkers(), but places as many tasks as fit.
/// @return indices into @p candidates, at most @p count of them.
auto chooseForSome(const std::vector<WorkerCandidate> &candidates, const PoolStep &step, int count) -> std::vector<std::size_t>;

}

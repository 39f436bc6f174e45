#pragma once

/// Chooses workers for the tasks of one step.
///
/// @code
///   auto candidates = std::vector<Catkin::WorkerCandidate>{...};
///   auto chosen = Catkin::chooseWorkers(candidates, step, 4, Catkin::Spread::OneRack);
/// @endcode
///
/// Best fit: prefers the workers with the least available capacity that suffice, and the rack with the least, so that
/// whole workers and racks stay free for large gangs.

#include "policy/pooljob.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace Catkin
{

/// A worker on which tasks may be placed.
struct WorkerCandidate
{
    std::size_t worker = 0; ///< the caller's index
    std::string rack;
    Resources available; ///< including capacity that must be freed first
    int placed = 0; ///< tasks of the same occurrence and step that run there already
    bool suspect = false; ///< failed work recently, or is cold; taken only when no other worker fits
    double cost = 0.0; ///< of freeing the capacity: core-seconds of lost work, or seconds until it is free; 0 for free capacity
    int avoid = 0; ///< what has been learned against it; among workers of equal rank, those with less are filled first
};

enum class Spread {
    OneRack, ///< all tasks in one rack, preferably PoolStep::dataRack
    DataRack, ///< workers in PoolStep::dataRack first, then any others
    Anywhere,
};

/// @param count how many tasks to place
/// @return for each task the index into @p candidates, or nothing if not all tasks fit.
auto chooseWorkers(const std::vector<WorkerCandidate> &candidates, const PoolStep &step, int count, Spread spread) -> std::optional<std::vector<std::size_t>>;

/// Like chooseWorkers() with Spread::DataRack, but places as many tasks as fit.
/// @return indices into @p candidates, at most @p count of them.
auto chooseForSome(const std::vector<WorkerCandidate> &candidates, const PoolStep &step, int count) -> std::vector<std::size_t>;

}

#pragma once

/// What the listed workers could run if all of them were idle; tells work that has to wait from work that no worker can take.
///
/// @code
///   auto idle = Catkin::IdleCapacity{};
///   addWorker(idle, info);                                  // each listed worker
///   if (copiesOnIdle(idle, service, step) < step.tasks) { ... }
/// @endcode
///
/// Workers of one kind count together, so that a question costs as much as there are kinds, and the answers are remembered: jobs of one
/// shape ask in each planning pass.

#include "policy/poolfleet.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace Catkin
{

/// What a task needs of a worker: service, label, thousandths of a core, memory in MB, accelerators, and the most tasks of its step there.
using TaskShape = std::tuple<ServiceId, std::string, std::int64_t, std::int64_t, std::int64_t, int>;

struct IdleCapacity
{
    /// Service, labels, thousandths of a core, memory in MB and accelerators.
    using Kind = std::tuple<ServiceId, std::vector<std::string>, std::int64_t, std::int64_t, std::int64_t>;

    std::map<Kind, int> workers; ///< number of workers of each kind
    std::map<TaskShape, std::int64_t> copies; ///< answers of copiesOnIdle()
};

/// Upper bound on the tasks of one step that a worker is assumed to take, if the step has no limit.
constexpr auto maxCopies = 10'000;

/// @return whether the worker has the label that the step requires.
auto hasLabel(const std::vector<std::string> &labels, const PoolStep &step) -> bool;

auto shapeOf(const ServiceId &service, const PoolStep &step) -> TaskShape;

/// Adds a worker; one that drains takes nothing and is left out.
auto addWorker(IdleCapacity &idle, const PoolWorkerInfo &info) -> void;

/// @return how many tasks of the step all workers of the service could take together.
auto copiesOnIdle(IdleCapacity &idle, const ServiceId &service, const PoolStep &step) -> std::int64_t;

}

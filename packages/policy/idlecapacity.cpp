#include "policy/idlecapacity.h"

#include <algorithm>

namespace Catkin
{

namespace
{

/// Answers that are remembered; above the number of shapes in a long backlog.
constexpr auto maxShapes = std::size_t{4'096};

}

auto hasLabel(const std::vector<std::string> &labels, const PoolStep &step) -> bool
{
    return step.requiredLabel.empty() || std::find(labels.begin(), labels.end(), step.requiredLabel) != labels.end();
}

auto shapeOf(const ServiceId &service, const PoolStep &step) -> TaskShape
{
    const auto limit = step.maxPerWorker > 0 ? step.maxPerWorker : maxCopies;
    return {service, step.requiredLabel, step.perTask.cpuMillis, step.perTask.memoryMb, step.perTask.accelerators, limit};
}

auto addWorker(IdleCapacity &idle, const PoolWorkerInfo &info) -> void
{
    if (!info.draining) {
        ++idle.workers[{info.service, info.labels, info.capacity.cpuMillis, info.capacity.memoryMb, info.capacity.accelerators}];
        idle.copies.clear();
    }
}

auto copiesOnIdle(IdleCapacity &idle, const ServiceId &service, const PoolStep &step) -> std::int64_t
{
    if (idle.copies.size() >= maxShapes) {
        idle.copies.clear();
    }
    const auto [copies, isNew] = idle.copies.try_emplace(shapeOf(service, step), 0);
    if (isNew) {
        for (const auto &[kind, n] : idle.workers) {
            const auto &[kindService, labels, cpu, memory, accelerators] = kind;
            if (kindService == service && hasLabel(labels, step)) {
                const auto limit = step.maxPerWorker > 0 ? step.maxPerWorker : maxCopies;
                const auto capacity = Resources{.cpuMillis = cpu, .memoryMb = memory, .accelerators = accelerators};
                copies->second += std::int64_t{n} * copiesThatFit(step.perTask, capacity, limit);
            }
        }
    }
    return copies->second;
}

}

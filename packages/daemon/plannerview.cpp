#include "daemon/plannerview.h"

#include <array>

namespace Catkin
{

auto toScheduled(const JobDescription &spec) -> ScheduledJob
{
    constexpr auto adjacency = std::array{Adjacency::Worker, Adjacency::Rack, Adjacency::Any};
    constexpr auto urgency = std::array{Urgency::Urgent, Urgency::Normal, Urgency::Batch};
    return {
        .job = spec.id,
        .workspace = spec.workspace,
        .caller = spec.caller,
        .kind = spec.kind,
        .tasks = spec.tasks,
        .slotsPerTask = static_cast<int>(spec.slotsPerTask.value),
        .adjacency = adjacency[static_cast<std::size_t>(spec.adjacency)],
        .urgency = urgency[static_cast<std::size_t>(spec.urgency)],
        // A job that must not run twice cannot return to the queue once it has started, so a checkpoint does not make
        // it reclaimable.
        .checkpointable = spec.checkpointable && spec.restartable,
        .restartable = spec.restartable,
    };
}

auto schedulerConfig(const ConfigDocument &document, const FailureDomainId &domain) -> SchedulerConfig
{
    auto view = SchedulerConfig{};
    for (const auto &it : document.workspaces) {
        auto rule = WorkspaceRule{.name = it.name, .weight = it.weight, .urgentSharePercent = it.urgentSharePercent};
        if (it.quotaSlots) {
            rule.quotaSlots = static_cast<int>(it.quotaSlots->value);
        }
        for (const auto &guarantee : it.guarantees) {
            if (guarantee.domain == domain) {
                rule.guarantees.push_back({.slots = static_cast<int>(guarantee.slots.value), .count = guarantee.count});
            }
        }
        view.workspaces.push_back(std::move(rule));
    }
    return view;
}

auto unschedulableReason(const ConfigDocument &document, const FleetView &fleet, const JobDescription &spec) -> std::optional<std::string>
{
    auto scheduler = Scheduler{};
    scheduler.configure(schedulerConfig(document, spec.domain));
    auto known = false;
    for (const auto &it : fleet.workers) {
        // A leaving worker counts: its place is usually taken by another one soon.
        if (it.domain == spec.domain) {
            known = scheduler.updateWorker({WorkerId{it.id}, it.rack, it.slots, true}, MonoTime{}).has_value() || known;
        }
    }
    if (!known) {
        return std::nullopt;
    }
    const auto verdict = scheduler.submit(toScheduled(spec), MonoTime{});
    return verdict ? std::nullopt : std::optional{verdict.error().message};
}

}

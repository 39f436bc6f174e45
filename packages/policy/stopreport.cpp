#include "policy/stopreport.h"

#include <cmath>

namespace Catkin
{

namespace
{

/// @return the number with one digit after the point.
auto tenths(double value) -> std::string
{
    constexpr auto parts = 10;
    const auto n = std::llround(value * parts);
    return std::to_string(n / parts) + "." + std::to_string(n % parts);
}

auto describe(const JobId &job, const StopCount &count) -> std::string
{
    auto out = "job=" + job.str() + " attempts=" + std::to_string(count.attempts) + " first_worker=" + count.firstWorker.str();
    if (count.unreachable > 0) {
        out += " unreachable=" + std::to_string(count.unreachable);
    }
    return out;
}

}

auto stopReasonName(StopReason reason) -> const char *
{
    switch (reason) {
    case StopReason::JobFinal:
        return "job_final";
    case StopReason::GangBroken:
        return "gang_broken";
    case StopReason::GangIncomplete:
        return "gang_incomplete";
    case StopReason::Preempted:
        return "preempted";
    case StopReason::MovedForShape:
        return "moved_for_shape";
    case StopReason::MovedForEvacuation:
        return "moved_for_evacuation";
    case StopReason::NoProgress:
        return "no_progress";
    case StopReason::NotListed:
        return "not_listed";
    case StopReason::NotRecorded:
        return "not_recorded";
    case StopReason::StartUnanswered:
        return "start_unanswered";
    case StopReason::Evacuated:
        return "evacuated";
    case StopReason::WorkerLeaving:
        return "worker_leaving";
    case StopReason::StartRefused:
        return "start_refused";
    }
    return "unknown";
}

auto outcomeName(OrderOutcome outcome) -> const char *
{
    switch (outcome) {
    case OrderOutcome::Accepted:
        return "accepted";
    case OrderOutcome::Fenced:
        return "fenced";
    case OrderOutcome::Superseded:
        return "superseded";
    case OrderOutcome::Expired:
        return "lease expired";
    case OrderOutcome::InsufficientCapacity:
        return "no room";
    case OrderOutcome::WorkerRestarted:
        return "worker restarted";
    case OrderOutcome::Unhealthy:
        return "worker unhealthy";
    case OrderOutcome::Rejected:
        return "rejected";
    case OrderOutcome::NotSent:
        return "not sent";
    case OrderOutcome::OutcomeUnknown:
        return "no answer";
    }
    return "unknown";
}

auto noteStop(StopCount &count, const WorkerId &worker, bool reachable, double lostCoreSeconds) -> void
{
    if (count.attempts == 0) {
        count.firstWorker = worker;
    }
    ++count.attempts;
    count.unreachable += reachable ? 0 : 1;
    count.lostCoreSeconds += lostCoreSeconds;
}

auto takeStopEntries(StopReport &report) -> std::vector<PoolLogEntry>
{
    auto out = std::vector<PoolLogEntry>{};
    for (const auto &[key, count] : std::exchange(report.requested, {})) {
        out.push_back({.decision = "stopping",
                       .text = describe(key.first, count) + " loss_core_s=" + tenths(count.lostCoreSeconds) + " reason=" + stopReasonName(key.second)});
    }
    for (const auto &[key, count] : std::exchange(report.answered, {})) {
        const auto accepted = key.second == OrderOutcome::Accepted;
        out.push_back({.decision = accepted ? "stop_answered" : "stop_refused", .text = describe(key.first, count) + " answer=" + outcomeName(key.second)});
    }
    return out;
}

}

#pragma once

/// Log lines about attempts that are stopped: one line for each job and reason, or answer, of a planning pass, however many attempts
/// are concerned.
///
/// @code
///   Catkin::noteStop(report.requested[{job, Catkin::StopReason::Preempted}], worker, reachable);
///   Catkin::noteStop(report.answered[{job, outcome}], worker, true);
///   for (const auto &it : Catkin::takeStopEntries(report)) { ... }
/// @endcode

#include "policy/poollogentry.h"
#include "policy/workermessages.h"

#include <array>
#include <map>
#include <utility>
#include <vector>

namespace Catkin
{

/// Why an attempt is to be stopped.
enum class StopReason {
    JobFinal, ///< its job was cancelled, has failed, or has completed without it
    GangBroken, ///< another member of its gang is over
    GangIncomplete, ///< other members of its gang could not be started in time
    Preempted,
    MovedForShape, ///< to start again elsewhere: another guaranteed task needs its worker
    MovedForEvacuation, ///< to start again elsewhere: it is long-running, and its failure domain, or that of a member of its gang, is evacuated
    NoProgress,
    NotListed, ///< its worker accepted the start order and does not list the attempt
    NotRecorded, ///< its worker lists the attempt, and the task is elsewhere, done, or of a job that has been forgotten
    StartUnanswered, ///< no try of its start order was answered
    Evacuated, ///< its start order was not answered before its failure domain was evacuated
    WorkerLeaving, ///< it would be cut off when its worker, or that of a member of its gang, leaves
    StartRefused, ///< a repeated start order was refused; the first may have been carried out
};

constexpr auto stopReasons = std::array{StopReason::JobFinal,
                                        StopReason::GangBroken,
                                        StopReason::GangIncomplete,
                                        StopReason::Preempted,
                                        StopReason::MovedForShape,
                                        StopReason::MovedForEvacuation,
                                        StopReason::NoProgress,
                                        StopReason::NotListed,
                                        StopReason::NotRecorded,
                                        StopReason::StartUnanswered,
                                        StopReason::Evacuated,
                                        StopReason::WorkerLeaving,
                                        StopReason::StartRefused};

/// Attempts of one line.
struct StopCount
{
    int attempts = 0;
    int unreachable = 0; ///< of them, those on workers that get no orders at present
    WorkerId firstWorker;
    double lostCoreSeconds = 0.0;
};

/// Attempts that were asked to stop for one cause.
struct StopTotal
{
    int attempts = 0;
    double lostCoreSeconds = 0.0;
};

struct StopReport
{
    std::map<std::pair<JobId, StopReason>, StopCount> requested;
    std::map<std::pair<JobId, OrderOutcome>, StopCount> answered;
    std::map<StopReason, StopTotal> totals; ///< by cause, for metrics; not part of the lines
};

/// @return the word for @p reason in log lines.
auto stopReasonName(StopReason reason) -> const char *;

/// @return the words for @p outcome in log lines.
auto outcomeName(OrderOutcome outcome) -> const char *;

/// Adds one attempt.
/// @param reachable whether its worker gets orders at present
/// @param lostCoreSeconds what the stop loses
auto noteStop(StopCount &count, const WorkerId &worker, bool reachable, double lostCoreSeconds = 0.0) -> void;

/// @return the lines of @p report, which has only its totals afterwards.
auto takeStopEntries(StopReport &report) -> std::vector<PoolLogEntry>;

}

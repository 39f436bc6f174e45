#pragma once

/// Determines the state of an executor from health polls, attempts and the instance list.
///
/// @code
///   Catkin::healthPolled(health, sample, now);
///   Catkin::healthAttempt(health, options, failed, now);
///   if (Catkin::healthState(health, options, now) == Catkin::ExecutorState::Usable) { ... }
/// @endcode
/// An executor gets new work only for ExecutorHealthOptions::staleAfter after its last successful poll. So one that starts
/// to leave gets no new work after that time, even if the list shows it as live or its polls fail.

#include "policy/requesttypes.h"

#include <optional>

namespace Catkin
{

/// Health of one executor.
struct ExecutorHealthTracker
{
    bool listed = true;
    bool listLeaving = false; ///< leaving according to the instance list
    bool sampleLeaving = false; ///< leaving according to its last health answer
    std::optional<MonoTime> lastGood; ///< time of the last successful poll
    int missed = 0; ///< failed polls since then
    int failures = 0; ///< consecutive failed attempts
    MonoTime lastFailure;
    bool quarantined = false;
    bool probing = false; ///< a probe is in flight
    MonoTime probeAt; ///< next probe of a quarantined executor
    Millis probePause{0}; ///< present pause before a probe
};

/// Records a poll.
/// @param sample the answer, or nothing when the poll failed
auto healthPolled(ExecutorHealthTracker &health, const std::optional<HealthSample> &sample, MonoTime now) -> void;

/// Records the end of an attempt. Not to be called for a refusal, which is neither a success nor a failure.
/// @return whether the executor should be quarantined; the caller decides with mayQuarantine().
auto healthAttempt(ExecutorHealthTracker &health, const ExecutorHealthOptions &options, bool failed, MonoTime now) -> bool;

/// @param known number of executors in the table
/// @param quarantined number of those that are in quarantine already
/// @return whether one more executor may be quarantined.
auto mayQuarantine(const ExecutorHealthOptions &options, int known, int quarantined) -> bool;

/// Starts the quarantine, or lengthens it after a failed probe.
auto quarantine(ExecutorHealthTracker &health, const ExecutorHealthOptions &options, MonoTime now) -> void;

/// @return whether an attempt may be sent to the quarantined executor now to probe whether it has recovered.
auto probeDue(const ExecutorHealthTracker &health, MonoTime now) -> bool;

auto healthState(const ExecutorHealthTracker &health, const ExecutorHealthOptions &options, MonoTime now) -> ExecutorState;

/// @return whether the executor may be used when its region has no usable one: it is listed, has answered a poll recently and
///         is not leaving, but recent attempts may have failed.
auto usableAsLastResort(const ExecutorHealthTracker &health, const ExecutorHealthOptions &options, MonoTime now) -> bool;

}

#pragma once

/// Judges an executor from health polls, attempts and the instance list.
///
/// @code
///   Catkin::healthPolled(health, sample, now);
///   Catkin::healthAttempt(health, options, failed, now);
///   if (Catkin::healthState(health, options, now) == Catkin::ExecutorState::Usable) { ... }
/// @endcode
/// An executor gets new work only for ExecutorHealthOptions::staleAfter after its last good poll. Whatever the list
/// says and however the polls fail, one that starts to leave gets nothing new after that time.

#include "policy/requesttypes.h"

#include <optional>

namespace Catkin
{

/// What is known about one executor.
struct ExecutorHealthTracker
{
    bool listed = true;
    bool listLeaving = false;
    bool sampleLeaving = false;
    std::optional<MonoTime> lastGood; ///< last good poll
    int missed = 0; ///< failed polls since
    int failures = 0; ///< consecutive failed attempts
    MonoTime lastFailure;
    bool quarantined = false;
    bool probing = false; ///< a probe is in flight
    MonoTime probeAt; ///< next probe of a quarantined executor
    Millis probePause{0};
};

/// Reports a poll, or a failed one.
auto healthPolled(ExecutorHealthTracker &health, const std::optional<HealthSample> &sample, MonoTime now) -> void;

/// Reports an attempt. A refusal before any work is no failure.
/// @return whether the executor should be quarantined; the caller decides with mayQuarantine().
auto healthAttempt(ExecutorHealthTracker &health, const ExecutorHealthOptions &options, bool failed, MonoTime now) -> bool;

/// @param known listed executors
/// @param quarantined those in quarantine already
auto mayQuarantine(const ExecutorHealthOptions &options, int known, int quarantined) -> bool;

/// Starts the quarantine, or lengthens it after a failed probe.
auto quarantine(ExecutorHealthTracker &health, const ExecutorHealthOptions &options, MonoTime now) -> void;

/// @return whether one attempt may be sent to a quarantined executor now to find out whether it recovered.
auto probeDue(const ExecutorHealthTracker &health, MonoTime now) -> bool;

auto healthState(const ExecutorHealthTracker &health, const ExecutorHealthOptions &options, MonoTime now) -> ExecutorState;

/// @return whether the executor answered a poll recently and does not leave, so that it may be used as a last resort.
auto usableAsLastResort(const ExecutorHealthTracker &health, const ExecutorHealthOptions &options, MonoTime now) -> bool;

}

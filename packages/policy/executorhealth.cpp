#include "policy/executorhealth.h"

#include <algorithm>

namespace Catkin
{

auto healthPolled(ExecutorHealthTracker &health, const std::optional<HealthSample> &sample, MonoTime now) -> void
{
    if (!sample) {
        ++health.missed;
        return;
    }
    health.missed = 0;
    health.lastGood = now;
    health.sampleLeaving = sample->leaving;
}

auto healthAttempt(ExecutorHealthTracker &health, const ExecutorHealthOptions &options, bool failed, MonoTime now) -> bool
{
    if (!failed) {
        health.failures = 0;
        health.quarantined = false;
        health.probing = false;
        health.probePause = Millis{0};
        return false;
    }
    ++health.failures;
    health.lastFailure = now;
    return health.quarantined || health.failures >= options.failuresForQuarantine;
}

auto mayQuarantine(const ExecutorHealthOptions &options, int known, int quarantined) -> bool
{
    return known > 1 && quarantined < std::max(1, static_cast<int>(options.maxQuarantinedFraction * known));
}

auto quarantine(ExecutorHealthTracker &health, const ExecutorHealthOptions &options, MonoTime now) -> void
{
    health.quarantined = true;
    health.probing = false;
    health.probePause = std::clamp(health.probePause * 2, options.firstProbePause, options.maxProbePause);
    health.probeAt = now + health.probePause;
}

auto probeDue(const ExecutorHealthTracker &health, MonoTime now) -> bool
{
    return health.quarantined && !health.probing && now >= health.probeAt;
}

auto usableAsLastResort(const ExecutorHealthTracker &health, const ExecutorHealthOptions &options, MonoTime now) -> bool
{
    return health.listed && !health.listLeaving && !health.sampleLeaving && health.lastGood && now - *health.lastGood < options.staleAfter
           && health.missed < options.missedPollsForDown;
}

auto healthState(const ExecutorHealthTracker &health, const ExecutorHealthOptions &options, MonoTime now) -> ExecutorState
{
    if (!health.listed || !health.lastGood || health.missed >= options.missedPollsForDown) {
        return ExecutorState::Down;
    }
    if (health.listLeaving || health.sampleLeaving) {
        return ExecutorState::Leaving;
    }
    // An executor with recent failures is suspect for one poll period; ExecutorTable::choose() then allows it one request at a
    // time until an attempt succeeds.
    const auto failing = health.failures >= options.failuresForSuspect && now - health.lastFailure < options.pollPeriod;
    return failing || now - *health.lastGood >= options.staleAfter ? ExecutorState::Suspect : ExecutorState::Usable;
}

}

#include "policy/lostwork.h"

#include <algorithm>
#include <chrono>

namespace Catkin
{

namespace
{

/// Weight of an accelerator, in cores, when amounts of work are compared.
constexpr auto coresPerAccelerator = 8.0;
constexpr auto millisPerCore = 1'000.0;
/// Fraction of the work of a checkpointing task that counts as lost where the time to resume is not known.
constexpr auto checkpointedLoss = 0.1;
constexpr auto wholePercent = 100.0;

auto seconds(Micros span) -> double
{
    return std::chrono::duration<double>(span).count();
}

/// @return for how long the attempt has worked. One taken over from an earlier planner has begun before its age; its progress shows for how long,
/// by its speed if two lists have shown it, otherwise by the estimate.
auto workedSeconds(const StoppedAttempt &it) -> double
{
    const auto age = seconds(it.age);
    if (it.percent <= 0 || it.basePercent == 0) {
        return age;
    }
    const auto gained = it.percent - it.basePercent;
    const auto isSpeedKnown = it.basePercent > 0 && gained > 0 && it.progressSpan > Micros{0};
    return std::max(age, isSpeedKnown ? seconds(it.progressSpan) * it.percent / gained : seconds(it.estimate) * it.percent / wholePercent);
}

}

auto coresOf(const Resources &it) -> double
{
    return static_cast<double>(it.cpuMillis) / millisPerCore + coresPerAccelerator * static_cast<double>(it.accelerators);
}

auto lostCoreSeconds(const StoppedAttempt &it) -> double
{
    const auto worked = workedSeconds(it);
    const auto saved = it.restore ? seconds(*it.restore) : worked * checkpointedLoss;
    return coresOf(it.resources) * (seconds(it.stopGrace) + (it.checkpointing ? saved : worked));
}

}

#include "policy/admission.h"

#include <algorithm>

namespace Catkin
{

auto dropTime(const AdmissionInput &input) -> MonoTime
{
    const auto timeLeft = std::max(input.deadline - input.now, Micros{0});
    return input.deadline - std::min(input.caller.averageCost, timeLeft / 2);
}

auto retryAfter(const AdmissionOptions &options, Micros wait) -> Millis
{
    return std::clamp(std::chrono::ceil<Millis>(wait), options.minRetryAfter, options.maxRetryAfter);
}

auto admit(const AdmissionOptions &options, const AdmissionInput &input) -> std::optional<RequestRefusal>
{
    const auto &caller = input.caller;
    if (input.deadline <= input.now) {
        return RequestRefusal{RefusalReason::DeadlinePassed, Millis{0}};
    }
    if (!input.executorUsable) {
        return RequestRefusal{RefusalReason::NoExecutor, std::min(Millis{1000}, options.maxRetryAfter)};
    }
    if (input.callersLimit > 0 && input.callerInProgress >= input.callersLimit) {
        return RequestRefusal{RefusalReason::CallerLimit, retryAfter(options, input.expectedWait + caller.averageCost)};
    }
    // The limits are relative to the free space, so some of it remains for other kinds however many are flooded.
    const auto freeSpace = static_cast<double>(options.maxQueued - input.queued);
    const auto full = freeSpace < 1 || caller.workspaceQueued >= options.workspaceFactor * freeSpace || caller.kindQueued >= options.kindFactor * freeSpace
                      || caller.queued >= options.callerFactor * freeSpace;
    if (full) {
        return RequestRefusal{RefusalReason::QueueFull, retryAfter(options, input.expectedWait)};
    }
    const auto excess = input.now + input.expectedWait - dropTime(input);
    if (excess > Micros{0}) {
        return RequestRefusal{RefusalReason::ExpectedWait, retryAfter(options, excess)};
    }
    return {};
}

}

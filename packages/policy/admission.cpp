#include "policy/admission.h"

#include <algorithm>

namespace Catkin
{

auto dropTime(const AdmissionInput &input) -> MonoTime
{
    const auto time = std::max(input.deadline - input.now, Micros{0});
    return input.deadline - std::min(input.caller.averageCost, time / 2);
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
    // Each part is relative to the free rest, so however many queues are flooded, some room is left for the others.
    const auto room = static_cast<double>(options.maxQueued - input.queued);
    const auto full = room < 1 || caller.workspaceQueued >= options.workspaceFactor * room || caller.kindQueued >= options.kindFactor * room
                      || caller.queued >= options.callerFactor * room;
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

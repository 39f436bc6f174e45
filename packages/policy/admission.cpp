#include "policy/admission.h"

#include <algorithm>

namespace Catkin
{

auto dropTime(const AdmissionQuestion &question) -> MonoTime
{
    const auto time = std::max(question.deadline - question.now, Micros{0});
    return question.deadline - std::min(question.caller.averageCost, time / 2);
}

auto retryAfter(const AdmissionOptions &options, Micros wait) -> Millis
{
    return std::clamp(std::chrono::ceil<Millis>(wait), options.retryAtLeast, options.retryAtMost);
}

auto admit(const AdmissionOptions &options, const AdmissionQuestion &question) -> std::optional<RequestRefusal>
{
    const auto &caller = question.caller;
    if (question.deadline <= question.now) {
        return RequestRefusal{RefusalReason::DeadlinePassed, Millis{0}};
    }
    if (!question.executorUsable) {
        return RequestRefusal{RefusalReason::NoExecutor, std::min(Millis{1000}, options.retryAtMost)};
    }
    if (question.callersLimit > 0 && question.callerInProgress >= question.callersLimit) {
        return RequestRefusal{RefusalReason::CallerLimit, retryAfter(options, question.expectedWait + caller.averageCost)};
    }
    // Each part is relative to the free rest, so however many queues are flooded, some room is left for the others.
    const auto room = static_cast<double>(options.maxQueued - question.queued);
    const auto full = room < 1 || caller.workspaceQueued >= options.workspacePart * room || caller.kindQueued >= options.kindPart * room
                      || caller.queued >= options.callerPart * room;
    if (full) {
        return RequestRefusal{RefusalReason::QueueFull, retryAfter(options, question.expectedWait)};
    }
    const auto excess = question.now + question.expectedWait - dropTime(question);
    if (excess > Micros{0}) {
        return RequestRefusal{RefusalReason::ExpectedWait, retryAfter(options, excess)};
    }
    return {};
}

}

#include "daemon/requestreply.h"

#include <utility>

namespace Catkin
{

namespace
{

auto refusalText(RefusalReason reason) -> const char *
{
    switch (reason) {
    case RefusalReason::UnknownWorkspace:
        return "the workspace is not configured";
    case RefusalReason::UnknownKind:
        return "the kind is not configured";
    case RefusalReason::CallerLimit:
        return "the caller has too many requests in progress";
    case RefusalReason::QueueFull:
        return "the queue is full";
    case RefusalReason::ExpectedWait:
        return "the expected wait exceeds the deadline";
    case RefusalReason::DeadlinePassed:
        return "the deadline passed while the request was queued";
    case RefusalReason::NoExecutor:
        return "no executor is available";
    case RefusalReason::RetryBudget:
        return "the executors refused the request and the retry budget is spent";
    case RefusalReason::Cancelled:
        return "the request was cancelled";
    }
    return "refused";
}

auto toMetric(RefusalReason reason) -> std::optional<MetricRefusal>
{
    switch (reason) {
    case RefusalReason::UnknownWorkspace:
    case RefusalReason::UnknownKind:
        return MetricRefusal::BadInput;
    case RefusalReason::CallerLimit:
        return MetricRefusal::CallerLimit;
    case RefusalReason::QueueFull:
        return MetricRefusal::QueueFull;
    case RefusalReason::ExpectedWait:
    case RefusalReason::DeadlinePassed:
        return MetricRefusal::Deadline;
    case RefusalReason::NoExecutor:
        return MetricRefusal::NoExecutor;
    case RefusalReason::RetryBudget:
        return MetricRefusal::RetryBudget;
    case RefusalReason::Cancelled:
        break;
    }
    return std::nullopt;
}

}

auto notRun(int status, std::string reason, Millis retryAfter) -> RequestReply
{
    return {.verdict = RequestVerdict::NotRun, .status = status, .reason = std::move(reason), .retryAfter = retryAfter};
}

auto unknownOutcome(std::string reason) -> RequestReply
{
    return {.verdict = RequestVerdict::OutcomeUnknown, .status = statusUnknown, .reason = std::move(reason)};
}

auto fromRefusal(const RequestRefusal &refusal, bool mayHaveRun) -> RequestReply
{
    if (mayHaveRun) {
        return unknownOutcome(refusalText(refusal.reason));
    }
    const auto limited = refusal.reason == RefusalReason::CallerLimit || refusal.reason == RefusalReason::QueueFull;
    const auto invalid = refusal.reason == RefusalReason::UnknownKind || refusal.reason == RefusalReason::UnknownWorkspace;
    const auto status = invalid ? statusBadRequest : limited ? statusTooMany : statusUnavailable;
    auto reply = notRun(status, refusalText(refusal.reason), refusal.retryAfter);
    reply.refusal = toMetric(refusal.reason);
    return reply;
}

auto fromClaim(const Claim &claim) -> RequestReply
{
    switch (claim.kind) {
    case ClaimKind::NotStarted: {
        auto reply = notRun(statusUnavailable, claim.reason, Millis{1000});
        reply.refusal = MetricRefusal::LogUnavailable;
        return reply;
    }
    case ClaimKind::Settled:
        if (claim.outcome.verdict == RequestVerdict::Answer) {
            return {.verdict = RequestVerdict::Answer, .status = statusOk, .request = claim.outcome.request, .answer = claim.outcome.answer};
        }
        return unknownOutcome(claim.outcome.reason);
    case ClaimKind::Won:
    case ClaimKind::Undecided:
        break;
    }
    return unknownOutcome(claim.reason);
}

}

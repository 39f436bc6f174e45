#pragma once

/// Replies to requests that no executor has answered, with their HTTP status and the reason for metrics.
///
/// @code
///   return Catkin::notRun(Catkin::statusBadRequest, "deadline_ms must be positive");
///   return Catkin::fromRefusal(*queued.refusal, false);
/// @endcode

#include "daemon/requestservice.h"

#include <string>

namespace Catkin
{

constexpr auto statusOk = 200;
constexpr auto statusBadRequest = 400;
constexpr auto statusForbidden = 403;
constexpr auto statusTooLarge = 413;
constexpr auto statusTooMany = 429;
constexpr auto statusUnavailable = 503;
constexpr auto statusUnknown = 504;

/// @param retryAfter when a retry makes sense; zero when it will not help
auto notRun(int status, std::string reason, Millis retryAfter = Millis{0}) -> RequestReply;

auto unknownOutcome(std::string reason) -> RequestReply;

/// @param mayHaveRun whether an earlier attempt may have run, so that "not run" would be wrong
auto fromRefusal(const RequestRefusal &refusal, bool mayHaveRun) -> RequestReply;

/// @param claim a claim that was not won
auto fromClaim(const Claim &claim) -> RequestReply;

}

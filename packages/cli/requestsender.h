#pragma once

/// Sends one request with honest retries.
///
/// @code
///   auto result = sendRequest({.workspace = "call-centre", .kind = "route", .payload = text}, client);
///   return static_cast<int>(result.code);
/// @endcode
///
/// A refused connection proves that nothing was sent: the next address gets the same attempt number. After anything else
/// the attempt number goes up, because the key may have been seen. The key and first_sent_ms never change. When an attempt
/// may have run and no later one brings the answer, the outcome is unknown, even if the last reply says "not run".

#include "cli/client.h"

#include <string>

namespace Catkin::Cli
{

struct RequestOptions
{
    std::string workspace;
    std::string caller;
    std::string kind;
    std::string key; ///< empty: a new one
    bool ticket = false; ///< ask an instance for the key, which works without the platform log
    int firstAttempt = 1; ///< above 1 when this key has been sent before
    int maxAttempts = 3;
    std::int64_t firstSentMs = 0; ///< 0: now
    Millis deadline{5000};
    std::string payload;
};

struct RequestOutcome
{
    ExitCode code = ExitCode::Failed;
    std::string key;
    std::int64_t firstSentMs = 0;
    int attempts = 0; ///< number of the last attempt
    std::string reason; ///< for people
    std::string reply; ///< the body of the last reply
};

auto sendRequest(RequestOptions options, const Client &client) -> RequestOutcome;

}

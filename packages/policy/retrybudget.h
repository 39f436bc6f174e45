#pragma once

/// Bounds the number of retries to a fraction of the number of first attempts.
///
/// @code
///   budget.firstAttempt();
///   if (budget.tryTake()) { at = now + Catkin::retryDelay(options, attempt, random); }
/// @endcode

#include "policy/requesttypes.h"
#include "util/random.h"

namespace Catkin
{

/// Token bucket that starts full: each first attempt adds RetryOptions::ratio tokens, up to RetryOptions::burst, and each
/// retry takes one.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryOptions &options);
    auto firstAttempt() -> void;
    /// Takes a token for a retry if there is one.
    /// @return whether the retry is allowed.
    auto tryTake() -> bool;
    /// @return the tokens left as a fraction of the burst, 0 … 1.
    [[nodiscard]] auto level() const -> double;

private:
    double m_ratio;
    double m_burst;
    double m_tokens;
};

/// @param attempt number of the attempt that failed, from 1
/// @return a random delay between 1 ms and the exponential backoff, evenly distributed (full jitter).
auto retryDelay(const RetryOptions &options, int attempt, Random &random) -> Millis;

}

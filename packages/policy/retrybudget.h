#pragma once

/// Bounds retries to a part of first attempts.
///
/// @code
///   budget.firstAttempt();
///   if (budget.tryTake()) { at = now + Catkin::retryDelay(options, attempt, random); }
/// @endcode

#include "policy/requesttypes.h"
#include "util/random.h"

namespace Catkin
{

/// Each first attempt earns RetryOptions::share of a retry, up to RetryOptions::burst.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryOptions &options);
    auto firstAttempt() -> void;
    /// @return whether a retry is allowed; it is then paid.
    auto tryTake() -> bool;
    /// @return part of the burst that is left, 0 … 1.
    [[nodiscard]] auto level() const -> double;

private:
    double m_ratio;
    double m_burst;
    double m_tokens;
};

/// @param attempt number of the attempt that failed, from 1
/// @return an evenly distributed part of the exponential backoff, at least 1 ms (full jitter).
auto retryDelay(const RetryOptions &options, int attempt, Random &random) -> Millis;

}

#include "policy/retrybudget.h"

#include <algorithm>

namespace Catkin
{

RetryBudget::RetryBudget(const RetryOptions &options)
    : m_ratio(options.ratio)
    , m_burst(options.burst)
    , m_tokens(options.burst)
{
}

auto RetryBudget::firstAttempt() -> void
{
    m_tokens = std::min(m_burst, m_tokens + m_ratio);
}

auto RetryBudget::tryTake() -> bool
{
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

auto RetryBudget::level() const -> double
{
    return m_burst > 0 ? m_tokens / m_burst : 0;
}

auto retryDelay(const RetryOptions &options, int attempt, Random &random) -> Millis
{
    const auto doublings = std::clamp(attempt - 1, 0, 20);
    const auto bound = std::clamp<std::int64_t>(options.initialBackoff.count() << doublings, 1, std::max<std::int64_t>(1, options.maxBackoff.count()));
    return Millis{1 + uniform(random, static_cast<std::uint32_t>(bound))};
}

}

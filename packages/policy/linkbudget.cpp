#include "policy/linkbudget.h"

#include <algorithm>
#include <cmath>

namespace Catkin
{

auto linkClassName(LinkTrafficClass linkClass) -> const char *
{
    constexpr auto names = std::array{"control", "requests", "log"};
    return names.at(static_cast<std::size_t>(linkClass));
}

auto LinkBudget::configure(LinkTrafficClass linkClass, const LinkBudgetOptions &options) -> void
{
    auto &bucket = m_buckets.at(static_cast<std::size_t>(linkClass));
    bucket.rate = static_cast<double>(std::max<std::int64_t>(0, options.bytesPerSecond)) / 1e6;
    bucket.burst = static_cast<double>(std::max<std::int64_t>(0, options.burst));
    bucket.tokens = bucket.limited ? std::min(bucket.tokens, bucket.burst) : bucket.burst;
    bucket.limited = true;
}

auto LinkBudget::refill(LinkTrafficClass linkClass, MonoTime now) -> Bucket &
{
    auto &bucket = m_buckets.at(static_cast<std::size_t>(linkClass));
    if (now > bucket.filled) {
        bucket.tokens = std::min(bucket.burst, bucket.tokens + bucket.rate * static_cast<double>((now - bucket.filled).count()));
        bucket.filled = now;
    }
    return bucket;
}

auto LinkBudget::tryTake(LinkTrafficClass linkClass, Bytes bytes, MonoTime now) -> bool
{
    auto &bucket = refill(linkClass, now);
    if (bucket.limited && bucket.tokens < static_cast<double>(bytes.value)) {
        return false;
    }
    charge(linkClass, bytes, now);
    return true;
}

auto LinkBudget::charge(LinkTrafficClass linkClass, Bytes bytes, MonoTime now) -> void
{
    auto &bucket = refill(linkClass, now);
    bucket.tokens -= static_cast<double>(bytes.value);
    bucket.counted += bytes;
}

auto LinkBudget::allowedAt(LinkTrafficClass linkClass, Bytes bytes, MonoTime now) -> std::optional<MonoTime>
{
    const auto &bucket = refill(linkClass, now);
    const auto missing = static_cast<double>(bytes.value) - bucket.tokens;
    if (!bucket.limited || missing <= 0) {
        return now;
    }
    if (static_cast<double>(bytes.value) > bucket.burst || bucket.rate <= 0) {
        return {};
    }
    return now + Micros{static_cast<std::int64_t>(std::ceil(missing / bucket.rate))};
}

auto LinkBudget::counted(LinkTrafficClass linkClass) const -> Bytes
{
    return m_buckets.at(static_cast<std::size_t>(linkClass)).counted;
}

}

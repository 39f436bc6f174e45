#pragma once

/// Byte budget of the link between regions: one token bucket and one counter per class of traffic.
///
/// @code
///   if (budget.tryTake(Catkin::LinkTrafficClass::Requests, bytes, now)) { ... }   // send
///   budget.charge(Catkin::LinkTrafficClass::Control, bytes, now);              // sent in any case; only counted
/// @endcode

#include "policy/requesttypes.h"

#include <array>
#include <optional>

namespace Catkin
{

enum class LinkTrafficClass { Control, Requests, Log };
constexpr auto linkClassCount = std::size_t{3};

/// @return the lower-case name of @p linkClass, used in metrics.
auto linkClassName(LinkTrafficClass linkClass) -> const char *;

/// One instance's part of the link; not thread-safe.
class LinkBudget
{
public:
    /// Sets the bucket of a class, which starts full. A class without a bucket is only counted.
    auto configure(LinkTrafficClass linkClass, const LinkBudgetOptions &options) -> void;
    /// @return whether the bytes may be sent; they are then paid and counted. More than the burst is never allowed.
    auto tryTake(LinkTrafficClass linkClass, Bytes bytes, MonoTime now) -> bool;
    /// Pays and counts bytes that are sent in any case; the bucket may become negative.
    auto charge(LinkTrafficClass linkClass, Bytes bytes, MonoTime now) -> void;
    /// @return when tryTake() will allow the bytes, or nothing when it never will.
    auto allowedAt(LinkTrafficClass linkClass, Bytes bytes, MonoTime now) -> std::optional<MonoTime>;
    /// @return bytes paid so far.
    [[nodiscard]] auto counted(LinkTrafficClass linkClass) const -> Bytes;

private:
    struct Bucket
    {
        double rate = 0; ///< bytes per microsecond
        double burst = 0;
        double tokens = 0;
        bool limited = false;
        MonoTime filled;
        Bytes counted;
    };
    auto refill(LinkTrafficClass linkClass, MonoTime now) -> Bucket &;

    std::array<Bucket, linkClassCount> m_buckets;
};

}

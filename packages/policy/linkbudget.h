#pragma once

/// Byte budget of the link between regions: a token bucket and a counter for each class of traffic.
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

/// Byte budget of one instance; not thread-safe.
class LinkBudget
{
public:
    /// Sets the rate and burst of a class, whose bucket starts full. A class that is not configured is counted but not limited.
    auto configure(LinkTrafficClass linkClass, const LinkBudgetOptions &options) -> void;
    /// Charges and counts the bytes if the bucket holds enough tokens. More bytes than the burst are never allowed.
    /// @return whether the bytes may be sent.
    auto tryTake(LinkTrafficClass linkClass, Bytes bytes, MonoTime now) -> bool;
    /// Charges and counts bytes that are sent in any case; the bucket may become negative.
    auto charge(LinkTrafficClass linkClass, Bytes bytes, MonoTime now) -> void;
    /// @return the earliest time at which tryTake() will allow the bytes, or nothing when it never will.
    auto allowedAt(LinkTrafficClass linkClass, Bytes bytes, MonoTime now) -> std::optional<MonoTime>;
    /// @return bytes charged since the start.
    [[nodiscard]] auto counted(LinkTrafficClass linkClass) const -> Bytes;

private:
    struct Bucket
    {
        double rate = 0; ///< bytes per microsecond
        double burst = 0;
        double tokens = 0;
        bool limited = false;
        MonoTime filled; ///< time of the last refill
        Bytes counted;
    };
    auto refill(LinkTrafficClass linkClass, MonoTime now) -> Bucket &;

    std::array<Bucket, linkClassCount> m_buckets;
};

}

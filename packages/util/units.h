#pragma once

/// Strong unit types: times are std::chrono types, counts are wrapped integers.
///
/// @code
///   auto deadline = clock.now() + Catkin::Millis{250};
///   auto version = Catkin::ConfigVersion{4};
///   ++version;
/// @endcode

#include <chrono>
#include <compare>
#include <cstdint>

namespace Catkin
{

using Millis = std::chrono::milliseconds;
using Micros = std::chrono::microseconds;
using Seconds = std::chrono::seconds;

/// Monotonic time in microseconds since an arbitrary start; not comparable between instances.
using MonoTime = std::chrono::time_point<std::chrono::steady_clock, Micros>;
/// Wall-clock time in milliseconds since the Unix epoch.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Millis>;

/// An integer quantity. Quantities with different @p Tag are different types.
template<typename Tag>
struct Quantity
{
    std::int64_t value = 0;

    auto operator<=>(const Quantity &other) const = default;

    auto operator++() -> Quantity &
    {
        ++value;
        return *this;
    }
    auto operator+=(Quantity other) -> Quantity &
    {
        value += other.value;
        return *this;
    }
    auto operator-=(Quantity other) -> Quantity &
    {
        value -= other.value;
        return *this;
    }
    friend auto operator+(Quantity a, Quantity b) -> Quantity
    {
        return {a.value + b.value};
    }
    friend auto operator-(Quantity a, Quantity b) -> Quantity
    {
        return {a.value - b.value};
    }
};

using LogOffset = Quantity<struct LogOffsetTag>;
using ConfigVersion = Quantity<struct ConfigVersionTag>;
using Incarnation = Quantity<struct IncarnationTag>;
using Bytes = Quantity<struct BytesTag>;
/// Number of worker slots.
using SlotCount = Quantity<struct SlotCountTag>;

}

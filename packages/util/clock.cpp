#include "util/clock.h"

#include <ctime>

namespace Catkin
{

namespace
{
/// Realistic start times, so that tests do not run with times near zero.
constexpr auto manualEpoch = WallTime{Millis{1'700'000'000'000}};
constexpr auto manualStart = MonoTime{Seconds{1000}};
}

auto systemClock() -> Clock
{
    return {
        .mono = [] { return std::chrono::time_point_cast<Micros>(std::chrono::steady_clock::now()); },
        .wall = [] { return std::chrono::time_point_cast<Millis>(std::chrono::system_clock::now()); },
    };
}

auto bootClock() -> Clock
{
    auto clock = systemClock();
    clock.mono = [] {
        auto now = timespec{};
        clock_gettime(CLOCK_BOOTTIME, &now);
        return MonoTime{Seconds{now.tv_sec} + std::chrono::duration_cast<Micros>(std::chrono::nanoseconds{now.tv_nsec})};
    };
    return clock;
}

ManualClock::ManualClock()
    : m_mono(manualStart)
{
}

auto ManualClock::clock() const -> Clock
{
    return {
        .mono = [this] { return m_mono; },
        .wall = [this] { return manualEpoch + std::chrono::duration_cast<Millis>(m_mono - manualStart); },
    };
}

auto ManualClock::advance(Micros step) -> void
{
    m_mono += step;
}

auto ManualClock::now() const -> MonoTime
{
    return m_mono;
}

}

#pragma once

/// The source of time, passed to the code that needs it.
///
/// Daemon code takes a `const Clock &`; tests use a ManualClock and advance it:
/// @code
///   auto clock = Catkin::ManualClock{};
///   clock.advance(Catkin::Millis{500});
/// @endcode

#include "util/units.h"

#include <functional>
#include <memory>

namespace Catkin
{

/// A monotonic clock and a wall clock.
struct Clock
{
    std::function<MonoTime()> mono; ///< monotonic time, comparable in this process only
    std::function<WallTime()> wall; ///< wall-clock time
};

/// @return a clock that reads the operating system's clocks.
auto systemClock() -> Clock;

/// @return a clock like systemClock() whose monotonic time also advances while the machine is suspended, because leases on other
/// machines expire meanwhile.
auto bootClock() -> Clock;

/// A clock that moves only when advance() is called. Not thread-safe.
class ManualClock
{
public:
    ManualClock();
    /// @return a Clock that reads this object; the object must outlive it.
    [[nodiscard]] auto clock() const -> Clock;
    /// Moves the monotonic and the wall-clock time forward by @p step.
    auto advance(Micros step) -> void;
    /// @return the monotonic time.
    [[nodiscard]] auto now() const -> MonoTime;

private:
    MonoTime m_mono;
};

}

#pragma once

/// The injected source of time.
///
/// Daemon code takes a `const Clock &`; tests use ManualClock and move it by hand:
/// @code
///   auto clock = Catkin::ManualClock{};
///   clock.advance(Catkin::Millis{500});
/// @endcode

#include "util/units.h"

#include <functional>
#include <memory>

namespace Catkin
{

/// Two readings of time as plain functions.
struct Clock
{
    std::function<MonoTime()> mono; ///< monotonic time of this process
    std::function<WallTime()> wall; ///< wall-clock time
};

/// @return a clock that reads the operating system's clocks.
auto systemClock() -> Clock;

/// @return as systemClock(), but the monotonic time also counts while the machine is suspended: leases of others go on meanwhile.
auto bootClock() -> Clock;

/// A clock that moves only when told to; not thread-safe.
class ManualClock
{
public:
    ManualClock();
    /// @return a Clock that reads this object, which must outlive it.
    [[nodiscard]] auto clock() const -> Clock;
    /// Moves both readings forward by @p step.
    auto advance(Micros step) -> void;
    /// @return the current monotonic reading.
    [[nodiscard]] auto now() const -> MonoTime;

private:
    MonoTime m_mono;
};

}

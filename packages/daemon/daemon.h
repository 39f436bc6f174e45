#pragma once

/// The entry daemon: every service of one instance, put together.
///
/// @code
///   auto daemon = Catkin::Daemon{settings, Catkin::systemClock()};
///   auto ports = daemon.start();
///   daemon.waitForDrain(...);
///   auto lost = daemon.drain();       // requests and log records that did not end in time
/// @endcode

#include "daemon/settings.h"
#include "util/clock.h"
#include "util/outcome.h"

#include <memory>

namespace Catkin
{

/// The ports that the daemon listens on.
struct DaemonPorts
{
    int callers = 0;
    int operators = 0;
    int peers = 0;
};

class Daemon
{
public:
    Daemon(const Settings &settings, const Clock &clock);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    auto operator=(const Daemon &) -> Daemon & = delete;

    /// Opens the listeners.
    /// @return the actual ports; ErrorCode::InvalidInput or Unavailable when a listener cannot be opened.
    auto start() -> Result<DaemonPorts>;

    /// @return whether an operator has asked for a drain.
    [[nodiscard]] auto drainRequested() const -> bool;

    /// Stops gracefully: not ready, then no new connections, then the end of what is in progress.
    /// @return the number of requests that had not ended within the drain time and of log records that could not be appended.
    auto drain() -> std::size_t;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}

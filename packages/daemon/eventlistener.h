#pragma once

/// A listener for plain HTTP/1.1: one thread reads and writes all connections, and a bounded pool of threads runs the handlers of complete requests.
///
/// @code
///   auto listener = Catkin::EventListener{options, routes};
///   auto port = listener.start("127.0.0.1", 0);
///   listener.stop();
/// @endcode
///
/// A connection that waits, sends slowly or takes its answers slowly costs a descriptor and what it has sent, no thread. docs/design/misbehaving-callers.md
/// describes the limits.

#include "daemon/httplistener.h"
#include "daemon/listenerroutes.h"

#include <cstdint>
#include <memory>
#include <string>

namespace Catkin
{

class EventListener
{
public:
    /// @param options must outlive the listener
    /// @param routes must outlive the listener, and are not changed after start()
    EventListener(const HttpListenerOptions &options, const ListenerRoutes &routes);
    ~EventListener();
    EventListener(const EventListener &) = delete;
    auto operator=(const EventListener &) -> EventListener & = delete;

    /// @return the port; ErrorCode::Unavailable when it cannot be bound.
    auto start(const std::string &host, int port) -> Result<int>;
    auto closeAfterResponse() -> void;
    /// Accepts no more connections; returns when every request that has arrived is answered and every connection closed.
    auto stop() -> void;
    [[nodiscard]] auto overflowed() const -> std::uint64_t;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}

#pragma once

/// TCP relay between two processes of a test, for network partitions, dead connections and latency.
///
/// @code
///   auto relay = Catkin::Relay{executor.port()};
///   use(relay.address());
///   relay.setMode(Catkin::RelayMode::Silent);   // nothing passes any more, nothing is closed
/// @endcode

#include "util/units.h"

#include <cstdint>
#include <memory>
#include <string>

namespace Catkin
{

enum class RelayMode {
    Pass, ///< data passes both ways
    Cut, ///< every connection is closed, and new ones are refused
    Silent, ///< connections stay open and new ones are accepted, but no data passes; data sent meanwhile arrives after the return to Pass
};

class Relay
{
public:
    /// Listens on a free port of 127.0.0.1.
    /// @param targetPort port on 127.0.0.1 to which connections go
    /// @param delay added to all data, one way
    explicit Relay(int targetPort, Millis delay = Millis{0});
    ~Relay();
    Relay(const Relay &) = delete;
    auto operator=(const Relay &) -> Relay & = delete;

    /// @return the port on which the relay listens, which stays the same through a cut; 0 when it could not be opened.
    [[nodiscard]] auto port() const -> int;
    [[nodiscard]] auto address() const -> std::string;

    /// Returns when the mode is in force.
    auto setMode(RelayMode mode) -> void;

    /// Sends later connections to another port, as when the process behind the relay is replaced; 0 refuses them.
    auto setTarget(int targetPort) -> void;

    /// Makes the connections that are open now carry no more data, for good; new ones work.
    auto freezeOpenConnections() -> void;

    /// @return number of bytes passed on to the target and back.
    [[nodiscard]] auto bytesPassed() const -> std::int64_t;

private:
    class Loop;
    std::unique_ptr<Loop> m_loop;
};

}

#pragma once

/// What the contract tests of the adapters share: a stand-in with faults, and a peer that answers with given bytes.

#include "harness/childprocess.h"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace Catkin
{

/// Time after which an adapter gives up in these tests.
constexpr auto shortTimeout = Millis{250};
/// Time for exchanges that must succeed on a busy machine.
constexpr auto longTimeout = Millis{20000};

/// One line of a table of faults.
struct FaultCase
{
    std::string name;
    std::string control; ///< body of POST /control
    std::optional<ErrorCode> expected; ///< nothing for success
    int effects = 0; ///< how often the operation took effect
};

/// Starts a stand-in; fails the test when that is not possible.
auto requireStandin(const std::string &name, const std::vector<std::string> &arguments = {}) -> std::unique_ptr<ChildProcess>;

/// Replaces the faults of a stand-in.
/// @param json faults as a JSON object
auto setFaults(const ChildProcess &standin, const std::string &json) -> void;

/// @return number of events of a kind in the stand-in's history.
auto countEvents(const ChildProcess &standin, const std::string &event) -> int;

/// Checks how often an operation took effect; the stand-in may still work on it after the adapter has given up.
auto checkEffects(const std::function<int()> &count, int expected) -> void;

/// @return the address of a port on which nothing listens.
auto deadAddress() -> std::string;

/// Checks the outcome of an operation against a line of a table.
template<typename T>
auto checkOutcome(const Result<T> &result, const std::optional<ErrorCode> &expected) -> void
{
    INFO((result ? std::string("success") : std::string(errorName(result.error().code)) + ": " + result.error().message));
    CHECK(result.has_value() == !expected.has_value());
    if (!result && expected) {
        CHECK(std::string(errorName(result.error().code)) == errorName(*expected));
    }
}

/// Peer that reads one request on each connection and answers with given bytes.
class RawPeer
{
public:
    /// @param answer sent on each connection
    /// @param pause pause after each byte
    explicit RawPeer(std::string answer, Millis pause = Millis{0});
    ~RawPeer();
    RawPeer(const RawPeer &) = delete;
    auto operator=(const RawPeer &) -> RawPeer & = delete;

    [[nodiscard]] auto address() const -> std::string;

private:
    auto run() const -> void;

    std::string m_answer;
    Millis m_pause;
    int m_listener;
    std::thread m_thread;
};

}

#pragma once

/// An Environment with its own variables, streams and clock; sleeping moves the clock.
///
/// @code
///   auto test = TestEnvironment{};
///   CHECK(test.run({"jobs", "-a", server.address()}) == 0);
///   CHECK(test.out.str() == "(none)\n");
/// @endcode

#include "cli/commands.h"

#include <map>
#include <sstream>

namespace Catkin::Cli
{

struct TestEnvironment
{
    std::map<std::string, std::string> variables;
    std::istringstream in;
    std::ostringstream out;
    std::ostringstream err;
    ManualClock clock;
    int keys = 0;

    auto run(const Arguments &args) -> int
    {
        out.str("");
        err.str("");
        auto env = Environment{
            .variable =
                [this](const std::string &name) {
                    const auto it = variables.find(name);
                    return it == variables.end() ? std::nullopt : std::optional<std::string>(it->second);
                },
            .exchange = httpExchange,
            .sleep = [this](Millis time) { clock.advance(time); },
            .newKey = [this] { return "key-" + std::to_string(++keys); },
            .clock = clock.clock(),
            .random = Random(1),
            .in = &in,
            .out = &out,
            .err = &err,
        };
        return static_cast<int>(Cli::run(args, env));
    }
};

/// Nothing listens on this address: port 1 is reserved, and tests do not run as a service there.
constexpr auto closedAddress = "127.0.0.1:1";

}

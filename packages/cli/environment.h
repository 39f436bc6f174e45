#pragma once

/// What catkinctl takes from its surroundings; tests inject their own.
///
/// @code
///   auto env = Catkin::Cli::systemEnvironment();
///   return static_cast<int>(Catkin::Cli::run({"jobs", "--json"}, env));
/// @endcode

#include "ports/httpclient.h"
#include "util/clock.h"
#include "util/outcome.h"
#include "util/random.h"
#include "util/units.h"

#include <functional>
#include <istream>
#include <optional>
#include <ostream>
#include <string>

namespace Catkin::Cli
{

/// Exit codes of catkinctl, documented in docs/cli.md; scripts depend on the numbers.
enum class ExitCode {
    Ok = 0,
    Failed = 1, ///< the command was carried out, and its result is a failure
    Usage = 2, ///< wrong arguments; nothing was sent
    NotRun = 3, ///< the work did not run and will not run later
    OutcomeUnknown = 4, ///< the work may or may not have run
    Unreachable = 5, ///< no address accepted a connection; nothing was sent
    Rejected = 6, ///< the configuration document has errors
};

struct Environment
{
    std::function<std::optional<std::string>(const std::string &)> variable; ///< reads an environment variable
    std::function<Result<HttpReply>(const HttpCall &)> exchange;
    std::function<void(Millis)> sleep;
    std::function<std::string()> newKey; ///< a fresh random idempotency key or token
    Clock clock;
    Random random;
    std::istream *in = nullptr;
    std::ostream *out = nullptr;
    std::ostream *err = nullptr;
};

/// @return the operating system's environment, streams, clock and network.
auto systemEnvironment() -> Environment;

}

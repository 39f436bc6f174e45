#pragma once

/// The subcommands of catkinctl.
///
/// @code
///   auto code = Catkin::Cli::run({"wait", "job-1", "--json"}, env);
/// @endcode

#include "cli/environment.h"

#include <span>
#include <string>
#include <vector>

namespace Catkin::Cli
{

using Arguments = std::vector<std::string>;

struct Command
{
    const char *name;
    const char *summary;
    ExitCode (*run)(const Arguments &args, Environment &env);
    bool changes = false; ///< whether it has an effect beyond its output
};

/// Runs one command line.
/// @param args the arguments without the program's name
auto run(const Arguments &args, Environment &env) -> ExitCode;

/// @name Subcommands by source file
/// @{
auto requestCommands() -> std::span<const Command>; ///< request
auto jobCommands() -> std::span<const Command>; ///< submit, status, wait, cancel, jobs
auto configCommands() -> std::span<const Command>; ///< validate, apply, config, workspaces, guarantees, kinds, services
auto fleetCommands() -> std::span<const Command>; ///< instances, workers, executors, leases, queues, drain
auto reportCommands() -> std::span<const Command>; ///< slo, token-hash
/// @}

}

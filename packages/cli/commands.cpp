#include "cli/commands.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Catkin::Cli
{

namespace
{

auto allCommands() -> std::vector<Command>
{
    auto commands = std::vector<Command>{};
    for (const auto &group : {requestCommands(), jobCommands(), configCommands(), fleetCommands(), reportCommands()}) {
        commands.insert(commands.end(), group.begin(), group.end());
    }
    return commands;
}

auto printHelp(std::ostream &out) -> void
{
    constexpr auto width = std::size_t{12};
    out << "usage: catkinctl SUBCOMMAND [options]\n\n";
    for (const auto &command : allCommands()) {
        auto name = std::string(command.name);
        name.resize(std::max(width, name.size() + 1), ' ');
        out << "  " << name << command.summary << '\n';
    }
    out << "\n'catkinctl SUBCOMMAND --help' lists the options of a subcommand.\n"
           "exit codes: 0 ok, 1 failed, 2 usage, 3 not run, 4 outcome unknown, 5 unreachable, 6 rejected document\n";
}

}

auto run(const Arguments &args, Environment &env) -> ExitCode
{
    if (args.empty()) {
        printHelp(*env.err);
        return ExitCode::Usage;
    }
    if (args.front() == "--help" || args.front() == "-h" || args.front() == "help") {
        printHelp(*env.out);
        return ExitCode::Ok;
    }
    const auto commands = allCommands();
    const auto it = std::find_if(commands.begin(), commands.end(), [&](const Command &command) { return command.name == args.front(); });
    if (it == commands.end()) {
        *env.err << "catkinctl: '" << args.front() << "' is not a subcommand\n";
        printHelp(*env.err);
        return ExitCode::Usage;
    }
    try {
        return it->run(Arguments(args.begin() + 1, args.end()), env);
    } catch (const nlohmann::json::exception &e) {
        *env.err << "catkinctl: the reply has an unexpected form: " << e.what() << '\n';
        return it->changes ? ExitCode::OutcomeUnknown : ExitCode::Failed;
    }
}

}

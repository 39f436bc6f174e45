#include "cli/commands.h"

#include <exception>
#include <iostream>

auto main(int argc, char **argv) -> int
{
    try {
        auto env = Catkin::Cli::systemEnvironment();
        return static_cast<int>(Catkin::Cli::run({argv + 1, argv + argc}, env));
    } catch (const std::exception &e) {
        std::cerr << "catkinctl: internal error: " << e.what() << '\n';
        return static_cast<int>(Catkin::Cli::ExitCode::OutcomeUnknown);
    }
}

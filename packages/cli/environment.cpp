#include "cli/environment.h"

#include "util/digest.h"

#include <cstdlib>
#include <iostream>
#include <thread>

namespace Catkin::Cli
{

namespace
{

constexpr auto keyBytes = std::size_t{16};

auto readVariable(const std::string &name) -> std::optional<std::string>
{
    const auto *const value = std::getenv(name.c_str()); // NOLINT(concurrency-mt-unsafe): the program has one thread
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

}

auto systemEnvironment() -> Environment
{
    const auto clock = systemClock();
    return {
        .variable = readVariable,
        .exchange = httpExchange,
        .sleep = [](Millis time) { std::this_thread::sleep_for(time); },
        .newKey = [] { return randomHex(keyBytes); },
        .clock = clock,
        .random = Random(static_cast<std::uint64_t>(clock.mono().time_since_epoch().count())),
        .in = &std::cin,
        .out = &std::cout,
        .err = &std::cerr,
    };
}

}

// The entry daemon's command line; docs/operators describes its use.

#include "daemon/daemon.h"
#include "daemon/settings.h"
#include "platform/poolmain.h"
#include "util/clock.h"
#include "util/logging.h"

#include <tclap/CmdLine.h>

#include <malloc.h>

#include <csignal>
#include <cstdio>
#include <ctime>
#include <iostream>

using namespace Catkin;

namespace
{

constexpr auto exitOk = 0;
constexpr auto exitFailed = 1;
constexpr auto exitUsage = 2;

/// glibc gives threads up to eight arenas for each core; with a thread for each connection they would hold most of the
/// memory that the process is allowed.
auto limitArenas() -> void
{
    constexpr auto arenas = 4;
    mallopt(M_ARENA_MAX, arenas);
}

auto blockSignals() -> sigset_t
{
    auto signals = sigset_t{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    // Every thread inherits the mask, so only waitForStop() receives the signals.
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

auto waitForStop(const Daemon &daemon, const sigset_t &signals) -> void
{
    constexpr auto poll = timespec{.tv_sec = 0, .tv_nsec = 200'000'000};
    while (!daemon.drainRequested()) {
        if (sigtimedwait(&signals, nullptr, &poll) > 0) {
            return;
        }
    }
}

auto run(const Settings &settings) -> int
{
    const auto signals = blockSignals();
    auto daemon = Daemon{settings, systemClock()};
    const auto ports = daemon.start();
    if (!ports) {
        logEvent(LogLevel::Error, 1002, "cannot start: " + ports.error().message);
        return exitFailed;
    }
    logEvent(LogLevel::Info, 1001, "instance " + settings.instance.str() + " of failure domain " + settings.domain.str() + " is listening");
    std::printf("listening callers=%d operators=%d peers=%d\n", ports.value().callers, ports.value().operators, ports.value().peers);
    std::fflush(stdout);
    waitForStop(daemon, signals);
    return daemon.drain() == 0 ? exitOk : exitFailed;
}

}

auto main(int argc, char **argv) -> int
{
    auto path = std::string{};
    auto checkOnly = false;
    try {
        auto cmd = TCLAP::CmdLine("Entry daemon of catkinworks: serves requests and schedules gang jobs.", ' ', "0.1.0");
        auto settingsArg = TCLAP::ValueArg<std::string>("s", "settings", "settings file (TOML, see docs/settings.md)", false, "", "file", cmd);
        auto platformArg = TCLAP::SwitchArg("p", "platform", "schedule the platform's worker pool, with the settings that the platform gives", cmd);
        auto checkArg = TCLAP::SwitchArg("c", "check-settings", "check the settings file and exit", cmd);
        cmd.setExceptionHandling(false);
        cmd.parse(argc, argv);
        if (platformArg.getValue()) {
            limitArenas();
            return Platform::runOnPlatform();
        }
        if (!settingsArg.isSet()) {
            throw TCLAP::CmdLineParseException("one of --settings and --platform is needed");
        }
        path = settingsArg.getValue();
        checkOnly = checkArg.getValue();
    } catch (const TCLAP::ArgException &e) {
        std::cerr << "catkinworksd: " << e.error() << " " << e.argId() << "\n";
        return exitUsage;
    } catch (const TCLAP::ExitException &e) {
        return e.getExitStatus();
    }
    const auto read = loadSettings(path);
    for (const auto &it : read.errors) {
        std::cerr << formatSettingsError(it) << "\n";
    }
    if (!read.errors.empty()) {
        return exitUsage;
    }
    if (checkOnly) {
        std::cout << path << ": settings are valid\n";
        return exitOk;
    }
    limitArenas();
    initLogging(read.settings.logLevel);
    return run(read.settings);
}

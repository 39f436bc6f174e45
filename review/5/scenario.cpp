/// A large gang waits for room that work which lasts never gives back; smaller jobs would fit beside it.

#include "../standins/world.h"

#include <chrono>
#include <thread>

using namespace Review;

auto main(int argc, char **argv) -> int
{
    auto world = World{argc > 1 ? argv[1] : "."};
    for (auto i = 1; i <= 4; ++i) {
        world.addExecutor({.id = "i-" + std::to_string(i)});
    }
    world.setConfig({{"version", 1},
                     {"routes",
                      {{{"name", "batch"},
                        {"host", "h.example"},
                        {"path_prefix", "/q/"},
                        {"service", "svc"},
                        {"priority", 1},
                        {"max_attempts", 3},
                        {"timeout_ms", 3'000}}}},
                     {"services", {{{"name", "svc"}}}},
                     {"tenants", {{{"name", "one"}, {"api_keys", {"key-one"}}}, {{"name", "two"}, {"api_keys", {"key-two"}}}}}});
    world.startInstances(2);
    if (!world.waitReady()) {
        return notRunCode;
    }
    const auto lasting = makeJob("00000000000000a0", 4, 2, 0, {{"step", {{"long_running", true}, {"anti_affinity", 1}}}});
    if (!world.submit(lasting)) {
        return notRunCode;
    }
    std::this_thread::sleep_for(std::chrono::seconds{3});
    if (hasTrouble()) {
        world.submit(makeJob("00000000000000c0", 4, 8, 2'000, {{"key", "key-two"}, {"step", {{"gang", true}}}}));
    }
    std::this_thread::sleep_for(std::chrono::seconds{2});
    auto small = std::vector<Job>{};
    for (auto i = 0; i < 3; ++i) {
        small.push_back(makeJob("00000000000000b" + std::to_string(i), 2, 1, 1'000));
        if (!world.submit(small.back())) {
            return notRunCode;
        }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{finishMs});
    const auto idle = world.watchIdle(small, 20'000);
    for (const auto &it : small) {
        world.ask("GET", it);
    }
    return idle.longestMs >= idleMs ? brokenCode : heldCode;
}

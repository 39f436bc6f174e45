/// Jobs that can never be done wait in a queue beside sound ones: they need a label that no executor has.

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
                      {{{"name", "urgent"},
                        {"host", "h.example"},
                        {"path_prefix", "/q/"},
                        {"service", "svc"},
                        {"max_attempts", 3},
                        {"stretch", 1.5},
                        {"timeout_ms", 3'000}}}},
                     {"services", {{{"name", "svc"}}}},
                     {"tenants", {{{"name", "one"}, {"api_keys", {"key-one"}}}, {{"name", "two"}, {"api_keys", {"key-two"}}}}}});
    world.startInstances(2);
    if (!world.waitReady()) {
        return notRunCode;
    }
    // Four times 3 s in which a twentieth of the jobs can never be done, and ten sound jobs after them.
    constexpr auto bursts = 4;
    constexpr auto jobsInBurst = 60;
    constexpr auto poisonEvery = 20;
    constexpr auto pauseMs = 50;
    auto sound = std::vector<Job>{};
    auto number = std::int64_t{1'000'000'000'000'000};
    const auto submitSound = [&] {
        sound.push_back(makeJob(std::to_string(++number), 1, 1, 500));
        return world.submit(sound.back());
    };
    for (auto burst = 0; burst < bursts; ++burst) {
        for (auto i = 1; i <= jobsInBurst; ++i) {
            if (i % poisonEvery != 0) {
                if (!submitSound()) {
                    return notRunCode;
                }
            } else if (hasTrouble()) {
                world.submit(makeJob(std::to_string(++number), 1, 1, 500, {{"key", "key-two"}, {"step", {{"required_label", "b"}, {"anti_affinity", 1}}}}));
            }
            std::this_thread::sleep_for(std::chrono::milliseconds{pauseMs});
        }
        std::this_thread::sleep_for(std::chrono::seconds{2});
    }
    for (auto i = 0; i < 10; ++i) {
        if (!submitSound()) {
            return notRunCode;
        }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{finishMs});
    const auto idle = world.watchIdle(sound, 20'000);
    world.ask("GET", sound.back());
    return idle.longestMs >= idleMs ? brokenCode : heldCode;
}

/// One large job: 6 occurrences of 3 steps of 470 work units that make checkpoints. Without the disruption, the same work in 18 jobs.
/// Jobs of another tenant follow.

#include "../standins/world.h"

#include <chrono>
#include <thread>

using namespace Review;

namespace
{

constexpr auto occurrences = 6;
constexpr auto steps = 3;
constexpr auto width = 470;
constexpr auto lengthMs = 1'500;
constexpr auto intervalMs = 3'000;

/// @return the work of @p stepCount steps, each after the one before, @p times times.
auto largeJob(const std::string &id, int stepCount, int times) -> Job
{
    auto job = makeJob(id, width, 0, lengthMs, {{"step", {{"checkpointing", true}}}});
    auto body = json::parse(job.text);
    const auto first = body["steps"][0];
    for (auto i = 1; i < stepCount; ++i) {
        auto next = first;
        next["depends_on"] = {i - 1};
        body["steps"].push_back(next);
    }
    if (times > 1) {
        body["times"] = times;
        body["start_at_ms"] = unixMs();
        body["interval_ms"] = intervalMs;
    }
    job.text = body.dump();
    job.tasks = width * stepCount * times;
    return job;
}

}

auto main(int argc, char **argv) -> int
{
    auto world = World{argc > 1 ? argv[1] : "."};
    for (auto i = 1; i <= 4; ++i) {
        world.addExecutor({.id = "i-7f3a91c" + std::to_string(i)});
    }
    world.setConfig({{"version", 1},
                     {"routes",
                      {{{"name", "batch"},
                        {"host", "h.example"},
                        {"path_prefix", "/q/"},
                        {"service", "svc"},
                        {"priority", 2},
                        {"max_attempts", 4},
                        {"stretch", 3.0},
                        {"timeout_ms", 3'000}}}},
                     {"services", {{{"name", "svc"}}}},
                     {"tenants", {{{"name", "one"}, {"api_keys", {"key-one"}}}, {{"name", "two"}, {"api_keys", {"key-two"}}}}}});
    world.startInstances(2);
    if (!world.waitReady()) {
        return notRunCode;
    }
    auto large = std::vector<Job>{};
    if (hasTrouble()) {
        large.push_back(largeJob("00000000000000a0", steps, occurrences));
    } else {
        for (auto i = 0; i < occurrences * steps; ++i) {
            large.push_back(largeJob(std::to_string(1'000'000'000'000'000 + i), 1, 1));
        }
    }
    for (const auto &it : large) {
        if (!world.submit(it)) {
            return notRunCode;
        }
    }
    std::this_thread::sleep_for(std::chrono::seconds{40});
    auto done = 0;
    for (const auto &it : large) {
        done += world.doneTasks(it);
    }
    world.record.line("work units of the large work that are done: " + std::to_string(done) + " of " + std::to_string(occurrences * steps * width));
    auto small = std::vector<Job>{};
    for (auto i = 0; i < 5; ++i) {
        small.push_back(makeJob("00000000000000b" + std::to_string(i), 2, 1, 1'000, {{"key", "key-two"}}));
        if (!world.submit(small.back())) {
            return notRunCode;
        }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{finishMs});
    const auto idle = world.watchIdle(small, 20'000);
    for (auto &it : small) {
        world.ask("GET", it);
    }
    return idle.longestMs >= idleMs ? brokenCode : heldCode;
}

/// A route is replaced by another with the same path while a job of it runs, and then the leading instance is stopped and started again.

#include "../standins/world.h"

#include <chrono>
#include <csignal>
#include <thread>

using namespace Review;

auto main(int argc, char **argv) -> int
{
    auto world = World{argc > 1 ? argv[1] : "."};
    for (auto i = 1; i <= 4; ++i) {
        world.addExecutor({.id = "i-" + std::to_string(i)});
    }
    const auto route = [](const char *name, const char *prefix) {
        return json{
            {"name", name}, {"host", "h.example"}, {"path_prefix", prefix}, {"service", "svc"}, {"priority", 1}, {"max_attempts", 3}, {"timeout_ms", 3'000}};
    };
    auto config = json{{"version", 1},
                       {"routes", {route("batch", "/q/"), route("season", "/s/")}},
                       {"services", {{{"name", "svc"}}}},
                       {"tenants", {{{"name", "one"}, {"api_keys", {"key-one"}}}}}};
    world.setConfig(config);
    world.startInstances(3);
    if (!world.waitReady()) {
        return notRunCode;
    }
    // Its second step is due when the first is done.
    auto job = makeJob("00000000000000a0", 2, 1, 8'000, {{"prefix", "/s/"}});
    auto body = json::parse(job.text);
    auto second = body["steps"][0];
    second["depends_on"] = {0};
    body["steps"].push_back(second);
    job.text = body.dump();
    job.tasks = 4;
    if (!world.submit(job)) {
        return notRunCode;
    }
    std::this_thread::sleep_for(std::chrono::seconds{2});
    config["version"] = 3;
    config["routes"] = {route("batch", "/q/"), route("season-2", "/s/")};
    world.setConfig(config);
    std::this_thread::sleep_for(std::chrono::seconds{3});
    if (hasTrouble()) {
        auto *leader = world.leader();
        if (leader == nullptr) {
            return notRunCode;
        }
        world.killInstance(*leader, SIGTERM);
        world.restartInstance(*leader);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{finishMs + 3'000});
    const auto idle = world.watchIdle({job}, 20'000);
    world.ask("GET", job);
    world.record.line("work units done: " + std::to_string(world.doneTasks(job)) + " of 4");
    return idle.longestMs >= idleMs ? brokenCode : heldCode;
}

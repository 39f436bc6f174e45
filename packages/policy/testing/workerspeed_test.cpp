#include "policy/workerspeed.h"

#include "util/random.h"

#include <doctest/doctest.h>

#include <cmath>
#include <string>

using namespace Catkin;

namespace
{

/// Samples of the tasks of 30 workers, one a second on each.
struct Fleet
{
    WorkerSpeeds speeds;
    Random random{11};
    MonoTime now{Seconds{1'000}};
    int mostSlow = 0; ///< workers that were found slow without being slow
    int slowTasks = 3; ///< percentage of the tasks that take 7 times as long
    std::uint32_t offBy = 50; ///< percentage that estimates are off by

    static auto idOf(int worker) -> WorkerId
    {
        return WorkerId{"w" + std::to_string(worker)};
    }

    /// @param slow so many workers, the first ones, take 1.3 times as long
    auto run(int seconds, int slow) -> void
    {
        for (auto i = 0; i < seconds; ++i, now += Seconds{1}) {
            for (auto worker = 0; worker < 30; ++worker) {
                const auto length = (static_cast<int>(random(100)) < slowTasks ? 7.0 : 1.0) * (worker < slow ? 1.3 : 1.0);
                const auto estimate = (100.0 - offBy + random(2 * offBy + 1)) / 100.0;
                observeSpeed(speeds, idOf(worker), QueueId{worker % 2 == 0 ? "q" : "r"}, std::log(length / estimate), 1.0, now);
            }
            reviewSpeeds(speeds, now);
            auto wrong = 0;
            for (const auto &[id, it] : speeds.slow) {
                wrong += std::stoi(id.str().substr(1)) >= slow ? 1 : 0;
            }
            mostSlow = std::max(mostSlow, wrong);
        }
    }
};

}

// Load: 3% of the tasks take 7 times as long. Guards against workers that are avoided because of the tasks that they got.
TEST_CASE("slow tasks do not make a worker slow")
{
    auto fleet = Fleet{};
    fleet.run(600, 0);
    CHECK(fleet.mostSlow == 0);
    auto few = Fleet{.slowTasks = 0};
    few.run(20, 0);
    for (auto i = 0; i < 3; ++i) {
        observeSpeed(few.speeds, Fleet::idOf(1), QueueId{"r"}, std::log(7.0), 1.0, few.now);
    }
    few.now += Seconds{1};
    reviewSpeeds(few.speeds, few.now);
    CHECK(few.speeds.slow.empty());
}

// Load: a third of the workers takes 1.3 times as long.
TEST_CASE("slow workers are found, and are forgotten when they have become as fast as the others")
{
    auto fleet = Fleet{.slowTasks = 0, .offBy = 20};
    fleet.run(120, 10);
    CHECK(fleet.speeds.slow.size() >= 9);
    CHECK(fleet.mostSlow == 0);
    const auto speed = speedOf(fleet.speeds, Fleet::idOf(0), fleet.now);
    REQUIRE(speed);
    CHECK(speed->slowness == doctest::Approx(0.3).epsilon(0.3));
    fleet.run(300, 0);
    CHECK(fleet.speeds.slow.empty());
}

// Load: workers that come and go for as long as a planner is in office. Guards against memory that grows with their number.
TEST_CASE("workers and queues that are gone are dropped")
{
    auto fleet = Fleet{};
    fleet.run(30, 0);
    for (auto i = 0; i < 6'000; ++i) {
        observeSpeed(fleet.speeds, WorkerId{"gone" + std::to_string(i)}, QueueId{"q"}, 0.0, 1.0, fleet.now);
        observeSpeed(fleet.speeds, Fleet::idOf(1), QueueId{"queue" + std::to_string(i)}, 0.0, 1.0, fleet.now);
    }
    CHECK(fleet.speeds.workers.size() <= maxSpeedWorkers);
    CHECK(fleet.speeds.queues.size() <= maxSpeedQueues);
    fleet.now += Seconds{1'800};
    reviewSpeeds(fleet.speeds, fleet.now);
    CHECK(fleet.speeds.workers.empty());
    CHECK(fleet.speeds.queues.empty());
}

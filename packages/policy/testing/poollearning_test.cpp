#include "policy/poolcore.h"
#include "policy/poolplacement.h"

#include "policy/testing/idlefleet.h"
#include "util/random.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <set>
#include <string>

using namespace Catkin;
using namespace Catkin::Testing;

/// What is learned from lists of workers, and where it decides.

namespace
{

constexpr auto stepTime = Millis{100};
constexpr auto listPeriod = Millis{500};

/// Workers that run tasks of drawn lengths, slower beside tasks of another image.
struct ModelFleet
{
    struct Running
    {
        double length = 0.0; ///< in ms, alone on its worker
        double done = 0.0; ///< of the length
        MonoTime began;
        std::string image;
    };
    using Attempts = std::map<PoolCore::AttemptKey, Running>;

    ModelFleet(int workers, bool usesLearning)
        : fleet(workers, {.usesLearning = usesLearning})
    {
    }

    auto submit(const std::string &id, const std::string &queue, const std::string &image, PoolStep step) -> void
    {
        step.image = image;
        images[id] = image;
        fleet.core.addJob(makeJob(id, queue, step), fleet.now);
    }

    /// Submits one task that lasts.
    /// @return its worker.
    auto place(const std::string &id, const std::string &queue, const std::string &image, PoolStep lasting) -> std::string
    {
        lasting.estimate = Millis{600'000};
        const auto before = placed.size();
        submit(id, queue, image, lasting);
        step();
        REQUIRE(placed.size() == before + 1);
        return placed.back().substr(placed.back().rfind(' ') + 1);
    }

    /// 3% of the tasks take 7 times as long, and estimates are off by @c offBy percent.
    auto drawLength(const PoolStep &step) -> double
    {
        const auto slow = static_cast<int>(random(100)) < slowTasks ? 7.0 : 1.0;
        return slow * static_cast<double>(step.estimate.count()) * (100.0 - offBy + random(2 * offBy + 1)) / 100.0;
    }

    auto advance(const WorkerId &worker, Attempts &attempts) -> WorkerPollReply
    {
        auto reply
            = WorkerPollReply{.clock = WorkerTime{100'000 + std::chrono::duration_cast<Millis>(fleet.now - fleet.begin).count()}, .born = Incarnation{1}};
        auto kinds = std::set<std::string>{};
        for (const auto &[key, it] : attempts) {
            kinds.insert(it.image);
        }
        for (auto it = attempts.begin(); it != attempts.end();) {
            auto &task = it->second;
            const auto slowdown = (kinds.size() > 1 ? 1.0 + interference : 1.0) * (slowWorkers.contains(worker) ? 1.3 : 1.0);
            task.done += static_cast<double>(stepTime.count()) / (task.length * slowdown);
            if (task.done < 1.0) {
                reply.running.push_back({.task = it->first.first, .attempt = it->first.second, .percent = static_cast<int>(task.done * 100)});
                ++it;
                continue;
            }
            reply.completions.push_back({.number = ++numbers[worker], .task = it->first.first, .attempt = it->first.second, .kind = CompletionKind::Done});
            if (task.image == "A" && fleet.now >= countedFrom) {
                ++ended;
                const auto took = static_cast<double>(std::chrono::duration_cast<Millis>(fleet.now - task.began).count());
                inTime += took <= task.length * 1.25 + static_cast<double>(stepTime.count()) ? 1 : 0;
            }
            it = attempts.erase(it);
        }
        return reply;
    }

    auto step() -> void
    {
        auto effects = fleet.plan(stepTime);
        for (const auto &it : effects.starts) {
            const auto *state = fleet.core.find(it.task.job);
            placed.push_back(it.task.job.str() + "." + std::to_string(it.task.index) + " on " + it.worker.str());
            running[it.worker][{it.task, it.attempt}] = {.length = drawLength(specOf(*state, it.task)), .began = fleet.now, .image = images[it.task.job.str()]};
        }
        for (const auto &it : effects.stops) {
            if (running[it.worker].erase({it.task, it.attempt}) > 0) {
                stopped[it.worker].push_back({.number = ++numbers[it.worker], .task = it.task, .attempt = it.attempt, .kind = CompletionKind::Stopped});
            }
        }
        fleet.answer(effects.stops, OrderOutcome::Accepted);
        fleet.answer(effects.starts, OrderOutcome::Accepted);
        fleet.log.insert(fleet.log.end(), effects.logEntries.begin(), effects.logEntries.end());
        counts = effects.learning;
        mostCertain = std::max(mostCertain, counts.certainPairs);
        const auto listed = (fleet.now - fleet.begin) % listPeriod == Micros{0};
        for (const auto &it : fleet.workers) {
            auto reply = advance(it.id, running[it.id]);
            reply.completions.insert(reply.completions.begin(), stopped[it.id].begin(), stopped[it.id].end());
            std::sort(reply.completions.begin(), reply.completions.end(), [](const auto &a, const auto &b) { return a.number < b.number; });
            stopped[it.id].clear();
            fleet.core.leaseFor(it.id, fleet.now);
            if (listed || !reply.completions.empty()) {
                fleet.core.applyPollReply(it.id, reply, fleet.now, fleet.now);
            }
        }
    }

    Fleet fleet;
    Random random{3};
    double interference = 0.0; ///< beside another image, tasks take longer by this
    int slowTasks = 3;
    std::uint32_t offBy = 50;
    std::set<WorkerId> slowWorkers;
    MonoTime countedFrom{Seconds{1'000}};
    int ended = 0; ///< tasks of image A since countedFrom
    int inTime = 0; ///< those that took at most 1.25 times as long as alone on a worker
    std::vector<std::string> placed;
    LearningCounts counts;
    std::size_t mostCertain = 0;
    std::map<WorkerId, Attempts> running;
    std::map<WorkerId, std::vector<AttemptCompletion>> stopped;
    std::map<WorkerId, std::int64_t> numbers;
    std::map<std::string, std::string> images;
};

/// Runs tasks of two images that slow each other down by 40%, on workers of which under three quarters are in use.
auto runTwoKinds(bool usesLearning, int steps, std::uint32_t offBy, int slowTasks) -> ModelFleet
{
    auto model = ModelFleet{12, usesLearning};
    model.interference = 0.4;
    model.offBy = offBy;
    model.slowTasks = slowTasks;
    model.countedFrom += Seconds{90};
    for (auto i = 0; i < steps; ++i) {
        if (i % 10 == 0) {
            model.submit("a" + std::to_string(i), "batch", "A", batchOf(4));
            model.submit("b" + std::to_string(i), "batch", "B", batchOf(4));
        }
        model.step();
    }
    return model;
}

/// @return an idle fleet whose planner is certain that two images slow each other down.
auto runUntilCertain() -> ModelFleet
{
    auto model = runTwoKinds(true, 600, 10, 0);
    for (auto i = 0; i < 100; ++i) { // all of it ends
        model.step();
    }
    REQUIRE(model.counts.certainPairs > 0);
    return model;
}

/// Runs a drawn load of gangs, batches and urgent work of six images without interference.
auto runDrawnLoad(bool usesLearning, std::uint64_t seed) -> ModelFleet
{
    auto model = ModelFleet{16, usesLearning};
    auto random = Random{seed};
    for (auto i = 0; i < 1'500; ++i) {
        if (random(4) == 0) {
            const auto gang = random(3) == 0;
            auto step = gang ? gangOf(1 + static_cast<int>(random(6)), std::int64_t{1} << random(4)) : batchOf(1 + static_cast<int>(random(8)));
            step.sameRack = gang && random(2) == 0;
            step.perTask.cpuMillis += random(2'000);
            model.submit("j" + std::to_string(i), random(3) == 0 ? "urgent" : "batch", "image" + std::to_string(random(6)), step);
        }
        model.step();
    }
    return model;
}

}

// Load: two images that slow each other down by 40% on the same worker. Guards against a planner that keeps placing them side by side although
// other workers have room.
TEST_CASE("tasks that slow each other down are kept apart where there is room, and more of them are in time")
{
    const auto without = runTwoKinds(false, 3'000, 50, 3);
    const auto with = runTwoKinds(true, 3'000, 50, 3);
    MESSAGE("within objective without: " << without.inTime << "/" << without.ended << ", with: " << with.inTime << "/" << with.ended);
    REQUIRE(without.ended > 500);
    REQUIRE(with.ended > 500);
    CHECK(100 * with.inTime / with.ended >= 100 * without.inTime / without.ended + 25);
    const auto lines = with.fleet.logged("interference");
    REQUIRE_FALSE(lines.empty());
    CHECK(std::any_of(lines.begin(), lines.end(), [](const std::string &it) { return it.find("pair=A/B certain=yes slowdown=") == 0; }));
}

// Load: drawn work without interference, with estimates that are off by half. Guards against other placements where nothing is certain.
TEST_CASE("without a certain estimate all work is placed as without the feature")
{
    for (const auto seed : {1, 2, 3, 4, 5}) {
        CAPTURE(seed);
        const auto without = runDrawnLoad(false, static_cast<std::uint64_t>(seed));
        const auto with = runDrawnLoad(true, static_cast<std::uint64_t>(seed));
        CHECK(with.counts.pairs > 0);
        CHECK(with.mostCertain == 0);
        CHECK(with.placed.size() > 500);
        CHECK(with.placed == without.placed);
    }
}

// Load: a third of the workers takes 1.3 times as long. Guards against urgent work that is placed on these while others are idle.
TEST_CASE("urgent work goes to workers that are not slow where it has a choice")
{
    auto onSlow = std::map<bool, int>{};
    for (const auto usesLearning : {false, true}) {
        auto model = ModelFleet{9, usesLearning};
        model.slowWorkers = {WorkerId{"w0"}, WorkerId{"w1"}, WorkerId{"w2"}};
        model.slowTasks = 0;
        model.offBy = 10;
        auto urgent = 0;
        for (auto i = 0; i < 2'000; ++i) {
            if (i % 10 == 0) {
                model.submit("batch" + std::to_string(i), "batch", "", batchOf(9));
            }
            if (i >= 1'200 && i % 5 == 0) {
                model.submit("urgent" + std::to_string(i), "urgent", "", batchOf(1));
            }
            model.step();
        }
        for (const auto &it : model.placed) {
            const auto isUrgent = it.rfind("urgent", 0) == 0;
            urgent += isUrgent ? 1 : 0;
            const auto worker = WorkerId{it.substr(it.rfind(' ') + 1)};
            onSlow[usesLearning] += isUrgent && model.slowWorkers.contains(worker) ? 1 : 0;
        }
        CHECK(urgent == 160);
        CHECK(model.counts.slowWorkers == 3);
    }
    MESSAGE("urgent tasks on slow workers without: " << onSlow[false] << ", with: " << onSlow[true]);
    CHECK(onSlow[true] <= onSlow[false] / 2);
}

// Load: more than three quarters of the accelerators are in use. Guards against whole workers that are opened to keep tasks apart, so that large
// gangs wait.
TEST_CASE("a whole free worker is opened to keep tasks apart only while capacity is not scarce")
{
    for (const auto fillers : {8, 9}) { // 65 and 73 of 96 accelerators
        CAPTURE(fillers);
        auto model = runUntilCertain();
        const auto ofB = model.place("b", "batch", "B", batchOf(1));
        for (auto i = 0; i < fillers; ++i) {
            model.place("filler" + std::to_string(i), "batch", "C", gangOf(1, 8));
        }
        const auto ofA = model.place("a", "batch", "A", batchOf(1));
        CHECK((ofA == ofB) == (fillers == 9));
    }
}

// Guards against guaranteed work that is spread over many workers, on which no large shape of a guarantee fits any more.
TEST_CASE("work within a guarantee is packed as without estimates")
{
    for (const auto guarantee : {0, 8}) {
        CAPTURE(guarantee);
        auto model = runUntilCertain();
        auto rules = PoolRules{.version = {2}};
        for (const auto &[name, priority] : {std::pair{"urgent", 0}, std::pair{"batch", 2}}) {
            rules.queues[QueueId{name}] = {.id = QueueId{name}, .service = ServiceId{"s"}, .priority = priority, .stretch = 2.0};
        }
        rules.guaranteedAccelerators[WorkspaceId{"w"}] = guarantee;
        model.fleet.core.setRules(rules);
        const auto ofB = model.place("b", "batch", "B", batchOf(1));
        const auto ofA = model.place("a", "urgent", "A", batchOf(1));
        CHECK((ofA == ofB) == (guarantee > 0));
    }
}

// Guards against preferences that go before what failed recently, before lost work, or before the choice of a rack.
TEST_CASE("a preference decides only between workers of equal rank")
{
    const auto candidate = [](std::size_t worker, const char *rack, int avoid) {
        return WorkerCandidate{.worker = worker, .rack = rack, .available = {.cpuMillis = 8'000, .memoryMb = 8'000, .accelerators = 8}, .avoid = avoid};
    };
    auto candidates = std::vector{candidate(0, "r0", 1), candidate(1, "r0", 0)};
    CHECK(chooseForSome(candidates, batchOf(1), 1) == std::vector<std::size_t>{1});
    candidates[0].available.accelerators = 2; // the better fit
    CHECK(chooseForSome(candidates, batchOf(1), 1) == std::vector<std::size_t>{1});
    CHECK(chooseForSome(candidates, batchOf(9), 9).size() == 9); // nothing waits for it
    candidates[1].suspect = true;
    CHECK(chooseForSome(candidates, batchOf(1), 1) == std::vector<std::size_t>{0});
    candidates[1].suspect = false;
    candidates[1].cost = 1.0;
    CHECK(chooseForSome(candidates, batchOf(1), 1) == std::vector<std::size_t>{0});
    auto gang = gangOf(2, 8);
    gang.sameRack = true;
    auto racks = std::vector{candidate(0, "r0", 2), candidate(1, "r0", 2), candidate(2, "r1", 0), candidate(3, "r1", 0), candidate(4, "r1", 0)};
    const auto chosen = chooseWorkers(racks, gang, 2, Spread::OneRack);
    REQUIRE(chosen);
    CHECK(*chosen == std::vector<std::size_t>{0, 1}); // the rack with the least capacity
}

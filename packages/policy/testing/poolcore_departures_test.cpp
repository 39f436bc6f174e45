#include "policy/poolcore.h"

#include "policy/testing/poolsimulation.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Catkin;
using namespace Catkin::Testing;

namespace
{

constexpr auto stopGrace = Millis{900};
constexpr auto notice = Millis{2'000};

/// Workers with 8 accelerators each, and a job whose tasks run on the first of them.
struct Pool
{
    Pool(const std::string &queue, const PoolStep &step, int workers)
    {
        core.setRules(simulationRules());
        addWorkers(step.tasks);
        core.addJob({.id = JobId{"a"}, .queue = QueueId{queue}, .workspace = WorkspaceId{"other"}, .steps = {step}}, now);
        accept(plan());
        REQUIRE(running().size() == static_cast<std::size_t>(step.tasks));
        addWorkers(workers);
    }

    auto addWorkers(int upTo) -> void
    {
        for (auto i = static_cast<int>(listed.size()); i < upTo; ++i) {
            listed.push_back({.id = WorkerId{"w" + std::to_string(i)},
                              .address = "10.0.0." + std::to_string(i) + ":1",
                              .service = ServiceId{"s"},
                              .capacity = {.cpuMillis = 32'000, .memoryMb = 128'000, .accelerators = 8},
                              .born = Incarnation{1}});
        }
        core.setWorkers(listed, now);
        for (const auto &it : listed) {
            poll(it.id, -1);
        }
    }

    /// A list with all attempts of the worker.
    /// @param percent progress of each; negative: they are not listed
    auto poll(const WorkerId &id, int percent) -> void
    {
        auto reply = WorkerPollReply{.clock = clock(), .born = Incarnation{1}};
        for (const auto &[key, it] : core.workers().at(id).allocations) {
            if (percent >= 0) {
                reply.running.push_back({.task = key.first, .attempt = key.second, .percent = percent});
            }
        }
        reply.complete = percent >= 0;
        core.applyPollReply(id, reply, now, now);
    }

    auto clock() const -> WorkerTime
    {
        return {std::chrono::duration_cast<Millis>(now.time_since_epoch()).count()};
    }

    auto plan() -> PoolEffects
    {
        auto effects = core.plan(now, WallTime{});
        core.recorded(effects);
        stops += static_cast<int>(effects.stops.size());
        return effects;
    }

    auto accept(const PoolEffects &effects) -> void
    {
        for (const auto &it : effects.starts) {
            core.leaseFor(it.worker, now);
            core.applyOrder(it, {.outcome = OrderOutcome::Accepted, .clock = clock()}, now);
        }
    }

    /// The entry of a worker tells that it leaves.
    auto leave(std::size_t worker, std::optional<Millis> remaining) -> void
    {
        listed[worker].draining = true;
        listed[worker].remaining = remaining;
        listed[worker].clock = clock();
        core.setWorkers(listed, now);
    }

    /// Planning passes until the first stop orders.
    /// @return how long before the departure they are issued; nothing if none are
    auto firstStops(Millis left) -> std::optional<Millis>
    {
        for (; left.count() > 0; left -= Millis{100}) {
            if (!plan().stops.empty()) {
                return left;
            }
            now += Millis{100};
        }
        return std::nullopt;
    }

    auto running() const -> std::vector<TaskKey>
    {
        auto out = std::vector<TaskKey>{};
        for (const auto &[id, worker] : core.workers()) {
            for (const auto &[key, it] : worker.allocations) {
                out.push_back(key.first);
            }
        }
        return out;
    }

    PoolCore core{PoolOptions{.stopGrace = stopGrace}};
    MonoTime now{Seconds{1'000}};
    std::vector<PoolWorkerInfo> listed;
    int stops = 0;
};

/// A step each task of which takes a whole worker.
auto wholeWorkers(int tasks, Millis estimate, bool gang, bool checkpointing) -> PoolStep
{
    return {.tasks = tasks,
            .perTask = {.cpuMillis = 3'700, .memoryMb = 11'000, .accelerators = 8},
            .estimate = estimate,
            .checkpointing = checkpointing,
            .gang = gang};
}

}

// Load: a worker leaves 2 s after a notice. Guards against a gang that loses the progress since its last checkpoint, or half of which is stopped.
TEST_CASE("a checkpointing gang with a member on a leaving worker is stopped whole, once, in time, and resumes elsewhere")
{
    auto pool = Pool{"normal", wholeWorkers(3, Millis{20'000}, true, true), 3};
    pool.now += Seconds{1};
    pool.leave(1, notice);
    const auto left = pool.firstStops(notice);
    REQUIRE(left);
    CHECK(*left > stopGrace + Millis{100});
    CHECK(*left < stopGrace + Millis{700});
    CHECK(pool.stops == 3);
    for (const auto &[id, worker] : pool.core.workers()) {
        for (const auto &[key, it] : worker.allocations) {
            CHECK(it.stopReason == StopReason::WorkerLeaving);
        }
    }
    pool.addWorkers(4);
    for (auto i = 0; i < 3; ++i) {
        const auto &id = pool.listed[static_cast<std::size_t>(i)].id;
        const auto key = pool.core.workers().at(id).allocations.begin()->first;
        pool.core.applyPollReply(
            id,
            {.clock = pool.clock(),
             .born = Incarnation{1},
             .completions = {{.number = 1, .task = key.first, .attempt = key.second, .kind = CompletionKind::Stopped, .checkpoint = "c" + std::to_string(i)}}},
            pool.now,
            pool.now);
    }
    const auto effects = pool.plan();
    REQUIRE(effects.starts.size() == 3);
    for (const auto &it : effects.starts) {
        CHECK(it.worker != pool.listed[1].id);
        CHECK_FALSE(it.checkpoint.empty());
    }
    pool.accept(effects);
    pool.now += Millis{100};
    CHECK(pool.plan().stops.empty());
}

// Load: as above. Guards against entries that are handed over again and again and put the departure off, and against repeated stops.
TEST_CASE("a departure is not put off by entries that are read again, and an attempt is asked to stop once")
{
    auto pool = Pool{"normal", wholeWorkers(1, Millis{20'000}, false, true), 1};
    pool.leave(0, notice);
    auto requests = 0;
    for (auto t = Millis{0}; t < notice; t += Millis{100}) {
        pool.core.setWorkers(pool.listed, pool.now);
        const auto effects = pool.plan();
        requests += static_cast<int>(
            std::count_if(effects.logEntries.begin(), effects.logEntries.end(), [](const PoolLogEntry &it) { return it.decision == std::string("stopping"); }));
        pool.now += Millis{100};
    }
    CHECK(requests == 1);
}

// Load: workers that drain without a notice, for as long as their work runs. Guards against work that is stopped without need.
TEST_CASE("work on a worker that drains without telling when it leaves is left alone")
{
    auto pool = Pool{"urgent", wholeWorkers(2, Millis{20'000}, true, true), 6};
    pool.leave(0, std::nullopt);
    CHECK_FALSE(pool.firstStops(Seconds{3}));
}

// Load: estimates that are off by up to 90%. Guards against the estimate where lists have shown that the attempt ends in time, or does not.
TEST_CASE("listed progress decides which attempts are stopped before their worker leaves")
{
    for (const auto percent : {90, 10}) {
        CAPTURE(percent);
        // One member is listed; the others make progress with it.
        auto pool = Pool{"normal", wholeWorkers(2, Millis{percent == 90 ? 20'000 : 2'000}, true, true), 2};
        pool.now += Seconds{4};
        pool.poll(pool.listed[1].id, percent);
        pool.leave(0, notice);
        CHECK(pool.firstStops(notice).has_value() == (percent == 10));
    }
}

// Load: hanging tasks on workers that leave. Guards against progress that stands still and is taken to go on.
TEST_CASE("an attempt whose progress stands still is not expected to end in time")
{
    auto pool = Pool{"normal", wholeWorkers(1, Seconds{20}, false, true), 1};
    for (auto i = 0; i < 2; ++i) {
        pool.now += Seconds{4};
        pool.poll(pool.listed[0].id, 50);
    }
    pool.leave(0, notice);
    CHECK(pool.firstStops(notice));
}

// Load: urgent checks on a worker that leaves. Guards against urgent work that waits for the end of a worker although others are free, and against
// work that gives up its worker for capacity which is not there.
TEST_CASE("urgent work without checkpoints moves as a whole while there is room for it")
{
    for (const auto workers : {3, 2}) {
        CAPTURE(workers);
        auto pool = Pool{"urgent", wholeWorkers(2, Millis{6'000}, true, false), workers};
        pool.now += Millis{200};
        pool.leave(0, notice);
        CHECK(pool.firstStops(notice) == (workers == 3 ? std::optional{notice} : std::nullopt));
        CHECK(pool.stops == (workers == 3 ? 2 : 0));
    }
}

// Load: long-running tasks on workers that leave in a minute. Guards against a service that is down until its worker has gone.
TEST_CASE("long-running work on a leaving worker moves at once if there is room, and serves on otherwise")
{
    for (const auto workers : {2, 1}) {
        CAPTURE(workers);
        auto step = wholeWorkers(1, Millis{1'000}, false, false);
        step.longRunning = true;
        auto pool = Pool{"normal", step, workers};
        pool.leave(0, Seconds{60});
        CHECK(pool.firstStops(Seconds{1}).has_value() == (workers == 2));
    }
}

// Load: a sixth of the workers leaves at once. Guards against work that is stopped for room which other work takes.
TEST_CASE("no two attempts move to the same room")
{
    auto pool = Pool{"urgent", wholeWorkers(4, Seconds{20}, false, false), 5};
    pool.now += Millis{200};
    for (auto i = std::size_t{0}; i < 4; ++i) {
        pool.leave(i, notice);
    }
    CHECK(pool.plan().stops.size() == 1);
    pool.now += Millis{100};
    CHECK(pool.plan().stops.empty());
}

// Load: a worker leaves while the record of attempts cannot be stored. Guards against checkpoints that are lost with the store.
TEST_CASE("stops before a departure go out while nothing can be recorded")
{
    auto pool = Pool{"normal", wholeWorkers(1, Seconds{20}, false, true), 2};
    pool.leave(0, notice);
    pool.now += Millis{1'000};
    CHECK(pool.core.planStops(pool.now).size() == 1);
}

// Load: workers that announce their departure, with lost answers, takeovers and slow records. Guards against double runs, broken gangs and jobs
// that never end.
TEST_CASE("random jobs finish while workers announce that they leave")
{
    auto stops = 0;
    for (auto seed = std::uint64_t{1}; seed <= 12; ++seed) {
        CAPTURE(seed);
        auto simulation
            = PoolSimulation{seed, 12, {.lostAnswers = 5, .failedTasks = 3, .takeovers = 1, .departures = 50, .announcedDepartures = true, .slowRecords = 10}};
        auto random = Random{seed + 1};
        for (auto i = 0; i < 40; ++i) {
            constexpr auto queues = std::array{"urgent", "normal", "batch"};
            const auto *queue = queues.at(random(3));
            const auto tasks = 1 + static_cast<int>(random(6));
            const auto accelerators = std::int64_t{1} << random(4);
            const auto estimate = Millis{500 + random(8'000)};
            const auto gang = random(2) == 0;
            simulation.submit({.id = JobId{"job" + std::to_string(i)},
                               .queue = QueueId{queue},
                               .workspace = WorkspaceId{"w"},
                               .payload = "p",
                               .steps = {{.tasks = tasks,
                                          .perTask = {.cpuMillis = 3'700, .memoryMb = 11'000, .accelerators = accelerators},
                                          .estimate = estimate,
                                          .checkpointing = random(2) == 0,
                                          .gang = gang}}});
            simulation.run(Millis{(i + 1) * 500});
        }
        simulation.run(Millis{120'000});
        stops += simulation.stopsFor(StopReason::WorkerLeaving);
        CHECK(simulation.violations().empty());
        CHECK(simulation.failedWithoutCause().empty());
        for (const auto &it : simulation.core().jobs()) {
            CAPTURE(it.first.str());
            CHECK(isFinal(it.second.phase));
        }
    }
    CHECK(stops > 0);
}

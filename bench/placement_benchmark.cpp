// Cost of scheduling decisions: build/bin/placement_benchmark

#include "policy/placement.h"
#include "policy/scheduler.h"
#include "util/random.h"

#include <benchmark/benchmark.h>

using namespace Catkin;

namespace
{

struct Size
{
    int workers;
    int slots;
    int tasks;
    int workspaces;
};

constexpr auto today = Size{50, 8, 380, 4};
constexpr auto target = Size{760, 32, 19000, 250};
constexpr auto full = Size{760, 32, 24320, 250};

/// Fills a fleet with gangs of mixed sizes, most of them borrowers that can be reclaimed; workspace 0 uses nothing.
auto makeTopology(const Size &size, int workers) -> Topology
{
    auto random = Random{5};
    auto topology = Topology{};
    for (auto w = 0; w < workers; ++w) {
        topology.updateWorker({.worker = WorkerId{"w" + std::to_string(w)}, .rack = RackId{"r" + std::to_string(w / 8)}, .slots = size.slots});
    }
    topology.setGuarantees(0, std::vector<Guarantee>{{size.slots * 8, 1}, {1, 64}});
    for (auto workspace = 1; workspace < size.workspaces; ++workspace) {
        topology.setGuarantees(workspace, std::vector<Guarantee>{{size.slots / 4, 1}});
    }
    const auto wanted = size.tasks * workers / size.workers;
    for (auto tasks = 0; tasks < wanted;) {
        const auto gang = GangRequest{.workspace = 1 + static_cast<int>(uniform(random, size.workspaces - 1)),
                                      .tasks = std::min(wanted - tasks, 1 << uniform(random, 7)),
                                      .slotsPerTask = 1,
                                      .reclaimable = uniform(random, 8) != 0};
        auto placement = placeCovered(topology, gang);
        if (!placement || !placement->displaced.empty()) {
            placement = placeFree(topology, gang, {});
        }
        if (!placement) {
            break;
        }
        applyPlacement(topology, gang, *placement, JobId{"j"}, MonoTime{});
        tasks += gang.tasks;
    }
    return topology;
}

auto sizeOf(const benchmark::State &state) -> const Size &
{
    return state.range(0) == 0 ? today : state.range(0) == 1 ? target : full;
}

auto workersOf(const benchmark::State &state) -> int
{
    return static_cast<int>(state.range(1));
}

auto placeFreeGang(benchmark::State &state) -> void
{
    const auto topology = makeTopology(sizeOf(state), workersOf(state));
    const auto gang = GangRequest{.workspace = 1, .tasks = 64, .slotsPerTask = 1, .adjacency = Adjacency::Any, .reclaimable = state.range(2) != 0};
    auto found = false;
    for (auto _ : state) {
        found = placeFree(topology, gang, {}).has_value();
        benchmark::DoNotOptimize(found);
    }
    state.SetLabel(found ? "placed" : "waits");
}

auto placeCoveredGang(benchmark::State &state) -> void
{
    auto topology = makeTopology(sizeOf(state), workersOf(state));
    const auto &size = sizeOf(state);
    // One shape of eight whole workers, or 64 tasks in shapes of one slot spread anywhere.
    const auto inRack = state.range(2) != 0;
    const auto gang
        = GangRequest{.workspace = 0, .tasks = 64, .slotsPerTask = inRack ? size.slots / 8 : 1, .adjacency = inRack ? Adjacency::Rack : Adjacency::Any};
    auto displaced = std::size_t{0};
    auto found = false;
    for (auto _ : state) {
        const auto placement = placeCovered(topology, gang);
        found = placement.has_value();
        displaced = found ? placement->displaced.size() : 0;
    }
    state.SetLabel(found ? "placed, " + std::to_string(displaced) + " displaced" : "waits");
}

/// Four tasks of one worker that open a shape of half a worker.
auto placeCoveredSmallGang(benchmark::State &state) -> void
{
    auto topology = makeTopology(sizeOf(state), workersOf(state));
    const auto &size = sizeOf(state);
    topology.setGuarantees(size.workspaces, std::vector<Guarantee>{{size.slots / 2, 1}});
    const auto gang = GangRequest{.workspace = size.workspaces, .tasks = 4, .slotsPerTask = 1, .adjacency = Adjacency::Worker};
    auto displaced = std::size_t{0};
    auto found = false;
    for (auto _ : state) {
        const auto placement = placeCovered(topology, gang);
        found = placement.has_value();
        displaced = found ? placement->displaced.size() : 0;
    }
    state.SetLabel(found ? "placed, " + std::to_string(displaced) + " displaced" : "waits");
}

auto placeUrgentGang(benchmark::State &state) -> void
{
    const auto topology = makeTopology(sizeOf(state), workersOf(state));
    const auto gang = GangRequest{.workspace = 0, .tasks = 64, .slotsPerTask = 1, .urgency = Urgency::Urgent, .reclaimable = true};
    auto found = false;
    for (auto _ : state) {
        found = placePreempting(topology, gang, {}).has_value();
        benchmark::DoNotOptimize(found);
    }
    state.SetLabel(found ? "placed" : "waits");
}

auto makeScheduler(const Size &size) -> Scheduler
{
    auto random = Random{9};
    auto scheduler = Scheduler{};
    auto config = SchedulerConfig{};
    for (auto w = 0; w < size.workspaces; ++w) {
        config.workspaces.push_back({.name = WorkspaceId{"s" + std::to_string(w)}, .urgentSharePercent = 20, .guarantees = {{size.slots / 4, 1}}});
    }
    scheduler.configure(config);
    for (auto w = 0; w < size.workers; ++w) {
        (void)scheduler.updateWorker({.worker = WorkerId{"w" + std::to_string(w)}, .rack = RackId{"r" + std::to_string(w / 8)}, .slots = size.slots},
                                     MonoTime{});
    }
    for (auto tasks = 0, n = 0; tasks < size.tasks; ++n) {
        const auto spec = ScheduledJob{.job = JobId{"f" + std::to_string(n)},
                                       .workspace = WorkspaceId{"s" + std::to_string(uniform(random, size.workspaces))},
                                       .caller = CallerId{std::to_string(uniform(random, 8))},
                                       .kind = KindId{"k"},
                                       .tasks = std::min(size.tasks - tasks, 1 << uniform(random, 7)),
                                       .restartable = true};
        tasks += spec.tasks;
        scheduler.resubmit(spec, MonoTime{});
    }
    scheduler.decide(MonoTime{});
    return scheduler;
}

/// A whole cycle of the scheduler: a gang of 64 is submitted, placed and ends, with @p waiting other jobs that do not fit.
auto decideCycle(benchmark::State &state) -> void
{
    const auto &size = sizeOf(state);
    auto scheduler = makeScheduler(size);
    auto now = MonoTime{};
    for (auto i = 0; i < state.range(1); ++i) {
        scheduler.resubmit({.job = JobId{"w" + std::to_string(i)},
                            .workspace = WorkspaceId{"s" + std::to_string(i % size.workspaces)},
                            .tasks = 8,
                            .slotsPerTask = size.slots,
                            .adjacency = Adjacency::Rack,
                            .restartable = true},
                           now);
    }
    scheduler.decide(now);
    auto started = std::int64_t{0};
    auto n = 0;
    for (auto _ : state) {
        now += Micros{1000};
        const auto id = JobId{"g" + std::to_string(n++)};
        const auto accepted
            = scheduler.submit({.job = id, .workspace = WorkspaceId{"s0"}, .tasks = size.workers > 100 ? 64 : 16, .slotsPerTask = 1, .restartable = true}, now);
        benchmark::DoNotOptimize(accepted);
        started += static_cast<std::int64_t>(scheduler.decide(now).starts.size());
        scheduler.jobEnded(id, JobEnd::Cancelled, now);
        (void)scheduler.cancel(id);
    }
    state.SetLabel(std::to_string(started * 100 / std::max<std::int64_t>(1, state.iterations())) + "% started");
}

}

BENCHMARK(placeFreeGang)
    ->ArgNames({"size", "workers", "reclaimable"})
    ->Args({0, 50, 1})
    ->Args({1, 190, 1})
    ->Args({1, 380, 1})
    ->Args({1, 760, 1})
    ->Args({1, 760, 0})
    ->Args({2, 760, 1})
    ->Args({2, 760, 0})
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(placeCoveredGang)
    ->ArgNames({"size", "workers", "rack"})
    ->Args({0, 50, 1})
    ->Args({1, 190, 1})
    ->Args({1, 380, 1})
    ->Args({1, 760, 1})
    ->Args({1, 760, 0})
    ->Args({2, 760, 1})
    ->Args({2, 760, 0})
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(placeCoveredSmallGang)->ArgNames({"size", "workers"})->Args({0, 50})->Args({1, 380})->Args({1, 760})->Args({2, 760})->Unit(benchmark::kMicrosecond);
BENCHMARK(placeUrgentGang)->ArgNames({"size", "workers"})->Args({0, 50})->Args({1, 760})->Args({2, 760})->Unit(benchmark::kMicrosecond);
BENCHMARK(decideCycle)->ArgNames({"size", "waiting"})->Args({0, 0})->Args({0, 100})->Args({1, 0})->Args({1, 1000})->Unit(benchmark::kMicrosecond);

BENCHMARK_MAIN();

/// Cost of the request path's decisions with many workspaces and callers.
///
/// usage: requestscheduler_bench [--benchmark_filter=REGEX]

#include "policy/requestscheduler.h"

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

using namespace Catkin;

namespace
{

/// A scheduler with 250 workspaces, 3 kinds and 50 executors, and requests of different callers for it.
class Fixture
{
public:
    explicit Fixture(int callers)
        : m_scheduler(options(), 1)
    {
        auto config = RequestConfig{};
        for (auto i = 0; i < 250; ++i) {
            config.workspaces.push_back({.id = WorkspaceId{"workspace-" + std::to_string(i)}, .weight = 1.0 + i % 4, .urgentShare = 0.3});
        }
        config.kinds = {{.id = KindId{"plan"}, .idempotent = true},
                        {.id = KindId{"check"}, .urgency = RequestUrgency::Urgent, .idempotent = true},
                        {.id = KindId{"notice"}, .urgency = RequestUrgency::Batch}};
        m_scheduler.configChanged(config, m_now);
        auto list = std::vector<ListedExecutor>{};
        for (auto i = 0; i < 50; ++i) {
            list.push_back({ExecutorId{"executor-" + std::to_string(i)}, "", FailureDomainId{"oviedo"}, RegionId{"cantabrico"}, false});
        }
        m_scheduler.executorsChanged(list, m_now);
        for (const auto &it : list) {
            m_scheduler.executorPolled(it.id, HealthSample{8, 0, false}, m_now);
        }
        for (auto i = 0; i < callers; ++i) {
            const auto workspace = static_cast<std::size_t>(i) % config.workspaces.size();
            const auto kind = static_cast<std::size_t>(i / 250) % config.kinds.size();
            m_requests.push_back(
                {config.workspaces[workspace].id, CallerId{"caller-" + std::to_string(i)}, config.kinds[kind].id, m_now + Seconds{3600}, Bytes{1000}});
        }
    }

    auto enqueue() -> RequestQueued
    {
        m_turn = m_turn + 1 < m_requests.size() ? m_turn + 1 : 0;
        return m_scheduler.enqueue(m_requests[m_turn], m_now);
    }

    auto scheduler() -> RequestScheduler &
    {
        return m_scheduler;
    }

    [[nodiscard]] auto now() const -> MonoTime
    {
        return m_now;
    }

private:
    static auto options() -> RequestSchedulerOptions
    {
        auto result = RequestSchedulerOptions{.instance = InstanceId{"i-1"}, .domain = FailureDomainId{"oviedo"}, .region = RegionId{"cantabrico"}};
        result.admission.maxQueued = 1'000'000;
        return result;
    }

    RequestScheduler m_scheduler;
    MonoTime m_now{Seconds{1000}};
    std::vector<NewRequest> m_requests;
    std::size_t m_turn = 0;
};

/// One request through enqueue, next and completed, with a standing queue and all slots but one in use.
auto wholeRequest(benchmark::State &state) -> void
{
    auto fixture = Fixture{static_cast<int>(state.range(0))};
    auto inFlight = std::vector<RequestNumber>{};
    for (auto i = 0; i < state.range(0); ++i) {
        fixture.enqueue();
    }
    for (;;) {
        const auto step = fixture.scheduler().next(fixture.now());
        if (const auto *dispatch = std::get_if<RequestDispatch>(&step)) {
            inFlight.push_back(dispatch->number);
        } else {
            break;
        }
    }
    auto turn = std::size_t{0};
    for (auto _ : state) {
        fixture.enqueue();
        fixture.scheduler().completed(inFlight[turn], DispatchOutcome::Answered, Micros{20000}, fixture.now());
        const auto step = fixture.scheduler().next(fixture.now());
        if (const auto *dispatch = std::get_if<RequestDispatch>(&step)) {
            inFlight[turn] = dispatch->number;
        }
        turn = turn + 1 < inFlight.size() ? turn + 1 : 0;
    }
}

/// A request that is queued and cancelled again, beside a standing queue.
auto enqueueAndCancel(benchmark::State &state) -> void
{
    auto fixture = Fixture{static_cast<int>(state.range(0))};
    for (auto i = 0; i < state.range(0); ++i) {
        fixture.enqueue();
    }
    for (auto _ : state) {
        const auto queued = fixture.enqueue();
        benchmark::DoNotOptimize(fixture.scheduler().cancel(queued.number, fixture.now()));
    }
}

/// A request of a flooding caller that is refused at once.
auto refuse(benchmark::State &state) -> void
{
    auto fixture = Fixture{static_cast<int>(state.range(0))};
    const auto flood = NewRequest{WorkspaceId{"workspace-0"}, CallerId{"flood"}, KindId{"plan"}, fixture.now() + Millis{500}, Bytes{1000}};
    while (!fixture.scheduler().enqueue(flood, fixture.now()).refusal) { }
    for (auto _ : state) {
        benchmark::DoNotOptimize(fixture.scheduler().enqueue(flood, fixture.now()));
    }
}

/// next() while every slot is in use.
auto nextWhenFull(benchmark::State &state) -> void
{
    auto fixture = Fixture{static_cast<int>(state.range(0))};
    for (auto i = 0; i < state.range(0); ++i) {
        fixture.enqueue();
    }
    while (!std::holds_alternative<RequestIdle>(fixture.scheduler().next(fixture.now()))) { }
    for (auto _ : state) {
        benchmark::DoNotOptimize(fixture.scheduler().next(fixture.now()));
    }
}

/// Cancels 100 requests of one caller beside a standing queue; time is for each cancelled request.
auto cancelCaller(benchmark::State &state) -> void
{
    auto fixture = Fixture{static_cast<int>(state.range(0))};
    for (auto i = 0; i < state.range(0); ++i) {
        fixture.enqueue();
    }
    const auto request = NewRequest{WorkspaceId{"workspace-7"}, CallerId{"leaver"}, KindId{"plan"}, fixture.now() + Seconds{3600}, Bytes{1000}};
    for (auto _ : state) {
        state.PauseTiming();
        for (auto i = 0; i < 100; ++i) {
            fixture.scheduler().enqueue(request, fixture.now());
        }
        state.ResumeTiming();
        benchmark::DoNotOptimize(fixture.scheduler().cancelCaller(request.workspace, request.caller, fixture.now()));
    }
    state.SetItemsProcessed(state.iterations() * 100);
}

BENCHMARK(wholeRequest)->Arg(1000)->Arg(10000)->Arg(100000);
BENCHMARK(enqueueAndCancel)->Arg(1000)->Arg(10000)->Arg(100000);
BENCHMARK(refuse)->Arg(1000);
BENCHMARK(nextWhenFull)->Arg(1000)->Arg(100000);
BENCHMARK(cancelCaller)->Arg(1000)->Arg(100000);

}

BENCHMARK_MAIN();

#include "daemon/observe.h"

#include <algorithm>
#include <array>
#include <map>

namespace Catkin
{

namespace
{

auto streamOf(const std::string &name) -> LogStream
{
    return name == "config" ? LogStream::Config : name == "jobs" ? LogStream::Jobs : LogStream::Requests;
}

auto since(const Clock &clock, MonoTime start) -> Micros
{
    return std::chrono::duration_cast<Micros>(clock.mono() - start);
}

auto resultOf(const Result<ExecutorAnswer> &answer) -> ExecutorResult
{
    if (answer) {
        return ExecutorResult::Answer;
    }
    if (certainlyNotRun(answer.error())) {
        return ExecutorResult::NotRun;
    }
    return answer.error().code == ErrorCode::Protocol ? ExecutorResult::Discarded : ExecutorResult::Error;
}

auto longestFreeRun(const WorkerView &worker) -> int
{
    auto used = std::vector<bool>(static_cast<std::size_t>(std::max(worker.slots, 0)));
    for (const auto &lease : worker.leases) {
        for (const auto slot : lease.slots) {
            if (lease.state != LeaseState::Ended && slot >= 0 && slot < worker.slots) {
                used[static_cast<std::size_t>(slot)] = true;
            }
        }
    }
    auto longest = 0;
    auto run = 0;
    for (const auto taken : used) {
        run = taken ? 0 : run + 1;
        longest = std::max(longest, run);
    }
    return longest;
}

}

auto observeLog(const LogPort &log, Metrics &metrics, const Clock &clock) -> LogPort
{
    auto out = LogPort{};
    out.append = [log, &metrics, clock](const std::string &stream, const std::vector<std::string> &records) {
        const auto start = clock.mono();
        auto result = log.append(stream, records);
        const auto refused = !result && result.error().code != ErrorCode::Unknown;
        metrics.logAppended(streamOf(stream), result ? AppendResult::Ok : refused ? AppendResult::NotSent : AppendResult::Unknown, since(clock, start));
        metrics.setLogAvailable(streamOf(stream), result.has_value());
        return result;
    };
    out.read = [log, &metrics](const std::string &stream, LogOffset from, int limit, Millis wait) {
        auto result = log.read(stream, from, limit, wait);
        metrics.logRead(streamOf(stream), result ? result.value().records.size() : 0);
        metrics.setLogAvailable(streamOf(stream), result.has_value());
        return result;
    };
    return out;
}

auto observeExecutors(const ExecutorPort &executors, Metrics &metrics, const Clock &clock) -> ExecutorPort
{
    auto out = executors;
    out.execute = [executors, &metrics, clock](const std::string &address, const ExecutorCall &call) {
        const auto start = clock.mono();
        auto answer = executors.execute(address, call);
        metrics.executorCall(call.kind, resultOf(answer), since(clock, start));
        return answer;
    };
    return out;
}

auto observeObjective(Metrics &metrics, const ActiveConfig &config, const WorkspaceId &workspace, const KindId &kind, bool answered, Millis latency) -> void
{
    for (const auto &it : config.document.objectives) {
        if (it.workspace == workspace && it.kind == kind) {
            metrics.sloObserved(workspace, kind, answered && latency <= it.latency);
        }
    }
}

auto setConfigGauges(Metrics &metrics, const ActiveConfig &config, std::optional<Millis> age) -> void
{
    metrics.setConfig(config.state.version, std::chrono::duration_cast<Seconds>(age.value_or(Millis{0})));
    for (const auto &it : config.document.objectives) {
        metrics.setSloTarget(it.workspace, it.kind, it.targetMillipercent / 1000.0);
    }
}

auto setRequestGauges(Metrics &metrics, const ActiveConfig &config, const std::vector<RequestQueueView> &queues, const std::vector<ExecutorView> &executors)
    -> void
{
    for (const auto &workspace : config.document.workspaces) {
        auto queued = std::int64_t{0};
        for (const auto &it : queues) {
            queued += it.workspace == workspace.name ? it.queued : 0;
        }
        metrics.setQueue(workspace.name, static_cast<std::size_t>(queued));
    }
    constexpr auto states = std::array{BackendState::Usable, BackendState::Lost, BackendState::Quarantined, BackendState::Leaving};
    auto counts = std::map<BackendState, std::size_t>{};
    for (const auto &it : executors) {
        const auto lost = it.state != ExecutorState::Usable;
        ++counts[it.state == ExecutorState::Leaving ? BackendState::Leaving
                 : it.quarantined                   ? BackendState::Quarantined
                 : lost                             ? BackendState::Lost
                                                    : BackendState::Usable];
    }
    for (const auto state : states) {
        metrics.setExecutors(state, counts[state]);
    }
}

auto setPlannerGauges(Metrics &metrics, const ActiveConfig &config, const std::vector<PlannerView> &views, const std::vector<Job> &jobs) -> void
{
    auto stats = SchedulerStats{};
    auto total = std::int64_t{0};
    auto lostSlots = std::int64_t{0};
    auto lost = std::size_t{0};
    auto leaving = std::size_t{0};
    auto workers = std::size_t{0};
    auto largest = 0;
    for (const auto &view : views) {
        stats.freeSlots += view.stats.freeSlots;
        stats.coveredSlots += view.stats.coveredSlots;
        stats.borrowedSlots += view.stats.borrowedSlots;
        stats.fixedSlots += view.stats.fixedSlots;
        stats.quarantinedWorkers += view.stats.quarantinedWorkers;
        workers += view.workers.size();
        for (const auto &it : view.workers) {
            total += it.slots;
            lostSlots += it.reachable ? 0 : it.slots;
            lost += it.reachable ? 0 : 1;
            leaving += it.reachable && it.leaving ? 1 : 0;
            largest = std::max(largest, it.reachable && !it.leaving ? longestFreeRun(it) : 0);
        }
    }
    const auto quarantined = std::min(workers - lost - leaving, static_cast<std::size_t>(std::max(stats.quarantinedWorkers, 0)));
    metrics.setPlanner(!views.empty());
    metrics.setWorkers(BackendState::Usable, workers - lost - leaving - quarantined);
    metrics.setWorkers(BackendState::Lost, lost);
    metrics.setWorkers(BackendState::Quarantined, quarantined);
    metrics.setWorkers(BackendState::Leaving, leaving);
    metrics.setSlots(SlotState::Total, SlotCount{total});
    metrics.setSlots(SlotState::Free, SlotCount{stats.freeSlots});
    metrics.setSlots(SlotState::Reclaimable, SlotCount{stats.borrowedSlots});
    metrics.setSlots(SlotState::Leased, SlotCount{stats.coveredSlots + stats.borrowedSlots + stats.fixedSlots});
    metrics.setSlots(SlotState::Lost, SlotCount{lostSlots});
    metrics.setLargestFreeBlock(SlotCount{largest});
    for (const auto &workspace : config.document.workspaces) {
        auto waiting = std::size_t{0};
        auto running = std::size_t{0};
        for (const auto &job : jobs) {
            if (job.spec.workspace == workspace.name) {
                ++(job.state == JobState::Queued ? waiting : running);
            }
        }
        metrics.setJobs(workspace.name, waiting, running);
    }
}

auto RetryObserver::update(Metrics &metrics, const RequestFigures &figures) -> void
{
    const auto guard = std::lock_guard(m_mutex);
    for (; m_sent < figures.retries; ++m_sent) {
        metrics.retry(true);
    }
    for (; m_denied < figures.retriesDenied; ++m_denied) {
        metrics.retry(false);
    }
}

}

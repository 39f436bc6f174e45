#pragma once

/// A planner with idle workers of eight accelerators each, for tests of single planning passes and of what they log.
///
/// @code
///   auto fleet = Catkin::Testing::Fleet{4};
///   fleet.core.addJob(makeJob("g", "batch", gangOf(4, 8)), fleet.now);
///   CHECK(fleet.run(Catkin::Millis{1'000}).size() == 4);
/// @endcode

#include "policy/poolcore.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

namespace Catkin::Testing
{

inline auto makeJob(const std::string &id, const std::string &queue, const PoolStep &step) -> PoolJob
{
    return {.id = JobId{id}, .queue = QueueId{queue}, .workspace = WorkspaceId{"w"}, .payload = "p", .steps = {step}};
}

inline auto gangOf(int tasks, std::int64_t accelerators) -> PoolStep
{
    return {.tasks = tasks, .perTask = {.cpuMillis = 1'000, .memoryMb = 1'000, .accelerators = accelerators}, .estimate = Millis{4'000}, .gang = true};
}

inline auto batchOf(int tasks) -> PoolStep
{
    return {.tasks = tasks, .perTask = {.cpuMillis = 1'000, .memoryMb = 1'000, .accelerators = 1}, .estimate = Millis{4'000}};
}

/// A planner with idle workers of eight accelerators each.
struct Fleet
{
    explicit Fleet(int workers, const PoolOptions &options = {})
        : core(options)
    {
        auto rules = PoolRules{};
        for (const auto &[name, priority] : {std::pair{"urgent", 0}, std::pair{"batch", 2}}) {
            rules.queues[QueueId{name}]
                = {.id = QueueId{name}, .service = ServiceId{"s"}, .priority = priority, .maxAttempts = 3, .stretch = 2.0, .targetRuntime = Millis{1'000}};
        }
        core.setRules(rules);
        auto listed = std::vector<PoolWorkerInfo>{};
        for (auto i = 0; i < workers; ++i) {
            listed.push_back({.id = WorkerId{"w" + std::to_string(i)},
                              .address = "10.0.0.1:" + std::to_string(i + 1),
                              .service = ServiceId{"s"},
                              .rack = "r" + std::to_string(i / 8),
                              .capacity = {.cpuMillis = 32'000, .memoryMb = 128'000, .accelerators = 8},
                              .born = Incarnation{1}});
        }
        list(listed);
    }

    /// Lists these workers and no others, and lets them answer.
    auto list(const std::vector<PoolWorkerInfo> &listed) -> void
    {
        workers = listed;
        core.setWorkers(listed, now);
        answerPolls();
    }

    /// Lets all workers answer a poll: what they have accepted runs and makes progress.
    auto answerPolls() -> void
    {
        ++m_polls;
        for (const auto &it : workers) {
            auto reply = WorkerPollReply{.clock = WorkerTime{100'000 + std::chrono::duration_cast<Millis>(now - begin).count()}, .born = Incarnation{1}};
            for (const auto &[key, allocation] : core.workers().at(it.id).allocations) {
                if (!allocation.stopAnswered) {
                    const auto percent = timePerPercent.count() == 0 ? m_polls % 100 : static_cast<int>((now - allocation.placedAt) / timePerPercent);
                    reply.running.push_back({.task = key.first, .attempt = key.second, .percent = percent});
                }
            }
            core.leaseFor(it.id, now);
            core.applyPollReply(it.id, reply, now, now);
        }
    }

    /// Plans each 100 ms for @p span, with all orders accepted and all polls answered.
    /// @return the start orders of that time.
    auto run(Millis span) -> std::vector<PoolOrder>
    {
        auto starts = std::vector<PoolOrder>{};
        for (auto passed = Millis{0}; passed < span; passed += Millis{100}) {
            auto effects = plan();
            answer(effects.stops, OrderOutcome::Accepted);
            answer(effects.starts, OrderOutcome::Accepted);
            answerPolls();
            starts.insert(starts.end(), effects.starts.begin(), effects.starts.end());
            log.insert(log.end(), effects.logEntries.begin(), effects.logEntries.end());
        }
        return starts;
    }

    /// @return the texts of a decision that run() has logged.
    [[nodiscard]] auto logged(const std::string &decision) const -> std::vector<std::string>
    {
        auto out = std::vector<std::string>{};
        for (const auto &it : log) {
            if (it.decision == decision) {
                out.push_back(it.text);
            }
        }
        return out;
    }

    auto plan(Millis later = Millis{100}) -> PoolEffects
    {
        now += later;
        auto effects = core.plan(now, WallTime{});
        core.recorded(effects);
        return effects;
    }

    auto answer(const std::vector<PoolOrder> &orders, OrderOutcome outcome) -> void
    {
        for (const auto &it : orders) {
            if (it.kind == PoolOrder::Kind::Start) {
                core.leaseFor(it.worker, now);
            }
            core.applyOrder(it, {.outcome = outcome}, now);
        }
    }

    PoolCore core;
    MonoTime begin{Seconds{1'000}};
    MonoTime now = begin;
    std::vector<PoolWorkerInfo> workers;
    std::vector<PoolLogEntry> log; ///< of run()
    Millis timePerPercent{0}; ///< in which tasks make progress; 0: with each poll

private:
    int m_polls = 0;
};

inline auto tasksOf(const std::vector<PoolOrder> &orders, const std::string &job) -> int
{
    return static_cast<int>(std::count_if(orders.begin(), orders.end(), [&](const PoolOrder &it) { return it.task.job.str() == job; }));
}

inline auto hasDecision(const PoolEffects &effects, const std::string &decision, const std::string &text) -> bool
{
    return std::any_of(effects.logEntries.begin(), effects.logEntries.end(), [&](const PoolLogEntry &it) {
        return it.decision == decision && it.text.find(text) != std::string::npos;
    });
}

}

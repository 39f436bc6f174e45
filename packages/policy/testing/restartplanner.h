#pragma once

/// A planner and two workers, whose lists and answers a test lets overtake each other, for tests of restarts and of orders without an answer.
///
/// @code
///   auto planner = Catkin::Testing::Planner{};
///   const auto askedAt = planner.now;
///   planner.now += Catkin::Millis{2'300};
///   planner.accept(planner.place(), Catkin::WorkerTime{2'363});
///   planner.list(Catkin::WorkerTime{2'066}, askedAt, false);       // of the second lifetime, made before it accepted the order
///   CHECK(planner.isPlaced());
/// @endcode

#include "policy/poolcore.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace Catkin::Testing
{

inline const auto workerId = WorkerId{"w1"};
constexpr auto firstBorn = Incarnation{1'000};
constexpr auto secondBorn = Incarnation{2'000};
constexpr auto thirdBorn = Incarnation{3'000};
/// Clock of the first lifetime when a test begins.
constexpr auto firstClock = WorkerTime{100'000};

/// A worker with one task, whose lists and answers the test lets overtake each other. A second worker is there for the task when it is given up.
struct Planner
{
    Planner()
        : core(PoolOptions{})
    {
        auto rules = PoolRules{.version = {1}};
        rules.queues[QueueId{"q"}] = {.id = QueueId{"q"}, .service = ServiceId{"s"}, .maxAttempts = 3};
        core.setRules(rules);
        listWorkers({firstBorn, firstBorn});
        for (const auto &it : ids) {
            core.applyPollReply(it, {.clock = firstClock, .born = firstBorn}, now, now);
        }
    }

    /// @param born of each worker; Incarnation{}: it has no entry
    /// @param clock of the first worker
    auto listWorkers(const std::vector<Incarnation> &born, WorkerTime clock = {}) -> void
    {
        auto listed = std::vector<PoolWorkerInfo>{};
        for (auto i = std::size_t{0}; i < ids.size(); ++i) {
            if (born[i] == Incarnation{}) {
                continue;
            }
            listed.push_back({.id = ids[i],
                              .address = "10.0.0." + std::to_string(i) + ":1",
                              .service = ServiceId{"s"},
                              .capacity = {.cpuMillis = 32'000, .memoryMb = 64'000, .accelerators = 8},
                              .born = born[i],
                              .clock = i == 0 ? clock : WorkerTime{}});
        }
        core.setWorkers(listed, now);
    }

    /// Places the job on the first worker; the second one is occupied meanwhile.
    auto place() -> PoolOrder
    {
        core.pollFailed(ids[1]);
        core.addJob({.id = JobId{"a"},
                     .queue = QueueId{"q"},
                     .workspace = WorkspaceId{"w"},
                     .steps = {{.tasks = 1, .perTask = {.cpuMillis = 32'000, .memoryMb = 1'000}, .estimate = Millis{1'000}}}},
                    now);
        const auto effects = plan();
        core.applyPollReply(ids[1], {.clock = firstClock, .born = firstBorn}, now, now);
        REQUIRE(effects.starts.size() == 1);
        REQUIRE(effects.starts.front().worker == workerId);
        core.leaseFor(workerId, now);
        return effects.starts.front();
    }

    /// Leaves all tries of a start order without an answer, answers the stop order that follows, and lists that the attempt does not run.
    /// @return the next planning pass
    auto loseStart(const PoolOrder &order) -> PoolEffects
    {
        auto starts = std::vector{order};
        auto effects = PoolEffects{};
        while (!starts.empty()) {
            core.applyOrder(starts.front(), {.outcome = OrderOutcome::OutcomeUnknown}, now);
            now += Millis{300};
            effects = plan();
            starts = effects.starts;
        }
        REQUIRE(effects.stops.size() == 1);
        core.applyOrder(effects.stops.front(), {.outcome = OrderOutcome::Accepted, .clock = firstClockNow()}, now);
        now += Millis{20};
        core.applyPollReply(workerId, {.clock = firstClockNow(), .born = firstBorn}, now - Millis{10}, now);
        return beforePlacing ? (beforePlacing(), plan()) : plan();
    }

    /// Leaves the first try of a start order without an answer, has the second one accepted, and lists that the attempt has failed.
    /// @return the next planning pass
    auto failAfterRepeat(const PoolOrder &order) -> PoolEffects
    {
        core.applyOrder(order, {.outcome = OrderOutcome::OutcomeUnknown}, now);
        now += Millis{300};
        const auto starts = plan().starts;
        REQUIRE(starts.size() == 1);
        accept(starts.front(), firstClockNow());
        now += Millis{500};
        auto reply = WorkerPollReply{.clock = firstClockNow(), .born = firstBorn};
        reply.completions.push_back({.number = 1, .task = order.task, .attempt = order.attempt, .kind = CompletionKind::Failed});
        core.applyPollReply(order.worker, reply, now - Millis{10}, now);
        return beforePlacing ? (beforePlacing(), plan()) : plan();
    }

    /// @return the clock of the first lifetime.
    [[nodiscard]] auto firstClockNow() const -> WorkerTime
    {
        return {firstClock.value + std::chrono::duration_cast<Millis>(now - MonoTime{Seconds{1'000}}).count()};
    }

    auto accept(const PoolOrder &order, WorkerTime clock) -> void
    {
        core.applyOrder(order, {.outcome = OrderOutcome::Accepted, .clock = clock}, now);
    }

    /// A list of the second lifetime that arrives now.
    auto list(WorkerTime clock, MonoTime sentAt, bool names) -> void
    {
        auto reply = WorkerPollReply{.clock = clock, .born = secondBorn};
        if (names) {
            reply.running.push_back({.task = task(), .attempt = 1, .percent = 1});
        }
        core.applyPollReply(workerId, reply, sentAt, now);
    }

    auto plan() -> PoolEffects
    {
        auto effects = core.plan(now, WallTime{});
        core.recorded(effects);
        for (const auto &it : effects.logEntries) {
            lines.push_back(std::string(it.decision) + " " + it.text);
        }
        return effects;
    }

    /// @return whether a line of the decision has the text.
    [[nodiscard]] auto hasLine(const std::string &decision, const std::string &text) const -> bool
    {
        return std::any_of(
            lines.begin(), lines.end(), [&](const std::string &it) { return it.starts_with(decision + " ") && it.find(text) != std::string::npos; });
    }

    [[nodiscard]] static auto task() -> TaskKey
    {
        return {.job = JobId{"a"}};
    }

    [[nodiscard]] auto isPlaced() const -> bool
    {
        return taskAt(*core.find(JobId{"a"}), task()).phase == TaskPhase::Placed;
    }

    std::vector<WorkerId> ids{workerId, WorkerId{"w2"}};
    MonoTime now{Seconds{1'000}};
    PoolCore core;
    std::vector<std::string> lines; ///< of all planning passes
    std::function<void()> beforePlacing; ///< what happens before the pass in which loseStart() ends
};

}

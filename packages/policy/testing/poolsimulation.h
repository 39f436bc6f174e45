#pragma once

/// A pool of simulated workers around PoolCore: it carries orders and answers, loses, delays and repeats them, restarts
/// workers and planners, and checks what must never happen.

#include "policy/poolcore.h"
#include "util/random.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Catkin::Testing
{

struct PoolFaults
{
    int lostAnswers = 0; ///< per cent of orders that are carried out and not answered
    int lateOrders = 0; ///< per cent of orders that are not answered and carried out 2 to 12 s later
    int failedTasks = 0; ///< per cent of attempts that end by a failure
    int cutWorkers = 0; ///< per cent of workers cut off for 12 s, some time
    int lostWorkers = 0; ///< per cent of workers that vanish for good, some time
    int restarts = 0; ///< per cent of workers that restart at some time
    int takeovers = 0; ///< planners that follow one another
};

struct SimulatedAttempt
{
    int attempt = 0;
    MonoTime begin;
    MonoTime end; ///< when its work is done
    Resources resources;
    bool stopping = false;
    MonoTime stopAt;
};

struct SimulatedPoolWorker
{
    PoolWorkerInfo info;
    std::map<TaskKey, SimulatedAttempt> running;
    std::vector<AttemptCompletion> completions;
    std::set<std::int64_t> voidCompletions; ///< ends after which the worker's lease ran out before they were on record
    std::map<TaskKey, int> barred; ///< highest attempt that was stopped or has ended
    std::int64_t nextCompletion = 1;
    std::int64_t token = 0;
    MonoTime leaseUntil;
    MonoTime bornAt;
    MonoTime cutFrom;
    MonoTime cutUntil;
};

class PoolSimulation
{
public:
    PoolSimulation(std::uint64_t seed, int workers, const PoolFaults &faults);

    auto submit(const PoolJob &job) -> void;
    auto cancel(const JobId &id) -> void;
    /// Plays until @p until after the start, in steps of 20 ms.
    auto run(Millis until) -> void;

    [[nodiscard]] auto core() const -> const PoolCore &;
    /// @return what was seen that must never happen.
    [[nodiscard]] auto violations() const -> const std::vector<std::string> &;
    /// @return jobs that have failed although no task or gang of theirs failed as often as its queue allows.
    [[nodiscard]] auto failedWithoutCause() const -> std::string;
    [[nodiscard]] auto now() const -> MonoTime;
    /// @return when the first task of a job began, or nothing.
    [[nodiscard]] auto beganAt(const JobId &id) const -> std::optional<MonoTime>;

private:
    struct LateOrder
    {
        MonoTime at;
        PoolOrder order;
        MonoTime leaseUntil;
        std::int64_t token = 0;
        Incarnation born; ///< lifetime that the order is meant for
    };

    auto step() -> void;
    auto advanceWorkers() -> void;
    auto advanceWorker(SimulatedPoolWorker &worker) -> void;
    auto completeAttempt(SimulatedPoolWorker &worker, const TaskKey &key, CompletionKind kind) -> void;
    auto breakGang(const TaskKey &key, int attempt) -> void;
    auto plan() -> void;
    auto send(const PoolOrder &order) -> void;
    auto carryOut(const PoolOrder &order, MonoTime leaseUntil, std::int64_t token) -> OrderOutcome;
    auto startAt(SimulatedPoolWorker &worker, const PoolOrder &order, MonoTime leaseUntil) -> OrderOutcome;
    auto pollWorkers() -> void;
    auto takeOver() -> void;
    auto listWorkers() -> void;
    auto chance(int percent) -> bool;
    auto cut(const SimulatedPoolWorker &worker) const -> bool;
    auto check(const SimulatedPoolWorker &worker, const PoolOrder &order) -> void;
    auto sameUnit(const TaskKey &a, const TaskKey &b) const -> bool;
    auto endedWell(const TaskKey &key) const -> bool;
    auto acknowledge(SimulatedPoolWorker &worker, std::int64_t upTo) -> void;
    auto gangComplete(const TaskKey &key, int attempt) const -> bool;

    PoolOptions m_options;
    PoolFaults m_faults;
    Random m_random;
    MonoTime m_start{Seconds{1'000}};
    MonoTime m_now{Seconds{1'000}};
    std::int64_t m_token = 1;
    std::map<WorkerId, SimulatedPoolWorker> m_workers;
    std::map<JobId, PoolJob> m_jobs;
    std::set<JobId> m_cancelled;
    std::map<JobId, PoolJobState> m_records;
    std::map<WorkerId, std::int64_t> m_acknowledged;
    std::vector<LateOrder> m_late;
    std::set<TaskKey> m_everDone; ///< tasks that have ended well, on record or not
    std::set<TaskKey> m_done; ///< tasks of which a good end is on record
    std::map<JobId, MonoTime> m_began;
    std::map<TaskKey, std::set<int>> m_failures; ///< failed attempts of a task, or of a gang under its first task
    std::vector<std::string> m_violations;
    std::vector<MonoTime> m_takeovers;
    PoolCore m_core;
};

/// @return rules with the queues "urgent" (priority 0), "normal" (1) and "batch" (2) of one service.
auto simulationRules() -> PoolRules;

}

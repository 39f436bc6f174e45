#pragma once

/// A planner and workers that run what they start to its end, for loads beyond the capacity.
///
/// @code
///   auto fleet = Catkin::Testing::OverloadFleet{104};
///   fleet.submit(job, Catkin::Millis{4'000});
///   fleet.run(Catkin::Millis{60'000});
///   CHECK(fleet.tally().inTime > 0);
/// @endcode

#include "policy/poolcore.h"

#include <map>
#include <string>
#include <vector>

namespace Catkin::Testing
{

/// What became of a set of jobs.
struct ServedJobs
{
    int jobs = 0;
    int inTime = 0; ///< ended within their objective
    int late = 0; ///< ended within three times the objective

    /// @return the part of the jobs that ended while their result had a value.
    [[nodiscard]] auto rate() const -> double
    {
        return jobs == 0 ? 1.0 : static_cast<double>(inTime + late) / jobs;
    }
};

class OverloadFleet
{
public:
    explicit OverloadFleet(int workers);

    /// @param at since the start of the simulation; jobs are submitted in the order of their times
    auto submit(const PoolJob &job, Millis at) -> void;
    /// Plans each 100 ms; orders and polls are answered at once.
    auto run(Millis until) -> void;
    [[nodiscard]] auto unfinished() const -> int;
    [[nodiscard]] auto tally() const -> std::map<std::string, ServedJobs>;
    [[nodiscard]] auto startedAt(const JobId &id) const -> MonoTime;
    [[nodiscard]] auto now() const -> MonoTime;
    /// @return accelerators that run tasks of a workspace.
    [[nodiscard]] auto runningAccelerators(const WorkspaceId &workspace) const -> std::int64_t;
    /// @return workers that run tasks of a workspace.
    [[nodiscard]] auto workersOf(const WorkspaceId &workspace) const -> int;
    /// @return lines of a decision in the log.
    [[nodiscard]] auto logged(const std::string &decision) const -> int;

    PoolCore core;
    PoolRules rules;
    std::vector<PoolLogEntry> log;

private:
    struct Running
    {
        int attempt = 0;
        MonoTime end;
    };
    struct Submitted
    {
        PoolJob job;
        MonoTime at;
    };

    auto poll(const PoolWorkerInfo &worker) -> void;
    [[nodiscard]] auto objectiveOf(const PoolJob &job) const -> Micros;

    MonoTime m_begin{Seconds{1'000}};
    MonoTime m_now = m_begin;
    std::vector<PoolWorkerInfo> m_workers;
    std::vector<Submitted> m_jobs;
    std::size_t m_next = 0; ///< first of m_jobs that has not been submitted
    std::map<WorkerId, std::map<TaskKey, Running>> m_running;
    std::map<WorkerId, std::int64_t> m_completions;
    std::map<JobId, MonoTime> m_ended;
    std::map<JobId, MonoTime> m_started;
};

/// The queues of haddad in docs/demands.md over the time @p span, at @p rate times the table's.
auto drawHaddad(std::uint64_t seed, Millis begin, Millis span, double rate) -> std::vector<std::pair<Millis, PoolJob>>;

}

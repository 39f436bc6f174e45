#pragma once

/// Judges a soak by what callers and executors saw.
///
/// @code
///   auto judge = Catkin::Soak::SoakJudge{lease};
///   judge.accepted(job);
///   judge.leaderDisturbed(now);
///   judge.quietFrom(now);                 // no trouble from here on
///   judge.look(world, now);               // every 100 ms
///   judge.finish(world);
///   CHECK(judge.violations().empty());
/// @endcode
///
/// What it reports:
/// - a task that runs twice at the same time, or starts after a planner has noted that it was done;
/// - an accepted job that is answered 410, or is shown as failed without enough failures of a task, or does not end;
/// - in quiet time, while under half of the executors' capacity is in use, for 3 s: a job that has nothing running though the turn of a task
///   has come, and a task that lasts and does not run from 6 s after its last run;
/// - a start order in a failure domain while its evacuation is in force, or on an executor that leaves, see soak/soakstarts.h;
/// - a member of a gang that runs for more than 5 s without another member, counted anew when the leader is disturbed. Where the other member ran on an
///   executor that left, or vanished, the time counts from when the leader can know that.
///
/// Work of an executor that vanished may wait for the end of its leases: those that were granted before it vanished, or that late calls for an earlier
/// lifetime may have granted to its last one, or, if the leader was disturbed before it can have noticed that, those that it may have granted until the next
/// leader was in office; and until a start order of the same task that it left unanswered cannot arrive any more. It may not wait longer than until the
/// entry of another executor at its address is in the store and a leader in office.
///
/// An end that nobody had noted is lost with its executor: the steps that follow wait for the task to run again.
///
/// The members of a gang succeed together, so that one that is done stands for all of them.

#include "soak/soakworld.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Catkin::Soak
{

struct SoakStep
{
    int tasks = 1;
    int dependsOn = -1; ///< index of an earlier step; -1: none
    bool isGang = false;
    bool isLasting = false;
};

struct SoakJob
{
    std::string id;
    std::string queue;
    std::string spec;
    std::vector<SoakStep> steps;
    SteadyTime acceptedAt;
};

class SoakJudge
{
public:
    explicit SoakJudge(Millis lease);

    auto accepted(const SoakJob &job) -> void;
    auto leaderDisturbed(SteadyTime at) -> void;
    auto quietFrom(SteadyTime at) -> void;
    /// Reports the answer to a question for the state of a job.
    auto shown(const std::string &job, int status, const std::string &state, SteadyTime at) -> void;
    auto look(SoakWorld &world, SteadyTime now) -> void;
    auto finish(SoakWorld &world) -> void;

    /// @return the jobs that have not ended.
    [[nodiscard]] auto open() const -> std::vector<SoakJob>;
    /// @return whether all jobs have ended but those that last, and all tasks that last run.
    [[nodiscard]] auto allEnded() const -> bool;
    [[nodiscard]] auto acceptedJobs() const -> std::size_t;
    [[nodiscard]] auto longestStand() const -> Millis;
    [[nodiscard]] auto violations() const -> const std::vector<std::string> &;

private:
    using Runs = std::map<std::string, std::vector<Run>>; ///< by task, the earliest first

    struct JobState
    {
        SoakJob job;
        bool isEnded = false;
        std::optional<SteadyTime> standsSince;
        std::map<std::string, SteadyTime> taskStandsSince;
        bool isReported = false;
    };

    auto readyAt(SoakWorld &world, const SoakJob &job, std::size_t step, const Runs &runs) const -> std::optional<SteadyTime>;
    auto leaseEnd(SteadyTime goneAt, SteadyTime lastGrant) const -> SteadyTime;
    auto lastCallEnd(SteadyTime goneAt, SteadyTime lastCall, std::chrono::milliseconds effect) const -> SteadyTime;
    auto successionKnownAt(SteadyTime shownAt) const -> SteadyTime;
    auto vanishedUntil(SoakWorld &world, const std::string &worker, SteadyTime until) const -> SteadyTime;
    auto waitsUntil(SoakWorld &world, const SoakJob &job, std::size_t step, int index, const Runs &runs) const -> SteadyTime;
    auto waitsUntil(SoakWorld &world, const std::string &task, const Runs &runs) const -> SteadyTime;
    auto lookAt(SoakWorld &world, JobState &state, const Runs &runs, SteadyTime now) -> void;
    auto stood(JobState &state, const std::string &what, SteadyTime since, SteadyTime now) -> void;
    auto checkRuns(const Runs &runs) -> void;
    auto checkGangs(SoakWorld &world, const Runs &runs) -> void;
    auto lossKnownAt(SoakWorld &world, const Run &run, const std::map<std::string, SteadyTime> &departures) const -> SteadyTime;
    auto aloneUntil(SteadyTime since) const -> SteadyTime;
    auto report(const std::string &text) -> void;

    Millis m_lease;
    std::map<std::string, JobState> m_jobs;
    std::vector<SteadyTime> m_disturbances;
    std::optional<SteadyTime> m_quietFrom;
    std::chrono::steady_clock::duration m_longestStand{};
    bool m_lastingRun = false; ///< whether all tasks that last ran at the last look
    std::vector<std::string> m_violations;
};

}

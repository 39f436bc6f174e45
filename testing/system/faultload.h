#pragma once

/// Requests, jobs and configuration changes that run while a test injects faults, and the judgement of what happened.
///
/// @code
///   auto load = Catkin::FaultLoad{site, {.seed = 1}};
///   const auto job = load.submit(0, {.key = "mold-1", .domain = "oviedo", .restartable = false});
///   ... faults ...
///   REQUIRE(load.waitState(0, job, "succeeded"));
///   auto violations = load.finish({.partialStartMs = 2'500});
/// @endcode

#include "history/checker.h"
#include "system/callers.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace Catkin
{

struct FaultLoadOptions
{
    unsigned seed = 1;
    int pauseMs = 60; ///< between two requests of one caller
    bool requests = true; ///< whether callers run; versions are observed in any case
};

struct LoadJob
{
    std::string key;
    std::string domain; ///< home failure domain; empty: chosen by the instance
    int tasks = 2;
    int slots = 2;
    int runMs = 500;
    bool restartable = true;
    bool neighbour = false; ///< submitted by the workspace without a guarantee
};

class FaultLoad
{
public:
    /// Starts callers with idempotent requests, plain keys and tickets at every instance, and an observer of versions.
    FaultLoad(Deployment &site, const FaultLoadOptions &options);
    ~FaultLoad();
    FaultLoad(const FaultLoad &) = delete;
    auto operator=(const FaultLoad &) -> FaultLoad & = delete;

    /// Submits a job once.
    /// @return its id; empty when it was not accepted
    auto submit(std::size_t entry, const LoadJob &job) -> std::string;
    /// Submits a job until it is accepted; throws std::runtime_error when it never is.
    auto mustSubmit(std::size_t entry, const LoadJob &job) -> std::string;

    /// @return whether the instance reports the job in this state in the end.
    auto waitState(std::size_t entry, const std::string &job, const std::string &state) const -> bool;
    /// @return the task runs of a job so far.
    auto runs(const std::string &job) const -> std::vector<TaskRun>;
    /// Adds a call that the test has made itself.
    auto note(Call call) -> void;

    /// Ends the callers and judges the history.
    /// @return every violation
    auto finish(const HistoryBounds &bounds) -> Violations;
    /// @return what finish() has judged.
    [[nodiscard]] auto history() const -> const History &;
    /// @return a line with the numbers of calls, results, executions, task runs and versions that finish() has judged.
    [[nodiscard]] auto summary() const -> std::string;

private:
    auto observe() -> void;

    Deployment &m_site;
    std::vector<std::unique_ptr<Callers>> m_callers;
    mutable std::mutex m_mutex;
    History m_history;
    std::atomic<bool> m_stopping{false};
    std::thread m_observer;
};

/// Changes the configuration through an instance.
/// @return status of the answer; 0 when there is none
auto changeConfig(Deployment &site, std::size_t entry, std::int64_t base, int weight) -> int;

/// @return the configuration version that an instance reports; -1 when it does not answer.
auto versionAt(Deployment &site, std::size_t entry) -> std::int64_t;

/// @return the index of the instance that plans a failure domain, as @p entry sees it in heartbeats; nothing when there is none
/// or when it is @p entry itself.
auto plannerOf(Deployment &site, std::size_t entry, const std::string &domain) -> std::optional<std::size_t>;

/// @return milliseconds of the wall clock, as `first_sent_ms` needs them.
auto wallNowMs() -> std::int64_t;

}

#pragma once

/// The worker of the worker stand-in: leases, generations and simulated tasks. Time is passed in; not thread-safe.
///
/// @code
///   auto worker = Catkin::SimulatedWorker{settings, [](nlohmann::json event) { ... }};
///   auto [status, body] = worker.orders(request, monotonicMs());
/// @endcode

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Catkin
{

struct WorkerSettings
{
    std::string worker = "worker-1";
    std::string rack = "rack-1";
    std::string domain = "domain-1";
    int slots = 8;
    std::int64_t defaultRunMs = 1000; ///< run time of a task whose payload does not say
    std::int64_t checkpointMs = 100; ///< duration of a checkpoint
    std::int64_t usageLagMs = 5000; ///< time between two measurements of usage
    std::int64_t keepEndedMs = 600000; ///< time for which an ended lease stays listed
    double clockRate = 1.0; ///< speed of the worker's own clock
    bool leaving = false; ///< refuses new leases, unless acceptWhileLeaving is set
    bool acceptWhileLeaving = false; ///< so that a test can see new work on a leaving worker
    bool failEverything = false; ///< every task that starts fails at once
    bool tags = true; ///< names its status by a tag; false: as a worker of an earlier release
    bool ignoreStop = false; ///< stop orders are confirmed and have no effect
};

class SimulatedWorker
{
public:
    /// @param boot value that names this start of the worker
    /// @param record receives an event for each start and end of a task
    SimulatedWorker(WorkerSettings settings, std::string boot, std::function<void(nlohmann::json)> record);

    /// Changes settings.
    /// @param nowMs the machine's monotonic time, here and below
    auto configure(const std::function<void(WorkerSettings &)> &change, std::int64_t nowMs) -> void;

    /// Handles a body of `POST /v1/orders`; throws nlohmann::json::exception when a field is missing or has another type.
    /// @return HTTP status and answer
    auto orders(const nlohmann::json &request, std::int64_t nowMs) -> std::pair<int, nlohmann::json>;

    /// @return the answer to `GET /v1/status`.
    auto status(std::int64_t nowMs) -> nlohmann::json;

    /// @return the tag of the status: the same as long as only remaining times and usage differ.
    auto tag(std::int64_t nowMs) -> std::string;

    /// @return whether the worker shows its tag.
    [[nodiscard]] auto tags() const -> bool;

    /// Ends every task and forgets every lease and generation.
    auto restart(const std::string &boot, std::int64_t nowMs) -> void;

    /// Ends the leases and tasks that are due; the recorded times are when they were due, not when this is called.
    auto advance(std::int64_t nowMs) -> void;

private:
    struct Lease
    {
        std::string id;
        std::string job;
        std::string holder;
        std::int64_t attempt = 0;
        std::int64_t member = 0;
        std::vector<int> slots;
        std::string payload;
        bool started = false;
        bool ended = false;
        std::string exit;
        std::string checkpoint;
        int checkpoints = 0;
        double expiresMs = 0; ///< by the worker's clock
        std::int64_t endedMs = 0;
        double workLeftMs = 0; ///< at full speed, as of progressMs
        double progressMs = 0;
        int percent = 100;
        double checkpointDoneMs = -1; ///< negative while there is no checkpoint in progress
        int shownUsage = -1; ///< negative until measured
    };

    using Outcome = std::string; ///< error text; empty for success

    auto order(const nlohmann::json &order, std::int64_t nowMs) -> Outcome;
    auto renewAll(const nlohmann::json &order, const std::string &known, std::int64_t nowMs) -> Outcome;
    auto reserve(const nlohmann::json &order, std::int64_t nowMs) -> Outcome;
    auto start(Lease &lease, std::int64_t ttlMs, std::int64_t nowMs) -> Outcome;
    auto checkpoint(Lease &lease, std::int64_t nowMs) const -> Outcome;
    auto throttle(Lease &lease, std::int64_t percent, std::int64_t nowMs) const -> Outcome;
    auto stop(Lease &lease, std::int64_t nowMs) -> Outcome;
    auto release(Lease &lease, std::int64_t nowMs) -> Outcome;
    auto end(Lease &lease, const std::string &exit, double atMs) -> void;
    auto advanceLease(Lease &lease, std::int64_t nowMs) -> void;
    auto measureUsage(std::int64_t nowMs) -> void;
    auto leaseEvent(const char *event, const Lease &lease, double atMs) const -> void;
    [[nodiscard]] auto slotError(const std::vector<int> &slots) const -> Outcome;
    [[nodiscard]] auto leaseJson(const Lease &lease, std::int64_t nowMs) const -> nlohmann::json;
    [[nodiscard]] auto generationJson() const -> nlohmann::json;
    [[nodiscard]] auto ownClock(double nowMs) const -> double;
    [[nodiscard]] auto machineClock(double ownMs) const -> double;

    WorkerSettings m_settings;
    std::string m_boot;
    std::function<void(nlohmann::json)> m_record;
    std::map<std::string, Lease> m_leases;
    std::int64_t m_counter = 0;
    std::string m_holder;
    double m_clockBase = 0; ///< machine time at which the rate was last set
    double m_ownBase = 0; ///< own time at that moment
    std::int64_t m_measuredMs = 0; ///< 0 before the first measurement
};

}

#pragma once

/// An executor of the platform for the soak: it enforces leases and fences on its own clock, and keeps a history of its runs.
///
/// @code
///   auto executor = Catkin::Soak::SoakExecutor{"i-1", lease};
///   store.put("keyed.servers", executor.id(), executor.entry());
///   executor.restart();                      // begins a new lifetime under its id and at its address, which knows nothing of the earlier one
///   executor.setCutOff(true);                // what it runs goes on; calls get no answer
///   executor.executeLateOrders();            // those that are due; to be called every few milliseconds
///   executor.announceDeparture(remaining);   // its entries show from now on that it is draining, and for how long it stays
///   auto next = Catkin::Soak::SoakExecutor{"i-2", {.port = executor.port()}};   // after vanish(): another executor at its address
///   executor.vanish();                       // refuses connections; what it ran has ended
///   for (const auto &it : executor.runs()) { ... }
/// @endcode
///
/// The payload of a job tells how its tasks behave: "ms=N" runs for N ms, "fail=N" lets the first N attempts of a task fail.

#include "util/random.h"
#include "util/units.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace Catkin::Soak
{

using SteadyTime = std::chrono::steady_clock::time_point;

/// One attempt of a task on an executor.
struct Run
{
    std::string task; ///< JOB.OCCURRENCE.STEP.INDEX
    int attempt = 0;
    std::string worker;
    SteadyTime begin;
    std::optional<SteadyTime> end; ///< nothing while it runs
    std::string how; ///< how it ended; "gone" with its executor, or with a lifetime of it
    bool isNoted = false; ///< whether a planner has said that it knows the end
    bool isLate = false; ///< whether a late order began it
    int lifetime = 0; ///< of its executor, numbered from 0
};

/// A start order that an executor received from a planner that it takes orders from.
struct StartOrder
{
    std::string task; ///< JOB.OCCURRENCE.STEP.INDEX
    int attempt = 0;
    std::string worker;
    std::string domain; ///< failure domain of the executor
    SteadyTime at; ///< when it arrived, also if it was carried out later
};

struct SoakExecutorOptions
{
    std::string domain = "z1"; ///< failure domain
    Millis lease{10'000}; ///< the longest one; longer ones are shortened
    int port = 0; ///< of its address; 0: any
    bool isCutOff = false; ///< whether it begins cut off, see SoakExecutor::setCutOff()
    /// Draws how long answers are under way, so that answers on different connections overtake each other; nothing: no time.
    std::optional<std::uint64_t> transitSeed;
    bool forgetsWhileWaiting = false; ///< whether a poll forgets the ends up to its number until it is answered, not only when it arrives
    std::optional<std::uint64_t> clockSeed; ///< draws the first reading of the clock of each lifetime; nothing: zero
    int lateOrders = 0; ///< percentage of orders that get no answer and are carried out 2 to 12 s later, by whichever lifetime is there then
    std::uint64_t lateSeed = 0; ///< draws which orders these are
};

class SoakExecutor
{
public:
    SoakExecutor(std::string id, const SoakExecutorOptions &options);
    ~SoakExecutor();
    SoakExecutor(const SoakExecutor &) = delete;
    auto operator=(const SoakExecutor &) -> SoakExecutor & = delete;

    [[nodiscard]] auto id() const -> const std::string &;
    [[nodiscard]] auto port() const -> int;
    /// @return the entry that the executor writes to the store now.
    [[nodiscard]] auto entry() -> std::string;
    /// Lets its entries show from now on that it is draining and stays for @p remaining. Calling vanish() then is left to the caller.
    auto announceDeparture(Millis remaining) -> void;
    /// @return whether it has announced its departure.
    auto isLeaving() -> bool;
    /// Ends the present lifetime without a word and begins the next one. Answers of the ended lifetime that are under way still arrive.
    auto restart() -> void;
    /// Cuts the executor off from its callers: calls are broken off, and what it runs goes on until its lease ends.
    auto setCutOff(bool isCutOff) -> void;
    /// Carries out the late orders that are due, with the token and the end of the lease that they carry.
    auto executeLateOrders() -> void;
    /// Answers orders in time from now on; those that are late already are still carried out.
    auto endLateness() -> void;
    /// Ends the process without a word: connections are refused, and what it ran has ended.
    auto vanish() -> void;
    /// @return when it vanished; nothing if it has not.
    auto goneAt() -> std::optional<SteadyTime>;
    /// @return when its last lifetime began; nothing if it is the first.
    auto restartedAt() -> std::optional<SteadyTime>;
    /// @return all attempts so far.
    auto runs() -> std::vector<Run>;
    /// @return the start orders so far, but those of planners that have been replaced.
    auto startOrders() -> std::vector<StartOrder>;
    /// @return when the last try of a start order for the task arrived that got no answer, or none in time; nothing if there was none. It may have
    /// been carried out, or may still be.
    auto unansweredStartAt(const std::string &task) -> std::optional<SteadyTime>;

private:
    struct Active
    {
        std::size_t run = 0; ///< index into m_runs
        std::int64_t endMs = 0;
        bool fails = false;
        std::int64_t beginMs = 0;
        std::int64_t stopMs = 0; ///< when a stop takes effect; 0: none was ordered
        std::int64_t lengthMs = 1;
    };
    struct End
    {
        std::int64_t number = 0;
        std::string task;
        int attempt = 0;
        std::string how;
        std::size_t run = 0; ///< index into m_runs
    };

    using Answer = void (SoakExecutor::*)(const std::string &body, httplib::Response &response);

    struct LateOrder
    {
        SteadyTime at;
        SteadyTime arrivedAt;
        Answer execute = nullptr;
        std::string body;
    };

    /// The server of one lifetime.
    struct Listener
    {
        httplib::Server server;
        std::thread thread;
        std::atomic<bool> hasEnded{false};
    };

    auto listen() -> void;
    auto joinEnded() -> void;
    auto endRuns() -> void;
    [[nodiscard]] auto isOver(int lifetime) const -> bool;
    [[nodiscard]] auto drawTransit(std::uint32_t longestMs) -> std::chrono::milliseconds;
    auto answerOrder(int lifetime, Answer execute, const httplib::Request &request, httplib::Response &response) -> void;
    [[nodiscard]] auto isForOther(const httplib::Request &request, httplib::Response &response) const -> bool;
    auto noteUnanswered(Answer execute, const std::string &body) -> void;
    auto beginLifetime() -> void;
    auto start(const std::string &text, httplib::Response &response) -> void;
    auto stop(const std::string &text, httplib::Response &response) -> void;
    auto forgetEnds(std::int64_t upTo) -> void;
    [[nodiscard]] auto lists() const -> std::string;
    auto hold(int lifetime, const httplib::Request &request, httplib::Response &response) -> void;
    auto refuse(httplib::Response &response, const char *reason) -> void;
    auto isFenced(std::int64_t token, httplib::Response &response) -> bool;
    auto extendLease(std::int64_t untilMs) -> void;
    auto advance() -> void;
    auto finish(const std::string &task, const std::string &how, std::int64_t atMs) -> void;
    [[nodiscard]] auto clock() const -> std::int64_t;

    std::string m_id;
    SoakExecutorOptions m_options;
    SteadyTime m_bornAt;
    std::int64_t m_bornMs;
    std::mutex m_mutex;
    std::optional<Random> m_transit;
    std::optional<Random> m_clocks;
    Random m_late;
    std::int64_t m_firstReading = 0; ///< of the clock of this lifetime
    bool m_isCutOff = false;
    std::optional<SteadyTime> m_lateArrival; ///< of the order that is being carried out; nothing if it is not late
    std::optional<SteadyTime> m_leavesAt; ///< as announced
    std::vector<StartOrder> m_startOrders;
    std::vector<LateOrder> m_lateOrders;
    std::map<std::string, SteadyTime> m_unansweredStarts; ///< by task
    int m_lifetime = 0;
    std::int64_t m_token = 0;
    std::int64_t m_leaseUntilMs = 0;
    std::map<std::string, Active> m_active;
    std::map<std::string, int> m_closed; ///< highest attempt of a task that was stopped or has ended; starts up to it are refused
    std::vector<End> m_ended;
    std::int64_t m_nextEnd = 1;
    std::vector<Run> m_runs;
    std::int64_t m_sequence = 0;
    std::optional<SteadyTime> m_goneAt;
    std::vector<std::unique_ptr<Listener>> m_listeners; ///< the last one is that of the present lifetime
    int m_port = 0;
};
}

#pragma once

/// An executor that tests can crash, silence and start again under its id.
///
/// It keeps leases and fence numbers as the users' pages say. The payload "ms=N" of a job lets its tasks run for N ms,
/// and "then=N" those of its later steps.

#include "httpserver.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Review
{

/// @return milliseconds of the steady clock since the program began.
auto nowMs() -> std::int64_t;

/// One run of a task.
struct Run
{
    std::string task;
    int number = 0;
    std::string executor;
    std::int64_t beginMs = 0;
    std::optional<std::int64_t> endMs; ///< nothing while it runs
    std::string how; ///< "crashed" if it ended with its executor
};

class Executor
{
public:
    Executor(std::string id, int accelerators, std::int64_t maxHoldMs);
    ~Executor();
    Executor(const Executor &) = delete;
    auto operator=(const Executor &) -> Executor & = delete;

    [[nodiscard]] auto id() const -> const std::string &;
    /// @return the entry that the executor writes now; nothing while it is down.
    auto entry() -> std::optional<std::string>;
    /// Ends its life: connections break, what ran has ended.
    auto crash() -> void;
    /// Begins a new life under the same id and address.
    auto start() -> void;
    /// Loses power: nothing is answered any more, what ran has ended.
    auto powerOff() -> void;
    auto runs() -> std::vector<Run>;
    /// @return lists that are being waited for.
    auto openLists() -> int;

    /// A list that was read is under way for so long.
    std::atomic<int> listDelayMs{0};
    /// Start orders are answered with this status and not carried out; 0: normal answers.
    std::atomic<int> refuseStarts{0};

private:
    struct Active
    {
        std::size_t run = 0;
        std::int64_t doneMs = 0;
        std::optional<std::int64_t> stopMs;
        std::string spec;
    };
    struct End
    {
        std::int64_t number = 0;
        std::size_t run = 0;
    };

    auto startOrder(const ServerRequest &request) -> ServerResponse;
    auto stopOrder(const ServerRequest &request) -> ServerResponse;
    auto list(const ServerRequest &request) -> ServerResponse;
    auto refusal(const ServerRequest &request, std::int64_t token) -> std::optional<ServerResponse>;
    [[nodiscard]] auto refuse(const char *reason) const -> ServerResponse;
    [[nodiscard]] auto answer() const -> ServerResponse;
    auto extend(std::int64_t untilMs) -> void;
    auto advance() -> void;
    auto finish(const std::string &task, const std::string &how, std::int64_t atMs) -> void;
    auto endAll(const char *how) -> void;
    auto lists() -> std::string;
    [[nodiscard]] auto clock() const -> std::int64_t;

    std::string m_id;
    int m_accelerators;
    std::int64_t m_maxHoldMs;
    int m_port = 0;
    std::mutex m_mutex;
    std::vector<Run> m_runs;
    int m_openLists = 0;
    std::atomic<bool> m_isDark{false};
    bool m_isUp = false;
    std::int64_t m_bornMs = 0; ///< since 1970
    std::int64_t m_clockBase = 0;
    std::int64_t m_token = 0;
    std::int64_t m_untilMs = 0;
    std::int64_t m_nextEnd = 1;
    std::int64_t m_sequence = 0;
    std::map<std::string, Active> m_active;
    std::map<std::string, int> m_closed; ///< highest run of a task that was stopped or has ended
    std::vector<End> m_ended;
    std::unique_ptr<HttpServer> m_server;
};

}

#pragma once

/// Follows one stream of the platform's log on a thread of its own.
///
/// @code
///   auto tail = Catkin::LogTail{log, clock, "jobs", [&](const Catkin::LogPage &page, bool restart) { fold(page, restart); }, {}};
///   tail.waitCaughtUp(Catkin::Millis{5000});
/// @endcode

#include "ports/logport.h"
#include "util/clock.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace Catkin
{

struct LogTailOptions
{
    int pageSize = 500; ///< records per read; bounds the memory of a page
    Millis longPoll{2'000}; ///< how long a read may wait for a new record
    Millis retryDelay{300}; ///< after a failed read
    int settleFailures = 3; ///< failed reads in a row, before the first complete one, after which settled() gives up
    Millis startDelay{0}; ///< spreads the first reads of instances that start together
};

class LogTail
{
public:
    /// Takes one page in; @c restart is set for the first page and when records were missed, because the log has
    /// dropped them before they were read.
    using ApplyPage = std::function<void(const LogPage &page, bool restart)>;

    /// Starts reading at the lowest retained offset.
    /// @param apply called for each page in order, also for empty ones, on the tail's thread
    LogTail(LogPort log, Clock clock, std::string stream, ApplyPage apply, const LogTailOptions &options);
    ~LogTail();
    LogTail(const LogTail &) = delete;
    auto operator=(const LogTail &) -> LogTail & = delete;

    /// Waits until every record below the end seen by the first complete read has been applied.
    /// @return whether that happened within @p limit.
    auto waitCaughtUp(Millis limit) -> bool;

    /// Waits until the record at @p offset has been applied.
    /// @return whether that happened within @p limit.
    auto waitApplied(LogOffset offset, Millis limit) -> bool;

    /// @return whether the stream has been read to its end once.
    [[nodiscard]] auto caughtUp() const -> bool;
    /// @return whether the stream has been read to its end once, or has failed to answer so often that nobody should
    /// wait for it any longer.
    [[nodiscard]] auto settled() const -> bool;
    /// @return time since the last successful read; nothing before the first.
    [[nodiscard]] auto age() const -> std::optional<Millis>;
    /// @return bytes of record data read since the start.
    [[nodiscard]] auto bytesRead() const -> std::uint64_t;

private:
    auto run() -> void;
    auto readPage() -> bool;

    LogPort m_log;
    Clock m_clock;
    std::string m_stream;
    ApplyPage m_apply;
    LogTailOptions m_options;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    LogOffset m_next{0};
    bool m_started = false;
    bool m_caughtUp = false;
    int m_failures = 0; ///< failed reads in a row
    bool m_stopping = false;
    std::optional<MonoTime> m_lastRead;
    std::atomic<std::uint64_t> m_bytesRead{0};
    std::thread m_thread; ///< last member: the thread starts when the rest stands
};

}

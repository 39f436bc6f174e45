#pragma once

/// Follows one log of the record store in a thread of its own: a snapshot first, then every new record.
///
/// @code
///   auto tail = Catkin::RecordTail{store, Catkin::RecordLog::Jobs, options, clock, handlers};
///   tail.start();
///   auto age = clock.mono() - tail.readAt();
/// @endcode

#include "ports/recordstore.h"
#include "util/clock.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace Catkin
{

struct TailOptions
{
    const char *name = "tail"; ///< of the thread, and in log lines
    Millis wait{800}; ///< how long a read waits for a record
    Millis answer{900}; ///< how much longer than its wait a read may take, for a slow store and a far region
    Millis pace{150}; ///< least time between two reads, so that records arrive in groups
};

struct TailHandlers
{
    std::function<void()> reset; ///< a snapshot follows; what was known before is void
    std::function<void(const KeyedRecord &)> record;
    std::function<void(LogOffset end, MonoTime sentAt)> caughtUp; ///< everything stored when the read was sent has been handed over
    std::function<void()> lost; ///< the log cannot be read
};

class RecordTail
{
public:
    RecordTail(RecordStore store, RecordLog log, const TailOptions &options, Clock clock, TailHandlers handlers);
    ~RecordTail();
    RecordTail(const RecordTail &) = delete;
    auto operator=(const RecordTail &) -> RecordTail & = delete;

    auto start() -> void;
    auto stop() -> void;
    /// Sets the least time between two reads from now on.
    auto setPace(Millis pace) -> void;

    /// @return when the last successful read was sent; nothing before the first.
    [[nodiscard]] auto readAt() const -> std::optional<MonoTime>;

private:
    auto run() -> void;
    auto readOnce() -> bool;
    auto snapshot() -> bool;
    auto pause(Millis span) -> void;
    auto handOver(const RecordPage &page, MonoTime sentAt) -> void;
    auto noteMalformed(std::uint64_t n) -> void;
    auto readLost(const Error &error) -> void;

    RecordStore m_store;
    RecordLog m_log;
    TailOptions m_options;
    Clock m_clock;
    TailHandlers m_handlers;
    std::atomic<std::int64_t> m_paceMs;
    std::atomic<std::int64_t> m_readAtMicros{0};
    std::optional<LogOffset> m_next;
    bool m_available = true;
    std::uint64_t m_malformed = 0; ///< records left out and not yet logged
    std::optional<MonoTime> m_malformedLoggedAt;
    std::mutex m_mutex; ///< leaf; guards m_stopping
    std::condition_variable m_changed;
    bool m_stopping = false;
    std::thread m_thread;
};

}

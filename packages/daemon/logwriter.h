#pragma once

/// Groups records per append and limits the rate of appends, so that all instances together stay
/// below what the platform's log takes.
///
/// @code
///   auto writer = Catkin::LogWriter{log, clock, {}};
///   auto offset = writer.append("jobs", record);            // blocks until the group is appended
///   writer.appendEventually("jobs", finishRecord);          // retried until the log takes it
/// @endcode

#include "ports/logport.h"
#include "util/clock.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Catkin
{

struct LogWriterOptions
{
    Millis minPeriod{50}; ///< mean time between two appends of one stream: 20 a second, 160 for 8 instances
    int burst = 10; ///< appends of one stream that may follow each other at once after a quiet time
    std::size_t maxGroupBytes = std::size_t{256} << 10U;
    std::size_t maxPendingBytes = std::size_t{8} << 20U; ///< records beyond this are refused
    Millis retryDelay{500}; ///< before appendEventually() tries again, doubled up to maxRetryDelay
    Millis maxRetryDelay{8'000};
};

class LogWriter
{
public:
    LogWriter(LogPort log, Clock clock, const LogWriterOptions &options);
    ~LogWriter();
    LogWriter(const LogWriter &) = delete;
    auto operator=(const LogWriter &) -> LogWriter & = delete;

    /// Appends one record in the next group and waits for the log's answer.
    /// @return the record's offset; ErrorCode::NotSent when the record is certainly not in the log,
    /// ErrorCode::Unknown when it may be, ErrorCode::Limit when too much is pending.
    auto append(const std::string &stream, std::string record) -> Result<LogOffset>;

    /// Appends a record that must not be lost while this process lives; retries after every failure, so the
    /// record may stand in the log twice.
    /// @return ErrorCode::Limit when too much is pending.
    auto appendEventually(const std::string &stream, std::string record) -> Result<void>;

    /// Waits until nothing is pending or @p limit has passed.
    /// @return the number of records that are still pending.
    auto flush(Millis limit) -> std::size_t;

    /// @return bytes of records not yet appended.
    [[nodiscard]] auto pendingBytes() const -> std::size_t;
    /// @return appends made and records in them, since the start.
    [[nodiscard]] auto counts() const -> std::pair<std::uint64_t, std::uint64_t>;

private:
    using Done = std::function<void(Result<LogOffset>)>;

    struct Pending
    {
        std::string record;
        Done done; ///< empty for records of appendEventually()
    };

    struct Stream
    {
        std::deque<Pending> queue;
        std::thread thread;
        std::size_t inFlight = 0;
        MonoTime earliest{}; ///< by which time the appends so far would have been made at the mean rate
    };

    auto enqueue(const std::string &name, Pending pending) -> Result<void>;
    auto run(const std::string &name, Stream &stream) -> void;
    auto pacingDelay(Stream &stream) -> Micros;
    auto takeGroup(Stream &stream) -> std::vector<Pending>;
    auto finishGroup(Stream &stream, std::vector<Pending> group, const Result<LogOffset> &result) -> void;

    LogPort m_log;
    Clock m_clock;
    LogWriterOptions m_options;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Stream> m_streams;
    std::size_t m_pendingBytes = 0;
    std::uint64_t m_appends = 0;
    std::uint64_t m_records = 0;
    bool m_stopping = false;
};

}

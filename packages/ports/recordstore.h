#pragma once

/// Port to a store of keyed records: an append-only log a partition, of which the newest record of each key is kept.
///
/// @code
///   auto snapshot = store.newest(partition);
///   auto page = store.read(partition, snapshot.value().end, Catkin::Millis{500});
///   auto done = store.append(partition, {{.key = "j/17", .value = text}}, {});
/// @endcode

#include "util/outcome.h"
#include "util/units.h"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Catkin
{

/// Which log is meant; a deployment maps these to its own names.
enum class RecordLog {
    Configuration, ///< what operators wrote; read only
    Workers, ///< what workers say of themselves; read only
    Jobs, ///< jobs, cancellations and instances, written by any instance
    JobsSpare, ///< the same; an instance that cannot write to one writes to the other
    States, ///< leadership and the states of jobs that callers see; written by the planner, followed by every instance
    Attempts, ///< where tasks were placed, and the jobs they belong to; read only by a new planner
};

/// The logs that hold accepted jobs. A record may be in either, or in both after an append in doubt.
constexpr auto jobLogs = std::array{RecordLog::Jobs, RecordLog::JobsSpare};

struct KeyedRecord
{
    std::string key;
    std::string value; ///< empty: the key is dropped
    LogOffset offset; ///< set by the store
};

struct RecordPage
{
    LogOffset end; ///< at which to continue reading
    std::vector<KeyedRecord> records;
    std::uint64_t malformed = 0; ///< records that could not be read and were left out
};

/// Conditions of an append; a store that finds one unmet appends nothing.
struct AppendGuard
{
    std::optional<LogOffset> at; ///< the log must end here
    std::optional<std::int64_t> epoch; ///< of the planner; a higher one seen before refuses the append
    std::int64_t sequence = 0; ///< number of the append in its epoch; a repeat has no second effect
};

struct RecordStore
{
    /// Appends all records or none; without records, only the guard's epoch takes effect.
    /// @return where the log ends now; ErrorCode::NotSent when nothing was done, ErrorCode::Conflict when the guard's offset did not
    /// match, ErrorCode::StaleGeneration when a higher epoch exists, ErrorCode::Limit or ErrorCode::InvalidInput when the store refuses these
    /// records whenever they are sent, ErrorCode::Unknown when the append may take or have taken effect.
    std::function<Result<LogOffset>(RecordLog log, const std::vector<KeyedRecord> &records, const AppendGuard &guard, Millis timeout)> append;

    /// Reads from an offset, waiting up to @c wait for a record.
    /// @return ErrorCode::NotFound when records from that offset on are gone: read newest() instead.
    std::function<Result<RecordPage>(RecordLog log, LogOffset from, Millis wait, Millis timeout)> read;

    /// @return the newest record of each key; continue with read() at the page's end, whose records may be newer ones of the same keys.
    std::function<Result<RecordPage>(RecordLog log, Millis timeout)> newest;

    /// Names other instances, as "ip:port", through which calls may go when the store does not answer this one.
    std::function<void(const std::vector<std::string> &addresses)> setRelays;

    /// Tries the store directly for each log whose calls go through another instance, if a try is due; for a thread that nothing
    /// waits for.
    std::function<void(Millis timeout)> probe;

    /// @return whether the store answers this instance directly, for some log at least, as far as its calls have shown.
    std::function<bool()> isReached;
};

}

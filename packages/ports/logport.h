#pragma once

/// Port to the platform's append-only log.
///
/// @code
///   auto offset = log.append("jobs", {record});
///   auto page = log.read("jobs", offset.value(), 100, Catkin::Millis{0});
/// @endcode

#include "util/outcome.h"
#include "util/units.h"

#include <functional>
#include <string>
#include <vector>

namespace Catkin
{

/// One record as stored by the log.
struct LogRecord
{
    LogOffset offset; ///< position in the stream
    WallTime time; ///< when the log stored it, by the log's clock
    std::string data; ///< the record's text
};

/// A run of consecutive records.
struct LogPage
{
    LogOffset first; ///< lowest offset that the log still retains
    LogOffset next; ///< offset at which to continue reading
    std::vector<LogRecord> records;
};

/// Functions to reach the log; each may block up to its timeout and may be called from any thread.
struct LogPort
{
    /// Appends records in one atomic group.
    /// @return the offset of the first; ErrorCode::NotSent when the log certainly holds none of them,
    /// ErrorCode::InvalidInput likewise because a record is not UTF-8, ErrorCode::Unknown when it may hold all of them.
    std::function<Result<LogOffset>(const std::string &stream, const std::vector<std::string> &records)> append;

    /// Reads from an offset, waiting up to @c wait for a record to appear.
    /// @return the records from the offset on, or from the first retained one when that is higher, at most @c limit;
    /// ErrorCode::Unavailable without a complete answer, ErrorCode::Protocol when the answer is not such a page.
    std::function<Result<LogPage>(const std::string &stream, LogOffset from, int limit, Millis wait)> read;
};

}

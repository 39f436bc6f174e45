#pragma once

/// Port to the executors, the backend servers that answer requests.
///
/// @code
///   auto answer = executors.execute("127.0.0.1:9000", call);
///   if (!answer && Catkin::certainlyNotRun(answer.error())) { ... }
/// @endcode

#include "util/ids.h"
#include "util/outcome.h"
#include "util/units.h"

#include <functional>
#include <string>

namespace Catkin
{

/// One attempt of a request.
struct ExecutorCall
{
    RequestId request; ///< unique for each attempt; the executor echoes it
    KindId kind;
    WorkspaceId workspace;
    Millis deadline; ///< time left for the answer
    std::string payload;
};

/// A complete answer whose request id, length and digest matched.
struct ExecutorAnswer
{
    std::string body;
    Millis cost; ///< executor time as reported by the executor; zero when it did not say
};

/// @return whether @p error of ExecutorPort::execute proves that the request did not and will not run.
inline auto certainlyNotRun(const Error &error) -> bool
{
    return error.code == ErrorCode::NotSent || error.code == ErrorCode::Limit;
}

struct ExecutorHealth
{
    int slots = 0;
    int busy = 0;
    int connections = 0;
    int maxConnections = 0;
    bool leaving = false;
};

/// Functions to reach an executor by "ip:port"; each blocks up to its deadline and may be called from any thread.
struct ExecutorPort
{
    /// @return the answer; ErrorCode::NotSent when no connection could be made and ErrorCode::Limit when the executor
    /// refused the request before any work: in both cases it certainly did not and will not run; ErrorCode::Unknown,
    /// Timeout or Protocol when it may have run.
    std::function<Result<ExecutorAnswer>(const std::string &address, const ExecutorCall &call)> execute;

    /// @return the executor's load; ErrorCode::Unavailable when it did not answer in time.
    std::function<Result<ExecutorHealth>(const std::string &address, Millis timeout)> health;
};

}

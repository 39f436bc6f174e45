#pragma once

/// Port to the executors, the backend servers that answer requests.
///
/// @code
///   auto answer = executors.execute("127.0.0.1:9000", call);
///   if (!answer && answer.error().code == Catkin::ErrorCode::NotSent) { ... }   // certainly did not run
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
    /// @return the answer; ErrorCode::NotSent when the request certainly did not and will not run (no connection,
    /// or the executor refused it before any work); ErrorCode::Unknown, Timeout or Protocol when it may have run.
    std::function<Result<ExecutorAnswer>(const std::string &address, const ExecutorCall &call)> execute;

    /// @return the executor's load; ErrorCode::Unavailable when it did not answer in time.
    std::function<Result<ExecutorHealth>(const std::string &address, Millis timeout)> health;
};

}

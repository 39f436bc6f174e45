#pragma once

/// What happened during a test, as plain records. All times are milliseconds of the machine's monotonic clock.
///
/// @code
///   auto history = Catkin::History{};
///   history.calls.push_back({.key = "k1", .payload = payload, .result = Catkin::CallResult::Answer, .answer = answer, .sentMs = t1});
///   Catkin::readExecutor("executor-1", fetchHistory(*executor).value(), endMs, history);
///   CHECK(Catkin::checkAll(history, bounds) == std::vector<std::string>{});
/// @endcode

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Catkin
{

enum class CallResult { Answer, NotRun, OutcomeUnknown, ConnectionLost };

/// One call of a caller: one request, or one submission of a job.
struct Call
{
    std::string key;
    bool idempotent = false; ///< whether the work may run more than once
    std::string payload;
    CallResult result = CallResult::ConnectionLost;
    std::string answer; ///< for CallResult::Answer to a request; empty for a job
    std::int64_t sentMs = 0;
};

/// One execution of a request by an executor.
struct Execution
{
    std::string server;
    std::string key;
    std::int64_t startMs = 0;
};

/// One run of a task of a gang.
struct TaskRun
{
    std::string server;
    std::string key; ///< of the job; empty when the payload has none
    std::string job;
    std::int64_t attempt = 0;
    std::int64_t member = 0;
    std::int64_t startMs = 0;
    std::int64_t endMs = 0;
    bool finished = false; ///< whether it ended by itself and successfully
};

/// One lease from its reservation to its end.
struct LeaseSpan
{
    std::string worker;
    std::string lease;
    std::vector<int> slots;
    std::int64_t fromMs = 0;
    std::int64_t toMs = 0;
};

/// A configuration version as one instance process reported it, or as one caller saw it; in the order of observation.
struct VersionSeen
{
    std::string observer;
    std::int64_t version = 0;
};

/// A time during which a backend server was leaving.
struct Leaving
{
    std::string server;
    std::int64_t fromMs = 0;
    std::int64_t toMs = 0;
};

struct History
{
    std::vector<Call> calls;
    std::vector<Execution> executions;
    std::vector<TaskRun> runs;
    std::map<std::string, std::int64_t> gangSizes; ///< tasks of each job
    std::vector<LeaseSpan> leases;
    std::vector<VersionSeen> versions;
    std::vector<Leaving> leaving;
};

}

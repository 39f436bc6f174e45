#pragma once

/// Log lines that follow an end from its worker's list to its acknowledgement: what was listed and what became of it, and up to which
/// number a worker may forget its ends. The lines of a planning pass are grouped by worker.
///
/// @code
///   Catkin::noteEnd(report, {worker, born}, {.completion = completion, .use = Catkin::EndUse::Applied});
///   Catkin::noteAcknowledgement(report, {worker, born}, 57);
///   for (const auto &it : Catkin::takeEndEntries(report)) { ... }
/// @endcode

#include "policy/poollogentry.h"
#include "policy/workermessages.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Catkin
{

/// One lifetime of a worker; the numbers of its ends begin anew with the next one.
struct WorkerLifetime
{
    WorkerId worker;
    Incarnation born;

    auto operator<=>(const WorkerLifetime &other) const = default;
};

/// What a listed end changed.
enum class EndUse {
    Applied, ///< the task is done or will be placed again
    TaskDone, ///< nothing: the task was done before, for example by another member of its gang
    Superseded, ///< nothing: the task has a later attempt
    JobFinal, ///< nothing: the job has ended
    Unknown, ///< nothing: the task is not known
};

struct ListedEnd
{
    AttemptCompletion completion;
    EndUse use = EndUse::Applied;
};

struct EndReport
{
    std::map<WorkerLifetime, std::vector<ListedEnd>> listed;
    std::map<WorkerLifetime, std::int64_t> acknowledged;
};

/// @return the word for @p kind in log lines.
auto completionName(CompletionKind kind) -> const char *;

/// @return worker and lifetime as one field value of a log line.
auto describeLifetime(const WorkerLifetime &lifetime) -> std::string;

auto noteEnd(EndReport &report, const WorkerLifetime &lifetime, ListedEnd end) -> void;

/// @param upTo highest number of the ends that the worker may forget
auto noteAcknowledgement(EndReport &report, const WorkerLifetime &lifetime, std::int64_t upTo) -> void;

/// @return the lines of @p report, which is empty afterwards.
auto takeEndEntries(EndReport &report) -> std::vector<PoolLogEntry>;

}

#pragma once

/// Order of waiting groups of tasks under load beyond the capacity.
///
/// By the latest start alone, work that has missed its objective goes first, so that all other work of its priority becomes late as well. Within a
/// priority, work that can still meet its objective therefore goes before late work, and late work before work whose result has no value any more:
/// @code
///   auto urgency = Catkin::urgencyOf({.since = since, .objective = objective, .remaining = remaining}, now);
///   auto positions = core.m_overload.rank(groups, {}, now);       // one for each group; smaller ones are placed first
/// @endcode
/// Positions are by the latest start alone while no group is late.
///
/// OverloadOrder is the planner's memory of the last seconds. It is not stored; the next planner begins with an empty one.

#include "policy/pooljob.h"
#include "policy/poollogentry.h"

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace Catkin
{

/// What a start now can still achieve.
enum class WaitUrgency {
    InTime, ///< the job can end within its objective
    Late, ///< the job ends after its objective, and its result still has a value
    Worthless, ///< the job ends when its result has no value any more
};

/// @return the word for @p urgency in log lines and metrics.
auto waitUrgencyName(WaitUrgency urgency) -> const char *;

/// Work whose turn has come.
struct WaitingWork
{
    MonoTime since; ///< from when its objective counts
    Micros objective{0};
    Micros remaining{0}; ///< estimated time from its start to the end of its job
    bool lasting = false; ///< runs until it is cancelled, so that it has no end to be late
};

/// @return what a start at @p now can still achieve; InTime for lasting work.
auto urgencyOf(const WaitingWork &work, MonoTime now) -> WaitUrgency;

/// @return the longest chain of estimates from the start of @p step to the end of the job.
auto remainingChain(const PoolJob &job, int step) -> Millis;

/// A group as OverloadOrder sees it.
struct OrderedGroup
{
    TaskKey id; ///< of its first task
    WorkspaceId workspace;
    int priority = 0;
    bool guaranteed = false;
    WaitingWork work;
    MonoTime latestStart;
};

/// Place of a group among those of its priority and guarantee.
struct GroupPosition
{
    WaitUrgency urgency = WaitUrgency::InTime; ///< that of a group whose capacity is being freed does not fall
    bool overShare = false; ///< its workspace has had more than its share of the started work
    MonoTime time; ///< latest start; for worthless work, since when it waits

    auto operator<=>(const GroupPosition &other) const = default;
};

/// Numbers of waiting groups by urgency.
using UrgencyCounts = std::array<int, 3>;

class OverloadOrder
{
public:
    /// @param heldPriorities priorities that keep the shares of the last call, so that a search over several passes misses no group
    /// @return the position of each group, in the order of @p groups.
    auto rank(const std::vector<OrderedGroup> &groups, const std::set<int> &heldPriorities, MonoTime now) -> std::vector<GroupPosition>;

    /// Counts work that starts outside a guarantee towards its workspace's share.
    /// @param coreSeconds the amount of work
    auto noteStarted(const WorkspaceId &workspace, int priority, double coreSeconds, MonoTime now) -> void;

    /// Reports that capacity is being freed or kept for a group, which therefore keeps its position.
    auto noteFilling(const TaskKey &group, const GroupPosition &position, MonoTime now) -> void;

    /// Reports that other work is stopped for a group, which goes first in its class until it has started.
    auto noteFirst(const TaskKey &group, MonoTime now) -> void;

    /// @return what has happened since the last call, for the log.
    auto takeLog() -> std::vector<PoolLogEntry>;
    /// @return waiting groups by their own urgency, as of the last rank().
    [[nodiscard]] auto waiting() const -> const UrgencyCounts &;
    /// @return the number of records that are kept, for tests.
    [[nodiscard]] auto records() const -> std::size_t;

private:
    /// Work started by a workspace in each second of the window.
    struct StartedWork
    {
        std::array<double, 10> seconds{};
        std::int64_t newest = 0; ///< second of the last entry
    };
    /// A group whose capacity is being freed.
    struct Filling
    {
        WaitUrgency urgency = WaitUrgency::InTime;
        bool goesFirst = false; ///< see noteFirst()
        MonoTime lastSeen;
    };
    /// The turn of a group that has waited for long.
    struct LongWaitTurn
    {
        MonoTime since; ///< of the group's wait
        TaskKey group;
        MonoTime began;
    };
    using PriorityClass = std::pair<int, bool>;

    static auto sumOf(const StartedWork &work, MonoTime now) -> double;
    auto forgetOld(MonoTime now) -> void;
    auto logTurn(const OrderedGroup &group, std::size_t waiting, MonoTime now) -> void;
    auto measureShares(const std::vector<OrderedGroup> &groups, const std::set<int> &overloaded, const std::set<int> &heldPriorities, MonoTime now) -> void;
    auto giveTurns(const std::vector<OrderedGroup> &groups, const std::vector<GroupPosition> &positions, MonoTime now) -> void;

    std::map<std::pair<int, WorkspaceId>, StartedWork> m_started;
    std::set<std::pair<int, WorkspaceId>> m_overShare;
    std::map<TaskKey, Filling> m_filling;
    std::map<PriorityClass, LongWaitTurn> m_turns;
    UrgencyCounts m_waiting{};
    std::vector<PoolLogEntry> m_log;
};

}

#pragma once

/// One placement pass of PoolCore: sorts the groups of tasks that can start, and places them on workers.
///
/// @code
///   Catkin::PoolPlacer{core, now, wall}.place(effects);
/// @endcode
///
/// Groups are placed by priority; within priority 0, those within their workspace's guarantee come first. Otherwise equal
/// groups are placed by the latest time at which a start still meets the objective.
///
/// A group of priority 0 that finds too little free capacity preempts work of lower priorities. Within a guarantee, it
/// also preempts priority-0 work beyond a guarantee. Other groups wait. The first waiting group of each priority reserves
/// the capacity on which it can start soonest, so that small work cannot starve a large gang.

#include "policy/poolcore.h"
#include "policy/poolplacement.h"

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace Catkin
{

/// Tasks of one step and occurrence that can start now.
struct TaskGroup
{
    PoolJobState *job = nullptr;
    const PoolQueue *queue = nullptr;
    int occurrence = 0;
    int step = 0;
    std::vector<int> tasks; ///< indices of the waiting tasks
    bool guaranteed = false; ///< whether its job is within the workspace's guaranteed accelerators
    MonoTime since; ///< when this planner first saw the job, or when the occurrence was due if that is later
    MonoTime latestStart; ///< a start until then still meets the objective if the caller's estimate is right
};

class PoolPlacer
{
public:
    PoolPlacer(PoolCore &core, MonoTime now, WallTime wall);

    /// Places the groups that fit: adds their start orders to @p effects. Marks the attempts that they preempt as stopping.
    auto place(PoolEffects &effects) -> void;

private:
    /// Which capacity of a worker a placement may use.
    enum class CapacityKind {
        Free,
        FreeSoon, ///< free capacity and that of attempts being stopped
        Preemptible, ///< FreeSoon and the capacity of attempts that the group may preempt
        Eventual, ///< FreeSoon and the capacity of all other attempts, once they end
    };
    /// A worker's capacity that is left in this pass.
    struct Slot
    {
        PoolCore::Worker *worker = nullptr;
        Resources free;
        Resources freeSoon;
        bool usable = false;
    };

    /// An attempt that may be preempted.
    struct Victim
    {
        int priority = 0;
        double loss = 0.0; ///< core-seconds of work that are lost when it is stopped
        PoolCore::AttemptKey key;
        Resources resources;
    };

    /// Groups with the same key compete for the same capacity: after one does not fit, those that need at least as much are
    /// skipped for the rest of the pass.
    using ShapeKey = std::tuple<CapacityKind, Spread, bool, ServiceId, std::int64_t, std::int64_t, std::int64_t, std::string, std::string>;

    /// Size of a group that did not fit.
    struct RuledOut
    {
        std::size_t tasks = 0;
        double work = 0.0; ///< in core-seconds
    };

    auto shapeOf(const TaskGroup &group, CapacityKind kind, Spread spread) const -> ShapeKey;
    auto isRuledOut(const TaskGroup &group, CapacityKind kind, Spread spread) const -> bool;
    auto ruleOut(const TaskGroup &group, CapacityKind kind, Spread spread) -> void;
    auto collectGroups() -> void;
    auto collectStep(PoolJobState &state, const PoolQueue &queue, int occurrence, int step) -> void;
    auto markGuaranteed() -> void;
    auto sortGroups() -> void;
    auto collectSlots() -> void;
    auto candidates(const TaskGroup &group, CapacityKind kind) const -> std::vector<WorkerCandidate>;
    auto addReclaimable(const TaskGroup &group, CapacityKind kind, const Slot &slot, WorkerCandidate &candidate) const -> void;
    auto placeGroup(TaskGroup &group, PoolEffects &effects) -> bool;
    auto placeGang(TaskGroup &group, Spread spread, PoolEffects &effects) -> bool;
    auto reserveFreeSoon(const TaskGroup &group, Spread spread) -> bool;
    auto preempt(const TaskGroup &group, Spread spread) -> bool;
    auto preemptOn(const TaskGroup &group, Slot &slot, const Resources &need) -> void;
    auto victimsOn(const TaskGroup &group, const Slot &slot) const -> std::vector<Victim>;
    auto measureUrgentDemand() -> void;
    auto leavesReserve(const TaskGroup &group) const -> bool;
    auto yieldsToUrgent(const TaskGroup &group) const -> bool;
    auto hasAmpleSlack(const TaskGroup &group) const -> bool;
    auto logWait(const TaskGroup &group) -> void;
    auto reserveCapacity(const TaskGroup &group) -> void;
    auto start(TaskGroup &group, const std::vector<int> &tasks, const std::vector<std::size_t> &slots, PoolEffects &effects) -> void;
    auto reserveOn(Slot &slot, const Resources &need) -> void;
    auto mayPreempt(const TaskGroup &group, const PoolCore::AttemptKey &key, const PoolCore::Allocation &victim) const -> bool;
    auto lossOf(const PoolCore::AttemptKey &key, const PoolCore::Allocation &it) const -> double;
    auto workOf(const TaskGroup &group) const -> double;
    auto remainingOf(const PoolCore::AttemptKey &key, const PoolCore::Allocation &it) const -> double;
    auto fitsOneRack(const TaskGroup &group) -> bool;
    auto spec(const TaskGroup &group) const -> const PoolStep &;

    PoolCore &m_core;
    MonoTime m_now;
    WallTime m_wall;
    std::vector<TaskGroup> m_groups;
    std::vector<Slot> m_slots;
    std::set<JobId> m_guaranteedJobs;
    std::set<int> m_blockedPriorities;
    std::map<ShapeKey, RuledOut> m_ruledOut;
    /// Most tasks of a shape that one rack of idle workers can take.
    std::map<std::tuple<ServiceId, std::int64_t, std::int64_t, std::int64_t, int>, int> m_maxTasksInRack;
    std::int64_t m_freeAccelerators = 0;
    std::int64_t m_urgentReserve = 0; ///< accelerators kept free of work of lower priorities
};

}

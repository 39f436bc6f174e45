#pragma once

/// One placement pass of PoolCore: orders the groups of tasks that can start, and finds room for them.
///
/// @code
///   Catkin::PoolPlacer{core, now, wall}.place(effects);
/// @endcode
///
/// Order: work for priority 0 within its workspace's guarantee, other work of priority 0, then by priority and by the
/// latest time at which a start still meets the objective. A group of priority 0 that finds no free room takes it from
/// lower priorities, and, within a guarantee, from priority-0 work beyond one. Other groups wait; the first one that
/// waits in each priority keeps the room that it needs next, so that small work cannot starve a large gang.

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
    std::vector<int> tasks; ///< indices
    bool guaranteed = false;
    MonoTime since; ///< when the job was accepted, or the occurrence was due
    MonoTime latestStart; ///< that still meets the objective by the caller's estimate
};

class PoolPlacer
{
public:
    PoolPlacer(PoolCore &core, MonoTime now, WallTime wall);

    /// Places what fits; adds start orders to @p effects and marks attempts to be stopped.
    auto place(PoolEffects &effects) -> void;

private:
    /// What a placement may count as room.
    enum class CapacityKind {
        Free,
        FreeSoon, ///< with that of attempts being stopped
        Preemptible, ///< with that of attempts that the group may preempt
        Eventual, ///< with that of all work that will end by itself
    };
    struct Slot
    {
        PoolCore::Worker *worker = nullptr;
        Resources free;
        Resources soon;
        bool usable = false;
    };

    struct Victim
    {
        int priority = 0;
        double loss = 0.0; ///< core-seconds of work that its stop loses
        PoolCore::AttemptKey key;
        Resources resources;
    };

    /// What two groups must share to find the same room: a group that finds none rules out those that need at least as much.
    using ShapeKey = std::tuple<CapacityKind, Spread, bool, ServiceId, std::int64_t, std::int64_t, std::int64_t, std::string, std::string>;

    /// A group that found no room.
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
    auto reserveSoon(const TaskGroup &group, Spread spread) -> bool;
    auto preempt(const TaskGroup &group, Spread spread) -> bool;
    auto preemptOn(const TaskGroup &group, Slot &slot, const Resources &need) -> void;
    auto victimsAt(const TaskGroup &group, const Slot &slot) const -> std::vector<Victim>;
    auto measureUrgent() -> void;
    auto leavesReserve(const TaskGroup &group) const -> bool;
    auto yieldsToUrgent(const TaskGroup &group) const -> bool;
    auto isPatient(const TaskGroup &group) const -> bool;
    auto noteWait(const TaskGroup &group) -> void;
    auto reserveCapacity(const TaskGroup &group) -> void;
    auto start(TaskGroup &group, const std::vector<int> &tasks, const std::vector<std::size_t> &slots, PoolEffects &effects) -> void;
    auto take(Slot &slot, const Resources &need) -> void;
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
    std::map<ShapeKey, RuledOut> m_ruledOut; ///< in this pass
    std::map<std::tuple<ServiceId, std::int64_t, std::int64_t, std::int64_t, int>, int> m_mostInRack; ///< tasks of a shape in the emptied rack that takes most
    std::int64_t m_freeAccelerators = 0;
    std::int64_t m_reserve = 0; ///< accelerators to keep free of work of lower priorities
};

}

#pragma once

/// One placement pass of PoolCore: sorts the groups of tasks that can start, and places them on workers.
///
/// @code
///   Catkin::PoolPlacer{core, now, wall}.place(effects);
/// @endcode
///
/// Groups are placed by priority; within priority 0, those within their workspace's guarantee come first. Otherwise equal
/// groups are placed by the latest time at which a start still meets the objective; when more waits than can meet it, see
/// overloadorder.h.
///
/// A group of priority 0 that finds too little free capacity preempts work of lower priorities. Within a guarantee, it
/// also preempts priority-0 work beyond a guarantee. Other groups wait. The first waiting group of each priority reserves
/// the capacity on which it can start soonest, so that small work cannot starve a large gang.
///
/// No group waits without a bound for one that cannot start:
/// - A group that no listed worker can take, even idle, is left out of everything else. Its job is set aside, with a reason for its caller,
///   until the workers change.
/// - A reservation counts no capacity of tasks that run until they are cancelled. It keeps groups that would fit from starting for a limited
///   time, then it is open to them for a while. The time grows with the wait of the group that reserves, so that this one starts as well
///   once the time is longer than the work that it waits for.
/// - A pass that has searched in vain for long enough leaves the rest of a class of groups to the next pass, which goes on from there.
/// - A preference for one rack and the reserve for urgent work delay a group for a limited time while most of the capacity is idle. Their
///   time and that of a reservation do not add up.
///
/// After all groups have been placed, at most one long-running step of an evacuated failure domain is stopped, to be placed by a later pass on
/// capacity that is free now; see evacuationmoves.h.
///
/// A pass places no more than can be started soon (PoolOptions::maxOpenStarts and linkBytesPerSecond): start orders that wait would hold
/// capacity, gangs of which some members have started would wait for the others, and a full link delays stop orders, polls and renewals.
/// The order of the groups says whose start comes first.

#include "policy/poolcore.h"
#include "policy/poolplacement.h"
#include "policy/shapeguarantee.h"

#include <map>
#include <optional>
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
    /// Those of them that are to be placed on the worker of their last attempt, by worker; see poollatestarts.cpp.
    std::map<WorkerId, std::vector<int>> inPlace;
    bool guaranteed = false; ///< whether its job is within the workspace's guaranteed accelerators
    MonoTime since; ///< when this planner first saw the job, or when the occurrence was due if that is later
    MonoTime readySince; ///< when the turn of its waiting tasks came, as far as this planner knows
    MonoTime latestStart; ///< a start until then still meets the objective if the caller's estimate is right
    Micros objective{0}; ///< of its job, counted from since
    GroupPosition position; ///< among groups of its priority and guarantee
};

class PoolPlacer
{
public:
    PoolPlacer(PoolCore &core, MonoTime now, WallTime wall);

    /// Places the groups that fit: adds their start orders to @p effects. Marks the attempts that they preempt as stopping.
    auto place(PoolEffects &effects) -> void;

private:
    /// What keeps a group from starting although capacity may do.
    enum class HoldCause : unsigned {
        Reservation,
        OneRack,
        UrgentReserve,
        Searches,
        Starts,
    };
    /// Which capacity of a worker a placement may use.
    enum class CapacityKind {
        Free,
        FreeSoon, ///< free capacity and that of attempts being stopped
        Preemptible, ///< FreeSoon and the capacity of attempts that the group may preempt
        Eventual, ///< FreeSoon and the capacity of all other attempts that end by themselves
        Unreserved, ///< free capacity, and what reserveCapacity() has taken from it
    };
    /// An attempt on a worker, and what stopping it would cost.
    struct Victim
    {
        double loss = 0.0; ///< core-seconds of work that are lost when it is stopped
        const PoolCore::AttemptKey *key = nullptr;
        const PoolCore::Allocation *allocation = nullptr;
        bool guaranteed = false; ///< its job is within its workspace's guarantee
    };

    /// A worker's capacity that is left in this pass.
    struct Slot
    {
        PoolCore::Worker *worker = nullptr;
        Resources free;
        Resources freeSoon;
        Resources idle; ///< free capacity before reservations
        Resources held; ///< reserved by reserveCapacity()
        std::int64_t guaranteed = 0; ///< accelerators of guaranteed work that runs here or is to start here
        bool usable = false;
        std::size_t rack = 0; ///< index of the worker's rack in this pass
        mutable std::optional<std::vector<Victim>> attempts; ///< those of known jobs, the smallest loss first; made when it is first needed
    };

    /// Reservations on the workers of a service.
    struct Hold
    {
        JobId job; ///< the first that reserves
        Micros waited{0}; ///< longest wait of a group that reserves
    };

    /// A group that did not fit. Groups that need at least as much of the same capacity are skipped for the rest of the pass, so that a
    /// long backlog of jobs which all differ a little costs one search for each size that matters, not one for each job.
    struct RuledOut
    {
        CapacityKind kind = CapacityKind::Free;
        Spread spread = Spread::Anywhere;
        bool guaranteed = false;
        const ServiceId *service = nullptr;
        const PoolStep *step = nullptr;
        std::size_t tasks = 0;
        double work = 0.0; ///< in core-seconds
    };

    auto isRuledOut(const TaskGroup &group, CapacityKind kind, Spread spread) const -> bool;
    auto ruleOut(const TaskGroup &group, CapacityKind kind, Spread spread) -> void;
    static auto classOf(const TaskGroup &group) -> PoolCore::PriorityClass;
    static auto rankOf(const TaskGroup &group) -> PoolCore::GroupRank;
    static auto idOf(const TaskGroup &group) -> TaskKey;
    auto noteFilling(const TaskGroup &group) -> void;
    /// Searches in vain of this pass for groups of the class of @p group.
    auto failedSearches(const TaskGroup &group) -> int &;
    auto isLeftOut(const TaskGroup &group) -> bool;
    auto keepSearchResume() -> void;
    auto collectGroups() -> void;
    auto collectStep(PoolJobState &state, const PoolQueue &queue, int occurrence, int step) -> void;
    auto separateLateStarts(TaskGroup &group) -> void;
    auto placeInPlace(TaskGroup &group, Spread spread, PoolEffects &effects) -> bool;
    auto isPlaceable(const TaskGroup &group) -> bool;
    auto isPlaceableAfterEvacuation(const TaskGroup &group) -> bool;
    auto setAsideUnplaceable() -> void;
    auto markGuaranteed() -> void;
    auto sortGroups() -> void;
    auto collectSlots() -> void;
    auto attemptsOn(const Slot &slot) const -> const std::vector<Victim> &;
    auto candidates(const TaskGroup &group, CapacityKind kind) const -> std::vector<WorkerCandidate>;
    auto isScarce(const ServiceId &service) const -> bool;
    auto markAvoided(const TaskGroup &group, std::vector<WorkerCandidate> &found) const -> void;
    auto addReclaimable(const TaskGroup &group, CapacityKind kind, const Slot &slot, WorkerCandidate &candidate) const -> void;
    auto placeGroup(TaskGroup &group, PoolEffects &effects) -> bool;
    auto startsLeft(const TaskGroup &group) const -> int;
    auto startSome(TaskGroup &group, const std::vector<WorkerCandidate> &candidates, const std::vector<std::size_t> &chosen, PoolEffects &effects) -> void;
    auto placeGang(TaskGroup &group, Spread spread, PoolEffects &effects) -> bool;
    auto placePastReservation(TaskGroup &group, Spread spread, PoolEffects &effects) -> bool;
    auto holdLimit(const ServiceId &service) -> Micros;
    auto holdEnd(const TaskGroup &group) -> MonoTime;
    auto mayPass(const TaskGroup &group) -> bool;
    auto keepHolds() -> void;
    auto isMostlyIdle(const ServiceId &service) -> bool;
    auto isDelayOver(const TaskGroup &group) -> bool;
    auto reserveFreeSoon(const TaskGroup &group, Spread spread) -> bool;
    auto preempt(const TaskGroup &group, Spread spread) -> bool;
    auto unusedGuarantees() -> std::map<WorkspaceId, std::int64_t> &;
    auto needsWholeWorkers(const TaskGroup &group) -> bool;
    auto isWhole(const Slot &slot, const ServiceId &service) const -> bool;
    auto placeTogether(TaskGroup &group, Spread spread, PoolEffects &effects) -> bool;
    auto moveForShape(const TaskGroup &group) -> bool;
    auto stopForMove(const TaskGroup &group, const PoolCore::AttemptKey &key, double loss) -> void;
    auto followMove() -> void;
    auto progressOf(const TaskKey &step) const -> MoveProgress;
    auto makeGroup(const TaskKey &step) -> TaskGroup;
    auto goesBeforeMove(const TaskGroup &group) const -> bool;
    auto holdRoomForMove() -> void;
    auto noteWaiting(const PoolQueue &queue) -> void;
    auto evacuatedSteps() -> std::vector<EvacuatedStep>;
    auto collectMove(const TaskKey &step) -> std::optional<TaskGroup>;
    auto spreadOfMove(const TaskGroup &group) -> Spread;
    auto fitsElsewhere(const TaskGroup &group) -> bool;
    auto moveEvacuated() -> void;
    auto stopForEvacuation(const TaskGroup &group) -> void;
    auto canRunOn(const Slot &slot, const PoolJobState &state, int step) const -> bool;
    auto addFreeSoon(const WorkerId &worker, const PoolCore::AttemptKey &key) -> void;
    auto preemptOn(const TaskGroup &group, Slot &slot, const Resources &need) -> void;
    auto victimsOn(const TaskGroup &group, const Slot &slot) const -> std::vector<Victim>;
    auto measureUrgentDemand() -> void;
    auto leavesReserve(const TaskGroup &group) const -> bool;
    auto yieldsToUrgent(const TaskGroup &group) -> bool;
    auto hasAmpleSlack(const TaskGroup &group) const -> bool;
    auto logWait(const TaskGroup &group) -> void;
    auto logHeld(const TaskGroup &group, HoldCause cause) -> void;
    auto logHeldByOthers(const TaskGroup &group, bool oneRack) -> void;
    auto logDeferred(std::size_t groups) -> void;
    auto mayStartMore() const -> bool;
    auto reserveCapacity(const TaskGroup &group) -> void;
    auto logReservation(const TaskGroup &group, const std::set<std::size_t> &slots) -> void;
    auto start(TaskGroup &group, const std::vector<int> &tasks, const std::vector<std::size_t> &slots, PoolEffects &effects) -> void;
    auto reserveOn(Slot &slot, const Resources &need) -> void;
    static auto mayPreempt(const TaskGroup &group, const Victim &victim) -> bool;
    auto lossOf(const PoolCore::AttemptKey &key, const PoolCore::Allocation &it) const -> double;
    auto workOf(const TaskGroup &group) const -> double;
    auto remainingOf(const PoolCore::AttemptKey &key, const PoolCore::Allocation &it) const -> double;
    auto fitsOneRack(const TaskGroup &group) -> bool;
    auto spec(const TaskGroup &group) const -> const PoolStep &;
    static auto stepOf(const TaskGroup &group) -> StepState &;

    PoolCore &m_core;
    MonoTime m_now;
    WallTime m_wall;
    std::vector<TaskGroup> m_groups;
    std::vector<Slot> m_slots;
    std::set<JobId> m_guaranteedJobs;
    std::set<int> m_blockedPriorities;
    std::vector<RuledOut> m_ruledOut;
    std::map<PoolCore::PriorityClass, int> m_failedSearches;
    std::map<PoolCore::PriorityClass, PoolCore::GroupRank> m_leftOut; ///< the first group of each class that the pass left out
    std::set<JobId> m_unplaceableJobs; ///< with a group that no listed worker can take
    std::map<ServiceId, bool> m_mostlyIdle; ///< answers of isMostlyIdle()
    std::map<ServiceId, Hold> m_holds; ///< reservations of this pass
    /// Most tasks of a shape that one rack of idle workers can take.
    std::map<TaskShape, int> m_maxTasksInRack;
    std::size_t m_racks = 0; ///< number of racks
    int m_heldLines = 0; ///< lines of logHeld() in this pass
    std::int64_t m_freeAccelerators = 0;
    int m_openStarts = 0; ///< start orders without an answer, those of this pass included
    std::map<ServiceId, std::int64_t> m_wholeWorker; ///< most accelerators of a worker of each service
    std::optional<std::map<WorkspaceId, std::int64_t>> m_unusedGuarantees; ///< made when it is first needed
    bool m_keepsWholeWorkers = false; ///< candidates() leaves out workers that no guaranteed work uses
    int m_moveSearches = 0; ///< calls of moveForShape() that looked for work to move
    bool m_movedForShape = false; ///< the pass has moved guaranteed work
    std::optional<TaskGroup> m_moving; ///< tasks of the step that is being moved out of an evacuated domain, while some of them stop
    std::map<ServiceId, ServiceDemand> m_demand; ///< what goes before such a move
    mutable int m_searches = 0; ///< calls of candidates()
    std::int64_t m_urgentReserve = 0; ///< accelerators kept free of work of lower priorities
};

}

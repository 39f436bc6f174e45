#pragma once

/// The workers of one failure domain, the allocations that hold their slots, and the capacity left for guarantees.
/// @code
///   auto topology = Catkin::Topology{};
///   const auto w = topology.updateWorker({.worker = WorkerId{"w-1"}, .rack = RackId{"r-1"}, .slots = 8});
///   topology.setGuarantees(0, guarantees);             // workspace 0
///   const auto a = topology.allocate({.workspace = 0, .hold = Hold::Reclaimable, .blocks = {{w, 0b1111}}});
///   topology.release(a);
/// @endcode
///
/// Invariant: while no entry of slack() is negative, all unused shapes of all guarantees can be formed at the same time.
///
/// A guarantee is a number of shapes, see shapes.h. A shape is placed while covered jobs of its workspace use it: it then
/// has fixed blocks, which hold only covered work of that workspace, borrowers that can be reclaimed, and free slots.
/// A shape that no job uses has no blocks of its own. For these, slack() counts for each block size how many blocks the
/// free and reclaimable slots outside placed shapes form beyond those that the unused shapes need.
///
/// The end of a job never makes an entry negative: when a placed shape loses its last job, it becomes an unused shape, and the
/// blocks that it had are enough to form it again.

#include "policy/jobspec.h"
#include "policy/shapes.h"

#include <optional>
#include <span>
#include <unordered_map>

namespace Catkin
{

/// A worker as the planner currently sees it.
struct WorkerInfo
{
    WorkerId worker;
    RackId rack;
    int slots = 0; ///< a power of two, at most maxWorkerSlots
    bool usable = true; ///< false while leaving or unreachable: running tasks keep their slots, and no task is placed here
};

/// Slots of one worker.
struct SlotBlock
{
    int worker = 0; ///< index in the topology
    SlotMask mask = 0;

    auto operator==(const SlotBlock &other) const -> bool = default;
};

/// How an allocation holds its slots.
enum class Hold {
    Covered, ///< inside its workspace's guarantee
    Reclaimable, ///< borrowed; may be stopped
    Fixed, ///< borrowed or adopted; must not be stopped
    Stopping, ///< ordered to stop; its slots count as reclaimable, and a gang that needs them waits until they are released
};

/// The slots of one gang.
struct Allocation
{
    JobId job;
    int workspace = 0;
    Urgency urgency = Urgency::Normal;
    bool reclaimable = false; ///< the job may be stopped
    int level = 0; ///< level of the smallest single shape that the gang fits
    bool movable = false; ///< keeps its progress when stopped, so it can be moved to free slots for a larger gang
    bool backfill = false; ///< runs in slots reserved for another job and is stopped when that job can start
    Hold hold = Hold::Fixed;
    MonoTime since; ///< when it was placed or started
    MonoTime expectedEnd = MonoTime::max(); ///< estimated from observed run times
    std::vector<SlotBlock> blocks; ///< one for each task; worker is -1 if it was removed
    std::vector<int> placedShapes; ///< indices of the shapes that it uses; empty unless covered

    /// @return the number of slots held on known workers.
    [[nodiscard]] auto slots() const -> int;
};

/// A guaranteed shape that has its own blocks.
struct PlacedShape
{
    int workspace = 0;
    int level = 0;
    int users = 0; ///< number of covered allocations that use it
    std::vector<SlotBlock> blocks;
};

/// Number of aligned blocks of 1, 2, 4, … 32 slots in a mask.
using BlockCounts = std::array<std::uint8_t, 6>;

/// @return for each level a mask with the first slot of each aligned block of 2^level slots that lies wholly in @p mask.
auto blockStarts(SlotMask mask) -> std::array<SlotMask, 6>;

/// @return the mask of @p slots adjacent slots, starting at slot @p first.
inline auto blockMask(int first, int slots) -> SlotMask
{
    return static_cast<SlotMask>(((std::uint64_t{1} << slots) - 1) << first);
}

/// Not thread-safe.
class Topology
{
public:
    /// Slots of a worker that an allocation holds or that belong to a placed shape.
    struct Use
    {
        int owner = 0; ///< index of the allocation or placed shape
        SlotMask mask = 0;
    };

    struct Worker
    {
        WorkerInfo info;
        int rack = 0; ///< index in racks()
        bool present = false; ///< false in the entry of a removed worker, which is reused
        std::vector<Use> uses; ///< by allocations
        std::vector<Use> shapeUses; ///< by placed shapes
        SlotMask all = 0;
        SlotMask free = 0; ///< held by no allocation; 0 when not usable
        SlotMask reclaimableSlots = 0; ///< held only by reclaimable and stopping allocations; 0 when not usable
        SlotMask urgentSlots = 0; ///< the part of reclaimableSlots that urgent borrowers hold
        SlotMask stopping = 0; ///< the part of reclaimableSlots that only stopping allocations hold
        SlotMask inShapes = 0; ///< blocks of placed shapes
        SlotMask available = 0; ///< (free | reclaimableSlots) & ~inShapes
        BlockCounts blocks{}; ///< the blocks that the available slots form
    };

    struct Rack
    {
        RackId id;
        std::vector<int> workers;
        int wholeWorkers = 0; ///< number of workers with workerSlots() slots that are all available
    };

    /// Adds a worker or changes a known one.
    /// @param info the caller has checked the number of slots
    /// @return the worker's index, valid until removeWorker().
    auto updateWorker(const WorkerInfo &info) -> int;
    /// Removes a worker. Allocations with blocks there stay; those blocks get the worker index -1. Placed shapes lose their blocks there.
    /// @return the indices of these allocations, ascending.
    auto removeWorker(int worker) -> std::vector<int>;
    [[nodiscard]] auto workerIndex(const WorkerId &worker) const -> std::optional<int>;

    /// Replaces the guarantees of a workspace. When more shapes of a level are placed than guaranteed, the allocations in
    /// the surplus ones become borrowers.
    auto setGuarantees(int workspace, std::span<const Guarantee> guarantees) -> void;

    /// Enters an allocation; the shapes that it uses must have been placed with placeShape().
    /// @return its index, valid until release().
    auto allocate(Allocation allocation) -> int;
    /// Removes an allocation. Shapes that no other allocation uses become unused.
    auto release(int allocation) -> void;
    /// Changes how an allocation holds its slots.
    /// @param placedShapes the shapes that a covered allocation uses; empty for any other hold
    auto setHold(int allocation, Hold hold, std::vector<int> placedShapes = {}) -> void;
    /// Sets since and expectedEnd of an allocation.
    auto setExpectedEnd(int allocation, MonoTime start, MonoTime end) -> void;

    /// Gives one unused shape of @p workspace its blocks.
    /// @return the index of the placed shape, valid until its last allocation leaves it or unplaceShape() is called.
    auto placeShape(int workspace, int level, std::vector<SlotBlock> blocks) -> int;
    /// Makes a placed shape that no allocation uses an unused one.
    auto unplaceShape(int shape) -> void;

    /// @return for each level the number of formable blocks minus the number that the unused shapes need.
    [[nodiscard]] auto slack() const -> LevelCounts;
    /// @param taken disjoint blocks
    /// @return for each level the number of formable blocks that are lost when the slots of @p taken can no longer be reclaimed.
    [[nodiscard]] auto formableLoss(std::span<const SlotBlock> taken) const -> LevelCounts;
    /// @param loss formable blocks that would be lost, see formableLoss()
    /// @param placedLevel level of an unused shape that would be placed at the same time, or -1
    /// @return false if the slack of a level would become negative, or more negative than it is.
    [[nodiscard]] auto admissible(const LevelCounts &loss, int placedLevel = -1) const -> bool;
    /// @return whether the unused shapes cannot all be formed. Only lost workers and adopted jobs cause this.
    [[nodiscard]] auto hasDeficit() const -> bool;

    [[nodiscard]] auto workers() const -> const std::vector<Worker> &
    {
        return m_workers;
    }
    [[nodiscard]] auto racks() const -> const std::vector<Rack> &
    {
        return m_racks;
    }
    [[nodiscard]] auto allocation(int index) const -> const Allocation &
    {
        return m_allocations[index];
    }
    [[nodiscard]] auto placedShape(int index) const -> const PlacedShape &
    {
        return m_placedShapes[index];
    }
    /// @return the indices of the placed shapes of a workspace, ascending.
    [[nodiscard]] auto placedShapes(int workspace) const -> const std::vector<int> &;
    /// @return for each level the number of unused shapes of a workspace.
    [[nodiscard]] auto unusedShapes(int workspace) const -> const LevelCounts &;
    /// @return the largest number of slots that a worker has had so far, at least 1; removeWorker() does not lower it.
    [[nodiscard]] auto workerSlots() const -> int
    {
        return m_workerSlots;
    }
    /// @return the level of a block of workerSlots() slots.
    [[nodiscard]] auto workerLevel() const -> int
    {
        return levelOf(m_workerSlots);
    }
    /// @return the number of free slots of all usable workers.
    [[nodiscard]] auto freeSlots() const -> int
    {
        return m_freeSlots;
    }

private:
    struct WorkspaceShapes
    {
        std::vector<Guarantee> guarantees;
        LevelCounts unused{};
        std::vector<int> placed; ///< indices, ascending
    };

    /// Updates the masks of a worker, and the block counts of it and its rack, from its uses.
    auto recountWorker(int worker) -> void;
    /// Adds or, with @p sign -1, subtracts the blocks of several workers that a rack forms.
    auto addRackBlocks(int rack, int sign) -> void;
    auto shapesOf(int workspace) -> WorkspaceShapes &;
    /// Updates the number of unused shapes of a workspace from its guarantees and placed shapes.
    auto recountShapes(int workspace) -> void;
    /// Sets workerSlots() and recounts all workers and shapes.
    auto setLargestWorker(int workerSlots) -> void;
    auto leaveShapes(Allocation &allocation) -> void;
    /// Adds the blocks that @p count unused shapes of @p level contain to the demand.
    auto addDemand(int level, int count) -> void;

    std::vector<Worker> m_workers;
    std::vector<int> m_freeWorkers;
    std::unordered_map<WorkerId, int> m_workerIndex;
    std::vector<Rack> m_racks;
    std::unordered_map<RackId, int> m_rackIndex;
    std::vector<Allocation> m_allocations;
    std::vector<int> m_freeAllocations;
    std::vector<PlacedShape> m_placedShapes;
    std::vector<int> m_freePlacedShapes;
    std::vector<WorkspaceShapes> m_shapes;
    LevelCounts m_formable{}; ///< blocks that the available slots form
    LevelCounts m_demand{}; ///< blocks that the unused shapes need
    int m_workerSlots = 1;
    int m_freeSlots = 0;
};

}

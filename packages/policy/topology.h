#pragma once

/// The workers of one failure domain, what holds their slots, and how many guaranteed shapes can still be formed.
///
/// Guarantees are kept with placed shapes. While a job runs inside its workspace's guarantee, the shape that it uses is a
/// placed shape: fixed blocks of slots that hold nothing but covered work of that workspace, borrowers that can be reclaimed,
/// and free slots. A shape that no job uses has no place; slack() counts for each block size how many more blocks the
/// free and reclaimable slots outside placed shapes form than the unused shapes need. While no entry is negative, all unused
/// shapes can be formed at once, and ending any job keeps it so: the blocks of a placed shape that loses its last job are
/// a place for the shape that becomes unused.
/// @code
///   auto topology = Catkin::Topology{};
///   const auto w = topology.updateWorker({.worker = WorkerId{"w-1"}, .rack = RackId{"r-1"}, .slots = 8});
///   topology.setGuarantees(0, guarantees);             // workspace 0
///   const auto a = topology.allocate({.workspace = 0, .hold = Hold::Reclaimable, .blocks = {{w, 0b1111}}});
///   topology.release(a);
/// @endcode

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
    bool usable = true; ///< false while leaving or unreachable: running tasks keep their slots, nothing new starts
};

/// Slots of one worker, by the worker's index in the topology.
struct SlotBlock
{
    int worker = 0;
    SlotMask mask = 0;

    auto operator==(const SlotBlock &other) const -> bool = default;
};

/// How an allocation holds its slots.
enum class Hold {
    Covered, ///< inside its workspace's guarantee
    Reclaimable, ///< borrowed; may be stopped
    Fixed, ///< borrowed or adopted; may not be stopped
    Stopping, ///< told to stop; its slots count as reclaimable and are waited for
};

/// The slots of one gang.
struct Allocation
{
    JobId job;
    int workspace = 0;
    Urgency urgency = Urgency::Normal;
    bool reclaimable = false; ///< whether the job may be stopped at all
    int level = 0; ///< of the smallest single shape that holds the gang
    bool movable = false; ///< reclaimable without losing work, so it can be moved to make room
    bool backfill = false; ///< runs in a place reserved for another job and gives way to it
    Hold hold = Hold::Fixed;
    MonoTime since; ///< when it was placed or started
    MonoTime expectedEnd = MonoTime::max(); ///< from observed run times
    std::vector<SlotBlock> blocks; ///< one for each member; blocks on removed workers have worker -1
    std::vector<int> placedShapes; ///< placed shapes that a covered allocation uses

    /// @return the number of slots held on known workers.
    [[nodiscard]] auto slots() const -> int;
};

/// A shape in use.
struct PlacedShape
{
    int workspace = 0;
    int level = 0;
    int users = 0; ///< covered allocations inside
    std::vector<SlotBlock> blocks;
};

/// Number of aligned blocks of 1, 2, 4, … 32 slots in a mask.
using BlockCounts = std::array<std::uint8_t, 6>;

/// @return for each level the first slots of the aligned blocks of that size that lie wholly in @p mask.
auto blockStarts(SlotMask mask) -> std::array<SlotMask, 6>;

/// @return the mask of @p slots slots from @p first on.
inline auto blockMask(int first, int slots) -> SlotMask
{
    return static_cast<SlotMask>(((std::uint64_t{1} << slots) - 1) << first);
}

/// See the file comment. Not thread-safe.
class Topology
{
public:
    struct Use
    {
        int owner = 0; ///< index of the allocation or placed shape
        SlotMask mask = 0;
    };

    struct Worker
    {
        WorkerInfo info;
        int rack = 0;
        bool present = false;
        std::vector<Use> uses;
        std::vector<Use> shapeUses;
        SlotMask all = 0;
        SlotMask free = 0; ///< nothing holds them; 0 when not usable
        SlotMask reclaimableSlots = 0; ///< held only by reclaimable and stopping allocations; 0 when not usable
        SlotMask urgentSlots = 0; ///< the part of reclaimableSlots that urgent borrowers hold
        SlotMask stopping = 0; ///< the part of reclaimableSlots that stopping allocations alone hold
        SlotMask inShapes = 0; ///< inside placed shapes
        SlotMask available = 0; ///< (free | reclaimableSlots) & ~inShapes
        BlockCounts blocks{}; ///< of available
    };

    struct Rack
    {
        RackId id;
        std::vector<int> workers;
        int wholeWorkers = 0; ///< largest workers whose slots are all available
    };

    /// Adds a worker or changes a known one; the number of slots must have been checked.
    /// @return the worker's index, valid until removeWorker().
    auto updateWorker(const WorkerInfo &info) -> int;
    /// Removes a worker with whatever ran there.
    /// @return the allocations that had a block there, ascending.
    auto removeWorker(int worker) -> std::vector<int>;
    [[nodiscard]] auto workerIndex(const WorkerId &worker) const -> std::optional<int>;

    /// Replaces the guarantees of a workspace. When fewer shapes remain than placed shapes are in use, the allocations of
    /// the surplus placed shapes lose their cover.
    auto setGuarantees(int workspace, std::span<const Guarantee> guarantees) -> void;

    /// Enters an allocation; its placed shapes must exist (see placeShape()).
    /// @return its index, valid until release().
    auto allocate(Allocation allocation) -> int;
    /// Removes an allocation; placed shapes that it used last become unused shapes again.
    auto release(int allocation) -> void;
    /// Changes how an allocation holds its slots; @p placedShapes only for Hold::Covered.
    auto setHold(int allocation, Hold hold, std::vector<int> placedShapes = {}) -> void;
    auto setExpectedEnd(int allocation, MonoTime start, MonoTime end) -> void;

    /// Turns one unused shape of @p workspace into a placed shape.
    /// @return its index, valid until its last user leaves or unplaceShape() is called.
    auto placeShape(int workspace, int level, std::vector<SlotBlock> blocks) -> int;
    /// Turns a placed shape without users back into an unused shape.
    auto unplaceShape(int shape) -> void;

    /// @return for each size, formable blocks minus blocks needed by unused shapes.
    [[nodiscard]] auto slack() const -> LevelCounts;
    /// @return the formable blocks that disappear when @p taken (disjoint blocks) can no longer be reclaimed.
    [[nodiscard]] auto formableLoss(std::span<const SlotBlock> taken) const -> LevelCounts;
    /// @param loss formable blocks that disappear
    /// @param placedLevel level of a shape that gets its place at the same time, or -1
    /// @return whether no size becomes short of blocks, or shorter than it already is.
    [[nodiscard]] auto admissible(const LevelCounts &loss, int placedLevel = -1) const -> bool;
    /// @return whether the unused shapes cannot all be formed, which only lost workers or adopted jobs can cause.
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
    /// @return the placed shapes of a workspace, ascending.
    [[nodiscard]] auto placedShapes(int workspace) const -> const std::vector<int> &;
    /// @return for each level the number of unused shapes of a workspace.
    [[nodiscard]] auto unusedShapes(int workspace) const -> const LevelCounts &;
    /// @return the slots of the largest known workers, at least 1.
    [[nodiscard]] auto workerSlots() const -> int
    {
        return m_workerSlots;
    }
    [[nodiscard]] auto workerLevel() const -> int
    {
        return levelOf(m_workerSlots);
    }
    /// @return the free slots of usable workers.
    [[nodiscard]] auto freeSlots() const -> int
    {
        return m_freeSlots;
    }

private:
    struct WorkspaceShapes
    {
        std::vector<Guarantee> guarantees;
        LevelCounts unused{};
        std::vector<int> placed;
    };

    auto recountWorker(int worker) -> void;
    auto addRackBlocks(int rack, int sign) -> void;
    auto shapesOf(int workspace) -> WorkspaceShapes &;
    auto recountShapes(int workspace) -> void;
    auto setLargestWorker(int workerSlots) -> void;
    auto leaveShapes(Allocation &allocation) -> void;
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
    LevelCounts m_formable{};
    LevelCounts m_demand{};
    int m_workerSlots = 1;
    int m_freeSlots = 0;
};

}

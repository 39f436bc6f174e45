#pragma once

/// Learns which kinds of tasks slow each other down when they run on the same worker.
///
/// Load: tasks that share caches, memory bandwidth or a network link although their declared resources fit side by side.
///
/// @code
///   auto table = Catkin::InterferenceTable{};
///   const auto a = Catkin::slotOf(table, Catkin::TaskKindId{"decoder:4"}, now);
///   Catkin::observe(table, a, {.figure = TaskFigure::Progress, .logCost = 0.3, .weight = 1.0, .present = present}, now);
///   for (const auto &it : Catkin::reviewPairs(table, now)) { log(it); }
///   if ((worker.kinds.once & Catkin::kindsToAvoid(table, a)) != 0) { ... }
/// @endcode
///
/// A sample is the logarithm of what a task needs relative to what was expected: time per estimated time, response time per target, or
/// reserved processor time per used. The slowdown of kind A by kind B is the difference between the means of the samples of A with and without
/// B on the worker. Samples far from the mean of their kind are limited, so that a few tasks that take many times as long as others do not
/// decide an estimate.

#include "policy/decayedsums.h"
#include "util/ids.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Catkin
{

/// What a task runs: tasks of one kind behave alike.
using TaskKindId = StringId<struct TaskKindTag>;

constexpr auto maxTaskKinds = std::size_t{64};
constexpr auto maxKindPairs = std::size_t{1'024};

/// Index of a kind in an InterferenceTable.
enum class KindSlot : std::uint8_t {};
/// A kind that is not followed.
constexpr auto noKind = KindSlot{maxTaskKinds};

/// Set of kinds, one bit for each slot.
using KindMask = std::uint64_t;

/// Kinds of the tasks on a worker.
struct PresentKinds
{
    KindMask once = 0; ///< with at least one task
    KindMask twice = 0; ///< with at least two
};

auto addKind(PresentKinds &kinds, KindSlot slot) -> void;
/// @return the kinds that a task of kind @p slot, itself included in @p kinds, shares the worker with.
auto othersOf(const PresentKinds &kinds, KindSlot slot) -> KindMask;

/// What a sample is derived from.
enum class TaskFigure : std::uint8_t { Progress, ResponseTime, CpuShare };

struct TaskSample
{
    TaskFigure figure = TaskFigure::Progress;
    double logCost = 0.0;
    double weight = 1.0;
    KindMask present = 0; ///< kinds that the task shared its worker with
};

struct SlowdownEstimate
{
    double slowdown = 0.0; ///< 0.4: the task needs 1.4 times as long
    double error = 0.0; ///< the slowdown is almost certainly larger than the estimate less this
    double samples = 0.0; ///< weight of the samples with the other kind
};

struct InterferenceTable
{
    struct Kind
    {
        TaskKindId id;
        std::optional<TaskFigure> figure; ///< of its samples
        DecayedSums all; ///< of all samples
        DecayedSums uses; ///< tasks that were placed or seen
        KindMask avoids = 0; ///< kinds with a certain slowdown of this kind or by this kind
    };
    struct Pair
    {
        DecayedSums with;
        bool certain = false;
    };

    std::array<Kind, maxTaskKinds> kinds;
    std::map<TaskKindId, KindSlot> slots;
    std::map<std::uint16_t, Pair> pairs; ///< by affected and other kind
    std::uint32_t generation = 0; ///< changes when a slot gets another kind
    MonoTime reviewedAt;
    MonoTime cleanedAt; ///< when unused pairs were last dropped for want of space
    int certainPairs = 0;
};

/// A pair whose slowdown has become certain, or is no longer.
struct PairChange
{
    TaskKindId affected;
    TaskKindId other;
    bool certain = false;
    SlowdownEstimate estimate;
};

/// Follows a kind; takes the place of one that is hardly used if all are taken.
/// @return its slot, or noKind when there is no room.
auto slotOf(InterferenceTable &table, const TaskKindId &id, MonoTime now) -> KindSlot;

/// @return the slot of a kind that is followed, or noKind.
auto findSlot(const InterferenceTable &table, const TaskKindId &id) -> KindSlot;

/// Adds a sample of a task of kind @p affected.
auto observe(InterferenceTable &table, KindSlot affected, const TaskSample &sample, MonoTime now) -> void;

/// @return the slowdown of @p affected by @p other, or nothing without enough samples with and without it.
auto slowdownOf(const InterferenceTable &table, KindSlot affected, KindSlot other, MonoTime now) -> std::optional<SlowdownEstimate>;

/// Decides which slowdowns are certain, at most once a second, and drops forgotten pairs.
auto reviewPairs(InterferenceTable &table, MonoTime now) -> std::vector<PairChange>;

/// @return kinds that tasks of kind @p slot should not share a worker with.
auto kindsToAvoid(const InterferenceTable &table, KindSlot slot) -> KindMask;

/// @return logarithm of the largest certain slowdown of @p affected by one of @p present; 0 if there is none.
auto certainLogSlowdown(const InterferenceTable &table, KindSlot affected, KindMask present, MonoTime now) -> double;

}

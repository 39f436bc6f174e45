#include "policy/interference.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <utility>

namespace Catkin
{

namespace
{

/// Weight of samples, with and without the other kind, below which there is no estimate: the spread of fewer is too uncertain.
constexpr auto minWeight = 8.0;
/// Weight of samples with the other kind from which on a slowdown may become certain. With minWeight alone, 1 of 30 drawn loads of 150 s without
/// interference had a certain pair, and with this for as long as a pair is certain, tasks that are kept apart are placed together too soon.
constexpr auto minWeightToBegin = 16.0;
/// Standard errors in SlowdownEstimate::error. A thousand pairs are judged every second, so that two would often be exceeded by chance.
constexpr auto errorWidth = 3.0;
/// Standard errors that a slowdown must exceed to become certain. With 3, a pair was certain in 1 of 60 drawn loads without interference; with 3
/// for as long as a pair is certain, tasks that are kept apart are placed together later.
constexpr auto errorWidthToBegin = 3.5;
/// Least spread of samples: progress is reported in whole percents.
constexpr auto minDeviation = 0.05;
/// A slowdown above this, less its error, is certain.
constexpr auto certainSlowdown = 0.10;
/// Samples are limited to this distance from the mean of their kind, a factor of 1.65. With a factor of 1.8 the few tasks that take 7 times as long
/// widen the error so much that a slowdown by 40% is noticed later.
constexpr auto maxDistance = 0.5;
/// Weight of earlier samples from which on samples are limited.
constexpr auto limitedFrom = 4.0;
/// A kind or pair with less use than this, as one task a minute has, may be replaced.
constexpr auto replaceableUse = 1.0;
/// Pairs with less weight than this are forgotten.
constexpr auto forgottenWeight = 0.05;
constexpr auto reviewPeriod = Millis{1'000};

auto indexOf(KindSlot slot) -> std::size_t
{
    return static_cast<std::size_t>(slot);
}

auto bitOf(KindSlot slot) -> KindMask
{
    return slot == noKind ? KindMask{0} : KindMask{1} << indexOf(slot);
}

auto pairKey(KindSlot affected, KindSlot other) -> std::uint16_t
{
    return static_cast<std::uint16_t>(indexOf(affected) * maxTaskKinds + indexOf(other));
}

auto affectedOf(std::uint16_t key) -> KindSlot
{
    return static_cast<KindSlot>(key / maxTaskKinds);
}

auto otherOf(std::uint16_t key) -> KindSlot
{
    return static_cast<KindSlot>(key % maxTaskKinds);
}

template<typename F>
auto eachKind(KindMask mask, const F &use) -> void
{
    for (; mask != 0; mask &= mask - 1) {
        use(static_cast<KindSlot>(std::countr_zero(mask)));
    }
}

auto recountAvoided(InterferenceTable &table) -> void
{
    table.certainPairs = 0;
    for (auto &it : table.kinds) {
        it.avoids = 0;
    }
    for (const auto &[key, it] : table.pairs) {
        if (it.certain) {
            ++table.certainPairs;
            table.kinds.at(indexOf(affectedOf(key))).avoids |= bitOf(otherOf(key));
            table.kinds.at(indexOf(otherOf(key))).avoids |= bitOf(affectedOf(key));
        }
    }
}

auto dropKind(InterferenceTable &table, KindSlot slot) -> void
{
    std::erase_if(table.pairs, [&](const auto &it) { return affectedOf(it.first) == slot || otherOf(it.first) == slot; });
    table.slots.erase(table.kinds.at(indexOf(slot)).id);
    ++table.generation;
    recountAvoided(table);
}

/// @return the pair, or null when there is no room for it.
auto pairOf(InterferenceTable &table, std::uint16_t key, MonoTime now) -> InterferenceTable::Pair *
{
    if (const auto it = table.pairs.find(key); it != table.pairs.end()) {
        return &it->second;
    }
    if (table.pairs.size() >= maxKindPairs) {
        if (now - table.cleanedAt < reviewPeriod) {
            return nullptr;
        }
        table.cleanedAt = now;
        std::erase_if(table.pairs, [&](const auto &it) { return !it.second.certain && decayedTo(it.second.with, now).weight < replaceableUse; });
        if (table.pairs.size() >= maxKindPairs) {
            return nullptr;
        }
    }
    return &table.pairs[key];
}

/// Difference between the mean samples with and without another kind.
struct Difference
{
    double mean = 0.0;
    double deviation = 0.0; ///< standard error of the mean
    double samples = 0.0; ///< weight of the samples with the other kind
};

/// @return the difference, or nothing without enough samples with and without the other kind.
auto differenceOf(const InterferenceTable &table, KindSlot affected, const InterferenceTable::Pair &pair, MonoTime now) -> std::optional<Difference>
{
    const auto with = decayedTo(pair.with, now);
    const auto without = withoutPart(decayedTo(table.kinds.at(indexOf(affected)).all, now), with);
    if (with.weight < minWeight || without.weight < minWeight) {
        return std::nullopt;
    }
    const auto variance = std::max({varianceOf(with), varianceOf(without), minDeviation * minDeviation});
    return Difference{
        .mean = meanOf(with) - meanOf(without), .deviation = std::sqrt(variance * (1.0 / with.weight + 1.0 / without.weight)), .samples = with.weight};
}

auto estimateOf(const Difference &difference) -> SlowdownEstimate
{
    return {.slowdown = std::expm1(difference.mean),
            .error = std::exp(difference.mean) - std::exp(difference.mean - errorWidth * difference.deviation),
            .samples = difference.samples};
}

/// @param wasCertain whether the slowdown was certain before
auto isCertain(const Difference &difference, bool wasCertain) -> bool
{
    const auto width = wasCertain ? errorWidth : errorWidthToBegin;
    return (wasCertain || difference.samples >= minWeightToBegin) && std::expm1(difference.mean - width * difference.deviation) > certainSlowdown;
}

}

auto addKind(PresentKinds &kinds, KindSlot slot) -> void
{
    const auto bit = bitOf(slot);
    kinds.twice |= kinds.once & bit;
    kinds.once |= bit;
}

auto othersOf(const PresentKinds &kinds, KindSlot slot) -> KindMask
{
    const auto bit = bitOf(slot);
    return (kinds.once & ~bit) | (kinds.twice & bit);
}

auto findSlot(const InterferenceTable &table, const TaskKindId &id) -> KindSlot
{
    const auto it = table.slots.find(id);
    return it == table.slots.end() ? noKind : it->second;
}

auto slotOf(InterferenceTable &table, const TaskKindId &id, MonoTime now) -> KindSlot
{
    auto slot = findSlot(table, id);
    if (slot == noKind) {
        const auto use = [&](const InterferenceTable::Kind &it) { return it.id.empty() ? -1.0 : decayedTo(it.uses, now).weight; };
        const auto least = std::min_element(table.kinds.begin(), table.kinds.end(), [&](const auto &a, const auto &b) { return use(a) < use(b); });
        if (use(*least) >= replaceableUse) {
            return noKind;
        }
        slot = static_cast<KindSlot>(least - table.kinds.begin());
        if (!least->id.empty()) {
            dropKind(table, slot);
        }
        *least = {.id = id, .figure = {}, .all = {}, .uses = {}};
        table.slots.emplace(id, slot);
    }
    addSample(table.kinds.at(indexOf(slot)).uses, 0.0, 1.0, now);
    return slot;
}

auto observe(InterferenceTable &table, KindSlot affected, const TaskSample &sample, MonoTime now) -> void
{
    if (affected == noKind || !std::isfinite(sample.logCost)) {
        return;
    }
    auto &kind = table.kinds.at(indexOf(affected));
    kind.all = decayedTo(kind.all, now);
    if (kind.figure != sample.figure) {
        // Figures of different meaning cannot be compared; the one that is in use goes first until it is forgotten.
        if (kind.figure && kind.all.weight >= replaceableUse) {
            return;
        }
        kind.figure = sample.figure;
        kind.all = {};
        std::erase_if(table.pairs, [&](const auto &it) { return affectedOf(it.first) == affected; });
    }
    const auto centre = meanOf(kind.all);
    const auto value = kind.all.weight < limitedFrom ? sample.logCost : std::clamp(sample.logCost, centre - maxDistance, centre + maxDistance);
    addSample(kind.all, value, sample.weight, now);
    addSample(kind.uses, 0.0, sample.weight, now);
    eachKind(sample.present, [&](KindSlot other) {
        if (auto *pair = pairOf(table, pairKey(affected, other), now)) {
            addSample(pair->with, value, sample.weight, now);
        }
    });
}

auto slowdownOf(const InterferenceTable &table, KindSlot affected, KindSlot other, MonoTime now) -> std::optional<SlowdownEstimate>
{
    const auto it = affected == noKind || other == noKind ? table.pairs.end() : table.pairs.find(pairKey(affected, other));
    if (it == table.pairs.end()) {
        return std::nullopt;
    }
    const auto difference = differenceOf(table, affected, it->second, now);
    return difference ? std::optional(estimateOf(*difference)) : std::nullopt;
}

auto reviewPairs(InterferenceTable &table, MonoTime now) -> std::vector<PairChange>
{
    auto changes = std::vector<PairChange>{};
    if (table.pairs.empty() || now - table.reviewedAt < reviewPeriod) {
        return changes;
    }
    table.reviewedAt = now;
    for (auto &[key, it] : table.pairs) {
        const auto difference = differenceOf(table, affectedOf(key), it, now);
        const auto certain = difference && isCertain(*difference, it.certain);
        if (std::exchange(it.certain, certain) != certain) {
            changes.push_back({.affected = table.kinds.at(indexOf(affectedOf(key))).id,
                               .other = table.kinds.at(indexOf(otherOf(key))).id,
                               .certain = certain,
                               .estimate = difference ? estimateOf(*difference) : SlowdownEstimate{.samples = decayedTo(it.with, now).weight}});
        }
    }
    std::erase_if(table.pairs, [&](const auto &it) { return !it.second.certain && decayedTo(it.second.with, now).weight < forgottenWeight; });
    if (!changes.empty()) {
        recountAvoided(table);
    }
    return changes;
}

auto kindsToAvoid(const InterferenceTable &table, KindSlot slot) -> KindMask
{
    return slot == noKind ? KindMask{0} : table.kinds.at(indexOf(slot)).avoids;
}

auto certainLogSlowdown(const InterferenceTable &table, KindSlot affected, KindMask present, MonoTime now) -> double
{
    auto most = 0.0;
    eachKind(present & kindsToAvoid(table, affected), [&](KindSlot other) {
        const auto it = table.pairs.find(pairKey(affected, other));
        if (it != table.pairs.end() && it->second.certain) {
            const auto estimate = slowdownOf(table, affected, other, now);
            most = std::max(most, estimate ? std::log1p(estimate->slowdown) : 0.0);
        }
    });
    return most;
}

}

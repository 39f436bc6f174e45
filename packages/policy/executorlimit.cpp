#include "policy/executorlimit.h"

#include "util/rendezvous.h"

#include <algorithm>
#include <vector>

namespace Catkin
{

auto setLimitShare(ExecutorLimit &limit, int slots, int share) -> void
{
    const auto bounded = std::clamp(share, 0, std::max(1, slots));
    if (slots != limit.slots || bounded != limit.share) {
        limit.value = std::max(1, bounded);
    }
    limit.slots = std::max(1, slots);
    limit.share = bounded;
}

auto equalShare(const ExecutorId &id, int slots, const InstanceId &self, std::span<const std::string> fresh) -> int
{
    const auto instances = std::max(1, static_cast<int>(fresh.size()));
    const auto whole = slots / instances;
    auto rest = slots % instances;
    auto candidates = std::vector<std::string>{fresh.begin(), fresh.end()};
    for (; rest > 0 && !self.empty(); --rest) {
        const auto owner = rendezvousOwner(id.str(), candidates);
        if (!owner) {
            break;
        }
        if (candidates[*owner] == self.str()) {
            return std::max(1, whole + 1);
        }
        candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(*owner));
    }
    return std::max(1, whole);
}

auto currentLimit(const ExecutorLimit &limit) -> int
{
    return std::clamp(static_cast<int>(limit.value), 1, limit.slots);
}

auto limitAfterAnswer(ExecutorLimit &limit, const ExecutorLimitOptions &options, bool wasFull, bool late, MonoTime now) -> void
{
    if (late) {
        limitAfterRefusal(limit, options, now);
        return;
    }
    if (!wasFull || now < limit.growAfter) {
        return;
    }
    const auto before = currentLimit(limit);
    limit.value = std::min(limit.value + options.increase / limit.value, static_cast<double>(limit.slots));
    if (currentLimit(limit) > before) {
        // The limit may keep growing while no attempt is refused; the pause shrinks only after a time without refusals.
        if (now - limit.growAfter > limit.pause) {
            limit.pause /= 2;
            limit.growAfter = now;
        }
    }
}

auto limitAfterRefusal(ExecutorLimit &limit, const ExecutorLimitOptions &options, MonoTime now) -> void
{
    if (limit.decreased != MonoTime{} && now - limit.decreased < options.minDecreaseInterval) {
        return;
    }
    // A refusal while slots are borrowed takes at most the borrowed slots, not the own share.
    const auto floor = limit.value > limit.share ? static_cast<double>(limit.share) : 1.0;
    limit.value = std::max(floor, limit.value * options.decrease);
    limit.decreased = now;
    limit.pause = std::clamp(limit.pause * 2, options.minGrowPause, options.maxGrowPause);
    limit.growAfter = now + limit.pause;
}

auto isLate(const ExecutorLimitOptions &options, Micros elapsed, Micros expected) -> bool
{
    return elapsed > options.lateMargin
           && std::chrono::duration<double, std::micro>(elapsed - options.lateMargin).count() > options.lateFactor * static_cast<double>(expected.count());
}

}

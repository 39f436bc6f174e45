#include "policy/executorlimit.h"

#include <algorithm>

namespace Catkin
{

auto limitForShare(ExecutorLimit &limit, int slots, int fresh) -> void
{
    const auto share = std::max(1.0, static_cast<double>(slots) / std::max(1, fresh));
    if (slots != limit.slots || share != limit.share) {
        limit.value = std::clamp(share, 1.0, static_cast<double>(std::max(1, slots)));
    }
    limit.slots = std::max(1, slots);
    limit.share = share;
}

auto limitNow(const ExecutorLimit &limit) -> int
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
    const auto before = limitNow(limit);
    limit.value = std::min(limit.value + options.increase / limit.value, static_cast<double>(limit.slots));
    if (limitNow(limit) > before) {
        limit.pause /= 2; // one more slot was granted since the last refusal
    }
}

auto limitAfterRefusal(ExecutorLimit &limit, const ExecutorLimitOptions &options, MonoTime now) -> void
{
    if (limit.decreased != MonoTime{} && now - limit.decreased < options.decreasePause) {
        return;
    }
    // A refused attempt to borrow costs what was borrowed, not the own share.
    const auto floor = limit.value > limit.share ? limit.share : 1.0;
    limit.value = std::max(floor, limit.value * options.decrease);
    limit.decreased = now;
    limit.pause = std::clamp(limit.pause * 2, options.growPauseAtLeast, options.growPauseAtMost);
    // Below the share the slots are the instance's own, and it asks for them again soon.
    limit.growAfter = now + (limit.value < limit.share ? options.growPauseAtLeast : limit.pause);
}

auto isLate(const ExecutorLimitOptions &options, Micros elapsed, Micros expected) -> bool
{
    return elapsed > options.lateAtLeast
           && std::chrono::duration<double, std::micro>(elapsed - options.lateAtLeast).count() > options.lateFactor * static_cast<double>(expected.count());
}

}

#include "policy/leasebounds.h"

#include <algorithm>
#include <chrono>

namespace Catkin
{

auto leaseBound(const WorkerId &worker, MonoTime end, MonoTime now) -> LeaseBound
{
    return {.worker = worker,
            .left = std::max(std::chrono::ceil<Millis>(end - now), Millis{0}),
            .over = std::max(std::chrono::floor<Millis>(now - end), Millis{0})};
}

auto noteLeaseBounds(KnownLeaseBounds &known, const LeaseBoundsRecord &record, MonoTime readAt) -> void
{
    known.epoch = record.epoch;
    known.ends.clear();
    for (const auto &it : record.bounds) {
        known.ends[it.worker] = readAt + it.left - it.over;
    }
    known.lateStarts.clear();
    for (const auto &it : record.lateStarts) {
        known.lateStarts[it.worker] = readAt + it.left;
    }
}

auto carriedBounds(const KnownLeaseBounds &known, std::int64_t holder, std::int64_t epoch, MonoTime now) -> LeaseBoundsRecord
{
    auto out = LeaseBoundsRecord{.epoch = epoch};
    if (known.epoch == holder) {
        for (const auto &[worker, end] : known.ends) {
            out.bounds.push_back(leaseBound(worker, end, now));
        }
    }
    // An order that is under way stays so, whichever planner knew of it.
    for (const auto &[worker, until] : known.lateStarts) {
        if (until > now) {
            out.lateStarts.push_back({.worker = worker, .left = std::chrono::ceil<Millis>(until - now)});
        }
    }
    return out;
}

auto namesSameWorkers(const LeaseBoundsRecord &a, const LeaseBoundsRecord &b) -> bool
{
    const auto isSame = [](const auto &x, const auto &y) { return x.worker == y.worker; };
    return std::equal(a.bounds.begin(), a.bounds.end(), b.bounds.begin(), b.bounds.end(), isSame)
           && std::equal(a.lateStarts.begin(), a.lateStarts.end(), b.lateStarts.begin(), b.lateStarts.end(), isSame);
}

}

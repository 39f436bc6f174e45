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
}

auto carriedBounds(const KnownLeaseBounds &known, std::int64_t holder, std::int64_t epoch, MonoTime now) -> LeaseBoundsRecord
{
    auto out = LeaseBoundsRecord{.epoch = epoch};
    if (known.epoch == holder) {
        for (const auto &[worker, end] : known.ends) {
            out.bounds.push_back(leaseBound(worker, end, now));
        }
    }
    return out;
}

auto namesSameWorkers(const std::vector<LeaseBound> &a, const std::vector<LeaseBound> &b) -> bool
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const LeaseBound &x, const LeaseBound &y) { return x.worker == y.worker; });
}

}

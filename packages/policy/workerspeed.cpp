#include "policy/workerspeed.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace Catkin
{

namespace
{

/// Weight of samples below which there is no estimate.
constexpr auto minWeight = 8.0;
/// Standard errors in SpeedEstimate::error.
constexpr auto errorWidth = 2.5;
constexpr auto minDeviation = 0.05;
/// A worker with a larger slowness than this, less the error, is slow.
constexpr auto certainSlowness = 0.10;
/// Samples are limited to this distance from the mean of their queue, a factor of two: a task that takes 7 times as long says little about
/// its worker.
constexpr auto maxDistance = 0.7;
/// Samples of a queue before its workers are compared.
constexpr auto minQueueWeight = 4.0;
constexpr auto forgottenWeight = 0.05;
constexpr auto reviewPeriod = Millis{1'000};

/// @return whether there is an entry, or room for one.
template<typename Map, typename Key>
auto hasRoom(Map &sums, const Key &key, std::size_t most, MonoTime now) -> bool
{
    if (sums.contains(key) || sums.size() < most) {
        return true;
    }
    const auto weight = [&](const auto &it) { return decayedTo(it.second, now).weight; };
    const auto least = std::min_element(sums.begin(), sums.end(), [&](const auto &a, const auto &b) { return weight(a) < weight(b); });
    if (weight(*least) >= 1.0) {
        return false;
    }
    sums.erase(least);
    return true;
}

auto isForgotten(const DecayedSums &sums, MonoTime now) -> bool
{
    return decayedTo(sums, now).weight < forgottenWeight;
}

}

auto observeSpeed(WorkerSpeeds &speeds, const WorkerId &worker, const QueueId &queue, double logCost, double weight, MonoTime now) -> void
{
    if (!std::isfinite(logCost) || !hasRoom(speeds.queues, queue, maxSpeedQueues, now)) {
        return;
    }
    auto &all = speeds.queues[queue];
    all = decayedTo(all, now);
    const auto centre = meanOf(all);
    if (all.weight < minQueueWeight) {
        addSample(all, logCost, weight, now);
        return;
    }
    const auto difference = std::clamp(logCost - centre, -maxDistance, maxDistance);
    addSample(all, centre + difference, weight, now);
    if (hasRoom(speeds.workers, worker, maxSpeedWorkers, now)) {
        addSample(speeds.workers[worker], difference, weight, now);
    }
}

auto speedOf(const WorkerSpeeds &speeds, const WorkerId &worker, MonoTime now) -> std::optional<SpeedEstimate>
{
    const auto it = speeds.workers.find(worker);
    const auto own = it == speeds.workers.end() ? DecayedSums{} : decayedTo(it->second, now);
    if (own.weight < minWeight) {
        return std::nullopt;
    }
    const auto difference = meanOf(own) - speeds.median;
    const auto width = errorWidth * std::sqrt(std::max(varianceOf(own), minDeviation * minDeviation) / own.weight);
    return SpeedEstimate{.slowness = std::expm1(difference), .error = std::exp(difference) - std::exp(difference - width), .samples = own.weight};
}

auto reviewSpeeds(WorkerSpeeds &speeds, MonoTime now) -> void
{
    if ((speeds.workers.empty() && speeds.queues.empty()) || now - speeds.reviewedAt < reviewPeriod) {
        return;
    }
    speeds.reviewedAt = now;
    std::erase_if(speeds.workers, [&](const auto &it) { return isForgotten(it.second, now); });
    std::erase_if(speeds.queues, [&](const auto &it) { return isForgotten(it.second, now); });
    auto means = std::vector<double>{};
    for (const auto &[id, it] : speeds.workers) {
        if (decayedTo(it, now).weight >= minWeight) {
            means.push_back(meanOf(it));
        }
    }
    speeds.slow.clear();
    if (means.empty()) {
        return;
    }
    const auto middle = means.begin() + static_cast<std::ptrdiff_t>(means.size() / 2);
    std::nth_element(means.begin(), middle, means.end());
    speeds.median = *middle;
    for (const auto &[id, it] : speeds.workers) {
        const auto speed = speedOf(speeds, id, now);
        if (speed && speed->slowness - speed->error > certainSlowness) {
            speeds.slow.emplace(id, std::log1p(speed->slowness));
        }
    }
}

auto certainLogSlowness(const WorkerSpeeds &speeds, const WorkerId &worker) -> double
{
    const auto it = speeds.slow.find(worker);
    return it == speeds.slow.end() ? 0.0 : it->second;
}

}

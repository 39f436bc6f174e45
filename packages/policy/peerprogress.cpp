#include "policy/peerprogress.h"

#include <algorithm>
#include <chrono>

namespace Catkin
{

namespace
{

constexpr auto wholePercent = 100;
/// Progress of the other tasks, in percent, in which a sound task shows some: a task that is ten times as slow gains more than two percent.
constexpr auto peerProgress = 25.0;
/// Shorter standstills prove nothing: the figures of a list are rough, and lists of different workers are up to a poll apart.
constexpr auto leastStandstill = Millis{1'000};
constexpr auto leastPeers = std::size_t{2};
/// A task that was stopped for want of progress before gets twice as long each time, as it may be slow by itself.
constexpr auto maxDoublings = 12;

auto seconds(Micros span) -> double
{
    return std::chrono::duration<double>(span).count();
}

/// @return progress in percent per second from TaskState::baseAt to its last change; nothing without a change.
auto rateOf(const TaskState &task) -> std::optional<double>
{
    const auto gained = task.percent - task.basePercent;
    if (task.percent < 0 || task.basePercent < 0 || gained <= 0 || task.progressAt <= task.baseAt) {
        return std::nullopt;
    }
    return gained / seconds(task.progressAt - task.baseAt);
}

}

auto typicalRate(const std::vector<TaskState> &tasks) -> std::optional<double>
{
    auto rates = std::vector<double>{};
    for (const auto &it : tasks) {
        if (const auto rate = rateOf(it)) {
            rates.push_back(*rate);
        }
    }
    if (rates.size() < leastPeers) {
        return std::nullopt;
    }
    const auto middle = rates.begin() + static_cast<std::ptrdiff_t>((rates.size() - 1) / 2);
    std::nth_element(rates.begin(), middle, rates.end());
    return *middle;
}

auto fallsBehindPeers(const TaskState &task, double rate, MonoTime listedAt) -> bool
{
    if (task.percent < 0 || task.percent >= wholePercent || listedAt - task.progressAt < leastStandstill) {
        return false;
    }
    const auto limit = peerProgress * static_cast<double>(1 << std::min(task.hungStops, maxDoublings));
    return rate * seconds(listedAt - task.progressAt) >= limit;
}

auto waitsForPeers(const TaskState &task, const std::vector<TaskState> &tasks) -> bool
{
    return task.percent >= wholePercent
           && std::any_of(tasks.begin(), tasks.end(), [](const TaskState &it) { return it.phase == TaskPhase::Placed && it.percent < wholePercent; });
}

}

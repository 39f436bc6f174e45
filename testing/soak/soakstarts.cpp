#include "soak/soakstarts.h"

#include <algorithm>

namespace Catkin::Soak
{

namespace
{

/// `bounds.evacuate_ms`: an evacuation is in force this long after its record has been acknowledged.
constexpr auto evacuationBound = std::chrono::milliseconds{5'000};
/// A planner has read a worker's entry by then and acted on it: the reads of the store wait for records, and a planning pass follows within 200 ms.
constexpr auto entryBound = std::chrono::milliseconds{1'000};
/// An instance that goes on after it was frozen has read the logs again by then.
constexpr auto contactBound = std::chrono::milliseconds{1'000};

/// @return when all instances know of a record that was in the store at @p writtenAt.
auto knownAt(SteadyTime writtenAt, std::chrono::milliseconds bound, const std::vector<FrozenSpan> &frozen) -> SteadyTime
{
    auto known = writtenAt + bound;
    auto spans = frozen;
    std::sort(spans.begin(), spans.end(), [](const FrozenSpan &a, const FrozenSpan &b) { return a.begin < b.begin; });
    for (const auto &it : spans) {
        if (it.end >= writtenAt && it.begin <= known) {
            known = std::max(known, it.end + contactBound);
        }
    }
    return known;
}

auto describe(const char *rule, const StartOrder &order, SteadyTime since) -> std::string
{
    const auto span = std::chrono::duration_cast<std::chrono::milliseconds>(order.at - since).count();
    return std::string(rule) + ": a start order for task " + order.task + ", attempt " + std::to_string(order.attempt) + ", reached " + order.worker + " in "
           + order.domain + " " + std::to_string(span) + " ms after the record";
}

}

auto evacuationViolations(const std::vector<StartOrder> &orders, const std::vector<Evacuation> &evacuations, const std::vector<FrozenSpan> &frozen)
    -> std::vector<std::string>
{
    auto out = std::vector<std::string>{};
    for (const auto &it : evacuations) {
        const auto begin = knownAt(it.acknowledgedAt, evacuationBound, frozen);
        for (const auto &order : orders) {
            if (order.domain == it.domain && order.at >= begin && (!it.revokedAt || order.at < *it.revokedAt)) {
                out.push_back(describe("EVACUATED", order, it.acknowledgedAt));
            }
        }
    }
    return out;
}

auto departureViolations(const std::vector<StartOrder> &orders, const std::map<std::string, SteadyTime> &departures, const std::vector<FrozenSpan> &frozen)
    -> std::vector<std::string>
{
    auto out = std::vector<std::string>{};
    for (const auto &it : orders) {
        const auto departure = departures.find(it.worker);
        if (departure != departures.end() && it.at >= knownAt(departure->second, entryBound, frozen)) {
            out.push_back(describe("LEAVING", it, departure->second));
        }
    }
    return out;
}

auto aloneSince(const Run &run, const std::vector<Run> &runs, const std::function<SteadyTime(SteadyTime)> &allowedUntil) -> std::optional<SteadyTime>
{
    const auto end = run.end.value_or(std::chrono::steady_clock::now());
    auto since = run.begin;
    for (const auto &it : runs) {
        if (it.begin >= end) {
            break;
        }
        if (it.begin > since && std::min(it.begin, end) > allowedUntil(since)) {
            return since;
        }
        since = std::max(since, it.end.value_or(end));
    }
    return since < end && end > allowedUntil(since) ? std::optional{since} : std::nullopt;
}

}

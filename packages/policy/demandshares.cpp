#include "policy/demandshares.h"

#include "util/digest.h"

#include <algorithm>
#include <cmath>

namespace Catkin
{

namespace
{

/// Less than this part of a slot is no demand.
constexpr auto minDemand = 0.02;

struct WeightedDemand
{
    double weight = 1;
    double demand = 0;
};

/// @return max-min fair parts of @p capacity by weight; nobody gets more than the demand.
auto maxMinShares(const std::vector<WeightedDemand> &claims, double capacity) -> std::vector<double>
{
    auto order = std::vector<std::size_t>{};
    auto weight = 0.0;
    for (auto i = std::size_t{0}; i < claims.size(); ++i) {
        if (claims[i].demand > 0) {
            order.push_back(i);
            weight += claims[i].weight;
        }
    }
    std::sort(order.begin(), order.end(), [&](auto a, auto b) { return claims[a].demand * claims[b].weight < claims[b].demand * claims[a].weight; });
    auto shares = std::vector<double>(claims.size());
    for (const auto i : order) {
        shares[i] = std::min(claims[i].demand, capacity * claims[i].weight / weight);
        capacity -= shares[i];
        weight -= claims[i].weight;
    }
    return shares;
}

}

auto workspaceKey(const WorkspaceId &workspace) -> std::uint32_t
{
    return static_cast<std::uint32_t>(xxh64(workspace.str()));
}

DemandMeter::DemandMeter(DemandOptions options)
    : m_options(options)
{
}

auto DemandMeter::offered(std::uint32_t workspace, Micros cost, MonoTime now) -> void
{
    advance(now);
    m_rates[workspace].window += static_cast<double>(cost.count());
}

auto DemandMeter::advance(MonoTime now) -> void
{
    const auto window = std::chrono::duration<double, std::micro>(m_options.window).count();
    const auto passed = (now - m_windowStart) / m_options.window;
    if (passed < 1) {
        return;
    }
    // Only the first of several windows that have passed can hold requests.
    const auto keep = std::exp(-window / std::chrono::duration<double, std::micro>(m_options.decayTime).count());
    const auto idle = std::pow(keep, static_cast<double>(passed - 1));
    for (auto it = m_rates.begin(); it != m_rates.end();) {
        auto &rate = it->second;
        rate.sum = (rate.sum * keep + rate.window / window * (1 - keep)) * idle;
        rate.weight = 1 - (1 - rate.weight) * keep * idle;
        rate.window = 0;
        it = rate.slots() < minDemand / 10 ? m_rates.erase(it) : std::next(it);
    }
    m_windowStart += passed * m_options.window;
}

auto DemandMeter::report(MonoTime now) -> const std::vector<WorkspaceDemand> &
{
    if (m_reportedAt && now - *m_reportedAt < m_options.reportPeriod) {
        return m_reported;
    }
    m_reportedAt = now;
    advance(now);
    struct Change
    {
        WorkspaceDemand demand;
        double size = 0;
    };
    auto changes = std::vector<Change>{};
    auto last = std::unordered_map<std::uint32_t, double>{};
    for (const auto &it : m_reported) {
        last[it.workspace] = it.slots;
        if (!m_rates.contains(it.workspace)) {
            changes.push_back({{it.workspace, 0}, it.slots});
        }
    }
    for (const auto &[workspace, rate] : m_rates) {
        const auto it = last.find(workspace);
        const auto before = it != last.end() ? it->second : 0.0;
        // As heartbeats carry it: the own division must start from the numbers that the peers get.
        const auto value = rate.slots() < minDemand ? 0.0 : static_cast<double>(static_cast<float>(rate.slots()));
        const auto size = std::abs(value - before);
        if (size > std::max(minDemand, m_options.minRelativeChange * before) || (value == 0 && before > 0)) {
            changes.push_back({{workspace, value}, size});
        }
    }
    std::sort(changes.begin(), changes.end(), [](const auto &a, const auto &b) {
        return a.size != b.size ? a.size > b.size : a.demand.workspace < b.demand.workspace;
    });
    changes.resize(std::min(changes.size(), static_cast<std::size_t>(std::max(1, m_options.maxChangesPerReport))));
    for (const auto &it : changes) {
        last[it.demand.workspace] = it.demand.slots;
    }
    m_reported.clear();
    for (const auto &[workspace, slots] : last) {
        if (slots > 0) {
            m_reported.push_back({workspace, slots});
        }
    }
    std::sort(m_reported.begin(), m_reported.end(), [](const auto &a, const auto &b) { return a.workspace < b.workspace; });
    return m_reported;
}

auto DemandMeter::reported() const -> const std::vector<WorkspaceDemand> &
{
    return m_reported;
}

auto divideByDemand(const std::unordered_map<std::uint32_t, double> &weights,
                    std::span<const std::vector<WorkspaceDemand>> demands,
                    double slots,
                    const DemandOptions &options,
                    bool wasShifted) -> DemandDivision
{
    const auto instances = demands.size();
    const auto equal = 1.0 / static_cast<double>(std::max<std::size_t>(1, instances));
    auto division = DemandDivision{.fractions = std::vector<double>(instances, equal)};
    // Ordered tables, so that every instance adds the same numbers in the same order.
    auto keys = std::vector<std::uint32_t>{};
    for (const auto &[key, weight] : weights) {
        keys.push_back(key);
    }
    std::sort(keys.begin(), keys.end());
    auto index = std::unordered_map<std::uint32_t, std::size_t>{};
    auto claims = std::vector<WeightedDemand>(keys.size());
    for (auto w = std::size_t{0}; w < keys.size(); ++w) {
        index[keys[w]] = w;
        claims[w].weight = weights.at(keys[w]);
    }
    auto local = std::vector<std::vector<WeightedDemand>>(instances, claims);
    auto total = 0.0;
    for (auto i = std::size_t{0}; i < instances; ++i) {
        for (const auto &it : demands[i]) {
            const auto at = index.find(it.workspace);
            if (at != index.end() && it.slots > 0) {
                local[i][at->second].demand += it.slots;
                claims[at->second].demand += it.slots;
                total += it.slots;
            }
        }
    }
    // While there is room for everyone, borrowing finds it.
    if (instances < 2 || slots <= 0 || total < slots) {
        return division;
    }
    const auto entitled = maxMinShares(claims, slots);
    auto served = std::vector<double>(claims.size());
    for (const auto &it : local) {
        const auto shares = maxMinShares(it, slots * equal);
        for (auto w = std::size_t{0}; w < shares.size(); ++w) {
            served[w] += shares[w];
        }
    }
    const auto hysteresis = wasShifted ? options.shiftEndFactor : 1.0;
    auto shortfall = 0.0;
    for (auto w = std::size_t{0}; w < claims.size(); ++w) {
        const auto lost = entitled[w] - served[w];
        shortfall += lost > entitled[w] * options.shortThreshold * hysteresis ? lost : 0;
    }
    if (shortfall < slots * options.shiftThreshold * hysteresis) {
        return division;
    }
    division.shifted = true;
    division.weightFactors.resize(instances);
    auto sum = 0.0;
    for (auto i = std::size_t{0}; i < instances; ++i) {
        auto part = 0.0;
        for (auto w = std::size_t{0}; w < claims.size(); ++w) {
            if (claims[w].demand > 0) {
                const auto seen = local[i][w].demand / claims[w].demand;
                part += entitled[w] * seen;
                division.weightFactors[i][keys[w]] = std::max(seen / equal, options.minWeightFactor);
            }
        }
        // The least part lets an instance serve at once what it has not reported yet.
        division.fractions[i] = std::max(part / slots, options.minFraction * equal);
        sum += division.fractions[i];
    }
    for (auto &it : division.fractions) {
        it /= sum;
    }
    return division;
}

auto slotsOfFraction(std::span<const double> fractions, std::size_t self, int slots, std::size_t ordinal) -> int
{
    // Multiples of the golden ratio spread evenly over 0 … 1, however many executors there are.
    constexpr auto goldenRatio = 0.6180339887498949;
    const auto offset = std::fmod(static_cast<double>(ordinal) * goldenRatio, 1.0);
    auto before = 0.0;
    for (auto i = std::size_t{0}; i < self; ++i) {
        before += fractions[i] * slots;
    }
    const auto last = self + 1 == fractions.size();
    const auto after = last ? static_cast<double>(slots) : before + fractions[self] * slots;
    return std::clamp(static_cast<int>(std::floor(after + offset)) - static_cast<int>(std::floor(before + offset)), 0, slots);
}

}

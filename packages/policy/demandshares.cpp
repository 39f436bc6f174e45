#include "policy/demandshares.h"

#include "util/digest.h"

#include <algorithm>
#include <cmath>

namespace Catkin
{

namespace
{

/// A demand below this fraction of a slot counts as none.
constexpr auto minDemand = 0.02;

struct WeightedDemand
{
    double weight = 1;
    double demand = 0;
};

/// @return weighted max-min fair shares of @p capacity; none is larger than its demand.
auto maxMinShares(const std::vector<WeightedDemand> &demands, double capacity) -> std::vector<double>
{
    auto order = std::vector<std::size_t>{};
    auto weight = 0.0;
    for (auto i = std::size_t{0}; i < demands.size(); ++i) {
        if (demands[i].demand > 0) {
            order.push_back(i);
            weight += demands[i].weight;
        }
    }
    std::sort(order.begin(), order.end(), [&](auto a, auto b) { return demands[a].demand * demands[b].weight < demands[b].demand * demands[a].weight; });
    auto shares = std::vector<double>(demands.size());
    for (const auto i : order) {
        shares[i] = std::min(demands[i].demand, capacity * demands[i].weight / weight);
        capacity -= shares[i];
        weight -= demands[i].weight;
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
    // If several windows have passed, only the first of them can hold requests.
    const auto decay = std::exp(-window / std::chrono::duration<double, std::micro>(m_options.decayTime).count());
    const auto idleDecay = std::pow(decay, static_cast<double>(passed - 1));
    for (auto it = m_rates.begin(); it != m_rates.end();) {
        auto &rate = it->second;
        rate.sum = (rate.sum * decay + rate.window / window * (1 - decay)) * idleDecay;
        rate.weight = 1 - (1 - rate.weight) * decay * idleDecay;
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
        // Rounded to float as in heartbeats: this instance must compute the division from the same numbers as its peers.
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
    // Sorted, so that every instance adds the same numbers in the same order.
    auto keys = std::vector<std::uint32_t>{};
    for (const auto &[key, weight] : weights) {
        keys.push_back(key);
    }
    std::sort(keys.begin(), keys.end());
    auto index = std::unordered_map<std::uint32_t, std::size_t>{};
    auto totals = std::vector<WeightedDemand>(keys.size());
    for (auto w = std::size_t{0}; w < keys.size(); ++w) {
        index[keys[w]] = w;
        totals[w].weight = weights.at(keys[w]);
    }
    auto local = std::vector<std::vector<WeightedDemand>>(instances, totals);
    auto total = 0.0;
    for (auto i = std::size_t{0}; i < instances; ++i) {
        for (const auto &it : demands[i]) {
            const auto at = index.find(it.workspace);
            if (at != index.end() && it.slots > 0) {
                local[i][at->second].demand += it.slots;
                totals[at->second].demand += it.slots;
                total += it.slots;
            }
        }
    }
    // While the total demand is below the slots, instances borrow free slots, and no other division is needed.
    if (instances < 2 || slots <= 0 || total < slots) {
        return division;
    }
    const auto entitled = maxMinShares(totals, slots);
    auto served = std::vector<double>(totals.size());
    for (const auto &it : local) {
        const auto shares = maxMinShares(it, slots * equal);
        for (auto w = std::size_t{0}; w < shares.size(); ++w) {
            served[w] += shares[w];
        }
    }
    const auto thresholdFactor = wasShifted ? options.shiftEndFactor : 1.0;
    auto shortfall = 0.0;
    for (auto w = std::size_t{0}; w < totals.size(); ++w) {
        const auto lost = entitled[w] - served[w];
        shortfall += lost > entitled[w] * options.shortThreshold * thresholdFactor ? lost : 0;
    }
    if (shortfall < slots * options.shiftThreshold * thresholdFactor) {
        return division;
    }
    division.shifted = true;
    division.weightFactors.resize(instances);
    auto sum = 0.0;
    for (auto i = std::size_t{0}; i < instances; ++i) {
        auto entitledHere = 0.0;
        for (auto w = std::size_t{0}; w < totals.size(); ++w) {
            if (totals[w].demand > 0) {
                const auto seen = local[i][w].demand / totals[w].demand;
                entitledHere += entitled[w] * seen;
                division.weightFactors[i][keys[w]] = std::max(seen / equal, options.minWeightFactor);
            }
        }
        // With the minimum fraction an instance can serve at once demand that it has not reported yet.
        division.fractions[i] = std::max(entitledHere / slots, options.minFraction * equal);
        sum += division.fractions[i];
    }
    for (auto &it : division.fractions) {
        it /= sum;
    }
    return division;
}

auto slotsOfFraction(std::span<const double> fractions, std::size_t self, int slots, std::size_t ordinal) -> int
{
    // The fractional parts of multiples of the golden ratio are spread evenly over 0 … 1 for any number of executors.
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

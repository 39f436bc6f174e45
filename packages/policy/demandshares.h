#pragma once

/// Divides the executors' slots between instances by the demand that each of them sees.
///
/// Every instance reports the demand of each workspace in its heartbeats and computes the same division from the same
/// reports; nothing is agreed on. The division is equal unless the reports show that equal parts would keep a workspace
/// below its share.
/// @code
///   auto meter = Catkin::DemandMeter{options};
///   meter.offered(Catkin::workspaceKey(workspace), expectedCost, now);   // every request that is not the caller's fault to refuse
///   auto own = meter.report(now);                                        // for the heartbeat
///   auto division = Catkin::divideByDemand(weights, demands, slots, options, wasShifted);
///   auto mine = Catkin::slotsOfFraction(division.fractions, self, executorSlots, ordinal);
/// @endcode

#include "policy/requesttypes.h"

#include <optional>
#include <span>
#include <unordered_map>

namespace Catkin
{

/// @return the key of a workspace in heartbeats: the low 32 bits of the xxHash64 of its name. Two workspaces with the same
///         key (one pair in 70,000 sets of 250 names) are counted as one.
auto workspaceKey(const WorkspaceId &workspace) -> std::uint32_t;

/// Measures what the callers of one instance ask for, served or not; not thread-safe.
class DemandMeter
{
public:
    explicit DemandMeter(DemandOptions options);

    /// Counts a request.
    /// @param cost expected executor time
    auto offered(std::uint32_t workspace, Micros cost, MonoTime now) -> void;

    /// @return the demands to report now, ordered by workspace. Between two calls at most DemandOptions::maxChangesPerReport of them
    ///         change, the largest differences first, which bounds the size of a heartbeat.
    auto report(MonoTime now) -> const std::vector<WorkspaceDemand> &;

    /// @return the demands as last reported.
    [[nodiscard]] auto reported() const -> const std::vector<WorkspaceDemand> &;

private:
    struct Rate
    {
        double window = 0; ///< microseconds of cost offered in the present window
        double sum = 0; ///< of the finished windows, with weights that fall with their age
        double weight = 0; ///< sum of these weights; a workspace seen for a short time has its average at once
        [[nodiscard]] auto slots() const -> double
        {
            return weight > 0 ? sum / weight : 0;
        }
    };

    auto advance(MonoTime now) -> void;

    DemandOptions m_options;
    MonoTime m_windowStart;
    std::optional<MonoTime> m_reportedAt;
    std::unordered_map<std::uint32_t, Rate> m_rates;
    std::vector<WorkspaceDemand> m_reported;
};

struct DemandDivision
{
    bool shifted = false; ///< otherwise the parts are equal and nothing else is set
    std::vector<double> fractions; ///< of the slots, for each instance; adds up to 1
    /// For each instance the factors of the workspaces' weights in its own queue: the part of the workspace's demand that it
    /// sees, relative to an equal part.
    std::vector<std::unordered_map<std::uint32_t, double>> weightFactors;
};

/// @param weights configured weights by workspace key
/// @param demands the reports of all fresh instances, in the same order on every instance
/// @param slots of all executors that the instances share
/// @param wasShifted whether the division in force is shifted: it ends at a lower shortfall than it begins, so that noise
///        does not switch it
auto divideByDemand(const std::unordered_map<std::uint32_t, double> &weights,
                    std::span<const std::vector<WorkspaceDemand>> demands,
                    double slots,
                    const DemandOptions &options,
                    bool wasShifted) -> DemandDivision;

/// @param fractions of the instances; adds up to 1
/// @param self index of the own part
/// @param ordinal position of the executor in the ordered list of those that are shared
/// @return own whole slots of one executor, possibly none. Over all instances they add up to @p slots; over many executors
///         each instance gets its part.
auto slotsOfFraction(std::span<const double> fractions, std::size_t self, int slots, std::size_t ordinal) -> int;

}

#pragma once

/// Divides the executors' slots between instances by the demand that each of them sees.
///
/// @code
///   auto meter = Catkin::DemandMeter{options};
///   meter.offered(Catkin::workspaceKey(workspace), expectedCost, now);   // each request accepted or refused for lack of capacity
///   auto own = meter.report(now);                                        // for the heartbeat
///   auto division = Catkin::divideByDemand(weights, demands, slots, options, wasShifted);
///   auto ownSlots = Catkin::slotsOfFraction(division.fractions, self, executorSlots, ordinal);
/// @endcode
/// Instances with the same reports compute the same division: each reports the demand of every workspace in its heartbeats,
/// and no further agreement is needed. The division is equal unless the reports show that an equal one would keep a
/// workspace below its share.

#include "policy/requesttypes.h"

#include <optional>
#include <span>
#include <unordered_map>

namespace Catkin
{

/// @return the key of a workspace in heartbeats: the low 32 bits of the xxHash64 of its name. Two workspaces with the same
///         key (one pair in 70,000 sets of 250 names) are counted as one.
auto workspaceKey(const WorkspaceId &workspace) -> std::uint32_t;

/// Measures the demand of the callers of one instance, including refused requests; not thread-safe.
class DemandMeter
{
public:
    explicit DemandMeter(DemandOptions options);

    /// Counts a request.
    /// @param workspace workspaceKey() of its name
    /// @param cost expected executor time
    auto offered(std::uint32_t workspace, Micros cost, MonoTime now) -> void;

    /// @return the demands to report now, ordered by workspace. At most DemandOptions::maxChangesPerReport of them, those with
    ///         the largest differences, change between two calls, which bounds the size of a heartbeat.
    auto report(MonoTime now) -> const std::vector<WorkspaceDemand> &;

    /// @return the demands as last reported.
    [[nodiscard]] auto reported() const -> const std::vector<WorkspaceDemand> &;

private:
    struct Rate
    {
        double window = 0; ///< microseconds of cost offered in the present window
        double sum = 0; ///< weighted sum of the finished windows; the weights fall with their age
        double weight = 0; ///< sum of these weights, so that the average is right from the first window on
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
    bool shifted = false; ///< false: the fractions are equal, and weightFactors is empty
    std::vector<double> fractions; ///< fraction of the slots for each instance; the sum is 1
    /// For each instance the factors of the workspaces' weights in its own queue: the fraction of the workspace's demand that
    /// the instance sees, relative to an equal fraction.
    std::vector<std::unordered_map<std::uint32_t, double>> weightFactors;
};

/// Computes the division of slots between instances; deterministic, so that all instances get the same result.
/// @param weights configured weights by workspace key
/// @param demands the reports of all fresh instances, in the same order on every instance
/// @param slots number of slots of all executors that the instances share
/// @param wasShifted whether the present division is shifted. It then stays shifted down to a lower shortfall, so that noise
///        does not switch it (hysteresis).
auto divideByDemand(const std::unordered_map<std::uint32_t, double> &weights,
                    std::span<const std::vector<WorkspaceDemand>> demands,
                    double slots,
                    const DemandOptions &options,
                    bool wasShifted) -> DemandDivision;

/// @param fractions fraction of the slots for each instance; the sum is 1
/// @param self index of this instance
/// @param slots number of slots of the executor
/// @param ordinal position of the executor in the ordered list of shared executors
/// @return this instance's whole slots of one executor, possibly 0. Over all instances they add up to @p slots; over many
///         executors each instance gets its fraction.
auto slotsOfFraction(std::span<const double> fractions, std::size_t self, int slots, std::size_t ordinal) -> int;

}

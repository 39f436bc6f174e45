#pragma once

/// The executors as one entry instance knows them: list, health, limits and loads.
///
/// @code
///   auto table = Catkin::ExecutorTable{options};
///   table.listed(list, now);
///   table.polled(id, sample, now);
///   if (auto *executor = table.choose({.farthest = Catkin::Locality::SameRegion}, random, now)) {
///       table.started(*executor);
///       table.ended(*executor, outcome, elapsed, expected, now);
///   }
/// @endcode

#include "policy/executorhealth.h"
#include "policy/executorlimit.h"
#include "policy/routing.h"

#include <array>
#include <memory>
#include <unordered_map>
#include <vector>

namespace Catkin
{

struct KnownExecutor
{
    ListedExecutor listed;
    Locality locality = Locality::OwnDomain;
    ExecutorHealthTracker health;
    ExecutorLimit limit;
    std::size_t ordinal = 0; ///< among the executors of the own region, by id
    int inFlight = 0;
    std::unordered_map<InstanceId, int> peers; ///< in flight by peer
    int peersInFlight = 0;
    int othersBusy = 0; ///< slots that others used at the last poll
    MonoTime skipUntil; ///< refused lately: not tried before
    int consecutiveRefusals = 0; ///< in a row; each doubles the pause before the next try
};

struct ExecutorCriteria
{
    Locality nearest = Locality::OwnDomain;
    Locality farthest = Locality::SameRegion;
    bool mayProbe = false; ///< an idempotent request, which may be sent to a quarantined executor as its probe
    bool mayBorrow = true; ///< whether slots beyond the own share may be tried
    int leaveFree = 0; ///< chooses only when more than this many own slots are free within reach
};

/// What the executors within a reach can do.
struct ExecutorCapacity
{
    double slots = 0; ///< sum of the own limits
    int usable = 0;
};

/// Not thread-safe. Executors that left the list stay until their attempts have ended.
class ExecutorTable
{
public:
    explicit ExecutorTable(const RequestSchedulerOptions &options);

    auto listed(const std::vector<ListedExecutor> &executors, MonoTime now) -> void;
    auto polled(const ExecutorId &id, const std::optional<HealthSample> &sample, MonoTime now) -> void;
    /// @param fresh names of the entry instances of the own region, which share its executors
    auto setInstances(std::vector<std::string> fresh) -> void;
    /// @param fractions of the slots for each instance, in the same order on all of them; empty for an equal division
    /// @param self index of the own part
    auto divideSlots(std::vector<double> fractions, std::size_t self) -> void;
    /// @return the slots of the usable executors of the own region, whoever uses them.
    [[nodiscard]] auto regionSlots(MonoTime now) const -> int;
    auto peerLoadsChanged(const InstanceId &peer, const std::vector<InFlightLoad> &loads) -> void;

    /// @return an executor with room, or null.
    auto choose(const ExecutorCriteria &criteria, Random &random, MonoTime now) -> KnownExecutor *;
    auto started(KnownExecutor &executor, MonoTime now) -> void;
    /// @param elapsed from sending to the end of the attempt
    /// @param expected usual executor time of such a request
    auto ended(KnownExecutor &executor, DispatchOutcome outcome, Micros elapsed, Micros expected, MonoTime now) -> void;

    /// @return own capacity within the region, or beyond it. Recomputed at most once per millisecond of @p now and
    ///         after changes of health.
    auto capacity(bool otherRegions, MonoTime now) -> ExecutorCapacity;

    [[nodiscard]] auto loads() const -> std::vector<InFlightLoad>;
    [[nodiscard]] auto views(MonoTime now) const -> std::vector<ExecutorView>;

private:
    [[nodiscard]] auto quarantined() const -> int;
    auto eraseUnlisted() -> void;
    auto updateShare(KnownExecutor &executor, int slots) const -> void;
    auto refreshCapacity(MonoTime now) -> void;

    RequestSchedulerOptions m_options;
    std::vector<std::string> m_fresh;
    std::vector<double> m_fractions; ///< of the slots by instance; empty for an equal division
    std::size_t m_self = 0; ///< index of the own part
    std::vector<std::unique_ptr<KnownExecutor>> m_executors;
    std::unordered_map<ExecutorId, KnownExecutor *> m_byId;
    std::unordered_map<InstanceId, std::vector<ExecutorId>> m_reported;
    std::vector<RouteCandidate> m_candidates; ///< reused by choose()
    std::array<ExecutorCapacity, 2> m_capacity; ///< own region, other regions
    std::optional<MonoTime> m_capacityAt;
};

}

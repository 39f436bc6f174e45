#pragma once

/// State of the executors known to one entry instance: list entry, health, limit and load.
///
/// @code
///   auto table = Catkin::ExecutorTable{options};
///   table.listed(list, now);
///   table.polled(id, sample, now);
///   if (auto *executor = table.choose({.farthest = Catkin::Locality::SameRegion}, random, now)) {
///       table.started(*executor, now);
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
    std::size_t ordinal = 0; ///< position among the listed executors of the own region, by id
    int inFlight = 0; ///< own requests
    std::unordered_map<InstanceId, int> peers; ///< requests in flight by peer, as last reported
    int peersInFlight = 0; ///< sum over the peers
    int othersBusy = 0; ///< slots that other instances used at the last poll
    MonoTime skipUntil; ///< after a refusal the executor is not chosen before this time
    int consecutiveRefusals = 0; ///< each doubles the pause before the next attempt
};

/// Conditions of ExecutorTable::choose().
struct ExecutorCriteria
{
    Locality nearest = Locality::OwnDomain;
    Locality farthest = Locality::SameRegion;
    bool mayProbe = false; ///< the request may probe a quarantined executor because it is idempotent
    bool mayBorrow = true; ///< slots beyond the own share may be used
    int leaveFree = 0; ///< an executor is chosen only while more than this many slots are free from nearest to farthest
};

/// Capacity of the executors inside or outside of the own region.
struct ExecutorCapacity
{
    double slots = 0; ///< sum of the own limits
    int usable = 0; ///< number of usable executors
};

/// Table of executors; not thread-safe. An executor that is no longer listed stays until its attempts have ended.
class ExecutorTable
{
public:
    explicit ExecutorTable(const RequestSchedulerOptions &options);

    /// Sets the executors of the instance list.
    auto listed(const std::vector<ListedExecutor> &executors, MonoTime now) -> void;
    /// Reports a health poll.
    /// @param sample the answer, or nothing when the poll failed
    auto polled(const ExecutorId &id, const std::optional<HealthSample> &sample, MonoTime now) -> void;
    /// Sets the instances between which the slots are divided.
    /// @param fresh names of the entry instances of the own region with fresh heartbeats, including this one
    auto setInstances(std::vector<std::string> fresh) -> void;
    /// Sets the division of the slots.
    /// @param fractions fraction of the slots for each instance, in the same order on all of them; empty for an equal division
    /// @param self index of this instance
    auto divideSlots(std::vector<double> fractions, std::size_t self) -> void;
    /// @return the number of slots of all usable executors of the own region, including those of other instances.
    [[nodiscard]] auto regionSlots(MonoTime now) const -> int;
    /// Sets a peer's requests in flight from its heartbeat.
    auto peerLoadsChanged(const InstanceId &peer, const std::vector<InFlightLoad> &loads) -> void;

    /// @return an executor that can take one more request, or null.
    auto choose(const ExecutorCriteria &criteria, Random &random, MonoTime now) -> KnownExecutor *;
    /// Counts the start of an attempt.
    auto started(KnownExecutor &executor, MonoTime now) -> void;
    /// Reports the end of an attempt.
    /// @param elapsed time from sending to the end of the attempt
    /// @param expected expected executor time of the request
    auto ended(KnownExecutor &executor, DispatchOutcome outcome, Micros elapsed, Micros expected, MonoTime now) -> void;

    /// @return own capacity at the executors of the own region, or of other regions. Recomputed at most once per millisecond of
    ///         @p now, and after changes of list, health or division.
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
    std::vector<double> m_fractions; ///< fraction of the slots by instance; empty for an equal division
    std::size_t m_self = 0; ///< index of this instance in m_fractions
    std::vector<std::unique_ptr<KnownExecutor>> m_executors;
    std::unordered_map<ExecutorId, KnownExecutor *> m_byId;
    std::unordered_map<InstanceId, std::vector<ExecutorId>> m_reported; ///< executors in the last report of each peer
    std::vector<RouteCandidate> m_candidates; ///< reused by choose()
    std::array<ExecutorCapacity, 2> m_capacity; ///< own region, other regions
    std::optional<MonoTime> m_capacityAt;
};

}

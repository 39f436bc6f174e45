#pragma once

/// Which entry instances exist, which of them are fresh, and who plans each failure domain.
///
/// Pure: no sockets, no threads, time passed in. Not thread-safe.
/// @code
///   auto members = Catkin::Membership{{.self = id, .domain = domain, .region = region, .incarnation = started}, now};
///   members.setKnown(Catkin::KnownSource::InstanceList, listed);
///   members.observe(heartbeat, now);
///   if (members.planner(domain, now) == id) { ... }
/// @endcode

#include "util/ids.h"
#include "util/units.h"
#include "wire/messages.h"

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Catkin
{

struct MembershipOptions
{
    InstanceId self;
    FailureDomainId domain;
    RegionId region;
    Incarnation incarnation; ///< of this process; see docs/peer-protocol.md
    Millis periodInRegion{500}; ///< heartbeat period between instances of one region
    Millis periodAcross{2000}; ///< heartbeat period between regions
    int freshPeriods = 3; ///< an instance is silent after so many periods without a heartbeat
    /// An instance that is in no list is forgotten after this silence. It also bounds how long an instance
    /// whose wall clock was set back, and whose incarnation therefore decreased, is refused.
    Millis forgetAfter{600'000};
};

/// An instance as settings or the platform's instance list name it.
struct KnownInstance
{
    InstanceId id;
    FailureDomainId domain;
    RegionId region;
    std::string address; ///< "ip:port" for peers
    bool leaving = false; ///< the platform is about to remove it
};

enum class KnownSource { Settings, InstanceList };

enum class InstanceState {
    Silent, ///< no heartbeat within the last periods
    Fresh,
    Draining, ///< fresh, but finishing its work before a stop
};

/// @return the stable lower-case name of @p state.
auto instanceStateName(InstanceState state) -> const char *;

/// What is known about one instance.
struct InstanceView
{
    InstanceId id;
    FailureDomainId domain;
    RegionId region;
    std::string address;
    InstanceState state = InstanceState::Silent;
    bool self = false;
    std::optional<Heartbeat> last; ///< the latest heartbeat of the current incarnation, its loads always complete
    std::optional<Millis> age; ///< since that heartbeat
};

enum class HeartbeatEffect {
    Accepted,
    NewIncarnation, ///< accepted; the instance was unknown, or has restarted and what was known about it is replaced
    OldIncarnation, ///< ignored: a late message of an earlier process
    Self, ///< ignored: carries this instance's own id
};

/// The table of instances.
class Membership
{
public:
    /// @param options identity and periods
    /// @param now start of this process; see settled()
    Membership(MembershipOptions options, MonoTime now);

    /// Replaces what @p source names. Instances known from elsewhere stay.
    auto setKnown(KnownSource source, const std::vector<KnownInstance> &instances) -> void;

    /// Takes a heartbeat into account; partial load lists are merged into the complete one.
    auto observe(const Heartbeat &heartbeat, MonoTime now) -> HeartbeatEffect;

    /// @return the latest heartbeat of @p id with complete lists, or nothing when none has come.
    [[nodiscard]] auto latest(const InstanceId &id) const -> std::optional<Heartbeat>;

    /// @return whether @p incarnation is older than one already seen from @p id.
    [[nodiscard]] auto superseded(const InstanceId &id, Incarnation incarnation) const -> bool;

    /// Sets whether this instance itself is draining.
    auto setDraining(bool draining) -> void;

    /// Drops instances that no source names and that have been silent for long.
    auto forget(MonoTime now) -> void;

    /// @return every known instance including this one, ordered by id.
    [[nodiscard]] auto instances(MonoTime now) const -> std::vector<InstanceView>;

    /// @return the state of @p id; Silent when it is unknown.
    [[nodiscard]] auto state(const InstanceId &id, MonoTime now) const -> InstanceState;

    /// @return the number of instances that are fresh or draining, with this one; at least 1.
    [[nodiscard]] auto freshCount(MonoTime now) const -> std::size_t;

    /// The planner of @p domain as seen from here: rendezvous hash over the fresh instances of the failure domain,
    /// else of its region, else over all. Draining instances are candidates only when there is no other one.
    /// This is a hint that reduces conflicts; two instances may each consider themselves the planner.
    [[nodiscard]] auto planner(const FailureDomainId &domain, MonoTime now) const -> InstanceId;

    /// As above, for a failure domain that holds no entry instance.
    /// @param region the region of @p domain, which is otherwise taken from the instances known in it
    [[nodiscard]] auto planner(const FailureDomainId &domain, const RegionId &region, MonoTime now) const -> InstanceId;

    /// @return whether this process has run long enough to have heard from every reachable instance. Before that
    /// it sees itself as the planner of everything.
    [[nodiscard]] auto settled(MonoTime now) const -> bool;

    /// @return whether this process has run long enough to know who plans the failure domains of region @p target.
    [[nodiscard]] auto settled(const RegionId &target, MonoTime now) const -> bool;

    /// @return the heartbeat period towards an instance of @p region.
    [[nodiscard]] auto period(const RegionId &region) const -> Millis;

private:
    struct Entry
    {
        std::array<std::optional<KnownInstance>, 2> known; // by KnownSource
        std::optional<Heartbeat> last;
        MonoTime lastAt;
    };

    /// @return all of the view but the heartbeat, which is long.
    [[nodiscard]] auto brief(const InstanceId &id, const Entry &entry, MonoTime now) const -> InstanceView;
    [[nodiscard]] auto briefs(MonoTime now) const -> std::vector<InstanceView>;
    [[nodiscard]] auto selfView() const -> InstanceView;

    MembershipOptions m_options;
    MonoTime m_start;
    bool m_draining = false;
    std::map<InstanceId, Entry> m_entries;
};

}

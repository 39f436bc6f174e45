#include "policy/evacuation.h"

#include "util/printable.h"

#include <algorithm>
#include <utility>

namespace Catkin
{

namespace
{

/// From the check of the read's age until a worker carries the order out: three answer timeouts of a start order of 300 ms.
constexpr auto startMargin = Millis{1'000};
/// The last answered read was sent up to 1.6 s ago in ordinary operation, twice the time that a read waits for a record. A shorter limit would
/// suspend starts again and again.
constexpr auto leastReadLimit = Millis{2'500};

}

auto beginSnapshot(EvacuationRecords &records) -> void
{
    records.named.emplace();
}

auto noteEvacuation(EvacuationRecords &records, const FailureDomainId &domain, bool isRequested) -> bool
{
    if (isRequested) {
        if (records.named) {
            records.named->insert(domain);
        }
        return records.inForce.insert(domain).second;
    }
    if (records.named) {
        records.named->erase(domain);
    }
    return records.inForce.erase(domain) > 0;
}

auto noteRead(EvacuationRecords &records) -> bool
{
    auto isChanged = !std::exchange(records.isKnown, true);
    if (const auto named = std::exchange(records.named, std::nullopt)) {
        isChanged = std::erase_if(records.inForce, [&](const FailureDomainId &it) { return !named->contains(it); }) > 0 || isChanged;
    }
    return isChanged;
}

auto setEvacuated(Evacuation &evacuation, const std::set<FailureDomainId> &domains) -> bool
{
    if (evacuation.domains == domains) {
        return false;
    }
    for (const auto &it : domains) {
        if (!evacuation.domains.contains(it)) {
            evacuation.unannounced.insert(it);
        }
    }
    for (const auto &it : evacuation.domains) {
        if (!domains.contains(it)) {
            evacuation.emptied.erase(it);
            // An evacuation that was revoked before its begin was logged leaves no lines.
            if (evacuation.unannounced.erase(it) == 0) {
                evacuation.ended.push_back(it);
            }
        }
    }
    evacuation.domains = domains;
    return true;
}

auto isEvacuated(const Evacuation &evacuation, const FailureDomainId &domain) -> bool
{
    return evacuation.domains.contains(domain);
}

auto takesStarts(const Evacuation &evacuation, const FailureDomainId &domain) -> bool
{
    return !evacuation.isSuspended && !isEvacuated(evacuation, domain);
}

auto noteCold(Evacuation &evacuation, const WorkerId &id, Millis left, MonoTime now) -> void
{
    if (left.count() > 0) {
        evacuation.coldUntil[id] = now + left;
    } else {
        evacuation.coldUntil.erase(id);
    }
}

auto isCold(const Evacuation &evacuation, const WorkerId &id, MonoTime now) -> bool
{
    const auto it = evacuation.coldUntil.find(id);
    return it != evacuation.coldUntil.end() && now < it->second;
}

auto placementReadLimit(std::optional<Millis> bound) -> std::optional<Millis>
{
    return bound ? std::optional{std::max(leastReadLimit, *bound - startMargin)} : std::nullopt;
}

auto isReadRecent(std::optional<MonoTime> readAt, std::optional<Millis> limit, MonoTime now) -> bool
{
    return readAt && (!limit || now - *readAt < *limit);
}

auto takeEvacuationEntries(Evacuation &evacuation, const std::map<FailureDomainId, DomainUse> &uses) -> std::vector<PoolLogEntry>
{
    auto out = std::vector<PoolLogEntry>{};
    for (const auto &it : std::exchange(evacuation.ended, {})) {
        out.push_back({.decision = "evacuation_ended", .text = "domain=" + printable(it.str())});
    }
    for (const auto &it : evacuation.domains) {
        const auto found = uses.find(it);
        const auto use = found == uses.end() ? DomainUse{} : found->second;
        if (evacuation.unannounced.erase(it) > 0) {
            out.push_back({.decision = "evacuation_began",
                           .text = "domain=" + printable(it.str()) + " workers=" + std::to_string(use.workers) + " attempts=" + std::to_string(use.attempts)});
        }
        if (use.attempts == 0 && evacuation.emptied.insert(it).second) {
            out.push_back({.decision = "evacuation_empty", .text = "domain=" + printable(it.str())});
        }
    }
    return out;
}

}

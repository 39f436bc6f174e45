#include "policy/workerentries.h"

#include <utility>

namespace Catkin
{

namespace
{

/// The store drops an entry after three heartbeats of silence; one heartbeat is a margin for late writes and a late store.
constexpr auto departureHeartbeats = 2;

auto sameWorker(const PoolWorkerInfo &a, const PoolWorkerInfo &b) -> bool
{
    return a.address == b.address && a.draining == b.draining && a.born == b.born && a.capacity == b.capacity && a.labels == b.labels && a.service == b.service
           && a.domain == b.domain;
}

}

auto resetEntries(WorkerEntries &entries) -> void
{
    entries.listed.clear();
    entries.readAt = MonoTime::min();
}

auto noteRead(WorkerEntries &entries, MonoTime sentAt) -> void
{
    entries.readAt = sentAt;
}

auto noteEntry(WorkerEntries &entries, const PoolWorkerInfo &info) -> bool
{
    entries.unusable.erase(info.id);
    auto &known = entries.listed[info.id];
    const auto isNew = known.info.id.empty() || !sameWorker(known.info, info);
    known = {.info = info, .writtenAfter = entries.readAt};
    return isNew;
}

auto noteRemoval(WorkerEntries &entries, const WorkerId &id, Millis heartbeat, MonoTime now) -> bool
{
    entries.unusable.erase(id);
    const auto it = entries.listed.find(id);
    if (it == entries.listed.end()) {
        return false;
    }
    const auto &[info, writtenAfter] = it->second;
    if (info.draining && writtenAfter != MonoTime::min() && now - writtenAfter < heartbeat * departureHeartbeats) {
        entries.departed.push_back(id);
    }
    entries.listed.erase(it);
    return true;
}

auto dropEntry(WorkerEntries &entries, const WorkerId &id) -> bool
{
    return entries.listed.erase(id) > 0;
}

auto noteUnusable(WorkerEntries &entries, const WorkerId &id) -> bool
{
    return entries.unusable.size() < maxUnusable && entries.unusable.insert(id).second;
}

auto takeDepartures(WorkerEntries &entries) -> std::vector<WorkerId>
{
    return std::exchange(entries.departed, {});
}

}

#pragma once

/// The workers' entries in the store, and which workers have certainly shut down (departed).
///
/// An entry is removed when its worker has shut down, or when the worker has written nothing for several heartbeats. In
/// the second case the worker may still be running behind a network partition. The time of the removal distinguishes the
/// two cases:
/// @code
///   Catkin::noteRead(entries, sentAt);                 // after each read that returned everything stored when it was sent
///   Catkin::noteEntry(entries, info);                  // for each entry of the next read
///   Catkin::noteRemoval(entries, id, heartbeat, now);  // for each removal of the next read
///   for (const auto &id : Catkin::takeDepartures(entries)) { ... }  // their processes have ended
/// @endcode
///
/// Why a departure is certain: an entry that an earlier read did not return was written after that read had been sent. If
/// its removal is read less than two heartbeats after that, the store cannot have dropped the entry for silence yet. The
/// worker had announced its shutdown (draining), so it removed the entry itself.

#include "policy/poolfleet.h"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace Catkin
{

/// Workers with unusable entries that are remembered; another writer may invent ids without end.
constexpr auto maxUnusable = std::size_t{256};

struct WorkerEntry
{
    PoolWorkerInfo info;
    MonoTime writtenAfter = MonoTime::min(); ///< lower bound of the time of the entry's last write; the minimum: unknown
};

struct WorkerEntries
{
    std::map<WorkerId, WorkerEntry> listed;
    std::vector<WorkerId> departed; ///< not yet returned by takeDepartures()
    MonoTime readAt = MonoTime::min(); ///< sending time of the last read; the minimum: none since the last snapshot
    std::set<WorkerId> unusable; ///< whose last entry could not be used, as far as reported
};

/// Forgets all entries; a snapshot follows.
auto resetEntries(WorkerEntries &entries) -> void;

/// Reports that everything stored at @p sentAt, when the last read was sent, has been noted.
auto noteRead(WorkerEntries &entries, MonoTime sentAt) -> void;

/// @return whether the entry is new or differs from the known one, so that it is more than a heartbeat.
auto noteEntry(WorkerEntries &entries, const PoolWorkerInfo &info) -> bool;

/// @param heartbeat interval between two writes of a worker
/// @return whether the entry was listed.
auto noteRemoval(WorkerEntries &entries, const WorkerId &id, Millis heartbeat, MonoTime now) -> bool;

/// Drops an entry that is no longer usable, although the worker may still be running.
/// @return whether the entry was listed.
auto dropEntry(WorkerEntries &entries, const WorkerId &id) -> bool;

/// Reports an entry that cannot be used. Its writer may repeat it with every heartbeat.
/// @return whether this is the first one since the last usable entry, so that it is worth a log line; never for more than
/// maxUnusable workers at a time.
auto noteUnusable(WorkerEntries &entries, const WorkerId &id) -> bool;

/// @return the workers found to have departed since the last call.
auto takeDepartures(WorkerEntries &entries) -> std::vector<WorkerId>;

}

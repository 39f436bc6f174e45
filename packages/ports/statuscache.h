#pragma once

/// The last status of each worker that names its content by a tag, so that an unchanged status need not be sent again.
///
/// @code
///   auto cache = Catkin::StatusCache{[] { return Catkin::systemClock().mono(); }};
///   auto tag = cache.tagOf(address);                       // empty: read in full
///   cache.store(address, tag, status);
///   auto status = cache.confirm(address, tag);             // the worker says that nothing has changed
/// @endcode
/// Any thread may call the members.
///
/// A tag covers everything but the remaining times and the usage. Remaining times of a confirmed status are the known
/// ones less the time since; ages of usage grow likewise. So that usage does not lag without bound, a status is read in
/// full at least every five minutes.

#include "ports/workerport.h"
#include "util/units.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Catkin
{

class StatusCache
{
public:
    /// @param now monotonic clock
    explicit StatusCache(std::function<MonoTime()> now);

    /// @return the tag of the status kept for @p address; empty when there is none, or when a full read is due.
    [[nodiscard]] auto tagOf(const std::string &address) const -> std::string;

    /// Keeps a status that was read in full; with an empty @p tag it forgets the one kept.
    auto store(const std::string &address, const std::string &tag, const WorkerStatus &status) -> void;

    /// @return the status kept, as of now; nothing when it has another tag.
    [[nodiscard]] auto confirm(const std::string &address, const std::string &tag) const -> std::optional<WorkerStatus>;

    /// Takes over a lease time that the worker has confirmed together with the tag.
    auto renewed(const std::string &address, const std::string &tag, const LeaseId &lease, Millis ttl) -> void;

private:
    struct Entry
    {
        std::string tag;
        WorkerStatus status;
        MonoTime at{}; ///< to which the status's times refer
        MonoTime fullReadDue{};
    };

    static auto age(Entry &entry, MonoTime now) -> void;

    std::function<MonoTime()> m_now;
    mutable std::mutex m_mutex;
    std::map<std::string, Entry> m_entries; ///< by address
    MonoTime m_nextSweep{};
};

}

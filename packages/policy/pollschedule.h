#pragma once

/// When each worker of a pool is polled next. Has no network access, threads or clock of its own.
///
/// @code
///   auto schedule = Catkin::PollSchedule{};
///   schedule.add(id, now);
///   for (const auto &it : schedule.takeDue(now, 64)) { sendPoll(it); }
///   schedule.ended(id, Catkin::PollPause::WhileIdle, now);      // its reply is there
///   schedule.reconsider(id, Catkin::PollPause::None);           // an order was answered
/// @endcode
///
/// Pattern: a fleet of hundreds of workers and hundreds of events a second. An event concerns one worker and costs one entry of an
/// ordered set; nothing looks at all workers at each event.

#include "util/ids.h"
#include "util/units.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace Catkin
{

/// Why the next poll of a worker waits.
enum class PollPause {
    None,
    UntilRecorded, ///< completions that it has reported are not yet stored, and it would report them again
    WhileIdle, ///< nothing can have changed there
    WhileHeld, ///< completions are not acknowledged yet, so that each poll is answered at once
    AfterFailure, ///< the last poll failed
    AfterUrgentFailure, ///< the last poll failed, and the next lifetime of the worker has to be called as early as possible
};

class PollSchedule
{
public:
    /// Adds a worker, whose first poll is due at once. A known worker is due at once again.
    auto add(const WorkerId &id, MonoTime now) -> void;
    auto remove(const WorkerId &id) -> void;

    /// @param limit largest number of workers; the others stay due
    /// @return the workers whose polls are due, longest due first. Their polls count as under way until ended().
    auto takeDue(MonoTime now, std::size_t limit) -> std::vector<WorkerId>;

    /// Reports that the poll of a worker has ended.
    auto ended(const WorkerId &id, PollPause pause, MonoTime now) -> void;

    /// Changes the pause of a worker whose last poll has ended; has no effect while a poll is under way.
    auto reconsider(const WorkerId &id, PollPause pause) -> void;

    /// @return when the next poll is due; nothing if all are under way.
    [[nodiscard]] auto nextDue() const -> std::optional<MonoTime>;

private:
    struct Entry
    {
        bool underWay = false;
        MonoTime endedAt; ///< when the last poll ended
        MonoTime due; ///< valid unless underWay
    };

    auto schedule(const WorkerId &id, Entry &entry, MonoTime due) -> void;
    auto unschedule(const WorkerId &id, Entry &entry) -> void;

    std::map<WorkerId, Entry> m_entries;
    std::set<std::pair<MonoTime, WorkerId>> m_due; ///< of the entries that are not under way
};

}

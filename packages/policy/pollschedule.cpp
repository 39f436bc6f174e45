#include "policy/pollschedule.h"

namespace Catkin
{

namespace
{

/// Longest time for which a poll waits for completions to be stored.
constexpr auto recordPatience = Millis{1'000};
/// Between two polls of a worker that answers at once; new completions are seen this much later.
constexpr auto heldPollInterval = Millis{250};
/// An idle worker is polled this often, so that the estimate of its clock stays good.
constexpr auto idlePollInterval = Millis{5'000};
constexpr auto pollRetryDelay = Millis{200};
constexpr auto urgentRetryDelay = Millis{10};

auto lengthOf(PollPause pause) -> Millis
{
    switch (pause) {
    case PollPause::None:
        break;
    case PollPause::UntilRecorded:
        return recordPatience;
    case PollPause::WhileIdle:
        return idlePollInterval;
    case PollPause::WhileHeld:
        return heldPollInterval;
    case PollPause::AfterFailure:
        return pollRetryDelay;
    case PollPause::AfterUrgentFailure:
        return urgentRetryDelay;
    }
    return Millis{0};
}

}

auto PollSchedule::schedule(const WorkerId &id, Entry &entry, MonoTime due) -> void
{
    entry.underWay = false;
    entry.due = due;
    m_due.emplace(due, id);
}

auto PollSchedule::unschedule(const WorkerId &id, Entry &entry) -> void
{
    if (!entry.underWay) {
        m_due.erase({entry.due, id});
    }
}

auto PollSchedule::add(const WorkerId &id, MonoTime now) -> void
{
    const auto [it, isNew] = m_entries.try_emplace(id);
    if (!isNew) {
        unschedule(id, it->second);
    }
    it->second.endedAt = now;
    schedule(id, it->second, now);
}

auto PollSchedule::remove(const WorkerId &id) -> void
{
    const auto it = m_entries.find(id);
    if (it != m_entries.end()) {
        unschedule(id, it->second);
        m_entries.erase(it);
    }
}

auto PollSchedule::takeDue(MonoTime now, std::size_t limit) -> std::vector<WorkerId>
{
    auto out = std::vector<WorkerId>{};
    while (out.size() < limit && !m_due.empty() && m_due.begin()->first <= now) {
        out.push_back(m_due.begin()->second);
        m_due.erase(m_due.begin());
        m_entries.at(out.back()).underWay = true;
    }
    return out;
}

auto PollSchedule::ended(const WorkerId &id, PollPause pause, MonoTime now) -> void
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end()) {
        return;
    }
    unschedule(id, it->second);
    it->second.endedAt = now;
    schedule(id, it->second, now + lengthOf(pause));
}

auto PollSchedule::reconsider(const WorkerId &id, PollPause pause) -> void
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end() || it->second.underWay) {
        return;
    }
    unschedule(id, it->second);
    schedule(id, it->second, it->second.endedAt + lengthOf(pause));
}

auto PollSchedule::nextDue() const -> std::optional<MonoTime>
{
    return m_due.empty() ? std::nullopt : std::optional{m_due.begin()->first};
}

}

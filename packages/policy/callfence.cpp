#include "policy/callfence.h"

#include <algorithm>

namespace Catkin
{

CallFence::CallFence(std::int64_t epoch)
    : m_epoch(epoch)
    , m_latest(epoch)
{
}

auto CallFence::recordStored(LogOffset offset) -> void
{
    m_latest = std::max(m_latest, offset.value);
}

auto CallFence::startUnanswered(const WorkerId &id) -> void
{
    m_raised.try_emplace(id, Raised{.token = m_epoch}).first->second.isDue = true;
}

auto CallFence::tokenFor(const WorkerId &id) -> std::int64_t
{
    const auto it = m_raised.find(id);
    if (it == m_raised.end()) {
        return m_epoch;
    }
    auto &raised = it->second;
    // Without a newer record the token rises with one of the next calls.
    if (raised.isDue && m_latest > raised.token) {
        raised = {.token = m_latest};
    }
    return raised.token;
}

auto CallFence::isOvertaken(const WorkerId &id, std::int64_t token) const -> bool
{
    const auto it = m_raised.find(id);
    return it != m_raised.end() && it->second.token > token;
}

}

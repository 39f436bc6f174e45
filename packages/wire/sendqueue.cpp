#include "wire/sendqueue.h"

#include <algorithm>

namespace Catkin
{

auto laneOf(TrafficClass traffic) -> Lane
{
    return traffic == TrafficClass::Bulk ? Lane::Bulk : Lane::Control;
}

SendQueue::SendQueue(std::size_t controlBytes, std::size_t bulkBytes)
{
    m_lanes[static_cast<std::size_t>(Lane::Control)].limit = controlBytes;
    m_lanes[static_cast<std::size_t>(Lane::Bulk)].limit = bulkBytes;
}

auto SendQueue::push(Lane lane, QueuedFrame frame) -> bool
{
    auto &queue = m_lanes[static_cast<std::size_t>(lane)];
    if (queue.bytes + frame.frame.size() > queue.limit) {
        return false;
    }
    queue.bytes += frame.frame.size();
    queue.frames.push_back(std::move(frame));
    return true;
}

auto SendQueue::pop(Lane lane) -> std::optional<QueuedFrame>
{
    auto &queue = m_lanes[static_cast<std::size_t>(lane)];
    if (queue.frames.empty()) {
        return std::nullopt;
    }
    auto frame = std::move(queue.frames.front());
    queue.frames.pop_front();
    queue.bytes -= frame.frame.size();
    return frame;
}

auto SendQueue::remove(Lane lane, std::uint64_t call) -> bool
{
    auto &queue = m_lanes[static_cast<std::size_t>(lane)];
    const auto it = std::find_if(queue.frames.begin(), queue.frames.end(), [&](const auto &frame) { return frame.call == call; });
    if (call == 0 || it == queue.frames.end()) {
        return false;
    }
    queue.bytes -= it->frame.size();
    queue.frames.erase(it);
    return true;
}

auto SendQueue::clear(Lane lane) -> void
{
    auto &queue = m_lanes[static_cast<std::size_t>(lane)];
    queue.frames.clear();
    queue.bytes = 0;
}

auto SendQueue::bytes() const -> std::size_t
{
    auto sum = std::size_t{0};
    for (const auto &it : m_lanes) {
        sum += it.bytes;
    }
    return sum;
}

}

#pragma once

/// The messages of one peer that wait for their link, with a bound per lane.
///
/// Not thread-safe.
/// @code
///   auto queue = Catkin::SendQueue{controlBytes, bulkBytes};
///   if (!queue.push(Catkin::Lane::Control, {frame, Catkin::TrafficClass::Control, correlation})) { ... }   // full
///   queue.remove(Catkin::Lane::Control, correlation);   // withdrawn: certainly not sent
///   auto item = queue.pop(Catkin::Lane::Control);
/// @endcode

#include "wire/messages.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace Catkin
{

struct QueuedFrame
{
    std::string frame;
    TrafficClass traffic = TrafficClass::Control;
    std::uint64_t call = 0; ///< correlation id of the call that the frame begins; 0 for others
};

/// @return the lane on which @p traffic travels; handshakes belong to no lane.
auto laneOf(TrafficClass traffic) -> Lane;

/// The queue.
class SendQueue
{
public:
    SendQueue(std::size_t controlBytes, std::size_t bulkBytes);

    /// @return whether there was room.
    auto push(Lane lane, QueuedFrame frame) -> bool;

    /// @return the oldest frame of @p lane.
    auto pop(Lane lane) -> std::optional<QueuedFrame>;

    /// Withdraws the frame that begins @p call.
    /// @return whether it was still queued.
    auto remove(Lane lane, std::uint64_t call) -> bool;

    /// Drops all frames of @p lane.
    auto clear(Lane lane) -> void;

    /// @return the bytes queued on both lanes.
    [[nodiscard]] auto bytes() const -> std::size_t;

private:
    struct Queue
    {
        std::deque<QueuedFrame> frames;
        std::size_t bytes = 0;
        std::size_t limit = 0;
    };

    std::array<Queue, laneCount> m_lanes;
};

}

#include "wire/messages.h"

#include <type_traits>

namespace Catkin
{

namespace
{

template<typename M, typename... Ms>
constexpr auto isOneOf = (std::is_same_v<M, Ms> || ...);

}

auto trafficClass(const Message &message) -> TrafficClass
{
    return std::visit(
        []<typename M>(const M &) {
            if constexpr (isOneOf<M, Hello, Challenge, Proof>) {
                return TrafficClass::Handshake;
            } else if constexpr (isOneOf<M, Heartbeat, Ping>) {
                return TrafficClass::Heartbeat;
            } else if constexpr (isOneOf<M, ConfigOffer, AttemptOutcome, TicketForward, TicketResult>) {
                return TrafficClass::Bulk;
            } else {
                return TrafficClass::Control;
            }
        },
        message);
}

auto trafficClassName(TrafficClass traffic) -> const char *
{
    switch (traffic) {
    case TrafficClass::Handshake:
        return "handshake";
    case TrafficClass::Heartbeat:
        return "heartbeat";
    case TrafficClass::Control:
        return "control";
    case TrafficClass::Bulk:
        return "bulk";
    }
    return "control";
}

auto TrafficCount::operator+=(const TrafficCount &other) -> TrafficCount &
{
    bytesIn += other.bytesIn;
    bytesOut += other.bytesOut;
    messagesIn += other.messagesIn;
    messagesOut += other.messagesOut;
    return *this;
}

}

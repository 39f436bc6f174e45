#include "wire/meshcore.h"

#include <type_traits>
#include <utility>

namespace Catkin
{

namespace
{

/// A request that a handler has not answered yet. Ends when the last copy of its responder is gone, so that a handler
/// that never answers does not use up the peer's share for ever.
struct Serving
{
    std::weak_ptr<MeshCore> core;
    InstanceId peer;
    Incarnation incarnation;
    std::uint64_t correlation = 0;
    std::atomic<bool> answered = false;

    Serving(std::weak_ptr<MeshCore> mesh, InstanceId from, Incarnation process, std::uint64_t id)
        : core(std::move(mesh))
        , peer(std::move(from))
        , incarnation(process)
        , correlation(id)
    {
    }
    Serving(const Serving &) = delete;
    auto operator=(const Serving &) -> Serving & = delete;
    Serving(Serving &&) = delete;
    auto operator=(Serving &&) -> Serving & = delete;
    ~Serving()
    {
        if (const auto mesh = core.lock()) {
            mesh->endServing(peer);
        }
    }
};

template<typename Reply>
auto toMessage(Result<Reply> result) -> Message
{
    if (result) {
        return Message{std::move(result.value())};
    }
    return ErrorReply{result.error().code, result.error().message};
}

}

template<typename Reply, typename Request, typename Handler>
auto MeshCore::serve(const LinkIdentity &from, std::uint64_t correlation, const Request &request, const Handler &handler) -> void
{
    if (!handler) {
        respond(from.instance, from.incarnation, correlation, ErrorReply{ErrorCode::Unavailable, "not served by this instance"});
        return;
    }
    const auto admitted = [&] {
        const auto lock = std::lock_guard{m_mutex};
        auto &serving = m_peers.at(from.instance).serving;
        if (serving >= m_options.maxServing) {
            return false;
        }
        ++serving;
        return true;
    }();
    if (!admitted) {
        respond(from.instance, from.incarnation, correlation, ErrorReply{ErrorCode::Limit, "too many requests of this peer are in progress"});
        return;
    }
    auto serving = std::make_shared<Serving>(weak_from_this(), from.instance, from.incarnation, correlation);
    handler(from.instance, request, [serving](Result<Reply> result) {
        const auto mesh = serving->core.lock();
        if (!serving->answered.exchange(true) && mesh) {
            mesh->respond(serving->peer, serving->incarnation, serving->correlation, toMessage(std::move(result)));
        }
    });
}

auto MeshCore::dispatch(LinkState &state, Envelope envelope) -> Result<void>
{
    const auto &from = state.link.peer();
    if (envelope.response) {
        onResponse(from, std::move(envelope));
        return success();
    }
    const auto id = envelope.correlation;
    return std::visit(
        [&]<typename M>(M &message) -> Result<void> {
            if constexpr (std::is_same_v<M, Heartbeat>) {
                return onHeartbeat(from, std::move(message));
            } else if constexpr (std::is_same_v<M, Ping>) {
                return success();
            } else if constexpr (std::is_same_v<M, std::monostate>) {
                // A later release may send requests that this one does not know.
                if (id != 0) {
                    respond(from.instance, from.incarnation, id, ErrorReply{ErrorCode::Unavailable, "unknown message type"});
                }
                return success();
            } else if constexpr (std::is_same_v<M, ConfigOffer>) {
                if (m_handlers.configOffer) {
                    m_handlers.configOffer(from.instance, message);
                }
                return success();
            } else if constexpr (std::is_same_v<M, JobNotice>) {
                if (m_handlers.jobNotice) {
                    m_handlers.jobNotice(from.instance, message);
                }
                return success();
            } else if constexpr (std::is_same_v<M, AttemptQuery>) {
                serve<AttemptOutcome>(from, id, message, m_handlers.attemptQuery);
                return success();
            } else if constexpr (std::is_same_v<M, TicketForward>) {
                serve<TicketResult>(from, id, message, m_handlers.ticketForward);
                return success();
            } else if constexpr (std::is_same_v<M, JobCancelRequest>) {
                serve<JobStatus>(from, id, message, m_handlers.jobCancel);
                return success();
            } else if constexpr (std::is_same_v<M, JobStatusQuery>) {
                serve<JobStatus>(from, id, message, m_handlers.jobStatusQuery);
                return success();
            } else {
                return failure(ErrorCode::Protocol, "answer that is not marked as a response");
            }
        },
        envelope.message);
}

auto MeshCore::onResponse(const LinkIdentity &from, Envelope envelope) -> void
{
    auto ended = [&] {
        const auto lock = std::lock_guard{m_mutex};
        auto call = m_calls.complete(from.instance, std::move(envelope));
        if (!call) {
            ++m_counters.lateResponses;
        }
        return call;
    }();
    if (ended) {
        ended->done(std::move(ended->result));
    }
}

auto MeshCore::onHeartbeat(const LinkIdentity &from, Heartbeat heartbeat) -> Result<void>
{
    // An instance speaks only for itself and for the process that has proved itself on this link.
    if (heartbeat.instance != from.instance || heartbeat.incarnation != from.incarnation || heartbeat.domain != from.domain) {
        return failure(ErrorCode::Protocol, "heartbeat in the name of " + heartbeat.instance.str());
    }
    heartbeat.region = from.region;
    heartbeat.address = from.address;
    const auto effect = [&] {
        const auto lock = std::lock_guard{m_mutex};
        const auto result = m_members.observe(heartbeat, m_clock.mono());
        if (result == HeartbeatEffect::OldIncarnation) {
            ++m_counters.oldIncarnations;
        }
        return result;
    }();
    if (effect == HeartbeatEffect::OldIncarnation) {
        return failure(ErrorCode::Protocol, "superseded incarnation");
    }
    if (effect == HeartbeatEffect::NewIncarnation) {
        m_targetsChanged = true;
    }
    if (m_handlers.heartbeat) {
        // A heartbeat lists what has changed; the handler gets the whole state.
        const auto complete = [&] {
            const auto lock = std::lock_guard{m_mutex};
            return m_members.latest(heartbeat.instance);
        }();
        m_handlers.heartbeat(complete.value_or(heartbeat), effect);
    }
    return success();
}

}

#include "wire/peermesh.h"

#include "wire/meshcore.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>

namespace Catkin
{

namespace
{

/// How much longer than its deadline a waiting call gives the mesh thread, which may be busy in a handler.
constexpr auto waitGrace = Millis{1000};

/// Starts a call whose answer is of type @p Reply.
template<typename Reply>
auto startCall(MeshCore &core, const InstanceId &peer, Message &&request, Millis timeout, Responder<Reply> done) -> void
{
    const auto response = Message{Reply{}}.index();
    core.call(peer, std::move(request), response, timeout, [done = std::move(done)](Result<Envelope> result) {
        if (!result) {
            done(result.error());
        } else {
            done(std::move(std::get<Reply>(result.value().message)));
        }
    });
}

/// Starts a call and waits for its end.
template<typename Reply>
auto waitCall(MeshCore &core, const InstanceId &peer, Message &&request, Millis timeout) -> Result<Reply>
{
    if (core.onMeshThread()) {
        return failure(ErrorCode::Internal, "a handler must not wait for a call");
    }
    struct Waiting
    {
        std::mutex mutex;
        std::condition_variable ready;
        std::optional<Result<Reply>> result;
    };
    // Shared, because the mesh may end the call after the wait below has given up.
    auto waiting = std::make_shared<Waiting>();
    startCall<Reply>(core, peer, std::move(request), timeout, [waiting](Result<Reply> result) {
        const auto lock = std::lock_guard{waiting->mutex};
        waiting->result = std::move(result);
        waiting->ready.notify_all();
    });
    auto lock = std::unique_lock{waiting->mutex};
    if (!waiting->ready.wait_for(lock, timeout + waitGrace, [&] { return waiting->result.has_value(); })) {
        return failure(ErrorCode::Unknown, "the mesh thread is busy");
    }
    return std::move(*waiting->result);
}

}

PeerMesh::PeerMesh(PeerMeshOptions options, PeerMeshHandlers handlers, Clock clock)
    : m_core(std::make_shared<MeshCore>(std::move(options), std::move(handlers), std::move(clock)))
{
}

PeerMesh::~PeerMesh()
{
    stop();
}

auto PeerMesh::start() -> Result<void>
{
    return m_core->start();
}

auto PeerMesh::stop() -> void
{
    m_core->stop();
}

auto PeerMesh::port() const -> int
{
    return m_core->port();
}

auto PeerMesh::setKnown(KnownSource source, const std::vector<KnownInstance> &instances) -> void
{
    m_core->setKnown(source, instances);
}

auto PeerMesh::announce() -> void
{
    m_core->announce();
}

auto PeerMesh::membership() const -> Membership
{
    return m_core->membership();
}

auto PeerMesh::connected() const -> std::vector<InstanceId>
{
    return m_core->connected();
}

auto PeerMesh::counters() const -> PeerMeshCounters
{
    return m_core->counters();
}

auto PeerMesh::sendConfigOffer(const InstanceId &peer, const ConfigOffer &offer) -> Result<void>
{
    return m_core->sendOneWay(peer, offer);
}

auto PeerMesh::sendJobNotice(const InstanceId &peer, const JobNotice &notice) -> Result<void>
{
    return m_core->sendOneWay(peer, notice);
}

auto PeerMesh::queryAttempt(const InstanceId &peer, const AttemptQuery &query, Millis timeout) -> Result<AttemptOutcome>
{
    return waitCall<AttemptOutcome>(*m_core, peer, query, timeout);
}

auto PeerMesh::forwardTicket(const InstanceId &peer, const TicketForward &forward, Millis timeout) -> Result<TicketResult>
{
    return waitCall<TicketResult>(*m_core, peer, forward, timeout);
}

auto PeerMesh::cancelJob(const InstanceId &peer, const JobCancelRequest &cancel, Millis timeout) -> Result<JobStatus>
{
    return waitCall<JobStatus>(*m_core, peer, cancel, timeout);
}

auto PeerMesh::queryJobStatus(const InstanceId &peer, const JobStatusQuery &query, Millis timeout) -> Result<JobStatus>
{
    return waitCall<JobStatus>(*m_core, peer, query, timeout);
}

auto PeerMesh::queryAttempt(const InstanceId &peer, const AttemptQuery &query, Millis timeout, Responder<AttemptOutcome> done) -> void
{
    startCall<AttemptOutcome>(*m_core, peer, query, timeout, std::move(done));
}

auto PeerMesh::forwardTicket(const InstanceId &peer, const TicketForward &forward, Millis timeout, Responder<TicketResult> done) -> void
{
    startCall<TicketResult>(*m_core, peer, forward, timeout, std::move(done));
}

auto PeerMesh::cancelJob(const InstanceId &peer, const JobCancelRequest &cancel, Millis timeout, Responder<JobStatus> done) -> void
{
    startCall<JobStatus>(*m_core, peer, cancel, timeout, std::move(done));
}

auto PeerMesh::queryJobStatus(const InstanceId &peer, const JobStatusQuery &query, Millis timeout, Responder<JobStatus> done) -> void
{
    startCall<JobStatus>(*m_core, peer, query, timeout, std::move(done));
}

}

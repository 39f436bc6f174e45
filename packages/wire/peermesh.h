#pragma once

/// The connections of one entry instance to all others.
///
/// Each pair of instances keeps two connections, one for control messages and one for payload. One thread runs every connection; no call of this class waits
/// for the network except the blocking calls, which end at their deadline. All public functions may be called from any thread, handlers run on the mesh thread
/// and must not block.
/// @code
///   auto mesh = Catkin::PeerMesh{options, {.localStatus = [&] { return status; }, .configOffer = [&](auto &from, auto &offer) { ... }}, clock};
///   auto started = mesh.start();
///   mesh.setKnown(Catkin::KnownSource::InstanceList, listed);
///   auto outcome = mesh.queryAttempt(winner, query, Catkin::Millis{500});
///   mesh.stop();
/// @endcode
///
/// Errors of calls keep apart what may have had an effect:
/// ErrorCode::NotSent: no byte of the message has left this process, nor ever will.
/// ErrorCode::Limit: the send queue is full, nothing was sent.
/// ErrorCode::Unknown: the message may have reached the peer, and no answer came in time.
/// Any other code was returned by the peer's handler.

#include "util/clock.h"
#include "util/ids.h"
#include "util/outcome.h"
#include "util/units.h"
#include "wire/membership.h"
#include "wire/messages.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Catkin
{

class MeshCore;

struct PeerMeshOptions
{
    InstanceId self;
    FailureDomainId domain;
    RegionId region;
    Incarnation incarnation; ///< must grow from one process of this instance id to the next: wall-clock milliseconds at start
    std::string listenAddress; ///< "ip:port"; port 0 selects a free one
    std::string advertisedAddress; ///< "ip:port" that peers use; empty: the listen address with the actual port
    bool advertise = true; ///< false: peers are told no address and use the one that they know from settings or the list
    std::string key; ///< secret shared by all entry instances; at least 16 bytes
    std::string previousKey; ///< accepted as well while the key is being replaced; empty: none
    Millis periodInRegion{500}; ///< heartbeat period inside the region
    Millis periodAcross{2000}; ///< heartbeat period to other regions
    Millis connectTimeout{1000};
    Millis handshakeTimeout{2000}; ///< from the connection to the last proof, however the bytes are spread
    Millis backoffMin{100}; ///< first delay between attempts to connect; doubles with full jitter
    Millis backoffMax{4000};
    std::size_t controlQueueBytes = std::size_t{256} << 10U; ///< per peer
    std::size_t bulkQueueBytes = std::size_t{2} << 20U; ///< per peer; holds at least one message of the largest size
    std::size_t totalQueueBytes = std::size_t{16} << 20U; ///< over all peers, because an instance has 64 MB in all
    std::size_t maxLinks = 256; ///< open connections; further incoming ones are closed at once
    std::size_t maxCalls = 4096; ///< calls that await their response
    std::size_t maxServing = 1024; ///< requests of one peer that handlers have not answered yet
    std::uint64_t seed = 0; ///< of the jitter; 0: taken from the random source
};

/// What this instance says about itself in its heartbeats.
struct LocalStatus
{
    bool draining = false;
    ConfigVersion configVersion;
    std::vector<ExecutorLoad> executors;
    std::vector<PlannerRole> planners;
    bool reportsDemand = false;
    std::vector<DemandEntry> demands; ///< sent to the own region only, whose instances share executors
};

/// Answers one request; may be called later and from any thread. Only the first call counts. Without one, the peer's
/// call ends at its deadline.
template<typename T>
using Responder = std::function<void(Result<T>)>;

/// Reactions to incoming messages; an absent handler answers requests with ErrorCode::Unavailable. They run on the mesh thread.
struct PeerMeshHandlers
{
    std::function<LocalStatus()> localStatus; ///< asked once per heartbeat round
    std::function<void(const Heartbeat &, HeartbeatEffect)> heartbeat; ///< after it was taken into account; its lists are complete
    std::function<void(const InstanceId &from, const ConfigOffer &)> configOffer;
    std::function<void(const InstanceId &from, const AttemptQuery &, Responder<AttemptOutcome>)> attemptQuery;
    std::function<void(const InstanceId &from, const TicketForward &, Responder<TicketResult>)> ticketForward;
    std::function<void(const InstanceId &from, const JobNotice &)> jobNotice;
    std::function<void(const InstanceId &from, const JobCancelRequest &, Responder<JobStatus>)> jobCancel;
    std::function<void(const InstanceId &from, const JobStatusQuery &, Responder<JobStatus>)> jobStatusQuery;
};

/// Counters since start.
struct PeerMeshCounters
{
    TrafficCounts inRegion{}; ///< handshakes are all counted here
    TrafficCounts acrossRegions{}; ///< charged by volume
    std::uint64_t linksOpened = 0; ///< handshakes completed
    std::uint64_t linksClosed = 0; ///< of those
    std::uint64_t linksSilent = 0; ///< closed because nothing arrived for three periods
    std::uint64_t handshakesFailed = 0; ///< wrong key, broken protocol or deadline
    std::uint64_t connectsFailed = 0;
    std::uint64_t protocolErrors = 0; ///< on authenticated links
    std::uint64_t framesRejected = 0; ///< links closed by a frame that was changed, repeated, left out or moved
    std::uint64_t framesCut = 0; ///< links whose connection ended inside a frame
    std::uint64_t linksPreviousKey = 0; ///< open now and authenticated with the previous key
    std::uint64_t queueFull = 0; ///< messages refused by a bounded queue
    std::uint64_t lateResponses = 0; ///< responses without a call that waits for them
    std::uint64_t oldIncarnations = 0; ///< links or heartbeats of a superseded process
};

/// The mesh.
class PeerMesh
{
public:
    PeerMesh(PeerMeshOptions options, PeerMeshHandlers handlers, Clock clock);
    /// Stops the mesh.
    ~PeerMesh();
    PeerMesh(const PeerMesh &) = delete;
    auto operator=(const PeerMesh &) -> PeerMesh & = delete;
    PeerMesh(PeerMesh &&) = delete;
    auto operator=(PeerMesh &&) -> PeerMesh & = delete;

    /// Listens and starts the mesh thread.
    /// @return ErrorCode::InvalidInput for unusable options; ErrorCode::Unavailable when the address cannot be bound.
    auto start() -> Result<void>;

    /// Closes every connection and ends the thread. Calls that wait end with NotSent or Unknown before this returns.
    /// Responders that are called afterwards do nothing. Must not be called by a handler.
    auto stop() -> void;

    /// @return the port that the mesh listens on; 0 before start().
    [[nodiscard]] auto port() const -> int;

    /// Replaces the instances that @p source names; their links are opened in the background.
    auto setKnown(KnownSource source, const std::vector<KnownInstance> &instances) -> void;

    /// Sends heartbeats at once instead of at the next period, for example when draining starts.
    auto announce() -> void;

    /// @return a copy of the instance table as of now.
    [[nodiscard]] auto membership() const -> Membership;

    /// @return the instances to which authenticated links of both lanes stand.
    [[nodiscard]] auto connected() const -> std::vector<InstanceId>;

    [[nodiscard]] auto counters() const -> PeerMeshCounters;

    /// One-way messages. Success means queued, not received.
    /// @return ErrorCode::NotSent without a link; ErrorCode::Limit when the queue is full or the message too large.
    auto sendConfigOffer(const InstanceId &peer, const ConfigOffer &offer) -> Result<void>;
    auto sendJobNotice(const InstanceId &peer, const JobNotice &notice) -> Result<void>;

    /// Calls that wait. @p timeout covers queueing, the peer's work and the way back.
    /// @return the answer, or an error as described above; ErrorCode::Internal when called by a handler.
    auto queryAttempt(const InstanceId &peer, const AttemptQuery &query, Millis timeout) -> Result<AttemptOutcome>;
    auto forwardTicket(const InstanceId &peer, const TicketForward &forward, Millis timeout) -> Result<TicketResult>;
    auto cancelJob(const InstanceId &peer, const JobCancelRequest &cancel, Millis timeout) -> Result<JobStatus>;
    auto queryJobStatus(const InstanceId &peer, const JobStatusQuery &query, Millis timeout) -> Result<JobStatus>;

    /// The same calls without waiting. @p done is called exactly once, on the mesh thread or, when the message cannot be
    /// queued, by the calling thread before the function returns.
    auto queryAttempt(const InstanceId &peer, const AttemptQuery &query, Millis timeout, Responder<AttemptOutcome> done) -> void;
    auto forwardTicket(const InstanceId &peer, const TicketForward &forward, Millis timeout, Responder<TicketResult> done) -> void;
    auto cancelJob(const InstanceId &peer, const JobCancelRequest &cancel, Millis timeout, Responder<JobStatus> done) -> void;
    auto queryJobStatus(const InstanceId &peer, const JobStatusQuery &query, Millis timeout, Responder<JobStatus> done) -> void;

private:
    std::shared_ptr<MeshCore> m_core; // responders, which may outlive the mesh, hold weak references
};

}

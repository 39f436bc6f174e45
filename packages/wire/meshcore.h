#pragma once

/// Internals of PeerMesh. The state that callers share with the mesh thread is guarded by one mutex, which is held
/// neither across I/O nor while handlers run; links and timers belong to the mesh thread alone.
///
/// @code
///   auto core = std::make_shared<Catkin::MeshCore>(options, handlers, clock);
///   auto started = core->start();
///   auto queued = core->sendOneWay(peer, notice);
///   core->stop();
/// @endcode

#include "util/random.h"
#include "wire/calltable.h"
#include "wire/peerlink.h"
#include "wire/peermesh.h"
#include "wire/sendqueue.h"
#include "wire/sockets.h"

#include <array>
#include <atomic>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace Catkin
{

/// The mesh behind PeerMesh; owned through a shared pointer.
class MeshCore : public std::enable_shared_from_this<MeshCore>
{
public:
    MeshCore(PeerMeshOptions options, PeerMeshHandlers handlers, Clock clock);

    auto start() -> Result<void>;
    auto stop() -> void;
    [[nodiscard]] auto port() const -> int;
    auto setKnown(KnownSource source, const std::vector<KnownInstance> &instances) -> void;
    auto announce() -> void;
    [[nodiscard]] auto membership() const -> Membership;
    [[nodiscard]] auto connected() const -> std::vector<InstanceId>;
    [[nodiscard]] auto counters() const -> PeerMeshCounters;

    /// Queues a one-way message.
    auto sendOneWay(const InstanceId &peer, Message message) -> Result<void>;

    /// Queues a request; @p done is called once, with an envelope that holds alternative @p response of Message.
    auto call(const InstanceId &peer, Message request, std::size_t response, Millis timeout, std::function<void(Result<Envelope>)> done) -> void;

    /// @return whether the calling thread is the mesh thread, which must not wait.
    [[nodiscard]] auto onMeshThread() const -> bool;

    /// Queues the answer to a request; dropped when the asking process is no longer connected.
    auto respond(const InstanceId &peer, Incarnation incarnation, std::uint64_t correlation, Message message) -> void;

    /// Notes that a request has been answered or abandoned by its handler.
    auto endServing(const InstanceId &peer) -> void;

private:
    using LinkKey = std::pair<InstanceId, Lane>;

    /// What callers and the mesh thread share about one peer.
    struct Peer
    {
        SendQueue queue;
        std::array<bool, laneCount> up{};
        Incarnation incarnation; // of the process at the other end of the links
        std::size_t serving = 0; // its requests that handlers have not answered
    };

    struct LinkState
    {
        PeerLink link;
        std::optional<LinkKey> dialed; // whom an outgoing link is to reach
        bool registered = false;
        bool closed = false; // destroyed at the end of the turn
        MonoTime registeredAt{};
        std::uint64_t round = 0; // the heartbeat round whose loads the peer knows; 0: none
    };

    struct Target
    {
        InstanceId id;
        std::string address;
    };

    struct Dial
    {
        MonoTime next;
        Millis backoff{0};
        bool busy = false; // a link is being opened or is registered
    };

    /// Heartbeats to peers of one group: the own region, or others.
    struct Round
    {
        Millis period;
        MonoTime next;
        std::uint64_t number = 0;
        LocalStatus status; // as sent in this round
    };

    using LinkIter = std::list<LinkState>::iterator;

    // Any thread; meshcore.cpp.
    auto enqueue(const InstanceId &peer, TrafficClass traffic, std::string frame, std::uint64_t call) -> Result<void>; // m_mutex held
    auto wake() -> void;
    static auto finish(std::vector<EndedCall> ended) -> void;

    // Incoming messages, mesh thread; meshdispatch.cpp.
    auto dispatch(LinkState &state, Envelope envelope) -> Result<void>;
    auto onResponse(const LinkIdentity &from, Envelope envelope) -> void;
    auto onHeartbeat(const LinkIdentity &from, Heartbeat heartbeat) -> Result<void>;
    template<typename Reply, typename Request, typename Handler>
    auto serve(const LinkIdentity &from, std::uint64_t correlation, const Request &request, const Handler &handler) -> void;

    // Loop, mesh thread; meshloop.cpp.
    auto run() -> void;
    auto pollOnce(Millis timeout) -> void;
    auto acceptLinks() -> void;
    auto serviceLink(LinkIter it, short revents) -> void;
    auto pumpQueues(MonoTime now) -> void;
    auto expireCalls(MonoTime now) -> void;
    auto checkLinks(MonoTime now) -> void;
    auto untilNextEvent(MonoTime now) const -> Millis;
    auto collectCounts() -> void;
    auto drainOnStop() -> void;

    // Links and heartbeats, mesh thread; meshlinks.cpp.
    auto refreshTargets() -> void;
    auto dialDue(MonoTime now) -> void;
    auto scheduleDial(const LinkKey &key, MonoTime now, bool failed) -> void;
    auto registerLink(LinkIter it, MonoTime now) -> bool;
    auto prefersNew(const LinkState &present, const LinkState &candidate, MonoTime now) const -> bool;
    auto closeLink(LinkIter it, const Error &reason, bool replaced) -> void;
    auto reportClosed(const LinkState &state, const Error &reason) -> void;
    auto heartbeatRounds(MonoTime now) -> void;
    auto sendHeartbeat(LinkState &state, const Round &round, const std::string &frame, MonoTime now) -> void;
    [[nodiscard]] auto heartbeatFrame(const LocalStatus &status, const LocalStatus *previous) const -> std::string;
    auto linkOptions() const -> PeerLinkOptions;

    const PeerMeshOptions m_options;
    const PeerMeshHandlers m_handlers;
    const Clock m_clock;
    LinkIdentity m_self; // with the actual address; constant after start()

    std::thread m_thread;
    std::atomic<std::thread::id> m_threadId;
    WakePipe m_wakePipe;
    std::atomic<bool> m_woken = false;
    std::atomic<bool> m_stopping = false;
    std::atomic<bool> m_announce = false;
    std::atomic<bool> m_targetsChanged = true;
    std::atomic<int> m_port = 0;
    std::atomic<std::uint64_t> m_nextCall;

    mutable std::mutex m_mutex; // guards the members up to the next comment
    bool m_running = false;
    std::map<InstanceId, Peer> m_peers;
    CallTable m_calls;
    Membership m_members;
    PeerMeshCounters m_counters;

    // Mesh thread only.
    UniqueFd m_listener;
    MonoTime m_acceptAfter;
    std::list<LinkState> m_links;
    std::map<LinkKey, LinkIter> m_active; // the registered links
    std::vector<Target> m_targets;
    std::map<LinkKey, Dial> m_dials;
    std::array<Round, 2> m_rounds; // own region, other regions
    MonoTime m_nextWarning;
    Random m_random;
};

}

#include "util/logging.h"
#include "wire/frame.h"
#include "wire/meshcore.h"

#include <algorithm>
#include <utility>

namespace Catkin
{

namespace
{

/// Log events of this package; docs/peer-protocol.md lists them.
enum Event { LinkOpened = 5001, LinkClosed = 5002, HandshakeFailed = 5003, ConnectFailed = 5004, OldProcess = 5005, FrameRejected = 5006 };

/// The instance with the greater id connects only after this time without a link, so that a pair normally opens one
/// connection per lane, and still finds each other when only one of them can reach or knows the other.
constexpr auto secondSideDelay = Millis{1000};
/// A link that ends sooner than this after its handshake does not reset the backoff.
constexpr auto stableAfter = Millis{2000};
/// No heartbeat is added behind so many unwritten bytes: the peer does not read, and the link is about to be closed.
constexpr auto heartbeatBacklog = std::size_t{64} << 10U;
/// Loads of executors are most of a heartbeat, and a peer can do without the latest. Inside a region they go with every
/// fourth heartbeat, as often as between regions, and less often with many peers: their cost would otherwise grow with the
/// product of peers and executors beyond the 27 KB/s of an instance (24 instances of one region).
auto roundsPerLoads(std::size_t links) -> std::uint64_t
{
    constexpr auto fewest = std::uint64_t{4};
    constexpr auto linksPerRound = std::size_t{6}; // two links to each peer
    return std::max(fewest, 1 + static_cast<std::uint64_t>(links / linksPerRound));
}

/// At most one warning about failed handshakes in this time, because anyone who reaches the port can cause them.
constexpr auto warningInterval = Millis{1000};

auto laneName(Lane lane) -> const char *
{
    return lane == Lane::Control ? "control" : "bulk";
}

/// @return the entries of @p current that differ from @p previous, with 0 for those that are gone.
auto changedLoads(const std::vector<ExecutorLoad> &previous, const std::vector<ExecutorLoad> &current) -> std::vector<ExecutorLoad>
{
    auto before = std::map<ExecutorId, int>{};
    for (const auto &it : previous) {
        before[it.executor] = it.inFlight;
    }
    auto changes = std::vector<ExecutorLoad>{};
    for (const auto &it : current) {
        const auto known = before.find(it.executor);
        if (known == before.end() ? it.inFlight != 0 : known->second != it.inFlight) {
            changes.push_back(it);
        }
        if (known != before.end()) {
            before.erase(known);
        }
    }
    for (const auto &[executor, inFlight] : before) {
        if (inFlight != 0) {
            changes.push_back({executor, 0});
        }
    }
    return changes;
}

/// As changedLoads(), for demands.
auto changedDemands(const std::vector<DemandEntry> &previous, const std::vector<DemandEntry> &current) -> std::vector<DemandEntry>
{
    auto before = std::map<std::uint32_t, float>{};
    for (const auto &it : previous) {
        before[it.workspace] = it.slots;
    }
    auto changes = std::vector<DemandEntry>{};
    for (const auto &it : current) {
        const auto known = before.extract(it.workspace);
        if (known.empty() || known.mapped() != it.slots) {
            changes.push_back(it);
        }
    }
    for (const auto &[workspace, slots] : before) {
        changes.push_back({workspace, 0});
    }
    return changes;
}

}

auto MeshCore::linkOptions() const -> PeerLinkOptions
{
    constexpr auto silentPeriods = 3;
    return {.handshake = {.self = m_self, .key = m_options.key, .previousKey = m_options.previousKey, .target = {}, .lane = Lane::Control},
            .connectTimeout = m_options.connectTimeout,
            .handshakeTimeout = m_options.handshakeTimeout,
            .silenceInRegion = m_options.periodInRegion * silentPeriods,
            .silenceAcross = m_options.periodAcross * silentPeriods};
}

auto MeshCore::refreshTargets() -> void
{
    const auto now = m_clock.mono();
    m_targets.clear();
    {
        const auto lock = std::lock_guard{m_mutex};
        m_members.forget(now);
        for (const auto &it : m_members.instances(now)) {
            if (!it.self && !it.address.empty()) {
                m_targets.push_back({it.id, it.address});
            }
        }
        std::erase_if(m_peers, [&](const auto &it) {
            const auto &[id, peer] = it;
            const auto known = std::any_of(m_targets.begin(), m_targets.end(), [&](const auto &target) { return target.id == it.first; });
            return !known && !peer.up[0] && !peer.up[1] && peer.serving == 0;
        });
    }
    auto dials = std::map<LinkKey, Dial>{};
    for (const auto &target : m_targets) {
        for (const auto lane : {Lane::Control, Lane::Bulk}) {
            const auto key = LinkKey{target.id, lane};
            if (const auto it = m_dials.find(key); it != m_dials.end()) {
                dials.insert(*it);
            } else {
                // Spread over a moment, because instances that start together also learn of each other together.
                const auto jitter = Millis{uniform(m_random, static_cast<std::uint32_t>(m_options.backoffMin.count()))};
                dials[key] = {
                    .next = now + jitter + (m_self.instance < target.id ? Millis{0} : secondSideDelay), .backoff = Millis{0}, .busy = m_active.contains(key)};
            }
        }
    }
    m_dials = std::move(dials);
}

auto MeshCore::dialDue(MonoTime now) -> void
{
    for (const auto &target : m_targets) {
        for (const auto lane : {Lane::Control, Lane::Bulk}) {
            const auto key = LinkKey{target.id, lane};
            auto &dial = m_dials[key];
            if (dial.busy || dial.next > now) {
                continue;
            }
            if (m_links.size() >= m_options.maxLinks) {
                scheduleDial(key, now, true); // a dial that stays due would keep the thread from sleeping
                continue;
            }
            auto fd = connectTcp(target.address);
            if (!fd) {
                const auto lock = std::lock_guard{m_mutex};
                ++m_counters.connectsFailed;
                scheduleDial(key, now, true);
                continue;
            }
            auto options = linkOptions();
            options.handshake.target = target.id;
            options.handshake.lane = lane;
            m_links.push_back({.link = PeerLink{std::move(fd.value()), LinkRole::Connecting, std::move(options), now}, .dialed = key, .registeredAt = {}});
            dial.busy = true;
        }
    }
}

auto MeshCore::scheduleDial(const LinkKey &key, MonoTime now, bool failed) -> void
{
    const auto it = m_dials.find(key);
    if (it == m_dials.end()) {
        return;
    }
    auto &dial = it->second;
    dial.backoff = failed && dial.backoff > Millis{0} ? std::min(dial.backoff * 2, m_options.backoffMax) : m_options.backoffMin;
    const auto jitter = Millis{1 + uniform(m_random, static_cast<std::uint32_t>(dial.backoff.count()))};
    dial.next = now + jitter + (m_self.instance < key.first || failed ? Millis{0} : secondSideDelay);
    dial.busy = false;
}

auto MeshCore::prefersNew(const LinkState &present, const LinkState &candidate, MonoTime now) const -> bool
{
    if (present.link.peer().incarnation != candidate.link.peer().incarnation) {
        return present.link.peer().incarnation < candidate.link.peer().incarnation;
    }
    // The same side has opened both: it has given up the first one.
    if (present.link.role() == candidate.link.role()) {
        return true;
    }
    // Both sides have opened one: keep the one of the smaller id, as the peer does, unless it may be dead.
    const auto quiet = now - present.link.lastReceived();
    if (quiet > (present.link.sameRegion() ? m_options.periodInRegion : m_options.periodAcross) * 2) {
        return true;
    }
    const auto ownIsSmaller = m_self.instance < candidate.link.peer().instance;
    return (candidate.link.role() == LinkRole::Connecting) == ownIsSmaller;
}

auto MeshCore::registerLink(LinkIter it, MonoTime now) -> bool
{
    const auto peer = it->link.peer();
    const auto key = LinkKey{peer.instance, it->link.lane()};
    const auto otherLane = key.second == Lane::Control ? Lane::Bulk : Lane::Control;
    const auto other = m_active.find({peer.instance, otherLane});
    const auto superseded = [&] {
        const auto lock = std::lock_guard{m_mutex};
        const auto old
            = m_members.superseded(peer.instance, peer.incarnation) || (other != m_active.end() && peer.incarnation < other->second->link.peer().incarnation);
        m_counters.oldIncarnations += old ? 1 : 0;
        return old;
    }();
    if (superseded) {
        logEvent(LogLevel::Warn, OldProcess, "link from a superseded process of " + peer.instance.str() + " refused");
        closeLink(it, failure(ErrorCode::Conflict, "superseded incarnation"), false);
        return false;
    }
    if (const auto present = m_active.find(key); present != m_active.end()) {
        if (!prefersNew(*present->second, *it, now)) {
            closeLink(it, failure(ErrorCode::Conflict, "duplicate link"), true);
            return false;
        }
        const auto sameProcess = present->second->link.peer().incarnation == peer.incarnation;
        closeLink(present->second, failure(ErrorCode::Conflict, "replaced by a newer link"), sameProcess);
    }
    // What remains of an earlier process ends with it: its other lane, and calls that it would have answered.
    if (other != m_active.end() && other->second->link.peer().incarnation < peer.incarnation) {
        closeLink(other->second, failure(ErrorCode::Conflict, "replaced by a newer process"), false);
    }
    it->registered = true;
    it->registeredAt = now;
    m_active[key] = it;
    if (const auto dial = m_dials.find(key); dial != m_dials.end()) {
        dial->second.busy = true;
    }
    {
        const auto lock = std::lock_guard{m_mutex};
        auto &shared = m_peers.try_emplace(peer.instance, Peer{.queue = SendQueue{m_options.controlQueueBytes, m_options.bulkQueueBytes}}).first->second;
        shared.up[static_cast<std::size_t>(key.second)] = true;
        shared.incarnation = peer.incarnation;
        ++m_counters.linksOpened;
        m_counters.linksPreviousKey += it->link.usedPreviousKey() ? 1 : 0;
    }
    logEvent(LogLevel::Info,
             LinkOpened,
             std::string(laneName(key.second)) + " link to " + peer.instance.str() + " at " + peer.address + " opened"
                 + (it->link.usedPreviousKey() ? " with the previous key" : ""));
    if (key.second == Lane::Control) {
        const auto &round = m_rounds[it->link.sameRegion() ? 0 : 1];
        sendHeartbeat(*it, round, heartbeatFrame(round.status, nullptr), now);
        [[maybe_unused]] const auto flushed = it->link.flush(now);
    }
    return true;
}

auto MeshCore::closeLink(LinkIter it, const Error &reason, bool replaced) -> void
{
    if (it->closed) {
        return;
    }
    it->closed = true;
    const auto now = m_clock.mono();
    reportClosed(*it, reason);
    if (!it->registered) {
        // A duplicate that lost is no failure: the link that won serves the pair.
        if (it->dialed && !m_active.contains(*it->dialed)) {
            scheduleDial(*it->dialed, now, true);
        }
        return;
    }
    const auto key = LinkKey{it->link.peer().instance, it->link.lane()};
    m_active.erase(key);
    auto ended = [&] {
        const auto lock = std::lock_guard{m_mutex};
        ++m_counters.linksClosed;
        m_counters.linksPreviousKey -= it->link.usedPreviousKey() ? 1 : 0;
        // Calls of a replaced link stay: the same process may answer them on the new one.
        if (replaced) {
            return std::vector<EndedCall>{};
        }
        auto &shared = m_peers.at(key.first);
        shared.up[static_cast<std::size_t>(key.second)] = false;
        shared.queue.clear(key.second);
        return m_calls.failLane(key.first, key.second);
    }();
    scheduleDial(key, now, now - it->registeredAt < stableAfter);
    finish(std::move(ended));
}

auto MeshCore::reportClosed(const LinkState &state, const Error &reason) -> void
{
    const auto now = m_clock.mono();
    if (state.registered) {
        const auto text = std::string(laneName(state.link.lane())) + " link to " + state.link.peer().instance.str() + " closed: " + reason.message;
        const auto changed = reason.code == ErrorCode::Unauthorized;
        {
            const auto lock = std::lock_guard{m_mutex};
            m_counters.protocolErrors += reason.code == ErrorCode::Protocol ? 1 : 0;
            m_counters.framesRejected += changed ? 1 : 0;
            m_counters.framesCut += reason.code == ErrorCode::Unavailable && state.link.insideFrame() ? 1 : 0;
        }
        if (changed) {
            logEvent(LogLevel::Warn, FrameRejected, text);
        } else {
            logEvent(LogLevel::Info, LinkClosed, text);
        }
        return;
    }
    if (reason.code == ErrorCode::Conflict) {
        return;
    }
    if (state.dialed && reason.code == ErrorCode::Unavailable) {
        const auto lock = std::lock_guard{m_mutex};
        ++m_counters.connectsFailed;
        logEvent(LogLevel::Debug, ConnectFailed, "no connection to " + state.dialed->first.str() + ": " + reason.message);
        return;
    }
    {
        const auto lock = std::lock_guard{m_mutex};
        ++m_counters.handshakesFailed;
    }
    if (now >= m_nextWarning) {
        m_nextWarning = now + warningInterval;
        const auto who = state.dialed ? "with " + state.dialed->first.str() : std::string("of an incoming connection");
        logEvent(LogLevel::Warn, HandshakeFailed, "handshake " + who + " failed: " + reason.message);
    }
}

auto MeshCore::heartbeatFrame(const LocalStatus &status, const LocalStatus *previous) const -> std::string
{
    auto heartbeat = Heartbeat{.instance = m_self.instance,
                               .incarnation = m_self.incarnation,
                               .domain = m_self.domain,
                               .region = {},
                               .address = {},
                               .draining = status.draining,
                               .configVersion = status.configVersion,
                               .fullLoads = previous == nullptr,
                               .executors = changedLoads(previous != nullptr ? previous->executors : std::vector<ExecutorLoad>{}, status.executors),
                               .planners = status.planners,
                               .reportsDemand = status.reportsDemand,
                               .demands = changedDemands(previous != nullptr ? previous->demands : std::vector<DemandEntry>{}, status.demands)};
    // Liveness must not depend on the lists, which the caller may have let grow beyond the bounds of a message.
    heartbeat.executors.resize(std::min(heartbeat.executors.size(), maxListLength));
    heartbeat.planners.resize(std::min(heartbeat.planners.size(), maxListLength));
    heartbeat.demands.resize(std::min(heartbeat.demands.size(), maxListLength));
    auto frame = encodeFrame({.correlation = 0, .response = false, .message = heartbeat});
    if (!frame) {
        heartbeat.executors.clear();
        heartbeat.planners.clear();
        heartbeat.demands.clear();
        heartbeat.reportsDemand = false;
        frame = encodeFrame({.correlation = 0, .response = false, .message = std::move(heartbeat)});
    }
    return frame.value();
}

auto MeshCore::sendHeartbeat(LinkState &state, const Round &round, const std::string &frame, MonoTime now) -> void
{
    if (state.link.pendingBytes() > heartbeatBacklog) {
        state.round = 0;
        return;
    }
    state.link.send(frame, TrafficClass::Heartbeat, now);
    state.round = round.number;
}

auto MeshCore::heartbeatRounds(MonoTime now) -> void
{
    const auto announce = m_announce.exchange(false);
    auto status = std::optional<LocalStatus>{};
    for (auto group = std::size_t{0}; group < m_rounds.size(); ++group) {
        auto &round = m_rounds[group];
        if (round.next > now && !announce) {
            continue;
        }
        if (!status) {
            status = m_handlers.localStatus ? m_handlers.localStatus() : LocalStatus{};
            const auto lock = std::lock_guard{m_mutex};
            m_members.setDraining(status->draining);
            m_targetsChanged = true; // addresses may have changed, instances may have to be forgotten
        }
        // Instances that were paused must not send the rounds that they missed.
        round.next = std::max(round.next + round.period, now + round.period / 2);
        auto sent = *status;
        if (group == 0 && round.number % roundsPerLoads(m_active.size()) != 0) {
            sent.executors = round.status.executors;
        }
        if (group != 0) {
            sent.reportsDemand = false;
            sent.demands.clear();
        }
        const auto previous = std::exchange(round.status, std::move(sent));
        ++round.number;
        auto full = std::string{};
        auto partial = std::string{};
        for (auto &[key, it] : m_active) {
            if (it->link.sameRegion() != (group == 0)) {
                continue;
            }
            if (key.second == Lane::Bulk) {
                if (it->link.pendingBytes() == 0) {
                    static const auto ping = encodeFrame({.correlation = 0, .response = false, .message = Ping{}}).value();
                    it->link.send(ping, TrafficClass::Heartbeat, now);
                }
            } else {
                const auto known = it->round != 0 && it->round + 1 == round.number;
                auto &frame = known ? partial : full;
                if (frame.empty()) {
                    frame = heartbeatFrame(round.status, known ? &previous : nullptr);
                }
                sendHeartbeat(*it, round, frame, now);
            }
            [[maybe_unused]] const auto flushed = it->link.flush(now); // a broken connection is reported by the next poll
        }
    }
}

}

#include "wire/meshcore.h"

#include "util/digest.h"
#include "wire/frame.h"

#include <algorithm>
#include <cstdlib>

namespace Catkin
{

namespace
{

constexpr auto minKeyLength = std::size_t{16};

auto randomSeed() -> std::uint64_t
{
    constexpr auto seedBytes = std::size_t{8};
    constexpr auto hexBase = 16;
    return std::strtoull(randomHex(seedBytes).c_str(), nullptr, hexBase);
}

auto optionsError(const PeerMeshOptions &options) -> std::string
{
    const auto tooLong = [](const std::string &id) { return id.size() > maxIdLength; };
    if (options.self.empty() || options.domain.empty() || options.region.empty()) {
        return "instance, failure domain and region must be set";
    }
    if (tooLong(options.self.str()) || tooLong(options.domain.str()) || tooLong(options.region.str()) || tooLong(options.advertisedAddress)) {
        return "an identifier is longer than " + std::to_string(maxIdLength) + " bytes";
    }
    if (options.key.size() < minKeyLength || (!options.previousKey.empty() && options.previousKey.size() < minKeyLength)) {
        return "each peer key must have at least " + std::to_string(minKeyLength) + " bytes";
    }
    for (const auto time :
         {options.periodInRegion, options.periodAcross, options.connectTimeout, options.handshakeTimeout, options.backoffMin, options.backoffMax}) {
        if (time <= Millis{0}) {
            return "periods and timeouts must be positive";
        }
    }
    if (options.bulkQueueBytes < maxFramePayload + frameHeaderSize) {
        return "the bulk queue must hold a message of the largest size";
    }
    return {};
}

}

MeshCore::MeshCore(PeerMeshOptions options, PeerMeshHandlers handlers, Clock clock)
    : m_options(std::move(options))
    , m_handlers(std::move(handlers))
    , m_clock(std::move(clock))
    // Ids start at a random place, so that a response to an earlier process of this instance matches no call.
    , m_nextCall(randomSeed())
    , m_members({.self = m_options.self,
                 .domain = m_options.domain,
                 .region = m_options.region,
                 .incarnation = m_options.incarnation,
                 .periodInRegion = m_options.periodInRegion,
                 .periodAcross = m_options.periodAcross},
                m_clock.mono())
    , m_random(m_options.seed != 0 ? m_options.seed : randomSeed())
{
    m_rounds[0].period = m_options.periodInRegion;
    m_rounds[1].period = m_options.periodAcross;
}

auto MeshCore::start() -> Result<void>
{
    if (auto reason = optionsError(m_options); !reason.empty()) {
        return failure(ErrorCode::InvalidInput, std::move(reason));
    }
    if (m_thread.joinable() || m_stopping) {
        return failure(ErrorCode::InvalidInput, "a mesh can be started once");
    }
    auto listener = listenTcp(m_options.listenAddress);
    if (!listener) {
        return listener.error();
    }
    if (auto opened = m_wakePipe.open(); !opened) {
        return opened.error();
    }
    m_listener = std::move(listener.value());
    m_port = localPort(m_listener.get());
    auto address = m_options.advertisedAddress;
    if (!m_options.advertise) {
        address.clear();
    } else if (address.empty()) {
        address = m_options.listenAddress.substr(0, m_options.listenAddress.rfind(':') + 1) + std::to_string(m_port);
    }
    m_self = {m_options.self, m_options.incarnation, m_options.domain, m_options.region, address};
    {
        const auto lock = std::lock_guard{m_mutex};
        m_running = true;
    }
    m_thread = std::thread{[this] { run(); }};
    return success();
}

auto MeshCore::stop() -> void
{
    if (!m_stopping.exchange(true)) {
        wake();
    }
    if (m_thread.joinable()) {
        m_thread.join();
    }
    auto ended = [&] {
        const auto lock = std::lock_guard{m_mutex};
        m_running = false;
        m_peers.clear();
        return m_calls.failAll();
    }();
    finish(std::move(ended));
}

auto MeshCore::port() const -> int
{
    return m_port;
}

auto MeshCore::setKnown(KnownSource source, const std::vector<KnownInstance> &instances) -> void
{
    {
        const auto lock = std::lock_guard{m_mutex};
        m_members.setKnown(source, instances);
    }
    m_targetsChanged = true;
    wake();
}

auto MeshCore::announce() -> void
{
    m_announce = true;
    wake();
}

auto MeshCore::membership() const -> Membership
{
    const auto lock = std::lock_guard{m_mutex};
    return m_members;
}

auto MeshCore::connected() const -> std::vector<InstanceId>
{
    const auto lock = std::lock_guard{m_mutex};
    auto ids = std::vector<InstanceId>{};
    for (const auto &[id, peer] : m_peers) {
        if (std::all_of(peer.up.begin(), peer.up.end(), [](bool up) { return up; })) {
            ids.push_back(id);
        }
    }
    return ids;
}

auto MeshCore::counters() const -> PeerMeshCounters
{
    const auto lock = std::lock_guard{m_mutex};
    return m_counters;
}

auto MeshCore::onMeshThread() const -> bool
{
    return m_threadId.load() == std::this_thread::get_id();
}

auto MeshCore::wake() -> void
{
    if (m_wakePipe.readFd() >= 0 && !m_woken.exchange(true)) {
        m_wakePipe.wake();
    }
}

auto MeshCore::enqueue(const InstanceId &peer, TrafficClass traffic, std::string frame, std::uint64_t call) -> Result<void>
{
    const auto lane = laneOf(traffic);
    const auto it = m_peers.find(peer);
    if (!m_running || it == m_peers.end() || !it->second.up[static_cast<std::size_t>(lane)]) {
        return failure(ErrorCode::NotSent, "no link to " + peer.str());
    }
    auto total = frame.size();
    for (const auto &[id, other] : m_peers) {
        total += other.queue.bytes();
    }
    if (total > m_options.totalQueueBytes || !it->second.queue.push(lane, {std::move(frame), traffic, call})) {
        ++m_counters.queueFull;
        return failure(ErrorCode::Limit, "send queue to " + peer.str() + " is full");
    }
    return success();
}

auto MeshCore::sendOneWay(const InstanceId &peer, Message message) -> Result<void>
{
    const auto traffic = trafficClass(message);
    auto frame = encodeFrame({.correlation = 0, .response = false, .message = std::move(message)});
    if (!frame) {
        return frame.error();
    }
    auto queued = [&] {
        const auto lock = std::lock_guard{m_mutex};
        return enqueue(peer, traffic, std::move(frame.value()), 0);
    }();
    if (queued) {
        wake();
    }
    return queued;
}

auto MeshCore::call(const InstanceId &peer, Message request, std::size_t response, Millis timeout, std::function<void(Result<Envelope>)> done) -> void
{
    auto id = m_nextCall.fetch_add(1);
    while (id == 0) {
        id = m_nextCall.fetch_add(1);
    }
    const auto traffic = trafficClass(request);
    auto queued = [&]() -> Result<void> {
        if (timeout <= Millis{0}) {
            return failure(ErrorCode::NotSent, "no time left");
        }
        auto frame = encodeFrame({.correlation = id, .response = false, .message = std::move(request)});
        if (!frame) {
            return frame.error();
        }
        const auto lock = std::lock_guard{m_mutex};
        if (m_calls.size() >= m_options.maxCalls) {
            ++m_counters.queueFull;
            return failure(ErrorCode::Limit, "too many calls wait for a response");
        }
        if (auto result = enqueue(peer, traffic, std::move(frame.value()), id); !result) {
            return result;
        }
        m_calls.add(id, {.peer = peer, .lane = laneOf(traffic), .response = response, .deadline = m_clock.mono() + timeout, .done = done});
        return success();
    }();
    if (!queued) {
        done(queued.error());
        return;
    }
    wake();
}

auto MeshCore::respond(const InstanceId &peer, Incarnation incarnation, std::uint64_t correlation, Message message) -> void
{
    auto traffic = trafficClass(message);
    auto frame = encodeFrame({.correlation = correlation, .response = true, .message = std::move(message)});
    if (!frame) {
        // The work has been done, so the asking side must not take the error for "not run".
        traffic = TrafficClass::Control;
        frame = encodeFrame({.correlation = correlation, .response = true, .message = ErrorReply{ErrorCode::Unknown, "the answer is too long for a message"}});
    }
    {
        const auto lock = std::lock_guard{m_mutex};
        const auto it = m_peers.find(peer);
        if (it == m_peers.end() || it->second.incarnation != incarnation || !enqueue(peer, traffic, std::move(frame.value()), 0)) {
            return;
        }
    }
    wake();
}

auto MeshCore::endServing(const InstanceId &peer) -> void
{
    const auto lock = std::lock_guard{m_mutex};
    if (const auto it = m_peers.find(peer); it != m_peers.end() && it->second.serving > 0) {
        --it->second.serving;
    }
}

auto MeshCore::finish(std::vector<EndedCall> ended) -> void
{
    for (auto &it : ended) {
        it.done(std::move(it.result));
    }
}

}

#include "wire/meshcore.h"

#include "util/threadname.h"

#include <poll.h>

#include <algorithm>

namespace Catkin
{

namespace
{

/// The thread looks at its timers at least this often; also bounds how late it follows a clock that is set by hand.
constexpr auto maxWait = Millis{250};
/// Frames stay withdrawable in their queue until the link has less than this to write.
constexpr auto linkBufferBytes = std::size_t{64} << 10U;
/// Incoming connections accepted per turn.
constexpr auto acceptsPerTurn = 16;
/// Incoming connections that may be in their handshake at once; those with the key need milliseconds.
constexpr auto maxIncomingHandshakes = 64;
/// How long to leave the listener alone when the process is out of descriptors.
constexpr auto acceptPause = Millis{200};
/// How long a stopping mesh tries to write what is queued.
constexpr auto stopDrain = Millis{250};

}

auto MeshCore::run() -> void
{
    nameThread("mesh");
    m_threadId = std::this_thread::get_id();
    const auto start = m_clock.mono();
    for (auto &round : m_rounds) {
        round.next = start;
    }
    while (!m_stopping) {
        const auto now = m_clock.mono();
        if (m_targetsChanged.exchange(false)) {
            refreshTargets();
        }
        heartbeatRounds(now);
        dialDue(now);
        pumpQueues(now);
        checkLinks(now);
        expireCalls(now);
        collectCounts();
        pollOnce(untilNextEvent(now));
    }
    drainOnStop();
    collectCounts();
    m_active.clear();
    m_links.clear();
    m_listener.reset();
    m_threadId = std::thread::id{};
}

auto MeshCore::pollOnce(Millis timeout) -> void
{
    auto fds = std::vector<pollfd>{};
    auto links = std::vector<LinkIter>{};
    fds.reserve(m_links.size() + 2);
    links.reserve(m_links.size());
    fds.push_back({.fd = m_wakePipe.readFd(), .events = POLLIN, .revents = 0});
    // A negative descriptor is ignored by poll(2).
    fds.push_back({.fd = m_clock.mono() < m_acceptAfter ? -1 : m_listener.get(), .events = POLLIN, .revents = 0});
    for (auto it = m_links.begin(); it != m_links.end(); ++it) {
        fds.push_back({.fd = it->link.fd(), .events = it->link.events(), .revents = 0});
        links.push_back(it);
    }
    if (poll(fds.data(), fds.size(), static_cast<int>(timeout.count())) <= 0) {
        return;
    }
    if (fds[0].revents != 0) {
        // Drained before the flag is cleared: a wake in between sets the flag without writing, and is seen because the
        // shared state is read after this.
        m_wakePipe.drain();
        m_woken = false;
    }
    // Control links first: their messages are small, and heartbeats are among them.
    for (const auto lane : {Lane::Control, Lane::Bulk}) {
        for (auto i = std::size_t{0}; i < links.size(); ++i) {
            if (auto &polled = fds[i + 2]; polled.revents != 0 && (links[i]->link.lane() == lane)) {
                const auto revents = std::exchange(polled.revents, short{0});
                // Servicing one link may close another one, which is then marked instead of destroyed.
                serviceLink(links[i], revents);
            }
        }
    }
    m_links.remove_if([](const LinkState &state) { return state.closed; });
    if (fds[1].revents != 0) {
        acceptLinks();
    }
}

auto MeshCore::acceptLinks() -> void
{
    const auto now = m_clock.mono();
    for (auto i = 0; i < acceptsPerTurn; ++i) {
        auto fd = acceptTcp(m_listener.get());
        if (!fd) {
            if (fd.error().code != ErrorCode::NotFound) {
                m_acceptAfter = now + acceptPause;
            }
            return;
        }
        const auto unproved
            = std::count_if(m_links.begin(), m_links.end(), [](const auto &it) { return it.link.role() == LinkRole::Accepting && !it.link.authenticated(); });
        if (m_links.size() < m_options.maxLinks && unproved < maxIncomingHandshakes) {
            m_links.push_back({.link = PeerLink{std::move(fd.value()), LinkRole::Accepting, linkOptions(), now}, .dialed = {}, .registeredAt = {}});
        }
    }
}

auto MeshCore::serviceLink(LinkIter it, short revents) -> void
{
    if (it->closed) {
        return;
    }
    const auto now = m_clock.mono();
    auto received = it->link.onReady(revents, now);
    if (!received) {
        closeLink(it, received.error(), false);
        return;
    }
    if (it->link.authenticated() && !it->registered && !registerLink(it, now)) {
        return;
    }
    for (auto &envelope : received.value()) {
        if (auto handled = dispatch(*it, std::move(envelope)); !handled) {
            closeLink(it, handled.error(), false);
            return;
        }
    }
}

auto MeshCore::pumpQueues(MonoTime now) -> void
{
    for (auto &[key, it] : m_active) {
        auto frames = std::vector<QueuedFrame>{};
        if (auto room = it->link.pendingBytes(); room < linkBufferBytes) {
            const auto lock = std::lock_guard{m_mutex};
            auto &queue = m_peers.at(key.first).queue;
            while (room < linkBufferBytes) {
                auto frame = queue.pop(key.second);
                if (!frame) {
                    break;
                }
                // From here on the peer may see the message.
                m_calls.markSent(frame->call);
                room += frame->frame.size();
                frames.push_back(std::move(*frame));
            }
        }
        for (const auto &frame : frames) {
            it->link.send(frame.frame, frame.traffic, now);
        }
        if (!frames.empty()) {
            // A broken connection is reported by the next poll.
            [[maybe_unused]] const auto flushed = it->link.flush(now);
        }
    }
}

auto MeshCore::expireCalls(MonoTime now) -> void
{
    auto ended = [&] {
        const auto lock = std::lock_guard{m_mutex};
        auto expired = m_calls.expire(now);
        for (const auto &call : expired) {
            // "Not sent" is only true when the message can never leave.
            if (const auto peer = m_peers.find(call.peer); peer != m_peers.end()) {
                peer->second.queue.remove(call.lane, call.id);
            }
        }
        return expired;
    }();
    finish(std::move(ended));
}

auto MeshCore::checkLinks(MonoTime now) -> void
{
    for (auto it = m_links.begin(); it != m_links.end(); ++it) {
        if (it->closed) {
            continue;
        }
        if (auto alive = it->link.checkDeadlines(now); !alive) {
            if (it->registered) {
                const auto lock = std::lock_guard{m_mutex};
                ++m_counters.linksSilent;
            }
            closeLink(it, alive.error(), false);
        }
    }
    m_links.remove_if([](const LinkState &state) { return state.closed; });
}

auto MeshCore::untilNextEvent(MonoTime now) const -> Millis
{
    auto next = now + maxWait;
    for (const auto &round : m_rounds) {
        next = std::min(next, round.next);
    }
    for (const auto &it : m_links) {
        next = std::min(next, it.link.nextDeadline());
    }
    for (const auto &[key, dial] : m_dials) {
        if (!dial.busy) {
            next = std::min(next, dial.next);
        }
    }
    {
        const auto lock = std::lock_guard{m_mutex};
        next = std::min(next, m_calls.nextDeadline().value_or(next));
    }
    // Rounded up, so that the event is due when poll(2) returns.
    return std::max(Millis{0}, std::chrono::ceil<Millis>(next - now));
}

auto MeshCore::collectCounts() -> void
{
    const auto lock = std::lock_guard{m_mutex};
    for (auto &it : m_links) {
        const auto counts = it.link.takeCounts();
        auto &sums = it.link.authenticated() && !it.link.sameRegion() ? m_counters.acrossRegions : m_counters.inRegion;
        for (auto i = std::size_t{0}; i < counts.size(); ++i) {
            (i == static_cast<std::size_t>(TrafficClass::Handshake) ? m_counters.inRegion : sums)[i] += counts[i];
        }
    }
}

auto MeshCore::drainOnStop() -> void
{
    // Answers that handlers gave just before the stop still go out, within a bound.
    constexpr auto step = Millis{10};
    for (auto waited = Millis{0}; waited < stopDrain; waited += step) {
        const auto now = m_clock.mono();
        pumpQueues(now);
        auto fds = std::vector<pollfd>{};
        for (auto &[key, it] : m_active) {
            if (it->link.flush(now) && it->link.pendingBytes() > 0) {
                fds.push_back({.fd = it->link.fd(), .events = POLLOUT, .revents = 0});
            }
        }
        if (fds.empty()) {
            return;
        }
        poll(fds.data(), fds.size(), static_cast<int>(step.count()));
    }
}

}

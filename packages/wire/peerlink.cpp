#include "wire/peerlink.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <system_error>
#include <utility>

namespace Catkin
{

namespace
{

constexpr auto readSize = std::size_t{64} << 10U;
/// Reads per call, so that one peer with much to say does not keep the others waiting.
constexpr auto readsPerCall = 4;

auto closedError(const std::string &what, int code) -> Error
{
    return failure(ErrorCode::Unavailable, what + ": " + std::system_category().message(code));
}

auto wouldBlock(int code) -> bool
{
    return code == EAGAIN || code == EWOULDBLOCK || code == EINTR;
}

}

PeerLink::PeerLink(UniqueFd fd, LinkRole role, PeerLinkOptions options, MonoTime now)
    : m_fd(std::move(fd))
    , m_role(role)
    , m_options(std::move(options))
    , m_handshake(role, m_options.handshake)
    , m_connecting(role == LinkRole::Connecting)
    , m_phaseStart(now)
    , m_lastReceived(now)
    , m_lastWritten(now)
{
}

auto PeerLink::fd() const -> int
{
    return m_fd.get();
}

auto PeerLink::events() const -> short
{
    if (m_connecting) {
        return POLLOUT;
    }
    return static_cast<short>(pendingBytes() > 0 ? POLLIN | POLLOUT : POLLIN);
}

auto PeerLink::onReady(short revents, MonoTime now) -> Result<std::vector<Envelope>>
{
    auto received = std::vector<Envelope>{};
    if (m_connecting) {
        if ((revents & (POLLOUT | POLLERR | POLLHUP)) == 0) {
            return received;
        }
        if (auto connected = finishConnect(now); !connected) {
            return connected.error();
        }
    }
    if ((revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
        for (auto i = 0; i < readsPerCall; ++i) {
            auto more = readAvailable(now);
            // Messages that arrived before the end of the connection still count.
            if (auto decoded = decodeAvailable(received, now); !decoded) {
                return decoded.error();
            }
            if (!more) {
                if (received.empty()) {
                    return more.error();
                }
                break; // the next call reports the error again
            }
            if (!more.value()) {
                break;
            }
        }
    }
    if (auto flushed = flush(now); !flushed && received.empty()) {
        return flushed.error();
    }
    return received;
}

auto PeerLink::finishConnect(MonoTime now) -> Result<void>
{
    auto code = 0;
    auto size = socklen_t{sizeof code};
    if (getsockopt(m_fd.get(), SOL_SOCKET, SO_ERROR, &code, &size) != 0) {
        code = errno;
    }
    if (code != 0) {
        return closedError("connect", code);
    }
    m_connecting = false;
    m_phaseStart = now;
    m_lastReceived = now;
    if (const auto first = m_handshake.start()) {
        return sendHandshake(*first, now);
    }
    return success();
}

/// @return whether more may be available.
auto PeerLink::readAvailable(MonoTime now) -> Result<bool>
{
    // Shared by all links of the thread, so that an idle link holds no buffer.
    thread_local auto buf = std::array<char, readSize>{};
    const auto n = recv(m_fd.get(), buf.data(), buf.size(), 0);
    if (n == 0) {
        return failure(ErrorCode::Unavailable, "closed by the peer");
    }
    if (n < 0) {
        if (wouldBlock(errno)) {
            return false;
        }
        return closedError("receive", errno);
    }
    m_lastReceived = now;
    m_decoder.feed({buf.data(), static_cast<std::size_t>(n)});
    return static_cast<std::size_t>(n) == buf.size();
}

auto PeerLink::decodeAvailable(std::vector<Envelope> &out, MonoTime now) -> Result<void>
{
    while (true) {
        auto payload = m_decoder.next();
        if (!payload) {
            return payload.error();
        }
        if (!payload.value()) {
            return success();
        }
        auto envelope = decodeEnvelope(*payload.value());
        if (!envelope) {
            return envelope.error();
        }
        auto &count = m_counts[static_cast<std::size_t>(trafficClass(envelope.value().message))];
        count.bytesIn += frameHeaderSize + payload.value()->size() + (authenticated() ? sealSize : 0);
        ++count.messagesIn;
        if (authenticated()) {
            if (trafficClass(envelope.value().message) == TrafficClass::Handshake) {
                return failure(ErrorCode::Protocol, "handshake message on an authenticated link");
            }
            out.push_back(std::move(envelope.value()));
        } else if (auto handled = onHandshakeMessage(envelope.value().message, now); !handled) {
            return handled.error();
        }
    }
}

auto PeerLink::onHandshakeMessage(const Message &message, MonoTime now) -> Result<void>
{
    auto reply = m_handshake.receive(message);
    if (!reply) {
        return reply.error();
    }
    if (m_handshake.done()) {
        m_decoder.setMaxPayload(maxFramePayload);
        m_decoder.expectSeal(FrameSeal{m_handshake.frameKey(m_role == LinkRole::Connecting ? LinkRole::Accepting : LinkRole::Connecting)});
    }
    if (reply.value()) {
        if (auto sent = sendHandshake(*reply.value(), now); !sent) {
            return sent.error();
        }
    }
    if (m_handshake.done()) {
        m_seal = FrameSeal{m_handshake.frameKey(m_role)}; // from the first frame after the last proof on
    }
    return success();
}

auto PeerLink::sendHandshake(const Message &message, MonoTime now) -> Result<void>
{
    auto frame = encodeFrame({.correlation = 0, .response = false, .message = message});
    if (!frame) {
        return frame.error();
    }
    append(frame.value(), TrafficClass::Handshake, now);
    return success();
}

auto PeerLink::send(std::string_view frame, TrafficClass traffic, MonoTime now) -> void
{
    if (m_seal) {
        append(m_seal->seal(frame), traffic, now);
    }
}

auto PeerLink::append(std::string_view frame, TrafficClass traffic, MonoTime now) -> void
{
    if (pendingBytes() == 0) {
        m_lastWritten = now;
    }
    // Without this, a buffer that is refilled before it runs empty would grow for ever.
    if (m_outPos > readSize) {
        m_out.erase(0, m_outPos);
        m_outPos = 0;
    }
    auto &count = m_counts[static_cast<std::size_t>(traffic)];
    count.bytesOut += frame.size();
    ++count.messagesOut;
    m_out.append(frame);
}

auto PeerLink::flush(MonoTime now) -> Result<void>
{
    while (pendingBytes() > 0 && !m_connecting) {
        const auto n = ::send(m_fd.get(), m_out.data() + m_outPos, pendingBytes(), MSG_NOSIGNAL);
        if (n < 0) {
            if (wouldBlock(errno)) {
                break;
            }
            return closedError("send", errno);
        }
        m_lastWritten = now;
        m_outPos += static_cast<std::size_t>(n);
    }
    if (pendingBytes() == 0) {
        constexpr auto keptCapacity = std::size_t{8} << 10U;
        if (m_out.capacity() > keptCapacity) {
            m_out = {};
        } else {
            m_out.clear();
        }
        m_outPos = 0;
    }
    return success();
}

auto PeerLink::checkDeadlines(MonoTime now) const -> Result<void>
{
    if (m_connecting) {
        if (now - m_phaseStart >= m_options.connectTimeout) {
            return failure(ErrorCode::Timeout, "connection not established in time");
        }
        return success();
    }
    if (!authenticated()) {
        if (now - m_phaseStart >= m_options.handshakeTimeout) {
            return failure(ErrorCode::Timeout, "handshake not finished in time");
        }
        return success();
    }
    if (now - m_lastReceived >= silence()) {
        return failure(ErrorCode::Timeout, "peer is silent");
    }
    if (pendingBytes() > 0 && now - m_lastWritten >= silence()) {
        return failure(ErrorCode::Timeout, "peer reads nothing");
    }
    return success();
}

auto PeerLink::nextDeadline() const -> MonoTime
{
    if (m_connecting) {
        return m_phaseStart + m_options.connectTimeout;
    }
    if (!authenticated()) {
        return m_phaseStart + m_options.handshakeTimeout;
    }
    return (pendingBytes() > 0 ? std::min(m_lastReceived, m_lastWritten) : m_lastReceived) + silence();
}

auto PeerLink::authenticated() const -> bool
{
    return m_handshake.done();
}

auto PeerLink::role() const -> LinkRole
{
    return m_role;
}

auto PeerLink::peer() const -> const LinkIdentity &
{
    return m_handshake.peer();
}

auto PeerLink::lane() const -> Lane
{
    return m_handshake.lane();
}

auto PeerLink::sameRegion() const -> bool
{
    return authenticated() && peer().region == m_options.handshake.self.region;
}

auto PeerLink::silence() const -> Millis
{
    return sameRegion() ? m_options.silenceInRegion : m_options.silenceAcross;
}

auto PeerLink::lastReceived() const -> MonoTime
{
    return m_lastReceived;
}

auto PeerLink::pendingBytes() const -> std::size_t
{
    return m_out.size() - m_outPos;
}

auto PeerLink::insideFrame() const -> bool
{
    return authenticated() && m_decoder.buffered() > 0;
}

auto PeerLink::usedPreviousKey() const -> bool
{
    return authenticated() && m_handshake.usedPreviousKey();
}

auto PeerLink::takeCounts() -> TrafficCounts
{
    return std::exchange(m_counts, TrafficCounts{});
}

}

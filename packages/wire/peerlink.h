#pragma once

/// One authenticated TCP connection to a peer.
///
/// A link owns its socket, which must be non-blocking, but waits for nothing: its owner polls the descriptor and
/// calls in when it is ready or a deadline may have passed. Any error means that the link has to be destroyed.
/// Not thread-safe.
/// @code
///   auto link = Catkin::PeerLink{std::move(fd), Catkin::LinkRole::Connecting, options, now};
///   poll(link.fd(), link.events());
///   auto received = link.onReady(revents, now);       // envelopes, only after the peer is authenticated
///   auto alive = link.checkDeadlines(now);
/// @endcode

#include "util/outcome.h"
#include "util/units.h"
#include "wire/frame.h"
#include "wire/frameseal.h"
#include "wire/handshake.h"
#include "wire/messages.h"
#include "wire/sockets.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Catkin
{

struct PeerLinkOptions
{
    HandshakeOptions handshake;
    Millis connectTimeout{1000};
    Millis handshakeTimeout{2000}; ///< from the connection to the last proof, however the bytes are spread
    Millis silenceInRegion{1500}; ///< three heartbeat periods
    Millis silenceAcross{6000}; ///< the same for a peer in another region
};

/// The connection.
class PeerLink
{
public:
    /// @param fd a connected socket, or one that is connecting when @p role is Connecting
    /// @param role who opened the connection
    /// @param options identity, key and deadlines
    /// @param now start of the deadlines
    PeerLink(UniqueFd fd, LinkRole role, PeerLinkOptions options, MonoTime now);

    [[nodiscard]] auto fd() const -> int;
    /// @return the poll(2) events to wait for.
    [[nodiscard]] auto events() const -> short;

    /// Reads and writes what is possible now.
    /// @param revents what poll(2) reported
    /// @param now current time
    /// @return the envelopes received; ErrorCode::Unavailable when the connection is closed or could not be made,
    /// ErrorCode::Unauthorized or Protocol when the peer is wrong; Unauthorized after authentication for a frame that was changed on the way.
    auto onReady(short revents, MonoTime now) -> Result<std::vector<Envelope>>;

    /// Appends a frame made by encodeFrame(), with its MACs; only after authentication, ignored before.
    auto send(std::string_view frame, TrafficClass traffic, MonoTime now) -> void;

    /// Writes without having been polled.
    /// @return ErrorCode::Unavailable when the connection is broken.
    auto flush(MonoTime now) -> Result<void>;

    /// @return ErrorCode::Timeout when the connection, the handshake, the peer's next bytes or the progress of
    /// writing are overdue.
    [[nodiscard]] auto checkDeadlines(MonoTime now) const -> Result<void>;

    /// @return when checkDeadlines() has to be called next.
    [[nodiscard]] auto nextDeadline() const -> MonoTime;

    [[nodiscard]] auto authenticated() const -> bool;
    [[nodiscard]] auto role() const -> LinkRole;
    /// @return the peer; only after authentication.
    [[nodiscard]] auto peer() const -> const LinkIdentity &;
    [[nodiscard]] auto lane() const -> Lane;
    /// @return whether the peer is in the same region; false before authentication.
    [[nodiscard]] auto sameRegion() const -> bool;
    /// @return when the last bytes arrived.
    [[nodiscard]] auto lastReceived() const -> MonoTime;
    /// @return the bytes that wait to be written.
    [[nodiscard]] auto pendingBytes() const -> std::size_t;
    /// @return whether the last bytes received are a part of a frame; only after authentication.
    [[nodiscard]] auto insideFrame() const -> bool;
    /// @return whether the link was authenticated with the previous key.
    [[nodiscard]] auto usedPreviousKey() const -> bool;
    /// @return what was counted since the last call.
    auto takeCounts() -> TrafficCounts;

private:
    auto finishConnect(MonoTime now) -> Result<void>;
    auto readAvailable(MonoTime now) -> Result<bool>;
    auto decodeAvailable(std::vector<Envelope> &out, MonoTime now) -> Result<void>;
    auto onHandshakeMessage(const Message &message, MonoTime now) -> Result<void>;
    auto sendHandshake(const Message &message, MonoTime now) -> Result<void>;
    auto append(std::string_view bytes, TrafficClass traffic, MonoTime now) -> void;
    [[nodiscard]] auto silence() const -> Millis;

    UniqueFd m_fd;
    LinkRole m_role;
    PeerLinkOptions m_options;
    Handshake m_handshake;
    FrameDecoder m_decoder{maxHandshakePayload};
    bool m_connecting;
    MonoTime m_phaseStart; // start of connecting, then of the handshake
    MonoTime m_lastReceived;
    std::string m_out;
    std::size_t m_outPos = 0; // first byte of m_out that has not been written
    MonoTime m_lastWritten; // last progress of writing, or start of waiting for it
    std::optional<FrameSeal> m_seal; // of the frames that are sent; set when authenticated
    TrafficCounts m_counts{};
};

}

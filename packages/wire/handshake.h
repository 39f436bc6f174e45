#pragma once

/// The mutual authentication at the start of a link, without sockets.
///
/// Both sides prove that they hold the shared key by a MAC over everything that either side has said. The MAC covers
/// the role of its sender, so that a proof cannot be reflected, and a fresh nonce of each side, so that it cannot be
/// replayed. The accepting side proves itself only to a peer that has already done so. While the key is being replaced, the connecting side
/// gives a MAC under each of its keys, and the accepting side answers under the one that both hold.
/// @code
///   auto handshake = Catkin::Handshake{Catkin::LinkRole::Connecting, options};
///   send(*handshake.start());
///   while (!handshake.done()) {
///       auto reply = handshake.receive(nextMessage());
///       if (!reply) { close(); }
///       if (reply.value()) { send(*reply.value()); }
///   }
/// @endcode

#include "util/ids.h"
#include "util/outcome.h"
#include "util/units.h"
#include "wire/messages.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Catkin
{

/// Version of the protocol; both sides must speak the same.
constexpr auto peerProtocolVersion = std::uint32_t{2};

/// Who opened the connection.
enum class LinkRole { Connecting, Accepting };

/// One end of a link.
struct LinkIdentity
{
    InstanceId instance;
    Incarnation incarnation;
    FailureDomainId domain;
    RegionId region;
    std::string address; ///< "ip:port" where the instance accepts peers
};

struct HandshakeOptions
{
    LinkIdentity self;
    std::string key; ///< secret shared by all entry instances
    std::string previousKey; ///< accepted as well while the key is being replaced; empty: none
    InstanceId target; ///< connecting side only: who must answer
    Lane lane = Lane::Control; ///< connecting side only
};

/// One side of one handshake.
class Handshake
{
public:
    Handshake(LinkRole role, HandshakeOptions options);

    /// @return the message that opens the handshake; nothing on the accepting side.
    [[nodiscard]] auto start() const -> std::optional<Message>;

    /// Takes the peer's next message.
    /// @return the reply, if one is due; ErrorCode::Unauthorized for a wrong proof, ErrorCode::Protocol for anything
    /// else that does not belong here. The handshake cannot go on after an error.
    auto receive(const Message &message) -> Result<std::optional<Message>>;

    /// @return whether both sides have proved themselves.
    [[nodiscard]] auto done() const -> bool;

    /// @return the peer; only trustworthy when done.
    [[nodiscard]] auto peer() const -> const LinkIdentity &;

    /// @return the key of the frames that @p sender sends after the handshake; only when done. It differs for each link and direction.
    [[nodiscard]] auto frameKey(LinkRole sender) const -> std::string;

    /// @return whether the peer and this side agreed on the previous key; only when done.
    [[nodiscard]] auto usedPreviousKey() const -> bool;

    /// @return what the connecting side wants to use the link for.
    [[nodiscard]] auto lane() const -> Lane;

private:
    enum class Step { AwaitHello, AwaitChallenge, AwaitProof, Done, Failed };

    auto onHello(const Hello &hello) -> Result<std::optional<Message>>;
    auto onChallenge(const Challenge &challenge) -> Result<std::optional<Message>>;
    auto onProof(const Proof &proof) -> Result<std::optional<Message>>;
    [[nodiscard]] auto transcript(const char *purpose, LinkRole role) const -> std::string;
    [[nodiscard]] auto proofOf(LinkRole role, const std::string &key) const -> std::string;
    [[nodiscard]] auto ownProof() const -> std::string;
    auto findKey(const std::string &mac, LinkRole sender) -> bool;

    LinkRole m_role;
    HandshakeOptions m_options;
    Step m_step;
    std::string m_nonce;
    std::string m_peerNonce;
    std::string m_agreedKey; // the one under which the peer has proved itself
    LinkIdentity m_peer;
};

}

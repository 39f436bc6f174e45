#include "wire/handshake.h"

#include "util/digest.h"

#include <type_traits>

namespace Catkin
{

namespace
{

constexpr auto nonceBytes = std::size_t{32};

/// Appends a field with its length in front, so that no two different lists of fields give the same text.
auto appendField(std::string &out, const std::string &field) -> void
{
    out += std::to_string(field.size());
    out += ':';
    out += field;
}

auto appendIdentity(std::string &out, const LinkIdentity &identity, const std::string &nonce) -> void
{
    appendField(out, identity.instance.str());
    appendField(out, std::to_string(identity.incarnation.value));
    appendField(out, identity.domain.str());
    appendField(out, identity.region.str());
    appendField(out, identity.address);
    appendField(out, nonce);
}

/// @return why the first message of a peer is unacceptable; empty when it is not.
template<typename M>
auto objection(const M &message, const InstanceId &self, const std::string &ownNonce) -> std::string
{
    if (message.version != peerProtocolVersion) {
        return "peer speaks protocol version " + std::to_string(message.version);
    }
    if (message.instance.empty()) {
        return "peer has no instance id";
    }
    if (message.instance == self) {
        return "peer claims this instance's own id";
    }
    if (message.nonce.size() != 2 * nonceBytes || message.nonce == ownNonce) {
        return "peer's nonce is not fresh";
    }
    return {};
}

template<typename M>
auto identityOf(const M &message) -> LinkIdentity
{
    return {message.instance, message.incarnation, message.domain, message.region, message.address};
}

}

Handshake::Handshake(LinkRole role, HandshakeOptions options)
    : m_role(role)
    , m_options(std::move(options))
    , m_step(role == LinkRole::Connecting ? Step::AwaitChallenge : Step::AwaitHello)
    , m_nonce(randomHex(nonceBytes))
{
}

auto Handshake::start() const -> std::optional<Message>
{
    if (m_role == LinkRole::Accepting) {
        return std::nullopt;
    }
    const auto &self = m_options.self;
    return Message{Hello{.version = peerProtocolVersion,
                         .instance = self.instance,
                         .incarnation = self.incarnation,
                         .domain = self.domain,
                         .region = self.region,
                         .address = self.address,
                         .nonce = m_nonce,
                         .target = m_options.target,
                         .lane = m_options.lane}};
}

auto Handshake::receive(const Message &message) -> Result<std::optional<Message>>
{
    auto reply = [&]() -> Result<std::optional<Message>> {
        if (const auto *hello = std::get_if<Hello>(&message); hello != nullptr && m_step == Step::AwaitHello) {
            return onHello(*hello);
        }
        if (const auto *challenge = std::get_if<Challenge>(&message); challenge != nullptr && m_step == Step::AwaitChallenge) {
            return onChallenge(*challenge);
        }
        if (const auto *proof = std::get_if<Proof>(&message); proof != nullptr && m_step == Step::AwaitProof) {
            return onProof(*proof);
        }
        return failure(ErrorCode::Protocol, "message out of order in the handshake");
    }();
    if (!reply) {
        m_step = Step::Failed;
    }
    return reply;
}

auto Handshake::onHello(const Hello &hello) -> Result<std::optional<Message>>
{
    if (auto reason = objection(hello, m_options.self.instance, m_nonce); !reason.empty()) {
        return failure(ErrorCode::Protocol, std::move(reason));
    }
    if (hello.target != m_options.self.instance) {
        return failure(ErrorCode::Protocol, "peer wants to reach " + hello.target.str());
    }
    m_peer = identityOf(hello);
    m_peerNonce = hello.nonce;
    m_options.lane = hello.lane;
    m_step = Step::AwaitProof;
    const auto &self = m_options.self;
    return std::optional<Message>{Challenge{.version = peerProtocolVersion,
                                            .instance = self.instance,
                                            .incarnation = self.incarnation,
                                            .domain = self.domain,
                                            .region = self.region,
                                            .address = self.address,
                                            .nonce = m_nonce}};
}

auto Handshake::onChallenge(const Challenge &challenge) -> Result<std::optional<Message>>
{
    if (auto reason = objection(challenge, m_options.self.instance, m_nonce); !reason.empty()) {
        return failure(ErrorCode::Protocol, std::move(reason));
    }
    if (challenge.instance != m_options.target) {
        return failure(ErrorCode::Protocol, "expected " + m_options.target.str() + ", reached " + challenge.instance.str());
    }
    m_peer = identityOf(challenge);
    m_peerNonce = challenge.nonce;
    m_step = Step::AwaitProof;
    return std::optional<Message>{Proof{proofOf(LinkRole::Connecting)}};
}

auto Handshake::onProof(const Proof &proof) -> Result<std::optional<Message>>
{
    const auto sender = m_role == LinkRole::Connecting ? LinkRole::Accepting : LinkRole::Connecting;
    if (!constantTimeEqual(proof.mac, proofOf(sender))) {
        return failure(ErrorCode::Unauthorized, "wrong proof from " + m_peer.instance.str());
    }
    m_step = Step::Done;
    if (m_role == LinkRole::Connecting) {
        return std::optional<Message>{};
    }
    return std::optional<Message>{Proof{proofOf(LinkRole::Accepting)}};
}

auto Handshake::proofOf(LinkRole role) const -> std::string
{
    const auto connecting = m_role == LinkRole::Connecting;
    auto text = std::string{};
    appendField(text, "catkinworks peer");
    appendField(text, std::to_string(peerProtocolVersion));
    appendField(text, role == LinkRole::Connecting ? "connecting" : "accepting");
    appendField(text, m_options.lane == Lane::Control ? "control" : "bulk");
    appendIdentity(text, connecting ? m_options.self : m_peer, connecting ? m_nonce : m_peerNonce);
    appendIdentity(text, connecting ? m_peer : m_options.self, connecting ? m_peerNonce : m_nonce);
    return hmacSha256Hex(m_options.key, text);
}

auto Handshake::done() const -> bool
{
    return m_step == Step::Done;
}

auto Handshake::peer() const -> const LinkIdentity &
{
    return m_peer;
}

auto Handshake::lane() const -> Lane
{
    return m_options.lane;
}

}

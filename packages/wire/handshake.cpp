#include "wire/handshake.h"

#include "util/digest.h"

#include <type_traits>

namespace Catkin
{

namespace
{

constexpr auto nonceBytes = std::size_t{32};
constexpr auto macLength = std::size_t{64}; // HMAC-SHA-256 in hex

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
    return std::optional<Message>{Proof{ownProof()}};
}

auto Handshake::onProof(const Proof &proof) -> Result<std::optional<Message>>
{
    const auto sender = m_role == LinkRole::Connecting ? LinkRole::Accepting : LinkRole::Connecting;
    if (!findKey(proof.mac, sender)) {
        return failure(ErrorCode::Unauthorized, "wrong proof from " + m_peer.instance.str());
    }
    m_step = Step::Done;
    if (m_role == LinkRole::Connecting) {
        return std::optional<Message>{};
    }
    return std::optional<Message>{Proof{proofOf(LinkRole::Accepting, m_agreedKey)}};
}

/// @return the MACs of the connecting side, under each of its keys.
auto Handshake::ownProof() const -> std::string
{
    const auto previous = m_options.previousKey.empty() ? std::string{} : proofOf(LinkRole::Connecting, m_options.previousKey);
    return proofOf(LinkRole::Connecting, m_options.key) + previous;
}

/// Looks for an own key under which one of the MACs in @p mac was made.
auto Handshake::findKey(const std::string &mac, LinkRole sender) -> bool
{
    const auto most = sender == LinkRole::Connecting ? 2 * macLength : macLength;
    if (mac.empty() || mac.size() % macLength != 0 || mac.size() > most) {
        return false;
    }
    for (const auto *key : {&m_options.key, &m_options.previousKey}) {
        if (key->empty()) {
            continue;
        }
        const auto expected = proofOf(sender, *key);
        for (auto i = std::size_t{0}; i < mac.size(); i += macLength) {
            if (m_agreedKey.empty() && constantTimeEqual(std::string_view(mac).substr(i, macLength), expected)) {
                m_agreedKey = *key;
            }
        }
    }
    return !m_agreedKey.empty();
}

/// @return everything that both sides have said, in a form that differs for each purpose and sender.
auto Handshake::transcript(const char *purpose, LinkRole role) const -> std::string
{
    const auto connecting = m_role == LinkRole::Connecting;
    auto text = std::string{};
    appendField(text, purpose);
    appendField(text, std::to_string(peerProtocolVersion));
    appendField(text, role == LinkRole::Connecting ? "connecting" : "accepting");
    appendField(text, m_options.lane == Lane::Control ? "control" : "bulk");
    appendIdentity(text, connecting ? m_options.self : m_peer, connecting ? m_nonce : m_peerNonce);
    appendIdentity(text, connecting ? m_peer : m_options.self, connecting ? m_peerNonce : m_nonce);
    return text;
}

auto Handshake::proofOf(LinkRole role, const std::string &key) const -> std::string
{
    return hmacSha256Hex(key, transcript("catkinworks peer", role));
}

auto Handshake::frameKey(LinkRole sender) const -> std::string
{
    return hmacSha256(m_agreedKey, {transcript("catkinworks frames", sender)});
}

auto Handshake::usedPreviousKey() const -> bool
{
    return m_agreedKey != m_options.key;
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

#include "wire/bodycodec.h"
#include "wire/frame.h"

#include <bit>
#include <cstring>
#include <type_traits>
#include <vector>

namespace Catkin
{

namespace
{

using flatbuffers::Offset;
using namespace BodyCodec;

// Bounds for the verifier: the schema nests three tables deep, and the largest list decides the number of tables.
constexpr auto maxDepth = flatbuffers::uoffset_t{8};
constexpr auto maxTables = static_cast<flatbuffers::uoffset_t>(2 * maxListLength + 8);

/// Decodes the alternative @p M of the union, which the schema calls @p F.
template<typename M, typename F>
auto readBody(Reader &r, const Fb::Envelope &envelope) -> Message
{
    auto message = M{};
    if (const auto *body = static_cast<const F *>(envelope.body())) {
        read(r, *body, message);
    } else {
        r.valid = false;
    }
    return message;
}

template<typename F>
constexpr auto bodyType(Offset<F> /*offset*/) -> Fb::Body
{
    return Fb::BodyTraits<F>::enum_value;
}

auto readMessage(Reader &r, const Fb::Envelope &envelope) -> Message
{
    switch (envelope.body_type()) {
    case Fb::Body::NONE:
        break;
    case Fb::Body::Hello:
        return readBody<Hello, Fb::Hello>(r, envelope);
    case Fb::Body::Challenge:
        return readBody<Challenge, Fb::Challenge>(r, envelope);
    case Fb::Body::Proof:
        return readBody<Proof, Fb::Proof>(r, envelope);
    case Fb::Body::Heartbeat:
        return readBody<Heartbeat, Fb::Heartbeat>(r, envelope);
    case Fb::Body::ConfigOffer:
        return readBody<ConfigOffer, Fb::ConfigOffer>(r, envelope);
    case Fb::Body::AttemptQuery:
        return readBody<AttemptQuery, Fb::AttemptQuery>(r, envelope);
    case Fb::Body::AttemptOutcome:
        return readBody<AttemptOutcome, Fb::AttemptOutcome>(r, envelope);
    case Fb::Body::TicketForward:
        return readBody<TicketForward, Fb::TicketForward>(r, envelope);
    case Fb::Body::TicketResult:
        return readBody<TicketResult, Fb::TicketResult>(r, envelope);
    case Fb::Body::JobNotice:
        return readBody<JobNotice, Fb::JobNotice>(r, envelope);
    case Fb::Body::JobCancel:
        return readBody<JobCancelRequest, Fb::JobCancel>(r, envelope);
    case Fb::Body::JobStatusQuery:
        return readBody<JobStatusQuery, Fb::JobStatusQuery>(r, envelope);
    case Fb::Body::JobStatus:
        return readBody<JobStatus, Fb::JobStatus>(r, envelope);
    case Fb::Body::ErrorReply:
        return readBody<ErrorReply, Fb::ErrorReply>(r, envelope);
    case Fb::Body::Ping:
        return readBody<Ping, Fb::Ping>(r, envelope);
    }
    return std::monostate{};
}

}

auto encodeFrame(const Envelope &envelope) -> Result<std::string>
{
    auto w = Writer{};
    auto type = Fb::Body::NONE;
    auto body = Offset<void>{};
    std::visit(
        [&](const auto &message) {
            using M = std::decay_t<decltype(message)>;
            if constexpr (!std::is_same_v<M, std::monostate>) {
                const auto offset = write(w, message);
                type = bodyType(offset);
                body = offset.Union();
            }
        },
        envelope.message);
    w.builder.Finish(Fb::CreateEnvelope(w.builder, envelope.correlation, envelope.response, type, body), Fb::EnvelopeIdentifier());
    const auto size = std::size_t{w.builder.GetSize()};
    if (w.tooLong || size > maxFramePayload) {
        return failure(ErrorCode::Limit, "message of " + std::to_string(size) + " bytes, or one of its identifiers or lists, is too long");
    }
    auto frame = std::string{};
    frame.reserve(frameHeaderSize + size);
    for (auto i = std::size_t{0}; i < frameHeaderSize; ++i) {
        frame += static_cast<char>((size >> (8 * i)) & 0xffU);
    }
    frame.append(reinterpret_cast<const char *>(w.builder.GetBufferPointer()), size);
    return frame;
}

auto decodeEnvelope(std::string_view payload) -> Result<Envelope>
{
    // FlatBuffers reads fields in place and needs them aligned to 8 bytes.
    auto aligned = std::vector<std::uint64_t>{};
    const auto *data = reinterpret_cast<const std::uint8_t *>(payload.data());
    if (std::bit_cast<std::uintptr_t>(data) % sizeof(std::uint64_t) != 0) {
        aligned.resize(payload.size() / sizeof(std::uint64_t) + 1);
        std::memcpy(aligned.data(), payload.data(), payload.size());
        data = reinterpret_cast<const std::uint8_t *>(aligned.data());
    }
    auto verifier = flatbuffers::Verifier{data, payload.size(), maxDepth, maxTables};
    if (payload.size() > maxFramePayload || !Fb::VerifyEnvelopeBuffer(verifier)) {
        return failure(ErrorCode::Protocol, "invalid envelope of " + std::to_string(payload.size()) + " bytes");
    }
    const auto &wire = *Fb::GetEnvelope(data);
    auto r = Reader{};
    auto envelope = Envelope{.correlation = wire.correlation(), .response = wire.response(), .message = readMessage(r, wire)};
    if (!r.valid) {
        return failure(ErrorCode::Protocol, "invalid field in envelope of " + std::to_string(payload.size()) + " bytes");
    }
    return envelope;
}

}

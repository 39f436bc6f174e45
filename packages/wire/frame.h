#pragma once

/// Frames on a link: a 4-byte little-endian length and a FlatBuffers `Envelope` of that length; on an authenticated link with two MACs (frameseal.h).
///
/// @code
///   auto frame = Catkin::encodeFrame({.correlation = 7, .message = query});
///   decoder.feed(received);
///   while (true) {
///       auto payload = decoder.next();
///       if (!payload || !payload.value()) { break; }                  // broken stream, or more bytes needed
///       auto envelope = Catkin::decodeEnvelope(*payload.value());     // verified before any field is read
///   }
/// @endcode

#include "util/outcome.h"
#include "wire/frameseal.h"
#include "wire/messages.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Catkin
{

constexpr auto frameHeaderSize = std::size_t{4};
/// Longest envelope in bytes, without the length in front of it.
constexpr auto maxFramePayload = std::size_t{1} << 20U;
/// The same before the peer is authenticated, so that a stranger cannot make an instance hold large buffers.
constexpr auto maxHandshakePayload = std::size_t{4096};
/// Longest identifier in bytes. FlatBuffers may refer to one string many times; without this bound a 1 MiB frame
/// could expand to gigabytes.
constexpr auto maxIdLength = std::size_t{256};
/// Most entries of a list in a message.
constexpr auto maxListLength = std::size_t{4096};

/// @return the frame, header included; ErrorCode::Limit when the message, an identifier or a list is too long.
auto encodeFrame(const Envelope &envelope) -> Result<std::string>;

/// Verifies and decodes one payload.
/// @return the envelope, with an empty message for a type that this release does not know; ErrorCode::Protocol for
/// bytes that are not a valid envelope.
auto decodeEnvelope(std::string_view payload) -> Result<Envelope>;

/// Cuts a stream of bytes into payloads, however the stream is split.
class FrameDecoder
{
public:
    explicit FrameDecoder(std::size_t maxPayload = maxFramePayload);

    /// Changes the limit for the frames that have not been returned yet.
    auto setMaxPayload(std::size_t maxPayload) -> void;

    /// From the next frame on, every frame must carry the MACs of @p seal.
    auto expectSeal(FrameSeal seal) -> void;

    /// Appends received bytes.
    auto feed(std::string_view bytes) -> void;

    /// @return the next payload; nothing when more bytes are needed; ErrorCode::Protocol, from then on always, after
    /// a length of 0 or above the limit; ErrorCode::Unauthorized, from then on always, after a frame that was changed, repeated, left out
    /// or moved.
    auto next() -> Result<std::optional<std::string>>;

    /// @return the number of bytes held.
    [[nodiscard]] auto buffered() const -> std::size_t;

private:
    auto broken(ErrorCode code, std::string reason) -> Error;

    std::size_t m_maxPayload;
    std::optional<FrameSeal> m_seal;
    std::string m_buf;
    std::size_t m_pos = 0; // start of the next frame in m_buf
    bool m_broken = false;
};

}

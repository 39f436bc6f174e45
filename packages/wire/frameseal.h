#pragma once

/// The MACs of the frames of one direction of an authenticated link.
///
/// @code
///   auto out = Catkin::FrameSeal{handshake.frameKey(Catkin::LinkRole::Connecting)};
///   send(out.seal(frame));
///   auto in = Catkin::FrameSeal{handshake.frameKey(Catkin::LinkRole::Accepting)};
///   auto accepted = in.acceptsLength(length, lengthTag) && in.acceptsFrame(length, payload, frameTag);
/// @endcode
///
/// Both ends count the frames. The number is part of each MAC and is not sent, so that a frame that is repeated, left out or in another place
/// fails as a changed one does. The length has a MAC of its own: without it, a changed length would make the receiver wait for up to 1 MiB that
/// never comes while bytes keep arriving.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Catkin
{

/// Bytes of the MAC behind the length; one guess in 2^64, and one guess closes the link.
constexpr auto lengthTagSize = std::size_t{8};
/// Bytes of the MAC behind the payload.
constexpr auto frameTagSize = std::size_t{16};
/// Bytes that protection adds to a frame.
constexpr auto sealSize = lengthTagSize + frameTagSize;

class FrameSeal
{
public:
    /// @param key of this direction of this link
    explicit FrameSeal(std::string key);

    /// @param frame made by encodeFrame()
    /// @return the frame with its two MACs: length, MAC of the length, payload, MAC of the frame.
    auto seal(std::string_view frame) -> std::string;

    /// @param length the first bytes of the next frame
    /// @param tag the MAC behind them
    /// @return whether the length was sent in this place by the holder of the key.
    [[nodiscard]] auto acceptsLength(std::string_view length, std::string_view tag) const -> bool;

    /// Checks the next frame; goes on to the one after it when it is accepted.
    /// @return whether the frame was sent in this place by the holder of the key.
    auto acceptsFrame(std::string_view length, std::string_view payload, std::string_view tag) -> bool;

private:
    [[nodiscard]] auto lengthTag(std::string_view length) const -> std::string;
    [[nodiscard]] auto frameTag(std::string_view length, std::string_view payload) const -> std::string;

    std::string m_key;
    std::uint64_t m_next = 0; // number of the next frame
};

}

#include "wire/frame.h"

#include <utility>

namespace Catkin
{

FrameDecoder::FrameDecoder(std::size_t maxPayload)
    : m_maxPayload(maxPayload)
{
}

auto FrameDecoder::setMaxPayload(std::size_t maxPayload) -> void
{
    m_maxPayload = maxPayload;
}

auto FrameDecoder::feed(std::string_view bytes) -> void
{
    if (m_broken) {
        return;
    }
    // Consumed bytes are dropped only here, so that taking many small frames out of one read costs no copying.
    m_buf.erase(0, m_pos);
    m_pos = 0;
    m_buf.append(bytes);
}

auto FrameDecoder::expectSeal(FrameSeal seal) -> void
{
    m_seal = std::move(seal);
}

auto FrameDecoder::broken(ErrorCode code, std::string reason) -> Error
{
    m_broken = true;
    m_buf = {};
    m_pos = 0;
    return failure(code, std::move(reason));
}

auto FrameDecoder::next() -> Result<std::optional<std::string>>
{
    if (m_broken) {
        return failure(ErrorCode::Protocol, "the stream is broken");
    }
    const auto bytes = std::string_view(m_buf).substr(m_pos);
    const auto headerSize = frameHeaderSize + (m_seal ? lengthTagSize : 0);
    const auto trailerSize = m_seal ? frameTagSize : 0;
    if (bytes.size() < headerSize) {
        return std::optional<std::string>{};
    }
    const auto header = bytes.substr(0, frameHeaderSize);
    if (m_seal && !m_seal->acceptsLength(header, bytes.substr(frameHeaderSize, lengthTagSize))) {
        return broken(ErrorCode::Unauthorized, "a frame was changed, repeated, left out or moved");
    }
    auto length = std::size_t{0};
    for (auto i = std::size_t{0}; i < frameHeaderSize; ++i) {
        length |= std::size_t{static_cast<unsigned char>(header[i])} << (8 * i);
    }
    if (length == 0 || length > m_maxPayload) {
        return broken(ErrorCode::Protocol, "frame of " + std::to_string(length) + " bytes, at most " + std::to_string(m_maxPayload) + " are allowed");
    }
    if (bytes.size() < headerSize + length + trailerSize) {
        return std::optional<std::string>{};
    }
    if (m_seal && !m_seal->acceptsFrame(header, bytes.substr(headerSize, length), bytes.substr(headerSize + length, trailerSize))) {
        return broken(ErrorCode::Unauthorized, "a frame was changed, repeated, left out or moved");
    }
    auto payload = std::string(bytes.substr(headerSize, length));
    m_pos += headerSize + length + trailerSize;
    if (m_pos == m_buf.size()) {
        // A large frame must not leave its buffer allocated on a link that is idle afterwards.
        constexpr auto keptCapacity = std::size_t{64} << 10U;
        if (m_buf.capacity() > keptCapacity) {
            m_buf = {};
        } else {
            m_buf.clear();
        }
        m_pos = 0;
    }
    return std::optional{std::move(payload)};
}

auto FrameDecoder::buffered() const -> std::size_t
{
    return m_buf.size() - m_pos;
}

}

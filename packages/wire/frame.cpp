#include "wire/frame.h"

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

auto FrameDecoder::next() -> Result<std::optional<std::string>>
{
    if (m_broken) {
        return failure(ErrorCode::Protocol, "the stream is broken");
    }
    if (m_buf.size() - m_pos < frameHeaderSize) {
        return std::optional<std::string>{};
    }
    auto length = std::size_t{0};
    for (auto i = std::size_t{0}; i < frameHeaderSize; ++i) {
        length |= std::size_t{static_cast<unsigned char>(m_buf[m_pos + i])} << (8 * i);
    }
    if (length == 0 || length > m_maxPayload) {
        m_broken = true;
        m_buf = {};
        m_pos = 0;
        return failure(ErrorCode::Protocol, "frame of " + std::to_string(length) + " bytes, at most " + std::to_string(m_maxPayload) + " are allowed");
    }
    if (m_buf.size() - m_pos < frameHeaderSize + length) {
        return std::optional<std::string>{};
    }
    auto payload = m_buf.substr(m_pos + frameHeaderSize, length);
    m_pos += frameHeaderSize + length;
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

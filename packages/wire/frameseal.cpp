#include "wire/frameseal.h"

#include "util/digest.h"
#include "wire/frame.h"

#include <utility>

namespace Catkin
{

namespace
{

auto numberText(std::uint64_t number) -> std::string
{
    auto text = std::string(sizeof number, '\0');
    for (auto i = std::size_t{0}; i < text.size(); ++i) {
        text[i] = static_cast<char>((number >> (8 * i)) & 0xffU);
    }
    return text;
}

}

FrameSeal::FrameSeal(std::string key)
    : m_key(std::move(key))
{
}

auto FrameSeal::lengthTag(std::string_view length) const -> std::string
{
    return hmacSha256(m_key, {"L", numberText(m_next), length}).substr(0, lengthTagSize);
}

auto FrameSeal::frameTag(std::string_view length, std::string_view payload) const -> std::string
{
    return hmacSha256(m_key, {"F", numberText(m_next), length, payload}).substr(0, frameTagSize);
}

auto FrameSeal::seal(std::string_view frame) -> std::string
{
    const auto length = frame.substr(0, frameHeaderSize);
    const auto payload = frame.substr(frameHeaderSize);
    auto sealed = std::string{};
    sealed.reserve(frame.size() + sealSize);
    sealed.append(length).append(lengthTag(length)).append(payload).append(frameTag(length, payload));
    ++m_next;
    return sealed;
}

auto FrameSeal::acceptsLength(std::string_view length, std::string_view tag) const -> bool
{
    return constantTimeEqual(lengthTag(length), tag);
}

auto FrameSeal::acceptsFrame(std::string_view length, std::string_view payload, std::string_view tag) -> bool
{
    if (!constantTimeEqual(frameTag(length, payload), tag)) {
        return false;
    }
    ++m_next;
    return true;
}

}

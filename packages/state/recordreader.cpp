#include "state/recordreader.h"

#include <openssl/evp.h>

namespace Catkin
{

namespace
{

// Base64 encodes every group of 3 bytes as 4 digits.
constexpr auto groupBytes = std::size_t{3};
constexpr auto groupDigits = std::size_t{4};

auto isUtf8(const std::string &text) -> bool
{
    try {
        return !nlohmann::json(text).dump().empty();
    } catch (const nlohmann::json::exception &) {
        return false;
    }
}

}

auto decodeBase64(const std::string &encoded) -> Result<std::string>
{
    auto decoded = std::string(encoded.size(), '\0');
    const auto size = EVP_DecodeBlock(
        reinterpret_cast<unsigned char *>(decoded.data()), reinterpret_cast<const unsigned char *>(encoded.data()), static_cast<int>(encoded.size()));
    auto padding = std::size_t{0};
    while (padding < 2 && padding < encoded.size() && encoded[encoded.size() - 1 - padding] == '=') {
        ++padding;
    }
    if (size < 0 || static_cast<std::size_t>(size) < padding) {
        return failure(ErrorCode::Protocol, "the text is not valid base64");
    }
    decoded.resize(static_cast<std::size_t>(size) - padding);
    return decoded;
}

auto putBytes(nlohmann::json &object, const std::string &name, const std::string &bytes) -> void
{
    if (isUtf8(bytes)) {
        object[name] = bytes;
        return;
    }
    auto encoded = std::string((bytes.size() + groupBytes - 1) / groupBytes * groupDigits + 1, '\0');
    const auto size = EVP_EncodeBlock(
        reinterpret_cast<unsigned char *>(encoded.data()), reinterpret_cast<const unsigned char *>(bytes.data()), static_cast<int>(bytes.size()));
    encoded.resize(static_cast<std::size_t>(size));
    object[name + "_base64"] = encoded;
}

}

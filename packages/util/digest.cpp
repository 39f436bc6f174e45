#include "util/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/params.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <array>
#include <cstdlib>
#include <span>

namespace Catkin
{

namespace
{

auto toHex(std::span<const unsigned char> bytes) -> std::string
{
    constexpr auto digits = std::string_view{"0123456789abcdef"};
    auto text = std::string{};
    text.reserve(bytes.size() * 2);
    for (const auto byte : bytes) {
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

}

auto sha256Hex(std::string_view data) -> std::string
{
    auto buf = std::array<unsigned char, EVP_MAX_MD_SIZE>{};
    auto n = 0U;
    EVP_Digest(data.data(), data.size(), buf.data(), &n, EVP_sha256(), nullptr);
    return toHex({buf.data(), n});
}

auto hmacSha256Hex(std::string_view key, std::string_view data) -> std::string
{
    auto buf = std::array<unsigned char, EVP_MAX_MD_SIZE>{};
    auto n = 0U;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char *>(data.data()), data.size(), buf.data(), &n);
    return toHex({buf.data(), n});
}

auto hmacSha256(std::string_view key, std::initializer_list<std::string_view> parts) -> std::string
{
    static auto *const algorithm = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
    auto digest = std::string{"SHA256"};
    const auto params = std::array{OSSL_PARAM_construct_utf8_string("digest", digest.data(), 0), OSSL_PARAM_construct_end()};
    auto *const ctx = EVP_MAC_CTX_new(algorithm);
    auto out = std::string(32, '\0');
    auto n = std::size_t{0};
    auto ok = EVP_MAC_init(ctx, reinterpret_cast<const unsigned char *>(key.data()), key.size(), params.data()) == 1;
    for (const auto part : parts) {
        ok = ok && EVP_MAC_update(ctx, reinterpret_cast<const unsigned char *>(part.data()), part.size()) == 1;
    }
    ok = ok && EVP_MAC_final(ctx, reinterpret_cast<unsigned char *>(out.data()), &n, out.size()) == 1;
    EVP_MAC_CTX_free(ctx);
    if (!ok) {
        std::abort(); // A MAC that cannot be computed must never compare equal to another one.
    }
    return out;
}

auto constantTimeEqual(std::string_view a, std::string_view b) -> bool
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

auto xxh64(std::string_view data) -> std::uint64_t
{
    return XXH64(data.data(), data.size(), 0);
}

auto xxh64Hex(std::string_view data) -> std::string
{
    const auto n = xxh64(data);
    auto buf = std::array<unsigned char, 8>{};
    for (auto i = std::size_t{0}; i < buf.size(); ++i) {
        buf[i] = static_cast<unsigned char>(n >> (8 * (7 - i)));
    }
    return toHex(buf);
}

auto randomHex(std::size_t byteCount) -> std::string
{
    auto buf = std::string(byteCount, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char *>(buf.data()), static_cast<int>(byteCount)) != 1) {
        std::abort(); // Without a random source no incarnation or attempt id would be unique.
    }
    return toHex({reinterpret_cast<const unsigned char *>(buf.data()), buf.size()});
}

}

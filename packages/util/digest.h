#pragma once

/// Digests, message authentication codes and random tokens.
///
/// @code
///   auto stored = Catkin::sha256Hex("token");
///   auto valid = Catkin::constantTimeEqual(stored, Catkin::sha256Hex(presented));
///   auto check = Catkin::xxh64Hex(body);
/// @endcode

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace Catkin
{

/// @return the SHA-256 of @p data as 64 lower-case hex digits.
auto sha256Hex(std::string_view data) -> std::string;

/// @return the HMAC-SHA-256 of @p data under @p key as 64 lower-case hex digits.
auto hmacSha256Hex(std::string_view key, std::string_view data) -> std::string;

/// @return the HMAC-SHA-256 of the concatenated @p parts under @p key as 32 raw bytes.
auto hmacSha256(std::string_view key, std::initializer_list<std::string_view> parts) -> std::string;

/// Compares two strings in a time that depends only on their lengths, so that it reveals nothing about a secret.
/// @return whether @p a and @p b are equal.
auto constantTimeEqual(std::string_view a, std::string_view b) -> bool;

/// @return the 64-bit xxHash of @p data with seed 0; the same on every machine.
auto xxh64(std::string_view data) -> std::uint64_t;

/// @return xxh64(@p data) as 16 lower-case hex digits.
auto xxh64Hex(std::string_view data) -> std::string;

/// @return @p byteCount bytes from the operating system's random source, as hex digits.
auto randomHex(std::size_t byteCount) -> std::string;

}

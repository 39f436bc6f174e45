#pragma once

/// Reads and writes the fields of log records. Internal to the package, because it includes the JSON library.
///
/// @code
///   auto reader = Catkin::RecordReader{object};
///   auto job = reader.id("job");
///   if (!reader.fault().empty()) { return failure(ErrorCode::Protocol, reader.fault()); }
/// @endcode

#include "state/document.h"
#include "util/outcome.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <limits>
#include <string>
#include <utility>

namespace Catkin
{

/// Largest integer in a record: JSON readers that store numbers as double are exact up to 2^53.
constexpr auto maxSafeInteger = std::int64_t{1} << 53U;
/// Limit of an id, key or name in a record. Names in the configuration are shorter; keys are chosen by callers.
constexpr auto maxIdBytes = std::size_t{256};
constexpr auto maxTextBytes = std::size_t{4096};
constexpr auto maxPayloadBytes = std::size_t{1} << 20U;

/// The values of an enum with their names in records.
template<typename Enum, std::size_t N>
using EnumNames = std::array<std::pair<Enum, const char *>, N>;

template<typename Enum, std::size_t N>
auto nameOf(const EnumNames<Enum, N> &names, Enum value) -> const char *
{
    for (const auto &[candidate, name] : names) {
        if (candidate == value) {
            return name;
        }
    }
    return "";
}

/// @return the decoded bytes; ErrorCode::Protocol when @p encoded is not base64.
auto decodeBase64(const std::string &encoded) -> Result<std::string>;

/// Reads the fields of one record. When a field is missing or not valid, fault() reports the first such field and every
/// result is meaningless.
class RecordReader
{
public:
    explicit RecordReader(const nlohmann::json &object)
        : m_object(object)
    {
    }

    /// @return the first fault, such as "attempt has to be an integer between 1 and 2147483647"; empty without one.
    [[nodiscard]] auto fault() const -> const std::string &
    {
        return m_fault;
    }

    /// @param limit longest text in bytes
    auto text(const char *name, std::size_t limit = maxIdBytes) -> std::string
    {
        const auto *value = find(name);
        if (value == nullptr || !value->is_string() || value->get_ref<const std::string &>().size() > limit) {
            fail(name, "a text of at most " + std::to_string(limit) + " bytes");
            return {};
        }
        return value->get<std::string>();
    }

    /// Reads an identifier: a text that is not empty.
    auto id(const char *name) -> std::string
    {
        auto value = text(name);
        if (value.empty()) {
            fail(name, "a text that is not empty");
        }
        return value;
    }

    auto optionalText(const char *name) -> std::string
    {
        return m_object.contains(name) ? text(name, maxTextBytes) : std::string{};
    }

    auto integer(const char *name, std::int64_t min = 0, std::int64_t max = maxSafeInteger) -> std::int64_t
    {
        const auto *value = find(name);
        const auto inRange = value != nullptr && value->is_number_integer()
                             && !(value->is_number_unsigned() && value->get<std::uint64_t>() > static_cast<std::uint64_t>(max))
                             && value->get<std::int64_t>() >= min && value->get<std::int64_t>() <= max;
        if (!inRange) {
            fail(name, "an integer between " + std::to_string(min) + " and " + std::to_string(max));
            return min;
        }
        return value->get<std::int64_t>();
    }

    auto count(const char *name, std::int64_t min = 0) -> int
    {
        return static_cast<int>(integer(name, min, std::numeric_limits<int>::max()));
    }

    /// Reads a time in milliseconds since the Unix epoch.
    auto time(const char *name) -> WallTime
    {
        return WallTime{Millis{integer(name)}};
    }

    auto boolean(const char *name) -> bool
    {
        const auto *value = find(name);
        if (value == nullptr || !value->is_boolean()) {
            fail(name, "true or false");
            return false;
        }
        return value->get<bool>();
    }

    template<typename Enum, std::size_t N>
    auto choice(const char *name, const EnumNames<Enum, N> &names) -> Enum
    {
        const auto value = text(name);
        for (const auto &[candidate, candidateName] : names) {
            if (value == candidateName) {
                return candidate;
            }
        }
        fail(name, "a known value");
        return names.front().first;
    }

    /// Reads what putBytes() has stored: text in the field @p name, or base64 in the field @p name + "_base64".
    auto bytes(const std::string &name) -> std::string
    {
        const auto encodedName = name + "_base64";
        if (!m_object.contains(encodedName)) {
            return text(name.c_str(), maxPayloadBytes);
        }
        const auto encoded = text(encodedName.c_str(), maxPayloadBytes * 4 / 3 + 4);
        auto decoded = decodeBase64(encoded);
        if (!decoded) {
            fail(encodedName.c_str(), "base64");
            return {};
        }
        return std::move(decoded).value();
    }

    /// Reads an object.
    /// @return its canonical JSON text, of at most maxDocumentBytes.
    auto objectText(const char *name) -> std::string
    {
        const auto *value = find(name);
        if (value == nullptr || !value->is_object()) {
            fail(name, "an object");
            return {};
        }
        auto canonical = value->dump();
        if (canonical.size() > maxDocumentBytes) {
            fail(name, "an object of at most " + std::to_string(maxDocumentBytes) + " bytes");
        }
        return canonical;
    }

    auto object(const char *name) -> const nlohmann::json &
    {
        static const auto none = nlohmann::json::object();
        const auto *value = find(name);
        if (value == nullptr || !value->is_object()) {
            fail(name, "an object");
            return none;
        }
        return *value;
    }

    /// Takes over the fault of the reader of a nested object, unless this reader already has one.
    auto adoptFault(const RecordReader &inner) -> void
    {
        if (m_fault.empty()) {
            m_fault = inner.m_fault;
        }
    }

private:
    auto find(const char *name) const -> const nlohmann::json *
    {
        const auto it = m_object.find(name);
        return it == m_object.end() ? nullptr : &*it;
    }

    auto fail(const char *name, const std::string &expected) -> void
    {
        if (m_fault.empty()) {
            m_fault = std::string(name) + " has to be " + expected;
        }
    }

    const nlohmann::json &m_object;
    std::string m_fault;
};

/// Stores @p bytes in a field of @p object: as text in the field @p name if they are valid UTF-8, which JSON requires, otherwise
/// as base64 in the field @p name + "_base64".
auto putBytes(nlohmann::json &object, const std::string &name, const std::string &bytes) -> void;

}

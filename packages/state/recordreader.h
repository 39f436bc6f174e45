#pragma once

/// Reading and writing the fields of log records; internal to the package, because it brings in the JSON library.
///
/// @code
///   auto reader = Catkin::RecordReader{object};
///   auto job = reader.id("job");
///   if (!reader.fault().empty()) { ... }
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

constexpr auto maxSafeInteger = std::int64_t{1} << 53U;
/// Longest id, key or name in a record. Names in the configuration are shorter; keys are chosen by callers.
constexpr auto maxIdBytes = std::size_t{256};
constexpr auto maxTextBytes = std::size_t{4096};
constexpr auto maxPayloadBytes = std::size_t{1} << 20U;

template<typename Enum, std::size_t N>
using Names = std::array<std::pair<Enum, const char *>, N>;

template<typename Enum, std::size_t N>
auto nameOf(const Names<Enum, N> &names, Enum value) -> const char *
{
    for (const auto &[candidate, name] : names) {
        if (candidate == value) {
            return name;
        }
    }
    return "";
}

/// @return the bytes that @p encoded stands for; ErrorCode::Protocol when it is not base64.
auto decodeBase64(const std::string &encoded) -> Result<std::string>;

/// Reads the fields of one record; the first fault is kept and makes every later result meaningless.
class RecordReader
{
public:
    explicit RecordReader(const nlohmann::json &object)
        : m_object(object)
    {
    }

    [[nodiscard]] auto fault() const -> const std::string &
    {
        return m_fault;
    }

    auto text(const char *name, std::size_t limit = maxIdBytes) -> std::string
    {
        const auto *value = require(name);
        if (value == nullptr || !value->is_string() || value->get_ref<const std::string &>().size() > limit) {
            fail(name, "a text of at most " + std::to_string(limit) + " bytes");
            return {};
        }
        return value->get<std::string>();
    }

    /// A text that must not be empty, as identifiers must not.
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
        const auto *value = require(name);
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

    auto time(const char *name) -> WallTime
    {
        return WallTime{Millis{integer(name)}};
    }

    auto boolean(const char *name) -> bool
    {
        const auto *value = require(name);
        if (value == nullptr || !value->is_boolean()) {
            fail(name, "true or false");
            return false;
        }
        return value->get<bool>();
    }

    template<typename Enum, std::size_t N>
    auto choice(const char *name, const Names<Enum, N> &names) -> Enum
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

    /// Bytes that are stored as text under @p name, or in base64 under @p name + "_base64".
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

    /// An object that is kept as its canonical text.
    auto objectText(const char *name) -> std::string
    {
        const auto *value = require(name);
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
        const auto *value = require(name);
        if (value == nullptr || !value->is_object()) {
            fail(name, "an object");
            return none;
        }
        return *value;
    }

    auto adopt(const RecordReader &inner) -> void
    {
        if (m_fault.empty()) {
            m_fault = inner.m_fault;
        }
    }

private:
    auto require(const char *name) const -> const nlohmann::json *
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

/// Stores @p bytes as text under @p name if they are valid UTF-8, as JSON texts have to be, otherwise in base64 under @p name + "_base64".
auto putBytes(nlohmann::json &object, const std::string &name, const std::string &bytes) -> void;

}

#pragma once

/// Checked access to numbers of a JSON document from another process.
///
/// The library converts a number that does not fit by a plain cast. For 1e300 that is undefined, with other results on x86-64
/// than on arm64, and for integers it silently wraps around.
///
/// @code
///   auto slots = Catkin::intField<int>(body, "slots", 1, 32);   // throws nlohmann::json::exception otherwise
///   auto attempt = Catkin::toInteger<int>(row.at(1), "attempt");
/// @endcode

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <string>

namespace Catkin
{

/// For values that are copied or written again, which recurses for each level.
/// @return the parsed value; of type discarded when the text cannot be parsed or is nested more than @p maxDepth levels deep
inline auto parseShallow(const std::string &text, int maxDepth) -> nlohmann::json
{
    auto tooDeep = false;
    const auto guard = [&](int depth, nlohmann::json::parse_event_t, nlohmann::json &) {
        tooDeep = tooDeep || depth > maxDepth;
        return !tooDeep;
    };
    auto value = nlohmann::json::parse(text, guard, false);
    return tooDeep ? nlohmann::json(nlohmann::json::value_t::discarded) : value;
}

/// @return the value for an error: a number, or the type of what is no number and may be long
inline auto describeNumber(const nlohmann::json &value) -> std::string
{
    return value.is_number() ? value.dump() : std::string(value.type_name());
}

/// @param name of the number in the error
/// @param lowest smallest valid value
/// @param highest largest valid value
/// @return the number; throws nlohmann::json::exception when it is not an integer or out of range
template<typename Int = std::int64_t>
auto toInteger(const nlohmann::json &value, const std::string &name, std::int64_t lowest = 0, std::int64_t highest = std::numeric_limits<Int>::max()) -> Int
{
    const auto tooLarge = value.is_number_unsigned() && value.get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (!value.is_number_integer() || tooLarge || value.get<std::int64_t>() < lowest || value.get<std::int64_t>() > highest) {
        throw nlohmann::json::other_error::create(
            501, name + " is " + describeNumber(value) + ", not an integer from " + std::to_string(lowest) + " to " + std::to_string(highest), nullptr);
    }
    return static_cast<Int>(value.get<std::int64_t>());
}

/// @param name of the number in the error
/// @param lowest smallest valid value
/// @param highest largest valid value
/// @return the number; throws nlohmann::json::exception when it is not a number or out of range
inline auto toReal(const nlohmann::json &value, const std::string &name, double lowest, double highest) -> double
{
    // No comparison holds for a value that is not a number.
    if (!value.is_number() || !(value.get<double>() >= lowest && value.get<double>() <= highest)) {
        throw nlohmann::json::other_error::create(
            501, name + " is " + describeNumber(value) + ", not a number from " + describeNumber(lowest) + " to " + describeNumber(highest), nullptr);
    }
    return value.get<double>();
}

/// Like toInteger(), for writers that also send fractions.
/// @param highest at most 2^53, up to which a fraction is exact
/// @return the number without its fraction; throws nlohmann::json::exception when it is not a number or out of range
template<typename Int = std::int64_t>
auto toWhole(const nlohmann::json &value, const std::string &name, std::int64_t lowest, std::int64_t highest) -> Int
{
    return value.is_number_float() ? static_cast<Int>(toReal(value, name, static_cast<double>(lowest), static_cast<double>(highest)))
                                   : toInteger<Int>(value, name, lowest, highest);
}

/// Like toReal(), for a limit beyond which a larger number means the same.
/// @return the number, or @p highest if it is larger; throws nlohmann::json::exception when it is not a number or below 0
inline auto toRealAtMost(const nlohmann::json &value, const std::string &name, double highest) -> double
{
    return std::min(toReal(value, name, 0.0, std::numeric_limits<double>::max()), highest);
}

/// Like toWhole(), for a limit beyond which a larger number means the same.
/// @param highest at most 2^53, up to which a fraction is exact
/// @return the number without its fraction, or @p highest if it is larger; throws nlohmann::json::exception when it is not a number or below 0
template<typename Int = std::int64_t>
auto toWholeAtMost(const nlohmann::json &value, const std::string &name, std::int64_t highest) -> Int
{
    const auto isAbove = value.is_number_unsigned()  ? value.get<std::uint64_t>() > static_cast<std::uint64_t>(highest)
                         : value.is_number_integer() ? value.get<std::int64_t>() > highest
                                                     : value.is_number_float() && value.get<double>() > static_cast<double>(highest);
    return isAbove ? static_cast<Int>(highest) : toWhole<Int>(value, name, 0, highest);
}

/// @param object object that must have the field
/// @param name name of the field
/// @param lowest smallest valid value
/// @param highest largest valid value
/// @return the number; throws nlohmann::json::exception when it is missing, not an integer or out of range
template<typename Int = std::int64_t>
auto intField(const nlohmann::json &object, const std::string &name, std::int64_t lowest = 0, std::int64_t highest = std::numeric_limits<Int>::max()) -> Int
{
    return toInteger<Int>(object.at(name), name, lowest, highest);
}

}

#pragma once

/// Checked access to numbers of a JSON document from another process.
///
/// The library converts a number that does not fit by a plain cast, which is undefined for 1e300 and silently wraps
/// for others.
///
/// @code
///   auto slots = Catkin::intField<int>(body, "slots", 1, 32);   // throws nlohmann::json::exception otherwise
/// @endcode

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <string>

namespace Catkin
{

/// @param object object that must have the field
/// @param name name of the field
/// @param lowest smallest valid value
/// @param highest largest valid value
/// @return the number; throws nlohmann::json::exception when it is missing, not an integer or out of range
template<typename Int = std::int64_t>
auto intField(const nlohmann::json &object, const std::string &name, std::int64_t lowest = 0, std::int64_t highest = std::numeric_limits<Int>::max()) -> Int
{
    const auto &value = object.at(name);
    const auto tooLarge = value.is_number_unsigned() && value.get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (!value.is_number_integer() || tooLarge || value.get<std::int64_t>() < lowest || value.get<std::int64_t>() > highest) {
        throw nlohmann::json::other_error::create(501, name + " is not an integer within its range", nullptr);
    }
    return static_cast<Int>(value.get<std::int64_t>());
}

}

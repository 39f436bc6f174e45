#pragma once

/// Texts of other processes in ids, records, log lines and answers.
///
/// @code
///   if (!Catkin::isPrintableId(key, 255)) {
///       logEvent(LogLevel::Warn, 6005, "worker=" + Catkin::printable(key) + " has no usable id");
///   }
/// @endcode

#include <cstddef>
#include <string>
#include <string_view>

namespace Catkin
{

/// Longest text of another process that is quoted in a log line or an answer, in bytes.
constexpr auto maxQuotedText = std::size_t{200};

/// @return whether @p text has 1 to @p maxLength bytes, all of them visible ASCII characters. Only such an id can be part of a key,
/// of JSON text, of an HTTP header and of a log line alike.
auto isPrintableId(std::string_view text, std::size_t maxLength) -> bool;

/// @return at most @p maxLength bytes of @p text, with "..." when it is longer, and with '?' for each byte that is not a printable
/// ASCII character.
auto printable(std::string_view text, std::size_t maxLength = maxQuotedText) -> std::string;

}

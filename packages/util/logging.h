#pragma once

/// Numbered log events.
///
/// Every event has a fixed number, listed in docs/log-events.md; the text is for people and may change.
/// @code
///   Catkin::initLogging(Catkin::LogLevel::Info);
///   Catkin::logEvent(Catkin::LogLevel::Warn, 2103, "worker w-4 missed 3 polls");
/// @endcode

#include <string_view>

namespace Catkin
{

enum class LogLevel { Debug, Info, Warn, Error };

enum class LogTarget { StandardError, StandardOutput };

/// Starts logging.
/// @param level events below this level are dropped
auto initLogging(LogLevel level, LogTarget target = LogTarget::StandardError) -> void;

/// Writes one event.
/// @param level severity
/// @param number the event's number in docs/log-events.md
/// @param text one line for people
auto logEvent(LogLevel level, int number, std::string_view text) -> void;

/// Maps "debug", "info", "warn" or "error" to a level.
/// @return whether @p name was known; @p level is set only then.
auto parseLogLevel(std::string_view name, LogLevel &level) -> bool;

}

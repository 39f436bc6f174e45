#pragma once

/// Numbered log events.
///
/// Each event has a fixed number, which docs/log-events.md lists. The text is for people and may change.
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

/// @param name "debug", "info", "warn" or "error"
/// @param level set if @p name is known
/// @return whether @p name is known.
auto parseLogLevel(std::string_view name, LogLevel &level) -> bool;

}

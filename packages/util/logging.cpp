#include "util/logging.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <algorithm>
#include <memory>
#include <string>

namespace Catkin
{

namespace
{

auto toNative(LogLevel level) -> log4cplus::LogLevel
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warn:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

}

auto initLogging(LogLevel level, LogTarget target) -> void
{
    static const auto initializer = log4cplus::Initializer{};
    auto appender = log4cplus::SharedAppenderPtr{new log4cplus::ConsoleAppender(target == LogTarget::StandardError, true)};
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%D{%Y-%m-%dT%H:%M:%S.%q} %-5p %m%n"));
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(toNative(level));
}

auto logEvent(LogLevel level, int number, std::string_view text) -> void
{
    auto line = "E" + std::to_string(number) + " " + std::string(text);
    // A text of another process must not begin a line of its own.
    std::replace_if(
        line.begin(), line.end(), [](unsigned char c) { return c < ' ' || c == 0x7f; }, '?');
    log4cplus::Logger::getRoot().log(toNative(level), line);
}

auto parseLogLevel(std::string_view name, LogLevel &level) -> bool
{
    if (name == "debug") {
        level = LogLevel::Debug;
    } else if (name == "info") {
        level = LogLevel::Info;
    } else if (name == "warn") {
        level = LogLevel::Warn;
    } else if (name == "error") {
        level = LogLevel::Error;
    } else {
        return false;
    }
    return true;
}

}

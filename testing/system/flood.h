#pragma once

/// A flood of one workspace's calls at one entry instance, beside a small caller of another workspace.
///
/// @code
///   auto alone = Catkin::runFlood(site, {.flooders = 0});
///   auto flooded = Catkin::runFlood(site, {.flooders = 200});
/// @endcode

#include "system/deployment.h"

#include <string>

namespace Catkin
{

struct FloodParams
{
    std::size_t instance = 0;
    int flooders = 0; ///< connections that send again as soon as they have an answer, or after a pause when refused
    int smallCalls = 60; ///< calls of the small caller, one after the other
    Millis smallPeriod{50};
    Millis refusedPause{50};
    std::string floodPayload = R"({"busy_ms":50})";
    std::string smallPayload = R"({"busy_ms":20})";
};

struct FloodResult
{
    int smallAnswered = 0;
    int smallCalls = 0;
    Millis smallMedian{0};
    Millis smallP99{0};
    int floodAnswered = 0;
    int floodRefused = 0;
};

/// Runs until the small caller has made its calls.
auto runFlood(Deployment &site, const FloodParams &params) -> FloodResult;

}

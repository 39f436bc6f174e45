#pragma once

/// A decision of the pool planner that its caller writes to the log.

#include <string>

namespace Catkin
{

struct PoolLogEntry
{
    const char *decision = ""; ///< keyword, listed in docs/OPERATIONS.md
    std::string text;
};

}

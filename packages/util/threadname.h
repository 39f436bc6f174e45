#pragma once

/// Thread names, as top(1) and /proc show them.
///
/// @code
///   Catkin::nameThread("planner");
/// @endcode

namespace Catkin
{

/// Names the calling thread.
/// @param name at most 15 bytes; a longer name is truncated
auto nameThread(const char *name) -> void;

}

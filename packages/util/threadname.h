#pragma once

/// Names of threads, as top(1) and /proc show them.
///
/// @code
///   Catkin::nameThread("planner");
/// @endcode

namespace Catkin
{

/// Names the calling thread.
/// @param name at most 15 characters; a longer one is cut off
auto nameThread(const char *name) -> void;

}

#pragma once

/// One instance of a pool scheduler: it follows the logs, answers callers, and plans while it holds the leadership.
///
/// @code
///   auto node = Catkin::PoolNode{settings, ports, clock};
///   node.start();
///   addRoutes(listener, node.front());
///   ...
///   node.retire();          // gives up the leadership; callers are still answered
///   node.stop();
/// @endcode

#include "daemon/poolfront.h"
#include "daemon/poolsettings.h"
#include "daemon/poolterm.h"
#include "policy/leadership.h"

#include <memory>
#include <string>

namespace Catkin
{

class PoolNode
{
public:
    PoolNode(const PoolSettings &settings, PoolPorts ports, Clock clock);
    ~PoolNode();
    PoolNode(const PoolNode &) = delete;
    auto operator=(const PoolNode &) -> PoolNode & = delete;

    auto start() -> void;
    /// Not ready any more, and no claim from now on.
    auto beginRetirement() -> void;
    /// Ends a term of leadership and tells the others.
    auto retire() -> void;
    auto stop() -> void;

    [[nodiscard]] auto front() -> PoolFront &;
    [[nodiscard]] auto ready() -> bool;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}

#pragma once

/// The machines that the platform's instance list names, as last seen.
///
/// @code
///   auto fleet = Catkin::Fleet{list, clock, Catkin::Millis{1000}, [&](const Catkin::FleetView &view) { ... }};
///   auto view = fleet.view();
/// @endcode
/// The list lags and may fail; the last one stays in force meanwhile.

#include "ports/instancelistport.h"
#include "util/clock.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace Catkin
{

struct FleetView
{
    std::vector<ListedInstance> entries;
    std::vector<ListedInstance> executors;
    std::vector<ListedInstance> workers;
};

class Fleet
{
public:
    using Changed = std::function<void(const FleetView &)>;

    /// @param changed called after each successful fetch, on the fleet's thread
    Fleet(InstanceListPort list, Clock clock, Millis period, Changed changed);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    auto operator=(const Fleet &) -> Fleet & = delete;

    /// @return the last list; empty before the first fetch.
    [[nodiscard]] auto view() const -> std::shared_ptr<const FleetView>;
    /// @return time since the last successful fetch.
    [[nodiscard]] auto age() const -> std::optional<Millis>;

private:
    auto run() -> void;
    auto fetch() -> void;

    InstanceListPort m_port;
    Clock m_clock;
    Millis m_period;
    Changed m_changed;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::shared_ptr<const FleetView> m_view = std::make_shared<FleetView>();
    std::shared_ptr<const std::vector<ListedInstance>> m_list; ///< of m_view; the fleet's thread only
    std::optional<MonoTime> m_fetched;
    bool m_stopping = false;
    bool m_failing = false;
    std::thread m_thread;
};

}

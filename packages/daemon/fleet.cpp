#include "daemon/fleet.h"

#include "util/logging.h"
#include "util/threadname.h"

#include <utility>

namespace Catkin
{

namespace
{

auto makeView(const std::vector<ListedInstance> &list) -> std::shared_ptr<const FleetView>
{
    auto view = std::make_shared<FleetView>();
    for (const auto &it : list) {
        switch (it.role) {
        case InstanceRole::Entry:
            view->entries.push_back(it);
            break;
        case InstanceRole::Executor:
            view->executors.push_back(it);
            break;
        case InstanceRole::Worker:
            view->workers.push_back(it);
            break;
        }
    }
    return view;
}

}

Fleet::Fleet(InstanceListPort list, Clock clock, Millis period, Changed changed)
    : m_port(std::move(list))
    , m_clock(std::move(clock))
    , m_period(period)
    , m_changed(std::move(changed))
    , m_thread([this] { run(); })
{
}

Fleet::~Fleet()
{
    {
        const auto lock = std::lock_guard{m_mutex};
        m_stopping = true;
    }
    m_wake.notify_all();
    m_thread.join();
}

auto Fleet::fetch() -> void
{
    auto list = m_port.fetch();
    if (!list) {
        if (!std::exchange(m_failing, true)) {
            logEvent(LogLevel::Warn, 2101, list.error().message);
        }
        return;
    }
    if (std::exchange(m_failing, false)) {
        logEvent(LogLevel::Info, 2102, "the instance list is available again");
    }
    auto view = list.value() == m_list ? m_view : makeView(*list.value());
    m_list = std::move(list.value());
    {
        const auto lock = std::lock_guard{m_mutex};
        m_view = view;
        m_fetched = m_clock.mono();
    }
    // Users of the list act on silent machines that it no longer names, so they look at it again even if it is the same.
    m_changed(*view);
}

auto Fleet::run() -> void
{
    nameThread("instance-list");
    while (true) {
        fetch();
        auto lock = std::unique_lock{m_mutex};
        if (m_wake.wait_for(lock, m_period, [&] { return m_stopping; })) {
            return;
        }
    }
}

auto Fleet::view() const -> std::shared_ptr<const FleetView>
{
    const auto lock = std::lock_guard{m_mutex};
    return m_view;
}

auto Fleet::age() const -> std::optional<Millis>
{
    const auto lock = std::lock_guard{m_mutex};
    if (!m_fetched) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Millis>(m_clock.mono() - *m_fetched);
}

}

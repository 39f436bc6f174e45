#include "daemon/fleet.h"

#include "util/logging.h"

#include <utility>

namespace Catkin
{

Fleet::Fleet(InstanceListPort list, Clock clock, Millis period, Changed changed)
    : m_list(std::move(list))
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
    auto list = m_list.fetch();
    if (!list) {
        if (!std::exchange(m_failing, true)) {
            logEvent(LogLevel::Warn, 2101, list.error().message);
        }
        return;
    }
    if (std::exchange(m_failing, false)) {
        logEvent(LogLevel::Info, 2102, "the instance list is available again");
    }
    auto view = std::make_shared<FleetView>();
    for (auto &it : list.value()) {
        switch (it.role) {
        case InstanceRole::Entry:
            view->entries.push_back(std::move(it));
            break;
        case InstanceRole::Executor:
            view->executors.push_back(std::move(it));
            break;
        case InstanceRole::Worker:
            view->workers.push_back(std::move(it));
            break;
        }
    }
    {
        const auto lock = std::lock_guard{m_mutex};
        m_view = view;
        m_fetched = m_clock.mono();
    }
    m_changed(*view);
}

auto Fleet::run() -> void
{
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

#include "daemon/plannerservice.h"

#include "util/logging.h"
#include "util/threadname.h"

#include <algorithm>
#include <future>
#include <utility>

namespace Catkin
{

PlannerService::PlannerService(PlannerContext context, IsPlanner isPlanner)
    : m_context(std::move(context))
    , m_isPlanner(std::move(isPlanner))
{
    m_context.wake = [this] { wake(); };
    m_thread = std::thread([this] { run(); });
}

PlannerService::~PlannerService()
{
    {
        const auto lock = std::lock_guard{m_mutex};
        m_stopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

auto PlannerService::wake() -> void
{
    {
        const auto lock = std::lock_guard{m_mutex};
        m_woken = true;
    }
    m_changed.notify_all();
}

auto PlannerService::workersChanged(const std::vector<ListedInstance> &workers) -> void
{
    {
        const auto lock = std::lock_guard{m_mutex};
        m_newWorkers = std::make_shared<const std::vector<ListedInstance>>(workers);
    }
    wake();
}

auto PlannerService::configChanged(std::shared_ptr<const ActiveConfig> config) -> void
{
    {
        const auto lock = std::lock_guard{m_mutex};
        m_config = std::move(config);
        m_configChanged = true;
    }
    wake();
}

auto PlannerService::jobsChanged() -> void
{
    {
        const auto lock = std::lock_guard{m_mutex};
        m_jobsChanged = true;
    }
    wake();
}

auto PlannerService::takeChanges() -> void
{
    auto workers = std::shared_ptr<const std::vector<ListedInstance>>{};
    auto config = std::shared_ptr<const ActiveConfig>{};
    auto jobs = false;
    auto calls = std::vector<std::function<void()>>{};
    {
        const auto lock = std::lock_guard{m_mutex};
        workers = std::exchange(m_newWorkers, nullptr);
        config = std::exchange(m_configChanged, false) ? m_config : nullptr;
        jobs = std::exchange(m_jobsChanged, false);
        calls.swap(m_calls);
    }
    if (workers || config || jobs) {
        m_rolesDue = {};
    }
    if (workers) {
        for (auto &[id, it] : m_domains) {
            it.workers.clear();
        }
        for (const auto &it : *workers) {
            m_domains[it.domain].region = it.region;
            m_domains[it.domain].workers.push_back(it);
        }
    }
    for (auto &[id, it] : m_domains) {
        if (!it.planner) {
            continue;
        }
        if (workers) {
            it.planner->setWorkers(it.workers);
        }
        if (config) {
            it.planner->setConfig(*config);
        }
        if (jobs) {
            it.planner->jobsChanged();
        }
    }
    for (const auto &it : calls) {
        it();
    }
}

auto PlannerService::updateRoles() -> void
{
    auto config = std::shared_ptr<const ActiveConfig>{};
    {
        const auto lock = std::lock_guard{m_mutex};
        config = m_config;
    }
    auto planned = std::vector<PlannedDomain>{};
    for (auto &[id, it] : m_domains) {
        // Without the jobs and the configuration every lease would look like one of no known gang.
        const auto mine = !it.workers.empty() && config && m_context.jobs->caughtUp() && m_isPlanner(id, it.region);
        if (mine && (!it.planner || it.planner->superseded())) {
            const auto before = std::exchange(it.planner, std::make_shared<DomainPlanner>(id, m_context));
            if (before) {
                it.planner->succeed(*before);
            }
            it.planner->setWorkers(it.workers);
            it.planner->setConfig(*config);
        } else if (!mine && it.planner) {
            logEvent(LogLevel::Info, 2408, "no longer planning " + id.str());
            it.planner.reset();
        }
        if (it.planner && it.planner->claimed()) {
            planned.push_back({.domain = id, .generation = it.planner->generation()});
        }
    }
    const auto lock = std::lock_guard{m_mutex};
    m_planned = std::move(planned);
}

auto PlannerService::run() -> void
{
    constexpr auto idlePeriod = Millis{200};
    constexpr auto rolePeriod = Millis{50};
    nameThread("planner");
    while (true) {
        takeChanges();
        // Choosing planners costs a look at every instance for each failure domain; answers of workers do not change it.
        if (const auto now = m_context.clock.mono(); now >= m_rolesDue) {
            m_rolesDue = now + rolePeriod;
            updateRoles();
        }
        auto due = m_context.clock.mono() + idlePeriod;
        for (auto &[id, it] : m_domains) {
            if (it.planner) {
                due = std::min(due, it.planner->step());
            }
        }
        auto lock = std::unique_lock{m_mutex};
        const auto pause = due - m_context.clock.mono();
        m_changed.wait_for(lock, std::max(Micros{1000}, pause), [&] { return m_stopping || m_woken; });
        if (m_stopping) {
            return;
        }
        m_woken = false;
    }
}

auto PlannerService::planned() const -> std::vector<PlannedDomain>
{
    const auto lock = std::lock_guard{m_mutex};
    return m_planned;
}

auto PlannerService::views(Millis limit) -> std::vector<PlannerView>
{
    auto promise = std::make_shared<std::promise<std::vector<PlannerView>>>();
    auto future = promise->get_future();
    {
        const auto lock = std::lock_guard{m_mutex};
        m_calls.emplace_back([this, promise] {
            auto out = std::vector<PlannerView>{};
            for (const auto &[id, it] : m_domains) {
                if (it.planner) {
                    out.push_back(it.planner->view());
                }
            }
            promise->set_value(std::move(out));
        });
    }
    wake();
    return future.wait_for(limit) == std::future_status::ready ? future.get() : std::vector<PlannerView>{};
}

}

#include "daemon/executorpoller.h"

#include "util/threadname.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Catkin
{

namespace
{
constexpr auto maxQueuedPolls = std::size_t{4096};
}

ExecutorPoller::ExecutorPoller(ExecutorPort port, Clock clock, const ExecutorPollerOptions &options, Polled polled)
    : m_port(std::move(port))
    , m_clock(std::move(clock))
    , m_options(options)
    , m_polled(std::move(polled))
    , m_pool(options.threads, maxQueuedPolls, "executor-poll")
    , m_thread([this] { run(); })
{
}

ExecutorPoller::~ExecutorPoller()
{
    {
        const auto lock = std::lock_guard{m_mutex};
        m_stopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
    m_pool.stop();
}

auto ExecutorPoller::setExecutors(const std::vector<ListedInstance> &executors) -> void
{
    {
        const auto lock = std::lock_guard{m_mutex};
        auto listed = std::set<ExecutorId>{};
        for (const auto &it : executors) {
            const auto id = ExecutorId{it.id};
            listed.insert(id);
            m_targets[id].address = it.address;
        }
        std::erase_if(m_targets, [&](const auto &it) { return !listed.contains(it.first); });
    }
    m_changed.notify_all();
}

auto ExecutorPoller::pollOne(const ExecutorId &id, const std::string &address) -> void
{
    const auto health = m_port.health(address, m_options.timeout);
    auto sample = std::optional<HealthSample>{};
    if (health) {
        sample = HealthSample{.slots = health.value().slots, .busy = health.value().busy, .leaving = health.value().leaving};
    }
    m_polled(id, sample);
    const auto lock = std::lock_guard{m_mutex};
    if (const auto it = m_targets.find(id); it != m_targets.end()) {
        it->second.busy = false;
    }
}

auto ExecutorPoller::run() -> void
{
    nameThread("executor-timer");
    auto lock = std::unique_lock{m_mutex};
    while (!m_stopping) {
        const auto now = m_clock.mono();
        auto next = now + m_options.period;
        for (auto &[id, it] : m_targets) {
            if (it.due <= now && !it.busy) {
                it.busy = m_pool.post([this, id = id, address = it.address] { pollOne(id, address); });
                it.due = now + m_options.period;
            }
            next = std::min(next, std::max(it.due, now + Millis{10}));
        }
        m_changed.wait_for(lock, next - now);
    }
}

}

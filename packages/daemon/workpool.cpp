#include "daemon/workpool.h"

#include "util/threadname.h"

#include <utility>

namespace Catkin
{

WorkPool::WorkPool(std::size_t threads, std::size_t maxQueued, const char *name)
    : m_name(name)
    , m_maxQueued(maxQueued)
{
    for (auto i = std::size_t{0}; i < threads; ++i) {
        m_threads.emplace_back([this] { run(); });
    }
}

WorkPool::~WorkPool()
{
    stop();
}

auto WorkPool::stop() -> void
{
    {
        const auto lock = std::lock_guard{m_mutex};
        m_stopping = true;
        m_tasks.clear();
    }
    m_changed.notify_all();
    for (auto &it : m_threads) {
        if (it.joinable()) {
            it.join();
        }
    }
}

auto WorkPool::post(std::function<void()> task) -> bool
{
    {
        const auto lock = std::lock_guard{m_mutex};
        if (m_stopping || m_tasks.size() >= m_maxQueued) {
            return false;
        }
        m_tasks.push_back(std::move(task));
    }
    m_changed.notify_one();
    return true;
}

auto WorkPool::run() -> void
{
    nameThread(m_name);
    while (true) {
        auto task = std::function<void()>{};
        {
            auto lock = std::unique_lock{m_mutex};
            m_changed.wait(lock, [&] { return m_stopping || !m_tasks.empty(); });
            if (m_stopping) {
                return;
            }
            task = std::move(m_tasks.front());
            m_tasks.pop_front();
        }
        task();
    }
}

}

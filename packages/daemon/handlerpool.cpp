#include "daemon/handlerpool.h"

#include "util/logging.h"
#include "util/threadname.h"

#include <string>
#include <system_error>
#include <utility>

namespace Catkin
{

HandlerPool::HandlerPool(std::size_t threads, std::size_t backlog)
    : m_maxThreads(threads)
    , m_backlog(backlog)
{
}

HandlerPool::~HandlerPool()
{
    finish();
}

auto HandlerPool::push(const std::function<void()> &task) -> bool
{
    {
        const auto lock = std::lock_guard{m_mutex};
        if (m_tasks.size() + m_busy >= m_maxThreads + m_backlog) {
            return false;
        }
        if (m_tasks.size() + 1 > m_waiting && m_threads.size() < m_maxThreads) {
            startThread();
        }
        if (m_threads.empty()) {
            return false;
        }
        m_tasks.push_back(task);
    }
    // Without the lock, for which the thread would have to wait again.
    m_changed.notify_one();
    return true;
}

/// The caller holds m_mutex.
auto HandlerPool::startThread() -> void
{
    try {
        m_threads.emplace_back([this] { run(); });
    } catch (const std::system_error &e) {
        if (!std::exchange(m_startFailed, true)) {
            logEvent(LogLevel::Warn, 1015, "no further thread for connections, there are " + std::to_string(m_threads.size()) + ": " + e.what());
        }
    }
}

auto HandlerPool::run() -> void
{
    nameThread("listener");
    auto lock = std::unique_lock{m_mutex};
    while (true) {
        if (m_tasks.empty()) {
            if (m_stopping) {
                return;
            }
            ++m_waiting;
            m_changed.wait(lock, [&] { return m_stopping || !m_tasks.empty(); });
            --m_waiting;
            continue;
        }
        auto task = std::move(m_tasks.front());
        m_tasks.pop_front();
        ++m_busy;
        lock.unlock();
        task();
        task = nullptr;
        lock.lock();
        --m_busy;
    }
}

auto HandlerPool::finish() -> void
{
    auto threads = std::vector<std::thread>{};
    {
        const auto lock = std::lock_guard{m_mutex};
        m_stopping = true;
        threads.swap(m_threads);
    }
    m_changed.notify_all();
    for (auto &it : threads) {
        it.join();
    }
}

}

#pragma once

/// A bounded number of threads that run tasks, with a bounded number of waiting tasks.
///
/// @code
///   auto pool = Catkin::HandlerPool{96, 64};
///   if (!pool.push([] { ... })) { ... }   // every thread and waiting place is taken
///   pool.finish();
/// @endcode

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace Catkin
{

/// A thread is started when a task finds no idle one, so that a pool has as many as it ever needed at once.
class HandlerPool
{
public:
    /// @param threads most threads
    /// @param backlog tasks that may wait while every thread runs one
    HandlerPool(std::size_t threads, std::size_t backlog);
    ~HandlerPool();
    HandlerPool(const HandlerPool &) = delete;
    auto operator=(const HandlerPool &) -> HandlerPool & = delete;

    /// @return whether the task will run; otherwise every thread and waiting place is taken, or no thread can be started at all.
    auto push(const std::function<void()> &task) -> bool;
    /// Runs the tasks that wait and ends the threads.
    auto finish() -> void;

private:
    auto startThread() -> void;
    auto run() -> void;

    std::size_t m_maxThreads;
    std::size_t m_backlog;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::function<void()>> m_tasks;
    std::size_t m_waiting = 0; ///< threads that wait for a task
    std::size_t m_busy = 0; ///< threads that run one
    std::vector<std::thread> m_threads;
    bool m_stopping = false;
    bool m_startFailed = false;
};

}

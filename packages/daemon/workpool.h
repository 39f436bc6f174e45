#pragma once

/// A bounded pool of threads for calls that block on the network.
///
/// @code
///   auto pool = Catkin::WorkPool{16, 4096};
///   pool.post([] { ... });                 // false when the queue is full or the pool is stopping
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

class WorkPool
{
public:
    /// @param threads number of threads
    /// @param maxQueued largest number of waiting tasks
    /// @param name of the threads; a literal
    WorkPool(std::size_t threads, std::size_t maxQueued, const char *name = "work");
    /// Runs the tasks that have started, drops the waiting ones.
    ~WorkPool();
    WorkPool(const WorkPool &) = delete;
    auto operator=(const WorkPool &) -> WorkPool & = delete;

    /// @return whether @p task was queued.
    auto post(std::function<void()> task) -> bool;

    /// Lets running tasks end, drops waiting ones and joins the threads; later posts fail.
    auto stop() -> void;

private:
    auto run() -> void;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::function<void()>> m_tasks;
    const char *m_name;
    std::size_t m_maxQueued;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

}

#pragma once

/// Polls the health of every listed executor.
///
/// @code
///   auto poller = Catkin::ExecutorPoller{port, clock, {.period = Catkin::Millis{1000}}, [&](const auto &id, const auto &sample) { ... }};
///   poller.setExecutors(view.executors);
/// @endcode

#include "daemon/workpool.h"
#include "policy/requesttypes.h"
#include "ports/executorport.h"
#include "ports/instancelistport.h"
#include "util/clock.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace Catkin
{

struct ExecutorPollerOptions
{
    Millis period{1'000}; ///< between two polls of one executor
    Millis timeout{800}; ///< for one poll; below the period, so that a dead executor keeps at most one thread busy
    std::size_t threads = 8;
};

class ExecutorPoller
{
public:
    /// @param polled called with the answer, or with nothing when the poll failed; from the poller's threads
    using Polled = std::function<void(const ExecutorId &, const std::optional<HealthSample> &)>;

    ExecutorPoller(ExecutorPort port, Clock clock, const ExecutorPollerOptions &options, Polled polled);
    ~ExecutorPoller();
    ExecutorPoller(const ExecutorPoller &) = delete;
    auto operator=(const ExecutorPoller &) -> ExecutorPoller & = delete;

    auto setExecutors(const std::vector<ListedInstance> &executors) -> void;

private:
    struct Target
    {
        std::string address;
        MonoTime due{};
        bool busy = false;
    };

    auto run() -> void;
    auto pollOne(const ExecutorId &id, const std::string &address) -> void;

    ExecutorPort m_port;
    Clock m_clock;
    ExecutorPollerOptions m_options;
    Polled m_polled;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<ExecutorId, Target> m_targets;
    bool m_stopping = false;
    WorkPool m_pool;
    std::thread m_thread;
};

}

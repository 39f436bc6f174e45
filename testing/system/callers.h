#pragma once

/// Callers that send bookings through several entry instances and retry as the interface asks them to.
///
/// @code
///   auto callers = Catkin::Callers{site, {.threads = 4, .requestsEach = 25}};
///   ... faults ...
///   auto calls = callers.join();
/// @endcode

#include "system/deployment.h"
#include "util/random.h"

#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

namespace Catkin
{

struct CallersOptions
{
    int threads = 4;
    int requestsEach = 25;
    int attempts = 6; ///< most attempts of one key
    int busyMs = 20; ///< work of each booking at the executor
    bool useTickets = false;
    unsigned seed = 1; ///< of the choice of instances
    std::string kind = "book";
    std::vector<std::size_t> entries; ///< instances to call; empty: all
    int pauseMs = 0; ///< between two keys of one thread
};

class Callers
{
public:
    Callers(Deployment &site, const CallersOptions &options);
    ~Callers();
    Callers(const Callers &) = delete;
    auto operator=(const Callers &) -> Callers & = delete;

    /// Makes every caller end with its present key.
    auto stop() -> void;

    /// Waits for every caller.
    /// @return every attempt, in no particular order.
    auto join() -> std::vector<Call>;

    /// @return keys that have ended with an answer so far.
    [[nodiscard]] auto answered() const -> int;

private:
    auto run(int thread) -> void;
    auto choose(Random &random) const -> std::size_t;
    auto sendKey(int thread, int number, unsigned &state) -> void;

    Deployment &m_site;
    CallersOptions m_options;
    std::mutex m_mutex;
    std::vector<Call> m_calls;
    std::atomic<int> m_answered{0};
    std::atomic<bool> m_stopping{false};
    std::vector<std::thread> m_threads;
};

}

#pragma once

/// Watches the process that holds the leadership through a connection, so that its end is noticed at once.
///
/// @code
///   auto watch = Catkin::HolderWatch{[](std::int64_t epoch) { ... }};
///   watch.setHolder("10.1.0.19:7000", 451);
///   watch.stop();
/// @endcode
///
/// A connection that closes proves nothing: the holder closes idle ones, and the network breaks others. Only when the
/// address then refuses a new connection has the process ended. A machine that loses power refuses nothing; the
/// silence of the holder's renewals tells of it later.

#include "util/units.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace Catkin
{

class HolderWatch
{
public:
    /// @param ended called by the watching thread when the process that holds @c epoch has ended
    explicit HolderWatch(std::function<void(std::int64_t epoch)> ended);
    ~HolderWatch();
    HolderWatch(const HolderWatch &) = delete;
    auto operator=(const HolderWatch &) -> HolderWatch & = delete;

    /// @param address "ip:port" that the holder listens on; empty: there is nobody to watch
    auto setHolder(const std::string &address, std::int64_t epoch) -> void;
    auto stop() -> void;

private:
    auto run() -> void;
    auto watch(const std::string &address, std::int64_t epoch) -> void;
    auto unchanged(std::int64_t epoch) -> bool;

    std::function<void(std::int64_t)> m_ended;
    std::mutex m_mutex; ///< leaf; guards what follows up to the thread
    std::condition_variable m_changed;
    std::string m_address;
    std::int64_t m_epoch = -1;
    std::int64_t m_reported = -1;
    bool m_stopping = false;
    std::thread m_thread;
};

}

#pragma once

/// A proxy before an executor that can keep start orders back: their callers get no answer, and the orders are carried out later, by whichever lifetime of the
/// executor is there then. All other calls pass at once.
///
/// @code
///   auto proxy = Catkin::Review::LateProxy{executorPort};
///   use(proxy.port());
///   proxy.keepStarts(true);
///   ...
///   proxy.deliver();
/// @endcode

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Catkin::Review
{

class LateProxy
{
public:
    /// @param targetPort port of the executor on 127.0.0.1
    explicit LateProxy(int targetPort);
    ~LateProxy();
    LateProxy(const LateProxy &) = delete;
    auto operator=(const LateProxy &) -> LateProxy & = delete;

    [[nodiscard]] auto port() const -> int;
    /// @param isKept whether start orders get no answer from now on, and are kept for deliver()
    auto keepStarts(bool isKept) -> void;
    /// Carries out the orders that have been kept.
    /// @return milliseconds since each of them arrived
    auto deliver() -> std::vector<long>;
    [[nodiscard]] auto kept() -> std::size_t;

private:
    struct Order
    {
        std::string body;
        std::chrono::steady_clock::time_point arrivedAt;
    };

    auto pass(const httplib::Request &request, httplib::Response &response) -> void;

    int m_target;
    std::atomic<bool> m_isKept{false};
    std::mutex m_mutex; ///< guards the orders
    std::vector<Order> m_orders;
    httplib::Server m_server;
    int m_port = 0;
    std::thread m_thread;
};

}

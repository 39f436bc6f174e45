#include "system/flood.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <thread>
#include <vector>

namespace Catkin
{

namespace
{

using nlohmann::json;

constexpr auto callTimeout = Millis{8'000};

auto send(Deployment &site, std::size_t index, const char *caller, const std::string &payload, bool neighbour) -> bool
{
    const auto body = json{{"kind", "plan"}, {"caller", caller}, {"payload", payload}}.dump();
    const auto reply = site.caller(index, "POST", "/v1/requests", body, callTimeout, neighbour);
    return reply && reply.value().status == 200;
}

}

auto runFlood(Deployment &site, const FloodParams &params) -> FloodResult
{
    auto stop = std::atomic<bool>{false};
    auto answered = std::atomic<int>{0};
    auto refused = std::atomic<int>{0};
    auto threads = std::vector<std::thread>{};
    for (auto i = 0; i < params.flooders; ++i) {
        threads.emplace_back([&] {
            while (!stop) {
                if (send(site, params.instance, "portal", params.floodPayload, true)) {
                    ++answered;
                } else {
                    ++refused;
                    std::this_thread::sleep_for(params.refusedPause);
                }
            }
        });
    }
    auto latencies = std::vector<Millis>{};
    for (auto i = 0; i < params.smallCalls; ++i) {
        const auto start = std::chrono::steady_clock::now();
        if (send(site, params.instance, "desk", params.smallPayload, false)) {
            latencies.push_back(std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now() - start));
        }
        std::this_thread::sleep_until(start + params.smallPeriod);
    }
    stop = true;
    for (auto &it : threads) {
        it.join();
    }
    std::sort(latencies.begin(), latencies.end());
    const auto n = latencies.size();
    return {
        .smallAnswered = static_cast<int>(n),
        .smallCalls = params.smallCalls,
        .smallMedian = n == 0 ? Millis{0} : latencies[n / 2],
        .smallP99 = n == 0 ? Millis{0} : latencies[std::min(n - 1, n * 99 / 100)],
        .floodAnswered = answered,
        .floodRefused = refused,
    };
}

}

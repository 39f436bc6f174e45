#include "policy/poolcore.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <string>

/// Workers whose entry has been removed, and those whose address another worker has taken.

namespace Catkin
{

namespace
{

/// @return the time until @p end in whole milliseconds; negative if it has passed.
auto millisUntil(MonoTime end, MonoTime now) -> std::string
{
    return std::to_string(std::chrono::ceil<Millis>(end - now).count());
}

}

/// @return whether attempts of the worker, or start orders to it, may still begin or go on.
auto PoolCore::isAwaited(const Worker &worker, MonoTime now) -> bool
{
    return !worker.allocations.empty() || isWatched(worker, now);
}

/// Notes which workers have no entry any more.
auto PoolCore::noteUnlisted(MonoTime now) -> void
{
    for (auto &[id, worker] : m_workers) {
        if (worker.listed) {
            worker.unlistedAt = MonoTime{};
        } else if (worker.unlistedAt == MonoTime{}) {
            worker.unlistedAt = now;
            if (isAwaited(worker, now)) {
                logDecision("worker_unlisted",
                            "worker=" + id.str() + " lifetime=" + std::to_string(worker.info.born.value)
                                + " attempts=" + std::to_string(worker.allocations.size()) + " answers=" + (isAnswering(worker) ? "yes" : "no")
                                + " lease_end_ms=" + millisUntil(worker.leaseEnd, now) + " latest_end_ms=" + millisUntil(lastLeaseEnd(worker), now)
                                + " late_calls_ms=" + millisUntil(std::max(worker.startsArriveUntil, now), now));
            }
        }
    }
}

/// Finds the workers whose address the entry of another one names. Only one process can listen at an address, so that the one whose lifetime began
/// earlier has ended.
auto PoolCore::noteSuccessors(MonoTime now) -> void
{
    auto holders = std::map<std::string, const Worker *>{};
    for (const auto &[id, worker] : m_workers) {
        if (worker.listed && !worker.info.address.empty()) {
            auto &holder = holders[worker.info.address];
            holder = holder == nullptr || holder->listedBorn < worker.listedBorn ? &worker : holder;
        }
    }
    for (auto &[id, worker] : m_workers) {
        const auto holder = holders.find(worker.info.address);
        if (holder == holders.end() || holder->second->info.id == id || !isAwaited(worker, now)) {
            continue;
        }
        const auto &successor = *holder->second;
        if (std::max(worker.info.born, worker.listedBorn) < successor.listedBorn && worker.successor != successor.info.id) {
            worker.successor = successor.info.id;
            logDecision("address_taken",
                        "worker=" + id.str() + " lifetime=" + std::to_string(worker.info.born.value) + " by=" + successor.info.id.str()
                            + " by_lifetime=" + std::to_string(successor.listedBorn.value) + " address=" + worker.info.address + " attempts="
                            + std::to_string(worker.allocations.size()) + " lease_end_ms=" + millisUntil(worker.leaseEnd, now) + " latest_end_ms="
                            + millisUntil(lastLeaseEnd(worker), now) + " late_calls_ms=" + millisUntil(std::max(worker.startsArriveUntil, now), now));
        }
    }
}

}

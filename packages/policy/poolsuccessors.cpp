#include "policy/poolcore.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

/// Workers whose entry has been removed, and those whose address another worker has taken.
///
/// Only one process can listen at an address. When another worker is at the address of one, the process of the earlier one has ended, with its leases. A
/// start order for it that arrives late names a worker that is not there, and is refused for as long as its successor is at the address.
///
/// It shows in two ways: the entry of a worker of a later lifetime names the address, or a poll that was sent after the last list is answered by another
/// worker.

namespace Catkin
{

namespace
{

/// @return the time until @p end in whole milliseconds; 0 if it has passed.
auto millisUntil(MonoTime end, MonoTime now) -> std::string
{
    return std::to_string(std::chrono::ceil<Millis>(std::max(end, now) - now).count());
}

}

/// @return whether attempts of the worker, or start orders to it, may still begin or go on.
auto PoolCore::isAwaited(const Worker &worker, MonoTime now) -> bool
{
    return !worker.allocations.empty() || isWatched(worker, now);
}

/// @return what waits for the worker and until when, as fields of a line.
auto PoolCore::describeWaits(const Worker &worker, MonoTime now) const -> std::string
{
    return "lifetime=" + std::to_string(worker.info.born.value) + " attempts=" + std::to_string(worker.allocations.size())
           + " answers=" + (isAnswering(worker) ? "yes" : "no") + " lease_end_ms=" + millisUntil(worker.leaseEnd, now)
           + " latest_end_ms=" + millisUntil(lastLeaseEnd(worker), now) + " late_calls_ms=" + millisUntil(worker.startsArriveUntil, now);
}

auto PoolCore::recallEntry(const WorkerId &id, const std::string &address, Incarnation born) -> bool
{
    const auto it = m_workers.find(id);
    if (it == m_workers.end() || it->second.listed || !it->second.info.address.empty()) {
        return false;
    }
    // Worker::listedBorn stays that of the record, so that a restart since then shows when the worker is listed again.
    it->second.info.address = address;
    it->second.info.born = born;
    return true;
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
                logDecision("worker_unlisted", "worker=" + id.str() + " " + describeWaits(worker, now));
            }
        }
    }
}

/// @return whether the entry names a service of a queue; otherwise it may come from another writer, and shows nothing.
auto PoolCore::isOfQueue(const PoolWorkerInfo &info) const -> bool
{
    return std::any_of(m_rules.queues.begin(), m_rules.queues.end(), [&](const auto &it) { return it.second.service == info.service; });
}

/// Finds the workers whose address the entry of another one names. The one whose lifetime began earlier has ended.
auto PoolCore::noteSuccessors(MonoTime now) -> void
{
    std::erase_if(m_successors, [&](const auto &it) { return it.second.seenAt + lateCallLimit <= now; });
    auto holders = std::unordered_map<std::string_view, const Worker *>{};
    for (const auto &[id, worker] : m_workers) {
        if (worker.listed) {
            const auto [holder, isFirst] = holders.try_emplace(worker.info.address, &worker);
            if (!isFirst && isOfQueue(worker.info) && (holder->second->listedBorn < worker.listedBorn || !isOfQueue(holder->second->info))) {
                holder->second = &worker;
            }
        }
    }
    const auto successorOf = [&](const std::string &address, Incarnation born) -> const Worker * {
        const auto holder = holders.find(address);
        return holder != holders.end() && born < holder->second->listedBorn && isOfQueue(holder->second->info) ? holder->second : nullptr;
    };
    // Workers that have left.
    for (const auto &[id, calls] : m_lateCalls) {
        if (const auto *worker = calls.startsArriveUntil > now ? successorOf(calls.address, calls.born) : nullptr) {
            m_successors[id] = {.id = worker->info.id, .endedBorn = calls.born, .seenAt = now};
        }
    }
    auto successors = std::map<WorkerId, Successor>{};
    for (const auto &[id, worker] : m_workers) {
        const auto born = std::max(worker.info.born, worker.listedBorn);
        if (const auto *it = successorOf(worker.info.address, born)) {
            successors[id] = {.id = it->info.id, .endedBorn = born, .seenAt = now};
        }
    }
    for (const auto &[id, successor] : successors) {
        succeed(id, successor, now);
    }
}

auto PoolCore::otherWorkerAnswered(const WorkerId &id, MonoTime sentAt, MonoTime now) -> bool
{
    const auto it = m_workers.find(id);
    if (it == m_workers.end() || sentAt < std::max(it->second.answeredAt, it->second.shownAt)) {
        return false; // a worker that was there before this one may have answered
    }
    const auto born = std::max(it->second.info.born, it->second.listedBorn);
    succeed(id, {.endedBorn = born, .seenAt = now}, now);
    return true;
}

/// Gives up all attempts of a worker that has ended, and forgets it. Its start orders without an answer are remembered, in case it comes back.
auto PoolCore::succeed(const WorkerId &id, const Successor &successor, MonoTime now) -> void
{
    auto &worker = m_workers.at(id);
    if (isAwaited(worker, now)) {
        logDecision("address_taken",
                    "worker=" + id.str() + " by=" + (successor.id.empty() ? std::string("unknown") : successor.id.str()) + " address=" + worker.info.address
                        + " " + describeWaits(worker, now));
    }
    for (auto &[key, it] : worker.allocations) {
        if (it.orderOpen) {
            it.startArrivesUntil = now + lateCallLimit;
            noteStartInDoubt(worker, now);
        }
    }
    m_successors[id] = successor;
    loseAllAttempts(worker, "another worker is at its address");
    keepLateCalls(worker);
    m_workers.erase(id);
}

/// @return whether the entry is of a lifetime that is over although it has not been removed yet.
auto PoolCore::isSucceeded(const PoolWorkerInfo &info) -> bool
{
    const auto it = m_successors.find(info.id);
    if (it == m_successors.end()) {
        return false;
    }
    if (info.born <= it->second.endedBorn) {
        return true;
    }
    m_successors.erase(it); // the worker has come back
    return false;
}

/// @return whether another worker is at the address of this one, so that no start order can begin anything there.
auto PoolCore::hasSuccessor(const WorkerId &id) const -> bool
{
    const auto it = m_successors.find(id);
    if (it == m_successors.end() || it->second.id.empty()) {
        return it != m_successors.end();
    }
    const auto successor = m_workers.find(it->second.id);
    return successor != m_workers.end() && successor->second.listed;
}

}

#pragma once

/// An in-memory worker for tests of gangs. It follows the lease protocol of docs/interfaces.md without a network.
///
/// @code
///   auto worker = Catkin::Testing::FakeWorker{"w-1"};
///   worker.advance(clock.now());                       // ends expired leases
///   table.ordersDone(id, orders, worker.orders(generation, orders), clock.now());
/// @endcode

#include "ports/workerport.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace Catkin::Testing
{

class FakeWorker
{
public:
    explicit FakeWorker(std::string id)
        : m_id(std::move(id))
    {
    }

    bool down = false; ///< every exchange fails and orders have no effect
    bool loseReplies = false; ///< orders take effect, but their replies are lost
    bool refuseReserve = false;
    bool refuseStart = false;
    bool ignoreStop = false; ///< a running task continues after a stop order

    /// Sets the worker's time and ends the leases that have expired.
    auto advance(MonoTime now) -> void
    {
        m_now = now;
        for (auto &[id, it] : m_leases) {
            if (it.lease.state != LeaseState::Ended && now >= it.expires) {
                it.lease.state = LeaseState::Ended;
                it.lease.exit = LeaseExit::Lapsed;
            }
        }
    }

    /// Drops all leases and the known generation, and changes the boot id.
    auto reboot() -> void
    {
        m_leases.clear();
        m_generation = {};
        ++m_boot;
    }

    /// Ends the task of a lease.
    auto finish(const LeaseId &id, LeaseExit exit) -> void
    {
        auto &it = m_leases.at(id);
        it.lease.state = LeaseState::Ended;
        it.lease.exit = exit;
    }

    auto orders(const Generation &generation, const std::vector<WorkerOrder> &orders) -> Result<OrdersReply>
    {
        if (down) {
            return failure(ErrorCode::NotSent, "down");
        }
        if (generation < m_generation) {
            return failure(ErrorCode::StaleGeneration, "stale");
        }
        m_generation = generation;
        auto reply = OrdersReply{};
        for (const auto &it : orders) {
            reply.results.push_back(apply(it));
        }
        if (loseReplies) {
            return failure(ErrorCode::Unknown, "answer lost");
        }
        reply.status = status().value();
        return reply;
    }

    [[nodiscard]] auto status() const -> Result<WorkerStatus>
    {
        if (down) {
            return failure(ErrorCode::Unavailable, "down");
        }
        auto status = WorkerStatus{.worker = WorkerId{m_id}, .boot = std::to_string(m_boot), .slots = 8, .generation = m_generation};
        for (const auto &[id, it] : m_leases) {
            status.leases.push_back(it.lease);
        }
        return status;
    }

    /// @return how many members of @p job run on this worker now.
    [[nodiscard]] auto running(const JobId &job) const -> int
    {
        return static_cast<int>(std::count_if(
            m_leases.begin(), m_leases.end(), [&](const auto &it) { return it.second.lease.job == job && it.second.lease.state == LeaseState::Running; }));
    }

private:
    struct HeldLease
    {
        WorkerLease lease;
        MonoTime expires;
    };

    auto apply(const WorkerOrder &order) -> OrderResult
    {
        if (order.op == OrderOp::Claim) {
            return {.ok = true};
        }
        if (order.op == OrderOp::Reserve) {
            return reserve(order);
        }
        const auto it = m_leases.find(order.lease);
        if (it == m_leases.end() || it->second.lease.state == LeaseState::Ended) {
            return {.ok = false, .error = "no such lease"};
        }
        auto &held = it->second;
        switch (order.op) {
        case OrderOp::Start:
            if (refuseStart) {
                return {.ok = false, .error = "refused"};
            }
            held.lease.state = LeaseState::Running;
            held.lease.started = true;
            held.expires = m_now + order.ttl;
            break;
        case OrderOp::Renew:
            held.expires = m_now + order.ttl;
            break;
        case OrderOp::Checkpoint:
            held.lease.checkpoint = "c";
            break;
        case OrderOp::Stop:
        case OrderOp::Release:
            if (ignoreStop && held.lease.state == LeaseState::Running) {
                break;
            }
            held.lease.state = LeaseState::Ended;
            held.lease.exit = LeaseExit::Stopped;
            break;
        default:
            break;
        }
        return {.ok = true};
    }

    auto reserve(const WorkerOrder &order) -> OrderResult
    {
        if (m_leases.contains(order.lease)) {
            return {.ok = true};
        }
        if (refuseReserve) {
            return {.ok = false, .error = "refused"};
        }
        m_leases[order.lease] = {
            .lease = {.lease = order.lease, .job = order.job, .attempt = order.attempt, .member = order.member, .slots = order.slots},
            .expires = m_now + order.ttl,
        };
        return {.ok = true};
    }

    std::string m_id;
    int m_boot = 1;
    Generation m_generation;
    MonoTime m_now{};
    std::map<LeaseId, HeldLease> m_leases;
};

}

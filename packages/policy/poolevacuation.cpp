#include "policy/poolcore.h"

/// What evacuated failure domains change for the attempts and workers of a planner.

namespace Catkin
{

auto PoolCore::setEvacuated(const std::set<FailureDomainId> &domains) -> void
{
    if (Catkin::setEvacuated(m_evacuation, domains)) {
        countIdleCapacity();
        // At once, so that queued start orders are withdrawn without counting against their workers.
        stopEvacuated();
    }
}

auto PoolCore::suspendStarts(bool isSuspended) -> void
{
    m_evacuation.isSuspended = isSuspended;
}

auto PoolCore::workerCold(const WorkerId &id, Millis left, MonoTime now) -> void
{
    noteCold(m_evacuation, id, left, now);
}

/// Workers of evacuated domains count apart: they take nothing until the evacuation is revoked.
auto PoolCore::countIdleCapacity() -> void
{
    m_idleCapacity = {};
    m_evacuation.idle = {};
    for (const auto &[id, worker] : m_workers) {
        if (worker.listed) {
            addWorker(isEvacuated(m_evacuation, worker.info.domain) ? m_evacuation.idle : m_idleCapacity, worker.info);
        }
    }
}

/// Stops the attempts in evacuated domains whose start order has not been answered, with their whole gangs. What runs there continues.
auto PoolCore::stopEvacuated() -> void
{
    if (m_evacuation.domains.empty()) {
        return;
    }
    for (auto &[id, worker] : m_workers) {
        if (!isEvacuated(m_evacuation, worker.info.domain)) {
            continue;
        }
        for (auto &[key, it] : worker.allocations) {
            if (it.stopping || !(it.orderOpen || it.startOutcomeUnknown)) {
                continue;
            }
            requestStop(it, StopReason::Evacuated);
            const auto *state = find(key.first.job);
            if (state != nullptr && containsTask(*state, key.first) && taskAt(*state, key.first).attempt == key.second && specOf(*state, key.first).gang) {
                stopStep(*state, key.first.occurrence, key.first.step, StopReason::Evacuated);
            }
        }
    }
}

auto PoolCore::evacuatedUse() const -> std::map<FailureDomainId, DomainUse>
{
    auto out = std::map<FailureDomainId, DomainUse>{};
    for (const auto &it : m_evacuation.domains) {
        out[it] = {};
    }
    for (const auto &[id, worker] : m_workers) {
        if (const auto it = out.find(worker.info.domain); it != out.end()) {
            it->second.workers += worker.listed ? 1 : 0;
            it->second.attempts += static_cast<int>(worker.allocations.size());
        }
    }
    return out;
}

auto PoolCore::logEvacuations() -> void
{
    for (auto &it : takeEvacuationEntries(m_evacuation, evacuatedUse())) {
        m_logEntries.push_back(std::move(it));
    }
}

}

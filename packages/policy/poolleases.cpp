#include "policy/poolcore.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

/// Leases of workers: what a planner grants, until when earlier planners may have granted any, and what happens when every lease has expired.

namespace Catkin
{

namespace
{

/// A worker's clock may be 2% slow, so that a lease lasts longer on the planner's clock; the remaining 1% and leaseSlack cover
/// the error of the clock estimate.
constexpr auto leaseStretch = 1.03;
constexpr auto leaseSlack = Millis{500};
/// Silence after which a worker's entry is dropped, in heartbeats.
constexpr auto entryHeartbeats = 3;
/// A worker that has not answered a new planner by then counts as silent: several round trips between regions.
constexpr auto firstAnswerLimit = Millis{300};
/// Attempts that a line about a silent worker names.
constexpr auto maxAttemptsInLine = std::size_t{16};

}

auto PoolCore::extendLease(Worker &worker, MonoTime now) const -> void
{
    const auto stretched = Millis{static_cast<std::int64_t>(static_cast<double>(m_options.leaseDuration.count()) * leaseStretch)};
    worker.leaseEnd = std::max(worker.leaseEnd, now + stretched + leaseSlack);
}

auto PoolCore::leaseFor(const WorkerId &id, MonoTime now) -> WorkerTime
{
    const auto it = m_workers.find(id);
    if (it == m_workers.end() || !it->second.answered || isWithheld(id)) {
        return {};
    }
    auto &worker = it->second;
    extendLease(worker, now);
    worker.grantedUntil = worker.clock + WorkerTime{std::chrono::duration_cast<Millis>(now - worker.clockAt).count() + m_options.leaseDuration.count()};
    return worker.grantedUntil;
}

/// @return whether the worker does not answer, so that what may run there waits for the end of its leases.
auto PoolCore::isSilent(const Worker &worker, MonoTime now) const -> bool
{
    return !worker.reachable || (!worker.answered && m_tookOverAt != MonoTime{} && now - m_tookOverAt >= firstAnswerLimit);
}

auto PoolCore::isAnswering(const Worker &worker) -> bool
{
    return worker.answered && worker.reachable;
}

auto PoolCore::isWithheld(const WorkerId &id) const -> bool
{
    return m_withheld.contains(id);
}

auto PoolCore::adoptLeaseBounds(const std::map<WorkerId, MonoTime> &ends) -> void
{
    m_withheld = ends;
}

auto PoolCore::needsBound(const WorkerId &id, const Worker &worker, MonoTime now) const -> bool
{
    if (worker.allocations.empty()) {
        return false;
    }
    // A worker of the last record stays in it until it answers: it may not have been asked yet.
    return isSilent(worker, now) || (isWithheld(id) && !isAnswering(worker));
}

auto PoolCore::composeLeaseBounds(MonoTime now) -> std::vector<LeaseBound>
{
    auto out = std::vector<LeaseBound>{};
    if (m_tookOverAt == MonoTime{}) {
        // What earlier planners placed is not known yet.
        for (const auto &[id, end] : m_withheld) {
            out.push_back(leaseBound(id, end, now));
        }
        return out;
    }
    auto bytes = std::size_t{0};
    for (const auto &[id, worker] : m_workers) {
        if (out.size() < maxLeaseBounds && bytes + id.str().size() <= maxLeaseBoundBytes && needsBound(id, worker, now)) {
            bytes += id.str().size();
            out.push_back(leaseBound(id, worker.leaseEnd, now));
            m_withheld[id] = worker.leaseEnd;
        }
    }
    return out;
}

auto PoolCore::leaseBoundsStored(const std::vector<LeaseBound> &bounds) -> void
{
    auto named = std::set<WorkerId>{};
    for (const auto &it : bounds) {
        named.insert(it.worker);
    }
    std::erase_if(m_withheld, [&](const auto &it) { return !named.contains(it.first); });
}

auto PoolCore::withholdsFromAnswering() const -> bool
{
    return std::any_of(m_withheld.begin(), m_withheld.end(), [&](const auto &it) {
        const auto worker = m_workers.find(it.first);
        return worker != m_workers.end() && isAnswering(worker->second);
    });
}

/// Logs when attempts begin to wait for the end of a silent worker's leases, and until when at the latest.
auto PoolCore::logLeaseWaits(MonoTime now) -> void
{
    for (auto &[id, worker] : m_workers) {
        if (worker.allocations.empty() || worker.leaseWaitLogged || !isSilent(worker, now) || now > worker.leaseEnd) {
            continue;
        }
        worker.leaseWaitLogged = true;
        const auto latest = worker.leaseEnd + (worker.listed ? m_options.leaseDuration : Millis{0});
        const auto fields = "worker=" + id.str() + " attempts=" + std::to_string(worker.allocations.size()) + " listed=" + (worker.listed ? "yes" : "no")
                            + " answered=" + (worker.answered ? "yes" : "no")
                            + " lease_end_ms=" + std::to_string(std::chrono::ceil<Millis>(worker.leaseEnd - now).count())
                            + " latest_end_ms=" + std::to_string(std::chrono::ceil<Millis>(latest - now).count()) + " bound="
                            + (worker.answered        ? "granted"
                               : worker.isBoundStored ? "stored"
                                                      : "assumed")
                            + " names=";
        auto names = std::string{};
        auto n = std::size_t{0};
        for (const auto &[key, it] : worker.allocations) {
            names += (names.empty() ? "" : ",") + attemptName(key.first, key.second);
            if (++n % maxAttemptsInLine == 0 || n == worker.allocations.size()) {
                logDecision("awaits_lease", fields + std::exchange(names, {}));
            }
        }
    }
}

/// @return whether a worker that does not answer is known to run, so that its completions can still arrive.
auto PoolCore::mayReport(const Worker &worker, MonoTime now) const -> bool
{
    // A new planner has read the entry before it knew of the worker, and does not know when it was written.
    const auto wroteAt = std::max(worker.wroteAt, m_tookOverAt);
    // The last read counts, not the present: without reads nothing shows that the worker has ceased to write.
    return worker.listed && wroteAt != MonoTime{} && m_entriesReadAt <= wroteAt + m_options.heartbeat * entryHeartbeats
           && now <= worker.leaseEnd + m_options.leaseDuration;
}

/// @return whether the attempt may have succeeded as far as this planner knows. The members of a gang succeed together, so that the end of one
/// without success shows that none has.
auto PoolCore::mayHaveSucceeded(const Worker &worker, const AttemptKey &key) const -> bool
{
    const auto *state = find(key.first.job);
    if (state == nullptr || !containsTask(*state, key.first) || isFinal(state->phase)) {
        return false;
    }
    const auto &task = taskAt(*state, key.first);
    if (task.phase != TaskPhase::Placed || task.attempt != key.second || task.worker != worker.info.id) {
        return false;
    }
    const auto &step = state->occurrences[static_cast<std::size_t>(key.first.occurrence)].steps[static_cast<std::size_t>(key.first.step)];
    return step.unsuccessfulAttempt != key.second;
}

auto PoolCore::expireLeases(MonoTime now) -> void
{
    for (auto &[id, worker] : m_workers) {
        // An order that has not been answered may still be sent with a lease of its own.
        const auto orderOpen = std::any_of(worker.allocations.begin(), worker.allocations.end(), [](const auto &it) { return it.second.orderOpen; });
        if (worker.allocations.empty() || orderOpen || now <= worker.leaseEnd) {
            continue;
        }
        expireLeases(worker, now);
    }
}

/// Releases the attempts of a worker whose leases have expired, but for those whose completions it may still list.
auto PoolCore::expireLeases(Worker &worker, MonoTime now) -> void
{
    const auto awaited = mayReport(worker, now);
    auto over = std::vector<AttemptKey>{};
    for (const auto &[key, it] : worker.allocations) {
        if (!awaited || !mayHaveSucceeded(worker, key)) {
            over.push_back(key);
        }
    }
    const auto silence = std::chrono::duration_cast<Millis>(now - worker.answeredAt).count();
    const auto text = "worker=" + worker.info.id.str() + " silent_ms=" + (worker.answered ? std::to_string(silence) : std::string("always"))
                      + " granted_until=" + std::to_string(worker.grantedUntil.value) + " attempts=";
    if (!over.empty()) {
        logDecision("leases_expired", text + std::to_string(over.size()) + " every lease has expired without an answer; these attempts count as lost");
    }
    for (const auto &it : over) {
        loseAttempt(worker, it, "lease expired " + describeLeaseEnd(worker, worker.allocations.at(it)));
    }
    if (!worker.allocations.empty() && !std::exchange(worker.reportAwaited, true)) {
        logDecision("report_awaited",
                    text + std::to_string(worker.allocations.size()) + " every lease has expired, and the worker writes its entry; it may list them as done");
    }
}

}

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
/// An entry that was dropped while the store was away is back within this time after the store's return, if its worker reaches the store.
constexpr auto entryReturnTime = Millis{2'000};
/// A worker that has not answered a new planner by then counts as silent: several round trips between regions.
constexpr auto firstAnswerLimit = Millis{300};
/// Attempts that a line about a silent worker names.
constexpr auto maxAttemptsInLine = std::size_t{16};

}

/// @return how long a lease lasts on the planner's clock at most, from its grant.
auto PoolCore::longestLease() const -> Millis
{
    return Millis{static_cast<std::int64_t>(static_cast<double>(m_options.leaseDuration.count()) * leaseStretch)} + leaseSlack;
}

auto PoolCore::extendLease(Worker &worker, MonoTime now) const -> void
{
    worker.grantedAt = std::max(worker.grantedAt, now);
    worker.leaseEnd = std::max(worker.leaseEnd, now + longestLease());
    worker.grantedLeaseEnd = std::max(worker.grantedLeaseEnd, now + longestLease());
}

/// Notes that a try of a start order was not answered.
/// @return until when it may be carried out
auto PoolCore::noteUnansweredStart(Worker &worker, MonoTime now) -> MonoTime
{
    std::erase_if(worker.releasedStarts, [&](const auto &it) { return it.second <= now; });
    noteStartInDoubt(worker, now);
    worker.unansweredGrantAt = now; // it may have been sent later than it was granted
    return worker.startsArriveUntil;
}

/// Counts the calls for the earlier lifetimes of a worker that has restarted: the leases that they can still grant to the new one, and the start
/// orders that it may carry out.
/// @return by how much the leases of the worker last longer
auto PoolCore::countLateCalls(Worker &worker, MonoTime now) const -> Millis
{
    extendLease(worker, now); // the poll that showed the restart may have granted a lease when it arrived
    const auto counted = worker.leaseEnd;
    if (std::any_of(worker.allocations.begin(), worker.allocations.end(), [](const auto &it) { return it.second.orderOpen; })) {
        worker.unansweredGrantAt = std::max(worker.unansweredGrantAt, worker.grantedAt);
        noteStartInDoubt(worker, now);
    }
    if (worker.unansweredGrantAt != MonoTime{}) {
        worker.leaseEnd = std::max(worker.leaseEnd, worker.unansweredGrantAt + lateCallLimit + longestLease());
    }
    return std::chrono::duration_cast<Millis>(worker.leaseEnd - counted);
}

/// Remembers the calls to a worker that is dropped. Its poll is dropped as well, so that the last grant counts as unanswered.
auto PoolCore::keepLateCalls(const Worker &worker) -> void
{
    const auto grantedAt = std::max(worker.grantedAt, worker.unansweredGrantAt);
    if (grantedAt != MonoTime{}) {
        m_lateCalls[worker.info.id] = {.grantedAt = grantedAt,
                                       .startsArriveUntil = worker.startsArriveUntil,
                                       .releasedStarts = worker.releasedStarts,
                                       .address = worker.info.address,
                                       .born = std::max(worker.info.born, worker.listedBorn)};
    }
}

/// Counts the calls that were sent before the worker was dropped: its present lifetime may carry them out.
auto PoolCore::adoptLateCalls(Worker &worker, const WorkerId &id, MonoTime now) -> void
{
    std::erase_if(m_lateCalls, [&](const auto &it) { return std::max(it.second.grantedAt + lateCallLimit, it.second.startsArriveUntil) <= now; });
    const auto calls = m_lateCalls.extract(id);
    if (calls.empty()) {
        return;
    }
    worker.unansweredGrantAt = calls.mapped().grantedAt;
    worker.startsArriveUntil = calls.mapped().startsArriveUntil;
    worker.releasedStarts = calls.mapped().releasedStarts;
    worker.grantedLeaseEnd = worker.unansweredGrantAt + longestLease();
    worker.leaseEnd = worker.grantedLeaseEnd + lateCallLimit;
    stopReleasedStarts(worker, now, now);
}

/// Counts the start orders of the earlier planner as unanswered; the record does not say which were answered.
auto PoolCore::doubtAdoptedStarts(Worker &worker) -> void
{
    if (worker.answered || worker.grantedAt == MonoTime{}) {
        return; // attempts that no list names get a stop order
    }
    for (auto &[key, it] : worker.allocations) {
        if (it.startTries == 0) {
            it.startArrivesUntil = worker.grantedAt + lateCallLimit;
            watchUntil(worker, it.startArrivesUntil);
        }
    }
}

/// Keeps a poll open at the worker until then, idle or not, and sends it again at once when it breaks off.
auto PoolCore::watchUntil(Worker &worker, MonoTime until) -> void
{
    worker.startsArriveUntil = std::max(worker.startsArriveUntil, until);
}

/// Notes that a start order which was sent at @p sentAt at the latest may have no answer.
auto PoolCore::noteStartInDoubt(Worker &worker, MonoTime sentAt) -> void
{
    watchUntil(worker, sentAt + lateCallLimit);
}

/// @return whether a lifetime of the worker that has not been called yet may carry out a start order of before.
auto PoolCore::isWatched(const Worker &worker, MonoTime now) -> bool
{
    return now < worker.startsArriveUntil;
}

auto PoolCore::adoptLateStarts(const std::map<WorkerId, MonoTime> &until) -> void
{
    m_adoptedLateStarts = until;
    for (const auto &[id, end] : until) {
        m_earlierStartsEnd = std::max(m_earlierStartsEnd, end);
    }
}

auto PoolCore::takeAdoptedLateStarts(Worker &worker, const WorkerId &id) -> void
{
    if (const auto adopted = m_adoptedLateStarts.extract(id)) {
        watchUntil(worker, adopted.mapped());
    }
}

auto PoolCore::composeLateStarts(MonoTime now) const -> std::vector<LateStartBound>
{
    auto until = m_adoptedLateStarts;
    const auto note = [&](const WorkerId &id, MonoTime end) {
        if (end > now) {
            auto &known = until[id];
            known = std::max(known, end);
        }
    };
    for (const auto &[id, it] : m_lateCalls) {
        note(id, it.startsArriveUntil);
    }
    for (const auto &[id, it] : m_workers) {
        note(id, it.startsArriveUntil);
    }
    auto out = std::vector<LateStartBound>{};
    auto bytes = std::size_t{0};
    for (const auto &[id, it] : until) {
        if (it > now && out.size() < maxLateStarts && bytes + id.str().size() <= maxLateStartBytes) {
            bytes += id.str().size();
            out.push_back({.worker = id, .left = std::chrono::ceil<Millis>(it - now)});
        }
    }
    return out;
}

/// @return whether a try of the start order may be carried out after the list that was asked for at @p askedAt.
auto PoolCore::mayStartLate(const Allocation &allocation, MonoTime askedAt) -> bool
{
    return allocation.orderOpen || allocation.startArrivesUntil > askedAt;
}

/// @return attempts of the worker whose start order may be carried out after its last list was asked for.
auto PoolCore::lateStarts(const Worker &worker) -> int
{
    return static_cast<int>(
        std::count_if(worker.allocations.begin(), worker.allocations.end(), [&](const auto &it) { return mayStartLate(it.second, worker.listAskedAt); }));
}

/// @return whether the worker has ended, or is cut off since before its entry was dropped. No later lifetime of it has reached the store.
auto PoolCore::isGone(const Worker &worker) const -> bool
{
    return worker.unlistedAt != MonoTime{} && !isReborn(worker) && !isAnswering(worker)
           && m_entriesReadAt >= std::max(worker.unlistedAt, m_entriesReadSince) + entryReturnTime;
}

/// @return the end of the leases of calls that a later lifetime of the worker carries out. The end that such a call names is a reading of another clock,
/// so that the worker may grant the longest lease, counted from when it carries the call out. A worker that is gone has no later lifetime yet; one that
/// begins before the calls have arrived is found by its entry or by the polls, which go on.
auto PoolCore::lateLeaseEnd(const Worker &worker) const -> MonoTime
{
    if (isGone(worker)) {
        return std::max(worker.leaseEnd, worker.startsArriveUntil);
    }
    const auto sentAt = std::max(worker.grantedAt, worker.unansweredGrantAt);
    return sentAt == MonoTime{} ? worker.leaseEnd : std::max(worker.leaseEnd, sentAt + lateCallLimit + longestLease());
}

/// @return when an attempt has certainly no lease any more. A silent worker may have restarted unseen, and carry a start order out late. The lease that
/// this grants holds for all that runs on the worker.
auto PoolCore::leaseEndOf(const Worker &worker, const Allocation &allocation) const -> MonoTime
{
    const auto isLate = mayStartLate(allocation, worker.listAskedAt) || mayGetLateLease(worker, allocation);
    return isLate ? lateLeaseEnd(worker) : worker.leaseEnd;
}

/// @return when no attempt of the worker has a lease any more.
auto PoolCore::lastLeaseEnd(const Worker &worker) const -> MonoTime
{
    auto end = worker.leaseEnd;
    for (const auto &[key, it] : worker.allocations) {
        end = std::max(end, leaseEndOf(worker, it));
    }
    return end;
}

/// @return how many attempts of the worker have a start order that may arrive late, and when these have no lease any more, as fields of a line.
auto PoolCore::describeLateStarts(const Worker &worker, MonoTime now) const -> std::string
{
    const auto n = lateStarts(worker);
    const auto left = std::chrono::ceil<Millis>(lateLeaseEnd(worker) - now);
    return "late_starts=" + std::to_string(n) + (n > 0 ? " late_end_ms=" + std::to_string(left.count()) : std::string{});
}

/// @return what the end of the leases of an attempt was counted from, as fields of a line.
auto PoolCore::describeLeaseEnd(const Worker &worker, const Allocation &allocation) const -> std::string
{
    const auto isLate = mayStartLate(allocation, worker.listAskedAt);
    const auto *order = isLate ? "may_arrive" : allocation.startTries > 0 ? "answered" : "of_earlier_planner";
    const auto late = std::chrono::duration_cast<Millis>(leaseEndOf(worker, allocation) - worker.grantedLeaseEnd);
    return "lifetime=" + std::to_string(worker.info.born.value) + " listed_lifetime=" + std::to_string(worker.listedBorn.value)
           + " granted_until=" + std::to_string(worker.grantedUntil.value) + " start_order=" + order + " late_calls_ms=" + std::to_string(late.count());
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
            // Without late calls: the next planner does not know which attempts they concern, and counts them when a restart shows.
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
        if (worker.allocations.empty() || worker.leaseWaitLogged || !isSilent(worker, now) || now > lastLeaseEnd(worker)) {
            continue;
        }
        worker.leaseWaitLogged = true;
        logLeaseWait(worker, now);
    }
}

auto PoolCore::logLeaseWait(const Worker &worker, MonoTime now) -> void
{
    const auto latest = lastLeaseEnd(worker) + (worker.listed ? m_options.leaseDuration : Millis{0});
    const auto fields = "worker=" + worker.info.id.str() + " attempts=" + std::to_string(worker.allocations.size())
                        + " listed=" + (worker.listed ? "yes" : "no") + " answered=" + (worker.answered ? "yes" : "no")
                        + " lease_end_ms=" + std::to_string(std::chrono::ceil<Millis>(worker.leaseEnd - now).count())
                        + " latest_end_ms=" + std::to_string(std::chrono::ceil<Millis>(latest - now).count()) + " bound="
                        + (worker.answered        ? "granted"
                           : worker.isBoundStored ? "stored"
                                                  : "assumed")
                        + " names=";
    auto names = std::string{};
    auto lateNames = std::string{};
    auto n = std::size_t{0};
    for (const auto &[key, it] : worker.allocations) {
        const auto name = attemptName(key.first, key.second);
        names += (names.empty() ? "" : ",") + name;
        if (mayStartLate(it, worker.listAskedAt)) {
            lateNames += (lateNames.empty() ? " late_names=" : ",") + name;
        }
        if (++n % maxAttemptsInLine == 0 || n == worker.allocations.size()) {
            logDecision("awaits_lease", fields + std::exchange(names, {}) + " " + describeLateStarts(worker, now) + std::exchange(lateNames, {}));
        }
    }
}

/// @param leaseEnd of the attempt whose completion may arrive
/// @return whether a worker that does not answer is known to run, so that its completions can still arrive.
auto PoolCore::mayReport(const Worker &worker, MonoTime leaseEnd, MonoTime now) const -> bool
{
    // A new planner has read the entry before it knew of the worker, and does not know when it was written.
    const auto wroteAt = std::max(worker.wroteAt, m_tookOverAt);
    // The last read counts, not the present: without reads nothing shows that the worker has ceased to write.
    return worker.listed && wroteAt != MonoTime{} && m_entriesReadAt <= wroteAt + m_options.heartbeat * entryHeartbeats
           && now <= leaseEnd + m_options.leaseDuration;
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
    auto over = std::vector<AttemptKey>{};
    auto awaited = std::size_t{0};
    for (const auto &[key, it] : worker.allocations) {
        const auto end = leaseEndOf(worker, it);
        if (now <= end) {
            continue;
        }
        if (mayReport(worker, end, now) && mayHaveSucceeded(worker, key)) {
            ++awaited;
        } else {
            over.push_back(key);
        }
    }
    const auto silence = std::chrono::duration_cast<Millis>(now - worker.answeredAt).count();
    const auto text = "worker=" + worker.info.id.str() + " silent_ms=" + (worker.answered ? std::to_string(silence) : std::string("always"))
                      + " granted_until=" + std::to_string(worker.grantedUntil.value) + " lifetime=" + std::to_string(worker.info.born.value)
                      + " listed_lifetime=" + std::to_string(worker.listedBorn.value) + " attempts=";
    if (!over.empty()) {
        logDecision("leases_expired", text + std::to_string(over.size()) + " every lease has expired without an answer; these attempts count as lost");
    }
    for (const auto &it : over) {
        loseAttempt(worker, it, "lease expired " + describeLeaseEnd(worker, worker.allocations.at(it)));
    }
    if (awaited > 0 && !std::exchange(worker.reportAwaited, true)) {
        logDecision("report_awaited", text + std::to_string(awaited) + " every lease has expired, and the worker writes its entry; it may list them as done");
    }
}

}

#include "policy/requestschedulerimpl.h"

#include <algorithm>
#include <cmath>

namespace Catkin
{

namespace
{

/// Longest idle time while requests are queued. Executors also become usable when time passes without an event (probes,
/// recovery of suspects); this bounds the delay until that is noticed.
constexpr auto maxIdleTime = Millis{100};

/// Time until a request that the retry budget denied a retry asks again.
constexpr auto retryBudgetPause = Millis{10};

}

auto RequestScheduler::Impl::dropDue(MonoTime now) -> std::optional<RequestDropped>
{
    if (byDrop.empty() || byDrop.begin()->dropAt > now) {
        return {};
    }
    auto &entry = *byDrop.begin();
    const auto dropped = RequestDropped{RequestNumber{entry.number}, entry.mayHaveRun, {RefusalReason::DeadlinePassed, options.admission.minRetryAfter}};
    ++counts.dropped;
    erase(entry);
    return dropped;
}

auto RequestScheduler::Impl::chooseLocal(const RequestEntry &entry, int leaveFree, MonoTime now) -> KnownExecutor *
{
    // A refused attempt to borrow a slot costs a retry, so half of the retry budget is kept for other failures. An instance
    // whose share was reduced does not borrow: it would take back the slots of the instances with entitled demand in each
    // gap between two of their requests.
    const auto mayBorrow = !ownShareReduced && retries.level() >= 0.5;
    return table.choose({Locality::OwnDomain, Locality::SameRegion, entry.idempotent, mayBorrow, leaveFree}, random, now);
}

auto RequestScheduler::Impl::dispatchLocal(MonoTime now) -> std::optional<RequestDispatch>
{
    auto *item = local.front();
    if (item == nullptr) {
        return {};
    }
    // Trunk reservation: otherwise a flood of one kind would hold every slot, and requests of other kinds would wait for one
    // to become free.
    const auto slots = table.capacity(false, now).slots;
    const auto leaveFree = local.overShare(*item, slots) ? static_cast<int>(std::ceil(options.queue.reservedFraction * slots)) : 0;
    auto *executor = chooseLocal(*static_cast<RequestEntry *>(item), leaveFree, now);
    if (executor == nullptr && leaveFree > 0) {
        item = local.frontBelowShare(slots);
        executor = item != nullptr ? chooseLocal(*static_cast<RequestEntry *>(item), 0, now) : nullptr;
    }
    if (executor == nullptr) {
        return {};
    }
    auto &entry = *static_cast<RequestEntry *>(item);
    entry.overShare = local.overShare(entry, slots);
    return dispatch(entry, *executor, now);
}

auto RequestScheduler::Impl::chooseRemote(const RequestEntry &entry, MonoTime now) -> KnownExecutor *
{
    auto *executor = table.choose({Locality::OtherRegion, Locality::OtherRegion, entry.idempotent, retries.level() >= 0.5}, random, now);
    if (executor != nullptr && !link.tryTake(LinkTrafficClass::Requests, entry.request.bytes, now)) {
        ++counts.linkDenied;
        return nullptr;
    }
    return executor;
}

auto RequestScheduler::Impl::dispatch(RequestEntry &entry, KnownExecutor &executor, MonoTime now) -> RequestDispatch
{
    byDrop.erase(byDrop.iterator_to(entry));
    queueOf(entry).take(entry);
    spillBytes -= entry.spilled ? entry.request.bytes.value : 0;
    if (++entry.attempts == 1) {
        retries.firstAttempt();
    }
    entry.executor = &executor;
    entry.sentAt = now;
    table.started(executor, now);
    ++counts.dispatched;
    const auto other = executor.locality == Locality::OtherRegion;
    counts.otherRegionDispatches += other ? 1 : 0;
    counts.otherRegionBytes += other ? entry.request.bytes.value : 0;
    return {RequestNumber{entry.number},
            executor.listed.id,
            executor.listed.address,
            other,
            entry.attempts,
            std::chrono::duration_cast<Millis>(entry.request.deadline - now)};
}

auto RequestScheduler::Impl::idle(MonoTime now) -> RequestIdle
{
    if (byDrop.empty()) {
        return {};
    }
    auto wakeAt = std::min(byDrop.begin()->dropAt, now + maxIdleTime);
    if (!byRetry.empty()) {
        wakeAt = std::min(wakeAt, byRetry.begin()->retryAt);
    }
    if (const auto *item = spill.front(); item != nullptr) {
        const auto allowedAt = link.allowedAt(LinkTrafficClass::Requests, static_cast<const RequestEntry *>(item)->request.bytes, now);
        wakeAt = allowedAt && *allowedAt > now ? std::min(wakeAt, *allowedAt) : wakeAt;
    }
    return {wakeAt};
}

auto RequestScheduler::next(MonoTime now) -> RequestStep
{
    auto &d = *m_impl;
    if (auto dropped = d.dropDue(now)) {
        return *dropped;
    }
    while (!d.byRetry.empty() && d.byRetry.begin()->retryAt <= now) {
        auto &entry = *d.byRetry.begin();
        d.byRetry.erase(d.byRetry.begin());
        // Half of the retry budget is kept for kinds below their share, so that the refused attempts of a flood do not use it up.
        const auto denied = entry.awaitsRetryBudget && ((entry.overShare && d.retries.level() < 0.5) || !d.retries.tryTake());
        if (denied) {
            entry.retryAt = now + retryBudgetPause;
            d.byRetry.insert(entry);
            continue;
        }
        d.counts.retries += entry.awaitsRetryBudget ? 1 : 0;
        entry.awaitsRetryBudget = false;
        d.push(entry, true);
    }
    if (auto dispatched = d.dispatchLocal(now)) {
        return *dispatched;
    }
    if (!d.local.empty()) {
        if (d.table.capacity(false, now).usable == 0 && d.table.capacity(true, now).usable > 0) {
            if (auto *other = static_cast<RequestEntry *>(d.local.crossRegionFront())) {
                if (auto *executor = d.chooseRemote(*other, now)) {
                    return d.dispatch(*other, *executor, now);
                }
            }
        }
    }
    if (auto *item = d.spill.front(); item != nullptr) {
        auto &entry = *static_cast<RequestEntry *>(item);
        auto *executor = d.local.empty() ? d.chooseLocal(entry, 0, now) : nullptr;
        executor = executor != nullptr ? executor : d.chooseRemote(entry, now);
        if (executor != nullptr) {
            return d.dispatch(entry, *executor, now);
        }
    }
    return d.idle(now);
}

}

#include "policy/requestscheduler.h"

#include "policy/admission.h"
#include "policy/executortable.h"
#include "policy/linkbudget.h"
#include "policy/retrybudget.h"

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>

#include <algorithm>
#include <unordered_map>

namespace Catkin
{

namespace
{

namespace bi = boost::intrusive;

struct ByDrop;
struct ByRetry;
struct ByCaller;

/// Longest idle time while requests are queued: executors also become usable through the passing of time (probes,
/// recovery of suspects), and this bounds how late that is noticed.
constexpr auto idleAtMost = Millis{100};

/// A request in progress: queued, in flight or waiting for a retry.
struct Entry : FairItem, bi::set_base_hook<bi::tag<ByDrop>>, bi::set_base_hook<bi::tag<ByRetry>>, bi::list_base_hook<bi::tag<ByCaller>>
{
    NewRequest request;
    std::int64_t number = 0;
    KnownExecutor *executor = nullptr; ///< set while in flight
    MonoTime since; ///< accepted
    MonoTime sentAt;
    MonoTime dropAt; ///< not started after this
    MonoTime retryAt;
    int attempts = 0;
    bool idempotent = false;
    bool spilled = false; ///< queued for executors of other regions
    bool mayHaveRun = false;
    bool cancelled = false;
};

struct DropKey
{
    using type = std::pair<std::int64_t, std::int64_t>;
    auto operator()(const Entry &entry) const -> type
    {
        return {entry.dropAt.time_since_epoch().count(), entry.number};
    }
};

struct RetryKey
{
    using type = std::pair<std::int64_t, std::int64_t>;
    auto operator()(const Entry &entry) const -> type
    {
        return {entry.retryAt.time_since_epoch().count(), entry.number};
    }
};

using CallerRequests = bi::list<Entry, bi::base_hook<bi::list_base_hook<bi::tag<ByCaller>>>>;

}

struct RequestScheduler::Impl
{
    Impl(RequestSchedulerOptions theOptions, std::uint64_t seed)
        : options(std::move(theOptions))
        , random(seed)
        , local(options.queue)
        , spill(options.queue)
        , table(options)
        , retries(options.retry)
    {
        link.configure(LinkTrafficClass::Requests, options.link);
    }
    ~Impl()
    {
        byDrop.clear();
        byRetry.clear();
        for (auto &[workspace, list] : callers) {
            for (auto &[caller, requests] : list) {
                requests.clear();
            }
        }
        for (auto &[number, entry] : entries) {
            // Unlinks the item from its queue, which is destroyed before the entries.
            if (entry->queued) {
                queueOf(*entry).remove(*entry);
            }
        }
    }
    Impl(const Impl &) = delete;
    auto operator=(const Impl &) -> Impl & = delete;
    Impl(Impl &&) = delete;
    auto operator=(Impl &&) -> Impl & = delete;

    auto queueOf(const Entry &entry) -> FairQueue &
    {
        return entry.spilled ? spill : local;
    }
    auto push(Entry &entry, bool first) -> void;
    auto unqueue(Entry &entry) -> void;
    auto erase(Entry &entry) -> void;
    auto dropDue(MonoTime now) -> std::optional<RequestDropped>;
    auto chooseLocal(const Entry &entry, MonoTime now) -> KnownExecutor *;
    auto chooseRemote(const Entry &entry, MonoTime now) -> KnownExecutor *;
    auto dispatch(Entry &entry, KnownExecutor &executor, MonoTime now) -> RequestDispatch;
    auto idle(MonoTime now) -> RequestIdle;
    auto admitSpill(const NewRequest &request, AdmissionQuestion question, MonoTime now) -> bool;
    auto cancel(Entry &entry) -> RequestCancelResult;

    RequestSchedulerOptions options;
    Random random;
    std::unordered_map<WorkspaceId, RequestWorkspace> workspaces;
    std::unordered_map<KindId, RequestKind> kinds;
    FairQueue local; ///< for the executors of the own region
    FairQueue spill; ///< for those of other regions, because the own ones could not meet the deadline
    std::int64_t spillBytes = 0;
    ExecutorTable table;
    RetryBudget retries;
    LinkBudget link;
    std::unordered_map<std::int64_t, std::unique_ptr<Entry>> entries;
    bi::set<Entry, bi::base_hook<bi::set_base_hook<bi::tag<ByDrop>>>, bi::key_of_value<DropKey>> byDrop; ///< not in flight
    bi::set<Entry, bi::base_hook<bi::set_base_hook<bi::tag<ByRetry>>>, bi::key_of_value<RetryKey>> byRetry;
    std::unordered_map<WorkspaceId, std::unordered_map<CallerId, CallerRequests>> callers;
    RequestFigures figures;
    std::int64_t lastNumber = 0;
};

RequestScheduler::RequestScheduler(RequestSchedulerOptions options, std::uint64_t seed)
    : m_impl(std::make_unique<Impl>(std::move(options), seed))
{
}
RequestScheduler::RequestScheduler(RequestScheduler &&) noexcept = default;
auto RequestScheduler::operator=(RequestScheduler &&) noexcept -> RequestScheduler & = default;
RequestScheduler::~RequestScheduler() = default;

auto RequestScheduler::Impl::push(Entry &entry, bool first) -> void
{
    auto &queue = queueOf(entry);
    queue.push(queue.caller(entry.request.workspace, entry.request.kind, entry.request.caller), entry, first);
    spillBytes += entry.spilled ? entry.request.bytes.value : 0;
}

auto RequestScheduler::Impl::unqueue(Entry &entry) -> void
{
    queueOf(entry).remove(entry);
    spillBytes -= entry.spilled ? entry.request.bytes.value : 0;
}

auto RequestScheduler::Impl::erase(Entry &entry) -> void
{
    if (entry.queued) {
        unqueue(entry);
    }
    if (entry.bi::set_base_hook<bi::tag<ByDrop>>::is_linked()) {
        byDrop.erase(byDrop.iterator_to(entry));
    }
    if (entry.bi::set_base_hook<bi::tag<ByRetry>>::is_linked()) {
        byRetry.erase(byRetry.iterator_to(entry));
    }
    const auto workspace = callers.find(entry.request.workspace);
    const auto caller = workspace->second.find(entry.request.caller);
    caller->second.erase(caller->second.iterator_to(entry));
    if (caller->second.empty()) {
        workspace->second.erase(caller);
    }
    if (workspace->second.empty()) {
        callers.erase(workspace);
    }
    entries.erase(entry.number);
}

auto RequestScheduler::Impl::admitSpill(const NewRequest &request, AdmissionQuestion question, MonoTime now) -> bool
{
    const auto capacity = table.capacity(true, now);
    if (capacity.usable == 0) {
        return false;
    }
    const auto paidAt = link.allowedAt(LinkTrafficClass::Requests, Bytes{request.bytes.value + spillBytes}, now);
    if (!paidAt || *paidAt > dropTime(question)) {
        return false;
    }
    const auto &node = spill.caller(request.workspace, request.kind, request.caller);
    question.caller = spill.state(node);
    question.expectedWait = std::max(spill.expectedWait(node, capacity.slots, now), *paidAt - now);
    question.executorUsable = true;
    return !admit(options.admission, question);
}

auto RequestScheduler::enqueue(const NewRequest &request, MonoTime now) -> RequestQueued
{
    auto &d = *m_impl;
    auto refuse = [&](const RequestRefusal &refusal) {
        ++d.figures.refused;
        return RequestQueued{{}, refusal};
    };
    const auto workspace = d.workspaces.find(request.workspace);
    if (workspace == d.workspaces.end()) {
        return refuse({RefusalReason::UnknownWorkspace, Millis{0}});
    }
    const auto kind = d.kinds.find(request.kind);
    if (kind == d.kinds.end()) {
        return refuse({RefusalReason::UnknownKind, Millis{0}});
    }
    const auto capacity = d.table.capacity(false, now);
    const auto &node = d.local.caller(request.workspace, request.kind, request.caller);
    auto question = AdmissionQuestion{.now = now, .deadline = request.deadline, .caller = d.local.state(node)};
    question.expectedWait = d.local.expectedWait(node, capacity.slots, now);
    question.queued = d.local.queued() + d.spill.queued() + static_cast<int>(d.byRetry.size());
    question.callersLimit = workspace->second.callersLimit;
    if (const auto list = d.callers.find(request.workspace); list != d.callers.end()) {
        const auto it = list->second.find(request.caller);
        question.callerInProgress = it != list->second.end() ? static_cast<int>(it->second.size()) : 0;
    }
    question.executorUsable = capacity.usable > 0;
    auto spilled = false;
    if (const auto refusal = admit(d.options.admission, question)) {
        const auto local = refusal->reason == RefusalReason::ExpectedWait || refusal->reason == RefusalReason::NoExecutor;
        spilled = local && kind->second.crossRegion && d.admitSpill(request, question, now);
        if (!spilled) {
            return refuse(*refusal);
        }
    }
    auto owned = std::make_unique<Entry>();
    auto &entry = *owned;
    entry.request = request;
    entry.number = ++d.lastNumber;
    entry.since = now;
    entry.dropAt = dropTime(question);
    entry.idempotent = kind->second.idempotent;
    entry.spilled = spilled;
    d.entries.emplace(entry.number, std::move(owned));
    d.push(entry, false);
    d.byDrop.insert(entry);
    d.callers[request.workspace][request.caller].push_back(entry);
    ++d.figures.accepted;
    return {RequestNumber{entry.number}, {}};
}

auto RequestScheduler::Impl::dropDue(MonoTime now) -> std::optional<RequestDropped>
{
    if (byDrop.empty() || byDrop.begin()->dropAt > now) {
        return {};
    }
    auto &entry = *byDrop.begin();
    const auto dropped = RequestDropped{RequestNumber{entry.number}, entry.mayHaveRun, {RefusalReason::DeadlinePassed, options.admission.retryAtLeast}};
    ++figures.dropped;
    erase(entry);
    return dropped;
}

auto RequestScheduler::Impl::chooseLocal(const Entry &entry, MonoTime now) -> KnownExecutor *
{
    // A refused attempt to borrow costs a retry; half of the budget is kept for other failures.
    return table.choose({Reach::OwnDomain, Reach::SameRegion, entry.idempotent, retries.level() >= 0.5}, random, now);
}

auto RequestScheduler::Impl::chooseRemote(const Entry &entry, MonoTime now) -> KnownExecutor *
{
    auto *executor = table.choose({Reach::OtherRegion, Reach::OtherRegion, entry.idempotent, retries.level() >= 0.5}, random, now);
    if (executor != nullptr && !link.take(LinkTrafficClass::Requests, entry.request.bytes, now)) {
        ++figures.linkDenied;
        return nullptr;
    }
    return executor;
}

auto RequestScheduler::Impl::dispatch(Entry &entry, KnownExecutor &executor, MonoTime now) -> RequestDispatch
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
    ++figures.dispatched;
    const auto other = executor.reach == Reach::OtherRegion;
    figures.otherRegion += other ? 1 : 0;
    figures.otherRegionBytes += other ? entry.request.bytes.value : 0;
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
    auto wakeAt = std::min(byDrop.begin()->dropAt, now + idleAtMost);
    if (!byRetry.empty()) {
        wakeAt = std::min(wakeAt, byRetry.begin()->retryAt);
    }
    if (const auto *item = spill.front(); item != nullptr) {
        const auto paidAt = link.allowedAt(LinkTrafficClass::Requests, static_cast<const Entry *>(item)->request.bytes, now);
        wakeAt = paidAt && *paidAt > now ? std::min(wakeAt, *paidAt) : wakeAt;
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
        d.push(entry, true);
    }
    if (auto *item = d.local.front(); item != nullptr) {
        auto &entry = *static_cast<Entry *>(item);
        if (auto *executor = d.chooseLocal(entry, now)) {
            return d.dispatch(entry, *executor, now);
        }
        if (d.table.capacity(false, now).usable == 0 && d.table.capacity(true, now).usable > 0) {
            if (auto *other = static_cast<Entry *>(d.local.crossRegionFront())) {
                if (auto *executor = d.chooseRemote(*other, now)) {
                    return d.dispatch(*other, *executor, now);
                }
            }
        }
    }
    if (auto *item = d.spill.front(); item != nullptr) {
        auto &entry = *static_cast<Entry *>(item);
        auto *executor = d.local.empty() ? d.chooseLocal(entry, now) : nullptr;
        executor = executor != nullptr ? executor : d.chooseRemote(entry, now);
        if (executor != nullptr) {
            return d.dispatch(entry, *executor, now);
        }
    }
    return d.idle(now);
}

auto RequestScheduler::completed(RequestNumber number, DispatchOutcome outcome, Micros cost, MonoTime now) -> RequestAfter
{
    auto &d = *m_impl;
    const auto it = d.entries.find(number.value);
    if (it == d.entries.end() || it->second->executor == nullptr) {
        return RequestFinished{};
    }
    auto &entry = *it->second;
    const auto answered = outcome == DispatchOutcome::Answered;
    const auto notRun = outcome == DispatchOutcome::Refused || outcome == DispatchOutcome::NotSent;
    // Without a cost reported by the executor, cost is the elapsed time, and the attempt cannot be told to be late.
    d.table.ended(*entry.executor, outcome, now - entry.sentAt, std::max(cost, entry.expected), now);
    entry.executor = nullptr;
    d.queueOf(entry).settle(entry, notRun ? Micros{0} : cost, now);
    d.figures.answered += answered ? 1 : 0;
    d.figures.executorRefusals += outcome == DispatchOutcome::Refused ? 1 : 0;
    if (answered) {
        d.erase(entry);
        return RequestFinished{true};
    }
    entry.mayHaveRun = entry.mayHaveRun || !notRun;
    const auto repeatable = !entry.mayHaveRun || entry.idempotent;
    if (repeatable && !entry.cancelled && entry.attempts < d.options.retry.attempts) {
        const auto at = now + retryDelay(d.options.retry, entry.attempts, d.random);
        const auto inTime = at < entry.dropAt;
        if (inTime && d.retries.take()) {
            entry.retryAt = at;
            d.byRetry.insert(entry);
            d.byDrop.insert(entry);
            ++d.figures.retries;
            return RequestRetry{at};
        }
        d.figures.retriesDenied += inTime ? 1 : 0;
    }
    const auto ended = entry.mayHaveRun;
    const auto reason = entry.cancelled ? RefusalReason::Cancelled : now >= entry.dropAt ? RefusalReason::DeadlinePassed : RefusalReason::RetryBudget;
    d.erase(entry);
    if (ended) {
        return RequestFinished{};
    }
    return RequestNotRun{{reason, retryAfter(d.options.admission, Micros{d.options.retry.backoffAtMost} / 4)}};
}

auto RequestScheduler::Impl::cancel(Entry &entry) -> RequestCancelResult
{
    if (entry.executor != nullptr) {
        entry.cancelled = true;
        return RequestCancelResult::InFlight;
    }
    const auto result = entry.mayHaveRun ? RequestCancelResult::MayHaveRun : RequestCancelResult::NotRun;
    erase(entry);
    return result;
}

auto RequestScheduler::cancel(RequestNumber number, MonoTime now) -> RequestCancelResult
{
    static_cast<void>(now);
    const auto it = m_impl->entries.find(number.value);
    return it == m_impl->entries.end() ? RequestCancelResult::NotFound : m_impl->cancel(*it->second);
}

auto RequestScheduler::cancelCaller(const WorkspaceId &workspace, const CallerId &caller, MonoTime now) -> std::vector<CancelledRequest>
{
    static_cast<void>(now);
    auto &d = *m_impl;
    auto cancelled = std::vector<CancelledRequest>{};
    const auto list = d.callers.find(workspace);
    const auto requests = list != d.callers.end() ? list->second.find(caller) : decltype(list->second.end()){};
    if (list == d.callers.end() || requests == list->second.end()) {
        return cancelled;
    }
    auto found = std::vector<Entry *>{};
    for (auto &entry : requests->second) {
        found.push_back(&entry);
    }
    for (auto *entry : found) {
        const auto number = RequestNumber{entry->number};
        cancelled.push_back({number, d.cancel(*entry)});
    }
    return cancelled;
}

auto RequestScheduler::configChanged(const RequestConfig &config, MonoTime now) -> void
{
    static_cast<void>(now);
    auto &d = *m_impl;
    d.workspaces.clear();
    d.kinds.clear();
    for (const auto &it : config.workspaces) {
        d.workspaces.emplace(it.id, it);
    }
    for (const auto &it : config.kinds) {
        d.kinds.emplace(it.id, it);
    }
    d.local.configure(config);
    d.spill.configure(config);
}

auto RequestScheduler::executorsChanged(const std::vector<ListedExecutor> &executors, MonoTime now) -> void
{
    m_impl->table.listed(executors, now);
}

auto RequestScheduler::executorPolled(const ExecutorId &executor, const std::optional<HealthSample> &sample, MonoTime now) -> void
{
    m_impl->table.polled(executor, sample, now);
}

auto RequestScheduler::peersChanged(int fresh, MonoTime now) -> void
{
    static_cast<void>(now);
    m_impl->table.freshInstances(fresh);
}

auto RequestScheduler::peerReported(const InstanceId &peer, const std::vector<InFlightLoad> &loads, MonoTime now) -> void
{
    static_cast<void>(now);
    m_impl->table.peerReported(peer, loads);
}

auto RequestScheduler::ownLoads() const -> std::vector<InFlightLoad>
{
    return m_impl->table.loads();
}

auto RequestScheduler::figures() const -> RequestFigures
{
    auto figures = m_impl->figures;
    figures.queued = std::ssize(m_impl->byDrop);
    figures.inFlight = std::ssize(m_impl->entries) - figures.queued;
    return figures;
}

auto RequestScheduler::queues(MonoTime now) const -> std::vector<RequestQueueView>
{
    auto views = std::vector<RequestQueueView>{};
    for (const auto *queue : {&m_impl->local, &m_impl->spill}) {
        queue->forEachCaller([&](const RequestQueueView &view, const FairItem *first) {
            views.push_back(view);
            views.back().oldestWait = first != nullptr ? std::chrono::duration_cast<Millis>(now - static_cast<const Entry *>(first)->since) : Millis{0};
        });
    }
    return views;
}

auto RequestScheduler::executors(MonoTime now) const -> std::vector<ExecutorView>
{
    return m_impl->table.views(now);
}

}

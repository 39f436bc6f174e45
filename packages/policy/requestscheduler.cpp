#include "policy/requestschedulerimpl.h"

#include <algorithm>
#include <cmath>

namespace Catkin
{

RequestScheduler::RequestScheduler(RequestSchedulerOptions options, std::uint64_t seed)
    : m_impl(std::make_unique<Impl>(std::move(options), seed))
{
}
RequestScheduler::RequestScheduler(RequestScheduler &&) noexcept = default;
auto RequestScheduler::operator=(RequestScheduler &&) noexcept -> RequestScheduler & = default;
RequestScheduler::~RequestScheduler() = default;

auto RequestScheduler::Impl::push(RequestEntry &entry, bool first) -> void
{
    auto &queue = queueOf(entry);
    queue.push(queue.caller(entry.request.workspace, entry.request.kind, entry.request.caller), entry, first);
    spillBytes += entry.spilled ? entry.request.bytes.value : 0;
}

auto RequestScheduler::Impl::unqueue(RequestEntry &entry) -> void
{
    queueOf(entry).remove(entry);
    spillBytes -= entry.spilled ? entry.request.bytes.value : 0;
}

auto RequestScheduler::Impl::erase(RequestEntry &entry) -> void
{
    if (entry.queued) {
        unqueue(entry);
    }
    if (entry.bi::set_base_hook<bi::tag<RequestByDrop>>::is_linked()) {
        byDrop.erase(byDrop.iterator_to(entry));
    }
    if (entry.bi::set_base_hook<bi::tag<RequestByRetry>>::is_linked()) {
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

auto RequestScheduler::Impl::admitSpill(const NewRequest &request, AdmissionInput input, MonoTime now) -> bool
{
    const auto capacity = table.capacity(true, now);
    if (capacity.usable == 0) {
        return false;
    }
    const auto allowedAt = link.allowedAt(LinkTrafficClass::Requests, Bytes{request.bytes.value + spillBytes}, now);
    if (!allowedAt || *allowedAt > dropTime(input)) {
        return false;
    }
    const auto &node = spill.caller(request.workspace, request.kind, request.caller);
    input.caller = spill.state(node);
    input.expectedWait = std::max(spill.expectedWait(node, capacity.slots, now), *allowedAt - now);
    input.executorUsable = true;
    return !admit(options.admission, input);
}

auto RequestScheduler::enqueue(const NewRequest &request, MonoTime now) -> RequestQueued
{
    auto &d = *m_impl;
    auto refuse = [&](const RequestRefusal &refusal) {
        ++d.counts.refused;
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
    auto input = AdmissionInput{.now = now, .deadline = request.deadline, .caller = d.local.state(node)};
    input.expectedWait = d.local.expectedWait(node, capacity.slots, now);
    input.queued = d.local.queued() + d.spill.queued() + static_cast<int>(d.byRetry.size());
    input.callersLimit = workspace->second.callersLimit;
    if (const auto list = d.callers.find(request.workspace); list != d.callers.end()) {
        const auto it = list->second.find(request.caller);
        input.callerInProgress = it != list->second.end() ? static_cast<int>(it->second.size()) : 0;
    }
    input.executorUsable = capacity.usable > 0;
    auto spilled = false;
    const auto refusal = admit(d.options.admission, input);
    // Requests refused for reasons that more slots would not change do not count as demand.
    if (!refusal || refusal->reason == RefusalReason::ExpectedWait || refusal->reason == RefusalReason::QueueFull) {
        d.demand.offered(workspaceKey(request.workspace), input.caller.averageCost, now);
    }
    if (refusal) {
        const auto lacksCapacity = refusal->reason == RefusalReason::ExpectedWait || refusal->reason == RefusalReason::NoExecutor;
        spilled = lacksCapacity && kind->second.crossRegion && d.admitSpill(request, input, now);
        if (!spilled) {
            return refuse(*refusal);
        }
    }
    auto owned = std::make_unique<RequestEntry>();
    auto &entry = *owned;
    entry.request = request;
    entry.number = ++d.lastNumber;
    entry.acceptedAt = now;
    entry.dropAt = dropTime(input);
    entry.idempotent = kind->second.idempotent;
    entry.spilled = spilled;
    d.entries.emplace(entry.number, std::move(owned));
    d.push(entry, false);
    d.byDrop.insert(entry);
    d.callers[request.workspace][request.caller].push_back(entry);
    ++d.counts.accepted;
    return {RequestNumber{entry.number}, {}};
}

auto RequestScheduler::completed(RequestNumber number, DispatchOutcome outcome, Micros cost, MonoTime now) -> RequestCompletion
{
    auto &d = *m_impl;
    const auto it = d.entries.find(number.value);
    if (it == d.entries.end() || it->second->executor == nullptr) {
        return RequestFinished{};
    }
    auto &entry = *it->second;
    const auto answered = outcome == DispatchOutcome::Answered;
    const auto notRun = outcome == DispatchOutcome::Refused || outcome == DispatchOutcome::NotSent;
    // If the executor reports no cost, cost is the elapsed time, so such an attempt never counts as late.
    d.table.ended(*entry.executor, outcome, now - entry.sentAt, std::max(cost, entry.expected), now);
    entry.executor = nullptr;
    d.queueOf(entry).settle(entry, notRun ? Micros{0} : cost, now);
    d.counts.answered += answered ? 1 : 0;
    d.counts.executorRefusals += outcome == DispatchOutcome::Refused ? 1 : 0;
    if (answered) {
        d.erase(entry);
        return RequestFinished{true};
    }
    entry.mayHaveRun = entry.mayHaveRun || !notRun;
    // After a first refusal another executor is tried at once; the table skips the one that refused for a while.
    const auto retryAt = notRun && entry.attempts == 1 ? now : now + retryDelay(d.options.retry, entry.attempts, d.random);
    const auto mayRetry = (!entry.mayHaveRun || entry.idempotent) && !entry.cancelled && retryAt < entry.dropAt;
    // An attempt that did not run cost the executor nothing, so the request waits for the retry budget instead of ending.
    const auto charged = mayRetry && !notRun && entry.attempts < d.options.retry.maxAttempts && d.retries.tryTake();
    if (charged || (mayRetry && notRun)) {
        entry.retryAt = retryAt;
        entry.awaitsRetryBudget = !charged;
        d.byRetry.insert(entry);
        d.byDrop.insert(entry);
        d.counts.retries += charged ? 1 : 0;
        return RequestRetry{retryAt};
    }
    d.counts.retriesDenied += mayRetry ? 1 : 0;
    const auto mayHaveRun = entry.mayHaveRun;
    const auto reason = entry.cancelled ? RefusalReason::Cancelled : now >= entry.dropAt ? RefusalReason::DeadlinePassed : RefusalReason::RetryBudget;
    d.erase(entry);
    if (mayHaveRun) {
        return RequestFinished{};
    }
    return RequestNotRun{{reason, retryAfter(d.options.admission, Micros{d.options.retry.maxBackoff} / 4)}};
}

auto RequestScheduler::Impl::cancel(RequestEntry &entry) -> RequestCancelResult
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
    auto found = std::vector<RequestEntry *>{};
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
    d.weights.clear();
    for (const auto &it : config.workspaces) {
        d.weights[workspaceKey(it.id)] += std::max(it.weight, 1e-6);
    }
    d.divide(now);
}

auto RequestScheduler::Impl::divideEqually() -> void
{
    division = {};
    ownShareReduced = false;
    dividedInstances.clear();
    table.divideSlots({}, 0);
    local.scaleWeights([](const auto &) { return 1.0; });
}

auto RequestScheduler::Impl::divide(MonoTime now) -> void
{
    auto demands = std::vector<std::vector<WorkspaceDemand>>{};
    auto self = std::size_t{0};
    for (auto i = std::size_t{0}; i < instances.size(); ++i) {
        if (instances[i] == options.instance.str()) {
            self = i;
            demands.push_back(demand.reported());
            continue;
        }
        const auto it = peerDemands.find(instances[i]);
        if (it == peerDemands.end()) {
            demands.clear();
            break;
        }
        demands.push_back(it->second);
    }
    auto next = divideByDemand(weights, demands, table.regionSlots(now), options.demand, division.shifted);
    if (!next.shifted) {
        shortSince.reset();
        if (division.shifted) {
            divideEqually();
        }
        return;
    }
    shortSince = shortSince.value_or(now);
    if (!division.shifted && now - *shortSince < options.demand.shiftDelay) {
        return;
    }
    const auto unchanged
        = dividedInstances == instances
          && std::equal(next.fractions.begin(), next.fractions.end(), division.fractions.begin(), division.fractions.end(), [this](auto a, auto b) {
                 return std::abs(a - b) <= options.demand.fractionTolerance * b;
             });
    if (unchanged) {
        next.fractions = division.fractions;
    }
    division = std::move(next);
    dividedInstances = instances;
    ownShareReduced = division.fractions[self] * static_cast<double>(instances.size()) < 1;
    table.divideSlots(division.fractions, self);
    const auto &factors = division.weightFactors[self];
    local.scaleWeights([&](const auto &name) {
        const auto it = factors.find(workspaceKey(WorkspaceId{name}));
        return it != factors.end() ? it->second : 1.0;
    });
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
    m_impl->instances.clear();
    m_impl->shortSince.reset();
    m_impl->divideEqually();
    m_impl->table.setInstances(std::vector<std::string>(static_cast<std::size_t>(std::max(1, fresh))));
}

auto RequestScheduler::peersChanged(const std::vector<InstanceId> &fresh, MonoTime now) -> void
{
    auto names = std::vector<std::string>{m_impl->options.instance.str()};
    for (const auto &it : fresh) {
        if (it != m_impl->options.instance) {
            names.push_back(it.str());
        }
    }
    m_impl->instances = names;
    std::sort(m_impl->instances.begin(), m_impl->instances.end());
    std::erase_if(m_impl->peerDemands, [&](const auto &it) { return !std::binary_search(m_impl->instances.begin(), m_impl->instances.end(), it.first); });
    m_impl->table.setInstances(std::move(names));
    m_impl->divide(now);
}

auto RequestScheduler::peerDemandsChanged(const InstanceId &peer, std::optional<std::vector<WorkspaceDemand>> demands) -> void
{
    if (demands) {
        m_impl->peerDemands[peer.str()] = std::move(*demands);
    } else {
        m_impl->peerDemands.erase(peer.str());
    }
}

auto RequestScheduler::ownDemands(MonoTime now) -> std::vector<WorkspaceDemand>
{
    return m_impl->demand.report(now);
}

auto RequestScheduler::peerLoadsChanged(const InstanceId &peer, const std::vector<InFlightLoad> &loads, MonoTime now) -> void
{
    static_cast<void>(now);
    m_impl->table.peerLoadsChanged(peer, loads);
}

auto RequestScheduler::ownLoads() const -> std::vector<InFlightLoad>
{
    return m_impl->table.loads();
}

auto RequestScheduler::counts() const -> RequestCounts
{
    auto counts = m_impl->counts;
    counts.queued = std::ssize(m_impl->byDrop);
    counts.inFlight = std::ssize(m_impl->entries) - counts.queued;
    return counts;
}

auto RequestScheduler::queues(MonoTime now) const -> std::vector<RequestQueueView>
{
    auto views = std::vector<RequestQueueView>{};
    for (const auto *queue : {&m_impl->local, &m_impl->spill}) {
        queue->forEachCaller([&](const RequestQueueView &view, const FairItem *first) {
            views.push_back(view);
            views.back().oldestWait
                = first != nullptr ? std::chrono::duration_cast<Millis>(now - static_cast<const RequestEntry *>(first)->acceptedAt) : Millis{0};
        });
    }
    return views;
}

auto RequestScheduler::executors(MonoTime now) const -> std::vector<ExecutorView>
{
    return m_impl->table.views(now);
}

}

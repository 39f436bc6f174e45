#include "policy/requestscheduler.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace Catkin
{

namespace
{

struct Entry
{
    NewRequest request;
    ExecutorId executor; ///< empty while queued
    MonoTime notBefore;
    MonoTime since;
    int attempts = 0;
    bool mayHaveRun = false;
    bool cancelled = false;
};

struct KnownExecutor
{
    ListedExecutor listed;
    HealthSample sample;
    int inFlight = 0;
    bool present = true;
};

}

/// First version: one first-in first-out queue and the executor with the fewest own requests in flight.
struct RequestScheduler::Impl
{
    RequestSchedulerOptions options;
    RequestConfig config;
    std::map<std::int64_t, Entry> requests;
    std::set<std::int64_t> queue;
    std::map<ExecutorId, KnownExecutor> executors;
    RequestFigures figures;
    std::int64_t lastNumber = 0;
    int fresh = 1;
};

RequestScheduler::RequestScheduler(RequestSchedulerOptions options, std::uint64_t seed)
    : m_impl(std::make_unique<Impl>())
{
    static_cast<void>(seed);
    m_impl->options = std::move(options);
}
RequestScheduler::RequestScheduler(RequestScheduler &&) noexcept = default;
auto RequestScheduler::operator=(RequestScheduler &&) noexcept -> RequestScheduler & = default;
RequestScheduler::~RequestScheduler() = default;

auto RequestScheduler::enqueue(const NewRequest &request, MonoTime now) -> RequestQueued
{
    auto &d = *m_impl;
    auto refuse = [&](RefusalReason reason, Millis retryAfter) {
        ++d.figures.refused;
        return RequestQueued{{}, RequestRefusal{reason, retryAfter}};
    };
    if (std::none_of(d.config.workspaces.begin(), d.config.workspaces.end(), [&](const auto &it) { return it.id == request.workspace; })) {
        return refuse(RefusalReason::UnknownWorkspace, Millis{0});
    }
    if (std::none_of(d.config.kinds.begin(), d.config.kinds.end(), [&](const auto &it) { return it.id == request.kind; })) {
        return refuse(RefusalReason::UnknownKind, Millis{0});
    }
    if (std::ssize(d.queue) >= d.options.admission.queuedAtMost) {
        return refuse(RefusalReason::QueueFull, d.options.admission.retryAtLeast);
    }
    const auto number = ++d.lastNumber;
    d.requests[number] = Entry{.request = request, .notBefore = now, .since = now};
    d.queue.insert(number);
    ++d.figures.accepted;
    return {RequestNumber{number}, {}};
}

auto RequestScheduler::next(MonoTime now) -> RequestStep
{
    auto &d = *m_impl;
    auto wakeAt = std::optional<MonoTime>{};
    for (const auto number : d.queue) {
        auto &entry = d.requests.at(number);
        if (entry.request.deadline <= now) {
            const auto mayHaveRun = entry.mayHaveRun;
            d.queue.erase(number);
            d.requests.erase(number);
            ++d.figures.dropped;
            return RequestDropped{RequestNumber{number}, mayHaveRun, {RefusalReason::DeadlinePassed, d.options.admission.retryAtLeast}};
        }
        const auto at = std::max(entry.notBefore, now) > now ? entry.notBefore : entry.request.deadline;
        wakeAt = wakeAt ? std::min(*wakeAt, at) : at;
        if (entry.notBefore > now) {
            continue;
        }
        auto *best = static_cast<KnownExecutor *>(nullptr);
        for (auto &[id, executor] : d.executors) {
            const auto slots = executor.sample.slots > 0 ? executor.sample.slots : d.options.slots;
            const auto usable = executor.present && !executor.listed.leaving && !executor.sample.leaving;
            if (usable && executor.inFlight < slots && (best == nullptr || executor.inFlight < best->inFlight)) {
                best = &executor;
            }
        }
        if (best != nullptr) {
            ++best->inFlight;
            ++entry.attempts;
            ++d.figures.dispatched;
            entry.executor = best->listed.id;
            d.queue.erase(number);
            return RequestDispatch{RequestNumber{number},
                                   best->listed.id,
                                   best->listed.address,
                                   best->listed.region != d.options.region,
                                   entry.attempts,
                                   std::chrono::duration_cast<Millis>(entry.request.deadline - now)};
        }
    }
    return RequestIdle{wakeAt};
}

auto RequestScheduler::completed(RequestNumber number, AttemptOutcome outcome, Micros cost, MonoTime now) -> RequestAfter
{
    static_cast<void>(cost);
    auto &d = *m_impl;
    const auto it = d.requests.find(number.value);
    if (it == d.requests.end() || it->second.executor.empty()) {
        return RequestFinished{};
    }
    auto &entry = it->second;
    --d.executors.at(entry.executor).inFlight;
    entry.executor = {};
    const auto ran = outcome == AttemptOutcome::Failed || outcome == AttemptOutcome::TimedOut;
    entry.mayHaveRun = entry.mayHaveRun || ran;
    if (outcome == AttemptOutcome::Answered) {
        ++d.figures.answered;
        d.requests.erase(it);
        return RequestFinished{true};
    }
    const auto kind = std::find_if(d.config.kinds.begin(), d.config.kinds.end(), [&](const auto &k) { return k.id == entry.request.kind; });
    const auto repeatable = !entry.mayHaveRun || (kind != d.config.kinds.end() && kind->idempotent);
    const auto at = now + d.options.retry.backoff;
    if (repeatable && !entry.cancelled && entry.attempts < d.options.retry.attempts && at < entry.request.deadline) {
        entry.notBefore = at;
        d.queue.insert(number.value);
        ++d.figures.retries;
        return RequestRetry{at};
    }
    const auto mayHaveRun = entry.mayHaveRun;
    d.requests.erase(it);
    if (mayHaveRun) {
        return RequestFinished{};
    }
    return RequestNotRun{{RefusalReason::RetryBudget, d.options.admission.retryAtLeast}};
}

auto RequestScheduler::cancel(RequestNumber number, MonoTime now) -> CancelResult
{
    static_cast<void>(now);
    auto &d = *m_impl;
    const auto it = d.requests.find(number.value);
    if (it == d.requests.end()) {
        return CancelResult::NotFound;
    }
    if (!it->second.executor.empty()) {
        it->second.cancelled = true;
        return CancelResult::InFlight;
    }
    const auto mayHaveRun = it->second.mayHaveRun;
    d.queue.erase(number.value);
    d.requests.erase(it);
    return mayHaveRun ? CancelResult::MayHaveRun : CancelResult::NotRun;
}

auto RequestScheduler::cancelCaller(const WorkspaceId &workspace, const CallerId &caller, MonoTime now) -> std::vector<CancelledRequest>
{
    auto numbers = std::vector<RequestNumber>{};
    for (const auto &[number, entry] : m_impl->requests) {
        if (entry.request.workspace == workspace && entry.request.caller == caller) {
            numbers.push_back(RequestNumber{number});
        }
    }
    auto cancelled = std::vector<CancelledRequest>{};
    for (const auto number : numbers) {
        cancelled.push_back({number, cancel(number, now)});
    }
    return cancelled;
}

auto RequestScheduler::configChanged(const RequestConfig &config, MonoTime now) -> void
{
    static_cast<void>(now);
    m_impl->config = config;
}

auto RequestScheduler::executorsChanged(const std::vector<ListedExecutor> &executors, MonoTime now) -> void
{
    static_cast<void>(now);
    for (auto &[id, executor] : m_impl->executors) {
        executor.present = false;
    }
    for (const auto &listed : executors) {
        auto &executor = m_impl->executors[listed.id];
        executor.listed = listed;
        executor.present = true;
    }
}

auto RequestScheduler::executorPolled(const ExecutorId &executor, const std::optional<HealthSample> &sample, MonoTime now) -> void
{
    static_cast<void>(now);
    const auto it = m_impl->executors.find(executor);
    if (it != m_impl->executors.end() && sample) {
        it->second.sample = *sample;
    }
}

auto RequestScheduler::peersChanged(int fresh, MonoTime now) -> void
{
    static_cast<void>(now);
    m_impl->fresh = std::max(1, fresh);
}

auto RequestScheduler::peerReported(const InstanceId & /*peer*/, const std::vector<ExecutorLoad> & /*loads*/, MonoTime /*now*/) -> void
{
}

auto RequestScheduler::ownLoads() const -> std::vector<ExecutorLoad>
{
    auto loads = std::vector<ExecutorLoad>{};
    for (const auto &[id, executor] : m_impl->executors) {
        if (executor.inFlight > 0) {
            loads.push_back({id, executor.inFlight});
        }
    }
    return loads;
}

auto RequestScheduler::figures() const -> RequestFigures
{
    auto figures = m_impl->figures;
    figures.queued = std::ssize(m_impl->queue);
    figures.inFlight = std::ssize(m_impl->requests) - figures.queued;
    return figures;
}

auto RequestScheduler::queues(MonoTime /*now*/) const -> std::vector<RequestQueueView>
{
    return {};
}

auto RequestScheduler::executors(MonoTime /*now*/) const -> std::vector<ExecutorView>
{
    auto views = std::vector<ExecutorView>{};
    for (const auto &[id, executor] : m_impl->executors) {
        views.push_back({.id = id, .inFlight = executor.inFlight, .slots = executor.sample.slots});
    }
    return views;
}

}

#pragma once

/// Decides which request of one entry instance runs next and on which executor.
///
/// The class has no threads, sockets or clock: the owner calls it under one lock and passes the time.
/// @code
///   auto scheduler = Catkin::RequestScheduler{options, seed};
///   scheduler.configChanged(config, now);
///   scheduler.executorsChanged(list, now);
///   auto queued = scheduler.enqueue({workspace, caller, kind, now + deadline, payloadBytes}, now);
///   if (queued.refusal) { ... }                            // answer "not run" with queued.refusal->retryAfter
///   for (;;) {                                             // until there is nothing to do now
///       auto step = scheduler.next(now);
///       if (auto *dispatch = std::get_if<Catkin::RequestDispatch>(&step)) { ... }      // send; later completed()
///       else if (auto *dropped = std::get_if<Catkin::RequestDropped>(&step)) { ... }   // answer, never sent again
///       else { wait until std::get<Catkin::RequestIdle>(step).wakeAt or the next event; break; }
///   }
///   auto after = scheduler.completed(queued.number, Catkin::DispatchOutcome::Answered, cost, now);
/// @endcode
/// Every request that enqueue() accepted ends exactly once: by completed() with anything but RequestRetry, by
/// RequestDropped from next(), or by a cancel() that found it queued.

#include "policy/requesttypes.h"

#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace Catkin
{

/// Send the request to this executor now and report the result with completed().
struct RequestDispatch
{
    RequestNumber number;
    ExecutorId executor;
    std::string address;
    bool otherRegion = false; ///< the executor is in another region; the request's bytes were charged to the link budget
    int attempt = 1; ///< counted from 1
    Millis timeLeft = {}; ///< time until the request's deadline
};

/// The request left the queue without being dispatched again.
struct RequestDropped
{
    RequestNumber number;
    bool mayHaveRun = false; ///< an earlier attempt may have run: answer "outcome unknown", not "not run"
    RequestRefusal refusal;
};

/// Nothing to do before @p wakeAt (or before the next event when it is not set).
struct RequestIdle
{
    std::optional<MonoTime> wakeAt;
};

using RequestStep = std::variant<RequestIdle, RequestDispatch, RequestDropped>;

/// Result of enqueue(): queued under @p number, or refused; a refused request has not run and will not run.
struct RequestQueued
{
    RequestNumber number;
    std::optional<RequestRefusal> refusal;
};

/// The request has ended.
struct RequestFinished
{
    bool answered = false; ///< true: pass on the answer; false: it may have run, answer "outcome unknown"
};

/// The scheduler keeps the request, and next() dispatches it again at or after @p at; the owner answers nothing yet.
struct RequestRetry
{
    MonoTime at;
};

/// The request has ended and did not run in any attempt.
struct RequestNotRun
{
    RequestRefusal refusal;
};

using RequestCompletion = std::variant<RequestFinished, RequestRetry, RequestNotRun>;

/// Result of a cancellation.
enum class RequestCancelResult {
    NotRun, ///< removed; it did not run in any attempt
    MayHaveRun, ///< removed while it waited for a retry; an earlier attempt may have run
    InFlight, ///< an attempt is at an executor: completed() must still be called and will not retry
    NotFound, ///< unknown number, or the request has already ended
};

/// Result of cancelCaller() for one request.
struct CancelledRequest
{
    RequestNumber number;
    RequestCancelResult result = RequestCancelResult::NotRun;
};

/// Request path of one entry instance; not thread-safe.
class RequestScheduler
{
public:
    /// @param options identity and location of this instance, and tuning
    /// @param seed seed of the random numbers (executor choice, retry jitter)
    RequestScheduler(RequestSchedulerOptions options, std::uint64_t seed);
    RequestScheduler(RequestScheduler &&) noexcept;
    auto operator=(RequestScheduler &&) noexcept -> RequestScheduler &;
    ~RequestScheduler();

    /// Queues a request or refuses it at once. Cost: logarithmic in the number of queued requests.
    auto enqueue(const NewRequest &request, MonoTime now) -> RequestQueued;

    /// Performs the next step. After every other call and at RequestIdle::wakeAt, call it until it returns RequestIdle.
    auto next(MonoTime now) -> RequestStep;

    /// Reports the end of an attempt.
    /// @param number the request, which next() dispatched
    /// @param outcome how the attempt ended
    /// @param cost executor time used, as reported by the executor; without a report the time from sending to the answer,
    ///        and zero for an attempt that did not run
    /// @param now present time
    /// @return the state of the request after the attempt; RequestFinished{false} for a number that is not in flight.
    auto completed(RequestNumber number, DispatchOutcome outcome, Micros cost, MonoTime now) -> RequestCompletion;

    /// Cancels one request. Cost: logarithmic in the number of queued requests.
    auto cancel(RequestNumber number, MonoTime now) -> RequestCancelResult;

    /// Cancels every request of a caller. Cost: proportional to that caller's requests in progress.
    auto cancelCaller(const WorkspaceId &workspace, const CallerId &caller, MonoTime now) -> std::vector<CancelledRequest>;

    /// Applies an accepted configuration. Queued requests of removed workspaces and kinds keep their position in the queue.
    auto configChanged(const RequestConfig &config, MonoTime now) -> void;

    /// Sets the executors of the instance list. An executor that is no longer listed gets no new work; its attempts in
    /// flight continue.
    auto executorsChanged(const std::vector<ListedExecutor> &executors, MonoTime now) -> void;

    /// Reports the result of a health poll, which each listed executor gets every ExecutorHealthOptions::pollPeriod. An
    /// executor gets work only for ExecutorHealthOptions::staleAfter after its last successful poll.
    /// @param sample the answer, or nothing when the poll failed
    auto executorPolled(const ExecutorId &executor, const std::optional<HealthSample> &sample, MonoTime now) -> void;

    /// Divides each executor's slots equally between the entry instances of the own region. Instances of other regions are
    /// not counted: they rarely use the same executors, and an executor refuses their requests when it is busy.
    /// @param fresh number of entry instances of the own region with fresh heartbeats, including this one; values below 1
    ///        count as 1
    auto peersChanged(int fresh, MonoTime now) -> void;

    /// Divides each executor's slots between the named entry instances of the own region, by the demand that they reported
    /// (see peerDemandsChanged()) or equally. Without a remainder if all instances see the same peers. Call it once per
    /// heartbeat period, because it also applies new reports.
    /// @param fresh entry instances of the own region with fresh heartbeats; the own one is added when it is missing
    auto peersChanged(const std::vector<InstanceId> &fresh, MonoTime now) -> void;

    /// Sets the in-flight counts from a peer's heartbeat; an empty list removes those of the peer.
    auto peerLoadsChanged(const InstanceId &peer, const std::vector<InFlightLoad> &loads, MonoTime now) -> void;

    /// Sets the demand from a peer's heartbeat. The next peersChanged() uses it. Slots are divided by demand only while every
    /// fresh instance reports its demand.
    /// @param demands nothing for a peer whose heartbeats carry no demand
    auto peerDemandsChanged(const InstanceId &peer, std::optional<std::vector<WorkspaceDemand>> demands) -> void;

    /// @return this instance's demand by workspace, for its heartbeat.
    auto ownDemands(MonoTime now) -> std::vector<WorkspaceDemand>;

    /// @return this instance's in-flight requests by executor, for its heartbeat.
    [[nodiscard]] auto ownLoads() const -> std::vector<InFlightLoad>;

    /// @return counts for metrics and the operator interface.
    [[nodiscard]] auto counts() const -> RequestCounts;

    /// @return the queues that hold requests or have attempts in flight, for GET /v1/queues.
    [[nodiscard]] auto queues(MonoTime now) const -> std::vector<RequestQueueView>;

    /// @return the known executors with state and limits, for GET /v1/executors.
    [[nodiscard]] auto executors(MonoTime now) const -> std::vector<ExecutorView>;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}

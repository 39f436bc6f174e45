#pragma once

/// Decides which request of one entry instance runs next and on which executor.
///
/// The object has no threads, no sockets and no clock: the owner calls it under one lock and passes the time.
/// @code
///   auto scheduler = Catkin::RequestScheduler{options, seed};
///   scheduler.configChanged(config, now);
///   scheduler.executorsChanged(list, now);
///   auto queued = scheduler.enqueue({workspace, caller, kind, now + deadline, payloadBytes}, now);
///   if (queued.refusal) { ... }                            // answer "not run" with queued.refusal->retryAfter
///   for (;;) {                                             // until nothing can be done now
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
    bool otherRegion = false; ///< the request's bytes were charged to the link budget
    int attempt = 1; ///< 1 for the first attempt
    Millis timeLeft = {}; ///< until the request's deadline
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

/// The request has ended: pass on the answer, or "outcome unknown" when there is none.
struct RequestFinished
{
    bool answered = false;
};

/// The scheduler keeps the request and dispatches it again after @p at; nothing is to be done by the owner.
struct RequestRetry
{
    MonoTime at;
};

/// The request has ended and certainly did not run in any attempt.
struct RequestNotRun
{
    RequestRefusal refusal;
};

using RequestCompletion = std::variant<RequestFinished, RequestRetry, RequestNotRun>;

/// What cancel() found.
enum class RequestCancelResult {
    NotRun, ///< removed; no attempt ran
    MayHaveRun, ///< removed while it waited for a retry; an earlier attempt may have run
    InFlight, ///< an attempt is at an executor: completed() must still be called and will not retry
    NotFound, ///< ended already
};

/// One cancelled request of cancelCaller().
struct CancelledRequest
{
    RequestNumber number;
    RequestCancelResult result = RequestCancelResult::NotRun;
};

/// Request path of one entry instance; not thread-safe.
class RequestScheduler
{
public:
    /// @param options own place and tuning
    /// @param seed start of the injected random numbers (executor choice, retry jitter)
    RequestScheduler(RequestSchedulerOptions options, std::uint64_t seed);
    RequestScheduler(RequestScheduler &&) noexcept;
    auto operator=(RequestScheduler &&) noexcept -> RequestScheduler &;
    ~RequestScheduler();

    /// Queues a request or refuses it at once. Cost: logarithmic in the number of queued requests.
    auto enqueue(const NewRequest &request, MonoTime now) -> RequestQueued;

    /// Takes the next step; call it until it returns RequestIdle, after every other call and at RequestIdle::wakeAt.
    auto next(MonoTime now) -> RequestStep;

    /// Reports the end of an attempt.
    /// @param number the request, which next() dispatched
    /// @param outcome how the attempt ended
    /// @param cost executor time used: as the executor reported it, otherwise the time from sending to the answer;
    ///        zero for an attempt that did not run
    /// @param now present time
    /// @return what becomes of the request; RequestFinished{false} for a number that is not in flight.
    auto completed(RequestNumber number, DispatchOutcome outcome, Micros cost, MonoTime now) -> RequestCompletion;

    /// Cancels one request. Cost: logarithmic in the number of queued requests.
    auto cancel(RequestNumber number, MonoTime now) -> RequestCancelResult;

    /// Cancels every request of a caller. Cost: proportional to that caller's requests in progress.
    auto cancelCaller(const WorkspaceId &workspace, const CallerId &caller, MonoTime now) -> std::vector<CancelledRequest>;

    /// Takes over an accepted configuration. Queued requests of removed workspaces and kinds keep their place.
    auto configChanged(const RequestConfig &config, MonoTime now) -> void;

    /// Takes over the executors of the instance list; those absent get no new work, their attempts in flight go on.
    auto executorsChanged(const std::vector<ListedExecutor> &executors, MonoTime now) -> void;

    /// Reports a health poll; an executor gets work only after its first good poll and for at most
    /// RequestSchedulerOptions::health.staleAfter after its last one. Due every RequestSchedulerOptions::health.pollPeriod for each listed executor.
    /// @param sample the answer, or nothing when the poll failed
    auto executorPolled(const ExecutorId &executor, const std::optional<HealthSample> &sample, MonoTime now) -> void;

    /// @param fresh number of entry instances of the own region with fresh heartbeats, this one included; values below 1
    ///        count as 1. Instances of other regions rarely use the same executors; busy refusals limit them.
    auto peersChanged(int fresh, MonoTime now) -> void;

    /// The same with names, which divides slots without a remainder when all instances see the same peers.
    /// Also divides the slots anew by what the instances have reported, so it is due once per heartbeat period.
    /// @param fresh entry instances of the own region with fresh heartbeats; the own one is added when it is missing
    auto peersChanged(const std::vector<InstanceId> &fresh, MonoTime now) -> void;

    /// Takes over the in-flight counts in a peer's heartbeat; an empty list forgets the peer.
    auto peerLoadsChanged(const InstanceId &peer, const std::vector<InFlightLoad> &loads, MonoTime now) -> void;

    /// Takes over the demand in a peer's heartbeat. The slots are divided by demand only while every fresh instance reports
    /// its own; the division changes with the next peersChanged().
    /// @param demands nothing for a peer that does not report any
    auto peerDemandsChanged(const InstanceId &peer, std::optional<std::vector<WorkspaceDemand>> demands) -> void;

    /// @return own demand by workspace, for the heartbeat.
    auto ownDemands(MonoTime now) -> std::vector<WorkspaceDemand>;

    /// @return own in-flight requests per executor, for the heartbeat.
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

#pragma once

/// Requests of callers, from the validated body to the honest result.
///
/// @code
///   auto reply = requests.handle(call);       // blocks the caller's thread until the result is known
/// @endcode
/// The decisions are made by policy/requestscheduler.h under one lock; the exchange with the executor runs on the
/// caller's own thread, because cpp-httplib holds one for each connection anyway.

#include "daemon/callgate.h"
#include "daemon/configservice.h"
#include "daemon/fleet.h"
#include "daemon/intentservice.h"
#include "daemon/metrics.h"
#include "policy/requestscheduler.h"
#include "ports/executorport.h"
#include "util/clock.h"
#include "wire/messages.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace Catkin
{

/// One request as the caller sent it; the workspace has been authenticated.
struct RequestCall
{
    WorkspaceId workspace;
    CallerId caller;
    KindId kind;
    IdempotencyKey key;
    std::optional<WallTime> firstSent;
    int attempt = 0; ///< as stated by the caller; 0: not stated
    std::optional<Millis> deadline; ///< nothing: the kind's deadline
    std::string payload;
};

struct RequestReply
{
    RequestVerdict verdict = RequestVerdict::NotRun;
    int status = 503; ///< HTTP status
    RequestId request;
    std::string answer;
    std::string reason;
    Millis retryAfter{0};
    ConfigVersion configVersion;
    /// @name For metrics
    /// @{
    std::optional<MetricRefusal> refusal; ///< why nothing ran, when that was decided here
    std::optional<Micros> queueWait; ///< until the first dispatch
    std::optional<AttemptMechanism> mechanism; ///< of an attempt of a non-idempotent request that was allowed to start
    /// @}
};

struct RequestServiceOptions
{
    InstanceId instance;
    RequestSchedulerOptions scheduler;
    std::uint64_t seed = 1; ///< of executor choice and retry jitter
    Millis keyWindow{3'600'000};
    Millis maxClockAhead{10'000}; ///< how far first_sent_ms may lie in the future
};

class RequestService
{
public:
    /// @param finished called for each finished request with its latency, for metrics; may be empty
    using Finished = std::function<void(const RequestCall &, const RequestReply &, Millis)>;

    RequestService(ExecutorPort executors,
                   ConfigService &config,
                   IntentService &intents,
                   CallGate &gate,
                   Clock clock,
                   const RequestServiceOptions &options,
                   Finished finished);
    ~RequestService();
    RequestService(const RequestService &) = delete;
    auto operator=(const RequestService &) -> RequestService & = delete;

    /// Serves one request of a plain key; never throws, never waits much longer than the request's deadline.
    auto handle(const RequestCall &call) -> RequestReply;

    /// Refuses a request with a plain key before anything is tried. The answer is "not run" only if no earlier attempt may
    /// have run.
    auto refuse(const RequestCall &call, const std::string &reason) -> RequestReply;

    /// Serves one request without claiming a key in the log; for tickets, whose owner has made sure that it runs once.
    auto handleOwned(const RequestCall &call) -> RequestReply;

    auto configChanged(const ActiveConfig &config) -> void;
    auto executorsChanged(const std::vector<ListedInstance> &executors) -> void;
    auto executorPolled(const ExecutorId &executor, const std::optional<HealthSample> &sample) -> void;
    auto peersChanged(const std::vector<InstanceId> &fresh) -> void;
    auto peerLoadsChanged(const InstanceId &peer, const std::vector<InFlightLoad> &loads) -> void;

    auto peerDemandsChanged(const InstanceId &peer, std::optional<std::vector<WorkspaceDemand>> demands) -> void;

    [[nodiscard]] auto ownDemands() -> std::vector<WorkspaceDemand>;
    [[nodiscard]] auto ownLoads() const -> std::vector<InFlightLoad>;
    [[nodiscard]] auto counts() const -> RequestCounts;
    /// @return payload of the requests that wait for an executor.
    [[nodiscard]] auto queuedBytes() const -> Bytes;
    [[nodiscard]] auto queues() const -> std::vector<RequestQueueView>;
    [[nodiscard]] auto executors() const -> std::vector<ExecutorView>;
    /// @return requests that have not been answered yet.
    [[nodiscard]] auto inProgress() const -> std::size_t;

private:
    struct Waiter;
    /// Called once the request has been queued; a reply ends the request before anything is sent.
    using Prepare = std::function<std::optional<RequestReply>()>;

    auto check(const RequestCall &call, KindConfig &kind) const -> std::optional<RequestReply>;
    auto checkKey(const RequestCall &call) const -> std::optional<RequestReply>;
    auto serveOnce(const RequestCall &call, const KindConfig &kind) -> RequestReply;
    auto serve(const RequestCall &call, const KindConfig &kind, const Prepare &prepare) -> RequestReply;
    auto runAttempts(const RequestCall &call, RequestNumber number, Waiter &waiter) -> RequestReply;
    auto execute(const RequestCall &call, const RequestDispatch &step, RequestReply &reply) -> std::pair<DispatchOutcome, Micros>;
    auto abandon(RequestNumber number) -> void;
    auto deadlineOf(const RequestCall &call, const KindConfig &kind) const -> Millis;
    auto pump() -> void;
    auto runTimer() -> void;
    auto finish(const RequestCall &call, RequestReply reply, MonoTime started) -> RequestReply;

    ExecutorPort m_executors;
    ConfigService &m_config;
    IntentService &m_intents;
    CallGate &m_gate;
    Clock m_clock;
    RequestServiceOptions m_options;
    Finished m_finished;
    mutable std::mutex m_mutex;
    std::condition_variable m_timer;
    RequestScheduler m_scheduler;
    std::map<RequestNumber, Waiter *> m_waiters;
    std::optional<MonoTime> m_wakeAt;
    bool m_stopping = false;
    std::thread m_thread;
};

}

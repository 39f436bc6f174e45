#pragma once

/// Plain structs shared by the request path's decisions; include "policy/requestscheduler.h" to use them.

#include "util/ids.h"
#include "util/units.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace Catkin
{

/// Number of a request in one RequestScheduler; never reused.
using RequestNumber = Quantity<struct RequestNumberTag>;

enum class RequestUrgency { Urgent, Normal, Batch };

/// Part of a workspace's configuration that the request path needs.
struct RequestWorkspace
{
    WorkspaceId id;
    double weight = 1;
    double urgentShare = 0; ///< part of the workspace's service that urgent kinds may take first, 0 … 1
    int callersLimit = 0; ///< most requests one caller may have in progress on one instance; 0 for no limit
};

/// Part of a kind's configuration that the request path needs; kinds of mode "request" only.
struct RequestKind
{
    KindId id;
    double weight = 1;
    RequestUrgency urgency = RequestUrgency::Normal;
    bool idempotent = false;
    bool crossRegion = false;
};

struct RequestConfig
{
    std::vector<RequestWorkspace> workspaces;
    std::vector<RequestKind> kinds;
};

/// A request as the caller sent it.
struct NewRequest
{
    WorkspaceId workspace;
    CallerId caller;
    KindId kind;
    MonoTime deadline;
    Bytes bytes; ///< payload and expected answer, charged when the request crosses regions
};

enum class RefusalReason {
    UnknownWorkspace,
    UnknownKind,
    CallerLimit, ///< the caller has too many requests in progress
    QueueFull, ///< the kind, workspace or caller fills its part of the queue's memory
    ExpectedWait, ///< the wait would exceed the deadline
    DeadlinePassed, ///< dropped from the queue
    NoExecutor, ///< no executor that may serve the request is usable
    RetryBudget, ///< every attempt was refused before it ran, and the retry budget is spent
    Cancelled,
};

/// Why a request is refused and when a retry makes sense.
struct RequestRefusal
{
    RefusalReason reason = RefusalReason::ExpectedWait;
    Millis retryAfter = {}; ///< zero when a retry will not help
};

/// How an attempt at an executor ended.
enum class DispatchOutcome {
    Answered, ///< complete answer, whatever it says
    Refused, ///< the executor refused before any work ("X-Not-Run: true")
    NotSent, ///< no connection; certainly did not run
    Failed, ///< error, lost connection or bad answer; may have run
    TimedOut, ///< no answer by the deadline; may have run
};

/// An executor as the instance list shows it.
struct ListedExecutor
{
    ExecutorId id;
    std::string address;
    FailureDomainId domain;
    RegionId region;
    bool leaving = false;
};

/// An executor's answer to a health poll.
struct HealthSample
{
    int slots = 0;
    int busy = 0;
    bool leaving = false;
};

/// Requests in flight at one executor.
struct InFlightLoad
{
    ExecutorId executor;
    int inFlight = 0;
};

/// What the callers of one workspace ask of one instance, as heartbeats carry it.
struct WorkspaceDemand
{
    std::uint32_t workspace = 0; ///< workspaceKey() of its name
    double slots = 0; ///< executor time asked for per time, served or not

    auto operator<=>(const WorkspaceDemand &other) const = default;
};

enum class ExecutorState {
    Usable,
    Leaving, ///< said so itself or in the list; gets no new work
    Suspect, ///< recent failures or no recent health answer; used only when no usable executor is left in its region
    Down, ///< no health answer for several polls, or not listed
};

struct ExecutorHealthOptions
{
    Millis pollPeriod{1000};
    Millis staleAfter{4000}; ///< without a good poll for this time an executor gets no new work: G6 allows 5 s
    int missedForDown = 3; ///< consecutive failed polls
    int failuresForSuspect = 3; ///< consecutive failed attempts
    int failuresForQuarantine = 5; ///< consecutive failed attempts while health polls succeed
    double quarantinedShare = 0.1; ///< most of the executors in quarantine; always allows one
    Millis probeAfter{2000}; ///< first pause before a probe, doubled after each failed probe
    Millis probeAtMost{60000};
};

struct ExecutorLimitOptions
{
    double increase = 1; ///< slots added for each round of attempts that filled the limit
    double decrease = 0.7; ///< factor after a refusal or a late answer
    double lateFactor = 3; ///< an answer is late when it took this many times the expected cost …
    Millis lateAtLeast{50}; ///< … plus this
    Millis decreasePause{100}; ///< at most one decrease in this time, so that one burst of refusals counts once
    Millis growPauseAtLeast{200}; ///< first pause between a refusal and the next increase, doubled by each refusal
    Millis growPauseAtMost{5000};
};

struct DemandOptions
{
    Millis window{250}; ///< demand is averaged over windows of this length …
    Millis memory{2000}; ///< … with a weight that falls by a factor of e in this time
    Millis reportPeriod{400}; ///< a report stays the same for this time; just below the heartbeat period of a region
    double changePart = 0.04; ///< a demand is reported again when it has changed by this part
    int maxChangesPerReport = 40; ///< of 8 bytes each: 320 B in a heartbeat, 4.5 KB/s each way for 7 peers
    double shortBy = 0.1; ///< a workspace is short when equal parts would take this part of its share; the target for deviations
    double shiftThreshold = 0.01; ///< parts follow demand once the short workspaces together would lose this part of the slots …
    double shiftUntil = 0.5; ///< … and until not even workspaces short by half as much lose half as much
    Millis shiftAfter{1500}; ///< of shortage, so that a burst or the first, rough estimates of costs do not move slots
    double leastPart = 0.25; ///< of an equal part: an instance keeps it for demand that it has not reported yet
    double leastFactor = 0.1; ///< of a workspace's weight in an instance that has seen no demand of it
    double keepWithin = 0.1; ///< parts stay while none would change by more than this part
};

struct RetryOptions
{
    double share = 0.1; ///< retries per first attempt
    double burst = 50; ///< retries allowed at once after a quiet time
    int attempts = 3; ///< most attempts of one request
    Millis backoff{20}; ///< before the first retry, doubled for each further one, with full jitter
    Millis backoffAtMost{2000};
};

struct LinkBudgetOptions
{
    std::int64_t bytesPerSecond = 250'000; ///< request payload of this instance; 30 Mbit/s shared by 8 instances is 470 kB/s
    std::int64_t burst = 500'000;
};

struct AdmissionOptions
{
    int maxQueued = 20'000; ///< requests held by one instance; bounds memory
    double workspacePart = 2; ///< a workspace may hold this many times the free rest of the queue
    double kindPart = 1; ///< the same for a (workspace, kind)
    double callerPart = 0.5; ///< the same for a caller of a kind
    Millis retryAtLeast{50};
    Millis retryAtMost{30'000};
};

struct FairQueueOptions
{
    Micros firstCost{20'000}; ///< assumed cost of a caller's kind before the first measurement
    double costWeight = 0.1; ///< weight of a new measurement in the moving average
    Micros urgentBurst{1'000'000}; ///< urgent service that a workspace may save up
    Micros debt{2'000'000}; ///< most that late cost corrections may hold back, or favour, a child
    double reservedFraction = 0.05; ///< slots left free by kinds that have their share, so that others need not wait for one
    int lookAhead = 16; ///< callers looked at for one below its share
    int idleCallers = 4096; ///< callers remembered without requests
};

/// Own place and tuning of a RequestScheduler.
struct RequestSchedulerOptions
{
    InstanceId instance; ///< own id
    FailureDomainId domain;
    RegionId region;
    int slots = 8; ///< assumed slots of an executor before its first health answer
    ExecutorHealthOptions health;
    ExecutorLimitOptions limit;
    DemandOptions demand;
    RetryOptions retry;
    LinkBudgetOptions link;
    AdmissionOptions admission;
    FairQueueOptions queue;
};

/// Counts since the start, for metrics.
struct RequestCounts
{
    std::int64_t queued = 0; ///< now
    std::int64_t inFlight = 0; ///< now
    std::int64_t accepted = 0;
    std::int64_t refused = 0; ///< by enqueue()
    std::int64_t dropped = 0; ///< by deadline while queued
    std::int64_t dispatched = 0;
    std::int64_t retries = 0;
    std::int64_t retriesDenied = 0; ///< by the retry budget
    std::int64_t answered = 0;
    std::int64_t executorRefusals = 0;
    std::int64_t otherRegion = 0; ///< dispatches
    std::int64_t otherRegionBytes = 0;
    std::int64_t linkDenied = 0; ///< dispatches that the link budget held back
};

struct RequestQueueView
{
    WorkspaceId workspace;
    KindId kind;
    CallerId caller;
    std::int64_t queued = 0;
    Micros averageCost{0};
    Millis oldestWait{0};
};

struct ExecutorView
{
    ExecutorId id;
    ExecutorState state = ExecutorState::Usable;
    bool quarantined = false;
    int inFlight = 0;
    int peersInFlight = 0;
    int slots = 0;
    double limit = 0; ///< own concurrency limit
    double share = 0; ///< own part of the slots
};

}

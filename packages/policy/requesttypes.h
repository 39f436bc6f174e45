#pragma once

/// Plain structs of the request path; include "policy/requestscheduler.h" to use them.

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
    double urgentShare = 0; ///< fraction of the workspace's service that urgent kinds may take ahead of the others, 0 … 1
    int callersLimit = 0; ///< maximum number of requests of one caller in progress on one instance; 0 for no limit
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
    Bytes bytes; ///< size of payload and expected answer; charged to the link budget when the request crosses regions
};

enum class RefusalReason {
    UnknownWorkspace,
    UnknownKind,
    CallerLimit, ///< the caller has too many requests in progress
    QueueFull, ///< the kind, workspace or caller has reached its limit of queued requests
    ExpectedWait, ///< the expected wait exceeds the deadline
    DeadlinePassed, ///< the deadline had passed on arrival, or it dropped the request from the queue
    NoExecutor, ///< none of the executors that may serve the request is usable
    RetryBudget, ///< no attempt ran, and a retry would come too late
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
    Answered, ///< complete answer; its content does not matter
    Refused, ///< the executor refused before any work ("X-Not-Run: true"); did not run
    NotSent, ///< no connection; did not run
    Failed, ///< error, lost connection or bad answer; may have run
    TimedOut, ///< no answer by the deadline; may have run
};

/// An entry of the instance list for an executor.
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

/// Demand of one workspace's callers at one instance, as sent in heartbeats.
struct WorkspaceDemand
{
    std::uint32_t workspace = 0; ///< workspaceKey() of its name
    double slots = 0; ///< requested executor time per unit of time, including refused requests

    auto operator<=>(const WorkspaceDemand &other) const = default;
};

enum class ExecutorState {
    Usable,
    Leaving, ///< according to its health answer or the instance list; gets no new work
    Suspect, ///< recent failures or no recent health answer; used only when its region has no usable executor
    Down, ///< no health answer for several polls, or not listed
};

struct ExecutorHealthOptions
{
    Millis pollPeriod{1000};
    Millis staleAfter{4000}; ///< an executor without a successful poll for this time gets no new work; G6 allows 5 s
    int missedPollsForDown = 3; ///< consecutive failed polls
    int failuresForSuspect = 3; ///< consecutive failed attempts
    int failuresForQuarantine = 5; ///< consecutive failed attempts while health polls succeed
    double maxQuarantinedFraction = 0.1; ///< of the known executors; one may always be in quarantine if there are several
    Millis firstProbePause{2000}; ///< before the first probe; doubled after each failed probe
    Millis maxProbePause{60000};
};

struct ExecutorLimitOptions
{
    double increase = 1; ///< slots added for each round of attempts that filled the limit
    double decrease = 0.7; ///< factor after a refusal or a late answer
    double lateFactor = 3; ///< an answer is late when it took longer than lateFactor times the expected cost plus lateMargin
    Millis lateMargin{50};
    Millis minDecreaseInterval{100}; ///< a burst of refusals within this time decreases the limit once
    Millis minGrowPause{200}; ///< first pause between a refusal and the next increase; doubled by each refusal
    Millis maxGrowPause{5000};
};

struct DemandOptions
{
    Millis window{250}; ///< length of the windows in which demand is measured
    Millis decayTime{2000}; ///< time constant of the exponential average over the windows
    Millis reportPeriod{400}; ///< minimum time between two changes of the report; just below the heartbeat period of a region
    double minRelativeChange = 0.04; ///< a demand is reported again when it has changed by more than this fraction
    int maxChangesPerReport = 40; ///< of 8 bytes each: 320 B in a heartbeat, 4.5 KB/s each way for 7 peers
    double shortThreshold = 0.1; ///< a workspace is short when an equal division would cost it more than this fraction of its share; target for deviations
    double shiftThreshold = 0.01; ///< slots follow demand once the short workspaces together would lose this fraction of all slots
    double shiftEndFactor = 0.5; ///< applied to both thresholds to decide when the division becomes equal again
    Millis shiftDelay{1500}; ///< minimum time of shortage, so that a burst or the first, rough cost estimates do not move slots
    double minFraction = 0.25; ///< of an equal share: an instance keeps it for demand that it has not reported yet
    double minWeightFactor = 0.1; ///< factor of a workspace's weight in an instance that has seen no demand of it
    double fractionTolerance = 0.1; ///< the division stays while no instance's fraction would change by more than this fraction
};

struct RetryOptions
{
    double ratio = 0.1; ///< retries per first attempt
    double burst = 50; ///< size of the token bucket: retries allowed at once when none were made for a while
    int maxAttempts = 3; ///< no retry after this many attempts if the last one may have run; refused attempts are limited by budget and deadline only
    Millis initialBackoff{20}; ///< before the first retry; doubled for each further one, with full jitter
    Millis maxBackoff{2000};
};

struct LinkBudgetOptions
{
    std::int64_t bytesPerSecond = 250'000; ///< request payload of this instance; 30 Mbit/s shared by 8 instances is 470 kB/s
    std::int64_t burst = 500'000;
};

struct AdmissionOptions
{
    int maxQueued = 20'000; ///< requests held by one instance; bounds memory
    double workspaceFactor = 2; ///< a workspace may hold this many times the free space of the queue
    double kindFactor = 1; ///< the same for a kind of a workspace
    double callerFactor = 0.5; ///< the same for a caller of a kind
    Millis minRetryAfter{50};
    Millis maxRetryAfter{30'000};
};

struct FairQueueOptions
{
    Micros initialCost{20'000}; ///< assumed cost of a request of a kind before the first measurement
    double costSmoothing = 0.1; ///< weight of a new measurement in the moving average
    Micros urgentBurst{1'000'000}; ///< maximum saved credit of a workspace for urgent service
    Micros maxCorrection{2'000'000}; ///< limit of the advantage or disadvantage that cost corrections after the service may give a node
    double reservedFraction = 0.05; ///< slots that kinds at or above their share leave free, so that other kinds need not wait for one
    int lookAhead = 16; ///< number of callers searched for one below its share
    int maxIdleCallers = 4096; ///< callers without requests whose state is kept
};

/// Identity, location and tuning of a RequestScheduler.
struct RequestSchedulerOptions
{
    InstanceId instance; ///< own id
    FailureDomainId domain;
    RegionId region;
    int assumedSlots = 8; ///< of an executor before its first health answer
    ExecutorHealthOptions health;
    ExecutorLimitOptions limit;
    DemandOptions demand;
    RetryOptions retry;
    LinkBudgetOptions link;
    AdmissionOptions admission;
    FairQueueOptions queue;
};

/// Counts since the start, for metrics; queued and inFlight are present values.
struct RequestCounts
{
    std::int64_t queued = 0; ///< waiting for an executor or a retry
    std::int64_t inFlight = 0;
    std::int64_t accepted = 0;
    std::int64_t refused = 0; ///< by enqueue()
    std::int64_t dropped = 0; ///< while queued, because of the deadline
    std::int64_t dispatched = 0;
    std::int64_t retries = 0;
    std::int64_t retriesDenied = 0; ///< by the retry budget
    std::int64_t answered = 0;
    std::int64_t executorRefusals = 0;
    std::int64_t otherRegionDispatches = 0;
    std::int64_t otherRegionBytes = 0;
    std::int64_t linkDenied = 0; ///< dispatches delayed by the link budget
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
    double share = 0; ///< own share of the slots
};

}

#pragma once

/// State of RequestScheduler; internal to it.
///
/// @code
///   auto &queue = impl.queueOf(entry);   // the fair queue that a request belongs to
/// @endcode

#include "policy/admission.h"
#include "policy/demandshares.h"
#include "policy/executortable.h"
#include "policy/linkbudget.h"
#include "policy/requestscheduler.h"
#include "policy/retrybudget.h"

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>

#include <unordered_map>

namespace Catkin
{

namespace bi = boost::intrusive;

struct RequestByDrop;
struct RequestByRetry;
struct RequestByCaller;

/// A request in progress: queued, in flight or waiting for a retry.
struct RequestEntry : FairItem,
                      bi::set_base_hook<bi::tag<RequestByDrop>>,
                      bi::set_base_hook<bi::tag<RequestByRetry>>,
                      bi::list_base_hook<bi::tag<RequestByCaller>>
{
    NewRequest request;
    std::int64_t number = 0;
    KnownExecutor *executor = nullptr; ///< set while in flight
    MonoTime acceptedAt;
    MonoTime sentAt; ///< start of the last attempt
    MonoTime dropAt; ///< the request is dropped if it is not in flight at this time
    MonoTime retryAt;
    int attempts = 0;
    bool idempotent = false;
    bool spilled = false; ///< belongs to the spill queue, for executors of other regions
    bool mayHaveRun = false; ///< at least one attempt may have run
    bool cancelled = false; ///< while in flight, so it is not retried
    bool overShare = false; ///< its kind and caller already had their shares of the slots when the last attempt started
    bool awaitsRetryBudget = false; ///< the next attempt has not been charged to the retry budget yet
};

struct RequestDropKey
{
    using type = std::pair<std::int64_t, std::int64_t>;
    auto operator()(const RequestEntry &entry) const -> type
    {
        return {entry.dropAt.time_since_epoch().count(), entry.number};
    }
};

struct RequestRetryKey
{
    using type = std::pair<std::int64_t, std::int64_t>;
    auto operator()(const RequestEntry &entry) const -> type
    {
        return {entry.retryAt.time_since_epoch().count(), entry.number};
    }
};

using CallerRequests = bi::list<RequestEntry, bi::base_hook<bi::list_base_hook<bi::tag<RequestByCaller>>>>;

struct RequestScheduler::Impl
{
    Impl(RequestSchedulerOptions theOptions, std::uint64_t seed)
        : options(std::move(theOptions))
        , random(seed)
        , local(options.queue)
        , spill(options.queue)
        , table(options)
        , demand(options.demand)
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
            // Unlinks the item from its queue, since an item must not be destroyed while it is queued.
            if (entry->queued) {
                queueOf(*entry).remove(*entry);
            }
        }
    }
    Impl(const Impl &) = delete;
    auto operator=(const Impl &) -> Impl & = delete;
    Impl(Impl &&) = delete;
    auto operator=(Impl &&) -> Impl & = delete;

    auto queueOf(const RequestEntry &entry) -> FairQueue &
    {
        return entry.spilled ? spill : local;
    }
    auto push(RequestEntry &entry, bool first) -> void;
    auto unqueue(RequestEntry &entry) -> void;
    auto erase(RequestEntry &entry) -> void;
    auto dropDue(MonoTime now) -> std::optional<RequestDropped>;
    auto chooseLocal(const RequestEntry &entry, int leaveFree, MonoTime now) -> KnownExecutor *;
    auto dispatchLocal(MonoTime now) -> std::optional<RequestDispatch>;
    auto chooseRemote(const RequestEntry &entry, MonoTime now) -> KnownExecutor *;
    auto dispatch(RequestEntry &entry, KnownExecutor &executor, MonoTime now) -> RequestDispatch;
    auto idle(MonoTime now) -> RequestIdle;
    auto admitSpill(const NewRequest &request, AdmissionInput input, MonoTime now) -> bool;
    auto cancel(RequestEntry &entry) -> RequestCancelResult;
    auto divide(MonoTime now) -> void;
    auto divideEqually() -> void;

    RequestSchedulerOptions options;
    Random random;
    std::unordered_map<WorkspaceId, RequestWorkspace> workspaces;
    std::unordered_map<KindId, RequestKind> kinds;
    FairQueue local; ///< requests for the executors of the own region
    FairQueue spill; ///< requests for executors of other regions, because the own region could not meet the deadline
    std::int64_t spillBytes = 0; ///< sum of NewRequest::bytes in the spill queue
    ExecutorTable table;
    DemandMeter demand;
    std::unordered_map<std::string, std::vector<WorkspaceDemand>> peerDemands;
    std::unordered_map<std::uint32_t, double> weights; ///< configured, by workspaceKey()
    std::vector<std::string> instances; ///< fresh instances of the region including this one, sorted; empty when their names are not known
    std::vector<std::string> dividedInstances; ///< the instances that the present division is for; empty for an equal one
    DemandDivision division; ///< the present division
    std::optional<MonoTime> shortSince; ///< start of the time in which an equal division would leave workspaces short
    bool ownShareReduced = false; ///< the own share is below an equal one, because other instances see more of the entitled demand
    RetryBudget retries;
    LinkBudget link;
    std::unordered_map<std::int64_t, std::unique_ptr<RequestEntry>> entries;
    bi::set<RequestEntry, bi::base_hook<bi::set_base_hook<bi::tag<RequestByDrop>>>, bi::key_of_value<RequestDropKey>>
        byDrop; ///< requests that are not in flight
    bi::set<RequestEntry, bi::base_hook<bi::set_base_hook<bi::tag<RequestByRetry>>>, bi::key_of_value<RequestRetryKey>>
        byRetry; ///< requests that wait for a retry
    std::unordered_map<WorkspaceId, std::unordered_map<CallerId, CallerRequests>> callers;
    RequestCounts counts;
    std::int64_t lastNumber = 0;
};

}

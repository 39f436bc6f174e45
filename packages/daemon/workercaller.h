#pragma once

/// Makes a planner's calls to its workers: polls each worker when its poll is due, and sends orders, those to one worker one after the
/// other. One thread makes all calls, however many workers there are.
///
/// @code
///   auto caller = Catkin::WorkerCaller{orders, clock, handlers};
///   caller.setTargets({{id, address}});
///   caller.send(std::move(effects.starts));
///   caller.reconsider({id});               // its completions are stored now
///   caller.stop();
/// @endcode
///
/// A poll without an answer in time counts as failed, and its worker is tried again on another connection. The first connection stays open
/// for a while: on a congested path the answer arrives late, and new connections take even longer.
///
/// The handlers decide what is sent and take the answers; they are called on the thread of the calls and may lock, but not wait for the
/// network.

#include "policy/pollschedule.h"
#include "policy/poolcore.h"
#include "ports/workerorders.h"
#include "util/clock.h"

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Catkin
{

/// What an order carries beside the attempt.
struct OrderTerms
{
    WorkerTime leaseUntil; ///< end of the lease that a start order grants; 0 for a stop order
    std::int64_t token = 0; ///< fencing token
};

struct WorkerCallHandlers
{
    Millis lateAnswers{10'000}; ///< how long the answer to a poll can still be used
    std::function<bool()> mayOrder; ///< whether the planner's leadership is confirmed; without it nothing is sent
    /// @return nothing if the order must not be sent any more.
    std::function<std::optional<OrderTerms>(const PoolOrder &order)> prepare;
    std::function<void(const PoolOrder &order, const OrderAnswer &answer)> orderEnded;
    std::function<WorkerPollRequest(const WorkerId &id, MonoTime now)> nextPoll;
    /// @return whether a call with this token may have been overtaken by a later one of the same planner, so that a refusal shows no other planner.
    std::function<bool(const WorkerId &id, std::int64_t token)> isOvertaken;
    std::function<void(const WorkerId &id, const Result<WorkerPollReply> &reply, MonoTime sentAt)> pollEnded;
    std::function<PollPause(const WorkerId &id)> pauseOf; ///< asked after each answered poll and each answered order of a worker
    std::function<PollPause(const WorkerId &id)> pauseAfterFailure; ///< asked after each poll without an answer
};

class WorkerCaller
{
public:
    WorkerCaller(const WorkerOrders &orders, Clock clock, WorkerCallHandlers handlers);
    ~WorkerCaller();
    WorkerCaller(const WorkerCaller &) = delete;
    auto operator=(const WorkerCaller &) -> WorkerCaller & = delete;

    /// Sets which workers are polled, with their addresses. Any thread may call.
    auto setTargets(std::vector<std::pair<WorkerId, std::string>> targets) -> void;
    /// Queues orders. Any thread may call; orders of one call keep their order.
    auto send(std::vector<PoolOrder> orders) -> void;
    /// Reports that the pause before the next poll of these workers may have changed. Any thread may call.
    auto reconsider(std::vector<WorkerId> ids) -> void;
    /// Reports that the pauses of all workers may have changed. Any thread may call.
    auto reconsiderAll() -> void;

    /// Ends the thread; no handler is called afterwards. Orders under way may still be carried out.
    auto stop() -> void;

private:
    struct Poller
    {
        std::string address;
        WorkerChannel channel;
        std::uint64_t number = 0; ///< of the last poll on @c channel
        Millis margin{0}; ///< time for an answer beyond the wait at the worker
        std::optional<WorkerChannel> late; ///< has a poll that was not answered in time
        std::uint64_t lateNumber = 0; ///< of that poll
    };
    struct OrderLink
    {
        std::string address;
        WorkerChannel channel;
        std::deque<PoolOrder> queue;
        bool busy = false; ///< an order is under way, or waits for the leadership to be confirmed
        std::optional<MonoTime> heldSince; ///< since when orders wait for that
    };
    using LinkPtr = std::shared_ptr<OrderLink>;

    auto updatePollers(const std::vector<std::pair<WorkerId, std::string>> &targets) -> void;
    auto pollDue() -> void;
    auto wakeAt(MonoTime time) -> void;
    auto sendPoll(const WorkerId &id) -> void;
    struct SentPoll
    {
        WorkerId id;
        std::uint64_t number = 0;
        MonoTime sentAt;
        std::int64_t token = 0;
    };
    auto pollAnswered(const SentPoll &poll, const Result<WorkerPollReply> &reply) -> void;
    auto lateAnswered(const SentPoll &poll, const Result<WorkerPollReply> &reply) -> void;
    auto pollOverdue(const SentPoll &poll) -> void;
    auto pollFinished(const SentPoll &poll, const Result<WorkerPollReply> &reply) -> void;
    auto isOvertaken(const SentPoll &poll, const Result<WorkerPollReply> &reply) const -> bool;
    static auto closeLate(Poller &poller) -> void;
    auto linkTo(const PoolOrder &order) -> LinkPtr &;
    auto enqueue(PoolOrder order) -> void;
    auto sendNext(const LinkPtr &link) -> void;
    auto takeFirst(OrderLink &link) -> PoolOrder;
    auto holdBack(const LinkPtr &link) -> void;
    auto transmit(const LinkPtr &link, const PoolOrder &order, const OrderTerms &terms) -> void;
    auto orderEnded(const PoolOrder &order, const OrderAnswer &answer) -> void;

    Clock m_clock;
    WorkerCallHandlers m_handlers;
    WorkerCalls m_calls;
    std::atomic<bool> m_stopped{false};
    // All that follows belongs to the thread of the calls.
    PollSchedule m_schedule;
    std::map<WorkerId, Poller> m_pollers;
    std::uint64_t m_polls = 0; ///< number of the last poll
    std::map<WorkerId, LinkPtr> m_links;
    std::size_t m_queued = 0; ///< orders in the queues of all links
    MonoTime m_nextGroup; ///< no polls are sent before
    std::optional<MonoTime> m_wakeAt; ///< when pollDue() runs next; nothing if it is not scheduled
};

}

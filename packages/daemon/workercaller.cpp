#include "daemon/workercaller.h"

#include "util/logging.h"

#include <algorithm>

namespace Catkin
{

namespace
{

/// How long an order waits for the leadership to be confirmed again.
constexpr auto confirmPatience = Millis{1'500};
constexpr auto confirmPeriod = Millis{20};
/// Beyond the time that a worker may hold an answer back: the way there and back and a slow worker.
constexpr auto pollTimeoutMargin = Millis{900};
/// Polls sent before answers are taken again, so that a takeover neither chokes the link nor runs into its own timeouts.
constexpr auto pollGroup = std::size_t{64};
/// Between two groups of polls, and at least between two looks at the schedule.
constexpr auto groupPause = Millis{10};
/// About one placement of every task that the design size has.
constexpr auto maxQueuedOrders = std::size_t{20'000};

}

WorkerCaller::WorkerCaller(const WorkerOrders &orders, Clock clock, WorkerCallHandlers handlers)
    : m_clock(std::move(clock))
    , m_handlers(std::move(handlers))
    , m_calls(orders.begin())
{
}

WorkerCaller::~WorkerCaller()
{
    stop();
}

auto WorkerCaller::stop() -> void
{
    if (!m_stopped.exchange(true)) {
        m_calls.stop();
    }
}

auto WorkerCaller::setTargets(std::vector<std::pair<WorkerId, std::string>> targets) -> void
{
    m_calls.post([this, targets = std::move(targets)] { updatePollers(targets); });
}

auto WorkerCaller::send(std::vector<PoolOrder> orders) -> void
{
    if (orders.empty()) {
        return;
    }
    m_calls.post([this, orders = std::move(orders)] {
        for (const auto &it : orders) {
            enqueue(it);
        }
    });
}

auto WorkerCaller::reconsider(std::vector<WorkerId> ids) -> void
{
    if (ids.empty()) {
        return;
    }
    m_calls.post([this, ids = std::move(ids)] {
        for (const auto &it : ids) {
            m_schedule.reconsider(it, m_handlers.pauseOf(it));
        }
        pollDue();
    });
}

auto WorkerCaller::reconsiderAll() -> void
{
    m_calls.post([this] {
        for (const auto &[id, it] : m_pollers) {
            m_schedule.reconsider(id, m_handlers.pauseOf(id));
        }
        pollDue();
    });
}

auto WorkerCaller::updatePollers(const std::vector<std::pair<WorkerId, std::string>> &targets) -> void
{
    const auto wanted = std::map<WorkerId, std::string>(targets.begin(), targets.end());
    std::erase_if(m_pollers, [&](auto &it) {
        const auto target = wanted.find(it.first);
        const auto stays = target != wanted.end() && target->second == it.second.address;
        if (!stays) {
            it.second.channel.close();
            m_schedule.remove(it.first);
        }
        return !stays;
    });
    std::erase_if(m_links, [&](const auto &it) { return !wanted.contains(it.first) && !it.second->busy; });
    const auto now = m_clock.mono();
    for (const auto &[id, address] : wanted) {
        if (!m_pollers.contains(id)) {
            m_pollers[id] = {.address = address, .channel = m_calls.open({.id = id, .address = address})};
            m_schedule.add(id, now);
        }
    }
    pollDue();
}

auto WorkerCaller::pollDue() -> void
{
    const auto now = m_clock.mono();
    const auto due = m_schedule.nextDue();
    if (!due) {
        return;
    }
    if (*due > now) {
        wakeAt(*due);
        return;
    }
    if (now < m_nextGroup) {
        wakeAt(m_nextGroup);
        return;
    }
    if (!m_handlers.mayOrder()) {
        wakeAt(now + confirmPeriod);
        return;
    }
    const auto group = m_schedule.takeDue(now, pollGroup);
    if (group.size() == pollGroup) {
        m_nextGroup = now + groupPause;
    }
    for (const auto &it : group) {
        sendPoll(it);
    }
    if (const auto next = m_schedule.nextDue()) {
        wakeAt(*next);
    }
}

/// Tasks of the calls cannot be withdrawn, so that one that comes too early only looks again.
auto WorkerCaller::wakeAt(MonoTime time) -> void
{
    const auto now = m_clock.mono();
    const auto at = std::max(time, now + groupPause);
    if (m_wakeAt && *m_wakeAt <= at) {
        return;
    }
    m_wakeAt = at;
    m_calls.postAfter(std::chrono::ceil<Millis>(at - now), [this, at] {
        if (m_wakeAt == at) {
            m_wakeAt.reset();
            pollDue();
        }
    });
}

auto WorkerCaller::sendPoll(const WorkerId &id) -> void
{
    const auto sentAt = m_clock.mono();
    auto request = m_handlers.nextPoll(id, sentAt);
    request.token = m_handlers.token;
    const auto &channel = m_pollers.at(id).channel;
    channel.poll(request, request.wait + pollTimeoutMargin, [this, id, sentAt](const Result<WorkerPollReply> &reply) { pollAnswered(id, reply, sentAt); });
}

auto WorkerCaller::pollAnswered(const WorkerId &id, const Result<WorkerPollReply> &reply, MonoTime sentAt) -> void
{
    m_handlers.pollEnded(id, reply, sentAt);
    m_schedule.ended(id, reply ? m_handlers.pauseOf(id) : PollPause::AfterFailure, m_clock.mono());
    pollDue();
}

auto WorkerCaller::linkTo(const PoolOrder &order) -> LinkPtr &
{
    auto &link = m_links[order.worker];
    if (!link || link->address != order.address) {
        link = std::make_shared<OrderLink>();
        link->address = order.address;
        link->channel = m_calls.open({.id = order.worker, .address = order.address});
    }
    return link;
}

auto WorkerCaller::enqueue(PoolOrder order) -> void
{
    if (m_queued >= maxQueuedOrders) {
        logEvent(LogLevel::Error, 6009, "order queue is full; job=" + order.task.job.str() + " worker=" + order.worker.str());
        m_handlers.orderEnded(order, OrderOutcome::NotSent);
        return;
    }
    const auto link = linkTo(order);
    enqueueOrder(link->queue, std::move(order));
    ++m_queued;
    if (!link->busy) {
        sendNext(link);
    }
}

auto WorkerCaller::sendNext(const LinkPtr &link) -> void
{
    link->busy = true;
    while (!link->queue.empty()) {
        if (!m_handlers.mayOrder()) {
            holdBack(link);
            return;
        }
        link->heldSince.reset();
        const auto order = takeFirst(*link);
        // The job may have been cancelled, its room given away, or the attempt may have ended since the order was queued.
        if (const auto lease = m_handlers.prepare(order)) {
            transmit(link, order, *lease);
            return;
        }
        orderEnded(order, OrderOutcome::NotSent);
    }
    link->busy = false;
}

auto WorkerCaller::takeFirst(OrderLink &link) -> PoolOrder
{
    auto order = std::move(link.queue.front());
    link.queue.pop_front();
    --m_queued;
    return order;
}

/// Keeps the orders of a link for a while until the leadership is confirmed.
auto WorkerCaller::holdBack(const LinkPtr &link) -> void
{
    const auto now = m_clock.mono();
    link->heldSince = link->heldSince.value_or(now);
    if (now - *link->heldSince < confirmPatience) {
        m_calls.postAfter(confirmPeriod, [this, link] { sendNext(link); });
        return;
    }
    link->heldSince.reset();
    while (!link->queue.empty()) {
        orderEnded(takeFirst(*link), OrderOutcome::NotSent);
    }
    link->busy = false;
}

auto WorkerCaller::transmit(const LinkPtr &link, const PoolOrder &order, WorkerTime lease) -> void
{
    const auto done = [this, link, order](const OrderAnswer &answer) {
        orderEnded(order, answer.outcome);
        sendNext(link);
    };
    if (order.kind == PoolOrder::Kind::Stop) {
        link->channel.stop({.task = order.task, .attempt = order.attempt, .token = m_handlers.token}, order.answerTimeout, done);
        return;
    }
    link->channel.start({.task = order.task,
                         .attempt = order.attempt,
                         .payload = order.payload,
                         .leaseUntil = lease,
                         .token = m_handlers.token,
                         .checkpoint = order.checkpoint},
                        order.answerTimeout,
                        done);
}

auto WorkerCaller::orderEnded(const PoolOrder &order, OrderOutcome outcome) -> void
{
    m_handlers.orderEnded(order, outcome);
    m_schedule.reconsider(order.worker, m_handlers.pauseOf(order.worker));
    pollDue();
}

}

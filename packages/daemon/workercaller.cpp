#include "daemon/workercaller.h"

#include "util/logging.h"

#include <algorithm>
#include <utility>

namespace Catkin
{

namespace
{

/// How long an order waits for the leadership to be confirmed again.
constexpr auto confirmPatience = Millis{1'500};
constexpr auto confirmPeriod = Millis{20};
/// Beyond the time that a worker may hold an answer back: the way there and back and a slow worker.
constexpr auto pollTimeoutMargin = Millis{900};
/// The same for brief polls: a few round trips between regions. A poll that waits for a machine which is away finds its next lifetime late.
constexpr auto briefTimeoutMargin = Millis{100};
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
    for (auto it = m_pollers.begin(); it != m_pollers.end();) {
        const auto target = wanted.find(it->first);
        if (target != wanted.end() && target->second == it->second.address) {
            ++it;
            continue;
        }
        it->second.channel.close();
        closeLate(it->second);
        m_schedule.remove(it->first);
        it = m_pollers.erase(it);
    }
    std::erase_if(m_links, [&](const auto &it) { return !wanted.contains(it.first) && !it.second->busy; });
    const auto now = m_clock.mono();
    for (const auto &[id, address] : wanted) {
        if (!m_pollers.contains(id)) {
            m_pollers[id] = {.address = address, .channel = m_calls.open({.id = id, .address = address}), .margin = pollTimeoutMargin};
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
    auto &poller = m_pollers.at(id);
    const auto sentAt = m_clock.mono();
    auto request = m_handlers.nextPoll(id, sentAt);
    if (poller.margin > pollTimeoutMargin) {
        request.wait = Millis{0}; // on a slow path the wait would delay the renewal of the lease even more
    }
    const auto poll = SentPoll{.id = id, .number = ++m_polls, .sentAt = sentAt, .token = request.token};
    poller.number = poll.number;
    poller.channel.poll(request, request.wait + std::max(m_handlers.lateAnswers, poller.margin), [this, poll](const Result<WorkerPollReply> &reply) {
        pollAnswered(poll, reply);
    });
    const auto margin = request.isBrief ? std::min(briefTimeoutMargin, poller.margin) : poller.margin;
    m_calls.postAfter(request.wait + margin, [this, poll] { pollOverdue(poll); });
}

auto WorkerCaller::pollAnswered(const SentPoll &poll, const Result<WorkerPollReply> &reply) -> void
{
    const auto it = m_pollers.find(poll.id);
    if (it == m_pollers.end()) {
        return;
    }
    auto &poller = it->second;
    if (poller.late && poller.lateNumber == poll.number) {
        lateAnswered(poll, reply);
    } else if (poller.number == poll.number) {
        poller.number = 0;
        if (reply) {
            closeLate(poller); // its answer would be older
            if (m_clock.mono() - poll.sentAt <= pollTimeoutMargin) {
                poller.margin = pollTimeoutMargin;
            }
        }
        pollFinished(poll, reply);
    }
}

/// The connection of a late answer replaces the one that was opened meanwhile.
auto WorkerCaller::lateAnswered(const SentPoll &poll, const Result<WorkerPollReply> &reply) -> void
{
    auto &poller = m_pollers.at(poll.id);
    if (!reply) {
        closeLate(poller);
        const auto showsOther = reply.error().code == ErrorCode::StaleGeneration || reply.error().code == ErrorCode::NotFound;
        if (showsOther && !isOvertaken(poll, reply)) {
            m_handlers.pollEnded(poll.id, reply, poll.sentAt);
        }
        return;
    }
    poller.channel.close();
    poller.channel = *std::exchange(poller.late, std::nullopt);
    poller.number = 0;
    const auto took = std::chrono::ceil<Millis>(m_clock.mono() - poll.sentAt);
    poller.margin = std::clamp(took, pollTimeoutMargin, std::max(pollTimeoutMargin, m_handlers.lateAnswers / 2));
    pollFinished(poll, reply);
}

auto WorkerCaller::pollOverdue(const SentPoll &poll) -> void
{
    const auto it = m_pollers.find(poll.id);
    if (it == m_pollers.end() || it->second.number != poll.number) {
        return;
    }
    auto &poller = it->second;
    poller.number = 0;
    if (poller.late) {
        poller.channel.close();
    } else {
        poller.late = std::exchange(poller.channel, m_calls.open({.id = poll.id, .address = poller.address}));
        poller.lateNumber = poll.number;
    }
    pollFinished(poll, failure(ErrorCode::Timeout, "no complete answer in time"));
}

auto WorkerCaller::closeLate(Poller &poller) -> void
{
    if (poller.late) {
        poller.late->close();
        poller.late.reset();
    }
}

/// @return whether the worker has refused the poll because of a later call of this planner.
auto WorkerCaller::isOvertaken(const SentPoll &poll, const Result<WorkerPollReply> &reply) const -> bool
{
    return !reply && reply.error().code == ErrorCode::StaleGeneration && m_handlers.isOvertaken(poll.id, poll.token);
}

auto WorkerCaller::pollFinished(const SentPoll &poll, const Result<WorkerPollReply> &reply) -> void
{
    if (isOvertaken(poll, reply)) {
        m_schedule.ended(poll.id, PollPause::None, m_clock.mono());
        pollDue();
        return;
    }
    m_handlers.pollEnded(poll.id, reply, poll.sentAt);
    m_schedule.ended(poll.id, reply ? m_handlers.pauseOf(poll.id) : m_handlers.pauseAfterFailure(poll.id), m_clock.mono());
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
        m_handlers.orderEnded(order, {.outcome = OrderOutcome::NotSent});
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
        if (const auto terms = m_handlers.prepare(order)) {
            transmit(link, order, *terms);
            return;
        }
        orderEnded(order, {.outcome = OrderOutcome::NotSent});
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
        orderEnded(takeFirst(*link), {.outcome = OrderOutcome::NotSent});
    }
    link->busy = false;
}

auto WorkerCaller::transmit(const LinkPtr &link, const PoolOrder &order, const OrderTerms &terms) -> void
{
    const auto done = [this, link, order, token = terms.token](OrderAnswer answer) {
        if (answer.outcome == OrderOutcome::Fenced && m_handlers.isOvertaken(order.worker, token)) {
            answer.outcome = OrderOutcome::NotSent; // the worker has done nothing
        }
        orderEnded(order, answer);
        sendNext(link);
    };
    if (order.kind == PoolOrder::Kind::Stop) {
        link->channel.stop({.task = order.task, .attempt = order.attempt, .token = terms.token}, order.answerTimeout, done);
        return;
    }
    link->channel.start({.task = order.task,
                         .attempt = order.attempt,
                         .payload = order.payload,
                         .leaseUntil = terms.leaseUntil,
                         .token = terms.token,
                         .checkpoint = order.checkpoint},
                        order.answerTimeout,
                        done);
}

auto WorkerCaller::orderEnded(const PoolOrder &order, const OrderAnswer &answer) -> void
{
    m_handlers.orderEnded(order, answer);
    m_schedule.reconsider(order.worker, m_handlers.pauseOf(order.worker));
    pollDue();
}

}

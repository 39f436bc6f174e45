#include "daemon/poolterm.h"

#include "util/logging.h"
#include "util/threadname.h"

/// A term's calls to workers: orders, one after the other for each worker, and looks.

namespace Catkin
{

namespace
{

/// How long an order waits for the leadership to be confirmed again.
constexpr auto orderPatience = Millis{1'500};
constexpr auto orderPoll = Millis{20};
/// Beyond the time that a worker may hold an answer back: the way there and back and a slow worker.
constexpr auto pollTimeoutMargin = Millis{900};
/// An idle worker is looked at this often, to keep the estimate of its clock.
constexpr auto idlePollInterval = Millis{5'000};
constexpr auto pollRetryDelay = Millis{200};
/// How long a poller waits for its ends to be on record before it looks again.
constexpr auto recordPatience = Millis{1'000};

}

/// The caller holds m_mutex.
auto PoolTerm::linkTo(const PoolOrder &order) -> std::shared_ptr<OrderLink> &
{
    auto &link = m_links[order.worker];
    if (!link || link->address != order.address) {
        link = std::make_shared<OrderLink>();
        link->address = order.address;
        link->channel = m_ports.orders.open({.id = order.worker, .address = order.address});
    }
    return link;
}

/// Orders to one worker go out one after the other, so that a silent worker holds up one thread and no other worker.
auto PoolTerm::dispatch(const PoolOrder &order) -> void
{
    const auto lock = std::lock_guard{m_mutex};
    auto &link = linkTo(order);
    enqueueOrder(link->queue, order);
    if (link->busy) {
        return;
    }
    link->busy = m_orderPool->post([this, link] { sendQueued(link); });
    if (!link->busy) {
        logEvent(LogLevel::Error, 6009, "order queue is full; job=" + order.task.job.str() + " worker=" + order.worker.str());
        for (const auto &it : std::exchange(link->queue, {})) {
            m_core.applyOrder(it, OrderOutcome::NotSent, m_clock.mono());
        }
    }
}

auto PoolTerm::sendQueued(const std::shared_ptr<OrderLink> &link) -> void
{
    while (true) {
        auto order = PoolOrder{};
        {
            const auto lock = std::lock_guard{m_mutex};
            if (link->queue.empty()) {
                link->busy = false;
                return;
            }
            order = std::move(link->queue.front());
            link->queue.pop_front();
        }
        sendOrder(order, *link);
    }
}

auto PoolTerm::outcomeOf(const PoolOrder &order, OrderLink &link) -> OrderOutcome
{
    auto lease = WorkerTime{};
    {
        const auto lock = std::lock_guard{m_mutex};
        // The job may have been cancelled, its room given away, or the attempt may have ended since the order was queued.
        if (!m_core.isCurrent(order)) {
            return OrderOutcome::NotSent;
        }
        if (order.kind == PoolOrder::Kind::Start) {
            lease = m_core.leaseFor(order.worker, m_clock.mono());
        }
    }
    if (order.kind == PoolOrder::Kind::Stop) {
        return link.channel.stop({.task = order.task, .attempt = order.attempt, .token = m_options.epoch}, order.answerTimeout).outcome;
    }
    if (lease.value == 0) {
        return OrderOutcome::NotSent;
    }
    return link.channel
        .start({.task = order.task,
                .attempt = order.attempt,
                .payload = order.payload,
                .leaseUntil = lease,
                .token = m_options.epoch,
                .checkpoint = order.checkpoint},
               order.answerTimeout)
        .outcome;
}

auto PoolTerm::sendOrder(const PoolOrder &order, OrderLink &link) -> void
{
    auto outcome = OrderOutcome::NotSent;
    for (auto waited = Millis{0}; waited < orderPatience && !stopped() && !m_hooks.mayOrder(); waited += orderPoll) {
        std::this_thread::sleep_for(orderPoll);
    }
    if (!stopped() && m_hooks.mayOrder()) {
        outcome = outcomeOf(order, link);
    }
    if (outcome == OrderOutcome::Fenced) {
        m_hooks.fenced("a worker has seen a newer planner");
    }
    m_ports.metrics->workerOrder(outcome == OrderOutcome::Accepted         ? MetricOrderResult::Ok
                                 : outcome == OrderOutcome::Fenced         ? MetricOrderResult::Stale
                                 : outcome == OrderOutcome::OutcomeUnknown ? MetricOrderResult::Failed
                                                                           : MetricOrderResult::Refused);
    const auto lock = std::lock_guard{m_mutex};
    m_core.applyOrder(order, outcome, m_clock.mono());
    m_progress.notify_all();
    if (outcome != OrderOutcome::Accepted) {
        m_dirty = true;
        m_wake.notify_all();
    }
}

auto PoolTerm::updatePollers() -> void
{
    auto targets = std::map<WorkerId, std::string>{};
    {
        const auto lock = std::lock_guard{m_mutex};
        for (const auto &[id, address] : m_core.pollTargets()) {
            targets[id] = address;
        }
        std::erase_if(m_links, [&](const auto &it) { return !targets.contains(it.first); });
    }
    for (auto it = m_pollers.begin(); it != m_pollers.end();) {
        const auto target = targets.find((*it)->id);
        if (target != targets.end() && target->second == (*it)->address) {
            targets.erase(target);
            ++it;
            continue;
        }
        (*it)->stopping = true;
        (*it)->channel.interrupt();
        m_retired.splice(m_retired.end(), m_pollers, it++);
    }
    for (const auto &[id, address] : targets) {
        auto &poller = *m_pollers.emplace_back(std::make_unique<WorkerPoller>());
        poller.id = id;
        poller.address = address;
        poller.channel = m_ports.orders.open({.id = id, .address = address});
        poller.thread = std::thread([this, &poller] { pollerLoop(poller); });
    }
}

auto PoolTerm::pollerLoop(WorkerPoller &poller) -> void
{
    nameThread("worker-poller");
    while (!poller.stopping && !stopped()) {
        if (!m_hooks.mayOrder()) {
            std::this_thread::sleep_for(orderPoll);
            continue;
        }
        pollOnce(poller);
        waitForWork(poller);
    }
}

auto PoolTerm::waitForWork(const WorkerPoller &poller) -> void
{
    auto lock = std::unique_lock{m_mutex};
    const auto ending = [&] { return m_stopping || poller.stopping.load(); };
    m_progress.wait_for(lock, recordPatience, [&] { return ending() || !m_core.hasUnrecordedCompletions(poller.id); });
    m_progress.wait_for(lock, idlePollInterval, [&] { return ending() || !m_core.isIdle(poller.id); });
}

auto PoolTerm::pollOnce(WorkerPoller &poller) -> void
{
    const auto sentAt = m_clock.mono();
    auto request = WorkerPollRequest{};
    {
        const auto lock = std::lock_guard{m_mutex};
        request = m_core.nextPoll(poller.id, sentAt).request;
    }
    request.token = m_options.epoch;
    const auto answer = poller.channel.poll(request, request.wait + pollTimeoutMargin);
    if (!answer && answer.error().code == ErrorCode::StaleGeneration) {
        m_hooks.fenced("a worker has seen a newer planner");
        return;
    }
    const auto now = m_clock.mono();
    auto lost = false;
    {
        const auto lock = std::lock_guard{m_mutex};
        if (answer) {
            if (m_core.applyPollReply(poller.id, answer.value(), sentAt, now)) {
                m_dirty = true;
                m_wake.notify_all();
            }
            return;
        }
        const auto worker = m_core.workers().find(poller.id);
        lost = worker != m_core.workers().end() && worker->second.reachable;
        m_core.pollFailed(poller.id);
    }
    if (lost && !poller.stopping && !stopped()) {
        logEvent(LogLevel::Warn, 6011, "worker=" + poller.id.str() + " address=" + poller.address + " does not answer: " + answer.error().message);
    }
    std::this_thread::sleep_for(pollRetryDelay);
}

}

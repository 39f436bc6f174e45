#include "daemon/poolterm.h"

#include "util/logging.h"

/// What a term's calls to workers carry, and what their answers change.

namespace Catkin
{

auto PoolTerm::callHandlers() -> WorkerCallHandlers
{
    return {
        .lateAnswers = m_options.pool.leaseDuration,
        .mayOrder = m_hooks.mayOrder,
        .prepare = [this](const PoolOrder &order) { return prepareOrder(order); },
        .orderEnded = [this](const PoolOrder &order, const OrderAnswer &answer) { orderEnded(order, answer); },
        .nextPoll =
            [this](const WorkerId &id, MonoTime now) {
                const auto lock = std::lock_guard{m_mutex};
                auto request = m_core.nextPoll(id, now).request;
                request.token = m_fence.tokenFor(id);
                return request;
            },
        .isOvertaken =
            [this](const WorkerId &id, std::int64_t token) {
                const auto lock = std::lock_guard{m_mutex};
                return m_fence.isOvertaken(id, token);
            },
        .pollEnded = [this](const WorkerId &id, const Result<WorkerPollReply> &reply, MonoTime sentAt) { pollEnded(id, reply, sentAt); },
        .pauseOf =
            [this](const WorkerId &id) {
                const auto lock = std::lock_guard{m_mutex};
                return m_core.pollPause(id);
            },
        .pauseAfterFailure =
            [this](const WorkerId &id) {
                const auto lock = std::lock_guard{m_mutex};
                return m_core.pollPauseAfterFailure(id, m_clock.mono());
            },
    };
}

auto PoolTerm::prepareOrder(const PoolOrder &order) -> std::optional<OrderTerms>
{
    const auto lock = std::lock_guard{m_mutex};
    // The order may have waited while the planner was occupied with a record.
    takeEvacuations(m_clock.mono());
    if (!m_core.isCurrent(order)) {
        return std::nullopt;
    }
    const auto token = m_fence.tokenFor(order.worker);
    if (order.kind == PoolOrder::Kind::Stop) {
        return OrderTerms{.token = token};
    }
    const auto lease = m_core.leaseFor(order.worker, m_clock.mono());
    return lease.value == 0 ? std::nullopt : std::optional{OrderTerms{.leaseUntil = lease, .token = token}};
}

auto PoolTerm::orderEnded(const PoolOrder &order, const OrderAnswer &answer) -> void
{
    const auto outcome = answer.outcome;
    if (outcome == OrderOutcome::Fenced) {
        m_hooks.fenced("a worker has seen a newer planner");
    }
    m_ports.metrics->workerOrder(outcome == OrderOutcome::Accepted         ? MetricOrderResult::Ok
                                 : outcome == OrderOutcome::Fenced         ? MetricOrderResult::Stale
                                 : outcome == OrderOutcome::OutcomeUnknown ? MetricOrderResult::Failed
                                                                           : MetricOrderResult::Refused);
    const auto lock = std::lock_guard{m_mutex};
    if (order.kind == PoolOrder::Kind::Start && outcome == OrderOutcome::OutcomeUnknown) {
        logEvent(LogLevel::Info,
                 6053,
                 describeAttempt(order.task, order.attempt) + " worker=" + order.worker.str()
                     + " start order without an answer token=" + std::to_string(m_fence.tokenFor(order.worker)));
        m_fence.startUnanswered(order.worker);
    }
    m_core.applyOrder(order, answer, m_clock.mono());
    if (outcome != OrderOutcome::Accepted) {
        m_dirty = true;
        m_wake.notify_all();
    }
}

auto PoolTerm::updateTargets() -> void
{
    auto targets = std::vector<std::pair<WorkerId, std::string>>{};
    {
        const auto lock = std::lock_guard{m_mutex};
        targets = m_core.pollTargets();
    }
    if (targets != m_targets) {
        m_targets = targets;
        m_caller->setTargets(std::move(targets));
    }
}

auto PoolTerm::pollEnded(const WorkerId &id, const Result<WorkerPollReply> &reply, MonoTime sentAt) -> void
{
    if (!reply && reply.error().code == ErrorCode::StaleGeneration) {
        m_hooks.fenced("a worker has seen a newer planner");
        return;
    }
    auto address = std::string{};
    {
        const auto lock = std::lock_guard{m_mutex};
        if (reply) {
            if (m_core.applyPollReply(id, reply.value(), sentAt, m_clock.mono())) {
                m_dirty = true;
                m_wake.notify_all();
            }
            if (m_core.withholdsFromAnswering()) {
                m_publish.notify_all();
            }
            return;
        }
        const auto worker = m_core.workers().find(id);
        if (worker != m_core.workers().end() && worker->second.reachable) {
            address = worker->second.info.address;
        }
        m_core.pollFailed(id);
        if (reply.error().code == ErrorCode::NotFound && m_core.otherWorkerAnswered(id, sentAt, m_clock.mono())) {
            m_dirty = true;
            m_wake.notify_all();
        }
    }
    if (!address.empty()) {
        logEvent(LogLevel::Warn, 6011, "worker=" + id.str() + " address=" + address + " does not answer: " + reply.error().message);
    }
}

}

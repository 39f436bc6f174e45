#include "daemon/poolterm.h"

#include "util/logging.h"

/// What a term's calls to workers carry, and what their answers change.

namespace Catkin
{

auto PoolTerm::callHandlers() -> WorkerCallHandlers
{
    return {
        .token = m_options.epoch,
        .lateAnswers = m_options.pool.leaseDuration,
        .mayOrder = m_hooks.mayOrder,
        .prepare = [this](const PoolOrder &order) { return prepareOrder(order); },
        .orderEnded = [this](const PoolOrder &order, const OrderAnswer &answer) { orderEnded(order, answer); },
        .nextPoll =
            [this](const WorkerId &id, MonoTime now) {
                const auto lock = std::lock_guard{m_mutex};
                return m_core.nextPoll(id, now).request;
            },
        .pollEnded = [this](const WorkerId &id, const Result<WorkerPollReply> &reply, MonoTime sentAt) { pollEnded(id, reply, sentAt); },
        .pauseOf =
            [this](const WorkerId &id) {
                const auto lock = std::lock_guard{m_mutex};
                return m_core.pollPause(id);
            },
    };
}

auto PoolTerm::prepareOrder(const PoolOrder &order) -> std::optional<WorkerTime>
{
    const auto lock = std::lock_guard{m_mutex};
    // The order may have waited while the planner was occupied with a record.
    takeEvacuations(m_clock.mono());
    if (!m_core.isCurrent(order)) {
        return std::nullopt;
    }
    if (order.kind == PoolOrder::Kind::Stop) {
        return WorkerTime{};
    }
    const auto lease = m_core.leaseFor(order.worker, m_clock.mono());
    return lease.value == 0 ? std::nullopt : std::optional{lease};
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
    }
    if (!address.empty()) {
        logEvent(LogLevel::Warn, 6011, "worker=" + id.str() + " address=" + address + " does not answer: " + reply.error().message);
    }
}

}

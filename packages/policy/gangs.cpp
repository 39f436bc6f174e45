#include "policy/gangs.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Catkin
{

namespace
{

/// A lease whose worker does not answer counts as over only after its time plus this percentage, because the worker's clock may
/// run slower.
constexpr auto clockDriftPercent = 5;

/// Lease time that is sent to end a lease early; it only needs to cover the worker's own scheduling delay.
constexpr auto cutShortTtl = Millis{100};

auto withClockDrift(Millis ttl) -> Millis
{
    return ttl + ttl * clockDriftPercent / 100;
}

}

auto outcomeName(GangOutcome outcome) -> const char *
{
    constexpr auto names = std::array{"succeeded", "failed", "stopped", "aborted", "lost"};
    return names[static_cast<std::size_t>(outcome)];
}

auto endLeaseOrders(const GangOptions &options, const LeaseId &lease, bool running, Micros asked) -> std::vector<WorkerOrder>
{
    if (!running) {
        return {{.op = OrderOp::Release, .lease = lease}};
    }
    auto orders = std::vector<WorkerOrder>{{.op = OrderOp::Stop, .lease = lease}};
    if (asked >= options.stopGrace) {
        orders.push_back({.op = OrderOp::Renew, .lease = lease, .ttl = cutShortTtl});
    }
    return orders;
}

GangTable::GangTable(const GangOptions &options)
    : m_options(options)
{
}

auto GangTable::leaseId(const JobId &job, int attempt, int member) -> LeaseId
{
    return LeaseId{job.str() + "/" + std::to_string(attempt) + "/" + std::to_string(member)};
}

auto GangTable::insert(GangSpec spec, GangPhase phase, MonoTime now) -> Gang &
{
    // A replaced gang of the same job may have used other workers, whose lists must not keep the job.
    if (const auto old = m_gangs.find(spec.job); old != m_gangs.end()) {
        for (const auto &it : old->second.members) {
            std::erase(m_jobsOnWorker[it.worker], spec.job);
        }
    }
    auto gang = Gang{};
    for (auto i = std::size_t{0}; i < spec.members.size(); ++i) {
        gang.members.push_back({
            .worker = spec.members[i].worker,
            .slots = spec.members[i].slots,
            .lease = leaseId(spec.job, spec.attempt, spec.indexes.empty() ? static_cast<int>(i) : spec.indexes[i]),
            .mayHoldUntil = now,
        });
        auto &jobs = m_jobsOnWorker[spec.members[i].worker];
        if (std::find(jobs.begin(), jobs.end(), spec.job) == jobs.end()) {
            jobs.push_back(spec.job);
        }
    }
    gang.spec = std::move(spec);
    gang.phase = phase;
    gang.phaseSince = now;
    gang.nextDue = now;
    const auto job = gang.spec.job;
    return m_gangs.insert_or_assign(job, std::move(gang)).first->second;
}

auto GangTable::start(GangSpec spec, MonoTime now) -> void
{
    insert(std::move(spec), GangPhase::Reserving, now);
}

auto GangTable::adopt(GangSpec spec, MonoTime now) -> void
{
    auto &gang = insert(std::move(spec), GangPhase::Recovering, now);
    // The earlier planner may have renewed each lease just before its end.
    for (auto &it : gang.members) {
        it.mayHoldUntil = now + m_options.orderTimeout + withClockDrift(m_options.runTtl);
    }
}

auto GangTable::attemptDecided(const JobId &job, int attempt, bool won, MonoTime now) -> void
{
    const auto it = m_gangs.find(job);
    if (it == m_gangs.end() || it->second.spec.attempt != attempt || it->second.phase != GangPhase::AwaitingAttempt) {
        return;
    }
    if (won) {
        it->second.attemptWon = true;
        enterPhase(it->second, GangPhase::Starting, now);
    } else {
        beginStop(it->second, GangOutcome::Aborted, "another attempt is on record", std::nullopt, now);
    }
}

auto GangTable::stop(const JobId &job, bool withCheckpoint, const std::string &reason, MonoTime now) -> void
{
    const auto it = m_gangs.find(job);
    if (it == m_gangs.end()) {
        return;
    }
    auto &gang = it->second;
    gang.stopRequested = true;
    if (gang.phase == GangPhase::Stopping || gang.phase == GangPhase::Checkpointing) {
        return;
    }
    if (withCheckpoint && gang.spec.checkpointable && gang.phase == GangPhase::Running) {
        gang.reason = reason;
        enterPhase(gang, GangPhase::Checkpointing, now);
        return;
    }
    beginStop(gang, GangOutcome::Stopped, reason, std::nullopt, now);
}

auto GangTable::enterPhase(Gang &gang, GangPhase phase, MonoTime now) -> void
{
    gang.phase = phase;
    gang.phaseSince = now;
    gang.nextDue = now;
    for (auto &it : gang.members) {
        it.lastOrder = {};
    }
}

auto GangTable::beginStop(Gang &gang, GangOutcome outcome, std::string reason, std::optional<WorkerId> failedWorker, MonoTime now) -> void
{
    gang.outcome = outcome;
    gang.reason = std::move(reason);
    gang.failedWorker = std::move(failedWorker);
    enterPhase(gang, GangPhase::Stopping, now);
}

auto GangTable::busy(const WorkerId &worker) const -> bool
{
    const auto it = m_links.find(worker);
    return it != m_links.end() && it->second.busy;
}

auto GangTable::unreachable(const WorkerId &worker) const -> bool
{
    const auto it = m_links.find(worker);
    return it != m_links.end() && it->second.failures >= m_options.missedPolls;
}

auto GangTable::contains(const JobId &job) const -> bool
{
    return m_gangs.contains(job);
}

auto GangTable::holds(const JobId &job, const WorkerId &worker, const LeaseId &lease) const -> bool
{
    const auto it = m_gangs.find(job);
    return it != m_gangs.end() && std::any_of(it->second.members.begin(), it->second.members.end(), [&](const Member &member) {
               return member.worker == worker && member.lease == lease;
           });
}

auto GangTable::phase(const JobId &job) const -> std::optional<GangPhase>
{
    const auto it = m_gangs.find(job);
    return it == m_gangs.end() ? std::nullopt : std::optional{it->second.phase};
}

auto GangTable::size() const -> std::size_t
{
    return m_gangs.size();
}

auto GangTable::recordFailure(const WorkerId &worker, MonoTime now) -> void
{
    ++m_links[worker].failures;
    const auto jobs = m_jobsOnWorker.find(worker);
    if (jobs == m_jobsOnWorker.end()) {
        return;
    }
    for (const auto &it : jobs->second) {
        m_gangs.at(it).nextDue = now;
    }
}

auto GangTable::ordersDone(const WorkerId &worker, const std::vector<WorkerOrder> &orders, const Result<OrdersReply> &reply, MonoTime now) -> void
{
    m_links[worker].busy = false;
    if (!reply) {
        recordFailure(worker, now);
        return;
    }
    m_links[worker].failures = 0;
    for (auto i = std::size_t{0}; i < orders.size(); ++i) {
        const auto &order = orders[i];
        if (order.op != OrderOp::Reserve || reply.value().results[i].ok) {
            continue;
        }
        const auto gang = m_gangs.find(order.job);
        if (gang != m_gangs.end() && gang->second.spec.attempt == order.attempt) {
            gang->second.members[static_cast<std::size_t>(order.member)].refused = true;
        }
    }
    observe(reply.value().status, now);
}

auto GangTable::pollStarted(const WorkerId &worker) -> void
{
    m_links[worker].busy = true;
}

auto GangTable::statusDone(const WorkerId &worker, const Result<WorkerStatus> &status, MonoTime now) -> void
{
    m_links[worker].busy = false;
    if (!status) {
        recordFailure(worker, now);
        return;
    }
    m_links[worker].failures = 0;
    observe(status.value(), now);
}

auto GangTable::observe(const WorkerStatus &status, MonoTime now) -> void
{
    const auto jobs = m_jobsOnWorker.find(status.worker);
    if (jobs == m_jobsOnWorker.end()) {
        return;
    }
    for (const auto &job : jobs->second) {
        auto &gang = m_gangs.at(job);
        for (auto &member : gang.members) {
            if (member.worker == status.worker) {
                observeMember(gang, member, status);
            }
        }
        gang.nextDue = now;
    }
}

auto GangTable::observeMember(Gang &gang, Member &member, const WorkerStatus &status) -> void
{
    const auto it = std::find_if(status.leases.begin(), status.leases.end(), [&](const WorkerLease &lease) { return lease.lease == member.lease; });
    if (it == status.leases.end()) {
        // Until the reservation has been seen, a missing lease only means that the order has not arrived yet.
        const auto wasHeld = member.state == MemberState::Reserved || member.state == MemberState::Running;
        if (wasHeld || gang.phase == GangPhase::Recovering || gang.phase == GangPhase::Stopping) {
            member.state = MemberState::Gone;
        }
        return;
    }
    member.started = member.started || it->started;
    member.checkpointed = member.checkpointed || it->checkpoint.has_value();
    member.exit = it->exit;
    switch (it->state) {
    case LeaseState::Reserved:
        member.state = MemberState::Reserved;
        break;
    case LeaseState::Running:
    case LeaseState::Checkpointing:
        member.state = MemberState::Running;
        break;
    case LeaseState::Ended:
        member.state = MemberState::Ended;
        break;
    }
}

auto GangTable::allMembers(const Gang &gang, MemberState state) const -> bool
{
    return std::all_of(gang.members.begin(), gang.members.end(), [&](const Member &it) { return it.state == state; });
}

auto GangTable::advanceReserving(Gang &gang, MonoTime now, GangStep &step) -> void
{
    for (const auto &it : gang.members) {
        if (it.refused) {
            beginStop(gang, GangOutcome::Aborted, "worker " + it.worker.str() + " refused the reservation", it.worker, now);
            return;
        }
        if (it.state == MemberState::Ended || it.state == MemberState::Gone || unreachable(it.worker)) {
            beginStop(gang, GangOutcome::Aborted, "worker " + it.worker.str() + " lost the reservation", it.worker, now);
            return;
        }
    }
    // Reserving and recording the attempt may each take a third of the reservation's lease time, so that no reservation
    // lapses before its start order arrives.
    if (now - gang.phaseSince > m_options.reserveTtl / 3) {
        beginStop(gang, GangOutcome::Aborted, "the reservations were not complete in time", std::nullopt, now);
        return;
    }
    if (gang.phase == GangPhase::AwaitingAttempt || !allMembers(gang, MemberState::Reserved)) {
        return;
    }
    if (gang.spec.needsAttemptRecord) {
        enterPhase(gang, GangPhase::AwaitingAttempt, now);
        step.events.push_back({.type = GangEventType::AttemptRecordNeeded, .job = gang.spec.job, .attempt = gang.spec.attempt});
    } else {
        enterPhase(gang, GangPhase::Starting, now);
    }
}

auto GangTable::confirmRunning(Gang &gang, MonoTime now, GangStep &step) -> void
{
    enterPhase(gang, GangPhase::Running, now);
    for (auto &it : gang.members) {
        it.lastRenewal = {};
    }
    if (!gang.startedReported) {
        gang.startedReported = true;
        step.events.push_back({.type = GangEventType::Started, .job = gang.spec.job, .attempt = gang.spec.attempt});
    }
}

auto GangTable::advanceStarting(Gang &gang, MonoTime now, GangStep &step) -> void
{
    auto confirmed = std::size_t{0};
    for (const auto &it : gang.members) {
        const auto endedWell = it.state == MemberState::Ended && it.exit == LeaseExit::Ok;
        if (it.state == MemberState::Running || endedWell) {
            ++confirmed;
            continue;
        }
        if (it.state == MemberState::Ended || it.state == MemberState::Gone || unreachable(it.worker)) {
            const auto taskFailed = it.exit == LeaseExit::Failed;
            beginStop(gang, taskFailed ? GangOutcome::Failed : GangOutcome::Lost, "worker " + it.worker.str() + " did not start its member", it.worker, now);
            return;
        }
    }
    if (confirmed == gang.members.size()) {
        confirmRunning(gang, now, step);
    } else if (now - gang.phaseSince >= m_options.probationTtl) {
        beginStop(gang, GangOutcome::Lost, "not every member started within the probation time", std::nullopt, now);
    }
}

auto GangTable::advanceRunning(Gang &gang, MonoTime now) -> void
{
    auto finished = std::size_t{0};
    for (const auto &it : gang.members) {
        if (it.state == MemberState::Ended && it.exit == LeaseExit::Ok) {
            ++finished;
        } else if (it.state == MemberState::Ended && it.exit == LeaseExit::Failed) {
            beginStop(gang, GangOutcome::Failed, "the task failed on worker " + it.worker.str(), it.worker, now);
            return;
        } else if (it.state == MemberState::Ended || it.state == MemberState::Gone) {
            beginStop(gang, GangOutcome::Lost, "worker " + it.worker.str() + " no longer runs its member", it.worker, now);
            return;
        } else if (unreachable(it.worker)) {
            beginStop(gang, GangOutcome::Lost, "worker " + it.worker.str() + " is unreachable", it.worker, now);
            return;
        }
    }
    if (finished == gang.members.size()) {
        beginStop(gang, GangOutcome::Succeeded, {}, std::nullopt, now);
        return;
    }
    if (gang.phase == GangPhase::Checkpointing) {
        const auto ready
            = std::all_of(gang.members.begin(), gang.members.end(), [](const Member &it) { return it.checkpointed || it.state == MemberState::Ended; });
        if (ready || now - gang.phaseSince >= m_options.checkpointBudget) {
            beginStop(gang, GangOutcome::Stopped, gang.reason, std::nullopt, now);
        }
    }
}

auto GangTable::advanceRecovering(Gang &gang, MonoTime now, GangStep &step) -> void
{
    auto running = std::size_t{0};
    auto finished = std::size_t{0};
    auto resolved = std::size_t{0};
    for (const auto &it : gang.members) {
        running += it.state == MemberState::Running ? 1 : 0;
        finished += it.state == MemberState::Ended && it.exit == LeaseExit::Ok ? 1 : 0;
        resolved += it.state == MemberState::Unknown && now < it.mayHoldUntil ? 0 : 1;
        const auto broken = it.state == MemberState::Reserved || it.state == MemberState::Gone || (it.state == MemberState::Ended && it.exit != LeaseExit::Ok);
        if (broken) {
            const auto taskFailed = it.exit == LeaseExit::Failed;
            beginStop(gang, taskFailed ? GangOutcome::Failed : GangOutcome::Lost, "the gang was incomplete at takeover", it.worker, now);
            return;
        }
    }
    if (running + finished == gang.members.size()) {
        confirmRunning(gang, now, step);
    } else if (resolved == gang.members.size()) {
        beginStop(gang, GangOutcome::Lost, "a member's worker stayed unreachable after takeover", std::nullopt, now);
    }
}

auto GangTable::finishedStopping(const Gang &gang, MonoTime now) const -> bool
{
    return std::all_of(gang.members.begin(), gang.members.end(), [&](const Member &it) {
        return it.state == MemberState::Ended || it.state == MemberState::Gone || now >= it.mayHoldUntil;
    });
}

auto GangTable::endEvent(const Gang &gang) const -> GangEvent
{
    auto event = GangEvent{.type = GangEventType::Ended, .job = gang.spec.job, .attempt = gang.spec.attempt};
    const auto &members = gang.members;
    const auto allOk = std::all_of(members.begin(), members.end(), [](const Member &it) { return it.exit == LeaseExit::Ok; });
    // Only an ended or refused lease proves that the task never began: a lease that vanished may belong to a worker that
    // rebooted after the task began.
    const auto neverStarted
        = std::all_of(members.begin(), members.end(), [](const Member &it) { return !it.started && (it.state == MemberState::Ended || it.refused); });
    const auto noStartSent = gang.phase == GangPhase::Stopping && !gang.startedReported && !gang.attemptWon && gang.outcome == GangOutcome::Aborted;
    event.outcome = gang.outcome;
    event.reason = gang.reason;
    event.failedWorker = gang.failedWorker;
    if (allOk) {
        event.outcome = GangOutcome::Succeeded;
        event.reason.clear();
        event.failedWorker.reset();
    } else if (neverStarted || noStartSent) {
        event.outcome = GangOutcome::Aborted;
    }
    event.checkpointed = std::all_of(members.begin(), members.end(), [](const Member &it) { return it.checkpointed; });
    return event;
}

auto GangTable::advance(Gang &gang, MonoTime now, GangStep &step) -> bool
{
    switch (gang.phase) {
    case GangPhase::Reserving:
    case GangPhase::AwaitingAttempt:
        advanceReserving(gang, now, step);
        break;
    case GangPhase::Starting:
        advanceStarting(gang, now, step);
        break;
    case GangPhase::Running:
    case GangPhase::Checkpointing:
        advanceRunning(gang, now);
        break;
    case GangPhase::Recovering:
        advanceRecovering(gang, now, step);
        break;
    case GangPhase::Stopping:
        break;
    }
    if (gang.phase == GangPhase::Stopping && finishedStopping(gang, now)) {
        step.events.push_back(endEvent(gang));
        return true;
    }
    return false;
}

auto GangTable::appendOrders(Gang &gang, std::size_t index, MonoTime now, std::vector<WorkerOrder> &batch) -> void
{
    auto &member = gang.members[index];
    const auto send = [&](WorkerOrder order) {
        order.lease = member.lease;
        if (order.ttl > Millis{0} && order.ttl != cutShortTtl) {
            member.mayHoldUntil = std::max(member.mayHoldUntil, now + m_options.orderTimeout + withClockDrift(order.ttl));
        }
        batch.push_back(std::move(order));
        member.lastOrder = now;
    };
    switch (gang.phase) {
    case GangPhase::Reserving:
        if (member.state == MemberState::Unknown && !member.refused) {
            send({.op = OrderOp::Reserve,
                  .job = gang.spec.job,
                  .attempt = gang.spec.attempt,
                  .member = static_cast<int>(index),
                  .slots = member.slots,
                  .ttl = m_options.reserveTtl,
                  .payload = gang.spec.payload});
        }
        break;
    case GangPhase::Starting:
        if (member.state == MemberState::Reserved) {
            send({.op = OrderOp::Start, .ttl = m_options.probationTtl});
        }
        break;
    case GangPhase::Running:
    case GangPhase::Checkpointing:
        if (member.state != MemberState::Running) {
            break;
        }
        if (now - member.lastRenewal >= m_options.renewPeriod) {
            member.lastRenewal = now;
            send({.op = OrderOp::Renew, .ttl = m_options.runTtl});
        }
        if (gang.phase == GangPhase::Checkpointing && !member.checkpointed) {
            send({.op = OrderOp::Checkpoint});
        }
        break;
    case GangPhase::Stopping:
        if (member.state != MemberState::Ended && member.state != MemberState::Gone) {
            for (auto &it : endLeaseOrders(m_options, member.lease, member.state == MemberState::Running, now - gang.phaseSince)) {
                send(std::move(it));
            }
        }
        break;
    case GangPhase::AwaitingAttempt:
    case GangPhase::Recovering:
        break;
    }
}

auto GangTable::emitOrders(Gang &gang, MonoTime now, GangStep &step) -> void
{
    auto due = now + m_options.renewPeriod;
    for (auto i = std::size_t{0}; i < gang.members.size(); ++i) {
        auto &member = gang.members[i];
        const auto renewalNotDue = gang.phase == GangPhase::Running && now - member.lastRenewal < m_options.renewPeriod;
        if (renewalNotDue) {
            due = std::min(due, member.lastRenewal + m_options.renewPeriod);
            continue;
        }
        due = std::min(due, now + m_options.resendPeriod);
        const auto available = !busy(member.worker) || step.orders.contains(member.worker);
        if (!available || now - member.lastOrder < m_options.resendPeriod) {
            continue;
        }
        auto batch = std::vector<WorkerOrder>{};
        appendOrders(gang, i, now, batch);
        if (!batch.empty()) {
            m_links[member.worker].busy = true;
            auto &orders = step.orders[member.worker];
            orders.insert(orders.end(), std::make_move_iterator(batch.begin()), std::make_move_iterator(batch.end()));
        }
    }
    gang.nextDue = due;
}

/// A batch that renews one lease on a worker renews all confirmed leases there. Otherwise gangs that started at different
/// times would need an exchange each per renewal period.
auto GangTable::mergeRenewals(MonoTime now, GangStep &step) -> void
{
    for (auto &[worker, orders] : step.orders) {
        const auto renews
            = std::any_of(orders.begin(), orders.end(), [&](const WorkerOrder &it) { return it.op == OrderOp::Renew && it.ttl == m_options.runTtl; });
        if (!renews) {
            continue;
        }
        for (const auto &job : m_jobsOnWorker[worker]) {
            auto &gang = m_gangs.at(job);
            for (auto &member : gang.members) {
                const auto due = gang.phase == GangPhase::Running && member.worker == worker && member.state == MemberState::Running;
                if (!due || member.lastRenewal == now) {
                    continue;
                }
                member.lastRenewal = now;
                member.lastOrder = now;
                member.mayHoldUntil = std::max(member.mayHoldUntil, now + m_options.orderTimeout + withClockDrift(m_options.runTtl));
                orders.push_back({.op = OrderOp::Renew, .lease = member.lease, .ttl = m_options.runTtl});
            }
        }
    }
}

auto GangTable::tick(MonoTime now) -> GangStep
{
    auto step = GangStep{};
    for (auto it = m_gangs.begin(); it != m_gangs.end();) {
        auto &gang = it->second;
        if (now < gang.nextDue) {
            ++it;
            continue;
        }
        if (!advance(gang, now, step)) {
            emitOrders(gang, now, step);
            ++it;
            continue;
        }
        for (const auto &member : gang.members) {
            auto &jobs = m_jobsOnWorker[member.worker];
            std::erase(jobs, it->first);
        }
        it = m_gangs.erase(it);
    }
    mergeRenewals(now, step);
    return step;
}

}

#include "daemon/domainplanner.h"

#include "daemon/plannerview.h"
#include "util/logging.h"

#include <algorithm>
#include <span>
#include <utility>

namespace Catkin
{

namespace
{

/// The planner looks at its gangs at least this often.
constexpr auto stepPeriod = Millis{50};

}

DomainPlanner::DomainPlanner(FailureDomainId domain, PlannerContext context)
    : m_domain(std::move(domain))
    , m_context(std::move(context))
    , m_scheduler(m_context.options.scheduler)
    , m_gangs(m_context.options.gangs)
    , m_since(m_context.clock.mono())
    , m_claimAfter(m_since)
{
}

auto DomainPlanner::post(std::function<void()> call, bool urgent) -> void
{
    {
        const auto lock = std::lock_guard{m_inboxMutex};
        m_inbox.push_back(std::move(call));
    }
    if (urgent) {
        m_context.wake();
    }
}

auto DomainPlanner::runInbox() -> void
{
    auto calls = std::deque<std::function<void()>>{};
    {
        const auto lock = std::lock_guard{m_inboxMutex};
        calls.swap(m_inbox);
    }
    for (auto &it : calls) {
        it();
    }
}

auto DomainPlanner::setWorkers(const std::vector<ListedInstance> &workers) -> void
{
    const auto now = m_context.clock.mono();
    auto listed = std::set<WorkerId>{};
    for (const auto &it : workers) {
        const auto id = WorkerId{it.id};
        listed.insert(id);
        m_workers[id].listed = it;
        syncWorker(id, now);
    }
    for (auto it = m_workers.begin(); it != m_workers.end();) {
        const auto gone = !listed.contains(it->first) && m_gangs.unreachable(it->first) && !m_gangs.busy(it->first);
        // The scheduler keeps the slots of gangs that are still ending.
        if (gone) {
            (void)m_scheduler.workerLost(it->first);
            it = m_workers.erase(it);
        } else {
            ++it;
        }
    }
}

auto DomainPlanner::setConfig(const ActiveConfig &config) -> void
{
    m_scheduler.configure(schedulerConfig(config.document, m_domain));
}

auto DomainPlanner::jobsChanged() -> void
{
    m_jobsChanged = true;
}

auto DomainPlanner::generation() const -> const Generation &
{
    return m_generation;
}

auto DomainPlanner::claimed() const -> bool
{
    return m_claimed;
}

auto DomainPlanner::syncWorker(const WorkerId &id, MonoTime now) -> void
{
    const auto &worker = m_workers.at(id);
    if (!worker.status) {
        return;
    }
    const auto leaving = worker.status->leaving || worker.listed.leaving;
    const auto updated = m_scheduler.updateWorker(
        {
            .worker = id,
            .rack = worker.status->rack,
            .slots = worker.status->slots,
            .usable = !leaving && !m_gangs.unreachable(id),
        },
        now);
    if (!updated) {
        logEvent(LogLevel::Error, 2402, "worker " + id.str() + ": " + updated.error().message);
    }
}

auto DomainPlanner::noteStatus(const WorkerId &id, WorkerStatus status) -> void
{
    auto &worker = m_workers.at(id);
    worker.heard = true;
    worker.status = std::move(status);
    worker.answeredAt = m_context.clock.mono();
    worker.stale = false;
    if (m_claimed && worker.status->generation > m_generation) {
        noteStale(m_context.clock.mono());
    }
    syncWorker(id, m_context.clock.mono());
    checkLeases(id, m_context.clock.mono());
}

auto DomainPlanner::noteStale(MonoTime now) -> void
{
    // Whoever claimed the worker may be the rightful planner; the pause lets heartbeats settle who that is, and the
    // planner service drops this object if it is not this instance.
    if (m_claimed) {
        logEvent(LogLevel::Warn, 2403, "another planner has claimed a worker of " + m_domain.str() + "; claiming again after a pause");
        m_claimed = false;
        m_superseded = true;
        m_claimAfter = now + m_context.options.staleBackoff;
    }
}

auto DomainPlanner::superseded() const -> bool
{
    return m_superseded;
}

auto DomainPlanner::succeed(const DomainPlanner &superseded) -> void
{
    m_claimAfter = superseded.m_claimAfter;
    // A late record of an earlier try must not count for one with the same number.
    m_lastAttempt = superseded.m_lastAttempt;
}

auto DomainPlanner::claim(MonoTime now) -> void
{
    if (m_claimed || m_superseded || now < m_claimAfter) {
        return;
    }
    const auto reachedAny = std::any_of(m_workers.begin(), m_workers.end(), [](const auto &it) { return it.second.status.has_value(); });
    if (!reachedAny) {
        return;
    }
    if (!m_contact) {
        m_contact = now;
        if (now - m_since > m_context.options.claimWait) {
            m_claimAfter = now + m_context.options.reconnectWait;
            return;
        }
    }
    const auto heardAll = std::all_of(m_workers.begin(), m_workers.end(), [](const auto &it) { return it.second.heard; });
    if (!heardAll && now - m_since < m_context.options.claimWait) {
        return;
    }
    auto highest = std::int64_t{0};
    for (const auto &[id, it] : m_workers) {
        if (it.status) {
            highest = std::max(highest, it.status->generation.counter);
        }
    }
    m_generation = {.counter = highest + 1, .holder = m_context.options.instance.str()};
    m_claimed = true;
    logEvent(LogLevel::Info, 2401, "planning " + m_domain.str() + " with generation " + std::to_string(m_generation.counter));
    for (auto &[id, it] : m_workers) {
        it.claimDue = it.status.has_value();
        it.claimSent = false;
    }
}

auto DomainPlanner::sendClaims() -> void
{
    // An explicit claim fences the earlier planner also on workers that get no order for a while.
    for (auto &[id, it] : m_workers) {
        if (m_claimed && it.claimDue && !it.claimSent && !m_gangs.busy(id)) {
            it.claimSent = true;
            m_gangs.pollStarted(id);
            sendOrders(id, {WorkerOrder{.op = OrderOp::Claim}});
        }
    }
}

auto DomainPlanner::findGangs() const -> std::map<JobId, Found>
{
    auto attempts = std::map<JobId, std::map<int, Found>>{};
    for (const auto &[id, worker] : m_workers) {
        for (const auto &lease : worker.status && !worker.stale ? worker.status->leases : std::vector<WorkerLease>{}) {
            auto &found = attempts[lease.job][lease.attempt];
            found.attempt = lease.attempt;
            found.members[lease.member] = {.worker = id, .slots = lease.slots};
            found.live = found.live || lease.state != LeaseState::Ended;
        }
    }
    // The highest attempt that holds slots, else the one on record, else the highest.
    auto out = std::map<JobId, Found>{};
    for (auto &[id, byNumber] : attempts) {
        const auto live = std::find_if(byNumber.rbegin(), byNumber.rend(), [](const auto &it) { return it.second.live; });
        const auto job = m_context.jobs->find(id);
        const auto recorded = job ? byNumber.find(job->attempt) : byNumber.end();
        out[id] = live != byNumber.rend() ? live->second : recorded != byNumber.end() ? recorded->second : byNumber.rbegin()->second;
    }
    return out;
}

auto DomainPlanner::highestListed(const JobId &job) const -> int
{
    auto highest = 0;
    for (const auto &[id, worker] : m_workers) {
        for (const auto &lease : worker.status ? worker.status->leases : std::vector<WorkerLease>{}) {
            highest = lease.job == job ? std::max(highest, lease.attempt) : highest;
        }
    }
    return highest;
}

/// @return whether a worker runs an attempt of the job that this planner neither started nor took over, or ran one when it last answered
/// before the claim.
auto DomainPlanner::foreignAttemptRuns(const JobId &job) const -> bool
{
    const auto last = m_lastAttempt.find(job);
    const auto own = last == m_lastAttempt.end() ? 0 : last->second;
    return std::any_of(m_workers.begin(), m_workers.end(), [&](const auto &entry) {
        const auto &status = entry.second.status;
        const auto stale = entry.second.stale;
        return status && std::any_of(status->leases.begin(), status->leases.end(), [&](const WorkerLease &it) {
                   return it.job == job && (stale || it.attempt > own) && it.state != LeaseState::Ended;
               });
    });
}

/// @return whether a worker that has answered the claim lists a live lease of the job; of a silent worker only while the lease can last.
auto DomainPlanner::leaseLasts(const JobId &job, MonoTime now) const -> bool
{
    return std::any_of(m_workers.begin(), m_workers.end(), [&](const auto &entry) {
        const auto &worker = entry.second;
        return worker.status && !worker.stale && now - worker.answeredAt < longestLease()
               && std::any_of(worker.status->leases.begin(), worker.status->leases.end(), [&](const WorkerLease &it) {
                      return it.job == job && it.state != LeaseState::Ended;
                  });
    });
}

/// @return a time after which a lease that is not renewed is over on every worker.
auto DomainPlanner::longestLease() const -> Millis
{
    return m_context.options.gangs.runTtl + m_context.options.gangs.runTtl / 10;
}

/// @return the highest attempt of which every member is listed as ended with success.
auto DomainPlanner::succeededAttempt(const Job &job) const -> std::optional<int>
{
    auto members = std::map<int, std::set<int>>{};
    for (const auto &[id, worker] : m_workers) {
        for (const auto &lease : worker.status && !worker.stale ? std::span{worker.status->leases} : std::span<const WorkerLease>{}) {
            if (lease.job == job.spec.id && lease.state == LeaseState::Ended && lease.exit == LeaseExit::Ok) {
                members[lease.attempt].insert(lease.member);
            }
        }
    }
    const auto whole = [&](const auto &it) { return static_cast<int>(it.second.size()) == job.spec.tasks; };
    const auto it = std::find_if(members.rbegin(), members.rend(), whole);
    return it == members.rend() ? std::nullopt : std::optional{it->first};
}

auto DomainPlanner::settleSucceeded(const Job &job, int attempt) -> void
{
    m_context.jobs->record(JobRecord{JobFinishRecord{
        .job = job.spec.id,
        .attempt = successNumber(job, attempt),
        .result = JobResult::Succeeded,
        .ran = true,
        .checkpoint = job.checkpoint,
    }});
    m_jobsChanged = true;
}

auto DomainPlanner::settleLost(const Job &job) -> void
{
    // No worker holds a lease of the attempt any more, and whether its tasks did their work is not known.
    const auto result = job.cancelRequested ? JobResult::Cancelled : job.spec.restartable ? JobResult::Requeue : JobResult::Unknown;
    m_context.jobs->record(JobRecord{JobFinishRecord{
        .job = job.spec.id,
        .attempt = job.attempt,
        .result = result,
        .detail = "the attempt was lost together with its planner",
        .checkpoint = job.checkpoint,
    }});
    m_jobsChanged = true;
}

auto DomainPlanner::adoptJob(const Job &job, const Found *found, bool complete, MonoTime now) -> void
{
    const auto id = job.spec.id;
    const auto succeeded = found != nullptr && !found->live ? succeededAttempt(job) : std::nullopt;
    if (succeeded) {
        settleSucceeded(job, *succeeded);
        return;
    }
    const auto current = found != nullptr && found->attempt >= job.attempt && (found->live || found->attempt == job.attempt);
    const auto active = job.state == JobState::Starting || job.state == JobState::Running || job.state == JobState::Stopping;
    if (!current || (!found->live && !active)) {
        if (!active) {
            return;
        }
        if (complete) {
            settleLost(job);
        } else {
            m_unsettled.insert(id);
        }
        return;
    }
    const auto whole = static_cast<int>(found->members.size()) == job.spec.tasks;
    if (!whole && !complete) {
        m_unsettled.insert(id);
        return;
    }
    auto spec = GangSpec{.job = id, .attempt = found->attempt, .members = {}, .checkpointable = job.spec.checkpointable, .payload = job.spec.payload};
    auto placement = std::vector<MemberPlacement>{};
    for (const auto &[index, member] : found->members) {
        spec.members.push_back(member);
        spec.indexes.push_back(index);
        placement.push_back({.worker = member.worker, .slots = slotMask(member.slots)});
    }
    const auto adopted = m_scheduler.adopt(toScheduled(job.spec), placement, now);
    if (!adopted) {
        logEvent(LogLevel::Error, 2404, "job " + id.str() + " cannot be adopted: " + adopted.error().message);
    }
    m_lastAttempt[id] = found->attempt;
    m_gangs.adopt(std::move(spec), now);
    if (!whole) {
        m_gangs.stop(id, false, "the gang was incomplete at takeover", now);
    }
}

/// @return whether a live lease may stay: it belongs to a member of a known gang, or what becomes of its job is still open.
auto DomainPlanner::calledFor(const WorkerId &id, const WorkerLease &lease) -> bool
{
    if (m_gangs.contains(lease.job)) {
        return m_gangs.holds(lease.job, id, lease.lease);
    }
    const auto job = m_context.jobs->find(lease.job);
    if (!job || job->spec.domain != m_domain || isTerminal(job->state) || job->cancelRequested || lease.attempt < job->attempt) {
        return false;
    }
    if (m_unsettled.contains(lease.job)) {
        return !m_abandoned.contains(lease.job);
    }
    const auto last = m_lastAttempt.find(lease.job);
    if (last != m_lastAttempt.end() && lease.attempt <= last->second) {
        return false; // an attempt that has ended here
    }
    m_jobsChanged = true; // syncJob() leaves the job to adoptJob()
    return true;
}

auto DomainPlanner::checkLeases(const WorkerId &id, MonoTime now) -> void
{
    auto &worker = m_workers.at(id);
    if (!m_claimed || !m_adopted || !worker.status) {
        return;
    }
    auto ending = std::map<LeaseId, MonoTime>{};
    for (const auto &lease : worker.status->leases) {
        if (lease.state == LeaseState::Ended || calledFor(id, lease)) {
            continue;
        }
        const auto known = worker.ending.find(lease.lease);
        if (known == worker.ending.end()) {
            logEvent(LogLevel::Warn, 2405, "ending lease " + lease.lease.str() + " of no known gang on " + id.str());
            m_jobsChanged = true; // its job may wait in the queue
        }
        ending.emplace(lease.lease, known == worker.ending.end() ? now : known->second);
    }
    worker.ending = std::move(ending);
}

auto DomainPlanner::endLeases(const WorkerId &id, MonoTime now) -> void
{
    auto &worker = m_workers.at(id);
    auto orders = std::vector<WorkerOrder>{};
    for (const auto &lease : worker.status->leases) {
        const auto it = worker.ending.find(lease.lease);
        if (it != worker.ending.end()) {
            const auto own = endLeaseOrders(m_context.options.gangs, lease.lease, lease.state != LeaseState::Reserved, now - it->second);
            orders.insert(orders.end(), own.begin(), own.end());
        }
    }
    worker.lastPoll = now; // the reply carries the status
    worker.lastEnding = now;
    m_gangs.pollStarted(id);
    sendOrders(id, orders);
}

auto DomainPlanner::adoptGangs(MonoTime now) -> void
{
    if (!m_claimed || (m_adopted && m_unsettled.empty())) {
        return;
    }
    // Until a worker has answered the claim, an order of the earlier planner may still start a task there, which a status
    // read before the claim does not show.
    const auto claimDue = std::any_of(m_workers.begin(), m_workers.end(), [](const auto &it) { return it.second.claimDue; });
    if (!m_adopted && claimDue) {
        return;
    }
    const auto reachedAll = std::all_of(m_workers.begin(), m_workers.end(), [](const auto &it) { return it.second.status.has_value() && !it.second.stale; });
    const auto found = findGangs();
    if (!m_adopted) {
        m_adopted = true;
        for (const auto &job : m_context.jobs->liveIn(m_domain)) {
            const auto it = found.find(job.spec.id);
            adoptJob(job, it == found.end() ? nullptr : &it->second, reachedAll, now);
        }
        m_jobsChanged = true;
        return;
    }
    // Before a worker answered, another planner may have renewed what is not seen here.
    const auto waited = now - m_contact.value_or(now);
    const auto leasesOver = waited >= longestLease();
    for (auto &[id, it] : m_workers) {
        if (leasesOver && it.stale) {
            it.status.reset();
            it.ending.clear();
        }
    }
    const auto unsettled = std::exchange(m_unsettled, {});
    for (const auto &id : unsettled) {
        const auto job = m_context.jobs->find(id);
        if (!job || isTerminal(job->state) || m_gangs.contains(id)) {
            continue;
        }
        const auto it = found.find(id);
        const auto partlyFound = it != found.end() && it->second.live;
        // The members that are found end now. The job waits, because a member on a silent worker may run until its lease is over.
        if (partlyFound && waited >= m_context.options.adoptWait) {
            m_abandoned.insert(id);
        }
        adoptJob(*job, it == found.end() ? nullptr : &it->second, reachedAll || leasesOver, now);
        m_jobsChanged = true;
    }
    std::erase_if(m_abandoned, [&](const JobId &it) { return !m_unsettled.contains(it); });
}

auto DomainPlanner::syncJob(const Job &job, MonoTime now) -> void
{
    const auto &id = job.spec.id;
    if (isTerminal(job.state) || m_unsettled.contains(id)) {
        return;
    }
    if (m_gangs.contains(id)) {
        if (job.cancelRequested) {
            m_gangs.stop(id, false, "cancelled", now);
        }
        return;
    }
    if (job.state != JobState::Queued || foreignAttemptRuns(id) || succeededAttempt(job)) {
        // The attempt's record arrived after the try had been given up or never, or the job's after the takeover: what the
        // workers list settles it, and until then the job must not start from the queue.
        if (m_scheduler.cancel(id) != JobCancelResult::Running) {
            m_unsettled.insert(id);
        }
        return;
    }
    if (leaseLasts(id, now)) {
        // checkLeases() ends an earlier attempt of this planner, and the job must not start from the queue until it is over.
        (void)m_scheduler.cancel(id);
        m_jobsChanged = true;
        return;
    }
    const auto waited = std::max(Millis{0}, m_context.clock.wall() - job.accepted);
    m_scheduler.resubmit(toScheduled(job.spec), now - waited);
}

auto DomainPlanner::syncJobs(MonoTime now) -> void
{
    if (!std::exchange(m_jobsChanged, false)) {
        return;
    }
    auto live = std::set<JobId>{};
    for (const auto &it : m_context.jobs->liveIn(m_domain)) {
        live.insert(it.spec.id);
        syncJob(it, now);
    }
    // A job that was cancelled while it waited is final at once.
    for (const auto &it : m_scheduler.queue()) {
        if (!it.parked && !live.contains(it.job)) {
            (void)m_scheduler.cancel(it.job);
        }
    }
    // A job that the log showed as queued, because its attempt could not be recorded yet, ends there at once when it is
    // cancelled from outside.
    for (auto it = m_lastAttempt.begin(); it != m_lastAttempt.end();) {
        const auto &id = it->first;
        const auto job = m_context.jobs->find(id);
        if (!job || !isTerminal(job->state)) {
            ++it;
        } else if (m_gangs.contains(id)) {
            m_gangs.stop(id, false, std::string("the job is ") + jobStateName(job->state), now);
            ++it;
        } else {
            it = m_lastAttempt.erase(it); // it never starts again
        }
    }
    for (const auto &[id, worker] : m_workers) {
        checkLeases(id, now);
    }
}

auto DomainPlanner::startGang(const Start &start, MonoTime now) -> void
{
    const auto job = m_context.jobs->find(start.job);
    if (!job || isTerminal(job->state) || job->cancelRequested) {
        m_scheduler.jobEnded(start.job, JobEnd::Cancelled, now);
        m_jobsChanged = true;
        return;
    }
    // A new number for each try, also for one that was given up before its record was confirmed: workers refuse the
    // lease ids of ended leases, and late or repeated records of that try must not count for this one.
    const auto number = std::max({job->attempt, m_lastAttempt[start.job], highestListed(start.job)}) + 1;
    m_lastAttempt[start.job] = number;
    auto spec = GangSpec{
        .job = start.job,
        .attempt = number,
        .members = {},
        .needsAttemptRecord = !job->spec.restartable,
        .checkpointable = job->spec.checkpointable,
        .payload = job->spec.payload,
    };
    for (const auto &it : start.members) {
        spec.members.push_back({.worker = it.worker, .slots = slotList(it.slots)});
    }
    if (job->spec.restartable) {
        m_context.jobs->record(
            JobRecord{JobAttemptRecord{.job = start.job, .attempt = number, .holder = m_context.options.instance, .generation = m_generation.counter}});
    }
    m_gangs.start(std::move(spec), now);
}

auto DomainPlanner::decide(MonoTime now) -> std::optional<MonoTime>
{
    const auto before = m_context.clock.mono();
    const auto decisions = m_scheduler.decide(now);
    if (m_context.decided && !(decisions.starts.empty() && decisions.preemptions.empty())) {
        m_context.decided(m_context.clock.mono() - before);
    }
    for (const auto &it : decisions.starts) {
        startGang(it, now);
    }
    for (const auto &it : decisions.preemptions) {
        logEvent(LogLevel::Info, 2406, "job " + it.job.str() + " gives way to " + it.beneficiary.str());
        if (const auto job = m_context.preempted ? m_context.jobs->find(it.job) : std::nullopt) {
            m_context.preempted(*job);
        }
        m_gangs.stop(it.job, true, "preempted by " + it.beneficiary.str(), now);
    }
    for (const auto &it : decisions.parked) {
        const auto job = m_context.jobs->find(it.job);
        m_context.jobs->record(JobRecord{JobFinishRecord{
            .job = it.job, .attempt = job ? job->attempt : 0, .result = JobResult::Parked, .ran = job && job->attempt > 0, .detail = it.reason}});
    }
    return decisions.wakeAt;
}

auto DomainPlanner::confirmAttempt(const GangEvent &event) -> void
{
    const auto attempt = JobAttemptRecord{.job = event.job, .attempt = event.attempt, .holder = m_context.options.instance, .generation = m_generation.counter};
    const auto posted = m_context.pool->post([self = weak_from_this(), attempt, jobs = m_context.jobs, wait = m_context.options.attemptWait] {
        const auto won = jobs->recordAttempt(attempt, wait);
        if (const auto planner = self.lock()) {
            planner->post([planner, attempt, won] { planner->m_gangs.attemptDecided(attempt.job, attempt.attempt, won, planner->m_context.clock.mono()); });
        }
    });
    if (!posted) {
        m_gangs.attemptDecided(event.job, event.attempt, false, m_context.clock.mono());
    }
}

/// @return the number under which the log takes the success of an attempt.
auto DomainPlanner::successNumber(const Job &job, int attempt) -> int
{
    if (job.attempt == attempt && job.state != JobState::Queued) {
        return attempt;
    }
    // The log takes the end of the latest attempt only. It may show later tries, whose records arrived late, or not this attempt, whose
    // planner was lost before it could record it.
    const auto number = job.attempt < attempt ? attempt : std::max(job.attempt, m_lastAttempt[job.spec.id]) + 1;
    m_lastAttempt[job.spec.id] = std::max(m_lastAttempt[job.spec.id], number);
    m_context.jobs->record(
        JobRecord{JobAttemptRecord{.job = job.spec.id, .attempt = number, .holder = m_context.options.instance, .generation = m_generation.counter}});
    return number;
}

auto DomainPlanner::finishJob(const Job &job, const GangEvent &event, JobResult result, bool ran) -> void
{
    m_context.jobs->record(JobRecord{JobFinishRecord{
        .job = event.job,
        .attempt = result == JobResult::Succeeded ? successNumber(job, event.attempt) : event.attempt,
        .result = result,
        .ran = ran,
        .detail = event.reason,
        .checkpoint = event.checkpointed ? GangTable::leaseId(event.job, event.attempt, 0).str() : job.checkpoint,
    }});
}

auto DomainPlanner::handleEnd(const GangEvent &event, MonoTime now) -> void
{
    m_jobsChanged = true;
    // The last status of a silent worker is older than the end of the gang.
    for (auto &[id, worker] : m_workers) {
        for (auto &it : worker.status ? std::span{worker.status->leases} : std::span<WorkerLease>{}) {
            it.state = it.job == event.job && it.attempt == event.attempt ? LeaseState::Ended : it.state;
        }
    }
    const auto job = m_context.jobs->find(event.job);
    logEvent(
        LogLevel::Info, 2407, "job " + event.job.str() + " attempt " + std::to_string(event.attempt) + " " + outcomeName(event.outcome) + " " + event.reason);
    if (!job) {
        m_scheduler.jobEnded(event.job, JobEnd::Cancelled, now);
        return;
    }
    const auto cancelled = job->cancelRequested;
    switch (event.outcome) {
    case GangOutcome::Succeeded:
        m_scheduler.jobEnded(event.job, JobEnd::Succeeded, now);
        finishJob(*job, event, JobResult::Succeeded, true);
        return;
    case GangOutcome::Failed:
        m_scheduler.jobEnded(event.job, cancelled ? JobEnd::Cancelled : job->spec.restartable ? JobEnd::FailedRetry : JobEnd::Failed, now, event.failedWorker);
        finishJob(*job, event, cancelled ? JobResult::Cancelled : job->spec.restartable ? JobResult::Requeue : JobResult::Failed, true);
        return;
    case GangOutcome::Stopped:
    case GangOutcome::Lost: {
        const auto mayRunAgain = job->spec.restartable;
        m_scheduler.jobEnded(event.job, cancelled ? JobEnd::Cancelled : mayRunAgain ? JobEnd::Requeue : JobEnd::Lost, now);
        finishJob(*job, event, cancelled ? JobResult::Cancelled : mayRunAgain ? JobResult::Requeue : JobResult::Unknown, true);
        return;
    }
    case GangOutcome::Aborted:
        m_scheduler.jobEnded(event.job, cancelled ? JobEnd::Cancelled : JobEnd::Requeue, now, event.failedWorker);
        finishJob(*job, event, cancelled ? JobResult::Cancelled : JobResult::Requeue, false);
        return;
    }
}

auto DomainPlanner::handleEvent(const GangEvent &event, MonoTime now) -> void
{
    switch (event.type) {
    case GangEventType::AttemptRecordNeeded:
        confirmAttempt(event);
        return;
    case GangEventType::Started:
        m_scheduler.jobStarted(event.job, now);
        m_context.jobs->record(JobRecord{JobStartedRecord{.job = event.job, .attempt = event.attempt}});
        return;
    case GangEventType::Ended:
        handleEnd(event, now);
        return;
    }
}

auto DomainPlanner::sendOrders(const WorkerId &id, const std::vector<WorkerOrder> &orders) -> void
{
    const auto timeout = m_context.options.gangs.orderTimeout;
    const auto call
        = [self = weak_from_this(), id, orders, timeout, generation = m_generation, workers = m_context.workers, address = m_workers.at(id).listed.address] {
              const auto reply = workers.orders(address, generation, orders, timeout);
              if (const auto planner = self.lock()) {
                  planner->post([planner, id, orders, reply] { planner->ordersDone(id, orders, reply); });
              }
          };
    if (!m_context.pool->post(call)) {
        ordersDone(id, orders, failure(ErrorCode::NotSent, "the work pool is full"));
    }
}

auto DomainPlanner::ordersDone(const WorkerId &id, const std::vector<WorkerOrder> &orders, const Result<OrdersReply> &reply) -> void
{
    const auto now = m_context.clock.mono();
    const auto it = m_workers.find(id);
    if (it == m_workers.end()) {
        m_gangs.ordersDone(id, orders, failure(ErrorCode::Unavailable, "the worker has left"), now);
        return;
    }
    it->second.heard = true;
    m_gangs.ordersDone(id, orders, reply, now);
    if (it->second.claimSent && orders.front().op == OrderOp::Claim) {
        it->second.claimDue = false;
        it->second.stale = !reply;
    }
    if (!reply) {
        if (reply.error().code == ErrorCode::StaleGeneration) {
            noteStale(now);
        }
        syncWorker(id, now);
        return;
    }
    noteStatus(id, reply.value().status);
}

auto DomainPlanner::pollPeriod() const -> Micros
{
    const auto bounded = Micros{Seconds{1}} * static_cast<std::int64_t>(m_workers.size()) / m_context.options.maxPollsPerSecond;
    return std::max(Micros{m_context.options.pollPeriod}, bounded);
}

auto DomainPlanner::poll(const WorkerId &id, MonoTime now) -> void
{
    auto &worker = m_workers.at(id);
    worker.lastPoll = now;
    m_gangs.pollStarted(id);
    const auto timeout = m_context.options.gangs.orderTimeout;
    const auto known = worker.status ? worker.status->tag : std::string{};
    const auto posted = m_context.pool->post([self = weak_from_this(), id, timeout, known, workers = m_context.workers, address = worker.listed.address] {
        const auto status = std::make_shared<Result<WorkerStatus>>(workers.status(address, timeout));
        if (const auto planner = self.lock()) {
            // Most polls bring nothing new, and each wake of the planner goes over all workers and gangs.
            const auto unchanged = *status && !known.empty() && status->value().tag == known;
            planner->post([planner, id, status] { planner->pollDone(id, std::move(*status)); }, !unchanged);
        }
    });
    if (!posted) {
        pollDone(id, failure(ErrorCode::NotSent, "the work pool is full"));
    }
}

auto DomainPlanner::pollDone(const WorkerId &id, Result<WorkerStatus> status) -> void
{
    const auto now = m_context.clock.mono();
    m_gangs.statusDone(id, status, now);
    const auto it = m_workers.find(id);
    if (it == m_workers.end()) {
        return;
    }
    it->second.heard = true;
    if (status) {
        noteStatus(id, std::move(status).value());
    } else {
        syncWorker(id, now);
    }
}

auto DomainPlanner::step() -> MonoTime
{
    runInbox();
    const auto now = m_context.clock.mono();
    claim(now);
    sendClaims();
    adoptGangs(now);
    auto wakeAt = std::optional<MonoTime>{};
    if (m_claimed && m_adopted) {
        syncJobs(now);
        wakeAt = decide(now);
        auto gangs = m_gangs.tick(now);
        for (const auto &it : gangs.events) {
            handleEvent(it, now);
        }
        for (auto &[id, orders] : gangs.orders) {
            if (m_workers.contains(id)) {
                m_workers.at(id).lastPoll = now; // the reply carries the status
                sendOrders(id, orders);
            } else {
                m_gangs.ordersDone(id, orders, failure(ErrorCode::Unavailable, "the worker has left"), now);
            }
        }
    }
    const auto period = pollPeriod();
    for (const auto &[id, it] : m_workers) {
        if (m_gangs.busy(id)) {
            continue;
        }
        const auto endingPeriod = m_gangs.unreachable(id) ? period : Micros{m_context.options.gangs.resendPeriod};
        if (m_claimed && !it.ending.empty() && now - it.lastEnding >= endingPeriod) {
            endLeases(id, now);
        } else if (now - it.lastPoll >= period) {
            poll(id, now);
        }
    }
    return std::min(wakeAt.value_or(now + stepPeriod), now + stepPeriod);
}

auto DomainPlanner::view() const -> PlannerView
{
    auto out = PlannerView{
        .domain = m_domain,
        .claimed = m_claimed,
        .generation = m_generation,
        .stats = m_scheduler.stats(),
        .queue = m_scheduler.queue(),
        .workers = {},
        .gangs = m_gangs.size(),
    };
    for (const auto &[id, it] : m_workers) {
        auto worker = WorkerView{.worker = id, .rack = it.listed.rack, .reachable = it.status.has_value() && !it.stale && !m_gangs.unreachable(id)};
        if (it.status) {
            worker.slots = it.status->slots;
            worker.leaving = it.status->leaving || it.listed.leaving;
            worker.generation = it.status->generation;
            worker.leases = it.status->leases;
            worker.usage = it.status->usage;
        }
        out.workers.push_back(std::move(worker));
    }
    return out;
}

}

#include "policy/testing/poolsimulation.h"

#include <algorithm>
#include <utility>

namespace Catkin::Testing
{

namespace
{

constexpr auto stepTime = Millis{20};
constexpr auto workersPerRack = 4;
constexpr auto gangTimeout = Millis{3'000};
constexpr auto cutDuration = Millis{12'000};
constexpr auto takeoverTimeout = Millis{2'000};
/// Silence after which a worker's entry is removed, in heartbeats.
constexpr auto entryHeartbeats = 3;
/// Work of a cancelled or failed job is over by then, unless its worker was out of reach.
constexpr auto stopLimit = Millis{3'000};
/// More time for work that a late order started, from its start, and for an attempt whose stop order is late.
constexpr auto lateLimit = Millis{4'000};
/// Times of daemon/workercaller.cpp and policy/pollschedule.cpp.
constexpr auto pollTimeoutMargin = Millis{900};
constexpr auto pollRetryDelay = Millis{200};
constexpr auto idlePollInterval = Millis{5'000};
/// A success counts as recorded once its worker has listed it for this long with a lease, as the platform counts it.
constexpr auto listedLimit = Millis{100};
/// Percentage of the polls and orders on a slow path that arrive at all.
constexpr auto slowArrivals = 75;
constexpr auto renewInterval = Millis{400};
/// Less than the time after which the caller counts a poll, or an order, as failed.
constexpr auto longestListTransit = 800;
constexpr auto longestAnswerTransit = 280;
/// Of the clock with which a lifetime may begin.
constexpr auto longestReading = std::uint32_t{9'000'000};
constexpr auto drainDuration = Millis{2'500};
constexpr auto absence = Millis{2'000};

auto workerTime(MonoTime now, const SimulatedPoolWorker &worker) -> WorkerTime
{
    return {std::chrono::duration_cast<Millis>(now - worker.bornAt).count() + worker.firstReading.value};
}

auto fromWorkerTime(WorkerTime time, const SimulatedPoolWorker &worker) -> MonoTime
{
    return worker.bornAt + Millis{time.value - worker.firstReading.value};
}

}

auto simulationRules() -> PoolRules
{
    auto rules = PoolRules{.version = {1}};
    auto priority = 0;
    for (const auto *name : {"urgent", "normal", "batch"}) {
        rules.queues[QueueId{name}]
            = {.id = QueueId{name}, .service = ServiceId{"s"}, .priority = priority++, .maxAttempts = 3, .stretch = 2.0, .targetRuntime = Millis{1'000}};
    }
    rules.guaranteedAccelerators[WorkspaceId{"w"}] = 16;
    return rules;
}

PoolSimulation::PoolSimulation(std::uint64_t seed, int workers, const PoolFaults &faults)
    : m_options(PoolOptions{})
    , m_faults(faults)
    , m_random(seed)
    , m_boundsRandom(seed)
    , m_clockRandom(seed)
    , m_transitRandom(seed)
    , m_core(m_options)
{
    for (auto i = 0; i < workers; ++i) {
        const auto id = WorkerId{"w" + std::to_string(i)};
        const auto rack = "r" + std::to_string(i / workersPerRack);
        auto &worker = m_workers[id];
        worker.info = {.id = id,
                       .address = "10.0.0." + std::to_string(i) + ":1",
                       .service = ServiceId{"s"},
                       .rack = rack,
                       .labels = {"a", rack},
                       .capacity = {.cpuMillis = 32'000, .memoryMb = 128'000, .accelerators = 8},
                       .born = Incarnation{1}};
        worker.bornAt = m_start - Seconds{100};
        worker.firstReading = drawFirstReading();
        if (chance(m_faults.cutWorkers)) {
            worker.cutFrom = m_start + Millis{2'000 + m_random(15'000)};
            worker.cutUntil = worker.cutFrom + cutDuration;
        }
        if (chance(m_faults.lostWorkers)) {
            worker.cutFrom = m_start + Millis{2'000 + m_random(15'000)};
            worker.cutUntil = MonoTime::max();
        }
        if (m_faults.rebornWorkers > 0 && chance(m_faults.rebornWorkers)) {
            worker.cutFrom = m_start + Millis{2'000 + m_random(20'000)};
            worker.cutUntil = worker.cutFrom + Millis{1'000 + m_random(8'000)};
            worker.restartsAt = worker.cutFrom + (worker.cutUntil - worker.cutFrom) * m_random(100) / 100;
        }
        worker.flapping = m_faults.flappingWorkers > 0 && chance(m_faults.flappingWorkers);
        if (chance(m_faults.departures)) {
            worker.drainsAt = m_start + Millis{2'000 + m_random(25'000)};
        }
        if (m_faults.slowPaths > 0 && chance(m_faults.slowPaths)) {
            worker.slowFrom = m_start + Millis{2'000 + m_random(15'000)};
            worker.slowUntil = worker.slowFrom + Millis{8'000 + m_random(3'000)};
        }
    }
    for (auto i = 0; i < m_faults.takeovers; ++i) {
        m_takeovers.push_back(m_start + Millis{3'000 + m_random(25'000)});
    }
    std::sort(m_takeovers.begin(), m_takeovers.end());
    for (auto i = 0; i < m_faults.takeoversBetweenSteps; ++i) {
        m_takeoversBetweenSteps.push_back(m_start + Millis{3'000 + m_random(25'000)});
    }
    std::sort(m_takeoversBetweenSteps.begin(), m_takeoversBetweenSteps.end());
    m_core.setRules(simulationRules());
    m_core.tookOver(m_now);
    listWorkers();
}

auto PoolSimulation::chance(int percent) -> bool
{
    return static_cast<int>(m_random(100)) < percent;
}

auto PoolSimulation::isCutOff(const SimulatedPoolWorker &worker) const -> bool
{
    return worker.gone || (m_now >= worker.cutFrom && m_now < worker.cutUntil);
}

auto PoolSimulation::hasSlowPath(const SimulatedPoolWorker &worker) const -> bool
{
    return m_now >= worker.slowFrom && m_now < worker.slowUntil;
}

auto PoolSimulation::core() const -> const PoolCore &
{
    return m_core;
}

auto PoolSimulation::violations() const -> const std::vector<std::string> &
{
    return m_violations;
}

auto PoolSimulation::failedWithoutCause() const -> std::string
{
    auto out = std::string{};
    for (const auto &job : m_core.jobs()) {
        const auto limit = simulationRules().queues.at(job.second.job.queue).maxAttempts;
        const auto caused = std::any_of(
            m_failures.begin(), m_failures.end(), [&](const auto &it) { return it.first.job == job.first && static_cast<int>(it.second.size()) >= limit; });
        out += job.second.phase == PoolJobPhase::Failed && !caused ? job.first.str() + " " : "";
    }
    return out;
}

auto PoolSimulation::now() const -> MonoTime
{
    return m_now;
}

auto PoolSimulation::stopsFor(StopReason cause) const -> int
{
    const auto it = m_stops.find(cause);
    return it == m_stops.end() ? 0 : it->second;
}

auto PoolSimulation::startedAt(const JobId &id) const -> std::optional<MonoTime>
{
    const auto it = m_startedAt.find(id);
    return it == m_startedAt.end() ? std::nullopt : std::optional{it->second};
}

auto PoolSimulation::listWorkers() -> void
{
    auto listed = std::vector<PoolWorkerInfo>{};
    for (const auto &[id, it] : m_workers) {
        if (!it.gone && (!it.unlistedAt || m_now < *it.unlistedAt)) {
            listed.push_back(it.info);
        }
    }
    m_core.setWorkers(listed, m_now);
}

auto PoolSimulation::submit(const PoolJob &job) -> void
{
    m_jobs[job.id] = job;
    m_core.addJob(job, m_now);
}

auto PoolSimulation::cancel(const JobId &id) -> void
{
    m_cancelled.try_emplace(id, m_now);
    m_core.cancelJob(id, m_now);
}

auto PoolSimulation::cancelAt(const JobId &id, Millis time) -> void
{
    m_cancellations.emplace_back(m_start + time, id);
}

auto PoolSimulation::takeOverAt(Millis time) -> void
{
    m_takeovers.push_back(m_start + time);
    std::sort(m_takeovers.begin(), m_takeovers.end());
}

auto PoolSimulation::loseWorkerAt(const WorkerId &id, Millis time) -> void
{
    auto &worker = m_workers.at(id);
    worker.cutFrom = m_start + time;
    worker.cutUntil = MonoTime::max();
    worker.unlistedAt = worker.cutFrom + m_options.heartbeat * entryHeartbeats;
}

auto PoolSimulation::applyCancellations() -> void
{
    std::erase_if(m_cancellations, [&](const auto &it) {
        if (it.first <= m_now) {
            cancel(it.second);
        }
        return it.first <= m_now;
    });
}

auto PoolSimulation::run(Millis until) -> void
{
    while (m_now < m_start + until) {
        step();
    }
}

auto PoolSimulation::step() -> void
{
    m_now += stepTime;
    applyCancellations();
    advanceWorkers();
    if (!m_takeovers.empty() && m_now >= m_takeovers.front()) {
        m_takeovers.erase(m_takeovers.begin());
        takeOver();
    }
    m_core.entriesRead(m_now);
    pollWorkers();
    plan();
    sendOrders();
    noteReleases();
    publishLeaseBounds();
    checkFinalJobs();
}

/// Notes for which late start orders the planner has released the attempt.
auto PoolSimulation::noteReleases() -> void
{
    for (auto &it : m_lateOrders) {
        const auto &worker = m_workers.at(it.order.worker);
        const auto known = m_core.workers().find(it.order.worker);
        const auto isPlaced = known != m_core.workers().end() && known->second.allocations.contains({it.order.task, it.order.attempt});
        if (it.isReleased || isPlaced) {
            continue;
        }
        it.isReleased = true;
        if (worker.gone) {
            it.releasedIn = Incarnation{worker.info.born.value - 1}; // the present one has not begun
        } else if (known != m_core.workers().end() && known->second.answered && known->second.reachable) {
            it.releasedIn = known->second.info.born;
        }
    }
}

/// As daemon/poolterm does it; the store takes as long as for the records of a pass.
auto PoolSimulation::publishLeaseBounds() -> void
{
    if (m_openBounds) {
        if (m_now >= m_openBounds->storedAt) {
            leaseBoundsStored();
        }
        return;
    }
    if (m_now - m_renewedAt >= renewInterval || m_core.withholdsFromAnswering()) {
        m_renewedAt = m_now;
        const auto delay = m_faults.slowRecords > static_cast<int>(m_boundsRandom(100)) ? Millis{500 + m_boundsRandom(2'500)} : Millis{0};
        m_openBounds = OpenBounds{.bounds = m_core.composeLeaseBounds(m_now), .storedAt = m_now + delay};
    }
}

auto PoolSimulation::leaseBoundsStored() -> void
{
    const auto stored = *std::exchange(m_openBounds, std::nullopt);
    noteLeaseBounds(m_leaseBounds, {.bounds = stored.bounds}, m_now);
    m_core.leaseBoundsStored(stored.bounds);
}

auto PoolSimulation::executeLateOrders() -> void
{
    auto due = std::vector<LateOrder>{};
    std::erase_if(m_lateOrders, [&](const LateOrder &it) {
        if (it.at <= m_now) {
            due.push_back(it);
        }
        return it.at <= m_now;
    });
    for (const auto &it : due) {
        const auto &worker = m_workers.at(it.order.worker);
        if (!worker.gone && (m_faults.misdirectedOrders || it.born == worker.info.born)) {
            execute(it.order, it.leaseUntil, it.token, &it);
        }
    }
}

auto PoolSimulation::receiveLatePolls() -> void
{
    std::erase_if(m_latePolls, [&](const LatePoll &it) {
        auto &worker = m_workers.at(it.worker);
        if (it.at <= m_now && !worker.gone && it.born == worker.info.born && it.request.token >= worker.token) {
            receivePoll(worker, it.request);
        }
        return it.at <= m_now;
    });
}

/// @return when the job was cancelled, or was first found to have failed; nothing if neither.
auto PoolSimulation::finalSince(const JobId &id) const -> std::optional<MonoTime>
{
    const auto *state = m_core.find(id);
    // A cancellation does not change a job that has ended.
    const auto ended = state != nullptr && (state->phase == PoolJobPhase::Completed || state->phase == PoolJobPhase::Failed);
    if (const auto it = m_cancelled.find(id); it != m_cancelled.end() && !ended) {
        return it->second;
    }
    const auto it = m_failed.find(id);
    return it == m_failed.end() ? std::nullopt : std::optional{it->second};
}

/// Reports attempts of cancelled and failed jobs that run on although their workers can be reached.
auto PoolSimulation::checkFinalJobs() -> void
{
    for (const auto &[id, state] : m_core.jobs()) {
        if (state.phase == PoolJobPhase::Failed) {
            m_failed.try_emplace(id, m_now);
        }
    }
    for (const auto &[id, worker] : m_workers) {
        for (const auto &[key, it] : worker.running) {
            const auto final = finalSince(key.job);
            if (!final) {
                continue;
            }
            const auto reachableSince = isCutOff(worker) ? m_now : worker.cutUntil <= m_now ? worker.cutUntil : m_start;
            const auto promptSince = hasSlowPath(worker) ? m_now : worker.slowUntil <= m_now ? worker.slowUntil : m_start;
            const auto inTime = std::max({*final, m_tookOverAt, reachableSince, promptSince}) + stopLimit;
            const auto limit = (it.late ? std::max(inTime, it.begin + lateLimit) : inTime) + (it.stopHeldUp ? lateLimit : Millis{0}) + m_options.stopGrace;
            if (m_now > limit && m_reportedFinal.emplace(key, it.attempt).second) {
                m_violations.push_back(key.job.str() + "." + std::to_string(key.step) + "." + std::to_string(key.index) + " attempt "
                                       + std::to_string(it.attempt) + " runs on after the end of its job at "
                                       + std::to_string(std::chrono::duration_cast<Millis>(m_now - m_start).count()) + " ms on " + id.str());
            }
        }
    }
}

auto PoolSimulation::isLostBetweenSteps(const PoolEffects &effects) -> bool
{
    if (m_takeoversBetweenSteps.empty() || m_now < m_takeoversBetweenSteps.front() || effects.stops.empty()) {
        return false;
    }
    m_takeoversBetweenSteps.erase(m_takeoversBetweenSteps.begin());
    return true;
}

auto PoolSimulation::takeOver() -> void
{
    // No planner sends orders until the takeover.
    const auto resume = m_now + takeoverTimeout;
    while (m_now < resume) {
        m_now += stepTime;
        applyCancellations();
        advanceWorkers();
    }
    if (m_openPass && chance(50)) {
        m_openPass->records.merge(m_records);
        m_records = std::move(m_openPass->records);
    }
    m_openPass.reset();
    if (m_openBounds && m_boundsRandom(2) == 0) {
        leaseBoundsStored();
    }
    m_openBounds.reset();
    m_links.clear();
    m_pollers.clear();
    ++m_token;
    m_core = PoolCore{m_options};
    m_core.setRules(simulationRules());
    m_core.adoptLeaseBounds(m_leaseBounds.ends);
    for (const auto &[id, job] : m_jobs) {
        m_core.addJob(job, m_now);
    }
    const auto earlierLeasesEnd = m_now + takeoverTimeout + Millis{m_options.leaseDuration.count() * 103 / 100} + Millis{500};
    for (const auto &[id, state] : m_records) {
        m_core.adoptRecord(id, state, earlierLeasesEnd, m_now);
    }
    for (const auto &[id, at] : m_cancelled) {
        m_core.cancelJob(id, m_now);
    }
    m_core.tookOver(m_now);
    listWorkers();
    m_tookOverAt = m_now;
}

auto PoolSimulation::plan() -> void
{
    if (m_openPass) {
        finishPass();
        return;
    }
    auto effects = m_core.plan(m_now, WallTime{std::chrono::duration_cast<Millis>(m_now.time_since_epoch())});
    for (const auto &[cause, total] : effects.stopped) {
        m_stops[cause] += total.attempts;
    }
    auto records = recordsOf(effects);
    const auto lost = isLostBetweenSteps(effects);
    const auto isStored = !lost || chance(50);
    if (!lost || !isStored) {
        for (const auto &it : effects.stops) {
            enqueueOrder(m_links[it.worker].queue, it);
        }
    }
    if (lost) {
        if (isStored) {
            records.merge(m_records);
            m_records = std::move(records);
        }
        sendOrders();
        takeOver();
        return;
    }
    const auto delay = m_faults.slowRecords > 0 && chance(m_faults.slowRecords) ? Millis{500 + m_random(2'500)} : Millis{0};
    m_openPass = OpenPass{.effects = std::move(effects), .records = std::move(records), .storedAt = m_now + delay};
    finishPass();
}

auto PoolSimulation::finishPass() -> void
{
    if (m_now < m_openPass->storedAt) {
        return;
    }
    auto pass = *std::exchange(m_openPass, std::nullopt);
    pass.records.merge(m_records);
    m_records = std::move(pass.records);
    m_core.recorded(pass.effects);
    for (const auto &it : pass.effects.starts) {
        enqueueOrder(m_links[it.worker].queue, it);
    }
}

auto PoolSimulation::recordsOf(const PoolEffects &effects) const -> std::map<JobId, PoolJobState>
{
    auto out = std::map<JobId, PoolJobState>{};
    for (const auto &id : effects.changed) {
        auto state = *m_core.find(id);
        // These fields are not part of a stored record.
        for (auto &occurrence : state.occurrences) {
            for (auto &it : occurrence.steps) {
                it.unsuccessfulAttempt = 0;
                for (auto &task : it.tasks) {
                    task.attemptPhase = AttemptPhase::Unknown;
                    task.percent = -1;
                }
            }
        }
        out[id] = std::move(state);
    }
    return out;
}

auto PoolSimulation::sendOrders() -> void
{
    for (auto &[id, link] : m_links) {
        if (link.unanswered && m_now >= link.answerDue) {
            m_core.applyOrder(*std::exchange(link.unanswered, std::nullopt), std::exchange(link.answer, {}), m_now);
        }
        while (!link.unanswered && !link.queue.empty()) {
            const auto order = link.queue.front();
            link.queue.pop_front();
            send(link, order);
        }
    }
}

auto PoolSimulation::send(Link &link, const PoolOrder &order) -> void
{
    auto &worker = m_workers.at(order.worker);
    if (!m_core.isCurrent(order)) {
        m_core.applyOrder(order, {.outcome = OrderOutcome::NotSent}, m_now);
        return;
    }
    const auto lease = order.kind == PoolOrder::Kind::Start ? m_core.leaseFor(order.worker, m_now) : WorkerTime{};
    if (order.kind == PoolOrder::Kind::Start && lease.value == 0) {
        m_core.applyOrder(order, {.outcome = OrderOutcome::NotSent}, m_now);
        return;
    }
    if (!isCutOff(worker) && hasSlowPath(worker)) {
        if (chance(slowArrivals)) {
            sendLate(order, lease, m_now + Millis{1'000 + m_random(3'000)});
        }
    } else if (!isCutOff(worker)) {
        if (!chance(m_faults.lateOrders)) {
            const auto outcome = execute(order, lease, m_token, nullptr);
            if (!chance(m_faults.lostAnswers)) {
                const auto answer = OrderAnswer{.outcome = outcome, .clock = workerTime(m_now, worker)};
                if (m_faults.slowAnswers > static_cast<int>(m_transitRandom(100))) {
                    link.unanswered = order;
                    link.answer = answer;
                    link.answerDue = m_now + Millis{m_transitRandom(longestAnswerTransit)};
                } else {
                    m_core.applyOrder(order, answer, m_now);
                }
                return;
            }
        } else {
            sendLate(order, lease, m_now + Millis{2'000 + m_random(10'000)});
        }
    }
    link.unanswered = order;
    link.answerDue = m_now + order.answerTimeout;
}

auto PoolSimulation::sendLate(const PoolOrder &order, WorkerTime lease, MonoTime at) -> void
{
    auto &worker = m_workers.at(order.worker);
    m_lateOrders.push_back({.at = at, .order = order, .leaseUntil = lease, .token = m_token, .born = worker.info.born});
    const auto it = worker.running.find(order.task);
    if (order.kind == PoolOrder::Kind::Stop && it != worker.running.end()) {
        it->second.stopHeldUp = true;
    }
}

auto PoolSimulation::execute(const PoolOrder &order, WorkerTime leaseUntil, std::int64_t token, const LateOrder *late) -> OrderOutcome
{
    auto &worker = m_workers.at(order.worker);
    if (token < worker.token) {
        return OrderOutcome::Fenced;
    }
    worker.token = token;
    if (order.kind == PoolOrder::Kind::Start) {
        return startAt(worker, order, leaseUntil, late);
    }
    auto &closed = worker.lastClosed[order.task];
    closed = std::max(closed, order.attempt);
    const auto it = worker.running.find(order.task);
    if (it != worker.running.end() && it->second.attempt <= order.attempt && !it->second.stopping) {
        it->second.stopping = true;
        it->second.stopAt = m_now + m_options.stopGrace;
    }
    return OrderOutcome::Accepted;
}

auto PoolSimulation::startAt(SimulatedPoolWorker &worker, const PoolOrder &order, WorkerTime leaseUntil, const LateOrder *late) -> OrderOutcome
{
    const auto it = worker.running.find(order.task);
    if (it != worker.running.end() && it->second.attempt == order.attempt) {
        return OrderOutcome::Accepted;
    }
    const auto closed = worker.lastClosed.find(order.task);
    if (closed != worker.lastClosed.end() && order.attempt <= closed->second) {
        return OrderOutcome::Superseded;
    }
    // A longer lease is shortened; one by the clock of an earlier incarnation can be much longer.
    const auto until = std::min(fromWorkerTime(leaseUntil, worker), m_now + m_options.leaseDuration);
    if (until <= m_now) {
        return OrderOutcome::Expired;
    }
    // Nothing can prevent an incarnation that knows nothing of the attempt from starting it.
    const auto excused = late != nullptr && late->releasedIn && *late->releasedIn < worker.info.born;
    if (!excused) {
        checkStart(worker, order, late != nullptr && late->born != worker.info.born);
    }
    worker.leaseUntil = std::max(worker.leaseUntil, until);
    const auto &step = m_jobs.at(order.task.job).steps[static_cast<std::size_t>(order.task.step)];
    worker.running[order.task]
        = {.attempt = order.attempt, .begin = m_now, .end = m_now + step.estimate, .resources = step.perTask, .late = late != nullptr, .excused = excused};
    m_startedAt.try_emplace(order.task.job, m_now);
    if (late == nullptr && finalSince(order.task.job)) {
        m_violations.push_back(order.task.job.str() + " is started after its end at "
                               + std::to_string(std::chrono::duration_cast<Millis>(m_now - m_start).count()) + " ms on " + worker.info.id.str());
    }
    return OrderOutcome::Accepted;
}

/// @param misdirected whether the order was meant for an earlier incarnation: it can be under way while its task, or its gang, succeeds
auto PoolSimulation::checkStart(const SimulatedPoolWorker &worker, const PoolOrder &order, bool misdirected) -> void
{
    const auto name
        = order.task.job.str() + "." + std::to_string(order.task.step) + "." + std::to_string(order.task.index) + " attempt " + std::to_string(order.attempt);
    const auto at = " at " + std::to_string(std::chrono::duration_cast<Millis>(m_now - m_start).count()) + " ms on " + worker.info.id.str();
    auto used = m_jobs.at(order.task.job).steps[static_cast<std::size_t>(order.task.step)].perTask;
    for (const auto &[key, it] : worker.running) {
        used += it.excused ? Resources{} : it.resources;
    }
    if (copiesThatFit(used, worker.info.capacity, 1) == 0) {
        m_violations.push_back(name + " is started beyond the capacity" + at);
    }
    for (const auto &[id, other] : m_workers) {
        const auto it = other.running.find(order.task);
        if (it != other.running.end() && !it->second.excused) {
            m_violations.push_back(std::string(name).append(" runs twice, also on ").append(id.str()).append(at));
        }
    }
    if (!misdirected && hasSucceeded(order.task)) {
        m_violations.push_back(name + " is started after it was done" + at);
    }
    const auto &job = m_jobs.at(order.task.job);
    for (const auto before : job.steps[static_cast<std::size_t>(order.task.step)].dependsOn) {
        for (auto i = 0; i < job.steps[static_cast<std::size_t>(before)].tasks; ++i) {
            const auto needed = TaskKey{.job = order.task.job, .occurrence = order.task.occurrence, .step = before, .index = i};
            if (std::none_of(m_everSucceeded.begin(), m_everSucceeded.end(), [&](const TaskKey &it) { return sameUnit(needed, it); })) {
                m_violations.push_back(std::string(name).append(" is started before step ").append(std::to_string(before)).append(at));
            }
        }
    }
}

auto PoolSimulation::isGangComplete(const TaskKey &key, int attempt) const -> bool
{
    const auto wanted = m_jobs.at(key.job).steps[static_cast<std::size_t>(key.step)].tasks;
    auto present = 0;
    for (const auto &[id, worker] : m_workers) {
        for (const auto &[other, it] : worker.running) {
            present += other.job == key.job && other.occurrence == key.occurrence && other.step == key.step && it.attempt == attempt ? 1 : 0;
        }
    }
    return present == wanted;
}

auto PoolSimulation::sameUnit(const TaskKey &a, const TaskKey &b) const -> bool
{
    const auto gang = m_jobs.at(a.job).steps[static_cast<std::size_t>(a.step)].gang;
    return a == b || (gang && a.job == b.job && a.occurrence == b.occurrence && a.step == b.step);
}

/// A success counts once it is recorded, see also countListed(). Before that it counts as long as the worker's lease has not expired since.
auto PoolSimulation::hasSucceeded(const TaskKey &key) const -> bool
{
    if (std::any_of(m_recordedSuccesses.begin(), m_recordedSuccesses.end(), [&](const TaskKey &it) { return sameUnit(key, it); })) {
        return true;
    }
    return std::any_of(m_workers.begin(), m_workers.end(), [&](const auto &worker) {
        return std::any_of(worker.second.completions.begin(), worker.second.completions.end(), [&](const AttemptCompletion &it) {
            return it.kind == CompletionKind::Done && sameUnit(key, it.task) && !worker.second.voidCompletions.contains(it.number);
        });
    });
}

auto PoolSimulation::acknowledge(SimulatedPoolWorker &worker, std::int64_t upTo) -> void
{
    for (const auto &it : worker.completions) {
        if (it.number <= upTo && it.kind == CompletionKind::Done && !worker.voidCompletions.contains(it.number)) {
            m_recordedSuccesses.insert(it.task);
        }
    }
    std::erase_if(worker.completions, [&](const AttemptCompletion &it) { return it.number <= upTo; });
}

auto PoolSimulation::completeAttempt(SimulatedPoolWorker &worker, const TaskKey &key, CompletionKind kind) -> void
{
    const auto it = worker.running.find(key);
    const auto attempt = it->second.attempt;
    if (it->second.excused) {
        worker.voidCompletions.insert(worker.nextCompletion); // the planner may have placed a later attempt
    }
    worker.running.erase(it);
    auto &closed = worker.lastClosed[key];
    closed = std::max(closed, attempt);
    if (kind == CompletionKind::Done) {
        m_everSucceeded.insert(key);
    } else if (kind == CompletionKind::Failed) {
        auto unit = key;
        unit.index = m_jobs.at(key.job).steps[static_cast<std::size_t>(key.step)].gang ? 0 : key.index;
        m_failures[unit].insert(attempt);
    }
    worker.listedAt[worker.nextCompletion] = m_now;
    worker.completions.push_back({.number = worker.nextCompletion++, .task = key, .attempt = attempt, .kind = kind});
}

/// The members of a gang succeed together; otherwise the end of one ends the others.
auto PoolSimulation::endGang(const TaskKey &key, int attempt, CompletionKind first) -> void
{
    const auto kind = first == CompletionKind::Done ? CompletionKind::Done : CompletionKind::GangMemberEnded;
    for (auto &[id, worker] : m_workers) {
        auto members = std::vector<TaskKey>{};
        for (const auto &[other, it] : worker.running) {
            if (other.job == key.job && other.occurrence == key.occurrence && other.step == key.step && it.attempt == attempt) {
                members.push_back(other);
            }
        }
        for (const auto &it : members) {
            completeAttempt(worker, it, kind);
        }
    }
}

/// Counts the successes that a worker with a slow path has listed for long enough, whatever happens to its lease afterwards.
auto PoolSimulation::countListed(const SimulatedPoolWorker &worker) -> void
{
    if (worker.slowUntil == MonoTime{} || m_now >= worker.leaseUntil) {
        return;
    }
    for (const auto &it : worker.completions) {
        if (it.kind == CompletionKind::Done && !worker.voidCompletions.contains(it.number) && m_now - worker.listedAt.at(it.number) >= listedLimit) {
            m_recordedSuccesses.insert(it.task);
        }
    }
}

auto PoolSimulation::writeEntry(SimulatedPoolWorker &worker) -> void
{
    if (!isCutOff(worker) && m_now - worker.wroteAt >= m_options.heartbeat) {
        worker.wroteAt = m_now;
        m_core.workerWrote(worker.info.id, m_now);
    }
}

auto PoolSimulation::advanceWorker(SimulatedPoolWorker &worker) -> void
{
    countListed(worker);
    if (m_now >= worker.leaseUntil) {
        for (const auto &it : worker.completions) {
            worker.voidCompletions.insert(it.number);
        }
    }
    auto due = std::vector<TaskKey>{};
    for (const auto &[key, it] : worker.running) {
        due.push_back(key);
    }
    for (const auto &key : due) {
        const auto it = worker.running.find(key);
        if (it == worker.running.end()) {
            continue;
        }
        const auto attempt = it->second.attempt;
        auto kind = CompletionKind::Done;
        const auto gang = m_jobs.at(key.job).steps[static_cast<std::size_t>(key.step)].gang;
        if (m_now >= worker.leaseUntil) {
            kind = CompletionKind::LeaseExpired;
        } else if (it->second.stopping && m_now >= it->second.stopAt) {
            kind = CompletionKind::Stopped;
        } else if (gang && !isGangComplete(key, attempt)) {
            if (m_now - it->second.begin > gangTimeout) {
                completeAttempt(worker, key, CompletionKind::GangIncomplete);
            }
            continue;
        } else if (m_now >= it->second.end) {
            kind = chance(m_faults.failedTasks) ? CompletionKind::Failed : CompletionKind::Done;
        } else {
            continue;
        }
        completeAttempt(worker, key, kind);
        if (gang) {
            endGang(key, attempt, kind);
        }
    }
}

/// @return the first reading of a new lifetime's clock: near zero, or anywhere.
auto PoolSimulation::drawFirstReading() -> WorkerTime
{
    return m_clockRandom(2) == 0 ? WorkerTime{1} : WorkerTime{1 + m_clockRandom(longestReading)};
}

/// The worker's process ends; what it ran is gone.
auto PoolSimulation::lifetimeEnds(SimulatedPoolWorker &worker) -> void
{
    for (const auto &[key, it] : std::map{worker.running}) {
        const auto attempt = it.attempt;
        worker.running.erase(key);
        if (m_jobs.at(key.job).steps[static_cast<std::size_t>(key.step)].gang) {
            endGang(key, attempt, CompletionKind::LeaseExpired);
        }
    }
    const auto before = worker;
    worker = SimulatedPoolWorker{.info = before.info,
                                 .bornAt = m_now,
                                 .firstReading = drawFirstReading(),
                                 .cutFrom = before.cutFrom,
                                 .cutUntil = before.cutUntil,
                                 .slowFrom = before.slowFrom,
                                 .slowUntil = before.slowUntil};
    ++worker.info.born;
    worker.info.draining = false;
    worker.info.remaining.reset();
}

/// A worker that drains, leaves and comes back.
auto PoolSimulation::moveWorker(SimulatedPoolWorker &worker) -> void
{
    if (worker.gone) {
        if (m_now - worker.bornAt >= absence) {
            worker.gone = false;
            worker.bornAt = m_now;
            listWorkers();
        }
    } else if (worker.drainsAt && m_now >= *worker.drainsAt + drainDuration) {
        lifetimeEnds(worker);
        worker.gone = true;
        if (chance(50)) {
            m_core.workerLeft(worker.info.id);
        }
        listWorkers();
    } else if (worker.drainsAt && m_now >= *worker.drainsAt && !worker.info.draining) {
        worker.info.draining = true;
        if (m_faults.announcedDepartures) {
            worker.info.remaining = drainDuration;
            worker.info.clock = workerTime(m_now, worker);
        }
        listWorkers();
    }
}

auto PoolSimulation::advanceWorkers() -> void
{
    executeLateOrders();
    receiveLatePolls();
    for (auto &[id, worker] : m_workers) {
        writeEntry(worker);
        if (!worker.gone) {
            advanceWorker(worker);
        }
        moveWorker(worker);
        if (worker.restartsAt && m_now >= *worker.restartsAt) {
            lifetimeEnds(worker);
            listWorkers();
        }
        if (worker.unlistedAt && m_now >= *worker.unlistedAt && m_now < *worker.unlistedAt + stepTime) {
            listWorkers();
        }
        if (worker.flapping && m_now >= worker.cutUntil) {
            worker.cutFrom = m_now + Millis{500 + m_random(2'500)};
            worker.cutUntil = worker.cutFrom + Millis{3'000 + m_random(6'000)};
        }
        // On average, the given percentage of workers restarts within 30 s.
        if (m_faults.restarts > 0 && !worker.gone && m_random(150'000) < static_cast<std::uint32_t>(m_faults.restarts)) {
            lifetimeEnds(worker);
            listWorkers();
        }
    }
}

auto PoolSimulation::receivePoll(SimulatedPoolWorker &worker, const WorkerPollRequest &request) -> void
{
    worker.token = std::max(worker.token, request.token);
    if (request.leaseUntil.value > 0) {
        const auto until = fromWorkerTime(request.leaseUntil, worker);
        worker.leaseUntil = std::max(worker.leaseUntil, std::min(until, m_now + m_options.leaseDuration));
    }
    // A worker forgets its completions up to that number, whichever incarnation the number was meant for.
    acknowledge(worker, request.seenCompletions);
}

auto PoolSimulation::replyOf(const SimulatedPoolWorker &worker, const Poller &poller) const -> WorkerPollReply
{
    auto reply = WorkerPollReply{
        .clock = workerTime(m_now, worker), .born = worker.info.born, .completions = worker.completions, .acknowledged = poller.open->seenCompletions};
    for (const auto &[key, it] : worker.running) {
        const auto spent = std::chrono::duration_cast<Millis>(m_now - it.begin).count();
        reply.running.push_back({.task = key, .attempt = it.attempt, .percent = static_cast<int>(spent / 50)});
    }
    return reply;
}

auto PoolSimulation::receiveReply(const WorkerId &id, Poller &poller) -> void
{
    if (m_now >= poller.arrivesAt) {
        m_core.applyPollReply(id, *poller.reply, poller.sentAt, m_now);
        poller = {.idleUntil = m_now + idlePollInterval};
    }
}

auto PoolSimulation::sendPoll(const SimulatedPoolWorker &worker) -> Poller
{
    const auto &id = worker.info.id;
    auto poller = Poller{.open = m_core.nextPoll(id, m_now).request, .sentAt = m_now, .born = worker.info.born, .lost = isCutOff(worker)};
    poller.open->token = m_token;
    if (poller.lost) {
        return poller;
    }
    if (!hasSlowPath(worker)) {
        receivePoll(m_workers.at(id), *poller.open);
    } else if (chance(slowArrivals)) {
        m_latePolls.push_back({.at = m_now + Millis{1'000 + m_random(3'000)}, .worker = id, .request = *poller.open, .born = worker.info.born});
    }
    return poller;
}

auto PoolSimulation::pollWorkers() -> void
{
    std::erase_if(m_pollers, [&](const auto &it) { return !m_core.workers().contains(it.first); });
    for (const auto &[id, address] : m_core.pollTargets()) {
        auto &worker = m_workers.at(id);
        auto &poller = m_pollers[id];
        if (!poller.open && (m_now < poller.pauseUntil || (m_now < poller.idleUntil && m_core.pollPause(id) == PollPause::WhileIdle))) {
            continue;
        }
        if (!poller.open) {
            poller = sendPoll(worker);
        }
        if (poller.reply) {
            receiveReply(id, poller);
            continue;
        }
        const auto reset = poller.born != worker.info.born;
        poller.lost = poller.lost || isCutOff(worker) || hasSlowPath(worker);
        if (reset || (poller.lost && m_now - poller.sentAt >= poller.open->wait + pollTimeoutMargin)) {
            poller = {.pauseUntil = m_now + pollRetryDelay};
            m_core.pollFailed(id);
        } else if (!poller.lost && (!worker.completions.empty() || m_now - poller.sentAt >= poller.open->wait)) {
            poller.reply = replyOf(worker, poller);
            const auto isSlow = m_faults.slowLists > static_cast<int>(m_transitRandom(100));
            poller.arrivesAt = m_now + Millis{isSlow ? m_transitRandom(longestListTransit) : 0};
            receiveReply(id, poller);
        }
    }
}

}

#include "policy/poolplacer.h"

#include "policy/lostwork.h"
#include "util/printable.h"

#include <algorithm>
#include <array>
#include <map>
#include <string_view>
#include <tuple>
#include <utility>

namespace Catkin
{

namespace
{

/// A group of priority 0 that prefers one rack is spread over several after this time: it runs slower, but otherwise it might never
/// start.
constexpr auto urgentSpreadDelay = Millis{900};
/// The urgent reserve follows the peak demand within this time; a burst of urgent work lasts several seconds, and an urgent task
/// about 2.5 s.
constexpr auto urgentDemandWindow = Millis{3'000};

/// Searches in vain for groups of one class after which a pass leaves the rest of them to the next pass. Without a bound a pass over a
/// backlog takes a time that grows with backlog times workers, and urgent work waits for the pass to end.
constexpr auto maxFailedSearches = 32;
/// Those of them for the first groups of the class; the others begin where the last pass ended, so that each group is looked at in turn.
constexpr auto maxHeadSearches = maxFailedSearches / 2;
/// A job is set aside only after this time without a worker that could take it: entries of workers come and go at restarts and takeovers.
constexpr auto setAsideDelay = Millis{5'000};
/// Between two log lines about groups of a class that are left out.
constexpr auto searchLimitPeriod = Millis{10'000};
/// How long reservations, the urgent reserve and a preference for one rack together keep a group from capacity that would do, while most of
/// the capacity of its service is idle. Callers allow 3 s for a job with nothing running, which include the pass, the record and the order.
constexpr auto idleWaitLimit = Millis{2'000};
/// A group that has waited for this long reserves for longer than idleWaitLimit: otherwise a large gang never starts beside a stream of
/// small jobs.
constexpr auto longWait = Millis{60'000};
/// A reservation is logged when its group has waited for this long.
constexpr auto reservationLogDelay = Millis{5'000};
/// How long a reservation keeps a group from capacity that would do while most of the capacity is in use.
constexpr auto busyHoldLimit = Millis{60'000};
/// How long a reservation, a reserve or a preference delays tasks that run until they are cancelled: these serve somebody all the time.
constexpr auto lastingHoldLimit = Millis{1'500};
/// Part of the wait of a group for which its reservation may hold others.
constexpr auto holdPart = 10;
/// How long a reservation is open to others after it has held them for as long as it may.
constexpr auto openSpan = Millis{1'000};
/// Start orders without an answer take at most this long on the planner's link: half of the time after which the first of them would be
/// sent again.
constexpr auto linkWindow = Millis{150};

/// A group that has been kept from capacity for this long is logged.
constexpr auto heldLogDelay = Millis{1'000};
/// Lines about such groups in one pass; the others follow in the next passes.
constexpr auto maxHeldLines = 16;
/// Names of PoolPlacer::HoldCause in log lines.
constexpr auto holdCauseNames = std::array{"reservation", "one_rack", "urgent_reserve", "searches", "starts"};

auto seconds(Micros span) -> double
{
    return std::chrono::duration<double>(span).count();
}

auto criticalPath(const PoolJob &job) -> Millis
{
    auto longest = std::vector<Millis>{};
    for (const auto &step : job.steps) {
        auto before = Millis{0};
        for (const auto it : step.dependsOn) {
            before = std::max(before, longest[static_cast<std::size_t>(it)]);
        }
        longest.push_back(before + step.estimate);
    }
    return longest.empty() ? Millis{0} : *std::max_element(longest.begin(), longest.end());
}

auto clampToZero(const Resources &it) -> Resources
{
    return {.cpuMillis = std::max<std::int64_t>(it.cpuMillis, 0),
            .memoryMb = std::max<std::int64_t>(it.memoryMb, 0),
            .accelerators = std::max<std::int64_t>(it.accelerators, 0)};
}

/// @return whether @p part is at most @p whole in every resource.
auto isWithin(const Resources &part, const Resources &whole) -> bool
{
    return part.cpuMillis <= whole.cpuMillis && part.memoryMb <= whole.memoryMb && part.accelerators <= whole.accelerators;
}

auto minimum(const Resources &a, const Resources &b) -> Resources
{
    return {.cpuMillis = std::min(a.cpuMillis, b.cpuMillis),
            .memoryMb = std::min(a.memoryMb, b.memoryMb),
            .accelerators = std::min(a.accelerators, b.accelerators)};
}

/// @return the largest number of accelerators that the job uses at one time if its steps run one after the other.
auto acceleratorDemand(const PoolJob &job) -> std::int64_t
{
    auto most = std::int64_t{0};
    for (const auto &it : job.steps) {
        most = std::max(most, it.perTask.accelerators * it.tasks);
    }
    return most;
}

}

PoolPlacer::PoolPlacer(PoolCore &core, MonoTime now, WallTime wall)
    : m_core(core)
    , m_now(now)
    , m_wall(wall)
{
}

auto PoolPlacer::spec(const TaskGroup &group) const -> const PoolStep &
{
    return group.job->job.steps[static_cast<std::size_t>(group.step)];
}

auto PoolPlacer::stepOf(const TaskGroup &group) -> StepState &
{
    return group.job->occurrences[static_cast<std::size_t>(group.occurrence)].steps[static_cast<std::size_t>(group.step)];
}

auto PoolPlacer::classOf(const TaskGroup &group) -> PoolCore::PriorityClass
{
    return {group.queue->priority, group.guaranteed};
}

auto PoolPlacer::rankOf(const TaskGroup &group) -> PoolCore::GroupRank
{
    return {.position = group.position, .job = group.job->job.id, .occurrence = group.occurrence, .step = group.step};
}

auto PoolPlacer::idOf(const TaskGroup &group) -> TaskKey
{
    return {.job = group.job->job.id, .occurrence = group.occurrence, .step = group.step};
}

auto PoolPlacer::noteFilling(const TaskGroup &group) -> void
{
    m_core.m_overload.noteFilling(idOf(group), group.position, m_now);
}

auto PoolPlacer::isRuledOut(const TaskGroup &group, CapacityKind kind, Spread spread) const -> bool
{
    const auto &wanted = spec(group);
    // The attempts that a group beyond its guarantee may preempt depend on the size of its own work.
    const auto byWork = kind == CapacityKind::Preemptible && !group.guaranteed;
    return std::any_of(m_ruledOut.begin(), m_ruledOut.end(), [&](const RuledOut &it) {
        return it.kind == kind && it.spread == spread && it.guaranteed == group.guaranteed && it.tasks <= group.tasks.size()
               && isWithin(it.step->perTask, wanted.perTask) && (!byWork || workOf(group) <= it.work) && *it.service == group.queue->service
               && it.step->requiredLabel == wanted.requiredLabel && it.step->dataRack == wanted.dataRack;
    });
}

/// Valid until the end of the pass, in which capacity only shrinks. FreeSoon is the exception: preempt() adds to it, and erases
/// these entries.
auto PoolPlacer::ruleOut(const TaskGroup &group, CapacityKind kind, Spread spread) -> void
{
    ++failedSearches(group);
    // With a limit of tasks for each worker, the usable capacity depends on the job.
    if (spec(group).maxPerWorker > 0) {
        return;
    }
    m_ruledOut.push_back({.kind = kind,
                          .spread = spread,
                          .guaranteed = group.guaranteed,
                          .service = &group.queue->service,
                          .step = &spec(group),
                          .tasks = group.tasks.size(),
                          .work = workOf(group)});
}

auto PoolPlacer::failedSearches(const TaskGroup &group) -> int &
{
    return m_failedSearches[classOf(group)];
}

/// @return whether the pass has no searches left for the group, or leaves it to a later pass so that the groups behind it get their turn.
auto PoolPlacer::isLeftOut(const TaskGroup &group) -> bool
{
    const auto searches = failedSearches(group);
    if (searches < maxHeadSearches) {
        return false;
    }
    if (searches >= maxFailedSearches) {
        m_leftOut.try_emplace(classOf(group), rankOf(group));
        return true;
    }
    const auto resume = m_core.m_searchResume.find(classOf(group));
    return resume != m_core.m_searchResume.end() && rankOf(group) < resume->second;
}

/// Tells the next pass where to go on, and logs that groups were left out.
auto PoolPlacer::keepSearchResume() -> void
{
    for (const auto &[priorityClass, rank] : m_leftOut) {
        auto &loggedAt = m_core.m_searchLimitLogged[priorityClass];
        if (loggedAt == MonoTime{} || m_now - loggedAt >= searchLimitPeriod) {
            loggedAt = m_now;
            m_core.logDecision("searches_limited",
                               "priority=" + std::to_string(priorityClass.first) + " guaranteed=" + (priorityClass.second ? "yes" : "no")
                                   + " searches=" + std::to_string(m_failedSearches[priorityClass]) + " next_job=" + rank.job.str());
        }
    }
    m_core.m_searchResume = std::move(m_leftOut);
}

auto PoolPlacer::workOf(const TaskGroup &group) const -> double
{
    return coresOf(spec(group).perTask) * seconds(spec(group).estimate) * static_cast<double>(group.tasks.size());
}

auto PoolPlacer::collectStep(PoolJobState &state, const PoolQueue &queue, int occurrence, int step) -> void
{
    const auto &tasks = state.occurrences[static_cast<std::size_t>(occurrence)].steps[static_cast<std::size_t>(step)].tasks;
    const auto &wanted = state.job.steps[static_cast<std::size_t>(step)];
    auto group = TaskGroup{.job = &state, .queue = &queue, .occurrence = occurrence, .step = step};
    for (auto i = 0; i < static_cast<int>(tasks.size()); ++i) {
        if (tasks[static_cast<std::size_t>(i)].phase == TaskPhase::Waiting) {
            group.tasks.push_back(i);
        }
    }
    // A gang starts again only after the previous attempt of every member is over.
    auto &readySince = stepOf(group).readySince;
    if (group.tasks.empty() || (wanted.gang && group.tasks.size() != tasks.size()) || !stepReady(state, occurrence, step)) {
        readySince = {};
        return;
    }
    const auto chain = criticalPath(state.job);
    const auto slack = std::chrono::duration_cast<Micros>(chain * queue.stretch) + queue.targetRuntime - chain;
    auto since = state.knownSince;
    if (const auto due = dueTime(state.job, occurrence)) {
        since = std::max(since, m_now - std::chrono::duration_cast<Micros>(m_wall - *due));
    }
    group.since = since;
    if (readySince == MonoTime{}) {
        // The age of the job tells when the turn of work that has not begun and depends on nothing came, over any number of planners.
        const auto untouched = std::all_of(tasks.begin(), tasks.end(), [](const TaskState &it) { return it.attempt == 0; });
        readySince = untouched && wanted.dependsOn.empty() ? since : m_now;
    }
    group.readySince = readySince;
    group.latestStart = since + std::chrono::duration_cast<Micros>(slack);
    group.objective = slack + chain;
    separateLateStarts(group);
    if (!group.tasks.empty()) {
        m_groups.push_back(std::move(group));
    }
}

/// @return whether the listed workers could take the group if all of them were idle.
auto PoolPlacer::isPlaceable(const TaskGroup &group) -> bool
{
    const auto &wanted = spec(group);
    return copiesOnIdle(m_core.m_idleCapacity, group.queue->service, wanted) >= (wanted.gang ? wanted.tasks : 1);
}

/// @return whether the listed workers could take the group if they were idle and no failure domain were evacuated.
auto PoolPlacer::isPlaceableAfterEvacuation(const TaskGroup &group) -> bool
{
    const auto &wanted = spec(group);
    const auto &service = group.queue->service;
    const auto evacuated = copiesOnIdle(m_core.m_evacuation.idle, service, wanted);
    return evacuated > 0 && evacuated + copiesOnIdle(m_core.m_idleCapacity, service, wanted) >= (wanted.gang ? wanted.tasks : 1);
}

/// Leaves groups out that no listed worker can take, and tells of them. The jobs stay: workers that fit may come.
auto PoolPlacer::setAsideUnplaceable() -> void
{
    std::erase_if(m_groups, [&](const TaskGroup &group) {
        auto &step = stepOf(group);
        if (isPlaceable(group)) {
            step.unplaceableSince = {};
            return false;
        }
        step.unplaceableSince = step.unplaceableSince == MonoTime{} ? m_now : step.unplaceableSince;
        m_unplaceableJobs.insert(group.job->job.id);
        const auto &wanted = spec(group);
        const auto byEvacuation = isPlaceableAfterEvacuation(group);
        if ((byEvacuation || m_now - step.unplaceableSince >= setAsideDelay) && m_core.m_unplaceable.insert(group.job->job.id).second) {
            m_core.logDecision("set_aside",
                               "job=" + group.job->job.id.str() + " occurrence=" + std::to_string(group.occurrence) + " step=" + std::to_string(group.step)
                                   + " reason=" + (byEvacuation ? "evacuated" : "no_worker_fits") + " service=" + group.queue->service.str() + " label="
                                   + printable(wanted.requiredLabel) + " tasks=" + std::to_string(wanted.tasks) + " gang=" + (wanted.gang ? "yes" : "no")
                                   + " cpu=" + std::to_string(wanted.perTask.cpuMillis) + " memory=" + std::to_string(wanted.perTask.memoryMb)
                                   + " accelerators=" + std::to_string(wanted.perTask.accelerators) + " per_worker=" + std::to_string(wanted.maxPerWorker));
            m_core.setReason(*group.job,
                             byEvacuation ? "the workers that can take a step of the job are in an evacuated failure domain"
                                          : "no worker that is here now can take a step of the job");
        }
        return true;
    });
    std::erase_if(m_core.m_unplaceable, [&](const JobId &id) {
        if (m_unplaceableJobs.contains(id)) {
            return false;
        }
        if (const auto job = m_core.m_jobs.find(id); job != m_core.m_jobs.end()) {
            m_core.logDecision("set_aside_ended", "job=" + id.str() + " state=" + phaseName(job->second.phase));
            m_core.setReason(job->second, "");
        }
        return true;
    });
}

auto PoolPlacer::collectGroups() -> void
{
    for (const auto &id : m_core.m_active) {
        auto &state = m_core.m_jobs.at(id);
        if (!state.job.rules) {
            continue; // see PoolCore::takeRules()
        }
        for (auto o = 0; o < static_cast<int>(state.occurrences.size()); ++o) {
            const auto due = dueTime(state.job, o);
            if (due && *due > m_wall) {
                break;
            }
            for (auto s = 0; s < static_cast<int>(state.job.steps.size()); ++s) {
                collectStep(state, *state.job.rules, o, s);
            }
        }
    }
}

auto PoolPlacer::markGuaranteed() -> void
{
    auto urgent = std::vector<const PoolJobState *>{};
    for (const auto &id : m_core.m_active) {
        const auto &state = m_core.m_jobs.at(id);
        // A job that cannot begin takes nothing of the guarantee from others.
        const auto cannotBegin = m_unplaceableJobs.contains(id) && !hasBegun(state);
        if (state.job.rules && state.job.rules->priority == 0 && !cannotBegin) {
            urgent.push_back(&state);
        }
    }
    std::sort(
        urgent.begin(), urgent.end(), [](const auto *a, const auto *b) { return std::tie(a->knownSince, a->job.id) < std::tie(b->knownSince, b->job.id); });
    auto used = std::map<WorkspaceId, std::int64_t>{};
    for (const auto *it : urgent) {
        const auto guarantee = m_core.m_rules.guaranteedAccelerators.find(it->job.workspace);
        const auto demand = acceleratorDemand(it->job);
        auto &sum = used[it->job.workspace];
        if (guarantee != m_core.m_rules.guaranteedAccelerators.end() && sum + demand <= guarantee->second) {
            sum += demand;
            m_guaranteedJobs.insert(it->job.id);
        }
    }
    for (auto &it : m_groups) {
        it.guaranteed = m_guaranteedJobs.contains(it.job->job.id);
    }
}

auto PoolPlacer::sortGroups() -> void
{
    auto ordered = std::vector<OrderedGroup>{};
    ordered.reserve(m_groups.size());
    for (const auto &it : m_groups) {
        ordered.push_back(
            {.id = idOf(it),
             .workspace = it.job->job.workspace,
             .priority = it.queue->priority,
             .guaranteed = it.guaranteed,
             .work = {.since = it.since, .objective = it.objective, .remaining = remainingChain(it.job->job, it.step), .lasting = spec(it).longRunning},
             .latestStart = it.latestStart});
    }
    auto searching = std::set<int>{};
    for (const auto &[priorityClass, rank] : m_core.m_searchResume) {
        searching.insert(priorityClass.first);
    }
    const auto positions = m_core.m_overload.rank(ordered, searching, m_now);
    for (auto &it : m_core.m_overload.takeLog()) {
        m_core.logDecision(it.decision, std::move(it.text));
    }
    for (auto i = std::size_t{0}; i < m_groups.size(); ++i) {
        m_groups[i].position = positions[i];
    }
    const auto goesBefore = [](const TaskGroup &a, const TaskGroup &b) {
        return std::tie(a.queue->priority, b.guaranteed, a.position, a.job->job.id, a.occurrence, a.step)
               < std::tie(b.queue->priority, a.guaranteed, b.position, b.job->job.id, b.occurrence, b.step);
    };
    std::sort(m_groups.begin(), m_groups.end(), goesBefore);
}

auto PoolPlacer::collectSlots() -> void
{
    m_core.m_openStartBytes = 0;
    auto racks = std::map<std::string_view, std::size_t>{};
    m_slots.reserve(m_core.m_workers.size());
    for (auto &[id, worker] : m_core.m_workers) {
        auto slot = Slot{.worker = &worker, .free = worker.info.capacity, .freeSoon = {}};
        slot.free -= worker.used;
        slot.freeSoon = slot.free;
        slot.idle = slot.free;
        for (const auto &[key, it] : worker.allocations) {
            if (it.orderOpen) {
                ++m_openStarts;
                const auto *state = m_core.find(key.first.job);
                m_core.m_openStartBytes += state == nullptr ? 0 : startOrderBytes(state->job);
            }
            if (it.stopping) {
                slot.freeSoon += it.resources;
            } else if (m_guaranteedJobs.contains(key.first.job)) {
                slot.guaranteed += it.resources.accelerators;
            }
        }
        auto &whole = m_wholeWorker[worker.info.service];
        whole = std::max(whole, worker.info.capacity.accelerators);
        slot.usable = worker.listed && PoolCore::isAnswering(worker) && !worker.info.draining && !m_core.isWithheld(id)
                      && takesStarts(m_core.m_evacuation, worker.info.domain);
        slot.rack = racks.try_emplace(worker.info.rack, racks.size()).first->second;
        m_slots.push_back(std::move(slot));
    }
    m_racks = racks.size();
}

auto PoolPlacer::mayPreempt(const TaskGroup &group, const Victim &victim) -> bool
{
    if (group.queue->priority != 0 || victim.allocation->stopping) {
        return false;
    }
    return victim.allocation->priority > 0 || (group.guaranteed && !victim.guaranteed);
}

auto PoolPlacer::lossOf(const PoolCore::AttemptKey &key, const PoolCore::Allocation &it) const -> double
{
    const auto loss = m_core.lossOf(key, it, m_now);
    const auto *state = m_core.find(key.first.job);
    const auto *step = state == nullptr ? nullptr : &state->job.steps[static_cast<std::size_t>(key.first.step)];
    return step != nullptr && step->gang ? loss * step->tasks : loss; // the whole gang stops with the member
}

auto PoolPlacer::remainingOf(const PoolCore::AttemptKey &key, const PoolCore::Allocation &it) const -> double
{
    const auto *state = m_core.find(key.first.job);
    if (state == nullptr) {
        return 0.0;
    }
    const auto estimate = state->job.steps[static_cast<std::size_t>(key.first.step)].estimate;
    return std::max(0.1, seconds(estimate) - seconds(m_now - it.placedAt));
}

auto PoolPlacer::attemptsOn(const Slot &slot) const -> const std::vector<Victim> &
{
    if (!slot.attempts) {
        auto &out = slot.attempts.emplace();
        for (const auto &[key, it] : slot.worker->allocations) {
            if (m_core.m_jobs.contains(key.first.job)) {
                out.push_back({.loss = lossOf(key, it), .key = &key, .allocation = &it, .guaranteed = m_guaranteedJobs.contains(key.first.job)});
            }
        }
        std::sort(out.begin(), out.end(), [](const Victim &a, const Victim &b) { return std::tie(a.loss, *a.key) < std::tie(b.loss, *b.key); });
    }
    return *slot.attempts;
}

auto PoolPlacer::victimsOn(const TaskGroup &group, const Slot &slot) const -> std::vector<Victim>
{
    const auto own = workOf(group);
    auto victims = std::vector<Victim>{};
    for (const auto &it : attemptsOn(slot)) {
        // Beyond its workspace's guarantee, a group may not preempt an attempt whose loss exceeds the group's own work.
        if (mayPreempt(group, it) && (group.guaranteed || it.loss <= own)) {
            victims.push_back(it);
        }
    }
    return victims;
}

/// Adds the capacity of attempts that may end by themselves (Eventual; the cost is their longest remaining time) or by preemption
/// (the cost is the work lost to make one task fit).
auto PoolPlacer::addReclaimable(const TaskGroup &group, CapacityKind kind, const Slot &slot, WorkerCandidate &candidate) const -> void
{
    if (kind == CapacityKind::Eventual) {
        for (const auto &[key, it] : slot.worker->allocations) {
            const auto *state = m_core.find(key.first.job);
            const auto lasts = state != nullptr && containsTask(*state, key.first) && specOf(*state, key.first).longRunning;
            if (!it.stopping && !lasts) {
                candidate.available += it.resources;
                candidate.cost = std::max(candidate.cost, remainingOf(key, it));
            }
        }
        return;
    }
    for (const auto &it : victimsOn(group, slot)) {
        if (copiesThatFit(spec(group).perTask, clampToZero(candidate.available), 1) == 0) {
            candidate.cost += it.loss;
        }
        candidate.available += it.allocation->resources;
    }
}

auto PoolPlacer::candidates(const TaskGroup &group, CapacityKind kind) const -> std::vector<WorkerCandidate>
{
    ++m_searches;
    const auto &wanted = spec(group);
    auto out = std::vector<WorkerCandidate>{};
    out.reserve(m_slots.size());
    for (auto i = std::size_t{0}; i < m_slots.size(); ++i) {
        const auto &slot = m_slots[i];
        const auto &info = slot.worker->info;
        const auto &most = kind == CapacityKind::Free ? slot.free : kind == CapacityKind::FreeSoon ? slot.freeSoon : info.capacity;
        if (!slot.usable || copiesThatFit(wanted.perTask, most, 1) == 0) {
            continue;
        }
        if (info.service != group.queue->service || !hasLabel(info.labels, wanted) || (m_keepsWholeWorkers && isWhole(slot, info.service))) {
            continue;
        }
        auto candidate = WorkerCandidate{.worker = i,
                                         .rack = info.rack,
                                         .available = slot.freeSoon,
                                         .suspect = m_now < slot.worker->suspectUntil || isCold(m_core.m_evacuation, info.id, m_now)};
        if (kind == CapacityKind::Free) {
            candidate.available = slot.free;
        } else if (kind == CapacityKind::Unreserved) {
            candidate.available += slot.held;
            candidate.available = minimum(candidate.available, slot.idle);
        }
        if (wanted.maxPerWorker > 0) {
            for (const auto &[key, it] : slot.worker->allocations) {
                const auto same = key.first.job == group.job->job.id && key.first.occurrence == group.occurrence && key.first.step == group.step;
                candidate.placed += same ? 1 : 0;
            }
        }
        if (kind == CapacityKind::Preemptible || kind == CapacityKind::Eventual) {
            addReclaimable(group, kind, slot, candidate);
        }
        candidate.available = clampToZero(candidate.available);
        if (copiesThatFit(wanted.perTask, candidate.available, 1) > 0) {
            out.push_back(std::move(candidate));
        }
    }
    if (kind == CapacityKind::Free || kind == CapacityKind::Unreserved) {
        markAvoided(group, out);
    }
    return out;
}

auto PoolPlacer::fitsOneRack(const TaskGroup &group) -> bool
{
    const auto &wanted = spec(group);
    const auto limit = wanted.maxPerWorker > 0 ? wanted.maxPerWorker : maxCopies;
    const auto [most, isNew] = m_maxTasksInRack.try_emplace(shapeOf(group.queue->service, wanted), 0);
    if (isNew) {
        auto racks = std::vector<int>(m_racks);
        for (const auto &it : m_slots) {
            if (it.usable && it.worker->info.service == group.queue->service && hasLabel(it.worker->info.labels, wanted)) {
                auto &n = racks[it.rack];
                n += copiesThatFit(wanted.perTask, it.worker->info.capacity, limit);
                most->second = std::max(most->second, n);
            }
        }
    }
    return most->second >= wanted.tasks;
}

auto PoolPlacer::reserveOn(Slot &slot, const Resources &need) -> void
{
    slot.freeSoon -= need;
    slot.free = minimum(slot.free, slot.freeSoon);
}

auto PoolPlacer::start(TaskGroup &group, const std::vector<int> &tasks, const std::vector<std::size_t> &slots, PoolEffects &effects) -> void
{
    auto &state = *group.job;
    auto &step = state.occurrences[static_cast<std::size_t>(group.occurrence)].steps[static_cast<std::size_t>(group.step)];
    const auto &wanted = spec(group);
    if (group.guaranteed && m_unusedGuarantees) {
        (*m_unusedGuarantees)[state.job.workspace] -= wanted.perTask.accelerators * static_cast<std::int64_t>(tasks.size());
    }
    if (!group.guaranteed) {
        const auto part = static_cast<double>(tasks.size()) / static_cast<double>(group.tasks.size());
        m_core.m_overload.noteStarted(state.job.workspace, group.queue->priority, workOf(group) * part, m_now);
    }
    auto attempt = 0;
    for (const auto &it : step.tasks) {
        attempt = std::max(attempt, it.attempt + 1);
    }
    for (auto i = std::size_t{0}; i < tasks.size(); ++i) {
        auto &slot = m_slots[slots[i]];
        auto &task = step.tasks[static_cast<std::size_t>(tasks[i])];
        const auto key = TaskKey{.job = state.job.id, .occurrence = group.occurrence, .step = group.step, .index = tasks[i]};
        task.attempt = wanted.gang ? attempt : task.attempt + 1;
        task.isStartUnanswered = false;
        task.phase = TaskPhase::Placed;
        task.worker = slot.worker->info.id;
        task.workerBorn = slot.worker->info.born;
        task.attemptPhase = AttemptPhase::Starting;
        task.progressAt = m_now;
        task.percent = -1;
        auto &allocation = m_core.allocate(*slot.worker, state, {key, task.attempt});
        allocation.orderOpen = true;
        allocation.startTries = 1;
        allocation.placedAt = m_now;
        slot.free -= wanted.perTask;
        slot.freeSoon -= wanted.perTask;
        slot.idle -= wanted.perTask;
        slot.guaranteed += group.guaranteed ? wanted.perTask.accelerators : 0;
        slot.attempts.reset();
        ++m_openStarts;
        m_freeAccelerators -= wanted.perTask.accelerators;
        m_core.emitStart(effects, *slot.worker, {key, task.attempt});
    }
    step.everStarted = true;
    m_core.m_changed.insert(state.job.id);
    if (state.phase == PoolJobPhase::Queued) {
        m_core.setPhase(state, PoolJobPhase::Running);
    }
    m_core.logDecision("placed",
                       "job=" + state.job.id.str() + " occurrence=" + std::to_string(group.occurrence) + " step=" + std::to_string(group.step) + " tasks="
                           + std::to_string(tasks.size()) + "/" + std::to_string(wanted.tasks) + " first_worker=" + m_slots[slots.front()].worker->info.id.str()
                           + " waited_ms=" + std::to_string(std::chrono::duration_cast<Millis>(m_now - state.knownSince).count())
                           + " guaranteed=" + (group.guaranteed ? "yes" : "no"));
}

/// Starts the first tasks of the group, one for each index into @p candidates.
auto PoolPlacer::startSome(TaskGroup &group, const std::vector<WorkerCandidate> &candidates, const std::vector<std::size_t> &chosen, PoolEffects &effects)
    -> void
{
    if (chosen.empty()) {
        return;
    }
    auto slots = std::vector<std::size_t>{};
    for (const auto it : chosen) {
        slots.push_back(candidates[it].worker);
    }
    const auto placed = group.tasks.begin() + static_cast<std::ptrdiff_t>(slots.size());
    start(group, std::vector<int>(group.tasks.begin(), placed), slots, effects);
    group.tasks.erase(group.tasks.begin(), placed);
}

auto PoolPlacer::placeGang(TaskGroup &group, Spread spread, PoolEffects &effects) -> bool
{
    if (isRuledOut(group, CapacityKind::Free, spread)) {
        return false;
    }
    const auto free = candidates(group, CapacityKind::Free);
    const auto chosen = chooseWorkers(free, spec(group), static_cast<int>(group.tasks.size()), spread);
    if (!chosen) {
        ruleOut(group, CapacityKind::Free, spread);
        return false;
    }
    auto slots = std::vector<std::size_t>{};
    for (const auto it : *chosen) {
        slots.push_back(free[it].worker);
    }
    start(group, group.tasks, slots, effects);
    return true;
}

auto PoolPlacer::reserveFreeSoon(const TaskGroup &group, Spread spread) -> bool
{
    if (isRuledOut(group, CapacityKind::FreeSoon, spread)) {
        return false;
    }
    const auto soon = candidates(group, CapacityKind::FreeSoon);
    const auto chosen = chooseWorkers(soon, spec(group), static_cast<int>(group.tasks.size()), spread);
    if (!chosen) {
        ruleOut(group, CapacityKind::FreeSoon, spread);
        return false;
    }
    for (const auto it : *chosen) {
        reserveOn(m_slots[soon[it].worker], spec(group).perTask);
    }
    noteFilling(group);
    return true;
}

/// Counts the capacity of an attempt that is to be stopped as free soon.
auto PoolPlacer::addFreeSoon(const WorkerId &worker, const PoolCore::AttemptKey &key) -> void
{
    const auto slot = std::lower_bound(m_slots.begin(), m_slots.end(), worker, [](const Slot &it, const WorkerId &id) { return it.worker->info.id < id; });
    if (slot == m_slots.end() || slot->worker->info.id != worker) {
        return;
    }
    const auto it = slot->worker->allocations.find(key);
    if (it != slot->worker->allocations.end() && !it->second.stopping) {
        slot->freeSoon += it->second.resources;
    }
}

auto PoolPlacer::preemptOn(const TaskGroup &group, Slot &slot, const Resources &need) -> void
{
    for (const auto &victim : victimsOn(group, slot)) {
        if (copiesThatFit(need, clampToZero(slot.freeSoon), 1) == 1) {
            return;
        }
        if (victim.allocation->stopping) {
            continue; // with another member of its gang
        }
        const auto &key = *victim.key;
        const auto &state = m_core.m_jobs.at(key.first.job);
        m_core.logDecision("preempted",
                           "job=" + key.first.job.str() + " step=" + std::to_string(key.first.step) + " task=" + std::to_string(key.first.index)
                               + " worker=" + slot.worker->info.id.str() + " for_job=" + group.job->job.id.str()
                               + " loss_core_s=" + std::to_string(static_cast<int>(victim.loss)));
        if (state.job.steps[static_cast<std::size_t>(key.first.step)].gang) {
            const auto &tasks = state.occurrences[static_cast<std::size_t>(key.first.occurrence)].steps[static_cast<std::size_t>(key.first.step)].tasks;
            for (auto i = 0; i < static_cast<int>(tasks.size()); ++i) {
                const auto &task = tasks[static_cast<std::size_t>(i)];
                const auto member = TaskKey{.job = key.first.job, .occurrence = key.first.occurrence, .step = key.first.step, .index = i};
                addFreeSoon(task.worker, {member, task.attempt});
            }
            m_core.stopStep(state, key.first.occurrence, key.first.step, StopReason::Preempted);
        } else {
            addFreeSoon(slot.worker->info.id, key);
        }
        PoolCore::requestStop(slot.worker->allocations.at(key), StopReason::Preempted);
    }
}

auto PoolPlacer::preempt(const TaskGroup &group, Spread spread) -> bool
{
    if (isRuledOut(group, CapacityKind::Preemptible, spread)) {
        return false;
    }
    const auto reclaimable = candidates(group, CapacityKind::Preemptible);
    const auto chosen = chooseWorkers(reclaimable, spec(group), static_cast<int>(group.tasks.size()), spread);
    if (!chosen) {
        ruleOut(group, CapacityKind::Preemptible, spread);
        return false;
    }
    // The attempts stopped here add to the FreeSoon capacity.
    std::erase_if(m_ruledOut, [](const RuledOut &it) { return it.kind == CapacityKind::FreeSoon; });
    for (const auto it : *chosen) {
        auto &slot = m_slots[reclaimable[it].worker];
        preemptOn(group, slot, spec(group).perTask);
        reserveOn(slot, spec(group).perTask);
    }
    noteFilling(group);
    return true;
}

/// Reserves, for the first blocked group of a priority that can start when other work ends, capacity on the workers where it can start
/// soonest.
auto PoolPlacer::reserveCapacity(const TaskGroup &group) -> void
{
    const auto &wanted = spec(group);
    const auto spread = wanted.sameRack && fitsOneRack(group) ? Spread::OneRack : Spread::Anywhere;
    if (m_blockedPriorities.contains(group.queue->priority) || isRuledOut(group, CapacityKind::Eventual, spread)) {
        return;
    }
    const auto eventual = candidates(group, CapacityKind::Eventual);
    const auto chosen = chooseWorkers(eventual, wanted, static_cast<int>(group.tasks.size()), spread);
    if (!chosen) {
        ruleOut(group, CapacityKind::Eventual, spread);
        return;
    }
    m_blockedPriorities.insert(group.queue->priority);
    noteFilling(group);
    auto slots = std::set<std::size_t>{};
    for (const auto it : *chosen) {
        auto &slot = m_slots[eventual[it].worker];
        reserveOn(slot, wanted.perTask);
        slot.held += wanted.perTask;
        slots.insert(eventual[it].worker);
    }
    m_core.m_holdBegan.try_emplace(group.queue->service, m_now);
    auto &hold = m_holds.try_emplace(group.queue->service, Hold{.job = group.job->job.id}).first->second;
    hold.waited = std::max(hold.waited, m_now - group.since);
    logReservation(group, slots);
}

/// Logs once that the group has waited for a while and keeps capacity from others.
auto PoolPlacer::logReservation(const TaskGroup &group, const std::set<std::size_t> &slots) -> void
{
    auto &step = stepOf(group);
    if (m_now - group.since < reservationLogDelay || std::exchange(step.reservationLogged, true)) {
        return;
    }
    auto idle = std::int64_t{0};
    for (const auto it : slots) {
        idle += std::max<std::int64_t>(m_slots[it].idle.accelerators, 0);
    }
    m_core.logDecision("reserves",
                       "job=" + group.job->job.id.str() + " occurrence=" + std::to_string(group.occurrence) + " step=" + std::to_string(group.step) + " tasks="
                           + std::to_string(group.tasks.size()) + " workers=" + std::to_string(slots.size()) + " idle_accelerators=" + std::to_string(idle)
                           + " waited_ms=" + std::to_string(std::chrono::duration_cast<Millis>(m_now - group.since).count()));
}

/// @return whether under half of the capacity of a service is in use.
auto PoolPlacer::isMostlyIdle(const ServiceId &service) -> bool
{
    const auto [found, isNew] = m_mostlyIdle.try_emplace(service, false);
    if (isNew) {
        auto all = 0.0;
        auto used = 0.0;
        for (const auto &it : m_slots) {
            if (it.usable && it.worker->info.service == service) {
                all += coresOf(it.worker->info.capacity);
                used += coresOf(it.worker->used);
            }
        }
        found->second = used < all / 2;
    }
    return found->second;
}

/// @return whether the group has waited for as long as a preference or a reserve may delay it.
auto PoolPlacer::isDelayOver(const TaskGroup &group) -> bool
{
    const auto waited = m_now - group.since;
    return spec(group).longRunning ? waited >= lastingHoldLimit : waited >= idleWaitLimit && isMostlyIdle(group.queue->service);
}

/// @return how long the reservations on the workers of a service keep other groups from capacity that would do.
auto PoolPlacer::holdLimit(const ServiceId &service) -> Micros
{
    const auto waited = m_holds[service].waited;
    if (!isMostlyIdle(service)) {
        return std::max<Micros>(busyHoldLimit, waited / holdPart);
    }
    return waited < longWait ? Micros{idleWaitLimit} : std::max<Micros>(idleWaitLimit, waited / holdPart);
}

/// @return until when the reservations of this pass may keep the group from what they have reserved.
auto PoolPlacer::holdEnd(const TaskGroup &group) -> MonoTime
{
    const auto &service = group.queue->service;
    const auto lasts = spec(group).longRunning;
    const auto limit = lasts ? Micros{lastingHoldLimit} : holdLimit(service);
    const auto end = m_core.m_holdBegan.at(service) + limit;
    // The group's own wait counts as well, whatever has caused it: holds may follow each other or other delays.
    const auto byGroup = lasts || (isMostlyIdle(service) && limit <= idleWaitLimit);
    return byGroup ? std::min(end, group.readySince + limit) : end;
}

/// @return whether the reservations of this pass have held others for so long that the group may use what they have reserved.
auto PoolPlacer::mayPass(const TaskGroup &group) -> bool
{
    return m_holds.contains(group.queue->service) && m_now >= holdEnd(group);
}

/// Ends the holds of services without a reservation, and begins those anew that have been open for long enough.
auto PoolPlacer::keepHolds() -> void
{
    std::erase_if(m_core.m_holdBegan, [&](const auto &it) { return !m_holds.contains(it.first); });
    for (auto &[service, began] : m_core.m_holdBegan) {
        if (m_now - began >= holdLimit(service) + openSpan) {
            began = m_now;
        }
    }
}

/// Places a group, or some of its tasks, on capacity that is reserved for others.
/// @return whether the whole group was placed
auto PoolPlacer::placePastReservation(TaskGroup &group, Spread spread, PoolEffects &effects) -> bool
{
    const auto &wanted = spec(group);
    auto least = group;
    least.tasks.resize(wanted.gang ? group.tasks.size() : 1);
    if (!mayPass(group) || isRuledOut(least, CapacityKind::Unreserved, spread)) {
        return false;
    }
    const auto unreserved = candidates(group, CapacityKind::Unreserved);
    const auto chosen = wanted.gang ? chooseWorkers(unreserved, wanted, static_cast<int>(group.tasks.size()), spread).value_or(std::vector<std::size_t>{})
                                    : chooseForSome(unreserved, wanted, std::min(static_cast<int>(group.tasks.size()), startsLeft(group)));
    if (chosen.empty()) {
        ruleOut(least, CapacityKind::Unreserved, spread);
        return false;
    }
    m_core.logDecision("passes_reservation",
                       "job=" + group.job->job.id.str() + " occurrence=" + std::to_string(group.occurrence) + " step=" + std::to_string(group.step)
                           + " tasks=" + std::to_string(chosen.size()) + " reserved_for=" + m_holds.at(group.queue->service).job.str());
    startSome(group, unreserved, chosen, effects);
    return group.tasks.empty();
}

/// Sets the urgent reserve. Urgent work arrives in bursts: the accelerators that it needed within urgentDemandWindow are kept free
/// of other work, which the next burst would preempt with the loss of its progress.
auto PoolPlacer::measureUrgentDemand() -> void
{
    auto inUse = std::int64_t{0};
    for (const auto &slot : m_slots) {
        m_freeAccelerators += slot.usable ? std::max<std::int64_t>(slot.free.accelerators, 0) : 0;
        for (const auto &[key, it] : slot.worker->allocations) {
            inUse += it.priority == 0 && !it.stopping ? it.resources.accelerators : 0;
        }
    }
    auto demand = inUse;
    for (const auto &it : m_groups) {
        demand += it.queue->priority == 0 ? spec(it).perTask.accelerators * static_cast<std::int64_t>(it.tasks.size()) : 0;
    }
    auto &history = m_core.m_urgentDemand;
    history.emplace_back(m_now, demand);
    while (history.front().first < m_now - urgentDemandWindow) {
        history.pop_front();
    }
    const auto peak = std::max_element(history.begin(), history.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
    m_urgentReserve = peak->second - inUse;
}

auto PoolPlacer::leavesReserve(const TaskGroup &group) const -> bool
{
    const auto &wanted = spec(group);
    const auto need = wanted.perTask.accelerators * (wanted.gang ? static_cast<std::int64_t>(group.tasks.size()) : 1);
    return m_freeAccelerators - need >= m_urgentReserve;
}

/// A group yields only during the first half of its slack. After that it may use the reserve: a large gang, which seldom finds
/// enough capacity, would otherwise wait for as long as the bursts go on.
auto PoolPlacer::yieldsToUrgent(const TaskGroup &group) -> bool
{
    return group.queue->priority != 0 && m_urgentReserve > 0 && hasAmpleSlack(group) && !leavesReserve(group) && !isDelayOver(group);
}

/// @return whether less than half of the time from the start of its wait to its latest start has passed.
auto PoolPlacer::hasAmpleSlack(const TaskGroup &group) const -> bool
{
    return m_now - group.since < (group.latestStart - group.since) / 2;
}

/// Logs once, after half of the group's slack, why it waits.
auto PoolPlacer::logWait(const TaskGroup &group) -> void
{
    auto &step = group.job->occurrences[static_cast<std::size_t>(group.occurrence)].steps[static_cast<std::size_t>(group.step)];
    if (step.waitLogged || hasAmpleSlack(group)) {
        return;
    }
    step.waitLogged = true;
    const auto &wanted = spec(group);
    m_core.logDecision("waits",
                       "job=" + group.job->job.id.str() + " occurrence=" + std::to_string(group.occurrence) + " step=" + std::to_string(group.step)
                           + " tasks=" + std::to_string(group.tasks.size()) + "/" + std::to_string(wanted.tasks) + " accelerators_each="
                           + std::to_string(wanted.perTask.accelerators) + " one_rack=" + (wanted.gang && wanted.sameRack ? "yes" : "no")
                           + " waited_ms=" + std::to_string(std::chrono::duration_cast<Millis>(m_now - group.since).count())
                           + " free_accelerators=" + std::to_string(m_freeAccelerators) + " urgent_reserve=" + std::to_string(m_urgentReserve));
}

/// Logs once for each step and cause that the group has been kept from capacity for a while, on a service that is mostly idle. Whether the
/// capacity would do is not searched for.
auto PoolPlacer::logHeld(const TaskGroup &group, HoldCause cause) -> void
{
    auto &step = stepOf(group);
    const auto bit = 1U << static_cast<unsigned>(cause);
    const auto &service = group.queue->service;
    if ((step.heldLogged & bit) != 0 || m_now - group.readySince < heldLogDelay || m_heldLines >= maxHeldLines || !isMostlyIdle(service)) {
        return;
    }
    step.heldLogged |= bit;
    ++m_heldLines;
    auto text = "job=" + group.job->job.id.str() + " occurrence=" + std::to_string(group.occurrence) + " step=" + std::to_string(group.step)
                + " cause=" + holdCauseNames.at(static_cast<std::size_t>(cause))
                + " waited_ms=" + std::to_string(std::chrono::duration_cast<Millis>(m_now - group.readySince).count());
    if (cause == HoldCause::Reservation) {
        const auto left = holdEnd(group) - m_now;
        text += " for_job=" + m_holds.at(service).job.str() + " latest_end_ms=" + std::to_string(std::chrono::duration_cast<Millis>(left).count());
    } else if (cause == HoldCause::OneRack || cause == HoldCause::UrgentReserve) {
        const auto limit = spec(group).longRunning ? lastingHoldLimit : idleWaitLimit;
        text += " latest_end_ms=" + std::to_string(std::chrono::duration_cast<Millis>(group.since + limit - m_now).count());
    }
    m_core.logDecision("held", std::move(text));
}

/// Logs what may keep a group that did not fit from capacity that is idle.
auto PoolPlacer::logHeldByOthers(const TaskGroup &group, bool oneRack) -> void
{
    const auto hold = m_holds.find(group.queue->service);
    if (hold != m_holds.end() && hold->second.job != group.job->job.id && !mayPass(group)) {
        logHeld(group, HoldCause::Reservation);
    }
    if (oneRack && !isDelayOver(group)) {
        logHeld(group, HoldCause::OneRack);
    }
}

auto PoolPlacer::placeGroup(TaskGroup &group, PoolEffects &effects) -> bool
{
    const auto &wanted = spec(group);
    if (isLeftOut(group)) {
        logHeld(group, HoldCause::Searches);
        return false;
    }
    if (yieldsToUrgent(group)) {
        logHeld(group, HoldCause::UrgentReserve);
        reserveCapacity(group);
        return false;
    }
    const auto oneRack = wanted.sameRack && fitsOneRack(group);
    const auto spread = oneRack ? Spread::OneRack : wanted.dataRack.empty() ? Spread::Anywhere : Spread::DataRack;
    if (!group.inPlace.empty() && placeInPlace(group, spread, effects)) {
        return true;
    }
    if (placeTogether(group, spread, effects)) {
        return group.tasks.empty();
    }
    if (!wanted.gang && !isRuledOut(group, CapacityKind::Free, Spread::Anywhere)) {
        const auto free = candidates(group, CapacityKind::Free);
        const auto limit = std::min(static_cast<int>(group.tasks.size()), startsLeft(group));
        const auto chosen = chooseForSome(free, wanted, limit);
        startSome(group, free, chosen, effects);
        if (group.tasks.empty()) {
            return true;
        }
        if (static_cast<int>(chosen.size()) == limit) {
            return false; // the rest follows when these have been answered
        }
        // Not even one of the remaining tasks fits.
        auto one = group;
        one.tasks.resize(1);
        ruleOut(one, CapacityKind::Free, Spread::Anywhere);
    }
    if (wanted.gang && placeGang(group, spread, effects)) {
        return true;
    }
    if (group.queue->priority != 0) {
        if (oneRack && isDelayOver(group) && placeGang(group, Spread::Anywhere, effects)) {
            return true;
        }
        const auto spreads = oneRack && isDelayOver(group);
        if (!placePastReservation(group, spread, effects) && !(spreads && placePastReservation(group, Spread::Anywhere, effects))) {
            reserveCapacity(group);
            logHeldByOthers(group, oneRack);
        }
        return group.tasks.empty();
    }
    if (reserveFreeSoon(group, spread) || preempt(group, spread)) {
        return false;
    }
    const auto urgent = m_now - group.job->knownSince > urgentSpreadDelay;
    if (!oneRack || !(urgent || group.guaranteed)) {
        moveForShape(group);
        return false;
    }
    if (placeGang(group, Spread::Anywhere, effects)) {
        return true;
    }
    if (!reserveFreeSoon(group, Spread::Anywhere) && !preempt(group, Spread::Anywhere)) {
        moveForShape(group);
    }
    return false;
}

/// Logs when passes begin and when they cease to defer groups.
auto PoolPlacer::logDeferred(std::size_t groups) -> void
{
    if (m_core.m_deferring == (groups > 0)) {
        return;
    }
    m_core.m_deferring = groups > 0;
    m_core.logDecision(groups > 0 ? "starts_deferred" : "starts_resumed",
                       "groups=" + std::to_string(groups) + " open_starts=" + std::to_string(m_openStarts)
                           + " open_bytes=" + std::to_string(m_core.m_openStartBytes));
}

auto PoolPlacer::mayStartMore() const -> bool
{
    return m_openStarts < m_core.m_options.maxOpenStarts && m_core.linkTime(m_core.m_openStartBytes) < linkWindow;
}

/// @return how many tasks of the group may be started, if any may; at least one.
auto PoolPlacer::startsLeft(const TaskGroup &group) const -> int
{
    const auto left = linkWindow - m_core.linkTime(m_core.m_openStartBytes);
    const auto bytes = m_core.m_options.linkBytesPerSecond * left.count() / Millis{Seconds{1}}.count();
    const auto byLink = std::clamp<std::int64_t>(bytes / startOrderBytes(group.job->job), 1, m_core.m_options.maxOpenStarts);
    return std::max(1, std::min(static_cast<int>(byLink), m_core.m_options.maxOpenStarts - m_openStarts));
}

auto PoolPlacer::place(PoolEffects &effects) -> void
{
    collectGroups();
    setAsideUnplaceable();
    markGuaranteed();
    followMove();
    sortGroups();
    collectSlots();
    measureUrgentDemand();
    auto group = m_groups.begin();
    for (; group != m_groups.end() && mayStartMore(); ++group) {
        if (m_moving && !goesBeforeMove(*group)) {
            holdRoomForMove();
        }
        if (!placeGroup(*group, effects)) {
            noteWaiting(*group->queue);
            logWait(*group);
        }
    }
    const auto deferred = static_cast<std::size_t>(m_groups.end() - group);
    for (; group != m_groups.end(); ++group) {
        noteWaiting(*group->queue);
        logHeld(*group, HoldCause::Starts);
    }
    moveEvacuated();
    if (deferred == 0) {
        keepSearchResume();
        keepHolds();
    }
    logDeferred(deferred);
    effects.waiting = m_core.m_overload.waiting();
    effects.searches = m_searches;
    effects.openStarts = m_openStarts;
    effects.deferredGroups = static_cast<int>(deferred);
}

}

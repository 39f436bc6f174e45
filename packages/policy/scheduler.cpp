#include "policy/scheduler.h"

#include <algorithm>
#include <map>

namespace Catkin
{

namespace
{

struct Node
{
    WorkerInfo info;
    SlotMask used = 0;
};

struct Entry
{
    ScheduledJob spec;
    MonoTime since;
    std::vector<MemberPlacement> members;
};

}

/// First version: strict submission order, first fit without preemption.
struct Scheduler::State
{
    SchedulerConfig config;
    std::map<WorkerId, Node> workers;
    std::map<JobId, Entry> running;
    std::vector<Entry> waiting;

    auto place(const ScheduledJob &spec) -> std::optional<std::vector<MemberPlacement>>
    {
        auto groups = std::map<std::string, std::vector<Node *>>{};
        for (auto &[id, node] : workers) {
            const auto key = spec.adjacency == Adjacency::Worker ? id.str() : spec.adjacency == Adjacency::Rack ? node.info.rack.str() : std::string{};
            groups[key].push_back(&node);
        }
        const auto block = 1 << levelOf(spec.slotsPerTask);
        const auto mask = static_cast<SlotMask>((std::uint64_t{1} << spec.slotsPerTask) - 1);
        for (auto &[key, nodes] : groups) {
            auto members = std::vector<MemberPlacement>{};
            for (auto *node : nodes) {
                for (auto first = 0; node->info.usable && first + block <= node->info.slots && static_cast<int>(members.size()) < spec.tasks; first += block) {
                    if ((node->used & (mask << first)) == 0) {
                        members.push_back({node->info.worker, mask << first});
                    }
                }
            }
            if (static_cast<int>(members.size()) == spec.tasks) {
                return members;
            }
        }
        return std::nullopt;
    }
};

Scheduler::Scheduler(const SchedulerOptions & /*options*/)
    : m_state(std::make_unique<State>())
{
}

Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler &&) noexcept = default;
auto Scheduler::operator=(Scheduler &&) noexcept -> Scheduler & = default;

auto Scheduler::configure(const SchedulerConfig &config) -> void
{
    m_state->config = config;
}

auto Scheduler::updateWorker(const WorkerInfo &worker, MonoTime /*now*/) -> Result<void>
{
    if (worker.slots < 1 || worker.slots > maxWorkerSlots || !std::has_single_bit(static_cast<unsigned>(worker.slots))) {
        return failure(ErrorCode::InvalidInput,
                       "worker " + worker.worker.str() + " has " + std::to_string(worker.slots) + " slots, not a power of two up to 32");
    }
    m_state->workers[worker.worker].info = worker;
    return success();
}

auto Scheduler::workerLost(const WorkerId &worker) -> std::vector<JobId>
{
    auto affected = std::vector<JobId>{};
    for (const auto &[job, entry] : m_state->running) {
        if (std::any_of(entry.members.begin(), entry.members.end(), [&](const auto &member) { return member.worker == worker; })) {
            affected.push_back(job);
        }
    }
    m_state->workers.erase(worker);
    return affected;
}

auto Scheduler::submit(const ScheduledJob &spec, MonoTime now) -> Result<void>
{
    if (spec.tasks < 1 || spec.tasks > maxGangTasks || spec.slotsPerTask < 1 || spec.slotsPerTask > maxWorkerSlots) {
        return failure(ErrorCode::InvalidInput, "a job has 1 to 64 tasks of 1 to 32 slots");
    }
    resubmit(spec, now);
    return success();
}

auto Scheduler::resubmit(const ScheduledJob &spec, MonoTime since) -> void
{
    const auto known = std::any_of(m_state->waiting.begin(), m_state->waiting.end(), [&](const auto &entry) { return entry.spec.job == spec.job; });
    if (!known && !m_state->running.contains(spec.job)) {
        m_state->waiting.push_back({spec, since, {}});
    }
}

auto Scheduler::cancel(const JobId &job) -> JobCancelResult
{
    if (m_state->running.contains(job)) {
        return JobCancelResult::Running;
    }
    const auto erased = std::erase_if(m_state->waiting, [&](const auto &entry) { return entry.spec.job == job; });
    return erased > 0 ? JobCancelResult::Removed : JobCancelResult::Unknown;
}

auto Scheduler::adopt(const ScheduledJob &spec, const std::vector<MemberPlacement> &members, MonoTime startedAt) -> Result<void>
{
    for (const auto &member : members) {
        const auto it = m_state->workers.find(member.worker);
        if (it == m_state->workers.end()) {
            return failure(ErrorCode::NotFound, "worker " + member.worker.str() + " is not known");
        }
        if ((it->second.used & member.slots) != 0) {
            return failure(ErrorCode::Conflict, "slots of worker " + member.worker.str() + " belong to another job");
        }
    }
    std::erase_if(m_state->waiting, [&](const auto &entry) { return entry.spec.job == spec.job; });
    for (const auto &member : members) {
        m_state->workers[member.worker].used |= member.slots;
    }
    m_state->running[spec.job] = {spec, startedAt, members};
    return success();
}

auto Scheduler::jobStarted(const JobId & /*job*/, MonoTime /*now*/) -> void
{
}

auto Scheduler::jobEnded(const JobId &job, JobEnd end, MonoTime /*now*/, const std::optional<WorkerId> & /*failedOn*/) -> void
{
    const auto it = m_state->running.find(job);
    if (it == m_state->running.end()) {
        return;
    }
    for (const auto &member : it->second.members) {
        if (const auto node = m_state->workers.find(member.worker); node != m_state->workers.end()) {
            node->second.used &= ~member.slots;
        }
    }
    auto entry = std::move(it->second);
    m_state->running.erase(it);
    if (end == JobEnd::Requeue || end == JobEnd::FailedRetry) {
        entry.members.clear();
        const auto place
            = std::upper_bound(m_state->waiting.begin(), m_state->waiting.end(), entry, [](const auto &a, const auto &b) { return a.since < b.since; });
        m_state->waiting.insert(place, std::move(entry));
    }
}

auto Scheduler::decide(MonoTime /*now*/) -> Decisions
{
    auto decisions = Decisions{};
    while (!m_state->waiting.empty()) {
        auto &entry = m_state->waiting.front();
        auto members = m_state->place(entry.spec);
        if (!members) {
            break;
        }
        for (const auto &member : *members) {
            m_state->workers[member.worker].used |= member.slots;
        }
        decisions.starts.push_back({entry.spec.job, *members, false});
        entry.members = std::move(*members);
        m_state->running[entry.spec.job] = std::move(entry);
        m_state->waiting.erase(m_state->waiting.begin());
    }
    return decisions;
}

auto Scheduler::queue() const -> std::vector<QueuedJob>
{
    auto jobs = std::vector<QueuedJob>{};
    for (const auto &entry : m_state->waiting) {
        jobs.push_back({entry.spec.job, entry.spec.workspace, entry.spec.slots(), entry.since, "waits for free slots", false, false});
    }
    return jobs;
}

auto Scheduler::placementOf(const JobId &job) const -> std::optional<std::vector<MemberPlacement>>
{
    const auto it = m_state->running.find(job);
    return it == m_state->running.end() ? std::nullopt : std::optional{it->second.members};
}

auto Scheduler::stats() const -> SchedulerStats
{
    auto stats = SchedulerStats{};
    stats.workers = static_cast<int>(m_state->workers.size());
    stats.queuedJobs = static_cast<int>(m_state->waiting.size());
    stats.runningJobs = static_cast<int>(m_state->running.size());
    for (const auto &[id, node] : m_state->workers) {
        stats.usableSlots += node.info.usable ? node.info.slots : 0;
        stats.freeSlots += node.info.usable ? node.info.slots - std::popcount(node.used) : 0;
    }
    return stats;
}

}

#include "policy/jobqueue.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace Catkin
{

namespace
{

auto secondsBetween(MonoTime from, MonoTime to) -> double
{
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

/// An idle caller is removed when its decayed usage falls below this many slot-seconds, so that the table stays bounded.
constexpr auto negligibleUse = 1.0;

}

auto DecayedUsage::advance(MonoTime now, Seconds halfLife) -> void
{
    slotSeconds = rank(now, halfLife) - static_cast<double>(held) * static_cast<double>(halfLife.count());
    updatedAt = std::max(updatedAt, now);
}

auto DecayedUsage::rank(MonoTime now, Seconds halfLife) const -> double
{
    // d(use)/dt = held - k * use has the solution use(t) = held/k + (use(0) - held/k) * exp(-k t).
    const auto k = std::numbers::ln2 / static_cast<double>(halfLife.count());
    const auto level = held / k;
    return level + (slotSeconds - level) * std::exp(-k * secondsBetween(updatedAt, now)) + static_cast<double>(held) * static_cast<double>(halfLife.count());
}

auto waitReasonText(WaitReason reason) -> const char *
{
    switch (reason) {
    case WaitReason::New:
        return "not considered yet";
    case WaitReason::GuaranteeInUse:
        return "the workspace's guarantee is in use and no free slots fit the job";
    case WaitReason::NoFreeSlots:
        return "no free slots fit the job";
    case WaitReason::Reserved:
        return "a place is reserved and becomes free when running jobs end";
    case WaitReason::Quota:
        return "the workspace's quota is used up";
    case WaitReason::Guarantees:
        return "the job cannot be stopped, and the free slots are needed for other workspaces' guarantees";
    case WaitReason::NoWorkers:
        return "no worker is known";
    case WaitReason::NeverFits:
        return "the known fleet, quotas and guarantees leave no place for the job; it is parked if that lasts";
    }
    return "";
}

auto JobQueue::SubmittedEarlier::operator()(const WaitingJob *a, const WaitingJob *b) const -> bool
{
    return std::pair{a->since, a->sequence} < std::pair{b->since, b->sequence};
}

JobQueue::JobQueue(Seconds halfLife)
    : m_halfLife(std::max(halfLife, Seconds{1}))
{
}

auto JobQueue::callersOf(int workspace) -> Callers &
{
    if (workspace >= static_cast<int>(m_workspaces.size())) {
        m_workspaces.resize(workspace + 1);
        m_waiting.resize(workspace + 1);
    }
    return m_workspaces[workspace];
}

auto JobQueue::add(WaitingJob job) -> WaitingJob *
{
    const auto id = job.spec.job;
    const auto [it, added] = m_jobs.emplace(id, std::move(job));
    if (!added) {
        return nullptr;
    }
    auto &entry = it->second;
    auto &caller = callersOf(entry.workspace)[entry.spec.caller];
    caller.kinds[entry.spec.kind].jobs.insert(&entry);
    ++caller.waiting;
    ++m_waiting[entry.workspace];
    return &entry;
}

auto JobQueue::remove(const JobId &job) -> void
{
    const auto it = m_jobs.find(job);
    if (it == m_jobs.end()) {
        return;
    }
    auto &entry = it->second;
    auto &caller = m_workspaces[entry.workspace][entry.spec.caller];
    caller.kinds[entry.spec.kind].jobs.erase(&entry);
    --caller.waiting;
    --m_waiting[entry.workspace];
    m_jobs.erase(it);
}

auto JobQueue::find(const JobId &job) -> WaitingJob *
{
    const auto it = m_jobs.find(job);
    return it == m_jobs.end() ? nullptr : &it->second;
}

auto JobQueue::cursor(int workspace, MonoTime now) const -> Cursor
{
    auto cursor = Cursor{};
    cursor.m_halfLife = m_halfLife;
    if (workspace >= static_cast<int>(m_workspaces.size())) {
        return cursor;
    }
    auto number = 0;
    for (const auto &[id, caller] : m_workspaces[workspace]) {
        ++number;
        if (caller.waiting == 0) {
            continue;
        }
        const auto rank = caller.use.rank(now, m_halfLife);
        for (const auto &[kindId, kind] : caller.kinds) {
            if (!kind.jobs.empty()) {
                cursor.m_positions.push_back({rank, kind.use.rank(now, m_halfLife), kind.jobs.begin(), kind.jobs.end(), number});
            }
        }
    }
    return cursor;
}

auto JobQueue::Cursor::next() -> WaitingJob *
{
    std::erase_if(m_positions, [](const KindPosition &position) { return position.at == position.end; });
    if (m_positions.empty()) {
        return nullptr;
    }
    const auto before = [](const KindPosition &a, const KindPosition &b) {
        if (a.callerRank != b.callerRank) {
            return a.callerRank < b.callerRank;
        }
        if (a.caller == b.caller && a.kindRank != b.kindRank) {
            return a.kindRank < b.kindRank;
        }
        return SubmittedEarlier{}(*a.at, *b.at);
    };
    const auto best = std::min_element(m_positions.begin(), m_positions.end(), before);
    m_last = static_cast<std::size_t>(best - m_positions.begin());
    return *best->at++;
}

auto JobQueue::Cursor::charge(int slots) -> void
{
    const auto added = static_cast<double>(slots) * static_cast<double>(m_halfLife.count());
    const auto caller = m_positions[m_last].caller;
    m_positions[m_last].kindRank += added;
    for (auto &position : m_positions) {
        if (position.caller == caller) {
            position.callerRank += added;
        }
    }
}

auto JobQueue::all() const -> std::vector<const WaitingJob *>
{
    auto jobs = std::vector<const WaitingJob *>{};
    jobs.reserve(m_jobs.size());
    for (const auto &[id, job] : m_jobs) {
        jobs.push_back(&job);
    }
    std::sort(jobs.begin(), jobs.end(), SubmittedEarlier{});
    return jobs;
}

auto JobQueue::size() const -> std::size_t
{
    return m_jobs.size();
}

auto JobQueue::waitingIn(int workspace) const -> int
{
    return workspace < static_cast<int>(m_waiting.size()) ? m_waiting[workspace] : 0;
}

auto JobQueue::changeHeldSlots(int workspace, const ScheduledJob &spec, int slots, MonoTime now) -> void
{
    auto &callers = callersOf(workspace);
    auto &caller = callers[spec.caller];
    auto &kind = caller.kinds[spec.kind];
    for (auto *use : {&caller.use, &kind.use}) {
        use->advance(now, m_halfLife);
        use->held += slots;
    }
    if (now >= m_lastPrune + m_halfLife) {
        m_lastPrune = now;
        for (auto &others : m_workspaces) {
            std::erase_if(others, [&](const auto &entry) {
                const auto &[id, other] = entry;
                return other.use.held == 0 && other.waiting == 0 && other.use.rank(now, m_halfLife) < negligibleUse;
            });
        }
    }
}

}

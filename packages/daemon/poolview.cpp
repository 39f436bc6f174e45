#include "daemon/poolview.h"

#include <algorithm>

namespace Catkin
{

PoolView::PoolView(Clock clock)
    : m_clock(std::move(clock))
{
}

auto PoolView::applyConfig(const PoolConfig &config) -> bool
{
    const auto lock = std::lock_guard{m_mutex};
    if (m_config && config.rules.version <= m_config->rules.version) {
        return false;
    }
    m_config = std::make_shared<const PoolConfig>(config);
    return true;
}

auto PoolView::config() const -> std::shared_ptr<const PoolConfig>
{
    const auto lock = std::lock_guard{m_mutex};
    return m_config;
}

auto PoolView::beginOperatorSnapshot() -> void
{
    const auto lock = std::lock_guard{m_mutex};
    Catkin::beginSnapshot(m_evacuations);
}

auto PoolView::applyEvacuation(const FailureDomainId &domain, bool isRequested) -> bool
{
    const auto lock = std::lock_guard{m_mutex};
    return noteEvacuation(m_evacuations, domain, isRequested);
}

auto PoolView::operatorLogRead() -> bool
{
    const auto lock = std::lock_guard{m_mutex};
    return noteRead(m_evacuations);
}

auto PoolView::evacuated() const -> std::optional<std::set<FailureDomainId>>
{
    const auto lock = std::lock_guard{m_mutex};
    return m_evacuations.isKnown ? std::optional{m_evacuations.inForce} : std::nullopt;
}

auto PoolView::beginSnapshot(RecordLog log) -> void
{
    const auto lock = std::lock_guard{m_mutex};
    m_snapshots[log].clear();
}

auto PoolView::endSnapshot(RecordLog log) -> void
{
    const auto lock = std::lock_guard{m_mutex};
    const auto named = m_snapshots.find(log);
    if (named == m_snapshots.end()) {
        return;
    }
    for (auto &[id, it] : m_jobs) {
        if (!named->second.contains(id)) {
            it.logs.erase(log);
        }
    }
    std::erase_if(m_jobs, [&](const auto &it) {
        if (it.second.logs.empty()) {
            noteDropped(it.second);
        }
        return it.second.logs.empty();
    });
    m_snapshots.erase(named);
}

auto PoolView::summaryOf(RecordLog log, const JobId &id) -> JobSummary &
{
    if (const auto snapshot = m_snapshots.find(log); snapshot != m_snapshots.end()) {
        snapshot->second.insert(id);
    }
    auto &summary = m_jobs[id];
    summary.logs.insert(log);
    return summary;
}

auto PoolView::drop(RecordLog log, const JobId &id) -> void
{
    const auto it = m_jobs.find(id);
    if (it == m_jobs.end()) {
        return;
    }
    it->second.logs.erase(log);
    // The states drop a job after the logs of jobs have dropped it.
    if (log == RecordLog::States || it->second.logs.empty()) {
        noteDropped(it->second);
        m_jobs.erase(it);
    }
}

auto PoolView::noteArrived(JobSummary &summary, bool isFromSnapshot) -> void
{
    // A job of a snapshot may have waited for any time. Its start still counts towards the rate.
    summary.waiting = m_admission.arrived(*summary.job, !isFromSnapshot, m_clock.mono());
    noteProgress(summary);
}

auto PoolView::noteProgress(JobSummary &summary) -> void
{
    const auto started = summary.phase != PoolJobPhase::Queued && summary.phase != PoolJobPhase::Cancelled;
    const auto isOver = started || summary.cancelled || summary.phase == PoolJobPhase::Cancelled;
    if (!summary.waiting || (!isOver && summary.reason.empty())) {
        return;
    }
    m_admission.left(*summary.waiting, started, m_clock.mono());
    // Work that cannot go on delays nobody, but its start still counts towards the rate.
    summary.waiting->counts = false;
    if (isOver) {
        summary.waiting.reset();
    }
}

auto PoolView::noteDropped(const JobSummary &summary) -> void
{
    if (summary.waiting) {
        m_admission.left(*summary.waiting, false, m_clock.mono());
    }
}

auto PoolView::refusalOf(const PoolJob &job) -> std::optional<AdmissionRefusal>
{
    const auto lock = std::lock_guard{m_mutex};
    if (!m_config || m_jobs.contains(job.id)) {
        return {};
    }
    const auto &guarantees = m_config->rules.guaranteedAccelerators;
    const auto guarantee = guarantees.find(job.workspace);
    return guarantee != guarantees.end() && guarantee->second > 0 ? std::nullopt : m_admission.refusal(job, m_clock.mono());
}

auto PoolView::apply(RecordLog log, const PoolRecord &record) -> bool
{
    const auto lock = std::lock_guard{m_mutex};
    if (const auto *job = std::get_if<PoolJob>(&record)) {
        auto &summary = summaryOf(log, job->id);
        const auto isNew = !summary.job;
        if (isNew) {
            summary.job = std::make_shared<const PoolJob>(*job);
            noteArrived(summary, m_snapshots.contains(log));
        }
        return isNew;
    }
    if (const auto *cancel = std::get_if<CancelRecord>(&record)) {
        auto &summary = summaryOf(log, cancel->id);
        const auto isNew = !std::exchange(summary.cancelled, true);
        noteProgress(summary);
        return isNew;
    }
    if (const auto *phase = std::get_if<PhaseRecord>(&record)) {
        auto &summary = summaryOf(log, phase->id);
        summary.phase = phase->phase;
        summary.reason = phase->reason;
        noteProgress(summary);
    } else if (const auto *tombstone = std::get_if<TombstoneRecord>(&record)) {
        drop(log, tombstone->id);
    }
    return false;
}

auto PoolView::noteUnreadable(RecordLog log, const JobId &id) -> void
{
    const auto lock = std::lock_guard{m_mutex};
    summaryOf(log, id).isUnreadable = true;
}

auto PoolView::find(const JobId &id) const -> std::optional<JobSummary>
{
    const auto lock = std::lock_guard{m_mutex};
    const auto it = m_jobs.find(id);
    return it == m_jobs.end() ? std::nullopt : std::optional{it->second};
}

auto PoolView::pendingOf(const QueueId &queue) const -> std::size_t
{
    const auto lock = std::lock_guard{m_mutex};
    return static_cast<std::size_t>(std::count_if(m_jobs.begin(), m_jobs.end(), [&](const auto &it) {
        return it.second.job && it.second.job->queue == queue && shownPhase(it.second) == PoolJobPhase::Queued;
    }));
}

auto PoolView::jobs() const -> std::map<JobId, JobSummary>
{
    const auto lock = std::lock_guard{m_mutex};
    return m_jobs;
}

auto PoolView::shownPhase(const JobSummary &summary) -> PoolJobPhase
{
    // A job that had completed before its cancellation was noticed stays completed.
    return summary.cancelled && !isFinal(summary.phase) ? PoolJobPhase::Cancelled : summary.phase;
}

}

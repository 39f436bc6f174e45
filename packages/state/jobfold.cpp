#include "state/jobfold.h"

#include <algorithm>

namespace Catkin
{

namespace
{

auto applyAttempt(Job &job, const JobAttemptRecord &record) -> bool
{
    // Numbers may be skipped: a planner gives every try a new number, also after it abandoned one. A late or repeated record
    // of the abandoned try then does not match a later try.
    const auto valid = record.attempt > job.attempt && (job.spec.restartable || job.state == JobState::Queued);
    if (!valid) {
        return false;
    }
    job.attempt = record.attempt;
    job.holder = record.holder;
    job.generation = record.generation;
    job.state = job.cancelRequested ? JobState::Stopping : JobState::Starting;
    return true;
}

auto stateAfter(const Job &job, JobResult result) -> JobState
{
    switch (result) {
    case JobResult::Succeeded:
        return JobState::Succeeded;
    case JobResult::Failed:
        return JobState::Failed;
    case JobResult::Cancelled:
        return JobState::Cancelled;
    case JobResult::Parked:
        return JobState::Parked;
    case JobResult::Unknown:
        return JobState::Unknown;
    case JobResult::Requeue:
        return job.cancelRequested ? JobState::Cancelled : JobState::Queued;
    }
    return JobState::Unknown;
}

auto applyFinish(Job &job, const JobFinishRecord &record) -> bool
{
    if (record.attempt != job.attempt) {
        return false;
    }
    const auto requeue = record.result == JobResult::Requeue;
    if (job.state == JobState::Queued) {
        // A queued job has no running attempt that could succeed, be requeued or have an unknown result.
        const auto endsQueuedJob = record.result == JobResult::Failed || record.result == JobResult::Cancelled || record.result == JobResult::Parked;
        if (!endsQueuedJob) {
            return false;
        }
    }
    if (requeue && !job.spec.restartable && (record.ran || job.state == JobState::Running)) {
        return false;
    }
    job.state = stateAfter(job, record.result);
    job.detail = record.detail;
    if (!record.checkpoint.empty()) {
        job.checkpoint = record.checkpoint;
    }
    return true;
}

auto applyCancel(Job &job, const JobCancelRecord &record) -> bool
{
    if (job.cancelRequested) {
        return false;
    }
    job.cancelRequested = true;
    job.state = job.state == JobState::Queued ? JobState::Cancelled : JobState::Stopping;
    job.detail = record.reason.empty() ? "cancelled by " + record.by : record.reason;
    return true;
}

}

auto applyToJob(Job &job, const JobRecord &record, WallTime time) -> bool
{
    if (isTerminal(job.state)) {
        return false;
    }
    auto changed = false;
    if (const auto *attempt = std::get_if<JobAttemptRecord>(&record)) {
        changed = applyAttempt(job, *attempt);
    } else if (const auto *started = std::get_if<JobStartedRecord>(&record)) {
        changed = started->attempt == job.attempt && job.state == JobState::Starting;
        job.state = changed ? JobState::Running : job.state;
    } else if (const auto *finish = std::get_if<JobFinishRecord>(&record)) {
        changed = applyFinish(job, *finish);
    } else if (const auto *cancel = std::get_if<JobCancelRecord>(&record)) {
        changed = applyCancel(job, *cancel);
    }
    if (changed) {
        ++job.revision;
        job.changed = time;
    }
    return changed;
}

JobFold::JobFold(JobFoldOptions options)
    : m_options(options)
{
}

auto JobFold::restart(LogOffset first) -> void
{
    m_start = first;
    m_next = first;
    m_now = {};
    m_jobs.clear();
    m_terminal.clear();
    m_orphans.clear();
    m_orphanTimes.clear();
}

auto JobFold::apply(LogOffset offset, WallTime time, const JobRecord &record) -> void
{
    if (offset < m_next) {
        return;
    }
    m_next = offset + LogOffset{1};
    m_now = std::max(m_now, time);
    expire();
    if (const auto *accept = std::get_if<JobAcceptRecord>(&record)) {
        applyAccept(offset, m_now, *accept);
    } else if (const auto *snapshot = std::get_if<JobSnapshotRecord>(&record)) {
        applySnapshot(*snapshot, m_now);
    } else if (const auto *attempt = std::get_if<JobAttemptRecord>(&record)) {
        applyChange(offset, m_now, attempt->job, record);
    } else if (const auto *started = std::get_if<JobStartedRecord>(&record)) {
        applyChange(offset, m_now, started->job, record);
    } else if (const auto *finish = std::get_if<JobFinishRecord>(&record)) {
        applyChange(offset, m_now, finish->job, record);
    } else if (const auto *cancel = std::get_if<JobCancelRecord>(&record)) {
        applyChange(offset, m_now, cancel->job, record);
    }
    expire();
}

auto JobFold::apply(LogOffset offset, WallTime time, std::string_view text) -> void
{
    if (offset < m_next) {
        return;
    }
    auto record = decodeJobRecord(text);
    if (!record) {
        ++m_counts.undecodable;
        m_next = offset + LogOffset{1};
        m_now = std::max(m_now, time);
        expire();
        return;
    }
    apply(offset, time, record.value());
}

auto JobFold::noteRead(LogOffset next, WallTime now) -> void
{
    m_next = std::max(m_next, next);
    m_readAt = std::max(m_readAt, now);
}

auto JobFold::position() const -> FoldPosition
{
    return {.through = m_next, .asOf = m_readAt};
}

auto JobFold::find(const JobId &id) const -> const Job *
{
    const auto it = m_jobs.find(id);
    return it == m_jobs.end() ? nullptr : &it->second.job;
}

auto JobFold::isAttempt(const JobId &id, int attempt, const InstanceId &holder, std::int64_t generation) const -> bool
{
    const auto *job = find(id);
    return job != nullptr && !isTerminal(job->state) && job->state != JobState::Queued && !job->cancelRequested && job->attempt == attempt
           && job->holder == holder && job->generation == generation;
}

auto JobFold::list(const JobFilter &filter, const JobId &after, std::size_t limit) const -> std::vector<const Job *>
{
    auto found = std::vector<const Job *>{};
    for (auto it = m_jobs.upper_bound(after); it != m_jobs.end() && found.size() < limit; ++it) {
        const auto &job = it->second.job;
        const auto matches = (!filter.workspace || job.spec.workspace == *filter.workspace) && (!filter.state || job.state == *filter.state)
                             && (!filter.liveOnly || !isTerminal(job.state));
        if (matches) {
            found.push_back(&job);
        }
    }
    return found;
}

auto JobFold::visit(const std::function<void(const Job &job, WallTime fullStateAt)> &visit) const -> void
{
    for (const auto &[id, entry] : m_jobs) {
        visit(entry.job, entry.fullStateAt);
    }
}

auto JobFold::size() const -> std::size_t
{
    return m_jobs.size();
}

auto JobFold::next() const -> LogOffset
{
    return m_next;
}

auto JobFold::counts() const -> const JobFoldCounts &
{
    return m_counts;
}

auto JobFold::applyAccept(LogOffset offset, WallTime time, const JobAcceptRecord &accept) -> void
{
    if (isStale(accept.position, time)) {
        ++m_counts.stale;
        return;
    }
    if (m_jobs.contains(accept.spec.id)) {
        ++m_counts.ignored;
        return;
    }
    if (accept.position.through < m_start) {
        // An earlier accept record may lie before this reader's start. A later accept or snapshot record decides.
        keepOrphan(offset, time, accept.spec.id, accept);
        return;
    }
    // The job did not exist at the builder's position, so the first accept record from there on wins. It may be an orphan.
    auto orphans = takeOrphans(accept.spec.id);
    const auto first = std::find_if(orphans.begin(), orphans.end(), [&](const Orphan &it) {
        return it.offset >= accept.position.through && std::holds_alternative<JobAcceptRecord>(it.record);
    });
    const auto found = first != orphans.end();
    const auto &spec = found ? std::get<JobAcceptRecord>(first->record).spec : accept.spec;
    const auto accepted = found ? first->time : time;
    orphans.erase(orphans.begin(), found ? first + 1 : first);
    ++m_counts.applied;
    insert(Job{.spec = spec, .revision = 1, .accepted = accepted, .changed = accepted}, accepted, orphans);
}

auto JobFold::applySnapshot(const JobSnapshotRecord &snapshot, WallTime time) -> void
{
    if (isStale(snapshot.position, time)) {
        ++m_counts.stale;
        return;
    }
    const auto known = m_jobs.find(snapshot.job.spec.id);
    if (known != m_jobs.end()) {
        auto &[job, fullStateAt] = known->second;
        if (snapshot.job.revision > job.revision && !isTerminal(job.state)) {
            // Happens only after this reader skipped a record of the job because it could not decode it.
            job = snapshot.job;
            fullStateAt = time;
            noteIfTerminal(job);
            ++m_counts.applied;
            return;
        }
        if (snapshot.job.revision == job.revision) {
            fullStateAt = time;
        }
        ++m_counts.ignored;
        return;
    }
    if (snapshot.position.through < m_start) {
        ++m_counts.unknownJob;
        return;
    }
    auto orphans = takeOrphans(snapshot.job.spec.id);
    std::erase_if(orphans, [&](const Orphan &it) { return it.offset < snapshot.position.through; });
    ++m_counts.applied;
    insert(snapshot.job, time, orphans);
}

auto JobFold::applyChange(LogOffset offset, WallTime time, const JobId &id, const JobRecord &record) -> void
{
    const auto known = m_jobs.find(id);
    if (known == m_jobs.end()) {
        keepOrphan(offset, time, id, record);
        return;
    }
    auto &job = known->second.job;
    if (!applyToJob(job, record, time)) {
        ++m_counts.ignored;
        return;
    }
    ++m_counts.applied;
    noteIfTerminal(job);
}

auto JobFold::isStale(const FoldPosition &position, WallTime time) const -> bool
{
    const auto lag = time - position.asOf;
    return lag > m_options.maxRecordLag || -lag > m_options.maxRecordLag;
}

auto JobFold::keepOrphan(LogOffset offset, WallTime time, const JobId &id, const JobRecord &record) -> void
{
    m_orphans[id].push_back({offset, time, record});
    m_orphanTimes.emplace(time, id);
    ++m_counts.unknownJob;
}

auto JobFold::takeOrphans(const JobId &id) -> std::vector<Orphan>
{
    auto node = m_orphans.extract(id);
    return node.empty() ? std::vector<Orphan>{} : std::move(node.mapped());
}

auto JobFold::insert(Job job, WallTime fullStateAt, const std::vector<Orphan> &later) -> void
{
    for (const auto &it : later) {
        applyToJob(job, it.record, it.time);
    }
    const auto id = job.spec.id;
    const auto &entry = m_jobs.insert_or_assign(id, Entry{std::move(job), fullStateAt}).first->second;
    noteIfTerminal(entry.job);
}

auto JobFold::noteIfTerminal(const Job &job) -> void
{
    if (isTerminal(job.state)) {
        m_terminal.emplace(job.changed, job.spec.id);
    }
}

auto JobFold::expire() -> void
{
    while (!m_terminal.empty() && m_terminal.begin()->first + m_options.terminalRetention < m_now) {
        m_jobs.erase(m_terminal.begin()->second);
        m_terminal.erase(m_terminal.begin());
    }
    // A snapshot or accept record lags at most maxRecordLag, so it never needs older orphans. Keeping them twice as long
    // allows for a difference between the builder's clock and the log's.
    while (!m_orphanTimes.empty() && m_orphanTimes.begin()->first + 2 * m_options.maxRecordLag < m_now) {
        const auto it = m_orphans.find(m_orphanTimes.begin()->second);
        if (it != m_orphans.end()) {
            const auto limit = m_orphanTimes.begin()->first;
            std::erase_if(it->second, [limit](const Orphan &orphan) { return orphan.time <= limit; });
            if (it->second.empty()) {
                m_orphans.erase(it);
            }
        }
        m_orphanTimes.erase(m_orphanTimes.begin());
    }
}

}

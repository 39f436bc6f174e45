#include "daemon/jobservice.h"

#include <algorithm>
#include <utility>

namespace Catkin
{

namespace
{

auto jobOf(const JobRecord &record) -> JobId
{
    struct Visitor
    {
        auto operator()(const JobAcceptRecord &it) const -> JobId
        {
            return it.spec.id;
        }
        auto operator()(const JobSnapshotRecord &it) const -> JobId
        {
            return it.job.spec.id;
        }
        auto operator()(const JobAttemptRecord &it) const -> JobId
        {
            return it.job;
        }
        auto operator()(const JobStartedRecord &it) const -> JobId
        {
            return it.job;
        }
        auto operator()(const JobFinishRecord &it) const -> JobId
        {
            return it.job;
        }
        auto operator()(const JobCancelRecord &it) const -> JobId
        {
            return it.job;
        }
    };
    return std::visit(Visitor{}, record);
}

}

JobService::JobService(const LogPort &log, LogWriter &writer, const Clock &clock, const JobServiceOptions &options, std::function<void()> changed)
    : m_writer(writer)
    , m_clock(clock)
    , m_notify(std::move(changed))
    , m_recorded(options.recorded)
    , m_fold(options.fold)
    , m_snapshotter(options.instance, {.retention = options.retention})
    , m_tail(
          log, clock, "jobs", [this](const LogPage &page, bool restart) { applyPage(page, restart); }, options.tail)
{
}

auto JobService::notify() -> void
{
    m_folded.notify_all();
    if (m_notify) {
        m_notify();
    }
}

auto JobService::applyPage(const LogPage &page, bool restart) -> void
{
    {
        const auto lock = std::lock_guard{m_mutex};
        if (restart) {
            m_fold.restart(page.first);
        }
        for (const auto &it : page.records) {
            m_fold.apply(it.offset, it.time, it.data);
            if (m_ahead.empty()) {
                continue;
            }
            // Own records return in the order in which they were appended.
            const auto record = decodeJobRecord(it.data);
            const auto ahead = record ? m_ahead.find(jobOf(record.value())) : m_ahead.end();
            if (ahead != m_ahead.end() && ahead->second.front() == record.value()) {
                ahead->second.erase(ahead->second.begin());
                if (ahead->second.empty()) {
                    m_ahead.erase(ahead);
                }
            }
        }
        m_fold.noteRead(page.next, m_clock.wall());
    }
    if (restart || !page.records.empty()) {
        notify();
    }
}

auto JobService::merged(const Job &job) const -> Job
{
    auto out = job;
    const auto it = m_ahead.find(job.spec.id);
    if (it != m_ahead.end()) {
        for (const auto &record : it->second) {
            applyToJob(out, record, m_clock.wall());
        }
    }
    return out;
}

auto JobService::find(const JobId &id) const -> std::optional<Job>
{
    const auto lock = std::lock_guard{m_mutex};
    const auto *job = m_fold.find(id);
    return job == nullptr ? std::nullopt : std::optional{merged(*job)};
}

auto JobService::submit(const JobDescription &spec, Millis wait) -> SubmitResult
{
    const auto compare = [&](const Job &job) -> SubmitResult {
        if (job.spec == spec) {
            return {.outcome = SubmitOutcome::Exists, .job = job};
        }
        return {.outcome = SubmitOutcome::KeyInUse, .reason = "the key belongs to a job with other contents"};
    };
    if (!caughtUp()) {
        return {.outcome = SubmitOutcome::NotAccepted, .reason = "the platform's log has not been read yet"};
    }
    if (const auto known = find(spec.id)) {
        // The home failure domain may have been chosen by another instance.
        auto same = *known;
        same.spec.domain = spec.domain;
        auto result = compare(same);
        if (result.job) {
            result.job = known;
        }
        return result;
    }
    auto position = FoldPosition{};
    {
        const auto lock = std::lock_guard{m_mutex};
        position = m_fold.position();
    }
    const auto accept = JobRecord{JobAcceptRecord{.spec = spec, .position = position}};
    const auto appended = m_writer.append("jobs", encodeRecord(accept));
    if (!appended && appended.error().code != ErrorCode::Unknown) {
        return {.outcome = SubmitOutcome::NotAccepted, .reason = appended.error().message};
    }
    auto found = std::optional<Job>{};
    {
        auto lock = std::unique_lock{m_mutex};
        m_folded.wait_for(lock, wait, [&] {
            const auto *job = m_fold.find(spec.id);
            found = job == nullptr ? std::nullopt : std::optional{merged(*job)};
            return found.has_value();
        });
    }
    if (found) {
        auto result = compare(*found);
        if (result.outcome == SubmitOutcome::Exists) {
            result.outcome = SubmitOutcome::Accepted;
            if (m_recorded) {
                m_recorded(*found, accept);
            }
        }
        return result;
    }
    if (appended) {
        if (m_recorded) {
            m_recorded(Job{.spec = spec}, accept);
        }
        // The record is in the log; only this instance has not read it back yet.
        return {.outcome = SubmitOutcome::Accepted, .job = Job{.spec = spec}};
    }
    return {.outcome = SubmitOutcome::Unknown, .reason = appended.error().message};
}

auto JobService::record(const JobRecord &record) -> void
{
    if (m_recorded) {
        if (const auto job = find(jobOf(record))) {
            m_recorded(*job, record);
        }
    }
    {
        const auto lock = std::lock_guard{m_mutex};
        m_ahead[jobOf(record)].push_back(record);
    }
    (void)m_writer.appendEventually("jobs", encodeRecord(record));
    notify();
}

auto JobService::cancel(const JobId &id, const std::string &by, const std::string &reason) -> Result<Job>
{
    const auto job = find(id);
    if (!job) {
        return failure(ErrorCode::NotFound, "no job '" + id.str() + "'");
    }
    if (!isTerminal(job->state) && !job->cancelRequested) {
        record(JobRecord{JobCancelRecord{.job = id, .by = by, .reason = reason}});
    }
    return *find(id);
}

auto JobService::waitCancelStored(const JobId &id, Millis limit) -> bool
{
    auto lock = std::unique_lock{m_mutex};
    return m_folded.wait_for(lock, limit, [&] {
        const auto *job = m_fold.find(id);
        return job == nullptr || job->cancelRequested || isTerminal(job->state);
    });
}

auto JobService::recordAttempt(const JobAttemptRecord &attempt, Millis wait) -> bool
{
    const auto appended = m_writer.append("jobs", encodeRecord(JobRecord{attempt}));
    if (!appended && appended.error().code != ErrorCode::Unknown) {
        return false;
    }
    auto lock = std::unique_lock{m_mutex};
    const auto won = [&] { return m_fold.isAttempt(attempt.job, attempt.attempt, attempt.holder, attempt.generation); };
    m_folded.wait_for(lock, wait, [&] { return won() || (appended && m_fold.next() > appended.value()); });
    return won();
}

auto JobService::waitChanged(const JobId &id, std::int64_t revision, Millis limit) -> std::optional<Job>
{
    auto lock = std::unique_lock{m_mutex};
    auto found = std::optional<Job>{};
    m_folded.wait_for(lock, limit, [&] {
        const auto *job = m_fold.find(id);
        found = job == nullptr ? std::nullopt : std::optional{merged(*job)};
        return !found || found->revision != revision;
    });
    return found;
}

auto JobService::list(const JobFilter &filter, const JobId &after, std::size_t limit) const -> std::vector<Job>
{
    const auto lock = std::lock_guard{m_mutex};
    auto out = std::vector<Job>{};
    for (const auto *it : m_fold.list(filter, after, limit)) {
        out.push_back(merged(*it));
    }
    return out;
}

auto JobService::liveIn(const FailureDomainId &domain) const -> std::vector<Job>
{
    const auto lock = std::lock_guard{m_mutex};
    auto out = std::vector<Job>{};
    m_fold.visit([&](const Job &job, WallTime) {
        if (job.spec.domain == domain && !isTerminal(job.state)) {
            out.push_back(merged(job));
        }
    });
    return out;
}

auto JobService::appendSnapshots(std::span<const std::string> fresh, WallTime now) -> void
{
    auto records = std::vector<JobSnapshotRecord>{};
    {
        const auto lock = std::lock_guard{m_mutex};
        records = m_snapshotter.jobSnapshots(m_fold, fresh, now);
    }
    for (const auto &it : records) {
        (void)m_writer.append("jobs", encodeRecord(JobRecord{it}));
    }
}

auto JobService::caughtUp() const -> bool
{
    return m_tail.caughtUp();
}

auto JobService::age() const -> std::optional<Millis>
{
    return m_tail.age();
}

auto JobService::bytesRead() const -> std::uint64_t
{
    return m_tail.bytesRead();
}

auto JobService::size() const -> std::size_t
{
    const auto lock = std::lock_guard{m_mutex};
    return m_fold.size();
}

}

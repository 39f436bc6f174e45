#include "policy/quarantine.h"

#include <algorithm>

namespace Catkin
{

Quarantine::Quarantine(const QuarantineOptions &options)
    : m_options(options)
{
}

auto Quarantine::prune(MonoTime now) -> void
{
    // Scanning every record on each failure would take quadratic time in a burst of failures.
    if (now < m_lastPrune + m_options.window / 8) {
        return;
    }
    m_lastPrune = now;
    const auto old = [&](const auto &entry) { return entry.second + m_options.window < now; };
    for (auto it = m_jobs.begin(); it != m_jobs.end();) {
        std::erase_if(it->second, old);
        it = it->second.empty() ? m_jobs.erase(it) : std::next(it);
    }
    for (auto it = m_workers.begin(); it != m_workers.end();) {
        auto &record = it->second;
        std::erase_if(record.failures, old);
        const auto expired
            = record.failures.empty() && !record.quarantinedUntil && !record.probing && (!record.lastSuccess || *record.lastSuccess + m_options.window < now);
        it = expired ? m_workers.erase(it) : std::next(it);
    }
}

auto Quarantine::failed(const JobId &job, const WorkerId &worker, int fleet, MonoTime now) -> FailureVerdict
{
    prune(now);
    auto verdict = FailureVerdict{};
    auto &failedWorkers = m_jobs[job];
    failedWorkers[worker] = now;
    auto &record = m_workers[worker];
    record.failures[job] = now;

    auto healthy = 0;
    for (const auto &[failedWorker, time] : failedWorkers) {
        const auto &other = m_workers[failedWorker];
        healthy += other.lastSuccess && *other.lastSuccess + m_options.window >= now ? 1 : 0;
    }
    verdict.jobFaulty = static_cast<int>(failedWorkers.size()) >= m_options.workersPerJob && healthy >= m_options.healthyWorkers;
    if (record.quarantinedUntil || verdict.jobFaulty) {
        return verdict;
    }
    // Jobs that also failed on other workers are no evidence against this one.
    const auto jobsFailedOnlyHere = std::count_if(record.failures.begin(), record.failures.end(), [&](const auto &entry) {
        const auto it = m_jobs.find(entry.first);
        return it == m_jobs.end() || it->second.size() <= 1;
    });
    const auto limit = fleet < 2 ? 0 : std::max(1, fleet * m_options.fleetPercent / 100);
    if ((jobsFailedOnlyHere >= m_options.jobsPerWorker || (record.probing && jobsFailedOnlyHere > 0)) && size() < limit) {
        record.duration = record.duration.count() == 0 ? m_options.initialDuration : std::min(record.duration * 2, m_options.window);
        record.quarantinedUntil = now + record.duration;
        record.probing = false;
        verdict.workerQuarantined = true;
    }
    return verdict;
}

auto Quarantine::succeeded(const JobId &job, const std::vector<WorkerId> &workers, MonoTime now) -> void
{
    for (const auto &worker : workers) {
        auto &record = m_workers[worker];
        record.lastSuccess = now;
        record.failures.clear();
        if (record.probing) {
            record.probing = false;
            record.duration = Seconds{0};
        }
    }
    // The job's earlier failures still count against the workers on which it failed.
    forgetJob(job);
}

auto Quarantine::forgetWorker(const WorkerId &worker) -> void
{
    m_workers.erase(worker);
}

auto Quarantine::forgetJob(const JobId &job) -> void
{
    m_jobs.erase(job);
}

auto Quarantine::releaseExpired(MonoTime now) -> std::vector<WorkerId>
{
    auto list = std::vector<WorkerId>{};
    for (auto &[worker, record] : m_workers) {
        if (record.quarantinedUntil && *record.quarantinedUntil <= now) {
            record.quarantinedUntil.reset();
            record.failures.clear();
            record.probing = true;
            list.push_back(worker);
        }
    }
    return list;
}

auto Quarantine::nextRelease() const -> std::optional<MonoTime>
{
    auto next = std::optional<MonoTime>{};
    for (const auto &[worker, record] : m_workers) {
        if (record.quarantinedUntil && (!next || *record.quarantinedUntil < *next)) {
            next = record.quarantinedUntil;
        }
    }
    return next;
}

auto Quarantine::contains(const WorkerId &worker) const -> bool
{
    const auto it = m_workers.find(worker);
    return it != m_workers.end() && it->second.quarantinedUntil.has_value();
}

auto Quarantine::size() const -> int
{
    return static_cast<int>(std::count_if(m_workers.begin(), m_workers.end(), [](const auto &entry) { return entry.second.quarantinedUntil.has_value(); }));
}

auto Quarantine::failedOn(const JobId &job) const -> std::vector<WorkerId>
{
    auto list = std::vector<WorkerId>{};
    if (const auto it = m_jobs.find(job); it != m_jobs.end()) {
        for (const auto &[worker, time] : it->second) {
            list.push_back(worker);
        }
    }
    return list;
}

}

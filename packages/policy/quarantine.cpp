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
    // Scanning every record on each failure would make a burst of failures quadratic.
    if (now < m_pruned + m_options.window / 8) {
        return;
    }
    m_pruned = now;
    const auto old = [&](const auto &entry) { return entry.second + m_options.window < now; };
    for (auto it = m_jobs.begin(); it != m_jobs.end();) {
        std::erase_if(it->second, old);
        it = it->second.empty() ? m_jobs.erase(it) : std::next(it);
    }
    for (auto it = m_workers.begin(); it != m_workers.end();) {
        auto &record = it->second;
        std::erase_if(record.failures, old);
        const auto idle = record.failures.empty() && !record.until && !record.probing && (!record.lastSuccess || *record.lastSuccess + m_options.window < now);
        it = idle ? m_workers.erase(it) : std::next(it);
    }
}

auto Quarantine::failed(const JobId &job, const WorkerId &worker, int fleet, MonoTime now) -> FailureVerdict
{
    prune(now);
    auto verdict = FailureVerdict{};
    auto &places = m_jobs[job];
    places[worker] = now;
    auto &record = m_workers[worker];
    record.failures[job] = now;

    auto healthy = 0;
    for (const auto &[place, time] : places) {
        const auto &other = m_workers[place];
        healthy += other.lastSuccess && *other.lastSuccess + m_options.window >= now ? 1 : 0;
    }
    verdict.jobFaulty = static_cast<int>(places.size()) >= m_options.workersPerJob && healthy >= m_options.healthyWorkers;
    if (record.until || verdict.jobFaulty) {
        return verdict;
    }
    // Jobs that also fail elsewhere say nothing about this worker.
    const auto onlyHere = std::count_if(record.failures.begin(), record.failures.end(), [&](const auto &entry) {
        const auto it = m_jobs.find(entry.first);
        return it == m_jobs.end() || it->second.size() <= 1;
    });
    const auto limit = fleet < 2 ? 0 : std::max(1, fleet * m_options.fleetPercent / 100);
    if ((onlyHere >= m_options.jobsPerWorker || (record.probing && onlyHere > 0)) && size() < limit) {
        record.term = record.term.count() == 0 ? m_options.firstTerm : std::min(record.term * 2, m_options.window);
        record.until = now + record.term;
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
            record.term = Seconds{0};
        }
    }
    // The failures of a job that ends well elsewhere keep counting against the workers where it failed.
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

auto Quarantine::released(MonoTime now) -> std::vector<WorkerId>
{
    auto list = std::vector<WorkerId>{};
    for (auto &[worker, record] : m_workers) {
        if (record.until && *record.until <= now) {
            record.until.reset();
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
        if (record.until && (!next || *record.until < *next)) {
            next = record.until;
        }
    }
    return next;
}

auto Quarantine::contains(const WorkerId &worker) const -> bool
{
    const auto it = m_workers.find(worker);
    return it != m_workers.end() && it->second.until.has_value();
}

auto Quarantine::size() const -> int
{
    return static_cast<int>(std::count_if(m_workers.begin(), m_workers.end(), [](const auto &entry) { return entry.second.until.has_value(); }));
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

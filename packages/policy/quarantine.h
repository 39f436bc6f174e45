#pragma once

/// Attributes task failures to the job or to the worker (design.md, section 3.9).
///
/// @code
///   auto verdict = quarantine.failed(job, worker, fleetSize, now);
///   if (verdict.jobFaulty) park(job);
///   if (verdict.workerQuarantined) stopUsing(worker);
///   for (const auto &worker : quarantine.releaseExpired(now)) startUsing(worker);
/// @endcode
///
/// A job is faulty if it fails on several workers where other jobs succeed. A worker is quarantined if several jobs fail
/// on it that have not failed elsewhere. After its time in quarantine the worker is probed: one more such failure
/// quarantines it again, for twice the time, and one success ends the probing.

#include "util/ids.h"
#include "util/units.h"

#include <map>
#include <optional>
#include <vector>

namespace Catkin
{

struct QuarantineOptions
{
    int workersPerJob = 3; ///< a job is faulty after failing on this many workers
    int healthyWorkers = 2; ///< this many of them must have run other jobs successfully
    int jobsPerWorker = 3; ///< a worker is quarantined after this many jobs failed on it without a success in between
    Seconds window{3600}; ///< older results are ignored
    Seconds initialDuration{300}; ///< first time in quarantine; doubles with every relapse, up to the window
    int fleetPercent = 10; ///< largest share of the workers in quarantine; one worker is always allowed if there are two or more
};

struct FailureVerdict
{
    bool jobFaulty = false;
    bool workerQuarantined = false; ///< by this failure
};

/// See the file comment. Not thread-safe.
class Quarantine
{
public:
    explicit Quarantine(const QuarantineOptions &options = {});

    /// Records that a member of @p job failed on @p worker.
    /// @param fleet number of known workers
    auto failed(const JobId &job, const WorkerId &worker, int fleet, MonoTime now) -> FailureVerdict;
    /// Records that @p job succeeded, with members on @p workers.
    auto succeeded(const JobId &job, const std::vector<WorkerId> &workers, MonoTime now) -> void;
    /// Drops the record of a worker that was replaced or has restarted.
    auto forgetWorker(const WorkerId &worker) -> void;
    auto forgetJob(const JobId &job) -> void;

    /// Ends the quarantine of the workers whose time is over and starts to probe them.
    /// @return these workers, each once.
    auto releaseExpired(MonoTime now) -> std::vector<WorkerId>;
    /// @return when the next quarantine ends, or nothing when no worker is quarantined.
    [[nodiscard]] auto nextRelease() const -> std::optional<MonoTime>;
    /// @return whether @p worker is quarantined.
    [[nodiscard]] auto contains(const WorkerId &worker) const -> bool;
    /// @return the number of quarantined workers.
    [[nodiscard]] auto size() const -> int;
    /// @return the workers on which @p job failed within the window.
    [[nodiscard]] auto failedOn(const JobId &job) const -> std::vector<WorkerId>;

private:
    struct WorkerRecord
    {
        std::map<JobId, MonoTime> failures; ///< last failure of each job since the last success
        std::optional<MonoTime> lastSuccess;
        std::optional<MonoTime> quarantinedUntil; ///< empty when not in quarantine
        bool probing = false;
        Seconds duration{0}; ///< of the latest quarantine; 0 before the first and after a success that ended the probing
    };

    auto prune(MonoTime now) -> void;

    QuarantineOptions m_options;
    std::map<WorkerId, WorkerRecord> m_workers;
    std::map<JobId, std::map<WorkerId, MonoTime>> m_jobs;
    MonoTime m_lastPrune;
};

}

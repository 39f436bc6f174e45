#pragma once

/// Decides whether failures are the fault of a job or of a worker (design.md, section 3.9).
///
/// A job that fails on several workers where other jobs succeed is to blame itself. A worker on which several jobs
/// fail that have not failed elsewhere is quarantined, for a time that doubles with every relapse; after it, the next
/// results there decide.
/// @code
///   auto verdict = quarantine.failed(job, worker, fleetSize, now);
///   if (verdict.jobFaulty) park(job);
///   if (verdict.workerQuarantined) stopUsing(worker);
///   for (const auto &worker : quarantine.released(now)) startUsing(worker);
/// @endcode

#include "util/ids.h"
#include "util/units.h"

#include <map>
#include <optional>
#include <vector>

namespace Catkin
{

struct QuarantineOptions
{
    int workersPerJob = 3; ///< a job is blamed after failing on this many workers
    int healthyWorkers = 2; ///< of which this many must have run other jobs successfully
    int jobsPerWorker = 3; ///< a worker is blamed after this many jobs failed there without a success between
    Seconds window{3600}; ///< older results are forgotten
    Seconds firstTerm{300}; ///< first time in quarantine; doubles with every relapse up to the window
    int fleetPercent = 10; ///< most workers in quarantine; at least one worker when there are two or more
};

struct FailureVerdict
{
    bool jobFaulty = false;
    bool workerQuarantined = false;
};

/// See the file comment. Not thread-safe.
class Quarantine
{
public:
    explicit Quarantine(const QuarantineOptions &options = {});

    /// A member of @p job failed on @p worker.
    /// @param fleet number of known workers
    auto failed(const JobId &job, const WorkerId &worker, int fleet, MonoTime now) -> FailureVerdict;
    /// @p job ended well on @p workers.
    auto succeeded(const JobId &job, const std::vector<WorkerId> &workers, MonoTime now) -> void;
    /// The worker was replaced or has restarted; its record is dropped.
    auto forgetWorker(const WorkerId &worker) -> void;
    auto forgetJob(const JobId &job) -> void;

    /// @return the workers whose time is over, each once. One more failure sends them back, a success clears them.
    auto released(MonoTime now) -> std::vector<WorkerId>;
    /// @return when released() has something new, or nothing.
    [[nodiscard]] auto nextRelease() const -> std::optional<MonoTime>;
    [[nodiscard]] auto contains(const WorkerId &worker) const -> bool;
    [[nodiscard]] auto size() const -> int;
    /// @return the workers on which a job failed recently.
    [[nodiscard]] auto failedOn(const JobId &job) const -> std::vector<WorkerId>;

private:
    struct WorkerRecord
    {
        std::map<JobId, MonoTime> failures; ///< since the last success
        std::optional<MonoTime> lastSuccess;
        std::optional<MonoTime> until; ///< in quarantine
        bool probing = false;
        Seconds term{0};
    };

    auto prune(MonoTime now) -> void;

    QuarantineOptions m_options;
    std::map<WorkerId, WorkerRecord> m_workers;
    std::map<JobId, std::map<WorkerId, MonoTime>> m_jobs;
    MonoTime m_pruned;
};

}

#pragma once

/// What one instance knows of the pool from the logs of jobs, the states and the configuration: enough to answer callers.
///
/// @code
///   view.applyConfig(config, sentAt);
///   view.apply(Catkin::RecordLog::Jobs, record);
///   auto summary = view.find(id);
/// @endcode
///
/// Thread-safe. Its mutex is a leaf: no other lock is taken while it is held.

#include "policy/evacuation.h"
#include "policy/jobadmission.h"
#include "policy/poolfleet.h"
#include "ports/recordstore.h"
#include "state/poolrecords.h"
#include "util/clock.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

namespace Catkin
{

struct JobSummary
{
    std::shared_ptr<const PoolJob> job; ///< null when only a cancellation or a phase has been seen
    PoolJobPhase phase = PoolJobPhase::Queued;
    std::string reason; ///< why the job cannot go on; empty: none
    bool cancelled = false; ///< by the caller; final whatever the phase says
    bool isUnreadable = false; ///< a log holds a record of it that this instance cannot read
    std::set<RecordLog> logs; ///< that hold something of it
    std::optional<WaitingTicket> waiting; ///< while it is counted as waiting for its start
};

class PoolView
{
public:
    /// @param clock for the rates at which jobs arrive and start
    explicit PoolView(Clock clock = bootClock());

    /// Takes a newer configuration; an older one is ignored.
    /// @return whether it was taken
    auto applyConfig(const PoolConfig &config) -> bool;
    [[nodiscard]] auto config() const -> std::shared_ptr<const PoolConfig>;

    /// @name Evacuations of failure domains, from the operators' log
    /// @{
    /// A snapshot of the operators' log follows; what it does not name is revoked at its end.
    auto beginOperatorSnapshot() -> void;
    /// @param isRequested false: the evacuation is revoked
    /// @return whether the planner should hear of it
    auto applyEvacuation(const FailureDomainId &domain, bool isRequested) -> bool;
    /// Reports that the operators' log has been read to its end.
    /// @return whether the planner should hear of it
    auto operatorLogRead() -> bool;
    /// @return the evacuated domains; nothing before the operators' log has been read to its end once.
    [[nodiscard]] auto evacuated() const -> std::optional<std::set<FailureDomainId>>;
    /// @}

    /// What follows from @p log is a snapshot: jobs that it does not name, and no other log, are forgotten at its end.
    auto beginSnapshot(RecordLog log) -> void;
    auto endSnapshot(RecordLog log) -> void;
    /// Takes a record. What a log drops is forgotten when no other log holds something of the job, so that a log that is read again does
    /// not make an old job a new one.
    /// @return whether the planner should hear of it: a new job or a new cancellation.
    auto apply(RecordLog log, const PoolRecord &record) -> bool;
    /// Notes that @p log holds a record of the job that this instance cannot read, so that nobody is told that there is no such job.
    auto noteUnreadable(RecordLog log, const JobId &id) -> void;
    [[nodiscard]] auto find(const JobId &id) const -> std::optional<JobSummary>;
    /// @return accepted jobs of a queue of which nothing has started.
    [[nodiscard]] auto pendingOf(const QueueId &queue) const -> std::size_t;
    [[nodiscard]] auto jobs() const -> std::map<JobId, JobSummary>;
    /// @return why a job that no log holds is refused, see JobAdmission::refusal(); nothing also for a job that the view knows, and for a
    /// workspace with a guarantee.
    auto refusalOf(const PoolJob &job) -> std::optional<AdmissionRefusal>;
    /// @return the phase to show to callers.
    [[nodiscard]] static auto shownPhase(const JobSummary &summary) -> PoolJobPhase;

private:
    auto drop(RecordLog log, const JobId &id) -> void;
    auto summaryOf(RecordLog log, const JobId &id) -> JobSummary &;
    auto noteArrived(JobSummary &summary, bool isFromSnapshot) -> void;
    auto noteProgress(JobSummary &summary) -> void;
    auto noteDropped(const JobSummary &summary) -> void;

    mutable std::mutex m_mutex;
    std::shared_ptr<const PoolConfig> m_config;
    EvacuationRecords m_evacuations;
    Clock m_clock;
    JobAdmission m_admission;
    std::map<JobId, JobSummary> m_jobs;
    std::map<RecordLog, std::set<JobId>> m_snapshots; ///< jobs named since beginSnapshot()
};

}

#pragma once

/// Jobs as this instance knows them: the fold of stream `jobs`, with the planner's own steps applied ahead of the log.
///
/// @code
///   auto result = jobs.submit(spec, Catkin::Millis{2000});
///   auto job = jobs.find(id);
///   jobs.waitChanged(id, revision, Catkin::Millis{10000});
/// @endcode

#include "daemon/logtail.h"
#include "daemon/logwriter.h"
#include "state/jobfold.h"
#include "state/snapshotter.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Catkin
{

enum class SubmitOutcome {
    Accepted, ///< in the log
    Exists, ///< the same job had been accepted before
    KeyInUse, ///< the key belongs to a job with other contents
    NotAccepted, ///< certainly not in the log
    Unknown, ///< the log did not answer; sending the same key again finds out
};

struct SubmitResult
{
    SubmitOutcome outcome = SubmitOutcome::Unknown;
    std::optional<Job> job; ///< Accepted and Exists
    std::string reason;
};

struct JobServiceOptions
{
    InstanceId instance;
    Seconds retention{86'400}; ///< how long the log keeps records
    JobFoldOptions fold;
    LogTailOptions tail;
    /// Called for each acceptance, start and end that this instance records, with the job as it was before; may be empty.
    std::function<void(const Job &, const JobRecord &)> recorded;
};

class JobService
{
public:
    /// @param changed called after the table has changed, on the log reader's thread or the caller's own
    JobService(const LogPort &log, LogWriter &writer, const Clock &clock, const JobServiceOptions &options, std::function<void()> changed);

    /// Appends an accept record and waits until it has been read back.
    /// @param wait longest wait after the append
    auto submit(const JobDescription &spec, Millis wait) -> SubmitResult;

    /// Records a cancellation; it takes effect here at once, also while the log is down.
    /// @return the job; ErrorCode::NotFound, or ErrorCode::Limit when too many records are pending.
    auto cancel(const JobId &id, const std::string &by, const std::string &reason) -> Result<Job>;

    /// Waits until the log shows that a job has been cancelled or has ended. Until then the cancellation is known to this process
    /// alone, and is lost together with it.
    /// @return whether it does; false after @p limit.
    auto waitCancelStored(const JobId &id, Millis limit) -> bool;

    /// Records a planner's step: applied here at once, appended as soon as the log takes it.
    auto record(const JobRecord &record) -> void;

    /// Appends an attempt of a job that must not run twice and finds out whether it won.
    /// @return whether it is the attempt on record; false also when the log did not confirm it in time.
    auto recordAttempt(const JobAttemptRecord &attempt, Millis wait) -> bool;

    /// @return the job as of now.
    [[nodiscard]] auto find(const JobId &id) const -> std::optional<Job>;

    /// Waits until the job's revision differs from @p revision.
    /// @return the job as of then.
    auto waitChanged(const JobId &id, std::int64_t revision, Millis limit) -> std::optional<Job>;

    /// @return jobs ordered by id, from after @p after, at most @p limit.
    [[nodiscard]] auto list(const JobFilter &filter, const JobId &after, std::size_t limit) const -> std::vector<Job>;

    /// @return the live jobs whose home is @p domain.
    [[nodiscard]] auto liveIn(const FailureDomainId &domain) const -> std::vector<Job>;

    /// Appends live jobs again whose records grow old, as far as this instance is to do it.
    /// @param fresh ids of the instances with fresh heartbeats, this one included
    auto appendSnapshots(std::span<const std::string> fresh, WallTime now) -> void;

    [[nodiscard]] auto caughtUp() const -> bool;
    [[nodiscard]] auto age() const -> std::optional<Millis>;
    [[nodiscard]] auto bytesRead() const -> std::uint64_t;
    [[nodiscard]] auto size() const -> std::size_t;

private:
    auto applyPage(const LogPage &page, bool restart) -> void;
    auto merged(const Job &job) const -> Job;
    auto notify() -> void;

    LogWriter &m_writer;
    Clock m_clock;
    std::function<void()> m_notify;
    std::function<void(const Job &, const JobRecord &)> m_recorded;
    mutable std::mutex m_mutex;
    std::condition_variable m_folded;
    JobFold m_fold;
    Snapshotter m_snapshotter;
    std::map<JobId, std::vector<JobRecord>> m_ahead; ///< own records that the log has not shown yet, per job
    LogTail m_tail;
};

}

#pragma once

/// The jobs stream as a table of jobs.
///
/// @code
///   auto fold = Catkin::JobFold{};
///   fold.restart(page.first);                                   // first page, and after every gap
///   for (const auto &it : page.records) {
///       fold.apply(it.offset, it.time, it.data);
///   }
///   fold.noteRead(page.next, clock.wall());
///   if (fold.isAttempt(id, 1, self, generation)) { start(); }   // this planner's attempt won
/// @endcode
///
/// Rules: the first accept of an id wins; attempt n of a job that must not run twice is valid only while the job is queued
/// and n is above the last attempt; for a restartable job any n above the last one is valid; a terminal state is final.
///
/// Every instance has to reach the same table, also one that starts in the middle of the stream and so has missed records.
/// It takes an accept or carry record for an unknown job only if the builder had read at least up to this reader's start:
/// then no missed record can concern the job, and the ones that the builder had not seen are replayed. Records that were
/// appended long after they were built (by a process that was paused, say) are ignored by everybody, because the job might
/// have ended and been dropped in between.

#include "state/records.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Catkin
{

/// Equal on every instance, because the fold depends on them.
struct JobFoldOptions
{
    Seconds terminalRetention{86400}; ///< how long a job stays listed after its end, by log time
    Seconds maxRecordLag{600}; ///< longest time between building an accept or carry record and its place in the log; below terminalRetention
};

/// Which jobs to list; unset members select everything.
struct JobFilter
{
    std::optional<WorkspaceId> workspace;
    std::optional<JobState> state;
    bool liveOnly = false;
};

/// Records that had no effect, by reason.
struct JobFoldCounts
{
    std::uint64_t applied = 0;
    std::uint64_t undecodable = 0;
    std::uint64_t stale = 0; ///< accept and carry records that were appended too late
    std::uint64_t ignored = 0; ///< the state of the job does not allow them, or they repeat what is known
    std::uint64_t unknownJob = 0;
};

class JobFold
{
public:
    explicit JobFold(JobFoldOptions options = {});

    /// Begins reading at @p first, the lowest offset that the log retains; also to be called when records were missed.
    /// Forgets every job.
    auto restart(LogOffset first) -> void;

    /// Folds the record at @p offset; offsets that have been folded already are ignored.
    /// @param time when the log stored the record
    auto apply(LogOffset offset, WallTime time, const JobRecord &record) -> void;

    /// Decodes and folds; a record that cannot be decoded is counted and skipped.
    auto apply(LogOffset offset, WallTime time, std::string_view text) -> void;

    /// Notes that a read of the stream has returned, which also has to be done after an empty page.
    /// @param next offset at which the read ended
    /// @param now wall clock of this instance at the time of the read
    auto noteRead(LogOffset next, WallTime now) -> void;

    /// @return the position to put into accept and carry records.
    [[nodiscard]] auto position() const -> FoldPosition;

    /// @return the job, or null; valid until the next call of a non-const member.
    [[nodiscard]] auto find(const JobId &id) const -> const Job *;

    /// @return whether the last valid attempt of the job is the given one and it may still run.
    [[nodiscard]] auto isAttempt(const JobId &id, int attempt, const InstanceId &holder, std::int64_t generation) const -> bool;

    /// @param after list only jobs with a greater id, for paging
    /// @param limit most jobs to return
    /// @return matching jobs, ordered by id; valid until the next call of a non-const member.
    [[nodiscard]] auto list(const JobFilter &filter, const JobId &after, std::size_t limit) const -> std::vector<const Job *>;

    /// Calls @p visit for every job with the log time of the newest record that holds its whole state.
    auto visit(const std::function<void(const Job &job, WallTime fullStateAt)> &visit) const -> void;

    /// @return the number of jobs in the table.
    [[nodiscard]] auto size() const -> std::size_t;

    /// @return the offset at which to continue reading.
    [[nodiscard]] auto next() const -> LogOffset;

    [[nodiscard]] auto counts() const -> const JobFoldCounts &;

private:
    struct Entry
    {
        Job job;
        WallTime fullStateAt;
    };
    struct Orphan
    {
        LogOffset offset;
        WallTime time;
        JobRecord record;
    };

    auto applyAccept(LogOffset offset, WallTime time, const JobAcceptRecord &accept) -> void;
    auto applySnapshot(const JobSnapshotRecord &snapshot, WallTime time) -> void;
    auto applyChange(LogOffset offset, WallTime time, const JobId &id, const JobRecord &record) -> void;
    auto isStale(const FoldPosition &position, WallTime time) const -> bool;
    auto keepOrphan(LogOffset offset, WallTime time, const JobId &id, const JobRecord &record) -> void;
    auto takeOrphans(const JobId &id) -> std::vector<Orphan>;
    /// Adds a job after replaying the records that followed the given state.
    auto insert(Job job, WallTime fullStateAt, const std::vector<Orphan> &later) -> void;
    auto noteIfTerminal(const Job &job) -> void;
    auto expire() -> void;

    JobFoldOptions m_options;
    LogOffset m_start;
    LogOffset m_next;
    WallTime m_now{}; ///< latest log time seen
    WallTime m_readAt{};
    std::map<JobId, Entry> m_jobs; ///< ordered, for paged listing
    std::multimap<WallTime, JobId> m_terminal; ///< by time of the end
    std::unordered_map<JobId, std::vector<Orphan>> m_orphans; ///< records of jobs that are not (yet) known
    std::multimap<WallTime, JobId> m_orphanTimes;
    JobFoldCounts m_counts;
};

/// Applies one record to one job; the rule book of the fold.
/// @param job state before, changed in place
/// @param record an attempt, started, finish or cancel record of this job
/// @param time log time of the record
/// @return whether the record took effect.
auto applyToJob(Job &job, const JobRecord &record, WallTime time) -> bool;

}

#pragma once

/// Folds the jobs stream into a table of jobs.
///
/// @code
///   auto fold = Catkin::JobFold{};
///   fold.restart(page.first);                                   // first page, and after every gap
///   for (const auto &it : page.records) {
///       fold.apply(it.offset, it.time, it.data);
///   }
///   fold.noteRead(page.next, clock.wall());
///   if (fold.isAttempt(id, 1, self, generation)) { start(); }   // this planner's attempt is the valid one
/// @endcode
///
/// Every instance reaches the same table, also an instance that starts reading in the middle of the stream.
///
/// Rules for one job:
/// - The first accept record of an id wins; later ones are ignored.
/// - An attempt is valid only if its number is above that of the last valid attempt. For a job that must not run twice, the
///   job must also be queued.
/// - A terminal state is final.
///
/// A reader that starts in the middle of the stream has missed the records before its start. It adds an unknown job only
/// from an accept or snapshot record whose builder (the instance that built the record) had folded the stream at least up
/// to the reader's start: no missed record can then change the job's state. The records that the builder had not yet folded
/// are replayed.
///
/// Every instance ignores an accept or snapshot record that the log stored more than maxRecordLag after it was built (by a
/// process that was paused, say), because the job might have ended and been removed in between.

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

/// Must be the same on every instance, because the table depends on them.
struct JobFoldOptions
{
    Seconds terminalRetention{86400}; ///< how long an ended job stays in the table, by log time
    Seconds maxRecordLag{600}; ///< longest time between building an accept or snapshot record and its log time; below terminalRetention
};

/// Selects the jobs to list; the default selects all.
struct JobFilter
{
    std::optional<WorkspaceId> workspace;
    std::optional<JobState> state;
    bool liveOnly = false;
};

/// Number of records by their effect.
struct JobFoldCounts
{
    std::uint64_t applied = 0;
    std::uint64_t undecodable = 0;
    std::uint64_t stale = 0; ///< accept and snapshot records appended more than maxRecordLag after they were built
    std::uint64_t ignored = 0; ///< duplicates, and records that are not valid in the job's state
    std::uint64_t unknownJob = 0; ///< records of jobs that were not in the table
};

class JobFold
{
public:
    explicit JobFold(JobFoldOptions options = {});

    /// Empties the table and continues at @p first, the lowest offset that the log retains. Call it before the first record
    /// and after every gap in the records.
    auto restart(LogOffset first) -> void;

    /// Folds the record at @p offset; a record below next() is ignored.
    /// @param time log time: when the log stored the record
    auto apply(LogOffset offset, WallTime time, const JobRecord &record) -> void;

    /// Decodes and folds; a record that cannot be decoded is counted and skipped.
    auto apply(LogOffset offset, WallTime time, std::string_view text) -> void;

    /// Call it after every read of the stream, also one that returned no records: position() depends on it.
    /// @param next offset at which the read ended
    /// @param now this instance's wall clock when the read returned
    auto noteRead(LogOffset next, WallTime now) -> void;

    /// @return the position to put into an accept or snapshot record that is built now.
    [[nodiscard]] auto position() const -> FoldPosition;

    /// @return the job, or null; valid until the next call of a non-const member.
    [[nodiscard]] auto find(const JobId &id) const -> const Job *;

    /// @param holder planner that made the attempt
    /// @param generation generation counter of that planner
    /// @return whether the attempt is the job's last valid one, and the job has neither ended nor been cancelled or requeued since.
    [[nodiscard]] auto isAttempt(const JobId &id, int attempt, const InstanceId &holder, std::int64_t generation) const -> bool;

    /// @param after return only jobs with a greater id; pass the last id of the previous page
    /// @param limit maximum number of jobs
    /// @return matching jobs, ordered by id; valid until the next call of a non-const member.
    [[nodiscard]] auto list(const JobFilter &filter, const JobId &after, std::size_t limit) const -> std::vector<const Job *>;

    /// Calls @p visit for every job. fullStateAt is the log time of the newest record that holds the job's whole state, which is an
    /// accept or snapshot record.
    auto visit(const std::function<void(const Job &job, WallTime fullStateAt)> &visit) const -> void;

    [[nodiscard]] auto size() const -> std::size_t;

    /// @return the offset of the next record to read.
    [[nodiscard]] auto next() const -> LogOffset;

    [[nodiscard]] auto counts() const -> const JobFoldCounts &;

private:
    struct Entry
    {
        Job job;
        WallTime fullStateAt; ///< log time of the newest record that holds the whole state
    };
    /// A record of a job that is not in the table, kept to be replayed when an accept or snapshot record adds the job.
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
    /// Replays the records @p later on @p job and adds the result to the table.
    auto insert(Job job, WallTime fullStateAt, const std::vector<Orphan> &later) -> void;
    auto noteIfTerminal(const Job &job) -> void;
    auto expire() -> void;

    JobFoldOptions m_options;
    LogOffset m_start; ///< offset of the last restart
    LogOffset m_next;
    WallTime m_now{}; ///< latest log time seen
    WallTime m_readAt{}; ///< this instance's wall clock when its last read returned
    std::map<JobId, Entry> m_jobs; ///< ordered, for paged listing
    std::multimap<WallTime, JobId> m_terminal; ///< ended jobs, by log time of their end
    std::unordered_map<JobId, std::vector<Orphan>> m_orphans;
    std::multimap<WallTime, JobId> m_orphanTimes; ///< job of every orphan, by the orphan's log time
    JobFoldCounts m_counts;
};

/// Applies one record to one job by the rules above.
/// @param job changed in place
/// @param record an attempt, started, finish or cancel record of this job; others have no effect
/// @param time log time of the record
/// @return whether the record took effect.
auto applyToJob(Job &job, const JobRecord &record, WallTime time) -> bool;

}

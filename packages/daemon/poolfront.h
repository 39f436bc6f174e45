#pragma once

/// Answers callers of a pool: submissions, states, cancellations and counts.
///
/// @code
///   auto access = front.resolve(host, path, key);
///   auto outcome = front.submit(access.value(), job, Catkin::Millis{3000});
/// @endcode
///
/// A job is accepted once a log of jobs holds it. "Not run" is only said when certainly none does; when an append is
/// in doubt, the outcome is, and the caller may ask again under the same id. A caller that has less than its whole time
/// left may have tried elsewhere before, and what became of that try is not known here: it is told that the outcome is in doubt.

#include "daemon/metrics.h"
#include "daemon/poolview.h"
#include "ports/recordstore.h"
#include "util/clock.h"
#include "util/outcome.h"
#include "util/random.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace Catkin
{

/// A caller's way to a queue.
struct QueueAccess
{
    QueueId queue;
    std::optional<PoolQueue> rules; ///< of the queue
    WorkspaceId workspace; ///< empty for a public queue without a key
    bool isPublic = false;
    std::string unsupported; ///< why the queue's jobs cannot be run
    Millis callTimeout{0}; ///< how long callers wait for an answer, over all their tries; 0: unknown
    std::string rest; ///< of the path, after the queue's prefix: a job's id or empty
};

enum class SubmitOutcome {
    Accepted,
    NotRun,
    Hopeless, ///< not run: its result would have no value by the time it could start
    OutcomeUnknown,
    Malformed,
};

struct SubmitAnswer
{
    SubmitOutcome outcome = SubmitOutcome::OutcomeUnknown;
    std::string reason;
    Seconds retryAfter{0};
};

/// What a caller is told of its job.
struct JobAnswer
{
    PoolJobPhase phase = PoolJobPhase::Queued;
    std::string reason; ///< why the job cannot go on; empty: none
};

struct PoolFrontOptions
{
    Millis configLimit{5'500}; ///< a configuration unconfirmed for longer is not acted on
    Millis viewLimit{2'000}; ///< a job unknown to a view older than this may exist
    std::size_t homeLog = 0; ///< index in jobLogs of the log to write to first; instances differ, so that the load is spread
    std::size_t recordBytes = defaultRecordBytes; ///< longest record that the store takes, its key included
};

/// How old the instance's knowledge is.
struct PoolFreshness
{
    std::function<std::optional<MonoTime>()> configReadAt; ///< when the last read that confirmed the configuration was sent
    std::function<std::optional<MonoTime>(RecordLog log)> jobsReadAt; ///< the same for one of the logs of jobs
};

class PoolFront
{
public:
    PoolFront(const PoolFrontOptions &options, PoolView &view, RecordStore store, Clock clock, PoolFreshness freshness, Metrics &metrics);

    /// @param host without a port
    /// @return ErrorCode::Unavailable without a configuration that is known to be in force, ErrorCode::NotFound when no queue is there,
    /// ErrorCode::Unauthorized for a key that no workspace has.
    auto resolve(const std::string &host, const std::string &path, const std::string &key) const -> Result<QueueAccess>;

    /// @param job without queue, workspace and time
    /// @param limit how long the caller waits
    auto submit(const QueueAccess &access, PoolJob job, Millis limit) -> SubmitAnswer;

    /// @return ErrorCode::NotFound when no such job exists, ErrorCode::Unavailable when that cannot be told now.
    auto state(const QueueAccess &access, const JobId &id) const -> Result<JobAnswer>;

    /// @return ErrorCode::NotFound when the job belongs to somebody else, ErrorCode::NotSent or ErrorCode::Unknown when the cancellation
    /// is not or may not be stored.
    auto cancel(const QueueAccess &access, const JobId &id, Millis limit) -> Result<void>;

    [[nodiscard]] auto pending(const QueueAccess &access) const -> Result<std::size_t>;

    /// @return whether this instance can serve callers; @p reason is set when not.
    auto ready(std::string &reason) const -> bool;

private:
    auto configFresh() const -> bool;
    auto isFresh(RecordLog log) const -> bool;
    auto allJobsKnown() const -> bool;
    auto append(const KeyedRecord &record, Millis limit, bool isRepeat) -> Result<LogOffset>;
    auto refuseHopeless(const PoolJob &job) -> std::optional<SubmitAnswer>;

    /// Lines that are held back, so that a queue has one in a second.
    struct RefusalLog
    {
        MonoTime lastLine;
        int heldBack = 0;
    };

    PoolFrontOptions m_options;
    PoolView &m_view;
    RecordStore m_store;
    Clock m_clock;
    PoolFreshness m_freshness;
    Metrics &m_metrics;
    std::mutex m_refusalMutex; ///< guards the next two; a leaf
    Random m_random;
    std::map<QueueId, RefusalLog> m_refusalLog;
    std::atomic<std::size_t> m_preferredLog; ///< index in jobLogs: the last one that took a record
};

}

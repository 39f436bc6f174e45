#pragma once

/// The waiting jobs of one failure domain and the order in which they are considered.
///
/// Inside a workspace, the caller with the least measured use comes next, and within a caller the kind with the least;
/// use is slot-seconds with exponential forgetting. Between workspaces the scheduler orders by guarantee, urgency
/// bound and weighted borrowing. A cursor walks the jobs of one workspace and takes starts into account at once:
/// @code
///   queue.add(spec, workspaceIndex, since);
///   auto cursor = queue.cursor(workspaceIndex, now);
///   while (auto *job = cursor.next()) {
///       if (starts(*job)) cursor.charge(job->spec.slots());
///   }
/// @endcode

#include "policy/jobspec.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Catkin
{

/// Slot-seconds used, forgotten with a half-life, and the slots held now.
struct MeasuredUse
{
    double slotSeconds = 0;
    int held = 0;
    MonoTime at;

    /// Brings slotSeconds up to @p now.
    auto advance(MonoTime now, Seconds halfLife) -> void;
    /// @return the rank for sharing: what was used, plus what the held slots will add within one half-life, so that
    /// starting a job counts at once.
    [[nodiscard]] auto rank(MonoTime now, Seconds halfLife) const -> double;
};

enum class WaitReason { New, GuaranteeInUse, NoPlace, Reserved, Quota, Guarantees, NoWorkers, NeverFits };

/// @return the reason as a text for callers and operators.
auto waitReasonText(WaitReason reason) -> const char *;

struct WaitingJob
{
    ScheduledJob spec;
    int workspace = 0;
    MonoTime since;
    std::uint64_t sequence = 0; ///< order of submission
    WaitReason reason = WaitReason::New;
    std::vector<WorkerId> avoid; ///< workers on which the job failed
};

/// See the file comment. Not thread-safe.
class JobQueue
{
    struct Earlier
    {
        auto operator()(const WaitingJob *a, const WaitingJob *b) const -> bool;
    };
    using Line = std::set<WaitingJob *, Earlier>;

    struct Kind
    {
        MeasuredUse use;
        Line jobs;
    };

    struct Caller
    {
        MeasuredUse use;
        std::map<KindId, Kind> kinds;
        int waiting = 0;
    };

    using Callers = std::map<CallerId, Caller>;

public:
    /// Walks the waiting jobs of one workspace once; invalid after any change of the queue but charge().
    class Cursor
    {
    public:
        /// @return the next job, or null at the end.
        auto next() -> WaitingJob *;
        /// The job returned last starts: its caller's further jobs rank behind accordingly.
        auto charge(int slots) -> void;

    private:
        friend class JobQueue;

        struct Lane
        {
            double callerRank = 0;
            double kindRank = 0;
            Line::const_iterator at;
            Line::const_iterator end;
            int caller = 0;
        };

        std::vector<Lane> m_lanes;
        std::size_t m_last = 0;
        Seconds m_halfLife{0};
    };

    explicit JobQueue(Seconds halfLife);

    /// @return the new entry, or null when the job waits already.
    auto add(WaitingJob job) -> WaitingJob *;
    auto remove(const JobId &job) -> void;
    [[nodiscard]] auto find(const JobId &job) -> WaitingJob *;

    [[nodiscard]] auto cursor(int workspace, MonoTime now) const -> Cursor;
    /// @return every waiting job in the order of submission.
    [[nodiscard]] auto all() const -> std::vector<const WaitingJob *>;
    [[nodiscard]] auto size() const -> std::size_t;
    [[nodiscard]] auto waitingIn(int workspace) const -> int;

    /// The caller's held slots of @p spec's kind change by @p slots, negative when a job ends.
    auto hold(int workspace, const ScheduledJob &spec, int slots, MonoTime now) -> void;

private:
    auto callersOf(int workspace) -> Callers &;

    Seconds m_halfLife;
    std::unordered_map<JobId, WaitingJob> m_jobs;
    std::vector<Callers> m_workspaces;
    std::vector<int> m_waiting;
    MonoTime m_pruned;
};

}

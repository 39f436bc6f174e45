#pragma once

/// The waiting jobs of one failure domain, and the order in which the jobs of a workspace are tried.
///
/// @code
///   queue.add({.spec = spec, .workspace = workspaceIndex, .since = since, .sequence = number});
///   auto cursor = queue.cursor(workspaceIndex, now);
///   while (auto *job = cursor.next()) {
///       if (starts(*job)) cursor.charge(job->spec.slots());
///   }
/// @endcode
///
/// Within a workspace, the job of the caller with the least usage comes next; within a caller, that of the kind with the
/// least usage; within a kind, the job submitted first. Usage is measured in slot-seconds that decay exponentially. A
/// cursor counts the jobs that start during its walk at once. The scheduler decides the order between workspaces, by
/// guarantee, urgent share and weighted borrowing.

#include "policy/jobspec.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Catkin
{

/// The slot-seconds used by a caller or a kind, decayed with a half-life, and the slots held now.
struct DecayedUsage
{
    double slotSeconds = 0;
    int held = 0;
    MonoTime updatedAt;

    /// Brings slotSeconds up to @p now.
    auto advance(MonoTime now, Seconds halfLife) -> void;
    /// @return the value by which callers and kinds are ordered: the decayed usage at @p now, plus the usage of the held
    /// slots over one half-life, so that a started job counts at once.
    [[nodiscard]] auto rank(MonoTime now, Seconds halfLife) const -> double;
};

enum class WaitReason { New, GuaranteeInUse, NoFreeSlots, Reserved, Quota, Guarantees, NoWorkers, NeverFits };

/// @return the reason as text for callers and operators.
auto waitReasonText(WaitReason reason) -> const char *;

struct WaitingJob
{
    ScheduledJob spec;
    int workspace = 0; ///< index of the workspace
    MonoTime since; ///< when it was submitted
    std::uint64_t sequence = 0; ///< order of submission
    WaitReason reason = WaitReason::New;
    std::vector<WorkerId> avoid; ///< workers on which the job failed
};

/// See the file comment. Not thread-safe.
class JobQueue
{
    struct SubmittedEarlier
    {
        auto operator()(const WaitingJob *a, const WaitingJob *b) const -> bool;
    };
    using JobsByAge = std::set<WaitingJob *, SubmittedEarlier>;

    struct Kind
    {
        DecayedUsage use;
        JobsByAge jobs;
    };

    struct Caller
    {
        DecayedUsage use;
        std::map<KindId, Kind> kinds;
        int waiting = 0;
    };

    using Callers = std::map<CallerId, Caller>;

public:
    /// Iterates once over the waiting jobs of one workspace. During the walk, jobs may be added to the queue, and jobs that
    /// next() has returned may be removed; removing another one invalidates the cursor.
    class Cursor
    {
    public:
        /// @return the next job, or null at the end.
        auto next() -> WaitingJob *;
        /// Adds a start of the job returned last to the usage of its caller and kind, for the rest of the walk.
        auto charge(int slots) -> void;

    private:
        friend class JobQueue;

        /// The position in one kind's jobs of one caller.
        struct KindPosition
        {
            double callerRank = 0;
            double kindRank = 0;
            JobsByAge::const_iterator at;
            JobsByAge::const_iterator end;
            int caller = 0; ///< number of the caller within the workspace
        };

        std::vector<KindPosition> m_positions;
        std::size_t m_last = 0; ///< position of the job returned last
        Seconds m_halfLife{0};
    };

    explicit JobQueue(Seconds halfLife);

    /// @return the new entry, or null when the job is already queued.
    auto add(WaitingJob job) -> WaitingJob *;
    auto remove(const JobId &job) -> void;
    [[nodiscard]] auto find(const JobId &job) -> WaitingJob *;

    [[nodiscard]] auto cursor(int workspace, MonoTime now) const -> Cursor;
    /// @return every waiting job in the order of submission.
    [[nodiscard]] auto all() const -> std::vector<const WaitingJob *>;
    [[nodiscard]] auto size() const -> std::size_t;
    [[nodiscard]] auto waitingIn(int workspace) const -> int;

    /// Changes the held slots of the caller and kind of @p spec.
    /// @param slots number of slots to add; negative when a job ends
    auto changeHeldSlots(int workspace, const ScheduledJob &spec, int slots, MonoTime now) -> void;

private:
    auto callersOf(int workspace) -> Callers &;

    Seconds m_halfLife;
    std::unordered_map<JobId, WaitingJob> m_jobs;
    std::vector<Callers> m_workspaces;
    std::vector<int> m_waiting;
    MonoTime m_lastPrune;
};

}

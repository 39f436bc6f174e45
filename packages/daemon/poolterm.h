#pragma once

/// One term of leadership: the planner with its record, its workers and its orders.
///
/// @code
///   auto term = Catkin::PoolTerm{options, ports, clock, view, hooks};
///   term.start();
///   term.jobChanged(id);                 // from the logs of jobs
///   term.stop();
/// @endcode
///
/// Threads: one plans and records attempts, one publishes the states of jobs and renews the leadership, one makes all calls to workers, two
/// make calls to the store that nothing waits for, and a tail follows the workers' entries. Lock order: m_mutex, then that of the pool; no
/// call to the network is made while either is held.
///
/// The log of attempts repeats each job that was placed, so that a new planner needs no log of jobs to take over what
/// runs. A final state may be published before the ends that led to it are recorded: it stands for them at a takeover,
/// and the workers forget no end before it is recorded. Appends to either log prove that no newer planner has taken over,
/// so that the term goes on while one of them is not served.

#include "daemon/metrics.h"
#include "daemon/poolview.h"
#include "daemon/recordtail.h"
#include "daemon/workercaller.h"
#include "daemon/workpool.h"
#include "policy/callfence.h"
#include "policy/poolcore.h"
#include "policy/workerentries.h"
#include "policy/workerhistory.h"
#include "ports/recordstore.h"
#include "ports/workerorders.h"
#include "util/clock.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <thread>

namespace Catkin
{

struct PoolTermOptions
{
    std::int64_t epoch = 0; ///< also the fencing token of most calls, see CallFence
    PoolOptions pool;
    Millis renewInterval{400};
    Millis takeoverTimeout{2'000}; ///< an earlier planner gives no orders for longer than this
    Millis workerHeartbeat{1'500}; ///< between two writes of a worker's entry
    std::size_t recordBytes = defaultRecordBytes; ///< longest record that the store takes, its key included
    std::optional<Millis> evacuateBound; ///< time after its record from which an evacuation is in force; nothing: there is no bound
    std::map<WorkerId, MonoTime> leaseEnds; ///< what earlier planners have stored about the leases of silent workers
    std::map<WorkerId, MonoTime> lateStarts; ///< until when the start orders of earlier planners may be carried out late
};

struct PoolPorts
{
    RecordStore store;
    WorkerOrders orders;
    std::function<Result<PoolWorkerInfo>(const std::string &key, const std::string &value)> decodeWorker;
    std::function<Result<PoolConfig>(const std::string &value)> decodeConfig;
    std::string configKey; ///< of the configuration in its log
    /// @return the failure domain that a record of the operators' log evacuates, by the key of the record; nothing: it is about something else.
    std::function<std::optional<Result<FailureDomainId>>(const std::string &key)> decodeEvacuation;
    std::shared_ptr<Metrics> metrics; ///< never null
};

/// The leadership as a term sees it; any thread may call.
struct PoolTermHooks
{
    std::function<bool()> mayOrder;
    std::function<void(MonoTime sentAt)> renewed;
    std::function<void(const char *reason)> fenced;
    std::function<LeadershipRecord()> renewal;
    std::function<std::optional<MonoTime>()> operatorLogReadAt; ///< when the last answered read of the operators' log was sent
};

class PoolTerm
{
public:
    PoolTerm(const PoolTermOptions &options, PoolPorts ports, Clock clock, PoolView &view, PoolTermHooks hooks);
    ~PoolTerm();
    PoolTerm(const PoolTerm &) = delete;
    auto operator=(const PoolTerm &) -> PoolTerm & = delete;

    auto start() -> void;
    /// Ends all threads; orders under way may still be carried out.
    auto stop() -> void;

    auto jobChanged(const JobId &id) -> void;
    auto configChanged() -> void;
    auto evacuationChanged() -> void;

private:
    enum class AppendOutcome {
        Stored,
        Refused, ///< the store refuses these records whenever they are sent
        Ended, ///< the term has ended
    };
    /// A record in the log of attempts and the job that it is about.
    struct JobRecord
    {
        JobId job;
        KeyedRecord record;
    };

    auto stopped() const -> bool;
    auto pause(Millis span) -> void;
    auto plannerLoop() -> void;
    auto takeOver() -> bool;
    auto loadJobs(const RecordPage &attempts) -> void;
    auto applyEnd(const JobSummary &summary, MonoTime now) -> void;
    auto adoptAttempts(const RecordPage &attempts, MonoTime now) -> void;
    auto takeInbox(MonoTime now) -> void;
    auto takeEvacuations(MonoTime now) -> void;
    auto showEvacuations() -> void;
    auto planOnce() -> void;
    auto attemptRecords(const PoolEffects &effects) -> std::vector<JobRecord>;
    auto attemptRecordsOf(const PoolJobState &state, bool jobChanged, std::vector<JobRecord> &out) -> void;
    auto record(const PoolEffects &effects, std::vector<JobRecord> records) -> bool;
    auto recordBatch(const std::vector<JobRecord> &batch) -> bool;
    auto recordAlone(const JobId &id, const std::vector<KeyedRecord> &records) -> bool;
    auto setAside(const JobId &id) -> void;
    auto logRecordedEnds(const PoolEffects &effects) const -> void;
    auto stopUnwanted() -> void;
    auto appendAttempts(const std::vector<KeyedRecord> &records) -> AppendOutcome;
    auto publisherLoop() -> void;
    auto nextPublication() -> std::vector<KeyedRecord>;
    auto addLeaseBounds(std::vector<KeyedRecord> &records) -> void;
    auto leaseBoundsStored(MonoTime sentAt) -> void;
    auto publish(const std::vector<KeyedRecord> &records, std::int64_t sequence) -> bool;
    auto confirmed(MonoTime sentAt) -> void;
    auto dropJobs(const std::vector<JobId> &expired) -> void;
    auto dropQueued() -> void;
    auto countEffects(const PoolEffects &effects) -> void;
    auto callHandlers() -> WorkerCallHandlers;
    auto prepareOrder(const PoolOrder &order) -> std::optional<OrderTerms>;
    auto orderEnded(const PoolOrder &order, const OrderAnswer &answer) -> void;
    auto pollEnded(const WorkerId &id, const Result<WorkerPollReply> &reply, MonoTime sentAt) -> void;
    auto updateTargets() -> void;
    auto workerRecord(const KeyedRecord &record) -> void;
    auto workersReset() -> void;
    auto workersRead(LogOffset end, MonoTime sentAt) -> void;
    auto noteWrite(const WorkerWrite &write) -> void;
    auto findEarlierDepartures(MonoTime now) -> void;
    auto readEarlierWrites(LogOffset from, LogOffset end) -> void;

    PoolTermOptions m_options;
    PoolPorts m_ports;
    Clock m_clock;
    PoolView &m_view;
    PoolTermHooks m_hooks;

    mutable std::mutex m_mutex; ///< guards everything below up to the threads
    std::condition_variable m_wake; ///< the planner has something to do
    std::condition_variable m_publish; ///< there is a state to publish
    bool m_stopping = false;
    bool m_dirty = true;
    bool m_workersDirty = false;
    bool m_workersKnown = false;
    bool m_configDirty = true;
    std::set<JobId> m_inbox;
    WorkerEntries m_entries;
    std::vector<WorkerWrite> m_earlierWrites; ///< what the log of workers held before this term, read when it is needed
    std::vector<WorkerWrite> m_writes; ///< what it has received since, as long as work of earlier planners may run
    std::optional<LogOffset> m_writesBegin; ///< offset of the first of m_writes; nothing during a snapshot
    bool m_earlierAsked = false; ///< m_earlierWrites are being read or have been read
    MonoTime m_departuresSoughtAt;
    MonoTime m_beganAt;
    PoolCore m_core;
    CallFence m_fence;
    std::set<JobId> m_unpublished; ///< jobs whose phase is to be published
    /// Jobs that the log of attempts holds, with the hash of each part of their progress there; 0: a part that is not there.
    std::map<JobId, std::vector<std::size_t>> m_recorded;
    std::set<JobId> m_longCheckpoints; ///< jobs with a checkpoint too long to be recorded
    std::set<JobId> m_setAside; ///< jobs whose progress the store refuses
    std::vector<JobId> m_expired; ///< jobs to drop from the logs of jobs
    bool m_dropping = false; ///< a thread of the pool drops them
    std::vector<JobId> m_dropped; ///< jobs that the logs of jobs have dropped, and the log of attempts has not
    std::vector<JobId> m_droppedPhases; ///< jobs whose published phase is to be dropped
    bool m_startsSuspended = false; ///< as last logged
    std::set<FailureDomainId> m_shownEvacuations; ///< domains whose gauges show an evacuation
    MonoTime m_confirmedAt; ///< when the last append was sent that proves this planner to be the newest

    std::int64_t m_attemptsSequence = 0; ///< planner thread only
    LogOffset m_attemptsEnd; ///< planner thread only; where the log of attempts ended after the last append of records
    bool m_tookOver = false; ///< planner thread only
    MonoTime m_lastRenewal; ///< publisher thread only
    LeaseBoundsRecord m_storedBounds; ///< publisher thread only; as last stored by this term or before it
    MonoTime m_boundsStoredAt; ///< publisher thread only
    std::optional<LeaseBoundsRecord> m_sentBounds; ///< publisher thread only; part of the append under way
    std::vector<std::pair<WorkerId, std::string>> m_targets; ///< planner thread only; what m_caller was told last
    std::unique_ptr<RecordTail> m_workersTail;
    std::unique_ptr<WorkPool> m_storePool;
    std::unique_ptr<WorkerCaller> m_caller;
    std::thread m_planner;
    std::thread m_publisher;
};

}

#pragma once

/// Encodes and decodes the keyed records of a pool's logs; docs/log-records.md lists the fields.
///
/// @code
///   const auto [key, value] = Catkin::encodeJob(job);
///   auto decoded = Catkin::decodePoolRecord(key, value);
/// @endcode
///
/// A value is JSON text. An empty value is a tombstone: it drops the key from the log.
///
/// The progress of a job takes as many records as its tasks need, each for a fixed range of tasks, so that none is longer than the store takes.
/// Only the parts that have changed need to be written again. A writer that ends between two of them leaves parts of different age: each task
/// is in one part alone, and completeGangs() makes up for a gang of which only some members are recorded as done.

#include "policy/leadership.h"
#include "policy/leasebounds.h"
#include "policy/pooljob.h"
#include "util/outcome.h"

#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace Catkin
{

using EncodedRecord = std::pair<std::string, std::string>; ///< key and value

/// Longest record of a store whose settings name no other limit, its key included.
constexpr auto defaultRecordBytes = std::size_t{262'144};
/// Holds a part of the record of attempts whose tasks have long worker names.
constexpr auto leastRecordBytes = std::size_t{65'536};

/// A job was cancelled by its caller.
struct CancelRecord
{
    JobId id;
};

/// The published state of a job.
struct PhaseRecord
{
    JobId id;
    PoolJobPhase phase = PoolJobPhase::Queued;
    std::string reason; ///< why the job cannot go on, for its caller; empty: none
};

/// One part of the progress of a job: where its tasks are placed and which have ended. A new planner reads it with decodeAttempts().
struct AttemptsRecord
{
    JobId id;
    int part = 0;
    std::string value; ///< encoded; decodeAttempts() needs the job, which may be in another record
};

/// A key of a job or instance was dropped from its log.
struct TombstoneRecord
{
    JobId id; ///< the key without its prefix
};

/// An instance and the address at which others reach it.
struct MemberRecord
{
    InstanceId instance;
    std::string address; ///< "ip:port"
};

using PoolRecord = std::variant<PoolJob, CancelRecord, PhaseRecord, AttemptsRecord, TombstoneRecord, LeadershipRecord, MemberRecord, LeaseBoundsRecord>;

auto encodeJob(const PoolJob &job) -> EncodedRecord;
auto encodeCancel(const JobId &id) -> EncodedRecord;
auto encodePhase(const JobId &id, PoolJobPhase phase, const std::string &reason = {}) -> EncodedRecord;
auto encodeMember(const MemberRecord &record) -> EncodedRecord;
auto encodeLeadership(const LeadershipRecord &record) -> EncodedRecord;
auto encodeLeaseBounds(const LeaseBoundsRecord &record) -> EncodedRecord;
/// @return tombstones of a job's keys in a log of jobs.
auto encodeJobTombstones(const JobId &id) -> std::vector<EncodedRecord>;
/// @param parts number of records that hold the job's progress
/// @return tombstones of a job's keys in the log of attempts.
auto encodeAttemptTombstones(const JobId &id, std::size_t parts) -> std::vector<EncodedRecord>;
/// @return the tombstone of a job's published state.
auto encodePhaseTombstone(const JobId &id) -> EncodedRecord;

/// @return whether the record of this key has bounds of leases, readable or not.
auto isLeaseBoundsKey(const std::string &key) -> bool;

/// @return the record; ErrorCode::Protocol when the key is unknown or the value cannot be decoded.
auto decodePoolRecord(const std::string &key, const std::string &value) -> Result<PoolRecord>;

/// The progress of a job in records.
struct EncodedAttempts
{
    std::vector<EncodedRecord> parts; ///< the first has the state of the job
    int checkpointsLeftOut = 0; ///< checkpoints too long for a record; their tasks resume from the beginning after a takeover
};

/// @param maxRecord longest record that the store takes, in bytes, its key included; at least leastRecordBytes
/// @return the records of the job's progress, see AttemptsRecord; none is longer than @p maxRecord.
auto encodeAttempts(const PoolJobState &state, std::size_t maxRecord = defaultRecordBytes) -> EncodedAttempts;

/// @return a record of a job's end that takes the place of the first part of its progress, for a job whose progress the store refuses.
auto encodeEnd(const JobId &id, PoolJobPhase phase) -> EncodedRecord;

/// @return the job of a record that cannot be decoded, if its key is that of a job.
auto jobOfKey(const std::string &key) -> std::optional<JobId>;

/// @return why no instance could read the record of the job; nothing if each of them can.
auto recordProblem(const EncodedRecord &job) -> std::optional<std::string>;

/// How much of a job's progress a record has.
enum class AttemptsExtent {
    Part,
    Whole, ///< all tasks, as earlier versions wrote it; later parts beside it are older
};

/// Decodes one record of a job's progress into the state of the job.
/// @param state initial state of the job with its occurrences, steps and tasks; their progress is overwritten, in part also on failure
/// @return ErrorCode::Protocol when the value cannot be decoded or its occurrences, steps or tasks differ in number from the job's.
auto decodeAttempts(const AttemptsRecord &record, PoolJobState &state) -> Result<AttemptsExtent>;

/// Completes what parts of different age leave open: a gang of which a member is done is done.
auto completeGangs(PoolJobState &state) -> void;

}

#pragma once

/// Encodes and decodes the keyed records of a pool's logs; docs/log-records.md lists the fields.
///
/// @code
///   const auto [key, value] = Catkin::encodeJob(job);
///   auto decoded = Catkin::decodePoolRecord(key, value);
/// @endcode
///
/// A value is JSON text. An empty value is a tombstone: it drops the key from the log.

#include "policy/leadership.h"
#include "policy/pooljob.h"
#include "util/outcome.h"

#include <string>
#include <utility>
#include <variant>

namespace Catkin
{

using EncodedRecord = std::pair<std::string, std::string>; ///< key and value

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
};

/// The progress of a job: where its tasks are placed and which have ended. A new planner reads it with decodeAttempts().
struct AttemptsRecord
{
    JobId id;
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

using PoolRecord = std::variant<PoolJob, CancelRecord, PhaseRecord, AttemptsRecord, TombstoneRecord, LeadershipRecord, MemberRecord>;

auto encodeJob(const PoolJob &job) -> EncodedRecord;
auto encodeCancel(const JobId &id) -> EncodedRecord;
auto encodePhase(const JobId &id, PoolJobPhase phase) -> EncodedRecord;
auto encodeMember(const MemberRecord &record) -> EncodedRecord;
auto encodeLeadership(const LeadershipRecord &record) -> EncodedRecord;
/// @return tombstones of a job's keys in a log of jobs.
auto encodeJobTombstones(const JobId &id) -> std::vector<EncodedRecord>;
/// @return tombstones of a job's keys in the log of attempts.
auto encodeAttemptTombstones(const JobId &id) -> std::vector<EncodedRecord>;
/// @return the tombstone of a job's published state.
auto encodePhaseTombstone(const JobId &id) -> EncodedRecord;

/// @return the record; ErrorCode::Protocol when the key is unknown or the value cannot be decoded.
auto decodePoolRecord(const std::string &key, const std::string &value) -> Result<PoolRecord>;

/// @return the record of the job's progress, see AttemptsRecord.
auto encodeAttempts(const PoolJobState &state) -> EncodedRecord;

/// Decodes the value of an AttemptsRecord into the state of its job.
/// @param state initial state of the job with its occurrences, steps and tasks; their progress is overwritten, in part also on failure
/// @return ErrorCode::Protocol when the value cannot be decoded or its occurrences, steps or tasks differ in number from the job's.
auto decodeAttempts(const std::string &value, PoolJobState &state) -> Result<void>;

}

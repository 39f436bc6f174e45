#pragma once

/// The records of a pool in its logs, as JSON; docs/log-records.md lists the fields.
///
/// @code
///   auto record = Catkin::encodeJob(job);              // {key, value}
///   auto read = Catkin::decodePoolRecord(record.key, record.value);
/// @endcode

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

/// Where the tasks of a job were placed and what has ended; read by a new planner with decodeAttempts().
struct AttemptsRecord
{
    JobId id;
    std::string value;
};

/// A key of a job was dropped.
struct TombstoneRecord
{
    JobId id;
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
/// @return the keys of a job in a log of jobs, with empty values: they are dropped.
auto encodeJobTombstones(const JobId &id) -> std::vector<EncodedRecord>;
/// @return the keys of a job in the log of attempts, with empty values: they are dropped.
auto encodeAttemptTombstones(const JobId &id) -> std::vector<EncodedRecord>;
/// @return the key of a job's state, with an empty value: it is dropped.
auto encodePhaseTombstone(const JobId &id) -> EncodedRecord;

/// @return the record; ErrorCode::Protocol when key or value cannot be read.
auto decodePoolRecord(const std::string &key, const std::string &value) -> Result<PoolRecord>;

/// Where the tasks of a job were placed and what has ended.
auto encodeAttempts(const PoolJobState &state) -> EncodedRecord;

/// @param state of the job as submitted; its phase and tasks are set
/// @return ErrorCode::Protocol when the record does not belong to such a job.
auto decodeAttempts(const std::string &value, PoolJobState &state) -> Result<void>;

}

#pragma once

/// The records of the three log streams (config, jobs, requests) and their JSON form; docs/log-records.md lists every field.
///
/// @code
///   log.append("jobs", {Catkin::encodeRecord(Catkin::JobRecord{Catkin::JobCancelRecord{.job = id, .by = "operator"}})});
///   auto record = Catkin::decodeJobRecord(text);      // ErrorCode::Protocol when text is not a job record
/// @endcode

#include "state/document.h"
#include "util/ids.h"
#include "util/outcome.h"
#include "util/units.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace Catkin
{

/// How far an instance had read the stream when it built a record.
///
/// A reader that starts in the middle of a stream uses it to tell which records the builder had not yet folded.
struct FoldPosition
{
    LogOffset through; ///< the builder had folded every record below this offset
    WallTime asOf; ///< builder's wall clock when its last read of the stream returned

    auto operator==(const FoldPosition &) const -> bool = default;
};

/// A proposed configuration. It takes effect only if @c base is the committed version when the record is folded.
struct ConfigChange
{
    ConfigVersion version; ///< always base + 1
    ConfigVersion base;
    std::string id; ///< unique; ConfigFold::result() reports the result of the change by it
    std::string author;
    std::string document; ///< canonical JSON text
    LogOffset through; ///< the builder had folded every record below this offset, and base was the committed version there

    auto operator==(const ConfigChange &) const -> bool = default;
};

/// The configuration in force, appended again before the log's retention drops the change record.
struct ConfigSnapshot
{
    ConfigVersion version;
    std::string id; ///< id of the change that created the version
    std::string author; ///< author of that change
    std::string document; ///< canonical JSON text
    LogOffset through; ///< the builder had folded every record below this offset

    auto operator==(const ConfigSnapshot &) const -> bool = default;
};

using ConfigRecord = std::variant<ConfigChange, ConfigSnapshot>;

/// Where the tasks of a gang are placed: on one worker, in one rack, or anywhere in the failure domain.
enum class JobAdjacency { Worker, Rack, Any };

/// A job as its caller submitted it.
struct JobDescription
{
    JobId id;
    WorkspaceId workspace;
    CallerId caller;
    KindId kind;
    IdempotencyKey key;
    FailureDomainId domain; ///< home failure domain
    int tasks = 1;
    SlotCount slotsPerTask{1};
    JobAdjacency adjacency = JobAdjacency::Any;
    WorkUrgency urgency = WorkUrgency::Normal;
    Seconds declared{0}; ///< run time that the caller declared; 0 when not declared
    bool checkpointable = false;
    bool restartable = false; ///< may run more than once
    std::string payload;

    auto operator==(const JobDescription &) const -> bool = default;
};

enum class JobState { Queued, Starting, Running, Stopping, Succeeded, Failed, Cancelled, Parked, Unknown };

/// How an attempt ended. Requeue returns the job to the queue; every other result is final.
enum class JobResult { Succeeded, Failed, Cancelled, Parked, Unknown, Requeue };

/// The folded state of one job.
struct Job
{
    JobDescription spec;
    JobState state = JobState::Queued;
    int attempt = 0; ///< number of the last valid attempt; 0 before the first
    InstanceId holder; ///< planner that made the attempt
    std::int64_t generation = 0; ///< generation counter of that planner
    bool cancelRequested = false;
    std::int64_t revision = 0; ///< number of records that took effect
    WallTime accepted; ///< log time of the accept record
    WallTime changed; ///< log time of the last record that took effect
    std::string detail; ///< human-readable reason of the last result
    std::string checkpoint; ///< id of the last checkpoint, if any

    auto operator==(const Job &) const -> bool = default;
};

struct JobAcceptRecord
{
    JobDescription spec;
    FoldPosition position;

    auto operator==(const JobAcceptRecord &) const -> bool = default;
};

struct JobAttemptRecord
{
    JobId job;
    int attempt = 0;
    InstanceId holder;
    std::int64_t generation = 0;

    auto operator==(const JobAttemptRecord &) const -> bool = default;
};

struct JobStartedRecord
{
    JobId job;
    int attempt = 0;

    auto operator==(const JobStartedRecord &) const -> bool = default;
};

struct JobFinishRecord
{
    JobId job;
    int attempt = 0;
    JobResult result = JobResult::Unknown;
    bool ran = true; ///< false only when it is proven that no task of the attempt did any user work
    std::string detail;
    std::string checkpoint;

    auto operator==(const JobFinishRecord &) const -> bool = default;
};

struct JobCancelRecord
{
    JobId job;
    std::string by;
    std::string reason;

    auto operator==(const JobCancelRecord &) const -> bool = default;
};

/// The whole folded state of a job, appended again before the log's retention drops the job's earlier records.
/// Its record type in the log is "carry".
struct JobSnapshotRecord
{
    Job job;
    FoldPosition position;

    auto operator==(const JobSnapshotRecord &) const -> bool = default;
};

using JobRecord = std::variant<JobAcceptRecord, JobAttemptRecord, JobStartedRecord, JobFinishRecord, JobCancelRecord, JobSnapshotRecord>;

/// The identity of a non-idempotent request. A retry must repeat firstSent, or it counts as another request.
struct RequestKey
{
    WorkspaceId workspace;
    IdempotencyKey key;
    WallTime firstSent; ///< when the request was first sent, by the caller's clock

    auto operator<=>(const RequestKey &) const = default;
};

/// An instance intends to dispatch a request.
struct IntentRecord
{
    RequestKey key;
    RequestId attempt; ///< unique
    InstanceId instance;

    auto operator==(const IntentRecord &) const -> bool = default;
};

/// Withdraws an intent. Valid only from the instance that made the intent, and only if that instance has sent no byte of the
/// request to an executor.
struct VoidRecord
{
    RequestKey key;
    RequestId attempt;
    InstanceId instance;

    auto operator==(const VoidRecord &) const -> bool = default;
};

enum class LoggedOutcome { Answer, Unknown };

/// The outcome of a dispatched request.
struct DoneRecord
{
    RequestKey key;
    RequestId attempt;
    InstanceId instance;
    LoggedOutcome result = LoggedOutcome::Unknown;
    bool hasAnswer = false; ///< false without an answer, or when it is longer than maxLoggedAnswerBytes
    std::string answer;

    auto operator==(const DoneRecord &) const -> bool = default;
};

using RequestRecord = std::variant<IntentRecord, VoidRecord, DoneRecord>;

/// Longest answer that is stored in a done record.
constexpr auto maxLoggedAnswerBytes = std::size_t{2048};

auto encodeRecord(const ConfigRecord &record) -> std::string;
auto encodeRecord(const JobRecord &record) -> std::string;
auto encodeRecord(const RequestRecord &record) -> std::string;

/// @return the record; ErrorCode::Protocol when @p text is not a known record of the stream.
auto decodeConfigRecord(std::string_view text) -> Result<ConfigRecord>;
/// @return the record; ErrorCode::Protocol when @p text is not a known record of the stream.
auto decodeJobRecord(std::string_view text) -> Result<JobRecord>;
/// @return the record; ErrorCode::Protocol when @p text is not a known record of the stream.
auto decodeRequestRecord(std::string_view text) -> Result<RequestRecord>;

/// @return the lower-case name of @p state, as callers see it.
auto jobStateName(JobState state) -> const char *;

/// @return whether @p state is final.
auto isTerminal(JobState state) -> bool;

/// @return the id of the job that @p workspace submits under @p key. It is the same on every instance, so a retry finds the same job.
auto makeJobId(const WorkspaceId &workspace, const IdempotencyKey &key) -> JobId;

}

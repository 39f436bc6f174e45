#include "state/records.h"

#include "state/recordreader.h"
#include "util/digest.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace Catkin
{

namespace
{

using nlohmann::json;

constexpr auto stateNames = EnumNames<JobState, 9>{{
    {JobState::Queued, "queued"},
    {JobState::Starting, "starting"},
    {JobState::Running, "running"},
    {JobState::Stopping, "stopping"},
    {JobState::Succeeded, "succeeded"},
    {JobState::Failed, "failed"},
    {JobState::Cancelled, "cancelled"},
    {JobState::Parked, "parked"},
    {JobState::Unknown, "unknown"},
}};

constexpr auto resultNames = EnumNames<JobResult, 6>{{
    {JobResult::Succeeded, "succeeded"},
    {JobResult::Failed, "failed"},
    {JobResult::Cancelled, "cancelled"},
    {JobResult::Parked, "parked"},
    {JobResult::Unknown, "unknown"},
    {JobResult::Requeue, "requeue"},
}};

constexpr auto adjacencyNames = EnumNames<JobAdjacency, 3>{{{JobAdjacency::Worker, "worker"}, {JobAdjacency::Rack, "rack"}, {JobAdjacency::Any, "any"}}};
constexpr auto urgencyNames = EnumNames<WorkUrgency, 3>{{{WorkUrgency::Urgent, "urgent"}, {WorkUrgency::Normal, "normal"}, {WorkUrgency::Batch, "batch"}}};
constexpr auto requestResultNames = EnumNames<LoggedOutcome, 2>{{{LoggedOutcome::Answer, "answer"}, {LoggedOutcome::Unknown, "unknown"}}};

/// Replaces invalid UTF-8 instead of throwing. Ids and reasons were checked before; an unchecked one must not end the process.
auto toText(const json &object) -> std::string
{
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto millis(WallTime time) -> std::int64_t
{
    return time.time_since_epoch().count();
}

auto documentJson(const std::string &text) -> json
{
    auto document = json::parse(text, nullptr, false);
    return document.is_object() ? document : json::object();
}

auto encodeSpec(const JobDescription &spec) -> json
{
    auto object = json{
        {"id", spec.id.str()},
        {"workspace", spec.workspace.str()},
        {"caller", spec.caller.str()},
        {"kind", spec.kind.str()},
        {"key", spec.key.str()},
        {"domain", spec.domain.str()},
        {"tasks", spec.tasks},
        {"slots_per_task", spec.slotsPerTask.value},
        {"adjacency", nameOf(adjacencyNames, spec.adjacency)},
        {"urgency", nameOf(urgencyNames, spec.urgency)},
        {"declared_seconds", spec.declared.count()},
        {"checkpointable", spec.checkpointable},
        {"restartable", spec.restartable},
    };
    putBytes(object, "payload", spec.payload);
    return object;
}

auto decodeSpec(RecordReader &outer) -> JobDescription
{
    auto reader = RecordReader{outer.object("spec")};
    auto spec = JobDescription{
        .id = JobId{reader.id("id")},
        .workspace = WorkspaceId{reader.id("workspace")},
        .caller = CallerId{reader.text("caller")},
        .kind = KindId{reader.id("kind")},
        .key = IdempotencyKey{reader.text("key")},
        .domain = FailureDomainId{reader.text("domain")},
        .tasks = reader.count("tasks", 1),
        .slotsPerTask = {reader.count("slots_per_task", 1)},
        .adjacency = reader.choice("adjacency", adjacencyNames),
        .urgency = reader.choice("urgency", urgencyNames),
        .declared = Seconds{reader.count("declared_seconds")},
        .checkpointable = reader.boolean("checkpointable"),
        .restartable = reader.boolean("restartable"),
        .payload = reader.bytes("payload"),
    };
    outer.adoptFault(reader);
    return spec;
}

auto putPosition(json &object, const FoldPosition &position) -> void
{
    object["through"] = position.through.value;
    object["as_of_ms"] = millis(position.asOf);
}

auto readPosition(RecordReader &reader) -> FoldPosition
{
    return {.through = {reader.integer("through")}, .asOf = reader.time("as_of_ms")};
}

auto toJson(const ConfigChange &record) -> json
{
    return {
        {"type", "change"},
        {"version", record.version.value},
        {"base", record.base.value},
        {"id", record.id},
        {"author", record.author},
        {"document", documentJson(record.document)},
        {"through", record.through.value},
    };
}

auto toJson(const ConfigSnapshot &record) -> json
{
    return {
        {"type", "snapshot"},
        {"version", record.version.value},
        {"id", record.id},
        {"author", record.author},
        {"document", documentJson(record.document)},
        {"through", record.through.value},
    };
}

auto toJson(const JobAcceptRecord &record) -> json
{
    auto object = json{{"type", "accept"}, {"spec", encodeSpec(record.spec)}};
    putPosition(object, record.position);
    return object;
}

auto toJson(const JobAttemptRecord &record) -> json
{
    return {{"type", "attempt"}, {"job", record.job.str()}, {"attempt", record.attempt}, {"holder", record.holder.str()}, {"generation", record.generation}};
}

auto toJson(const JobStartedRecord &record) -> json
{
    return {{"type", "started"}, {"job", record.job.str()}, {"attempt", record.attempt}};
}

auto toJson(const JobFinishRecord &record) -> json
{
    return {
        {"type", "finish"},
        {"job", record.job.str()},
        {"attempt", record.attempt},
        {"result", nameOf(resultNames, record.result)},
        {"ran", record.ran},
        {"detail", record.detail},
        {"checkpoint", record.checkpoint},
    };
}

auto toJson(const JobCancelRecord &record) -> json
{
    return {{"type", "cancel"}, {"job", record.job.str()}, {"by", record.by}, {"reason", record.reason}};
}

auto toJson(const JobSnapshotRecord &record) -> json
{
    const auto &job = record.job;
    auto object = json{
        {"type", "carry"}, // the stored name of job snapshots
        {"spec", encodeSpec(job.spec)},
        {"state", nameOf(stateNames, job.state)},
        {"attempt", job.attempt},
        {"holder", job.holder.str()},
        {"generation", job.generation},
        {"cancel_requested", job.cancelRequested},
        {"revision", job.revision},
        {"accepted_ms", millis(job.accepted)},
        {"changed_ms", millis(job.changed)},
        {"detail", job.detail},
        {"checkpoint", job.checkpoint},
    };
    putPosition(object, record.position);
    return object;
}

auto requestJson(const char *type, const RequestKey &key, const RequestId &attempt, const InstanceId &instance) -> json
{
    return {
        {"type", type},
        {"workspace", key.workspace.str()},
        {"key", key.key.str()},
        {"first_sent_ms", millis(key.firstSent)},
        {"attempt", attempt.str()},
        {"instance", instance.str()},
    };
}

auto toJson(const IntentRecord &record) -> json
{
    return requestJson("intent", record.key, record.attempt, record.instance);
}

auto toJson(const VoidRecord &record) -> json
{
    return requestJson("void", record.key, record.attempt, record.instance);
}

auto toJson(const DoneRecord &record) -> json
{
    auto object = requestJson("done", record.key, record.attempt, record.instance);
    object["result"] = nameOf(requestResultNames, record.result);
    if (record.hasAnswer) {
        putBytes(object, "answer", record.answer);
    }
    return object;
}

auto readKey(RecordReader &reader) -> RequestKey
{
    return {WorkspaceId{reader.id("workspace")}, IdempotencyKey{reader.id("key")}, reader.time("first_sent_ms")};
}

auto readConfig(RecordReader &reader, const std::string &type) -> ConfigRecord
{
    if (type == "snapshot") {
        return ConfigSnapshot{
            .version = {reader.integer("version", 1)},
            .id = reader.id("id"),
            .author = reader.text("author"),
            .document = reader.objectText("document"),
            .through = {reader.integer("through")},
        };
    }
    return ConfigChange{
        .version = {reader.integer("version", 1)},
        .base = {reader.integer("base")},
        .id = reader.id("id"),
        .author = reader.text("author"),
        .document = reader.objectText("document"),
        .through = {reader.integer("through")},
    };
}

auto readSnapshot(RecordReader &reader) -> JobSnapshotRecord
{
    auto job = Job{
        .spec = decodeSpec(reader),
        .state = reader.choice("state", stateNames),
        .attempt = reader.count("attempt"),
        .holder = InstanceId{reader.text("holder")},
        .generation = reader.integer("generation"),
        .cancelRequested = reader.boolean("cancel_requested"),
        .revision = reader.integer("revision", 1),
        .accepted = reader.time("accepted_ms"),
        .changed = reader.time("changed_ms"),
        .detail = reader.optionalText("detail"),
        .checkpoint = reader.optionalText("checkpoint"),
    };
    return {.job = std::move(job), .position = readPosition(reader)};
}

auto readJob(RecordReader &reader, const std::string &type) -> JobRecord
{
    if (type == "accept") {
        auto spec = decodeSpec(reader);
        return JobAcceptRecord{.spec = std::move(spec), .position = readPosition(reader)};
    }
    if (type == "carry") {
        return readSnapshot(reader);
    }
    const auto job = JobId{reader.id("job")};
    if (type == "attempt") {
        return JobAttemptRecord{
            .job = job, .attempt = reader.count("attempt", 1), .holder = InstanceId{reader.id("holder")}, .generation = reader.integer("generation")};
    }
    if (type == "started") {
        return JobStartedRecord{.job = job, .attempt = reader.count("attempt", 1)};
    }
    if (type == "finish") {
        return JobFinishRecord{
            .job = job,
            .attempt = reader.count("attempt"),
            .result = reader.choice("result", resultNames),
            .ran = reader.boolean("ran"),
            .detail = reader.optionalText("detail"),
            .checkpoint = reader.optionalText("checkpoint"),
        };
    }
    return JobCancelRecord{.job = job, .by = reader.text("by"), .reason = reader.optionalText("reason")};
}

auto readRequest(RecordReader &reader, const json &object, const std::string &type) -> RequestRecord
{
    auto key = readKey(reader);
    auto attempt = RequestId{reader.id("attempt")};
    auto instance = InstanceId{reader.id("instance")};
    if (type == "intent") {
        return IntentRecord{std::move(key), std::move(attempt), std::move(instance)};
    }
    if (type == "void") {
        return VoidRecord{std::move(key), std::move(attempt), std::move(instance)};
    }
    const auto hasAnswer = object.contains("answer") || object.contains("answer_base64");
    return DoneRecord{
        .key = std::move(key),
        .attempt = std::move(attempt),
        .instance = std::move(instance),
        .result = reader.choice("result", requestResultNames),
        .hasAnswer = hasAnswer,
        .answer = hasAnswer ? reader.bytes("answer") : std::string{},
    };
}

/// Nesting limit, above that of any record. Writing JSON recurses, so deep nesting would exhaust the stack.
constexpr auto maxDepth = 16;

/// Decodes a record.
/// @param types record types of the stream
/// @param read reads the fields; called with the RecordReader, the JSON object and the record type
template<typename Record, std::size_t N, typename Read>
auto decode(std::string_view text, const std::array<std::string_view, N> &types, const Read &read) -> Result<Record>
{
    auto tooDeep = false;
    const auto guard = [&tooDeep](int depth, json::parse_event_t, json &) {
        tooDeep = tooDeep || depth > maxDepth;
        return !tooDeep;
    };
    const json object = json::parse(text, guard, false);
    if (tooDeep || !object.is_object() || !object.contains("type") || !object["type"].is_string()) {
        return failure(ErrorCode::Protocol, "the record is not a JSON object with a text in 'type', or is nested too deeply");
    }
    const auto type = object["type"].get<std::string>();
    if (std::find(types.begin(), types.end(), type) == types.end()) {
        return failure(ErrorCode::Protocol, "the record type is not one of this stream");
    }
    auto reader = RecordReader{object};
    auto record = read(reader, object, type);
    if (!reader.fault().empty()) {
        return failure(ErrorCode::Protocol, type + ": " + reader.fault());
    }
    return record;
}

}

auto encodeRecord(const ConfigRecord &record) -> std::string
{
    return std::visit([](const auto &it) { return toText(toJson(it)); }, record);
}

auto encodeRecord(const JobRecord &record) -> std::string
{
    return std::visit([](const auto &it) { return toText(toJson(it)); }, record);
}

auto encodeRecord(const RequestRecord &record) -> std::string
{
    return std::visit([](const auto &it) { return toText(toJson(it)); }, record);
}

auto decodeConfigRecord(std::string_view text) -> Result<ConfigRecord>
{
    constexpr auto types = std::array<std::string_view, 2>{"change", "snapshot"};
    return decode<ConfigRecord>(text, types, [](RecordReader &reader, const json &, const std::string &type) { return readConfig(reader, type); });
}

auto decodeJobRecord(std::string_view text) -> Result<JobRecord>
{
    constexpr auto types = std::array<std::string_view, 6>{"accept", "attempt", "started", "finish", "cancel", "carry"};
    return decode<JobRecord>(text, types, [](RecordReader &reader, const json &, const std::string &type) { return readJob(reader, type); });
}

auto decodeRequestRecord(std::string_view text) -> Result<RequestRecord>
{
    constexpr auto types = std::array<std::string_view, 3>{"intent", "void", "done"};
    return decode<RequestRecord>(
        text, types, [](RecordReader &reader, const json &object, const std::string &type) { return readRequest(reader, object, type); });
}

auto jobStateName(JobState state) -> const char *
{
    return nameOf(stateNames, state);
}

auto isTerminal(JobState state) -> bool
{
    return state == JobState::Succeeded || state == JobState::Failed || state == JobState::Cancelled || state == JobState::Parked || state == JobState::Unknown;
}

auto makeJobId(const WorkspaceId &workspace, const IdempotencyKey &key) -> JobId
{
    constexpr auto idDigits = std::size_t{32};
    const auto &name = workspace.str();
    return JobId{"j-" + sha256Hex(std::to_string(name.size()) + ':' + name + key.str()).substr(0, idDigits)};
}

}

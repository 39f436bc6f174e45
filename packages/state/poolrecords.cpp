#include "state/poolrecords.h"

#include <nlohmann/json.hpp>

namespace Catkin
{

namespace
{

using nlohmann::json;

constexpr auto jobPrefix = "j/";
constexpr auto cancelPrefix = "x/";
constexpr auto phasePrefix = "s/";
constexpr auto attemptsPrefix = "t/";
constexpr auto memberPrefix = "m/";
constexpr auto leadershipKey = "leader";
constexpr auto prefixLength = std::size_t{2};

auto toJson(const PoolStep &it) -> json
{
    return {{"tasks", it.tasks},
            {"cpu", it.perTask.cpuMillis},
            {"memory", it.perTask.memoryMb},
            {"accelerators", it.perTask.accelerators},
            {"estimate", it.estimate.count()},
            {"after", it.dependsOn},
            {"checkpoints", it.checkpointing},
            {"gang", it.gang},
            {"one_rack", it.sameRack},
            {"label", it.requiredLabel},
            {"rack", it.dataRack},
            {"per_worker", it.maxPerWorker},
            {"endless", it.longRunning}};
}

auto stepFromJson(const json &it) -> PoolStep
{
    return {
        .tasks = it.at("tasks").get<int>(),
        .perTask = {.cpuMillis = it.at("cpu").get<std::int64_t>(),
                    .memoryMb = it.at("memory").get<std::int64_t>(),
                    .accelerators = it.at("accelerators").get<std::int64_t>()},
        .estimate = Millis{it.at("estimate").get<std::int64_t>()},
        .dependsOn = it.at("after").get<std::vector<int>>(),
        .checkpointing = it.at("checkpoints").get<bool>(),
        .gang = it.at("gang").get<bool>(),
        .sameRack = it.at("one_rack").get<bool>(),
        .requiredLabel = it.at("label").get<std::string>(),
        .dataRack = it.at("rack").get<std::string>(),
        .maxPerWorker = it.at("per_worker").get<int>(),
        .longRunning = it.at("endless").get<bool>(),
    };
}

auto jobFromJson(const JobId &id, const json &it) -> PoolJob
{
    auto job = PoolJob{
        .id = id,
        .queue = QueueId{it.at("queue").get<std::string>()},
        .workspace = WorkspaceId{it.at("workspace").get<std::string>()},
        .acceptedAt = WallTime{Millis{it.at("accepted").get<std::int64_t>()}},
        .payload = it.at("payload").get<std::string>(),
        .occurrences = it.at("occurrences").get<int>(),
        .interval = Millis{it.at("interval").get<std::int64_t>()},
    };
    for (const auto &step : it.at("steps")) {
        job.steps.push_back(stepFromJson(step));
    }
    if (it.contains("due")) {
        job.firstDue = WallTime{Millis{it.at("due").get<std::int64_t>()}};
    }
    return job;
}

auto leadershipFromJson(const json &it) -> LeadershipRecord
{
    return {
        .kind = static_cast<LeadershipRecordKind>(it.at("kind").get<int>()),
        .holder = InstanceId{it.at("holder").get<std::string>()},
        .epoch = it.at("epoch").get<std::int64_t>(),
        .nonce = it.at("nonce").get<std::string>(),
        .address = it.at("address").get<std::string>(),
    };
}

auto phaseFromJson(const json &it) -> PoolJobPhase
{
    const auto number = it.get<int>();
    if (number < 0 || number > static_cast<int>(PoolJobPhase::Cancelled)) {
        throw json::other_error::create(0, "unknown job phase", nullptr);
    }
    return static_cast<PoolJobPhase>(number);
}

/// @return [phase, attempt, failures, last failed attempt, worker, incarnation of the worker, checkpoint]. The last three are left
/// out for a task that is not placed and has no checkpoint.
auto toJson(const TaskState &it) -> json
{
    auto out = json::array({static_cast<int>(it.phase), it.attempt, it.failures, it.lastFailedAttempt});
    if (it.phase == TaskPhase::Placed || !it.checkpoint.empty()) {
        out.push_back(it.worker.str());
        out.push_back(it.workerBorn.value);
        out.push_back(it.checkpoint);
    }
    return out;
}

auto taskFromJson(const json &it) -> TaskState
{
    auto task = TaskState{};
    const auto phase = it.at(0).get<int>();
    if (phase < 0 || phase > static_cast<int>(TaskPhase::Done)) {
        throw json::other_error::create(0, "unknown task phase", nullptr);
    }
    task.phase = static_cast<TaskPhase>(phase);
    task.attempt = it.at(1).get<int>();
    task.failures = it.at(2).get<int>();
    task.lastFailedAttempt = it.at(3).get<int>();
    if (it.size() > 4) {
        task.worker = WorkerId{it.at(4).get<std::string>()};
        task.workerBorn = Incarnation{it.at(5).get<std::int64_t>()};
        task.checkpoint = it.at(6).get<std::string>();
    }
    return task;
}

}

auto encodeJob(const PoolJob &job) -> EncodedRecord
{
    auto out = json{{"queue", job.queue.str()},
                    {"workspace", job.workspace.str()},
                    {"accepted", job.acceptedAt.time_since_epoch().count()},
                    {"payload", job.payload},
                    {"occurrences", job.occurrences},
                    {"interval", job.interval.count()},
                    {"steps", json::array()}};
    for (const auto &it : job.steps) {
        out["steps"].push_back(toJson(it));
    }
    if (job.firstDue) {
        out["due"] = job.firstDue->time_since_epoch().count();
    }
    return {jobPrefix + job.id.str(), out.dump()};
}

auto encodeCancel(const JobId &id) -> EncodedRecord
{
    return {cancelPrefix + id.str(), "{}"};
}

auto encodePhase(const JobId &id, PoolJobPhase phase) -> EncodedRecord
{
    return {phasePrefix + id.str(), std::to_string(static_cast<int>(phase))};
}

auto encodeMember(const MemberRecord &record) -> EncodedRecord
{
    return {memberPrefix + record.instance.str(), json{{"address", record.address}}.dump()};
}

auto encodeLeadership(const LeadershipRecord &record) -> EncodedRecord
{
    return {leadershipKey,
            json{{"kind", static_cast<int>(record.kind)},
                 {"holder", record.holder.str()},
                 {"epoch", record.epoch},
                 {"nonce", record.nonce},
                 {"address", record.address}}
                .dump()};
}

auto encodeJobTombstones(const JobId &id) -> std::vector<EncodedRecord>
{
    return {{jobPrefix + id.str(), {}}, {cancelPrefix + id.str(), {}}};
}

auto encodeAttemptTombstones(const JobId &id) -> std::vector<EncodedRecord>
{
    return {{jobPrefix + id.str(), {}}, {attemptsPrefix + id.str(), {}}};
}

auto encodePhaseTombstone(const JobId &id) -> EncodedRecord
{
    return {phasePrefix + id.str(), {}};
}

auto decodePoolRecord(const std::string &key, const std::string &value) -> Result<PoolRecord>
{
    try {
        if (key == leadershipKey) {
            return PoolRecord{leadershipFromJson(json::parse(value))};
        }
        if (key.size() <= prefixLength) {
            return failure(ErrorCode::Protocol, "unknown key '" + key + "'");
        }
        const auto id = JobId{key.substr(prefixLength)};
        const auto prefix = key.substr(0, prefixLength);
        if (value.empty()) {
            return PoolRecord{TombstoneRecord{id}};
        }
        if (prefix == jobPrefix) {
            return PoolRecord{jobFromJson(id, json::parse(value))};
        }
        if (prefix == memberPrefix) {
            return PoolRecord{MemberRecord{.instance = InstanceId{id.str()}, .address = json::parse(value).at("address").get<std::string>()}};
        }
        if (prefix == cancelPrefix) {
            return PoolRecord{CancelRecord{id}};
        }
        if (prefix == attemptsPrefix) {
            return PoolRecord{AttemptsRecord{.id = id, .value = value}};
        }
        if (prefix == phasePrefix) {
            return PoolRecord{PhaseRecord{.id = id, .phase = phaseFromJson(json::parse(value))}};
        }
        return failure(ErrorCode::Protocol, "unknown key '" + key + "'");
    } catch (const json::exception &e) {
        return failure(ErrorCode::Protocol, "record '" + key + "': " + e.what());
    }
}

auto encodeAttempts(const PoolJobState &state) -> EncodedRecord
{
    auto occurrences = json::array();
    for (const auto &occurrence : state.occurrences) {
        auto steps = json::array();
        for (const auto &step : occurrence.steps) {
            auto tasks = json::array();
            for (const auto &it : step.tasks) {
                tasks.push_back(toJson(it));
            }
            steps.push_back({{"f", step.gangFailures}, {"l", step.lastFailedAttempt}, {"b", step.everStarted}, {"t", std::move(tasks)}});
        }
        occurrences.push_back(std::move(steps));
    }
    return {attemptsPrefix + state.job.id.str(), json{{"p", static_cast<int>(state.phase)}, {"o", std::move(occurrences)}}.dump()};
}

auto decodeAttempts(const std::string &value, PoolJobState &state) -> Result<void>
{
    try {
        const auto root = json::parse(value);
        state.phase = phaseFromJson(root.at("p"));
        const auto &occurrences = root.at("o");
        if (occurrences.size() != state.occurrences.size()) {
            return failure(ErrorCode::Protocol, "attempts record: its number of occurrences differs from the job's");
        }
        for (auto o = std::size_t{0}; o < occurrences.size(); ++o) {
            auto &steps = state.occurrences[o].steps;
            if (occurrences[o].size() != steps.size()) {
                return failure(ErrorCode::Protocol, "attempts record: its number of steps differs from the job's");
            }
            for (auto s = std::size_t{0}; s < steps.size(); ++s) {
                const auto &record = occurrences[o][s];
                steps[s].gangFailures = record.at("f").get<int>();
                steps[s].lastFailedAttempt = record.at("l").get<int>();
                steps[s].everStarted = record.at("b").get<bool>();
                if (record.at("t").size() != steps[s].tasks.size()) {
                    return failure(ErrorCode::Protocol, "attempts record: its number of tasks differs from the step's");
                }
                for (auto i = std::size_t{0}; i < steps[s].tasks.size(); ++i) {
                    steps[s].tasks[i] = taskFromJson(record.at("t")[i]);
                }
            }
        }
        return success();
    } catch (const json::exception &e) {
        return failure(ErrorCode::Protocol, std::string("attempts record: ") + e.what());
    }
}

}

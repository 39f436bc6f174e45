#include "state/poolrecords.h"

#include "util/jsonnumbers.h"
#include "util/printable.h"

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
/// Leaves room for the numbers of further attempts.
constexpr auto maxAttempt = std::int64_t{1'000'000'000};
/// In the year 2286; sums of such times fit.
constexpr auto maxWallMs = std::int64_t{10'000'000'000'000};
constexpr auto maxWorkerId = std::size_t{255};

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
    auto needed = std::vector<int>{};
    for (const auto &number : it.at("after")) {
        needed.push_back(toInteger<int>(number, "after"));
    }
    return {
        .tasks = intField<int>(it, "tasks"),
        .perTask = {.cpuMillis = intField(it, "cpu"), .memoryMb = intField(it, "memory"), .accelerators = intField(it, "accelerators")},
        .estimate = Millis{intField(it, "estimate")},
        .dependsOn = std::move(needed),
        .checkpointing = it.at("checkpoints").get<bool>(),
        .gang = it.at("gang").get<bool>(),
        .sameRack = it.at("one_rack").get<bool>(),
        .requiredLabel = it.at("label").get<std::string>(),
        .dataRack = it.at("rack").get<std::string>(),
        .maxPerWorker = intField<int>(it, "per_worker"),
        .longRunning = it.at("endless").get<bool>(),
    };
}

auto jobFromJson(const JobId &id, const json &it) -> PoolJob
{
    auto job = PoolJob{
        .id = id,
        .queue = QueueId{it.at("queue").get<std::string>()},
        .workspace = WorkspaceId{it.at("workspace").get<std::string>()},
        .acceptedAt = WallTime{Millis{intField(it, "accepted", 0, maxWallMs)}},
        .payload = it.at("payload").get<std::string>(),
        .occurrences = intField<int>(it, "occurrences"),
        .interval = Millis{intField(it, "interval")},
    };
    for (const auto &step : it.at("steps")) {
        job.steps.push_back(stepFromJson(step));
    }
    if (it.contains("due")) {
        job.firstDue = WallTime{Millis{intField(it, "due")}};
    }
    // A job that no instance accepts comes from another writer; the planner relies on these limits.
    if (const auto problem = jobProblem(job)) {
        throw json::other_error::create(0, *problem, nullptr);
    }
    return job;
}

auto leadershipFromJson(const json &it) -> LeadershipRecord
{
    return {
        .kind = static_cast<LeadershipRecordKind>(intField<int>(it, "kind", 0, static_cast<int>(LeadershipRecordKind::Resignation))),
        .holder = InstanceId{it.at("holder").get<std::string>()},
        .epoch = intField(it, "epoch"),
        .nonce = it.at("nonce").get<std::string>(),
        .address = it.at("address").get<std::string>(),
    };
}

auto phaseFromJson(const json &it) -> PoolJobPhase
{
    return static_cast<PoolJobPhase>(toInteger<int>(it, "phase", 0, static_cast<int>(PoolJobPhase::Cancelled)));
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
    task.phase = static_cast<TaskPhase>(toInteger<int>(it.at(0), "phase", 0, static_cast<int>(TaskPhase::Done)));
    task.attempt = toInteger<int>(it.at(1), "attempt", 0, maxAttempt);
    task.failures = toInteger<int>(it.at(2), "failures", 0, maxAttempt);
    task.lastFailedAttempt = toInteger<int>(it.at(3), "last failed attempt", 0, maxAttempt);
    if (it.size() > 4) {
        task.worker = WorkerId{it.at(4).get<std::string>()};
        task.workerBorn = Incarnation{toInteger(it.at(5), "incarnation")};
        task.checkpoint = it.at(6).get<std::string>();
    }
    if (task.phase == TaskPhase::Placed && !isPrintableId(task.worker.str(), maxWorkerId)) {
        throw json::other_error::create(0, "a placed task has no worker", nullptr);
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
        const auto id = JobId{key.size() > prefixLength ? key.substr(prefixLength) : std::string{}};
        if (!isJobId(id)) {
            return failure(ErrorCode::Protocol, "unknown key '" + printable(key) + "'");
        }
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
        return failure(ErrorCode::Protocol, "unknown key '" + printable(key) + "'");
    } catch (const json::exception &e) {
        return failure(ErrorCode::Protocol, "record '" + printable(key) + "': " + printable(e.what()));
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
                steps[s].gangFailures = intField<int>(record, "f", 0, maxAttempt);
                steps[s].lastFailedAttempt = intField<int>(record, "l", 0, maxAttempt);
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
        return failure(ErrorCode::Protocol, "attempts record: " + printable(e.what()));
    }
}

}

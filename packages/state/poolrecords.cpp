#include "state/poolrecords.h"

#include "util/jsonnumbers.h"
#include "util/printable.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <type_traits>

namespace Catkin
{

namespace
{

using nlohmann::json;

constexpr auto jobPrefix = "j/";
constexpr auto cancelPrefix = "x/";
constexpr auto phasePrefix = "s/";
constexpr auto attemptsPrefix = "t/"; // the first part
constexpr auto laterPartPrefix = "u/"; // followed by the number of the part, of a fixed length, and a slash
constexpr auto partDigits = std::size_t{4};
/// Tasks in one record of a job's progress. Fixed, so that a task stays in its part.
constexpr auto tasksInPart = std::size_t{64};
/// Upper bound on the bytes of a part beside its tasks: its key, the state of the job, and for each of its tasks the step that it begins.
constexpr auto partFrameBytes = std::size_t{400} + tasksInPart * 32;
constexpr auto memberPrefix = "m/";
constexpr auto leadershipKey = "leader";
constexpr auto leaseBoundsKey = "leases";
/// Longer than any lease; added to a time, it does not wrap around.
constexpr auto maxLeaseLeftMs = std::int64_t{maxSpan.count()};
constexpr auto prefixLength = std::size_t{2};
constexpr auto maxWallMs = std::int64_t{maxJobTime.time_since_epoch().count()};

auto toJson(const PoolStep &it) -> json
{
    auto out = json{{"tasks", it.tasks},
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
    if (!it.image.empty()) {
        out["image"] = it.image;
    }
    if (it.responseTarget.count() > 0) {
        out["response_target"] = it.responseTarget.count();
    }
    return out;
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
        // Left out by earlier versions.
        .image = it.value("image", std::string{}),
        .responseTarget = Millis{it.contains("response_target") ? intField(it, "response_target", 0, maxSpan.count()) : 0},
    };
}

auto toJson(const PoolQueue &it) -> json
{
    return {
        {"service", it.service.str()}, {"priority", it.priority}, {"attempts", it.maxAttempts}, {"stretch", it.stretch}, {"target", it.targetRuntime.count()}};
}

auto rulesFromJson(const QueueId &queue, const json &it) -> PoolQueue
{
    return {
        .id = queue,
        .service = ServiceId{it.at("service").get<std::string>()},
        .priority = intField<int>(it, "priority", 0, maxQueuePriority),
        .maxAttempts = intField<int>(it, "attempts", 0, maxQueueAttempts),
        .stretch = toReal(it.at("stretch"), "stretch", 0.0, maxStretch),
        .targetRuntime = Millis{intField(it, "target", 0, maxSpan.count())},
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
    if (it.contains("rules")) {
        job.rules = rulesFromJson(job.queue, it.at("rules"));
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

auto leaseBoundsFromJson(const json &value) -> LeaseBoundsRecord
{
    auto out = LeaseBoundsRecord{.epoch = intField(value, "epoch")};
    for (const auto &it : value.at("workers")) {
        out.bounds.push_back({.worker = WorkerId{it.at(0).get<std::string>()},
                              .left = Millis{toInteger(it.at(1), "time left", 0, maxLeaseLeftMs)},
                              .over = Millis{it.size() > 2 ? toInteger(it.at(2), "time over", 0, maxLeaseLeftMs) : 0}});
    }
    // Left out by earlier versions.
    for (const auto &it : value.value("late", json::array())) {
        out.lateStarts.push_back({.worker = WorkerId{it.at(0).get<std::string>()}, .left = Millis{toInteger(it.at(1), "time left", 0, maxLeaseLeftMs)}});
    }
    return out;
}

auto phaseFromJson(const json &it) -> PoolJobPhase
{
    return static_cast<PoolJobPhase>(toInteger<int>(it, "phase", 0, static_cast<int>(PoolJobPhase::Cancelled)));
}

/// A phase alone is a number.
auto publishedFromJson(const JobId &id, const json &it) -> PhaseRecord
{
    if (!it.is_object()) {
        return {.id = id, .phase = phaseFromJson(it)};
    }
    return {.id = id, .phase = phaseFromJson(it.at("phase")), .reason = it.at("reason").get<std::string>()};
}

/// @return [phase, attempt, failures, last failed attempt, worker, incarnation of the worker, checkpoint, stops for want of progress].
/// The last is left out if it is 0; with it, the three before it for a task that is not placed, has no checkpoint and no late start order.
auto toJson(const TaskState &it) -> json
{
    auto out = json::array({static_cast<int>(it.phase), it.attempt, it.failures, it.lastFailedAttempt});
    if (it.phase == TaskPhase::Placed || !it.checkpoint.empty() || it.hungStops > 0 || it.startsArriveUntil != MonoTime{}) {
        out.push_back(it.worker.str());
        out.push_back(it.workerBorn.value);
        out.push_back(it.checkpoint);
    }
    if (it.hungStops > 0) {
        out.push_back(it.hungStops);
    }
    return out;
}

/// Like toJson(), within @p maxBytes. A checkpoint that does not fit is left out and counted in @p leftOut.
auto toBoundedJson(const TaskState &it, std::size_t maxBytes, int &leftOut) -> json
{
    auto out = toJson(it);
    // Shorter checkpoints need no look: an escaped character takes six bytes at most.
    constexpr auto escapedBytes = std::size_t{6};
    if (it.checkpoint.size() * escapedBytes < maxBytes / 2 || out.dump().size() <= maxBytes) {
        return out;
    }
    ++leftOut;
    auto shorter = it;
    shorter.checkpoint.clear();
    return toJson(shorter);
}

/// The tasks of all occurrences and steps, one after the other.
template<typename State>
struct TaskList
{
    using Task = std::remove_reference_t<decltype(std::declval<State &>().occurrences[0].steps[0].tasks[0])>;
    using Step = std::remove_reference_t<decltype(std::declval<State &>().occurrences[0].steps[0])>;

    explicit TaskList(State &state)
    {
        for (auto &occurrence : state.occurrences) {
            for (auto &step : occurrence.steps) {
                for (auto i = std::size_t{0}; i < step.tasks.size(); ++i) {
                    tasks.push_back(&step.tasks[i]);
                    begins.push_back(i == 0 ? &step : nullptr);
                }
            }
        }
    }

    std::vector<Task *> tasks;
    std::vector<Step *> begins; ///< the step that the task of the same index is the first of, or null
};

auto partKey(const JobId &id, std::size_t part) -> std::string
{
    if (part == 0) {
        return attemptsPrefix + id.str();
    }
    const auto digits = std::to_string(part);
    return laterPartPrefix + std::string(partDigits - digits.size(), '0') + digits + "/" + id.str();
}

/// @param rest key of a later part without its prefix
/// @return id and number of the part; an empty id if there is none.
auto splitPartKey(const std::string &rest) -> std::pair<JobId, int>
{
    const auto isNumber = rest.size() > partDigits + 1 && rest[partDigits] == '/'
                          && std::all_of(rest.begin(), rest.begin() + partDigits, [](char c) { return c >= '0' && c <= '9'; });
    return isNumber ? std::pair{JobId{rest.substr(partDigits + 1)}, std::stoi(rest.substr(0, partDigits))} : std::pair{JobId{}, 0};
}

auto taskFromJson(const json &it) -> TaskState
{
    auto task = TaskState{};
    task.phase = static_cast<TaskPhase>(toInteger<int>(it.at(0), "phase", 0, static_cast<int>(TaskPhase::Done)));
    task.attempt = toInteger<int>(it.at(1), "attempt", 0, maxAttemptNumber);
    task.failures = toInteger<int>(it.at(2), "failures", 0, maxAttemptNumber);
    task.lastFailedAttempt = toInteger<int>(it.at(3), "last failed attempt", 0, maxAttemptNumber);
    if (it.size() > 4) {
        task.worker = WorkerId{it.at(4).get<std::string>()};
        task.workerBorn = Incarnation{toInteger(it.at(5), "incarnation")};
        task.checkpoint = it.at(6).get<std::string>();
    }
    if (it.size() > 7) {
        task.hungStops = toInteger<int>(it.at(7), "stops", 0, maxAttemptNumber);
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
    if (job.rules) {
        out["rules"] = toJson(*job.rules);
    }
    return {jobPrefix + job.id.str(), out.dump()};
}

auto encodeCancel(const JobId &id) -> EncodedRecord
{
    return {cancelPrefix + id.str(), "{}"};
}

auto encodePhase(const JobId &id, PoolJobPhase phase, const std::string &reason) -> EncodedRecord
{
    const auto number = static_cast<int>(phase);
    return {phasePrefix + id.str(), reason.empty() ? std::to_string(number) : json{{"phase", number}, {"reason", reason}}.dump()};
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

auto encodeLeaseBounds(const LeaseBoundsRecord &record) -> EncodedRecord
{
    auto out = json::array();
    for (const auto &it : record.bounds) {
        out.push_back(json::array({it.worker.str(), std::min(it.left.count(), maxLeaseLeftMs)}));
        if (it.over.count() > 0) {
            out.back().push_back(std::min(it.over.count(), maxLeaseLeftMs));
        }
    }
    auto value = json{{"epoch", record.epoch}, {"workers", std::move(out)}};
    for (const auto &it : record.lateStarts) {
        value["late"].push_back({it.worker.str(), std::min(it.left.count(), maxLeaseLeftMs)});
    }
    return {leaseBoundsKey, value.dump()};
}

auto encodeJobTombstones(const JobId &id) -> std::vector<EncodedRecord>
{
    return {{jobPrefix + id.str(), {}}, {cancelPrefix + id.str(), {}}};
}

auto encodeAttemptTombstones(const JobId &id, std::size_t parts) -> std::vector<EncodedRecord>
{
    auto out = std::vector<EncodedRecord>{{jobPrefix + id.str(), {}}};
    for (auto i = std::size_t{0}; i < std::max(parts, std::size_t{1}); ++i) {
        out.emplace_back(partKey(id, i), std::string{});
    }
    return out;
}

auto encodePhaseTombstone(const JobId &id) -> EncodedRecord
{
    return {phasePrefix + id.str(), {}};
}

auto isLeaseBoundsKey(const std::string &key) -> bool
{
    return key == leaseBoundsKey;
}

auto decodePoolRecord(const std::string &key, const std::string &value) -> Result<PoolRecord>
{
    try {
        if (key == leadershipKey) {
            return PoolRecord{leadershipFromJson(json::parse(value))};
        }
        if (key == leaseBoundsKey) {
            return PoolRecord{leaseBoundsFromJson(json::parse(value))};
        }
        const auto prefix = key.substr(0, prefixLength);
        const auto rest = key.size() > prefixLength ? key.substr(prefixLength) : std::string{};
        const auto [id, part] = prefix == laterPartPrefix ? splitPartKey(rest) : std::pair{JobId{rest}, 0};
        if (!isJobId(id)) {
            return failure(ErrorCode::Protocol, "unknown key '" + printable(key) + "'");
        }
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
        if (prefix == attemptsPrefix || prefix == laterPartPrefix) {
            return PoolRecord{AttemptsRecord{.id = id, .part = part, .value = value}};
        }
        if (prefix == phasePrefix) {
            return PoolRecord{publishedFromJson(id, json::parse(value))};
        }
        return failure(ErrorCode::Protocol, "unknown key '" + printable(key) + "'");
    } catch (const json::exception &e) {
        return failure(ErrorCode::Protocol, "record '" + printable(key) + "': " + printable(e.what()));
    }
}

auto jobOfKey(const std::string &key) -> std::optional<JobId>
{
    const auto id = JobId{key.starts_with(jobPrefix) ? key.substr(prefixLength) : std::string{}};
    return isJobId(id) ? std::optional{id} : std::nullopt;
}

auto recordProblem(const EncodedRecord &job) -> std::optional<std::string>
{
    const auto read = decodePoolRecord(job.first, job.second);
    if (!read) {
        return read.error().message;
    }
    const auto *same = std::get_if<PoolJob>(&read.value());
    return same != nullptr && encodeJob(*same) == job ? std::nullopt
                                                      : std::optional{std::string("record '") + printable(job.first) + "' is read as another one"};
}

auto encodeAttempts(const PoolJobState &state, std::size_t maxRecord) -> EncodedAttempts
{
    const auto list = TaskList{state};
    const auto maxTask = (std::max(maxRecord, leastRecordBytes) - partFrameBytes) / tasksInPart;
    auto out = EncodedAttempts{};
    for (auto begin = std::size_t{0}; begin < list.tasks.size(); begin += tasksInPart) {
        auto steps = json::array();
        auto tasks = json::array();
        for (auto i = begin; i < std::min(begin + tasksInPart, list.tasks.size()); ++i) {
            if (const auto *step = list.begins[i]) {
                steps.push_back({step->gangFailures, step->lastFailedAttempt, step->everStarted});
            }
            tasks.push_back(toBoundedJson(*list.tasks[i], maxTask, out.checkpointsLeftOut));
        }
        auto value = json{{"s", std::move(steps)}, {"t", std::move(tasks)}};
        if (begin == 0) {
            value["p"] = static_cast<int>(state.phase);
        }
        out.parts.emplace_back(partKey(state.job.id, begin / tasksInPart), value.dump());
    }
    return out;
}

auto encodeEnd(const JobId &id, PoolJobPhase phase) -> EncodedRecord
{
    return {partKey(id, 0), json{{"p", static_cast<int>(phase)}}.dump()};
}

namespace
{

/// Reads a record of an earlier version, which has all tasks by occurrence and step.
auto decodeWhole(const json &occurrences, PoolJobState &state) -> Result<void>
{
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
            steps[s].gangFailures = intField<int>(record, "f", 0, maxAttemptNumber);
            steps[s].lastFailedAttempt = intField<int>(record, "l", 0, maxAttemptNumber);
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
}

auto decodePart(const json &root, std::size_t part, PoolJobState &state) -> Result<void>
{
    const auto list = TaskList{state};
    const auto begin = part * tasksInPart;
    const auto end = std::min(begin + tasksInPart, list.tasks.size());
    const auto &tasks = root.at("t");
    const auto &steps = root.at("s");
    if (begin >= end || !tasks.is_array() || tasks.size() != end - begin) {
        return failure(ErrorCode::Protocol, "attempts record: its number of tasks differs from the job's");
    }
    const auto first = list.begins.begin() + static_cast<std::ptrdiff_t>(begin);
    const auto last = list.begins.begin() + static_cast<std::ptrdiff_t>(end);
    if (!steps.is_array() || static_cast<std::ptrdiff_t>(steps.size()) != std::count_if(first, last, [](const auto *it) { return it != nullptr; })) {
        return failure(ErrorCode::Protocol, "attempts record: its number of steps differs from the job's");
    }
    auto step = steps.begin();
    for (auto i = begin; i < end; ++i) {
        if (auto *it = list.begins[i]) {
            it->gangFailures = toInteger<int>(step->at(0), "failures", 0, maxAttemptNumber);
            it->lastFailedAttempt = toInteger<int>(step->at(1), "last failed attempt", 0, maxAttemptNumber);
            it->everStarted = step->at(2).get<bool>();
            ++step;
        }
        *list.tasks[i] = taskFromJson(tasks[i - begin]);
    }
    return success();
}

}

auto decodeAttempts(const AttemptsRecord &record, PoolJobState &state) -> Result<AttemptsExtent>
{
    try {
        const auto root = json::parse(record.value);
        const auto isWhole = record.part == 0 && root.contains("o");
        if (record.part == 0) {
            state.phase = phaseFromJson(root.at("p"));
            if (isFinal(state.phase) && !root.contains("t") && !isWhole) {
                return AttemptsExtent::Part; // see encodeEnd()
            }
        }
        const auto read = isWhole ? decodeWhole(root.at("o"), state) : decodePart(root, static_cast<std::size_t>(record.part), state);
        if (!read) {
            return read.error();
        }
        return isWhole ? AttemptsExtent::Whole : AttemptsExtent::Part;
    } catch (const json::exception &e) {
        return failure(ErrorCode::Protocol, "attempts record: " + printable(e.what()));
    }
}

auto completeGangs(PoolJobState &state) -> void
{
    for (auto &occurrence : state.occurrences) {
        for (auto s = std::size_t{0}; s < occurrence.steps.size(); ++s) {
            auto &tasks = occurrence.steps[s].tasks;
            if (state.job.steps[s].gang && std::any_of(tasks.begin(), tasks.end(), [](const TaskState &it) { return it.phase == TaskPhase::Done; })) {
                for (auto &it : tasks) {
                    it.phase = TaskPhase::Done;
                }
            }
        }
    }
}

}

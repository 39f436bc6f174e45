#include "policy/pooljob.h"

#include "util/printable.h"

#include <algorithm>
#include <numeric>

namespace Catkin
{

namespace
{

constexpr auto maxSteps = std::size_t{64};
constexpr auto maxTasks = 10'000;
constexpr auto maxOccurrences = 10'000;
constexpr auto maxPayload = std::size_t{4'000};
/// Tasks of all occurrences together; bounds what one job takes of a planner's memory and of the log of attempts.
constexpr auto maxAllTasks = std::int64_t{20'000};
constexpr auto maxLabel = std::size_t{255};

auto isResource(std::int64_t amount) -> bool
{
    return amount >= 0 && amount <= maxResource;
}

auto isSpan(Millis span) -> bool
{
    return span.count() >= 0 && span <= maxSpan;
}

auto copiesOf(std::int64_t need, std::int64_t available, int limit) -> int
{
    if (need <= 0) {
        return limit;
    }
    return static_cast<int>(std::clamp<std::int64_t>(available / need, 0, limit));
}

auto stepProblem(const PoolJob &job, std::size_t number) -> std::optional<std::string>
{
    const auto &step = job.steps[number];
    const auto name = "step " + std::to_string(number);
    if (step.tasks < 1 || step.tasks > maxTasks) {
        return name + ": the number of tasks must be between 1 and " + std::to_string(maxTasks);
    }
    if (!isResource(step.perTask.cpuMillis) || !isResource(step.perTask.memoryMb) || !isResource(step.perTask.accelerators)) {
        return name + ": a resource must be between 0 and " + std::to_string(maxResource);
    }
    if (!isSpan(step.estimate) || !isSpan(step.responseTarget) || step.maxPerWorker < 0) {
        return name + ": an estimate or a response time above a year, or a limit below 0";
    }
    if (step.requiredLabel.size() > maxLabel || step.dataRack.size() > maxLabel) {
        return name + ": a label is longer than " + std::to_string(maxLabel) + " bytes";
    }
    const auto isEarlier = [&](int it) { return it >= 0 && static_cast<std::size_t>(it) < number; };
    if (step.dependsOn.size() > maxSteps || !std::all_of(step.dependsOn.begin(), step.dependsOn.end(), isEarlier)) {
        return name + ": depends on a step that is not an earlier one";
    }
    return std::nullopt;
}

}

auto Resources::operator+=(const Resources &other) -> Resources &
{
    cpuMillis += other.cpuMillis;
    memoryMb += other.memoryMb;
    accelerators += other.accelerators;
    return *this;
}

auto Resources::operator-=(const Resources &other) -> Resources &
{
    cpuMillis -= other.cpuMillis;
    memoryMb -= other.memoryMb;
    accelerators -= other.accelerators;
    return *this;
}

auto copiesThatFit(const Resources &need, const Resources &available, int limit) -> int
{
    const auto cpu = copiesOf(need.cpuMillis, available.cpuMillis, limit);
    const auto memory = copiesOf(need.memoryMb, available.memoryMb, limit);
    return std::min({cpu, memory, copiesOf(need.accelerators, available.accelerators, limit)});
}

auto isJobId(const JobId &id) -> bool
{
    return isPrintableId(id.str(), maxJobId);
}

auto phaseName(PoolJobPhase phase) -> const char *
{
    switch (phase) {
    case PoolJobPhase::Queued:
        return "queued";
    case PoolJobPhase::Running:
        return "running";
    case PoolJobPhase::Completed:
        return "completed";
    case PoolJobPhase::Failed:
        return "failed";
    case PoolJobPhase::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

auto isFinal(PoolJobPhase phase) -> bool
{
    return phase == PoolJobPhase::Completed || phase == PoolJobPhase::Failed || phase == PoolJobPhase::Cancelled;
}

auto makeJobState(const PoolJob &job) -> PoolJobState
{
    auto state = PoolJobState{.job = job};
    auto occurrence = OccurrenceState{};
    for (const auto &it : job.steps) {
        occurrence.steps.push_back({.tasks = std::vector<TaskState>(static_cast<std::size_t>(it.tasks))});
    }
    state.occurrences.assign(static_cast<std::size_t>(std::max(job.occurrences, 1)), occurrence);
    return state;
}

auto taskAt(PoolJobState &state, const TaskKey &key) -> TaskState &
{
    return state.occurrences.at(static_cast<std::size_t>(key.occurrence))
        .steps.at(static_cast<std::size_t>(key.step))
        .tasks.at(static_cast<std::size_t>(key.index));
}

auto taskAt(const PoolJobState &state, const TaskKey &key) -> const TaskState &
{
    return state.occurrences.at(static_cast<std::size_t>(key.occurrence))
        .steps.at(static_cast<std::size_t>(key.step))
        .tasks.at(static_cast<std::size_t>(key.index));
}

auto containsTask(const PoolJobState &state, const TaskKey &key) -> bool
{
    const auto within = [](int index, std::size_t size) { return index >= 0 && static_cast<std::size_t>(index) < size; };
    return within(key.occurrence, state.occurrences.size()) && within(key.step, state.job.steps.size())
           && within(key.index, state.occurrences[static_cast<std::size_t>(key.occurrence)].steps[static_cast<std::size_t>(key.step)].tasks.size());
}

auto stepAt(PoolJobState &state, const TaskKey &key) -> StepState &
{
    return state.occurrences[static_cast<std::size_t>(key.occurrence)].steps[static_cast<std::size_t>(key.step)];
}

auto specOf(const PoolJobState &state, const TaskKey &key) -> const PoolStep &
{
    return state.job.steps[static_cast<std::size_t>(key.step)];
}

auto describeAttempt(const TaskKey &key, int attempt) -> std::string
{
    return "job=" + key.job.str() + " occurrence=" + std::to_string(key.occurrence) + " step=" + std::to_string(key.step) + " task=" + std::to_string(key.index)
           + " attempt=" + std::to_string(attempt);
}

auto attemptName(const TaskKey &key, int attempt) -> std::string
{
    return key.job.str() + "." + std::to_string(key.occurrence) + "." + std::to_string(key.step) + "." + std::to_string(key.index) + "#"
           + std::to_string(attempt);
}

auto stepDone(const StepState &step) -> bool
{
    return std::all_of(step.tasks.begin(), step.tasks.end(), [](const TaskState &it) { return it.phase == TaskPhase::Done; });
}

auto stepReady(const PoolJobState &state, int occurrence, int step) -> bool
{
    const auto &steps = state.occurrences.at(static_cast<std::size_t>(occurrence)).steps;
    const auto &needed = state.job.steps.at(static_cast<std::size_t>(step)).dependsOn;
    return std::all_of(needed.begin(), needed.end(), [&](int it) { return stepDone(steps.at(static_cast<std::size_t>(it))); });
}

auto dueTime(const PoolJob &job, int occurrence) -> std::optional<WallTime>
{
    if (!job.firstDue) {
        return std::nullopt;
    }
    return *job.firstDue + job.interval * occurrence;
}

auto hasBegun(const PoolJobState &state) -> bool
{
    return std::any_of(state.occurrences.begin(), state.occurrences.end(), [](const OccurrenceState &it) {
        return std::any_of(it.steps.begin(), it.steps.end(), [](const StepState &step) { return step.everStarted; });
    });
}

auto startOrderBytes(const PoolJob &job) -> std::int64_t
{
    constexpr auto headers = std::int64_t{600};
    return headers + static_cast<std::int64_t>(job.payload.size());
}

auto jobProblem(const PoolJob &job) -> std::optional<std::string>
{
    if (!isJobId(job.id)) {
        return "the id has to have 1 to " + std::to_string(maxJobId) + " visible ASCII characters";
    }
    if (job.payload.size() > maxPayload) {
        return "the payload is longer than " + std::to_string(maxPayload) + " bytes";
    }
    if (job.steps.empty() || job.steps.size() > maxSteps) {
        return "a job has 1 to " + std::to_string(maxSteps) + " steps";
    }
    if (job.occurrences < 1 || job.occurrences > maxOccurrences || !isSpan(job.interval)) {
        return "the schedule is malformed";
    }
    if (job.firstDue && (*job.firstDue < WallTime{} || *job.firstDue > maxJobTime)) {
        return "the schedule begins at no usable time";
    }
    for (auto i = std::size_t{0}; i < job.steps.size(); ++i) {
        if (auto problem = stepProblem(job, i)) {
            return problem;
        }
    }
    const auto tasks
        = std::accumulate(job.steps.begin(), job.steps.end(), std::int64_t{0}, [](std::int64_t sum, const PoolStep &it) { return sum + it.tasks; });
    if (tasks * job.occurrences > maxAllTasks) {
        return "a job has at most " + std::to_string(maxAllTasks) + " tasks in all its occurrences";
    }
    return std::nullopt;
}

}

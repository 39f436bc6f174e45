#include "policy/testing/overloadfleet.h"

#include "util/random.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace Catkin::Testing
{

namespace
{

constexpr auto passEvery = Millis{100};
constexpr auto workersPerRack = 8;
constexpr auto perMille = 1'000U;
/// After this multiple of its objective, the result of a job has no value.
constexpr auto worthlessAfter = 3;

/// A line of the table of queues in docs/demands.md.
struct QueueLoad
{
    const char *name;
    double jobsPerSecond;
    int tasks;
    Millis length;
    Resources perTask; ///< accelerators 0: drawn from 1, 2, 4 and 8
    int priority;
    double stretch;
    Millis fixed;
    bool gang;
};

constexpr auto haddad
    = std::array{QueueLoad{"urgent", 9.68, 5, Millis{2'100}, {.cpuMillis = 3'700, .memoryMb = 11'000}, 0, 1.5, Millis{500}, true},
                 QueueLoad{"plans", 1.45, 13, Millis{9'400}, {.cpuMillis = 13'000, .memoryMb = 38'000}, 1, 3.0, Millis{1'200}, true},
                 QueueLoad{"batch", 2.24, 39, Millis{5'200}, {.cpuMillis = 2'800, .memoryMb = 8'000, .accelerators = 1}, 2, 3.0, Millis{3'000}, false}};

/// Relative sizes of the workspaces: a few are large.
constexpr auto workspaceWeights = std::array{8, 6, 4, 1, 1, 1, 1, 1, 1, 1};
/// Most tasks of a gang and of a step of a batch.
constexpr auto mostInGang = 78;
constexpr auto mostInBatch = 230;

auto unit(Random &random) -> double
{
    return (uniform(random, 1'000'000) + 1) / 1'000'001.0;
}

auto drawWorkspace(Random &random) -> WorkspaceId
{
    auto sum = 0;
    for (const auto it : workspaceWeights) {
        sum += it;
    }
    auto left = static_cast<int>(uniform(random, static_cast<std::uint32_t>(sum)));
    auto index = std::size_t{0};
    while (left >= workspaceWeights.at(index)) {
        left -= workspaceWeights.at(index);
        ++index;
    }
    return WorkspaceId{"ws" + std::to_string(index)};
}

}

OverloadFleet::OverloadFleet(int workers)
    : core(PoolOptions{})
{
    for (const auto &it : haddad) {
        const auto id = QueueId{it.name};
        rules.queues[id] = {.id = id, .service = ServiceId{"s"}, .priority = it.priority, .maxAttempts = 3, .stretch = it.stretch, .targetRuntime = it.fixed};
    }
    core.setRules(rules);
    for (auto i = 0; i < workers; ++i) {
        m_workers.push_back({.id = WorkerId{"w" + std::to_string(perMille + static_cast<unsigned>(i))},
                             .address = "10.0.0.1:" + std::to_string(i + 1),
                             .service = ServiceId{"s"},
                             .rack = "r" + std::to_string(i / workersPerRack),
                             .capacity = {.cpuMillis = 32'000, .memoryMb = 128'000, .accelerators = 8},
                             .born = Incarnation{1}});
    }
    core.setWorkers(m_workers, m_now);
    for (const auto &it : m_workers) {
        poll(it);
    }
}

auto OverloadFleet::submit(const PoolJob &job, Millis at) -> void
{
    m_jobs.push_back({.job = job, .at = m_begin + at});
}

auto OverloadFleet::poll(const PoolWorkerInfo &worker) -> void
{
    auto reply = WorkerPollReply{.clock = WorkerTime{100'000 + std::chrono::duration_cast<Millis>(m_now - m_begin).count()}, .born = Incarnation{1}};
    auto &running = m_running[worker.id];
    const auto &allocations = core.workers().at(worker.id).allocations;
    for (auto it = running.begin(); it != running.end();) {
        const auto &[task, state] = *it;
        const auto allocation = allocations.find({task, state.attempt});
        const auto stopped = allocation == allocations.end() || allocation->second.stopAnswered;
        if (stopped || m_now >= state.end) {
            reply.completions.push_back({.number = ++m_completions[worker.id],
                                         .task = task,
                                         .attempt = state.attempt,
                                         .kind = stopped ? CompletionKind::Stopped : CompletionKind::Done});
            it = running.erase(it);
        } else {
            reply.running.push_back({.task = task, .attempt = state.attempt, .percent = static_cast<int>((m_now - m_begin) / passEvery % 100)});
            ++it;
        }
    }
    core.leaseFor(worker.id, m_now);
    core.applyPollReply(worker.id, reply, m_now, m_now);
}

auto OverloadFleet::run(Millis until) -> void
{
    for (; m_now < m_begin + until; m_now += passEvery) {
        for (; m_next < m_jobs.size() && m_jobs[m_next].at <= m_now; ++m_next) {
            core.addJob(m_jobs[m_next].job, m_now);
        }
        const auto effects = core.plan(m_now, WallTime{});
        core.recorded(effects);
        log.insert(log.end(), effects.logEntries.begin(), effects.logEntries.end());
        for (const auto &it : effects.stops) {
            core.applyOrder(it, {.outcome = OrderOutcome::Accepted}, m_now);
        }
        for (const auto &it : effects.starts) {
            core.leaseFor(it.worker, m_now);
            core.applyOrder(it, {.outcome = OrderOutcome::Accepted}, m_now);
            const auto &step = core.find(it.task.job)->job.steps[static_cast<std::size_t>(it.task.step)];
            m_running[it.worker][it.task] = {.attempt = it.attempt, .end = m_now + step.estimate};
            m_started.try_emplace(it.task.job, m_now);
        }
        for (const auto &it : m_workers) {
            if (!core.workers().at(it.id).allocations.empty()) {
                poll(it);
            }
        }
        for (const auto &id : effects.phaseChanged) {
            if (isFinal(core.find(id)->phase)) {
                m_ended.try_emplace(id, m_now);
            }
        }
    }
}

auto OverloadFleet::objectiveOf(const PoolJob &job) const -> Micros
{
    const auto &queue = rules.queues.at(job.queue);
    auto chain = Millis{0};
    for (const auto &it : job.steps) {
        chain += it.estimate; // each step depends on the one before
    }
    return std::chrono::duration_cast<Micros>(chain * queue.stretch) + queue.targetRuntime;
}

auto OverloadFleet::unfinished() const -> int
{
    return static_cast<int>(m_jobs.size() - m_ended.size());
}

auto OverloadFleet::now() const -> MonoTime
{
    return m_now;
}

auto OverloadFleet::runningAccelerators(const WorkspaceId &workspace) const -> std::int64_t
{
    auto sum = std::int64_t{0};
    for (const auto &[worker, running] : m_running) {
        for (const auto &[task, state] : running) {
            const auto &job = core.find(task.job)->job;
            sum += job.workspace == workspace ? job.steps[static_cast<std::size_t>(task.step)].perTask.accelerators : 0;
        }
    }
    return sum;
}

auto OverloadFleet::workersOf(const WorkspaceId &workspace) const -> int
{
    return static_cast<int>(std::count_if(m_running.begin(), m_running.end(), [&](const auto &worker) {
        return std::any_of(worker.second.begin(), worker.second.end(), [&](const auto &it) { return core.find(it.first.job)->job.workspace == workspace; });
    }));
}

auto OverloadFleet::logged(const std::string &decision) const -> int
{
    return static_cast<int>(std::count_if(log.begin(), log.end(), [&](const PoolLogEntry &it) { return it.decision == decision; }));
}

auto OverloadFleet::startedAt(const JobId &id) const -> MonoTime
{
    const auto found = m_started.find(id);
    return found == m_started.end() ? MonoTime{} : found->second;
}

auto OverloadFleet::tally() const -> std::map<std::string, ServedJobs>
{
    auto sizes = std::map<QueueId, std::vector<double>>{};
    const auto sizeOf = [](const PoolJob &job) {
        const auto &it = job.steps.front();
        return static_cast<double>(it.tasks) * static_cast<double>(it.perTask.accelerators);
    };
    for (const auto &it : m_jobs) {
        sizes[it.job.queue].push_back(sizeOf(it.job));
    }
    for (auto &[queue, all] : sizes) {
        std::sort(all.begin(), all.end(), std::greater<>{});
    }
    auto out = std::map<std::string, ServedJobs>{};
    for (const auto &it : m_jobs) {
        const auto &all = sizes.at(it.job.queue);
        const auto size = sizeOf(it.job);
        const auto ended = m_ended.find(it.job.id);
        const auto took = ended == m_ended.end() ? Micros::max() : ended->second - it.at;
        const auto objective = objectiveOf(it.job);
        auto keys = std::vector<std::string>{"all", it.job.queue.str(), "workspace " + it.job.workspace.str()};
        if (size >= all[all.size() / 10]) {
            keys.push_back(it.job.queue.str() + " largest tenth");
        } else if (size >= all[all.size() * 3 / 10]) {
            keys.push_back(it.job.queue.str() + " next fifth");
        }
        for (const auto &key : keys) {
            auto &sum = out[key];
            ++sum.jobs;
            sum.inTime += took <= objective ? 1 : 0;
            sum.late += took > objective && took <= worthlessAfter * objective ? 1 : 0;
        }
    }
    return out;
}

auto drawHaddad(std::uint64_t seed, Millis begin, Millis span, double rate) -> std::vector<std::pair<Millis, PoolJob>>
{
    auto random = Random{seed};
    auto out = std::vector<std::pair<Millis, PoolJob>>{};
    for (const auto &queue : haddad) {
        auto at = 0.0;
        for (auto i = 0;; ++i) {
            at -= std::log(unit(random)) / (queue.jobsPerSecond * rate) * Millis{Seconds{1}}.count();
            if (at >= static_cast<double>(span.count())) {
                break;
            }
            auto perTask = queue.perTask;
            if (perTask.accelerators == 0) {
                perTask.accelerators = std::int64_t{1} << uniform(random, 4);
            }
            const auto most = queue.gang ? mostInGang : mostInBatch;
            const auto tasks = std::clamp(static_cast<int>(std::lround(-std::log(unit(random)) * queue.tasks)), 1, most);
            const auto length = Millis{queue.length.count() * (50 + uniform(random, 101)) / 100};
            auto step = PoolStep{.tasks = tasks, .perTask = perTask, .estimate = length, .gang = queue.gang};
            auto job = PoolJob{.id = JobId{std::string{queue.name} + "-" + std::to_string(begin.count()) + "-" + std::to_string(i)},
                               .queue = QueueId{queue.name},
                               .workspace = drawWorkspace(random),
                               .payload = "p",
                               .steps = {step}};
            if (!queue.gang && uniform(random, 10) < 3) {
                step.dependsOn = {0};
                job.steps.push_back(step);
            }
            out.emplace_back(begin + Millis{static_cast<std::int64_t>(at)}, std::move(job));
        }
    }
    std::stable_sort(out.begin(), out.end(), [](const auto &a, const auto &b) { return a.first < b.first; });
    return out;
}

}

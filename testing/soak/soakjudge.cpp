#include "soak/soakjudge.h"

#include "soak/soakstarts.h"

#include <algorithm>

namespace Catkin::Soak
{

namespace
{

/// LOST of the platform: what stands for this long while it could run.
constexpr auto standLimit = std::chrono::milliseconds{3'000};
/// `contact_ms` of the platform: the first time without trouble that counts as calm.
constexpr auto calmAfter = std::chrono::milliseconds{4'000};
/// A task that lasts counts from this time after its last run.
constexpr auto lastingPause = std::chrono::milliseconds{6'000};
/// A leader has noticed by then that an executor does not answer: a poll that waits, its time for the answer, and a renewal.
constexpr auto noticeTime = std::chrono::milliseconds{3'500};
/// From a disturbance of the leader until the next one is in office and the earlier one certainly gives no orders any more.
constexpr auto takeoverTime = std::chrono::milliseconds{6'000};
constexpr auto leaseStretch = 1.03;
constexpr auto leaseSlack = std::chrono::milliseconds{500};
/// A call without an answer arrives within 1 s, and is carried out up to 12 s later; see lateCallLimit in policy/poolleases.cpp.
constexpr auto lateCallTime = std::chrono::milliseconds{13'000};
/// The leader's last call for an earlier lifetime is over by then after a restart: a poll that waits, and its time for the answer.
constexpr auto lastCallTime = std::chrono::milliseconds{3'000};
/// A gang whose members have not all begun after `bounds.gang_timeout_ms`, 3 s, is stopped: a planning pass, the order and the grace of 200 ms fit into the
/// rest.
constexpr auto aloneLimit = std::chrono::milliseconds{5'000};
/// From a disturbance of the leader until the next one, in office after 3 s, has stopped such a gang; it counts the time-out anew.
constexpr auto aloneTakeoverTime = std::chrono::milliseconds{8'000};
constexpr auto tasksPerWorker = std::size_t{8};
constexpr auto notFound = 410;

auto taskName(const SoakJob &job, std::size_t step, int index) -> std::string
{
    return job.id + ".0." + std::to_string(step) + "." + std::to_string(index);
}

auto describe(const Run &run) -> std::string
{
    return std::to_string(run.attempt) + " on " + run.worker + " (lifetime " + std::to_string(run.lifetime) + (run.isLate ? ", late order)" : ")");
}

auto isRunning(const Run &run) -> bool
{
    return !run.end;
}

auto isDone(const Run &run) -> bool
{
    return run.how == "done";
}

auto runsOf(const std::map<std::string, std::vector<Run>> &runs, const std::string &task) -> const std::vector<Run> &
{
    static const auto none = std::vector<Run>{};
    const auto it = runs.find(task);
    return it == runs.end() ? none : it->second;
}

/// @return the run in which a task of a step was done; null if there is none.
auto doneRun(const SoakJob &job, std::size_t step, int index, const std::map<std::string, std::vector<Run>> &runs) -> const Run *
{
    const auto &spec = job.steps[step];
    for (auto i = spec.isGang ? 0 : index; i < (spec.isGang ? spec.tasks : index + 1); ++i) {
        const auto &all = runsOf(runs, taskName(job, step, i));
        const auto it = std::find_if(all.begin(), all.end(), isDone);
        if (it != all.end()) {
            return &*it;
        }
    }
    return nullptr;
}

auto toMillis(std::chrono::steady_clock::duration span) -> long long
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

}

SoakJudge::SoakJudge(Millis lease)
    : m_lease(lease)
{
}

auto SoakJudge::report(const std::string &text) -> void
{
    m_violations.push_back(text);
}

auto SoakJudge::accepted(const SoakJob &job) -> void
{
    m_jobs[job.id] = {.job = job};
}

auto SoakJudge::leaderDisturbed(SteadyTime at) -> void
{
    m_disturbances.push_back(at);
}

auto SoakJudge::quietFrom(SteadyTime at) -> void
{
    m_quietFrom = at;
    std::sort(m_disturbances.begin(), m_disturbances.end());
}

auto SoakJudge::shown(const std::string &job, int status, const std::string &state, SteadyTime at) -> void
{
    auto &it = m_jobs.at(job);
    if (status == notFound && m_quietFrom && at >= *m_quietFrom + calmAfter) {
        report("LOST: job " + job + " is answered 410");
        it.isEnded = true;
    }
    if (state == "failed" || state == "cancelled") {
        const auto mayFail = it.job.spec.find("fail=") != std::string::npos && state == "failed";
        if (!mayFail) {
            report("LOST: job " + job + " is shown as " + state);
        }
        it.isEnded = true;
    }
    it.isEnded = it.isEnded || state == "completed";
}

/// @return when the turn of a step came; nothing if it has not.
auto SoakJudge::readyAt(SoakWorld &world, const SoakJob &job, std::size_t step, const Runs &runs) const -> std::optional<SteadyTime>
{
    const auto before = job.steps[step].dependsOn;
    if (before < 0) {
        return job.acceptedAt;
    }
    const auto &needed = job.steps[static_cast<std::size_t>(before)];
    auto at = job.acceptedAt;
    auto done = 0;
    for (auto i = 0; i < needed.tasks; ++i) {
        if (const auto *run = doneRun(job, static_cast<std::size_t>(before), i, runs)) {
            ++done;
            at = std::max(at, *run->end);
            if (!run->isNoted && world.goneAt(run->worker)) {
                at = std::max(at, waitsUntil(world, job, static_cast<std::size_t>(before), i, runs));
            }
        }
    }
    return done == needed.tasks ? std::optional{at} : std::nullopt;
}

/// @param lastGrant when the last lease may have been granted
/// @return when the leases of an executor that vanished have certainly ended, as far as a leader can know.
auto SoakJudge::leaseEnd(SteadyTime goneAt, SteadyTime lastGrant) const -> SteadyTime
{
    const auto longest = std::chrono::milliseconds{static_cast<std::int64_t>(static_cast<double>(m_lease.count()) * leaseStretch)} + leaseSlack;
    return lastCallEnd(goneAt, lastGrant, longest);
}

/// @param lastCall when the last call to an executor that vanished may have been sent, if the leader has noticed
/// @param effect for how long after it a call counts
/// @return when no call has an effect any more, as far as a leader can know.
auto SoakJudge::lastCallEnd(SteadyTime goneAt, SteadyTime lastCall, std::chrono::milliseconds effect) const -> SteadyTime
{
    // A leader that is disturbed before it has noticed leaves it to the next one, which may be disturbed as well.
    auto unnoticedUntil = goneAt + noticeTime;
    auto end = lastCall + effect;
    for (const auto it : m_disturbances) {
        if (it + noticeTime >= goneAt && it <= unnoticedUntil) {
            unnoticedUntil = it + takeoverTime;
            end = std::max(end, it + takeoverTime + effect);
        }
    }
    return end;
}

/// @return when a leader in office knows of an entry that was stored at @p shownAt.
auto SoakJudge::successionKnownAt(SteadyTime shownAt) const -> SteadyTime
{
    auto known = shownAt;
    for (const auto it : m_disturbances) {
        if (it + takeoverTime >= shownAt && it <= known) {
            known = std::max(known, it + takeoverTime);
        }
    }
    return known;
}

/// @param until end of the wait for an executor that vanished, as far as its leases and the calls to it tell
/// @return the same, or when another executor at its address is known, whichever is earlier.
auto SoakJudge::vanishedUntil(SoakWorld &world, const std::string &worker, SteadyTime until) const -> SteadyTime
{
    const auto shownAt = world.successorShownAt(worker);
    return shownAt ? std::min(until, successionKnownAt(*shownAt)) : until;
}

/// @return until when a task may wait because of the executors that it, or another member of its gang, ran on.
auto SoakJudge::waitsUntil(SoakWorld &world, const SoakJob &job, std::size_t step, int index, const Runs &runs) const -> SteadyTime
{
    auto until = waitsUntil(world, taskName(job, step, index), runs);
    for (auto i = 0; job.steps[step].isGang && i < job.steps[step].tasks; ++i) {
        until = std::max(until, waitsUntil(world, taskName(job, step, i), runs));
    }
    return until;
}

auto SoakJudge::waitsUntil(SoakWorld &world, const std::string &task, const Runs &runs) const -> SteadyTime
{
    const auto &all = runsOf(runs, task);
    auto until = all.empty() || !all.back().end ? SteadyTime{} : *all.back().end;
    for (const auto &it : all) {
        if (const auto goneAt = world.goneAt(it.worker)) {
            const auto restartedAt = world.restartedAt(it.worker);
            const auto lateCallsEnd = restartedAt ? std::min(*goneAt, *restartedAt + lastCallTime) + lateCallTime : *goneAt;
            until = std::max(until, vanishedUntil(world, it.worker, leaseEnd(*goneAt, std::max(*goneAt, lateCallsEnd))));
        }
    }
    for (const auto &it : world.vanishedWithUnanswered(task)) {
        const auto goneAt = *world.goneAt(it);
        until = std::max(until, vanishedUntil(world, it, std::max(leaseEnd(goneAt, goneAt), lastCallEnd(goneAt, goneAt, lateCallTime))));
    }
    return until;
}

auto SoakJudge::stood(JobState &state, const std::string &what, SteadyTime since, SteadyTime now) -> void
{
    m_longestStand = std::max(m_longestStand, now - since);
    if (now - since >= standLimit && !state.isReported) {
        state.isReported = true;
        report("LOST: job " + state.job.id + ": " + what + " stands since " + std::to_string(toMillis(since - *m_quietFrom)) + " ms after the last trouble");
    }
}

auto SoakJudge::lookAt(SoakWorld &world, JobState &state, const Runs &runs, SteadyTime now) -> void
{
    const auto &job = state.job;
    auto anyRuns = false;
    auto firstCould = std::optional<SteadyTime>{};
    auto which = std::string{};
    for (auto s = std::size_t{0}; s < job.steps.size(); ++s) {
        const auto ready = readyAt(world, job, s, runs);
        for (auto i = 0; ready && i < job.steps[s].tasks; ++i) {
            const auto task = taskName(job, s, i);
            const auto &all = runsOf(runs, task);
            if (std::any_of(all.begin(), all.end(), isRunning)) {
                anyRuns = true;
                continue;
            }
            if (doneRun(job, s, i, runs) != nullptr) {
                continue;
            }
            auto could = std::max({*ready, waitsUntil(world, job, s, i, runs), *m_quietFrom + calmAfter});
            if (job.steps[s].isLasting) {
                m_lastingRun = false;
                could = std::max(could, all.empty() ? could : *all.back().end + lastingPause);
                if (could < now) {
                    stood(state, "task " + task + " that lasts", could, now);
                }
                continue;
            }
            if (!firstCould || could < *firstCould) {
                firstCould = could;
                which = task;
            }
        }
    }
    if (anyRuns || !firstCould) {
        state.standsSince.reset();
        return;
    }
    // The end of the last run of any task is the begin of the time in which nothing runs.
    state.standsSince = std::max(state.standsSince.value_or(now), *firstCould);
    if (*state.standsSince < now) {
        stood(state, "task " + which, *state.standsSince, now);
    }
}

auto SoakJudge::look(SoakWorld &world, SteadyTime now) -> void
{
    if (!m_quietFrom) {
        return;
    }
    auto runs = Runs{};
    auto running = std::size_t{0};
    for (auto &it : world.history()) {
        running += isRunning(it) ? 1 : 0;
        runs[it.task].push_back(std::move(it));
    }
    for (auto &[task, all] : runs) {
        std::sort(all.begin(), all.end(), [](const Run &a, const Run &b) { return a.begin < b.begin; });
    }
    m_lastingRun = true;
    const auto isBusy = running * 2 >= world.liveWorkers() * tasksPerWorker;
    for (auto &[id, state] : m_jobs) {
        if (!state.isEnded && !isBusy) {
            lookAt(world, state, runs, now);
        } else {
            state.standsSince.reset();
            m_lastingRun = m_lastingRun && state.isEnded;
        }
    }
}

/// Two attempts overlap, or one begins after a planner has noted that another was done.
auto SoakJudge::checkRuns(const Runs &runs) -> void
{
    for (const auto &[task, all] : runs) {
        for (auto i = std::size_t{0}; i + 1 < all.size(); ++i) {
            for (auto k = i + 1; k < all.size(); ++k) {
                const auto names = task + " attempts " + describe(all[i]) + " and " + describe(all[k]);
                if (!all[i].end || *all[i].end > all[k].begin) {
                    report("TWICE: " + names + " run at the same time");
                } else if (isDone(all[i]) && all[i].isNoted) {
                    report("TWICE: " + names + ": the first was done and noted");
                }
            }
        }
    }
}

/// @return when the leader can know that an attempt was lost with its executor; when it ended if the executor is there.
auto SoakJudge::lossKnownAt(SoakWorld &world, const Run &run, const std::map<std::string, SteadyTime> &departures) const -> SteadyTime
{
    const auto goneAt = run.how == "gone" ? world.goneAt(run.worker) : std::nullopt;
    if (!goneAt || departures.contains(run.worker)) {
        return *run.end;
    }
    return std::max(*run.end, leaseEnd(*goneAt, *goneAt));
}

/// @return until when a member of a gang may run on that is alone from the given time on.
auto SoakJudge::aloneUntil(SteadyTime since) const -> SteadyTime
{
    auto until = since + aloneLimit;
    for (const auto it : m_disturbances) {
        if (it + aloneTakeoverTime >= since && it <= until) {
            until = std::max(until, it + aloneTakeoverTime);
        }
    }
    return until;
}

auto SoakJudge::checkGangs(SoakWorld &world, const Runs &runs) -> void
{
    const auto departures = world.departures();
    for (const auto &[id, state] : m_jobs) {
        for (auto s = std::size_t{0}; s < state.job.steps.size(); ++s) {
            const auto &step = state.job.steps[s];
            for (auto i = 0; step.isGang && i < step.tasks * step.tasks; ++i) {
                const auto member = taskName(state.job, s, i / step.tasks);
                const auto &others = runsOf(runs, taskName(state.job, s, i % step.tasks));
                auto seen = others;
                for (auto &it : seen) {
                    it.end = it.end ? std::optional{lossKnownAt(world, it, departures)} : std::nullopt;
                }
                for (const auto &it : runsOf(runs, member)) {
                    if (const auto since = aloneSince(it, seen, [this](SteadyTime at) { return aloneUntil(at); })) {
                        report("GANG: " + member + " attempt " + describe(it) + " ran without member " + std::to_string(i % step.tasks) + " from "
                               + std::to_string(toMillis(*since - it.begin)) + " ms after its start to its end after "
                               + std::to_string(toMillis(it.end.value_or(std::chrono::steady_clock::now()) - it.begin)) + " ms");
                    }
                }
            }
        }
    }
}

auto SoakJudge::finish(SoakWorld &world) -> void
{
    auto runs = Runs{};
    for (auto &it : world.history()) {
        runs[it.task].push_back(std::move(it));
    }
    for (auto &[task, all] : runs) {
        std::sort(all.begin(), all.end(), [](const Run &a, const Run &b) { return a.begin < b.begin; });
    }
    checkRuns(runs);
    checkGangs(world, runs);
    const auto orders = world.startOrders();
    const auto frozen = world.frozenSpans();
    for (const auto &it : evacuationViolations(orders, world.evacuations(), frozen)) {
        report(it);
    }
    for (const auto &it : departureViolations(orders, world.departures(), frozen)) {
        report(it);
    }
    for (const auto &[id, state] : m_jobs) {
        if (!state.isEnded && !state.job.steps.front().isLasting) {
            report("LOST: job " + id + " has not ended");
        }
    }
}

auto SoakJudge::open() const -> std::vector<SoakJob>
{
    auto out = std::vector<SoakJob>{};
    for (const auto &[id, it] : m_jobs) {
        if (!it.isEnded) {
            out.push_back(it.job);
        }
    }
    return out;
}

auto SoakJudge::allEnded() const -> bool
{
    const auto jobs = open();
    return m_lastingRun && std::all_of(jobs.begin(), jobs.end(), [](const SoakJob &it) { return it.steps.front().isLasting; });
}

auto SoakJudge::acceptedJobs() const -> std::size_t
{
    return m_jobs.size();
}

auto SoakJudge::longestStand() const -> Millis
{
    return std::chrono::duration_cast<Millis>(m_longestStand);
}

auto SoakJudge::violations() const -> const std::vector<std::string> &
{
    return m_violations;
}

}

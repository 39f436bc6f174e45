#include "policy/overloadorder.h"

#include <algorithm>
#include <numeric>
#include <string>
#include <tuple>
#include <utility>

namespace Catkin
{

namespace
{

/// After this multiple of its objective, the result of a job has no value.
constexpr auto valueEnds = 3;
/// Most records of started work; those of the least work are dropped. A configuration has tens of workspaces and three priorities.
constexpr auto maxRecords = std::size_t{1'024};
/// A group whose reservation is interrupted, for example by a worker that does not answer one poll, keeps its position for this long.
constexpr auto fillingGrace = Millis{1'000};
/// A late or worthless group that has waited for this long gets a turn at the head of its class. It equals the wait after which a gang
/// reserves for longer, so that bursts of a few seconds give no turns.
constexpr auto longWait = Millis{60'000};
/// Time between two such turns in a class. Shorter turns would serve the oldest work first again.
constexpr auto turnSpan = Millis{5'000};

auto secondOf(MonoTime now) -> std::int64_t
{
    return std::chrono::duration_cast<Seconds>(now.time_since_epoch()).count();
}

}

auto waitUrgencyName(WaitUrgency urgency) -> const char *
{
    switch (urgency) {
    case WaitUrgency::InTime:
        return "in_time";
    case WaitUrgency::Late:
        return "late";
    case WaitUrgency::Worthless:
        break;
    }
    return "worthless";
}

auto urgencyOf(const WaitingWork &work, MonoTime now) -> WaitUrgency
{
    const auto end = now - work.since + work.remaining;
    if (work.lasting || end <= work.objective) {
        return WaitUrgency::InTime;
    }
    return end <= work.objective * valueEnds ? WaitUrgency::Late : WaitUrgency::Worthless;
}

auto remainingChain(const PoolJob &job, int step) -> Millis
{
    auto chains = std::vector<Millis>(job.steps.size());
    for (auto i = job.steps.size(); i-- > static_cast<std::size_t>(step);) {
        chains[i] += job.steps[i].estimate;
        for (const auto it : job.steps[i].dependsOn) {
            auto &chain = chains[static_cast<std::size_t>(it)];
            chain = std::max(chain, chains[i]);
        }
    }
    return chains[static_cast<std::size_t>(step)];
}

auto OverloadOrder::sumOf(const StartedWork &work, MonoTime now) -> double
{
    const auto span = static_cast<std::int64_t>(work.seconds.size());
    auto sum = 0.0;
    for (auto second = std::max(work.newest, secondOf(now)) - span + 1; second <= work.newest; ++second) {
        sum += work.seconds.at(static_cast<std::size_t>(second % span));
    }
    return sum;
}

auto OverloadOrder::noteStarted(const WorkspaceId &workspace, int priority, double coreSeconds, MonoTime now) -> void
{
    const auto key = std::pair{priority, workspace};
    if (m_started.size() >= maxRecords && !m_started.contains(key)) {
        m_started.erase(
            std::min_element(m_started.begin(), m_started.end(), [&](const auto &a, const auto &b) { return sumOf(a.second, now) < sumOf(b.second, now); }));
    }
    auto &work = m_started[key];
    const auto span = static_cast<std::int64_t>(work.seconds.size());
    const auto second = secondOf(now);
    for (auto it = std::max(work.newest, second - span) + 1; it <= second; ++it) {
        work.seconds.at(static_cast<std::size_t>(it % span)) = 0.0;
    }
    work.newest = second;
    work.seconds.at(static_cast<std::size_t>(second % span)) += coreSeconds;
}

auto OverloadOrder::forgetOld(MonoTime now) -> void
{
    std::erase_if(m_started, [&](const auto &it) { return sumOf(it.second, now) <= 0.0; });
    std::erase_if(m_filling, [&](const auto &it) { return now - it.second.lastSeen > fillingGrace; });
}

/// Compares, in each overloaded priority, the started work of those workspaces that wait now.
auto OverloadOrder::measureShares(const std::vector<OrderedGroup> &groups, const std::set<int> &overloaded, const std::set<int> &heldPriorities, MonoTime now)
    -> void
{
    std::erase_if(m_overShare, [&](const auto &it) { return !heldPriorities.contains(it.first); });
    auto started = std::map<int, std::map<WorkspaceId, double>>{};
    for (const auto &it : groups) {
        if (it.guaranteed || !overloaded.contains(it.priority) || heldPriorities.contains(it.priority)) {
            continue;
        }
        const auto [sum, isNew] = started[it.priority].try_emplace(it.workspace, 0.0);
        if (const auto found = m_started.find({it.priority, it.workspace}); isNew && found != m_started.end()) {
            sum->second = sumOf(found->second, now);
        }
    }
    for (const auto &[priority, workspaces] : started) {
        const auto total = std::accumulate(workspaces.begin(), workspaces.end(), 0.0, [](double sum, const auto &it) { return sum + it.second; });
        for (const auto &[workspace, work] : workspaces) {
            if (work * static_cast<double>(workspaces.size()) > total) {
                m_overShare.emplace(priority, workspace);
            }
        }
    }
}

auto OverloadOrder::logTurn(const OrderedGroup &group, std::size_t waiting, MonoTime now) -> void
{
    m_log.push_back({.decision = "long_wait_turn",
                     .text = "job=" + group.id.job.str() + " occurrence=" + std::to_string(group.id.occurrence) + " step=" + std::to_string(group.id.step)
                             + " priority=" + std::to_string(group.priority) + " urgency=" + waitUrgencyName(urgencyOf(group.work, now)) + " waited_ms="
                             + std::to_string(std::chrono::duration_cast<Millis>(now - group.work.since).count()) + " waiting=" + std::to_string(waiting)});
}

/// Chooses, in each class, one of the groups that have waited for long: the oldest, then the next one, and so on. A turn goes on while another
/// group of the class is being served, because only one at a time has a reservation.
auto OverloadOrder::giveTurns(const std::vector<OrderedGroup> &groups, const std::vector<GroupPosition> &positions, MonoTime now) -> void
{
    auto waiting = std::map<PriorityClass, std::map<std::pair<MonoTime, TaskKey>, const OrderedGroup *>>{};
    auto filling = std::set<PriorityClass>{};
    for (auto i = std::size_t{0}; i < groups.size(); ++i) {
        const auto &it = groups[i];
        const auto priorityClass = PriorityClass{it.priority, it.guaranteed};
        const auto turn = m_turns.find(priorityClass);
        if (m_filling.contains(it.id) && (turn == m_turns.end() || turn->second.group != it.id)) {
            filling.insert(priorityClass);
        }
        if (positions[i].urgency != WaitUrgency::InTime && now - it.work.since >= longWait) {
            waiting[priorityClass].emplace(std::pair{it.work.since, it.id}, &it);
        }
    }
    std::erase_if(m_turns, [&](const auto &it) { return !waiting.contains(it.first) && now - it.second.began >= turnSpan; });
    for (const auto &[priorityClass, ids] : waiting) {
        const auto [found, isFirst] = m_turns.try_emplace(priorityClass);
        auto &turn = found->second;
        const auto last = std::pair{turn.since, turn.group};
        if (!isFirst && (now - turn.began < turnSpan || (ids.contains(last) && filling.contains(priorityClass)))) {
            continue;
        }
        auto next = isFirst ? ids.begin() : ids.upper_bound(last);
        next = next == ids.end() ? ids.begin() : next;
        const auto isAnother = isFirst || next->first != last;
        turn = {.since = next->first.first, .group = next->first.second, .began = now};
        if (isAnother) {
            logTurn(*next->second, ids.size(), now);
        }
    }
}

auto OverloadOrder::rank(const std::vector<OrderedGroup> &groups, const std::set<int> &heldPriorities, MonoTime now) -> std::vector<GroupPosition>
{
    forgetOld(now);
    m_waiting = {};
    auto overloaded = std::set<int>{};
    auto out = std::vector<GroupPosition>{};
    out.reserve(groups.size());
    for (const auto &it : groups) {
        const auto urgency = urgencyOf(it.work, now);
        ++m_waiting.at(static_cast<std::size_t>(urgency));
        if (urgency != WaitUrgency::InTime) {
            overloaded.insert(it.priority);
        }
        out.push_back({.urgency = urgency, .time = urgency == WaitUrgency::Worthless ? it.work.since : it.latestStart});
    }
    measureShares(groups, overloaded, heldPriorities, now);
    giveTurns(groups, out, now);
    for (auto i = std::size_t{0}; i < groups.size(); ++i) {
        const auto &it = groups[i];
        auto &position = out[i];
        const auto filling = m_filling.find(it.id);
        const auto turn = m_turns.find({it.priority, it.guaranteed});
        const auto hasTurn = turn != m_turns.end() && turn->second.group == it.id;
        if (filling != m_filling.end() || hasTurn) {
            position.urgency = hasTurn ? WaitUrgency::InTime : std::min(position.urgency, filling->second.urgency);
            position.time = position.urgency == WaitUrgency::Worthless ? it.work.since : it.latestStart;
            position.time = filling != m_filling.end() && filling->second.goesFirst ? MonoTime::min() : position.time;
            continue;
        }
        // Worthless work runs in the order of its wait, and a guarantee knows no shares.
        position.overShare = position.urgency != WaitUrgency::Worthless && !it.guaranteed && m_overShare.contains({it.priority, it.workspace});
    }
    return out;
}

auto OverloadOrder::noteFilling(const TaskKey &group, const GroupPosition &position, MonoTime now) -> void
{
    const auto goesFirst = position.time == MonoTime::min();
    m_filling[group] = {.urgency = position.urgency, .goesFirst = goesFirst, .lastSeen = now};
}

auto OverloadOrder::noteFirst(const TaskKey &group, MonoTime now) -> void
{
    m_filling[group] = {.goesFirst = true, .lastSeen = now};
}

auto OverloadOrder::waiting() const -> const UrgencyCounts &
{
    return m_waiting;
}

auto OverloadOrder::takeLog() -> std::vector<PoolLogEntry>
{
    return std::exchange(m_log, {});
}

auto OverloadOrder::records() const -> std::size_t
{
    return m_started.size() + m_overShare.size() + m_filling.size() + m_turns.size();
}

}

#include "history/checker.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace Catkin
{

namespace
{

auto isOnceOnly(const History &history, const std::string &key) -> bool
{
    return std::any_of(history.calls.begin(), history.calls.end(), [&](const Call &it) { return it.key == key && !it.idempotent; });
}

auto mayRunAt(const History &history, const std::string &key, std::int64_t timeMs) -> bool
{
    return std::any_of(
        history.calls.begin(), history.calls.end(), [&](const Call &it) { return it.key == key && it.result != CallResult::NotRun && it.sentMs <= timeMs; });
}

/// What one member of a gang does at a moment.
enum class MemberState { Absent, Running, Finished };

auto stateOf(const std::vector<TaskRun> &runs, std::int64_t member, std::int64_t atMs) -> MemberState
{
    for (const auto &it : runs) {
        if (it.member != member) {
            continue;
        }
        if (it.startMs <= atMs && atMs < it.endMs) {
            return MemberState::Running;
        }
        if (it.finished && it.endMs <= atMs) {
            return MemberState::Finished;
        }
    }
    return MemberState::Absent;
}

/// Checks one attempt of one job: looks at every moment at which a member starts or ends.
auto checkGang(const std::string &job, const std::vector<TaskRun> &runs, std::int64_t size, const HistoryBounds &bounds) -> Violations
{
    auto moments = std::set<std::int64_t>{};
    for (const auto &it : runs) {
        moments.insert(it.startMs);
        moments.insert(it.endMs);
    }
    auto violations = Violations{};
    auto wasWhole = false;
    auto partialSince = std::int64_t{-1};
    for (const auto now : moments) {
        auto running = std::int64_t{0};
        auto absent = std::int64_t{0};
        for (auto member = std::int64_t{0}; member < size; ++member) {
            const auto state = stateOf(runs, member, now);
            running += state == MemberState::Running ? 1 : 0;
            absent += state == MemberState::Absent ? 1 : 0;
        }
        const auto partial = running > 0 && absent > 0;
        const auto bound = wasWhole ? bounds.partialLossMs : bounds.partialStartMs;
        if (!partial && partialSince >= 0 && now - partialSince > bound) {
            violations.push_back("job " + job + ": a part of the gang ran for " + std::to_string(now - partialSince) + " ms, " + std::to_string(bound)
                                 + " are allowed");
        }
        if (!partial) {
            partialSince = -1;
        } else if (partialSince < 0) {
            partialSince = now;
        }
        wasWhole = wasWhole || absent == 0;
    }
    return violations;
}

auto overlap(const LeaseSpan &a, const LeaseSpan &b) -> bool
{
    return a.worker == b.worker && a.fromMs < b.toMs && b.fromMs < a.toMs
           && std::any_of(a.slots.begin(), a.slots.end(), [&](int slot) { return std::find(b.slots.begin(), b.slots.end(), slot) != b.slots.end(); });
}

auto append(Violations &all, const Violations &more) -> void
{
    all.insert(all.end(), more.begin(), more.end());
}

}

auto checkAtMostOnce(const History &history) -> Violations
{
    auto counts = std::map<std::string, int>{};
    for (const auto &it : history.executions) {
        if (isOnceOnly(history, it.key)) {
            ++counts["key " + it.key];
        }
    }
    for (const auto &it : history.runs) {
        if (isOnceOnly(history, it.key)) {
            ++counts["key " + it.key + " member " + std::to_string(it.member)];
        }
    }
    auto violations = Violations{};
    for (const auto &[name, count] : counts) {
        if (count > 1) {
            violations.push_back(name + " ran " + std::to_string(count) + " times");
        }
    }
    return violations;
}

auto checkNotRun(const History &history) -> Violations
{
    auto violations = Violations{};
    const auto check = [&](const std::string &key, const std::string &server, std::int64_t startMs) {
        if (!key.empty() && !mayRunAt(history, key, startMs)) {
            violations.push_back("key " + key + " ran on " + server + " although every call of it before was answered \"not run\"");
        }
    };
    for (const auto &it : history.executions) {
        check(it.key, it.server, it.startMs);
    }
    for (const auto &it : history.runs) {
        check(it.key, it.server, it.startMs);
    }
    return violations;
}

auto checkAnswers(const History &history, const AnswerMatch &matches) -> Violations
{
    auto violations = Violations{};
    for (const auto &it : history.calls) {
        if (it.result == CallResult::Answer && !it.answer.empty() && !matches(it.payload, it.answer)) {
            violations.push_back("key " + it.key + " got an answer that is not its own: " + it.answer);
        }
    }
    return violations;
}

auto checkGangs(const History &history, const HistoryBounds &bounds) -> Violations
{
    auto gangs = std::map<std::pair<std::string, std::int64_t>, std::vector<TaskRun>>{};
    for (const auto &it : history.runs) {
        gangs[{it.job, it.attempt}].push_back(it);
    }
    auto violations = Violations{};
    for (const auto &[name, runs] : gangs) {
        const auto size = history.gangSizes.find(name.first);
        if (size == history.gangSizes.end()) {
            violations.push_back("job " + name.first + " ran, but its size is not recorded");
        } else {
            append(violations, checkGang(name.first + " attempt " + std::to_string(name.second), runs, size->second, bounds));
        }
    }
    return violations;
}

auto checkSlots(const History &history) -> Violations
{
    auto violations = Violations{};
    for (auto a = std::size_t{0}; a < history.leases.size(); ++a) {
        for (auto b = a + 1; b < history.leases.size(); ++b) {
            if (overlap(history.leases[a], history.leases[b])) {
                violations.push_back("worker " + history.leases[a].worker + ": leases " + history.leases[a].lease + " and " + history.leases[b].lease
                                     + " held a slot at the same time");
            }
        }
    }
    return violations;
}

auto checkVersions(const History &history) -> Violations
{
    auto latest = std::map<std::string, std::int64_t>{};
    auto violations = Violations{};
    for (const auto &it : history.versions) {
        auto &known = latest[it.observer];
        if (it.version < known) {
            violations.push_back(it.observer + " saw version " + std::to_string(it.version) + " after " + std::to_string(known));
        }
        known = std::max(known, it.version);
    }
    return violations;
}

auto checkLeaving(const History &history, const HistoryBounds &bounds) -> Violations
{
    auto violations = Violations{};
    const auto check = [&](const std::string &server, std::int64_t startMs) {
        for (const auto &it : history.leaving) {
            if (it.server == server && startMs > it.fromMs + bounds.leavingGraceMs && startMs < it.toMs) {
                violations.push_back(server + " got new work " + std::to_string(startMs - it.fromMs) + " ms after it began to leave");
            }
        }
    };
    for (const auto &it : history.executions) {
        check(it.server, it.startMs);
    }
    for (const auto &it : history.runs) {
        check(it.server, it.startMs);
    }
    return violations;
}

auto checkAttempts(const History &history) -> Violations
{
    auto violations = Violations{};
    for (const auto &later : history.runs) {
        for (const auto &earlier : history.runs) {
            if (earlier.job == later.job && earlier.attempt < later.attempt && later.startMs < earlier.endMs) {
                violations.push_back("job " + later.job + ": attempt " + std::to_string(later.attempt) + " started on " + later.server + " "
                                     + std::to_string(earlier.endMs - later.startMs) + " ms before attempt " + std::to_string(earlier.attempt) + " ended on "
                                     + earlier.server);
            }
        }
    }
    return violations;
}

auto checkAll(const History &history, const HistoryBounds &bounds, const AnswerMatch &matches) -> Violations
{
    auto violations = checkAtMostOnce(history);
    append(violations, checkNotRun(history));
    append(violations, checkAnswers(history, matches));
    append(violations, checkGangs(history, bounds));
    append(violations, checkSlots(history));
    append(violations, checkVersions(history));
    append(violations, checkLeaving(history, bounds));
    append(violations, checkAttempts(history));
    return violations;
}

}

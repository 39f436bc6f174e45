#include "policy/endreport.h"

#include <algorithm>
#include <utility>

namespace Catkin
{

namespace
{

/// Items in one line; a line stays readable and below the length at which log collectors cut.
constexpr auto maxItems = std::size_t{16};

auto useName(EndUse use) -> const char *
{
    switch (use) {
    case EndUse::Applied:
        return "applied";
    case EndUse::TaskDone:
        return "task_done";
    case EndUse::Superseded:
        return "superseded";
    case EndUse::JobFinal:
        return "job_final";
    case EndUse::Unknown:
        return "unknown";
    }
    return "unknown";
}

/// @return for example "57:4f0c.0.1.17#2=done/applied".
auto describe(const ListedEnd &end) -> std::string
{
    const auto &[number, task, attempt, kind, checkpoint] = end.completion;
    return std::to_string(number) + ":" + attemptName(task, attempt) + "=" + completionName(kind) + "/" + useName(end.use);
}

auto addLines(std::vector<PoolLogEntry> &out, const char *decision, const std::string &fields, const std::vector<std::string> &items) -> void
{
    for (auto i = std::size_t{0}; i < items.size(); i += maxItems) {
        auto text = fields;
        for (auto j = i; j < std::min(i + maxItems, items.size()); ++j) {
            text += (j == i ? "" : ",") + items[j];
        }
        out.push_back({.decision = decision, .text = std::move(text)});
    }
}

}

auto completionName(CompletionKind kind) -> const char *
{
    switch (kind) {
    case CompletionKind::Done:
        return "done";
    case CompletionKind::Failed:
        return "failed";
    case CompletionKind::Stopped:
        return "stopped";
    case CompletionKind::LeaseExpired:
        return "lease_expired";
    case CompletionKind::GangMemberEnded:
        return "gang_member_ended";
    case CompletionKind::GangIncomplete:
        return "gang_incomplete";
    }
    return "unknown";
}

auto describeLifetime(const WorkerLifetime &lifetime) -> std::string
{
    return lifetime.worker.str() + "/" + std::to_string(lifetime.born.value);
}

auto noteEnd(EndReport &report, const WorkerLifetime &lifetime, ListedEnd end) -> void
{
    report.listed[lifetime].push_back(std::move(end));
}

auto noteAcknowledgement(EndReport &report, const WorkerLifetime &lifetime, std::int64_t upTo) -> void
{
    auto &known = report.acknowledged[lifetime];
    known = std::max(known, upTo);
}

auto takeEndEntries(EndReport &report) -> std::vector<PoolLogEntry>
{
    auto out = std::vector<PoolLogEntry>{};
    for (const auto &[lifetime, ends] : std::exchange(report.listed, {})) {
        auto items = std::vector<std::string>{};
        std::transform(ends.begin(), ends.end(), std::back_inserter(items), describe);
        addLines(out, "ends_listed", "worker=" + describeLifetime(lifetime) + " ends=", items);
    }
    auto items = std::vector<std::string>{};
    for (const auto &[lifetime, upTo] : std::exchange(report.acknowledged, {})) {
        items.push_back(describeLifetime(lifetime) + ":" + std::to_string(upTo));
    }
    addLines(out, "ends_acknowledged", "upto=", items);
    return out;
}

}

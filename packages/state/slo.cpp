#include "state/slo.h"

#include <algorithm>

namespace Catkin
{

namespace
{

constexpr auto hundredPercent = 100'000; ///< in thousandths of a percent

auto minuteOf(MonoTime now) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::minutes>(now.time_since_epoch()).count();
}

}

SloTracker::SloTracker(int targetMillipercent, SloOptions options)
    : m_options(options)
    , m_allowedBadShare(static_cast<double>(hundredPercent - targetMillipercent) / hundredPercent)
    , m_buckets(static_cast<std::size_t>(
          std::max({options.page.longWindow.count(), options.page.shortWindow.count(), options.ticket.longWindow.count(), options.ticket.shortWindow.count()})))
{
}

auto SloTracker::record(bool good, MonoTime now) -> void
{
    const auto minute = minuteOf(now);
    auto &bucket = m_buckets[static_cast<std::size_t>(minute) % m_buckets.size()];
    if (bucket.minute != minute) {
        bucket = {.minute = minute, .good = 0, .bad = 0};
    }
    ++(good ? bucket.good : bucket.bad);
}

auto SloTracker::counts(std::chrono::minutes window, MonoTime now) const -> SloCounts
{
    const auto last = minuteOf(now);
    const auto first = last - window.count() + 1;
    auto sum = SloCounts{};
    for (const auto &it : m_buckets) {
        if (it.minute >= first && it.minute <= last && it.minute >= 0) {
            sum.good += it.good;
            sum.bad += it.bad;
        }
    }
    return sum;
}

auto SloTracker::burnRate(std::chrono::minutes window, MonoTime now) const -> double
{
    const auto sum = counts(window, now);
    const auto total = sum.good + sum.bad;
    return total == 0 ? 0 : static_cast<double>(sum.bad) / static_cast<double>(total) / m_allowedBadShare;
}

auto SloTracker::budgetLeft(MonoTime now) const -> double
{
    return 1 - burnRate(longestWindow(), now);
}

auto SloTracker::alert(MonoTime now) const -> SloAlert
{
    if (exceeds(m_options.page, now)) {
        return SloAlert::Page;
    }
    return exceeds(m_options.ticket, now) ? SloAlert::Ticket : SloAlert::None;
}

auto SloTracker::longestWindow() const -> std::chrono::minutes
{
    return std::chrono::minutes{static_cast<std::int64_t>(m_buckets.size())};
}

auto SloTracker::exceeds(const BurnRule &rule, MonoTime now) const -> bool
{
    const auto sum = counts(rule.longWindow, now);
    // With a low target, the burn rate of a total failure is below the rule's. A total failure must raise the alert nevertheless.
    const auto limit = std::min(rule.burnRate, 1 / m_allowedBadShare);
    return sum.good + sum.bad >= m_options.minimumEvents && burnRate(rule.longWindow, now) >= limit && burnRate(rule.shortWindow, now) >= limit;
}

SloTable::SloTable(SloOptions options)
    : m_options(options)
{
}

auto SloTable::configure(const std::vector<ObjectiveConfig> &objectives) -> void
{
    auto entries = decltype(m_entries){};
    for (const auto &it : objectives) {
        const auto key = std::pair{it.workspace, it.kind};
        const auto known = m_entries.find(key);
        if (known != m_entries.end() && known->second.objective == it) {
            entries.insert(m_entries.extract(known));
        } else {
            entries.emplace(key, Entry{it, SloTracker{it.targetMillipercent, m_options}});
        }
    }
    m_entries = std::move(entries);
}

auto SloTable::observe(const WorkspaceId &workspace, const KindId &kind, Millis elapsed, bool answered, MonoTime now) -> void
{
    const auto it = m_entries.find({workspace, kind});
    if (it != m_entries.end()) {
        it->second.tracker.record(answered && elapsed <= it->second.objective.latency, now);
    }
}

auto SloTable::report(MonoTime now) const -> std::vector<SloStatus>
{
    auto all = std::vector<SloStatus>{};
    for (const auto &[key, entry] : m_entries) {
        all.push_back({
            .objective = entry.objective,
            .counts = entry.tracker.counts(entry.tracker.longestWindow(), now),
            .burnShort = entry.tracker.burnRate(m_options.page.shortWindow, now),
            .burnLong = entry.tracker.burnRate(m_options.page.longWindow, now),
            .budgetLeft = entry.tracker.budgetLeft(now),
            .alert = entry.tracker.alert(now),
            .windows = {},
        });
        for (const auto window : {m_options.page.shortWindow, m_options.ticket.shortWindow, m_options.page.longWindow, m_options.ticket.longWindow}) {
            all.back().windows.push_back({.length = window, .counts = entry.tracker.counts(window, now)});
        }
    }
    return all;
}

auto alertName(SloAlert alert) -> const char *
{
    switch (alert) {
    case SloAlert::None:
        return "none";
    case SloAlert::Ticket:
        return "ticket";
    case SloAlert::Page:
        return "page";
    }
    return "none";
}

}

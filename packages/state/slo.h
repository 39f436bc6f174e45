#pragma once

/// Counts good and bad events per service level objective, and computes error budgets, burn rates and alerts.
///
/// @code
///   auto table = Catkin::SloTable{};
///   table.configure(document.objectives);
///   table.observe(workspace, kind, elapsed, answered, clock.mono());
///   for (const auto &it : table.report(clock.mono())) { ... }
/// @endcode
///
/// The burn rate is the share of bad events divided by the share that the objective allows. At a burn rate of 1, the error budget
/// lasts exactly for its window.
///
/// An alert needs a high burn rate over a long and over a short window. The long window keeps a short disturbance from raising the
/// alert; the short window ends the alert soon after its cause has ended.

#include "state/document.h"
#include "util/units.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace Catkin
{

enum class SloAlert { None, Ticket, Page };

/// Raises an alert when the burn rate over both windows is at least burnRate.
struct BurnRule
{
    std::chrono::minutes longWindow;
    std::chrono::minutes shortWindow;
    double burnRate;
};

/// With the defaults, an alert is a page when 2% of a 30-day error budget is used up within 1 hour, and a ticket when 5% is used up
/// within 6 hours.
struct SloOptions
{
    BurnRule page{std::chrono::minutes{60}, std::chrono::minutes{5}, 14.4};
    BurnRule ticket{std::chrono::minutes{360}, std::chrono::minutes{30}, 6};
    std::uint64_t minimumEvents = 20; ///< fewer events in the long window raise no alert, because single bad events would be a high share
};

struct SloCounts
{
    std::uint64_t good = 0;
    std::uint64_t bad = 0;

    auto operator==(const SloCounts &) const -> bool = default;
};

/// Counts the events of one objective in buckets of one minute.
class SloTracker
{
public:
    /// @param targetMillipercent share of good events, in thousandths of a percent
    explicit SloTracker(int targetMillipercent, SloOptions options = {});

    auto record(bool good, MonoTime now) -> void;

    /// @return the events of the last @p window, which includes the current, incomplete minute.
    [[nodiscard]] auto counts(std::chrono::minutes window, MonoTime now) const -> SloCounts;

    /// @return the burn rate over @p window; 0 without events.
    [[nodiscard]] auto burnRate(std::chrono::minutes window, MonoTime now) const -> double;

    /// @return the unused share of the error budget over the longest window: 1 without bad events, negative when more than the budget
    /// is used up.
    [[nodiscard]] auto budgetLeft(MonoTime now) const -> double;

    [[nodiscard]] auto alert(MonoTime now) const -> SloAlert;

    /// @return the longest window of the rules; older events are not kept.
    [[nodiscard]] auto longestWindow() const -> std::chrono::minutes;

private:
    struct Bucket
    {
        std::int64_t minute = -1;
        std::uint32_t good = 0;
        std::uint32_t bad = 0;
    };

    [[nodiscard]] auto exceeds(const BurnRule &rule, MonoTime now) const -> bool;

    SloOptions m_options;
    double m_allowedBadShare;
    std::vector<Bucket> m_buckets; ///< ring, indexed by minute modulo size
};

struct SloWindow
{
    std::chrono::minutes length;
    SloCounts counts;
};

/// State of one objective.
struct SloStatus
{
    ObjectiveConfig objective;
    SloCounts counts; ///< over the longest window
    double burnShort = 0; ///< over the short window of the page rule
    double burnLong = 0; ///< over the long window of the page rule
    double budgetLeft = 1;
    SloAlert alert = SloAlert::None;
    std::vector<SloWindow> windows; ///< windows of both rules, shortest first; a caller may add up the counts of several instances
};

class SloTable
{
public:
    explicit SloTable(SloOptions options = {});

    /// Replaces the objectives; an unchanged objective keeps its counts.
    auto configure(const std::vector<ObjectiveConfig> &objectives) -> void;

    /// Counts one request or job start: good if it was answered or started within the objective's latency. Without an objective for
    /// @p workspace and @p kind it is not counted.
    /// @param elapsed time from acceptance to the answer or start
    /// @param answered whether there was an answer or start at all
    auto observe(const WorkspaceId &workspace, const KindId &kind, Millis elapsed, bool answered, MonoTime now) -> void;

    /// @return the state of every objective, ordered by workspace and kind.
    [[nodiscard]] auto report(MonoTime now) const -> std::vector<SloStatus>;

private:
    struct Entry
    {
        ObjectiveConfig objective;
        SloTracker tracker;
    };

    SloOptions m_options;
    std::map<std::pair<WorkspaceId, KindId>, Entry> m_entries;
};

/// @return "none", "ticket" or "page".
auto alertName(SloAlert alert) -> const char *;

}

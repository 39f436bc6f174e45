#pragma once

/// Service levels: good and bad events per objective, error budget and burn rate.
///
/// @code
///   auto table = Catkin::SloTable{};
///   table.configure(document.objectives);
///   table.observe(workspace, kind, elapsed, answered, clock.mono());
///   for (const auto &it : table.report(clock.mono())) { ... }
/// @endcode
///
/// The burn rate is the share of bad events divided by the share that the objective allows: at 1, the error budget lasts
/// exactly for its window. An alert needs a high rate both over a long window, so that a short disturbance does not raise it,
/// and over a short one, so that it ends soon after the cause does.

#include "state/document.h"
#include "util/units.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace Catkin
{

enum class SloAlert { None, Ticket, Page };

struct BurnRule
{
    std::chrono::minutes longWindow;
    std::chrono::minutes shortWindow;
    double burnRate;
};

/// The defaults page when 2% of a 30-day budget is used up in an hour, and open a ticket for 5% in six hours.
struct SloOptions
{
    BurnRule page{std::chrono::minutes{60}, std::chrono::minutes{5}, 14.4};
    BurnRule ticket{std::chrono::minutes{360}, std::chrono::minutes{30}, 6};
    std::uint64_t minimumEvents = 20; ///< fewer events in the long window raise no alert: one bad event of one says nothing
};

struct SloCounts
{
    std::uint64_t good = 0;
    std::uint64_t bad = 0;

    auto operator==(const SloCounts &) const -> bool = default;
};

/// Counts of one objective in minute buckets, over the longest window.
class SloTracker
{
public:
    /// @param targetMillipercent share of good events, in thousandths of a percent
    explicit SloTracker(int targetMillipercent, SloOptions options = {});

    auto record(bool good, MonoTime now) -> void;

    /// @return the events of the current minute and the ones before it that make up @p window.
    [[nodiscard]] auto counts(std::chrono::minutes window, MonoTime now) const -> SloCounts;

    /// @return the burn rate over @p window; 0 without events.
    [[nodiscard]] auto burnRate(std::chrono::minutes window, MonoTime now) const -> double;

    /// @return the unused part of the error budget over the longest window: 1 when nothing was bad, negative when overspent.
    [[nodiscard]] auto budgetLeft(MonoTime now) const -> double;

    [[nodiscard]] auto alert(MonoTime now) const -> SloAlert;

    /// @return the longest window that is kept.
    [[nodiscard]] auto span() const -> std::chrono::minutes;

private:
    struct Bucket
    {
        std::int64_t minute = -1;
        std::uint32_t good = 0;
        std::uint32_t bad = 0;
    };

    [[nodiscard]] auto burns(const BurnRule &rule, MonoTime now) const -> bool;

    SloOptions m_options;
    double m_allowedBad;
    std::vector<Bucket> m_buckets; ///< ring, indexed by minute modulo size
};

/// The counts of one window.
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
    std::vector<SloWindow> windows; ///< those of both rules, shortest first; counts of several instances add up
};

class SloTable
{
public:
    explicit SloTable(SloOptions options = {});

    /// Takes over the objectives of a new configuration; the counts of unchanged objectives stay.
    auto configure(const std::vector<ObjectiveConfig> &objectives) -> void;

    /// Counts one request, or one job start.
    /// @param elapsed time from acceptance to the answer (or start)
    /// @param answered whether there was an answer (or start) at all
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

#pragma once

/// The burn report: how fast each service-level objective uses up its error budget.
///
/// @code
///   auto objectives = std::vector<SloObjective>{};
///   mergeSlo(objectives, readSloJson(reply.body).value());     // once per instance
///   out << renderSloText(objectives);
///   file << renderSloSvg(objectives);
/// @endcode
///
/// The burn rate of a window is the part of bad requests divided by the part that the objective allows: at 1 the error
/// budget is used up exactly at the end of the objective's period, at 14.4 in a fifteenth part of it. A short and a long
/// window are read together: the long one shows that the burn matters, the short one that it still goes on.

#include "util/outcome.h"
#include "util/units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Catkin::Cli
{

struct SloWindow
{
    Millis length{0}; ///< 0: since the start of the instances
    std::int64_t good = 0;
    std::int64_t total = 0;
};

struct SloObjective
{
    std::string workspace;
    std::string kind;
    double targetPercent = 0;
    std::vector<SloWindow> windows; ///< by rising length, "since start" last
};

enum class SloState { Ok, SlowBurn, FastBurn, NoData };

/// @param text reply of GET /v1/slo: {"objectives":[{"workspace","kind","target_percent","windows":[{"window_ms","good","total"}]}]}
/// @return the objectives; ErrorCode::Protocol for anything else.
auto readSloJson(const std::string &text) -> Result<std::vector<SloObjective>>;

/// @param text reply of GET /metrics
/// @return one window "since start" for each objective that has a target.
auto readSloMetrics(const std::string &text) -> std::vector<SloObjective>;

/// @return what was counted between two readings of one instance's metrics; everything in @p later if it was restarted in between.
auto sloBetween(const std::vector<SloObjective> &earlier, const std::vector<SloObjective> &later, Millis length) -> std::vector<SloObjective>;

/// Adds the counts of one instance. If instances state different targets, the higher one counts.
auto mergeSlo(std::vector<SloObjective> &sum, const std::vector<SloObjective> &instance) -> void;

/// @return the burn rate, or -1 when nothing was counted.
auto burnRate(const SloObjective &objective, const SloWindow &window) -> double;

/// @return the part of the error budget that is left over the longest window, in percent; negative when overspent.
auto budgetLeftPercent(const SloObjective &objective) -> double;

/// @return FastBurn if the windows of 5 minutes and 1 hour both burn at 14.4 or more, SlowBurn if those of 30 minutes and 6 hours
/// both burn at 6 or more. The shortest and the longest window stand in for a pair that is missing. Fewer than 20 events in the
/// long window give Ok.
auto sloState(const SloObjective &objective) -> SloState;

/// @return "ok", "slow burn", "fast burn" or "no data".
auto sloStateName(SloState state) -> const char *;

/// @return a window's length as text, such as "5min", or "since start".
auto windowName(const SloWindow &window) -> std::string;

auto renderSloText(const std::vector<SloObjective> &objectives) -> std::string;
auto renderSloJson(const std::vector<SloObjective> &objectives) -> std::string;

/// @return a self-contained SVG file with one bar for each objective and window.
auto renderSloSvg(const std::vector<SloObjective> &objectives) -> std::string;

}

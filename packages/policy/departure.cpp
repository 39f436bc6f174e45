#include "policy/departure.h"

#include <algorithm>
#include <chrono>

namespace Catkin
{

namespace
{

/// One exchange with the worker around a stop or an end: the next planning pass (up to 200 ms), a stop order over two regions and back, and
/// the list with the checkpoint.
constexpr auto exchangeTime = Millis{500};
/// An end is listed by the poll that waits at the worker.
constexpr auto reportTime = Millis{100};
/// Estimates are off by up to 90%.
constexpr auto estimateError = 0.9;
/// A few percent of the tasks take 7 times as long as the others.
constexpr auto longestEstimates = 7;
constexpr auto wholePercent = 100;
/// Urgent work that has done at least this part is not started again elsewhere while it may still end in time.
constexpr auto movablePart = 0.5;

auto times(Micros span, double factor) -> Micros
{
    return std::chrono::round<Micros>(std::chrono::duration<double, Micros::period>(span) * factor);
}

auto clampToZero(const RemainingTime &it) -> RemainingTime
{
    return {.least = std::max(it.least, Micros{0}), .expected = std::max(it.expected, Micros{0}), .most = std::max(it.most, Micros{0}), .done = it.done};
}

auto remainingByEstimate(const AttemptProgress &progress, MonoTime now) -> RemainingTime
{
    const auto estimate = std::chrono::duration_cast<Micros>(progress.estimate);
    const auto age = std::max(now - progress.since, Micros{0});
    const auto usual = times(estimate, 1.0 + estimateError);
    auto out = clampToZero({.least = progress.resumed ? Micros{0} : times(estimate, 1.0 - estimateError) - age,
                            .expected = estimate - age,
                            .most = (age < usual ? usual : estimate * longestEstimates) - age});
    const auto whole = age + out.expected;
    out.done = progress.percent > 0 ? static_cast<double>(progress.percent) / wholePercent
               : whole > Micros{0}  ? static_cast<double>(age.count()) / static_cast<double>(whole.count())
                                    : 0.0;
    return out;
}

}

auto leavesAt(const DepartureNotice &notice, WorkerTime clock, MonoTime clockAt) -> MonoTime
{
    auto writtenAt = notice.readAt;
    if (notice.writtenClock.value != 0 && clock.value != 0) {
        writtenAt = std::min(writtenAt, clockAt + Millis{notice.writtenClock.value - clock.value});
    }
    return writtenAt + notice.remaining;
}

auto noteProgress(TaskState &task, int percent, std::optional<MonoTime> begunAt, MonoTime now) -> void
{
    if (task.percent < 0 && begunAt) {
        task.basePercent = 0;
        task.baseAt = *begunAt;
    } else if (task.percent < 0 || percent < task.basePercent - 1 || (percent == 0 && task.percent == 0)) {
        // Whole percents are listed, so that the progress is less than one percent more. A gang that waits for a member stays at 0.
        task.basePercent = percent + 1;
        task.baseAt = now;
    }
}

auto remainingTime(const AttemptProgress &progress, MonoTime now) -> RemainingTime
{
    const auto gained = progress.basePercent < 0 ? 0 : progress.percent - progress.basePercent;
    const auto span = progress.percentAt - progress.baseAt;
    if (gained <= 0 || span <= Micros{0}) {
        return remainingByEstimate(progress, now);
    }
    // The progress is listed in whole percents, so that up to two more may have been gained.
    const auto left = static_cast<double>(wholePercent - progress.percent);
    const auto since = now - progress.percentAt;
    return clampToZero({.least = times(span, (left - 1.0) / (gained + 2.0)) - since,
                        .expected = times(span, (left - 0.5) / (gained + 1.0)) - since,
                        .most = times(span, left / gained) - since,
                        .done = static_cast<double>(progress.percent) / wholePercent});
}

auto departureDecision(const LeavingAttempt &it, MonoTime now) -> DepartureDecision
{
    const auto left = it.leavesAt - now;
    const auto endLeft = left - reportTime; // an end must be listed as well
    if (!it.longRunning && it.remaining.most <= endLeft) {
        return {};
    }
    const auto cannotEnd = it.longRunning || it.remaining.least > left;
    const auto isUrgent = it.priority == 0 && it.remaining.done < movablePart && it.remaining.expected > endLeft;
    // Work that cannot end loses nothing by a stop now; it would lose the room that is free now.
    if (it.hasRoom && (cannotEnd || isUrgent)) {
        return {.action = DepartureAction::StopNow};
    }
    // In doubt: a stop with a checkpoint loses little, a stop without one loses all that the attempt has done.
    if (it.checkpointing) {
        return {.action = DepartureAction::StopAt, .at = it.leavesAt - it.stopGrace - exchangeTime};
    }
    return {};
}

auto isDue(const DepartureDecision &decision, MonoTime now) -> bool
{
    return decision.action == DepartureAction::StopNow || (decision.action == DepartureAction::StopAt && now >= decision.at);
}

}

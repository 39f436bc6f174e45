#include "policy/tasktrace.h"

#include <algorithm>
#include <cmath>

namespace Catkin
{

namespace
{

/// Least length of a span of progress: over a shorter one, whole percents are too coarse.
constexpr auto minSpan = Millis{1'000};
/// The same as a part of the estimate, so that a long task has made some percents of progress.
constexpr auto minSpanOfEstimate = 0.08;
/// Length of a span of response times or processor shares, each of which covers half a second.
constexpr auto figureSpan = Millis{4'000};
/// A further sample of an attempt after this time counts as an independent one.
constexpr auto independentAfter = Millis{20'000};
/// Progress that counts when no percent has been completed.
constexpr auto leastProgress = 0.5;
constexpr auto wholePercent = 100;

auto beginSpan(TaskTrace &trace, const TaskRow &row) -> void
{
    trace.open = true;
    trace.present = row.present;
    trace.since = row.clock;
    trace.percent = row.percent;
    trace.logSum = 0.0;
    trace.rows = 0;
}

auto logFigure(const PoolStep &step, TaskFigure figure, std::int64_t load) -> double
{
    const auto value = std::log(static_cast<double>(load));
    if (figure == TaskFigure::ResponseTime) {
        return value - std::log(static_cast<double>(step.responseTarget.count()));
    }
    return std::log(static_cast<double>(std::max<std::int64_t>(step.perTask.cpuMillis, 1))) - value;
}

/// @return the logarithm of what the task needed over the span until @p row, or nothing before the span is long enough.
auto logCostOf(const TaskTrace &trace, const PoolStep &step, const TaskRow &row) -> std::optional<double>
{
    const auto elapsed = static_cast<double>(row.clock.value - trace.since.value);
    if (figureOf(step) != TaskFigure::Progress) {
        return elapsed < static_cast<double>(figureSpan.count()) || trace.rows == 0 ? std::nullopt : std::optional{trace.logSum / trace.rows};
    }
    const auto estimate = static_cast<double>(step.estimate.count());
    // A finished task is listed at 100 until its end.
    if (estimate <= 0.0 || row.percent >= wholePercent || elapsed < std::max(static_cast<double>(minSpan.count()), minSpanOfEstimate * estimate)) {
        return std::nullopt;
    }
    const auto progress = std::max(static_cast<double>(row.percent - trace.percent), leastProgress) / wholePercent;
    return std::log(elapsed / (progress * estimate));
}

}

auto figureOf(const PoolStep &step) -> TaskFigure
{
    if (!step.longRunning) {
        return TaskFigure::Progress;
    }
    return step.responseTarget.count() > 0 ? TaskFigure::ResponseTime : TaskFigure::CpuShare;
}

auto takeSample(TaskTrace &trace, const PoolStep &step, const TaskRow &row) -> std::optional<TaskSample>
{
    if (!trace.open || row.present != trace.present || row.clock < trace.since || row.percent < trace.percent) {
        beginSpan(trace, row);
        return std::nullopt;
    }
    const auto figure = figureOf(step);
    if (figure != TaskFigure::Progress && row.load && *row.load > 0) {
        trace.logSum += logFigure(step, figure, *row.load);
        ++trace.rows;
    }
    const auto cost = logCostOf(trace, step, row);
    if (!cost) {
        return std::nullopt;
    }
    const auto passed = static_cast<double>(row.clock.value - trace.countedAt.value) / static_cast<double>(independentAfter.count());
    const auto weight = trace.counted ? std::clamp(passed, 0.0, 1.0) : 1.0;
    trace.counted = true;
    trace.countedAt = row.clock;
    beginSpan(trace, row);
    return TaskSample{.figure = figure, .logCost = *cost, .weight = weight, .present = row.present};
}

}

#include "policy/tasklearning.h"

#include "util/printable.h"

#include <cmath>

namespace Catkin
{

namespace
{

/// Bytes of an image's name that tell it from others, the last ones: names end with the version.
constexpr auto maxKindName = std::size_t{128};

auto rounded(double value) -> std::string
{
    return std::to_string(std::lround(value * 100)) + "%";
}

}

auto kindOf(const PoolJob &job, const PoolStep &step) -> TaskKindId
{
    // The prefix keeps a queue apart from an image of the same name.
    const auto name = step.image.empty() ? "queue:" + job.queue.str() : step.image;
    return TaskKindId{name.size() > maxKindName ? name.substr(name.size() - maxKindName) : name};
}

auto followKind(TaskLearning &learning, TaskTrace &trace, const PoolJob &job, const PoolStep &step) -> void
{
    auto &table = learning.interference;
    if (trace.generation != table.generation) {
        trace.kind = slotOf(table, kindOf(job, step), learning.now);
        trace.generation = table.generation;
        trace.open = false;
    }
}

auto learnFrom(TaskLearning &learning, const LearningRow &row, MonoTime now) -> void
{
    auto sample = takeSample(row.trace, row.step, row.row);
    if (!sample) {
        return;
    }
    if (sample->figure == TaskFigure::Progress) {
        const auto slowed = certainLogSlowdown(learning.interference, row.trace.kind, sample->present, now);
        observeSpeed(learning.speeds, row.worker, row.job.queue, sample->logCost - slowed, sample->weight, now);
        sample->logCost -= certainLogSlowness(learning.speeds, row.worker);
    }
    observe(learning.interference, row.trace.kind, *sample, now);
}

auto reviewLearning(TaskLearning &learning, MonoTime now) -> std::vector<PairChange>
{
    learning.now = now;
    reviewSpeeds(learning.speeds, now);
    return reviewPairs(learning.interference, now);
}

auto describeChange(const PairChange &change) -> std::string
{
    return "pair=" + printable(change.affected.str()) + "/" + printable(change.other.str()) + " certain=" + (change.certain ? "yes" : "no")
           + " slowdown=" + rounded(change.estimate.slowdown) + " error=" + rounded(change.estimate.error)
           + " samples=" + std::to_string(std::lround(change.estimate.samples));
}

auto countsOf(const TaskLearning &learning) -> LearningCounts
{
    return {.kinds = learning.interference.slots.size(),
            .pairs = learning.interference.pairs.size(),
            .certainPairs = static_cast<std::size_t>(learning.interference.certainPairs),
            .slowWorkers = learning.speeds.slow.size()};
}

}

#pragma once

/// A log in memory with retention and with delayed and repeated appends, for the property tests of the folds.

#include "util/random.h"
#include "util/units.h"

#include <algorithm>
#include <cstdlib>
#include <string>
#include <utility>
#include <vector>

namespace Catkin
{

/// @return the number of seeds of a property test: CATKIN_SEEDS, or 6, which take about a second.
inline auto seedCount() -> unsigned
{
    const auto *text = std::getenv("CATKIN_SEEDS");
    return text == nullptr ? 6 : static_cast<unsigned>(std::atoi(text));
}

struct SimulatedLog
{
    struct Stored
    {
        LogOffset offset;
        WallTime time;
        std::string data;
    };

    Seconds retention{8 * 3600};
    WallTime now{Millis{1'700'000'000'000}};
    std::vector<Stored> records; ///< all records, also those before first(), for readers of the whole log
    std::vector<std::pair<WallTime, std::string>> inFlight; ///< delayed appends with the log time at which they are stored

    auto append(std::string data) -> void
    {
        records.push_back({{static_cast<std::int64_t>(records.size())}, now, std::move(data)});
    }

    /// Appends after a random delay below @p longest; one time in five twice, each after its own delay, as after a lost response.
    auto appendLater(Random &random, const std::string &data, Seconds longest) -> void
    {
        for (auto copies = uniform(random, 5) == 0 ? 2 : 1; copies > 0; --copies) {
            inFlight.emplace_back(now + Millis{uniform(random, static_cast<std::uint32_t>(Millis{longest}.count()))}, data);
        }
    }

    /// Moves the log time on and stores the appends that are due by then.
    auto advance(Millis step) -> void
    {
        const auto end = now + step;
        std::sort(inFlight.begin(), inFlight.end());
        auto done = std::size_t{0};
        for (; done < inFlight.size() && inFlight[done].first <= end; ++done) {
            now = std::max(now, inFlight[done].first);
            append(inFlight[done].second);
        }
        inFlight.erase(inFlight.begin(), inFlight.begin() + static_cast<std::ptrdiff_t>(done));
        now = end;
    }

    [[nodiscard]] auto end() const -> LogOffset
    {
        return {static_cast<std::int64_t>(records.size())};
    }

    /// @return the lowest offset that the log retains.
    [[nodiscard]] auto first() const -> LogOffset
    {
        const auto it = std::find_if(records.begin(), records.end(), [&](const Stored &record) { return record.time >= now - retention; });
        return {it - records.begin()};
    }
};

/// Lets @p fold read @p log up to the offset @p to; restarts it first if its next record is no longer retained.
template<typename Fold>
auto readLog(Fold &fold, const SimulatedLog &log, LogOffset to) -> void
{
    if (fold.next() < log.first()) {
        fold.restart(log.first());
    }
    for (auto i = fold.next().value; i < to.value; ++i) {
        const auto &record = log.records[static_cast<std::size_t>(i)];
        fold.apply(record.offset, record.time, record.data);
    }
}

/// @return a new fold that has read all records from the offset @p from on.
template<typename Fold, typename Options>
auto foldFrom(const SimulatedLog &log, LogOffset from, const Options &options) -> Fold
{
    auto fold = Fold{options};
    fold.restart(from);
    for (auto i = from.value; i < log.end().value; ++i) {
        const auto &record = log.records[static_cast<std::size_t>(i)];
        fold.apply(record.offset, record.time, record.data);
    }
    return fold;
}

}

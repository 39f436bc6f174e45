#pragma once

/// A log in memory with retention, delayed and repeated appends, for the property tests of the folds.

#include "util/random.h"
#include "util/units.h"

#include <algorithm>
#include <cstdlib>
#include <string>
#include <utility>
#include <vector>

namespace Catkin
{

/// @return how many seeds a property test tries: CATKIN_SEEDS, or a number that takes about a second.
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
    std::vector<Stored> records; ///< nothing is removed, so that a reader of the whole log stays possible
    std::vector<std::pair<WallTime, std::string>> inFlight; ///< appends and when they take effect

    auto append(std::string data) -> void
    {
        records.push_back({{static_cast<std::int64_t>(records.size())}, now, std::move(data)});
    }

    /// Appends after a delay; sometimes twice, as after a lost response.
    auto appendLater(Random &random, const std::string &data, Seconds longest) -> void
    {
        for (auto copies = uniform(random, 5) == 0 ? 2 : 1; copies > 0; --copies) {
            inFlight.emplace_back(now + Millis{uniform(random, static_cast<std::uint32_t>(Millis{longest}.count()))}, data);
        }
    }

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

/// Lets @p fold read @p log up to @p to; restarts it at the first retained offset when it has fallen behind that.
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

/// @return a fold that has read everything from @p from on.
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

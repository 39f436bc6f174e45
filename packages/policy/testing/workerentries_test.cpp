#include "policy/workerentries.h"

#include "util/random.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>

using namespace Catkin;

namespace
{

constexpr auto start = MonoTime{Seconds{100}};
constexpr auto heartbeat = Millis{1'500};
constexpr auto silence = heartbeat * 3; ///< after which the store drops an entry

auto entry(bool draining) -> PoolWorkerInfo
{
    return {.id = WorkerId{"w"}, .address = "a", .draining = draining, .born = Incarnation{1}};
}

/// A record of the log: an entry or its removal.
struct LogWrite
{
    MonoTime at;
    bool removal = false;
    bool draining = false;
};

/// Records of one worker that drains and then either shuts down or goes silent.
auto writesOf(Random &random, bool leaves) -> std::vector<LogWrite>
{
    auto out = std::vector<LogWrite>{};
    auto at = start + Millis{random(1'500)};
    const auto beats = 2 + random(5);
    for (auto i = std::size_t{0}; i < beats; ++i) {
        out.push_back({.at = at, .draining = i > 0});
        at += heartbeat - Millis{random(100)};
    }
    const auto last = out.back().at;
    out.push_back({.at = leaves ? last + Millis{random(1'500)} : last + silence, .removal = true});
    return out;
}

/// Reads the log at random moments.
/// @param outages percentage of reads that are answered only after an outage
/// @return time at which the departure was found
auto play(Random &random, const std::vector<LogWrite> &log, std::size_t outages) -> std::optional<MonoTime>
{
    auto entries = WorkerEntries{};
    auto next = std::size_t{0};
    for (auto sentAt = start; next < log.size();) {
        const auto answeredAt = sentAt + Millis{random(100) < outages ? random(6'000) : random(300)};
        const auto shownUntil = sentAt + (answeredAt - sentAt) / 2;
        for (; next < log.size() && log[next].at <= shownUntil; ++next) {
            if (log[next].removal) {
                noteRemoval(entries, WorkerId{"w"}, heartbeat, answeredAt);
            } else {
                noteEntry(entries, entry(log[next].draining));
            }
        }
        if (!takeDepartures(entries).empty()) {
            return answeredAt;
        }
        noteRead(entries, sentAt);
        sentAt = answeredAt + Millis{random(300)};
    }
    return std::nullopt;
}

}

// Guards against a second run of work whose worker is only cut off: the store drops its entry, but the worker keeps running.
TEST_CASE("a worker that goes silent is not reported as departed, whenever its entry is read")
{
    auto random = Random{7};
    for (auto i = 0; i < 20'000; ++i) {
        CHECK_FALSE(play(random, writesOf(random, false), 5));
    }
}

// Guards against work of workers that have shut down which is placed again only after their leases have expired.
TEST_CASE("a worker that shuts down is reported as departed while the log can be read")
{
    auto random = Random{8};
    for (auto i = 0; i < 2'000; ++i) {
        CHECK(play(random, writesOf(random, true), 0));
    }
}

// Guards against a departure that is concluded from an entry of unknown age, as entries of a snapshot are.
TEST_CASE("the removal of an entry that only a snapshot contained does not count as a departure")
{
    auto entries = WorkerEntries{};
    resetEntries(entries);
    noteEntry(entries, entry(true));
    noteRead(entries, start);
    CHECK(noteRemoval(entries, WorkerId{"w"}, heartbeat, start + Millis{10}));
    CHECK(takeDepartures(entries).empty());
    CHECK_FALSE(noteRemoval(entries, WorkerId{"w"}, heartbeat, start + Millis{20}));
}

// Guards against a worker that crashed, or whose entry another writer removed, being reported as departed.
TEST_CASE("a worker that did not announce its shutdown is not reported as departed")
{
    auto entries = WorkerEntries{};
    noteRead(entries, start);
    CHECK(noteEntry(entries, entry(false)));
    CHECK_FALSE(noteEntry(entries, entry(false)));
    noteRemoval(entries, WorkerId{"w"}, heartbeat, start + Millis{10});
    CHECK(takeDepartures(entries).empty());
}

// Guards against a log line with every heartbeat for an entry that cannot be used, and against memory for ids without end.
TEST_CASE("an entry that cannot be used is reported once until it can be used again")
{
    auto entries = WorkerEntries{};
    const auto id = WorkerId{"i-1"};
    CHECK(noteUnusable(entries, id));
    CHECK_FALSE(noteUnusable(entries, id));
    resetEntries(entries);
    CHECK_FALSE(noteUnusable(entries, id));
    noteEntry(entries, {.id = id});
    CHECK(noteUnusable(entries, id));
    noteRemoval(entries, id, Millis{1'500}, MonoTime{});
    CHECK(noteUnusable(entries, id));
    auto reported = std::size_t{1};
    for (auto i = 0; i < 10'000; ++i) {
        reported += noteUnusable(entries, WorkerId{"odd-" + std::to_string(i)}) ? 1U : 0U;
    }
    CHECK(reported == maxUnusable);
    CHECK(entries.unusable.size() == maxUnusable);
}

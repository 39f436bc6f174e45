#include "policy/storepath.h"

#include <doctest/doctest.h>

using namespace Catkin;

namespace
{
constexpr auto start = MonoTime{Seconds{50}};
}

// Guards against an instance that serves no calls while the store refuses only this instance.
TEST_CASE("a relay is used from the first failure of the direct route until a probe succeeds")
{
    auto paths = StorePath{};
    paths.setRelays({"a:1", "b:1"});
    CHECK(paths.choose(start).empty());
    CHECK_FALSE(paths.probeDue(start));
    paths.report("", false, start);
    CHECK(paths.choose(start + Millis{1}) == "a:1");
    paths.report("a:1", false, start + Millis{1});
    CHECK(paths.choose(start + Millis{2}) == "b:1");
    CHECK(paths.choose(start + Millis{1'000}) == "b:1");
    CHECK(paths.choose(start + Millis{1'001}) == "a:1");
    CHECK_FALSE(paths.probeDue(start + Millis{249}));
    CHECK(paths.probeDue(start + Millis{250}));
    CHECK_FALSE(paths.isCutOff()); // one connection may have failed
    paths.report("", false, start + Millis{250});
    CHECK(paths.isCutOff());
    CHECK_FALSE(paths.probeDue(start + Millis{749}));
    CHECK(paths.probeDue(start + Millis{750}));
    paths.report("", true, start + Millis{760});
    CHECK_FALSE(paths.isCutOff());
    CHECK(paths.choose(start + Millis{761}).empty());
    CHECK_FALSE(paths.probeDue(start + Millis{9'000}));
    paths.report("", false, start + Millis{3'003});
    CHECK(paths.probeDue(start + Millis{3'253})); // the pause is short again after a success
}

// Guards against records of a planner that wait for a timeout each time the silent direct route is tried again.
TEST_CASE("only probes use the failed direct route while a relay answers")
{
    auto paths = StorePath{};
    paths.setRelays({"a:1"});
    paths.report("", false, start);
    auto probes = 0;
    for (auto t = Millis{0}; t < Millis{12'000}; t += Millis{10}) {
        CHECK(paths.choose(start + t) == "a:1");
        paths.report("a:1", true, start + t);
        if (paths.probeDue(start + t)) {
            ++probes;
            paths.report("", false, start + t);
        }
    }
    // After 0.25, 0.75, 1.75, 3.75, 7.75 and 11.75 s: the pause doubles up to 4 s.
    CHECK(probes == 6);
}

// Guards against a pause that grows with every failed call of one outage, and against calls that are held back when no relay is usable.
TEST_CASE("concurrent failures count once, and without relays the direct route is used")
{
    auto paths = StorePath{};
    for (auto i = 0; i < 20; ++i) {
        paths.report("", false, start);
    }
    CHECK(paths.choose(start).empty());
    CHECK(paths.probeDue(start + Millis{250}));
    paths.setRelays({"a:1"});
    CHECK(paths.choose(start + Millis{999}) == "a:1");
    paths.report("a:1", false, start + Millis{999});
    CHECK(paths.choose(start + Millis{1'000}).empty());
    paths.report("", false, start + Millis{1'000});
    CHECK(paths.choose(start + Millis{2'000}) == "a:1");
    paths.setRelays({});
    CHECK(paths.choose(start + Millis{1'001}).empty());
}

// Guards against calls of every log that fail before an unusable route is avoided, and against an instance that no longer acts as
// a relay because one log is not served.
TEST_CASE("a lost route is avoided for all logs, a failed one only for its own log")
{
    constexpr auto jobs = 1;
    constexpr auto states = 2;
    auto paths = StorePaths{};
    CHECK_FALSE(paths.isCutOff());
    paths.setRelays({"a:1", "b:1"});
    CHECK(paths.choose(jobs, start).empty());
    CHECK(paths.choose(states, start).empty());
    paths.report(jobs, "", RouteResult::Failed, start);
    CHECK(paths.choose(jobs, start) == "a:1");
    CHECK(paths.choose(states, start).empty());
    paths.report(jobs, "", RouteResult::Failed, start + Millis{250});
    CHECK_FALSE(paths.isCutOff()); // the log of states is served
    paths.report(states, "", RouteResult::Lost, start + Millis{260});
    paths.report(states, "", RouteResult::Lost, start + Millis{510});
    CHECK(paths.isCutOff());
    paths.report(jobs, "a:1", RouteResult::Lost, start + Millis{520});
    CHECK(paths.choose(states, start + Millis{521}) == "b:1");
    CHECK(paths.probesDue(start + Millis{6'000}) == std::vector<int>{jobs, states});
    paths.report(states, "", RouteResult::Answered, start + Millis{6'001});
    CHECK_FALSE(paths.isCutOff());
    CHECK(paths.probesDue(start + Millis{6'002}) == std::vector<int>{jobs});
}

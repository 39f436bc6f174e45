#include "policy/storepath.h"

#include <doctest/doctest.h>

using namespace Catkin;

namespace
{
constexpr auto start = MonoTime{Seconds{50}};
}

// Guards against an instance that serves nobody while the store turns only this instance away.
TEST_CASE("a relay is used from the first failure of the direct way until a probe succeeds")
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

// Guards against a planner whose records wait for a timeout each time that the silent direct way is tried again.
TEST_CASE("no call but a probe tries the direct way while a relay answers")
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

// Guards against a pause that grows with every call of one outage, and against waiting when no way is left.
TEST_CASE("failures at the same time count once, and without relays the direct way is used")
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

// Guards against each log finding out by itself that a way is of no use, and against one lost log that makes an instance useless
// as a relay.
TEST_CASE("a lost way is passed over for all logs, a failed one for its own")
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

#include "policy/storepath.h"

#include <doctest/doctest.h>

using namespace Catkin;

namespace
{
constexpr auto start = MonoTime{Seconds{50}};
}

// Guards against an instance that serves nobody while the store turns only this instance away.
TEST_CASE("a relay is used while the direct way fails, and the direct way is tried again")
{
    auto paths = StorePath{};
    paths.setRelays({"a:1", "b:1"});
    CHECK(paths.choose(start).empty());
    paths.report("", false, start);
    CHECK(paths.choose(start + Millis{1}) == "a:1");
    paths.report("a:1", false, start + Millis{1});
    CHECK(paths.choose(start + Millis{2}) == "b:1");
    CHECK(paths.choose(start + Millis{1'001}).empty());
    paths.report("", false, start + Millis{1'001});
    CHECK(paths.choose(start + Millis{2'900}) == "a:1");
    CHECK(paths.choose(start + Millis{3'002}).empty());
    paths.report("", true, start + Millis{3'002});
    paths.report("", false, start + Millis{3'003});
    CHECK(paths.choose(start + Millis{4'004}).empty()); // the pause is short again after a success
}

// Guards against a pause that grows with every call of one outage, and against waiting when no way is left.
TEST_CASE("failures at the same time count once, and without relays the direct way is used")
{
    auto paths = StorePath{};
    for (auto i = 0; i < 20; ++i) {
        paths.report("", false, start);
    }
    CHECK(paths.choose(start).empty());
    paths.setRelays({"a:1"});
    CHECK(paths.choose(start + Millis{999}) == "a:1");
    CHECK(paths.choose(start + Millis{1'000}).empty());
    paths.report("a:1", false, start);
    paths.report("", false, start + Millis{1'000});
    CHECK(paths.choose(start + Millis{1'001}) == "a:1");
    paths.setRelays({});
    CHECK(paths.choose(start + Millis{1'001}).empty());
}

#include "cli/sloreport.h"

#include <doctest/doctest.h>

using namespace Catkin;
using namespace Catkin::Cli;

namespace
{

auto objective(std::vector<SloWindow> windows, double target = 99.9) -> SloObjective
{
    return {.workspace = "w", .kind = "k", .targetPercent = target, .windows = std::move(windows)};
}

}

TEST_CASE("states follow the burn rates of the windows")
{
    const auto m5 = Millis{300000};
    const auto m30 = Millis{1800000};
    const auto h1 = Millis{3600000};
    const auto h6 = Millis{21600000};
    struct Case
    {
        std::vector<SloWindow> windows;
        SloState state;
        double budgetLeft;
    };
    const auto cases = std::vector<Case>{
        {{}, SloState::NoData, 100},
        {{{m5, 0, 0}, {h1, 0, 0}}, SloState::NoData, 100},
        {{{m5, 100, 100}, {m30, 500, 500}, {h1, 1000, 1000}, {h6, 10000, 10000}}, SloState::Ok, 100},
        {{{m5, 90, 100}, {m30, 500, 600}, {h1, 900, 1000}, {h6, 9995, 10000}}, SloState::FastBurn, 50},
        // The burn is over: the short window is clean again.
        {{{m5, 100, 100}, {m30, 500, 600}, {h1, 900, 1000}, {h6, 9995, 10000}}, SloState::Ok, 50},
        {{{m5, 100, 100}, {m30, 990, 1000}, {h1, 1990, 2000}, {h6, 9930, 10000}}, SloState::SlowBurn, -600},
        // One bad request of a few is not yet a burn.
        {{{m5, 0, 1}, {h1, 18, 19}}, SloState::Ok, -5163.157},
        // Without the usual windows, as from /metrics, the shortest and the longest count.
        {{{Millis{60000}, 90, 100}, {Millis{0}, 900, 1000}}, SloState::FastBurn, -9900},
    };
    for (const auto &c : cases) {
        const auto o = objective(c.windows);
        CHECK(sloState(o) == c.state);
        CHECK(budgetLeftPercent(o) == doctest::Approx(c.budgetLeft));
    }
}

TEST_CASE("an objective of 100% does not divide by zero")
{
    CHECK(burnRate(objective({}, 100), {Millis{0}, 1, 2}) > 1);
}

TEST_CASE("metrics give one window since the start, with escaped label values")
{
    const auto text = std::string{"# HELP catkin_slo_good_total x\n"
                                  "catkin_slo_requests_total{kind=\"a,b\\\"}\",workspace=\"w\"} 10\n"
                                  "catkin_slo_good_total{kind=\"a,b\\\"}\",workspace=\"w\"} 9\n"
                                  "catkin_slo_target_ratio{kind=\"a,b\\\"}\",workspace=\"w\"} 0.9\n"
                                  "catkin_slo_requests_total{kind=\"no target\",workspace=\"w\"} 5\n"
                                  "catkin_slo_requests_total{broken\n"};
    const auto read = readSloMetrics(text);
    REQUIRE(read.size() == 1);
    CHECK(read[0].kind == "a,b\"}");
    CHECK(burnRate(read[0], read[0].windows[0]) == doctest::Approx(1));
    CHECK(windowName(read[0].windows[0]) == "since start");
}

TEST_CASE("the difference of two readings survives the restart of an instance")
{
    const auto earlier = std::vector{objective({{Millis{0}, 90, 100}})};
    const auto later = std::vector{objective({{Millis{0}, 140, 160}})};
    const auto restarted = std::vector{objective({{Millis{0}, 7, 8}})};
    CHECK(sloBetween(earlier, later, Millis{60000})[0].windows[0].total == 60);
    CHECK(sloBetween(earlier, later, Millis{60000})[0].windows[0].good == 50);
    CHECK(sloBetween(earlier, restarted, Millis{60000})[0].windows[0].total == 8);
}

TEST_CASE("merging adds equal windows, keeps the others, and sorts since-start last")
{
    auto sum = std::vector<SloObjective>{};
    mergeSlo(sum, {objective({{Millis{0}, 1, 2}, {Millis{1000}, 3, 4}})});
    mergeSlo(sum, {objective({{Millis{500}, 5, 6}, {Millis{1000}, 7, 8}}, 99.95)});
    REQUIRE(sum.size() == 1);
    CHECK(sum[0].targetPercent == 99.95);
    REQUIRE(sum[0].windows.size() == 3);
    CHECK(sum[0].windows[0].length == Millis{500});
    CHECK(sum[0].windows[1].good == 10);
    CHECK(sum[0].windows[2].length == Millis{0});
}

TEST_CASE("names from the configuration cannot add elements to the plot")
{
    auto o = objective({{Millis{1000}, 1, 2}});
    o.workspace = "<script>&\"";
    const auto svg = renderSloSvg({o});
    CHECK(svg.find("<script>") == std::string::npos);
    CHECK(svg.find("&lt;script&gt;&amp;&quot;") != std::string::npos);
}

TEST_CASE("a reply that is not a report is an error")
{
    for (const auto *text : {"", "[]", "{}", R"({"objectives":[{}]})", R"({"objectives":3})"}) {
        const auto read = readSloJson(text);
        CHECK_MESSAGE((!read || read.value().empty()), text);
    }
    CHECK_FALSE(readSloJson("{}"));
}

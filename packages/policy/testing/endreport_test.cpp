#include "policy/endreport.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Catkin;

TEST_CASE("an end can be followed from its worker's list to its acknowledgement by lifetime and number")
{
    const auto lifetime = WorkerLifetime{.worker = WorkerId{"w1"}, .born = Incarnation{7}};
    auto report = EndReport{};
    noteEnd(report,
            lifetime,
            {.completion = {.number = 57, .task = {.job = JobId{"a"}, .step = 1, .index = 2}, .attempt = 3, .kind = CompletionKind::Done},
             .use = EndUse::Superseded});
    noteAcknowledgement(report, lifetime, 57);
    const auto entries = takeEndEntries(report);
    REQUIRE(entries.size() == 2);
    CHECK(std::string(entries[0].decision) == "ends_listed");
    CHECK(entries[0].text == "worker=w1/7 ends=57:a.0.1.2#3=done/superseded");
    CHECK(std::string(entries[1].decision) == "ends_acknowledged");
    CHECK(entries[1].text == "upto=w1/7:57");
    CHECK(takeEndEntries(report).empty());
}

TEST_CASE("many ends of one worker take several lines, and none is left out")
{
    auto report = EndReport{};
    for (auto i = 1; i <= 40; ++i) {
        noteEnd(report, {.worker = WorkerId{"w1"}}, {.completion = {.number = i, .task = {.job = JobId{"a"}, .index = i}, .attempt = 1}});
    }
    auto items = std::ptrdiff_t{0};
    const auto entries = takeEndEntries(report);
    for (const auto &it : entries) {
        items += std::count(it.text.begin(), it.text.end(), '#');
    }
    CHECK(entries.size() == 3);
    CHECK(items == 40);
}

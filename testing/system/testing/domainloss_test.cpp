#include "harness/poll.h"
#include "history/reader.h"
#include "system/faultload.h"

#include <doctest/doctest.h>

#include <thread>

using namespace Catkin;
using nlohmann::json;

namespace
{

/// Entry instances 0 and 1 are in oviedo, 2 in bilbao, 3 and 4 in burgos.
auto threeDomains() -> DeploymentShape
{
    return {
        .domains = {{.name = "oviedo", .region = "cantabrico", .executors = 1, .workers = 3},
                    {.name = "bilbao", .region = "cantabrico", .entries = 1, .executors = 1, .workers = 2},
                    {.name = "burgos", .region = "meseta", .executors = 1, .workers = 2}},
        .workspace = "centralita",
        .relays = true,
        .regionDelay = Millis{10},
        .leases = "probation = \"1s\"\nrun = \"5s\"\nrenew = \"1s\"\n",
    };
}

/// The probation time and the run lease of these settings, each with the spread of polls and renewals.
constexpr auto bounds = HistoryBounds{.partialStartMs = 2'000, .partialLossMs = 7'000};

auto issueTicket(Deployment &site, std::size_t entry) -> std::string
{
    const auto reply = site.caller(entry, "POST", "/v1/tickets", "{}", Millis{3'000});
    REQUIRE(reply);
    return json::parse(reply.value().body).at("key").get<std::string>();
}

struct Loss
{
    std::string domain;
    std::size_t first; ///< the lost entry instances are first to last
    std::size_t last;
    std::size_t survivor;
    std::string other; ///< failure domain of the survivor
};

auto loseDomain(const Loss &loss, unsigned seed) -> void
{
    auto site = Deployment{threeDomains()};
    site.start();
    auto load = FaultLoad{site, {.seed = seed}};
    const auto sim = load.mustSubmit(loss.first, {.key = "sim", .domain = loss.domain, .slots = 4, .runMs = 8'000});
    const auto mold = load.mustSubmit(loss.last, {.key = "mold", .domain = loss.domain, .slots = 2, .runMs = 8'000, .restartable = false});
    const auto kept = load.mustSubmit(loss.first, {.key = "kept", .domain = loss.other, .runMs = 12'000, .restartable = false});
    for (const auto &it : {sim, mold, kept}) {
        REQUIRE(load.waitState(loss.survivor, it, "running"));
    }
    const auto waitingSim = load.mustSubmit(loss.survivor, {.key = "waiting-sim", .domain = loss.domain, .tasks = 4, .slots = 4});
    const auto waitingMold = load.mustSubmit(loss.survivor, {.key = "waiting-mold", .domain = loss.domain, .tasks = 4, .slots = 4, .restartable = false});
    const auto ticket = issueTicket(site, loss.first);

    site.killDomain(loss.domain);
    const auto lostMs = historyNowMs();
    CHECK(eventually([&] { return site.request(loss.survivor, {.kind = "plan", .payload = R"({"key":"probe"})"}).result == CallResult::Answer; }));
    // The issuing process may have dispatched an earlier attempt.
    auto unsure = site.request(loss.survivor, {.kind = "book", .key = ticket, .attempt = 2, .payload = R"({"key":"lost-ticket"})"});
    CHECK(unsure.result == CallResult::OutcomeUnknown);
    unsure.key = "lost-ticket";
    load.note(unsure);
    const auto elsewhere = load.mustSubmit(loss.survivor, {.key = "elsewhere", .domain = loss.other});
    CHECK(load.waitState(loss.survivor, elsewhere, "succeeded"));
    const auto later = load.mustSubmit(loss.survivor, {.key = "later", .domain = loss.domain});
    // Beyond the end of every lease that the lost workers had granted (5.25 s): their jobs wait, because nobody outside
    // can tell a lost failure domain from one that is cut off and goes on.
    std::this_thread::sleep_for(Millis{9'000 - std::min<std::int64_t>(9'000, historyNowMs() - lostMs)});
    CHECK(site.jobState(loss.survivor, sim) == "running");
    CHECK(site.jobState(loss.survivor, mold) == "running");
    CHECK(site.jobState(loss.survivor, waitingMold) == "queued");

    site.startDomain(loss.domain);
    for (auto i = loss.first; i <= loss.last; ++i) {
        REQUIRE(site.waitReady(i));
    }
    CHECK(load.waitState(loss.survivor, mold, "unknown"));
    for (const auto &it : {sim, kept, waitingSim, waitingMold, later}) {
        CHECK(load.waitState(loss.survivor, it, "succeeded"));
        CHECK(load.waitState(loss.first, it, "succeeded"));
    }
    CHECK(load.runs(sim).size() == 4); // two tasks in the lost attempt, two in the next one
    CHECK(load.runs(mold).size() == 2);
    CHECK(load.runs(kept).size() == 2);
    CHECK(load.runs(waitingMold).size() == 4);
    for (const auto &it : load.finish(bounds)) {
        FAIL_CHECK(it);
    }
    MESSAGE(loss.domain << ": " << load.summary());
}

}

// Guards against jobs that stay "running" for ever, run twice, or keep the new workers from others after their failure domain was lost.
TEST_CASE("a region's only failure domain is lost with all its processes and comes back")
{
    loseDomain({.domain = "burgos", .first = 3, .last = 4, .survivor = 0, .other = "oviedo"}, 2);
}

TEST_CASE("a failure domain is lost while an instance of its region survives, and comes back")
{
    loseDomain({.domain = "oviedo", .first = 0, .last = 1, .survivor = 2, .other = "bilbao"}, 3);
}

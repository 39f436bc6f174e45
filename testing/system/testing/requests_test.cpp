#include "harness/poll.h"
#include "history/reader.h"
#include "system/callers.h"

#include <doctest/doctest.h>

#include <csignal>

using namespace Catkin;
using nlohmann::json;

namespace
{

/// Joins the callers, adds what the executors saw, and checks every rule.
auto checkHistory(Deployment &site, std::vector<Call> calls) -> History
{
    auto history = History{};
    history.calls = std::move(calls);
    site.collect(history);
    // Probes of the set-up are idempotent and carry no caller's key.
    std::erase_if(history.executions, [](const Execution &it) { return it.key == "probe"; });
    const auto violations = checkAll(history, {}, isStandinAnswer);
    for (const auto &it : violations) {
        FAIL_CHECK(it);
    }
    return history;
}

auto countAnswers(const std::vector<Call> &calls) -> int
{
    return static_cast<int>(std::count_if(calls.begin(), calls.end(), [](const Call &it) { return it.result == CallResult::Answer; }));
}

}

TEST_CASE("bookings run at most once while entry instances are killed and replaced")
{
    auto site = Deployment{barilocheShape()};
    site.start();
    auto callers = Callers{site, {.threads = 4, .requestsEach = 20, .seed = 11}};
    for (auto round = 0; round < 3; ++round) {
        const auto before = callers.answered();
        (void)eventually([&] { return callers.answered() >= before + 8; }, {.tries = 200});
        const auto victim = static_cast<std::size_t>(round) % site.entryCount();
        site.entry(victim).process->signal(SIGKILL);
        (void)site.entry(victim).process->waitExit(Millis{5'000});
        site.startEntry(victim);
    }
    const auto history = checkHistory(site, callers.join());
    CHECK(countAnswers(history.calls) > 0);
    CHECK_FALSE(history.executions.empty());
}

TEST_CASE("bookings run at most once while an entry instance is paused and wakes")
{
    auto site = Deployment{revisionesShape()};
    site.start();
    auto callers = Callers{site, {.threads = 4, .requestsEach = 12, .seed = 12}};
    (void)eventually([&] { return callers.answered() >= 8; }, {.tries = 200});
    site.entry(0).process->signal(SIGSTOP);
    (void)eventually([&] { return callers.answered() >= 24; }, {.tries = 100});
    site.entry(0).process->signal(SIGCONT);
    const auto history = checkHistory(site, callers.join());
    CHECK(countAnswers(history.calls) > 0);
}

TEST_CASE("bookings run at most once under faults of the platform's log")
{
    struct Case
    {
        const char *name;
        const char *fault;
    };
    const auto cases = std::vector<Case>{
        {"answers lost after the effect", R"({"lose_answer":true})"},
        {"slow", R"({"slow_ms":400})"},
        {"down", R"({"down":true})"},
        {"silent", R"({"silent":true})"},
    };
    auto site = Deployment{revisionesShape()};
    site.start();
    auto seed = 20U;
    auto calls = std::vector<Call>{};
    for (const auto &it : cases) {
        CAPTURE(it.name);
        auto callers = Callers{site, {.threads = 3, .requestsEach = 6, .attempts = 4, .seed = seed++}};
        (void)eventually([&] { return callers.answered() >= 4; }, {.tries = 100});
        REQUIRE(control(site.platform(), it.fault));
        (void)eventually([&] { return callers.answered() >= 14; }, {.tries = 60});
        REQUIRE(control(site.platform(), R"({"lose_answer":false,"slow_ms":0,"down":false,"silent":false})"));
        auto own = callers.join();
        calls.insert(calls.end(), own.begin(), own.end());
    }
    const auto history = checkHistory(site, std::move(calls));
    CHECK(countAnswers(history.calls) > 0);
}

TEST_CASE("without the log, idempotent requests and tickets are served and plain bookings are refused honestly")
{
    auto site = Deployment{revisionesShape()};
    site.start();
    auto ticketReply = site.caller(0, "POST", "/v1/tickets", "{}", Millis{3'000});
    REQUIRE(ticketReply);
    const auto ticket = json::parse(ticketReply.value().body).at("key").get<std::string>();
    site.platformRelay().setMode(RelayMode::Cut);
    CHECK(site.request(0, {.kind = "plan", .payload = R"({"key":"plan-1"})"}).result == CallResult::Answer);
    const auto booked = site.request(0, {.kind = "book", .key = ticket, .attempt = 1, .payload = R"({"key":"ticket-1"})"});
    CHECK(booked.result == CallResult::Answer);
    // The retry through another instance gets the same answer, and nothing runs twice.
    const auto again = site.request(1, {.kind = "book", .key = ticket, .attempt = 2, .payload = R"({"key":"ticket-1"})"});
    CHECK(again.result == CallResult::Answer);
    CHECK(again.answer == booked.answer);
    // The log counts as down once it has not been read for a while.
    auto refused = Call{};
    const auto now = std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
    CHECK(eventually([&] {
        refused = site.request(0, {.kind = "book", .key = "plain-1", .firstSentMs = now, .attempt = 1, .payload = R"({"key":"plain-1"})"});
        return refused.result != CallResult::Answer;
    }));
    CHECK(refused.result == CallResult::NotRun);
    const auto unsure = site.request(0, {.kind = "book", .key = "plain-1", .firstSentMs = now, .attempt = 2, .payload = R"({"key":"plain-1"})"});
    CHECK(unsure.result == CallResult::OutcomeUnknown);
    auto calls = std::vector<Call>{booked, again, refused, unsure};
    for (auto &it : calls) {
        it.key = it.key == ticket ? "ticket-1" : it.key;
    }
    calls.push_back({.key = "plan-1", .idempotent = true, .payload = R"({"key":"plan-1"})", .result = CallResult::OutcomeUnknown});
    (void)checkHistory(site, calls);
}

TEST_CASE("a planned stop cuts no request")
{
    auto site = Deployment{barilocheShape()};
    site.start();
    auto callers = Callers{site, {.threads = 6, .requestsEach = 30, .attempts = 8, .busyMs = 60, .seed = 31, .kind = "plan"}};
    (void)eventually([&] { return callers.answered() >= 12; }, {.tries = 300});
    site.entry(0).process->signal(SIGTERM);
    const auto status = site.entry(0).process->waitExit(Millis{25'000});
    REQUIRE(status.has_value());
    // The daemon exits with 0 only if it cut no request and lost no log record.
    CHECK(*status == 0);
    CHECK(countAnswers(callers.join()) == 6 * 30);
}

TEST_CASE("a leaving executor gets no new work after its grace time, although the list does not say so")
{
    auto site = Deployment{barilocheShape()};
    site.start();
    auto callers = Callers{site, {.threads = 4, .requestsEach = 60, .busyMs = 80, .seed = 41, .kind = "plan"}};
    (void)eventually([&] { return callers.answered() >= 8; }, {.tries = 300});
    REQUIRE(control(*site.executor(0).process, R"({"leaving":true})"));
    const auto history = checkHistory(site, callers.join());
    CHECK(history.leaving.size() == 1);
}

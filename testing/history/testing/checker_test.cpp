#include "harness/childprocess.h"
#include "history/checker.h"
#include "history/reader.h"
#include "ports/httpexecutor.h"
#include "ports/httpworker.h"

#include <doctest/doctest.h>

#include <functional>

using namespace Catkin;

namespace
{

constexpr auto bounds = HistoryBounds{.partialStartMs = 3000, .partialLossMs = 10000, .leavingGraceMs = 5000};

/// A history that keeps every rule and comes near each bound.
auto goodHistory() -> History
{
    auto history = History{};
    history.calls = {
        {.key = "booked", .payload = "p1", .result = CallResult::Answer, .answer = "answer to p1", .sentMs = 100},
        {.key = "refused", .payload = "p2", .result = CallResult::NotRun, .sentMs = 100},
        {.key = "refused first", .payload = "p3", .result = CallResult::NotRun, .sentMs = 100},
        {.key = "refused first", .payload = "p3", .result = CallResult::OutcomeUnknown, .sentMs = 500},
        {.key = "scan", .idempotent = true, .payload = "p4", .result = CallResult::Answer, .answer = "answer to p4", .sentMs = 100},
        {.key = "mold", .payload = "p5", .result = CallResult::Answer, .sentMs = 100},
        {.key = "again", .idempotent = true, .payload = "p6", .result = CallResult::Answer, .sentMs = 100},
    };
    history.executions = {
        {.server = "e1", .key = "booked", .startMs = 110},
        {.server = "e1", .key = "refused first", .startMs = 510},
        {.server = "e1", .key = "scan", .startMs = 120},
        {.server = "e2", .key = "scan", .startMs = 5900},
    };
    history.gangSizes = {{"j1", 2}, {"j2", 1}};
    history.runs = {
        {.server = "w1", .key = "mold", .job = "j1", .attempt = 1, .member = 0, .startMs = 1000, .endMs = 9000, .finished = true},
        {.server = "w2", .key = "mold", .job = "j1", .attempt = 1, .member = 1, .startMs = 4000, .endMs = 50000, .finished = true},
        {.server = "w1", .key = "again", .job = "j2", .attempt = 1, .member = 0, .startMs = 1000, .endMs = 2000},
        {.server = "w2", .key = "again", .job = "j2", .attempt = 2, .member = 0, .startMs = 2000, .endMs = 3000, .finished = true},
    };
    history.leases = {
        {.worker = "w1", .lease = "l1", .slots = {0, 1}, .fromMs = 900, .toMs = 9000},
        {.worker = "w1", .lease = "l2", .slots = {1}, .fromMs = 9000, .toMs = 9500},
        {.worker = "w2", .lease = "l3", .slots = {1}, .fromMs = 900, .toMs = 50000},
    };
    history.versions = {{"i1", 1}, {"i2", 2}, {"i1", 2}, {"i1", 2}, {"i2", 3}};
    history.leaving = {{.server = "e2", .fromMs = 1000, .toMs = 20000}};
    return history;
}

auto matches(const std::string &payload, const std::string &answer) -> bool
{
    return answer == "answer to " + payload;
}

}

TEST_CASE("a history that keeps the rules has no violation")
{
    CHECK(checkAll(goodHistory(), bounds, matches) == Violations{});
}

TEST_CASE("each rule reports the history that breaks it, and no other rule does")
{
    struct Case
    {
        std::string name;
        std::function<void(History &)> damage;
        std::string violation;
    };
    const auto cases = std::vector<Case>{
        {"second execution", [](History &it) { it.executions.push_back({.server = "e3", .key = "booked", .startMs = 150}); }, "key booked ran 2 times"},
        {"second run of a task",
         [](History &it) {
             it.runs.push_back({.server = "w3", .key = "mold", .job = "j1", .attempt = 1, .member = 0, .startMs = 60000, .endMs = 60001, .finished = true});
         },
         "key mold member 0 ran 2 times"},
        {"refused work runs",
         [](History &it) { it.executions.push_back({.server = "e1", .key = "refused", .startMs = 9999}); },
         "key refused ran on e1 although every call of it before was answered \"not run\""},
        {"refused work runs before it is sent again",
         [](History &it) { it.executions[1].startMs = 499; },
         "key refused first ran on e1 although every call of it before was answered \"not run\""},
        {"refused job runs",
         [](History &it) {
             it.gangSizes["j3"] = 1;
             it.runs.push_back({.server = "w1", .key = "refused", .job = "j3", .attempt = 1, .startMs = 1, .endMs = 2});
         },
         "key refused ran on w1 although every call of it before was answered \"not run\""},
        {"crossed answer", [](History &it) { it.calls[4].answer = "answer to p1"; }, "key scan got an answer that is not its own: answer to p1"},
        {"late member", [](History &it) { it.runs[1].startMs = 4001; }, "job j1 attempt 1: a part of the gang ran for 3001 ms, 3000 are allowed"},
        {"member that never starts",
         [](History &it) { it.runs.erase(it.runs.begin() + 1); },
         "job j1 attempt 1: a part of the gang ran for 8000 ms, 3000 are allowed"},
        {"lost member", [](History &it) { it.runs[0].finished = false; }, "job j1 attempt 1: a part of the gang ran for 41000 ms, 10000 are allowed"},
        {"unrecorded gang", [](History &it) { it.gangSizes.erase("j1"); }, "job j1 ran, but its size is not recorded"},
        {"slot leased twice", [](History &it) { it.leases[1].fromMs = 8999; }, "worker w1: leases l1 and l2 held a slot at the same time"},
        {"version goes back",
         [](History &it) {
             it.versions.push_back({"i2", 2});
         },
         "i2 saw version 2 after 3"},
        {"work for a leaving server", [](History &it) { it.executions[3].startMs = 6001; }, "e2 got new work 5001 ms after it began to leave"},
        {"attempts overlap", [](History &it) { it.runs[3].startMs = 1999; }, "job j2: attempt 2 started on w2 1 ms before attempt 1 ended on w1"},
    };
    for (const auto &it : cases) {
        CAPTURE(it.name);
        auto history = goodHistory();
        it.damage(history);
        CHECK(checkAll(history, bounds, matches) == Violations{it.violation});
    }
}

TEST_CASE("the histories of the stand-ins can be read and checked")
{
    const auto executor = std::move(startStandin("executor_standin").value());
    const auto worker = std::move(startStandin("worker_standin").value());
    auto history = History{};
    const auto payload = std::string(R"({"key":"k1","busy_ms":0})");
    const auto sentMs = historyNowMs();
    const auto timeout = Millis{20000};
    const auto execute
        = [&] { return makeHttpExecutor({}).execute(executor->address(), {.request = RequestId{"r"}, .deadline = timeout, .payload = payload}).value().body; };
    const auto order = [&](OrderOp op) {
        return WorkerOrder{
            .op = op, .lease = LeaseId{"l"}, .job = JobId{"j"}, .attempt = 1, .slots = {0}, .ttl = timeout, .payload = R"({"key":"k2","run_ms":1000000})"};
    };
    const auto started = makeHttpWorker().orders(worker->address(), {.counter = 1, .holder = "i"}, {order(OrderOp::Reserve), order(OrderOp::Start)}, timeout);
    REQUIRE(started.has_value());
    history.calls = {{.key = "k1", .payload = payload, .result = CallResult::Answer, .answer = execute(), .sentMs = sentMs},
                     {.key = "k2", .result = CallResult::Answer, .sentMs = sentMs}};
    history.gangSizes = {{"j", 1}};
    REQUIRE(readWorker("w", fetchHistory(*worker).value(), historyNowMs(), history));
    REQUIRE(readExecutor("e", fetchHistory(*executor).value(), historyNowMs(), history));
    CHECK(checkAll(history, bounds, isStandinAnswer) == Violations{});
    CHECK(history.runs.size() == 1);
    CHECK(history.leases.size() == 1);

    execute();
    auto again = History{.calls = history.calls};
    REQUIRE(readExecutor("e", fetchHistory(*executor).value(), historyNowMs(), again));
    CHECK(checkAtMostOnce(again) == Violations{"key k1 ran 2 times"});
    CHECK_FALSE(readExecutor("e", "not a history\n{}\n", 0, history));
}

#include "cli/testing/fakeserver.h"
#include "cli/testing/testenvironment.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace Catkin;
using namespace Catkin::Cli;
using nlohmann::json;

namespace
{

const auto answer = FakeReply{200, R"({"result":"answer","answer":"route 7"})"};
const auto notRun = FakeReply{503, R"({"result":"not_run","reason":"the queue is full","retry_after_ms":20})"};
const auto limited = FakeReply{429, R"({"result":"not_run","reason":"callers_limit"})"};
const auto badInput = FakeReply{400, R"({"result":"not_run","reason":"unknown kind"})"};
const auto unauthorized = FakeReply{401, R"({"error":"unknown token"})"};
const auto unknown = FakeReply{504, R"({"result":"outcome_unknown","reason":"the executor did not answer"})"};
const auto broken = FakeReply{.broken = true};
const auto serverError = FakeReply{500, "oops"};

auto requestArgs(const std::vector<std::string> &addresses, const Arguments &more = {}) -> Arguments
{
    auto args = Arguments{"request", "-w", "call-centre", "-c", "desk-4", "-k", "route", "-p", "visit"};
    for (const auto &address : addresses) {
        args.insert(args.end(), {"-a", address});
    }
    args.insert(args.end(), more.begin(), more.end());
    return args;
}

}

TEST_CASE("request retries with one key, rising attempt numbers, and an honest exit code")
{
    struct Case
    {
        const char *name;
        std::vector<FakeReply> script;
        int exitCode;
        std::size_t calls;
    };
    const auto cases = std::vector<Case>{
        {"answer", {answer}, 0, 1},
        {"refused, then answered", {notRun, answer}, 0, 2},
        {"always refused", {notRun}, 3, 3},
        {"limited, then answered", {limited, limited, answer}, 0, 3},
        {"bad input is not repeated", {badInput}, 3, 1},
        {"a wrong token is not repeated", {unauthorized}, 3, 1},
        {"outcome unknown, then found", {unknown, answer}, 0, 2},
        {"outcome unknown for good", {unknown}, 4, 3},
        {"answer cut off, then found", {broken, answer}, 0, 2},
        {"answer always cut off", {broken}, 4, 3},
        // The second attempt's refusal says nothing about the first attempt, which may have run.
        {"cut off, then refused", {broken, notRun}, 4, 3},
        {"outcome unknown, then bad input", {unknown, badInput}, 4, 2},
        {"an error without a result may have run", {serverError}, 4, 3},
    };
    for (const auto &c : cases) {
        CAPTURE(c.name);
        auto server = FakeServer(c.script);
        auto test = TestEnvironment{};
        test.variables["CATKIN_TOKEN"] = "secret";
        CHECK(test.run(requestArgs({server.address()})) == c.exitCode);
        const auto calls = server.calls();
        REQUIRE(calls.size() == c.calls);
        const auto first = json::parse(calls.front().body);
        for (auto i = std::size_t{0}; i < calls.size(); ++i) {
            const auto body = json::parse(calls[i].body);
            CHECK(body["attempt"] == i + 1);
            CHECK(body["key"] == "key-1");
            CHECK(body["first_sent_ms"] == first["first_sent_ms"]);
            CHECK(calls[i].authorization == "Bearer secret");
        }
    }
}

TEST_CASE("a refused connection moves to the next address and is not counted as an attempt")
{
    auto server = FakeServer({answer});
    auto test = TestEnvironment{};
    CHECK(test.run(requestArgs({closedAddress, server.address()})) == 0);
    CHECK(test.out.str() == "route 7\n");
    REQUIRE(server.calls().size() == 1);
    CHECK(json::parse(server.calls().front().body)["attempt"] == 1);
    CHECK(test.run(requestArgs({closedAddress})) == 5);
}

TEST_CASE("an outcome that was unknown stays unknown when the other addresses cannot be reached")
{
    auto server = FakeServer({broken});
    auto test = TestEnvironment{};
    CHECK(test.run(requestArgs({server.address(), closedAddress}, {"-n", "2"})) == 4);
    CHECK(test.err.str().find("--key key-1 --first-sent-ms") != std::string::npos);
    CHECK(test.err.str().find("--attempt 3") != std::string::npos);
}

TEST_CASE("a key that was sent by an earlier call is not reported as not run")
{
    auto server = FakeServer({notRun});
    auto test = TestEnvironment{};
    CHECK(test.run(requestArgs({server.address()}, {"--key", "k", "--first-sent-ms", "5", "--attempt", "2", "-n", "1"})) == 4);
    CHECK(json::parse(server.calls().front().body)["attempt"] == 2);
    CHECK(test.run(requestArgs({server.address()}, {"--attempt", "2"})) == 2);
}

TEST_CASE("--ticket takes the key from an instance")
{
    auto server = FakeServer({{200, R"({"key":"ticket-9"})"}, answer});
    auto test = TestEnvironment{};
    CHECK(test.run(requestArgs({server.address()}, {"--ticket", "--json"})) == 0);
    REQUIRE(server.calls().size() == 2);
    CHECK(server.calls().front().path == "/v1/tickets");
    CHECK(json::parse(server.calls().back().body)["key"] == "ticket-9");
    CHECK(json::parse(test.out.str())["reply"]["answer"] == "route 7");
}

TEST_CASE("the deadline bounds all attempts together")
{
    auto server = FakeServer({{503, R"({"result":"not_run","retry_after_ms":400})"}});
    auto test = TestEnvironment{};
    CHECK(test.run(requestArgs({server.address()}, {"-d", "1s", "-n", "50"})) == 3);
    CHECK(server.calls().size() <= 3);
    auto left = std::int64_t{1001};
    for (const auto &call : server.calls()) {
        const auto deadline = json::parse(call.body)["deadline_ms"].get<std::int64_t>();
        CHECK(deadline < left);
        left = deadline;
    }
}

#include "cli/testing/fakeserver.h"
#include "cli/testing/testenvironment.h"

#include "cli/table.h"
#include "harness/certificates.h"
#include "harness/tlspeer.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>

using namespace Catkin;
using namespace Catkin::Cli;
using nlohmann::json;

namespace
{

const auto configReply
    = FakeReply{200,
                R"({"version":4,"document":{"format":1,"workspaces":[{"name":"patrol","weight":2,"guarantees":[{"domain":"las-lenas","slots":8,"count":2}]}],
                  "kinds":[{"name":"check","mode":"request"}],"services":[{"name":"fit","workspace":"patrol","kinds":["check"]}]}})"};
const auto submitArgs = Arguments{"submit", "-w", "patrol", "-c", "c", "-k", "mold", "-t", "4", "--adjacency", "rack", "--restartable"};

auto with(Arguments args, const std::string &address, const Arguments &more = {}) -> Arguments
{
    args.insert(args.end(), {"-a", address});
    args.insert(args.end(), more.begin(), more.end());
    return args;
}

}

// Guards against a token that goes to another server, and against a message that does not say what to correct.
TEST_CASE("https addresses are verified, and a failed verification is unreachable and says why")
{
    auto made = TestCertificates{};
    const auto good = TlsPeer{made.issue("good", {.ip = "127.0.0.1"}), {.answer = "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"jobs\":[]}"}};
    const auto named = TlsPeer{made.issue("named", {.dns = "entry.example"}), {.answer = "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"jobs\":[]}"}};
    const auto plain = FakeServer{{{.body = "{\"jobs\":[]}"}}};
    struct Case
    {
        std::string name;
        std::vector<std::string> args;
        ExitCode code;
        std::string message;
    };
    for (const auto &it : std::vector<Case>{
             {"accepted", {"-a", good.address(), "--ca", made.ca()}, ExitCode::Ok, ""},
             {"accepted by name", {"-a", named.address(), "--ca", made.ca(), "--server-name", "entry.example"}, ExitCode::Ok, ""},
             {"no CA", {"-a", good.address()}, ExitCode::Usage, "needs --ca"},
             {"CA file missing", {"-a", good.address(), "--ca", made.path("none")}, ExitCode::Usage, "cannot be read"},
             {"CA for a plain address", {"-a", plain.address(), "--ca", made.ca()}, ExitCode::Usage, "no address begins with https://"},
             {"another CA", {"-a", good.address(), "--ca", made.ca("other")}, ExitCode::Unreachable, "not signed by a known CA"},
             {"wrong number", {"-a", named.address(), "--ca", made.ca()}, ExitCode::Unreachable, "only for entry.example"},
             {"plain server", {"-a", "https://" + plain.address(), "--ca", made.ca()}, ExitCode::Unreachable, "TLS"},
         }) {
        CAPTURE(it.name);
        auto test = TestEnvironment{};
        auto args = Arguments{"jobs"};
        args.insert(args.end(), it.args.begin(), it.args.end());
        CHECK(test.run(args) == static_cast<int>(it.code));
        CHECK_MESSAGE(test.err.str().find(it.message) != std::string::npos, test.err.str());
    }
}

TEST_CASE("exit codes follow the reply, because scripts branch on them")
{
    struct Case
    {
        Arguments args;
        std::vector<FakeReply> script;
        int exitCode;
        std::string output; ///< a part of standard output and standard error together
    };
    const auto errors = FakeReply{422, R"({"errors":[{"path":"workspaces[0].weight","message":"must be at least 1"}]})"};
    const auto cases = std::vector<Case>{
        {submitArgs, {{202, R"({"job":"j-1","state":"queued"})"}}, 0, "j-1\n"},
        {submitArgs, {{503, R"({"result":"not_run","reason":"the log is down"})"}}, 3, "the log is down"},
        {submitArgs, {{422, R"({"reason":"no worker has 64 slots"})"}}, 3, "no worker has 64 slots"},
        {submitArgs, {{.broken = true}, {202, R"({"job":"j-1","state":"queued"})"}}, 0, "j-1"},
        {submitArgs, {{504, R"({"result":"outcome_unknown"})"}}, 4, "the key is key-1"},
        {submitArgs, {{.broken = true}}, 4, "the key is key-1"},
        {{"status", "j-1"}, {{200, R"({"job":"j-1","state":"running"})"}}, 0, "running"},
        {{"status", "j-9"}, {{404, R"({"error":"unknown job"})"}}, 1, "unknown job"},
        {{"wait", "j-1"}, {{200, R"({"state":"running"})"}, {200, R"({"state":"succeeded"})"}}, 0, "succeeded"},
        {{"wait", "j-1"}, {{200, R"({"state":"parked"})"}}, 1, "parked"},
        {{"wait", "j-1"}, {{200, R"({"state":"unknown"})"}}, 4, "unknown"},
        {{"wait", "j-1", "--limit", "5s"}, {{200, R"({"state":"running"})"}}, 1, "state: running"},
        {{"cancel", "j-1"}, {{200, R"({"job":"j-1","state":"stopping"})"}}, 0, "stopping"},
        {{"cancel", "j-1"}, {{504, R"({"result":"outcome_unknown","reason":"cancel the job again"})"}}, 4, "cancel the job again"},
        {{"jobs", "--state", "queued"},
         {{200, R"({"jobs":[{"job":"j-1","state":"queued"},{"job":"j-2","state":"running"}]})"}},
         0,
         "job  state\nj-1  queued\n"},
        {{"workspaces"}, {configReply}, 0, "name    weight\npatrol  2\n"},
        {{"guarantees"}, {configReply}, 0, "workspace  count  domain     slots\npatrol     2      las-lenas  8\n"},
        {{"kinds", "--json"}, {configReply}, 0, "\"check\""},
        {{"services"}, {configReply}, 0, "fit"},
        {{"config", "show"}, {configReply}, 0, "version 4"},
        {{"config", "versions"}, {{200, R"({"instances":[{"id":"e-1","version":4}]})"}}, 0, "e-1"},
        {{"validate", "-"}, {{200, R"({"errors":[]})"}}, 0, "is valid"},
        {{"validate", "-"}, {errors}, 6, "workspaces[0].weight: must be at least 1"},
        {{"apply", "-"}, {configReply, {200, R"({"version":5})"}}, 0, "version 5 is accepted"},
        {{"apply", "-"}, {{404, "{}"}, {200, R"({"version":1})"}}, 0, "version 1 is accepted"},
        {{"apply", "-"}, {configReply, errors}, 6, "workspaces[0].weight"},
        {{"apply", "-", "--base", "3"}, {{409, R"({"error":"the version is 4"})"}}, 1, "the version is 4"},
        {{"apply", "-"}, {configReply, {.broken = true}}, 4, "the change on base 4"},
        {{"instances"}, {{401, R"({"error":"unknown token"})"}}, 1, "unknown token"},
        {{"workers"}, {{200, R"({"workers":[{"worker":"w-1","slots":8}]})"}}, 0, "w-1"},
        {{"drain"}, {{202, "{}"}}, 0, "drains"},
        {{"request", "-w", "x"}, {{}}, 2, "Required argument"},
        {{"status", "j-1", "--timeout", "5"}, {{}}, 2, "is not a duration"},
        {{"drain", "-a", "127.0.0.1:2"}, {{}}, 2, "exactly one"},
    };
    for (const auto &c : cases) {
        auto server = FakeServer(c.script);
        auto test = TestEnvironment{};
        test.in.str(R"({"format":1})");
        const auto code = test.run(with(c.args, server.address()));
        const auto output = test.out.str() + test.err.str();
        CAPTURE(c.args.front());
        CAPTURE(output);
        CHECK(code == c.exitCode);
        CHECK(output.find(c.output) != std::string::npos);
    }
}

TEST_CASE("every subcommand has help, and reports an unreachable instance as such")
{
    auto test = TestEnvironment{};
    for (const auto &group : {requestCommands(), jobCommands(), configCommands(), fleetCommands(), reportCommands()}) {
        for (const auto &command : group) {
            CHECK(test.run({command.name, "--help"}) == 0);
            CHECK(test.out.str().find(std::string("catkinctl ") + command.name) != std::string::npos);
        }
    }
    for (const auto &args : std::vector<Arguments>{submitArgs, {"status", "j"}, {"wait", "j"}, {"kinds"}, {"apply", "-"}, {"queues"}, {"drain"}, {"slo"}}) {
        test.in.str("{}");
        CHECK(test.run(with(args, closedAddress)) == 5);
    }
    CHECK(test.run({"jobs"}) == 2);
    CHECK(test.run({"jobs", "-a", "localhost:80"}) == 2);
    CHECK(test.run({"nonsense"}) == 2);
    CHECK(test.run({}) == 2);
}

TEST_CASE("replies of an unexpected form never count as success of a change, and never end the program")
{
    const auto bodies = std::vector<std::string>{"",
                                                 "x",
                                                 "[]",
                                                 "[1]",
                                                 "3",
                                                 "null",
                                                 R"({"version":"x","document":3,"jobs":3,"state":1,"job":1,"errors":[1]})",
                                                 R"({"document":{"workspaces":[3],"kinds":3,"services":{"a":1}},"objectives":[3],"workers":[[1]]})"};
    for (const auto &group : {requestCommands(), jobCommands(), configCommands(), fleetCommands(), reportCommands()}) {
        for (const auto &command : group) {
            auto args = Arguments{command.name};
            const auto name = std::string(command.name);
            if (name == "token-hash") {
                continue;
            }
            if (name == "request" || name == "submit") {
                args.insert(args.end(), {"-w", "w", "-c", "c", "-k", "k"});
            } else if (name == "wait") {
                args.insert(args.end(), {"j", "--limit", "1s"});
            } else if (name == "status" || name == "cancel") {
                args.emplace_back("j");
            } else if (name == "validate" || name == "apply") {
                args.emplace_back("-");
            } else if (name == "config") {
                args.emplace_back("show");
            }
            for (const auto &body : bodies) {
                auto server = FakeServer({{200, body}});
                auto test = TestEnvironment{};
                test.in.str("{}");
                CAPTURE(name);
                CAPTURE(body);
                const auto code = test.run(with(args, server.address()));
                CHECK(code != 2);
                CHECK_FALSE(((name == "request" || name == "submit") && code == 0));
            }
        }
    }
}

TEST_CASE("a payload that is not UTF-8 is refused before anything is sent, instead of being changed")
{
    auto server = FakeServer({FakeReply{}});
    for (const auto *name : {"request", "submit"}) {
        auto test = TestEnvironment{};
        CHECK(test.run(with({name, "-w", "w", "-c", "c", "-k", "k", "-p", "\xff"}, server.address())) == 2);
    }
    CHECK(server.calls().empty());
}

TEST_CASE("the token file is preferred to the variable, and white space at its end is ignored")
{
    auto server = FakeServer({{200, R"({"state":"queued"})"}});
    auto test = TestEnvironment{};
    test.variables = {{"CATKIN_TOKEN", "from the variable"}, {"CATKIN_TOKEN_FILE", "/nonexistent/token"}};
    test.in.str("from the file\n");
    CHECK(test.run(with({"status", "j"}, server.address(), {"--token-file", "-"})) == 0);
    CHECK(server.calls().front().authorization == "Bearer from the file");
    CHECK(test.run(with({"status", "j"}, server.address())) == 2);
}

TEST_CASE("apply sends the version that it read as the base, so that a concurrent change is not overwritten")
{
    auto server = FakeServer({configReply, {200, "{}"}});
    auto test = TestEnvironment{};
    test.variables = {{"CATKIN_OPERATOR_ADDRESS", std::string(closedAddress) + "," + server.address()}, {"CATKIN_OPERATOR_TOKEN", "op"}};
    test.in.str(R"({"version":4,"document":{"format":1}})");
    CHECK(test.run({"apply", "-"}) == 0);
    REQUIRE(server.calls().size() == 2);
    CHECK(server.calls().back().method == "PUT");
    CHECK(server.calls().back().authorization == "Bearer op");
    CHECK(json::parse(server.calls().back().body) == json{{"base", 4}, {"document", {{"format", 1}}}});
}

TEST_CASE("token-hash reads the token from standard input and can generate one")
{
    auto test = TestEnvironment{};
    test.in.str("abc\n");
    CHECK(test.run({"token-hash"}) == 0);
    CHECK(test.out.str() == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad\n");
    CHECK(test.run({"token-hash", "--generate", "--json"}) == 0);
    CHECK(json::parse(test.out.str())["token"] == "key-1key-2");
}

TEST_CASE("job ids are encoded in paths, so that an id cannot address something else")
{
    auto server = FakeServer({{200, "{}"}});
    auto test = TestEnvironment{};
    CHECK(test.run(with({"cancel", "../config?x"}, server.address())) == 0);
    CHECK(server.calls().front().path == "/v1/jobs/..%2Fconfig%3Fx");
}

TEST_CASE("control characters do not reach the terminal")
{
    CHECK(renderTable({"name"}, {{"a\x1b[2Jb"}}) == "name\na?[2Jb\n");
}

TEST_CASE("slo adds instances up, names those that are missing, and writes a plot")
{
    const auto body = R"({"objectives":[{"workspace":"patrol","kind":"check","target_percent":99,"windows":[{"window_ms":300000,"good":90,"total":100}]}]})";
    auto first = FakeServer({{200, body}});
    auto second = FakeServer({{200, body}});
    auto test = TestEnvironment{};
    const auto file = std::filesystem::temp_directory_path() / ("catkinctl_slo_test_" + first.address().substr(10) + ".svg");
    CHECK(test.run({"slo", "--json", "--svg", file.string(), "-a", first.address(), "-a", closedAddress, "-a", second.address()}) == 0);
    const auto window = json::parse(test.out.str())["objectives"][0]["windows"][0];
    CHECK(window["total"] == 200);
    CHECK(window["burn_rate"].get<double>() == doctest::Approx(10));
    CHECK(test.err.str().find("127.0.0.1:1 is missing") != std::string::npos);
    auto text = std::string{};
    std::getline(std::ifstream(file), text);
    CHECK(text.starts_with("<svg "));
    std::filesystem::remove(file);
}

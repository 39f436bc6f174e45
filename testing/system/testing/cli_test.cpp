#include "harness/poll.h"
#include "system/deployment.h"

#include <doctest/doctest.h>

#include <sys/wait.h>

#include <cstdio>
#include <filesystem>
#include <fstream>

using namespace Catkin;
using nlohmann::json;

namespace
{

constexpr auto commandTimeout = Millis{30'000};
constexpr auto lineTimeout = Millis{30'000};

struct Output
{
    int code = -1; ///< exit code; -1 when the process did not end by itself
    std::string text;

    [[nodiscard]] auto body() const -> json
    {
        return json::parse(text, nullptr, false);
    }
};

/// Runs catkinctl with the deployment's tokens.
struct Cli
{
    explicit Cli(Deployment &deployment)
        : site(deployment)
        , folder(std::filesystem::temp_directory_path() / ("catkinctl-test-" + deployment.entry(0).callers.substr(deployment.entry(0).callers.find(':') + 1)))
    {
        std::filesystem::create_directories(folder);
        callerToken = write("caller", Deployment::callerToken());
        operatorToken = write("operator", Deployment::operatorToken());
    }
    ~Cli()
    {
        auto ec = std::error_code{};
        std::filesystem::remove_all(folder, ec);
    }
    Cli(const Cli &) = delete;
    auto operator=(const Cli &) -> Cli & = delete;

    auto write(const std::string &name, const std::string &text) const -> std::string
    {
        auto path = (folder / name).string();
        std::ofstream(path) << text;
        return path;
    }

    auto run(std::vector<std::string> args) const -> Output
    {
        args.insert(args.begin(), binaryPath("catkinctl"));
        auto process = ChildProcess::start(args, (folder / "stderr").string());
        REQUIRE(process);
        process.value()->closeInput();
        auto out = Output{};
        while (const auto line = process.value()->readLine(lineTimeout)) {
            out.text += line.value() + "\n";
        }
        const auto status = process.value()->waitExit(commandTimeout);
        out.code = status && WIFEXITED(*status) ? WEXITSTATUS(*status) : -1;
        return out;
    }

    /// Runs a subcommand of callers with --json.
    auto call(std::vector<std::string> args) const -> Output
    {
        args.insert(args.end(), {"--json", "-a", site.entry(0).callers, "--token-file", callerToken});
        return run(std::move(args));
    }

    /// Runs a subcommand of operators with --json and the addresses of all instances.
    auto operate(std::vector<std::string> args) const -> Output
    {
        args.insert(args.end(), {"--json", "--token-file", operatorToken});
        for (auto i = std::size_t{0}; i < site.entryCount(); ++i) {
            args.insert(args.end(), {"-a", site.entry(i).operators});
        }
        return run(std::move(args));
    }

    auto submit(const std::vector<std::string> &options) const -> std::string
    {
        auto args = std::vector<std::string>{"submit", "-w", "patrulla", "-c", "lab", "-k", "simulate"};
        args.insert(args.end(), options.begin(), options.end());
        const auto out = call(args);
        REQUIRE(out.code == 0);
        return out.body().at("job").get<std::string>();
    }

    Deployment &site;
    std::filesystem::path folder;
    std::string callerToken;
    std::string operatorToken;
};

constexpr auto closedAddress = "127.0.0.1:1";

}

TEST_CASE("catkinctl drives a deployment, and each exit code means what docs/cli.md says")
{
    auto site = Deployment{barilocheShape()};
    site.start();
    const auto cli = Cli{site};

    SUBCASE("documents: a wrong base or an invalid document never replaces the one in force")
    {
        auto document = site.document();
        document["workspaces"][0]["weight"] = 33;
        const auto good = cli.write("good.json", document.dump());
        const auto bad = cli.write("bad.json", R"({"format":1,"workspaces":[{"name":"W W"}]})");
        CHECK(cli.operate({"validate", good}).code == 0);
        CHECK(cli.operate({"validate", bad}).code == 6);
        const auto applied = cli.operate({"apply", good});
        CHECK(applied.code == 0);
        CHECK(applied.body()["version"] == 2);
        const auto rejected = cli.operate({"apply", bad});
        CHECK(rejected.code == 6);
        CHECK_FALSE(rejected.body()["errors"].empty());
        CHECK(cli.operate({"apply", good, "--base", "1"}).code == 1);
        CHECK(cli.operate({"apply", cli.write("text", "{")}).code == 6);
        CHECK(cli.operate({"apply", (cli.folder / "missing").string()}).code == 2);
        const auto shown = cli.operate({"config", "show"});
        CHECK(shown.body()["version"] == 2);
        CHECK(shown.body()["document"]["workspaces"][0]["weight"] == 33);
        CHECK(cli.operate({"config", "versions"}).body()["instances"].size() == site.entryCount());
    }

    SUBCASE("requests: refusals are told apart from usage errors and from unreachable instances")
    {
        const auto request = [](const std::string &kind) { return std::vector<std::string>{"request", "-w", "patrulla", "-c", "lab", "-k", kind}; };
        const auto answered = cli.call(request("plan"));
        CHECK(answered.code == 0);
        CHECK(answered.body()["reply"]["result"] == "answer");
        CHECK(cli.call(request("book")).code == 0);
        CHECK(cli.call(request("nothing")).code == 3);
        CHECK(cli.call({"request", "-w", "other", "-c", "lab", "-k", "plan"}).code == 3);
        CHECK(cli.call({"request", "-w", "patrulla", "-c", "two words", "-k", "plan"}).code == 3);
        CHECK(cli.call({"request", "-w", "patrulla"}).code == 2);
        CHECK(cli.run({"request", "-w", "w", "-c", "c", "-k", "k", "-a", closedAddress}).code == 5);
        CHECK(cli.run({"jobs", "-a", closedAddress}).code == 5);
        CHECK(cli.run({"workers", "-a", closedAddress}).code == 5);
        CHECK(cli.run({"nonsense"}).code == 2);
    }

    SUBCASE("jobs: submit, wait, cancel and the lists agree about the same jobs")
    {
        CHECK(cli.call({"submit", "-w", "patrulla", "-c", "lab", "-k", "simulate", "-t", "64", "-s", "32"}).code == 3);
        const auto done = cli.submit({"-t", "2", "-s", "4", "-p", R"({"run_ms":200})"});
        const auto ended = cli.call({"wait", done});
        CHECK(ended.code == 0);
        CHECK(ended.body()["state"] == "succeeded");
        const auto running = cli.submit({"-t", "2", "-s", "8", "--domain", "cerro-catedral", "-p", R"({"run_ms":60000})"});
        REQUIRE(eventually([&] { return cli.call({"status", running}).body()["state"] == "running"; }));
        CHECK(cli.call({"wait", running, "--limit", "100ms"}).code == 1);
        CHECK(eventually([&] { return cli.operate({"leases"}).body()["leases"].size() == 2; }));
        CHECK(cli.operate({"workers"}).body()["workers"].size() == site.workerCount());
        // The gang needs every worker of the failure domain, so it waits.
        // It waits for the running gang; with the guaranteed 8 slots it fits the 32 of the failure domain.
        const auto waiting = cli.submit({"-t", "3", "-s", "8", "--domain", "cerro-catedral", "-p", R"({"run_ms":100})"});
        CHECK(eventually([&] {
            const auto jobs = cli.operate({"queues"}).body()["jobs"];
            return jobs.size() == 1 && jobs[0]["job"] == waiting;
        }));
        CHECK(cli.call({"cancel", waiting}).code == 0);
        CHECK(cli.call({"cancel", running}).code == 0);
        CHECK(cli.call({"wait", waiting}).code == 1);
        const auto stopped = cli.call({"wait", running});
        CHECK(stopped.code == 1);
        CHECK(stopped.body()["state"] == "cancelled");
        CHECK(cli.call({"jobs"}).body()["jobs"].size() == 3);
        CHECK(cli.call({"jobs", "--state", "succeeded"}).body()["jobs"][0]["job"] == done);
        CHECK(cli.call({"status", "unknown"}).code == 1);
        CHECK(cli.call({"cancel", "unknown"}).code == 1);
    }

    SUBCASE("refused calls have the documented status and the failure form, whatever their fault")
    {
        struct Case
        {
            const char *method;
            const char *path;
            std::string body;
            int status;
        };
        const auto cases = std::vector<Case>{
            {"POST", "/v1/requests", "{", 400},
            {"POST", "/v1/requests", R"({"kind":"plan","colour":1})", 400},
            {"POST", "/v1/requests", R"({"kind":"plan","deadline_ms":"1"})", 400},
            {"POST", "/v1/requests", R"({"kind":"plan","attempt":0})", 400},
            {"POST", "/v1/requests", R"({"kind":"simulate"})", 400},
            {"POST", "/v1/requests", R"({"workspace":"other","kind":"plan"})", 403},
            {"POST", "/v1/requests", std::string(std::size_t{2} << 20U, 'x'), 413},
            {"POST", "/v1/tickets", R"({"workspace":"other"})", 403},
            {"POST", "/v1/jobs", R"({"kind":"simulate"})", 400},
            {"POST", "/v1/jobs", R"({"kind":"simulate","key":"k","tasks":65})", 400},
            {"POST", "/v1/jobs", R"({"kind":"simulate","key":"k","tasks":64,"slots_per_task":32})", 422},
            {"POST", "/v1/nothing", "{}", 404},
        };
        for (const auto &it : cases) {
            CAPTURE(it.path);
            CAPTURE(it.body.substr(0, 80));
            const auto reply = site.caller(0, it.method, it.path, it.body, Millis{8'000});
            REQUIRE(reply);
            CHECK(reply.value().status == it.status);
            const auto body = json::parse(reply.value().body, nullptr, false);
            CHECK(body["result"] == "not_run");
            CHECK(body["request_id"].is_string());
            CHECK_FALSE(body["reason"].get<std::string>().empty());
            CHECK(body["retry_after_ms"].is_number_integer());
            CHECK(body["config_version"].is_number_integer());
        }
        for (const auto *path : {"/v1/jobs?limit=x", "/v1/jobs?live=1"}) {
            CHECK(site.caller(0, "GET", path, {}, Millis{8'000}).value().status == 400);
        }
        CHECK(site.caller(0, "GET", "/v1/jobs/unknown", {}, Millis{8'000}).value().status == 404);
        CHECK(site.operate(0, "PUT", "/v1/config", R"({"base":1,"document":{},"more":1})").value().status == 400);
    }

    SUBCASE("lists: every one answers with rows, and the service-level report counts the probe")
    {
        for (const auto *name : {"workspaces", "guarantees", "kinds", "services", "instances", "executors"}) {
            const auto out = cli.operate({name});
            CHECK(out.code == 0);
            CHECK_MESSAGE(out.body()[name].size() > 0, name);
        }
        const auto report = cli.operate({"slo"});
        CHECK(report.code == 0);
        CHECK(report.body()["objectives"][0]["windows"].back()["total"].get<int>() >= 1);
        const auto counters = cli.operate({"slo", "--source", "metrics"});
        CHECK(counters.code == 0);
        CHECK(counters.body()["objectives"][0]["windows"][0]["total"].get<int>() >= 1);
    }
}

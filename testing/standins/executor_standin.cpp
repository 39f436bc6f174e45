// Stand-in of an executor; docs/interfaces.md describes its interface.

#include "standins/standinargs.h"

#include "util/digest.h"

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <thread>

using namespace Catkin;
using nlohmann::json;

namespace
{

struct Executor
{
    explicit Executor(std::size_t threads)
        : server(threads)
    {
    }

    FaultServer server;
    int slots = 8;
    int maxConnections = 64;
    int defaultBusyMs = 10;
    std::map<std::string, int> busyMsByKind;
    std::atomic<int> busy = 0;
    std::atomic<bool> leaving = false;
    std::atomic<bool> failEverything = false;
    std::mutex mutex;
    std::string lastRequest = "none"; ///< the request that ended before, whose answer a crossed answer carries
    std::string lastAnswer = "{}";
};

/// @return @p payload as a JSON object; an empty one when it is something else.
auto payloadObject(const std::string &payload) -> json
{
    auto parsed = json::parse(payload, nullptr, false);
    return parsed.is_object() ? parsed : json::object();
}

auto intField(const json &object, const char *name, int otherwise) -> int
{
    const auto it = object.find(name);
    return it != object.end() && it->is_number_integer() ? it->get<int>() : otherwise;
}

/// The answer names its payload, so a caller can tell that an answer belongs to its own request.
auto makeAnswer(const std::string &payload, const json &fields) -> std::string
{
    auto answer = json{{"digest", xxh64Hex(payload)}, {"bytes", payload.size()}};
    if (fields.contains("key")) {
        answer["key"] = fields["key"];
    }
    const auto padding = intField(fields, "answer_bytes", 0);
    if (padding > 0) {
        answer["padding"] = std::string(static_cast<std::size_t>(padding), 'x');
    }
    return answer.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto refuse(httplib::Response &res, const std::string &reason) -> void
{
    res.status = 503;
    res.set_header("X-Not-Run", "true");
    res.set_content(json{{"error", reason}}.dump(), "application/json");
}

auto busyMs(const Executor &executor, const std::string &kind, const json &fields) -> int
{
    const auto it = executor.busyMsByKind.find(kind);
    return intField(fields, "busy_ms", it == executor.busyMsByKind.end() ? executor.defaultBusyMs : it->second);
}

auto run(Executor &executor, const httplib::Request &req, httplib::Response &res) -> void
{
    const auto request = req.get_header_value("X-Request-Id");
    const auto kind = req.get_header_value("X-Kind");
    const auto fields = payloadObject(req.body);
    const auto ms = busyMs(executor, kind, fields);
    auto event = json{{"event", "start"},
                      {"request", request},
                      {"kind", kind},
                      {"workspace", req.get_header_value("X-Workspace")},
                      {"digest", xxh64Hex(req.body)},
                      {"leaving", executor.leaving.load()}};
    if (fields.contains("key")) {
        event["key"] = fields["key"];
    }
    executor.server.record(event);
    std::this_thread::sleep_for(std::chrono::milliseconds{ms});
    event["event"] = "end";
    executor.server.record(event);

    auto answer = makeAnswer(req.body, fields);
    auto answeredRequest = request;
    auto digest = xxh64Hex(answer);
    {
        const auto lock = std::lock_guard{executor.mutex};
        const auto own = answer;
        if (executor.server.fault("cross") != nullptr) {
            answeredRequest = executor.lastRequest;
            answer = executor.lastAnswer;
            digest = xxh64Hex(answer);
        } else if (executor.server.fault("cross_body") != nullptr) {
            answer = executor.lastAnswer;
        } else if (executor.server.fault("shorten") != nullptr) {
            answer.resize(answer.size() / 2);
        }
        executor.lastRequest = request;
        executor.lastAnswer = own;
    }
    res.set_header("X-Request-Id", answeredRequest);
    res.set_header("X-Body-Digest", digest);
    res.set_header("X-Cost-Ms", std::to_string(ms));
    res.set_content(answer, "application/json");
    if (executor.failEverything) {
        res.status = 500;
    }
}

auto execute(Executor &executor, const httplib::Request &req, httplib::Response &res) -> void
{
    if (req.get_header_value("X-Request-Id").empty()) {
        badRequest(res, "X-Request-Id is missing");
        return;
    }
    if (++executor.busy > executor.slots) {
        refuse(res, "all slots are busy");
    } else {
        run(executor, req, res);
    }
    --executor.busy;
}

auto health(const Executor &executor, httplib::Response &res) -> void
{
    const auto body = json{{"slots", executor.slots},
                           {"busy", std::min(executor.busy.load(), executor.slots)},
                           {"connections", executor.server.connections()},
                           {"max_connections", executor.maxConnections},
                           {"leaving", executor.leaving.load()}};
    res.set_content(body.dump(), "application/json");
}

auto addRoutes(Executor &executor) -> void
{
    executor.server.route("POST", "/v1/execute", [&](const httplib::Request &req, httplib::Response &res) { execute(executor, req, res); });
    executor.server.route("GET", "/v1/health", [&](const httplib::Request &, httplib::Response &res) { health(executor, res); });
    executor.server.onRefuse([](const httplib::Request &, httplib::Response &res) { refuse(res, "refused by a fault switch"); });
    executor.server.onControl("leaving", [&](const json &value) {
        executor.leaving = value.get<bool>();
        executor.server.record({{"event", executor.leaving ? "leaving" : "staying"}});
    });
    executor.server.onControl("fail_everything", [&](const json &value) { executor.failEverything = value.get<bool>(); });
}

}

auto main(int argc, char **argv) -> int
{
    auto cmd = TCLAP::CmdLine("executor stand-in");
    auto args = StandinArgs(cmd, 24);
    auto slots = TCLAP::ValueArg<int>("", "slots", "requests executed at once", false, 8, "1-64", cmd);
    auto busyDefault = TCLAP::ValueArg<int>("", "busy-ms", "busy time of a request whose payload has no busy_ms", false, 10, "ms", cmd);
    auto busyKinds = TCLAP::MultiArg<std::string>("", "busy", "busy time of one kind", false, "KIND=MS", cmd);
    cmd.parse(argc, argv);

    auto executor = Executor{static_cast<std::size_t>(args.threads.getValue())};
    executor.slots = slots.getValue();
    executor.defaultBusyMs = busyDefault.getValue();
    for (const auto &it : busyKinds.getValue()) {
        const auto equals = it.find('=');
        executor.busyMsByKind[it.substr(0, equals)] = equals == std::string::npos ? 0 : std::atoi(it.c_str() + equals + 1);
    }
    addRoutes(executor);
    return executor.server.run(args.serverOptions());
}

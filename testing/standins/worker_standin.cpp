// Stand-in of a worker; docs/interfaces.md describes its interface.

#include "standins/simulatedworker.h"
#include "standins/standinargs.h"

#include "util/digest.h"

#include <memory>
#include <stdexcept>
#include <thread>
#include <vector>

using namespace Catkin;
using nlohmann::json;

namespace
{

constexpr auto bootBytes = std::size_t{8};

struct Worker
{
    Worker(std::size_t threads, const WorkerSettings &settings)
        : server(threads)
        , simulated(settings, randomHex(bootBytes), [this](json event) { server.record(std::move(event)); })
    {
    }

    FaultServer server;
    std::mutex mutex;
    SimulatedWorker simulated;
};

auto orders(Worker &worker, const httplib::Request &req, httplib::Response &res) -> void
{
    const auto body = json::parse(req.body, nullptr, false);
    const auto lock = std::lock_guard{worker.mutex};
    try {
        const auto [status, answer] = worker.simulated.orders(body, monotonicMs());
        res.status = status;
        res.set_content(answer.dump(-1, ' ', false, json::error_handler_t::replace), "application/json");
    } catch (const json::exception &e) {
        badRequest(res, e.what());
    }
}

auto status(Worker &worker, const httplib::Request &req, httplib::Response &res) -> void
{
    const auto lock = std::lock_guard{worker.mutex};
    if (worker.simulated.tags() && unchanged(worker.simulated.tag(monotonicMs()), req, res)) {
        return;
    }
    res.set_content(worker.simulated.status(monotonicMs()).dump(-1, ' ', false, json::error_handler_t::replace), "application/json");
}

/// Adds a control key that sets one field of the settings.
template<typename T>
auto addSetting(Worker &worker, const std::string &key, T WorkerSettings::*field) -> void
{
    worker.server.onControl(key, [&worker, field](const json &value) {
        const auto converted = value.get<T>();
        const auto lock = std::lock_guard{worker.mutex};
        worker.simulated.configure([&](WorkerSettings &settings) { settings.*field = converted; }, monotonicMs());
    });
}

auto addRoutes(Worker &worker) -> void
{
    worker.server.route("POST", "/v1/orders", [&](const httplib::Request &req, httplib::Response &res) { orders(worker, req, res); });
    worker.server.route("GET", "/v1/status", [&](const httplib::Request &req, httplib::Response &res) { status(worker, req, res); });
    addSetting(worker, "fail_everything", &WorkerSettings::failEverything);
    addSetting(worker, "tags", &WorkerSettings::tags);
    addSetting(worker, "accept_while_leaving", &WorkerSettings::acceptWhileLeaving);
    addSetting(worker, "ignore_stop", &WorkerSettings::ignoreStop);
    addSetting(worker, "usage_lag_ms", &WorkerSettings::usageLagMs);
    addSetting(worker, "checkpoint_ms", &WorkerSettings::checkpointMs);
    worker.server.onControl("leaving", [&](const json &value) {
        const auto leaving = value.get<bool>();
        const auto lock = std::lock_guard{worker.mutex};
        worker.simulated.configure([&](WorkerSettings &settings) { settings.leaving = leaving; }, monotonicMs());
        worker.server.record({{"event", leaving ? "leaving" : "staying"}});
    });
    worker.server.onControl("clock_rate", [&](const json &value) {
        const auto rate = value.get<double>();
        if (rate < 0.5 || rate > 2.0) {
            throw std::invalid_argument("clock_rate is not 0.5 to 2");
        }
        const auto lock = std::lock_guard{worker.mutex};
        worker.simulated.configure([&](WorkerSettings &settings) { settings.clockRate = rate; }, monotonicMs());
    });
    worker.server.onControl("restart", [&](const json &) {
        const auto lock = std::lock_guard{worker.mutex};
        worker.simulated.restart(randomHex(bootBytes), monotonicMs());
    });
    worker.server.beforeHistory([&] {
        const auto lock = std::lock_guard{worker.mutex};
        worker.simulated.advance(monotonicMs());
    });
}

/// A worker of a process that holds several.
struct Member
{
    std::string id;
    std::string rack;
    int port = 0;
    std::unique_ptr<Worker> worker;
};

auto listMembers(const std::vector<Member> &members) -> std::string
{
    auto out = json::array();
    for (const auto &it : members) {
        out.push_back({{"id", it.id}, {"rack", it.rack}, {"address", "127.0.0.1:" + std::to_string(it.port)}});
    }
    return out.dump();
}

/// Runs several workers in one process, each on a port of its own; the first one's port is the process's.
auto runMany(int count, int perRack, int threads, const WorkerSettings &settings, const FaultServerOptions &options) -> int
{
    auto members = std::vector<Member>(static_cast<std::size_t>(count));
    for (auto i = std::size_t{1}; i < members.size(); ++i) {
        auto own = settings;
        own.worker += "-" + std::to_string(i);
        own.rack += "-" + std::to_string(static_cast<int>(i) / perRack);
        members[i] = {.id = own.worker, .rack = own.rack, .worker = std::make_unique<Worker>(static_cast<std::size_t>(threads), own)};
        addRoutes(*members[i].worker);
        members[i].port = members[i].worker->server.bind({});
        if (members[i].port <= 0) {
            return 1;
        }
        std::thread([&server = members[i].worker->server] { server.serve(); }).detach();
    }
    auto own = settings;
    own.worker += "-0";
    own.rack += "-0";
    auto first = Worker(static_cast<std::size_t>(threads), own);
    addRoutes(first);
    members[0] = {.id = own.worker, .rack = own.rack, .port = first.server.bind(options)};
    if (members[0].port <= 0) {
        return 1;
    }
    first.server.onControlRead("workers", [text = listMembers(members)] { return text; });
    return first.server.start(options);
}

}

auto main(int argc, char **argv) -> int
{
    const auto defaults = WorkerSettings{};
    auto cmd = TCLAP::CmdLine("worker stand-in");
    auto args = StandinArgs(cmd, 16);
    auto id = TCLAP::ValueArg<std::string>("", "id", "worker id", false, defaults.worker, "id", cmd);
    auto rack = TCLAP::ValueArg<std::string>("", "rack", "rack id", false, defaults.rack, "id", cmd);
    auto domain = TCLAP::ValueArg<std::string>("", "domain", "failure domain", false, defaults.domain, "id", cmd);
    auto slots = TCLAP::ValueArg<int>("", "slots", "slots", false, defaults.slots, "1-32", cmd);
    auto runMs = TCLAP::ValueArg<std::int64_t>("", "run-ms", "run time of a task whose payload has no run_ms", false, defaults.defaultRunMs, "ms", cmd);
    auto count = TCLAP::ValueArg<int>("", "count", "workers in this process; ids and racks then get numbers", false, 0, "0-200", cmd);
    auto perRack = TCLAP::ValueArg<int>("", "per-rack", "workers of a rack, with --count", false, 8, "1-200", cmd);
    cmd.parse(argc, argv);

    const auto settings = WorkerSettings{
        .worker = id.getValue(), .rack = rack.getValue(), .domain = domain.getValue(), .slots = slots.getValue(), .defaultRunMs = runMs.getValue()};
    if (count.getValue() > 0) {
        return runMany(count.getValue(), perRack.getValue(), args.threads.getValue(), settings, args.serverOptions());
    }
    auto worker = Worker(static_cast<std::size_t>(args.threads.getValue()), settings);
    addRoutes(worker);
    return worker.server.run(args.serverOptions());
}

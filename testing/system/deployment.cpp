#include "system/deployment.h"

#include "harness/poll.h"
#include "history/reader.h"
#include "util/digest.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace Catkin
{

namespace
{

using nlohmann::json;

constexpr auto callerTokenText = "caller-token-of-the-test";
constexpr auto neighbourToken = "neighbour-token-of-the-test";
constexpr auto operatorTokenText = "operator-token-of-the-test";
constexpr auto peerKey = "0123456789abcdef0123456789abcdef";
constexpr auto startTimeout = Millis{20'000};

template<typename T>
auto take(Result<T> result, const std::string &what) -> T
{
    if (!result) {
        throw std::runtime_error(what + ": " + result.error().message);
    }
    return std::move(result).value();
}

auto toResult(const std::string &name) -> CallResult
{
    if (name == "answer") {
        return CallResult::Answer;
    }
    return name == "not_run" ? CallResult::NotRun : CallResult::OutcomeUnknown;
}

auto exchange(const std::string &address, const std::string &token, const std::string &method, const std::string &path, const std::string &body, Millis timeout)
    -> Result<HttpReply>
{
    return httpExchange(
        {.address = address, .method = method, .path = path, .headers = {{"Authorization", std::string("Bearer ") + token}}, .body = body, .timeout = timeout});
}

}

auto barilocheShape() -> DeploymentShape
{
    return {
        .domains
        = {{.name = "cerro-catedral", .region = "patagonia-norte"}, {.name = "las-lenas", .region = "cuyo", .entries = 1, .executors = 1, .workers = 2}},
        .workspace = "patrulla",
    };
}

auto revisionesShape() -> DeploymentShape
{
    return {
        .domains = {{.name = "oviedo", .region = "cantabrico"}, {.name = "burgos", .region = "meseta", .entries = 1, .executors = 1, .workers = 2}},
        .workspace = "centralita",
    };
}

Deployment::Deployment(DeploymentShape shape)
    : m_shape(std::move(shape))
    , m_folder(std::filesystem::temp_directory_path() / ("catkinworks-test-" + randomHex(8)))
{
    std::filesystem::create_directories(m_folder);
}

Deployment::~Deployment()
{
    m_entries.clear();
    m_executors.clear();
    m_workers.clear();
    m_ways.clear();
    m_lists.clear();
    m_logRelay.reset();
    m_platformRelay.reset();
    m_platform.reset();
    if (std::getenv("CATKIN_KEEP_LOGS") == nullptr) {
        auto ec = std::error_code{};
        std::filesystem::remove_all(m_folder, ec);
    }
}

auto Deployment::start() -> void
{
    m_platform = take(startStandin("platform_standin", {"--threads", "128"}), "platform");
    m_platformRelay = std::make_unique<Relay>(m_platform->port(), m_shape.platformDelay);
    // A relay accepts connections before it knows whether it can pass them on, so that a cut behind it does not refuse
    // them; it is there only if it is needed.
    if (m_shape.logDelay > Millis{0}) {
        m_logRelay = std::make_unique<Relay>(m_platformRelay->port(), m_shape.logDelay);
    }
    for (const auto &domain : m_shape.domains) {
        for (auto i = 0; i < domain.executors; ++i) {
            m_executors.push_back({.id = domain.name + "-ex-" + std::to_string(i), .domain = domain.name, .process = nullptr});
        }
        if (domain.sharedWorkers) {
            startSharedWorkers(domain);
        }
        for (auto i = 0; i < domain.workers && !domain.sharedWorkers; ++i) {
            const auto rack = domain.name + "-r-" + std::to_string(i / domain.workersPerRack);
            m_workers.push_back({.id = domain.name + "-w-" + std::to_string(i), .domain = domain.name, .process = nullptr, .rack = rack});
        }
        for (auto i = 0; i < domain.entries; ++i) {
            m_entries.push_back({.id = domain.name + "-e-" + std::to_string(i), .domain = domain.name, .region = domain.region, .process = nullptr});
        }
    }
    if (m_shape.relays) {
        makeRelays();
    }
    std::for_each(m_executors.begin(), m_executors.end(), [this](auto &it) { startExecutor(it); });
    for (auto &it : m_workers) {
        if (!it.process) {
            startWorker(it);
        }
    }
    registerAll();
    for (auto i = std::size_t{0}; i < m_entries.size(); ++i) {
        startEntry(i);
    }
    const auto body = json{{"base", 0}, {"document", document()}}.dump();
    const auto applied = eventually([&] {
        const auto reply = operate(0, "PUT", "/v1/config", body);
        return reply && (reply.value().status == 200 || reply.value().status == 409);
    });
    if (!applied) {
        throw std::runtime_error("the configuration was not accepted");
    }
    for (auto i = std::size_t{0}; i < m_entries.size(); ++i) {
        if (!waitReady(i)) {
            throw std::runtime_error(m_entries[i].id + " did not become ready");
        }
    }
    for (auto i = std::size_t{0}; i < m_entries.size(); ++i) {
        if (!waitMesh(i)) {
            throw std::runtime_error(m_entries[i].id + " does not see its peers");
        }
    }
    // A request that is answered shows that the executors have been polled.
    if (!eventually([&] { return request(0, {.kind = "plan", .payload = R"({"key":"probe"})"}).result == CallResult::Answer; })) {
        throw std::runtime_error("no request was answered");
    }
}

auto Deployment::startSharedWorkers(const DomainShape &domain) -> void
{
    const auto slots = std::to_string(m_shape.slots);
    auto process = take(startStandin("worker_standin",
                                     {"--count",
                                      std::to_string(domain.workers),
                                      "--per-rack",
                                      std::to_string(domain.workersPerRack),
                                      "--id",
                                      domain.name + "-w",
                                      "--rack",
                                      domain.name + "-r",
                                      "--domain",
                                      domain.name,
                                      "--slots",
                                      slots,
                                      "--threads",
                                      "2"}),
                        domain.name + " workers");
    for (const auto &it : json::parse(take(readControl(*process, "workers"), domain.name + " workers"))) {
        const auto address = it["address"].get<std::string>();
        m_sharedWorkers.push_back({.id = it["id"], .domain = domain.name, .rack = it["rack"], .address = address});
        if (!domain.workerTags) {
            (void)take(httpExchange({.address = address, .method = "POST", .path = "/control", .body = R"({"tags":false})"}), address);
        }
    }
    m_workers.push_back({.id = domain.name + "-w", .domain = domain.name, .process = std::move(process)});
}

auto Deployment::startExecutor(ServerProcess &server) -> void
{
    server.historyFile = m_folder + "/" + server.id + "-" + std::to_string(++m_historyFiles) + ".history";
    server.process
        = take(startStandin("executor_standin", {"--busy-ms", std::to_string(m_shape.executorBusyMs), "--threads", "72", "--history-file", server.historyFile}),
               server.id);
    retarget(server.id, server.process->port());
}

auto Deployment::startWorker(ServerProcess &server) -> void
{
    server.historyFile = m_folder + "/" + server.id + "-" + std::to_string(++m_historyFiles) + ".history";
    server.process = take(startStandin("worker_standin",
                                       {"--id",
                                        server.id,
                                        "--rack",
                                        server.rack,
                                        "--domain",
                                        server.domain,
                                        "--slots",
                                        std::to_string(m_shape.slots),
                                        "--history-file",
                                        server.historyFile}),
                          server.id);
    retarget(server.id, server.process->port());
}

auto Deployment::regionOf(const std::string &domain) const -> std::string
{
    const auto it = std::find_if(m_shape.domains.begin(), m_shape.domains.end(), [&](const auto &shape) { return shape.name == domain; });
    return it == m_shape.domains.end() ? std::string{} : it->region;
}

auto Deployment::makeRelays() -> void
{
    for (const auto &from : m_shape.domains) {
        const auto add = [&](const std::string &id, const std::string &domain, int port) {
            const auto delay = regionOf(domain) == from.region ? Millis{0} : m_shape.regionDelay;
            m_ways[{from.name, id}] = std::make_unique<Relay>(port, delay);
        };
        m_lists[from.name] = take(startStandin("platform_standin"), "instance list");
        add("log", m_shape.domains.front().name, logRelay().port());
        add("list", m_shape.domains.front().name, m_lists[from.name]->port());
        for (const auto &it : m_executors) {
            add(it.id, it.domain, 0);
        }
        for (const auto &it : m_workers) {
            add(it.id, it.domain, 0);
        }
        for (const auto &it : m_entries) {
            add(it.id, it.domain, 0);
        }
    }
}

auto Deployment::logRelay() -> Relay &
{
    return m_shape.logDelay > Millis{0} ? *m_logRelay : *m_platformRelay;
}

auto Deployment::retarget(const std::string &id, int port) -> void
{
    for (auto &[way, relay] : m_ways) {
        if (way.second == id) {
            relay->setTarget(port);
        }
    }
}

auto Deployment::ways(const std::string &from, WayTo role, const std::string &to) -> std::vector<Relay *>
{
    auto out = std::vector<Relay *>{};
    const auto add = [&](const std::string &id) { out.push_back(m_ways.at({from, id}).get()); };
    const auto addOf = [&](const auto &servers) {
        for (const auto &it : servers) {
            if (it.domain == to) {
                add(it.id);
            }
        }
    };
    switch (role) {
    case WayTo::Entry:
        addOf(m_entries);
        break;
    case WayTo::Executor:
        addOf(m_executors);
        break;
    case WayTo::Worker:
        addOf(m_workers);
        break;
    case WayTo::Platform:
        add("log");
        add("list");
        break;
    }
    return out;
}

auto Deployment::separate(const std::string &a, const std::string &b, RelayMode mode) -> void
{
    for (const auto &[from, to] : {std::pair{a, b}, std::pair{b, a}}) {
        for (const auto role : {WayTo::Entry, WayTo::Executor, WayTo::Worker}) {
            for (auto *it : ways(from, role, to)) {
                it->setMode(mode);
            }
        }
    }
}

auto Deployment::isolate(const std::string &domain, RelayMode mode) -> void
{
    for (const auto &it : m_shape.domains) {
        if (it.name != domain) {
            separate(domain, it.name, mode);
        }
    }
}

auto Deployment::killServer(ServerProcess &server) -> void
{
    server.process->signal(SIGKILL);
    (void)server.process->waitExit(startTimeout);
    const auto endMs = historyNowMs();
    retarget(server.id, 0);
    auto file = std::ifstream{server.historyFile};
    const auto text = std::string{std::istreambuf_iterator<char>{file}, {}};
    if (server.rack.empty() ? !readExecutor(server.id, text, endMs, m_lost) : !readWorker(server.id, text, endMs, m_lost)) {
        throw std::runtime_error(server.id + ": the history file cannot be read");
    }
    server.process.reset();
}

auto Deployment::killDomain(const std::string &domain) -> void
{
    for (auto &it : m_entries) {
        if (it.domain == domain && it.process) {
            it.process->signal(SIGKILL);
            (void)it.process->waitExit(startTimeout);
            retarget(it.id, 0);
        }
    }
    for (auto *servers : {&m_executors, &m_workers}) {
        for (auto &it : *servers) {
            if (it.domain == domain && it.process) {
                killServer(it);
            }
        }
    }
}

auto Deployment::startDomain(const std::string &domain) -> void
{
    for (auto &it : m_executors) {
        if (it.domain == domain && !it.process) {
            startExecutor(it);
        }
    }
    for (auto &it : m_workers) {
        if (it.domain == domain && !it.process) {
            startWorker(it);
        }
    }
    for (auto i = std::size_t{0}; i < m_entries.size(); ++i) {
        if (m_entries[i].domain == domain) {
            startEntry(i);
        }
    }
}

auto Deployment::registerAll() -> void
{
    registerAt(*m_platform, {});
    for (auto &[domain, list] : m_lists) {
        registerAt(*list, domain);
    }
}

auto Deployment::registerAt(ChildProcess &platform, const std::string &viewer) -> void
{
    auto list = json::array();
    const auto address = [&](const std::string &id, const std::string &own) { return viewer.empty() ? own : m_ways.at({viewer, id})->address(); };
    const auto add = [&](const auto &it, const char *role, const json &more) {
        list.push_back({{"id", it.id}, {"role", role}, {"domain", it.domain}, {"region", regionOf(it.domain)}, {"state", "live"}});
        list.back().update(more);
    };
    for (const auto &it : m_executors) {
        if (it.process) {
            add(it, "executor", {{"address", address(it.id, it.process->address())}});
        }
    }
    for (const auto &it : m_sharedWorkers) {
        add(it, "worker", {{"address", it.address}, {"rack", it.rack}, {"slots", m_shape.slots}});
    }
    for (const auto &it : m_workers) {
        if (it.process && !it.rack.empty()) {
            add(it, "worker", {{"address", address(it.id, it.process->address())}, {"rack", it.rack}, {"slots", m_shape.slots}});
        }
    }
    for (const auto &it : m_entries) {
        if (it.process) {
            add(it, "entry", {{"address", it.callers}, {"peer_address", address(it.id, it.peers)}});
        }
    }
    if (const auto done = control(platform, json{{"register", list}}.dump()); !done) {
        throw std::runtime_error("register: " + done.error().message);
    }
}

auto Deployment::writeSettings(const EntryProcess &entry) -> std::string
{
    auto path = m_folder + "/" + entry.id + ".toml";
    const auto log = m_shape.relays ? m_ways.at({entry.domain, "log"})->address() : logRelay().address();
    const auto list = m_shape.relays ? m_ways.at({entry.domain, "list"})->address() : m_platformRelay->address();
    // With relays, regions notice each other's silence within 1.5 s, so that a test sees what follows from it.
    const auto *const peers = m_shape.relays ? "advertise = false\nremote_heartbeat = \"500ms\"\n" : "";
    auto out = std::ofstream{path};
    out << "[instance]\nid = \"" << entry.id << "\"\ndomain = \"" << entry.domain << "\"\nregion = \"" << entry.region << "\"\n"
        << "[listeners]\ncallers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n"
        << "[platform]\nlog = \"" << log << "\"\ninstances = \"" << list << "\"\ntimeout = \"1s\"\n"
        << "[peers]\nkey = \"" << peerKey << "\"\n"
        << peers << "[operators]\ntoken_sha256 = \"" << sha256Hex(operatorTokenText) << "\"\n"
        << "[leases]\n"
        << m_shape.leases << "[drain]\nnotice = \"300ms\"\ntime = \"20s\"\n";
    return path;
}

auto Deployment::startEntry(std::size_t index) -> void
{
    auto &entry = m_entries.at(index);
    entry.errorFile = m_folder + "/" + entry.id + ".log";
    entry.process = take(ChildProcess::start({binaryPath("catkinworksd"), "--settings", writeSettings(entry)}, entry.errorFile), entry.id);
    const auto line = take(entry.process->readLine(startTimeout), entry.id);
    auto callers = 0;
    auto operators = 0;
    auto peers = 0;
    if (std::sscanf(line.c_str(), "listening callers=%d operators=%d peers=%d", &callers, &operators, &peers) != 3) {
        throw std::runtime_error(entry.id + " printed: " + line);
    }
    {
        const auto lock = std::lock_guard{m_addressMutex};
        entry.callers = "127.0.0.1:" + std::to_string(callers);
        entry.operators = "127.0.0.1:" + std::to_string(operators);
        entry.peers = "127.0.0.1:" + std::to_string(peers);
    }
    retarget(entry.id, peers);
    registerAll();
}

auto Deployment::addressOf(std::size_t index, bool operators) -> std::string
{
    const auto lock = std::lock_guard{m_addressMutex};
    const auto &entry = m_entries.at(index);
    return operators ? entry.operators : entry.callers;
}

auto Deployment::waitReady(std::size_t index) -> bool
{
    return eventually([&] {
        const auto reply = operate(index, "GET", "/readyz");
        return reply && reply.value().status == 200;
    });
}

auto Deployment::waitMesh(std::size_t index) -> bool
{
    return eventually([&] {
        const auto reply = operate(index, "GET", "/v1/instances");
        if (!reply || reply.value().status != 200) {
            return false;
        }
        const auto body = json::parse(reply.value().body);
        const auto fresh
            = std::count_if(body["instances"].begin(), body["instances"].end(), [](const json &it) { return it["self"] == true || it["state"] == "fresh"; });
        return static_cast<std::size_t>(fresh) == m_entries.size();
    });
}

auto Deployment::entry(std::size_t index) -> EntryProcess &
{
    return m_entries.at(index);
}

auto Deployment::entryCount() const -> std::size_t
{
    return m_entries.size();
}

auto Deployment::executor(std::size_t index) -> ServerProcess &
{
    return m_executors.at(index);
}

auto Deployment::executorCount() const -> std::size_t
{
    return m_executors.size();
}

auto Deployment::worker(std::size_t index) -> ServerProcess &
{
    return m_workers.at(index);
}

auto Deployment::workerCount() const -> std::size_t
{
    return m_workers.size();
}

auto Deployment::platform() -> ChildProcess &
{
    return *m_platform;
}

auto Deployment::platformRelay() -> Relay &
{
    return *m_platformRelay;
}

auto Deployment::document() const -> json
{
    const auto kind = [](const char *name, const char *mode, bool idempotent) {
        auto out = json{{"name", name}, {"mode", mode}, {"idempotent", idempotent}, {"weight", 1}, {"urgency", "normal"}, {"max_payload_bytes", 65536}};
        if (out["mode"] == "request") {
            out["deadline_ms"] = 4000;
            out["cross_region"] = false;
        }
        return out;
    };
    const auto workspace = [](const std::string &name, const char *token) {
        return json{{"name", name}, {"weight", 10}, {"tokens", json::array({sha256Hex(token)})}, {"urgent_share_percent", 50}, {"guarantees", json::array()}};
    };
    const auto service = [](const std::string &name, const std::string &owner) {
        return json{{"name", name}, {"workspace", owner}, {"kinds", {"plan", "book", "simulate", "mold"}}};
    };
    auto owner = workspace(m_shape.workspace, callerTokenText);
    const auto slots = m_shape.guaranteeSlots > 0 ? m_shape.guaranteeSlots : m_shape.slots;
    owner["guarantees"].push_back({{"domain", m_shape.domains.front().name}, {"slots", slots}, {"count", 1}});
    return {
        {"format", 1},
        {"workspaces", json::array({owner, workspace("vecino", neighbourToken)})},
        {"services", json::array({service("service", m_shape.workspace), service("service-2", "vecino")})},
        {"kinds", json::array({kind("plan", "request", true), kind("book", "request", false), kind("simulate", "job", true), kind("mold", "job", false)})},
        {"objectives", json::array({{{"workspace", m_shape.workspace}, {"kind", "plan"}, {"latency_ms", 1000}, {"target_percent", 99.0}}})},
        {"tolerate", {{"workers", 1}, {"racks", 0}}},
        {"operators", json::array()},
    };
}

auto Deployment::callerToken() -> std::string
{
    return callerTokenText;
}

auto Deployment::operatorToken() -> std::string
{
    return operatorTokenText;
}

auto Deployment::caller(std::size_t index, const std::string &method, const std::string &path, const std::string &body, Millis timeout, bool neighbour)
    -> Result<HttpReply>
{
    return exchange(addressOf(index, false), neighbour ? neighbourToken : callerTokenText, method, path, body, timeout);
}

auto Deployment::operate(std::size_t index, const std::string &method, const std::string &path, const std::string &body) -> Result<HttpReply>
{
    return exchange(addressOf(index, true), operatorTokenText, method, path, body, Millis{8'000});
}

auto Deployment::request(std::size_t index, const RequestParams &params) -> Call
{
    auto body = json{{"kind", params.kind}, {"caller", params.caller}, {"payload", params.payload}};
    if (!params.key.empty()) {
        body["key"] = params.key;
    }
    if (params.firstSentMs > 0) {
        body["first_sent_ms"] = params.firstSentMs;
    }
    if (params.attempt > 0) {
        body["attempt"] = params.attempt;
    }
    if (params.deadlineMs > 0) {
        body["deadline_ms"] = params.deadlineMs;
    }
    auto call = Call{.key = params.key, .idempotent = params.kind == "plan", .payload = params.payload, .sentMs = historyNowMs()};
    const auto reply = caller(index, "POST", "/v1/requests", body.dump(), Millis{8'000});
    if (!reply) {
        return call;
    }
    const auto answer = json::parse(reply.value().body, nullptr, false);
    if (!answer.is_object() || !answer.contains("result")) {
        return call;
    }
    call.result = toResult(answer["result"].get<std::string>());
    call.answer = answer.value("answer", std::string{});
    return call;
}

auto Deployment::submit(std::size_t index, const json &job, bool neighbour) -> std::optional<std::string>
{
    const auto reply = caller(index, "POST", "/v1/jobs", job.dump(), Millis{8'000}, neighbour);
    if (!reply || reply.value().status >= 300) {
        return std::nullopt;
    }
    return json::parse(reply.value().body).at("job").get<std::string>();
}

auto Deployment::jobState(std::size_t index, const std::string &job, bool neighbour) -> std::string
{
    const auto reply = caller(index, "GET", "/v1/jobs/" + job, {}, Millis{3'000}, neighbour);
    if (!reply || reply.value().status != 200) {
        return {};
    }
    return json::parse(reply.value().body).at("state").get<std::string>();
}

auto Deployment::collect(History &history) -> void
{
    history.executions.insert(history.executions.end(), m_lost.executions.begin(), m_lost.executions.end());
    history.runs.insert(history.runs.end(), m_lost.runs.begin(), m_lost.runs.end());
    history.leases.insert(history.leases.end(), m_lost.leases.begin(), m_lost.leases.end());
    history.leaving.insert(history.leaving.end(), m_lost.leaving.begin(), m_lost.leaving.end());
    for (const auto &it : m_executors) {
        if (const auto text = it.process ? fetchHistory(*it.process) : Result<std::string>{failure(ErrorCode::Unavailable, "killed")}; text) {
            readExecutor(it.id, text.value(), historyNowMs(), history);
        }
    }
    for (const auto &it : m_workers) {
        if (const auto text = it.process ? fetchHistory(*it.process) : Result<std::string>{failure(ErrorCode::Unavailable, "killed")}; text) {
            readWorker(it.id, text.value(), historyNowMs(), history);
        }
    }
}

}

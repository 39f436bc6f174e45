#include "world.h"

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>

namespace Review
{

namespace
{

using nlohmann::json;

constexpr auto heartbeatMs = std::int64_t{1'500};
constexpr auto entryHeartbeats = 3;
constexpr auto maxHoldMs = std::int64_t{10'000};
constexpr auto statusOk = 200;
constexpr auto portsEach = 4;
constexpr auto firstName = 11; // of two digits each, so that the names are in the order of the executors
constexpr auto program = "target/bin/catkinworksd";

/// @return whether the port is free at the moment.
auto isFree(int port) -> bool
{
    const auto sock = ::socket(AF_INET, SOCK_STREAM, 0);
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const auto ok = ::bind(sock, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    ::close(sock);
    return ok;
}

/// @return the first of some free ports below the range that the system gives to clients.
auto freePorts(int &next) -> int
{
    while (true) {
        const auto first = next;
        next += portsEach;
        auto ok = true;
        for (auto i = 0; i < portsEach; ++i) {
            ok = ok && isFree(first + i);
        }
        if (ok) {
            return first;
        }
    }
}

auto settingsText(const std::string &name, int port, const std::string &store) -> std::string
{
    const auto at = [&](int offset) { return "\"127.0.0.1:" + std::to_string(port + offset) + "\""; };
    return "node = \"" + name + "\"\nrole = \"scheduler\"\nzone = \"z1\"\nregion = \"r\"\nip = \"127.0.0.1\"\ninternal_ports = [" + std::to_string(port + 2)
           + ", " + std::to_string(port + 3) + "]\nheartbeat_ms = 1500\norders = \"request\"\n[listen]\nfront = " + at(0) + "\nreadiness = " + at(1)
           + "\n[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\nlink_mbps = 1000.0\n[bounds]\ncontact_ms = 4000\nack_ms = 5000\n"
             "drain_ms = 2500\ngrace_s = 6\nconfig_apply_ms = 2500\nmax_stretch_ms = 6000\nmax_hold_ms = "
           + std::to_string(maxHoldMs)
           + "\nstop_grace_ms = 200\ngang_timeout_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nfinish_s = 14\nstatus_s = 120\n[platform]\naddress = \""
           + store + "\"\nform = \"log\"\nrecord_bytes = 262144\ncall_bytes = 2097152\n";
}

auto route(const std::string &name, int priority) -> json
{
    return {{"name", name},
            {"host", "h"},
            {"path_prefix", "/" + name + "/"},
            {"service", "svc"},
            {"priority", priority},
            {"max_attempts", 3},
            {"timeout_ms", 3'000},
            {"stretch", 3.0},
            {"target_runtime_ms", 1'000}};
}

auto tenant(const std::string &name, int guaranteed) -> json
{
    return {{"name", name}, {"api_keys", {"key-" + name}}, {"guaranteed", {{"gpu", guaranteed}}}};
}

/// Three queues by priority. Tenants a and b have guarantees, in all 20 of 32 accelerators.
auto configText() -> std::string
{
    return json{{"version", 1},
                {"routes", {route("urgent", 0), route("q", 1), route("batch", 2)}},
                {"services", {{{"name", "svc"}, {"enforces_capacity", false}}}},
                {"tenants", {tenant("t", 0), tenant("a", 8), tenant("b", 12)}}}
        .dump();
}

}

World::World(const WorldOptions &options)
    : m_options(options)
    , m_record(options.record)
{
    m_store.put("keyed.op", "config", configText());
    for (auto i = 0; i < m_options.executors; ++i) {
        m_executors.push_back(std::make_unique<Executor>("w" + std::to_string(firstName + i), m_options.accelerators, maxHoldMs));
    }
    m_writer = std::thread([this] { writeEntries(); });
    constexpr auto firstPort = 20'000;
    constexpr auto spread = 600;
    constexpr auto portsOfCase = 20;
    auto next = firstPort + static_cast<int>(::getpid()) % spread * portsOfCase;
    for (auto i = 0; i < m_options.instances; ++i) {
        m_ports.push_back(freePorts(next));
        startInstance(static_cast<std::size_t>(i));
    }
}

World::~World()
{
    for (const auto it : m_processes) {
        ::kill(it, SIGKILL);
        ::waitpid(it, nullptr, 0);
    }
    m_stopping = true;
    m_writer.join();
}

auto World::startInstance(std::size_t index) -> void
{
    const auto name = "n" + std::to_string(index + 1);
    const auto file = m_options.folder + "/" + name + ".toml";
    std::ofstream(file) << settingsText(name, m_ports.at(index), m_store.address());
    const auto log = m_options.folder + "/" + name + ".log";
    const auto variable = "CATKINWORKS_CONFIG=" + file;
    const auto pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const auto out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        auto command = std::array{std::string(program), std::string("--platform")};
        auto arguments = std::array<char *, 3>{command[0].data(), command[1].data(), nullptr};
        auto setting = variable;
        auto environment = std::array<char *, 2>{setting.data(), nullptr};
        ::execve(program, arguments.data(), environment.data());
        ::_exit(127);
    }
    m_processes.push_back(pid);
}

/// Executors write their entries; the store removes those of executors that have been silent for three heartbeats.
auto World::writeEntries() -> void
{
    auto borns = std::map<std::string, std::string>{};
    auto wrote = std::map<std::string, std::int64_t>{};
    auto nextBeat = std::map<std::string, std::int64_t>{};
    while (!m_stopping) {
        for (const auto &it : m_executors) {
            const auto now = nowMs();
            const auto text = it->entry();
            if (text) {
                const auto born = json::parse(*text).at("born").dump();
                if (now >= nextBeat[it->id()] || borns[it->id()] != born) {
                    borns[it->id()] = born;
                    wrote[it->id()] = now;
                    nextBeat[it->id()] = now + heartbeatMs;
                    m_store.put("keyed.servers", it->id(), *text);
                }
            } else if (wrote.contains(it->id()) && now - wrote[it->id()] >= heartbeatMs * entryHeartbeats) {
                wrote.erase(it->id());
                m_store.put("keyed.servers", it->id(), "");
            }
        }
        sleepMs(20);
    }
}

auto World::waitReady() -> bool
{
    constexpr auto patienceMs = std::int64_t{60'000};
    const auto deadline = nowMs() + patienceMs;
    while (nowMs() < deadline) {
        auto ready = !m_store.newest("keyed.states", "leader").empty();
        for (const auto it : m_ports) {
            auto client = httplib::Client{"127.0.0.1", it + 1};
            const auto reply = client.Get("/v1/ready");
            ready = ready && reply && reply->status == statusOk;
        }
        if (ready) {
            return true;
        }
        sleepMs(200);
    }
    return false;
}

auto World::call(std::size_t instance, const std::string &method, const std::string &path, const std::string &body, const std::string &tenant) -> Reply
{
    auto client = httplib::Client{"127.0.0.1", m_ports.at(instance)};
    client.set_tcp_nodelay(true);
    constexpr auto limitMs = 3'000;
    client.set_read_timeout(std::chrono::milliseconds{limitMs});
    auto request = httplib::Request{};
    request.method = method;
    request.path = path;
    request.headers = {{"Host", "h"}, {"Api-Key", "key-" + tenant}, {"Deadline-Ms", std::to_string(limitMs)}, {"Content-Type", "application/json"}};
    request.body = body;
    const auto sentMs = nowMs();
    const auto result = client.send(request);
    auto reply = result ? Reply{.status = result->status, .body = result->body} : Reply{};
    note("call sent_ms=" + std::to_string(sentMs) + " to=n" + std::to_string(instance + 1) + " " + method + " " + path
         + " status=" + std::to_string(reply.status) + " body=" + reply.body);
    return reply;
}

auto World::executor(std::size_t index) -> Executor &
{
    return *m_executors.at(index);
}

auto World::front(std::size_t instance) const -> std::pair<std::string, int>
{
    return {"127.0.0.1", m_ports.at(instance)};
}

auto World::executors() const -> std::size_t
{
    return m_executors.size();
}

auto World::instances() const -> std::size_t
{
    return m_ports.size();
}

auto World::runs() -> std::vector<Run>
{
    auto out = std::vector<Run>{};
    for (const auto &it : m_executors) {
        const auto own = it->runs();
        out.insert(out.end(), own.begin(), own.end());
    }
    std::stable_sort(out.begin(), out.end(), [](const Run &a, const Run &b) { return a.beginMs < b.beginMs; });
    return out;
}

auto World::note(const std::string &text) -> void
{
    const auto lock = std::lock_guard{m_recordMutex};
    m_record << nowMs() << " " << text << std::endl;
}

auto World::noteRuns() -> void
{
    for (const auto &it : runs()) {
        note("run task=" + it.task + " run=" + std::to_string(it.number) + " executor=" + it.executor + " begin_ms=" + std::to_string(it.beginMs)
             + " end_ms=" + (it.endMs ? std::to_string(*it.endMs) + " how=" + it.how : std::string("none")));
    }
}

auto jobBody(int tasks, int lengthMs, const TaskOptions &options) -> std::string
{
    auto step = json{{"count", tasks}, {"cpu", 1'000}, {"mem_mb", 1'000}, {"gpu", options.accelerators}, {"estimate_ms", lengthMs}};
    if (options.isLasting) {
        step["long_running"] = true;
    }
    return json{{"spec", "ms=" + std::to_string(lengthMs)}, {"steps", {step}}}.dump();
}

auto isTroubled() -> bool
{
    const auto *text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

auto sleepMs(std::int64_t span) -> void
{
    std::this_thread::sleep_for(std::chrono::milliseconds{span});
}

}

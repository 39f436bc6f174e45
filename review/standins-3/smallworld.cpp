#include "smallworld.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <sstream>
#include <stdexcept>

namespace Catkin::Review
{

namespace
{

using nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

constexpr auto heartbeat = Millis{1'500};
constexpr auto entryHeartbeats = 3;
constexpr auto watchPeriod = std::chrono::milliseconds{50};
constexpr auto restartDelay = std::chrono::milliseconds{500};
constexpr auto endPatience = Millis{3'000};
constexpr auto callTimeout = Millis{3'500};
constexpr auto callLimit = "3000";
constexpr auto storeThreads = std::size_t{24};
constexpr auto kilobytesPerMb = 1'024;
constexpr auto frontPort = ":8521";
constexpr auto readinessPort = ":8523";
constexpr auto statusOk = 200;

auto settingsText(const SmallWorldOptions &options, const std::string &name, const std::string &ip, const std::string &store) -> std::string
{
    auto out = std::ostringstream{};
    out << "node = \"" << name << "\"\nrole = \"scheduler\"\nmachine_class = \"edge\"\nserves = [\"edge\"]\nip = \"" << ip
        << "\"\nzone = \"z1\"\nregion = \"r1\"\ninternal_ports = [7000, 7015]\nbootstrap = true\nheartbeat_ms = 1500\norders = \"request\"\n"
        << "[listen]\nfront = \"" << ip << frontPort << "\"\nreadiness = \"" << ip << readinessPort << "\"\n"
        << "[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = " << options.memoryMb << "\nmax_fds = 4100\nlink_mbps = 1000.0\n"
        << "[bounds]\ncontact_ms = 4000\nack_ms = 5000\ndrain_ms = 2500\ngrace_s = 6\nconfig_apply_ms = 2500\nmax_stretch_ms = 6000\nmax_hold_ms = 10000\n"
        << "stop_grace_ms = 200\ngang_timeout_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nstatus_s = 120\nreclaim_ms = 2700\nrestore_ms = 100\n"
        << "[platform]\naddress = \"" << store << "\"\nform = \"log\"\nrecord_bytes = 262144\n";
    return out.str();
}

/// @return the resident memory of a process in MB; 0 if it cannot be read.
auto memoryOf(pid_t pid) -> int
{
    auto in = std::ifstream{"/proc/" + std::to_string(pid) + "/status"};
    for (auto line = std::string{}; std::getline(in, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::stoi(line.substr(line.find_first_of("0123456789"))) / kilobytesPerMb;
        }
    }
    return 0;
}

}

SmallWorld::SmallWorld(const SmallWorldOptions &options)
    : m_options(options)
    , m_record(options.recordFile)
    , m_store(storeThreads * static_cast<std::size_t>(options.instances))
{
    std::filesystem::create_directories(m_options.folder);
    for (auto i = 1; i <= m_options.workers; ++i) {
        auto process = std::make_unique<Soak::SoakExecutor>("i-" + std::to_string(i), Soak::SoakExecutorOptions{});
        const auto address = json::parse(process->entry()).at("address").get<std::string>();
        const auto port = std::stoi(address.substr(address.find(':') + 1));
        auto proxy = options.firstIsLate && i == 1 ? std::make_unique<LateProxy>(port) : nullptr;
        auto relay = std::make_unique<Relay>(proxy ? proxy->port() : port);
        if (proxy) {
            proxy->keepStarts(true);
        }
        m_executors.push_back({.process = std::move(process), .proxy = std::move(proxy), .relay = std::move(relay), .isDown = options.firstIsLate && i > 1});
        writeEntry(m_executors.back());
    }
    // Loopback addresses of this process alone, so that the ports are free.
    constexpr auto numbers = 200;
    const auto network = "127." + std::to_string(20 + getpid() % numbers) + "." + std::to_string(20 + getpid() / numbers % numbers) + ".";
    for (auto i = 1; i <= m_options.instances; ++i) {
        auto &instance = *m_instances.emplace_back(std::make_unique<Instance>());
        instance.name = "n" + std::to_string(i);
        instance.address = network + std::to_string(i);
        std::ofstream(m_options.folder + "/" + instance.name + ".toml") << settingsText(m_options, instance.name, instance.address, m_store.address());
        startInstance(instance);
    }
    m_watcher = std::thread([this] { watch(); });
}

SmallWorld::~SmallWorld()
{
    m_stopping = true;
    m_watcher.join();
    for (auto &it : m_instances) {
        endInstance(*it);
    }
}

auto SmallWorld::startInstance(Instance &instance) -> void
{
    const auto settings = m_options.folder + "/" + instance.name + ".toml";
    auto child = ChildProcess::start({"/usr/bin/env", "CATKINWORKS_CONFIG=" + settings, m_options.daemon, "--platform"},
                                     m_options.folder + "/" + instance.name + ".err");
    if (!child) {
        throw std::runtime_error(child.error().message);
    }
    instance.process = std::move(child.value());
    record({{"event", "start"}, {"instance", instance.name}});
    const auto log = m_options.folder + "/" + instance.name + "-" + std::to_string(++instance.lives) + ".log";
    instance.output = std::thread([process = instance.process.get(), log] {
        auto out = std::ofstream{log};
        constexpr auto patience = Millis{600'000};
        for (auto line = process->readLine(patience); line; line = process->readLine(patience)) {
            out << line.value() << '\n';
        }
    });
}

auto SmallWorld::endInstance(Instance &instance) -> void
{
    if (instance.process) {
        instance.process->signal(SIGKILL);
        instance.process->waitExit(endPatience);
        instance.output.join();
        instance.process.reset();
    }
}

/// Starts a process again that has ended, and kills one that has exceeded its memory.
auto SmallWorld::watchInstance(Instance &instance) -> void
{
    const auto now = SteadyClock::now();
    if (!instance.process) {
        if (now >= instance.startAt) {
            startInstance(instance);
        }
        return;
    }
    if (instance.process->waitExit(Millis{0})) {
        ++m_ownEnds;
        record({{"event", "ended_by_itself"}, {"instance", instance.name}});
        endInstance(instance);
        instance.startAt = now + restartDelay;
        return;
    }
    const auto used = memoryOf(instance.process->pid());
    m_peakMb = std::max(m_peakMb.load(), used);
    if (used > m_options.memoryMb) {
        ++instance.memoryKills;
        record({{"event", "killed_for_memory"}, {"instance", instance.name}, {"memory_mb", used}, {"limit_mb", m_options.memoryMb}});
        endInstance(instance);
        instance.startAt = now + restartDelay;
    }
}

auto SmallWorld::writeEntry(Executor &executor) -> void
{
    if (!executor.removedAt && !executor.isDown) {
        auto entry = json::parse(executor.process->entry());
        entry["labels"] = {executor.kind, "r1"};
        entry["address"] = executor.relay->address();
        m_store.put("keyed.servers", executor.process->id(), entry.dump());
    }
}

/// The caller holds m_executorsMutex.
auto SmallWorld::find(const std::string &id) -> Executor &
{
    return *std::find_if(m_executors.begin(), m_executors.end(), [&](const Executor &it) { return it.process->id() == id; });
}

auto SmallWorld::loseExecutor(const std::string &id) -> void
{
    const auto lock = std::lock_guard{m_executorsMutex};
    auto &executor = find(id);
    executor.relay->setMode(RelayMode::Silent);
    executor.removedAt = SteadyClock::now() + heartbeat * entryHeartbeats;
    executor.process->vanish();
    record({{"event", "executor_lost"}, {"executor", id}});
}

auto SmallWorld::crashExecutor(const std::string &id, Millis down, const std::string &kind) -> void
{
    {
        const auto lock = std::lock_guard{m_executorsMutex};
        auto &executor = find(id);
        executor.isDown = true;
        executor.relay->setMode(RelayMode::Cut);
        record({{"event", "executor_crashed"}, {"executor", id}});
    }
    std::this_thread::sleep_for(down);
    const auto lock = std::lock_guard{m_executorsMutex};
    auto &executor = find(id);
    executor.process->restart();
    executor.kind = kind;
    executor.isDown = false;
    executor.relay->setMode(RelayMode::Pass);
    record({{"event", "executor_back"}, {"executor", id}, {"kind", kind}});
}

auto SmallWorld::answerInTime() -> void
{
    auto &executor = m_executors.front();
    executor.proxy->keepStarts(false);
    record({{"event", "start_orders_pass_again"}, {"executor", executor.process->id()}, {"kept", executor.proxy->kept()}});
}

auto SmallWorld::carryOutLate() -> void
{
    auto &executor = m_executors.front();
    const auto late = executor.proxy->deliver();
    record({{"event", "kept_start_orders_carried_out"}, {"executor", executor.process->id()}, {"late_ms", late}});
}

auto SmallWorld::listAll() -> void
{
    const auto lock = std::lock_guard{m_executorsMutex};
    for (auto &it : m_executors) {
        it.isDown = false;
        writeEntry(it);
    }
    record({{"event", "executors_joined"}});
}

auto SmallWorld::restartedAt(const std::string &id) -> std::optional<Soak::SteadyTime>
{
    const auto lock = std::lock_guard{m_executorsMutex};
    return find(id).process->restartedAt();
}

auto SmallWorld::executorIds() -> std::vector<std::string>
{
    const auto lock = std::lock_guard{m_executorsMutex};
    auto out = std::vector<std::string>{};
    for (const auto &it : m_executors) {
        out.push_back(it.process->id());
    }
    return out;
}

auto SmallWorld::watch() -> void
{
    auto nextBeat = SteadyClock::now() + heartbeat;
    while (!m_stopping) {
        std::this_thread::sleep_for(watchPeriod);
        for (auto &it : m_instances) {
            watchInstance(*it);
        }
        if (SteadyClock::now() >= nextBeat) {
            nextBeat += heartbeat;
            const auto lock = std::lock_guard{m_executorsMutex};
            for (auto &it : m_executors) {
                writeEntry(it);
            }
        }
        const auto lock = std::lock_guard{m_executorsMutex};
        for (auto &it : m_executors) {
            if (it.removedAt && it.isListed && SteadyClock::now() >= *it.removedAt) {
                it.isListed = false;
                m_store.put("keyed.servers", it.process->id(), "");
                record({{"event", "entry_removed"}, {"executor", it.process->id()}});
            }
        }
    }
}

auto SmallWorld::putConfig(const json &config) -> void
{
    m_store.put("keyed.op", "config", config.dump());
    record({{"event", "config"}, {"config", config}});
}

auto SmallWorld::waitReady(Millis limit) -> bool
{
    const auto deadline = SteadyClock::now() + limit;
    for (const auto &it : m_instances) {
        for (auto isReady = false; !isReady;) {
            if (SteadyClock::now() > deadline) {
                return false;
            }
            auto channel = HttpChannel{it->address + readinessPort};
            const auto reply = channel.exchange({.method = "GET", .path = "/v1/ready", .timeout = Millis{1'000}});
            isReady = reply && reply.value().status == statusOk;
            std::this_thread::sleep_for(watchPeriod);
        }
    }
    return true;
}

auto SmallWorld::call(std::size_t instance, const std::string &method, const std::string &path, const std::string &key, const std::string &body) -> CallAnswer
{
    auto channel = HttpChannel{m_instances.at(instance)->address + frontPort};
    const auto sentMs = elapsedMs();
    const auto reply = channel.exchange(
        {.method = method, .path = path, .headers = {{"Host", "h"}, {"Api-Key", key}, {"Deadline-Ms", callLimit}}, .body = body, .timeout = callTimeout});
    auto out = CallAnswer{};
    if (reply) {
        out = {.status = reply.value().status, .body = reply.value().body};
    }
    record({{"event", "call"},
            {"instance", m_instances.at(instance)->name},
            {"sent_ms", sentMs},
            {"method", method},
            {"path", path},
            {"status", out.status},
            {"answer", out.body},
            {"body", body.substr(0, 300)}});
    return out;
}

auto SmallWorld::runsOf(const std::string &prefix) -> std::vector<Soak::Run>
{
    auto out = std::vector<Soak::Run>{};
    const auto lock = std::lock_guard{m_executorsMutex};
    for (const auto &it : m_executors) {
        for (auto &run : it.process->runs()) {
            if (run.task.starts_with(prefix)) {
                out.push_back(std::move(run));
            }
        }
    }
    return out;
}

auto SmallWorld::recordRuns() -> void
{
    for (const auto &it : runsOf("")) {
        const auto toMs = [&](SteadyClock::time_point at) { return std::chrono::duration_cast<Millis>(at - m_begin).count(); };
        record({{"event", "run"},
                {"task", it.task},
                {"run", it.attempt},
                {"executor", it.worker},
                {"begin_ms", toMs(it.begin)},
                {"end_ms", it.end ? json(toMs(*it.end)) : json()},
                {"how", it.how}});
    }
}

auto SmallWorld::record(json line) -> void
{
    line["t_ms"] = elapsedMs();
    const auto lock = std::lock_guard{m_recordMutex};
    m_record << line.dump() << '\n' << std::flush;
}

auto SmallWorld::memoryKills() -> std::vector<int>
{
    auto out = std::vector<int>{};
    for (const auto &it : m_instances) {
        out.push_back(it->memoryKills);
    }
    return out;
}

auto SmallWorld::ownEnds() -> int
{
    return m_ownEnds;
}

auto SmallWorld::peakMemoryMb() -> int
{
    return m_peakMb;
}

auto SmallWorld::elapsedMs() const -> std::int64_t
{
    return std::chrono::duration_cast<Millis>(SteadyClock::now() - m_begin).count();
}

}

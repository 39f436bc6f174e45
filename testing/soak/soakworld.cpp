#include "soak/soakworld.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace Catkin::Soak
{

namespace
{

constexpr auto heartbeat = Millis{1'500};
constexpr auto entryHeartbeats = 3;
constexpr auto writerPeriod = std::chrono::milliseconds{50};
constexpr auto graceTime = Millis{8'000};
constexpr auto restartDelay = std::chrono::milliseconds{300};
constexpr auto callTimeout = Millis{3'000};
/// Connections of an instance to the store: each log that it follows keeps one that waits for records, and appends must not wait behind those.
constexpr auto storeThreads = std::size_t{16};
constexpr auto operatorsLog = "keyed.op";
constexpr auto evacuationKey = "evacuate/";
/// An order without an answer is carried out up to 12 s after it has arrived; its sender counts from when it gave the order up, within 1 s.
constexpr auto unansweredTime = Millis{13'000};

auto settingsText(const SoakOptions &options, const std::string &name, const std::string &ip, const std::string &store) -> std::string
{
    return "node = \"" + name + "\"\nzone = \"z1\"\nip = \"" + ip
           + "\"\ninternal_ports = [7000, 7015]\nheartbeat_ms = 1500\norders = \"request\"\n[listen]\nfront = \"" + ip + ":8521\"\nreadiness = \"" + ip
           + ":8523\"\n[limits]\ncpu_share = 1.0\ncores = 1\n[bounds]\nmax_hold_ms = " + std::to_string(options.lease.count())
           + (options.boundsEvacuations ? "\nevacuate_ms = 5000" : "")
           + "\nstop_grace_ms = 200\ngang_timeout_ms = 3000\ngrace_s = 6\nvisible_ms = 3000\nstatus_s = 600\n[platform]\naddress = \"" + store
           + "\"\nrecord_bytes = 262144\n";
}

}

SoakWorld::SoakWorld(const SoakOptions &options)
    : m_options(options)
    , m_store(std::max(Platform::Testing::StoreStandin::defaultThreads, static_cast<std::size_t>(options.instances) * storeThreads))
{
    std::filesystem::create_directories(m_options.folder);
    writeConfig();
    for (auto i = 0; i < m_options.workers; ++i) {
        addWorker();
    }
    m_writer = std::thread([this] { writeEntries(); });
    for (auto i = 0; i < m_options.instances; ++i) {
        auto &instance = *m_instances.emplace_back(std::make_unique<Instance>());
        instance.name = "n" + std::to_string(i + 1);
        instance.address = m_options.network + "." + std::to_string(i + 1);
        std::ofstream(m_options.folder + "/" + instance.name + ".toml") << settingsText(m_options, instance.name, instance.address, m_store.address());
        m_channels.push_back(std::make_unique<HttpChannel>(instance.address + ":8521"));
        startInstance(instance);
    }
}

SoakWorld::~SoakWorld()
{
    m_stopping = true;
    m_writer.join();
    for (auto &it : m_instances) {
        endInstance(*it, SIGKILL);
    }
}

auto SoakWorld::startInstance(Instance &instance) -> void
{
    const auto settings = m_options.folder + "/" + instance.name + ".toml";
    auto child = ChildProcess::start({"/usr/bin/env", "CATKINWORKS_CONFIG=" + settings, m_options.daemon, "--platform"},
                                     m_options.folder + "/" + instance.name + ".err");
    if (!child) {
        throw std::runtime_error(child.error().message);
    }
    instance.process = std::move(child.value());
    const auto log = m_options.folder + "/" + instance.name + "-" + std::to_string(++instance.lives) + ".log";
    instance.output = std::thread([process = instance.process.get(), log] {
        auto out = std::ofstream{log};
        constexpr auto patience = Millis{3'600'000};
        for (auto line = process->readLine(patience); line; line = process->readLine(patience)) {
            out << line.value() << '\n';
        }
    });
}

auto SoakWorld::endInstance(Instance &instance, int signal) -> void
{
    instance.process->signal(signal);
    if (!instance.process->waitExit(graceTime)) {
        instance.process->signal(SIGKILL);
        instance.process->waitExit(graceTime);
    }
    instance.output.join();
}

auto SoakWorld::restartInstance(std::size_t index, int signal) -> bool
{
    auto &instance = *m_instances.at(index);
    const auto lock = std::unique_lock{instance.busy, std::try_to_lock};
    if (!lock) {
        return false;
    }
    endInstance(instance, signal);
    std::this_thread::sleep_for(restartDelay);
    startInstance(instance);
    return true;
}

auto SoakWorld::isBusy(std::size_t index) -> bool
{
    const auto lock = std::unique_lock{m_instances.at(index)->busy, std::try_to_lock};
    return !lock;
}

auto SoakWorld::freezeInstance(std::size_t index, Millis span) -> bool
{
    auto &instance = *m_instances.at(index);
    const auto lock = std::unique_lock{instance.busy, std::try_to_lock};
    if (!lock) {
        return false;
    }
    const auto begin = std::chrono::steady_clock::now();
    instance.process->signal(SIGSTOP);
    std::this_thread::sleep_for(span);
    instance.process->signal(SIGCONT);
    const auto guard = std::lock_guard{m_mutex};
    m_frozenSpans.push_back({.begin = begin, .end = std::chrono::steady_clock::now()});
    return true;
}

auto SoakWorld::leader() -> std::size_t
{
    const auto text = m_store.newest("keyed.states", "leader");
    const auto holder = text.empty() ? std::string{} : nlohmann::json::parse(text).value("holder", "");
    for (auto i = std::size_t{0}; i < m_instances.size(); ++i) {
        if (m_instances[i]->name == holder) {
            return i;
        }
    }
    return 0;
}

/// The caller holds m_mutex.
auto SoakWorld::makeExecutor(int port, bool isCutOff) -> SoakExecutor &
{
    const auto number = m_executors.size() + 1;
    const auto domain = "z" + std::to_string(1 + (number - 1) % static_cast<std::size_t>(m_options.domains));
    const auto transitSeed = m_options.transitSeed ? std::optional{*m_options.transitSeed + number} : std::nullopt;
    m_executors.push_back(std::make_unique<SoakExecutor>("i-" + std::to_string(number),
                                                         SoakExecutorOptions{.domain = domain,
                                                                             .lease = m_options.lease,
                                                                             .port = port,
                                                                             .isCutOff = isCutOff,
                                                                             .transitSeed = transitSeed,
                                                                             .forgetsWhileWaiting = m_options.forgetsWhileWaiting,
                                                                             .clockSeed = m_options.seed + number,
                                                                             .lateOrders = m_isLatenessOver ? 0 : m_options.lateOrders,
                                                                             .lateSeed = m_options.seed + number}));
    return *m_executors.back();
}

auto SoakWorld::addWorker() -> void
{
    const auto lock = std::lock_guard{m_mutex};
    writeEntry(makeExecutor(0, false));
}

/// The caller holds m_mutex.
auto SoakWorld::writeEntry(SoakExecutor &executor) -> void
{
    if (!executor.goneAt() && !m_removals.contains(executor.id()) && !m_unwritten.contains(executor.id())) {
        m_store.put("keyed.servers", executor.id(), executor.entry());
    }
}

auto SoakWorld::cutAndRestart(std::size_t index, Millis restartAfter, Millis span, bool isListed) -> void
{
    auto *executor = static_cast<SoakExecutor *>(nullptr);
    {
        const auto lock = std::lock_guard{m_mutex};
        executor = m_executors.at(index).get();
        if (executor->goneAt() || m_unwritten.contains(executor->id())) {
            return;
        }
        executor->setCutOff(true);
        if (!isListed) {
            m_unwritten.insert(executor->id());
            m_removals[executor->id()] = std::chrono::steady_clock::now() + heartbeat * entryHeartbeats;
        }
    }
    std::this_thread::sleep_for(restartAfter);
    restartWorker(index, isListed);
    std::this_thread::sleep_for(span - restartAfter);
    const auto lock = std::lock_guard{m_mutex};
    executor->setCutOff(false);
    if (!isListed) {
        m_unwritten.erase(executor->id());
        if (!executor->goneAt()) {
            m_removals.erase(executor->id());
        }
        writeEntry(*executor);
    }
}

auto SoakWorld::isCalm(std::size_t index) -> bool
{
    const auto lock = std::lock_guard{m_mutex};
    auto &executor = *m_executors.at(index);
    return !executor.goneAt() && !executor.isLeaving() && !m_unwritten.contains(executor.id());
}

auto SoakWorld::cutAndCrash(std::size_t index, Millis crashAfter, Millis span, Successor successor) -> void
{
    auto *executor = static_cast<SoakExecutor *>(nullptr);
    {
        const auto lock = std::lock_guard{m_mutex};
        executor = m_executors.at(index).get();
        if (executor->goneAt() || executor->isLeaving() || m_unwritten.contains(executor->id())) {
            return;
        }
        executor->setCutOff(true);
        m_unwritten.insert(executor->id());
        m_removals[executor->id()] = std::chrono::steady_clock::now() + heartbeat * entryHeartbeats;
    }
    std::this_thread::sleep_for(crashAfter);
    executor->vanish();
    if (successor == Successor::None) {
        return;
    }
    auto *next = static_cast<SoakExecutor *>(nullptr);
    const auto show = [&] {
        writeEntry(*next);
        m_successorsShown.try_emplace(executor->id(), std::chrono::steady_clock::now());
    };
    {
        const auto lock = std::lock_guard{m_mutex};
        next = &makeExecutor(executor->port(), true);
        if (successor == Successor::Shown) {
            show();
        } else {
            m_unwritten.insert(next->id());
        }
    }
    std::this_thread::sleep_for(span - crashAfter);
    const auto lock = std::lock_guard{m_mutex};
    next->setCutOff(false);
    m_unwritten.erase(next->id());
    show();
}

auto SoakWorld::endLateness() -> void
{
    const auto lock = std::lock_guard{m_mutex};
    m_isLatenessOver = true;
    for (const auto &it : m_executors) {
        it->endLateness();
    }
}

auto SoakWorld::vanish(std::size_t index) -> void
{
    auto *executor = static_cast<SoakExecutor *>(nullptr);
    {
        const auto lock = std::lock_guard{m_mutex};
        executor = m_executors.at(index).get();
        if (executor->goneAt()) {
            return;
        }
        m_removals[executor->id()] = std::chrono::steady_clock::now() + heartbeat * entryHeartbeats;
    }
    executor->vanish();
}

auto SoakWorld::announceDeparture(std::size_t index, Millis remaining) -> bool
{
    const auto lock = std::lock_guard{m_mutex};
    auto &executor = *m_executors.at(index);
    if (executor.goneAt() || executor.isLeaving() || m_removals.contains(executor.id()) || m_unwritten.contains(executor.id())) {
        return false;
    }
    executor.announceDeparture(remaining);
    writeEntry(executor);
    m_departures[executor.id()] = std::chrono::steady_clock::now();
    return true;
}

auto SoakWorld::leave(std::size_t index) -> void
{
    auto *executor = static_cast<SoakExecutor *>(nullptr);
    {
        const auto lock = std::lock_guard{m_mutex};
        executor = m_executors.at(index).get();
        m_removals[executor->id()] = std::chrono::steady_clock::now() + heartbeat * entryHeartbeats;
    }
    executor->vanish();
    const auto lock = std::lock_guard{m_mutex};
    m_removals[executor->id()] = std::chrono::steady_clock::now();
}

auto SoakWorld::evacuate(const std::string &domain) -> void
{
    m_store.put(operatorsLog, evacuationKey + domain, "{}");
    const auto lock = std::lock_guard{m_mutex};
    m_evacuations.push_back({.domain = domain, .acknowledgedAt = std::chrono::steady_clock::now()});
}

auto SoakWorld::revokeEvacuation(const std::string &domain) -> void
{
    {
        const auto lock = std::lock_guard{m_mutex};
        for (auto &it : m_evacuations) {
            if (it.domain == domain && !it.revokedAt) {
                it.revokedAt = std::chrono::steady_clock::now();
            }
        }
    }
    m_store.put(operatorsLog, evacuationKey + domain, "");
}

auto SoakWorld::restartWorker(std::size_t index, bool isWritten) -> void
{
    const auto lock = std::lock_guard{m_mutex};
    auto &executor = *m_executors.at(index);
    executor.restart();
    if (isWritten) {
        writeEntry(executor);
    }
}

auto SoakWorld::writeEntries() -> void
{
    auto nextBeat = std::chrono::steady_clock::now() + heartbeat;
    while (!m_stopping) {
        std::this_thread::sleep_for(writerPeriod);
        const auto now = std::chrono::steady_clock::now();
        const auto lock = std::lock_guard{m_mutex};
        for (auto it = m_removals.begin(); it != m_removals.end();) {
            if (now >= it->second) {
                m_store.put("keyed.servers", it->first, "");
                it = m_removals.erase(it);
            } else {
                ++it;
            }
        }
        if (now >= nextBeat) {
            nextBeat += heartbeat;
            for (const auto &it : m_executors) {
                writeEntry(*it);
            }
        }
        for (const auto &it : m_executors) {
            it->executeLateOrders();
        }
    }
}

auto SoakWorld::writeConfig() -> void
{
    const auto version = ++m_version;
    const auto route = [](const char *name, int priority) {
        return nlohmann::json{{"name", name},
                              {"host", "h"},
                              {"path_prefix", std::string("/") + name + "/"},
                              {"service", "svc"},
                              {"priority", priority},
                              {"max_attempts", 4},
                              {"timeout_ms", 3'000},
                              {"stretch", 2.0},
                              {"target_runtime_ms", 1'000}};
    };
    const auto text = nlohmann::json{{"version", version},
                                     {"routes", {route("urgent", 0), route("normal", 1), route("batch", 2)}},
                                     {"tenants", {{{"name", "t"}, {"api_keys", {"k"}}, {"guaranteed", {{"gpu", 8}}}}}}}
                          .dump();
    m_store.put(operatorsLog, "config", text);
}

auto SoakWorld::call(std::size_t instance, const std::string &method, const std::string &path, const std::string &body, std::string &answer) -> int
{
    const auto reply = m_channels.at(instance)->exchange(
        {.method = method, .path = path, .headers = {{"Host", "h"}, {"Api-Key", "k"}, {"Deadline-Ms", "2500"}}, .body = body, .timeout = callTimeout});
    answer = reply ? reply.value().body : std::string{};
    return reply ? reply.value().status : 0;
}

auto SoakWorld::history() -> std::vector<Run>
{
    auto out = std::vector<Run>{};
    const auto lock = std::lock_guard{m_mutex};
    for (const auto &it : m_executors) {
        const auto runs = it->runs();
        out.insert(out.end(), runs.begin(), runs.end());
    }
    return out;
}

auto SoakWorld::startOrders() -> std::vector<StartOrder>
{
    auto out = std::vector<StartOrder>{};
    const auto lock = std::lock_guard{m_mutex};
    for (const auto &it : m_executors) {
        const auto orders = it->startOrders();
        out.insert(out.end(), orders.begin(), orders.end());
    }
    return out;
}

auto SoakWorld::evacuations() -> std::vector<Evacuation>
{
    const auto lock = std::lock_guard{m_mutex};
    return m_evacuations;
}

auto SoakWorld::departures() -> std::map<std::string, SteadyTime>
{
    const auto lock = std::lock_guard{m_mutex};
    return m_departures;
}

auto SoakWorld::frozenSpans() -> std::vector<FrozenSpan>
{
    const auto lock = std::lock_guard{m_mutex};
    return m_frozenSpans;
}

/// The caller holds m_mutex.
auto SoakWorld::find(const std::string &worker) -> SoakExecutor *
{
    const auto it = std::find_if(m_executors.begin(), m_executors.end(), [&](const auto &executor) { return executor->id() == worker; });
    return it == m_executors.end() ? nullptr : it->get();
}

auto SoakWorld::successorShownAt(const std::string &worker) -> std::optional<SteadyTime>
{
    const auto lock = std::lock_guard{m_mutex};
    const auto it = m_successorsShown.find(worker);
    return it == m_successorsShown.end() ? std::nullopt : std::optional{it->second};
}

auto SoakWorld::goneAt(const std::string &worker) -> std::optional<SteadyTime>
{
    const auto lock = std::lock_guard{m_mutex};
    auto *executor = find(worker);
    return executor == nullptr ? std::nullopt : executor->goneAt();
}

auto SoakWorld::restartedAt(const std::string &worker) -> std::optional<SteadyTime>
{
    const auto lock = std::lock_guard{m_mutex};
    auto *executor = find(worker);
    return executor == nullptr ? std::nullopt : executor->restartedAt();
}

auto SoakWorld::vanishedWithUnanswered(const std::string &task) -> std::vector<std::string>
{
    auto out = std::vector<std::string>{};
    const auto lock = std::lock_guard{m_mutex};
    for (const auto &it : m_executors) {
        const auto goneAt = it->goneAt();
        const auto startAt = goneAt ? it->unansweredStartAt(task) : std::nullopt;
        if (startAt && *goneAt < *startAt + unansweredTime) {
            out.push_back(it->id());
        }
    }
    return out;
}

auto SoakWorld::indexOf(const std::string &worker) -> std::size_t
{
    const auto lock = std::lock_guard{m_mutex};
    const auto it = std::find_if(m_executors.begin(), m_executors.end(), [&](const auto &executor) { return executor->id() == worker; });
    return static_cast<std::size_t>(it - m_executors.begin());
}

auto SoakWorld::instances() const -> std::size_t
{
    return m_instances.size();
}

auto SoakWorld::liveWorkers() -> std::size_t
{
    const auto lock = std::lock_guard{m_mutex};
    return static_cast<std::size_t>(std::count_if(m_executors.begin(), m_executors.end(), [](const auto &it) { return !it->goneAt(); }));
}

auto SoakWorld::workers() -> std::size_t
{
    const auto lock = std::lock_guard{m_mutex};
    return m_executors.size();
}

auto SoakWorld::store() -> Platform::Testing::StoreStandin &
{
    return m_store;
}

}

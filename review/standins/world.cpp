#include "world.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <iostream>
#include <set>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Review
{

namespace
{

constexpr auto badRequest = 400;
constexpr auto conflict = 409;
constexpr auto failedCondition = 412;
constexpr auto tooLarge = 413;
constexpr auto otherLifetime = 421;
constexpr auto serviceName = "svc";
constexpr auto zoneName = "z1";

auto sleepMs(std::int64_t span) -> void
{
    std::this_thread::sleep_for(std::chrono::milliseconds{span});
}

auto answer(const json &body, int status = 200) -> Response
{
    return {.status = status, .body = body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

auto toNumber(const std::map<std::string, std::string> &query, const char *name, std::int64_t fallback) -> std::int64_t
{
    const auto it = query.find(name);
    return it == query.end() ? fallback : std::stoll(it->second);
}

auto putNumber(std::string &out, std::uint64_t value, unsigned bytes) -> void
{
    constexpr auto bitsPerByte = 8U;
    for (auto i = bytes; i > 0; --i) {
        out.push_back(static_cast<char>((value >> (bitsPerByte * (i - 1))) & 0xffU));
    }
}

auto getLength(const std::string &in, std::size_t at) -> std::size_t
{
    auto out = std::size_t{0};
    for (auto i = std::size_t{0}; i < 4; ++i) {
        out = (out << 8U) | static_cast<unsigned char>(in[at + i]);
    }
    return out;
}

auto encodeBase64(const std::string &in) -> std::string
{
    constexpr auto digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    auto out = std::string{};
    for (auto i = std::size_t{0}; i < in.size(); i += 3) {
        auto group = std::uint32_t{0};
        for (auto k = std::size_t{0}; k < 3; ++k) {
            group = (group << 8U) | (i + k < in.size() ? static_cast<unsigned char>(in[i + k]) : 0U);
        }
        for (auto k = std::size_t{0}; k < 4; ++k) {
            out += i + k > in.size() ? '=' : digits[(group >> (18U - 6U * k)) & 63U];
        }
    }
    return out;
}

/// @return the number behind @p name in a spec, or 0.
auto specNumber(const std::string &spec, const std::string &name) -> std::int64_t
{
    const auto at = spec.find(name + "=");
    return at == std::string::npos ? 0 : std::strtoll(spec.c_str() + at + name.size() + 1, nullptr, 10);
}

/// A checkpoint names the work that it stands for, in milliseconds.
auto checkpointOf(std::int64_t workMs) -> std::string
{
    constexpr auto width = std::size_t{16};
    const auto digits = std::to_string(workMs);
    return std::string(width - digits.size(), '0') + digits;
}

/// @return ID.K.STEP of a work unit.
auto stepOf(const std::string &task) -> std::string
{
    return task.substr(0, task.rfind('.'));
}

auto isOf(const Run &run, const Job &job) -> bool
{
    return run.task.compare(0, job.id.size() + 1, job.id + ".") == 0;
}

}

Record::Record(const std::string &path)
    : m_out(path)
    , m_begin(steadyMs())
{
}

auto Record::line(const std::string &text) -> void
{
    const auto lock = std::lock_guard{m_mutex};
    m_out << now() << " " << text << std::endl;
}

auto Record::now() const -> std::int64_t
{
    return steadyMs() - m_begin;
}

Store::Store(Record &record)
    : m_record(record)
    , m_server(0, [this](const Request &it) { return handle(it); })
{
    m_server.start();
}

auto Store::address() const -> std::string
{
    return m_server.address();
}

auto Store::add(Log &log, std::string key, std::string value) -> void
{
    if (value.empty()) {
        log.newest.erase(key);
    } else {
        log.newest[key] = static_cast<std::int64_t>(log.records.size());
    }
    log.records.emplace_back(std::move(key), std::move(value));
}

auto Store::put(const std::string &topic, const std::string &key, const std::string &value) -> void
{
    const auto lock = std::lock_guard{m_mutex};
    add(m_logs[topic + "/0"], key, value);
    m_changed.notify_all();
}

auto Store::newest(const std::string &topic, const std::string &key) -> std::string
{
    const auto lock = std::lock_guard{m_mutex};
    const auto &log = m_logs[topic + "/0"];
    const auto it = log.newest.find(key);
    return it == log.newest.end() ? std::string{} : log.records[static_cast<std::size_t>(it->second)].second;
}

auto Store::handle(const Request &request) -> Response
{
    if (request.path == "/v1/log-read") {
        return read(request);
    }
    const auto lock = std::lock_guard{m_mutex};
    auto &log = m_logs[request.query.at("topic") + "/" + request.query.at("part")];
    return request.path == "/v1/log-append" ? append(log, request) : request.path == "/v1/log-newest" ? list(log, request) : answer({}, badRequest);
}

auto Store::append(Log &log, const Request &request) -> Response
{
    constexpr auto remembered = std::size_t{5};
    const auto end = static_cast<std::int64_t>(log.records.size());
    const auto &query = request.query;
    auto records = std::vector<std::pair<std::string, std::string>>{};
    for (auto at = std::size_t{0}; at < request.body.size();) {
        const auto length = getLength(request.body, at);
        if (length > recordBytes || request.body.size() > callBytes) {
            const auto name = query.at("topic") + "/" + query.at("part");
            if (++m_refused[name] == 1) {
                m_record.line("store refuses an append to " + name + ": a record of " + std::to_string(length) + " bytes, at most "
                              + std::to_string(recordBytes) + " are allowed");
            }
            return answer({{"reason", "size"}}, tooLarge);
        }
        const auto keyLength = static_cast<std::size_t>(static_cast<unsigned char>(request.body[at + 4]));
        records.emplace_back(request.body.substr(at + 5, keyLength), request.body.substr(at + 5 + keyLength, length - 1 - keyLength));
        at += 4 + length;
    }
    const auto guarded = query.contains("producer");
    const auto epoch = toNumber(query, "epoch", 0);
    const auto sequence = toNumber(query, "seq", 0);
    if (guarded && epoch < log.epoch) {
        return answer({{"reason", "fenced"}}, conflict);
    }
    if (guarded && epoch == log.epoch && !records.empty()) {
        for (const auto &[number, text] : log.answers) {
            if (number == sequence) {
                return {.body = text};
            }
        }
        if (log.sequence >= 0 && sequence != log.sequence + 1) {
            return answer({{"reason", "seq"}, {"seq", log.sequence + 1}}, conflict);
        }
    }
    if (query.contains("at") && toNumber(query, "at", 0) != end) {
        return answer({{"end_offset", end}}, failedCondition);
    }
    if (guarded && epoch > log.epoch) {
        log.epoch = epoch;
        log.sequence = -1;
        log.answers.clear();
    }
    for (auto &[key, value] : records) {
        add(log, std::move(key), std::move(value));
    }
    const auto text = json{{"offset", end}, {"end_offset", log.records.size()}}.dump();
    if (guarded && !records.empty()) {
        log.sequence = sequence;
        log.answers.emplace_back(sequence, text);
        if (log.answers.size() > remembered) {
            log.answers.pop_front();
        }
    }
    m_changed.notify_all();
    return {.body = text};
}

auto Store::read(const Request &request) -> Response
{
    constexpr auto offsetBytes = 8U;
    const auto from = static_cast<std::size_t>(toNumber(request.query, "from", 0));
    const auto limit = static_cast<std::size_t>(toNumber(request.query, "max_kb", 1'024)) << 10U;
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds{toNumber(request.query, "wait_ms", 0)};
    auto lock = std::unique_lock{m_mutex};
    const auto &records = m_logs[request.query.at("topic") + "/" + request.query.at("part")].records;
    m_changed.wait_until(lock, deadline, [&] { return records.size() > from; });
    auto body = std::string{};
    putNumber(body, records.size(), offsetBytes);
    putNumber(body, 0, offsetBytes);
    for (auto i = from; i < records.size() && (i == from || body.size() < limit); ++i) {
        const auto &[key, value] = records[i];
        putNumber(body, 1 + key.size() + value.size(), 4);
        putNumber(body, key.size(), 1);
        body.append(key).append(value);
    }
    return {.body = body, .contentType = "application/octet-stream"};
}

auto Store::list(Log &log, const Request &request) -> Response
{
    constexpr auto maxItems = std::size_t{500};
    constexpr auto maxBytes = std::size_t{1} << 20U;
    const auto after = request.query.find("depends_on");
    auto it = after == request.query.end() ? log.newest.begin() : log.newest.upper_bound(after->second);
    auto items = json::array();
    auto bytes = std::size_t{0};
    for (; it != log.newest.end() && items.size() < maxItems && bytes < maxBytes; ++it) {
        const auto &value = log.records[static_cast<std::size_t>(it->second)].second;
        items.push_back({{"key", it->first}, {"value", encodeBase64(value)}, {"offset", it->second}});
        bytes += value.size();
    }
    return answer({{"items", items}, {"has_more", it != log.newest.end()}, {"end_offset", log.records.size()}});
}

Executor::Executor(ExecutorOptions options, Store &store, History &history, Record &record)
    : m_options(std::move(options))
    , m_store(store)
    , m_history(history)
    , m_record(record)
    , m_server(0, [this](const Request &it) { return handle(it, true); })
{
}

Executor::~Executor()
{
    crash();
}

auto Executor::Life::clock() const -> std::int64_t
{
    return steadyMs() - startedAt;
}

auto Executor::Active::checkpoint() const -> std::string
{
    constexpr auto perCheckpoint = std::int64_t{1'000};
    const auto work = (resumedMs + steadyMs() - beganAt) / perCheckpoint * perCheckpoint;
    return saves && work > 0 ? checkpointOf(work) : std::string{};
}

auto Executor::options() const -> const ExecutorOptions &
{
    return m_options;
}

auto Executor::isUp() -> bool
{
    const auto lock = std::lock_guard{m_mutex};
    return m_life != nullptr;
}

auto Executor::startLife() -> void
{
    auto life = std::make_shared<Life>();
    life->born = unixMs();
    life->startedAt = steadyMs() - 1;
    {
        const auto lock = std::lock_guard{m_mutex};
        m_life = life;
    }
    while (!m_server.start()) {
        sleepMs(10);
    }
    m_record.line("executor " + m_options.id + " is up at " + m_server.address() + " born=" + std::to_string(life->born));
    m_thread = std::thread([this, life] { lifeLoop(life); });
}

auto Executor::crash() -> void
{
    auto life = std::shared_ptr<Life>{};
    {
        const auto lock = std::lock_guard{m_mutex};
        life = std::exchange(m_life, nullptr);
    }
    if (!life) {
        return;
    }
    {
        const auto lock = std::lock_guard{life->mutex};
        life->over = true;
        const auto historyLock = std::lock_guard{m_history.mutex};
        for (const auto &[task, it] : life->running) {
            m_history.runs[it.run].endedAt = m_record.now();
            m_history.runs[it.run].how = "crashed";
            if (it.gang > 0) {
                m_history.gangs[stepOf(task) + "/" + std::to_string(it.number)].broken = true;
            }
        }
        life->running.clear();
    }
    life->changed.notify_all();
    m_server.crash();
    m_thread.join();
}

auto Executor::dropEntry() -> void
{
    m_store.put("keyed.servers", m_options.id, "");
}

auto Executor::setFilter(OrderFilter filter) -> void
{
    const auto lock = std::lock_guard{m_mutex};
    m_filter = std::move(filter);
}

auto Executor::deliver(const Request &request) -> Response
{
    return handle(request, false);
}

auto Executor::handle(const Request &request, bool filtered) -> Response
{
    auto life = std::shared_ptr<Life>{};
    auto filter = OrderFilter{};
    {
        const auto lock = std::lock_guard{m_mutex};
        life = m_life;
        filter = m_filter;
    }
    if (!life) {
        return {.silent = true};
    }
    if (filtered && filter && filter(request)) {
        return {.silent = true};
    }
    const auto instance = request.headers.find("expected-instance");
    if (instance != request.headers.end() && instance->second != m_options.id) {
        return answer({}, otherLifetime);
    }
    const auto body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        return answer({{"clock_ms", life->clock()}}, badRequest);
    }
    const auto lock = std::lock_guard{life->mutex};
    const auto token = body.value("fencing_token", std::int64_t{0});
    if (token < life->token) {
        return answer({{"clock_ms", life->clock()}, {"reason", "fence"}}, conflict);
    }
    life->token = token;
    if (request.path == "/v1/run-start") {
        return start(*life, body);
    }
    return request.path == "/v1/run-stop" ? stop(*life, body) : hold(*life, body);
}

auto Executor::extendLease(Life &life, const json &body) -> void
{
    const auto until = std::min(body.value("until_ms", std::int64_t{0}), life.clock() + maxHoldMs);
    life.leaseUntil = std::max(life.leaseUntil, until);
}

auto Executor::start(Life &life, const json &body) -> Response
{
    const auto task = body.at("task").get<std::string>();
    const auto run = body.at("run").get<int>();
    const auto spec = body.at("spec").get<std::string>();
    const auto name = task + " run=" + std::to_string(run) + " on " + m_options.id;
    if (body.at("until_ms").get<std::int64_t>() <= life.clock()) {
        return answer({{"clock_ms", life.clock()}, {"reason", "late"}}, conflict);
    }
    extendLease(life, body);
    const auto active = life.running.find(task);
    if (active != life.running.end() && active->second.number == run) {
        return answer({{"clock_ms", life.clock()}});
    }
    if (run <= life.highestOver[task]) {
        m_record.line("refused, old: " + name);
        return answer({{"clock_ms", life.clock()}, {"reason", "old"}}, conflict);
    }
    if (active != life.running.end()) {
        finish(life, task, "stopped");
    }
    const auto lock = std::lock_guard{m_history.mutex};
    const auto gang = static_cast<std::size_t>(specNumber(spec, "gang"));
    const auto checkpoint = body.value("checkpoint", std::string{});
    life.running[task] = {.number = run,
                          .beganAt = steadyMs(),
                          .lengthMs = specNumber(spec, "ms"),
                          .gang = gang,
                          .run = m_history.runs.size(),
                          .saves = specNumber(spec, "saves") > 0,
                          .resumedMs = checkpoint.empty() ? 0 : std::stoll(checkpoint)};
    m_history.runs.push_back({.task = task, .number = run, .executor = m_options.id, .beganAt = m_record.now()});
    if (gang > 0) {
        auto &shared = m_history.gangs[stepOf(task) + "/" + std::to_string(run)];
        if (++shared.members == gang) {
            shared.beganAt = steadyMs();
        }
    }
    m_record.line("start: " + name);
    return answer({{"clock_ms", life.clock()}});
}

auto Executor::stop(Life &life, const json &body) -> Response
{
    const auto task = body.at("task").get<std::string>();
    const auto run = body.at("run").get<int>();
    m_record.line("stop order: " + task + " run=" + std::to_string(run) + " on " + m_options.id);
    auto &highest = life.highestOver[task];
    highest = std::max(highest, run);
    const auto active = life.running.find(task);
    if (active != life.running.end() && active->second.number <= run) {
        finish(life, task, "stopped");
    }
    return answer({{"clock_ms", life.clock()}});
}

/// The caller holds the life's mutex.
auto Executor::finish(Life &life, const std::string &task, const std::string &how) -> void
{
    const auto it = life.running.find(task);
    const auto active = it->second;
    life.running.erase(it);
    auto &highest = life.highestOver[task];
    highest = std::max(highest, active.number);
    life.ended.push_back({.number = ++life.ends, .task = task, .run = active.number, .how = how, .saved = active.checkpoint()});
    const auto lock = std::lock_guard{m_history.mutex};
    m_history.runs[active.run].endedAt = m_record.now();
    m_history.runs[active.run].how = how;
    if (active.gang > 0 && how != "done") {
        m_history.gangs[stepOf(task) + "/" + std::to_string(active.number)].broken = true;
    }
    m_record.line("end " + std::to_string(life.ends) + ": " + task + " run=" + std::to_string(active.number) + " on " + m_options.id + " " + how);
    life.changed.notify_all();
}

/// The caller holds the life's mutex. It is released while the call waits for an end.
auto Executor::hold(Life &life, const json &body) -> Response
{
    const auto seen = body.value("seen_upto", std::int64_t{0});
    extendLease(life, body);
    std::erase_if(life.ended, [&](const End &it) { return it.number <= seen; });
    auto lock = std::unique_lock{life.mutex, std::adopt_lock};
    life.changed.wait_for(lock, std::chrono::milliseconds{body.value("wait_ms", 0)}, [&] { return life.over || !life.ended.empty(); });
    lock.release(); // the caller unlocks it
    auto running = json::array();
    for (const auto &[task, it] : life.running) {
        constexpr auto whole = std::int64_t{100};
        const auto percent = it.lengthMs == 0 ? whole : std::min(whole, (it.resumedMs + steadyMs() - it.beganAt) * whole / it.lengthMs);
        running.push_back({task, it.number, it.checkpoint(), percent, 0});
    }
    auto ended = json::array();
    for (const auto &it : life.ended) {
        ended.push_back({it.number, it.task, it.run, it.how, it.saved});
    }
    return answer({{"clock_ms", life.clock()}, {"born", life.born}, {"running", running}, {"ended", ended}});
}

auto Executor::tick(Life &life) -> void
{
    const auto lock = std::lock_guard{life.mutex};
    const auto now = steadyMs();
    auto over = std::vector<std::pair<std::string, std::string>>{};
    for (const auto &[task, it] : life.running) {
        auto begin = it.beganAt;
        if (it.gang > 0) {
            const auto historyLock = std::lock_guard{m_history.mutex};
            const auto &gang = m_history.gangs[stepOf(task) + "/" + std::to_string(it.number)];
            begin = gang.beganAt;
            if (gang.broken) {
                over.emplace_back(task, "broken");
                continue;
            }
            if (begin == 0 && now - it.beganAt >= gangTimeoutMs) {
                over.emplace_back(task, "alone");
                continue;
            }
        }
        if (life.clock() > life.leaseUntil) {
            over.emplace_back(task, "lapsed");
        } else if (begin > 0 && it.lengthMs > 0 && it.resumedMs + now - begin >= it.lengthMs) {
            over.emplace_back(task, "done");
        }
    }
    for (const auto &[task, how] : over) {
        finish(life, task, how);
    }
}

auto Executor::beat(Life &life) -> void
{
    m_store.put("keyed.servers",
                m_options.id,
                json{{"service", serviceName},
                     {"address", m_server.address()},
                     {"zone", zoneName},
                     {"version", "v1"},
                     {"slots", 8},
                     {"state", "ready"},
                     {"capacity", {{"cpu", m_options.cpu}, {"mem_mb", m_options.memory}, {"gpu", m_options.accelerators}}},
                     {"labels", {m_options.kind, m_options.rack}},
                     {"clock_ms", life.clock()},
                     {"born", life.born},
                     {"seq", ++m_sequence}}
                    .dump());
}

auto Executor::lifeLoop(const std::shared_ptr<Life> &life) -> void
{
    auto nextBeat = std::int64_t{0};
    while (!life->over) {
        if (steadyMs() >= nextBeat) {
            beat(*life);
            nextBeat = steadyMs() + heartbeatMs;
        }
        tick(*life);
        sleepMs(10);
    }
}

World::World(const std::string &folder)
    : record(folder + "/record.txt")
    , store(record)
{
    auto name = std::string("/tmp/review-XXXXXX");
    if (::mkdtemp(name.data()) != nullptr) {
        m_folder = name;
    }
    record.line(std::string("trouble=") + (hasTrouble() ? "1" : "0"));
}

World::~World()
{
    endInstances();
    executors.clear();
}

auto World::addExecutor(const ExecutorOptions &options) -> Executor &
{
    auto &executor = executors.emplace_back(options, store, history, record);
    executor.startLife();
    return executor;
}

auto World::setConfig(const json &config) -> void
{
    store.put("keyed.op", "config", config.dump());
    record.line("operator: configuration " + config.dump());
}

auto World::launch(Instance &instance) -> void
{
    const auto pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // the instance ends with the case, however that ends
        const auto out = ::open(instance.log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        ::setenv("CATKINWORKS_CONFIG", instance.settings.c_str(), 1);
        ::execl("target/bin/catkinworksd", "target/bin/catkinworksd", "--platform", nullptr);
        std::_Exit(127);
    }
    instance.pid = pid;
    record.line("instance " + instance.name + " started");
}

auto World::startInstances(int count) -> void
{
    constexpr auto portsEach = 4;
    for (auto i = 1; i <= count; ++i) {
        const auto port = freePorts(portsEach);
        const auto at = [&](int n) { return "127.0.0.1:" + std::to_string(port + n); };
        auto &instance = instances.emplace_back();
        instance.name = "edge-" + std::to_string(i);
        instance.front = at(2);
        instance.settings = m_folder + "/" + instance.name + ".toml";
        instance.log = m_folder + "/" + instance.name + ".log";
        auto out = std::ofstream(instance.settings);
        out << "node = \"" << instance.name << "\"\nrole = \"scheduler\"\nmachine_class = \"edge\"\nserves = [\"edge\"]\nip = \"127.0.0.1\"\n"
            << "zone = \"" << zoneName << "\"\nregion = \"g1\"\ninternal_ports = [" << port << "," << port + 1 << "]\nbootstrap = true\n"
            << "heartbeat_ms = " << heartbeatMs << "\norders = \"request\"\n[listen]\nfront = \"" << instance.front << "\"\nreadiness = \"" << at(3)
            << "\"\n[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\nlink_mbps = 1000.0\n"
            << "[bounds]\nconfig_apply_ms = 2500\nmax_stretch_ms = 6000\nvisible_ms = 3000\ngrace_s = 6\nstatus_s = 120\nstop_grace_ms = 200\n"
            << "gang_timeout_ms = " << gangTimeoutMs << "\nmax_hold_ms = " << maxHoldMs << "\ncancel_ms = 3000\n"
            << "[platform]\naddress = \"" << store.address() << "\"\nform = \"log\"\nrecord_bytes = " << recordBytes << "\n";
        out.close();
        launch(instance);
    }
}

auto World::leader() -> Instance *
{
    const auto text = store.newest("keyed.states", "leader");
    const auto holder = json::parse(text, nullptr, false);
    if (!holder.is_object() || holder.value("kind", 0) == 2) {
        return nullptr;
    }
    for (auto &it : instances) {
        if (it.pid > 0 && it.name == holder.value("holder", std::string{})) {
            return &it;
        }
    }
    return nullptr;
}

auto World::waitReady() -> bool
{
    constexpr auto patienceMs = std::int64_t{20'000};
    const auto deadline = steadyMs() + patienceMs;
    while (steadyMs() < deadline) {
        const auto allReady = std::all_of(instances.begin(), instances.end(), [](const Instance &it) {
            const auto port = std::stoi(it.front.substr(it.front.rfind(':') + 1)) + 1;
            const auto reply = call("127.0.0.1:" + std::to_string(port), "GET", "/v1/ready", {{"Host", "h"}}, "", 500);
            return reply && reply->status == 200;
        });
        if (allReady && leader() != nullptr) {
            record.line("all instances are ready; " + leader()->name + " leads");
            return true;
        }
        sleepMs(50);
    }
    record.line("the instances are not ready");
    return false;
}

auto World::killInstance(Instance &instance, int signal) -> void
{
    record.line("signal " + std::to_string(signal) + " to instance " + instance.name);
    ::kill(instance.pid, signal);
    ::waitpid(instance.pid, nullptr, 0);
    instance.pid = 0;
    record.line("instance " + instance.name + " has ended");
}

auto World::restartInstance(Instance &instance) -> void
{
    launch(instance);
}

auto World::endInstances() -> void
{
    for (auto &it : instances) {
        if (it.pid > 0) {
            ::kill(it.pid, SIGKILL);
            ::waitpid(it.pid, nullptr, 0);
            it.pid = 0;
        }
    }
    if (std::getenv("KEEP_LOGS") == nullptr && !m_folder.empty()) {
        for (const auto &it : instances) {
            ::unlink(it.log.c_str());
            ::unlink(it.settings.c_str());
        }
        ::rmdir(m_folder.c_str());
    }
}

auto World::ask(const std::string &method, const Job &job, Instance *at) -> std::pair<int, std::string>
{
    constexpr auto limitMs = 3'000;
    auto &instance = at == nullptr ? instances.front() : *at;
    const auto reply = call(instance.front,
                            method,
                            job.prefix + job.id,
                            {{"Host", "h.example"}, {"Api-Key", job.key}, {"Deadline-Ms", std::to_string(limitMs)}},
                            method == "POST" ? job.text : std::string{},
                            limitMs);
    const auto status = reply ? reply->status : 0;
    const auto body = reply ? reply->body : std::string{};
    record.line(method + " " + job.id + " at " + instance.name + ": " + std::to_string(status) + " " + body);
    return {status, body};
}

auto World::submit(const Job &job) -> bool
{
    known.push_back(job);
    constexpr auto rounds = 4; // as often as the clients of the site file try again
    for (auto round = 0; round < rounds; ++round) {
        for (auto &it : instances) {
            if (it.pid == 0) {
                continue;
            }
            const auto status = ask("POST", job, &it).first;
            if (status >= 200 && status < 300) {
                return true;
            }
        }
        sleepMs(200);
    }
    record.line("job " + job.id + " was not accepted");
    return false;
}

auto World::doneTasks(const Job &job) -> int
{
    const auto lock = std::lock_guard{history.mutex};
    auto done = std::set<std::string>{};
    for (const auto &it : history.runs) {
        if (isOf(it, job) && it.how == "done") {
            done.insert(it.task);
        }
    }
    return static_cast<int>(done.size());
}

auto World::isIdle(const Job &job) -> bool
{
    struct Room
    {
        std::int64_t cpu = 0;
        std::int64_t memory = 0;
        std::int64_t accelerators = 0;
        std::string kind;
        std::string rack;
    };
    const auto remaining = job.tasks - doneTasks(job);
    if (remaining <= 0) {
        return false;
    }
    auto free = std::map<std::string, Room>{};
    auto all = std::int64_t{0};
    for (auto &it : executors) {
        if (it.isUp()) {
            const auto &options = it.options();
            free[options.id] = {.cpu = options.cpu, .memory = options.memory, .accelerators = options.accelerators, .kind = options.kind, .rack = options.rack};
            all += options.accelerators;
        }
    }
    auto used = std::int64_t{0};
    const auto lock = std::lock_guard{history.mutex};
    for (const auto &run : history.runs) {
        if (!run.how.empty()) {
            continue;
        }
        if (isOf(run, job)) {
            return false;
        }
        const auto spec = std::find_if(known.begin(), known.end(), [&](const Job &it) { return isOf(run, it); });
        if (spec != known.end() && free.contains(run.executor)) {
            free[run.executor].cpu -= spec->cpu;
            free[run.executor].memory -= spec->memory;
            free[run.executor].accelerators -= spec->accelerators;
            used += spec->accelerators;
        }
    }
    auto fits = std::int64_t{0};
    for (const auto &[id, it] : free) {
        if (!job.label.empty() && it.kind != job.label && it.rack != job.label) {
            continue;
        }
        const auto copies = [](std::int64_t need, std::int64_t room) { return need == 0 ? std::int64_t{1'000} : std::max<std::int64_t>(room / need, 0); };
        fits += std::min({copies(job.cpu, it.cpu), copies(job.memory, it.memory), copies(job.accelerators, it.accelerators)});
    }
    return fits >= std::int64_t{2} * remaining && used * 2 < all;
}

auto World::watchIdle(const std::vector<Job> &jobs, std::int64_t spanMs) -> Idle
{
    auto since = std::map<std::string, std::int64_t>{};
    auto worst = Idle{};
    for (const auto end = steadyMs() + spanMs; steadyMs() < end; sleepMs(100)) {
        for (const auto &it : jobs) {
            if (!isIdle(it)) {
                since.erase(it.id);
                continue;
            }
            const auto begin = since.try_emplace(it.id, steadyMs()).first->second;
            if (steadyMs() - begin > worst.longestMs) {
                worst = {.job = it.id, .longestMs = steadyMs() - begin};
            }
        }
    }
    record.line("longest time that a job could run and had nothing running: " + std::to_string(worst.longestMs) + " ms, job " + worst.job);
    return worst;
}

auto makeJob(const std::string &id, int tasks, int accelerators, int lengthMs, const json &more) -> Job
{
    constexpr auto cpuEach = 100;
    constexpr auto memoryEach = 100;
    auto step = json{{"count", tasks}, {"cpu", cpuEach}, {"mem_mb", memoryEach}, {"estimate_ms", lengthMs == 0 ? 1'000 : lengthMs}};
    if (accelerators > 0) {
        step["gpu"] = accelerators;
    }
    const auto fields = more.value("step", json::object());
    step.update(fields);
    auto root = json{{"spec",
                      "ms=" + std::to_string(lengthMs) + (fields.value("gang", false) ? " gang=" + std::to_string(tasks) : "")
                          + (fields.value("checkpointing", false) ? " saves=1" : "")},
                     {"steps", json::array({step})}};
    root.update(more.value("job", json::object()));
    return {.id = id,
            .key = more.value("key", std::string("key-one")),
            .prefix = more.value("prefix", std::string("/q/")),
            .tasks = tasks,
            .cpu = cpuEach,
            .memory = memoryEach,
            .accelerators = accelerators,
            .label = fields.value("required_label", std::string{}),
            .text = root.dump()};
}

auto hasTrouble() -> bool
{
    const auto *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

}

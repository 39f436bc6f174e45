#include "executor.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

namespace Review
{

namespace
{

using nlohmann::json;

constexpr auto stopGraceMs = std::int64_t{100};
constexpr auto statusConflict = 409;
constexpr auto statusOtherLife = 421;
constexpr auto pollPeriod = std::chrono::milliseconds{5};
constexpr auto wholePercent = std::int64_t{99};

/// "ms=N" is the length of the tasks, "then=N" that of tasks of later steps.
auto lengthOf(const std::string &task, const std::string &spec) -> std::int64_t
{
    constexpr auto usual = std::int64_t{1'000};
    const auto read = [&](const std::string &name, std::int64_t otherwise) {
        const auto at = spec.find(name);
        return at == std::string::npos ? otherwise : std::stoll(spec.substr(at + name.size()));
    };
    constexpr auto jobAndOccurrence = 19;
    const auto length = read("ms=", usual);
    return task.substr(jobAndOccurrence, 1) == "0" ? length : read("then=", length);
}

}

auto nowMs() -> std::int64_t
{
    static const auto begin = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begin).count();
}

Executor::Executor(std::string id, int accelerators, std::int64_t maxHoldMs)
    : m_id(std::move(id))
    , m_accelerators(accelerators)
    , m_maxHoldMs(maxHoldMs)
{
    start();
}

Executor::~Executor()
{
    crash();
}

auto Executor::id() const -> const std::string &
{
    return m_id;
}

auto Executor::start() -> void
{
    {
        const auto lock = std::lock_guard{m_mutex};
        m_bornMs = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        m_clockBase = nowMs() - 1;
        m_token = 0;
        m_untilMs = 0;
        m_nextEnd = 1;
        m_sequence = 0;
        m_active.clear();
        m_closed.clear();
        m_ended.clear();
        m_isDark = false;
        m_isUp = true;
    }
    m_server = std::make_unique<HttpServer>(m_port, [this](const ServerRequest &request) {
        return request.path == "/v1/run-start" ? startOrder(request) : request.path == "/v1/run-stop" ? stopOrder(request) : list(request);
    });
    m_port = m_server->port();
}

auto Executor::crash() -> void
{
    {
        const auto lock = std::lock_guard{m_mutex};
        if (!m_isUp && !m_isDark) {
            return;
        }
        endAll("crashed");
        m_isUp = false;
        m_isDark = false;
    }
    m_server.reset();
}

auto Executor::powerOff() -> void
{
    const auto lock = std::lock_guard{m_mutex};
    endAll("crashed");
    m_isUp = false;
    m_isDark = true;
}

/// The caller holds m_mutex.
auto Executor::endAll(const char *how) -> void
{
    advance();
    for (const auto &[task, it] : m_active) {
        m_runs[it.run].endMs = nowMs();
        m_runs[it.run].how = how;
    }
    m_active.clear();
}

auto Executor::entry() -> std::optional<std::string>
{
    const auto lock = std::lock_guard{m_mutex};
    if (!m_isUp) {
        return std::nullopt;
    }
    return json{{"service", "svc"},
                {"address", "127.0.0.1:" + std::to_string(m_port)},
                {"zone", "z1"},
                {"version", "v1"},
                {"slots", 8},
                {"state", "ready"},
                {"capacity", {{"cpu", 32'000}, {"mem_mb", 128'000}, {"gpu", m_accelerators}}},
                {"labels", {"a", "r1"}},
                {"clock_ms", clock()},
                {"born", m_bornMs},
                {"seq", ++m_sequence}}
        .dump();
}

auto Executor::runs() -> std::vector<Run>
{
    const auto lock = std::lock_guard{m_mutex};
    advance();
    return m_runs;
}

auto Executor::openLists() -> int
{
    const auto lock = std::lock_guard{m_mutex};
    return m_openLists;
}

auto Executor::clock() const -> std::int64_t
{
    return nowMs() - m_clockBase;
}

/// The caller holds m_mutex.
auto Executor::finish(const std::string &task, const std::string &how, std::int64_t atMs) -> void
{
    const auto it = m_active.find(task);
    auto &run = m_runs[it->second.run];
    run.endMs = m_clockBase + atMs;
    run.how = how;
    auto &closed = m_closed[task];
    closed = std::max(closed, run.number);
    m_ended.push_back({.number = m_nextEnd++, .run = it->second.run});
    m_active.erase(it);
}

/// The caller holds m_mutex.
auto Executor::advance() -> void
{
    const auto now = clock();
    for (const auto &[task, it] : std::map{m_active}) {
        const auto stop = it.stopMs.value_or(it.doneMs);
        const auto at = std::min({m_untilMs, it.doneMs, stop});
        if (now >= at) {
            finish(task, at == it.doneMs ? "done" : at == m_untilMs ? "lapsed" : "stopped", at);
        }
    }
}

auto Executor::refuse(const char *reason) const -> ServerResponse
{
    return {.status = statusConflict, .body = json{{"clock_ms", clock()}, {"reason", reason}}.dump()};
}

auto Executor::answer() const -> ServerResponse
{
    return {.body = json{{"clock_ms", clock()}}.dump()};
}

/// The caller holds m_mutex.
auto Executor::refusal(const ServerRequest &request, std::int64_t token) -> std::optional<ServerResponse>
{
    if (!m_isUp) {
        return ServerResponse{.status = 0, .body = {}};
    }
    const auto expected = request.headers.find("expected-instance");
    if (expected != request.headers.end() && expected->second != m_id) {
        return ServerResponse{.status = statusOtherLife, .body = "{}"};
    }
    if (token < m_token) {
        return refuse("fence");
    }
    m_token = token;
    return std::nullopt;
}

/// The caller holds m_mutex.
auto Executor::extend(std::int64_t untilMs) -> void
{
    m_untilMs = std::max(m_untilMs, std::min(untilMs, clock() + m_maxHoldMs));
}

auto Executor::startOrder(const ServerRequest &request) -> ServerResponse
{
    while (m_isDark) {
        std::this_thread::sleep_for(pollPeriod);
    }
    if (const auto status = refuseStarts.load(); status != 0) {
        return {.status = status, .body = "{}"};
    }
    const auto lock = std::lock_guard{m_mutex};
    const auto body = json::parse(request.body);
    if (const auto refused = refusal(request, body.value("fencing_token", std::int64_t{0}))) {
        return *refused;
    }
    advance();
    const auto task = body.at("task").get<std::string>();
    const auto number = body.at("run").get<int>();
    const auto untilMs = body.at("until_ms").get<std::int64_t>();
    const auto running = m_active.find(task);
    if (running != m_active.end() && m_runs[running->second.run].number == number) {
        return answer();
    }
    const auto closed = m_closed.find(task);
    if ((closed != m_closed.end() && number <= closed->second) || running != m_active.end()) {
        extend(untilMs);
        return refuse("old");
    }
    if (untilMs <= clock()) {
        return refuse("late");
    }
    extend(untilMs);
    const auto spec = body.value("spec", std::string{});
    m_active[task] = {.run = m_runs.size(), .doneMs = clock() + lengthOf(task, spec), .stopMs = std::nullopt, .spec = spec};
    m_runs.push_back({.task = task, .number = number, .executor = m_id, .beginMs = nowMs(), .endMs = std::nullopt, .how = {}});
    return answer();
}

auto Executor::stopOrder(const ServerRequest &request) -> ServerResponse
{
    while (m_isDark) {
        std::this_thread::sleep_for(pollPeriod);
    }
    const auto lock = std::lock_guard{m_mutex};
    const auto body = json::parse(request.body);
    if (const auto refused = refusal(request, body.value("fencing_token", std::int64_t{0}))) {
        return *refused;
    }
    advance();
    const auto task = body.at("task").get<std::string>();
    const auto number = body.at("run").get<int>();
    auto &closed = m_closed[task];
    closed = std::max(closed, number);
    const auto it = m_active.find(task);
    if (it != m_active.end() && m_runs[it->second.run].number <= number && !it->second.stopMs) {
        it->second.stopMs = clock() + stopGraceMs;
    }
    return answer();
}

/// @return the answer with both lists; the caller holds m_mutex.
auto Executor::lists() -> std::string
{
    auto running = json::array();
    for (const auto &[task, it] : m_active) {
        const auto length = std::max<std::int64_t>(lengthOf(task, it.spec), 1);
        const auto spent = nowMs() - m_runs[it.run].beginMs;
        running.push_back({task, m_runs[it.run].number, "", std::min(wholePercent, spent * wholePercent / length)});
    }
    auto ended = json::array();
    for (const auto &it : m_ended) {
        const auto &run = m_runs[it.run];
        ended.push_back({it.number, run.task, run.number, run.how, ""});
    }
    return json{{"clock_ms", clock()}, {"born", m_bornMs}, {"running", running}, {"ended", ended}}.dump();
}

auto Executor::list(const ServerRequest &request) -> ServerResponse
{
    const auto body = json::parse(request.body);
    const auto deadline = nowMs() + body.value("wait_ms", std::int64_t{0});
    auto isFirst = true;
    auto text = std::string{};
    while (text.empty()) {
        while (m_isDark) {
            std::this_thread::sleep_for(pollPeriod);
        }
        {
            const auto lock = std::lock_guard{m_mutex};
            if (const auto refused = refusal(request, body.value("fencing_token", std::int64_t{0}))) {
                m_openLists -= isFirst ? 0 : 1;
                return *refused;
            }
            if (std::exchange(isFirst, false)) {
                ++m_openLists;
                extend(body.value("until_ms", std::int64_t{0}));
                const auto seen = body.value("seen_upto", std::int64_t{0});
                std::erase_if(m_ended, [&](const End &it) { return it.number <= seen; });
            }
            advance();
            if (!m_ended.empty() || nowMs() >= deadline) {
                text = lists();
                --m_openLists;
            }
        }
        if (text.empty()) {
            std::this_thread::sleep_for(pollPeriod);
        }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{listDelayMs.load()});
    return {.body = text};
}

}

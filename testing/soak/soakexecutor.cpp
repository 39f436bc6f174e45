#include "soak/soakexecutor.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Catkin::Soak
{

namespace
{

using nlohmann::json;

constexpr auto serverThreads = std::size_t{12};
constexpr auto stopGraceMs = std::int64_t{200};
constexpr auto pollPeriod = std::chrono::milliseconds{5};
constexpr auto wholePercent = std::int64_t{99};
constexpr auto conflict = 409;

auto numberIn(const std::string &text, const std::string &name, std::int64_t fallback) -> std::int64_t
{
    const auto at = text.find(name + "=");
    return at == std::string::npos ? fallback : std::stoll(text.substr(at + name.size() + 1));
}

}

SoakExecutor::SoakExecutor(std::string id, Millis lease)
    : m_id(std::move(id))
    , m_lease(lease)
    , m_bornAt(std::chrono::steady_clock::now() - std::chrono::milliseconds{1})
    , m_bornMs(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    , m_server(std::make_unique<httplib::Server>())
{
    m_server->new_task_queue = [] { return new httplib::ThreadPool(serverThreads); };
    m_server->Post("/v1/run-start", [this](const httplib::Request &request, httplib::Response &response) { start(request, response); });
    m_server->Post("/v1/run-stop", [this](const httplib::Request &request, httplib::Response &response) { stop(request, response); });
    m_server->Post("/v1/hold", [this](const httplib::Request &request, httplib::Response &response) { hold(request, response); });
    m_port = m_server->bind_to_any_port("127.0.0.1");
    m_thread = std::thread([this] { m_server->listen_after_bind(); });
    while (!m_server->is_running()) {
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
}

SoakExecutor::~SoakExecutor()
{
    vanish();
}

auto SoakExecutor::vanish() -> void
{
    {
        const auto lock = std::lock_guard{m_mutex};
        if (m_goneAt) {
            return;
        }
        advance();
        m_goneAt = std::chrono::steady_clock::now();
        for (const auto &[task, it] : m_active) {
            m_runs[it.run].end = m_goneAt;
            m_runs[it.run].how = "gone";
        }
        m_active.clear();
    }
    m_server->stop();
    m_thread.join();
}

auto SoakExecutor::id() const -> const std::string &
{
    return m_id;
}

auto SoakExecutor::goneAt() -> std::optional<SteadyTime>
{
    const auto lock = std::lock_guard{m_mutex};
    return m_goneAt;
}

auto SoakExecutor::entry(const std::string &state) -> std::string
{
    const auto lock = std::lock_guard{m_mutex};
    return json{{"service", "svc"},
                {"address", "127.0.0.1:" + std::to_string(m_port)},
                {"zone", "z1"},
                {"version", "v1"},
                {"slots", 8},
                {"state", state},
                {"capacity", {{"cpu", 32'000}, {"mem_mb", 128'000}, {"gpu", 8}}},
                {"labels", {"a", "r1"}},
                {"clock_ms", clock()},
                {"born", m_bornMs},
                {"seq", ++m_sequence}}
        .dump();
}

auto SoakExecutor::runs() -> std::vector<Run>
{
    const auto lock = std::lock_guard{m_mutex};
    if (!m_goneAt) {
        advance();
    }
    return m_runs;
}

auto SoakExecutor::clock() const -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_bornAt).count();
}

auto SoakExecutor::finish(const std::string &task, const std::string &how, std::int64_t atMs) -> void
{
    const auto it = m_active.find(task);
    auto &run = m_runs[it->second.run];
    run.end = m_bornAt + std::chrono::milliseconds{atMs};
    run.how = how;
    auto &closed = m_closed[task];
    closed = std::max(closed, run.attempt);
    m_ended.push_back({.number = m_nextEnd++, .task = task, .attempt = run.attempt, .how = how, .run = it->second.run});
    m_active.erase(it);
}

auto SoakExecutor::advance() -> void
{
    const auto now = clock();
    for (const auto &[task, it] : std::map{m_active}) {
        const auto atMs = std::min({m_leaseUntilMs, it.endMs, it.stopMs == 0 ? it.endMs : it.stopMs});
        if (now >= atMs) {
            finish(task, atMs == m_leaseUntilMs ? "lapsed" : atMs == it.stopMs ? "stopped" : it.fails ? "failed" : "done", atMs);
        }
    }
}

auto SoakExecutor::refuse(httplib::Response &response, const char *reason) -> void
{
    response.status = conflict;
    response.set_content(json{{"clock_ms", clock()}, {"reason", reason}}.dump(), "application/json");
}

auto SoakExecutor::isFenced(std::int64_t token, httplib::Response &response) -> bool
{
    if (token < m_token) {
        refuse(response, "fence");
        return true;
    }
    m_token = token;
    return false;
}

auto SoakExecutor::extendLease(std::int64_t untilMs) -> void
{
    m_leaseUntilMs = std::max(m_leaseUntilMs, std::min(untilMs, clock() + static_cast<std::int64_t>(m_lease.count())));
}

auto SoakExecutor::start(const httplib::Request &request, httplib::Response &response) -> void
{
    const auto lock = std::lock_guard{m_mutex};
    const auto body = json::parse(request.body);
    if (m_goneAt || isFenced(body.at("fencing_token"), response)) {
        return;
    }
    advance();
    const auto task = body.at("task").get<std::string>();
    const auto attempt = body.at("run").get<int>();
    const auto untilMs = body.at("until_ms").get<std::int64_t>();
    if (const auto it = m_active.find(task); it != m_active.end() && m_runs[it->second.run].attempt == attempt) {
        response.set_content(json{{"clock_ms", clock()}}.dump(), "application/json");
        return;
    }
    if (attempt <= m_closed[task]) {
        refuse(response, "old");
        return;
    }
    if (untilMs <= clock()) {
        refuse(response, "late");
        return;
    }
    extendLease(untilMs);
    const auto spec = body.value("spec", "");
    const auto length = numberIn(spec, "ms", 1'000);
    m_active[task] = {.run = m_runs.size(),
                      .endMs = clock() + length,
                      .fails = attempt <= numberIn(spec, "fail", 0),
                      .beginMs = clock(),
                      .lengthMs = std::max<std::int64_t>(length, 1)};
    m_runs.push_back({.task = task, .attempt = attempt, .worker = m_id, .begin = std::chrono::steady_clock::now()});
    response.set_content(json{{"clock_ms", clock()}}.dump(), "application/json");
}

auto SoakExecutor::stop(const httplib::Request &request, httplib::Response &response) -> void
{
    const auto lock = std::lock_guard{m_mutex};
    const auto body = json::parse(request.body);
    if (m_goneAt || isFenced(body.at("fencing_token"), response)) {
        return;
    }
    advance();
    const auto task = body.at("task").get<std::string>();
    const auto attempt = body.at("run").get<int>();
    auto &closed = m_closed[task];
    closed = std::max(closed, attempt);
    if (const auto it = m_active.find(task); it != m_active.end() && m_runs[it->second.run].attempt <= attempt && it->second.stopMs == 0) {
        it->second.stopMs = clock() + stopGraceMs;
    }
    response.set_content(json{{"clock_ms", clock()}}.dump(), "application/json");
}

auto SoakExecutor::hold(const httplib::Request &request, httplib::Response &response) -> void
{
    const auto body = json::parse(request.body);
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds{body.value("wait_ms", 0)};
    while (true) {
        {
            const auto lock = std::lock_guard{m_mutex};
            if (m_goneAt || isFenced(body.at("fencing_token"), response)) {
                return;
            }
            extendLease(body.value("until_ms", std::int64_t{0}));
            advance();
            const auto seen = body.value("seen_upto", std::int64_t{0});
            std::erase_if(m_ended, [&](const End &it) {
                m_runs[it.run].isNoted = m_runs[it.run].isNoted || it.number <= seen;
                return it.number <= seen;
            });
            if (!m_ended.empty() || std::chrono::steady_clock::now() >= deadline) {
                auto running = json::array();
                for (const auto &[task, it] : m_active) {
                    running.push_back({task, m_runs[it.run].attempt, "", std::min(wholePercent, (clock() - it.beginMs) * wholePercent / it.lengthMs)});
                }
                auto ended = json::array();
                for (const auto &it : m_ended) {
                    ended.push_back({it.number, it.task, it.attempt, it.how, ""});
                }
                response.set_content(json{{"clock_ms", clock()}, {"born", m_bornMs}, {"running", running}, {"ended", ended}}.dump(), "application/json");
                return;
            }
        }
        std::this_thread::sleep_for(pollPeriod);
    }
}

}

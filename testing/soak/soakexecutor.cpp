#include "soak/soakexecutor.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>
#include <utility>

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
constexpr auto otherInstance = 421;
constexpr auto address = "127.0.0.1";
/// Kept connections without a call are closed after this time, so that few of them outlast a lifetime.
constexpr auto keepAliveSeconds = 1;
/// Percentage of answers that are under way for a while.
constexpr auto slowAnswers = 40;
/// Less than the time after which a planner gives a poll up.
constexpr auto longestListMs = 750;
/// Some answers to orders come after the planner has given them up.
constexpr auto longestAnswerMs = 350;
/// A planner waits for less than this for the answer to the first try of an order, so that a slower answer counts as none.
constexpr auto promptAnswer = std::chrono::milliseconds{250};
/// Of the clock with which a lifetime may begin.
constexpr auto longestReading = std::uint32_t{9'000'000};
/// A call without an answer is carried out after this time, and so much later at most.
constexpr auto leastLateness = 2'000;
constexpr auto latenessRange = std::uint32_t{10'000};
constexpr auto wholeShare = std::uint32_t{100};

auto numberIn(const std::string &text, const std::string &name, std::int64_t fallback) -> std::int64_t
{
    const auto at = text.find(name + "=");
    return at == std::string::npos ? fallback : std::stoll(text.substr(at + name.size() + 1));
}

/// Closes the connection within the answer.
auto breakOff(httplib::Response &response) -> void
{
    response.set_content_provider(1, "application/json", [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
}

}

SoakExecutor::SoakExecutor(std::string id, const SoakExecutorOptions &options)
    : m_id(std::move(id))
    , m_options(options)
    , m_bornMs(0)
    , m_late(options.lateSeed)
    , m_isCutOff(options.isCutOff)
    , m_port(options.port)
{
    if (m_options.transitSeed) {
        m_transit.emplace(*m_options.transitSeed);
    }
    if (m_options.clockSeed) {
        m_clocks.emplace(*m_options.clockSeed);
    }
    beginLifetime();
    listen();
}

SoakExecutor::~SoakExecutor()
{
    vanish();
}

/// Opens the server of the present lifetime. Earlier servers answer what is under way and break off what arrives on connections that are still open.
auto SoakExecutor::listen() -> void
{
    auto &listener = *m_listeners.emplace_back(std::make_unique<Listener>());
    auto &server = listener.server;
    const auto lifetime = m_lifetime;
    const auto serve = [this, lifetime](Answer execute) {
        return [this, lifetime, execute](const httplib::Request &request, httplib::Response &response) { answerOrder(lifetime, execute, request, response); };
    };
    server.new_task_queue = [] { return new httplib::ThreadPool(serverThreads); };
    server.set_keep_alive_timeout(keepAliveSeconds);
    server.Post("/v1/run-start", serve(&SoakExecutor::start));
    server.Post("/v1/run-stop", serve(&SoakExecutor::stop));
    server.Post("/v1/hold", [this, lifetime](const httplib::Request &request, httplib::Response &response) { hold(lifetime, request, response); });
    if (m_port == 0) {
        m_port = server.bind_to_any_port(address);
    } else if (!server.bind_to_port(address, m_port)) {
        throw std::runtime_error(m_id + " cannot listen again");
    }
    listener.thread = std::thread([&listener] {
        listener.server.listen_after_bind();
        listener.hasEnded = true;
    });
    while (!server.is_running()) {
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
}

/// Removes the servers of earlier lifetimes that have answered everything.
auto SoakExecutor::joinEnded() -> void
{
    std::erase_if(m_listeners, [&](const auto &it) {
        if (it == m_listeners.back() || !it->hasEnded) {
            return false;
        }
        it->thread.join();
        return true;
    });
}

/// The caller holds m_mutex.
auto SoakExecutor::isOver(int lifetime) const -> bool
{
    return m_goneAt || lifetime != m_lifetime;
}

/// @return how long an answer that has been made is under way. The caller holds m_mutex.
auto SoakExecutor::drawTransit(std::uint32_t longestMs) -> std::chrono::milliseconds
{
    const auto isSlow = m_transit && (*m_transit)(wholeShare) < slowAnswers;
    return std::chrono::milliseconds{isSlow ? (*m_transit)(longestMs) : 0};
}

/// The caller holds m_mutex.
auto SoakExecutor::noteUnanswered(Answer execute, const std::string &body) -> void
{
    if (execute == &SoakExecutor::start) {
        m_unansweredStarts[json::parse(body).at("task").get<std::string>()] = std::chrono::steady_clock::now();
    }
}

/// @return whether the call is for another executor, which was at this address before; it is refused then.
auto SoakExecutor::isForOther(const httplib::Request &request, httplib::Response &response) const -> bool
{
    if (request.get_header_value("Expected-Instance") == m_id) {
        return false;
    }
    response.status = otherInstance;
    return true;
}

/// Carries an order out and answers it, breaks it off, or leaves it for later without an answer.
auto SoakExecutor::answerOrder(int lifetime, Answer execute, const httplib::Request &request, httplib::Response &response) -> void
{
    const auto &body = request.body;
    auto delay = std::chrono::milliseconds{0};
    auto isBroken = false;
    {
        const auto lock = std::lock_guard{m_mutex};
        if (!m_isCutOff && !isOver(lifetime) && isForOther(request, response)) {
            return;
        }
        const auto isLate = !m_goneAt && m_options.lateOrders > 0 && static_cast<int>(m_late(wholeShare)) < m_options.lateOrders;
        if (isLate) {
            const auto at = std::chrono::steady_clock::now() + std::chrono::milliseconds{leastLateness + m_late(latenessRange)};
            m_lateOrders.push_back({.at = at, .arrivedAt = std::chrono::steady_clock::now(), .execute = execute, .body = body});
        }
        isBroken = isLate || m_isCutOff || isOver(lifetime);
        if (!isBroken) {
            (this->*execute)(body, response);
            delay = drawTransit(longestAnswerMs);
        }
        if (isBroken || delay >= promptAnswer) {
            noteUnanswered(execute, body);
        }
    }
    if (isBroken) {
        breakOff(response);
        return;
    }
    std::this_thread::sleep_for(delay);
}

auto SoakExecutor::executeLateOrders() -> void
{
    const auto lock = std::lock_guard{m_mutex};
    const auto now = std::chrono::steady_clock::now();
    auto due = std::vector<LateOrder>{};
    std::erase_if(m_lateOrders, [&](const LateOrder &it) {
        if (it.at <= now) {
            due.push_back(it);
        }
        return it.at <= now;
    });
    for (const auto &it : due) {
        if (!m_goneAt) {
            m_lateArrival = it.arrivedAt;
            auto unread = httplib::Response{};
            (this->*it.execute)(it.body, unread);
        }
    }
    m_lateArrival.reset();
}

auto SoakExecutor::endLateness() -> void
{
    const auto lock = std::lock_guard{m_mutex};
    m_options.lateOrders = 0;
}

auto SoakExecutor::setCutOff(bool isCutOff) -> void
{
    const auto lock = std::lock_guard{m_mutex};
    m_isCutOff = isCutOff;
}

/// Begins the clock of a lifetime, near zero or anywhere. The caller holds m_mutex, or is the only one.
auto SoakExecutor::beginLifetime() -> void
{
    m_bornAt = std::chrono::steady_clock::now() - std::chrono::milliseconds{1};
    const auto bornMs = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    m_bornMs = std::max(m_bornMs + 1, bornMs);
    m_firstReading = m_clocks && (*m_clocks)(2) != 0 ? (*m_clocks)(longestReading) : 0;
}

/// What runs ends with its lifetime. The caller holds m_mutex.
auto SoakExecutor::endRuns() -> void
{
    advance();
    for (const auto &[task, it] : m_active) {
        m_runs[it.run].end = std::chrono::steady_clock::now();
        m_runs[it.run].how = "gone";
    }
    m_active.clear();
}

auto SoakExecutor::restart() -> void
{
    {
        const auto lock = std::lock_guard{m_mutex};
        if (m_goneAt) {
            return;
        }
        endRuns();
        m_closed.clear();
        m_ended.clear();
        m_nextEnd = 1;
        m_token = 0;
        m_leaseUntilMs = 0;
        m_sequence = 0;
        ++m_lifetime;
        beginLifetime();
    }
    m_listeners.back()->server.stop();
    listen();
    joinEnded();
}

auto SoakExecutor::vanish() -> void
{
    {
        const auto lock = std::lock_guard{m_mutex};
        if (m_goneAt) {
            return;
        }
        endRuns();
        m_goneAt = std::chrono::steady_clock::now();
    }
    m_listeners.back()->server.stop();
    for (const auto &it : m_listeners) {
        it->thread.join();
    }
    m_listeners.clear();
}

auto SoakExecutor::id() const -> const std::string &
{
    return m_id;
}

auto SoakExecutor::port() const -> int
{
    return m_port;
}

auto SoakExecutor::goneAt() -> std::optional<SteadyTime>
{
    const auto lock = std::lock_guard{m_mutex};
    return m_goneAt;
}

auto SoakExecutor::restartedAt() -> std::optional<SteadyTime>
{
    const auto lock = std::lock_guard{m_mutex};
    return m_lifetime == 0 ? std::nullopt : std::optional{m_bornAt};
}

auto SoakExecutor::announceDeparture(Millis remaining) -> void
{
    const auto lock = std::lock_guard{m_mutex};
    m_leavesAt = std::chrono::steady_clock::now() + remaining;
}

auto SoakExecutor::isLeaving() -> bool
{
    const auto lock = std::lock_guard{m_mutex};
    return m_leavesAt.has_value();
}

auto SoakExecutor::entry() -> std::string
{
    const auto lock = std::lock_guard{m_mutex};
    auto out = json{{"service", "svc"},
                    {"address", std::string(address) + ":" + std::to_string(m_port)},
                    {"zone", m_options.domain},
                    {"version", "v1"},
                    {"slots", 8},
                    {"state", m_leavesAt ? "draining" : "ready"},
                    {"capacity", {{"cpu", 32'000}, {"mem_mb", 128'000}, {"gpu", 8}}},
                    {"labels", {"a", "r1"}},
                    {"clock_ms", clock()},
                    {"born", m_bornMs},
                    {"seq", ++m_sequence}};
    if (m_leavesAt) {
        const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(*m_leavesAt - std::chrono::steady_clock::now());
        out["remaining_ms"] = std::max<std::int64_t>(0, remaining.count());
    }
    return out.dump();
}

auto SoakExecutor::runs() -> std::vector<Run>
{
    const auto lock = std::lock_guard{m_mutex};
    if (!m_goneAt) {
        advance();
    }
    return m_runs;
}

auto SoakExecutor::startOrders() -> std::vector<StartOrder>
{
    const auto lock = std::lock_guard{m_mutex};
    return m_startOrders;
}

auto SoakExecutor::unansweredStartAt(const std::string &task) -> std::optional<SteadyTime>
{
    const auto lock = std::lock_guard{m_mutex};
    const auto it = m_unansweredStarts.find(task);
    return it == m_unansweredStarts.end() ? std::nullopt : std::optional{it->second};
}

auto SoakExecutor::clock() const -> std::int64_t
{
    return m_firstReading + std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_bornAt).count();
}

auto SoakExecutor::finish(const std::string &task, const std::string &how, std::int64_t atMs) -> void
{
    const auto it = m_active.find(task);
    auto &run = m_runs[it->second.run];
    run.end = m_bornAt + std::chrono::milliseconds{atMs - m_firstReading};
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
    m_leaseUntilMs = std::max(m_leaseUntilMs, std::min(untilMs, clock() + static_cast<std::int64_t>(m_options.lease.count())));
}

/// The caller holds m_mutex.
auto SoakExecutor::start(const std::string &text, httplib::Response &response) -> void
{
    const auto body = json::parse(text);
    if (isFenced(body.at("fencing_token"), response)) {
        return;
    }
    advance();
    const auto task = body.at("task").get<std::string>();
    const auto attempt = body.at("run").get<int>();
    const auto untilMs = body.at("until_ms").get<std::int64_t>();
    m_startOrders.push_back(
        {.task = task, .attempt = attempt, .worker = m_id, .domain = m_options.domain, .at = m_lateArrival.value_or(std::chrono::steady_clock::now())});
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
    m_runs.push_back({.task = task,
                      .attempt = attempt,
                      .worker = m_id,
                      .begin = std::chrono::steady_clock::now(),
                      .isLate = m_lateArrival.has_value(),
                      .lifetime = m_lifetime});
    response.set_content(json{{"clock_ms", clock()}}.dump(), "application/json");
}

/// The caller holds m_mutex.
auto SoakExecutor::stop(const std::string &text, httplib::Response &response) -> void
{
    const auto body = json::parse(text);
    if (isFenced(body.at("fencing_token"), response)) {
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

/// The caller holds m_mutex.
auto SoakExecutor::forgetEnds(std::int64_t upTo) -> void
{
    std::erase_if(m_ended, [&](const End &it) {
        m_runs[it.run].isNoted = m_runs[it.run].isNoted || it.number <= upTo;
        return it.number <= upTo;
    });
}

/// @return the answer with both lists. The caller holds m_mutex.
auto SoakExecutor::lists() const -> std::string
{
    auto running = json::array();
    for (const auto &[task, it] : m_active) {
        running.push_back({task, m_runs[it.run].attempt, "", std::min(wholePercent, (clock() - it.beginMs) * wholePercent / it.lengthMs)});
    }
    auto ended = json::array();
    for (const auto &it : m_ended) {
        ended.push_back({it.number, it.task, it.attempt, it.how, ""});
    }
    return json{{"clock_ms", clock()}, {"born", m_bornMs}, {"running", running}, {"ended", ended}}.dump();
}

auto SoakExecutor::hold(int lifetime, const httplib::Request &request, httplib::Response &response) -> void
{
    const auto body = json::parse(request.body);
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds{body.value("wait_ms", 0)};
    auto delay = std::chrono::milliseconds{0};
    auto hasBegun = false;
    auto isAnswered = false;
    while (!isAnswered) {
        {
            const auto lock = std::lock_guard{m_mutex};
            if (m_isCutOff || isOver(lifetime)) {
                breakOff(response);
                return;
            }
            if (isForOther(request, response)) {
                return;
            }
            if (isFenced(body.at("fencing_token"), response)) {
                return;
            }
            const auto isArrival = !std::exchange(hasBegun, true);
            if (isArrival) {
                extendLease(body.value("until_ms", std::int64_t{0}));
            }
            advance();
            if (isArrival || m_options.forgetsWhileWaiting) {
                forgetEnds(body.value("seen_upto", std::int64_t{0}));
            }
            isAnswered = !m_ended.empty() || std::chrono::steady_clock::now() >= deadline;
            if (isAnswered) {
                response.set_content(lists(), "application/json");
                delay = drawTransit(longestListMs);
            }
        }
        if (!isAnswered) {
            std::this_thread::sleep_for(pollPeriod);
        }
    }
    std::this_thread::sleep_for(delay);
}

}

#include "system/faultload.h"

#include "harness/poll.h"
#include "history/reader.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <stdexcept>

namespace Catkin
{

using nlohmann::json;

namespace
{

constexpr auto manyRequests = 100'000; // callers run until finish()
constexpr auto observePeriod = Millis{150};
/// Long enough for the slowest way to a final state: a lost domain's leases end, the job runs again.
constexpr auto statePoll = PollOptions{.tries = 800};

}

FaultLoad::FaultLoad(Deployment &site, const FaultLoadOptions &options)
    : m_site(site)
{
    if (options.requests) {
        const auto start = [&](const char *kind, bool tickets, unsigned part) {
            m_callers.push_back(std::make_unique<Callers>(site,
                                                          CallersOptions{.threads = 2,
                                                                         .requestsEach = manyRequests,
                                                                         .attempts = 5,
                                                                         .useTickets = tickets,
                                                                         .seed = options.seed * 10 + part,
                                                                         .kind = kind,
                                                                         .entries = {},
                                                                         .pauseMs = options.pauseMs}));
        };
        start("plan", false, 0);
        start("book", false, 1);
        start("book", true, 2);
    }
    m_observer = std::thread([this] { observe(); });
}

FaultLoad::~FaultLoad()
{
    m_stopping = true;
    for (auto &it : m_callers) {
        it->stop();
    }
    if (m_observer.joinable()) {
        m_observer.join();
    }
}

auto FaultLoad::observe() -> void
{
    while (!m_stopping) {
        for (auto i = std::size_t{0}; i < m_site.entryCount(); ++i) {
            const auto version = versionAt(m_site, i);
            if (version > 0) {
                const auto lock = std::lock_guard{m_mutex};
                m_history.versions.push_back({.observer = m_site.entry(i).id, .version = version});
            }
        }
        std::this_thread::sleep_for(observePeriod);
    }
}

auto FaultLoad::submit(std::size_t entry, const LoadJob &job) -> std::string
{
    auto body = json{{"kind", job.restartable ? "simulate" : "mold"},
                     {"key", job.key},
                     {"tasks", job.tasks},
                     {"slots_per_task", job.slots},
                     {"adjacency", "rack"},
                     {"restartable", job.restartable},
                     {"payload", json{{"key", job.key}, {"run_ms", job.runMs}}.dump()}};
    if (!job.domain.empty()) {
        body["domain"] = job.domain;
    }
    auto call = Call{.key = job.key, .idempotent = job.restartable, .payload = body["payload"], .sentMs = historyNowMs()};
    const auto reply = m_site.caller(entry, "POST", "/v1/jobs", body.dump(), Millis{8'000}, job.neighbour);
    const auto answer = reply ? json::parse(reply.value().body, nullptr, false) : json{};
    auto id = std::string{};
    if (answer.is_object() && answer.contains("job")) {
        id = answer["job"].get<std::string>();
        call.result = CallResult::Answer;
    } else if (answer.is_object()) {
        call.result = answer.value("result", "") == "not_run" ? CallResult::NotRun : CallResult::OutcomeUnknown;
    }
    const auto lock = std::lock_guard{m_mutex};
    m_history.calls.push_back(std::move(call));
    if (!id.empty()) {
        m_history.gangSizes[id] = job.tasks;
    }
    return id;
}

auto FaultLoad::mustSubmit(std::size_t entry, const LoadJob &job) -> std::string
{
    auto id = std::string{};
    if (!eventually([&] { return !(id = submit(entry, job)).empty(); })) {
        throw std::runtime_error("job " + job.key + " was not accepted");
    }
    return id;
}

auto FaultLoad::waitState(std::size_t entry, const std::string &job, const std::string &state) const -> bool
{
    return eventually([&] { return m_site.jobState(entry, job) == state || m_site.jobState(entry, job, true) == state; }, statePoll);
}

auto FaultLoad::runs(const std::string &job) const -> std::vector<TaskRun>
{
    auto probe = History{};
    m_site.collect(probe);
    std::erase_if(probe.runs, [&](const TaskRun &it) { return it.job != job; });
    return probe.runs;
}

auto FaultLoad::note(Call call) -> void
{
    const auto lock = std::lock_guard{m_mutex};
    m_history.calls.push_back(std::move(call));
}

auto FaultLoad::finish(const HistoryBounds &bounds) -> Violations
{
    m_stopping = true;
    for (auto &it : m_callers) {
        it->stop();
    }
    for (auto &it : m_callers) {
        auto calls = it->join();
        m_history.calls.insert(m_history.calls.end(), calls.begin(), calls.end());
    }
    m_callers.clear();
    m_observer.join();
    m_site.collect(m_history);
    // The set-up's probe has no caller.
    std::erase_if(m_history.executions, [](const Execution &it) { return it.key == "probe"; });
    return checkAll(m_history, bounds, isStandinAnswer);
}

auto FaultLoad::history() const -> const History &
{
    return m_history;
}

auto FaultLoad::summary() const -> std::string
{
    const auto of = [&](CallResult result) {
        return std::to_string(std::count_if(m_history.calls.begin(), m_history.calls.end(), [&](const Call &it) { return it.result == result; }));
    };
    return std::to_string(m_history.calls.size()) + " calls (" + of(CallResult::Answer) + " answers, " + of(CallResult::NotRun) + " not run, "
           + of(CallResult::OutcomeUnknown) + " unknown, " + of(CallResult::ConnectionLost) + " lost), " + std::to_string(m_history.executions.size())
           + " executions, " + std::to_string(m_history.runs.size()) + " task runs, " + std::to_string(m_history.versions.size()) + " versions seen";
}

auto changeConfig(Deployment &site, std::size_t entry, std::int64_t base, int weight) -> int
{
    auto document = site.document();
    document["workspaces"][0]["weight"] = weight;
    const auto reply = site.operate(entry, "PUT", "/v1/config", json{{"base", base}, {"document", document}}.dump());
    return reply ? reply.value().status : 0;
}

auto versionAt(Deployment &site, std::size_t entry) -> std::int64_t
{
    const auto reply = site.operate(entry, "GET", "/v1/config");
    return reply && reply.value().status == 200 ? json::parse(reply.value().body).at("version").get<std::int64_t>() : -1;
}

auto plannerOf(Deployment &site, std::size_t entry, const std::string &domain) -> std::optional<std::size_t>
{
    const auto reply = site.operate(entry, "GET", "/v1/instances");
    if (!reply || reply.value().status != 200) {
        return std::nullopt;
    }
    const auto body = json::parse(reply.value().body);
    for (const auto &it : body.at("instances")) {
        const auto &plans = it.at("plans");
        if (it.at("state") != "fresh" || std::find(plans.begin(), plans.end(), domain) == plans.end()) {
            continue;
        }
        for (auto i = std::size_t{0}; i < site.entryCount(); ++i) {
            if (site.entry(i).id == it.at("instance")) {
                return i;
            }
        }
    }
    return std::nullopt;
}

auto wallNowMs() -> std::int64_t
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}

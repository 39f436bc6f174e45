/// Runs both deployments' shapes on this machine and prints what becomes of requests, bookings and gangs, one line each.
/// The exit status is 0 only if every outcome is the expected one.

#include "harness/poll.h"
#include "system/deployment.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <exception>

namespace
{

using namespace Catkin;
using nlohmann::json;

constexpr auto callTimeout = Millis{8'000};
constexpr auto jobPoll = PollOptions{.tries = 1500};

class Demo
{
public:
    Demo(std::string name, DeploymentShape shape)
        : m_name(std::move(name))
        , m_domain(shape.domains.front().name)
        , m_site(std::move(shape))
    {
    }

    /// @return whether every outcome was as expected.
    auto run() -> bool
    {
        m_site.start();
        requests();
        bookings();
        gangs();
        return m_ok;
    }

private:
    auto show(const std::string &what, const std::string &outcome, const std::string &expected) -> void
    {
        const auto same = outcome == expected;
        m_ok = m_ok && same;
        std::printf("%-12s %-52s %-16s %s\n", m_name.c_str(), what.c_str(), outcome.c_str(), same ? "ok" : ("expected " + expected).c_str());
        std::fflush(stdout);
    }

    /// Sends a call of POST /v1/requests.
    /// @return the result, or "status N" without one.
    auto send(std::size_t entry, const json &body, std::string *answer = nullptr) -> std::string
    {
        const auto reply = m_site.caller(entry, "POST", "/v1/requests", body.dump(), callTimeout);
        if (!reply) {
            return reply.error().message;
        }
        const auto object = json::parse(reply.value().body, nullptr, false);
        if (answer != nullptr) {
            *answer = object.is_object() ? object.value("answer", "") : "";
        }
        return object.is_object() ? object.value("result", "") : "status " + std::to_string(reply.value().status);
    }

    auto requests() -> void
    {
        for (auto i = std::size_t{0}; i < m_site.entryCount(); ++i) {
            show("idempotent request at " + m_site.entry(i).id, send(i, {{"kind", "plan"}, {"payload", R"({"key":"plan"})"}}), "answer");
        }
        show("request of an unknown kind", send(0, {{"kind", "nothing"}}), "not_run");
    }

    auto bookings() -> void
    {
        const auto now = std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
        const auto plain = json{{"kind", "book"}, {"key", "visit-1"}, {"first_sent_ms", now}, {"payload", R"({"key":"visit-1"})"}};
        auto first = std::string{};
        auto second = std::string{};
        show("booking with a plain key", send(0, plain, &first), "answer");
        show("the same booking again at another instance", send(1, plain, &second), "answer");
        show("both answers are those of one run", first == second ? "same" : "different", "same");
        const auto reply = m_site.caller(0, "POST", "/v1/tickets", "{}", callTimeout);
        const auto body = reply ? json::parse(reply.value().body, nullptr, false) : json{};
        const auto ticket = body.is_object() ? body.value("key", "") : "";
        show("ticket", ticket.empty() ? "none" : "issued", "issued");
        const auto booking = json{{"kind", "book"}, {"key", ticket}, {"payload", R"({"key":"visit-2"})"}};
        show("booking with the ticket at another instance", send(1, booking), "answer");
        show("the same ticket again", send(0, booking), "answer");
        show("executions of both bookings", std::to_string(executions("visit-1") + executions("visit-2")), "2");
    }

    auto executions(const std::string &key) -> std::size_t
    {
        auto history = History{};
        m_site.collect(history);
        return static_cast<std::size_t>(
            std::count_if(history.executions.begin(), history.executions.end(), [&](const Execution &it) { return it.key == key; }));
    }

    auto submit(const std::string &key, int tasks, int runMs) -> std::string
    {
        const auto job = json{{"kind", "simulate"},
                              {"key", key},
                              {"tasks", tasks},
                              {"slots_per_task", 8},
                              {"domain", m_domain},
                              {"restartable", true},
                              {"payload", json{{"key", key}, {"run_ms", runMs}}.dump()}};
        return m_site.submit(0, job).value_or("");
    }

    /// Waits for a state.
    /// @return the state at the end.
    auto await(const std::string &job, const std::string &state) -> std::string
    {
        auto last = std::string{};
        (void)eventually(
            [&] {
                last = m_site.jobState(0, job);
                return last == state;
            },
            jobPoll);
        return last.empty() ? "not known" : last;
    }

    auto gangs() -> void
    {
        const auto large = submit("large", 3, 2'000);
        show("gang of 3 workers", await(large, "running"), "running");
        const auto waiting = submit("waiting", 3, 300);
        show("second gang of 3 workers, 1 worker is free", await(waiting, "queued"), "queued");
        const auto cancelled = submit("cancelled", 4, 60'000);
        show("third gang, before its cancellation", await(cancelled, "queued"), "queued");
        const auto reply = m_site.caller(1, "DELETE", "/v1/jobs/" + cancelled, {}, callTimeout);
        show("cancellation at another instance", reply ? "status " + std::to_string(reply.value().status) : reply.error().message, "status 202");
        show("third gang", await(cancelled, "cancelled"), "cancelled");
        const auto impossible = json{{"kind", "simulate"}, {"key", "impossible"}, {"tasks", 64}, {"slots_per_task", 32}};
        const auto refused = m_site.caller(0, "POST", "/v1/jobs", impossible.dump(), callTimeout);
        show("gang of 2048 slots, which can never run", refused ? "status " + std::to_string(refused.value().status) : refused.error().message, "status 422");
        show("first gang", await(large, "succeeded"), "succeeded");
        show("second gang, once the first has ended", await(waiting, "succeeded"), "succeeded");
        const auto stopped = submit("stopped", 2, 60'000);
        show("gang of 2 workers", await(stopped, "running"), "running");
        (void)m_site.caller(0, "DELETE", "/v1/jobs/" + stopped, {}, callTimeout);
        show("the same gang, cancelled while it ran", await(stopped, "cancelled"), "cancelled");
    }

    std::string m_name;
    std::string m_domain;
    Deployment m_site;
    bool m_ok = true;
};

}

auto main() -> int
{
    try {
        auto bariloche = Demo{"bariloche", barilocheShape()}.run();
        auto revisiones = Demo{"revisiones", revisionesShape()}.run();
        const auto ok = bariloche && revisiones;
        std::printf("%s\n", ok ? "every outcome is as expected" : "some outcomes differ from the expected ones");
        return ok ? 0 : 1;
    } catch (const std::exception &e) {
        std::fprintf(stderr, "demo: %s\n", e.what());
        return 1;
    }
}

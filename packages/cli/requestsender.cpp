#include "cli/requestsender.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Catkin::Cli
{

namespace
{

using nlohmann::json;

/// Time that the entry instance gets beyond the deadline to report what it knows.
constexpr auto replyGrace = Millis{1000};
constexpr auto firstBackoff = Millis{100};
constexpr auto longestBackoff = Millis{5000};

enum class Step { Answer, NotRun, Refused, MayHaveRun, NotSent };

/// What one reply says about the work.
auto classify(const Result<HttpReply> &reply, const json &body) -> Step
{
    if (!reply) {
        return reply.error().code == ErrorCode::NotSent ? Step::NotSent : Step::MayHaveRun;
    }
    const auto result = body.is_object() ? body.value("result", json{}) : json{};
    if (result == "answer" && reply.value().status == 200) {
        return Step::Answer;
    }
    const auto status = reply.value().status;
    if (result == "not_run") {
        return status == 503 || status == 429 ? Step::NotRun : Step::Refused;
    }
    // A 4xx status without a result comes from the listener, before any work.
    return status >= 400 && status < 500 && result.is_null() ? Step::Refused : Step::MayHaveRun;
}

auto requestBody(const RequestOptions &options, int attempt, Millis left) -> std::string
{
    return json{{"workspace", options.workspace},
                {"caller", options.caller},
                {"kind", options.kind},
                {"key", options.key},
                {"first_sent_ms", options.firstSentMs},
                {"attempt", attempt},
                {"deadline_ms", left.count()},
                {"payload", options.payload}}
        .dump();
}

auto retryDelay(Environment &env, const json &body, int retry) -> Millis
{
    const auto bound = std::min(longestBackoff, firstBackoff * (std::int64_t{1} << std::min(retry, 10)));
    const auto jitter = Millis{uniform(env.random, static_cast<std::uint32_t>(bound.count()) + 1)};
    const auto stated = body.is_object() ? body.value("retry_after_ms", json{}) : json{};
    return stated.is_number_integer() ? std::clamp(Millis{stated.get<std::int64_t>()}, Millis{0}, longestBackoff) + jitter : jitter;
}

auto fetchTicket(const RequestOptions &options, const Client &client) -> Result<std::string>
{
    // A ticket that nobody uses does no harm, so asking twice is safe.
    auto reply = client.call({.method = "POST", .path = "/v1/tickets", .body = json{{"workspace", options.workspace}}.dump()});
    if (!reply) {
        return reply.error();
    }
    const auto body = parseJson(reply.value().body);
    if (reply.value().status != 200 || !body.is_object() || !body.contains("key") || !body["key"].is_string()) {
        return failure(ErrorCode::Unavailable, "no ticket: " + reasonOf(reply.value()));
    }
    return body["key"].get<std::string>();
}

auto finish(RequestOutcome outcome, Step last, bool mayHaveRun) -> RequestOutcome
{
    if (last == Step::Answer) {
        outcome.code = ExitCode::Ok;
    } else if (mayHaveRun) {
        outcome.code = ExitCode::OutcomeUnknown;
    } else if (last == Step::NotSent) {
        outcome.code = ExitCode::Unreachable;
    } else {
        outcome.code = ExitCode::NotRun;
    }
    return outcome;
}

}

auto sendRequest(RequestOptions options, const Client &client) -> RequestOutcome
{
    auto &env = client.env();
    if (options.firstSentMs == 0) {
        options.firstSentMs = env.clock.wall().time_since_epoch().count();
    }
    if (options.ticket && options.key.empty()) {
        auto key = fetchTicket(options, client);
        if (!key) {
            const auto code = key.error().code == ErrorCode::NotSent ? ExitCode::Unreachable : ExitCode::NotRun;
            return {.code = code, .firstSentMs = options.firstSentMs, .reason = key.error().message};
        }
        options.key = key.value();
    }
    if (options.key.empty()) {
        options.key = env.newKey();
    }

    auto outcome = RequestOutcome{.key = options.key, .firstSentMs = options.firstSentMs};
    auto attempt = options.firstAttempt;
    // An earlier call of this program with the same key may have started the work.
    auto mayHaveRun = options.firstAttempt > 1;
    auto last = Step::NotSent;
    auto unreachable = std::size_t{0};
    const auto end = env.clock.mono() + options.deadline;
    for (auto i = std::size_t{0};; ++i) {
        const auto &address = client.addresses()[i % client.addresses().size()];
        const auto left = std::max(Millis{1}, std::chrono::duration_cast<Millis>(end - env.clock.mono()));
        const auto reply = client.callAt(address, {"POST", "/v1/requests", requestBody(options, attempt, left), left + replyGrace});
        const auto body = reply ? parseJson(reply.value().body) : json{};
        last = classify(reply, body);
        outcome.reply = reply ? reply.value().body : "";
        outcome.reason = reply ? reasonOf(reply.value()) : address + ": " + reply.error().message;
        if (last == Step::NotSent) {
            if (++unreachable >= client.addresses().size()) {
                return finish(std::move(outcome), last, mayHaveRun);
            }
            continue;
        }
        unreachable = 0;
        outcome.attempts = attempt;
        mayHaveRun = mayHaveRun || last == Step::MayHaveRun;
        const auto delay = retryDelay(env, body, attempt - options.firstAttempt);
        const auto attemptsLeft = attempt - options.firstAttempt + 1 < options.maxAttempts;
        if (last == Step::Answer || last == Step::Refused || !attemptsLeft || env.clock.mono() + delay >= end) {
            return finish(std::move(outcome), last, mayHaveRun);
        }
        env.sleep(delay);
        ++attempt;
    }
}

}

#include "ports/httpexecutor.h"

#include "ports/httpclient.h"
#include "util/digest.h"
#include "util/jsonnumbers.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace Catkin
{

namespace
{

using nlohmann::json;

auto header(const HttpReply &reply, const std::string &name) -> std::string
{
    const auto it = reply.headers.find(name);
    return it == reply.headers.end() ? std::string{} : it->second;
}

auto parseCost(const std::string &text) -> Millis
{
    auto n = std::int64_t{0};
    std::from_chars(text.data(), text.data() + text.size(), n);
    return Millis{std::max(n, std::int64_t{0})};
}

/// An answer counts only if it names this attempt and is complete: answers may be late, crossed or truncated.
auto checkAnswer(const ExecutorCall &call, HttpReply &reply) -> Result<ExecutorAnswer>
{
    if (header(reply, "content-length") != std::to_string(reply.body.size())) {
        return failure(ErrorCode::Protocol, "the answer does not state its length");
    }
    if (!header(reply, "content-encoding").empty()) {
        return failure(ErrorCode::Protocol, "the answer is encoded");
    }
    if (header(reply, "x-request-id") != call.request.str()) {
        return failure(ErrorCode::Protocol, "the answer belongs to another request");
    }
    if (header(reply, "x-body-digest") != xxh64Hex(reply.body)) {
        return failure(ErrorCode::Protocol, "the answer's digest does not match its body");
    }
    return ExecutorAnswer{.body = std::move(reply.body), .cost = parseCost(header(reply, "x-cost-ms"))};
}

auto execute(const HttpExecutorOptions &options, const std::string &address, const ExecutorCall &call) -> Result<ExecutorAnswer>
{
    auto reply = httpExchange({
        .address = address,
        .method = "POST",
        .path = "/v1/execute",
        .headers = {{"X-Request-Id", call.request.str()},
                    {"X-Kind", call.kind.str()},
                    {"X-Workspace", call.workspace.str()},
                    {"X-Deadline-Ms", std::to_string(call.deadline.count())}},
        .body = call.payload,
        .contentType = "application/octet-stream",
        .connectTimeout = std::min(options.connectTimeout, call.deadline),
        .timeout = call.deadline,
        .maxBody = options.maxAnswerBytes,
        .tls = options.tls,
    });
    if (!reply) {
        const auto &error = reply.error();
        if (hadNoEffect(error)) {
            return failure(ErrorCode::NotSent, error.message);
        }
        return error.code == ErrorCode::Limit ? failure(ErrorCode::Protocol, error.message) : error;
    }
    if (reply.value().status == 503 && header(reply.value(), "x-not-run") == "true") {
        return failure(ErrorCode::Limit, "the executor refused the request before any work");
    }
    if (reply.value().status != 200) {
        return failure(ErrorCode::Unknown, "the executor answered with status " + std::to_string(reply.value().status));
    }
    return checkAnswer(call, reply.value());
}

auto health(const HttpExecutorOptions &options, const std::string &address, Millis timeout) -> Result<ExecutorHealth>
{
    auto reply = httpExchange({.address = address, .method = "GET", .path = "/v1/health", .connectTimeout = timeout, .timeout = timeout, .tls = options.tls});
    if (!reply || reply.value().status != 200) {
        return failure(ErrorCode::Unavailable, "the executor's health is not available");
    }
    const auto body = json::parse(reply.value().body, nullptr, false);
    try {
        return ExecutorHealth{
            .slots = intField<int>(body, "slots", 1),
            .busy = intField<int>(body, "busy"),
            .connections = body.contains("connections") ? intField<int>(body, "connections") : 0,
            .maxConnections = body.contains("max_connections") ? intField<int>(body, "max_connections") : 0,
            .leaving = body.value("leaving", false),
        };
    } catch (const json::exception &e) {
        return failure(ErrorCode::Unavailable, std::string("executor health: ") + e.what());
    }
}

}

auto makeHttpExecutor(const HttpExecutorOptions &options) -> ExecutorPort
{
    return {
        .execute = [options](const std::string &address, const ExecutorCall &call) { return execute(options, address, call); },
        .health = [options](const std::string &address, Millis timeout) { return health(options, address, timeout); },
    };
}

}

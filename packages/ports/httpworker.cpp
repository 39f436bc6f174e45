#include "ports/httpworker.h"

#include "ports/httpclient.h"
#include "ports/jsonfields.h"

#include <nlohmann/json.hpp>

#include <array>
#include <string_view>

namespace Catkin
{

namespace
{

using nlohmann::json;

constexpr auto maxSlots = 32;
constexpr auto opNames = std::array<const char *, 8>{"claim", "reserve", "start", "renew", "checkpoint", "throttle", "stop", "release"};
constexpr auto stateNames = std::array<std::string_view, 4>{"reserved", "running", "checkpointing", "ended"};
constexpr auto exitNames = std::array<std::string_view, 5>{"", "ok", "failed", "stopped", "lapsed"};

template<typename Enum, std::size_t N>
auto fromName(const std::array<std::string_view, N> &names, const std::string &text, Enum &value) -> bool
{
    for (auto i = std::size_t{0}; i < N; ++i) {
        if (names[i] == text) {
            value = static_cast<Enum>(i);
            return true;
        }
    }
    return false;
}

auto encodeOrder(const WorkerOrder &order) -> json
{
    auto out = json{{"op", opNames[static_cast<std::size_t>(order.op)]}};
    if (order.op == OrderOp::Claim) {
        return out;
    }
    out["lease"] = order.lease.str();
    if (order.op == OrderOp::Reserve) {
        out["job"] = order.job.str();
        out["attempt"] = order.attempt;
        out["member"] = order.member;
        out["slots"] = order.slots;
        out["payload"] = order.payload;
    }
    if (order.op == OrderOp::Reserve || order.op == OrderOp::Start || order.op == OrderOp::Renew) {
        out["ttl_ms"] = order.ttl.count();
    }
    if (order.op == OrderOp::Throttle) {
        out["percent"] = order.percent;
    }
    return out;
}

auto encodeGeneration(const Generation &generation) -> json
{
    return {{"counter", generation.counter}, {"holder", generation.holder}};
}

auto decodeGeneration(const json &in) -> Generation
{
    return {.counter = intField(in, "counter"), .holder = in.at("holder").get<std::string>()};
}

auto decodeLease(const json &in) -> WorkerLease
{
    auto lease = WorkerLease{
        .lease = LeaseId{in.at("lease").get<std::string>()},
        .job = JobId{in.at("job").get<std::string>()},
        .attempt = intField<int>(in, "attempt"),
        .member = intField<int>(in, "member"),
        .holder = in.value("holder", std::string{}),
        .slots = in.at("slots").get<std::vector<int>>(),
        .remaining = Millis{intField(in, "remaining_ms")},
        .started = in.at("started").get<bool>(),
    };
    if (!fromName(stateNames, in.at("state").get<std::string>(), lease.state)) {
        throw json::other_error::create(501, "unknown lease state", nullptr);
    }
    const auto &exit = in.at("exit");
    if (!exit.is_null() && !fromName(exitNames, exit.get<std::string>(), lease.exit)) {
        throw json::other_error::create(501, "unknown lease exit", nullptr);
    }
    if (in.contains("checkpoint") && !in["checkpoint"].is_null()) {
        lease.checkpoint = in["checkpoint"].get<std::string>();
    }
    return lease;
}

auto decodeStatus(const json &in) -> WorkerStatus
{
    auto status = WorkerStatus{
        .worker = WorkerId{in.at("worker").get<std::string>()},
        .boot = in.at("boot").get<std::string>(),
        .rack = RackId{in.at("rack").get<std::string>()},
        .domain = FailureDomainId{in.at("domain").get<std::string>()},
        .slots = intField<int>(in, "slots", 1, maxSlots),
        .leaving = in.value("leaving", false),
        .generation = decodeGeneration(in.at("generation")),
        .leases = {},
        .usage = {},
    };
    for (const auto &it : in.at("leases")) {
        status.leases.push_back(decodeLease(it));
    }
    for (const auto &it : in.value("usage", json::array())) {
        status.usage.push_back({
            .lease = LeaseId{it.at("lease").get<std::string>()},
            .busyPercent = intField<int>(it, "busy_percent"),
            .age = Millis{intField(it, "age_ms")},
        });
    }
    return status;
}

auto fetchStatus(const HttpTls &tls, const std::string &address, Millis timeout) -> Result<WorkerStatus>
{
    auto reply = httpExchange({.address = address, .method = "GET", .path = "/v1/status", .connectTimeout = timeout, .timeout = timeout, .tls = tls});
    if (!reply) {
        return failure(ErrorCode::Unavailable, "worker status: " + reply.error().message);
    }
    if (reply.value().status != 200) {
        return failure(ErrorCode::Unavailable, "worker status: status " + std::to_string(reply.value().status));
    }
    try {
        return decodeStatus(json::parse(reply.value().body));
    } catch (const json::exception &e) {
        return failure(ErrorCode::Protocol, std::string("worker status: ") + e.what());
    }
}

/// @return whether a result names the order; a worker that mixes up answers must not confirm a start.
auto isResultOf(const json &result, const WorkerOrder &order) -> bool
{
    const auto op = result.at("op").get<std::string>();
    return op == opNames[static_cast<std::size_t>(order.op)] && (order.op == OrderOp::Claim || result.at("lease").get<std::string>() == order.lease.str());
}

auto decodeReply(const std::string &text, const std::vector<WorkerOrder> &orders) -> Result<OrdersReply>
{
    try {
        const auto body = json::parse(text);
        auto out = OrdersReply{.results = {}, .status = decodeStatus(body.at("status"))};
        const auto &results = body.at("results");
        if (!results.is_array() || results.size() != orders.size()) {
            return failure(ErrorCode::Unknown, "worker orders: the answer has another number of results than orders were sent");
        }
        for (auto i = std::size_t{0}; i < orders.size(); ++i) {
            if (!isResultOf(results[i], orders[i])) {
                return failure(ErrorCode::Unknown, "worker orders: a result belongs to another order");
            }
            out.results.push_back({.ok = results[i].at("ok").get<bool>(), .error = results[i].value("error", std::string{})});
        }
        return out;
    } catch (const json::exception &e) {
        return failure(ErrorCode::Unknown, std::string("worker orders: ") + e.what());
    }
}

auto sendOrders(const HttpTls &tls, const std::string &address, const Generation &generation, const std::vector<WorkerOrder> &orders, Millis timeout)
    -> Result<OrdersReply>
{
    auto body = json{{"generation", encodeGeneration(generation)}, {"orders", json::array()}};
    for (const auto &it : orders) {
        body["orders"].push_back(encodeOrder(it));
    }
    auto text = std::string{};
    try {
        text = body.dump();
    } catch (const json::type_error &e) {
        return failure(ErrorCode::InvalidInput, std::string("worker orders: an order is not UTF-8: ") + e.what());
    }
    auto reply = httpExchange({
        .address = address,
        .method = "POST",
        .path = "/v1/orders",
        .body = std::move(text),
        .connectTimeout = timeout,
        .timeout = timeout,
        .tls = tls,
    });
    if (!reply) {
        return failure(hadNoEffect(reply.error()) ? ErrorCode::NotSent : ErrorCode::Unknown, "worker orders: " + reply.error().message);
    }
    if (reply.value().status == 409) {
        return failure(ErrorCode::StaleGeneration, "worker orders: a newer planner owns the worker: " + reply.value().body);
    }
    if (reply.value().status != 200) {
        return failure(ErrorCode::Unknown, "worker orders: status " + std::to_string(reply.value().status));
    }
    return decodeReply(reply.value().body, orders);
}

}

auto makeHttpWorker(const HttpTls &tls) -> WorkerPort
{
    return {
        .status = [tls](const std::string &address, Millis timeout) { return fetchStatus(tls, address, timeout); },
        .orders =
            [tls](const std::string &address, const Generation &generation, const std::vector<WorkerOrder> &orders, Millis timeout) {
                return sendOrders(tls, address, generation, orders, timeout);
            },
    };
}

}

#include "ports/httpworker.h"

#include "ports/entitytag.h"
#include "ports/httpclient.h"
#include "ports/statuscache.h"
#include "util/clock.h"
#include "util/jsonnumbers.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <memory>
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

auto slotNumbers(const json &in) -> std::vector<int>
{
    auto out = std::vector<int>{};
    for (const auto &it : in) {
        out.push_back(toInteger<int>(it, "slots"));
    }
    return out;
}

auto decodeLease(const json &in) -> WorkerLease
{
    auto lease = WorkerLease{
        .lease = LeaseId{in.at("lease").get<std::string>()},
        .job = JobId{in.at("job").get<std::string>()},
        .attempt = intField<int>(in, "attempt"),
        .member = intField<int>(in, "member"),
        .holder = in.value("holder", std::string{}),
        .slots = slotNumbers(in.at("slots")),
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
    // Nothing is copied: the copy of a deeply nested value recurses.
    const auto usage = in.find("usage");
    if (usage == in.end()) {
        return status;
    }
    for (const auto &it : *usage) {
        status.usage.push_back({
            .lease = LeaseId{it.at("lease").get<std::string>()},
            .busyPercent = intField<int>(it, "busy_percent"),
            .age = Millis{intField(it, "age_ms")},
        });
    }
    return status;
}

auto fetchStatus(const HttpTls &tls, StatusCache &cache, const std::string &address, Millis timeout) -> Result<WorkerStatus>
{
    const auto known = cache.tagOf(address);
    auto call = HttpCall{.address = address, .method = "GET", .path = "/v1/status", .connectTimeout = timeout, .timeout = timeout, .tls = tls};
    if (!known.empty()) {
        call.headers.emplace_back("If-None-Match", matchHeader(known));
    }
    auto reply = httpExchange(call);
    if (!reply) {
        return failure(ErrorCode::Unavailable, "worker status: " + reply.error().message);
    }
    if (confirmsTag(reply.value(), known)) {
        if (auto status = cache.confirm(address, known)) {
            return std::move(*status);
        }
        return failure(ErrorCode::Unavailable, "worker status: the status changed during the exchange");
    }
    if (reply.value().status != 200) {
        return failure(ErrorCode::Unavailable, "worker status: status " + std::to_string(reply.value().status));
    }
    try {
        auto status = decodeStatus(json::parse(reply.value().body));
        status.tag = entityTag(reply.value());
        cache.store(address, status.tag, status);
        return status;
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

/// What is sent for a batch of orders.
struct OrdersBody
{
    std::string known; ///< tag of the status that the planner has; empty when it needs the whole status
    bool renewsAll = false; ///< one order renews every running lease of that status
};

/// A batch that renews every running lease of the known status alike can be sent as one order.
auto renewsAll(const WorkerStatus &status, const std::vector<WorkerOrder> &orders) -> bool
{
    if (orders.size() < 2
        || !std::all_of(orders.begin(), orders.end(), [&](const WorkerOrder &it) { return it.op == OrderOp::Renew && it.ttl == orders.front().ttl; })) {
        return false;
    }
    auto running = std::vector<LeaseId>{};
    for (const auto &it : status.leases) {
        if (it.state == LeaseState::Running || it.state == LeaseState::Checkpointing) {
            running.push_back(it.lease);
        }
    }
    auto renewed = std::vector<LeaseId>{};
    for (const auto &it : orders) {
        renewed.push_back(it.lease);
    }
    std::sort(running.begin(), running.end());
    std::sort(renewed.begin(), renewed.end());
    return running == renewed;
}

auto decodeResults(const json &results, const std::vector<WorkerOrder> &orders, bool renewsAll) -> Result<std::vector<OrderResult>>
{
    if (!results.is_array() || results.size() != (renewsAll ? 1 : orders.size())) {
        return failure(ErrorCode::Unknown, "worker orders: the answer has another number of results than orders were sent");
    }
    if (renewsAll) {
        if (results[0].at("op").get<std::string>() != "renew_all") {
            return failure(ErrorCode::Unknown, "worker orders: a result belongs to another order");
        }
        return std::vector<OrderResult>(orders.size(), {.ok = results[0].at("ok").get<bool>(), .error = results[0].value("error", std::string{})});
    }
    auto out = std::vector<OrderResult>{};
    for (auto i = std::size_t{0}; i < orders.size(); ++i) {
        if (!isResultOf(results[i], orders[i])) {
            return failure(ErrorCode::Unknown, "worker orders: a result belongs to another order");
        }
        out.push_back({.ok = results[i].at("ok").get<bool>(), .error = results[i].value("error", std::string{})});
    }
    return out;
}

auto decodeReply(StatusCache &cache, const std::string &address, const std::string &text, const std::vector<WorkerOrder> &orders, const OrdersBody &sent)
    -> Result<OrdersReply>
{
    try {
        const auto body = json::parse(text);
        auto results = decodeResults(body.at("results"), orders, sent.renewsAll);
        if (!results) {
            return results.error();
        }
        const auto tag = body.value("tag", std::string{});
        if (body.contains("status") || sent.known.empty()) {
            auto out = OrdersReply{.results = std::move(results.value()), .status = decodeStatus(body.at("status"))};
            out.status.tag = tag;
            cache.store(address, tag, out.status);
            return out;
        }
        if (tag != sent.known) {
            return failure(ErrorCode::Unknown, "worker orders: the answer has neither a status nor the tag of the known one");
        }
        for (auto i = std::size_t{0}; i < orders.size(); ++i) {
            if (orders[i].op == OrderOp::Renew && results.value()[i].ok) {
                cache.renewed(address, tag, orders[i].lease, orders[i].ttl);
            }
        }
        auto status = cache.confirm(address, tag);
        if (!status) {
            return failure(ErrorCode::Unknown, "worker orders: the status changed during the exchange");
        }
        return OrdersReply{.results = std::move(results.value()), .status = std::move(*status)};
    } catch (const json::exception &e) {
        return failure(ErrorCode::Unknown, std::string("worker orders: ") + e.what());
    }
}

auto encodeOrders(const Generation &generation, const std::vector<WorkerOrder> &orders, const OrdersBody &how) -> Result<std::string>
{
    auto body = json{{"generation", encodeGeneration(generation)}, {"orders", json::array()}};
    if (!how.known.empty()) {
        body["known"] = how.known;
    }
    if (how.renewsAll) {
        body["orders"].push_back({{"op", "renew_all"}, {"ttl_ms", orders.front().ttl.count()}});
    } else {
        for (const auto &it : orders) {
            body["orders"].push_back(encodeOrder(it));
        }
    }
    try {
        return body.dump();
    } catch (const json::type_error &e) {
        return failure(ErrorCode::InvalidInput, std::string("worker orders: an order is not UTF-8: ") + e.what());
    }
}

auto exchangeOrders(const HttpTls &tls,
                    StatusCache &cache,
                    const std::string &address,
                    const Generation &generation,
                    const std::vector<WorkerOrder> &orders,
                    const OrdersBody &how,
                    Millis timeout) -> Result<OrdersReply>
{
    auto text = encodeOrders(generation, orders, how);
    if (!text) {
        return text.error();
    }
    auto reply = httpExchange({
        .address = address,
        .method = "POST",
        .path = "/v1/orders",
        .body = std::move(text.value()),
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
    return decodeReply(cache, address, reply.value().body, orders, how);
}

auto sendOrders(
    const HttpTls &tls, StatusCache &cache, const std::string &address, const Generation &generation, const std::vector<WorkerOrder> &orders, Millis timeout)
    -> Result<OrdersReply>
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    auto how = OrdersBody{.known = cache.tagOf(address)};
    if (const auto status = cache.confirm(address, how.known)) {
        how.renewsAll = renewsAll(*status, orders);
    }
    auto reply = exchangeOrders(tls, cache, address, generation, orders, how, timeout);
    if (!how.renewsAll || !reply || reply.value().results.front().ok) {
        return reply;
    }
    // The worker's leases have changed meanwhile, so none was renewed: each order is sent on its own.
    const auto left = std::chrono::duration_cast<Millis>(deadline - std::chrono::steady_clock::now());
    return exchangeOrders(tls, cache, address, generation, orders, {}, left);
}

}

auto makeHttpWorker(const HttpTls &tls, std::function<MonoTime()> now) -> WorkerPort
{
    auto cache = std::make_shared<StatusCache>(now ? std::move(now) : systemClock().mono);
    return {
        .status = [tls, cache](const std::string &address, Millis timeout) { return fetchStatus(tls, *cache, address, timeout); },
        .orders =
            [tls, cache](const std::string &address, const Generation &generation, const std::vector<WorkerOrder> &orders, Millis timeout) {
                return sendOrders(tls, *cache, address, generation, orders, timeout);
            },
    };
}

}

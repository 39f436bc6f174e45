#include "contract.h"

#include "harness/poll.h"
#include "ports/httpworker.h"

using namespace Catkin;

namespace
{

constexpr auto ttl = Millis{600000};
const auto generation = Generation{.counter = 3, .holder = "b"};

auto reserveOrder(const std::string &lease, std::vector<int> slots, const std::string &payload) -> WorkerOrder
{
    return {.op = OrderOp::Reserve, .lease = LeaseId{lease}, .job = JobId{"job"}, .attempt = 1, .slots = std::move(slots), .ttl = ttl, .payload = payload};
}

auto order(OrderOp op, const std::string &lease) -> WorkerOrder
{
    return {.op = op, .lease = LeaseId{lease}, .ttl = ttl};
}

const auto forever = std::string(R"({"run_ms":3600000})");

}

TEST_CASE("orders whose answer is lost are unknown, and sending them again changes nothing")
{
    const auto standin = requireStandin("worker_standin", {"--slots", "32"});
    const auto port = makeHttpWorker();
    const auto cases = std::vector<FaultCase>{
        {"no fault", "{}", std::nullopt, 1},
        {"refused", R"({"refuse":true})", ErrorCode::Unknown, 0},
        {"down", R"({"down":true})", ErrorCode::Unknown, 0},
        {"slow", R"({"slow_ms":600000})", ErrorCode::Unknown, 0},
        {"silent", R"({"silent":true})", ErrorCode::Unknown, 0},
        {"answer lost", R"({"lose_answer":true})", ErrorCode::Unknown, 1},
        {"answer late", R"({"late_ms":600000})", ErrorCode::Unknown, 1},
        {"answer trickles", R"({"trickle_ms":50})", ErrorCode::Unknown, 1},
        {"answer cut off", R"({"truncate":true})", ErrorCode::Unknown, 1},
        {"answer too long", R"({"oversize_bytes":5000000})", ErrorCode::Unknown, 1},
        {"malformed", R"({"body":"{"})", ErrorCode::Unknown, 1},
        {"status 500 after the effect", R"({"status":500})", ErrorCode::Unknown, 1},
        {"status 400", R"({"refuse":true,"status":400})", ErrorCode::Unknown, 0},
        {"stale", R"({"refuse":true,"status":409})", ErrorCode::StaleGeneration, 0},
    };
    auto n = 0;
    for (const auto &it : cases) {
        CAPTURE(it.name);
        const auto lease = "lease-" + std::to_string(n);
        const auto orders = std::vector<WorkerOrder>{reserveOrder(lease, {n++}, forever), order(OrderOp::Start, lease)};
        const auto before = countEvents(*standin, "start");
        setFaults(*standin, it.control);
        const auto gaveUp = it.control.find("silent") != std::string::npos || it.control.find("_ms") != std::string::npos;
        checkOutcome(port.orders(standin->address(), generation, orders, gaveUp ? shortTimeout : longTimeout), it.expected);
        checkEffects([&] { return countEvents(*standin, "start") - before; }, it.effects);

        setFaults(*standin, "{}");
        const auto repeated = port.orders(standin->address(), generation, orders, longTimeout);
        REQUIRE(repeated.has_value());
        CHECK((repeated.value().results.at(0).ok && repeated.value().results.at(1).ok));
        CHECK(countEvents(*standin, "start") - before == 1);
    }
    checkOutcome(port.orders(deadAddress(), generation, {order(OrderOp::Claim, "")}, longTimeout), ErrorCode::NotSent);
    checkOutcome(port.orders("nowhere", generation, {order(OrderOp::Claim, "")}, longTimeout), ErrorCode::NotSent);
    checkOutcome(port.orders(standin->address(), generation, {reserveOrder("x", {31}, "\xff")}, longTimeout), ErrorCode::InvalidInput);
}

TEST_CASE("results that belong to other orders are not accepted")
{
    const auto status = std::string(
        R"({"worker":"w","boot":"b","rack":"r","domain":"d","slots":8,"leaving":false,"generation":{"counter":3,"holder":"b"},"leases":[],"usage":[]})");
    struct Case
    {
        std::string results;
        std::optional<ErrorCode> expected;
    };
    for (const auto &it : std::vector<Case>{
             {R"([{"op":"stop","lease":"a","ok":true,"error":""}])", std::nullopt},
             {R"([{"op":"stop","lease":"a","ok":false,"error":"unknown lease"}])", std::nullopt},
             {R"([{"op":"stop","lease":"b","ok":true}])", ErrorCode::Unknown},
             {R"([{"op":"start","lease":"a","ok":true}])", ErrorCode::Unknown},
             {R"([])", ErrorCode::Unknown},
             {R"([{"op":"stop","lease":"a","ok":"yes"}])", ErrorCode::Unknown},
         }) {
        CAPTURE(it.results);
        auto body = std::string(R"({"generation":{"counter":3,"holder":"b"},"results":)");
        body.append(it.results).append(R"(,"status":)").append(status).append("}");
        const auto peer = RawPeer{"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body};
        checkOutcome(makeHttpWorker().orders(peer.address(), generation, {order(OrderOp::Stop, "a")}, longTimeout), it.expected);
    }
}

TEST_CASE("a status is whole or an error")
{
    const auto standin = requireStandin("worker_standin");
    const auto port = makeHttpWorker();
    const auto cases = std::vector<FaultCase>{
        {"no fault", "{}", std::nullopt},
        {"down", R"({"down":true})", ErrorCode::Unavailable},
        {"silent", R"({"silent":true})", ErrorCode::Unavailable},
        {"refused", R"({"refuse":true})", ErrorCode::Unavailable},
        {"cut off", R"({"truncate":true})", ErrorCode::Unavailable},
        {"malformed", R"({"body":"{"})", ErrorCode::Protocol},
        {"other object", R"({"body":"{}"})", ErrorCode::Protocol},
        {"not an object", R"({"body":"[]"})", ErrorCode::Protocol},
        {"slots out of range",
         R"({"body":"{\"worker\":\"w\",\"boot\":\"b\",\"rack\":\"r\",\"domain\":\"d\",\"slots\":1e300,\"generation\":{\"counter\":0,\"holder\":\"\"},\"leases\":[]}"})",
         ErrorCode::Protocol},
    };
    for (const auto &it : cases) {
        CAPTURE(it.name);
        setFaults(*standin, it.control);
        checkOutcome(port.status(standin->address(), it.name == "silent" ? shortTimeout : longTimeout), it.expected);
    }
    checkOutcome(port.status(deadAddress(), longTimeout), ErrorCode::Unavailable);
}

TEST_CASE("a worker obeys the highest generation and leases a slot once")
{
    const auto standin = requireStandin("worker_standin");
    const auto port = makeHttpWorker();
    const auto send = [&](const Generation &by, const std::vector<WorkerOrder> &orders) { return port.orders(standin->address(), by, orders, longTimeout); };

    const auto reply
        = send(generation, {reserveOrder("a", {0, 1}, forever), reserveOrder("b", {1}, forever), order(OrderOp::Start, "a"), order(OrderOp::Start, "c")});
    REQUIRE(reply.has_value());
    const auto expected = std::vector<std::string>{"", "slot 1 is leased", "", "unknown lease"};
    for (auto i = std::size_t{0}; i < expected.size(); ++i) {
        CHECK(reply.value().results.at(i).ok == expected[i].empty());
        CHECK(reply.value().results.at(i).error == expected[i]);
    }
    checkOutcome(send({.counter = 3, .holder = "a"}, {order(OrderOp::Stop, "a")}), ErrorCode::StaleGeneration);
    checkOutcome(send({.counter = 2, .holder = "z"}, {order(OrderOp::Stop, "a")}), ErrorCode::StaleGeneration);

    const auto next = send({.counter = 3, .holder = "c"}, {order(OrderOp::Checkpoint, "a"), order(OrderOp::Release, "a"), order(OrderOp::Renew, "a")});
    REQUIRE(next.has_value());
    CHECK(next.value().results.at(1).error == "the task is running");
    const auto &lease = next.value().status.leases.at(0);
    CHECK(lease.state == LeaseState::Checkpointing);
    CHECK(lease.holder == "c");
    CHECK(lease.slots == std::vector<int>{0, 1});
    CHECK(eventually([&] { return port.status(standin->address(), longTimeout).value().leases.at(0).checkpoint.has_value(); }));

    const auto stopped
        = send({.counter = 3, .holder = "c"}, {order(OrderOp::Stop, "a"), reserveOrder("b", {1}, forever), order(OrderOp::Release, "b")}).value().status;
    CHECK(stopped.leases.at(0).exit == LeaseExit::Stopped);
    CHECK(stopped.leases.at(0).started);
    CHECK_FALSE(stopped.leases.at(1).started);
    CHECK(stopped.leases.at(1).state == LeaseState::Ended);
}

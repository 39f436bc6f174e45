#include "contract.h"

#include "harness/poll.h"
#include "ports/httpworker.h"
#include "util/clock.h"

#include <nlohmann/json.hpp>

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
    // Each line has a port that has read nothing yet: a confirmed status has no body that could be broken.
    const auto port = [] { return makeHttpWorker(); };
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
        checkOutcome(port().status(standin->address(), it.name == "silent" ? shortTimeout : longTimeout), it.expected);
    }
    checkOutcome(port().status(deadAddress(), longTimeout), ErrorCode::Unavailable);
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

namespace
{

/// A stand-in with two running leases, and a port that has read its status.
struct TaggedWorker
{
    TaggedWorker()
    {
        REQUIRE(send({reserveOrder("a", {0}, forever), reserveOrder("b", {1}, forever), order(OrderOp::Start, "a"), order(OrderOp::Start, "b")}).has_value());
        REQUIRE(port.status(standin->address(), longTimeout).has_value());
    }

    auto send(const std::vector<WorkerOrder> &orders) -> Result<OrdersReply>
    {
        return port.orders(standin->address(), generation, orders, longTimeout);
    }

    /// Sends orders through a port of its own, as another process does.
    auto sendBeside(const std::vector<WorkerOrder> &orders) const -> void
    {
        REQUIRE(makeHttpWorker().orders(standin->address(), generation, orders, longTimeout).has_value());
    }

    /// @return the number of exchanges on a route, such as "GET /v1/status 304".
    auto exchanges(const std::string &route) const -> int
    {
        const auto text = readControl(*standin, "traffic");
        REQUIRE(text.has_value());
        return nlohmann::json::parse(text.value()).value(route, nlohmann::json::object()).value("exchanges", 0);
    }

    ManualClock clock;
    std::unique_ptr<ChildProcess> standin = requireStandin("worker_standin");
    WorkerPort port = makeHttpWorker({}, [this] { return clock.now(); });
};

}

// Guards against sending a whole status again that has not changed, and against remaining times that stand still.
TEST_CASE("an unchanged status is confirmed by its tag and keeps ageing")
{
    auto worker = TaggedWorker{};
    const auto read = [&] { return worker.port.status(worker.standin->address(), longTimeout); };
    const auto first = read().value();
    worker.clock.advance(Seconds{100});
    const auto second = read().value();
    CHECK(worker.exchanges("GET /v1/status 304") >= 2);
    REQUIRE(second.leases.size() == 2);
    CHECK(second.leases[0].lease == first.leases[0].lease);
    CHECK(first.leases[0].remaining - second.leases[0].remaining == Millis{100'000});

    // A renewal changes no tag; the port knows the new times from its own orders.
    REQUIRE(worker.send({order(OrderOp::Renew, "a"), order(OrderOp::Renew, "b")}).has_value());
    CHECK(read().value().leases[0].remaining == ttl);

    // Usage is not covered by the tag, so the status is read in full from time to time.
    const auto full = worker.exchanges("GET /v1/status 200");
    worker.clock.advance(Seconds{300});
    CHECK(read().has_value());
    CHECK(worker.exchanges("GET /v1/status 200") == full + 1);
}

// Guards against an outdated status that passes for a fresh one.
TEST_CASE("a change at a worker is seen whatever happens to conditional answers")
{
    struct Case
    {
        std::string name;
        std::string control;
        std::optional<ErrorCode> expected;
    };
    for (const auto &it : std::vector<Case>{
             {"no fault", "{}", std::nullopt},
             {"worker stops naming tags", R"({"tags":false})", std::nullopt},
             {"worker restarts", R"({"restart":true})", std::nullopt},
             {"worker leaves", R"({"leaving":true})", std::nullopt},
             {"status 304 with another tag", R"({"status":304})", ErrorCode::Unavailable},
             {"status 304 without a tag", R"({"tags":false,"status":304})", ErrorCode::Unavailable},
             {"cut off", R"({"truncate":true})", ErrorCode::Unavailable},
             {"down", R"({"down":true})", ErrorCode::Unavailable},
             {"silent", R"({"silent":true})", ErrorCode::Unavailable},
         }) {
        CAPTURE(it.name);
        auto worker = TaggedWorker{};
        worker.sendBeside({order(OrderOp::Stop, "b")});
        setFaults(*worker.standin, it.control);
        const auto status = worker.port.status(worker.standin->address(), it.name == "silent" ? shortTimeout : longTimeout);
        checkOutcome(status, it.expected);
        if (status) {
            const auto &leases = status.value().leases;
            CHECK((it.name == "worker restarts" ? leases.empty() : leases.at(1).state == LeaseState::Ended));
            CHECK(status.value().leaving == (it.name == "worker leaves"));
        }
        setFaults(*worker.standin, "{}");
        const auto after = worker.port.status(worker.standin->address(), longTimeout);
        REQUIRE(after.has_value());
        CHECK((after.value().leases.empty() || after.value().leases.at(1).state == LeaseState::Ended));
    }
    // Nothing was read before, so there is nothing that a 304 could confirm.
    const auto standin = requireStandin("worker_standin");
    setFaults(*standin, R"({"status":304})");
    checkOutcome(makeHttpWorker().status(standin->address(), longTimeout), ErrorCode::Unavailable);
}

// Guards against renewing leases that the planner does not know, and against taking a lapsed lease for a renewed one.
TEST_CASE("one order renews all running leases, and only those that the planner knows")
{
    auto worker = TaggedWorker{};
    const auto renewals = std::vector<WorkerOrder>{order(OrderOp::Renew, "a"), order(OrderOp::Renew, "b")};
    const auto sent = [&] { return worker.exchanges("POST /v1/orders 200"); };

    auto before = sent();
    const auto both = worker.send(renewals);
    REQUIRE(both.has_value());
    CHECK((both.value().results.at(0).ok && both.value().results.at(1).ok));
    CHECK(both.value().status.leases.size() == 2);
    CHECK(sent() == before + 1);

    worker.sendBeside({order(OrderOp::Stop, "b")});
    before = sent();
    const auto changed = worker.send(renewals);
    REQUIRE(changed.has_value());
    CHECK(changed.value().results.at(0).ok);
    CHECK(changed.value().results.at(1).error == "the lease has ended");
    CHECK(changed.value().status.leases.at(1).state == LeaseState::Ended);
    CHECK(sent() == before + 2);

    // A worker of an earlier release gets each order on its own and sends its whole status.
    setFaults(*worker.standin, R"({"tags":false})");
    worker.sendBeside({reserveOrder("c", {2}, forever), order(OrderOp::Start, "c")});
    const auto plain = std::vector<WorkerOrder>{order(OrderOp::Renew, "a"), order(OrderOp::Renew, "c")};
    for (auto i = 0; i < 2; ++i) {
        const auto reply = worker.send(plain);
        REQUIRE(reply.has_value());
        CHECK((reply.value().results.at(0).ok && reply.value().results.at(1).ok));
        CHECK(reply.value().status.leases.size() == 3);
    }
}

TEST_CASE("an answer to orders without a status counts only with the tag of the known status")
{
    for (const auto *tag : {R"("tag":"other",)", ""}) {
        CAPTURE(tag);
        auto worker = TaggedWorker{};
        auto body = std::string(R"({"generation":{"counter":3,"holder":"b"},)") + tag + R"("results":[{"op":"stop","lease":"a","ok":true,"error":""}]})";
        setFaults(*worker.standin, nlohmann::json{{"body", body}}.dump());
        checkOutcome(worker.send({order(OrderOp::Stop, "a")}), ErrorCode::Unknown);
    }
}

// Guards against a worker whose status ends the planner: its nested values were copied, which recursed until the stack ended.
TEST_CASE("a status with nested or odd values is an error")
{
    const auto nested = std::string(200'000, '[') + std::string(200'000, ']');
    const auto status = [](const std::string &fields) {
        return R"({"worker":"w","boot":"b","rack":"r","domain":"d","generation":{"counter":3,"holder":"b"})" + fields + "}";
    };
    const auto answer = [](const std::string &body) { return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body; };
    {
        const auto sound = RawPeer{answer(status(R"(,"slots":8,"leases":[])"))};
        checkOutcome(makeHttpWorker().status(sound.address(), longTimeout), std::nullopt);
    }
    for (
        const auto &fields : {
            R"(,"slots":8,"leases":[],"usage":)" + nested,
            R"(,"slots":8,"leases":)" + nested,
            std::string(R"(,"slots":1e300,"leases":[])"),
            std::string(R"(,"slots":18446744073709551615,"leases":[])"),
            R"(,"slots":8,"leases":[{"lease":"l","job":"j","attempt":1,"member":0,"slots":)" + nested + "}]",
            std::string(
                R"(,"slots":8,"leases":[{"lease":"l","job":"j","attempt":1,"member":0,"slots":[1e300],"state":"running","exit":null,"remaining_ms":5,"started":true}])"),
        }) {
        CAPTURE(fields.substr(0, 60));
        const auto peer = RawPeer{answer(status(fields))};
        checkOutcome(makeHttpWorker().status(peer.address(), longTimeout), ErrorCode::Protocol);
    }
}

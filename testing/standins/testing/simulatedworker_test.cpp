#include "standins/simulatedworker.h"

#include <doctest/doctest.h>

using namespace Catkin;
using nlohmann::json;

namespace
{

/// A worker, its events, and a time that moves by hand.
struct Fixture
{
    explicit Fixture(const WorkerSettings &settings = {})
        : worker(settings, "boot-1", [this](json event) { events.push_back(std::move(event)); })
    {
    }

    auto send(const std::string &op, json fields = json::object(), int counter = 1) -> json
    {
        fields["op"] = op;
        fields.emplace("lease", "a");
        const auto [status, body] = worker.orders({{"generation", {{"counter", counter}, {"holder", "i"}}}, {"orders", {fields}}}, nowMs);
        REQUIRE(status == 200);
        return body["results"][0]["error"];
    }

    auto reserve(const std::string &lease, const std::vector<int> &slots, const json &payload = {{"run_ms", 1000}}) -> json
    {
        return send("reserve",
                    {{"lease", lease}, {"job", "j"}, {"attempt", 1}, {"member", 0}, {"slots", slots}, {"ttl_ms", 100000}, {"payload", payload.dump()}});
    }

    /// @return the status of a lease at the present time; null when it is not listed.
    auto lease(const std::string &id = "a") -> json
    {
        const auto status = worker.status(nowMs);
        for (const auto &it : status["leases"]) {
            if (it["lease"] == id) {
                return it;
            }
        }
        return {};
    }

    std::int64_t nowMs = 1000000;
    std::vector<json> events;
    SimulatedWorker worker;
};

}

TEST_CASE("a task ends when its time is over and not when somebody looks")
{
    auto it = Fixture{};
    CHECK(it.reserve("a", {0}) == "");
    CHECK(it.send("start", {{"ttl_ms", 5000}}) == "");
    it.nowMs += 999;
    CHECK(it.lease()["state"] == "running");
    it.nowMs += 50000;
    CHECK(it.lease()["exit"] == "ok");
    CHECK(it.events.back()["event"] == "free");
    CHECK(it.events.back()["time_ms"] == 1001000);
    CHECK(it.reserve("b", {0}) == "");
}

TEST_CASE("leases lapse by the worker's clock, whatever its speed")
{
    struct Case
    {
        double rate;
        std::int64_t lapseMs;
    };
    for (const auto &given : std::vector<Case>{{1.0, 3000}, {1.05, 2857}, {0.5, 6000}}) {
        CAPTURE(given.rate);
        auto it = Fixture{};
        it.worker.configure([&](WorkerSettings &settings) { settings.clockRate = given.rate; }, it.nowMs);
        it.reserve("a", {0}, {{"run_ms", 1000000}});
        it.send("start", {{"ttl_ms", 3000}});
        it.nowMs += given.lapseMs - 1;
        CHECK(it.lease()["state"] == "running");
        it.nowMs += 2;
        CHECK(it.lease()["exit"] == "lapsed");
        CHECK(it.lease()["started"] == true);
    }
}

TEST_CASE("repeated orders change nothing, and renewals move the end both ways")
{
    auto it = Fixture{};
    it.reserve("a", {0, 1}, {{"run_ms", 1000000}});
    CHECK(it.reserve("a", {0, 1}) == "");
    CHECK(it.reserve("a", {0}) == "the lease exists with other contents");
    CHECK(it.reserve("b", {1}) == "slot 1 is leased");
    CHECK(it.reserve("b", {8}) == "no slot 8");
    CHECK(it.reserve("b", {2, 2}) == "slots are missing or repeated");
    CHECK(it.send("checkpoint") == "the task has not started");
    it.send("start", {{"ttl_ms", 3000}});
    it.send("renew", {{"ttl_ms", 120000}});
    CHECK(it.send("start", {{"ttl_ms", 3000}}) == "");
    CHECK(it.lease()["remaining_ms"] == 120000);
    CHECK(it.send("release") == "the task is running");
    it.send("renew", {{"ttl_ms", 10}});
    it.nowMs += 10;
    CHECK(it.lease()["exit"] == "lapsed");
    for (const auto *op : {"start", "renew"}) {
        CHECK(it.send(op, {{"ttl_ms", 1}}) == "the lease has ended");
    }
    CHECK(it.send("stop") == "");
    CHECK(it.send("release") == "");
    CHECK(it.send("stop", {{"lease", "x"}}) == "unknown lease");
    it.nowMs += 600000;
    CHECK(it.lease()["state"] == "ended");
    it.nowMs += 1;
    CHECK(it.lease().is_null());
}

TEST_CASE("a paused task makes no progress, and a checkpoint takes its time")
{
    auto it = Fixture{};
    it.reserve("a", {0});
    it.send("start", {{"ttl_ms", 100000}});
    it.nowMs += 500;
    it.send("throttle", {{"percent", 0}});
    it.nowMs += 50000;
    it.send("throttle", {{"percent", 50}});
    it.send("checkpoint");
    CHECK(it.lease()["state"] == "checkpointing");
    it.nowMs += 100;
    CHECK(it.lease()["checkpoint"] == "a-checkpoint-1");
    it.nowMs += 899;
    CHECK(it.lease()["state"] == "running");
    it.nowMs += 1;
    CHECK(it.lease()["exit"] == "ok");
}

TEST_CASE("usage shows the last measurement only")
{
    auto it = Fixture{};
    it.reserve("a", {0}, {{"run_ms", 1000000}});
    it.send("start", {{"ttl_ms", 100000}});
    CHECK(it.worker.status(it.nowMs)["usage"].empty());
    it.nowMs += 5000;
    CHECK(it.worker.status(it.nowMs)["usage"][0]["age_ms"] == 0);
    it.send("throttle", {{"percent", 25}});
    it.nowMs += 4000;
    CHECK(it.worker.status(it.nowMs)["usage"][0] == json{{"lease", "a"}, {"busy_percent", 100}, {"age_ms", 4000}});
    it.nowMs += 1000;
    CHECK(it.worker.status(it.nowMs)["usage"][0]["busy_percent"] == 25);
}

TEST_CASE("faulty, leaving and restarted workers behave as their switches say")
{
    auto it = Fixture{};
    it.reserve("a", {0}, {{"run_ms", 1000000}});
    it.send("start", {{"ttl_ms", 100000}});
    it.worker.configure(
        [](WorkerSettings &settings) {
            settings.ignoreStop = true;
            settings.leaving = true;
        },
        it.nowMs);
    CHECK(it.send("stop") == "");
    CHECK(it.lease()["state"] == "running");
    CHECK(it.reserve("b", {1}) == "the worker is leaving");
    CHECK(it.reserve("a", {0}) == "");

    it.worker.restart("boot-2", it.nowMs);
    const auto status = it.worker.status(it.nowMs);
    CHECK(status["boot"] == "boot-2");
    CHECK(status["leases"].empty());
    CHECK(status["generation"]["counter"] == 0);
    CHECK(it.events.back()["exit"] == "restarted");

    it.worker.configure(
        [](WorkerSettings &settings) {
            settings.leaving = false;
            settings.failEverything = true;
        },
        it.nowMs);
    it.reserve("c", {0});
    it.send("start", {{"lease", "c"}, {"ttl_ms", 3000}});
    CHECK(it.lease("c")["exit"] == "failed");
}

TEST_CASE("a malformed order fails alone, and a malformed body as a whole")
{
    auto it = Fixture{};
    const auto generation = json{{"counter", 1}, {"holder", "i"}};
    const auto orders = json::array({{{"op", "claim"}}, {{"op", "reserve"}, {"lease", "a"}}, {{"op", "dance"}, {"lease", "a"}}, json::object(), {{"op", 5}}});
    const auto [status, body] = it.worker.orders({{"generation", generation}, {"orders", orders}}, it.nowMs);
    CHECK(status == 200);
    CHECK(body["results"][0]["ok"] == true);
    for (auto i = std::size_t{1}; i < orders.size(); ++i) {
        CHECK(body["results"][i]["ok"] == false);
    }
    CHECK(it.worker.orders({{"generation", generation}, {"orders", {1}}}, it.nowMs).first == 400);
    CHECK(it.worker.orders({{"generation", {{"counter", 0}, {"holder", "z"}}}, {"orders", orders}}, it.nowMs).first == 409);
}

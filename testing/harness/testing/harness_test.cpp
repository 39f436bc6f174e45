#include "harness/childprocess.h"
#include "harness/poll.h"
#include "harness/relay.h"
#include "ports/httpclient.h"

#include <doctest/doctest.h>

#include <sys/wait.h>

#include <csignal>
#include <future>

using namespace Catkin;

namespace
{

auto health(const std::string &address, Millis timeout = Millis{5000}) -> Result<HttpReply>
{
    return httpExchange({.address = address, .method = "GET", .path = "/v1/health", .timeout = timeout});
}

auto standin(const std::string &name = "executor_standin") -> std::unique_ptr<ChildProcess>
{
    auto child = startStandin(name);
    REQUIRE_MESSAGE(child.has_value(), (child ? "" : child.error().message));
    return std::move(child.value());
}

}

TEST_CASE("every stand-in ends by itself, so that none outlives a test that was killed")
{
    for (const auto *name : {"platform_standin", "executor_standin", "worker_standin"}) {
        CAPTURE(name);
        auto byInput = standin(name);
        byInput->closeInput();
        CHECK(byInput->waitExit(Millis{10000}) == 0);
        auto bySignal = standin(name);
        bySignal->signal(SIGTERM);
        CHECK(bySignal->waitExit(Millis{10000}) == 0);
    }
}

TEST_CASE("a stopped process does not answer and a continued one does")
{
    auto child = standin();
    child->signal(SIGSTOP);
    CHECK(health(child->address(), Millis{200}).error().code == ErrorCode::Timeout);
    child->signal(SIGCONT);
    CHECK(health(child->address()).value().status == 200);
    child->signal(SIGKILL);
    const auto status = child->waitExit(Millis{10000});
    REQUIRE(status.has_value());
    CHECK(WTERMSIG(*status) == SIGKILL);
    CHECK(health(child->address()).error().code == ErrorCode::NotSent);
}

TEST_CASE("start failures are errors and not waits without end")
{
    CHECK(ChildProcess::start({"/nonexistent/program"}).error().code == ErrorCode::Internal);
    auto silent = ChildProcess::start({"/bin/cat"});
    REQUIRE(silent.has_value());
    CHECK(silent.value()->waitListening(Millis{50}).error().code == ErrorCode::Timeout);
    silent.value()->closeInput();
    CHECK(silent.value()->waitListening(Millis{10000}).error().code == ErrorCode::Unavailable);
}

TEST_CASE("a relay passes, cuts, stays silent and recovers")
{
    auto child = standin();
    auto relay = Relay{child->port()};
    CHECK(health(relay.address()).value().status == 200);
    CHECK(relay.bytesPassed() > 0);

    relay.setMode(RelayMode::Cut);
    CHECK(health(relay.address()).error().code == ErrorCode::NotSent);
    // Another relay must not be given the port of one that is cut.
    const auto other = Relay{child->port()};
    CHECK(other.port() != relay.port());
    relay.setMode(RelayMode::Pass);
    relay.setMode(RelayMode::Silent);
    CHECK(health(relay.address(), Millis{100}).error().code == ErrorCode::Timeout);
    relay.setMode(RelayMode::Pass);
    CHECK(health(relay.address()).value().status == 200);
}

TEST_CASE("frozen connections stay dead while new ones work")
{
    auto child = standin();
    auto relay = Relay{child->port()};
    REQUIRE(control(*child, R"({"slow_ms":300,"times":1})").has_value());
    auto frozen = std::async(std::launch::async, [&] { return health(relay.address(), Millis{1000}); });
    REQUIRE(eventually([&] { return relay.bytesPassed() > 0; }, {.interval = Millis{1}}));
    relay.freezeOpenConnections();
    CHECK(health(relay.address()).value().status == 200);
    CHECK(frozen.get().error().code == ErrorCode::Timeout);
}

TEST_CASE("eventually gives up after its tries")
{
    auto calls = 0;
    CHECK_FALSE(eventually([&] { return ++calls > 3; }, {.tries = 3, .interval = Millis{0}}));
    CHECK(calls == 3);
    CHECK(eventually([&] { return ++calls > 3; }, {.tries = 1, .interval = Millis{0}}));
}

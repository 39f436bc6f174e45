#include "util/logging.h"
#include "wire/peerlink.h"
#include "wire/peermesh.h"

#include <doctest/doctest.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <memory>
#include <mutex>
#include <thread>

using namespace Catkin;

namespace
{

constexpr auto longTime = Millis{20'000}; ///< deadline of calls that are expected to succeed

auto optionsFor(const char *id, std::int64_t incarnation = 1) -> PeerMeshOptions
{
    static const auto logging = [] {
        initLogging(LogLevel::Error);
        return true;
    }();
    CHECK(logging);
    return {.self = InstanceId{id},
            .domain = FailureDomainId{"oviedo"},
            .region = RegionId{"cantabrico"},
            .incarnation = {incarnation},
            .listenAddress = "127.0.0.1:0",
            .advertisedAddress = {},
            .key = "0123456789abcdef",
            // Long, so that a busy machine does not make a link look silent; only the test of silence shortens it.
            .periodInRegion = Millis{20'000},
            .periodAcross = Millis{20'000},
            .backoffMin = Millis{5},
            .backoffMax = Millis{50},
            .seed = 7};
}

auto knownAt(const char *id, int port) -> KnownInstance
{
    return {InstanceId{id}, FailureDomainId{"oviedo"}, RegionId{"cantabrico"}, "127.0.0.1:" + std::to_string(port), false};
}

/// Waits until a condition holds; a condition that never holds ends with the time limit of the test run.
auto waitFor(const std::function<bool()> &condition) -> void
{
    while (!condition()) {
        std::this_thread::sleep_for(Millis{2});
    }
}

/// A mesh with an address, started.
auto startMesh(PeerMeshOptions options, PeerMeshHandlers handlers = {}) -> std::unique_ptr<PeerMesh>
{
    auto mesh = std::make_unique<PeerMesh>(std::move(options), std::move(handlers), systemClock());
    REQUIRE(mesh->start());
    return mesh;
}

auto joined(const PeerMesh &mesh, std::size_t peers) -> std::function<bool()>
{
    return [&mesh, peers] { return mesh.connected().size() == peers; };
}

/// Plays a peer by hand with PeerLink.
struct ManualPeer
{
    PeerLink link;
    std::vector<Envelope> received;

    ManualPeer(int port, const char *self, const char *target, Lane lane, std::int64_t incarnation = 1)
        : link(connectTcp("127.0.0.1:" + std::to_string(port)).value(),
               LinkRole::Connecting,
               {.handshake = {.self = {InstanceId{self}, {incarnation}, FailureDomainId{"oviedo"}, RegionId{"cantabrico"}, {}},
                              .key = "0123456789abcdef",
                              .target = InstanceId{target},
                              .lane = lane}},
               systemClock().mono())
    {
    }

    /// @return whether the connection still stands.
    auto step() -> bool
    {
        auto polled = pollfd{.fd = link.fd(), .events = link.events(), .revents = 0};
        poll(&polled, 1, 10);
        auto result = link.onReady(polled.revents, systemClock().mono());
        if (result) {
            received.insert(received.end(), result.value().begin(), result.value().end());
        }
        return result.has_value();
    }

    auto send(const Envelope &envelope) -> void
    {
        link.send(encodeFrame(envelope).value(), trafficClass(envelope.message), systemClock().mono());
        REQUIRE(link.flush(systemClock().mono()));
    }
};

auto handlersThatEcho() -> PeerMeshHandlers
{
    return {.attemptQuery
            = [](const auto &, const auto &query, const auto &respond) { respond(AttemptOutcome{.state = AttemptState::Done, .answer = query.attempt}); },
            .ticketForward = [](const auto &, const auto &forward, const auto &respond) { respond(TicketResult{.answer = forward.payload}); },
            .jobCancel = [](const auto &, const auto &cancel, const auto &respond) { respond(JobStatus{.job = cancel.job, .state = "cancelled"}); },
            .jobStatusQuery = [](const auto &, const auto &, const auto &respond) { respond(failure(ErrorCode::NotFound, "no such job")); }};
}

}

// Guards against loads that are lost or never corrected, because not every heartbeat carries them.
TEST_CASE("a peer learns of changed loads although few heartbeats carry them")
{
    auto load = std::atomic<int>{1};
    auto handlers = PeerMeshHandlers{};
    handlers.localStatus = [&] { return load > 0 ? LocalStatus{.executors = {{ExecutorId{"e-1"}, load.load()}, {ExecutorId{"e-2"}, 5}}} : LocalStatus{}; };
    auto a = startMesh(optionsFor("a"));
    auto b = startMesh(optionsFor("b"), handlers);
    a->setKnown(KnownSource::InstanceList, {knownAt("b", b->port())});
    const auto seen = [&] {
        b->announce(); // the period is long; each announcement is a heartbeat
        for (const auto &it : a->membership().instances(systemClock().mono())) {
            if (it.id == InstanceId{"b"} && it.last) {
                return it.last->executors;
            }
        }
        return std::vector<ExecutorLoad>{};
    };
    for (const auto n : {1, 7, 2}) {
        load = n;
        waitFor([&] { return seen() == std::vector<ExecutorLoad>{{ExecutorId{"e-1"}, n}, {ExecutorId{"e-2"}, 5}}; });
    }
    load = 0;
    waitFor([&] { return seen().empty(); });
}

TEST_CASE("three instances exchange heartbeats, notices and calls, and learn of each other")
{
    auto offers = std::atomic<int>{0};
    auto notices = std::atomic<int>{0};
    auto handlers = handlersThatEcho();
    handlers.localStatus = [] {
        return LocalStatus{.configVersion = {4}, .executors = {{ExecutorId{"e-1"}, 3}}, .planners = {{FailureDomainId{"oviedo"}, 2, "b"}}};
    };
    handlers.configOffer = [&](const auto &, const auto &) { ++offers; };
    handlers.jobNotice = [&](const auto &, const auto &) { ++notices; };
    auto a = startMesh(optionsFor("a"));
    auto b = startMesh(optionsFor("b"), handlers);
    auto c = startMesh(optionsFor("c"));
    // c knows nobody and is found; b finds a although only the greater id knows the other.
    a->setKnown(KnownSource::InstanceList, {knownAt("c", c->port())});
    b->setKnown(KnownSource::InstanceList, {knownAt("a", a->port()), knownAt("c", c->port())});
    for (const auto *it : {a.get(), b.get(), c.get()}) {
        waitFor(joined(*it, 2));
    }
    const auto toB = InstanceId{"b"};
    CHECK(a->queryAttempt(toB, {.attempt = "x"}, longTime).value().answer == "x");
    CHECK(a->forwardTicket(toB, {.payload = std::string(900'000, 'p')}, longTime).value().answer.size() == 900'000);
    CHECK(a->cancelJob(toB, {.job = JobId{"j"}}, longTime).value().state == "cancelled");
    CHECK(a->queryJobStatus(toB, {}, longTime).error().code == ErrorCode::NotFound);
    CHECK(a->sendConfigOffer(toB, {.document = "{}"}));
    CHECK(a->sendJobNotice(toB, {.job = JobId{"j"}}));
    waitFor([&] { return offers == 1 && notices == 1; });
    waitFor([&] { return c->membership().freshCount(systemClock().mono()) == 3; });
    for (const auto &it : a->membership().instances(systemClock().mono())) {
        if (it.id == toB) {
            CHECK(it.last->configVersion == ConfigVersion{4});
            CHECK(it.last->executors == std::vector<ExecutorLoad>{{ExecutorId{"e-1"}, 3}});
            CHECK(it.last->planners.size() == 1);
            CHECK(it.address == "127.0.0.1:" + std::to_string(b->port()));
        }
    }
    const auto counters = a->counters();
    CHECK(counters.inRegion[static_cast<std::size_t>(TrafficClass::Bulk)].bytesOut > 900'000);
    CHECK(counters.inRegion[static_cast<std::size_t>(TrafficClass::Heartbeat)].messagesIn > 0);
    CHECK(counters.acrossRegions[static_cast<std::size_t>(TrafficClass::Heartbeat)].bytesOut == 0);
}

TEST_CASE("the handler of heartbeats gets complete lists")
{
    // Guards against a receiver that takes what changed since the previous heartbeat for all that there is.
    auto mutex = std::mutex{};
    auto seen = std::vector<Heartbeat>{};
    auto receiving = handlersThatEcho();
    receiving.heartbeat = [&](const Heartbeat &beat, HeartbeatEffect) {
        const auto lock = std::lock_guard{mutex};
        seen.push_back(beat);
    };
    auto round = 0;
    auto sending = handlersThatEcho();
    sending.localStatus = [&] {
        ++round;
        return LocalStatus{.executors = {{ExecutorId{"e-1"}, 3}, {ExecutorId{"e-2"}, 1 + round}},
                           .reportsDemand = true,
                           .demands = {{7, 2.5F}, {8, 1.0F + static_cast<float>(round)}}};
    };
    auto a = startMesh(optionsFor("a"), receiving);
    auto b = startMesh(optionsFor("b"), sending);
    b->setKnown(KnownSource::InstanceList, {knownAt("a", a->port())});
    waitFor([&] {
        const auto lock = std::lock_guard{mutex};
        return seen.size() >= 4;
    });
    const auto lock = std::lock_guard{mutex};
    for (const auto &it : seen) {
        CHECK(it.executors.size() == 2);
        CHECK(it.demands.size() == 2);
        CHECK(it.reportsDemand);
        CHECK(it.demands.front() == DemandEntry{7, 2.5F});
    }
}

TEST_CASE("responses that cross reach their callers")
{
    // The handler holds the first request back until the second one has been answered.
    auto mutex = std::mutex{};
    auto held = std::vector<std::pair<std::string, Responder<AttemptOutcome>>>{};
    auto a = startMesh(optionsFor("a"));
    auto b = startMesh(optionsFor("b"), {.attemptQuery = [&](const auto &, const auto &query, const auto &respond) {
                           const auto lock = std::lock_guard{mutex};
                           held.emplace_back(query.attempt, respond);
                       }});
    a->setKnown(KnownSource::Settings, {knownAt("b", b->port())});
    waitFor(joined(*a, 1));
    auto answers = std::array<std::promise<std::string>, 8>{};
    for (auto i = std::size_t{0}; i < answers.size(); ++i) {
        a->queryAttempt(InstanceId{"b"}, {.attempt = std::to_string(i)}, longTime, [&answers, i](const auto &result) {
            answers[i].set_value(result ? result.value().answer : result.error().message);
        });
    }
    waitFor([&] {
        const auto lock = std::lock_guard{mutex};
        return held.size() == answers.size();
    });
    std::reverse(held.begin(), held.end());
    for (const auto &[attempt, respond] : held) {
        respond(AttemptOutcome{.answer = "answer " + attempt});
        respond(AttemptOutcome{.answer = "a second answer does not count"});
    }
    for (auto i = std::size_t{0}; i < answers.size(); ++i) {
        CHECK(answers[i].get_future().get() == "answer " + std::to_string(i));
    }
    held.clear();
}

TEST_CASE("errors of calls tell whether the message may have had an effect")
{
    auto held = std::vector<Responder<TicketResult>>{};
    auto options = optionsFor("b");
    options.maxServing = 2;
    auto a = startMesh(optionsFor("a"));
    auto b = startMesh(options, {.ticketForward = [&](const auto &, const auto &, const auto &respond) { held.push_back(respond); }});
    const auto toB = InstanceId{"b"};
    CHECK(a->forwardTicket(toB, {}, longTime).error().code == ErrorCode::NotSent);
    CHECK(a->sendJobNotice(toB, {}).error().code == ErrorCode::NotSent);
    a->setKnown(KnownSource::Settings, {knownAt("b", b->port())});
    waitFor(joined(*a, 1));
    CHECK(a->forwardTicket(toB, {}, Millis{0}).error().code == ErrorCode::NotSent);
    CHECK(a->forwardTicket(toB, {.payload = std::string(maxFramePayload, 'x')}, longTime).error().code == ErrorCode::Limit);
    CHECK(a->queryAttempt(toB, {}, longTime).error().code == ErrorCode::Unavailable);
    CHECK(a->forwardTicket(toB, {}, Millis{500}).error().code == ErrorCode::Unknown);
    CHECK(a->forwardTicket(toB, {}, Millis{500}).error().code == ErrorCode::Unknown);
    CHECK(a->forwardTicket(toB, {}, longTime).error().code == ErrorCode::Limit);
    // An answer after the deadline is counted and dropped; a handler that lets go without answering frees its place.
    held[0](TicketResult{});
    waitFor([&] { return a->counters().lateResponses == 1; });
    auto waiting = std::promise<ErrorCode>{};
    std::vector<Responder<TicketResult>>{}.swap(held);
    a->forwardTicket(toB, {}, longTime, [&](const auto &result) { waiting.set_value(result.error().code); });
    waitFor([&] { return b->counters().inRegion[static_cast<std::size_t>(TrafficClass::Bulk)].messagesIn == 4; });
    b->stop();
    // The lost link ends the call before its deadline.
    CHECK(waiting.get_future().get() == ErrorCode::Unknown);
    held.clear();
}

TEST_CASE("a full queue refuses messages at once and leaves the other lane usable")
{
    auto a = startMesh(optionsFor("a"));
    auto control = ManualPeer{a->port(), "z", "a", Lane::Control};
    auto bulk = ManualPeer{a->port(), "z", "a", Lane::Bulk};
    waitFor([&] { return control.step() && bulk.step() && a->connected().size() == 1; });
    // The peer reads nothing from its bulk link, so that the socket and then the queue fill up.
    const auto offer = ConfigOffer{.document = std::string(500'000, 'x')};
    auto refused = Result<void>{success()};
    auto sent = 0;
    while ((refused = a->sendConfigOffer(InstanceId{"z"}, offer))) {
        REQUIRE(++sent < 1000);
    }
    CHECK(refused.error().code == ErrorCode::Limit);
    CHECK(a->counters().queueFull == 1);
    CHECK(a->sendJobNotice(InstanceId{"z"}, {.job = JobId{"j"}}));
    waitFor([&] {
        control.step();
        return std::any_of(control.received.begin(), control.received.end(), [](const auto &it) { return std::holds_alternative<JobNotice>(it.message); });
    });
}

TEST_CASE("a peer that goes silent is closed and replaced")
{
    auto options = optionsFor("a");
    options.periodInRegion = Millis{300};
    auto a = startMesh(options);
    {
        auto control = ManualPeer{a->port(), "z", "a", Lane::Control};
        waitFor([&] { return control.step() && control.link.authenticated() && a->counters().linksOpened == 1; });
        control.send({0, false, Heartbeat{.instance = InstanceId{"z"}, .incarnation = {1}, .domain = FailureDomainId{"oviedo"}}});
        waitFor([&] { return a->membership().state(InstanceId{"z"}, systemClock().mono()) == InstanceState::Fresh; });
        // The connection stays open, but carries nothing any more.
        waitFor([&] { return a->counters().linksSilent == 1; });
        CHECK_FALSE(a->sendJobNotice(InstanceId{"z"}, {}).has_value());
        waitFor([&] { return !control.step(); });
    }
    CHECK(a->membership().state(InstanceId{"z"}, systemClock().mono()) == InstanceState::Silent);
    auto z = startMesh(optionsFor("z"));
    z->setKnown(KnownSource::Settings, {knownAt("a", a->port())});
    waitFor(joined(*a, 1));
}

TEST_CASE("a restarted peer replaces its earlier process, which is refused from then on")
{
    auto a = startMesh(optionsFor("a"), {});
    auto old = startMesh(optionsFor("z", 1));
    const auto oldPort = old->port();
    a->setKnown(KnownSource::Settings, {knownAt("z", oldPort)});
    waitFor(joined(*a, 1));
    auto now = startMesh(optionsFor("z", 2), handlersThatEcho());
    now->setKnown(KnownSource::Settings, {knownAt("a", a->port())});
    waitFor([&] { return now->connected().size() == 1 && a->membership().superseded(InstanceId{"z"}, {1}); });
    // The old process still runs and tries to come back.
    old->setKnown(KnownSource::Settings, {knownAt("a", a->port())});
    waitFor([&] { return a->counters().oldIncarnations >= 1; });
    waitFor([&] {
        const auto answer = a->queryAttempt(InstanceId{"z"}, {.attempt = "new"}, longTime);
        return answer && answer.value().answer == "new";
    });
}

TEST_CASE("a peer that speaks in another's name or out of turn is closed")
{
    auto a = startMesh(optionsFor("a"));
    const auto cases = std::vector<std::pair<const char *, Message>>{
        {"heartbeat of another instance", Heartbeat{.instance = InstanceId{"y"}, .incarnation = {1}, .domain = FailureDomainId{"oviedo"}}},
        {"heartbeat of another process", Heartbeat{.instance = InstanceId{"z"}, .incarnation = {2}, .domain = FailureDomainId{"oviedo"}}},
        {"heartbeat from another failure domain", Heartbeat{.instance = InstanceId{"z"}, .incarnation = {1}, .domain = FailureDomainId{"bilbao"}}},
        {"answer that is no response", JobStatus{}},
        {"second hello", Hello{}},
    };
    auto errors = std::uint64_t{0};
    for (const auto &it : cases) {
        const auto &message = it.second;
        CAPTURE(it.first);
        auto peer = ManualPeer{a->port(), "z", "a", Lane::Control};
        waitFor([&] { return peer.step() && peer.link.authenticated(); });
        peer.send({0, false, message});
        waitFor([&] { return !peer.step(); });
        ++errors;
        waitFor([&] { return a->counters().protocolErrors == errors; });
    }
    CHECK(a->membership().instances(systemClock().mono()).size() == 1);
}

TEST_CASE("a mesh with another key stays outside")
{
    auto options = optionsFor("b");
    options.key = "fedcba9876543210";
    auto a = startMesh(optionsFor("a"));
    auto b = startMesh(options);
    a->setKnown(KnownSource::Settings, {knownAt("b", b->port())});
    waitFor([&] { return b->counters().handshakesFailed >= 2; });
    CHECK(a->counters().linksOpened == 0);
    CHECK(b->counters().linksOpened == 0);
}

TEST_CASE("stopping ends waiting calls, and responders that outlive the mesh do nothing")
{
    auto kept = Responder<TicketResult>{};
    auto a = startMesh(optionsFor("a"));
    auto b = startMesh(optionsFor("b"), {.ticketForward = [&](const auto &, const auto &, const auto &respond) { kept = respond; }});
    a->setKnown(KnownSource::Settings, {knownAt("b", b->port())});
    waitFor(joined(*a, 1));
    auto call = std::async(std::launch::async, [&] { return a->forwardTicket(InstanceId{"b"}, {}, longTime).error().code; });
    waitFor([&] { return b->counters().inRegion[static_cast<std::size_t>(TrafficClass::Bulk)].messagesIn == 1; });
    a->stop();
    CHECK(call.get() == ErrorCode::Unknown);
    CHECK(a->forwardTicket(InstanceId{"b"}, {}, longTime).error().code == ErrorCode::NotSent);
    b.reset();
    kept(TicketResult{});
    CHECK_FALSE(a->start().has_value());
}

TEST_CASE("unusable options are refused")
{
    const auto cases = std::vector<std::pair<const char *, std::function<void(PeerMeshOptions &)>>>{
        {"no id", [](auto &o) { o.self = {}; }},
        {"short key", [](auto &o) { o.key = "short"; }},
        {"name instead of an IP address", [](auto &o) { o.listenAddress = "localhost:0"; }},
        {"no port", [](auto &o) { o.listenAddress = "127.0.0.1"; }},
        {"port out of range", [](auto &o) { o.listenAddress = "127.0.0.1:65536"; }},
        {"no period", [](auto &o) { o.periodAcross = Millis{0}; }},
        {"queue below one message", [](auto &o) { o.bulkQueueBytes = 1000; }},
    };
    for (const auto &it : cases) {
        const auto &change = it.second;
        CAPTURE(it.first);
        auto options = optionsFor("a");
        change(options);
        auto mesh = PeerMesh{options, {}, systemClock()};
        auto started = mesh.start();
        REQUIRE(started.has_error());
        CHECK(started.error().code == ErrorCode::InvalidInput);
    }
}

TEST_CASE("links that end with a changed or cut frame are counted, and the peer can connect again")
{
    auto mesh = startMesh(optionsFor("b"));
    struct Case
    {
        const char *name;
        std::string bytes;
        std::uint64_t rejected; ///< total afterwards
        std::uint64_t cut;
    };
    for (const auto &it : {Case{"changed", std::string(200, 'x'), 1, 0}, Case{"cut", std::string(3, 'x'), 1, 1}, Case{"complete", "", 1, 1}}) {
        CAPTURE(it.name);
        const auto opened = mesh->counters().linksOpened;
        {
            auto peer = ManualPeer{mesh->port(), "a", "b", Lane::Control};
            waitFor([&] { return peer.step() && mesh->counters().linksOpened > opened; });
            REQUIRE(write(peer.link.fd(), it.bytes.data(), it.bytes.size()) == static_cast<ssize_t>(it.bytes.size()));
            if (it.bytes.size() > sealSize) {
                waitFor([&] { return !peer.step(); });
            }
        }
        waitFor([&] { return mesh->counters().linksClosed > opened; });
        CHECK(mesh->counters().framesRejected == it.rejected);
        CHECK(mesh->counters().framesCut == it.cut);
    }
}

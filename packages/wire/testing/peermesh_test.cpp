#include "wire/peermesh.h"

#include <doctest/doctest.h>

#include <thread>

using namespace Catkin;

TEST_CASE("two instances find each other and answer each other's queries")
{
    const auto options = [](const char *id) {
        return PeerMeshOptions{.self = InstanceId{id},
                               .domain = FailureDomainId{"oviedo"},
                               .region = RegionId{"cantabrico"},
                               .incarnation = {1},
                               .listenAddress = "127.0.0.1:0",
                               .advertisedAddress = {},
                               .key = "0123456789abcdef",
                               .periodInRegion = Millis{50}};
    };
    auto a = PeerMesh{options("a"), {}, systemClock()};
    auto b = PeerMesh{options("b"),
                      {.attemptQuery =
                           [](const InstanceId &, const AttemptQuery &, const Responder<AttemptOutcome> &respond) {
                               respond(AttemptOutcome{.state = AttemptState::Done, .verdict = RequestVerdict::Answer, .answer = "42"});
                           }},
                      systemClock()};
    REQUIRE(a.start());
    REQUIRE(b.start());
    a.setKnown(KnownSource::Settings, {{InstanceId{"b"}, FailureDomainId{"oviedo"}, RegionId{"cantabrico"}, "127.0.0.1:" + std::to_string(b.port()), false}});
    while (a.connected().empty() || b.connected().empty()) {
        std::this_thread::sleep_for(Millis{1});
    }
    auto outcome = a.queryAttempt(InstanceId{"b"}, {}, Millis{10'000});
    REQUIRE(outcome);
    CHECK(outcome.value().answer == "42");
}

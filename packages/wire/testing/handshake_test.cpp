#include "wire/handshake.h"

#include <doctest/doctest.h>

#include <functional>
#include <vector>

using namespace Catkin;

namespace
{

constexpr auto sharedKey = "a key of the deployment";

auto identity(const char *id) -> LinkIdentity
{
    return {InstanceId{id}, {7}, FailureDomainId{"oviedo"}, RegionId{"cantabrico"}, "127.0.0.1:1"};
}

auto connecting(const char *self, const char *target, Lane lane = Lane::Control, const char *key = sharedKey) -> Handshake
{
    return Handshake{LinkRole::Connecting, {.self = identity(self), .key = key, .target = InstanceId{target}, .lane = lane}};
}

auto accepting(const char *self, const char *key = sharedKey) -> Handshake
{
    return Handshake{LinkRole::Accepting, {.self = identity(self), .key = key, .target = {}, .lane = Lane::Control}};
}

/// Passes messages to and fro; @p alter may change each one, numbered from 0.
/// @return the first error, if any.
auto converse(Handshake &a, Handshake &b, const std::function<void(int, Message &)> &alter = {}) -> std::optional<ErrorCode>
{
    auto message = a.start();
    auto *receiver = &b;
    for (auto i = 0; message; ++i) {
        if (alter) {
            alter(i, *message);
        }
        auto reply = receiver->receive(*message);
        if (!reply) {
            return reply.error().code;
        }
        message = reply.value();
        receiver = receiver == &a ? &b : &a;
    }
    return std::nullopt;
}

}

TEST_CASE("two holders of the key authenticate each other")
{
    auto a = connecting("i-1", "i-2", Lane::Bulk);
    auto b = accepting("i-2");
    CHECK_FALSE(converse(a, b));
    CHECK(a.done());
    CHECK(b.done());
    CHECK(a.peer().instance == InstanceId{"i-2"});
    CHECK(b.peer().instance == InstanceId{"i-1"});
    CHECK(b.peer().incarnation == Incarnation{7});
    CHECK(b.lane() == Lane::Bulk);
}

TEST_CASE("a message that was changed on the way makes the handshake fail")
{
    // Guards against fields that the proof does not cover.
    struct Case
    {
        const char *name;
        int message;
        std::function<void(Message &)> change;
    };
    const auto hello = [](auto change) { return [change](Message &m) { change(std::get<Hello>(m)); }; };
    const auto challenge = [](auto change) { return [change](Message &m) { change(std::get<Challenge>(m)); }; };
    const auto other = std::string(64, '0');
    const auto cases = std::vector<Case>{
        {"version", 0, hello([](auto &m) { ++m.version; })},
        {"connecting instance", 0, hello([](auto &m) { m.instance = InstanceId{"i-9"}; })},
        {"no instance", 0, hello([](auto &m) { m.instance = InstanceId{}; })},
        {"own instance", 0, hello([](auto &m) { m.instance = InstanceId{"i-2"}; })},
        {"connecting incarnation", 0, hello([](auto &m) { ++m.incarnation; })},
        {"connecting failure domain", 0, hello([](auto &m) { m.domain = FailureDomainId{"bilbao"}; })},
        {"connecting region", 0, hello([](auto &m) { m.region = RegionId{"meseta"}; })},
        {"connecting address", 0, hello([](auto &m) { m.address = "127.0.0.1:2"; })},
        {"connecting nonce", 0, hello([&](auto &m) { m.nonce = other; })},
        {"short nonce", 0, hello([](auto &m) { m.nonce = "0"; })},
        {"target", 0, hello([](auto &m) { m.target = InstanceId{"i-3"}; })},
        {"no target", 0, hello([](auto &m) { m.target = InstanceId{}; })},
        {"lane", 0, hello([](auto &m) { m.lane = Lane::Bulk; })},
        {"accepting version", 1, challenge([](auto &m) { ++m.version; })},
        {"accepting instance", 1, challenge([](auto &m) { m.instance = InstanceId{"i-9"}; })},
        {"accepting incarnation", 1, challenge([](auto &m) { ++m.incarnation; })},
        {"accepting failure domain", 1, challenge([](auto &m) { m.domain = FailureDomainId{"bilbao"}; })},
        {"accepting region", 1, challenge([](auto &m) { m.region = RegionId{"meseta"}; })},
        {"accepting address", 1, challenge([](auto &m) { m.address = "127.0.0.1:2"; })},
        {"accepting nonce", 1, challenge([&](auto &m) { m.nonce = other; })},
        {"first proof", 2, [](Message &m) { std::get<Proof>(m).mac.back() ^= 1; }},
        {"empty proof", 2, [](Message &m) { std::get<Proof>(m).mac.clear(); }},
        {"second proof", 3, [](Message &m) { std::get<Proof>(m).mac.back() ^= 1; }},
        {"proof out of order", 0, [](Message &m) { m = Proof{}; }},
        {"hello as answer", 1, [](Message &m) { m = Hello{}; }},
        {"heartbeat before the proof", 2, [](Message &m) { m = Heartbeat{}; }},
        {"unknown message", 0, [](Message &m) { m = std::monostate{}; }},
    };
    for (const auto &it : cases) {
        CAPTURE(it.name);
        auto a = connecting("i-1", "i-2");
        auto b = accepting("i-2");
        CHECK(converse(a, b, [&](int i, Message &m) {
                  if (i == it.message) {
                      it.change(m);
                  }
              }).has_value());
        // The altered message is seen by one side; the other may have finished only if its own view was proved.
        CHECK((!a.done() || !b.done()));
    }
}

TEST_CASE("a stranger without the key learns no proof of the accepting side")
{
    auto a = connecting("i-1", "i-2", Lane::Control, "some other key of the same length");
    auto b = accepting("i-2");
    auto messages = 0;
    CHECK(converse(a, b, [&](int, Message &) { ++messages; }) == ErrorCode::Unauthorized);
    CHECK(messages == 3);
    CHECK_FALSE(a.done());
    CHECK_FALSE(b.done());
    // A failed handshake stays failed, whatever follows.
    auto fresh = connecting("i-1", "i-2");
    CHECK(b.receive(*fresh.start()).has_error());
}

TEST_CASE("a reflected proof fails")
{
    // The attacker has no key. It connects to the victim in the name of i-2 and lets the victim, which also connects to
    // i-2, answer the challenge itself.
    auto out = connecting("victim", "i-2");
    auto in = accepting("victim");
    const auto hello = std::get<Hello>(*out.start());
    auto forged
        = Hello{hello.version, InstanceId{"i-2"}, hello.incarnation, hello.domain, hello.region, hello.address, hello.nonce, InstanceId{"victim"}, hello.lane};
    const auto challenge = std::get<Challenge>(*in.receive(forged).value());
    auto returned = challenge;
    returned.instance = InstanceId{"i-2"};
    auto proof = out.receive(returned);
    REQUIRE(proof);
    CHECK(in.receive(*proof.value()).has_error());
    CHECK_FALSE(in.done());
    // The same with its own proof sent back as the peer's: the role is part of the proof.
    auto second = connecting("victim", "i-2");
    auto answer = Challenge{peerProtocolVersion, InstanceId{"i-2"}, {7}, challenge.domain, challenge.region, challenge.address, challenge.nonce};
    auto own = second.receive(answer);
    REQUIRE(own);
    CHECK(second.receive(*own.value()).has_error());
    // A nonce that is reflected is refused outright.
    auto third = connecting("victim", "i-2");
    answer.nonce = std::get<Hello>(*third.start()).nonce;
    CHECK(third.receive(answer).has_error());
}

TEST_CASE("a recorded handshake cannot be replayed")
{
    auto recorded = std::vector<Message>{};
    auto a = connecting("i-1", "i-2");
    auto b = accepting("i-2");
    CHECK_FALSE(converse(a, b, [&](int, Message &m) { recorded.push_back(m); }));
    REQUIRE(recorded.size() == 4);
    auto laterAccepting = accepting("i-2");
    REQUIRE(laterAccepting.receive(recorded[0]));
    CHECK(laterAccepting.receive(recorded[2]).has_error());
    auto laterConnecting = connecting("i-1", "i-2");
    REQUIRE(laterConnecting.receive(recorded[1]));
    CHECK(laterConnecting.receive(recorded[3]).has_error());
}

// Guards against instances that cannot reach each other while the key is being replaced, and against a former key that stays valid.
TEST_CASE("two instances agree on a key that both hold")
{
    struct Keys
    {
        const char *current;
        const char *previous;
    };
    struct Case
    {
        const char *name;
        Keys a;
        Keys b;
        const char *agreed; ///< null: none
    };
    const auto cases = std::vector<Case>{
        {"both before", {"one", ""}, {"one", ""}, "one"},
        {"one replaced", {"two", "one"}, {"one", ""}, "one"},
        {"both replaced", {"two", "one"}, {"two", "one"}, "two"},
        {"one complete", {"two", ""}, {"two", "one"}, "two"},
        {"both complete", {"two", ""}, {"two", ""}, "two"},
        {"one left out", {"two", ""}, {"one", ""}, nullptr},
        {"former key only", {"one", ""}, {"two", ""}, nullptr},
        {"next replacement", {"three", "two"}, {"two", "one"}, "two"},
        {"too far apart", {"three", "two"}, {"one", ""}, nullptr},
    };
    for (const auto &it : cases) {
        for (const auto swapped : {false, true}) {
            CAPTURE(it.name);
            CAPTURE(swapped);
            const auto &first = swapped ? it.b : it.a;
            const auto &second = swapped ? it.a : it.b;
            auto a
                = Handshake{LinkRole::Connecting, {.self = identity("i-1"), .key = first.current, .previousKey = first.previous, .target = InstanceId{"i-2"}}};
            auto b = Handshake{LinkRole::Accepting, {.self = identity("i-2"), .key = second.current, .previousKey = second.previous, .target = {}}};
            const auto error = converse(a, b);
            CHECK(error.has_value() == (it.agreed == nullptr));
            if (error) {
                CHECK(*error == ErrorCode::Unauthorized);
                continue;
            }
            REQUIRE(a.done());
            REQUIRE(b.done());
            CHECK(a.usedPreviousKey() == (std::string_view(it.agreed) != first.current));
            CHECK(b.usedPreviousKey() == (std::string_view(it.agreed) != second.current));
            CHECK(a.frameKey(LinkRole::Connecting) == b.frameKey(LinkRole::Connecting));
            CHECK(a.frameKey(LinkRole::Accepting) == b.frameKey(LinkRole::Accepting));
            CHECK(a.frameKey(LinkRole::Connecting) != a.frameKey(LinkRole::Accepting));
        }
    }
}

TEST_CASE("proofs of an unexpected length are refused")
{
    for (const auto length : {std::size_t{0}, std::size_t{63}, std::size_t{65}, std::size_t{128}, std::size_t{192}}) {
        auto a = connecting("i-1", "i-2");
        auto b = accepting("i-2");
        CHECK(converse(a,
                       b,
                       [&](int i, Message &m) {
                           if (i == 3) {
                               // The accepting side gives exactly one MAC; more would be guesses.
                               std::get<Proof>(m).mac.resize(length, '0');
                           }
                       })
              == ErrorCode::Unauthorized);
    }
}

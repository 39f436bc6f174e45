#include "contract.h"

#include "ports/httpinstancelist.h"

using namespace Catkin;

TEST_CASE("the list is whole or an error")
{
    const auto standin = requireStandin("platform_standin");
    const auto entry = std::string(R"({"id":"w1","role":"worker","domain":"oviedo","region":"cantabrico","rack":"r1","address":"127.0.0.1:9","state":)");
    REQUIRE(control(*standin, R"({"register":[)" + entry + R"("leaving"},{"id":"x","role":"entry","domain":"d","region":"r","address":"127.0.0.1:8"}]})")
                .has_value());
    const auto asBody = [&](const std::string &state) {
        auto text = R"({"body":"{\"instances\":[)" + entry + state + R"(}]}"})";
        for (auto at = text.find("[{") + 2; (at = text.find('"', at)) < text.find("}]}"); at += 2) {
            text.insert(at, "\\");
        }
        return text;
    };
    const auto unknownState = asBody(R"("stopping")");
    const auto noState = asBody("null");
    const auto cases = std::vector<FaultCase>{
        {"no fault", "{}", std::nullopt},
        {"down", R"({"down":true})", ErrorCode::Unavailable},
        {"silent", R"({"silent":true})", ErrorCode::Unavailable},
        {"refused", R"({"refuse":true})", ErrorCode::Unavailable},
        {"trickles", R"({"trickle_ms":50})", ErrorCode::Unavailable},
        {"cut off", R"({"truncate":true})", ErrorCode::Unavailable},
        {"too long", R"({"oversize_bytes":5000000})", ErrorCode::Unavailable},
        {"malformed", R"({"body":"{\"instances\":["})", ErrorCode::Protocol},
        {"no array", R"({"body":"{\"instances\":5}"})", ErrorCode::Protocol},
        {"not an object", R"({"body":"[]"})", ErrorCode::Protocol},
        {"no state", noState, ErrorCode::Protocol},
        {"unknown role is left out", R"({"body":"{\"instances\":[{\"role\":\"cache\"}]}"})", std::nullopt},
        {"unknown state gets no new work", unknownState, std::nullopt},
    };
    for (const auto &it : cases) {
        CAPTURE(it.name);
        setFaults(*standin, it.control);
        const auto gaveUp = it.control.find("silent") != std::string::npos || it.control.find("_ms") != std::string::npos;
        const auto list = makeHttpInstanceList(standin->address(), gaveUp ? shortTimeout : longTimeout).fetch();
        checkOutcome(list, it.expected);
        if (list && !list.value()->empty()) {
            const auto &first = list.value()->front();
            CHECK(first.id == "w1");
            CHECK(first.role == InstanceRole::Worker);
            CHECK(first.rack == RackId{"r1"});
            CHECK(first.leaving);
        }
    }
    checkOutcome(makeHttpInstanceList(deadAddress(), longTimeout).fetch(), ErrorCode::Unavailable);
}

TEST_CASE("the list shows changes only after its lag")
{
    const auto standin = requireStandin("platform_standin", {"--list-lag-ms", "3600000"});
    const auto list = makeHttpInstanceList(standin->address(), longTimeout);
    REQUIRE(control(*standin, R"({"register":{"id":"x","role":"entry","domain":"d","region":"r","address":"127.0.0.1:8"}})").has_value());
    CHECK(list.fetch().value()->empty());
    REQUIRE(control(*standin, R"({"list_lag_ms":0,"set_state":{"id":"x","state":"leaving"}})").has_value());
    CHECK(list.fetch().value()->at(0).leaving);
    REQUIRE(control(*standin, R"({"unregister":"x"})").has_value());
    CHECK(list.fetch().value()->empty());
}

// Guards against fetching an unchanged list again, and against a stale list that passes for the present one.
TEST_CASE("an unchanged list is confirmed by its tag")
{
    const auto standin = requireStandin("platform_standin");
    const auto enlist = [&](const std::string &id) {
        REQUIRE(control(*standin, R"({"register":{"id":")" + id + R"(","role":"entry","domain":"d","region":"r","address":"127.0.0.1:8"}})").has_value());
    };
    enlist("x");
    const auto list = makeHttpInstanceList(standin->address(), longTimeout);
    const auto first = list.fetch().value();
    CHECK(list.fetch().value() == first);
    enlist("y");
    for (const auto *fault : {R"({"status":304})", R"({"truncate":true})", R"({"down":true})"}) {
        CAPTURE(fault);
        setFaults(*standin, fault);
        checkOutcome(list.fetch(), ErrorCode::Unavailable);
    }
    setFaults(*standin, "{}");
    const auto second = list.fetch().value();
    CHECK(second->size() == 2);
    CHECK(list.fetch().value() == second);
    checkOutcome(makeHttpInstanceList(standin->address(), longTimeout).fetch(), std::nullopt);
}

// Guards against numbers of slots that wrap around or that differ between processors.
TEST_CASE("a list with values out of range is an error")
{
    const auto nested = std::string(200'000, '[') + std::string(200'000, ']');
    for (const auto &slots :
         {std::string("1e300"), std::string("-1"), std::string("4294967304"), std::string("18446744073709551615"), std::string("2.5"), nested}) {
        CAPTURE(slots.substr(0, 30));
        const auto body
            = R"({"instances":[{"id":"w","role":"worker","domain":"d","region":"r","address":"127.0.0.1:9","state":"live","slots":)" + slots + "}]}";
        const auto peer = RawPeer{"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body};
        checkOutcome(makeHttpInstanceList(peer.address(), longTimeout).fetch(), ErrorCode::Protocol);
    }
}

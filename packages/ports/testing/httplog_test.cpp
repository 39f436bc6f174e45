#include "contract.h"

#include "ports/httplog.h"

using namespace Catkin;

namespace
{

auto logPort(const ChildProcess &standin, Millis timeout = longTimeout) -> LogPort
{
    return makeHttpLog({.address = standin.address(), .timeout = timeout});
}

}

TEST_CASE("an append that may have taken effect is never reported as not sent")
{
    const auto standin = requireStandin("platform_standin");
    const auto cases = std::vector<FaultCase>{
        {"no fault", "{}", std::nullopt, 1},
        {"refused with 400", R"({"refuse":true,"status":400})", ErrorCode::NotSent, 0},
        {"refused with 503", R"({"refuse":true})", ErrorCode::Unknown, 0},
        {"down", R"({"down":true})", ErrorCode::Unknown, 0},
        {"slow", R"({"slow_ms":600000})", ErrorCode::Unknown, 0},
        {"silent", R"({"silent":true})", ErrorCode::Unknown, 0},
        {"answer lost", R"({"lose_answer":true})", ErrorCode::Unknown, 1},
        {"answer late", R"({"late_ms":600000})", ErrorCode::Unknown, 1},
        {"answer trickles", R"({"trickle_ms":50})", ErrorCode::Unknown, 1},
        {"answer cut off", R"({"truncate":true})", ErrorCode::Unknown, 1},
        {"answer too long", R"({"oversize_bytes":5000000})", ErrorCode::Unknown, 1},
        {"malformed answer", R"({"body":"{\"first_offset\":"})", ErrorCode::Unknown, 1},
        {"no offset", R"({"body":"{}"})", ErrorCode::Unknown, 1},
        {"negative offset", R"({"body":"{\"first_offset\":-1}"})", ErrorCode::Unknown, 1},
        {"status 500 after the effect", R"({"status":500})", ErrorCode::Unknown, 1},
        {"redirect", R"({"status":302})", ErrorCode::Unknown, 1},
        {"timeout of a gateway", R"({"status":408})", ErrorCode::Unknown, 1},
    };
    auto n = 0;
    for (const auto &it : cases) {
        CAPTURE(it.name);
        setFaults(*standin, it.control);
        const auto stream = "stream-" + std::to_string(n++);
        const auto gaveUp = it.control.find("_ms") != std::string::npos || it.control.find("silent") != std::string::npos;
        checkOutcome(logPort(*standin, gaveUp ? shortTimeout : longTimeout).append(stream, {"a", "b"}), it.expected);
        setFaults(*standin, "{}");
        checkEffects([&] { return static_cast<int>(logPort(*standin).read(stream, {0}, 10, Millis{0}).value().records.size()); }, 2 * it.effects);
    }
    checkOutcome(makeHttpLog({.address = deadAddress()}).append("jobs", {"a"}), ErrorCode::NotSent);
    checkOutcome(makeHttpLog({.address = "nowhere"}).append("jobs", {"a"}), ErrorCode::NotSent);
}

TEST_CASE("text that JSON cannot carry is refused instead of changed")
{
    const auto standin = requireStandin("platform_standin");
    checkOutcome(logPort(*standin).append("jobs", {"good", "\xff"}), ErrorCode::InvalidInput);
    CHECK(logPort(*standin).read("jobs", {0}, 10, Millis{0}).value().records.empty());
    const auto text = std::string("\"quoted\" \\ \n \xc3\xb1 \x01");
    REQUIRE(logPort(*standin).append("jobs", {text}).has_value());
    CHECK(logPort(*standin).read("jobs", {0}, 10, Millis{0}).value().records.at(0).data == text);
}

TEST_CASE("a page is a run of consecutive records from the offset asked for")
{
    const auto standin = requireStandin("platform_standin");
    const auto log = logPort(*standin);
    REQUIRE(log.append("jobs", {"a", "b", "c"}).has_value());
    const auto cases = std::vector<FaultCase>{
        {"no fault", "{}", std::nullopt},
        {"down", R"({"down":true})", ErrorCode::Unavailable},
        {"refused", R"({"refuse":true})", ErrorCode::Unavailable},
        {"silent", R"({"silent":true})", ErrorCode::Unavailable},
        {"cut off", R"({"truncate":true})", ErrorCode::Unavailable},
        {"malformed", R"({"body":"{"})", ErrorCode::Protocol},
        {"other type", R"({"body":"{\"first\":0,\"next\":\"2\",\"records\":[]}"})", ErrorCode::Protocol},
        {"records of another page", R"({"body":"{\"first\":0,\"next\":1,\"records\":[{\"offset\":0,\"time_ms\":1,\"data\":\"a\"}]}"})", ErrorCode::Protocol},
        {"gap",
         R"({"body":"{\"first\":0,\"next\":4,\"records\":[{\"offset\":1,\"time_ms\":1,\"data\":\"b\"},{\"offset\":3,\"time_ms\":1,\"data\":\"c\"}]}"})",
         ErrorCode::Protocol},
        {"next does not follow", R"({"body":"{\"first\":0,\"next\":9,\"records\":[{\"offset\":1,\"time_ms\":1,\"data\":\"b\"}]}"})", ErrorCode::Protocol},
    };
    for (const auto &it : cases) {
        CAPTURE(it.name);
        setFaults(*standin, it.control);
        const auto wait = it.name == "silent" ? shortTimeout : longTimeout;
        checkOutcome(logPort(*standin, wait).read("jobs", {1}, 10, Millis{0}), it.expected);
    }
    checkOutcome(makeHttpLog({.address = deadAddress()}).read("jobs", {0}, 1, Millis{0}), ErrorCode::Unavailable);
}

TEST_CASE("reading continues behind dropped records, in small pages, and waits for new ones")
{
    const auto standin = requireStandin("platform_standin");
    const auto log = logPort(*standin);
    CHECK(log.append("jobs", {"a", "b", "c"}).value() == LogOffset{0});
    CHECK(log.append("jobs", {"d"}).value() == LogOffset{3});
    REQUIRE(control(*standin, R"({"drop_before":{"stream":"jobs","offset":2}})").has_value());
    const auto page = log.read("jobs", {0}, 1, Millis{0}).value();
    CHECK(page.first == LogOffset{2});
    CHECK(page.next == LogOffset{3});
    CHECK(page.records.at(0).data == "c");
    CHECK(log.read("jobs", {4}, 1, Millis{1}).value().next == LogOffset{4});
    auto waiting = std::thread([&] { CHECK(log.read("jobs", {4}, 1, longTimeout).value().records.at(0).data == "e"); });
    CHECK(log.append("jobs", {"e"}).has_value());
    waiting.join();
}

TEST_CASE("records that do not fit into one answer together are read one after the other")
{
    const auto standin = requireStandin("platform_standin");
    const auto log = logPort(*standin);
    for (auto i = 0; i < 20; ++i) {
        REQUIRE(log.append("config", {std::string(std::size_t{1} << 20U, static_cast<char>('a' + i))}).has_value());
    }
    auto from = LogOffset{0};
    while (from < LogOffset{20}) {
        const auto page = log.read("config", from, 100, Millis{0});
        REQUIRE(page.has_value());
        REQUIRE(page.value().next > from);
        from = page.value().next;
    }
}

#include "util/clock.h"
#include "wire/calltable.h"
#include "wire/sendqueue.h"

#include <doctest/doctest.h>

using namespace Catkin;

namespace
{

const auto outcomeIndex = Message{AttemptOutcome{}}.index();

/// A table with two sent calls to "b" (ids 1 and 2) and one unsent call to "c" (id 3).
struct Fixture
{
    ManualClock clock;
    CallTable calls;

    Fixture()
    {
        for (const auto id : {1, 2, 3}) {
            calls.add(id,
                      {.peer = InstanceId{id == 3 ? "c" : "b"},
                       .lane = Lane::Control,
                       .response = outcomeIndex,
                       .deadline = clock.now() + Millis{100 * id},
                       .done = {},
                       .sent = false});
        }
        calls.markSent(1);
        calls.markSent(2);
        calls.markSent(77);
    }
};

auto outcome(std::uint64_t id, const char *answer) -> Envelope
{
    return {.correlation = id, .response = true, .message = AttemptOutcome{.answer = answer}};
}

}

TEST_CASE("crossed responses reach their own calls")
{
    auto f = Fixture{};
    const auto second = f.calls.complete(InstanceId{"b"}, outcome(2, "two"));
    const auto first = f.calls.complete(InstanceId{"b"}, outcome(1, "one"));
    REQUIRE(first);
    REQUIRE(second);
    CHECK(std::get<AttemptOutcome>(first->result.value().message).answer == "one");
    CHECK(std::get<AttemptOutcome>(second->result.value().message).answer == "two");
    CHECK(f.calls.size() == 1);
}

TEST_CASE("responses that belong to no call are ignored")
{
    struct Case
    {
        const char *name;
        const char *peer;
        std::uint64_t id;
    };
    for (const auto &it : {Case{"unknown id", "b", 9}, Case{"another instance answers", "c", 1}, Case{"answer before the message was sent", "c", 3}}) {
        CAPTURE(it.name);
        auto f = Fixture{};
        CHECK_FALSE(f.calls.complete(InstanceId{it.peer}, outcome(it.id, "x")));
        CHECK(f.calls.size() == 3);
    }
    auto f = Fixture{};
    CHECK(f.calls.complete(InstanceId{"b"}, outcome(1, "x")));
    CHECK_FALSE(f.calls.complete(InstanceId{"b"}, outcome(1, "x")));
}

TEST_CASE("a response of the wrong type leaves the outcome unknown, an error reply is passed on")
{
    auto f = Fixture{};
    const auto wrong = f.calls.complete(InstanceId{"b"}, {.correlation = 1, .response = true, .message = JobStatus{}});
    REQUIRE(wrong);
    CHECK(wrong->result.error().code == ErrorCode::Unknown);
    const auto refused = f.calls.complete(InstanceId{"b"}, {.correlation = 2, .response = true, .message = ErrorReply{ErrorCode::Limit, "busy"}});
    REQUIRE(refused);
    CHECK(refused->result.error().code == ErrorCode::Limit);
    CHECK(refused->result.error().message == "busy");
}

TEST_CASE("calls that end without a response tell whether they were sent")
{
    auto f = Fixture{};
    CHECK(f.calls.nextDeadline() == f.clock.now() + Millis{100});
    CHECK(f.calls.expire(f.clock.now() + Millis{99}).empty());
    const auto expired = f.calls.expire(f.clock.now() + Millis{100});
    REQUIRE(expired.size() == 1);
    CHECK(expired[0].id == 1);
    CHECK(expired[0].result.error().code == ErrorCode::Unknown);
    CHECK(f.calls.failLane(InstanceId{"b"}, Lane::Bulk).empty());
    const auto lost = f.calls.failLane(InstanceId{"b"}, Lane::Control);
    REQUIRE(lost.size() == 1);
    CHECK(lost[0].result.error().code == ErrorCode::Unknown);
    const auto rest = f.calls.failAll();
    REQUIRE(rest.size() == 1);
    CHECK(rest[0].id == 3);
    CHECK(rest[0].result.error().code == ErrorCode::NotSent);
    CHECK(f.calls.size() == 0);
    CHECK_FALSE(f.calls.nextDeadline());
}

TEST_CASE("the send queue is bounded per lane, keeps the order and gives frames back")
{
    auto queue = SendQueue{10, 20};
    const auto frame = [](std::size_t size, std::uint64_t call) { return QueuedFrame{std::string(size, 'x'), TrafficClass::Control, call}; };
    CHECK(queue.push(Lane::Bulk, frame(20, 1)));
    // A full bulk lane must not keep control messages out.
    CHECK_FALSE(queue.push(Lane::Bulk, frame(1, 2)));
    CHECK(queue.push(Lane::Control, frame(4, 3)));
    CHECK(queue.push(Lane::Control, frame(5, 4)));
    CHECK_FALSE(queue.push(Lane::Control, frame(2, 5)));
    CHECK(queue.bytes() == 29);
    CHECK(queue.remove(Lane::Control, 3));
    CHECK_FALSE(queue.remove(Lane::Control, 3));
    CHECK_FALSE(queue.remove(Lane::Control, 0));
    CHECK(queue.push(Lane::Control, frame(5, 6)));
    CHECK(queue.pop(Lane::Control)->call == 4);
    CHECK(queue.pop(Lane::Control)->call == 6);
    CHECK_FALSE(queue.pop(Lane::Control));
    queue.clear(Lane::Bulk);
    CHECK(queue.bytes() == 0);
    CHECK_FALSE(queue.pop(Lane::Bulk));
}

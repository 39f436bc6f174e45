#include "policy/leadership.h"

#include <doctest/doctest.h>

using namespace Catkin;

namespace
{

constexpr auto start = MonoTime{Seconds{100}};

auto makeLeadership(const std::string &name) -> Leadership
{
    return Leadership{{.self = InstanceId{name}, .address = name + ":1"}};
}

/// Appends a claim at @p offset and reads it back.
auto win(Leadership &leadership, LogOffset offset, MonoTime now) -> void
{
    leadership.tailRead(now, now);
    const auto record = leadership.claim(offset, "nonce", now);
    leadership.applyRecord(record, offset, now);
}

}

// Guards against an instance that assumes the leadership on the acknowledgement of its append, although another claim came first.
TEST_CASE("an instance leads only after it has read its own claim from the log")
{
    auto leadership = makeLeadership("a");
    leadership.tailRead(start, start);
    CHECK(leadership.next(start) == LeadershipStep::Claim);
    const auto claim = leadership.claim({7}, "mine", start);
    CHECK_FALSE(leadership.mayOrder(start));
    leadership.applyRecord({.kind = LeadershipRecordKind::Claim, .holder = InstanceId{"b"}, .epoch = 7, .nonce = "theirs"}, {7}, start);
    CHECK_FALSE(leadership.ownEpoch());
    leadership.applyRecord(claim, {9}, start);
    REQUIRE(leadership.ownEpoch());
    CHECK(*leadership.ownEpoch() == 9);
    CHECK(leadership.mayOrder(start));
}

// Guards against orders of a holder whose renewals no longer reach the log, after another instance may have claimed.
TEST_CASE("a holder without renewals stops its orders before others claim")
{
    auto holder = makeLeadership("a");
    auto other = makeLeadership("b");
    win(holder, {3}, start);
    holder.renewed(start + Millis{500});
    other.tailRead(start, start);
    other.applyRecord(holder.renewal(), {4}, start + Millis{510});
    for (auto t = Millis{0}; t < Millis{5'000}; t += Millis{10}) {
        const auto now = start + t;
        other.tailRead(now, now);
        const auto claims = other.next(now) == LeadershipStep::Claim;
        CHECK_FALSE((claims && holder.mayOrder(now)));
    }
    CHECK(other.next(start + Millis{3'000}) == LeadershipStep::Claim);
}

// Guards against a change of planner after every short outage of the store; the change costs more than the outage.
TEST_CASE("time in which the log cannot be read does not count as silence of the holder")
{
    auto other = makeLeadership("b");
    other.tailRead(start, start);
    other.applyRecord({.kind = LeadershipRecordKind::Renewal, .holder = InstanceId{"a"}, .epoch = 3}, {4}, start);
    other.tailLost();
    const auto back = start + Millis{6'000};
    CHECK(other.next(back) == LeadershipStep::None);
    other.tailRead(back, back);
    CHECK(other.next(back + Millis{1'900}) == LeadershipStep::None);
    other.tailRead(back + Millis{2'000}, back + Millis{2'000});
    CHECK(other.next(back + Millis{2'100}) == LeadershipStep::Claim);
}

// Guards against a planner on an instance that is far from the store or too small, while a better suited one is available.
TEST_CASE("instances near the store and with enough cores claim before far and small ones")
{
    const auto near = claimDelay(Millis{5}, 0.5);
    const auto far = claimDelay(Millis{45}, 0.5);
    const auto small = claimDelay(Millis{5}, 0.12);
    const auto farTrip = Millis{45};
    // The earlier claim must have been read in the far region before the later one is made.
    CHECK(near + 2 * farTrip <= far);
    CHECK(far + 2 * farTrip <= small);
    CHECK(claimDelay(Millis{30'000}, 0.12) <= Millis{1'000});
}

// Guards against an instance that claims a vacant leadership before better suited ones.
TEST_CASE("a vacant leadership is claimed after the instance's claim delay")
{
    auto other = makeLeadership("b");
    other.tailRead(start, start);
    other.setClaimDelay(claimDelay(Millis{5}, 0.12));
    CHECK(other.next(start + Millis{400}) == LeadershipStep::None);
    CHECK(other.next(start + Millis{430}) == LeadershipStep::Claim);
}

// Guards against a gap in planning after a planned stop.
TEST_CASE("a resignation is followed by a claim at once")
{
    auto holder = makeLeadership("a");
    auto other = makeLeadership("b");
    win(holder, {3}, start);
    other.tailRead(start, start);
    other.applyRecord(holder.renewal(), {4}, start);
    CHECK(other.next(start + Millis{100}) == LeadershipStep::None);
    other.applyRecord(holder.resignation(), {5}, start + Millis{100});
    CHECK(other.next(start + Millis{101}) == LeadershipStep::Claim);
}

// Guards against seconds without a planner after its process has ended, and against a claim because the process of an earlier
// holder has ended.
TEST_CASE("the end of the holder's process is followed by a claim at once")
{
    auto other = makeLeadership("b");
    other.tailRead(start, start);
    other.applyRecord({.kind = LeadershipRecordKind::Renewal, .holder = InstanceId{"a"}, .epoch = 3}, {4}, start);
    other.holderDisconnected(2, start + Millis{10});
    CHECK(other.next(start + Millis{11}) == LeadershipStep::None);
    other.holderDisconnected(3, start + Millis{20});
    CHECK(other.next(start + Millis{21}) == LeadershipStep::Claim);
    // The holder is still running: its next renewal ends the vacancy.
    other.applyRecord({.kind = LeadershipRecordKind::Renewal, .holder = InstanceId{"a"}, .epoch = 3}, {5}, start + Millis{30});
    CHECK(other.next(start + Millis{31}) == LeadershipStep::None);
}

// Guards against a late record of an earlier planner that replaces the current holder.
TEST_CASE("records of an earlier epoch change nothing")
{
    auto leadership = makeLeadership("b");
    leadership.tailRead(start, start);
    leadership.applyRecord({.kind = LeadershipRecordKind::Claim, .holder = InstanceId{"a"}}, {8}, start);
    leadership.applyRecord({.kind = LeadershipRecordKind::Resignation, .holder = InstanceId{"c"}, .epoch = 5}, {9}, start + Millis{10});
    CHECK(leadership.holder()->holder == InstanceId{"a"});
    CHECK(leadership.next(start + Millis{100}) == LeadershipStep::None);
}

// Guards against a pause in planning after all processes were killed: the holder's new process knows that the old one has ended.
TEST_CASE("a restarted holder claims at once")
{
    auto leadership = makeLeadership("a");
    leadership.tailRead(start, start);
    leadership.applyRecord({.kind = LeadershipRecordKind::Renewal, .holder = InstanceId{"a"}, .epoch = 8, .nonce = "of the earlier process"}, {9}, start);
    CHECK(leadership.next(start + Millis{1}) == LeadershipStep::Claim);
}

// Guards against a second claim of a process that already holds the leadership: its own claim, read back from the log, must not
// count as one of an earlier process of the same instance.
TEST_CASE("a claim of this process is not mistaken for one of an earlier process")
{
    auto leadership = makeLeadership("a");
    leadership.tailRead(start, start);
    const auto claim = leadership.claim({5}, "mine", start);
    leadership.applyRecord(claim, {5}, start + Millis{5});
    CHECK(leadership.next(start + Millis{6}) == LeadershipStep::None);
    CHECK(leadership.ownEpoch());
}

#include "policy/leasebounds.h"
#include "policy/testing/restartplanner.h"

#include <doctest/doctest.h>

using namespace Catkin;
using namespace Catkin::Testing;

/// Work of a worker whose process has ended, as another worker at its address shows.

namespace
{

const auto successorId = WorkerId{"w3"};
/// What the fixture's two workers and a third one say of themselves.
struct Entry
{
    WorkerId id;
    std::string address;
    Incarnation born;
    std::string service = "s";
};

const auto own = Entry{.id = workerId, .address = "10.0.0.0:1", .born = firstBorn};
const auto other = Entry{.id = WorkerId{"w2"}, .address = "10.0.0.1:1", .born = firstBorn};
const auto successor = Entry{.id = successorId, .address = "10.0.0.0:1", .born = secondBorn};

auto listEntries(Planner &planner, const std::vector<Entry> &entries) -> void
{
    auto listed = std::vector<PoolWorkerInfo>{};
    for (const auto &it : entries) {
        listed.push_back({.id = it.id,
                          .address = it.address,
                          .service = ServiceId{it.service},
                          .capacity = {.cpuMillis = 32'000, .memoryMb = 64'000, .accelerators = 8},
                          .born = it.born});
    }
    planner.core.setWorkers(listed, planner.now);
}

/// How the start order of the task fared before its worker was out of reach.
enum class Start { Listed, Accepted, Unanswered, Open };

auto startTask(Planner &planner, Start how) -> PoolOrder
{
    auto order = planner.place();
    if (how == Start::Unanswered) {
        planner.core.applyOrder(order, {.outcome = OrderOutcome::OutcomeUnknown}, planner.now);
    } else if (how != Start::Open) {
        planner.accept(order, planner.firstClockNow());
    }
    if (how == Start::Listed) {
        planner.now += Millis{20};
        auto reply = WorkerPollReply{.clock = planner.firstClockNow(), .born = firstBorn};
        reply.running.push_back({.task = order.task, .attempt = order.attempt, .percent = 1});
        planner.core.applyPollReply(workerId, reply, planner.now, planner.now);
    }
    planner.now += Millis{900};
    planner.core.pollFailed(workerId);
    return order;
}

/// @return where the planning pass starts the task; empty: nowhere
auto startedOn(Planner &planner) -> WorkerId
{
    const auto starts = planner.plan().starts;
    REQUIRE(starts.size() <= 1);
    return starts.empty() ? WorkerId{} : starts.front().worker;
}

}

// Guards against work that waits for the lease of a process that has ended, and for the late calls to it, although another one listens at its address.
TEST_CASE("work of a worker starts elsewhere when another worker's entry names its address")
{
    for (const auto how : {Start::Listed, Start::Accepted, Start::Unanswered, Start::Open}) {
        for (const auto isListed : {true, false}) {
            CAPTURE(static_cast<int>(how));
            CAPTURE(isListed);
            auto planner = Planner{};
            startTask(planner, how);
            CHECK(startedOn(planner).empty());
            listEntries(planner, isListed ? std::vector{own, other, successor} : std::vector{other, successor});
            CHECK(startedOn(planner) == other.id);
            CHECK(planner.hasLine("address_taken", "worker=w1 by=w3 address=10.0.0.0:1 lifetime=1000 attempts=1"));
            // Its entry may stay for three heartbeats, and its list may arrive late. Neither counts.
            listEntries(planner, {own, other, successor});
            planner.core.applyPollReply(workerId, {.clock = planner.firstClockNow(), .born = firstBorn}, planner.now - Millis{2'000}, planner.now);
            CHECK_FALSE(planner.core.workers().contains(workerId));
            CHECK(planner.core.leaseFor(workerId, planner.now).value == 0);
        }
    }
}

// Guards against the same wait when the successor has not written its entry yet, or when its entry cannot be read.
TEST_CASE("work of a worker starts elsewhere when another worker answers at its address")
{
    for (const auto how : {Start::Listed, Start::Accepted, Start::Unanswered, Start::Open}) {
        CAPTURE(static_cast<int>(how));
        auto planner = Planner{};
        startTask(planner, how);
        CHECK(planner.core.otherWorkerAnswered(workerId, planner.now, planner.now + Millis{5}));
        CHECK(startedOn(planner) == other.id);
        CHECK(planner.hasLine("address_taken", "worker=w1 by=unknown"));
        listEntries(planner, {own, other});
        CHECK_FALSE(planner.core.workers().contains(workerId));
    }
}

// Guards against work that begins a second time while its worker runs on: what another worker at the address shows is older, or comes from another writer.
TEST_CASE("work is not placed elsewhere because of an earlier worker at the address, or an entry that names no worker to use")
{
    const auto entries = std::vector<Entry>{
        {.id = successorId, .address = own.address, .born = Incarnation{firstBorn.value - 1}},
        {.id = successorId, .address = own.address, .born = firstBorn},
        {.id = successorId, .address = own.address, .born = secondBorn, .service = "unknown"},
        {.id = successorId, .address = "10.0.0.2:1", .born = secondBorn},
    };
    for (const auto &it : entries) {
        CAPTURE(it.born.value);
        CAPTURE(it.service);
        auto planner = Planner{};
        startTask(planner, Start::Listed);
        listEntries(planner, {own, other, it});
        CHECK(startedOn(planner).empty());
        CHECK(planner.core.workers().at(workerId).allocations.size() == 1);
    }
    // Asked for before the last list: the answer may be older than the worker.
    auto planner = Planner{};
    startTask(planner, Start::Listed);
    CHECK_FALSE(planner.core.otherWorkerAnswered(workerId, planner.core.workers().at(workerId).answeredAt - Millis{1}, planner.now));
    CHECK(startedOn(planner).empty());
}

// Guards against a task that runs twice when the worker comes back at its address, where its start order may still arrive.
TEST_CASE("a worker that comes back at an address that another one had taken gets a stop order for what may still begin there")
{
    auto planner = Planner{};
    startTask(planner, Start::Unanswered);
    listEntries(planner, {own, other, successor});
    CHECK(startedOn(planner) == other.id);
    planner.now += Millis{2'000};
    listEntries(planner, {{.id = workerId, .address = own.address, .born = thirdBorn}, other});
    const auto stops = planner.plan().stops;
    REQUIRE(stops.size() == 1);
    CHECK(stops.front().worker == workerId);
    CHECK(stops.front().attempt == 1);
    CHECK(planner.core.pollPauseAfterFailure(workerId, planner.now) == PollPause::AfterUrgentFailure);
}

// Guards against a task that is placed elsewhere while nobody is at the address any more, so that its worker may come back there unseen.
TEST_CASE("a task with a late start order waits when the successor of its worker has gone as well")
{
    auto planner = Planner{};
    planner.beforePlacing = [&] {
        planner.core.pollFailed(planner.ids[1]); // no room elsewhere
        listEntries(planner, {own, other, successor});
        planner.plan();
        listEntries(planner, {other});
        planner.core.applyPollReply(planner.ids[1], {.clock = planner.firstClockNow(), .born = firstBorn}, planner.now, planner.now);
    };
    CHECK(planner.loseStart(planner.place()).starts.empty());
    planner.now += Millis{13'000};
    planner.core.applyPollReply(planner.ids[1], {.clock = planner.firstClockNow(), .born = firstBorn}, planner.now, planner.now);
    CHECK(startedOn(planner) == other.id);
}

// Guards against a new planner that waits for the lease of a worker whose entry had gone before its term, although another one is at the address.
TEST_CASE("a new planner places work again whose worker had lost its address before the takeover")
{
    for (const auto isLate : {true, false}) {
        CAPTURE(isLate);
        auto planner = Planner{};
        const auto order = planner.place();
        if (isLate) {
            planner.beforePlacing = [&] { planner.core.pollFailed(workerId); };
            CHECK(planner.loseStart(order).starts.empty());
        } else {
            planner.accept(order, planner.firstClockNow());
        }
        auto state = *planner.core.find(JobId{"a"});
        auto known = KnownLeaseBounds{};
        noteLeaseBounds(known, {.lateStarts = planner.core.composeLateStarts(planner.now)}, planner.now);
        planner.core = PoolCore{PoolOptions{}};
        planner.core.adoptLateStarts(known.lateStarts);
        planner.core.setRules({.version = {1}, .queues = {{QueueId{"q"}, *state.job.rules}}});
        planner.core.addJob(state.job, planner.now);
        planner.core.adoptRecord(JobId{"a"}, state, planner.now + Millis{10'000}, planner.now);
        planner.core.tookOver(planner.now);
        listEntries(planner, {other, successor});
        planner.core.applyPollReply(other.id, {.clock = planner.firstClockNow(), .born = firstBorn}, planner.now, planner.now);
        CHECK(startedOn(planner).empty());
        CHECK(planner.core.hasUnlistedWork());
        CHECK(planner.core.recallEntry(workerId, own.address, firstBorn));
        CHECK_FALSE(planner.core.recallEntry(workerId, own.address, firstBorn));
        listEntries(planner, {other, successor});
        CHECK(startedOn(planner) == other.id);
    }
}

// Guards against a task with a late start order that waits for a worker which has left, although its successor, such as a new version, is at the address.
TEST_CASE("a task with a late start order is placed again when its worker has left and another one is at the address")
{
    for (const auto hasSuccessor : {true, false}) {
        CAPTURE(hasSuccessor);
        auto planner = Planner{};
        startTask(planner, Start::Unanswered);
        planner.core.workerLeft(workerId);
        listEntries(planner, hasSuccessor ? std::vector{other, successor} : std::vector{other});
        CHECK(startedOn(planner) == (hasSuccessor ? other.id : WorkerId{}));
    }
}

// Guards against a wait that becomes longer because the last entry of a worker is known, and against a restart that is not noticed for the same reason.
TEST_CASE("the last entry of a worker without one ends no attempt and prolongs no wait")
{
    for (const auto isBack : {false, true}) {
        CAPTURE(isBack);
        auto planner = Planner{};
        planner.accept(planner.place(), planner.firstClockNow());
        const auto state = *planner.core.find(JobId{"a"});
        planner.core = PoolCore{PoolOptions{}};
        planner.core.setRules({.version = {1}, .queues = {{QueueId{"q"}, *state.job.rules}}});
        planner.core.addJob(state.job, planner.now);
        planner.core.adoptRecord(JobId{"a"}, state, planner.now + Millis{10'000}, planner.now);
        planner.core.tookOver(planner.now);
        listEntries(planner, {other});
        CHECK(planner.core.recallEntry(workerId, own.address, secondBorn));
        CHECK(startedOn(planner).empty());
        if (isBack) {
            listEntries(planner, {{.id = workerId, .address = own.address, .born = secondBorn}, other});
        }
        planner.now += Millis{10'001};
        planner.core.applyPollReply(other.id, {.clock = planner.firstClockNow(), .born = firstBorn}, planner.now, planner.now);
        // A start order of the earlier planner may reach the lifetime that is back.
        CHECK(startedOn(planner) == (isBack ? WorkerId{} : other.id));
        CHECK(planner.hasLine("worker_reborn", "worker=w1 listed_born=2000 before=1000") == isBack);
    }
}

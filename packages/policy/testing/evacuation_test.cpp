#include "policy/evacuation.h"
#include "policy/evacuationmoves.h"

#include "policy/testing/idlefleet.h"

#include <doctest/doctest.h>

using namespace Catkin;
using namespace Catkin::Testing;

namespace
{

const auto left = FailureDomainId{"left"};
const auto right = FailureDomainId{"right"};

/// A planner with workers of eight accelerators each in two failure domains: those with the lower numbers are in the left one.
struct TwoDomains : Fleet
{
    TwoDomains(int inLeft, int inRight)
        : Fleet(inLeft + inRight)
    {
        auto listed = workers;
        for (auto i = 0; i < inLeft + inRight; ++i) {
            listed[static_cast<std::size_t>(i)].domain = i < inLeft ? left : right;
        }
        list(listed);
    }

    [[nodiscard]] auto isIn(const FailureDomainId &domain, const WorkerId &id) const -> bool
    {
        return core.workers().at(id).info.domain == domain;
    }

    [[nodiscard]] auto countIn(const FailureDomainId &domain, const std::vector<PoolOrder> &orders) const -> int
    {
        return static_cast<int>(std::count_if(orders.begin(), orders.end(), [&](const PoolOrder &it) { return isIn(domain, it.worker); }));
    }

    [[nodiscard]] auto attemptsIn(const FailureDomainId &domain) const -> int
    {
        auto n = 0;
        for (const auto &[id, it] : core.workers()) {
            n += it.info.domain == domain ? static_cast<int>(it.allocations.size()) : 0;
        }
        return n;
    }

    /// Starts a long-running job of @p tasks in the left domain, which is evacuated afterwards.
    auto serveInLeft(const std::string &id, const std::string &queue, int tasks, std::int64_t accelerators) -> void
    {
        auto step = gangOf(tasks, accelerators);
        step.gang = false;
        step.longRunning = true;
        core.setEvacuated({right});
        core.addJob(makeJob(id, queue, step), now);
        REQUIRE(tasksOf(run(Millis{300}), id) == tasks);
        core.setEvacuated({left});
    }

    /// @return long-running jobs of which a task stops or does not run.
    [[nodiscard]] auto interrupted() const -> int
    {
        auto out = 0;
        for (const auto &[id, state] : core.jobs()) {
            auto runs = true;
            auto key = TaskKey{.job = id};
            for (; containsTask(state, key); ++key.index) {
                const auto &it = taskAt(state, key);
                runs = runs && it.phase == TaskPhase::Placed && it.attemptPhase == AttemptPhase::Running
                       && !core.workers().at(it.worker).allocations.at({key, it.attempt}).stopping;
            }
            out += state.job.steps[0].longRunning && !runs ? 1 : 0;
        }
        return out;
    }

    [[nodiscard]] auto reasonOf(const std::string &job) const -> std::string
    {
        return core.find(JobId{job})->reason;
    }
};

auto taskOf(const Fleet &fleet, const std::string &job) -> const TaskState &
{
    return fleet.core.find(JobId{job})->occurrences[0].steps[0].tasks[0];
}

auto hasReason(const PoolEffects &effects, const std::string &reason) -> bool
{
    return hasDecision(effects, "stopping", "reason=" + reason);
}

}

// Guards against placements in an evacuated domain while work keeps arriving, and against a domain that stays closed after the revocation.
TEST_CASE("nothing is placed in an evacuated domain until the evacuation is revoked")
{
    auto fleet = TwoDomains{2, 2};
    fleet.core.setEvacuated({left});
    fleet.core.addJob(makeJob("b", "batch", batchOf(24)), fleet.now);
    const auto starts = fleet.run(Millis{3'000});
    CHECK(fleet.countIn(left, starts) == 0);
    CHECK(fleet.countIn(right, starts) == 16);
    fleet.core.setEvacuated({});
    CHECK(fleet.countIn(left, fleet.run(Millis{3'000})) == 8);
}

// Guards against callers who wait without a reason for work that only workers of an evacuated domain could take.
TEST_CASE("a job that fits only in an evacuated domain is set aside at once, with a reason")
{
    auto fleet = TwoDomains{2, 1};
    fleet.core.setEvacuated({left});
    fleet.core.addJob(makeJob("g", "batch", gangOf(2, 8)), fleet.now);
    fleet.core.addJob(makeJob("b", "batch", batchOf(8)), fleet.now);
    const auto effects = fleet.plan();
    CHECK(hasDecision(effects, "set_aside", "reason=evacuated"));
    CHECK(fleet.reasonOf("g") == "the workers that can take a step of the job are in an evacuated failure domain");
    CHECK(tasksOf(effects.starts, "b") == 8); // no reservation for the gang keeps others out
    fleet.answer(effects.starts, OrderOutcome::Accepted);
    fleet.answerPolls();
    fleet.core.setEvacuated({});
    CHECK(tasksOf(fleet.run(Millis{500}), "g") == 2);
    CHECK(fleet.reasonOf("g").empty());
}

// Guards against a start order that is repeated after the evacuation because its first try was not answered.
TEST_CASE("an unanswered start order is not repeated in an evacuated domain, and its attempt is stopped")
{
    auto fleet = TwoDomains{1, 0};
    fleet.core.addJob(makeJob("b", "batch", batchOf(2)), fleet.now);
    const auto first = fleet.plan();
    REQUIRE(first.starts.size() == 2);
    fleet.answer({first.starts[0]}, OrderOutcome::Accepted);
    fleet.answer({first.starts[1]}, OrderOutcome::OutcomeUnknown);
    fleet.core.setEvacuated({left});
    auto stops = std::vector<PoolOrder>{};
    for (auto i = 0; i < 20; ++i) {
        const auto effects = fleet.plan();
        CHECK(effects.starts.empty());
        stops.insert(stops.end(), effects.stops.begin(), effects.stops.end());
        fleet.answer(effects.stops, OrderOutcome::Accepted);
    }
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].task == first.starts[1].task);
    CHECK(fleet.core.isCurrent(first.starts[1]) == false);
}

// Guards against a start order that was queued behind others before the evacuation and is sent after it.
TEST_CASE("a queued start order is withdrawn at once, and its task placed elsewhere without blame for the worker")
{
    auto fleet = TwoDomains{1, 1};
    fleet.core.addJob(makeJob("b", "batch", batchOf(16)), fleet.now);
    const auto queued = fleet.plan();
    REQUIRE(fleet.countIn(left, queued.starts) == 8);
    fleet.core.setEvacuated({left});
    for (const auto &it : queued.starts) {
        CHECK(fleet.core.isCurrent(it) == fleet.isIn(right, it.worker));
        fleet.answer({it}, fleet.isIn(right, it.worker) ? OrderOutcome::Accepted : OrderOutcome::NotSent);
    }
    CHECK(fleet.core.workers().at(WorkerId{"w0"}).failures == 0);
    CHECK(fleet.core.workers().at(WorkerId{"w0"}).allocations.empty());
    CHECK(fleet.plan().starts.empty());
    fleet.core.setEvacuated({});
    CHECK(fleet.countIn(left, fleet.run(Millis{500})) == 8);
}

// Guards against members of a gang that run on without the one whose start order is withdrawn.
TEST_CASE("a gang with an unanswered member in an evacuated domain is stopped as a whole")
{
    auto fleet = TwoDomains{1, 2};
    fleet.core.addJob(makeJob("g", "batch", gangOf(2, 8)), fleet.now);
    const auto first = fleet.plan();
    REQUIRE(first.starts.size() == 2);
    REQUIRE(fleet.countIn(left, first.starts) == 1);
    fleet.answer({first.starts[1]}, OrderOutcome::Accepted);
    fleet.answer({first.starts[0]}, OrderOutcome::OutcomeUnknown);
    fleet.core.setEvacuated({left});
    const auto effects = fleet.plan();
    CHECK(effects.stops.size() == 2);
    CHECK(hasReason(effects, "evacuated"));
    fleet.answer(effects.stops, OrderOutcome::Accepted);
    fleet.answerPolls();
    const auto starts = fleet.run(Millis{1'000});
    CHECK(fleet.countIn(right, starts) == 2);
    CHECK(fleet.countIn(left, starts) == 0);
}

// Guards against the loss of work that runs when the evacuation begins.
TEST_CASE("work that runs in an evacuated domain continues, also for a planner that takes over")
{
    auto fleet = TwoDomains{1, 0};
    fleet.core.addJob(makeJob("b", "batch", batchOf(4)), fleet.now);
    CHECK(fleet.run(Millis{500}).size() == 4);
    fleet.core.setEvacuated({left});
    for (auto i = 0; i < 10; ++i) {
        const auto effects = fleet.plan();
        CHECK(effects.stops.empty());
        fleet.answerPolls();
    }
    CHECK(fleet.attemptsIn(left) == 4);
    auto next = TwoDomains{1, 0};
    next.core.suspendStarts(true);
    next.core.addJob(makeJob("b", "batch", batchOf(4)), next.now);
    next.core.adoptRecord(JobId{"b"}, *fleet.core.find(JobId{"b"}), next.now + Seconds{12}, next.now);
    next.core.addJob(makeJob("c", "batch", batchOf(1)), next.now);
    next.answerPolls();
    CHECK(next.run(Millis{500}).empty()); // the operators' log has not been read
    next.core.setEvacuated({left});
    next.core.suspendStarts(false);
    CHECK(next.run(Millis{1'000}).empty());
    CHECK(next.attemptsIn(left) == 4);
    CHECK(next.logged("stopping").empty());
}

// Guards against work that is preempted in an evacuated domain for the sake of work that cannot start there.
TEST_CASE("urgent work preempts nothing in an evacuated domain")
{
    auto fleet = TwoDomains{1, 1};
    fleet.core.addJob(makeJob("b", "batch", gangOf(2, 8)), fleet.now);
    REQUIRE(fleet.run(Millis{500}).size() == 2);
    fleet.core.setEvacuated({left});
    fleet.core.addJob(makeJob("u", "urgent", gangOf(2, 8)), fleet.now);
    CHECK(fleet.run(Millis{2'000}).empty());
    CHECK(fleet.logged("preempted").empty());
}

// Guards against starts by a planner that may not know of an evacuation.
TEST_CASE("while starts are suspended nothing is placed, queued orders are withdrawn, and stop orders go out")
{
    auto fleet = TwoDomains{1, 1};
    fleet.core.addJob(makeJob("b", "batch", batchOf(2)), fleet.now);
    const auto first = fleet.plan();
    REQUIRE(first.starts.size() == 2);
    fleet.answer({first.starts[0]}, OrderOutcome::Accepted);
    fleet.core.suspendStarts(true);
    CHECK_FALSE(fleet.core.isCurrent(first.starts[1]));
    fleet.answer({first.starts[1]}, OrderOutcome::NotSent);
    CHECK(fleet.core.workers().at(first.starts[1].worker).failures == 0);
    fleet.core.addJob(makeJob("c", "batch", batchOf(1)), fleet.now);
    CHECK(fleet.run(Millis{500}).empty());
    fleet.core.cancelJob(JobId{"b"}, fleet.now);
    CHECK(fleet.plan().stops.size() == 1);
    fleet.core.suspendStarts(false);
    CHECK(tasksOf(fleet.run(Millis{500}), "c") == 1);
}

// Guards against work that runs slowly on cold workers after a revocation while others are free, and against cold workers that are not used at all.
TEST_CASE("a cold worker is chosen after those that are not cold, until its time is over")
{
    auto fleet = TwoDomains{1, 1};
    fleet.core.workerCold(WorkerId{"w0"}, Millis{3'000}, fleet.now);
    fleet.core.addJob(makeJob("b", "batch", batchOf(8)), fleet.now);
    const auto first = fleet.run(Millis{500});
    CHECK(fleet.countIn(right, first) == 8);
    fleet.core.addJob(makeJob("c", "batch", batchOf(1)), fleet.now);
    CHECK(fleet.countIn(left, fleet.run(Millis{500})) == 1); // no other has room
    auto evacuation = Evacuation{};
    noteCold(evacuation, WorkerId{"w0"}, Millis{3'000}, fleet.now);
    CHECK(isCold(evacuation, WorkerId{"w0"}, fleet.now + Millis{2'999}));
    CHECK_FALSE(isCold(evacuation, WorkerId{"w0"}, fleet.now + Millis{3'000}));
    noteCold(evacuation, WorkerId{"w0"}, Millis{0}, fleet.now);
    CHECK_FALSE(isCold(evacuation, WorkerId{"w0"}, fleet.now));
}

// Guards against an operator who cannot see when the domain may be switched off.
TEST_CASE("begin, emptiness and end of an evacuation are logged once")
{
    auto fleet = TwoDomains{2, 1};
    fleet.core.addJob(makeJob("b", "batch", batchOf(20)), fleet.now);
    CHECK(fleet.run(Millis{300}).size() == 20);
    const auto attempts = fleet.attemptsIn(left);
    REQUIRE(attempts > 0);
    fleet.core.setEvacuated({left});
    fleet.run(Millis{500});
    CHECK(fleet.logged("evacuation_began") == std::vector<std::string>{"domain=left workers=2 attempts=" + std::to_string(attempts)});
    CHECK(fleet.logged("evacuation_empty").empty());
    fleet.core.cancelJob(JobId{"b"}, fleet.now);
    fleet.run(Millis{1'500});
    CHECK(fleet.logged("evacuation_empty") == std::vector<std::string>{"domain=left"});
    fleet.core.setEvacuated({});
    fleet.run(Millis{500});
    CHECK(fleet.logged("evacuation_ended") == std::vector<std::string>{"domain=left"});
    CHECK(fleet.logged("evacuation_empty").size() == 1);
}

// Guards against a short time without an evacuation, and against one that stays for ever, when the log is read again from a snapshot.
TEST_CASE("a snapshot without an evacuation revokes it at the snapshot's end and not before")
{
    auto records = EvacuationRecords{};
    CHECK_FALSE(records.isKnown);
    beginSnapshot(records);
    CHECK(noteEvacuation(records, left, true));
    CHECK_FALSE(records.isKnown);
    CHECK(noteRead(records));
    CHECK(records.isKnown);
    CHECK(noteEvacuation(records, right, true));
    CHECK_FALSE(noteEvacuation(records, right, true));
    CHECK_FALSE(noteRead(records));
    beginSnapshot(records);
    CHECK_FALSE(noteEvacuation(records, right, true));
    CHECK(records.inForce == std::set{left, right});
    CHECK(noteRead(records));
    CHECK(records.inForce == std::set{right});
    CHECK(noteEvacuation(records, right, false));
    CHECK(records.inForce.empty());
}

// Guards against starts on the word of an old read, and against a limit where a deployment has none.
TEST_CASE("the last read of the operators' log must be recent only where evacuations have a bound")
{
    const auto now = MonoTime{Seconds{100}};
    const auto limit = placementReadLimit(Millis{5'000});
    CHECK(isReadRecent(now - Millis{3'900}, limit, now));
    CHECK_FALSE(isReadRecent(now - Millis{4'000}, limit, now));
    CHECK_FALSE(isReadRecent(std::nullopt, limit, now));
    CHECK_FALSE(isReadRecent(std::nullopt, std::nullopt, now));
    CHECK(isReadRecent(now - Millis{60'000}, placementReadLimit(std::nullopt), now));
    // Reads are up to 1.6 s old in ordinary operation; a shorter limit would suspend starts while the log is read without a fault.
    CHECK(placementReadLimit(Millis{1'000}) == Millis{2'500});
}

// Load: four services run in a domain when it is evacuated, and batch jobs keep coming and going in the other one. Guards against services that stay
// in the domain for ever, against several that are interrupted at a time, and against batch work that takes the room of a service that stops.
TEST_CASE("long-running tasks leave an evacuated domain one step at a time beside a stream of batch jobs")
{
    auto fleet = TwoDomains{2, 3};
    for (const auto *it : {"s0", "s1", "s2", "s3"}) {
        fleet.serveInLeft(it, "urgent", 2, 2);
    }
    REQUIRE(fleet.attemptsIn(left) == 8);
    fleet.log.clear();
    for (auto i = 0; i < 40; ++i) {
        fleet.core.addJob(makeJob("b" + std::to_string(i), "batch", batchOf(2)), fleet.now);
        fleet.core.cancelJob(JobId{"b" + std::to_string(i - 2)}, fleet.now);
        CHECK(fleet.countIn(left, fleet.run(Millis{100})) == 0);
        CHECK(fleet.interrupted() <= 1);
    }
    CHECK(fleet.attemptsIn(left) == 0);
    CHECK(fleet.logged("moved_for_evacuation").size() == 4);
    CHECK(fleet.logged("evacuation_empty").size() == 1);
    CHECK(fleet.logged("preempted").empty());
}

// Guards against a service that is stopped without a place to go, and against one that takes the room of work that waits.
TEST_CASE("long-running tasks stay while they do not fit elsewhere, or equally urgent work waits")
{
    auto fleet = TwoDomains{1, 2};
    fleet.serveInLeft("s", "batch", 2, 4);
    fleet.core.addJob(makeJob("u", "batch", gangOf(2, 6)), fleet.now);
    fleet.run(Millis{2'000});
    fleet.core.addJob(makeJob("g", "batch", gangOf(2, 8)), fleet.now); // waits for u
    fleet.core.cancelJob(JobId{"u"}, fleet.now);
    fleet.core.addJob(makeJob("v", "urgent", gangOf(1, 4)), fleet.now);
    fleet.run(Millis{10'000});
    CHECK(fleet.attemptsIn(left) == 2);
    CHECK(fleet.logged("moved_for_evacuation").empty());
    fleet.core.cancelJob(JobId{"g"}, fleet.now);
    fleet.run(Millis{2'000});
    CHECK(fleet.attemptsIn(left) == 0);
}

// Guards against members of a gang that run on alone, and against the room of the gang's own members that is not counted.
TEST_CASE("a long-running gang with members inside and outside of an evacuated domain moves whole")
{
    auto fleet = TwoDomains{1, 2};
    auto gang = gangOf(2, 8);
    gang.longRunning = true;
    fleet.core.addJob(makeJob("s", "batch", gang), fleet.now);
    fleet.run(Millis{300});
    REQUIRE(fleet.attemptsIn(left) == 1);
    fleet.core.setEvacuated({left});
    fleet.run(Millis{1'000});
    CHECK(fleet.logged("moved_for_evacuation").size() == 1);
    CHECK(fleet.attemptsIn(right) == 2);
}

// Guards against further services that are stopped while one that was moved has lost its room, and against less urgent work that takes the room.
TEST_CASE("a moved step whose room is taken waits by the ordinary rules, and no other moves for a while")
{
    auto fleet = TwoDomains{1, 1};
    fleet.serveInLeft("s", "batch", 1, 3);
    fleet.serveInLeft("t", "batch", 1, 3);
    const auto move = fleet.plan();
    REQUIRE(tasksOf(move.stops, "s") == 1);
    fleet.core.addJob(makeJob("b", "batch", batchOf(8)), fleet.now);
    const auto beside = fleet.plan();
    CHECK(tasksOf(beside.starts, "b") == 5);
    fleet.answer(beside.starts, OrderOutcome::Accepted);
    fleet.core.cancelJob(JobId{"b"}, fleet.now);
    fleet.core.addJob(makeJob("u", "urgent", gangOf(1, 8)), fleet.now);
    fleet.answer(move.stops, OrderOutcome::Accepted);
    fleet.run(Millis{15'000});
    CHECK(taskOf(fleet, "s").phase == TaskPhase::Waiting);
    CHECK(fleet.isIn(left, taskOf(fleet, "t").worker));
    CHECK(fleet.logged("evacuation_moves_paused").size() == 1);
    fleet.core.cancelJob(JobId{"u"}, fleet.now);
    fleet.run(Millis{40'000});
    CHECK(fleet.isIn(right, taskOf(fleet, "s").worker));
    CHECK(fleet.isIn(left, taskOf(fleet, "t").worker));
    fleet.run(Millis{20'000});
    CHECK(fleet.attemptsIn(left) == 0);
}

// Guards against a second service that is interrupted because the next planner does not know of the move, and against one that is forgotten.
TEST_CASE("a planner that takes over in the middle of a move goes on from the workers' lists")
{
    enum class Moment { StopSent, Stopped, StartSent };
    for (const auto moment : {Moment::StopSent, Moment::Stopped, Moment::StartSent}) {
        CAPTURE(static_cast<int>(moment));
        auto fleet = TwoDomains{1, 1};
        fleet.serveInLeft("s", "batch", 1, 3);
        fleet.serveInLeft("t", "batch", 1, 3);
        const auto move = fleet.plan();
        REQUIRE(tasksOf(move.stops, "s") == 1);
        if (moment == Moment::StartSent) {
            fleet.answer(move.stops, OrderOutcome::Accepted);
            fleet.answerPolls();
            REQUIRE(tasksOf(fleet.plan().starts, "s") == 1);
        }
        auto next = TwoDomains{1, 1};
        next.core.setEvacuated({left});
        for (const auto &[id, state] : fleet.core.jobs()) {
            next.core.addJob(state.job, next.now);
            next.core.adoptRecord(id, state, next.now + Seconds{12}, next.now);
        }
        next.core.tookOver(next.now);
        auto reply = WorkerPollReply{.clock = WorkerTime{100'050}, .born = Incarnation{1}, .running = {{.task = {.job = JobId{"t"}}, .attempt = 1}}};
        if (moment == Moment::Stopped) {
            reply.completions.push_back({.number = 1, .task = {.job = JobId{"s"}}, .attempt = 1});
        }
        if (moment != Moment::StopSent) {
            next.core.applyPollReply(WorkerId{"w0"}, reply, next.now, next.now);
        }
        CHECK(next.plan().stops.empty()); // it is not known that s runs
        for (auto i = 0; i < 20; ++i) {
            next.answerPolls();
            next.run(Millis{100});
            CHECK(next.interrupted() <= 1);
        }
        CHECK(next.attemptsIn(left) == 0);
        CHECK(next.logged("moved_for_evacuation").size() == (moment == Moment::StopSent ? 2 : 1));
    }
}

// Guards against two moves at a time where services do not hold each other up, and against steps that are never tried behind many that do not fit.
TEST_CASE("one move is open at a time, and each evacuated step is tried in its turn")
{
    auto moves = EvacuationMoves{};
    auto steps = std::vector<EvacuatedStep>{};
    for (auto i = 0; i < 10; ++i) {
        steps.push_back({.id = {.job = JobId{"s" + std::to_string(i)}}, .priority = 9 - i});
    }
    const auto first = stepsToTry(moves, steps, {});
    CHECK(first.size() == 8);
    CHECK(first.front().id == steps.back().id);
    CHECK(stepsToTry(moves, steps, {}).back().id == steps.front().id);
    CHECK(stepsToTry(moves, steps, {}).front().id == steps.back().id);
    const auto now = MonoTime{Seconds{100}};
    beginMove(moves, steps[0].id, now);
    CHECK_FALSE(mayBeginMove(moves, now));
    CHECK(followMove(moves, MoveProgress::Moving, now + Seconds{9}) == MoveResult::Open);
    CHECK(followMove(moves, MoveProgress::Runs, now + Seconds{9}) == MoveResult::Ended);
    CHECK(mayBeginMove(moves, now + Seconds{9}));
}

#include "policy/scheduler.h"
#include "util/random.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

using namespace Catkin;

namespace doctest
{

template<>
struct StringMaker<std::vector<std::string>>
{
    static auto convert(const std::vector<std::string> &values) -> String
    {
        auto text = std::string{};
        for (const auto &value : values) {
            text += value + " ";
        }
        return text.c_str();
    }
};

}

namespace
{

auto at(int seconds) -> MonoTime
{
    return MonoTime{} + Seconds{seconds};
}

/// Workers w0 … of 8 slots, four to a rack.
auto makeFleet(Scheduler &scheduler, int workers) -> void
{
    for (auto w = 0; w < workers; ++w) {
        REQUIRE(scheduler.updateWorker({.worker = WorkerId{"w" + std::to_string(w)}, .rack = RackId{"r" + std::to_string(w / 4)}, .slots = 8}, at(0)));
    }
}

auto job(const char *id, const char *workspace, int tasks, int slots) -> ScheduledJob
{
    return {.job = JobId{id},
            .workspace = WorkspaceId{workspace},
            .caller = CallerId{"c"},
            .kind = KindId{"k"},
            .tasks = tasks,
            .slotsPerTask = slots,
            .restartable = true};
}

using Ids = std::vector<std::string>;

auto startedIn(const Decisions &decisions) -> Ids
{
    auto ids = Ids{};
    for (const auto &start : decisions.starts) {
        ids.push_back(start.job.str());
    }
    return ids;
}

}

TEST_CASE("a covered gang preempts borrowers of its guarantee and starts when all of them have stopped")
{
    // Guards against a guarantee that stays in use by another workspace when its owner submits a job.
    auto scheduler = Scheduler{};
    makeFleet(scheduler, 4);
    scheduler.configure({.workspaces = {{.name = WorkspaceId{"owner"}, .guarantees = {{32, 1}}}, {.name = WorkspaceId{"guest"}}}});
    for (const auto *id : {"a", "b", "c", "d"}) {
        REQUIRE(scheduler.submit(job(id, "guest", 1, 8), at(0)));
    }
    CHECK(scheduler.decide(at(0)).starts.size() == 4);
    auto gang = job("m", "owner", 4, 8);
    gang.adjacency = Adjacency::Rack;
    REQUIRE(scheduler.submit(gang, at(1)));
    auto decisions = scheduler.decide(at(1));
    CHECK(decisions.starts.empty());
    CHECK(decisions.preemptions.size() == 4);
    for (const auto &preemption : decisions.preemptions) {
        CHECK(scheduler.decide(at(2)).starts.empty());
        scheduler.jobEnded(preemption.job, JobEnd::Requeue, at(2));
    }
    decisions = scheduler.decide(at(2));
    REQUIRE(startedIn(decisions) == Ids{"m"});
    CHECK(decisions.starts[0].covered);
    CHECK(scheduler.queue().size() == 4);
    scheduler.jobEnded(JobId{"m"}, JobEnd::Succeeded, at(3));
    CHECK(scheduler.decide(at(3)).starts.size() == 4);
}

TEST_CASE("a job that can be neither checkpointed nor restarted does not start on slots that another workspace's guarantee needs")
{
    auto scheduler = Scheduler{};
    makeFleet(scheduler, 4);
    scheduler.configure({.workspaces = {{.name = WorkspaceId{"owner"}, .guarantees = {{16, 1}}}, {.name = WorkspaceId{"guest"}}}});
    for (const auto *id : {"a", "b", "c", "d"}) {
        auto spec = job(id, "guest", 1, 8);
        spec.restartable = false;
        REQUIRE(scheduler.submit(spec, at(0)));
    }
    CHECK(startedIn(scheduler.decide(at(0))) == Ids{"a", "b"});
    CHECK(scheduler.stats().guaranteeDeficit == 0);
}

TEST_CASE("workspaces borrow by weight, and the caller with the least usage in a workspace starts first")
{
    // Guards against a caller with 95 queued jobs that crowds out another one with 5.
    auto scheduler = Scheduler{};
    makeFleet(scheduler, 3);
    scheduler.configure({.workspaces = {{.name = WorkspaceId{"heavy"}, .weight = 2}, {.name = WorkspaceId{"light"}, .weight = 1}}});
    for (auto i = 0; i < 100; ++i) {
        auto spec = job(("h" + std::to_string(i)).c_str(), "heavy", 1, 1);
        spec.caller = CallerId{i < 95 ? "big" : "small"};
        REQUIRE(scheduler.submit(spec, at(0)));
        REQUIRE(scheduler.submit(job(("l" + std::to_string(i)).c_str(), "light", 1, 1), at(0)));
    }
    const auto ids = startedIn(scheduler.decide(at(0)));
    CHECK(ids.size() == 24);
    CHECK(std::count_if(ids.begin(), ids.end(), [](const auto &id) { return id[0] == 'h'; }) == 16);
    for (const auto *id : {"h95", "h96", "h97", "h98", "h99"}) {
        CHECK(std::find(ids.begin(), ids.end(), id) != ids.end());
    }
}

TEST_CASE("an urgent job preempts borrowers only within its workspace's urgent share")
{
    auto scheduler = Scheduler{};
    makeFleet(scheduler, 4);
    scheduler.configure(
        {.workspaces = {{.name = WorkspaceId{"a"}, .urgentSharePercent = 50}, {.name = WorkspaceId{"b"}}}}); // an urgent share of 8 slots for "a"
    REQUIRE(scheduler.submit(job("fill", "b", 32, 1), at(0)));
    CHECK(scheduler.decide(at(0)).starts.size() == 1);
    for (const auto *id : {"u1", "u2"}) {
        auto spec = job(id, "a", 1, 8);
        spec.urgency = Urgency::Urgent;
        REQUIRE(scheduler.submit(spec, at(1)));
    }
    const auto decisions = scheduler.decide(at(1));
    REQUIRE(decisions.preemptions.size() == 1);
    CHECK(decisions.preemptions[0].beneficiary == JobId{"u1"});
    scheduler.jobEnded(JobId{"fill"}, JobEnd::Requeue, at(2));
    // u1 is within the share. u2 is beyond it and borrows the other slots that became free.
    CHECK(startedIn(scheduler.decide(at(2))) == Ids{"u1", "u2"});
}

TEST_CASE("an urgent job takes over the guarantee from a batch job of its workspace")
{
    auto scheduler = Scheduler{};
    makeFleet(scheduler, 2);
    scheduler.configure({.workspaces = {{.name = WorkspaceId{"a"}, .urgentSharePercent = 100, .guarantees = {{16, 1}}}, {.name = WorkspaceId{"b"}}}});
    auto batch = job("batch", "a", 2, 8);
    batch.urgency = Urgency::Batch;
    REQUIRE(scheduler.submit(batch, at(0)));
    REQUIRE(scheduler.decide(at(0)).starts.at(0).covered);
    auto urgent = job("urgent", "a", 1, 8);
    urgent.urgency = Urgency::Urgent;
    REQUIRE(scheduler.submit(urgent, at(1)));
    REQUIRE(scheduler.decide(at(1)).preemptions.size() == 1);
    scheduler.jobEnded(JobId{"batch"}, JobEnd::Requeue, at(2));
    CHECK(startedIn(scheduler.decide(at(2))) == Ids{"urgent"});
}

TEST_CASE("a job that needs a whole guaranteed shape takes it over from a smaller gang of its workspace that is not urgent")
{
    // Guards against a batch gang that waits for its workspace's guarantee of adjacent slots because a smaller, more urgent
    // gang of the same workspace uses a few of them. It waited 2,014 s in one seed of placement_figures at the design size.
    for (const auto urgency : {Urgency::Batch, Urgency::Normal, Urgency::Urgent}) {
        auto scheduler = Scheduler{};
        makeFleet(scheduler, 4);
        scheduler.configure({.workspaces = {{.name = WorkspaceId{"a"}, .urgentSharePercent = 100, .guarantees = {{32, 1}}}}});
        auto small = job("small", "a", 1, 2);
        small.urgency = urgency;
        REQUIRE(scheduler.submit(small, at(0)));
        REQUIRE(scheduler.decide(at(0)).starts.at(0).covered);
        auto large = job("large", "a", 4, 8);
        large.adjacency = Adjacency::Rack;
        large.urgency = Urgency::Batch;
        REQUIRE(scheduler.submit(large, at(1)));
        auto decisions = scheduler.decide(at(1));
        CHECK(decisions.starts.empty());
        if (urgency == Urgency::Urgent) {
            CHECK(decisions.preemptions.empty());
            continue;
        }
        REQUIRE(decisions.preemptions.size() == 1);
        CHECK(decisions.preemptions[0].beneficiary == JobId{"large"});
        scheduler.jobEnded(JobId{"small"}, JobEnd::Requeue, at(2));
        decisions = scheduler.decide(at(2));
        REQUIRE(startedIn(decisions) == Ids{"large"});
        CHECK(decisions.starts[0].covered);
        // The smaller gang stays queued and does not take the shape back.
        CHECK(decisions.preemptions.empty());
        CHECK(scheduler.decide(at(3)).preemptions.empty());
        scheduler.jobEnded(JobId{"large"}, JobEnd::Succeeded, at(4));
        CHECK(startedIn(scheduler.decide(at(4))) == Ids{"small"});
    }
}

TEST_CASE("a small job starts on slots reserved for a large one only if it ends in time or can be preempted")
{
    // Guards against a large job that never starts because small jobs keep taking the slots that become free.
    auto scheduler = Scheduler{};
    makeFleet(scheduler, 2);
    scheduler.configure({.workspaces = {{.name = WorkspaceId{"a"}}}});
    auto fixedJob = [](const std::string &id, const char *kind) {
        auto spec = job(id.c_str(), "a", 1, 4);
        spec.kind = KindId{kind};
        spec.restartable = false;
        return spec;
    };
    // The scheduler observes run times of 10 s for the kind "short" and of 1000 s for "long".
    for (auto i = 0; i < 10; ++i) {
        const auto id = JobId{"o" + std::to_string(i)};
        REQUIRE(scheduler.submit(fixedJob(id.str(), i % 2 == 0 ? "short" : "long"), at(0)));
        REQUIRE(scheduler.decide(at(0)).starts.size() == 1);
        scheduler.jobStarted(id, at(0));
        scheduler.jobEnded(id, JobEnd::Succeeded, at(i % 2 == 0 ? 10 : 1000));
    }
    for (const auto *id : {"l1", "l2", "l3"}) {
        REQUIRE(scheduler.submit(fixedJob(id, "long"), at(1000)));
    }
    CHECK(scheduler.decide(at(1000)).starts.size() == 3);
    REQUIRE(scheduler.submit(job("large", "a", 2, 8), at(1001)));
    REQUIRE(scheduler.submit(fixedJob("l4", "long"), at(1002)));
    REQUIRE(scheduler.submit(fixedJob("s1", "short"), at(1002)));
    CHECK(startedIn(scheduler.decide(at(1002))) == Ids{"s1"});
    scheduler.jobEnded(JobId{"s1"}, JobEnd::Succeeded, at(1012));
    auto backfilled = job("gives-way", "a", 1, 4);
    backfilled.checkpointable = true;
    REQUIRE(scheduler.submit(backfilled, at(1013)));
    CHECK(startedIn(scheduler.decide(at(1013))) == Ids{"gives-way"});
    for (const auto *id : {"l1", "l2", "l3"}) {
        scheduler.jobEnded(JobId{id}, JobEnd::Succeeded, at(2000));
    }
    const auto decisions = scheduler.decide(at(2000));
    REQUIRE(decisions.preemptions.size() == 1);
    CHECK(decisions.preemptions[0].job == JobId{"gives-way"});
    scheduler.jobEnded(JobId{"gives-way"}, JobEnd::Requeue, at(2001));
    CHECK(startedIn(scheduler.decide(at(2001))) == Ids{"large"});
}

TEST_CASE("a job over its workspace's quota waits, and a job that cannot run on the fleet is refused, or parked until the fleet can hold it")
{
    auto scheduler = Scheduler{};
    makeFleet(scheduler, 2);
    scheduler.configure({.workspaces = {{.name = WorkspaceId{"a"}, .quotaSlots = 12}}});
    CHECK(scheduler.submit(job("q", "a", 13, 1), at(0)).error().code == ErrorCode::Limit);
    REQUIRE(scheduler.submit(job("x", "a", 1, 8), at(0)));
    REQUIRE(scheduler.submit(job("y", "a", 1, 8), at(0)));
    CHECK(startedIn(scheduler.decide(at(0))) == Ids{"x"});
    scheduler.configure({.workspaces = {{.name = WorkspaceId{"a"}}}});
    CHECK(startedIn(scheduler.decide(at(1))) == Ids{"y"});
    REQUIRE(scheduler.submit(job("z", "a", 2, 8), at(2)));
    CHECK(scheduler.workerLost(WorkerId{"w1"}) == std::vector<JobId>{JobId{"y"}});
    scheduler.jobEnded(JobId{"y"}, JobEnd::Lost, at(3));
    CHECK(scheduler.decide(at(3)).parked.empty());
    // Until it is parked, the queue shows why the job waits.
    REQUIRE(scheduler.queue().size() == 1);
    CHECK(scheduler.queue()[0].reason.find("leave no place") != std::string::npos);
    const auto decisions = scheduler.decide(at(70));
    REQUIRE(decisions.parked.size() == 1);
    CHECK(decisions.parked[0].job == JobId{"z"});
    REQUIRE(scheduler.updateWorker({.worker = WorkerId{"w1"}, .rack = RackId{"r0"}, .slots = 8}, at(71)));
    scheduler.jobEnded(JobId{"x"}, JobEnd::Succeeded, at(72));
    CHECK(startedIn(scheduler.decide(at(72))) == Ids{"z"});
}

TEST_CASE("random histories keep gangs whole, slots exclusive and guarantees usable, and equal histories give equal decisions")
{
    // Guards against partial gangs, slots held by two jobs, preempted jobs that cannot be stopped, and guarantees that cannot be
    // used.
    struct Trace
    {
        std::vector<std::string> lines;
        int starts = 0;
        int preemptions = 0;
        int covered = 0;
        int guaranteesUsed = 0;
    };
    const auto run = [](std::uint64_t seed) {
        auto random = Random{seed};
        auto trace = Trace{};
        auto scheduler = Scheduler{};
        makeFleet(scheduler, 8);
        scheduler.configure({.workspaces = {{.name = WorkspaceId{"s0"}, .weight = 3, .urgentSharePercent = 30, .guarantees = {{16, 1}}},
                                            {.name = WorkspaceId{"s1"}, .urgentSharePercent = 50, .guarantees = {{8, 1}, {2, 2}}},
                                            {.name = WorkspaceId{"s2"}, .quotaSlots = 30}}});
        struct Held
        {
            ScheduledJob spec;
            std::vector<MemberPlacement> members;
            bool covered;
        };
        auto held = std::map<std::string, Held>{};
        auto stopping = std::vector<JobId>{};
        auto waiting = std::map<std::string, ScheduledJob>{};
        auto now = 0;
        auto number = 0;
        const auto decide = [&] {
            auto decisions = scheduler.decide(at(now));
            for (const auto &preemption : decisions.preemptions) {
                REQUIRE(held.contains(preemption.job.str()));
                REQUIRE(held.at(preemption.job.str()).spec.reclaimable());
                stopping.push_back(preemption.job);
                ++trace.preemptions;
                trace.lines.push_back("preempt " + preemption.job.str() + " for " + preemption.beneficiary.str());
            }
            for (const auto &start : decisions.starts) {
                const auto spec = waiting.at(start.job.str());
                waiting.erase(start.job.str());
                REQUIRE(static_cast<int>(start.members.size()) == spec.tasks);
                held[start.job.str()] = {spec, start.members, start.covered};
                auto line = "start " + start.job.str();
                for (const auto &member : start.members) {
                    REQUIRE(std::popcount(member.slots) == spec.slotsPerTask);
                    line += " " + member.worker.str() + ":" + std::to_string(member.slots);
                }
                trace.lines.push_back(line);
                ++trace.starts;
                trace.covered += start.covered ? 1 : 0;
            }
            auto used = std::map<WorkerId, SlotMask>{};
            for (const auto &[id, entry] : held) {
                for (const auto &member : entry.members) {
                    REQUIRE((used[member.worker] & member.slots) == 0);
                    used[member.worker] |= member.slots;
                }
            }
            REQUIRE(scheduler.stats().guaranteeDeficit == 0);
        };
        const auto finishStopping = [&] {
            for (const auto &id : stopping) {
                waiting[id.str()] = held.at(id.str()).spec;
                held.erase(id.str());
                scheduler.jobEnded(id, JobEnd::Requeue, at(now));
            }
            stopping.clear();
        };
        for (auto step = 0; step < 400; ++step) {
            now += static_cast<int>(uniform(random, 20));
            const auto action = uniform(random, 10);
            if (action < 5) {
                auto spec = job(("j" + std::to_string(number++)).c_str(), "", 1 + static_cast<int>(uniform(random, 6)), 1 << uniform(random, 4));
                spec.workspace = WorkspaceId{"s" + std::to_string(uniform(random, 3))};
                spec.caller = CallerId{std::to_string(uniform(random, 3))};
                spec.kind = KindId{std::to_string(uniform(random, 2))};
                spec.adjacency = static_cast<Adjacency>(uniform(random, 3));
                spec.urgency = static_cast<Urgency>(uniform(random, 3));
                spec.restartable = uniform(random, 3) != 0;
                if (scheduler.submit(spec, at(now))) {
                    waiting[spec.job.str()] = spec;
                }
            } else if (action < 8 && !held.empty()) {
                auto it = std::next(held.begin(), uniform(random, static_cast<std::uint32_t>(held.size())));
                const auto id = JobId{it->first};
                std::erase(stopping, id);
                held.erase(it);
                scheduler.jobStarted(id, at(now));
                scheduler.jobEnded(id, JobEnd::Succeeded, at(now));
            } else if (action == 8 && !waiting.empty()) {
                auto it = std::next(waiting.begin(), uniform(random, static_cast<std::uint32_t>(waiting.size())));
                REQUIRE(scheduler.cancel(JobId{it->first}) == JobCancelResult::Removed);
                waiting.erase(it);
            } else {
                finishStopping();
            }
            decide();
            const auto ownerIdle = [&](const auto &entries) {
                return std::none_of(entries.begin(), entries.end(), [](const auto &entry) {
                    if constexpr (requires { entry.second.spec; }) {
                        return entry.second.spec.workspace == WorkspaceId{"s0"};
                    } else {
                        return entry.second.workspace == WorkspaceId{"s0"};
                    }
                });
            };
            if (step % 5 == 0 && ownerIdle(held) && ownerIdle(waiting)) {
                // A job that needs the whole unused guarantee starts after one round of preemption.
                auto spec = job(("g" + std::to_string(number++)).c_str(), "s0", 2, 8);
                spec.adjacency = Adjacency::Rack;
                spec.restartable = false;
                REQUIRE(scheduler.submit(spec, at(now)));
                waiting[spec.job.str()] = spec;
                decide();
                finishStopping();
                decide();
                REQUIRE(held.contains(spec.job.str()));
                ++trace.guaranteesUsed;
            }
        }
        return trace;
    };
    auto sum = Trace{};
    for (auto seed = std::uint64_t{1}; seed <= 20; ++seed) {
        const auto trace = run(seed);
        CHECK(trace.lines == run(seed).lines);
        sum.starts += trace.starts;
        sum.preemptions += trace.preemptions;
        sum.covered += trace.covered;
        sum.guaranteesUsed += trace.guaranteesUsed;
    }
    CHECK(sum.starts > 1000);
    CHECK(sum.preemptions > 50);
    CHECK(sum.covered > 100);
    CHECK(sum.guaranteesUsed > 20);
}

TEST_CASE("a gang adopted after a takeover is covered by its guarantee, and adopting it on slots of another job fails")
{
    auto scheduler = Scheduler{};
    makeFleet(scheduler, 2);
    scheduler.configure({.workspaces = {{.name = WorkspaceId{"a"}, .guarantees = {{8, 1}}}, {.name = WorkspaceId{"b"}}}});
    auto spec = job("r", "a", 1, 4);
    spec.restartable = false;
    const auto members = std::vector<MemberPlacement>{{WorkerId{"w1"}, 0b11110000}};
    REQUIRE(scheduler.adopt(spec, members, at(0)));
    REQUIRE(scheduler.adopt(spec, members, at(0)));
    CHECK(scheduler.stats().coveredSlots == 4);
    CHECK(scheduler.adopt(job("other", "b", 1, 1), {{WorkerId{"w1"}, 0b10000}}, at(0)).error().code == ErrorCode::Conflict);
    CHECK(scheduler.adopt(job("other", "b", 1, 1), {{WorkerId{"w9"}, 1}}, at(0)).error().code == ErrorCode::NotFound);
    CHECK(scheduler.cancel(JobId{"r"}) == JobCancelResult::Running);
}

TEST_CASE("a job that fails on every worker is parked, and at most one of 8 workers is quarantined")
{
    auto scheduler = Scheduler{};
    makeFleet(scheduler, 8);
    scheduler.configure({.workspaces = {{.name = WorkspaceId{"a"}}}});
    auto now = 0;
    auto number = 0;
    auto failedOn = std::set<WorkerId>{};
    auto parked = std::vector<Parked>{};
    REQUIRE(scheduler.submit(job("bad", "a", 1, 8), at(0)));
    for (auto round = 0; round < 40; ++round) {
        now += 5;
        REQUIRE(scheduler.submit(job(("j" + std::to_string(number++)).c_str(), "a", 1, 8), at(now)));
        const auto decisions = scheduler.decide(at(now));
        parked.insert(parked.end(), decisions.parked.begin(), decisions.parked.end());
        for (const auto &start : decisions.starts) {
            scheduler.jobStarted(start.job, at(now));
            const auto broken = start.members[0].worker == WorkerId{"w2"};
            if (start.job == JobId{"bad"} || broken) {
                CHECK_FALSE((start.job == JobId{"bad"} && failedOn.contains(start.members[0].worker)));
                failedOn.insert(start.members[0].worker);
                scheduler.jobEnded(start.job, JobEnd::FailedRetry, at(now + 1), start.members[0].worker);
            } else {
                scheduler.jobEnded(start.job, JobEnd::Succeeded, at(now + 1));
            }
        }
        CHECK(scheduler.stats().quarantinedWorkers <= 1);
    }
    REQUIRE(parked.size() == 1);
    CHECK(parked[0].job == JobId{"bad"});
    CHECK(scheduler.queue().size() <= 2);
}

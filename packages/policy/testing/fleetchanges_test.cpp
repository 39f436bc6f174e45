#include "policy/scheduler.h"
#include "util/random.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

using namespace Catkin;

TEST_CASE("when workers leave, are lost or return and guarantees change, gangs stay whole and no slot has two holders")
{
    // Guards against worker indices and slot counts that become stale when workers or workspace rules change while jobs run or wait.
    auto starts = 0;
    auto losses = 0;
    for (auto seed = std::uint64_t{1}; seed <= 20; ++seed) {
        auto random = Random{seed};
        auto scheduler = Scheduler{};
        const auto workerId = [](int w) { return WorkerId{"w" + std::to_string(w)}; };
        const auto worker = [&](int w, bool usable) {
            return WorkerInfo{.worker = workerId(w), .rack = RackId{"r" + std::to_string(w / 3)}, .slots = w == 8 ? 16 : 8, .usable = usable};
        };
        auto present = std::set<int>{};
        auto usable = std::set<int>{};
        auto held = std::map<JobId, std::pair<ScheduledJob, std::vector<MemberPlacement>>>{};
        auto known = std::map<JobId, ScheduledJob>{};
        auto now = MonoTime{};
        auto number = 0;
        for (auto step = 0; step < 400; ++step) {
            now += Seconds{uniform(random, 30)};
            const auto action = uniform(random, 12);
            const auto w = static_cast<int>(uniform(random, 9));
            if (action < 4) {
                const auto spec = ScheduledJob{.job = JobId{"j" + std::to_string(number++)},
                                               .workspace = WorkspaceId{"s" + std::to_string(uniform(random, 3))},
                                               .caller = CallerId{std::to_string(uniform(random, 2))},
                                               .tasks = 1 + static_cast<int>(uniform(random, 5)),
                                               .slotsPerTask = 1 + static_cast<int>(uniform(random, 16)),
                                               .adjacency = static_cast<Adjacency>(uniform(random, 3)),
                                               .urgency = static_cast<Urgency>(uniform(random, 3)),
                                               .checkpointable = uniform(random, 2) == 0,
                                               .restartable = uniform(random, 2) == 0};
                if (scheduler.submit(spec, now)) {
                    known[spec.job] = spec;
                }
            } else if (action < 6 && !held.empty()) {
                const auto id = std::next(held.begin(), uniform(random, static_cast<std::uint32_t>(held.size())))->first;
                held.erase(id);
                scheduler.jobEnded(id, uniform(random, 4) == 0 ? JobEnd::Requeue : JobEnd::Succeeded, now);
            } else if (action < 8) {
                REQUIRE(scheduler.updateWorker(worker(w, action == 6), now));
                present.insert(w);
                action == 6 ? (void)usable.insert(w) : (void)usable.erase(w);
            } else if (action == 8 && present.contains(w) && uniform(random, 2) == 0) {
                ++losses;
                present.erase(w);
                usable.erase(w);
                auto expected = std::vector<JobId>{};
                for (const auto &[id, entry] : held) {
                    if (std::any_of(entry.second.begin(), entry.second.end(), [&](const auto &member) { return member.worker == workerId(w); })) {
                        expected.push_back(id);
                    }
                }
                auto affected = scheduler.workerLost(workerId(w));
                std::sort(affected.begin(), affected.end());
                REQUIRE(affected == expected);
                for (const auto &id : affected) {
                    held.erase(id);
                    scheduler.jobEnded(id, known.at(id).reclaimable() ? JobEnd::Requeue : JobEnd::Lost, now);
                }
            } else if (action == 9) {
                auto config = SchedulerConfig{};
                for (auto s = 0; s < 3; ++s) {
                    config.workspaces.push_back({.name = WorkspaceId{"s" + std::to_string(s)},
                                                 .urgentSharePercent = 50,
                                                 .guarantees = {{1 << uniform(random, 5), static_cast<int>(uniform(random, 3))}}});
                }
                scheduler.configure(config);
            } else if (action == 10 && !held.empty()) {
                // Adopting a gang that the scheduler already has changes nothing.
                const auto &[spec, members] = held.begin()->second;
                const auto before = scheduler.stats();
                CHECK(scheduler.adopt(spec, members, now).has_value());
                CHECK(scheduler.stats().runningJobs == before.runningJobs);
            }
            const auto decisions = scheduler.decide(now);
            for (const auto &preemption : decisions.preemptions) {
                REQUIRE(held.at(preemption.job).first.reclaimable());
                held.erase(preemption.job);
                scheduler.jobEnded(preemption.job, JobEnd::Requeue, now);
            }
            for (const auto &start : decisions.starts) {
                const auto &spec = known.at(start.job);
                REQUIRE(static_cast<int>(start.members.size()) == spec.tasks);
                for (const auto &member : start.members) {
                    REQUIRE(std::any_of(usable.begin(), usable.end(), [&](int u) { return workerId(u) == member.worker; }));
                }
                REQUIRE(held.emplace(start.job, std::pair{spec, start.members}).second);
                ++starts;
            }
            auto used = std::map<WorkerId, SlotMask>{};
            auto slots = 0;
            for (const auto &[id, entry] : held) {
                for (const auto &member : entry.second) {
                    REQUIRE((used[member.worker] & member.slots) == 0);
                    used[member.worker] |= member.slots;
                    slots += std::popcount(member.slots);
                }
            }
            const auto stats = scheduler.stats();
            REQUIRE(stats.runningJobs == static_cast<int>(held.size()));
            REQUIRE(stats.coveredSlots + stats.borrowedSlots + stats.fixedSlots >= slots);
        }
    }
    CHECK(starts > 500);
    CHECK(losses > 100);
}

#include "policy/jobadmission.h"

#include "policy/testing/idlefleet.h"
#include "policy/testing/overloadfleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

using namespace Catkin;
using namespace Catkin::Testing;

/// Loads for JobAdmission: urgent work far beyond the capacity for more than a minute, the queues of haddad in docs/demands.md far beyond the
/// capacity and in bursts, and outages.

namespace
{

constexpr auto start = MonoTime{Seconds{1'000}};
constexpr auto tick = Millis{100};

auto queueOf(const std::string &name, int priority) -> PoolQueue
{
    return {.id = QueueId{name}, .service = ServiceId{"s"}, .priority = priority, .stretch = 2.0, .targetRuntime = Millis{1'000}};
}

auto jobOf(const std::string &id, const PoolQueue &queue) -> PoolJob
{
    auto job = makeJob(id, queue.id.str(), batchOf(1));
    job.rules = queue;
    job.steps.front().perTask.accelerators = 8;
    return job;
}

struct Outcome
{
    int jobs = 0;
    int refused = 0;
    int falselyRefused = 0; ///< would have ended within three times their objective
    int worthless = 0;
};

/// Plays jobs on a fleet that runs all of them, also those that would be refused, so that each decision can be compared with what became of the job.
auto play(OverloadFleet &fleet, const std::vector<std::pair<Millis, PoolJob>> &jobs, Millis length) -> Outcome
{
    struct Played
    {
        PoolJob job;
        Millis at;
        std::optional<WaitingTicket> ticket;
        bool refused = false;
    };
    auto admission = JobAdmission{};
    auto played = std::vector<Played>{};
    for (const auto &[at, job] : jobs) {
        fleet.submit(job, at);
    }
    auto out = Outcome{.jobs = static_cast<int>(jobs.size())};
    for (auto t = tick; t <= length; t += tick) {
        const auto now = start + t;
        for (; played.size() < jobs.size() && jobs[played.size()].first <= t;) {
            const auto &[at, job] = jobs[played.size()];
            auto entry = Played{.job = job, .at = at, .ticket = {}};
            entry.job.rules = fleet.rules.queues.at(job.queue);
            entry.refused = admission.refusal(entry.job, now).has_value();
            entry.ticket = admission.arrived(entry.job, true, now);
            played.push_back(std::move(entry));
        }
        fleet.run(t);
        for (auto &it : played) {
            if (it.ticket && fleet.startedAt(it.job.id) != MonoTime{}) {
                admission.left(*it.ticket, true, now);
                it.ticket.reset();
            }
        }
    }
    for (const auto &it : played) {
        auto chain = Millis{0};
        for (const auto &step : it.job.steps) {
            chain += step.estimate;
        }
        const auto began = fleet.startedAt(it.job.id);
        const auto objective = std::chrono::duration_cast<Micros>(chain * it.job.rules->stretch) + it.job.rules->targetRuntime;
        const auto isWorthless = began == MonoTime{} || began - (start + it.at) + chain > objective * 3;
        out.worthless += isWorthless ? 1 : 0;
        out.refused += it.refused ? 1 : 0;
        out.falselyRefused += it.refused && !isWorthless ? 1 : 0;
    }
    MESSAGE(out.jobs << " jobs, worthless " << out.worthless << ", refused " << out.refused << ", falsely " << out.falselyRefused);
    return out;
}

/// Feeds a JobAdmission with urgent and batch jobs of one service, without a fleet.
struct Feed
{
    /// @param urgentStarts urgent jobs that start in each second, oldest first; 15 urgent and 2 batch jobs arrive
    auto run(int seconds, int urgentStarts, bool isBurst = true) -> void
    {
        for (auto i = 0; i < seconds * 60; ++i, now += Micros{Seconds{1}} / 60) {
            if (i % 4 == 0 && (isBurst || i % 12 == 0)) {
                urgent.push_back(*admission.arrived(jobOf("u", queueOf("urgent", 0)), true, now));
            }
            if (i % 30 == 0) {
                admission.arrived(jobOf("b", queueOf("batch", 2)), true, now);
            }
            if (urgentStarts > 0 && i % (60 / urgentStarts) == 0 && first < urgent.size()) {
                admission.left(urgent[first++], true, now);
            }
            refused += batchRefusal() ? 1 : 0;
        }
    }
    auto batchRefusal() -> std::optional<AdmissionRefusal>
    {
        return admission.refusal(jobOf("new", queueOf("batch", 2)), now);
    }

    JobAdmission admission;
    MonoTime now = start;
    std::vector<WaitingTicket> urgent;
    std::size_t first = 0;
    int refused = 0;
};

}

// Pattern: urgent work of whole workers at three times the capacity for 80 s, beside batch work. Guards against batch work that is accepted and
// waits in vain, and against a refusal of a job that would have started in time, for example when the urgent work ends.
TEST_CASE("under urgent work far beyond the capacity, hopeless jobs are refused and no others")
{
    auto fleet = OverloadFleet{10};
    auto jobs = std::vector<std::pair<Millis, PoolJob>>{};
    for (auto t = 0; t < 80'000; t += 100) {
        for (auto i = 0; t % 1'000 == 0 && i < 15; ++i) {
            auto urgent = jobOf("u-" + std::to_string(t) + "-" + std::to_string(i), queueOf("urgent", 0));
            urgent.steps.front().estimate = Millis{2'000};
            jobs.emplace_back(t, urgent);
        }
        if (t % 500 == 0) {
            jobs.emplace_back(t, jobOf("b-" + std::to_string(t), queueOf("batch", 2)));
        }
    }
    const auto out = play(fleet, jobs, Millis{280'000});
    CHECK(out.refused >= 40);
    CHECK(out.falselyRefused == 0);
}

// Pattern: all queues at 3.2 times the capacity for 40 s. Guards against refusals of jobs that the order under overload lets overtake others.
TEST_CASE("under a mixed load beyond the capacity no job is refused that would have been of value")
{
    auto fleet = OverloadFleet{70};
    CHECK(play(fleet, drawHaddad(1, Millis{0}, Millis{40'000}, 1.0), Millis{150'000}).falselyRefused == 0);
}

// Pattern: a sustained load near the capacity, and within it a burst of all queues at 2.8 times that load for 6 s. Guards against refusals in ordinary bursts.
TEST_CASE("a burst of a few seconds refuses nobody")
{
    auto fleet = OverloadFleet{240};
    auto jobs = drawHaddad(2, Millis{0}, Millis{36'000}, 0.9);
    const auto burst = drawHaddad(3, Millis{12'500}, Millis{6'000}, 1.62);
    jobs.insert(jobs.end(), burst.begin(), burst.end());
    std::stable_sort(jobs.begin(), jobs.end(), [](const auto &a, const auto &b) { return a.first < b.first; });
    CHECK(play(fleet, jobs, Millis{60'000}).refused == 0);
}

// Pattern: nothing starts for 5 s (a takeover, the store is away). Guards against a rate of zero that refuses everybody.
TEST_CASE("an outage refuses nobody, and ends refusals that were due")
{
    auto feed = Feed{};
    feed.run(30, 5, false); // 5 urgent jobs arrive and start in each second
    feed.run(5, 0, false);
    feed.run(20, 10, false);
    CHECK(feed.refused == 0);

    auto overloaded = Feed{};
    overloaded.run(50, 5);
    CHECK(overloaded.batchRefusal());
    overloaded.run(5, 0);
    CHECK_FALSE(overloaded.batchRefusal());
    overloaded.run(6, 5);
    CHECK_FALSE(overloaded.batchRefusal()); // the outage is still within the window
    overloaded.run(6, 5);
    CHECK(overloaded.batchRefusal());
    // A higher rate that was measured is a lower bound of the capacity.
    overloaded.run(11, 30);
    CHECK_FALSE(overloaded.batchRefusal());
}

// Guards against an instance that refuses before it has seen enough, and against refusals while jobs of the priority start.
TEST_CASE("a refusal needs a backlog over the whole window, and a priority that is passed over")
{
    auto feed = Feed{};
    for (auto i = 0; i < 3'000; ++i) {
        feed.urgent.push_back(*feed.admission.arrived(jobOf("u", queueOf("urgent", 0)), true, feed.now));
    }
    feed.run(9, 5);
    CHECK(feed.refused == 0);
    feed.run(5, 5);
    REQUIRE(feed.batchRefusal());
    CHECK(feed.batchRefusal()->limit == Seconds{23}); // three times 9 s, less the chain of 4 s

    auto served = feed;
    served.admission.left({.jobClass = {.service = ServiceId{"s"}, .priority = 2}, .second = 1, .work = 1.0, .counts = false}, true, served.now);
    CHECK_FALSE(served.batchRefusal());

    auto cancelled = feed;
    for (auto i = 0; i < 1'000; ++i) {
        cancelled.admission.left(cancelled.urgent[cancelled.urgent.size() - 1 - static_cast<std::size_t>(i)], false, cancelled.now);
    }
    CHECK_FALSE(cancelled.batchRefusal()); // 2,000 more may be cancelled as fast

    auto job = jobOf("new", queueOf("batch", 2));
    const auto isRefused = [&] { return feed.admission.refusal(job, feed.now).has_value(); };
    job.steps.front().longRunning = true;
    CHECK_FALSE(isRefused());
    job = jobOf("new", queueOf("batch", 2));
    job.steps.front().estimate = Millis{0};
    CHECK_FALSE(isRefused());
    job = jobOf("new", {.id = QueueId{"batch"}, .service = ServiceId{"s"}, .priority = 2}); // no objective
    CHECK_FALSE(isRefused());
    CHECK_FALSE(feed.admission.refusal(jobOf("new", queueOf("urgent", 0)), feed.now));
    job.rules.reset();
    CHECK_FALSE(isRefused());
}

// Guards against callers that come back together, and against a Retry-After beyond its bounds.
TEST_CASE("the time after which to ask again is spread by half of it")
{
    auto random = Random{1};
    auto drawn = std::set<Seconds>{};
    for (auto i = 0; i < 1'000; ++i) {
        drawn.insert(retrySeconds(Seconds{10}, random));
        const auto longest = retrySeconds(Seconds{600}, random);
        CHECK((longest >= Seconds{20} && longest <= Seconds{30}));
        const auto shortest = retrySeconds(-Micros{Seconds{1}}, random);
        CHECK((shortest >= Seconds{1} && shortest <= Seconds{2}));
    }
    CHECK(*drawn.begin() == Seconds{10});
    CHECK(*drawn.rbegin() == Seconds{15});
    CHECK(drawn.size() == 6);
}

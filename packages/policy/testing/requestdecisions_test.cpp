#include "policy/admission.h"
#include "policy/executorhealth.h"
#include "policy/executorlimit.h"
#include "policy/linkbudget.h"
#include "policy/retrybudget.h"
#include "policy/routing.h"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <vector>

using namespace Catkin;

namespace
{

constexpr auto start = MonoTime{Seconds{1000}};

}

// Guards against queued requests that can no longer be answered in time, and against refusals of requests that could.
TEST_CASE("admission depends on the deadline, the caller's limit and the free space of the queue")
{
    struct Case
    {
        const char *name;
        AdmissionInput input;
        std::optional<RefusalReason> reason;
        int retryAfterMs;
    };
    const auto usual = AdmissionInput{.now = start, .deadline = start + Millis{1000}, .caller = {.averageCost = Millis{100}}};
    auto with = [&](auto change) {
        auto input = usual;
        change(input);
        return input;
    };
    const auto options = AdmissionOptions{.maxQueued = 100};
    const auto cases = std::vector<Case>{
        {"idle", usual, {}, 0},
        {"wait fits", with([](auto &q) { q.expectedWait = Millis{900}; }), {}, 0},
        {"wait too long", with([](auto &q) { q.expectedWait = Millis{1100}; }), RefusalReason::ExpectedWait, 200},
        {"average cost above the deadline is still admitted", with([](auto &q) { q.caller.averageCost = Seconds{60}; }), {}, 0},
        {"past the deadline", with([](auto &q) { q.deadline = start; }), RefusalReason::DeadlinePassed, 0},
        {"no executor", with([](auto &q) { q.executorUsable = false; }), RefusalReason::NoExecutor, 1000},
        {"below the caller's limit", with([](auto &q) { q.callersLimit = 5, q.callerInProgress = 4; }), {}, 0},
        {"at the caller's limit", with([](auto &q) { q.callersLimit = 5, q.callerInProgress = 5; }), RefusalReason::CallerLimit, 100},
        {"kind flooded", with([](auto &q) { q.queued = 50, q.caller.kindQueued = 50; }), RefusalReason::QueueFull, 50},
        {"another kind while one is flooded", with([](auto &q) { q.queued = 50, q.caller.kindQueued = 10; }), {}, 0},
        {"caller flooded", with([](auto &q) { q.queued = 34, q.caller.queued = 34; }), RefusalReason::QueueFull, 50},
        {"full", with([](auto &q) { q.queued = 100; }), RefusalReason::QueueFull, 50},
    };
    for (const auto &it : cases) {
        CAPTURE(it.name);
        const auto refusal = admit(options, it.input);
        REQUIRE(refusal.has_value() == it.reason.has_value());
        if (refusal) {
            CHECK(refusal->reason == *it.reason);
            CHECK(refusal->retryAfter == Millis{it.retryAfterMs});
        }
    }
}

// Guards against shares of all instances that add up to more, or fewer, than the slots of an executor.
TEST_CASE("instances that see the same peers divide each executor's slots exactly")
{
    for (auto instances = 1; instances <= 8; ++instances) {
        auto names = std::vector<std::string>{};
        for (auto i = 0; i < instances; ++i) {
            names.push_back("i-" + std::to_string(i));
        }
        for (auto executor = 0; executor < 50; ++executor) {
            auto sum = 0;
            for (const auto &name : names) {
                sum += equalShare(ExecutorId{"e-" + std::to_string(executor)}, 8, InstanceId{name}, names);
            }
            CHECK(sum == 8);
        }
    }
    CHECK(equalShare(ExecutorId{"e"}, 8, {}, std::vector<std::string>(3)) == 2);
    CHECK(equalShare(ExecutorId{"e"}, 8, {}, std::vector<std::string>(20)) == 1);
}

// Guards against limits outside 1 … slots, and against a refused attempt to borrow that reduces the own share.
TEST_CASE("a filled limit grows beyond the share and a refusal takes the borrowed slots back")
{
    const auto options = ExecutorLimitOptions{};
    auto limit = ExecutorLimit{};
    setLimitShare(limit, 8, 2);
    CHECK(currentLimit(limit) == 2);
    auto now = start;
    for (auto i = 0; i < 100; ++i) {
        limitAfterAnswer(limit, options, false, false, now);
    }
    CHECK(currentLimit(limit) == 2); // an unused limit does not grow
    for (auto i = 0; i < 100; ++i) {
        limitAfterAnswer(limit, options, true, false, now);
    }
    CHECK(currentLimit(limit) == 8);
    limitAfterRefusal(limit, options, now);
    CHECK(currentLimit(limit) == 5);
    limitAfterRefusal(limit, options, now); // second refusal of the same burst
    CHECK(currentLimit(limit) == 5);
    for (auto i = 0; i < 3; ++i) {
        limitAfterRefusal(limit, options, now += Seconds{1});
    }
    CHECK(currentLimit(limit) == 2); // the own share is kept
    limitAfterAnswer(limit, options, true, false, now + options.minGrowPause);
    CHECK(currentLimit(limit) == 2); // the pause has doubled
    for (auto i = 0; i < 20; ++i) {
        limitAfterRefusal(limit, options, now += Seconds{1});
    }
    CHECK(currentLimit(limit) == 1);
    limitAfterAnswer(limit, options, true, true, now + Seconds{10});
    CHECK(currentLimit(limit) == 1); // late answers do not raise it
    setLimitShare(limit, 8, 8);
    CHECK(currentLimit(limit) == 8);
}

// Guards against retry storms, which overload executors that already fail.
TEST_CASE("retries stay below the configured ratio of first attempts plus the burst")
{
    const auto options = RetryOptions{};
    for (auto seed = std::uint64_t{1}; seed <= 20; ++seed) {
        auto random = Random{seed};
        auto budget = RetryBudget{options};
        auto first = 0;
        auto retries = 0;
        for (auto i = 0; i < 5000; ++i) {
            if (uniform(random, 1 + static_cast<std::uint32_t>(seed)) == 0) {
                budget.firstAttempt();
                ++first;
            }
            retries += budget.tryTake() ? 1 : 0;
            REQUIRE(retries <= options.ratio * first + options.burst + 1e-6);
        }
        CHECK(retries >= options.ratio * first);
        for (auto attempt = 1; attempt < 40; ++attempt) {
            const auto delay = retryDelay(options, attempt, random);
            CHECK(delay >= Millis{1});
            CHECK(delay <= options.maxBackoff);
        }
    }
}

// Guards against traffic above the paid rate, and against a class that takes tokens from the bucket of another one.
TEST_CASE("the link budget limits each class to its own rate and burst")
{
    auto budget = LinkBudget{};
    budget.configure(LinkTrafficClass::Requests, {.bytesPerSecond = 1000, .burst = 5000});
    auto sent = std::int64_t{0};
    auto now = start;
    for (auto i = 0; i < 10000; ++i) {
        now += Millis{1};
        budget.charge(LinkTrafficClass::Control, Bytes{100000}, now);
        sent += budget.tryTake(LinkTrafficClass::Requests, Bytes{300}, now) ? 300 : 0;
    }
    CHECK(sent <= 5000 + 10000);
    CHECK(sent >= 5000 + 10000 - 300);
    CHECK(budget.counted(LinkTrafficClass::Requests) == Bytes{sent});
    CHECK(budget.counted(LinkTrafficClass::Control) == Bytes{1'000'000'000});
    const auto at = budget.allowedAt(LinkTrafficClass::Requests, Bytes{2000}, now);
    REQUIRE(at);
    CHECK_FALSE(budget.tryTake(LinkTrafficClass::Requests, Bytes{2000}, *at - Micros{2}));
    CHECK(budget.tryTake(LinkTrafficClass::Requests, Bytes{2000}, *at));
    CHECK_FALSE(budget.allowedAt(LinkTrafficClass::Requests, Bytes{5001}, now));
}

// Guards G6: an executor gets no new work 5 s after it started to leave, even if the list shows it as live and polls fail.
TEST_CASE("a leaving executor is not usable after 5 s, whether its polls are answered or not")
{
    const auto options = ExecutorHealthOptions{};
    for (auto seed = std::uint64_t{1}; seed <= 200; ++seed) {
        auto random = Random{seed};
        auto health = ExecutorHealthTracker{};
        const auto leavesAt = start + Millis{uniform(random, 10000)};
        const auto answers = uniform(random, 4); // number of polls answered after leaving, of 4 on average
        auto poll = start;
        for (auto now = start; now < start + Seconds{20}; now += Millis{50}) {
            if (now >= poll) {
                const auto answered = uniform(random, 4) < answers || now < leavesAt;
                healthPolled(health, answered ? std::optional{HealthSample{8, 0, now >= leavesAt}} : std::nullopt, now);
                poll = now + options.pollPeriod;
            }
            if (now >= leavesAt + Seconds{5}) {
                REQUIRE(healthState(health, options, now) != ExecutorState::Usable);
                REQUIRE_FALSE(usableAsLastResort(health, options, now));
            }
        }
    }
}

// Guards against work for an executor that fails or leaves, and against one that stays excluded after it has recovered.
TEST_CASE("the health state follows polls, failed attempts, probes and the instance list")
{
    const auto options = ExecutorHealthOptions{};
    auto health = ExecutorHealthTracker{};
    CHECK(healthState(health, options, start) == ExecutorState::Down); // never polled
    healthPolled(health, HealthSample{8, 0, false}, start);
    CHECK(healthState(health, options, start) == ExecutorState::Usable);
    for (auto i = 0; i < 3; ++i) {
        CHECK_FALSE(healthAttempt(health, options, true, start));
    }
    CHECK(healthState(health, options, start) == ExecutorState::Suspect);
    CHECK(usableAsLastResort(health, options, start));
    CHECK(healthState(health, options, start + options.pollPeriod) == ExecutorState::Usable); // usable again for a single request
    healthAttempt(health, options, true, start);
    CHECK(healthAttempt(health, options, true, start)); // fifth failure
    quarantine(health, options, start);
    CHECK_FALSE(probeDue(health, start + options.firstProbePause - Millis{1}));
    CHECK(probeDue(health, start + options.firstProbePause));
    quarantine(health, options, start); // failed probe
    CHECK_FALSE(probeDue(health, start + options.firstProbePause));
    healthAttempt(health, options, false, start);
    CHECK_FALSE(health.quarantined);
    health.listLeaving = true;
    CHECK(healthState(health, options, start) == ExecutorState::Leaving);
    CHECK_FALSE(usableAsLastResort(health, options, start));
    for (auto i = 0; i < options.missedPollsForDown; ++i) {
        healthPolled(health, {}, start);
    }
    CHECK(healthState(health, options, start) == ExecutorState::Down);
    struct Case
    {
        int known, quarantined;
        bool allowed;
    };
    for (const auto &it : {Case{1, 0, false}, Case{5, 0, true}, Case{5, 1, false}, Case{50, 4, true}, Case{50, 5, false}}) {
        CHECK(mayQuarantine(options, it.known, it.quarantined) == it.allowed);
    }
}

// Guards against work for an executor that is full, unusable or farther away than one that can take the request.
TEST_CASE("of the nearest usable executors below their limits the less loaded of two random ones is chosen")
{
    auto random = Random{7};
    for (auto round = 0; round < 3000; ++round) {
        auto candidates = std::vector<RouteCandidate>(1 + uniform(random, 12));
        auto nearest = 3;
        const auto farthest = static_cast<int>(uniform(random, 3));
        for (auto &it : candidates) {
            it = {static_cast<Locality>(uniform(random, 3)), uniform(random, 3) > 0, static_cast<int>(uniform(random, 4)), 3, 0, 8};
            if (it.usable && it.inFlight < it.limit && static_cast<int>(it.locality) <= farthest) {
                nearest = std::min(nearest, static_cast<int>(it.locality));
            }
        }
        const auto choice = chooseExecutor(candidates, Locality::OwnDomain, static_cast<Locality>(farthest), random);
        REQUIRE(choice.has_value() == (nearest < 3));
        if (choice) {
            const auto &it = candidates[*choice];
            CHECK(static_cast<int>(it.locality) == nearest);
            CHECK((it.usable && it.inFlight < it.limit));
        }
    }
    auto counts = std::array<int, 3>{};
    const auto loads = std::vector<RouteCandidate>{{.usable = true, .limit = 8, .peersInFlight = 6, .slots = 8},
                                                   {.usable = true, .inFlight = 1, .limit = 8, .peersInFlight = 1, .slots = 8},
                                                   {.usable = true, .limit = 8, .slots = 8}};
    for (auto i = 0; i < 3000; ++i) {
        ++counts.at(*chooseExecutor(loads, Locality::OwnDomain, Locality::OwnDomain, random));
    }
    CHECK(counts[0] == 0); // more loaded than each of the others
    CHECK(counts[1] == doctest::Approx(1000).epsilon(0.1));
    CHECK(counts[2] == doctest::Approx(2000).epsilon(0.1));
}

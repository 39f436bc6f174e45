#include "policy/requestscheduler.h"
#include "util/random.h"

#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>

using namespace Catkin;

namespace
{

constexpr auto start = MonoTime{Seconds{1000}};

auto config() -> RequestConfig
{
    return {{{.id = WorkspaceId{"gas"}, .urgentShare = 0.3}, {.id = WorkspaceId{"ski"}, .weight = 2, .callersLimit = 10}},
            {{.id = KindId{"plan"}, .idempotent = true, .crossRegion = true},
             {.id = KindId{"book"}, .urgency = RequestUrgency::Urgent},
             {.id = KindId{"check"}, .idempotent = true}}};
}

auto executors(int local, int remote) -> std::vector<ListedExecutor>
{
    auto list = std::vector<ListedExecutor>{};
    for (auto i = 0; i < local + remote; ++i) {
        const auto name = std::to_string(i);
        list.push_back(
            {ExecutorId{"e-" + name}, "a-" + name, FailureDomainId{i % 2 == 0 ? "oviedo" : "bilbao"}, RegionId{i < local ? "cantabrico" : "meseta"}});
    }
    return list;
}

auto scheduler(int local, int remote, std::uint64_t seed, RequestSchedulerOptions options = {}) -> RequestScheduler
{
    options.instance = InstanceId{"i-1"};
    options.domain = FailureDomainId{"oviedo"};
    options.region = RegionId{"cantabrico"};
    auto result = RequestScheduler{options, seed};
    result.configChanged(config(), start);
    result.executorsChanged(executors(local, remote), start);
    for (const auto &it : executors(local, remote)) {
        result.executorPolled(it.id, HealthSample{8, 0, false}, start);
    }
    return result;
}

auto request(const char *kind, MonoTime now, const char *caller = "c", Millis deadline = Millis{1000}) -> NewRequest
{
    return {WorkspaceId{"gas"}, CallerId{caller}, KindId{kind}, now + deadline, Bytes{1000}};
}

}

// Guards G4 and G5 under random faults: every accepted request ends exactly once; a request that may have run is never
// reported as "not run", and is sent again only if it is idempotent; the limits and the retry budget hold.
TEST_CASE("under random faults each accepted request ends exactly once with a true result")
{
    struct TrackedRequest
    {
        bool idempotent = false;
        bool mayHaveRun = false;
        bool inFlight = false;
        bool ended = false;
        std::string executor;
    };
    for (auto seed = std::uint64_t{1}; seed <= 40; ++seed) {
        CAPTURE(seed);
        auto random = Random{seed};
        const auto options = RequestSchedulerOptions{.retry = {.burst = 5}};
        auto s = scheduler(6, 2, seed, options);
        auto requests = std::map<std::int64_t, TrackedRequest>{};
        auto load = std::map<std::string, int>{};
        auto now = start;
        auto poll = start;
        auto first = 0;
        auto attempts = 0;
        auto end = [&](RequestNumber number, bool reportedNotRun) {
            auto &tracked = requests.at(number.value);
            REQUIRE_FALSE(tracked.ended);
            REQUIRE_FALSE((reportedNotRun && tracked.mayHaveRun));
            tracked.ended = true;
        };
        auto complete = [&](std::int64_t number, DispatchOutcome outcome) {
            auto &tracked = requests.at(number);
            tracked.inFlight = false;
            --load[tracked.executor];
            tracked.mayHaveRun = tracked.mayHaveRun || outcome == DispatchOutcome::Failed || outcome == DispatchOutcome::TimedOut;
            const auto after = s.completed({number}, outcome, Micros{uniform(random, 90000)}, now);
            if (const auto *finished = std::get_if<RequestFinished>(&after)) {
                CHECK(finished->answered == (outcome == DispatchOutcome::Answered));
                CHECK((finished->answered || tracked.mayHaveRun));
                end({number}, false);
            } else if (std::holds_alternative<RequestNotRun>(after)) {
                end({number}, true);
            } else {
                CHECK((tracked.idempotent || !tracked.mayHaveRun));
            }
        };
        auto drain = [&] {
            for (;;) {
                auto step = s.next(now);
                if (auto *dispatch = std::get_if<RequestDispatch>(&step)) {
                    auto &tracked = requests.at(dispatch->number.value);
                    REQUIRE_FALSE((tracked.ended || tracked.inFlight));
                    REQUIRE((tracked.idempotent || !tracked.mayHaveRun));
                    tracked.inFlight = true;
                    tracked.executor = dispatch->executor.str();
                    REQUIRE(++load[tracked.executor] <= 8);
                    first += dispatch->attempt == 1 ? 1 : 0;
                    ++attempts;
                    REQUIRE(attempts - first <= options.retry.ratio * first + options.retry.burst + 1e-6);
                } else if (auto *dropped = std::get_if<RequestDropped>(&step)) {
                    CHECK(dropped->mayHaveRun == requests.at(dropped->number.value).mayHaveRun);
                    end(dropped->number, !dropped->mayHaveRun);
                } else {
                    return;
                }
            }
        };
        for (auto i = 0; i < 4000; ++i) {
            now += Micros{uniform(random, 4000)};
            if (now >= poll) {
                for (const auto &it : executors(6, 2)) {
                    const auto good = uniform(random, 10) > 0;
                    s.executorPolled(it.id, good ? std::optional{HealthSample{8, load[it.id.str()], false}} : std::nullopt, now);
                }
                s.peersChanged(1 + static_cast<int>(uniform(random, 3)), now);
                poll = now + Seconds{1};
            }
            const auto action = uniform(random, 20);
            if (action < 9) {
                constexpr const char *kinds[] = {"plan", "book", "check"};
                constexpr const char *callers[] = {"c-1", "c-2", "c-3"};
                const auto *kind = kinds[uniform(random, 3)];
                const auto queued = s.enqueue(request(kind, now, callers[uniform(random, 3)], Millis{20 + uniform(random, 500)}), now);
                if (!queued.refusal) {
                    requests[queued.number.value].idempotent = std::string{kind} != "book";
                }
            } else if (action < 18) {
                for (auto &[number, tracked] : requests) {
                    if (tracked.inFlight && uniform(random, 4) == 0) {
                        constexpr DispatchOutcome outcomes[]
                            = {DispatchOutcome::Refused, DispatchOutcome::NotSent, DispatchOutcome::Failed, DispatchOutcome::TimedOut};
                        complete(number, uniform(random, 3) > 0 ? DispatchOutcome::Answered : outcomes[uniform(random, 4)]);
                        break;
                    }
                }
            } else if (action == 18 && !requests.empty()) {
                const auto number = 1 + uniform(random, static_cast<std::uint32_t>(requests.size()));
                const auto result = s.cancel({number}, now);
                const auto &tracked = requests.at(number);
                CHECK((result == RequestCancelResult::NotFound) == tracked.ended);
                CHECK((result == RequestCancelResult::InFlight) == (tracked.inFlight && !tracked.ended));
                if (result == RequestCancelResult::NotRun || result == RequestCancelResult::MayHaveRun) {
                    end({number}, result == RequestCancelResult::NotRun);
                }
            } else if (uniform(random, 20) == 0) {
                for (const auto &it : s.cancelCaller(WorkspaceId{"gas"}, CallerId{"c-1"}, now)) {
                    if (it.result != RequestCancelResult::InFlight) {
                        end(it.number, it.result == RequestCancelResult::NotRun);
                    }
                }
            } else if (uniform(random, 10) == 0) {
                s.executorsChanged(executors(2 + static_cast<int>(uniform(random, 5)), 2), now);
            }
            drain();
        }
        for (auto i = 0; i < 20; ++i) {
            now += Seconds{1};
            for (auto &[number, tracked] : requests) {
                if (tracked.inFlight) {
                    complete(number, DispatchOutcome::Answered);
                }
            }
            drain();
        }
        for (const auto &[number, tracked] : requests) {
            CHECK(tracked.ended);
        }
        CHECK(s.counts().queued == 0);
        CHECK(s.counts().inFlight == 0);
        CHECK(s.ownLoads().empty());
        CHECK(requests.size() > 500);
    }
}

// Guards against refusals with a wrong reason or without a retry time, and against a flood by one caller that causes
// refusals for another one.
TEST_CASE("enqueue refuses with the reason and, for an expected wait, with a retry time")
{
    auto s = scheduler(1, 0, 1);
    auto unknown = request("plan", start);
    unknown.workspace = WorkspaceId{"nobody"};
    CHECK(s.enqueue(unknown, start).refusal->reason == RefusalReason::UnknownWorkspace);
    CHECK(s.enqueue(request("mold", start), start).refusal->reason == RefusalReason::UnknownKind);
    auto limited = request("plan", start);
    limited.workspace = WorkspaceId{"ski"};
    for (auto i = 0; i < 10; ++i) {
        CHECK_FALSE(s.enqueue(limited, start).refusal);
    }
    CHECK(s.enqueue(limited, start).refusal->reason == RefusalReason::CallerLimit);
    auto refusal = std::optional<RequestRefusal>{};
    for (auto i = 0; i < 10000 && !refusal; ++i) {
        refusal = s.enqueue(request("check", start), start).refusal;
    }
    REQUIRE(refusal);
    CHECK(refusal->reason == RefusalReason::ExpectedWait);
    CHECK(refusal->retryAfter > Millis{0});
    CHECK_FALSE(s.enqueue(request("check", start, "other"), start).refusal); // a flood by one caller does not exclude others
    auto empty = scheduler(0, 0, 1);
    CHECK(empty.enqueue(request("plan", start), start).refusal->reason == RefusalReason::NoExecutor);
}

// Guards against needless traffic on the link between regions, which is paid for.
TEST_CASE("a request crosses regions only if its kind allows it, the own region cannot serve it and the link budget suffices")
{
    struct Case
    {
        const char *kind;
        int local;
        int remote;
        std::int64_t burst;
        int dispatched;
        std::int64_t otherRegion;
    };
    for (const auto &it :
         {Case{"plan", 1, 1, 100000, 1, 0}, Case{"plan", 0, 1, 100000, 1, 1}, Case{"check", 0, 1, 100000, 0, 0}, Case{"plan", 0, 1, 500, 0, 0}}) {
        CAPTURE(it.kind);
        auto s = scheduler(it.local, it.remote, 1, {.link = {.bytesPerSecond = 100, .burst = it.burst}});
        s.enqueue(request(it.kind, start), start);
        while (!std::holds_alternative<RequestIdle>(s.next(start))) { }
        CHECK(s.counts().dispatched == it.dispatched);
        CHECK(s.counts().otherRegionDispatches == it.otherRegion);
        CHECK(s.counts().otherRegionBytes == it.otherRegion * 1000);
    }
}

// Guards against an executor that fails every request at once: it always looks the least loaded and so attracts requests.
TEST_CASE("an executor that fails every request is quarantined and returns after a successful probe")
{
    auto s = scheduler(10, 0, 3);
    auto now = start;
    auto sentToFailing = 0;
    for (auto i = 0; i < 20000; ++i) {
        now += Millis{1};
        if (i % 1000 == 0) {
            for (const auto &it : executors(10, 0)) {
                s.executorPolled(it.id, HealthSample{8, 0, false}, now);
            }
        }
        s.enqueue(request("check", now, "c", Millis{5000}), now);
        for (;;) {
            const auto step = s.next(now);
            const auto *dispatch = std::get_if<RequestDispatch>(&step);
            if (dispatch == nullptr) {
                break;
            }
            const auto fails = dispatch->executor == ExecutorId{"e-0"} && i < 15000;
            sentToFailing += fails ? 1 : 0;
            s.completed(dispatch->number, fails ? DispatchOutcome::Failed : DispatchOutcome::Answered, Micros{500}, now);
        }
    }
    CHECK(sentToFailing < 15); // five failures, then probes with doubling pauses
    for (const auto &it : s.executors(now)) {
        CHECK_FALSE(it.quarantined); // recovered by a probe
    }
}

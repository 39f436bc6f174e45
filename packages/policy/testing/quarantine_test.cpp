#include "policy/quarantine.h"

#include <doctest/doctest.h>

using namespace Catkin;

TEST_CASE("a job is faulty if it fails where others succeed, and a worker is quarantined if several jobs fail only there")
{
    struct Event
    {
        const char *job;
        const char *worker;
        bool failed;
    };
    struct Case
    {
        const char *name;
        std::vector<Event> events;
        int fleet;
        bool jobFaulty; ///< verdict on the last failure
        bool workerQuarantined; ///< verdict on the last failure
    };
    const auto cases = std::vector<Case>{
        {"a job that fails where others succeed",
         {{"a", "1", false}, {"b", "2", false}, {"x", "1", true}, {"x", "2", true}, {"x", "3", true}},
         20,
         true,
         false},
        {"a job that fails where nothing succeeds", {{"x", "1", true}, {"x", "2", true}, {"x", "3", true}}, 20, false, false},
        {"a worker on which different jobs fail", {{"a", "1", true}, {"b", "1", true}, {"c", "1", true}}, 20, false, true},
        {"a worker on which a job succeeds in between", {{"a", "1", true}, {"b", "1", true}, {"d", "1", false}, {"c", "1", true}}, 20, false, false},
        {"one job that fails repeatedly on a worker", {{"a", "1", true}, {"a", "1", true}, {"a", "1", true}}, 20, false, false},
        {"a worker on which one of the jobs also failed elsewhere", {{"a", "2", true}, {"a", "1", true}, {"b", "1", true}, {"c", "1", true}}, 20, false, false},
        {"a worker on which one of the jobs failed that later succeeded elsewhere",
         {{"a", "1", true}, {"a", "2", false}, {"b", "1", true}, {"c", "1", true}},
         20,
         false,
         true},
        {"the only worker of the fleet", {{"a", "1", true}, {"b", "1", true}, {"c", "1", true}}, 1, false, false},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        auto quarantine = Quarantine{};
        auto verdict = FailureVerdict{};
        for (const auto &event : entry.events) {
            if (event.failed) {
                verdict = quarantine.failed(JobId{event.job}, WorkerId{event.worker}, entry.fleet, MonoTime{});
            } else {
                quarantine.succeeded(JobId{event.job}, {WorkerId{event.worker}}, MonoTime{});
            }
        }
        CHECK(verdict.jobFaulty == entry.jobFaulty);
        CHECK(verdict.workerQuarantined == entry.workerQuarantined);
    }
}

TEST_CASE("at most a tenth of the fleet is in quarantine, and a failure after the release doubles the time")
{
    // Guards against a faulty kind of job whose failures quarantine the whole fleet.
    auto quarantine = Quarantine{};
    for (auto w = 0; w < 40; ++w) {
        for (auto j = 0; j < 3; ++j) {
            quarantine.failed(JobId{std::to_string(w) + "/" + std::to_string(j)}, WorkerId{std::to_string(w)}, 40, MonoTime{});
        }
    }
    CHECK(quarantine.size() == 4);
    auto now = MonoTime{} + Seconds{300};
    REQUIRE(quarantine.nextRelease() == now);
    CHECK(quarantine.releaseExpired(now).size() == 4);
    CHECK(quarantine.releaseExpired(now).empty());
    CHECK(quarantine.failed(JobId{"probe"}, WorkerId{"0"}, 40, now).workerQuarantined);
    CHECK(quarantine.nextRelease() == now + Seconds{600});
    quarantine.succeeded(JobId{"good"}, {WorkerId{"1"}}, now);
    CHECK_FALSE(quarantine.failed(JobId{"later"}, WorkerId{"1"}, 40, now).workerQuarantined);
}

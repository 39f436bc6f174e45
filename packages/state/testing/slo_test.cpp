#include "state/slo.h"
#include "state/snapshotter.h"
#include "util/random.h"

#include <doctest/doctest.h>

#include <set>
#include <vector>

using namespace Catkin;
using std::chrono::minutes;

TEST_CASE("counts() of every window equals the count in a list of all events, also after long pauses")
{
    auto random = Random{3};
    auto tracker = SloTracker{99'000};
    auto events = std::vector<std::pair<MonoTime, bool>>{};
    auto now = MonoTime{minutes{1}};
    for (auto i = 0; i < 2000; ++i) {
        now += Millis{uniform(random, uniform(random, 300) == 0 ? 40'000'000 : 30'000)};
        events.emplace_back(now, uniform(random, 4) != 0);
        tracker.record(events.back().second, now);
        for (const auto window : {minutes{1}, minutes{5}, minutes{60}, minutes{360}}) {
            auto expected = SloCounts{};
            for (const auto &[time, good] : events) {
                if (std::chrono::floor<minutes>(now) - std::chrono::floor<minutes>(time) < window) {
                    ++(good ? expected.good : expected.bad);
                }
            }
            REQUIRE(tracker.counts(window, now) == expected);
        }
    }
}

// Each case names the failure that it guards against.
TEST_CASE("an alert is raised only at a high burn rate over both the long and the short window, and not below minimumEvents")
{
    struct Case
    {
        const char *failure;
        int badPercentLongAgo; ///< from 60 to 5 minutes ago
        int badPercentNow; ///< in the last 5 minutes
        SloAlert alert;
    };
    const auto cases = std::vector<Case>{
        {"normal operation raises an alert", 0, 0, SloAlert::None},
        {"a total failure does not page", 100, 100, SloAlert::Page},
        {"a disturbance that is over still pages", 30, 0, SloAlert::Ticket},
        {"a low burn rate over both windows pages instead of opening a ticket", 8, 8, SloAlert::Ticket},
        {"a short disturbance pages", 0, 20, SloAlert::None},
    };
    for (const auto &it : cases) {
        CAPTURE(std::string(it.failure));
        auto tracker = SloTracker{99'000};
        const auto end = MonoTime{minutes{1000}};
        for (auto minute = 59; minute >= 0; --minute) {
            const auto bad = minute < 5 ? it.badPercentNow : it.badPercentLongAgo;
            for (auto i = 0; i < 100; ++i) {
                tracker.record(i >= bad, end - minutes{minute});
            }
        }
        CHECK(alertName(tracker.alert(end)) == std::string(alertName(it.alert)));
    }
    auto singleEvent = SloTracker{99'000};
    singleEvent.record(false, MonoTime{minutes{9}});
    CHECK(singleEvent.alert(MonoTime{minutes{9}}) == SloAlert::None);
    CHECK(singleEvent.budgetLeft(MonoTime{minutes{9}}) == doctest::Approx(1 - 100.0));
}

TEST_CASE("configure() keeps the counts of unchanged objectives and resets those of changed ones")
{
    auto table = SloTable{};
    const auto a = ObjectiveConfig{WorkspaceId{"a"}, KindId{"k"}, Millis{100}, 99'000};
    auto b = ObjectiveConfig{WorkspaceId{"b"}, KindId{"k"}, Millis{100}, 99'000};
    table.configure({a, b});
    const auto now = MonoTime{minutes{7}};
    table.observe(a.workspace, a.kind, Millis{100}, true, now);
    table.observe(a.workspace, a.kind, Millis{101}, true, now);
    table.observe(a.workspace, a.kind, Millis{1}, false, now);
    table.observe(b.workspace, b.kind, Millis{1}, true, now);
    b.latency = Millis{50};
    table.configure({a, b});
    const auto report = table.report(now);
    REQUIRE(report.size() == 2);
    CHECK(report[0].counts == SloCounts{1, 2});
    CHECK(report[1].counts == SloCounts{0, 0});
}

// Guards against live jobs that no instance appends again before the log drops their records, and against bursts of
// snapshots of jobs that were accepted together. The second instance never appends anything here.
TEST_CASE("an instance returns the snapshot of every job before half of the retention, also when the selected instance appends none, within the rate limit")
{
    constexpr auto retention = Seconds{80'000};
    const auto names = std::vector<std::string>{"i-1", "i-2"};
    auto fold = JobFold{};
    auto now = WallTime{Millis{1'700'000'000'000}};
    const auto accepted = now;
    fold.noteRead({0}, now);
    for (auto i = 0; i < 300; ++i) {
        const auto id = "j-" + std::to_string(i);
        fold.apply({i}, now, JobRecord{JobAcceptRecord{{.id = JobId{id}}, {{0}, now}}});
    }
    auto snapshotter = Snapshotter{InstanceId{"i-1"}, {.retention = retention, .recordsPerSecond = 0.5}};
    auto offset = fold.next();
    auto appended = std::set<JobId>{};
    for (; now < accepted + retention / 2; now += Seconds{10}) {
        fold.noteRead(offset, now);
        const auto records = snapshotter.jobSnapshots(fold, names, now);
        REQUIRE(records.size() <= 5);
        for (const auto &it : records) {
            REQUIRE(appended.insert(it.job.spec.id).second);
            fold.apply(offset, now, JobRecord{it});
            ++offset;
        }
        if (now < accepted + retention / 4) {
            REQUIRE(appended.empty());
        }
        // Until three eighths of the retention, this instance leaves the other one's half to it.
        if (now < accepted + 3 * retention / 8) {
            REQUIRE(appended.size() < 200);
        }
    }
    CHECK(appended.size() == 300);
}

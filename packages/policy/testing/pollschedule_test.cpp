#include "policy/pollschedule.h"

#include <doctest/doctest.h>

#include <string>

using namespace Catkin;

namespace
{

constexpr auto start = MonoTime{Seconds{100}};

auto worker(int number) -> WorkerId
{
    return WorkerId{"w" + std::to_string(number)};
}

auto scheduleOf(int workers) -> PollSchedule
{
    auto out = PollSchedule{};
    for (auto i = 0; i < workers; ++i) {
        out.add(worker(i), start);
    }
    return out;
}

}

// Guards against events that wake the pollers of the whole fleet: with 1,100 workers and some hundred orders a second they took most of
// the planner's processor time.
TEST_CASE("an event makes the poll of one worker due, however large the fleet is")
{
    auto schedule = scheduleOf(1'100);
    for (const auto &it : schedule.takeDue(start, 2'000)) {
        schedule.ended(it, PollPause::WhileIdle, start);
    }
    const auto now = start + Millis{100};
    CHECK(schedule.takeDue(now, 2'000).empty());
    schedule.reconsider(worker(700), PollPause::None);
    CHECK(schedule.nextDue() == start);
    CHECK(schedule.takeDue(now, 2'000) == std::vector<WorkerId>{worker(700)});
    CHECK(schedule.nextDue() == start + Seconds{5});
}

// Guards against a takeover that sends the first polls of the whole fleet at once and chokes the planner's link.
TEST_CASE("due polls are taken in bounded groups, the longest due first")
{
    auto schedule = scheduleOf(10);
    schedule.add(WorkerId{"late"}, start + Millis{1});
    const auto now = start + Millis{1};
    CHECK(schedule.takeDue(now, 6).size() == 6);
    CHECK(schedule.nextDue() == start);
    const auto rest = schedule.takeDue(now, 6);
    REQUIRE(rest.size() == 5);
    CHECK(rest.back() == WorkerId{"late"});
    CHECK_FALSE(schedule.nextDue().has_value());
}

TEST_CASE("each pause has its length, counted from the end of the poll")
{
    for (const auto &[pause, length] : std::vector<std::pair<PollPause, Millis>>{{PollPause::None, Millis{0}},
                                                                                 {PollPause::UntilRecorded, Millis{1'000}},
                                                                                 {PollPause::WhileIdle, Millis{5'000}},
                                                                                 {PollPause::AfterFailure, Millis{200}}}) {
        auto schedule = scheduleOf(1);
        schedule.takeDue(start, 1);
        schedule.ended(worker(0), pause, start + Millis{40});
        CHECK(schedule.nextDue() == start + Millis{40} + length);
    }
}

// Guards against two polls of one worker at the same time.
TEST_CASE("a worker whose poll is under way is not due before its end")
{
    auto schedule = scheduleOf(1);
    CHECK(schedule.takeDue(start, 1).size() == 1);
    schedule.reconsider(worker(0), PollPause::None);
    CHECK(schedule.takeDue(start + Seconds{60}, 1).empty());
    schedule.ended(worker(0), PollPause::None, start + Seconds{60});
    CHECK(schedule.takeDue(start + Seconds{60}, 1).size() == 1);
}

TEST_CASE("a removed worker is not due, and one that is added again is due at once")
{
    auto schedule = scheduleOf(2);
    schedule.remove(worker(0));
    CHECK(schedule.takeDue(start, 9) == std::vector<WorkerId>{worker(1)});
    schedule.remove(worker(1));
    schedule.ended(worker(1), PollPause::None, start); // its reply comes late
    CHECK_FALSE(schedule.nextDue().has_value());
    schedule.add(worker(1), start + Seconds{1});
    schedule.takeDue(start + Seconds{1}, 9);
    schedule.add(worker(1), start + Seconds{2}); // at another address
    CHECK(schedule.takeDue(start + Seconds{2}, 9) == std::vector<WorkerId>{worker(1)});
}

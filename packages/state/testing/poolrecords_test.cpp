#include "state/poolrecords.h"

#include <doctest/doctest.h>

using namespace Catkin;

namespace
{

auto job() -> PoolJob
{
    return {.id = JobId{"17"},
            .queue = QueueId{"q"},
            .workspace = WorkspaceId{"w"},
            .acceptedAt = WallTime{Millis{5}},
            .payload = "p",
            .steps = {{.tasks = 2, .perTask = {.cpuMillis = 1'000}, .estimate = Millis{300}}, {.tasks = 1, .dependsOn = {0}}},
            .occurrences = 2,
            .firstDue = WallTime{Millis{7}},
            .interval = Millis{9}};
}

/// @return @p text with its first @p from replaced.
auto replaced(std::string text, const std::string &from, const std::string &to) -> std::string
{
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

}

// Guards against a record of another writer whose numbers ended the planner: a negative number of tasks, or a step that depends on
// one that does not exist.
TEST_CASE("records of jobs out of range cannot be read")
{
    const auto [key, value] = encodeJob(job());
    REQUIRE(decodePoolRecord(key, value));
    for (const auto &it : std::vector<std::pair<std::string, std::string>>{
             {R"("tasks":2)", R"("tasks":-1)"},
             {R"("tasks":2)", R"("tasks":0)"},
             {R"("tasks":2)", R"("tasks":2000000000)"},
             {R"("tasks":2)", R"("tasks":4294967297)"},
             {R"("tasks":2)", R"("tasks":1e300)"},
             {R"("tasks":2)", R"("tasks":true)"},
             {R"("after":[0])", R"("after":[1])"},
             {R"("after":[0])", R"("after":[-1])"},
             {R"("after":[0])", R"("after":[4294967296])"},
             {R"("cpu":1000)", R"("cpu":-1)"},
             {R"("cpu":1000)", R"("cpu":9223372036854775807)"},
             {R"("cpu":1000)", R"("cpu":18446744073709551615)"},
             {R"("estimate":300)", R"("estimate":-1)"},
             {R"("estimate":300)", R"("estimate":9223372036854775807)"},
             {R"("occurrences":2)", R"("occurrences":2000000000)"},
             {R"("occurrences":2)", R"("occurrences":-1)"},
             {R"("interval":9)", R"("interval":9223372036854775807)"},
             {R"("due":7)", R"("due":9223372036854775807)"},
             {R"("due":7)", R"("due":-9223372036854775808)"},
             {R"("accepted":5)", R"("accepted":-9223372036854775808)"},
             {R"("per_worker":0)", R"("per_worker":-1)"},
         }) {
        CAPTURE(it.second);
        CHECK_FALSE(decodePoolRecord(key, replaced(value, it.first, it.second)));
    }
}

// Guards against an id that is no text: it cannot be part of an order.
TEST_CASE("records with ids that cannot be sent cannot be read")
{
    for (const auto &id : {std::string("\xff\xfe"), std::string("a\nb"), std::string(254, 'a')}) {
        auto odd = job();
        odd.id = JobId{id};
        const auto [key, value] = encodeJob(odd);
        CHECK_FALSE(decodePoolRecord(key, value));
        const auto [cancelKey, cancelValue] = encodeCancel(odd.id);
        CHECK_FALSE(decodePoolRecord(cancelKey, cancelValue));
    }
}

// Guards against a kind that no branch handles, and against epochs that wrap around.
TEST_CASE("records of the leadership out of range cannot be read")
{
    const auto [key, value] = encodeLeadership({.kind = LeadershipRecordKind::Renewal, .holder = InstanceId{"a"}, .epoch = 4, .nonce = "n", .address = "x"});
    REQUIRE(decodePoolRecord(key, value));
    for (const auto *kind : {R"("kind":3)", R"("kind":-1)", R"("kind":4294967297)", R"("kind":1e300)", R"("kind":true)"}) {
        CHECK_FALSE(decodePoolRecord(key, replaced(value, R"("kind":1)", kind)));
    }
    for (const auto *epoch : {R"("epoch":-1)", R"("epoch":1e300)", R"("epoch":18446744073709551615)"}) {
        CHECK_FALSE(decodePoolRecord(key, replaced(value, R"("epoch":4)", epoch)));
    }
    CHECK_FALSE(decodePoolRecord("s/17", "4294967297"));
    CHECK_FALSE(decodePoolRecord("s/17", "1e300"));
    CHECK_FALSE(decodePoolRecord("s/17", std::string(200'000, '[')));
}

// Guards against a record of attempts whose numbers wrap around, so that an attempt gets the number of an earlier one.
TEST_CASE("records of attempts out of range cannot be read")
{
    auto state = makeJobState(job());
    auto &task = state.occurrences[0].steps[0].tasks[0];
    task.phase = TaskPhase::Placed;
    task.attempt = 11;
    task.failures = 12;
    task.worker = WorkerId{"i-1"};
    task.workerBorn = Incarnation{13};
    const auto value = encodeAttempts(state).second;
    auto read = makeJobState(job());
    REQUIRE(decodeAttempts(value, read));
    CHECK(read.occurrences[0].steps[0].tasks[0].attempt == 11);
    for (const auto &it : std::vector<std::pair<std::string, std::string>>{
             {"11", "-11"},
             {"11", "2147483647"},
             {"11", "4294967297"},
             {"11", "1e300"},
             {"12", "-1"},
             {"12", "2147483648"},
             {"13", "1e300"},
             {"13", "18446744073709551615"},
             {R"("i-1")", R"("")"},
             {R"("i-1")", R"("i\n1")"},
             {R"("f":0)", R"("f":-1)"},
             {R"("l":0)", R"("l":1e300)"},
             {R"("p":0)", R"("p":4294967296)"},
         }) {
        CAPTURE(it.second);
        auto other = makeJobState(job());
        CHECK_FALSE(decodeAttempts(replaced(value, it.first, it.second), other));
    }
    CHECK_FALSE(decodeAttempts(std::string(200'000, '[') + std::string(200'000, ']'), read));
    CHECK_FALSE(decodeAttempts("\xff", read));
}

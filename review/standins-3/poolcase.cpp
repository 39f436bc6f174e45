// Plays one of the cases of this review; see claim.txt of each, and REPORT-3.md for other-kind and pending-count.
// usage: poolcase CASE DAEMON FOLDER RECORD   (with TROUBLE=0 in the environment without the disruption)
// Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

#include "smallworld.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <exception>

using namespace Catkin;
using namespace Catkin::Review;
using nlohmann::json;

namespace
{

constexpr auto exitHeld = 0;
constexpr auto exitBroken = 1;
constexpr auto exitNotRun = 2;
constexpr auto statusOk = 200;
constexpr auto readyLimit = Millis{15'000};

auto route(const char *name, int priority) -> json
{
    return {{"name", name},
            {"host", "h"},
            {"path_prefix", std::string("/") + name + "/"},
            {"service", "svc"},
            {"priority", priority},
            {"max_attempts", 3},
            {"timeout_ms", 3'000},
            {"stretch", 2.0},
            {"target_runtime_ms", 1'000}};
}

auto tenant(const char *name, const char *key, int accelerators) -> json
{
    return {{"name", name}, {"api_keys", {key}}, {"guaranteed", {{"gpu", accelerators}}}};
}

auto config() -> json
{
    return {
        {"version", 1}, {"routes", {route("urgent", 0), route("normal", 1), route("batch", 2)}}, {"tenants", {tenant("a", "ka", 8), tenant("b", "kb", 16)}}};
}

auto jobId(int number) -> std::string
{
    auto text = std::to_string(number);
    return std::string(16 - text.size(), 'a') + text;
}

auto verdict(SmallWorld &world, bool isBroken, const std::string &text) -> int
{
    world.recordRuns();
    world.record({{"event", "verdict"}, {"rule", isBroken ? "broken" : "held"}, {"text", text}});
    std::printf("%s: %s\n", isBroken ? "BROKEN" : "held", text.c_str());
    return isBroken ? exitBroken : exitHeld;
}

auto notRun(SmallWorld &world, const char *text) -> int
{
    world.record({{"event", "not_run"}, {"text", text}});
    std::printf("not run: %s\n", text);
    return exitNotRun;
}

/// A tenant's work of priority 0 without accelerators fills the processors; another tenant's guaranteed accelerators cannot be reclaimed.
auto processorsOnly(SmallWorld &world, bool isTrouble) -> int
{
    constexpr auto reclaim = Millis{2'700};
    constexpr auto watched = Millis{30'000};
    if (isTrouble) {
        const auto fill = json{{"spec", "ms=90000"}, {"steps", {{{"count", 8}, {"cpu", 32'000}, {"mem_mb", 1'000}, {"estimate_ms", 90'000}}}}};
        if (world.call(0, "POST", "/urgent/" + jobId(1), "ka", fill.dump()).status != statusOk) {
            return notRun(world, "the first job was not accepted");
        }
        std::this_thread::sleep_for(Millis{5'000});
        if (world.runsOf(jobId(1)).size() != 8) {
            return notRun(world, "the first job has not begun");
        }
    } else {
        std::this_thread::sleep_for(Millis{5'000});
    }
    const auto work = json{{"spec", "ms=3000"}, {"steps", {{{"count", 2}, {"cpu", 8'000}, {"mem_mb", 1'000}, {"gpu", 8}, {"estimate_ms", 3'000}}}}};
    if (world.call(1, "POST", "/urgent/" + jobId(2), "kb", work.dump()).status != statusOk) {
        return notRun(world, "the guaranteed job was not accepted");
    }
    const auto ackMs = world.elapsedMs();
    auto begunMs = std::int64_t{-1};
    while (world.elapsedMs() < ackMs + watched.count() && begunMs < 0) {
        std::this_thread::sleep_for(Millis{20});
        if (world.runsOf(jobId(2)).size() >= 2) {
            begunMs = world.elapsedMs() - ackMs;
        }
    }
    world.call(1, "GET", "/urgent/" + jobId(2), "kb", "");
    const auto isBroken = begunMs < 0 || begunMs > reclaim.count();
    return verdict(world,
                   isBroken,
                   begunMs < 0 ? "the guaranteed job had not begun " + std::to_string(watched.count()) + " ms after its ack"
                               : "the guaranteed job had begun " + std::to_string(begunMs) + " ms after its ack");
}

/// Recurring jobs of many occurrences; the leading instance exceeds its memory.
auto recurringJobs(SmallWorld &world, bool isTrouble) -> int
{
    constexpr auto jobs = 150;
    constexpr auto times = 8'760; // each hour of a year
    constexpr auto mostEnds = 3; // as the rule has it, of two instances at least
    const auto wallMs = std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
    const auto timed = json{{"spec", "ms=200"},
                            {"steps", {{{"count", 1}, {"cpu", 500}, {"mem_mb", 100}, {"estimate_ms", 200}}}},
                            {"times", isTrouble ? times : 10},
                            {"start_at_ms", wallMs + 600'000},
                            {"interval_ms", 3'600'000}};
    auto accepted = 0;
    for (auto i = 0; i < jobs; ++i) {
        accepted += world.call(static_cast<std::size_t>(i % 2), "POST", "/batch/" + jobId(1'000 + i), "ka", timed.dump()).status == statusOk ? 1 : 0;
        std::this_thread::sleep_for(Millis{50});
    }
    std::this_thread::sleep_for(Millis{25'000});
    const auto kills = world.memoryKills();
    const auto often = std::count_if(kills.begin(), kills.end(), [](int it) { return it >= mostEnds; });
    auto text = "accepted " + std::to_string(accepted) + " of " + std::to_string(jobs) + " jobs; over the memory of the instance";
    for (const auto it : kills) {
        text += " " + std::to_string(it);
    }
    return verdict(world,
                   often >= 2,
                   text + " times by instance, ended by themselves " + std::to_string(world.ownEnds()) + ", peak " + std::to_string(world.peakMemoryMb())
                       + " MB");
}

/// An executor is lost for good just before jobs come; the number of pending jobs leaves out those that were meant for it.
auto pendingCount(SmallWorld &world, bool isTrouble) -> int
{
    constexpr auto jobs = 3;
    constexpr auto counted = Millis{5'000}; // visible_ms + 2 s
    constexpr auto watched = Millis{20'000};
    const auto work = [](int lengthMs) {
        return json{{"spec", "ms=" + std::to_string(lengthMs)},
                    {"steps", {{{"count", 1}, {"cpu", 1'000}, {"mem_mb", 100}, {"gpu", 1}, {"estimate_ms", lengthMs}}}}}
            .dump();
    };
    if (world.call(0, "POST", "/normal/" + jobId(1), "ka", work(60'000)).status != statusOk) {
        return notRun(world, "the first job was not accepted");
    }
    std::this_thread::sleep_for(Millis{4'000});
    const auto first = world.runsOf(jobId(1));
    if (first.size() != 1) {
        return notRun(world, "the first job has not begun");
    }
    if (isTrouble) {
        world.loseExecutor(first.front().worker);
    }
    auto ackMs = std::vector<std::int64_t>{};
    for (auto i = 0; i < jobs; ++i) {
        if (world.call(static_cast<std::size_t>(i % 2), "POST", "/batch/" + jobId(10 + i), "ka", work(2'000)).status != statusOk) {
            return notRun(world, "a job was not accepted");
        }
        ackMs.push_back(world.elapsedMs());
    }
    auto wrong = 0;
    auto asked = 0;
    const auto end = world.elapsedMs() + watched.count();
    while (world.elapsedMs() < end) {
        std::this_thread::sleep_for(Millis{500});
        const auto askedMs = world.elapsedMs();
        const auto answer = world.call(static_cast<std::size_t>(asked % 2), "GET", "/batch/", "ka", "");
        auto waiting = 0;
        for (auto i = 0; i < jobs; ++i) {
            waiting += askedMs - ackMs[static_cast<std::size_t>(i)] > counted.count() && world.runsOf(jobId(10 + i)).empty() ? 1 : 0;
        }
        ++asked;
        const auto pending = answer.status == statusOk ? json::parse(answer.body).value("pending", 0) : -1;
        const auto isWrong = answer.status == statusOk && pending * 2 < waiting;
        wrong += isWrong ? 1 : 0;
        world.record({{"event", "count"}, {"pending", pending}, {"accepted_5_s_before_and_not_begun", waiting}, {"wrong", isWrong}});
    }
    return verdict(world, wrong > 0, std::to_string(wrong) + " of " + std::to_string(asked) + " counts were under half of the jobs that had not begun");
}

/// Executors crash and come back under their ids with another kind, while work that needs the first kind waits.
auto otherKind(SmallWorld &world, bool isTrouble) -> int
{
    constexpr auto jobs = 12;
    constexpr auto down = Millis{1'500};
    const auto work = json{
        {"spec", "ms=60000"},
        {"steps", {{{"count", 1}, {"cpu", 32'000}, {"mem_mb", 1'000}, {"gpu", 8}, {"estimate_ms", 60'000}, {"required_label", "a"}}}},
    };
    for (auto i = 0; i < jobs; ++i) {
        if (world.call(static_cast<std::size_t>(i % 2), "POST", "/normal/" + jobId(100 + i), "ka", work.dump()).status != statusOk) {
            return notRun(world, "a job was not accepted");
        }
    }
    std::this_thread::sleep_for(Millis{5'000});
    const auto ids = world.executorIds();
    if (world.runsOf(jobId(1).substr(0, 12)).size() != ids.size()) {
        return notRun(world, "not every executor runs one of the jobs");
    }
    auto wrong = std::size_t{0};
    for (auto i = std::size_t{0}; isTrouble && i < 4; ++i) {
        world.crashExecutor(ids[i], down, "b");
        std::this_thread::sleep_for(Millis{4'000});
    }
    std::this_thread::sleep_for(Millis{5'000});
    for (const auto &it : world.runsOf(jobId(1).substr(0, 12))) {
        const auto backAt = world.restartedAt(it.worker);
        wrong += backAt && it.begin > *backAt ? 1 : 0;
    }
    return verdict(world, wrong > 0, std::to_string(wrong) + " starts of work that needs the label a on executors that had come back without it");
}

/// A configuration lifts the limit of attempts of a queue; the jobs that the queue accepts from then on are lost.
auto unlimitedAttempts(SmallWorld &world, bool isTrouble) -> int
{
    constexpr auto unlimited = 2'147'483'647;
    constexpr auto applied = Millis{4'000}; // config_apply_ms is 2500
    constexpr auto visible = Millis{3'500}; // visible_ms is 3000
    constexpr auto statusGone = 410;
    constexpr auto jobs = 4;
    auto changed = config();
    changed["version"] = 2;
    if (isTrouble) {
        changed["routes"][2]["max_attempts"] = unlimited;
    }
    world.putConfig(changed);
    std::this_thread::sleep_for(applied);
    const auto work = json{{"spec", "ms=1000"}, {"steps", {{{"count", 1}, {"cpu", 1'000}, {"mem_mb", 100}, {"gpu", 1}, {"estimate_ms", 1'000}}}}};
    for (auto i = 0; i < jobs; ++i) {
        if (world.call(static_cast<std::size_t>(i % 2), "POST", "/batch/" + jobId(10 + i), "ka", work.dump()).status != statusOk) {
            return notRun(world, "a job was not accepted");
        }
    }
    std::this_thread::sleep_for(visible);
    auto gone = 0;
    for (auto i = 0; i < jobs; ++i) {
        gone += world.call(static_cast<std::size_t>(i % 2), "GET", "/batch/" + jobId(10 + i), "ka", "").status == statusGone ? 1 : 0;
    }
    std::this_thread::sleep_for(Millis{15'000});
    auto begun = 0;
    for (auto i = 0; i < jobs; ++i) {
        gone += world.call(static_cast<std::size_t>(i % 2), "GET", "/batch/" + jobId(10 + i), "ka", "").status == statusGone ? 1 : 0;
        begun += world.runsOf(jobId(10 + i)).empty() ? 0 : 1;
    }
    return verdict(world,
                   gone > 0,
                   std::to_string(gone) + " of " + std::to_string(2 * jobs) + " GETs for accepted jobs were answered 410; " + std::to_string(begun) + " of "
                       + std::to_string(jobs) + " jobs had begun");
}

/// An executor leaves a start order without an answer, crashes, and carries the order out late when it is back under its id.
auto lateStart(SmallWorld &world, bool isTrouble) -> int
{
    constexpr auto late = Millis{9'000}; // 2 to 12 s are allowed
    constexpr auto down = Millis{500};
    const auto work = json{{"spec", "ms=40000"}, {"steps", {{{"count", 1}, {"cpu", 1'000}, {"mem_mb", 100}, {"gpu", 1}, {"estimate_ms", 40'000}}}}};
    if (world.call(0, "POST", "/normal/" + jobId(1), "ka", work.dump()).status != statusOk) {
        return notRun(world, "the job was not accepted");
    }
    const auto sentMs = world.elapsedMs();
    std::this_thread::sleep_for(Millis{900});
    world.listAll();
    std::this_thread::sleep_for(Millis{300});
    // Other work makes the second executor the one that is filled first.
    const auto other = json{{"spec", "ms=60000"}, {"steps", {{{"count", 1}, {"cpu", 1'000}, {"mem_mb", 100}, {"gpu", 6}, {"estimate_ms", 60'000}}}}};
    world.call(1, "POST", "/normal/" + jobId(2), "ka", other.dump());
    world.answerInTime();
    while (world.runsOf(jobId(1)).empty() && world.elapsedMs() < sentMs + late.count() - down.count()) {
        std::this_thread::sleep_for(Millis{20});
    }
    const auto first = world.runsOf(jobId(1));
    if (first.empty() || first.front().worker == "i-1") {
        return notRun(world, "the job does not run on the second executor");
    }
    std::this_thread::sleep_for(Millis{sentMs + late.count() - down.count() - world.elapsedMs()});
    if (isTrouble) {
        world.crashExecutor("i-1", down, "a");
    } else {
        std::this_thread::sleep_for(down);
    }
    std::this_thread::sleep_for(Millis{20});
    world.carryOutLate();
    std::this_thread::sleep_for(Millis{8'000});
    auto both = std::int64_t{0};
    const auto runs = world.runsOf(jobId(1));
    const auto now = std::chrono::steady_clock::now();
    for (const auto &a : runs) {
        for (const auto &b : runs) {
            const auto begin = std::max(a.begin, b.begin);
            const auto end = std::min(a.end.value_or(now), b.end.value_or(now));
            both = &a < &b ? std::max(both, std::chrono::duration_cast<Millis>(end - begin).count()) : both;
        }
    }
    return verdict(world, both > 0, std::to_string(runs.size()) + " runs of one work unit, two at the same time for " + std::to_string(both) + " ms");
}

auto play(const std::string &name, SmallWorld &world, bool isTrouble) -> int
{
    world.putConfig(config());
    if (!world.waitReady(readyLimit)) {
        return notRun(world, "the instances were not ready in time");
    }
    std::this_thread::sleep_for(Millis{3'000});
    if (name == "processors-only") {
        return processorsOnly(world, isTrouble);
    }
    if (name == "recurring-jobs") {
        return recurringJobs(world, isTrouble);
    }
    if (name == "pending-count") {
        return pendingCount(world, isTrouble);
    }
    if (name == "other-kind") {
        return otherKind(world, isTrouble);
    }
    if (name == "unlimited-attempts") {
        return unlimitedAttempts(world, isTrouble);
    }
    if (name == "late-start") {
        return lateStart(world, isTrouble);
    }
    return notRun(world, "no such case");
}

}

auto main(int argc, char **argv) -> int
{
    const auto arguments = std::vector<std::string>(argv, argv + argc);
    if (arguments.size() != 5) {
        return exitNotRun;
    }
    const auto *trouble = std::getenv("TROUBLE");
    try {
        auto world = SmallWorld{{.daemon = arguments[2], .folder = arguments[3], .recordFile = arguments[4], .firstIsLate = arguments[1] == "late-start"}};
        return play(arguments[1], world, trouble == nullptr || std::string(trouble) != "0");
    } catch (const std::exception &e) {
        std::printf("not run: %s\n", e.what());
        return exitNotRun;
    }
}

// Measures the running system on this machine: latencies, starts, reclaims, takeovers, recovery and cost.
// usage: system_figures [GROUP...]   groups: requests gangs reclaim takeover config recovery cost (all without arguments)

#include "harness/poll.h"
#include "history/reader.h"
#include "system/deployment.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>
#include <thread>
#include <unistd.h>

using namespace Catkin;
using nlohmann::json;

namespace
{

constexpr auto patient = PollOptions{.tries = 6000, .interval = Millis{5}};

auto printRow(const std::string &name, std::vector<double> values, const char *unit) -> void
{
    if (values.empty()) {
        std::printf("%-58s no value\n", name.c_str());
        return;
    }
    std::sort(values.begin(), values.end());
    const auto at = [&](double q) { return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))]; };
    std::printf("%-58s n=%-4zu median %9.1f  p90 %9.1f  max %9.1f %s\n", name.c_str(), values.size(), at(0.5), at(0.9), values.back(), unit);
    std::fflush(stdout);
}

auto wallMs() -> std::int64_t
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
}

auto elapsedMs(std::chrono::steady_clock::time_point since) -> double
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - since).count();
}

auto gang(const std::string &key, int tasks, int slots, int runMs, bool restartable) -> json
{
    return {{"kind", restartable ? "simulate" : "mold"},
            {"key", key},
            {"tasks", tasks},
            {"slots_per_task", slots},
            {"adjacency", "rack"},
            {"restartable", restartable},
            {"payload", json{{"key", key}, {"run_ms", runMs}}.dump()}};
}

/// Waits for the first run of a job's tasks.
/// @return its start in milliseconds of the history's clock, or -1
auto firstStart(Deployment &site, const std::string &key, std::size_t tasks) -> double
{
    auto start = -1.0;
    (void)eventually(
        [&] {
            auto history = History{};
            site.collect(history);
            auto starts = std::vector<std::int64_t>{};
            for (const auto &it : history.runs) {
                if (it.key == key) {
                    starts.push_back(it.startMs);
                }
            }
            if (starts.size() < tasks) {
                return false;
            }
            start = static_cast<double>(*std::max_element(starts.begin(), starts.end()));
            return true;
        },
        {.tries = 1000, .interval = Millis{20}});
    return start;
}

auto measureRequests(Millis delay) -> void
{
    auto shape = revisionesShape();
    shape.executorBusyMs = 0;
    shape.platformDelay = delay;
    auto site = Deployment{shape};
    site.start();
    const auto suffix = ", log " + std::to_string(delay.count()) + " ms away";
    constexpr auto count = 200;
    const auto measure = [&](const std::string &name, const std::function<RequestParams(int)> &make, int pauseAfter = 0) {
        auto times = std::vector<double>{};
        const auto bytes = site.platformRelay().bytesPassed();
        const auto begun = std::chrono::steady_clock::now();
        for (auto i = 0; i < count; ++i) {
            if (pauseAfter > 0 && i % pauseAfter == 0) {
                std::this_thread::sleep_for(Millis{600});
            }
            const auto params = make(i);
            const auto started = std::chrono::steady_clock::now();
            if (site.request(0, params).result == CallResult::Answer) {
                times.push_back(elapsedMs(started));
            }
        }
        const auto seconds = elapsedMs(begun) / 1000;
        printRow(name + suffix, times, "ms");
        std::printf("%-58s %9.0f bytes to and from the platform per request (all instances, polls included, %.1f s)\n",
                    "",
                    static_cast<double>(site.platformRelay().bytesPassed() - bytes) / count,
                    seconds);
    };
    measure("idempotent request", [](int) { return RequestParams{.kind = "plan", .payload = R"({"key":"p"})"}; });
    const auto plainKey = [](const char *prefix) {
        return [prefix](int i) {
            return RequestParams{.kind = "book", .key = prefix + std::to_string(i), .firstSentMs = wallMs(), .attempt = 1, .payload = R"({"key":"b"})"};
        };
    };
    measure("booking by intent record, without pause", plainKey("k"));
    measure("booking by intent record, five in a row, then a pause", plainKey("p"), 5);
    measure("booking by ticket, ticket included", [&](int) {
        const auto reply = site.caller(0, "POST", "/v1/tickets", "{}", Millis{3'000});
        const auto key = reply ? json::parse(reply.value().body).value("key", std::string{}) : std::string{};
        return RequestParams{.kind = "book", .key = key, .attempt = 1, .payload = R"({"key":"t"})"};
    });
}

auto measureGangs() -> void
{
    auto site = Deployment{barilocheShape()};
    site.start();
    for (const auto restartable : {true, false}) {
        auto times = std::vector<double>{};
        for (auto i = 0; i < 20; ++i) {
            const auto key = (restartable ? "r-" : "o-") + std::to_string(i);
            const auto sent = historyNowMs();
            const auto id = site.submit(0, gang(key, 4, 2, 50, restartable));
            const auto start = id ? firstStart(site, key, 4) : -1;
            if (start >= 0) {
                times.push_back(start - static_cast<double>(sent));
            }
        }
        printRow(restartable ? "gang of 4, restartable: submission to last start" : "gang of 4, at most once: submission to last start", times, "ms");
    }
}

auto measureReclaim() -> void
{
    struct Case
    {
        const char *name;
        bool checkpointable;
        const char *fault;
    };
    for (const auto &it : {Case{"reclaim from borrowers that restart", false, "{}"},
                           Case{"reclaim from borrowers that checkpoint in 500 ms", true, R"({"checkpoint_ms":500})"},
                           Case{"reclaim from borrowers that never finish a checkpoint", true, R"({"checkpoint_ms":600000})"},
                           Case{"reclaim from borrowers that ignore the stop", false, R"({"ignore_stop":true})"}}) {
        auto shape = barilocheShape();
        shape.guaranteeSlots = 32;
        shape.domains.front().workers = 8;
        auto site = Deployment{shape};
        site.start();
        for (auto i = 0; i < 16; ++i) {
            auto borrower = gang("borrow-" + std::to_string(i), 1, 4, 900'000, true);
            borrower["checkpointable"] = it.checkpointable;
            (void)site.submit(0, borrower, true);
        }
        (void)eventually([&] { return site.operate(0, "GET", "/v1/leases") && firstStart(site, "borrow-15", 1) >= 0; }, {.tries = 5});
        for (auto i = std::size_t{0}; i < site.workerCount(); ++i) {
            (void)control(*site.worker(i).process, it.fault);
        }
        auto times = std::vector<double>{};
        for (auto i = 0; i < 8; ++i) {
            const auto key = "urgent-" + std::to_string(i);
            auto job = gang(key, 4, 8, 100, false);
            job["urgency"] = "urgent";
            const auto sent = historyNowMs();
            const auto id = site.submit(0, job);
            const auto start = id ? firstStart(site, key, 4) : -1;
            if (start >= 0) {
                times.push_back(start - static_cast<double>(sent));
            }
            // The borrowers take the slots back before the next reclaim.
            (void)eventually([&] { return site.jobState(0, id.value_or("")) == "succeeded"; }, patient);
            std::this_thread::sleep_for(Millis{1'500});
        }
        printRow(it.name, times, "ms");
    }
}

auto measureTakeover() -> void
{
    auto times = std::vector<double>{};
    for (auto round = 0; round < 5; ++round) {
        auto site = Deployment{barilocheShape()};
        site.start();
        auto planner = std::size_t{0};
        (void)eventually([&] {
            for (auto i = std::size_t{0}; i < 2; ++i) {
                const auto reply = site.operate(i, "GET", "/v1/queues");
                const auto body = reply ? json::parse(reply.value().body) : json::object();
                for (const auto &it : body.value("planners", json::array())) {
                    if (it["domain"] == site.entry(0).domain && it["claimed"] == true) {
                        planner = i;
                        return true;
                    }
                }
            }
            return false;
        });
        const auto killed = historyNowMs();
        site.entry(planner).process->signal(SIGKILL);
        const auto key = "after-" + std::to_string(round);
        const auto id = site.submit(1 - planner, gang(key, 4, 2, 50, true));
        const auto start = id ? firstStart(site, key, 4) : -1;
        if (start >= 0) {
            times.push_back(start - static_cast<double>(killed));
        }
    }
    printRow("planner killed: until its successor has started a new gang", times, "ms");
}

auto measureConfig() -> void
{
    auto shape = barilocheShape();
    shape.domains.front().entries = 6;
    shape.domains.back().entries = 2;
    auto site = Deployment{shape};
    site.start();
    auto times = std::vector<double>{};
    for (auto i = 0; i < 20; ++i) {
        auto document = site.document();
        document["workspaces"][0]["weight"] = 20 + i;
        const auto started = std::chrono::steady_clock::now();
        const auto reply
            = site.operate(static_cast<std::size_t>(i) % site.entryCount(), "PUT", "/v1/config", json{{"base", i + 1}, {"document", document}}.dump());
        if (!reply || reply.value().status != 200) {
            continue;
        }
        const auto everywhere = eventually(
            [&] {
                for (auto n = std::size_t{0}; n < site.entryCount(); ++n) {
                    const auto own = site.operate(n, "GET", "/v1/config");
                    if (!own || json::parse(own.value().body).value("version", 0) < i + 2) {
                        return false;
                    }
                }
                return true;
            },
            patient);
        if (everywhere) {
            times.push_back(elapsedMs(started));
        }
    }
    printRow("configuration change: until in force on 8 instances", times, "ms");
}

auto measureRecovery(int waiting) -> void
{
    auto site = Deployment{barilocheShape()};
    site.start();
    (void)site.submit(0, gang("blocker", 4, 8, 600'000, true));
    (void)firstStart(site, "blocker", 4);
    auto threads = std::vector<std::thread>{};
    constexpr auto threadCount = 16;
    for (auto t = 0; t < threadCount; ++t) {
        threads.emplace_back([&, t] {
            for (auto i = t; i < waiting; i += threadCount) {
                (void)site.submit(static_cast<std::size_t>(i) % 2, gang("wait-" + std::to_string(i), 3, 8, 1'000, false));
            }
        });
    }
    for (auto &it : threads) {
        it.join();
    }
    for (auto i = std::size_t{0}; i < site.entryCount(); ++i) {
        site.entry(i).process->signal(SIGKILL);
    }
    for (auto i = std::size_t{0}; i < site.entryCount(); ++i) {
        (void)site.entry(i).process->waitExit(Millis{5'000});
    }
    const auto started = std::chrono::steady_clock::now();
    for (auto i = std::size_t{0}; i < site.entryCount(); ++i) {
        site.startEntry(i);
    }
    auto ready = true;
    for (auto i = std::size_t{0}; i < site.entryCount(); ++i) {
        ready = site.waitReady(i) && ready;
    }
    const auto readyMs = elapsedMs(started);
    const auto planned = eventually(
        [&] {
            for (auto i = std::size_t{0}; i < 2; ++i) {
                const auto reply = site.operate(i, "GET", "/v1/queues");
                const auto body = reply ? json::parse(reply.value().body) : json::object();
                for (const auto &it : body.value("planners", json::array())) {
                    if (it["domain"] == site.entry(0).domain && it["gangs"] == 1 && static_cast<int>(it["queue"].size()) == waiting) {
                        return true;
                    }
                }
            }
            return false;
        },
        patient);
    std::printf("%-58s ready %s in %.0f ms, planner with %d waiting jobs and the running gang %s in %.0f ms\n",
                "all instances killed and replaced:",
                ready ? "all" : "NOT all",
                readyMs,
                waiting,
                planned ? "back" : "NOT back",
                elapsedMs(started));
    std::fflush(stdout);
}

struct ProcessCost
{
    double cpuSeconds = 0;
    double residentMb = 0;
};

auto processCost(pid_t pid) -> ProcessCost
{
    auto stat = std::ifstream{"/proc/" + std::to_string(pid) + "/stat"};
    auto text = std::string{std::istreambuf_iterator<char>{stat}, {}};
    auto fields = std::istringstream{text.substr(text.rfind(')') + 2)};
    auto word = std::string{};
    auto values = std::vector<std::string>{};
    while (fields >> word) {
        values.push_back(word);
    }
    // Fields 14, 15 and 24 of proc(5), counted from field 3.
    const auto ticks = std::stod(values.at(11)) + std::stod(values.at(12));
    const auto pages = std::stod(values.at(21));
    return {
        .cpuSeconds = ticks / static_cast<double>(sysconf(_SC_CLK_TCK)),
        .residentMb = pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1024 * 1024),
    };
}

auto measureCost(int workers, int executors, double requestsPerSecond) -> void
{
    auto shape = barilocheShape();
    shape.domains.front().workers = workers;
    shape.domains.front().workersPerRack = 8;
    shape.domains.front().executors = executors;
    shape.leases = "probation = \"3s\"\nrun = \"120s\"\nrenew = \"10s\"\n";
    auto site = Deployment{shape};
    site.start();
    for (auto i = 0; i < workers; ++i) {
        (void)site.submit(0, gang("load-" + std::to_string(i), 4, 2, 900'000, true), true);
    }
    (void)firstStart(site, "load-" + std::to_string(workers - 1), 4);
    std::this_thread::sleep_for(Millis{2'000});
    const auto before = std::vector<ProcessCost>{processCost(site.entry(0).process->pid()), processCost(site.entry(1).process->pid())};
    const auto bytes = site.platformRelay().bytesPassed();
    const auto begun = std::chrono::steady_clock::now();
    constexpr auto windowMs = 20'000.0;
    auto sent = 0;
    while (elapsedMs(begun) < windowMs) {
        if (requestsPerSecond > 0 && sent < elapsedMs(begun) / 1000 * requestsPerSecond) {
            (void)site.request(static_cast<std::size_t>(sent) % 2, {.kind = "plan", .payload = R"({"key":"c","busy_ms":1})"});
            ++sent;
        } else {
            std::this_thread::sleep_for(Millis{2});
        }
    }
    const auto seconds = elapsedMs(begun) / 1000;
    for (auto i = std::size_t{0}; i < 2; ++i) {
        const auto now = processCost(site.entry(i).process->pid());
        const auto planners = json::parse(site.operate(i, "GET", "/v1/queues").value().body)["planners"].size();
        std::printf("%3d workers, %2d executors, %5.1f requests/s, instance %zu (plans %zu domains): %6.2f%% of a core, %5.1f MB resident\n",
                    workers,
                    executors,
                    sent / seconds,
                    i,
                    planners,
                    (now.cpuSeconds - before[i].cpuSeconds) / seconds * 100,
                    now.residentMb);
    }
    std::printf("%-58s %9.0f bytes/s between 3 instances and the platform\n", "", static_cast<double>(site.platformRelay().bytesPassed() - bytes) / seconds);
    std::fflush(stdout);
}

}

auto main(int argc, char **argv) -> int
{
    const auto groups = std::vector<std::pair<std::string, std::function<void()>>>{
        {"requests",
         [] {
             measureRequests(Millis{0});
             measureRequests(Millis{20});
         }},
        {"gangs", measureGangs},
        {"reclaim", measureReclaim},
        {"takeover", measureTakeover},
        {"config", measureConfig},
        {"recovery",
         [] {
             measureRecovery(50);
             measureRecovery(1000);
         }},
        {"cost",
         [] {
             measureCost(4, 2, 0);
             measureCost(16, 2, 0);
             measureCost(48, 2, 0);
             measureCost(4, 48, 0);
             measureCost(4, 2, 50);
         }},
    };
    const auto wanted = std::vector<std::string>(argv + 1, argv + argc);
    for (const auto &[name, run] : groups) {
        if (wanted.empty() || std::find(wanted.begin(), wanted.end(), name) != wanted.end()) {
            std::printf("== %s\n", name.c_str());
            run();
        }
    }
    return 0;
}

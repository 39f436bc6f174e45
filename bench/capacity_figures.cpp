// Measures control cost and recovery at the design size with real processes.
// usage: capacity_figures [GROUP...]   groups: domain baseline fleet recovery fleet-recovery (all without arguments)
//
// domain: one failure domain of 95 workers with 25 leases each; baseline: the same with workers that name no tags;
// fleet: 8 failure domains, 760 workers, 19,000 leases, 50 executors, 8 entry instances; recovery: all instances of a
// failure domain killed at once; fleet-recovery: all instances of all. Bytes are those of HTTP, without TCP/IP headers; a connection costs about 500 B more.

#include "harness/poll.h"
#include "system/deployment.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <thread>

using namespace Catkin;
using nlohmann::json;

namespace
{

constexpr auto workersPerDomain = 95;
constexpr auto leasesPerWorker = 25;
constexpr auto gangSize = 19; ///< 125 gangs of a failure domain are 2,375 leases
constexpr auto window = Seconds{40};
constexpr auto jobPeriod = Seconds{18}; ///< 200 jobs an hour
const auto patient = PollOptions{.tries = 9000, .interval = Millis{20}};

struct Bytes
{
    double exchanges = 0;
    double received = 0;
    double sent = 0;
};

/// What the stand-ins exchanged, by the mechanism behind it.
using Traffic = std::map<std::string, Bytes>;

auto mechanism(const std::string &route) -> std::string
{
    const auto has = [&](const char *text) { return route.find(text) != std::string::npos; };
    if (has("/v1/status")) {
        return has(" 304") ? "worker status, unchanged" : "worker status, in full";
    }
    if (has("/v1/orders")) {
        return "worker orders";
    }
    if (has("/v1/health")) {
        return "executor health";
    }
    if (has("/v1/instances")) {
        return has(" 304") ? "instance list, unchanged" : "instance list, in full";
    }
    return has("/records") ? "log" : "requests";
}

auto traffic(Deployment &site) -> Traffic
{
    auto out = Traffic{};
    const auto add = [&](const ChildProcess &process) {
        const auto text = readControl(process, "traffic");
        if (!text) {
            return;
        }
        const auto routes = json::parse(text.value());
        for (const auto &[route, it] : routes.items()) {
            auto &sum = out[mechanism(route)];
            sum.exchanges += it["exchanges"].get<double>();
            sum.received += it["received"].get<double>();
            sum.sent += it["sent"].get<double>();
        }
    };
    add(site.platform());
    for (auto i = std::size_t{0}; i < site.workerCount(); ++i) {
        add(*site.worker(i).process);
    }
    for (auto i = std::size_t{0}; i < site.executorCount(); ++i) {
        add(*site.executor(i).process);
    }
    return out;
}

/// @return processor seconds of a process by the names of its threads.
auto threadSeconds(pid_t pid) -> std::map<std::string, double>
{
    auto out = std::map<std::string, double>{};
    auto ec = std::error_code{};
    for (const auto &it : std::filesystem::directory_iterator{"/proc/" + std::to_string(pid) + "/task", ec}) {
        auto name = std::string{};
        auto nanoseconds = 0.0;
        auto comm = std::ifstream{it.path() / "comm"};
        auto stat = std::ifstream{it.path() / "schedstat"};
        if (std::getline(comm, name) && stat >> nanoseconds) {
            out[name] += nanoseconds * 1e-9;
        }
    }
    return out;
}

auto residentMb(pid_t pid) -> double
{
    auto statm = std::ifstream{"/proc/" + std::to_string(pid) + "/statm"};
    auto total = 0.0;
    auto resident = 0.0;
    statm >> total >> resident;
    return resident * 4096 / (1024 * 1024);
}

auto planners(Deployment &site, std::size_t index) -> json
{
    const auto reply = site.operate(index, "GET", "/v1/queues");
    const auto body = reply ? json::parse(reply.value().body, nullptr, false) : json::object();
    return body.is_object() ? body.value("planners", json::array()) : json::array();
}

/// @return gangs of the planners that have claimed their failure domains, over all instances.
auto plannedGangs(Deployment &site) -> std::map<std::string, int>
{
    auto out = std::map<std::string, int>{};
    for (auto i = std::size_t{0}; i < site.entryCount(); ++i) {
        for (const auto &it : planners(site, i)) {
            if (it["claimed"] == true) {
                out[it["domain"]] = it["gangs"];
            }
        }
    }
    return out;
}

auto gang(const std::string &key, const std::string &domain, int tasks, int runMs) -> json
{
    return {{"kind", "simulate"},
            {"key", key},
            {"domain", domain},
            {"tasks", tasks},
            {"slots_per_task", 1},
            {"adjacency", "any"},
            {"restartable", true},
            {"payload", json{{"run_ms", runMs}}.dump()}};
}

/// Fills each failure domain with gangs and waits until all of them run.
auto fill(Deployment &site, const std::vector<std::string> &domains, int gangs) -> bool
{
    auto threads = std::vector<std::thread>{};
    for (auto t = std::size_t{0}; t < domains.size(); ++t) {
        threads.emplace_back([&, t] {
            for (auto i = 0; i < gangs; ++i) {
                const auto key = domains[t] + "-load-" + std::to_string(i);
                (void)eventually([&] { return site.submit(t % site.entryCount(), gang(key, domains[t], gangSize, 7'200'000), true).has_value(); });
            }
        });
    }
    for (auto &it : threads) {
        it.join();
    }
    // Each planner counts the jobs of its own failure domain.
    const auto all = [&] {
        auto running = 0.0;
        for (auto i = std::size_t{0}; i < site.entryCount(); ++i) {
            const auto reply = site.operate(i, "GET", "/metrics");
            const auto text = reply ? reply.value().body : std::string{};
            const auto at = text.find("catkin_jobs_running{workspace=\"vecino\"} ");
            running += at == std::string::npos ? 0 : std::stod(text.substr(text.find(' ', at)));
        }
        return running >= gangs * static_cast<double>(domains.size());
    };
    return eventually(all, {.tries = 600, .interval = Millis{200}});
}

struct Snapshot
{
    std::vector<std::map<std::string, double>> threads; ///< of each entry instance
    Traffic traffic;
    std::chrono::steady_clock::time_point at;
};

auto snapshot(Deployment &site) -> Snapshot
{
    auto out = Snapshot{};
    out.traffic = traffic(site);
    for (auto i = std::size_t{0}; i < site.entryCount(); ++i) {
        out.threads.push_back(threadSeconds(site.entry(i).process->pid()));
    }
    out.at = std::chrono::steady_clock::now();
    return out;
}

auto report(Deployment &site, const Snapshot &before, const std::string &name) -> void
{
    const auto after = snapshot(site);
    const auto seconds = std::chrono::duration<double>(after.at - before.at).count();
    std::printf("-- %s, %.0f s\n", name.c_str(), seconds);
    for (auto i = std::size_t{0}; i < site.entryCount(); ++i) {
        auto sum = 0.0;
        auto parts = std::vector<std::pair<double, std::string>>{};
        for (const auto &[thread, now] : after.threads[i]) {
            const auto then = before.threads[i].find(thread);
            const auto percent = (now - (then == before.threads[i].end() ? 0.0 : then->second)) / seconds * 100;
            sum += percent;
            parts.emplace_back(percent, thread);
        }
        std::sort(parts.rbegin(), parts.rend());
        std::printf(
            "%-18s plans %zu: %6.2f%% of a core, %5.1f MB;", site.entry(i).id.c_str(), planners(site, i).size(), sum, residentMb(site.entry(i).process->pid()));
        for (auto n = std::size_t{0}; n < std::min(parts.size(), std::size_t{7}); ++n) {
            std::printf(" %s %.2f", parts[n].second.c_str(), parts[n].first);
        }
        std::printf("\n");
    }
    auto total = 0.0;
    for (const auto &[what, now] : after.traffic) {
        const auto it = before.traffic.find(what);
        const auto then = it == before.traffic.end() ? Bytes{} : it->second;
        const auto rate = (now.received + now.sent - then.received - then.sent) / seconds;
        total += rate;
        std::printf("%-26s %8.1f exchanges/s %9.0f B/s both ways, all instances together\n", what.c_str(), (now.exchanges - then.exchanges) / seconds, rate);
    }
    std::printf("%-26s %31.0f B/s, %.0f on average for each of %zu instances\n",
                "total without peers",
                total,
                total / static_cast<double>(site.entryCount()),
                site.entryCount());
    std::fflush(stdout);
}

/// Reports one window without changes and one with jobs that start and end.
auto measureWindows(Deployment &site, const std::vector<std::string> &domains) -> void
{
    // Renewals and full reads settle into their usual rhythm.
    std::this_thread::sleep_for(Seconds{15});
    auto before = snapshot(site);
    std::this_thread::sleep_for(window);
    report(site, before, "idle");
    before = snapshot(site);
    for (auto passed = Seconds{0}; passed < window; passed += jobPeriod) {
        (void)site.submit(0, gang("change-" + std::to_string(passed.count()), domains.front(), 8, 4'000), true);
        std::this_thread::sleep_for(std::min(jobPeriod, window - passed));
    }
    report(site, before, "200 jobs an hour");
}

auto baseShape() -> DeploymentShape
{
    auto shape = barilocheShape();
    shape.slots = 32;
    shape.leases = "probation = \"3s\"\nrun = \"120s\"\nrenew = \"10s\"\n";
    return shape;
}

auto oneDomain(bool tags) -> DeploymentShape
{
    auto shape = baseShape();
    shape.domains = {{.name = "cerro-catedral",
                      .region = "patagonia-norte",
                      .entries = 2,
                      .executors = 2,
                      .workers = workersPerDomain,
                      .workersPerRack = 8,
                      .sharedWorkers = true,
                      .workerTags = tags}};
    return shape;
}

auto measureDomain(bool tags) -> void
{
    auto site = Deployment{oneDomain(tags)};
    site.start();
    const auto gangs = workersPerDomain * leasesPerWorker / gangSize;
    const auto domains = std::vector<std::string>{"cerro-catedral"};
    std::printf("%d workers %s tags, %d leases in %d gangs: %s\n",
                workersPerDomain,
                tags ? "with" : "without",
                gangs * gangSize,
                gangs,
                fill(site, domains, gangs) ? "all run" : "NOT all run");
    measureWindows(site, domains);
}

auto fleetShape() -> DeploymentShape
{
    auto shape = baseShape();
    shape.domains.clear();
    const auto regions = std::vector<std::string>{"patagonia-norte", "patagonia-norte", "patagonia-norte", "cuyo", "cuyo", "cuyo", "litoral", "litoral"};
    for (auto i = std::size_t{0}; i < regions.size(); ++i) {
        shape.domains.push_back({.name = "domain-" + std::to_string(i),
                                 .region = regions[i],
                                 .entries = 1,
                                 .executors = i < 2 ? 7 : 6,
                                 .workers = workersPerDomain,
                                 .workersPerRack = 8,
                                 .sharedWorkers = true});
    }
    return shape;
}

auto namesOf(const DeploymentShape &shape) -> std::vector<std::string>
{
    auto names = std::vector<std::string>{};
    for (const auto &it : shape.domains) {
        names.push_back(it.name);
    }
    return names;
}

auto measureFleet() -> void
{
    const auto shape = fleetShape();
    const auto names = namesOf(shape);
    auto site = Deployment{shape};
    site.start();
    const auto gangs = workersPerDomain * leasesPerWorker / gangSize;
    const auto filled = fill(site, names, gangs);
    std::printf("8 failure domains, %d workers, %d leases: %s\n", 8 * workersPerDomain, 8 * gangs * gangSize, filled ? "all run" : "NOT all run");
    measureWindows(site, names);
}

/// @param gangs of each failure domain
auto measureRecovery(const DeploymentShape &shape, int gangs) -> void
{
    auto site = Deployment{shape};
    site.start();
    const auto domains = namesOf(shape);
    const auto count = static_cast<int>(domains.size());
    const auto filled = fill(site, domains, gangs);
    for (auto i = std::size_t{0}; i < site.entryCount(); ++i) {
        site.entry(i).process->signal(SIGKILL);
    }
    for (auto i = std::size_t{0}; i < site.entryCount(); ++i) {
        (void)site.entry(i).process->waitExit(Millis{5'000});
    }
    const auto before = traffic(site);
    const auto started = std::chrono::steady_clock::now();
    const auto elapsed = [&] { return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - started).count(); };
    for (auto i = std::size_t{0}; i < site.entryCount(); ++i) {
        site.startEntry(i);
    }
    auto claimedMs = -1.0;
    const auto adopted = eventually(
        [&] {
            const auto planned = plannedGangs(site);
            if (planned.size() == domains.size() && claimedMs < 0) {
                claimedMs = elapsed();
            }
            return planned.size() == domains.size() && std::all_of(planned.begin(), planned.end(), [&](const auto &it) { return it.second == gangs; });
        },
        patient);
    const auto adoptedMs = elapsed();
    auto bytes = 0.0;
    for (const auto &[what, now] : traffic(site)) {
        const auto it = before.find(what);
        if (what.starts_with("worker")) {
            bytes += now.received + now.sent - (it == before.end() ? 0.0 : it->second.received + it->second.sent);
        }
    }
    std::printf("%4d workers, %5d leases in %4d gangs %s: claimed after %5.0f ms, all gangs %s after %5.0f ms, %.0f kB with workers meanwhile\n",
                count * workersPerDomain,
                count * gangs * gangSize,
                count * gangs,
                filled ? "running" : "NOT all running",
                claimedMs,
                adopted ? "adopted" : "NOT adopted",
                adoptedMs,
                bytes / 1000);
    std::fflush(stdout);
}

}

auto main(int argc, char **argv) -> int
{
    const auto groups = std::vector<std::pair<std::string, std::function<void()>>>{
        {"domain", [] { measureDomain(true); }},
        {"baseline", [] { measureDomain(false); }},
        {"fleet", measureFleet},
        {"recovery",
         [] {
             for (const auto gangs : {1, 25, 60, 125}) {
                 measureRecovery(oneDomain(true), gangs);
             }
         }},
        {"fleet-recovery", [] { measureRecovery(fleetShape(), workersPerDomain * leasesPerWorker / gangSize); }},
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

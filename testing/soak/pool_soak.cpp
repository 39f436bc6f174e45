#include "soak/soakjudge.h"
#include "soak/soakworld.h"
#include "util/random.h"

#include <nlohmann/json.hpp>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <functional>
#include <iostream>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

/// A seeded soak of the platform mode on real processes; testing/README.md tells how to run it.

namespace Catkin::Soak
{

namespace
{

constexpr auto tick = std::chrono::milliseconds{100};
/// How long a day of trouble is followed until every job has ended.
constexpr auto quietLimit = std::chrono::seconds{60};
constexpr auto submitPeriod = std::chrono::milliseconds{700};
/// With evacuations or departures: the times in which starts are judged are short, and some have to fall into them.
constexpr auto denseSubmitPeriod = std::chrono::milliseconds{350};
constexpr auto statePeriod = std::chrono::milliseconds{1'000};
/// A quiet time is watched at least this long, even if all jobs have ended: work that runs at its begin may still be stopped.
constexpr auto quietLeast = std::chrono::seconds{8};
/// The leader is left alone for this long after executors vanish in a series, so that it has noticed.
constexpr auto seriesDelay = Millis{3'700};
/// Until the first executors vanish in a series: tasks that last run by then.
constexpr auto seriesBegin = std::chrono::seconds{5};
constexpr auto seriesLastingJobs = 4;
/// Longer than the 7 s after which the judge reports, so that a lease that is counted anew after the last kill shows.
constexpr auto seriesLease = Millis{10'000};
constexpr auto mixedLease = Millis{4'000};
/// Executors that restart at about the same time.
constexpr auto maxRestarts = std::uint32_t{3};
/// Restarts of one executor in a series, and the longest time between two of them.
constexpr auto seriesRestarts = 3;
constexpr auto seriesRestartGap = std::uint32_t{600};
/// An executor that restarts while it is cut off does so after at most the first time, and is back after at most the second one more. The longest cut
/// is longer than the shorter lease, and than the time after which an entry is removed.
constexpr auto cutBeforeRestart = std::uint32_t{2'000};
constexpr auto cutAfterRestart = std::uint32_t{8'000};
/// An executor that crashes while it is cut off does so after at most the first time; the cut lasts for at most the second one more.
constexpr auto cutBeforeCrash = std::uint32_t{3'000};
constexpr auto cutAfterCrash = std::uint32_t{6'000};
constexpr auto maxCrashes = std::uint32_t{3};
constexpr auto wholeShare = std::uint32_t{100};
/// Executors of which at most half vanish for good.
constexpr auto vanishShare = std::size_t{2};

/// Failure domains of the executors when some are evacuated.
constexpr auto domains = 3;
/// An evacuation lasts for the first time, of which it is in force from 5 s on, and for up to the second one more.
constexpr auto evacuationLeast = Millis{7'000};
constexpr auto evacuationRange = std::uint32_t{2'000};
constexpr auto firstEvacuation = Millis{2'500};
/// Between a revocation and the next evacuation, so that the domain has work again.
constexpr auto evacuationGap = Millis{1'000};
/// The first notices of departures, and the time between those and the next ones.
constexpr auto firstDepartures = Millis{4'000};
constexpr auto departurePeriod = Millis{5'000};
/// From the notice of a departure to the departure.
constexpr auto noticeSpan = Millis{2'000};
/// Gangs run for at least this, and for up to the next one more, when executors leave: a member that runs on alone is reported after 5 s, or 8 s after a
/// disturbance of the leader.
constexpr auto gangLeast = 11'000;
constexpr auto gangRange = std::uint32_t{3'000};

struct TroubleOptions
{
    std::chrono::seconds duration{20};
    Millis restartPeriod{0}; ///< between restarts of executors on average; 0: none restart
    int cutRestarts = 0; ///< percentage of the executors to restart that are cut off for a while and restart meanwhile
    Millis crashPeriod{0}; ///< between crashes of executors behind cuts on average; 0: none crash
    std::optional<std::size_t> mostVanished; ///< executors that may vanish; nothing: up to half of them
    int evacuations = 0; ///< most evacuations, one after the other
    int leaving = 0; ///< percentage of the executors that leave at once; 0: none leave
};

struct Play
{
    SoakWorld &world;
    SoakJudge judge;
    Random random;
    Millis lease;
    TroubleOptions options;
    bool isSeries = false; ///< executors with tasks that last vanish, then the leaders are killed within one lease of each other
    bool hasVanished = false; ///< in a series
    std::set<std::string> lastingJobs;
    std::vector<std::thread> disturbances;
    int jobs = 0;
    std::size_t vanished = 0;
};

auto makeJob(Play &play) -> SoakJob
{
    auto job = SoakJob{};
    auto id = std::to_string(++play.jobs);
    job.id = std::string(16 - id.size(), '0') + id;
    const auto shape = play.random(10);
    job.queue = play.random(4) == 0 ? "urgent" : play.random(2) == 0 ? "normal" : "batch";
    job.spec = "ms=" + std::to_string(400 + play.random(4'000));
    if (shape < 2 || (play.isSeries && play.jobs <= seriesLastingJobs)) {
        job.steps = {{.tasks = 1 + static_cast<int>(play.random(2)), .isLasting = true}};
        job.spec = "ms=100000000";
        play.lastingJobs.insert(job.id);
    } else if (shape < 4) {
        job.steps = {{.tasks = 2, .isGang = true}, {.tasks = 1, .dependsOn = 0}};
        if (play.options.leaving > 0) {
            job.spec = "ms=" + std::to_string(gangLeast + play.random(gangRange));
        }
    } else if (shape < 7) {
        job.steps = {{.tasks = 1 + static_cast<int>(play.random(3))}, {.tasks = 2, .dependsOn = 0}};
        job.spec += play.random(3) == 0 ? " fail=1" : "";
    } else {
        job.steps = {{.tasks = 1 + static_cast<int>(play.random(4))}};
        job.spec += play.random(4) == 0 ? " fail=2" : "";
    }
    return job;
}

auto bodyOf(const SoakJob &job) -> std::string
{
    auto steps = nlohmann::json::array();
    for (const auto &it : job.steps) {
        auto step = nlohmann::json{{"count", it.tasks}, {"cpu", 1'000}, {"mem_mb", 100}, {"gpu", 1}, {"estimate_ms", 2'000}};
        if (it.dependsOn >= 0) {
            step["depends_on"] = {it.dependsOn};
        }
        if (it.isGang) {
            step["gang"] = true;
        }
        if (it.isLasting) {
            step["long_running"] = true;
        }
        steps.push_back(step);
    }
    return nlohmann::json{{"spec", job.spec}, {"steps", steps}}.dump();
}

/// Hands a job in at one instance after the other until one has accepted it.
auto submit(Play &play) -> void
{
    auto job = makeJob(play);
    const auto first = play.random(static_cast<std::uint32_t>(play.world.instances()));
    for (auto i = std::size_t{0}; i < play.world.instances(); ++i) {
        auto answer = std::string{};
        const auto status = play.world.call((first + i) % play.world.instances(), "POST", "/" + job.queue + "/" + job.id, bodyOf(job), answer);
        constexpr auto accepted = 200;
        if (status == accepted) {
            job.acceptedAt = std::chrono::steady_clock::now();
            play.judge.accepted(job);
            return;
        }
    }
}

auto inBackground(Play &play, std::function<void()> run) -> void
{
    play.disturbances.emplace_back(std::move(run));
}

auto endLeader(Play &play, int signal) -> void
{
    const auto leader = play.world.leader();
    if (play.world.isBusy(leader)) {
        return;
    }
    play.judge.leaderDisturbed(std::chrono::steady_clock::now());
    std::printf("  %s of the leader, instance %zu\n", signal == SIGKILL ? "SIGKILL" : "SIGTERM", leader + 1);
    inBackground(play, [&world = play.world, leader, signal] { world.restartInstance(leader, signal); });
}

auto freezeLeader(Play &play) -> void
{
    const auto leader = play.world.leader();
    const auto span = Millis{1'000 + play.random(3'000)};
    if (play.world.isBusy(leader)) {
        return;
    }
    // The next leader may take over while this one is frozen, and this one may give orders once more when it goes on.
    play.judge.leaderDisturbed(std::chrono::steady_clock::now());
    play.judge.leaderDisturbed(std::chrono::steady_clock::now() + span);
    std::printf("  the leader, instance %zu, is frozen for %lld ms\n", leader + 1, static_cast<long long>(span.count()));
    inBackground(play, [&world = play.world, leader, span] { world.freezeInstance(leader, span); });
}

auto vanishWorker(Play &play, std::size_t index) -> void
{
    if (play.vanished >= play.options.mostVanished.value_or(play.world.workers() / vanishShare)) {
        return;
    }
    std::printf("  executor %zu vanishes\n", index + 1);
    ++play.vanished;
    play.world.vanish(index);
}

/// Lets up to two executors that run tasks that last vanish.
/// @return whether there was one.
auto vanishLasting(Play &play) -> bool
{
    auto workers = std::set<std::string>{};
    for (const auto &it : play.world.history()) {
        if (!it.end && play.lastingJobs.contains(it.task.substr(0, it.task.find('.')))) {
            workers.insert(it.worker);
        }
    }
    auto left = std::size_t{2};
    for (auto it = workers.begin(); it != workers.end() && left > 0; ++it, --left) {
        vanishWorker(play, play.world.indexOf(*it));
    }
    return !workers.empty();
}

auto refuseLog(Play &play) -> void
{
    const auto *log = std::array{"keyed.jobs", "keyed.jobs/1", "keyed.attempts"}.at(play.random(3));
    const auto span = Millis{500 + play.random(2'000)};
    std::printf("  %s is refused for %lld ms\n", log, static_cast<long long>(span.count()));
    inBackground(play, [&store = play.world.store(), log, span] {
        store.refuseLog(log);
        std::this_thread::sleep_for(span);
        store.refuseLog("");
    });
}

/// Cuts an executor off, and lets it begin a new lifetime meanwhile.
auto cutAndRestart(Play &play, std::size_t index) -> void
{
    const auto restartAfter = Millis{play.random(cutBeforeRestart)};
    const auto span = restartAfter + Millis{play.random(cutAfterRestart)};
    const auto isListed = play.random(2) == 0;
    std::printf("  executor %zu is cut off for %lld ms, and restarts meanwhile\n", index + 1, static_cast<long long>(span.count()));
    inBackground(play, [&world = play.world, index, restartAfter, span, isListed] { world.cutAndRestart(index, restartAfter, span, isListed); });
}

/// Restarts executors under their ids, idle or busy, some of them in series or while they are cut off, and at times kills the leader with them.
/// @return how long to wait for the next ones.
auto restartWorkers(Play &play) -> Millis
{
    const auto kill = play.random(6);
    if (kill == 0) {
        endLeader(play, SIGKILL);
    }
    for (auto n = 1 + play.random(maxRestarts); n > 0; --n) {
        const auto index = play.random(static_cast<std::uint32_t>(play.world.workers()));
        if (play.options.cutRestarts > 0 && static_cast<int>(play.random(wholeShare)) < play.options.cutRestarts) {
            cutAndRestart(play, index);
            continue;
        }
        const auto times = play.random(4) == 0 ? seriesRestarts : 1;
        auto gaps = std::vector<Millis>{};
        auto writes = std::vector<bool>{};
        for (auto i = 0; i < times; ++i) {
            gaps.emplace_back(play.random(seriesRestartGap));
            writes.push_back(play.random(2) == 0);
        }
        std::printf("  executor %u restarts, %d times\n", index + 1, times);
        inBackground(play, [&world = play.world, index, gaps = std::move(gaps), writes = std::move(writes)] {
            for (auto i = std::size_t{0}; i < gaps.size(); ++i) {
                std::this_thread::sleep_for(i == 0 ? Millis{0} : gaps[i]);
                world.restartWorker(index, writes[i]);
            }
        });
    }
    if (kill == 1) {
        endLeader(play, SIGKILL);
    }
    const auto period = play.options.restartPeriod;
    return period / 2 + Millis{play.random(static_cast<std::uint32_t>(period.count()))};
}

/// Lets executors crash while they are cut off: half of them come back under another id at the same address, before or after their cut is over, the others
/// never. A third of the time the leader is killed, before the cut or within it.
/// @return how long to wait for the next ones.
auto crashWorkers(Play &play) -> Millis
{
    const auto kill = play.random(6);
    if (kill == 0) {
        endLeader(play, SIGKILL);
    }
    for (auto n = 1 + play.random(maxCrashes); n > 0; --n) {
        const auto workers = static_cast<std::uint32_t>(play.world.workers());
        auto index = play.random(workers);
        for (auto tried = std::uint32_t{0}; tried < workers && !play.world.isCalm(index); ++tried) {
            index = (index + 1) % workers;
        }
        const auto crashAfter = Millis{play.random(cutBeforeCrash)};
        const auto span = crashAfter + Millis{play.random(cutAfterCrash)};
        const auto draw = play.random(4);
        if (draw < 2 && play.vanished >= play.options.mostVanished.value_or(play.world.workers() / vanishShare)) {
            continue;
        }
        const auto successor = draw < 2 ? Successor::None : draw == 2 ? Successor::Shown : Successor::Unshown;
        play.vanished += successor == Successor::None ? 1 : 0;
        std::printf("  executor %u is cut off for %lld ms, and crashes after %lld ms%s\n",
                    index + 1,
                    static_cast<long long>(span.count()),
                    static_cast<long long>(crashAfter.count()),
                    successor == Successor::None ? "" : ", another one comes up at its address");
        inBackground(play, [&world = play.world, index, crashAfter, span, successor] { world.cutAndCrash(index, crashAfter, span, successor); });
    }
    if (kill == 1) {
        endLeader(play, SIGKILL);
    }
    const auto period = play.options.crashPeriod;
    return period / 2 + Millis{play.random(static_cast<std::uint32_t>(period.count()))};
}

/// Evacuates a failure domain for a while. In a third of the cases the leader is killed just before the record, in another third just after it.
/// @return how long to wait for the next one.
auto evacuate(Play &play) -> Millis
{
    const auto domain = "z" + std::to_string(1 + play.random(domains));
    const auto span = evacuationLeast + Millis{play.random(evacuationRange)};
    const auto kill = play.random(3);
    if (kill == 0) {
        endLeader(play, SIGKILL);
    }
    std::printf("  evacuation of %s for %lld ms\n", domain.c_str(), static_cast<long long>(span.count()));
    play.world.evacuate(domain);
    if (kill == 1) {
        endLeader(play, SIGKILL);
    }
    inBackground(play, [&world = play.world, domain, span] {
        std::this_thread::sleep_for(span);
        world.revokeEvacuation(domain);
    });
    return span + evacuationGap;
}

/// Lets a part of the executors announce that they leave, and leave; a new executor joins for each.
auto leaveWithNotice(Play &play) -> void
{
    auto left = (play.world.liveWorkers() * static_cast<std::size_t>(play.options.leaving) + wholeShare - 1) / wholeShare;
    const auto workers = play.world.workers();
    const auto first = play.random(static_cast<std::uint32_t>(workers));
    for (auto i = std::size_t{0}; i < workers && left > 0; ++i) {
        const auto index = (first + i) % workers;
        if (!play.world.announceDeparture(index, noticeSpan)) {
            continue;
        }
        --left;
        std::printf("  executor %zu leaves in %lld ms\n", index + 1, static_cast<long long>(noticeSpan.count()));
        inBackground(play, [&world = play.world, index] {
            std::this_thread::sleep_for(noticeSpan);
            world.leave(index);
            world.addWorker();
        });
    }
}

/// @return how long to wait for the next one.
auto disturb(Play &play) -> Millis
{
    if (play.isSeries) {
        if (!play.hasVanished) {
            play.hasVanished = vanishLasting(play);
            return play.hasVanished ? seriesDelay : Millis{200};
        }
        endLeader(play, SIGKILL);
        return play.lease * (35 + play.random(30)) / 100;
    }
    const auto kind = play.random(100);
    if (kind < 20) {
        endLeader(play, SIGKILL);
    } else if (kind < 32) {
        endLeader(play, SIGTERM);
    } else if (kind < 44) {
        freezeLeader(play);
    } else if (kind < 52) {
        const auto index = play.random(static_cast<std::uint32_t>(play.world.instances()));
        if (play.world.isBusy(index)) {
            return Millis{300};
        }
        if (index == play.world.leader()) {
            play.judge.leaderDisturbed(std::chrono::steady_clock::now());
        }
        std::printf("  SIGKILL of instance %u\n", index + 1);
        inBackground(play, [&world = play.world, index] { world.restartInstance(index, SIGKILL); });
    } else if (kind < 78) {
        vanishWorker(play, play.vanished);
    } else if (kind < 86) {
        play.world.addWorker();
    } else if (kind < 94) {
        play.world.writeConfig();
    } else {
        refuseLog(play);
    }
    return Millis{300 + play.random(2'000)};
}

/// Asks for the states of all jobs that have not ended.
auto readStates(Play &play) -> void
{
    const auto instance = play.random(static_cast<std::uint32_t>(play.world.instances()));
    for (const auto &job : play.judge.open()) {
        auto answer = std::string{};
        const auto status = play.world.call(instance, "GET", "/" + job.queue + "/" + job.id, {}, answer);
        constexpr auto found = 200;
        const auto state = status == found ? nlohmann::json::parse(answer).value("state", "") : std::string{};
        play.judge.shown(job.id, status, state, std::chrono::steady_clock::now());
    }
}

auto runFor(Play &play, std::chrono::steady_clock::duration span, bool isTrouble) -> void
{
    auto nextSubmit = std::chrono::steady_clock::now();
    const auto end = nextSubmit + span;
    const auto least = nextSubmit + quietLeast;
    auto nextState = nextSubmit + statePeriod;
    auto nextDisturbance = nextSubmit + (play.isSeries ? seriesBegin : std::chrono::seconds{3});
    auto nextRestart = nextSubmit + play.options.restartPeriod;
    auto nextCrash = nextSubmit + play.options.crashPeriod;
    auto nextEvacuation = nextSubmit + firstEvacuation;
    auto evacuationsLeft = play.options.evacuations;
    auto nextDepartures = nextSubmit + firstDepartures;
    while (std::chrono::steady_clock::now() < end && (isTrouble || std::chrono::steady_clock::now() < least || !play.judge.allEnded())) {
        const auto now = std::chrono::steady_clock::now();
        if (isTrouble && now >= nextSubmit) {
            submit(play);
            nextSubmit = now + (play.options.evacuations + play.options.leaving > 0 ? denseSubmitPeriod : submitPeriod);
        }
        if (isTrouble && now >= nextDisturbance) {
            nextDisturbance = now + disturb(play);
        }
        if (isTrouble && play.options.restartPeriod.count() > 0 && now >= nextRestart) {
            nextRestart = now + restartWorkers(play);
        }
        if (isTrouble && play.options.crashPeriod.count() > 0 && now >= nextCrash) {
            nextCrash = now + crashWorkers(play);
        }
        if (isTrouble && evacuationsLeft > 0 && now >= nextEvacuation && now + evacuationLeast <= end) {
            nextEvacuation = now + evacuate(play);
            --evacuationsLeft;
        }
        if (isTrouble && play.options.leaving > 0 && now >= nextDepartures && now + noticeSpan <= end) {
            leaveWithNotice(play);
            nextDepartures = now + departurePeriod;
        }
        if (!isTrouble && now >= nextState) {
            readStates(play);
            nextState = now + statePeriod;
        }
        play.judge.look(play.world, std::chrono::steady_clock::now());
        std::this_thread::sleep_for(tick);
    }
}

auto play(std::uint64_t seed, SoakOptions options, const TroubleOptions &trouble) -> bool
{
    auto random = Random{seed};
    const auto isSeries = seed % 2 == 0;
    if (options.lease.count() == 0) {
        options.lease = isSeries ? seriesLease : mixedLease;
    }
    if (trouble.restartPeriod.count() > 0 || trouble.crashPeriod.count() > 0) {
        options.transitSeed = seed;
    }
    options.seed = seed;
    if (trouble.evacuations > 0) {
        options.domains = domains;
        options.boundsEvacuations = true;
    }
    std::printf("seed %llu: %s, %d instances, %d executors, lease %lld ms\n",
                static_cast<unsigned long long>(seed),
                isSeries ? "series" : "mixed",
                options.instances,
                options.workers,
                static_cast<long long>(options.lease.count()));
    auto world = SoakWorld{options};
    auto it = Play{.world = world, .judge = SoakJudge{options.lease}, .random = random, .lease = options.lease, .options = trouble, .isSeries = isSeries};
    const auto ready = std::chrono::steady_clock::now() + std::chrono::seconds{20};
    auto answer = std::string{};
    while (world.call(0, "GET", "/batch/", {}, answer) != 200 && std::chrono::steady_clock::now() < ready) {
        std::this_thread::sleep_for(tick);
    }
    runFor(it, trouble.duration, true);
    world.endLateness();
    for (auto &thread : it.disturbances) {
        thread.join();
    }
    it.judge.quietFrom(std::chrono::steady_clock::now());
    runFor(it, quietLimit, false);
    it.judge.finish(world);
    for (const auto &text : it.judge.violations()) {
        std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), text.c_str());
    }
    std::printf("seed %llu: %zu start orders, %zu evacuations, %zu executors left with notice\n",
                static_cast<unsigned long long>(seed),
                world.startOrders().size(),
                world.evacuations().size(),
                world.departures().size());
    std::printf("seed %llu: %zu jobs accepted, %zu attempts, longest stand %lld ms, %zu violations%s\n",
                static_cast<unsigned long long>(seed),
                it.judge.acceptedJobs(),
                world.history().size(),
                static_cast<long long>(it.judge.longestStand().count()),
                it.judge.violations().size(),
                it.judge.violations().empty() ? "" : (", logs in " + options.folder).c_str());
    std::fflush(stdout);
    return it.judge.violations().empty();
}

}

}

auto main(int argc, char **argv) -> int
{
    using namespace Catkin;
    using namespace Catkin::Soak;
    auto seeds = std::vector<std::uint64_t>{};
    auto options = SoakOptions{.daemon = binaryPath("catkinworksd"), .lease = Millis{0}};
    auto trouble = TroubleOptions{};
    for (auto i = 1; i < argc; ++i) {
        const auto name = std::string(argv[i]);
        const auto value = i + 1 < argc ? std::string(argv[i + 1]) : std::string{};
        if (name == "--seed") {
            seeds.push_back(std::stoull(value));
        } else if (name == "--seconds") {
            trouble.duration = std::chrono::seconds{std::stoi(value)};
        } else if (name == "--lease-ms") {
            options.lease = Millis{std::stoi(value)};
        } else if (name == "--instances") {
            options.instances = std::stoi(value);
        } else if (name == "--workers") {
            options.workers = std::stoi(value);
        } else if (name == "--restart-ms") {
            trouble.restartPeriod = Millis{std::stoi(value)};
        } else if (name == "--crash-ms") {
            trouble.crashPeriod = Millis{std::stoi(value)};
        } else if (name == "--late-orders") {
            options.lateOrders = std::stoi(value);
        } else if (name == "--cut-restarts") {
            trouble.cutRestarts = std::stoi(value);
        } else if (name == "--forget-while-waiting") {
            options.forgetsWhileWaiting = value == "yes";
        } else if (name == "--most-vanished") {
            trouble.mostVanished = std::stoul(value);
        } else if (name == "--evacuations") {
            trouble.evacuations = std::stoi(value);
        } else if (name == "--leaving") {
            trouble.leaving = std::stoi(value);
        } else if (name == "--daemon") {
            options.daemon = value;
        } else {
            std::cerr << "usage: pool_soak --seed N [--seed N ...] [--seconds S] [--lease-ms N] [--instances N] [--workers N] [--restart-ms N] [--crash-ms N] "
                         "[--late-orders PERCENT] [--cut-restarts PERCENT] [--most-vanished N] [--forget-while-waiting yes] [--evacuations N] [--leaving "
                         "PERCENT] [--daemon PATH]\n";
            return 2;
        }
        ++i;
    }
    std::signal(SIGPIPE, SIG_IGN);
    // Each line is seen as it is written, also in a file.
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    auto held = true;
    constexpr auto networks = 250;
    for (const auto seed : seeds) {
        options.folder = (std::filesystem::temp_directory_path() / ("pool-soak-" + std::to_string(getpid()) + "-" + std::to_string(seed))).string();
        options.network = "127." + std::to_string(1 + getpid() / networks % networks) + "." + std::to_string(1 + getpid() % networks);
        const auto isHeld = play(seed, options, trouble);
        held = held && isHeld;
        if (isHeld) {
            std::filesystem::remove_all(options.folder);
        }
    }
    return held ? 0 : 1;
}

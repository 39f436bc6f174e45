// Cost of an idle mesh: bytes and CPU per instance at the real heartbeat periods, all instances in this process.
// usage: mesh_figures [SECONDS [WORKSPACES]]
// With WORKSPACES, heartbeats report that many demands, of which as many change as a report allows.

#include "util/logging.h"
#include "wire/peermesh.h"

#include <ctime>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace Catkin;

namespace
{

constexpr auto executorCount = 50; ///< as many as the deployments have today
constexpr auto changingDemands = 40; ///< DemandOptions::maxChangesPerReport
constexpr auto changingLoads = 10; ///< executors whose load changes between two heartbeats

struct Figures
{
    double sentPerSecond = 0; ///< bytes sent per instance and second, without TCP/IP headers
    double cpuPercent = 0; ///< of one core, per instance
};

auto cpuSeconds() -> double
{
    auto time = timespec{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

auto totalSent(const std::vector<std::unique_ptr<PeerMesh>> &meshes) -> double
{
    auto sum = 0.0;
    for (const auto &mesh : meshes) {
        const auto counters = mesh->counters();
        for (const auto *counts : {&counters.inRegion, &counters.acrossRegions}) {
            for (const auto &it : *counts) {
                sum += static_cast<double>(it.bytesOut);
            }
        }
    }
    return sum;
}

/// @param count number of instances
/// @param regions number of regions over which they are spread
/// @param seconds length of the measurement
/// @param workspaces demands reported by each instance
auto measure(int count, int regions, int seconds, int workspaces) -> Figures
{
    auto meshes = std::vector<std::unique_ptr<PeerMesh>>{};
    auto known = std::vector<KnownInstance>{};
    for (auto i = 0; i < count; ++i) {
        const auto region = RegionId{"region-" + std::to_string(i % regions)};
        const auto domain = FailureDomainId{"domain-" + std::to_string(i % 8)};
        const auto id = InstanceId{"entry-" + std::to_string(100 + i)};
        auto round = std::make_shared<int>(0);
        auto status = [domain, id, round, workspaces] {
            auto result = LocalStatus{.draining = false, .configVersion = {7}, .executors = {}, .planners = {{domain, 3, id.str()}}};
            ++*round;
            for (auto e = 0; e < executorCount; ++e) {
                result.executors.push_back({ExecutorId{"executor-" + std::to_string(e)}, e < changingLoads ? 1 + (*round + e) % 8 : 4});
            }
            result.reportsDemand = workspaces > 0;
            for (auto w = 0; w < workspaces; ++w) {
                result.demands.push_back({static_cast<std::uint32_t>(w), w < changingDemands ? static_cast<float>(1 + *round) : 1.0F});
            }
            return result;
        };
        auto mesh = std::make_unique<PeerMesh>(PeerMeshOptions{.self = id,
                                                               .domain = domain,
                                                               .region = region,
                                                               .incarnation = {1},
                                                               .listenAddress = "127.0.0.1:0",
                                                               .advertisedAddress = {},
                                                               .key = "a key for measurements"},
                                               PeerMeshHandlers{.localStatus = status},
                                               systemClock());
        if (auto started = mesh->start(); !started) {
            std::fprintf(stderr, "%s\n", started.error().message.c_str());
            std::exit(1);
        }
        known.push_back({id, domain, region, "127.0.0.1:" + std::to_string(mesh->port()), false});
        meshes.push_back(std::move(mesh));
    }
    for (const auto &mesh : meshes) {
        mesh->setKnown(KnownSource::InstanceList, known);
    }
    for (const auto &mesh : meshes) {
        while (mesh->connected().size() + 1 < meshes.size()) {
            std::this_thread::sleep_for(Millis{20});
        }
    }
    std::this_thread::sleep_for(Seconds{3});
    const auto cpu = cpuSeconds();
    const auto sent = totalSent(meshes);
    std::this_thread::sleep_for(Seconds{seconds});
    const auto scale = 1.0 / (static_cast<double>(count) * seconds);
    return {(totalSent(meshes) - sent) * scale, (cpuSeconds() - cpu) * scale * 100};
}

}

auto main(int argc, char **argv) -> int
{
    initLogging(LogLevel::Error);
    constexpr auto defaultSeconds = 20;
    const auto seconds = argc > 1 ? std::max(1, std::atoi(argv[1])) : defaultSeconds;
    const auto workspaces = argc > 2 ? std::max(0, std::atoi(argv[2])) : 0;
    constexpr auto few = 8;
    constexpr auto many = 24;
    std::printf("idle mesh, %d executors of which %d change per heartbeat, %d s per row\n", executorCount, changingLoads, seconds);
    std::printf("%-8s %-10s %-26s %s\n", "regions", "instances", "bytes/s sent per instance", "CPU % of a core per instance");
    for (const auto regions : {1, 3}) {
        const auto small = measure(few, regions, seconds, workspaces);
        const auto large = measure(many, regions, seconds, workspaces);
        std::printf("%-8d %-10d %-26.0f %.3f\n", regions, few, small.sentPerSecond, small.cpuPercent);
        std::printf("%-8d %-10d %-26.0f %.3f\n", regions, many, large.sentPerSecond, large.cpuPercent);
        std::printf("%-8d %-10s %-26.1f %.4f\n",
                    regions,
                    "per peer",
                    (large.sentPerSecond - small.sentPerSecond) / (many - few),
                    (large.cpuPercent - small.cpuPercent) / (many - few));
    }
    return 0;
}

// Prints what a small caller gets beside a flood of connections at the same instance.
// usage: build/bin/flood_figures

#include "system/flood.h"

#include <cstdio>

using namespace Catkin;

auto main() -> int
{
    auto site = Deployment{revisionesShape()};
    site.start();
    std::printf("| flooding connections | small caller: answered | median ms | p99 ms | flood: answered | refused |\n|---|---|---|---|---|---|\n");
    for (const auto flooders : {0, 40, 100, 200, 400}) {
        const auto it = runFlood(site, {.flooders = flooders, .smallCalls = 100});
        std::printf("| %d | %d of %d | %lld | %lld | %d | %d |\n",
                    flooders,
                    it.smallAnswered,
                    it.smallCalls,
                    static_cast<long long>(it.smallMedian.count()),
                    static_cast<long long>(it.smallP99.count()),
                    it.floodAnswered,
                    it.floodRefused);
        std::fflush(stdout);
    }
    return 0;
}

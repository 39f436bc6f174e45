#include "daemon/poolsettings.h"

namespace Catkin
{

namespace
{

auto describe(std::optional<Millis> it) -> std::string
{
    return it ? std::to_string(it->count()) + " ms" : "none";
}

struct Comparison
{
    std::vector<std::string> changes;

    auto add(const char *name, const std::string &inUse, const std::string &read) -> void
    {
        if (inUse != read) {
            changes.push_back(std::string(name) + " from '" + inUse + "' to '" + read + "'");
        }
    }

    auto add(const char *name, Millis inUse, Millis read) -> void
    {
        add(name, std::to_string(inUse.count()) + " ms", std::to_string(read.count()) + " ms");
    }
};

auto addLimits(Comparison &out, const std::string &listener, const ListenerLimits &inUse, const ListenerLimits &read) -> void
{
    const auto add = [&](const char *what, std::size_t before, std::size_t after) {
        out.add((listener + ": " + what).c_str(), std::to_string(before), std::to_string(after));
    };
    add("connections", inUse.connections, read.connections);
    add("buffer bytes", inUse.bufferBytes, read.bufferBytes);
    add("header bytes", inUse.headerBytes, read.headerBytes);
    add("header fields", inUse.headerFields, read.headerFields);
    add("read-ahead bytes", inUse.readAhead, read.readAhead);
    add("transfer bytes per second", inUse.transferRate, read.transferRate);
    out.add((listener + ": header time").c_str(), inUse.headerTimeout, read.headerTimeout);
    out.add((listener + ": transfer time").c_str(), inUse.transferTimeout, read.transferTimeout);
}

}

auto settingChanges(const PoolSettings &inUse, const PoolSettings &read) -> std::vector<std::string>
{
    auto out = Comparison{};
    out.add("instance", inUse.instance.str(), read.instance.str());
    out.add("failure domain", inUse.domain.str(), read.domain.str());
    out.add("caller address", inUse.callerAddress, read.callerAddress);
    out.add("readiness address", inUse.readinessAddress, read.readinessAddress);
    out.add("peer address", inUse.peerAddress, read.peerAddress);
    out.add("metrics address", inUse.metricsAddress, read.metricsAddress);
    out.add("store address", inUse.storeAddress, read.storeAddress);
    out.add("cores", std::to_string(inUse.cores), std::to_string(read.cores));
    out.add("link", std::to_string(inUse.linkMbps), std::to_string(read.linkMbps));
    out.add("record limit", std::to_string(inUse.recordBytes), std::to_string(read.recordBytes));
    out.add("lease", inUse.lease, read.lease);
    out.add("stop grace", inUse.stopGrace, read.stopGrace);
    out.add("restore time", inUse.restore.value_or(Millis{0}), read.restore.value_or(Millis{0}));
    out.add("gang timeout", inUse.gangTimeout, read.gangTimeout);
    out.add("worker heartbeat", inUse.workerHeartbeat, read.workerHeartbeat);
    out.add("configuration apply", inUse.configApply, read.configApply);
    out.add("configuration stretch", inUse.configStretch, read.configStretch);
    out.add("evacuation", describe(inUse.evacuate), describe(read.evacuate));
    out.add("visibility", inUse.visibility, read.visibility);
    out.add("grace", inUse.grace, read.grace);
    out.add("retention", inUse.retention, read.retention);
    addLimits(out, "callers' listener", inUse.listeners.callers, read.listeners.callers);
    addLimits(out, "readiness listener", inUse.listeners.readiness, read.listeners.readiness);
    addLimits(out, "metrics listener", inUse.listeners.metrics, read.listeners.metrics);
    addLimits(out, "peers' listener", inUse.listeners.peers, read.listeners.peers);
    return out.changes;
}

}

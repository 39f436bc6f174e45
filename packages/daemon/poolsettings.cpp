#include "daemon/poolsettings.h"

namespace Catkin
{

namespace
{

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
    out.add("visibility", inUse.visibility, read.visibility);
    out.add("grace", inUse.grace, read.grace);
    out.add("retention", inUse.retention, read.retention);
    return out.changes;
}

}

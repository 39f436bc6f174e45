#include "policy/poolfleet.h"

namespace Catkin
{

auto findQueue(const PoolConfig &config, const std::string &host, const std::string &path) -> const QueueAddress *
{
    const QueueAddress *best = nullptr;
    for (const auto &it : config.addresses) {
        if (it.host == host && path.starts_with(it.pathPrefix) && (best == nullptr || it.pathPrefix.size() > best->pathPrefix.size())) {
            best = &it;
        }
    }
    return best;
}

}

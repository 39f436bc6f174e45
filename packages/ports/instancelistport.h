#pragma once

/// Port to the platform's instance list, which lags behind the truth.
///
/// @code
///   for (const auto &entry : *list.fetch().value()) { ... }
/// @endcode

#include "util/ids.h"
#include "util/outcome.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Catkin
{

enum class InstanceRole { Entry, Executor, Worker };

/// One line of the instance list.
struct ListedInstance
{
    std::string id;
    InstanceRole role = InstanceRole::Entry;
    FailureDomainId domain;
    RegionId region;
    RackId rack; ///< empty for instances outside racks
    int slots = 0; ///< workers only
    std::string address; ///< "ip:port" of the HTTP interface
    std::string peerAddress; ///< "ip:port" for peers; entry instances only
    bool leaving = false; ///< true for any state but "live"
};

/// Function to reach the list; may block up to its timeout and may be called from any thread.
struct InstanceListPort
{
    /// @return the list, without roles that this release does not know, and the same object as before when the platform says
    /// that nothing has changed; never null. ErrorCode::Unavailable without a complete answer, ErrorCode::Protocol when a line
    /// of it is malformed.
    std::function<Result<std::shared_ptr<const std::vector<ListedInstance>>>()> fetch;
};

}

#pragma once

/// Chooses the route of an instance's calls to the record store: the direct route, or a relay. A relay is another instance
/// that still reaches the store when the store or the network turns this one away.
///
/// @code
///   auto relay = path.choose(now);              // empty: the direct route
///   ...
///   path.report(relay, ok, now);
///   if (path.probeDue(now)) { path.report({}, probeDirectRoute(), now); }     // in a thread on which no call waits
/// @endcode
///
/// The direct route is used until it fails. Then calls go through a relay until a probe of the direct route is answered,
/// so that only probes, and not the records of planners, wait for the timeout of a silent store. The pause between probes
/// grows with each failure. A relay that fails is not used for a while. If no relay is usable, calls take the direct
/// route.

#include "util/units.h"

#include <map>
#include <string>
#include <vector>

namespace Catkin
{

struct StorePathOptions
{
    Millis firstProbe{250}; ///< time from the first failure of the direct route to its first probe; doubles with each further failure
    Millis relayPause{1'000}; ///< a relay that failed is not used for this long; doubles with each further failure
    Millis maxPause{4'000}; ///< short against the time after which a configuration counts as unconfirmed
};

class StorePath
{
public:
    explicit StorePath(const StorePathOptions &options = {});

    /// @param relays "ip:port" of the other instances
    auto setRelays(const std::vector<std::string> &relays) -> void;

    /// @return the relay to use; empty for the direct route.
    [[nodiscard]] auto choose(MonoTime now) const -> std::string;

    /// @return whether the direct route has failed more than once; a single failure may be that of one connection.
    [[nodiscard]] auto isCutOff() const -> bool;

    /// @return whether the direct route has failed and should be probed now.
    [[nodiscard]] auto probeDue(MonoTime now) const -> bool;

    /// @param relay as returned by choose()
    /// @param ok whether the store answered; a refusal because of the call's own conditions is an answer
    auto report(const std::string &relay, bool ok, MonoTime now) -> void;

private:
    struct Route
    {
        int failures = 0; ///< since the last success
        MonoTime pausedUntil;
    };

    StorePathOptions m_options;
    Route m_direct;
    std::vector<std::string> m_order; ///< relays in order of preference
    std::map<std::string, Route> m_relays;
};

/// What a call over a route shows about it.
enum class RouteResult {
    Answered, ///< the store answered; a refusal because of the call's own conditions is an answer
    Failed, ///< the call failed, perhaps for this log only
    Lost, ///< no connection could be made, or the relay does not reach the store: unusable for every log
};

/// The routes of all logs, with one StorePath for each, since the store may fail for some logs and serve the others.
class StorePaths
{
public:
    auto setRelays(const std::vector<std::string> &relays) -> void;

    /// @param log number of the log
    /// @return the relay to use; empty for the direct route.
    auto choose(int log, MonoTime now) -> std::string;
    /// @param relay as returned by choose(); RouteResult::Lost counts for every log
    auto report(int log, const std::string &relay, RouteResult result, MonoTime now) -> void;

    /// @return the logs whose direct route should be probed now.
    [[nodiscard]] auto probesDue(MonoTime now) const -> std::vector<int>;
    /// @return whether the direct route is cut off for every log, so that this instance cannot act as a relay.
    [[nodiscard]] auto isCutOff() const -> bool;

private:
    auto pathOf(int log) -> StorePath &;

    std::vector<std::string> m_relays;
    std::map<int, StorePath> m_paths;
};

}

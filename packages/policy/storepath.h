#pragma once

/// Decides over which way an instance calls the record store: directly, or through another instance that still
/// reaches it when the store or the network turns this one away.
///
/// @code
///   auto path = paths.choose(now);              // empty: directly
///   ...
///   paths.report(path, ok, now);
///   if (paths.probeDue(now)) { paths.report({}, tryDirectRoute(), now); }     // in a thread that nothing waits for
/// @endcode
///
/// The direct way is used until it fails. Then calls go through a relay until a probe of the direct way is answered, so
/// that a silent store does not hold up every planner's record for a timeout; the time between probes grows with each
/// failure. A relay that fails is passed over for a while. Without any way left, calls go directly.

#include "util/units.h"

#include <map>
#include <string>
#include <vector>

namespace Catkin
{

struct StorePathOptions
{
    Millis firstProbe{250}; ///< from the first failure of the direct way to its first probe; doubles with each further failure
    Millis relayPause{1'000}; ///< a relay that failed is not used for this long; doubles with each further failure
    Millis maxPause{4'000}; ///< short against the time after which a configuration counts as unconfirmed
};

class StorePath
{
public:
    explicit StorePath(const StorePathOptions &options = {});

    /// @param relays "ip:port" of the other instances
    auto setRelays(const std::vector<std::string> &relays) -> void;

    /// @return the relay to use, or an empty text for the direct way.
    [[nodiscard]] auto choose(MonoTime now) const -> std::string;

    /// @return whether the direct way has failed again after its first failure, which may have been that of one connection.
    [[nodiscard]] auto isCutOff() const -> bool;

    /// @return whether calls go through relays and the direct way should be tried now.
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
    std::vector<std::string> m_order; ///< relays in the order of use
    std::map<std::string, Route> m_relays;
};

/// What a call over a way has shown.
enum class RouteResult {
    Answered, ///< the store answered; a refusal because of the call's own conditions is an answer
    Failed, ///< for this log at least
    Lost, ///< no connection could be made, or the relay does not reach the store: of no use for any log
};

/// The ways of all logs, one StorePath each, since the store may lose single logs and serve the others.
class StorePaths
{
public:
    auto setRelays(const std::vector<std::string> &relays) -> void;

    /// @param log number of the log
    /// @return the relay to use, or an empty text for the direct way.
    auto choose(int log, MonoTime now) -> std::string;
    auto report(int log, const std::string &relay, RouteResult result, MonoTime now) -> void;

    /// @return the logs whose direct way should be tried now.
    [[nodiscard]] auto probesDue(MonoTime now) const -> std::vector<int>;
    /// @return whether no log is served directly, so that this instance is of no use as a relay.
    [[nodiscard]] auto isCutOff() const -> bool;

private:
    auto pathOf(int log) -> StorePath &;

    std::vector<std::string> m_relays;
    std::map<int, StorePath> m_paths;
};

}

#include "policy/storepath.h"

#include <algorithm>

namespace Catkin
{

StorePath::StorePath(const StorePathOptions &options)
    : m_options(options)
{
}

auto StorePath::setRelays(const std::vector<std::string> &relays) -> void
{
    m_order = relays;
    std::erase_if(m_relays, [&](const auto &it) { return std::find(relays.begin(), relays.end(), it.first) == relays.end(); });
}

auto StorePath::choose(MonoTime now) const -> std::string
{
    if (m_direct.failures == 0) {
        return {};
    }
    for (const auto &it : m_order) {
        const auto route = m_relays.find(it);
        if (route == m_relays.end() || now >= route->second.pausedUntil) {
            return it;
        }
    }
    return {};
}

auto StorePath::isCutOff() const -> bool
{
    return m_direct.failures > 1;
}

auto StorePath::probeDue(MonoTime now) const -> bool
{
    return m_direct.failures > 0 && now >= m_direct.pausedUntil;
}

auto StorePath::report(const std::string &relay, bool ok, MonoTime now) -> void
{
    auto &route = relay.empty() ? m_direct : m_relays[relay];
    if (ok) {
        route = {};
        return;
    }
    // Failures of concurrent calls count once.
    if (now < route.pausedUntil) {
        return;
    }
    constexpr auto maxDoublings = 8;
    const auto first = relay.empty() ? m_options.firstProbe : m_options.relayPause;
    route.pausedUntil = now + std::min(first * (1 << std::min(route.failures, maxDoublings)), m_options.maxPause);
    ++route.failures;
}

auto StorePaths::setRelays(const std::vector<std::string> &relays) -> void
{
    m_relays = relays;
    for (auto &[log, path] : m_paths) {
        path.setRelays(relays);
    }
}

auto StorePaths::pathOf(int log) -> StorePath &
{
    const auto [it, isNew] = m_paths.try_emplace(log);
    if (isNew) {
        it->second.setRelays(m_relays);
    }
    return it->second;
}

auto StorePaths::choose(int log, MonoTime now) -> std::string
{
    return pathOf(log).choose(now);
}

auto StorePaths::report(int log, const std::string &relay, RouteResult result, MonoTime now) -> void
{
    pathOf(log).report(relay, result == RouteResult::Answered, now);
    if (result != RouteResult::Lost) {
        return;
    }
    for (auto &[other, path] : m_paths) {
        path.report(relay, false, now);
    }
}

auto StorePaths::probesDue(MonoTime now) const -> std::vector<int>
{
    auto due = std::vector<int>{};
    for (const auto &[log, path] : m_paths) {
        if (path.probeDue(now)) {
            due.push_back(log);
        }
    }
    return due;
}

auto StorePaths::isCutOff() const -> bool
{
    return !m_paths.empty() && std::all_of(m_paths.begin(), m_paths.end(), [](const auto &it) { return it.second.isCutOff(); });
}

}

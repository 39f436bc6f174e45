#include "wire/membership.h"

#include "util/rendezvous.h"

#include <algorithm>

namespace Catkin
{

namespace
{

/// Applies a partial load list to the complete one.
auto mergeLoads(std::vector<ExecutorLoad> loads, const std::vector<ExecutorLoad> &changes) -> std::vector<ExecutorLoad>
{
    auto table = std::map<ExecutorId, int>{};
    for (const auto *list : {&std::as_const(loads), &changes}) {
        for (const auto &it : *list) {
            table[it.executor] = it.inFlight;
        }
    }
    loads.clear();
    for (const auto &[executor, inFlight] : table) {
        if (inFlight > 0) {
            loads.push_back({executor, inFlight});
        }
    }
    return loads;
}

auto mergeDemands(std::vector<DemandEntry> demands, const std::vector<DemandEntry> &changes) -> std::vector<DemandEntry>
{
    auto table = std::map<std::uint32_t, float>{};
    for (const auto *list : {&std::as_const(demands), &changes}) {
        for (const auto &it : *list) {
            table[it.workspace] = it.slots;
        }
    }
    demands.clear();
    for (const auto &[workspace, slots] : table) {
        if (slots > 0) {
            demands.push_back({workspace, slots});
        }
    }
    return demands;
}

}

auto instanceStateName(InstanceState state) -> const char *
{
    switch (state) {
    case InstanceState::Silent:
        return "silent";
    case InstanceState::Fresh:
        return "fresh";
    case InstanceState::Draining:
        return "draining";
    }
    return "silent";
}

Membership::Membership(MembershipOptions options, MonoTime now)
    : m_options(std::move(options))
    , m_start(now)
{
}

auto Membership::setKnown(KnownSource source, const std::vector<KnownInstance> &instances) -> void
{
    const auto index = static_cast<std::size_t>(source);
    for (auto &[id, entry] : m_entries) {
        entry.known[index].reset();
    }
    for (const auto &it : instances) {
        if (!it.id.empty() && it.id != m_options.self) {
            m_entries[it.id].known[index] = it;
        }
    }
    // An instance that is in no source and was never heard of has nothing left to remember.
    std::erase_if(m_entries, [](const auto &it) { return !it.second.known[0] && !it.second.known[1] && !it.second.last; });
}

auto Membership::observe(const Heartbeat &heartbeat, MonoTime now) -> HeartbeatEffect
{
    if (heartbeat.instance == m_options.self) {
        return HeartbeatEffect::Self;
    }
    if (superseded(heartbeat.instance, heartbeat.incarnation)) {
        return HeartbeatEffect::OldIncarnation;
    }
    auto &entry = m_entries[heartbeat.instance];
    const auto same = entry.last && entry.last->incarnation == heartbeat.incarnation;
    auto loads = mergeLoads(same && !heartbeat.fullLoads ? std::move(entry.last->executors) : std::vector<ExecutorLoad>{}, heartbeat.executors);
    auto demands = mergeDemands(same && !heartbeat.fullLoads ? std::move(entry.last->demands) : std::vector<DemandEntry>{}, heartbeat.demands);
    entry.last = heartbeat;
    entry.last->executors = std::move(loads);
    entry.last->demands = std::move(demands);
    entry.last->fullLoads = true;
    entry.lastAt = now;
    return same ? HeartbeatEffect::Accepted : HeartbeatEffect::NewIncarnation;
}

auto Membership::latest(const InstanceId &id) const -> std::optional<Heartbeat>
{
    const auto it = m_entries.find(id);
    return it != m_entries.end() ? it->second.last : std::nullopt;
}

auto Membership::superseded(const InstanceId &id, Incarnation incarnation) const -> bool
{
    const auto it = m_entries.find(id);
    return it != m_entries.end() && it->second.last && incarnation < it->second.last->incarnation;
}

auto Membership::setDraining(bool draining) -> void
{
    m_draining = draining;
}

auto Membership::forget(MonoTime now) -> void
{
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        auto &entry = it->second;
        if (entry.last && now - entry.lastAt > m_options.forgetAfter) {
            entry.last.reset();
        }
        it = !entry.last && !entry.known[0] && !entry.known[1] ? m_entries.erase(it) : std::next(it);
    }
}

auto Membership::period(const RegionId &region) const -> Millis
{
    return region == m_options.region ? m_options.periodInRegion : m_options.periodAcross;
}

auto Membership::brief(const InstanceId &id, const Entry &entry, MonoTime now) const -> InstanceView
{
    auto view = InstanceView{.id = id};
    auto leaving = false;
    // The instance itself knows best; then the instance list, which follows replacements, and then the settings.
    for (const auto source : {KnownSource::Settings, KnownSource::InstanceList}) {
        if (const auto &known = entry.known[static_cast<std::size_t>(source)]) {
            view.domain = known->domain;
            view.region = known->region;
            view.address = known->address;
            leaving = leaving || known->leaving;
        }
    }
    if (!entry.last) {
        return view;
    }
    view.domain = entry.last->domain;
    view.region = entry.last->region;
    if (!entry.last->address.empty()) {
        view.address = entry.last->address;
    }
    view.age = std::chrono::duration_cast<Millis>(now - entry.lastAt);
    if (now - entry.lastAt <= period(view.region) * m_options.freshPeriods) {
        view.state = entry.last->draining || leaving ? InstanceState::Draining : InstanceState::Fresh;
    }
    return view;
}

auto Membership::selfView() const -> InstanceView
{
    return {.id = m_options.self,
            .domain = m_options.domain,
            .region = m_options.region,
            .address = {},
            .state = m_draining ? InstanceState::Draining : InstanceState::Fresh,
            .self = true,
            .last = {},
            .age = {}};
}

auto Membership::instances(MonoTime now) const -> std::vector<InstanceView>
{
    auto views = briefs(now);
    for (auto &it : views) {
        if (const auto entry = m_entries.find(it.id); !it.self && entry != m_entries.end()) {
            it.last = entry->second.last;
        }
    }
    return views;
}

auto Membership::briefs(MonoTime now) const -> std::vector<InstanceView>
{
    auto views = std::vector<InstanceView>{selfView()};
    for (const auto &[id, entry] : m_entries) {
        views.push_back(brief(id, entry, now));
    }
    std::sort(views.begin(), views.end(), [](const auto &a, const auto &b) { return a.id < b.id; });
    return views;
}

auto Membership::state(const InstanceId &id, MonoTime now) const -> InstanceState
{
    if (id == m_options.self) {
        return selfView().state;
    }
    const auto it = m_entries.find(id);
    return it == m_entries.end() ? InstanceState::Silent : brief(id, it->second, now).state;
}

auto Membership::freshCount(MonoTime now) const -> std::size_t
{
    const auto views = briefs(now);
    return static_cast<std::size_t>(std::count_if(views.begin(), views.end(), [](const auto &it) { return it.state != InstanceState::Silent; }));
}

auto Membership::planner(const FailureDomainId &domain, MonoTime now) const -> InstanceId
{
    auto region = domain == m_options.domain ? m_options.region : RegionId{};
    for (const auto &it : briefs(now)) {
        if (region.empty() && it.domain == domain) {
            region = it.region;
        }
    }
    return planner(domain, region, now);
}

auto Membership::planner(const FailureDomainId &domain, const RegionId &region, MonoTime now) const -> InstanceId
{
    const auto views = briefs(now);
    const auto select = [&](InstanceState state, const auto &within) -> std::optional<InstanceId> {
        auto names = std::vector<std::string>{};
        for (const auto &it : views) {
            if (it.state == state && within(it)) {
                names.push_back(it.id.str());
            }
        }
        const auto owner = rendezvousOwner("planner/" + domain.str(), names);
        return owner ? std::optional{InstanceId{names[*owner]}} : std::nullopt;
    };
    // A draining instance is about to stop: even a remote planner that stays needs one takeover instead of two.
    for (const auto state : {InstanceState::Fresh, InstanceState::Draining}) {
        auto owner = select(state, [&](const auto &it) { return it.domain == domain; });
        if (!owner) {
            owner = select(state, [&](const auto &it) { return it.region == region; });
        }
        if (!owner) {
            owner = select(state, [](const auto &) { return true; });
        }
        if (owner) {
            return *owner;
        }
    }
    return m_options.self;
}

auto Membership::settled(MonoTime now) const -> bool
{
    return now - m_start >= std::max(m_options.periodInRegion, m_options.periodAcross) * m_options.freshPeriods;
}

auto Membership::settled(const RegionId &target, MonoTime now) const -> bool
{
    // Instances of the own region come first as planners of its failure domains, and they are heard from sooner.
    return target == m_options.region ? now - m_start >= m_options.periodInRegion * m_options.freshPeriods : settled(now);
}

}

#include "policy/executortable.h"

#include "policy/demandshares.h"

#include <algorithm>

namespace Catkin
{

ExecutorTable::ExecutorTable(const RequestSchedulerOptions &options)
    : m_options(options)
{
}

auto ExecutorTable::listed(const std::vector<ListedExecutor> &executors, MonoTime now) -> void
{
    static_cast<void>(now);
    for (auto &it : m_executors) {
        it->health.listed = false;
    }
    for (const auto &entry : executors) {
        auto *&known = m_byId[entry.id];
        if (known == nullptr) {
            m_executors.push_back(std::make_unique<KnownExecutor>());
            known = m_executors.back().get();
            known->limit.slots = m_options.assumedSlots;
        }
        if (known->listed.address != entry.address) {
            // A new address means a new process, so the health of the old one no longer applies.
            known->health = {};
        }
        known->listed = entry;
        known->locality = localityOf(entry, m_options.domain, m_options.region);
        known->health.listed = true;
        known->health.listLeaving = entry.leaving;
    }
    eraseUnlisted();
    auto shared = std::vector<KnownExecutor *>{};
    for (auto &it : m_executors) {
        if (it->health.listed && it->locality != Locality::OtherRegion) {
            shared.push_back(it.get());
        }
    }
    std::sort(shared.begin(), shared.end(), [](const auto *a, const auto *b) { return a->listed.id < b->listed.id; });
    for (auto i = std::size_t{0}; i < shared.size(); ++i) {
        shared[i]->ordinal = i;
    }
    for (auto &it : m_executors) {
        updateShare(*it, it->limit.slots);
    }
    m_capacityAt.reset();
}

auto ExecutorTable::updateShare(KnownExecutor &executor, int slots) const -> void
{
    // An instance has no share of an executor in another region: it starts with one request and borrows further slots.
    if (executor.locality == Locality::OtherRegion) {
        setLimitShare(executor.limit, slots, 1);
    } else if (!m_fractions.empty()) {
        setLimitShare(executor.limit, slots, slotsOfFraction(m_fractions, m_self, slots, executor.ordinal));
    } else {
        setLimitShare(executor.limit, slots, equalShare(executor.listed.id, slots, m_options.instance, m_fresh));
    }
}

auto ExecutorTable::eraseUnlisted() -> void
{
    std::erase_if(m_executors, [this](const auto &it) {
        if (it->health.listed || it->inFlight > 0) {
            return false;
        }
        m_byId.erase(it->listed.id);
        return true;
    });
}

auto ExecutorTable::polled(const ExecutorId &id, const std::optional<HealthSample> &sample, MonoTime now) -> void
{
    const auto it = m_byId.find(id);
    if (it == m_byId.end()) {
        return;
    }
    auto &executor = *it->second;
    healthPolled(executor.health, sample, now);
    if (sample && sample->slots > 0) {
        executor.othersBusy = std::max(0, sample->busy - executor.inFlight);
        updateShare(executor, sample->slots);
    }
    m_capacityAt.reset();
}

auto ExecutorTable::setInstances(std::vector<std::string> fresh) -> void
{
    m_fresh = std::move(fresh);
    for (auto &it : m_executors) {
        updateShare(*it, it->limit.slots);
    }
    m_capacityAt.reset();
}

auto ExecutorTable::divideSlots(std::vector<double> fractions, std::size_t self) -> void
{
    if (fractions == m_fractions && self == m_self) {
        return;
    }
    m_fractions = std::move(fractions);
    m_self = self;
    for (auto &it : m_executors) {
        updateShare(*it, it->limit.slots);
    }
    m_capacityAt.reset();
}

auto ExecutorTable::regionSlots(MonoTime now) const -> int
{
    auto slots = 0;
    for (const auto &it : m_executors) {
        const auto usable
            = it->locality != Locality::OtherRegion && !it->health.quarantined && healthState(it->health, m_options.health, now) == ExecutorState::Usable;
        slots += usable ? it->limit.slots : 0;
    }
    return slots;
}

auto ExecutorTable::peerLoadsChanged(const InstanceId &peer, const std::vector<InFlightLoad> &loads) -> void
{
    auto &reported = m_reported[peer];
    for (const auto &id : reported) {
        if (const auto it = m_byId.find(id); it != m_byId.end()) {
            auto &executor = *it->second;
            executor.peersInFlight -= executor.peers[peer];
            executor.peers.erase(peer);
        }
    }
    reported.clear();
    for (const auto &load : loads) {
        const auto it = m_byId.find(load.executor);
        if (it != m_byId.end() && load.inFlight > 0 && !it->second->peers.contains(peer)) {
            it->second->peers[peer] = load.inFlight;
            it->second->peersInFlight += load.inFlight;
            reported.push_back(load.executor);
        }
    }
    if (reported.empty()) {
        m_reported.erase(peer);
    }
}

auto ExecutorTable::choose(const ExecutorCriteria &criteria, Random &random, MonoTime now) -> KnownExecutor *
{
    m_candidates.clear();
    auto usable = 0;
    auto free = 0;
    for (const auto &it : m_executors) {
        const auto state = healthState(it->health, m_options.health, now);
        auto candidate = RouteCandidate{it->locality, false, it->inFlight, currentLimit(it->limit), it->peersInFlight, it->limit.slots};
        if (it->health.quarantined) {
            if (criteria.mayProbe && state == ExecutorState::Usable && it->locality >= criteria.nearest && it->locality <= criteria.farthest
                && probeDue(it->health, now)) {
                return it.get();
            }
        } else {
            candidate.usable = state == ExecutorState::Usable;
        }
        if (it->health.failures >= m_options.health.failuresForSuspect) {
            candidate.limit = 1;
        } else if (now < it->skipUntil) {
            candidate.limit = 0;
        } else {
            // The own share may always be used; other slots are borrowed only if the reports and polls show them as free.
            // A kind above its share must also leave one of them free: the peers keep slots free for the kinds below theirs.
            const auto unused = criteria.mayBorrow ? it->limit.slots - std::max(it->peersInFlight, it->othersBusy) - (criteria.leaveFree > 0 ? 1 : 0) : 0;
            candidate.limit = std::min(candidate.limit, std::max(it->limit.share, unused));
        }
        if (candidate.usable && it->locality >= criteria.nearest && it->locality <= criteria.farthest) {
            ++usable;
            free += std::max(0, candidate.limit - candidate.inFlight);
        }
        m_candidates.push_back(candidate);
    }
    if (usable > 0 && free <= criteria.leaveFree) {
        return nullptr;
    }
    if (usable == 0) {
        for (auto i = std::size_t{0}; i < m_executors.size(); ++i) {
            m_candidates[i].usable = !m_executors[i]->health.quarantined && usableAsLastResort(m_executors[i]->health, m_options.health, now);
        }
    }
    const auto choice = chooseExecutor(m_candidates, criteria.nearest, criteria.farthest, random);
    return choice ? m_executors[*choice].get() : nullptr;
}

auto ExecutorTable::started(KnownExecutor &executor, MonoTime now) -> void
{
    ++executor.inFlight;
    if (probeDue(executor.health, now)) {
        executor.health.probing = true;
    }
}

auto ExecutorTable::ended(KnownExecutor &executor, DispatchOutcome outcome, Micros elapsed, Micros expected, MonoTime now) -> void
{
    const auto wasFull = executor.inFlight >= currentLimit(executor.limit);
    --executor.inFlight;
    if (outcome == DispatchOutcome::Answered) {
        limitAfterAnswer(executor.limit, m_options.limit, wasFull, isLate(m_options.limit, elapsed, expected), now);
    } else {
        limitAfterRefusal(executor.limit, m_options.limit, now);
    }
    if (outcome == DispatchOutcome::Refused) {
        executor.health.probing = false;
        // All slots were in use. On average, one becomes free after the expected cost divided by the number of slots.
        const auto pause
            = std::clamp(expected / executor.limit.slots * (1 << std::min(executor.consecutiveRefusals, 5)), Micros{Millis{2}}, Micros{Millis{200}});
        executor.skipUntil = now + pause;
        ++executor.consecutiveRefusals;
    } else {
        executor.consecutiveRefusals = 0;
        const auto wasQuarantined = executor.health.quarantined;
        const auto failed = outcome != DispatchOutcome::Answered;
        if (healthAttempt(executor.health, m_options.health, failed, now)
            && (wasQuarantined ? executor.health.probing : mayQuarantine(m_options.health, static_cast<int>(m_executors.size()), quarantined()))) {
            quarantine(executor.health, m_options.health, now);
        }
        if (failed || wasQuarantined) {
            m_capacityAt.reset();
        }
    }
    if (!executor.health.listed) {
        eraseUnlisted();
    }
}

auto ExecutorTable::quarantined() const -> int
{
    return static_cast<int>(std::count_if(m_executors.begin(), m_executors.end(), [](const auto &it) { return it->health.quarantined; }));
}

auto ExecutorTable::capacity(bool otherRegions, MonoTime now) -> ExecutorCapacity
{
    if (!m_capacityAt || now - *m_capacityAt >= Millis{1}) {
        refreshCapacity(now);
    }
    return m_capacity.at(otherRegions ? 1 : 0);
}

auto ExecutorTable::refreshCapacity(MonoTime now) -> void
{
    m_capacity = {};
    for (const auto lastResortOnly : {false, true}) {
        const auto wanted = std::array{!lastResortOnly || m_capacity[0].usable == 0, !lastResortOnly || m_capacity[1].usable == 0};
        for (const auto &it : m_executors) {
            const auto index = it->locality == Locality::OtherRegion ? std::size_t{1} : std::size_t{0};
            const auto usable = lastResortOnly ? usableAsLastResort(it->health, m_options.health, now)
                                               : healthState(it->health, m_options.health, now) == ExecutorState::Usable;
            if (wanted.at(index) && usable && !it->health.quarantined) {
                // With a share of 0 the limit is still 1, for a borrowed slot, which does not count as capacity.
                const auto borrowed = it->limit.share == 0 && currentLimit(it->limit) == 1;
                m_capacity.at(index).slots += borrowed ? 0 : currentLimit(it->limit);
                ++m_capacity.at(index).usable;
            }
        }
    }
    for (auto &it : m_capacity) {
        it.slots = it.usable > 0 ? std::max(1.0, it.slots) : 0;
    }
    m_capacityAt = now;
}

auto ExecutorTable::loads() const -> std::vector<InFlightLoad>
{
    auto loads = std::vector<InFlightLoad>{};
    for (const auto &it : m_executors) {
        if (it->inFlight > 0) {
            loads.push_back({it->listed.id, it->inFlight});
        }
    }
    return loads;
}

auto ExecutorTable::views(MonoTime now) const -> std::vector<ExecutorView>
{
    auto views = std::vector<ExecutorView>{};
    for (const auto &it : m_executors) {
        views.push_back({it->listed.id,
                         healthState(it->health, m_options.health, now),
                         it->health.quarantined,
                         it->inFlight,
                         it->peersInFlight,
                         it->limit.slots,
                         it->limit.value,
                         static_cast<double>(it->limit.share)});
    }
    return views;
}

}

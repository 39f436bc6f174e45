#include "state/configfold.h"

#include <utility>

namespace Catkin
{

ConfigFold::ConfigFold(ConfigFoldOptions options)
    : m_options(options)
    , m_committed(ConfigState{})
{
}

auto ConfigFold::restart(LogOffset first) -> void
{
    m_start = first;
    m_next = first;
    m_pending.clear();
    if (const auto known = std::exchange(m_committed, std::nullopt)) {
        // The version stays in force, but later changes may have been missed, so it may not be the committed one any more.
        offer(*known);
    }
    if (first.value == 0) {
        m_committed = ConfigState{};
    }
}

auto ConfigFold::apply(LogOffset offset, WallTime time, const ConfigRecord &record) -> void
{
    if (offset < m_next) {
        return;
    }
    m_next = offset + LogOffset{1};
    if (const auto *change = std::get_if<ConfigChange>(&record)) {
        applyChange(offset, time, *change);
    } else {
        applySnapshot(time, std::get<ConfigSnapshot>(record));
    }
}

auto ConfigFold::apply(LogOffset offset, WallTime time, std::string_view text) -> void
{
    if (offset < m_next) {
        return;
    }
    auto record = decodeConfigRecord(text);
    if (!record) {
        ++m_undecodable;
        m_next = offset + LogOffset{1};
        return;
    }
    apply(offset, time, record.value());
}

auto ConfigFold::offer(const ConfigState &state) -> bool
{
    const auto *known = current();
    if (state.version.value <= 0 || (known != nullptr && state.version <= known->version)) {
        return false;
    }
    m_offered = state;
    return true;
}

auto ConfigFold::current() const -> const ConfigState *
{
    if (m_offered && (!m_committed || m_offered->version > m_committed->version)) {
        return &*m_offered;
    }
    return m_committed && m_committed->version.value > 0 ? &*m_committed : nullptr;
}

auto ConfigFold::committed() const -> const ConfigState *
{
    return m_committed ? &*m_committed : nullptr;
}

auto ConfigFold::result(const std::string &id) const -> ChangeResult
{
    const auto it = m_results.find(id);
    return it == m_results.end() ? ChangeResult{} : it->second;
}

auto ConfigFold::makeChange(const std::string &id, const std::string &author, const std::string &document) const -> std::optional<ConfigChange>
{
    if (!m_committed) {
        return std::nullopt;
    }
    return ConfigChange{
        .version = m_committed->version + ConfigVersion{1},
        .base = m_committed->version,
        .id = id,
        .author = author,
        .document = document,
        .through = m_next,
    };
}

auto ConfigFold::makeSnapshot() const -> std::optional<ConfigSnapshot>
{
    if (!m_committed || m_committed->version.value == 0) {
        return std::nullopt;
    }
    return ConfigSnapshot{
        .version = m_committed->version,
        .id = m_committed->id,
        .author = m_committed->author,
        .document = m_committed->document,
        .through = m_next,
    };
}

auto ConfigFold::next() const -> LogOffset
{
    return m_next;
}

auto ConfigFold::fullStateAt() const -> WallTime
{
    return m_fullStateAt;
}

auto ConfigFold::undecodable() const -> std::uint64_t
{
    return m_undecodable;
}

auto ConfigFold::applyChange(LogOffset offset, WallTime time, const ConfigChange &change) -> void
{
    const auto wellFormed = change.version == change.base + ConfigVersion{1};
    if (!m_committed && change.through >= m_start && wellFormed) {
        // Of the base only its version is known. This is enough: this change or an earlier one on the same base is accepted below.
        commitFrom(change.through, time, ConfigState{.version = change.base});
    }
    if (!m_committed) {
        m_pending.push_back({offset, time, change});
        if (m_pending.size() > m_options.maxPendingChanges) {
            // Without the dropped change, only records that were built after it can determine the committed version.
            m_start = m_pending.front().offset + LogOffset{1};
            m_pending.pop_front();
        }
        return;
    }
    if (change.base != m_committed->version || !wellFormed) {
        storeResult(change.id, {ChangeOutcome::Rejected, m_committed->version});
        return;
    }
    m_committed = ConfigState{change.version, change.id, change.author, change.document};
    m_fullStateAt = time;
    if (m_offered && m_offered->version <= m_committed->version) {
        m_offered.reset();
    }
    storeResult(change.id, {ChangeOutcome::Accepted, change.version});
}

auto ConfigFold::applySnapshot(WallTime time, const ConfigSnapshot &snapshot) -> void
{
    const auto state = ConfigState{snapshot.version, snapshot.id, snapshot.author, snapshot.document};
    storeResult(snapshot.id, {ChangeOutcome::Accepted, snapshot.version});
    if (m_committed) {
        if (snapshot.version > m_committed->version) {
            m_committed = state;
        }
        if (snapshot.version == m_committed->version) {
            m_fullStateAt = time;
        }
    } else if (snapshot.through >= m_start) {
        commitFrom(snapshot.through, time, state);
    } else {
        offer(state);
    }
    if (m_committed && m_offered && m_offered->version <= m_committed->version) {
        m_offered.reset();
    }
}

auto ConfigFold::commitFrom(LogOffset through, WallTime time, const ConfigState &state) -> void
{
    m_committed = state;
    m_fullStateAt = time;
    const auto pending = std::exchange(m_pending, {});
    for (const auto &it : pending) {
        if (it.offset >= through) {
            applyChange(it.offset, it.time, it.change);
        }
    }
}

auto ConfigFold::storeResult(const std::string &id, ChangeResult result) -> void
{
    const auto [it, added] = m_results.try_emplace(id, result);
    if (!added) {
        // An instance repeats the append of a change after a lost response. Only the first copy can be accepted, so the rejection of
        // a later copy must not replace its result.
        if (it->second.outcome != ChangeOutcome::Accepted) {
            it->second = result;
        }
        return;
    }
    m_resultOrder.push_back(id);
    if (m_resultOrder.size() > m_options.maxResults) {
        m_results.erase(m_resultOrder.front());
        m_resultOrder.pop_front();
    }
}

}

#include "ports/statuscache.h"

#include "util/digest.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace Catkin
{

namespace
{

/// Full reads of the workers are spread between half of this time and all of it: a planner first reads all of its workers
/// at once, and reading them in full together again would take ten times its usual bandwidth.
constexpr auto fullReadPeriod = Millis{300'000};

/// Addresses that are not read any more are forgotten this long after their full read was due.
constexpr auto keepUnused = Millis{60'000};

}

StatusCache::StatusCache(std::function<MonoTime()> now)
    : m_now(std::move(now))
{
}

auto StatusCache::tagOf(const std::string &address) const -> std::string
{
    const auto now = m_now();
    const auto lock = std::lock_guard{m_mutex};
    const auto it = m_entries.find(address);
    return it == m_entries.end() || now >= it->second.fullReadDue ? std::string{} : it->second.tag;
}

auto StatusCache::store(const std::string &address, const std::string &tag, const WorkerStatus &status) -> void
{
    const auto now = m_now();
    const auto spread = xxh64(address + tag) % static_cast<std::uint64_t>(fullReadPeriod.count() / 2);
    const auto lock = std::lock_guard{m_mutex};
    if (now >= m_nextSweep) {
        m_nextSweep = now + keepUnused;
        std::erase_if(m_entries, [&](const auto &it) { return now >= it.second.fullReadDue + keepUnused; });
    }
    if (tag.empty()) {
        m_entries.erase(address);
        return;
    }
    m_entries[address] = {.tag = tag, .status = status, .at = now, .fullReadDue = now + fullReadPeriod / 2 + Millis{static_cast<std::int64_t>(spread)}};
}

auto StatusCache::age(Entry &entry, MonoTime now) -> void
{
    const auto passed = std::max(Millis{0}, std::chrono::duration_cast<Millis>(now - entry.at));
    entry.at += passed;
    for (auto &it : entry.status.leases) {
        it.remaining = std::max(Millis{0}, it.remaining - passed);
    }
    for (auto &it : entry.status.usage) {
        it.age += passed;
    }
}

auto StatusCache::confirm(const std::string &address, const std::string &tag) const -> std::optional<WorkerStatus>
{
    const auto now = m_now();
    auto entry = Entry{};
    {
        const auto lock = std::lock_guard{m_mutex};
        const auto it = m_entries.find(address);
        if (tag.empty() || it == m_entries.end() || it->second.tag != tag) {
            return std::nullopt;
        }
        entry = it->second;
    }
    age(entry, now);
    return std::move(entry.status);
}

auto StatusCache::renewed(const std::string &address, const std::string &tag, const LeaseId &lease, Millis ttl) -> void
{
    const auto now = m_now();
    const auto lock = std::lock_guard{m_mutex};
    const auto it = m_entries.find(address);
    if (it == m_entries.end() || it->second.tag != tag) {
        return;
    }
    age(it->second, now);
    for (auto &held : it->second.status.leases) {
        if (held.lease == lease) {
            held.remaining = ttl;
        }
    }
}

}

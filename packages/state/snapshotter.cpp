#include "state/snapshotter.h"

#include "util/digest.h"
#include "util/rendezvous.h"

#include <algorithm>
#include <utility>

namespace Catkin
{

namespace
{

constexpr auto configName = "config"; ///< stands for the configuration; a job goes by its id

}

auto snapshotDuty(std::string_view name, WallTime fullStateAt, WallTime now, const SnapshotOptions &options) -> SnapshotDuty
{
    const auto eighth = std::max(Millis{1}, Millis{options.retention} / 8);
    const auto spread = Millis{static_cast<std::int64_t>(xxh64(name) % static_cast<std::uint64_t>(eighth.count()))};
    const auto age = now - fullStateAt;
    if (age >= 3 * eighth) {
        return SnapshotDuty::EveryInstance;
    }
    return age >= 2 * eighth + spread ? SnapshotDuty::SelectedInstance : SnapshotDuty::NotDue;
}

Snapshotter::Snapshotter(InstanceId self, SnapshotOptions options)
    : m_self(std::move(self))
    , m_options(options)
{
}

auto Snapshotter::jobSnapshots(const JobFold &fold, std::span<const std::string> fresh, WallTime now) -> std::vector<JobSnapshotRecord>
{
    if (m_lastCall && now > *m_lastCall) {
        constexpr auto millisPerSecond = 1000.0;
        const auto elapsed = static_cast<double>((now - *m_lastCall).count()) / millisPerSecond;
        // Unused credit is limited to one second's worth, so that no burst follows a pause.
        m_credit = std::min(std::max(1.0, m_options.recordsPerSecond), m_credit + elapsed * m_options.recordsPerSecond);
    }
    m_lastCall = now;
    std::erase_if(m_returnedAt, [&](const auto &it) { return it.second + m_options.resendAfter <= now; });

    auto due = std::vector<std::pair<WallTime, const Job *>>{};
    fold.visit([&](const Job &job, WallTime fullStateAt) {
        const auto &id = job.spec.id.str();
        if (!m_returnedAt.contains(id) && hasDuty(id, fullStateAt, fresh, now)) {
            due.emplace_back(fullStateAt, &job);
        }
    });
    std::sort(due.begin(), due.end(), [](const auto &a, const auto &b) {
        return std::pair{a.first, a.second->spec.id} < std::pair{b.first, b.second->spec.id};
    });

    auto records = std::vector<JobSnapshotRecord>{};
    for (const auto &it : due) {
        if (m_credit < 1) {
            break;
        }
        m_credit -= 1;
        m_returnedAt.emplace(it.second->spec.id.str(), now);
        records.push_back({.job = *it.second, .position = fold.position()});
    }
    return records;
}

auto Snapshotter::configSnapshot(const ConfigFold &fold, std::span<const std::string> fresh, WallTime now) -> std::optional<ConfigSnapshot>
{
    std::erase_if(m_returnedAt, [&](const auto &it) { return it.second + m_options.resendAfter <= now; });
    auto snapshot = fold.makeSnapshot();
    if (!snapshot || m_returnedAt.contains(configName) || !hasDuty(configName, fold.fullStateAt(), fresh, now)) {
        return std::nullopt;
    }
    m_returnedAt.emplace(configName, now);
    return snapshot;
}

auto Snapshotter::hasDuty(const std::string &name, WallTime fullStateAt, std::span<const std::string> fresh, WallTime now) const -> bool
{
    const auto duty = snapshotDuty(name, fullStateAt, now, m_options);
    if (duty == SnapshotDuty::SelectedInstance) {
        // The prefix predates the word snapshot. It must stay, or old and new instances would select different owners.
        const auto owner = rendezvousOwner("carry/" + name, fresh);
        return owner && fresh[*owner] == m_self.str();
    }
    return duty == SnapshotDuty::EveryInstance;
}

}

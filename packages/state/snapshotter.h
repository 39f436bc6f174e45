#pragma once

/// Selects the snapshots of jobs and of the configuration that this instance appends to the log, before the log's retention
/// drops the older records of them.
///
/// @code
///   auto snapshotter = Catkin::Snapshotter{self, {.retention = Catkin::Seconds{604800}}};
///   for (const auto &it : snapshotter.jobSnapshots(jobFold, freshInstances, now)) { // about once a second
///       batch.push_back(Catkin::encodeRecord(Catkin::JobRecord{it}));
///   }
/// @endcode
///
/// The whole state of every job in the table and of the configuration is appended again before half of the retention has
/// passed.
///
/// A snapshot becomes due when the newest record of the whole state is between a quarter and three eighths of the retention
/// old. The point in between depends on a hash of the job's id, which spreads out the snapshots of jobs accepted together.
/// At first only the instance that rendezvous hashing selects appends the snapshot. If none is in the log when the newest
/// record is three eighths of the retention old, every instance appends one; a duplicate changes nothing.

#include "state/configfold.h"
#include "state/jobfold.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Catkin
{

struct SnapshotOptions
{
    Seconds retention{604'800}; ///< retention time of the log; must be the same on every instance
    double recordsPerSecond = 5; ///< rate limit of one instance's job snapshots
    Seconds resendAfter{60}; ///< a snapshot that was returned for appending is not returned again before this time
};

/// Which instances have to append the snapshot of a job or of the configuration now.
enum class SnapshotDuty { NotDue, SelectedInstance, EveryInstance };

/// @param name id of the job, or "config"; its hash determines when the snapshot becomes due
/// @param fullStateAt log time of the newest record that holds the whole state
/// @param now wall-clock time
/// @return which instances have to append the snapshot now.
auto snapshotDuty(std::string_view name, WallTime fullStateAt, WallTime now, const SnapshotOptions &options) -> SnapshotDuty;

class Snapshotter
{
public:
    Snapshotter(InstanceId self, SnapshotOptions options);

    /// @param fresh ids of the instances with fresh heartbeats, this one included
    /// @param now wall-clock time
    /// @return records to append now, within the rate limit; jobs with the oldest full state first.
    auto jobSnapshots(const JobFold &fold, std::span<const std::string> fresh, WallTime now) -> std::vector<JobSnapshotRecord>;

    /// Like jobSnapshots(), but not rate-limited.
    /// @return the snapshot to append now; nothing when it is not due or another instance appends it.
    auto configSnapshot(const ConfigFold &fold, std::span<const std::string> fresh, WallTime now) -> std::optional<ConfigSnapshot>;

private:
    auto hasDuty(const std::string &name, WallTime fullStateAt, std::span<const std::string> fresh, WallTime now) const -> bool;

    InstanceId m_self;
    SnapshotOptions m_options;
    double m_credit = 1; ///< snapshots that the rate limit allows now
    std::optional<WallTime> m_lastCall;
    std::unordered_map<std::string, WallTime> m_returnedAt; ///< by name, when the snapshot was last returned for appending
};

}

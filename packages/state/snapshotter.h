#pragma once

/// Which records this instance has to append again before the log drops them.
///
/// @code
///   auto snapshotter = Catkin::Snapshotter{self, {.retention = Catkin::Seconds{604800}}};
///   for (const auto &it : snapshotter.jobSnapshots(jobFold, freshInstances, now)) {       // once a second or so
///       batch.push_back(Catkin::encodeRecord(Catkin::JobRecord{it}));
///   }
/// @endcode
///
/// A record becomes due between a quarter and three eighths of the retention, at a point that depends on its name, so that
/// jobs accepted together are not carried together. First only the instance that rendezvous hashing selects appends it;
/// when that has not happened by three eighths, every instance does. A duplicate changes nothing.

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
    Seconds retention{604'800}; ///< of the log; the same on every instance
    double recordsPerSecond = 5; ///< most carry records that one instance appends
    Seconds resendAfter{60}; ///< how long to wait until a record that was handed out shows up in the stream
};

enum class SnapshotDuty { NotDue, SelectedInstance, EveryInstance };

/// @param name of the carried item; decides when within its period it becomes due
/// @param fullStateAt log time of the newest record that holds the item's whole state
/// @param now current time
/// @return who has to append it again.
auto snapshotDuty(std::string_view name, WallTime fullStateAt, WallTime now, const SnapshotOptions &options) -> SnapshotDuty;

class Snapshotter
{
public:
    Snapshotter(InstanceId self, SnapshotOptions options);

    /// @param fresh ids of the instances with fresh heartbeats, this one included
    /// @param now wall-clock time
    /// @return records to append now, those held the longest first, within the rate limit.
    auto jobSnapshots(const JobFold &fold, std::span<const std::string> fresh, WallTime now) -> std::vector<JobSnapshotRecord>;

    /// @return the snapshot to append now, if any.
    auto configSnapshot(const ConfigFold &fold, std::span<const std::string> fresh, WallTime now) -> std::optional<ConfigSnapshot>;

private:
    auto isMine(const std::string &name, WallTime fullStateAt, std::span<const std::string> fresh, WallTime now) const -> bool;

    InstanceId m_self;
    SnapshotOptions m_options;
    double m_credit = 1;
    std::optional<WallTime> m_lastCall;
    std::unordered_map<std::string, WallTime> m_handedOut;
};

}

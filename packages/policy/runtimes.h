#pragma once

/// Observed run times of jobs, by workspace and kind. Declared run times are not used, because they are far off.
///
/// @code
///   runTimes.observe(workspace, kind, Catkin::Seconds{5400});
///   if (auto longest = runTimes.longest(workspace, kind)) { ... }   // nearly all such jobs end within this time
/// @endcode

#include "util/ids.h"
#include "util/units.h"

#include <map>
#include <optional>
#include <vector>

namespace Catkin
{

/// Keeps the last 24 run times of each kind of each workspace; see the file comment.
class RunTimes
{
public:
    auto observe(const WorkspaceId &workspace, const KindId &kind, Micros time) -> void;

    /// @return the median of the last run times of this kind; if none is known, of all kinds; if there are none, one hour.
    [[nodiscard]] auto typical(const WorkspaceId &workspace, const KindId &kind) const -> Micros;

    /// @return the longest of the last run times of this kind, or nothing while fewer than 5 are known.
    [[nodiscard]] auto longest(const WorkspaceId &workspace, const KindId &kind) const -> std::optional<Micros>;

private:
    struct Ring
    {
        std::vector<Micros> times;
        std::size_t next = 0;
        Micros median{0};
        Micros largest{0};
    };

    static auto add(Ring &ring, Micros time) -> void;

    std::map<std::pair<WorkspaceId, KindId>, Ring> m_kinds;
    Ring m_all;
};

}

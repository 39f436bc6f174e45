#pragma once

/// Observed run times of jobs, by workspace and kind. Declared run times are far off, so they are not used.
///
/// @code
///   runTimes.observe(workspace, kind, Catkin::Seconds{5400});
///   if (auto upper = runTimes.upper(workspace, kind)) { ... }   // nearly all such jobs end within this time
/// @endcode

#include "util/ids.h"
#include "util/units.h"

#include <map>
#include <optional>
#include <vector>

namespace Catkin
{

/// Remembers the last run times of each kind; see the file comment.
class RunTimes
{
public:
    auto observe(const WorkspaceId &workspace, const KindId &kind, Micros time) -> void;

    /// @return the median of the last run times of this kind, else of all kinds, else one hour.
    [[nodiscard]] auto typical(const WorkspaceId &workspace, const KindId &kind) const -> Micros;

    /// @return the largest of the last run times of this kind; nothing before enough of them are known.
    [[nodiscard]] auto upper(const WorkspaceId &workspace, const KindId &kind) const -> std::optional<Micros>;

private:
    struct Ring
    {
        std::vector<Micros> times;
        std::size_t next = 0;
        Micros median{0};
        Micros largest{0};
    };

    static auto enter(Ring &ring, Micros time) -> void;

    std::map<std::pair<WorkspaceId, KindId>, Ring> m_kinds;
    Ring m_all;
};

}

#include "policy/runtimes.h"

#include <algorithm>

namespace Catkin
{

namespace
{

constexpr auto maxSamples = std::size_t{24};
/// With fewer samples the longest one is a poor bound for the next job.
constexpr auto minSamples = std::size_t{5};

}

auto RunTimes::add(Ring &ring, Micros time) -> void
{
    if (ring.times.size() < maxSamples) {
        ring.times.push_back(time);
    } else {
        ring.times[ring.next] = time;
        ring.next = (ring.next + 1) % maxSamples;
    }
    auto sorted = ring.times;
    std::sort(sorted.begin(), sorted.end());
    ring.median = sorted[sorted.size() / 2];
    ring.largest = sorted.back();
}

auto RunTimes::observe(const WorkspaceId &workspace, const KindId &kind, Micros time) -> void
{
    add(m_kinds[{workspace, kind}], time);
    add(m_all, time);
}

auto RunTimes::typical(const WorkspaceId &workspace, const KindId &kind) const -> Micros
{
    if (const auto it = m_kinds.find({workspace, kind}); it != m_kinds.end()) {
        return it->second.median;
    }
    return m_all.times.empty() ? Micros{Seconds{3600}} : m_all.median;
}

auto RunTimes::longest(const WorkspaceId &workspace, const KindId &kind) const -> std::optional<Micros>
{
    const auto it = m_kinds.find({workspace, kind});
    if (it == m_kinds.end() || it->second.times.size() < minSamples) {
        return std::nullopt;
    }
    return it->second.largest;
}

}

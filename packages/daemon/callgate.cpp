#include "daemon/callgate.h"

namespace Catkin
{

namespace
{

template<typename Map>
auto subtract(Map &map, const typename Map::key_type &key, std::int64_t bytes) -> void
{
    const auto it = map.find(key);
    it->second.bytes -= bytes;
    if (--it->second.calls == 0) {
        map.erase(it);
    }
}

template<typename Map>
auto usedBy(const Map &map, const typename Map::key_type &key) -> typename Map::mapped_type
{
    const auto it = map.find(key);
    return it == map.end() ? typename Map::mapped_type{} : it->second;
}

}

CallGate::Release::Release(WorkspaceId workspace, KindId kind, CallerId caller, Bytes bytes)
    : m_workspace(std::move(workspace))
    , m_kind(std::move(kind))
    , m_caller(std::move(caller))
    , m_bytes(bytes)
{
}

auto CallGate::Release::operator()(CallGate *gate) const -> void
{
    gate->leave(m_workspace, m_kind, m_caller, m_bytes);
}

CallGate::CallGate(const CallGateOptions &options)
    : m_options(options)
{
}

auto CallGate::fits(const Use &use, double part, std::int64_t bytes) const -> bool
{
    const auto freeCalls = m_options.callsAtMost - m_all.calls;
    const auto freeBytes = m_options.bytesAtMost.value - m_all.bytes;
    // A single call always fits an empty instance, whatever its size within the body limit.
    const auto bytesFit = use.bytes == 0 ? bytes <= freeBytes : static_cast<double>(use.bytes + bytes) <= part * static_cast<double>(freeBytes);
    return freeCalls > 0 && use.calls < part * freeCalls && bytesFit;
}

auto CallGate::enter(const WorkspaceId &workspace, const KindId &kind, const CallerId &caller, Bytes bytes) -> Pass
{
    const auto lock = std::lock_guard{m_mutex};
    const auto fit = fits(usedBy(m_workspaces, workspace), m_options.workspacePart, bytes.value)
                     && fits(usedBy(m_kinds, {workspace, kind}), m_options.kindPart, bytes.value)
                     && fits(usedBy(m_callers, {workspace, kind, caller}), m_options.callerPart, bytes.value);
    if (!fit) {
        return {};
    }
    for (auto *use : {&m_all, &m_workspaces[workspace], &m_kinds[{workspace, kind}], &m_callers[{workspace, kind, caller}]}) {
        ++use->calls;
        use->bytes += bytes.value;
    }
    return Pass{this, Release{workspace, kind, caller, bytes}};
}

auto CallGate::leave(const WorkspaceId &workspace, const KindId &kind, const CallerId &caller, Bytes bytes) -> void
{
    const auto lock = std::lock_guard{m_mutex};
    --m_all.calls;
    m_all.bytes -= bytes.value;
    subtract(m_workspaces, workspace, bytes.value);
    subtract(m_kinds, {workspace, kind}, bytes.value);
    subtract(m_callers, {workspace, kind, caller}, bytes.value);
}

auto CallGate::inProgress() const -> int
{
    const auto lock = std::lock_guard{m_mutex};
    return m_all.calls;
}

}

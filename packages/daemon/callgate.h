#pragma once

/// Bounds the calls that one instance works on at once, so that a flood cannot hold every connection thread.
///
/// A call that waits (for an executor, the log, a peer or a job) holds the thread of its connection. Without a bound one
/// kind's flood takes all threads, and others are turned away before any decision about fairness is made.
/// @code
///   auto gate = Catkin::CallGate{{.callsAtMost = 192}};
///   auto pass = gate.enter(workspace, kind, caller, bytes);
///   if (!pass) { ... }                    // refuse at once
///   // the call counts until pass is destroyed
/// @endcode
/// Each part is relative to what is still free: a (workspace, kind) may hold as many calls as are free, a caller half of
/// that and a workspace twice that. However many are flooded, some room is left for the others.

#include "util/ids.h"
#include "util/units.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <tuple>
#include <utility>

namespace Catkin
{

struct CallGateOptions
{
    int callsAtMost = 192;
    Bytes bytesAtMost{16 << 20}; ///< payloads of the calls
    double workspacePart = 2; ///< a workspace may hold this many times the free rest
    double kindPart = 1; ///< the same for a (workspace, kind)
    double callerPart = 0.5; ///< the same for a caller of a kind
};

/// Thread-safe; its mutex is never held together with another one.
class CallGate
{
public:
    class Release
    {
    public:
        Release() = default;
        Release(WorkspaceId workspace, KindId kind, CallerId caller, Bytes bytes);
        auto operator()(CallGate *gate) const -> void;

    private:
        WorkspaceId m_workspace;
        KindId m_kind;
        CallerId m_caller;
        Bytes m_bytes{0};
    };
    using Pass = std::unique_ptr<CallGate, Release>;

    explicit CallGate(const CallGateOptions &options);

    /// @param bytes payload that the call keeps in memory
    /// @return the pass of a call that may begin, or null when its workspace, kind or caller holds its part already.
    auto enter(const WorkspaceId &workspace, const KindId &kind, const CallerId &caller, Bytes bytes) -> Pass;

    /// @return the calls that hold a pass.
    [[nodiscard]] auto inProgress() const -> int;

private:
    struct Use
    {
        int calls = 0;
        std::int64_t bytes = 0;
    };
    using KindKey = std::pair<WorkspaceId, KindId>;
    using CallerKey = std::tuple<WorkspaceId, KindId, CallerId>;

    [[nodiscard]] auto fits(const Use &use, double part, std::int64_t bytes) const -> bool;
    auto leave(const WorkspaceId &workspace, const KindId &kind, const CallerId &caller, Bytes bytes) -> void;

    CallGateOptions m_options;
    mutable std::mutex m_mutex;
    Use m_all;
    std::map<WorkspaceId, Use> m_workspaces;
    std::map<KindKey, Use> m_kinds;
    std::map<CallerKey, Use> m_callers;
};

}

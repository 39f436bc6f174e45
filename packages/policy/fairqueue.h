#pragma once

/// Start-time fair queueing of requests in three levels: workspace, kind, caller.
///
/// Items are owned by the user of the queue, usually as a base of the queued object:
/// @code
///   struct Queued : Catkin::FairItem { ... };
///   auto &caller = queue.caller(workspace, kind, callerId);
///   queue.push(caller, item);
///   auto *item = queue.front();          // nothing changes yet
///   queue.take(*item);                   // leaves the queue, is charged its expected cost
///   queue.settle(*item, measured, now);  // replaces the expected by the measured cost
/// @endcode
/// At each level the child with the lowest start tag is served; its tag then grows by cost / weight. A child that
/// was idle starts at the level's virtual time, so it neither saves up service nor pays for capacity that nobody
/// else wanted.

#include "policy/requesttypes.h"

#include <boost/intrusive/list_hook.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace Catkin
{

struct FairNode;

/// Base of a queued object; must not be destroyed while queued or in service.
struct FairItem : boost::intrusive::list_base_hook<>
{
    FairNode *caller = nullptr;
    Micros expected{0}; ///< cost counted in the backlog, or charged once taken
    bool queued = false;
    bool inService = false;
};

/// Numbers that admission needs about one caller of one kind.
struct FairCallerState
{
    int queued = 0;
    int kindQueued = 0;
    int workspaceQueued = 0;
    Micros averageCost{0};
    bool crossRegion = false;
};

/// The queue; not thread-safe.
class FairQueue
{
public:
    explicit FairQueue(FairQueueOptions options);
    FairQueue(FairQueue &&) noexcept;
    auto operator=(FairQueue &&) noexcept -> FairQueue & = delete;
    ~FairQueue();

    /// Takes over weights and urgency; queued items keep their place.
    auto configure(const RequestConfig &config) -> void;

    /// Multiplies the configured weights of the workspaces until the next call or configure().
    /// @param factor for the name of a workspace
    auto scaleWeights(const std::function<double(const std::string &workspace)> &factor) -> void;

    /// @return the caller's queue, which stays valid while it holds items or has items in service, or until the next
    ///         call of caller().
    auto caller(const WorkspaceId &workspace, const KindId &kind, const CallerId &caller) -> FairNode &;

    /// Appends an item to a caller's queue, or puts it first (an item that was already served once).
    auto push(FairNode &caller, FairItem &item, bool first = false) -> void;
    /// @return the item to serve next, or null.
    [[nodiscard]] auto front() const -> FairItem *;
    /// @return the item to serve next among the kinds that may cross regions, or null. Cost: linear in the kinds with
    ///         queued items.
    [[nodiscard]] auto crossRegionFront() const -> FairItem *;
    /// @return whether both the item's kind in its workspace and its caller in that kind have their shares of @p slots in
    ///         service.
    [[nodiscard]] auto overShare(const FairItem &item, double slots) const -> bool;
    /// @return the first item, in serving order, that is not over its share, or null. Looks at the first
    ///         FairQueueOptions::lookAhead callers; those below their share have low start tags.
    [[nodiscard]] auto frontBelowShare(double slots) const -> FairItem *;
    /// Takes an item that is first in its caller's queue into service and charges its expected cost.
    auto take(FairItem &item) -> void;
    /// Removes a queued item, at no charge.
    auto remove(FairItem &item) -> void;
    /// Ends the service of an item and corrects the charge to the measured cost.
    /// @param measured zero for an attempt that did not run; the average then stays
    auto settle(FairItem &item, Micros measured, MonoTime now) -> void;

    /// @return the time that a new item of @p caller would wait for its service to start.
    /// @param slots requests that are served at the same time
    [[nodiscard]] auto expectedWait(const FairNode &caller, double slots, MonoTime now) const -> Micros;

    [[nodiscard]] auto state(const FairNode &caller) const -> FairCallerState;
    [[nodiscard]] auto queued() const -> int;
    [[nodiscard]] auto empty() const -> bool;
    /// Calls @p visit with every caller that has items queued or in service.
    auto forEachCaller(const std::function<void(const RequestQueueView &, const FairItem *first)> &visit) const -> void;

private:
    auto activate(FairNode &node) -> void;
    auto charge(FairNode &node, double cost) -> void;
    auto updateCounts(FairNode &node, int queued, int inService, Micros backlog) -> void;

    FairQueueOptions m_options;
    std::unique_ptr<FairNode> m_root;
    struct Idle;
    std::unique_ptr<Idle> m_idle; ///< callers without items, least recently used first
    std::uint64_t m_order = 0;
};

}

#pragma once

/// Start-time fair queueing of requests in three levels: workspace, kind, caller.
///
/// The user of the queue owns the items; FairItem is usually a base class of the queued object:
/// @code
///   struct Queued : Catkin::FairItem { ... };
///   auto &caller = queue.caller(workspace, kind, callerId);
///   queue.push(caller, item);
///   auto *item = queue.front();          // item to serve next; does not change the queue
///   queue.take(*item);                   // starts its service and charges the expected cost
///   queue.settle(*item, measured, now);  // ends its service and corrects the charge to the measured cost
/// @endcode
/// At each level the child with the lowest start tag is served; its tag then grows by cost / weight. A child that was idle
/// starts at the level's virtual time. So it saves up no service while idle, and it does not pay later for capacity that
/// no other child wanted.

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
    Micros expected{0}; ///< expected cost: counted in the backlog while queued, charged by take()
    bool queued = false;
    bool inService = false;
};

/// State of one caller of one kind that admission needs.
struct FairCallerState
{
    int queued = 0;
    int kindQueued = 0;
    int workspaceQueued = 0;
    Micros averageCost{0}; ///< of the caller, otherwise of the kind, otherwise FairQueueOptions::initialCost
    bool crossRegion = false;
};

/// Fair queue; not thread-safe.
class FairQueue
{
public:
    explicit FairQueue(FairQueueOptions options);
    FairQueue(FairQueue &&) noexcept;
    auto operator=(FairQueue &&) noexcept -> FairQueue & = delete;
    ~FairQueue();

    /// Applies the weights, urgency and region flags of a configuration; queued items keep their position.
    auto configure(const RequestConfig &config) -> void;

    /// Sets the weight of each workspace to its configured weight times a factor, until the next call or configure().
    /// @param factor returns the factor of the named workspace
    auto scaleWeights(const std::function<double(const std::string &workspace)> &factor) -> void;

    /// @return the caller's queue, created if necessary. It is valid while it has items queued or in service, and at least
    ///         until the next call of caller().
    auto caller(const WorkspaceId &workspace, const KindId &kind, const CallerId &caller) -> FairNode &;

    /// Appends an item to a caller's queue.
    /// @param first puts the item at the front instead, for an item that was in service before
    auto push(FairNode &caller, FairItem &item, bool first = false) -> void;
    /// @return the item to serve next, or null.
    [[nodiscard]] auto front() const -> FairItem *;
    /// @return the item to serve next among the kinds that may cross regions, or null. Cost: linear in the number of kinds
    ///         with queued items.
    [[nodiscard]] auto crossRegionFront() const -> FairItem *;
    /// @return whether one more item in service would exceed both the share of @p slots of the item's kind in its workspace
    ///         and the share of its caller in that kind.
    [[nodiscard]] auto overShare(const FairItem &item, double slots) const -> bool;
    /// @return the first item in serving order for which overShare() is false, or null. Searches only the first
    ///         FairQueueOptions::lookAhead callers, since callers below their share have low start tags.
    [[nodiscard]] auto frontBelowShare(double slots) const -> FairItem *;
    /// Takes an item that is first in its caller's queue into service and charges its expected cost.
    auto take(FairItem &item) -> void;
    /// Removes a queued item without a charge.
    auto remove(FairItem &item) -> void;
    /// Ends the service of an item and corrects the charge to the measured cost.
    /// @param measured zero for an attempt that did not run; the average cost then does not change
    auto settle(FairItem &item, Micros measured, MonoTime now) -> void;

    /// @return the time that a new item of @p caller would wait until its service starts.
    /// @param slots number of items in service at the same time
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

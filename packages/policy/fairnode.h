#pragma once

/// Tree nodes of FairQueue; internal to it.
///
/// @code
///   auto &next = *node.active->byStart.begin();   // child with the lowest start tag
/// @endcode

#include "policy/fairqueue.h"

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>

#include <string>
#include <unordered_map>
#include <utility>

namespace Catkin
{

namespace bi = boost::intrusive;

struct FairByStart;
struct FairUrgent;
struct FairIdle;

/// One workspace, kind or caller, or the root above the workspaces.
struct FairNode : bi::set_base_hook<bi::tag<FairByStart>>, bi::set_base_hook<bi::tag<FairUrgent>>, bi::list_base_hook<bi::tag<FairIdle>>
{
    struct StartKey
    {
        using type = std::pair<double, std::uint64_t>;
        auto operator()(const FairNode &node) const -> type
        {
            return {node.start, node.order};
        }
    };
    struct Active;

    FairNode();
    ~FairNode();
    FairNode(const FairNode &) = delete;
    auto operator=(const FairNode &) -> FairNode & = delete;
    FairNode(FairNode &&) = delete;
    auto operator=(FairNode &&) -> FairNode & = delete;

    /// @return whether items are queued or in service.
    [[nodiscard]] auto busy() const -> bool
    {
        return queued + inService > 0;
    }

    FairNode *parent = nullptr;
    std::string name;
    double weight = 1;
    double start = 0; ///< start tag while queued
    double finish = 0; ///< finish tag of the last charge
    double virtualTime = 0; ///< virtual time of the children's tags
    double busyWeight = 0; ///< sum of the weights of the busy children
    int busyChildren = 0;
    std::uint64_t order = 0; ///< breaks ties: nodes with equal start tags are served in the order in which the tags were set
    int queued = 0;
    int inService = 0;
    Micros backlog{0}; ///< expected cost of the queued items
    bool configured = true; ///< in the last configuration

    // Workspaces only.
    double configuredWeight = 1;
    double urgentShare = 0;
    double urgentCredit = 0; ///< cost of urgent items that may still be served ahead of their start tags
    // Kinds only.
    bool urgent = false;
    bool crossRegion = false;
    double windowCost = 0; ///< cost settled in the present window
    double rate = 0; ///< service rate measured in the last windows, in slots
    MonoTime windowStart;
    // Kinds and callers only.
    double averageCost = 0; ///< zero before the first measurement

    std::unique_ptr<Active> active; ///< children with queued items
    std::unordered_map<std::string, std::unique_ptr<FairNode>> children;
    bi::list<FairItem> items; ///< queued items; callers only
};

struct FairNode::Active
{
    bi::set<FairNode, bi::base_hook<bi::set_base_hook<bi::tag<FairByStart>>>, bi::key_of_value<FairNode::StartKey>> byStart;
    bi::set<FairNode, bi::base_hook<bi::set_base_hook<bi::tag<FairUrgent>>>, bi::key_of_value<FairNode::StartKey>> urgent;
};

inline FairNode::FairNode()
    : active(std::make_unique<Active>())
{
}

inline FairNode::~FairNode()
{
    active->byStart.clear();
    active->urgent.clear();
    items.clear();
}

}

#include "policy/fairnode.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace Catkin
{

namespace
{

/// Length of the windows in which service rates are measured. Rates of shorter windows are noisy; those of longer ones lag
/// behind a flood.
constexpr auto rateWindow = Millis{250};

auto asDouble(Micros cost) -> double
{
    return static_cast<double>(cost.count());
}

}

struct FairQueue::Idle
{
    bi::list<FairNode, bi::base_hook<bi::list_base_hook<bi::tag<FairIdle>>>> nodes;
};

namespace
{

/// Moves an active node to its new start tag.
auto reposition(FairNode &node, double start, std::uint64_t order) -> void
{
    auto &active = *node.parent->active;
    active.byStart.erase(active.byStart.iterator_to(node));
    if (node.urgent) {
        active.urgent.erase(active.urgent.iterator_to(node));
    }
    node.start = start;
    node.order = order;
    active.byStart.insert(node);
    if (node.urgent) {
        active.urgent.insert(node);
    }
}

auto deactivate(FairNode &node) -> void
{
    auto &active = *node.parent->active;
    active.byStart.erase(active.byStart.iterator_to(node));
    if (node.urgent) {
        active.urgent.erase(active.urgent.iterator_to(node));
    }
}

auto isActive(const FairNode &node) -> bool
{
    return static_cast<const bi::set_base_hook<bi::tag<FairByStart>> &>(node).is_linked();
}

auto child(FairNode &parent, const std::string &name) -> FairNode &
{
    const auto it = parent.children.find(name);
    if (it != parent.children.end()) {
        return *it->second;
    }
    auto node = std::make_unique<FairNode>();
    node->parent = &parent;
    node->name = name;
    return *parent.children.emplace(name, std::move(node)).first->second;
}

/// @return the first item of the caller to serve next in @p kind, which must be active.
auto firstItem(FairNode &kind) -> FairItem *
{
    return &kind.active->byStart.begin()->items.front();
}

/// @return the share of @p slots of a kind, by weight among the busy workspaces and the busy kinds of its workspace.
auto shareOf(const FairNode &kind, double slots) -> double
{
    auto fractionOf = [](const FairNode &node) {
        const auto others = node.parent->busyWeight - (node.busy() ? node.weight : 0);
        return node.weight / (node.weight + std::max(0.0, others));
    };
    const auto workspaceSlots = slots * fractionOf(*kind.parent);
    const auto share = workspaceSlots * fractionOf(kind);
    return kind.urgent ? std::max(share, workspaceSlots * kind.parent->urgentShare) : share;
}

/// @return whether the workspace has urgent items and the credit to serve them first.
auto urgentFirst(const FairNode &workspace) -> bool
{
    return workspace.urgentCredit > 0 && !workspace.active->urgent.empty();
}

}

FairQueue::FairQueue(FairQueueOptions options)
    : m_options(options)
    , m_root(std::make_unique<FairNode>())
    , m_idle(std::make_unique<Idle>())
{
}

FairQueue::FairQueue(FairQueue &&) noexcept = default;

FairQueue::~FairQueue()
{
    if (m_idle) {
        m_idle->nodes.clear();
    }
}

auto FairQueue::configure(const RequestConfig &config) -> void
{
    for (auto &[name, workspace] : m_root->children) {
        workspace->configured = false;
        for (auto &[kindName, kind] : workspace->children) {
            kind->configured = false;
        }
    }
    for (const auto &it : config.workspaces) {
        auto &workspace = child(*m_root, it.id.str());
        const auto isNew = workspace.children.empty();
        workspace.configured = true;
        workspace.configuredWeight = std::max(it.weight, 1e-6);
        workspace.weight = workspace.configuredWeight;
        workspace.urgentShare = std::clamp(it.urgentShare, 0.0, 1.0);
        if (isNew && workspace.urgentShare > 0) {
            workspace.urgentCredit = asDouble(m_options.urgentBurst);
        }
        for (const auto &k : config.kinds) {
            auto &kind = child(workspace, k.id.str());
            const auto urgent = k.urgency == RequestUrgency::Urgent;
            if (isActive(kind) && kind.urgent != urgent) {
                deactivate(kind);
                kind.urgent = urgent;
                workspace.active->byStart.insert(kind);
                if (urgent) {
                    workspace.active->urgent.insert(kind);
                }
            }
            kind.urgent = urgent;
            kind.configured = true;
            kind.crossRegion = k.crossRegion;
            kind.weight = std::max(k.weight, 1e-6);
        }
    }
    // Erases removed workspaces and kinds that are idle; busy ones are erased by a later call.
    m_root->busyWeight = 0;
    auto removeIfUnused = [this](FairNode &node) {
        if (node.configured || node.busy()) {
            return false;
        }
        m_idle->nodes.remove_if([&node](const FairNode &it) { return it.parent == &node || it.parent->parent == &node; });
        return true;
    };
    std::erase_if(m_root->children, [&](auto &it) { return removeIfUnused(*it.second); });
    for (auto &[name, workspace] : m_root->children) {
        std::erase_if(workspace->children, [&](auto &it) { return removeIfUnused(*it.second); });
        m_root->busyWeight += workspace->busy() ? workspace->weight : 0;
        workspace->busyWeight = 0;
        for (auto &[kindName, kind] : workspace->children) {
            workspace->busyWeight += kind->busy() ? kind->weight : 0;
        }
    }
}

auto FairQueue::scaleWeights(const std::function<double(const std::string &workspace)> &factor) -> void
{
    m_root->busyWeight = 0;
    for (auto &[name, workspace] : m_root->children) {
        workspace->weight = workspace->configuredWeight * factor(name);
        m_root->busyWeight += workspace->busy() ? workspace->weight : 0;
    }
}

auto FairQueue::caller(const WorkspaceId &workspace, const KindId &kind, const CallerId &caller) -> FairNode &
{
    // Clients choose the caller ids, so the number of idle callers kept is bounded.
    while (m_idle->nodes.size() > static_cast<std::size_t>(std::max(1, m_options.maxIdleCallers))) {
        auto &oldest = m_idle->nodes.front();
        m_idle->nodes.pop_front();
        oldest.parent->children.erase(oldest.parent->children.find(oldest.name));
    }
    auto &kindNode = child(child(*m_root, workspace.str()), kind.str());
    const auto it = kindNode.children.find(caller.str());
    if (it != kindNode.children.end()) {
        return *it->second;
    }
    auto &node = child(kindNode, caller.str());
    m_idle->nodes.push_back(node);
    return node;
}

auto FairQueue::updateCounts(FairNode &node, int queued, int inService, Micros backlog) -> void
{
    for (auto *it = &node; it != nullptr; it = it->parent) {
        const auto before = it->busy();
        it->queued += queued;
        it->inService += inService;
        it->backlog += backlog;
        if (it->parent != nullptr && before != it->busy()) {
            it->parent->busyWeight += before ? -it->weight : it->weight;
            it->parent->busyChildren += before ? -1 : 1;
        }
    }
    auto &idleHook = static_cast<bi::list_base_hook<bi::tag<FairIdle>> &>(node);
    if (node.busy() && idleHook.is_linked()) {
        m_idle->nodes.erase(m_idle->nodes.iterator_to(node));
    } else if (!node.busy() && !idleHook.is_linked()) {
        m_idle->nodes.push_back(node);
    }
}

auto FairQueue::activate(FairNode &node) -> void
{
    for (auto *it = &node; it->parent != nullptr && !isActive(*it); it = it->parent) {
        it->start = std::max(it->parent->virtualTime, it->finish);
        it->order = ++m_order;
        it->parent->active->byStart.insert(*it);
        if (it->urgent) {
            it->parent->active->urgent.insert(*it);
        }
    }
}

auto FairQueue::push(FairNode &caller, FairItem &item, bool first) -> void
{
    item.caller = &caller;
    item.queued = true;
    const auto &kind = *caller.parent;
    const auto average = caller.averageCost > 0 ? caller.averageCost : kind.averageCost;
    item.expected = average > 0 ? Micros{std::max<std::int64_t>(1, std::llround(average))} : m_options.initialCost;
    if (first) {
        caller.items.push_front(item);
    } else {
        caller.items.push_back(item);
    }
    updateCounts(caller, 1, 0, item.expected);
    activate(caller);
}

auto FairQueue::front() const -> FairItem *
{
    if (m_root->active->byStart.empty()) {
        return nullptr;
    }
    auto &workspace = *m_root->active->byStart.begin();
    return firstItem(urgentFirst(workspace) ? *workspace.active->urgent.begin() : *workspace.active->byStart.begin());
}

auto FairQueue::crossRegionFront() const -> FairItem *
{
    for (auto &workspace : m_root->active->byStart) {
        if (urgentFirst(workspace)) {
            for (auto &kind : workspace.active->urgent) {
                if (kind.crossRegion) {
                    return firstItem(kind);
                }
            }
        }
        for (auto &kind : workspace.active->byStart) {
            if (kind.crossRegion) {
                return firstItem(kind);
            }
        }
    }
    return nullptr;
}

auto FairQueue::overShare(const FairItem &item, double slots) const -> bool
{
    const auto &caller = *item.caller;
    const auto &kind = *caller.parent;
    const auto share = std::max(1.0, shareOf(kind, slots));
    return kind.inService + 1 > share && caller.inService + 1 > std::max(1.0, share / std::max(1, kind.busyChildren));
}

auto FairQueue::frontBelowShare(double slots) const -> FairItem *
{
    auto left = m_options.lookAhead;
    for (auto &workspace : m_root->active->byStart) {
        for (auto &kind : workspace.active->byStart) {
            for (auto &caller : kind.active->byStart) {
                auto *item = &caller.items.front();
                if (!overShare(*item, slots)) {
                    return item;
                }
                if (--left <= 0) {
                    return nullptr;
                }
            }
        }
    }
    return nullptr;
}

auto FairQueue::charge(FairNode &node, double cost) -> void
{
    auto &parent = *node.parent;
    // Uses the lowest start tag, not that of the served node: an urgent kind that is served out of turn must not advance the
    // virtual time of its siblings.
    parent.virtualTime = std::max(parent.virtualTime, parent.active->byStart.begin()->start);
    node.finish = node.start + cost / node.weight;
    if (node.queued > 0) {
        reposition(node, node.finish, ++m_order);
    } else {
        deactivate(node);
    }
}

auto FairQueue::take(FairItem &item) -> void
{
    auto &caller = *item.caller;
    auto &kind = *caller.parent;
    auto &workspace = *kind.parent;
    const auto cost = asDouble(item.expected);
    if (workspace.urgentShare > 0) {
        const auto outOfTurn = kind.urgent && &kind != &*workspace.active->byStart.begin();
        workspace.urgentCredit += workspace.urgentShare * cost - (outOfTurn ? cost : 0);
        workspace.urgentCredit = std::min(workspace.urgentCredit, asDouble(m_options.urgentBurst));
    }
    caller.items.erase(caller.items.iterator_to(item));
    item.queued = false;
    item.inService = true;
    updateCounts(caller, -1, 1, -item.expected);
    charge(caller, cost);
    charge(kind, cost);
    charge(workspace, cost);
}

auto FairQueue::remove(FairItem &item) -> void
{
    auto &caller = *item.caller;
    caller.items.erase(caller.items.iterator_to(item));
    item.queued = false;
    updateCounts(caller, -1, 0, -item.expected);
    for (auto *it = &caller; it->parent != nullptr && it->queued == 0; it = it->parent) {
        deactivate(*it);
    }
}

auto FairQueue::settle(FairItem &item, Micros measured, MonoTime now) -> void
{
    auto &caller = *item.caller;
    auto &kind = *caller.parent;
    auto &workspace = *kind.parent;
    const auto cost = asDouble(measured);
    const auto correction = cost - asDouble(item.expected);
    for (auto *it : {&caller, &kind, &workspace}) {
        // Bounded: otherwise many late corrections for work done on idle capacity would exclude a node from service.
        const auto maxDistance = asDouble(m_options.maxCorrection) / it->weight;
        const auto virtualTime = it->parent->virtualTime;
        auto corrected = [&](double tag) {
            return std::clamp(tag + correction / it->weight, std::min(tag, virtualTime - maxDistance), std::max(tag, virtualTime + maxDistance));
        };
        it->finish = corrected(it->finish);
        if (isActive(*it)) {
            reposition(*it, corrected(it->start), it->order);
        }
    }
    if (kind.urgent && workspace.urgentShare > 0) {
        workspace.urgentCredit = std::min(workspace.urgentCredit - std::max(0.0, correction) * (1 - workspace.urgentShare), //
                                          asDouble(m_options.urgentBurst));
    }
    if (measured > Micros{0}) {
        for (auto *it : {&caller, &kind}) {
            it->averageCost = it->averageCost > 0 ? it->averageCost + m_options.costSmoothing * (cost - it->averageCost) : cost;
        }
        if (now - kind.windowStart >= rateWindow) {
            const auto length = std::chrono::duration<double, std::micro>(now - kind.windowStart).count();
            const auto rate = kind.windowCost / length;
            kind.rate = now - kind.windowStart < 4 * rateWindow ? (kind.rate + rate) / 2 : rate;
            kind.windowStart = now;
            kind.windowCost = 0;
        }
        kind.windowCost += cost;
    }
    item.inService = false;
    updateCounts(caller, 0, -1, Micros{0});
}

auto FairQueue::expectedWait(const FairNode &caller, double slots, MonoTime now) const -> Micros
{
    const auto &kind = *caller.parent;
    if (kind.queued == 0 || slots <= 0) {
        return Micros{0};
    }
    auto kindSlots = shareOf(kind, slots);
    // Other kinds often leave part of their share unused. The rate measured in the last window includes the slots that the kind got in addition.
    if (now - kind.windowStart < 2 * rateWindow) {
        kindSlots = std::max(kindSlots, std::min(kind.rate, slots));
    }
    // All queued items of the kind are served first, but of each other caller no more than this caller itself has queued.
    const auto own = asDouble(caller.backlog) + (caller.averageCost > 0 ? caller.averageCost : asDouble(m_options.initialCost));
    const auto callers = kind.busyChildren + (caller.busy() ? 0 : 1);
    const auto ahead = std::min(asDouble(kind.backlog), own * callers);
    return Micros{std::llround(ahead / std::max(kindSlots, 1e-3))};
}

auto FairQueue::state(const FairNode &caller) const -> FairCallerState
{
    const auto &kind = *caller.parent;
    const auto average = caller.averageCost > 0 ? caller.averageCost : kind.averageCost;
    return {caller.queued, kind.queued, kind.parent->queued, average > 0 ? Micros{std::llround(average)} : m_options.initialCost, kind.crossRegion};
}

auto FairQueue::queued() const -> int
{
    return m_root->queued;
}

auto FairQueue::empty() const -> bool
{
    return m_root->queued == 0;
}

auto FairQueue::forEachCaller(const std::function<void(const RequestQueueView &, const FairItem *first)> &visit) const -> void
{
    for (const auto &[workspaceName, workspace] : m_root->children) {
        if (!workspace->busy()) {
            continue;
        }
        for (const auto &[kindName, kind] : workspace->children) {
            for (const auto &[callerName, caller] : kind->children) {
                if (caller->busy()) {
                    visit({WorkspaceId{workspaceName}, KindId{kindName}, CallerId{callerName}, caller->queued, state(*caller).averageCost, Millis{0}},
                          caller->items.empty() ? nullptr : &caller->items.front());
                }
            }
        }
    }
}

}

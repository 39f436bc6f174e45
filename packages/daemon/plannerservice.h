#pragma once

/// Runs a planner for each failure domain that this instance is to plan.
///
/// @code
///   auto planners = Catkin::PlannerService{context, [&](const FailureDomainId &domain) { return mesh.membership().planner(...) == self; }};
///   planners.workersChanged(view.workers);
///   planners.jobsChanged();
/// @endcode

#include "daemon/domainplanner.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace Catkin
{

/// What the heartbeats say about one planner.
struct PlannedDomain
{
    FailureDomainId domain;
    Generation generation;
};

class PlannerService
{
public:
    /// @param domain the failure domain
    /// @param region its region
    /// @return whether this instance is to plan @p domain
    using IsPlanner = std::function<bool(const FailureDomainId &domain, const RegionId &region)>;

    /// @param context PlannerContext::wake is set by this class
    PlannerService(PlannerContext context, IsPlanner isPlanner);
    ~PlannerService();
    PlannerService(const PlannerService &) = delete;
    auto operator=(const PlannerService &) -> PlannerService & = delete;

    auto workersChanged(const std::vector<ListedInstance> &workers) -> void;
    auto configChanged(std::shared_ptr<const ActiveConfig> config) -> void;
    auto jobsChanged() -> void;

    /// @return the failure domains that are planned here now.
    [[nodiscard]] auto planned() const -> std::vector<PlannedDomain>;

    /// @return the state of every planner, collected on the planner thread; empty when it does not answer within @p limit.
    auto views(Millis limit) -> std::vector<PlannerView>;

private:
    struct Domain
    {
        RegionId region;
        std::vector<ListedInstance> workers;
        std::shared_ptr<DomainPlanner> planner;
    };

    auto run() -> void;
    auto takeChanges() -> void;
    auto updateRoles() -> void;
    auto wake() -> void;

    PlannerContext m_context;
    IsPlanner m_isPlanner;
    std::map<FailureDomainId, Domain> m_domains; ///< planner thread only
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_woken = false;
    bool m_stopping = false;
    bool m_jobsChanged = false;
    std::shared_ptr<const std::vector<ListedInstance>> m_newWorkers;
    std::shared_ptr<const ActiveConfig> m_config;
    bool m_configChanged = false;
    std::vector<std::function<void()>> m_calls;
    std::vector<PlannedDomain> m_planned;
    MonoTime m_rolesDue{}; ///< next look at the roles; planner thread only
    std::thread m_thread;
};

}

#include "daemon/plannerview.h"

#include <doctest/doctest.h>

using namespace Catkin;

TEST_CASE("a job that cannot give way is told at submission when guarantees leave it no place")
{
    // Guards against accepting a job that is parked a minute later, on an instance that does not plan its failure domain.
    const auto domain = FailureDomainId{"oviedo"};
    auto fleet = FleetView{};
    for (auto i = 0; i < 2; ++i) {
        fleet.workers.push_back({.id = "w-" + std::to_string(i), .role = InstanceRole::Worker, .domain = domain, .rack = RackId{"r"}, .slots = 8});
    }
    auto document = ConfigDocument{};
    document.workspaces.push_back({.name = WorkspaceId{"gas"}, .guarantees = {{domain, SlotCount{8}, 1}}});
    document.workspaces.push_back({.name = WorkspaceId{"ski"}, .quotaSlots = SlotCount{12}});
    struct Case
    {
        const char *name;
        const char *workspace;
        int tasks;
        bool restartable;
        bool checkpointable;
        bool refused;
    };
    const auto cases = std::vector<Case>{
        {"beside the guarantee", "ski", 2, false, false, false},
        {"needs guaranteed slots", "ski", 3, false, false, true},
        {"a checkpoint does not make it restartable", "ski", 3, false, true, true},
        {"restartable work may borrow them", "ski", 3, true, false, false},
        {"within the own guarantee", "gas", 2, false, false, false},
        {"beyond the quota", "ski", 4, false, false, true},
    };
    for (const auto &it : cases) {
        CAPTURE(std::string{it.name});
        const auto spec = JobDescription{.id = JobId{"j"},
                                         .workspace = WorkspaceId{it.workspace},
                                         .domain = domain,
                                         .tasks = it.tasks,
                                         .slotsPerTask = SlotCount{4},
                                         .checkpointable = it.checkpointable,
                                         .restartable = it.restartable};
        CHECK(unschedulableReason(document, fleet, spec).has_value() == it.refused);
        auto elsewhere = spec;
        elsewhere.domain = FailureDomainId{"bilbao"};
        CHECK_FALSE(unschedulableReason(document, fleet, elsewhere).has_value()); // no worker is listed there
    }
}

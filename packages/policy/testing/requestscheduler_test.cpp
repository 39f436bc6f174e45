#include "policy/requestscheduler.h"

#include <doctest/doctest.h>

using namespace Catkin;

// Guards against a request that is accepted, dispatched and answered but still counted as in progress.
TEST_CASE("a request is queued, dispatched and finished")
{
    auto scheduler = RequestScheduler{{.domain = FailureDomainId{"oviedo"}, .region = RegionId{"cantabrico"}}, 1};
    const auto now = MonoTime{Seconds{100}};
    scheduler.configChanged({{{.id = WorkspaceId{"gas"}}}, {{.id = KindId{"route"}, .idempotent = true}}}, now);
    scheduler.executorsChanged({{ExecutorId{"e-1"}, "127.0.0.1:9000", FailureDomainId{"oviedo"}, RegionId{"cantabrico"}}}, now);
    scheduler.executorPolled(ExecutorId{"e-1"}, HealthSample{.slots = 8}, now);
    CHECK(scheduler.enqueue({WorkspaceId{"ski"}, CallerId{"c"}, KindId{"route"}, now + Seconds{1}}, now).refusal->reason == RefusalReason::UnknownWorkspace);
    const auto queued = scheduler.enqueue({WorkspaceId{"gas"}, CallerId{"c"}, KindId{"route"}, now + Seconds{1}}, now);
    REQUIRE_FALSE(queued.refusal);
    const auto step = scheduler.next(now);
    REQUIRE(std::holds_alternative<RequestDispatch>(step));
    CHECK(std::get<RequestDispatch>(step).address == "127.0.0.1:9000");
    CHECK(std::holds_alternative<RequestIdle>(scheduler.next(now)));
    const auto after = scheduler.completed(queued.number, DispatchOutcome::Answered, Micros{500}, now + Millis{1});
    REQUIRE(std::holds_alternative<RequestFinished>(after));
    CHECK(std::get<RequestFinished>(after).answered);
    CHECK(scheduler.figures().inFlight == 0);
}

#include "daemon/metrics.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>

using namespace Catkin;

namespace
{

auto allMatches(const std::string &text, const std::string &pattern) -> std::set<std::string>
{
    const auto regex = std::regex(pattern);
    auto names = std::set<std::string>{};
    for (auto it = std::sregex_iterator(text.begin(), text.end(), regex); it != std::sregex_iterator{}; ++it) {
        names.insert((*it)[1]);
    }
    return names;
}

/// Calls every function once, with the last constant of each enumeration, whose name is the first to be missing.
auto touchAll(Metrics &metrics) -> void
{
    const auto workspace = WorkspaceId{"w"};
    const auto kind = KindId{"k"};
    metrics.requestFinished(workspace, kind, MetricRequestResult::OutcomeUnknown, Micros{1});
    metrics.requestRefused(MetricRefusal::RetryBudget);
    metrics.requestDequeued(kind, Micros{1});
    metrics.retry(false);
    metrics.attemptStarted(AttemptMechanism::Ticket);
    metrics.executorCall(kind, ExecutorResult::Discarded, Micros{1});
    metrics.setQueue(workspace, 1);
    metrics.setExecutors(BackendState::Leaving, 1);
    metrics.jobEvent(workspace, JobEvent::Requeued);
    metrics.jobStarted(JobUrgency::Batch, Micros{1});
    metrics.jobPreempted(workspace);
    metrics.workerOrder(MetricOrderResult::Failed);
    metrics.setJobs(workspace, 1, 1);
    metrics.setWorkers(BackendState::Leaving, 1);
    metrics.setStoppingAttempts(1, Micros{1});
    metrics.setEvacuation(FailureDomainId{"d"}, true, 1);
    metrics.attemptsStopped("preempted", 1, 1.0);
    metrics.setPlanningPass({});
    metrics.setSlots(SlotState::Lost, SlotCount{1});
    metrics.logAppended(LogStream::Requests, AppendResult::Unknown, Micros{1});
    metrics.logRead(LogStream::Requests, 1);
    metrics.setLogAvailable(LogStream::Requests, true);
    metrics.configChanged(ConfigResult::Unknown);
    metrics.linkTraffic(MetricLinkClass::Payload, LinkDirection::Received, Bytes{1});
    metrics.linkRefused(MetricLinkClass::Payload);
    metrics.peerFramesRejected(true, 1);
    metrics.tlsHandshakeFailed(TlsListener::Operators);
    metrics.listenerClosed(ListenerKind::Callers, ListenerClose::SlowBody);
    metrics.sloObserved(workspace, kind, true);
    metrics.setSloTarget(workspace, kind, 99);
}

}

TEST_CASE("counters, gauges and histograms appear in the text format with their labels")
{
    auto metrics = Metrics{{}};
    metrics.requestFinished(WorkspaceId{"call-centre"}, KindId{"route"}, MetricRequestResult::OutcomeUnknown, Millis{20});
    metrics.linkTraffic(MetricLinkClass::Payload, LinkDirection::Sent, Bytes{1500});
    metrics.setConfig(ConfigVersion{17}, Seconds{2});
    metrics.attemptsStopped("preempted", 2, 6.5);
    metrics.attemptsStopped("preempted", 1, 0.25);
    metrics.setSloTarget(WorkspaceId{"call-centre"}, KindId{"route"}, 99.5);
    const auto text = metrics.text();
    for (const auto *expected : {"catkin_requests_total{kind=\"route\",result=\"outcome_unknown\",workspace=\"call-centre\"} 1",
                                 "catkin_request_seconds_bucket{kind=\"route\",workspace=\"call-centre\",le=\"0.025\"} 1",
                                 "catkin_link_bytes_total{class=\"payload\",direction=\"sent\"} 1500",
                                 "catkin_config_version 17",
                                 "catkin_pool_stops_total{cause=\"preempted\"} 3",
                                 "catkin_pool_lost_core_seconds_total{cause=\"preempted\"} 6.75",
                                 "catkin_slo_target_ratio{kind=\"route\",workspace=\"call-centre\"} 0.995"}) {
        CHECK_MESSAGE(text.find(expected) != std::string::npos, expected << " is missing in\n" << text);
    }
}

TEST_CASE("names above the bound share one series, so that memory stays bounded and no count is lost")
{
    auto metrics = Metrics{{.maxSeries = 8, .maxHistogramSeries = 4}};
    for (auto i = 0; i < 100; ++i) {
        metrics.sloObserved(WorkspaceId{"w" + std::to_string(i)}, KindId{"k"}, i % 2 == 0);
    }
    const auto text = metrics.text();
    CHECK(allMatches(text, "catkin_slo_requests_total\\{(.*)\\}").size() == 9);
    CHECK(text.find("catkin_slo_requests_total{kind=\"other\",workspace=\"other\"} 92") != std::string::npos);
    CHECK(text.find("catkin_slo_good_total{kind=\"other\",workspace=\"other\"} 46") != std::string::npos);
}

TEST_CASE("docs/metrics.md and docs/interfaces.md list exactly the metrics that the daemon exports")
{
    auto page = std::string{};
    SUBCASE("metrics.md")
    {
        page = "docs/metrics.md";
    }
    SUBCASE("interfaces.md")
    {
        page = "docs/interfaces.md";
    }
    auto in = std::ifstream(std::filesystem::path(CATKIN_SOURCE_DIR) / page);
    page = std::string(std::istreambuf_iterator<char>(in), {});
    const auto documented = allMatches(page, "\\| `(catkin_[a-z_]+)`");
    auto metrics = Metrics{{}};
    touchAll(metrics);
    const auto exported = allMatches(metrics.text(), "# HELP (catkin_[a-z_]+) ");
    CHECK(exported.size() > 40);
    for (const auto &name : exported) {
        CHECK_MESSAGE(documented.contains(name), name << " is not documented");
    }
    for (const auto &name : documented) {
        CHECK_MESSAGE(exported.contains(name), name << " is not exported");
    }
}

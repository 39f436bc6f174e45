#include "harness/poll.h"
#include "system/deployment.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

using namespace Catkin;
using nlohmann::json;

namespace
{

constexpr auto jobPoll = PollOptions{.tries = 1500};

/// @return the sum of all series of a metric whose labels contain @p labels, over all instances.
auto sumOf(Deployment &site, const std::string &metric, const std::string &labels = {}) -> double
{
    auto sum = 0.0;
    for (auto i = std::size_t{0}; i < site.entryCount(); ++i) {
        const auto reply = site.operate(i, "GET", "/metrics");
        REQUIRE(reply);
        auto lines = std::istringstream(reply.value().body);
        for (auto line = std::string{}; std::getline(lines, line);) {
            const auto name = line.substr(0, line.find_first_of("{ "));
            if (name == metric && line.find(labels) != std::string::npos) {
                sum += std::stod(line.substr(line.rfind(' ') + 1));
            }
        }
    }
    return sum;
}

auto documentedMetrics() -> std::vector<std::string>
{
    auto in = std::ifstream(std::filesystem::path(CATKIN_SOURCE_DIR) / "docs/metrics.md");
    auto names = std::vector<std::string>{};
    for (auto line = std::string{}; std::getline(in, line);) {
        const auto prefix = std::string("| `catkin_");
        if (line.starts_with(prefix)) {
            names.push_back(line.substr(3, line.find('`', 3) - 3));
        }
    }
    return names;
}

struct Expected
{
    const char *metric;
    const char *labels;
    double least; ///< lowest sum over all instances
};

}

// Guards against metrics that are exported and documented but fed by nothing.
TEST_CASE("requests and a job move the metrics of every instance that served them")
{
    auto site = Deployment{barilocheShape()};
    site.start();
    for (auto i = 0; i < 5; ++i) {
        const auto key = "booking-" + std::to_string(i);
        const auto sentMs = std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
        const auto payload = json{{"key", key}, {"busy_ms", 5}}.dump();
        CHECK(site.request(0, {.kind = "plan", .payload = payload}).result == CallResult::Answer);
        CHECK(site.request(1, {.kind = "book", .key = key, .firstSentMs = sentMs, .attempt = 1, .payload = payload}).result == CallResult::Answer);
    }
    (void)site.request(0, {.kind = "no-such-kind", .payload = "{}"});
    const auto stranger = httpExchange({.address = site.entry(0).callers, .method = "GET", .path = "/v1/jobs"});
    const auto job = site.submit(0,
                                 {{"kind", "simulate"},
                                  {"key", "sim-1"},
                                  {"tasks", 2},
                                  {"slots_per_task", 4},
                                  {"adjacency", "rack"},
                                  {"restartable", true},
                                  {"payload", json{{"key", "sim-1"}, {"run_ms", 300}}.dump()}});
    REQUIRE(stranger);
    CHECK(stranger.value().status == 401);
    REQUIRE(job);
    REQUIRE(eventually([&] { return site.jobState(0, *job) == "succeeded"; }, jobPoll));
    // The set-up applies the document and sends a few probes, so that these are lower bounds.
    const auto table = std::vector<Expected>{
        {"catkin_requests_total", "kind=\"plan\",result=\"answer\"", 5},
        {"catkin_requests_total", "kind=\"book\",result=\"answer\"", 5},
        {"catkin_request_seconds_count", "kind=\"book\"", 5},
        {"catkin_queue_wait_seconds_count", "kind=\"plan\"", 5},
        {"catkin_attempts_total", "mechanism=\"intent\"", 5},
        {"catkin_executor_calls_total", "result=\"answer\"", 10},
        {"catkin_executor_seconds_count", "", 10},
        {"catkin_refusals_total", "reason=\"bad_input\"", 1},
        {"catkin_refusals_total", "reason=\"unauthorized\"", 1},
        {"catkin_executors", "state=\"usable\"", 1},
        {"catkin_jobs_total", "event=\"accepted\"", 1},
        {"catkin_jobs_total", "event=\"started\"", 1},
        {"catkin_jobs_total", "event=\"succeeded\"", 1},
        {"catkin_job_wait_seconds_count", "urgency=\"normal\"", 1},
        {"catkin_gang_start_seconds_count", "", 1},
        {"catkin_placement_seconds_count", "", 1},
        {"catkin_worker_orders_total", "result=\"ok\"", 6},
        {"catkin_workers", "state=\"usable\"", 1},
        {"catkin_slots", "state=\"total\"", 8},
        {"catkin_slots", "state=\"free\"", 8},
        {"catkin_largest_free_block_slots", "", 8},
        {"catkin_planner", "", 2},
        {"catkin_log_appends_total", "stream=\"requests\"", 1},
        {"catkin_log_append_seconds_count", "stream=\"jobs\"", 1},
        {"catkin_log_records_read_total", "stream=\"config\"", 1},
        {"catkin_log_available", "stream=\"jobs\"", static_cast<double>(site.entryCount())},
        {"catkin_config_changes_total", "result=\"accepted\"", 1},
        {"catkin_config_version", "", static_cast<double>(site.entryCount())},
        {"catkin_link_bytes_total", "class=\"control\",direction=\"sent\"", 1},
        {"catkin_link_bytes_total", "class=\"control\",direction=\"received\"", 1},
        {"catkin_fresh_peers", "", 2},
        {"catkin_ready", "", static_cast<double>(site.entryCount())},
        {"catkin_process_cpu_seconds", "", 0.001},
        {"catkin_process_resident_bytes", "", 1 << 20U},
        {"catkin_slo_requests_total", "kind=\"plan\"", 5},
        {"catkin_slo_good_total", "kind=\"plan\"", 1},
        {"catkin_slo_target_ratio", "kind=\"plan\"", 0.99},
    };
    for (const auto &it : table) {
        // Gauges of slots follow the workers' next poll.
        auto sum = 0.0;
        const auto moved = eventually([&] { return (sum = sumOf(site, it.metric, it.labels)) >= it.least; }, {.tries = 100});
        CHECK_MESSAGE(moved, it.metric << " " << it.labels << " is " << sum << ", expected at least " << it.least);
    }
    CHECK(sumOf(site, "catkin_draining") == 0);
    const auto page = site.operate(0, "GET", "/metrics").value().body;
    const auto names = documentedMetrics();
    CHECK(names.size() > 40);
    for (const auto &name : names) {
        CHECK_MESSAGE(page.find("# HELP " + name + " ") != std::string::npos, name << " is documented but does not appear");
    }
}

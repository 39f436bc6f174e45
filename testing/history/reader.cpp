#include "history/reader.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <map>
#include <sstream>
#include <utility>
#include <vector>

namespace Catkin
{

namespace
{

using nlohmann::json;

/// @return the events of a history in either form; throws json::exception for anything else.
auto eventsOf(const std::string &text) -> std::vector<json>
{
    const auto whole = json::parse(text, nullptr, false);
    if (whole.is_object() && whole.contains("events")) {
        return whole.at("events").get<std::vector<json>>();
    }
    auto events = std::vector<json>{};
    auto lines = std::istringstream(text);
    for (auto line = std::string{}; std::getline(lines, line);) {
        auto event = json::parse(line, nullptr, false);
        // A killed process can leave half a line at the end.
        if (event.is_discarded() && lines.eof()) {
            break;
        }
        event.at("event").get<std::string>();
        events.push_back(std::move(event));
    }
    return events;
}

auto keyOf(const json &event) -> std::string
{
    const auto it = event.find("key");
    if (it == event.end()) {
        return {};
    }
    return it->is_string() ? it->get<std::string>() : it->dump();
}

auto readLeaving(const std::string &server, const std::vector<json> &events, std::int64_t endMs, History &history) -> void
{
    auto fromMs = std::int64_t{-1};
    for (const auto &it : events) {
        const auto timeMs = it.at("time_ms").get<std::int64_t>();
        if (it.at("event") == "leaving" && fromMs < 0) {
            fromMs = timeMs;
        } else if (it.at("event") == "staying" && fromMs >= 0) {
            history.leaving.push_back({.server = server, .fromMs = fromMs, .toMs = timeMs});
            fromMs = -1;
        }
    }
    if (fromMs >= 0) {
        history.leaving.push_back({.server = server, .fromMs = fromMs, .toMs = endMs});
    }
}

auto makeRun(const std::string &server, const json &event, std::int64_t endMs) -> TaskRun
{
    return {
        .server = server,
        .key = keyOf(event),
        .job = event.at("job").get<std::string>(),
        .attempt = event.at("attempt").get<std::int64_t>(),
        .member = event.at("member").get<std::int64_t>(),
        .startMs = event.at("time_ms").get<std::int64_t>(),
        .endMs = endMs,
    };
}

auto readTasks(const std::string &server, const std::vector<json> &events, std::int64_t endMs, History &history) -> void
{
    // A lease id names one task on one worker, also across restarts.
    auto runs = std::map<std::string, TaskRun>{};
    auto leases = std::map<std::string, LeaseSpan>{};
    for (const auto &it : events) {
        const auto event = it.at("event").get<std::string>();
        const auto timeMs = it.at("time_ms").get<std::int64_t>();
        if (event == "leaving" || event == "staying") {
            continue;
        }
        const auto lease = it.at("boot").get<std::string>() + "/" + it.at("lease").get<std::string>();
        if (event == "reserve") {
            leases[lease] = {.worker = server, .lease = lease, .slots = it.at("slots").get<std::vector<int>>(), .fromMs = timeMs, .toMs = endMs};
        } else if (event == "free") {
            leases[lease].toMs = timeMs;
        } else if (event == "start") {
            runs[lease] = makeRun(server, it, endMs);
        } else if (event == "end") {
            runs[lease].endMs = timeMs;
            runs[lease].finished = it.at("exit") == "ok";
        }
    }
    for (const auto &[id, run] : runs) {
        history.runs.push_back(run);
    }
    for (const auto &[id, lease] : leases) {
        history.leases.push_back(lease);
    }
}

auto digestOf(const std::string &text) -> std::string
{
    auto buf = std::array<char, 17>{};
    std::snprintf(buf.data(), buf.size(), "%016llx", static_cast<unsigned long long>(XXH64(text.data(), text.size(), 0)));
    return buf.data();
}

}

auto readExecutor(const std::string &server, const std::string &text, std::int64_t endMs, History &history) -> bool
{
    try {
        const auto events = eventsOf(text);
        for (const auto &it : events) {
            if (it.at("event") == "start") {
                history.executions.push_back({.server = server, .key = keyOf(it), .startMs = it.at("time_ms").get<std::int64_t>()});
            }
        }
        readLeaving(server, events, endMs, history);
        return true;
    } catch (const json::exception &) {
        return false;
    }
}

auto readWorker(const std::string &server, const std::string &text, std::int64_t endMs, History &history) -> bool
{
    try {
        const auto events = eventsOf(text);
        readTasks(server, events, endMs, history);
        readLeaving(server, events, endMs, history);
        return true;
    } catch (const json::exception &) {
        return false;
    }
}

auto isStandinAnswer(const std::string &payload, const std::string &answer) -> bool
{
    const auto fields = json::parse(answer, nullptr, false);
    return fields.is_object() && fields.value("digest", json()) == digestOf(payload) && fields.value("bytes", json()) == payload.size();
}

auto historyNowMs() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

}

// Stand-in of the platform: the log and the instance list; docs/interfaces.md describes its interface.

#include "standins/standinargs.h"

#include "util/digest.h"

#include <chrono>
#include <stdexcept>
#include <utility>
#include <vector>

using namespace Catkin;
using nlohmann::json;

namespace
{

constexpr auto maxRecordsPerAppend = std::size_t{1000};
constexpr auto maxRecordBytes = std::size_t{1} << 20U;
constexpr auto maxPage = std::int64_t{1000};
constexpr auto maxWaitMs = std::int64_t{30000};

struct Record
{
    std::int64_t timeMs = 0; ///< wall clock
    std::string data;
};

struct Stream
{
    std::int64_t first = 0; ///< offset of the first retained record
    std::deque<Record> records;
};

/// A change of the instance list; a null entry removes the instance.
struct ListChange
{
    std::int64_t atMs = 0;
    std::string id;
    json entry;
};

struct Platform
{
    explicit Platform(std::size_t threads)
        : server(threads)
    {
    }

    FaultServer server;
    std::mutex mutex;
    std::condition_variable appended;
    std::map<std::string, Stream> streams;
    std::vector<ListChange> changes;
    std::int64_t retentionMs = 0; ///< 0 keeps every record
    std::int64_t listLagMs = 0;
};

auto wallMs() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

auto applyRetention(const Platform &platform, Stream &stream) -> void
{
    const auto oldest = wallMs() - platform.retentionMs;
    while (platform.retentionMs > 0 && !stream.records.empty() && stream.records.front().timeMs < oldest) {
        stream.records.pop_front();
        ++stream.first;
    }
}

/// @return why @p body is not an append; empty when it is one.
auto appendError(const json &body) -> std::string
{
    if (!body.is_object() || !body.contains("records") || !body["records"].is_array()) {
        return "the body is not an object with an array 'records'";
    }
    const auto &records = body["records"];
    if (records.empty() || records.size() > maxRecordsPerAppend) {
        return "'records' has not 1 to 1000 entries";
    }
    for (const auto &it : records) {
        if (!it.is_string() || it.get_ref<const std::string &>().size() > maxRecordBytes) {
            return "a record is not a string of at most 1 MiB";
        }
    }
    return {};
}

auto append(Platform &platform, const httplib::Request &req, httplib::Response &res) -> void
{
    const auto body = json::parse(req.body, nullptr, false);
    const auto error = appendError(body);
    if (!error.empty()) {
        badRequest(res, error);
        return;
    }
    const auto name = req.matches[1].str();
    auto lock = std::unique_lock{platform.mutex};
    auto &stream = platform.streams[name];
    const auto first = stream.first + static_cast<std::int64_t>(stream.records.size());
    for (const auto &it : body["records"]) {
        stream.records.push_back({.timeMs = wallMs(), .data = it.get<std::string>()});
    }
    applyRetention(platform, stream);
    platform.appended.notify_all();
    lock.unlock();
    platform.server.record({{"event", "append"}, {"stream", name}, {"first_offset", first}, {"count", body["records"].size()}, {"bytes", req.body.size()}});
    res.set_content(json{{"first_offset", first}}.dump(), "application/json");
}

auto numberParam(const httplib::Request &req, const char *name, std::int64_t otherwise) -> std::int64_t
{
    if (!req.has_param(name)) {
        return otherwise;
    }
    const auto text = req.get_param_value(name);
    auto used = std::size_t{0};
    const auto n = std::stoll(text, &used);
    if (used != text.size() || n < 0) {
        throw std::invalid_argument("not a number from 0");
    }
    return n;
}

auto readPage(Platform &platform, const std::string &name, std::int64_t from, std::int64_t limit, std::int64_t waitMs) -> json
{
    auto lock = std::unique_lock{platform.mutex};
    const auto end = [&] { return platform.streams[name].first + static_cast<std::int64_t>(platform.streams[name].records.size()); };
    platform.appended.wait_for(lock, std::chrono::milliseconds{waitMs}, [&] { return end() > from; });
    auto &stream = platform.streams[name];
    applyRetention(platform, stream);
    auto next = std::min(std::max(from, stream.first), end());
    auto records = json::array();
    for (; next < end() && static_cast<std::int64_t>(records.size()) < limit; ++next) {
        const auto &it = stream.records[static_cast<std::size_t>(next - stream.first)];
        records.push_back({{"offset", next}, {"time_ms", it.timeMs}, {"data", it.data}});
    }
    return {{"first", stream.first}, {"next", next}, {"records", records}};
}

auto read(Platform &platform, const httplib::Request &req, httplib::Response &res) -> void
{
    auto page = json{};
    try {
        const auto limit = std::clamp(numberParam(req, "limit", 100), std::int64_t{1}, maxPage);
        const auto waitMs = std::min(numberParam(req, "wait_ms", 0), maxWaitMs);
        page = readPage(platform, req.matches[1].str(), numberParam(req, "from", 0), limit, waitMs);
    } catch (const std::logic_error &) {
        badRequest(res, "from, limit and wait_ms are numbers from 0");
        return;
    }
    res.set_content(page.dump(-1, ' ', false, json::error_handler_t::replace), "application/json");
}

/// @return the entries as they were @p lagMs ago.
auto listedAt(const Platform &platform, std::int64_t lagMs) -> std::map<std::string, json>
{
    auto entries = std::map<std::string, json>{};
    const auto until = monotonicMs() - lagMs;
    for (const auto &it : platform.changes) {
        if (it.atMs > until) {
            break;
        }
        if (it.entry.is_null()) {
            entries.erase(it.id);
        } else {
            entries[it.id] = it.entry;
        }
    }
    return entries;
}

auto list(Platform &platform, const httplib::Request &req, httplib::Response &res) -> void
{
    const auto lock = std::lock_guard{platform.mutex};
    auto instances = json::array();
    for (const auto &[id, entry] : listedAt(platform, platform.listLagMs)) {
        instances.push_back(entry);
    }
    const auto text = json{{"instances", instances}}.dump();
    if (!unchanged(xxh64Hex(text), req, res)) {
        res.set_content(text, "application/json");
    }
}

auto registerInstance(Platform &platform, const json &given) -> void
{
    auto entry = json{{"rack", ""}, {"peer_address", ""}, {"state", "live"}};
    entry.update(given);
    for (const auto *name : {"id", "role", "domain", "region", "rack", "address", "peer_address", "state"}) {
        if (!entry.contains(name) || !entry[name].is_string()) {
            throw std::invalid_argument(std::string("an instance needs the string '") + name + "'");
        }
    }
    const auto lock = std::lock_guard{platform.mutex};
    platform.changes.push_back({.atMs = monotonicMs(), .id = entry["id"], .entry = entry});
}

auto setState(Platform &platform, const json &given) -> void
{
    const auto lock = std::lock_guard{platform.mutex};
    const auto id = given.at("id").get<std::string>();
    auto entries = listedAt(platform, 0);
    if (entries.count(id) == 0) {
        throw std::invalid_argument("no instance '" + id + "'");
    }
    entries[id]["state"] = given.at("state").get<std::string>();
    platform.changes.push_back({.atMs = monotonicMs(), .id = id, .entry = entries[id]});
}

/// Applies @p change to one value or to each element of an array.
auto forEach(const json &value, const std::function<void(const json &)> &change) -> void
{
    if (!value.is_array()) {
        change(value);
        return;
    }
    for (const auto &it : value) {
        change(it);
    }
}

auto dropBefore(Platform &platform, const json &given) -> void
{
    const auto lock = std::lock_guard{platform.mutex};
    auto &stream = platform.streams[given.at("stream").get<std::string>()];
    while (!stream.records.empty() && stream.first < given.at("offset").get<std::int64_t>()) {
        stream.records.pop_front();
        ++stream.first;
    }
}

auto addRoutes(Platform &platform) -> void
{
    const auto records = std::string("/v1/streams/([A-Za-z0-9_-]{1,64})/records");
    platform.server.route("POST", records, [&](const httplib::Request &req, httplib::Response &res) { append(platform, req, res); });
    platform.server.route("GET", records, [&](const httplib::Request &req, httplib::Response &res) { read(platform, req, res); });
    platform.server.route("GET", "/v1/instances", [&](const httplib::Request &req, httplib::Response &res) { list(platform, req, res); });
    platform.server.onControl("register", [&](const json &value) { forEach(value, [&](const json &it) { registerInstance(platform, it); }); });
    platform.server.onControl("set_state", [&](const json &value) { forEach(value, [&](const json &it) { setState(platform, it); }); });
    platform.server.onControl("unregister", [&](const json &value) {
        forEach(value, [&](const json &it) {
            const auto lock = std::lock_guard{platform.mutex};
            platform.changes.push_back({.atMs = monotonicMs(), .id = it.get<std::string>(), .entry = {}});
        });
    });
    platform.server.onControl("drop_before", [&](const json &value) { dropBefore(platform, value); });
    platform.server.onControl("retention_ms", [&](const json &value) {
        const auto lock = std::lock_guard{platform.mutex};
        platform.retentionMs = value.get<std::int64_t>();
    });
    platform.server.onControl("list_lag_ms", [&](const json &value) {
        const auto lock = std::lock_guard{platform.mutex};
        platform.listLagMs = value.get<std::int64_t>();
    });
}

}

auto main(int argc, char **argv) -> int
{
    auto cmd = TCLAP::CmdLine("platform stand-in");
    auto args = StandinArgs(cmd, 64);
    auto retention = TCLAP::ValueArg<std::int64_t>("", "retention-ms", "age at which a record is dropped; 0 keeps all", false, 0, "ms", cmd);
    auto lag = TCLAP::ValueArg<std::int64_t>("", "list-lag-ms", "age of the instance list that is shown", false, 0, "ms", cmd);
    cmd.parse(argc, argv);

    auto platform = Platform{static_cast<std::size_t>(args.threads.getValue())};
    platform.retentionMs = retention.getValue();
    platform.listLagMs = lag.getValue();
    addRoutes(platform);
    return platform.server.run(args.serverOptions());
}

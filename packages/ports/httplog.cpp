#include "ports/httplog.h"

#include "ports/httpclient.h"
#include "util/jsonnumbers.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace Catkin
{

namespace
{

using nlohmann::json;

constexpr auto statusOk = 200;
constexpr auto pageShrink = 8;
constexpr auto maxPageBytes = std::size_t{16} << 20U;
/// Refusals by which the log says that it holds none of the records. Other statuses may come from something between,
/// after the append took effect: 408 and 5xx from a gateway, 3xx from a redirect.
constexpr auto refusals = std::array<int, 7>{400, 401, 403, 404, 409, 413, 429};

auto append(const HttpLogOptions &options, const std::string &stream, const std::vector<std::string> &records) -> Result<LogOffset>
{
    auto text = std::string{};
    try {
        text = json{{"records", records}}.dump();
    } catch (const json::type_error &e) {
        return failure(ErrorCode::InvalidInput, "append to " + stream + ": a record is not UTF-8: " + e.what());
    }
    auto reply = httpExchange({
        .address = options.address,
        .method = "POST",
        .path = "/v1/streams/" + stream + "/records",
        .body = std::move(text),
        .connectTimeout = options.connectTimeout,
        .timeout = options.timeout,
        .tls = options.tls,
    });
    if (!reply) {
        return failure(hadNoEffect(reply.error()) ? ErrorCode::NotSent : ErrorCode::Unknown, "append to " + stream + ": " + reply.error().message);
    }
    const auto status = reply.value().status;
    if (status != statusOk) {
        const auto refused = std::find(refusals.begin(), refusals.end(), status) != refusals.end();
        return failure(refused ? ErrorCode::NotSent : ErrorCode::Unknown, "append to " + stream + ": status " + std::to_string(status));
    }
    const auto body = json::parse(reply.value().body, nullptr, false);
    try {
        return LogOffset{intField(body, "first_offset")};
    } catch (const json::exception &e) {
        return failure(ErrorCode::Unknown, "append to " + stream + ": " + e.what());
    }
}

/// A page that belongs to another read, or that leaves records out, would be folded into a wrong state.
auto isRunFrom(const LogPage &page, LogOffset from) -> bool
{
    auto expected = std::max(from, page.first);
    for (const auto &it : page.records) {
        if (it.offset != expected) {
            return false;
        }
        ++expected;
    }
    return page.records.empty() || page.next == expected;
}

auto decodePage(const std::string &text, LogOffset from) -> Result<LogPage>
{
    const auto body = json::parse(text, nullptr, false);
    try {
        auto page = LogPage{.first = {intField(body, "first")}, .next = {intField(body, "next")}, .records = {}};
        for (const auto &it : body.at("records")) {
            page.records.push_back({
                .offset = {intField(it, "offset")},
                .time = WallTime{Millis{intField(it, "time_ms")}},
                .data = it.at("data").get<std::string>(),
            });
        }
        if (!isRunFrom(page, from)) {
            return failure(ErrorCode::Protocol, "log page: the records are not those from the offset asked for");
        }
        return page;
    } catch (const json::exception &e) {
        return failure(ErrorCode::Protocol, std::string("log page: ") + e.what());
    }
}

auto readOnce(const HttpLogOptions &options, const std::string &stream, LogOffset from, int limit, Millis wait) -> Result<HttpReply>
{
    return httpExchange({
        .address = options.address,
        .method = "GET",
        .path = "/v1/streams/" + stream + "/records?from=" + std::to_string(from.value) + "&limit=" + std::to_string(limit)
                + "&wait_ms=" + std::to_string(wait.count()),
        .connectTimeout = options.connectTimeout,
        .timeout = options.timeout + wait,
        .maxBody = maxPageBytes,
        .tls = options.tls,
    });
}

auto read(const HttpLogOptions &options, const std::string &stream, LogOffset from, int limit, Millis wait) -> Result<LogPage>
{
    auto reply = readOnce(options, stream, from, limit, wait);
    // Large records can make a page longer than accepted; the reader must still get past them.
    while (!reply && reply.error().code == ErrorCode::Limit && limit > 1) {
        limit = std::max(limit / pageShrink, 1);
        reply = readOnce(options, stream, from, limit, wait);
    }
    if (!reply) {
        return failure(ErrorCode::Unavailable, "read of " + stream + ": " + reply.error().message);
    }
    if (reply.value().status != statusOk) {
        return failure(ErrorCode::Unavailable, "read of " + stream + ": status " + std::to_string(reply.value().status));
    }
    return decodePage(reply.value().body, from);
}

}

auto makeHttpLog(const HttpLogOptions &options) -> LogPort
{
    return {
        .append = [options](const std::string &stream, const std::vector<std::string> &records) { return append(options, stream, records); },
        .read = [options](const std::string &stream, LogOffset from, int limit, Millis wait) { return read(options, stream, from, limit, wait); },
    };
}

}

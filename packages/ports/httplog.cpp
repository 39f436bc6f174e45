#include "ports/httplog.h"

#include "ports/httpclient.h"

#include <nlohmann/json.hpp>

namespace Catkin
{

namespace
{

using nlohmann::json;

constexpr auto statusOk = 200;
constexpr auto firstServerError = 500;

auto append(const HttpLogOptions &options, const std::string &stream, const std::vector<std::string> &records) -> Result<LogOffset>
{
    auto reply = httpExchange({
        .address = options.address,
        .method = "POST",
        .path = "/v1/streams/" + stream + "/records",
        .body = json{{"records", records}}.dump(-1, ' ', false, json::error_handler_t::replace),
        .connectTimeout = options.connectTimeout,
        .timeout = options.timeout,
    });
    if (!reply) {
        const auto notSent = reply.error().code == ErrorCode::NotSent;
        return failure(notSent ? ErrorCode::NotSent : ErrorCode::Unknown, "append to " + stream + ": " + reply.error().message);
    }
    const auto status = reply.value().status;
    if (status != statusOk) {
        // A 4xx is the log's own refusal. A 5xx may come from something in front of it after the append took effect.
        const auto code = status >= firstServerError ? ErrorCode::Unknown : ErrorCode::NotSent;
        return failure(code, "append to " + stream + ": status " + std::to_string(status));
    }
    const auto body = json::parse(reply.value().body, nullptr, false);
    if (!body.is_object() || !body.contains("first_offset") || !body["first_offset"].is_number_integer()) {
        return failure(ErrorCode::Unknown, "append to " + stream + ": the answer has no first_offset");
    }
    return LogOffset{body["first_offset"].get<std::int64_t>()};
}

auto decodePage(const std::string &text) -> Result<LogPage>
{
    const auto body = json::parse(text, nullptr, false);
    try {
        auto page = LogPage{.first = {body.at("first").get<std::int64_t>()}, .next = {body.at("next").get<std::int64_t>()}, .records = {}};
        for (const auto &it : body.at("records")) {
            page.records.push_back({
                .offset = {it.at("offset").get<std::int64_t>()},
                .time = WallTime{Millis{it.at("time_ms").get<std::int64_t>()}},
                .data = it.at("data").get<std::string>(),
            });
        }
        return page;
    } catch (const json::exception &e) {
        return failure(ErrorCode::Protocol, std::string("log page: ") + e.what());
    }
}

auto read(const HttpLogOptions &options, const std::string &stream, LogOffset from, int limit, Millis wait) -> Result<LogPage>
{
    auto reply = httpExchange({
        .address = options.address,
        .method = "GET",
        .path = "/v1/streams/" + stream + "/records?from=" + std::to_string(from.value) + "&limit=" + std::to_string(limit)
                + "&wait_ms=" + std::to_string(wait.count()),
        .connectTimeout = options.connectTimeout,
        .timeout = options.timeout + wait,
        .maxBody = std::size_t{16} << 20U,
    });
    if (!reply) {
        return failure(ErrorCode::Unavailable, "read of " + stream + ": " + reply.error().message);
    }
    if (reply.value().status != statusOk) {
        return failure(ErrorCode::Unavailable, "read of " + stream + ": status " + std::to_string(reply.value().status));
    }
    return decodePage(reply.value().body);
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

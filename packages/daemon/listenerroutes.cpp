#include "daemon/listenerroutes.h"

#include <utility>

namespace Catkin
{

namespace
{

/// Its expression would be matched by a recursion over the whole path.
constexpr auto anyPath = ".*";
constexpr auto specialCharacters = ".*+?()[]{}|^$\\";
constexpr auto unavailable = 503;
constexpr auto internalError = 500;

auto matches(const ListenerRoute &route, HttpRequest &request) -> bool
{
    if (route.isPlain) {
        return request.path == route.pattern;
    }
    if (route.pattern == anyPath && request.path.find_first_of("\r\n") == std::string::npos) {
        return true;
    }
    auto found = std::smatch{};
    if (!std::regex_match(request.path, found, route.expression)) {
        return false;
    }
    for (auto i = std::size_t{1}; i < found.size(); ++i) {
        request.matches.push_back(found[i].str());
    }
    return true;
}

}

auto ListenerRoutes::add(const std::string &method, const std::string &pattern, bool isForm, HttpListener::Handler handler) -> void
{
    m_routes.push_back({.method = method,
                        .pattern = pattern,
                        .expression = std::regex{pattern},
                        .isPlain = pattern.find_first_of(specialCharacters) == std::string::npos,
                        .isForm = isForm,
                        .handler = std::move(handler)});
}

auto ListenerRoutes::find(HttpRequest &request) const -> const ListenerRoute *
{
    const auto method = request.method == "HEAD" ? std::string{"GET"} : request.method;
    for (const auto &it : m_routes) {
        if (it.method == method && matches(it, request)) {
            return &it;
        }
    }
    return nullptr;
}

auto failureBody(const std::string &result, const std::string &reason, Millis retryAfter) -> std::string
{
    return R"({"config_version":0,"reason":")" + reason + R"(","request_id":"","result":")" + result + R"(","retry_after_ms":)"
           + std::to_string(retryAfter.count()) + "}\n";
}

auto notRunAnswer(int status, const std::string &reason) -> HttpResponse
{
    return {.status = status, .body = failureBody("not_run", reason)};
}

auto overflowAnswer() -> HttpResponse
{
    constexpr auto retryAfter = Millis{1'000};
    // An earlier attempt of the call's key cannot be excluded.
    return {.status = unavailable,
            .body = failureBody("outcome_unknown", "too many connections; this call did not run", retryAfter),
            .headers = {{"Retry-After", "1"}}};
}

auto handlerFailedAnswer() -> HttpResponse
{
    return {.status = internalError, .body = failureBody("outcome_unknown", "internal error")};
}

}

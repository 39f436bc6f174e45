#pragma once

/// The routes of a listener and the answers that it gives by itself.

#include "daemon/httplistener.h"

#include <regex>
#include <string>
#include <vector>

namespace Catkin
{

struct ListenerRoute
{
    std::string method;
    std::string pattern;
    std::regex expression;
    bool isPlain = false; ///< the pattern has no special characters
    bool isForm = false; ///< its handler decodes forms itself
    HttpListener::Handler handler;
};

class ListenerRoutes
{
public:
    auto add(const std::string &method, const std::string &pattern, bool isForm, HttpListener::Handler handler) -> void;
    /// Sets the request's matches. A HEAD request is served by a GET route.
    /// @return the first route that matches, or null.
    auto find(HttpRequest &request) const -> const ListenerRoute *;

private:
    std::vector<ListenerRoute> m_routes;
};

/// @return the failure form of docs/interfaces.md, section 6.1.
/// @param reason text without characters that JSON escapes
auto failureBody(const std::string &result, const std::string &reason, Millis retryAfter = Millis{0}) -> std::string;

/// @return the answer to a request that certainly did not run.
auto notRunAnswer(int status, const std::string &reason) -> HttpResponse;
/// @return the answer to a request for which there is no handler at present.
auto overflowAnswer() -> HttpResponse;
/// @return the answer to a request whose handler has failed.
auto handlerFailedAnswer() -> HttpResponse;

}

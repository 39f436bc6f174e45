#pragma once

/// The operators' console over HTTP: GET /console shows the configuration in force as a form, POST /console checks or applies it.
///
/// @code
///   Catkin::addConsoleRoutes(listener, {.operators = operatorContext, .formSecret = secret});
/// @endcode
///
/// Operators sign in with HTTP Basic authentication: any user name, the operator token as the password. Browsers send these
/// credentials with forms of other sites too, so every post must also bear a form token, which only a page of ours contains.

#include "daemon/httplistener.h"
#include "daemon/operatorapi.h"

#include <string>

namespace Catkin
{

/// What the routes use; everything outlives the listener.
struct ConsoleContext
{
    OperatorContext operators;
    std::string formSecret; ///< the same on every entry instance, because a load balancer may send the form to another one
};

auto addConsoleRoutes(HttpListener &listener, const ConsoleContext &context) -> void;

/// @return the page for the configuration in force.
auto showConsole(const ConsoleContext &context, const std::string &operatorName) -> HttpResponse;

/// Handles a submitted form.
/// @param body of type application/x-www-form-urlencoded
/// @return the page with what was typed: status 200 when the form was checked or applied, 422 with errors, 409 when another change
/// won, 403 for a wrong or expired form token, 503 when nothing was applied, 504 when the log has not confirmed the change.
auto submitConsole(const ConsoleContext &context, const std::string &operatorName, const std::string &body) -> HttpResponse;

}

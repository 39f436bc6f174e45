#include "daemon/consoleroutes.h"

#include "daemon/console.h"

#include <charconv>
#include <functional>
#include <optional>

namespace Catkin
{

namespace
{

/// The page has no scripts, loads nothing and must not be shown inside another site's page, where clicks could be redirected to it.
auto securityHeaders() -> std::vector<std::pair<std::string, std::string>>
{
    return {
        {"Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'"},
        {"X-Frame-Options", "DENY"},
        {"X-Content-Type-Options", "nosniff"},
        {"Referrer-Policy", "no-referrer"},
        {"Cache-Control", "no-store"},
    };
}

auto htmlResponse(int status, std::string html) -> HttpResponse
{
    return {.status = status, .body = std::move(html), .contentType = "text/html; charset=utf-8", .headers = securityHeaders()};
}

auto messagePage(int status, const std::string &text) -> HttpResponse
{
    return htmlResponse(status,
                        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Configuration</title></head><body><p>" + text
                            + "</p></body></html>\n");
}

auto toConsoleErrors(const std::vector<FieldError> &errors) -> std::vector<ConsoleError>
{
    auto out = std::vector<ConsoleError>{};
    for (const auto &it : errors) {
        out.push_back({.path = it.path, .message = it.message});
    }
    return out;
}

auto newModel(const ConsoleContext &context, const std::string &operatorName) -> ConsoleModel
{
    return {
        .instance = context.operators.instance.str(),
        .formToken = makeFormToken(context.formSecret, operatorName, context.operators.clock.wall()),
    };
}

auto readBase(const FormFields &fields) -> std::optional<ConfigVersion>
{
    const auto text = formValue(fields, "base");
    auto value = std::int64_t{0};
    const auto [ptr, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc{} || ptr != text.data() + text.size() || value < 0) {
        return std::nullopt;
    }
    return ConfigVersion{value};
}

/// A change in force is shown as the other instances have it: sorted, with every default written out.
auto acceptedPage(ConsoleModel model, ConfigVersion version, const std::string &text) -> HttpResponse
{
    model.base = version.value;
    model.notice = "Version " + std::to_string(version.value) + " is in force.";
    if (auto fields = formFromDocument(encodeDocument(parseDocument(text).document))) {
        model.fields = std::move(fields).value();
    }
    return htmlResponse(200, renderConsole(model, {}));
}

/// The page now changes the version that won: sent again on purpose, it replaces that version.
auto conflictPage(const ConsoleContext &context, ConsoleModel model, ConfigVersion version) -> HttpResponse
{
    const auto active = context.operators.config->active();
    const auto known = active && active->state.version == version;
    const auto label = "version " + std::to_string(version.value);
    model.notice = "Not applied: " + label + (known ? " by " + active->state.author : std::string{}) + " was accepted after this page had read version "
                   + std::to_string(model.base) + ". What you typed is kept below. Apply on this page replaces all of " + label + ". ";
    if (known) {
        model.notice += "These fields differ from it:";
        if (const auto fields = formFromDocument(active->state.document)) {
            model.notes = compareForms(model.fields, fields.value(), label);
        }
    } else {
        model.notice += "Open the console in a second window to see it.";
    }
    model.noticeIsProblem = true;
    model.base = version.value;
    return htmlResponse(409, renderConsole(model, {}));
}

auto problemPage(int status, ConsoleModel model, const std::string &notice) -> HttpResponse
{
    model.notice = notice;
    model.noticeIsProblem = true;
    return htmlResponse(status, renderConsole(model, {}));
}

auto applyForm(const ConsoleContext &context, const std::string &operatorName, const ConsoleModel &model, ConfigVersion base) -> HttpResponse
{
    const auto text = parseForm(model.fields);
    const auto result = context.operators.config->apply(base, operatorName, text, domainFleets(*context.operators.fleet->view()));
    switch (result.outcome) {
    case ApplyOutcome::Accepted:
        return acceptedPage(model, result.version, text);
    case ApplyOutcome::Invalid:
        return htmlResponse(422, renderConsole(model, toConsoleErrors(result.errors)));
    case ApplyOutcome::Conflict:
        return conflictPage(context, model, result.version);
    case ApplyOutcome::NotApplied:
        return problemPage(503, model, "Not applied: " + result.reason + ".");
    case ApplyOutcome::Unknown:
        break;
    }
    return problemPage(504, model, "It is not known whether the change takes effect: " + result.reason + ".");
}

auto guarded(const ConsoleContext &context, std::function<HttpResponse(const HttpRequest &, const std::string &)> handler) -> HttpListener::Handler
{
    return [context, handler = std::move(handler)](const HttpRequest &request) -> HttpResponse {
        const auto name = authenticateOperator(context.operators, request);
        if (!name) {
            context.operators.unauthorized();
            auto response = messagePage(401, "Sign in with any user name and the operator token as the password.");
            response.headers.emplace_back("WWW-Authenticate", "Basic realm=\"catkinworks\"");
            return response;
        }
        return handler(request, *name);
    };
}

}

auto showConsole(const ConsoleContext &context, const std::string &operatorName) -> HttpResponse
{
    auto model = newModel(context, operatorName);
    const auto active = context.operators.config->active();
    if (!active) {
        model.notice = "No configuration is known to this instance.";
        return htmlResponse(200, renderConsole(model, {}));
    }
    model.base = active->state.version.value;
    auto fields = formFromDocument(active->state.document);
    if (!fields) {
        return messagePage(500, "The configuration in force cannot be shown as a form.");
    }
    model.fields = std::move(fields).value();
    return htmlResponse(200, renderConsole(model, {}));
}

auto submitConsole(const ConsoleContext &context, const std::string &operatorName, const std::string &body) -> HttpResponse
{
    auto model = newModel(context, operatorName);
    model.fields = compactForm(parseFormBody(body));
    const auto token = checkFormToken(context.formSecret, operatorName, formValue(model.fields, "form_token"), context.operators.clock.wall());
    if (token == FormTokenCheck::Invalid) {
        // Text from another site is not shown, because the page could be applied with one click.
        return messagePage(403, "This form does not come from this console, or it was loaded under another operator's name. Nothing was changed.");
    }
    const auto base = readBase(model.fields);
    if (!base) {
        return messagePage(400, "The form does not say which version it changes. Nothing was changed.");
    }
    model.base = base->value;
    if (token == FormTokenCheck::Expired) {
        return problemPage(403, model, "Nothing was changed, because this page was loaded more than 12 hours ago. What you typed is kept; send it again.");
    }
    const auto action = formValue(model.fields, "action");
    if (action == "apply") {
        return applyForm(context, operatorName, model, *base);
    }
    if (action == "rows") {
        return htmlResponse(200, renderConsole(model, {}));
    }
    const auto parsed = context.operators.config->validate(parseForm(model.fields), domainFleets(*context.operators.fleet->view()));
    if (parsed.errors.empty()) {
        model.notice = "The document is valid. Nothing was changed.";
    }
    return htmlResponse(parsed.errors.empty() ? 200 : 422, renderConsole(model, toConsoleErrors(parsed.errors)));
}

auto addConsoleRoutes(HttpListener &listener, const ConsoleContext &context) -> void
{
    listener.route("GET", "/console", guarded(context, [context](const HttpRequest &, const std::string &name) { return showConsole(context, name); }));
    listener.routeForm("/console",
                       guarded(context, [context](const HttpRequest &request, const std::string &name) { return submitConsole(context, name, request.body); }));
}

}

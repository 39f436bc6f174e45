#include "cli/commandline.h"
#include "cli/commands.h"
#include "cli/table.h"

#include <nlohmann/json.hpp>

namespace Catkin::Cli
{

namespace
{

using nlohmann::json;

auto dump(const json &value) -> std::string
{
    return value.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

/// Sends a call whose reply must be JSON with status 200; reports everything else.
/// @param code set to the exit code that was reported
/// @param missing what to return for status 404, or null to report it
/// @return the body, or nothing after a report.
auto fetch(CommandLine &line, Environment &env, const std::string &path, ExitCode &code, const json *missing = nullptr) -> std::optional<json>
{
    const auto reply = line.client().call({.path = path});
    if (!reply) {
        code = report(env, line.json(), exitCodeOf(reply.error()) == ExitCode::Unreachable ? ExitCode::Unreachable : ExitCode::Failed, reply.error().message);
        return std::nullopt;
    }
    if (reply.value().status == 404 && missing != nullptr) {
        return *missing;
    }
    auto body = parseJson(reply.value().body);
    if (reply.value().status != 200 || !body.is_object()) {
        code = report(env, line.json(), ExitCode::Failed, reasonOf(reply.value()));
        return std::nullopt;
    }
    return body;
}

/// Prints the errors of a rejected document, each with the path of its field.
auto reportRejected(Environment &env, bool asJson, const json &body) -> ExitCode
{
    if (asJson) {
        *env.out << dump(body);
    }
    for (const auto &error : body["errors"]) {
        if (error.is_object()) {
            const auto path = error.value("path", "");
            *env.err << (path.empty() ? "document" : path) << ": " << error.value("message", "") << '\n';
        } else {
            *env.err << error.dump(-1, ' ', false, json::error_handler_t::replace) << '\n';
        }
    }
    return ExitCode::Rejected;
}

auto hasErrors(const json &body) -> bool
{
    return body.is_object() && body.contains("errors") && body["errors"].is_array() && !body["errors"].empty();
}

/// @return the document in a file, which may also be the output of "config show --json".
auto readDocument(const std::string &path, Environment &env) -> Result<json>
{
    const auto text = readInput(env, path);
    if (!text) {
        return text.error();
    }
    try {
        auto document = json::parse(text.value());
        return document.is_object() && document.contains("document") ? document["document"] : document;
    } catch (const json::exception &e) {
        return failure(ErrorCode::InvalidInput, "'" + path + "' is not JSON: " + e.what());
    }
}

auto validate(const Arguments &args, Environment &env) -> ExitCode
{
    auto line = CommandLine("Checks a configuration document without applying it.", "validate", Audience::Operators, env);
    auto file = TCLAP::UnlabeledValueArg<std::string>("file", "document, - for standard input", true, "", "FILE", line.tclap());
    if (const auto exit = line.parse(args)) {
        return *exit;
    }
    const auto document = readDocument(file.getValue(), env);
    if (!document) {
        return report(env, line.json(), document.error().code == ErrorCode::NotFound ? ExitCode::Usage : ExitCode::Rejected, document.error().message);
    }
    const auto reply = line.client().call({.method = "POST", .path = "/v1/config/validate", .body = document.value().dump()});
    if (!reply) {
        return report(env, line.json(), exitCodeOf(reply.error()) == ExitCode::Unreachable ? ExitCode::Unreachable : ExitCode::Failed, reply.error().message);
    }
    const auto body = parseJson(reply.value().body);
    if (hasErrors(body)) {
        return reportRejected(env, line.json(), body);
    }
    if (exitCodeOf(reply.value()) != ExitCode::Ok) {
        return report(env, line.json(), reply.value().status == 422 ? ExitCode::Rejected : ExitCode::Failed, reasonOf(reply.value()));
    }
    *env.out << (line.json() ? reply.value().body : "the document is valid") << '\n';
    return ExitCode::Ok;
}

auto apply(const Arguments &args, Environment &env) -> ExitCode
{
    auto line = CommandLine("Applies a configuration document.", "apply", Audience::Operators, env);
    auto base = TCLAP::ValueArg<std::int64_t>(
        "", "base", "version that the document replaces (default: the version now in force)", false, 0, "version", line.tclap());
    auto file = TCLAP::UnlabeledValueArg<std::string>("file", "document, - for standard input", true, "", "FILE", line.tclap());
    if (const auto exit = line.parse(args)) {
        return *exit;
    }
    const auto document = readDocument(file.getValue(), env);
    if (!document) {
        return report(env, line.json(), document.error().code == ErrorCode::NotFound ? ExitCode::Usage : ExitCode::Rejected, document.error().message);
    }
    auto version = base.getValue();
    if (!base.isSet()) {
        auto code = ExitCode::Ok;
        const auto none = json{{"version", 0}};
        const auto current = fetch(line, env, "/v1/config", code, &none);
        if (!current) {
            return code;
        }
        version = current->value("version", std::int64_t{0});
    }
    const auto change = json{{"base", version}, {"document", document.value()}};
    const auto reply = line.client().call({.method = "PUT", .path = "/v1/config", .body = change.dump()});
    if (!reply) {
        return report(env, line.json(), exitCodeOf(reply.error()), "the change on base " + std::to_string(version) + ": " + reply.error().message);
    }
    const auto body = parseJson(reply.value().body);
    if (hasErrors(body)) {
        return reportRejected(env, line.json(), body);
    }
    if (reply.value().status == 409) {
        return report(env, line.json(), ExitCode::Failed, "another change was accepted first: " + reasonOf(reply.value()));
    }
    if (reply.value().status == 504) {
        return report(env, line.json(), ExitCode::OutcomeUnknown, "outcome unknown, see 'catkinctl config versions': " + reasonOf(reply.value()));
    }
    if (exitCodeOf(reply.value()) != ExitCode::Ok) {
        return report(env, line.json(), reply.value().status == 422 ? ExitCode::Rejected : ExitCode::Failed, reasonOf(reply.value()));
    }
    if (line.json()) {
        *env.out << reply.value().body << '\n';
    } else {
        *env.out << "version " << (body.is_object() ? body.value("version", version + 1) : version + 1) << " is accepted\n";
    }
    return ExitCode::Ok;
}

auto config(const Arguments &args, Environment &env) -> ExitCode
{
    auto line = CommandLine("Shows the configuration, or its version on every instance.", "config", Audience::Operators, env);
    auto whats = std::vector<std::string>{"show", "versions"};
    auto values = TCLAP::ValuesConstraint<std::string>(whats);
    auto what = TCLAP::UnlabeledValueArg<std::string>("what", "what to print", true, "", &values, line.tclap());
    if (const auto exit = line.parse(args)) {
        return *exit;
    }
    auto code = ExitCode::Ok;
    const auto body = fetch(line, env, what.getValue() == "show" ? "/v1/config" : "/v1/config/versions", code);
    if (!body) {
        return code;
    }
    if (line.json()) {
        *env.out << dump(*body);
    } else if (what.getValue() == "versions") {
        *env.out << renderJsonTable(*body);
    } else {
        *env.err << "version " << body->value("version", json{}).dump() << '\n';
        *env.out << dump(body->contains("document") ? (*body)["document"] : *body);
    }
    return ExitCode::Ok;
}

/// Prints one list of the document in force.
/// @param flatten a list inside each item that is printed instead, or null
auto list(const Arguments &args, Environment &env, const std::string &name, const char *field, const char *flatten) -> ExitCode
{
    auto line = CommandLine("Lists the " + name + " of the configuration in force.", name, Audience::Operators, env);
    if (const auto exit = line.parse(args)) {
        return *exit;
    }
    auto code = ExitCode::Ok;
    const auto body = fetch(line, env, "/v1/config", code);
    if (!body) {
        return code;
    }
    const auto document = body->value("document", *body);
    auto rows = json::array();
    for (const auto &item : document.value(field, json::array())) {
        if (flatten == nullptr) {
            rows.push_back(item);
            rows.back().erase("guarantees");
            rows.back().erase("tokens");
            continue;
        }
        for (auto inner : item.value(flatten, json::array())) {
            inner["workspace"] = item.value("name", "");
            rows.push_back(inner);
        }
    }
    *env.out << (line.json() ? dump(json{{name, rows}}) : renderJsonTable(rows));
    return ExitCode::Ok;
}

constexpr Command commands[] = {
    {"validate", "checks a configuration document", validate},
    {"apply", "applies a configuration document", apply, true},
    {"config", "shows the configuration or its versions", config},
    {"workspaces", "lists workspaces", [](const Arguments &a, Environment &e) { return list(a, e, "workspaces", "workspaces", nullptr); }},
    {"guarantees", "lists guaranteed shapes", [](const Arguments &a, Environment &e) { return list(a, e, "guarantees", "workspaces", "guarantees"); }},
    {"kinds", "lists kinds of work", [](const Arguments &a, Environment &e) { return list(a, e, "kinds", "kinds", nullptr); }},
    {"services", "lists services", [](const Arguments &a, Environment &e) { return list(a, e, "services", "services", nullptr); }},
};

}

auto configCommands() -> std::span<const Command>
{
    return commands;
}

}

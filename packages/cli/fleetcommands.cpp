#include "cli/commandline.h"
#include "cli/commands.h"
#include "cli/table.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Catkin::Cli
{

namespace
{

using nlohmann::json;

auto listOf(const json &body) -> json
{
    if (body.is_array()) {
        return body;
    }
    const auto it = std::find_if(body.begin(), body.end(), [](const json &value) { return value.is_array(); });
    return it == body.end() ? json::array() : *it;
}

/// Prints what instances know.
/// @param everywhere ask every address instead of the first that answers
auto list(const Arguments &args, Environment &env, const std::string &name, bool everywhere) -> ExitCode
{
    auto line = CommandLine(
        everywhere ? "Lists the " + name + " of every given instance." : "Lists the " + name + " as one instance knows them.", name, Audience::Operators, env);
    if (const auto exit = line.parse(args)) {
        return *exit;
    }
    auto rows = json::array();
    auto answered = false;
    auto code = ExitCode::Unreachable;
    for (const auto &address : line.client().addresses()) {
        const auto reply = line.client().callAt(address, {.path = "/v1/" + name});
        const auto body = reply ? parseJson(reply.value().body) : json(json::value_t::discarded);
        if (!reply || reply.value().status != 200 || body.is_discarded()) {
            code = reply ? ExitCode::Failed : code;
            *env.err << "catkinctl: " << address << ": " << (reply ? reasonOf(reply.value()) : reply.error().message) << '\n';
            continue;
        }
        answered = true;
        for (auto row : listOf(body)) {
            if (everywhere && row.is_object()) {
                row["address"] = address;
            }
            rows.push_back(row);
        }
        if (!everywhere) {
            break;
        }
    }
    if (!answered) {
        return report(env, line.json(), code, "no instance answered");
    }
    *env.out << (line.json() ? json{{name, rows}}.dump(2, ' ', false, json::error_handler_t::replace) + "\n" : renderJsonTable(rows));
    return ExitCode::Ok;
}

auto drain(const Arguments &args, Environment &env) -> ExitCode
{
    auto line = CommandLine("Drains one entry instance: it takes no new work, finishes what it has and stops.", "drain", Audience::Operators, env);
    if (const auto exit = line.parse(args)) {
        return *exit;
    }
    // With several addresses it would be left to chance which instance stops.
    if (line.client().addresses().size() != 1) {
        return line.usageError("give exactly one --address");
    }
    const auto reply = line.client().call({.method = "POST", .path = "/v1/drain"});
    if (!reply) {
        return report(env, line.json(), exitCodeOf(reply.error()), reply.error().message);
    }
    if (exitCodeOf(reply.value()) != ExitCode::Ok) {
        return report(env, line.json(), ExitCode::Failed, reasonOf(reply.value()));
    }
    *env.out << (line.json() ? reply.value().body : line.client().addresses().front() + " drains") << '\n';
    return ExitCode::Ok;
}

constexpr Command commands[] = {
    {"instances", "lists entry instances", [](const Arguments &a, Environment &e) { return list(a, e, "instances", false); }},
    {"workers", "lists workers", [](const Arguments &a, Environment &e) { return list(a, e, "workers", false); }},
    {"executors", "lists executors", [](const Arguments &a, Environment &e) { return list(a, e, "executors", false); }},
    {"leases", "lists leases", [](const Arguments &a, Environment &e) { return list(a, e, "leases", false); }},
    {"queues", "lists the queues of every given instance", [](const Arguments &a, Environment &e) { return list(a, e, "queues", true); }},
    {"drain", "drains one entry instance", drain, true},
};

}

auto fleetCommands() -> std::span<const Command>
{
    return commands;
}

}

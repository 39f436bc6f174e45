#include "cli/commandline.h"
#include "cli/commands.h"
#include "cli/table.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string_view>

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

/// Where a list comes from.
struct Listing
{
    const char *name; ///< subcommand and last part of the path
    bool everywhere; ///< ask every address instead of the first that answers
    std::vector<const char *> identity; ///< fields that make a row unique across instances; empty: rows of every instance are kept
};

auto idOfRow(const json &row, const Listing &listing) -> std::string
{
    auto id = std::string{};
    for (const auto *field : listing.identity) {
        id += (row.is_object() ? row.value(field, json{}).dump(-1, ' ', false, json::error_handler_t::replace) : "") + " ";
    }
    return id;
}

/// The lists of one instance's answer by title.
auto listsOf(const json &body, const Listing &listing) -> std::map<std::string, json>
{
    if (std::string_view(listing.name) != "queues" || !body.is_object()) {
        return {{listing.name, listOf(body)}};
    }
    auto lists = std::map<std::string, json>{{"jobs", json::array()}, {"requests", body.value("requests", json::array())}};
    const auto planners = body.value("planners", json::array());
    for (const auto &planner : planners) {
        if (!planner.is_object()) {
            continue;
        }
        const auto queue = planner.value("queue", json::array());
        for (auto row : queue) {
            if (row.is_object()) {
                row["domain"] = planner.value("domain", json{});
            }
            lists["jobs"].push_back(row);
        }
    }
    return lists;
}

/// Prints what instances know.
auto list(const Arguments &args, Environment &env, const Listing &listing) -> ExitCode
{
    const auto name = std::string(listing.name);
    auto line = CommandLine(listing.everywhere ? "Lists the " + name + " of every given instance." : "Lists the " + name + " as one instance knows them.",
                            name,
                            Audience::Operators,
                            env);
    if (const auto exit = line.parse(args)) {
        return *exit;
    }
    auto shown = std::map<std::string, json>{};
    auto seen = std::set<std::string>{};
    auto code = ExitCode::Unreachable;
    for (const auto &address : line.client().addresses()) {
        const auto reply = line.client().callAt(address, {.path = "/v1/" + name});
        const auto body = reply ? parseJson(reply.value().body) : json(json::value_t::discarded);
        if (!reply || reply.value().status != 200 || body.is_discarded()) {
            code = reply ? ExitCode::Failed : code;
            *env.err << "catkinctl: " << address << ": " << (reply ? reasonOf(reply.value()) : reply.error().message) << '\n';
            continue;
        }
        for (auto &[title, rows] : listsOf(body, listing)) {
            auto &all = shown.try_emplace(title, json::array()).first->second;
            for (auto row : rows) {
                if (!listing.identity.empty() && !seen.insert(idOfRow(row, listing)).second) {
                    continue;
                }
                if (listing.everywhere && listing.identity.empty() && row.is_object()) {
                    row["address"] = address;
                }
                all.push_back(row);
            }
        }
        if (!listing.everywhere) {
            break;
        }
    }
    if (shown.empty()) {
        return report(env, line.json(), code, "no instance answered");
    }
    if (line.json()) {
        *env.out << json(shown).dump(2, ' ', false, json::error_handler_t::replace) << '\n';
        return ExitCode::Ok;
    }
    for (const auto &[title, rows] : shown) {
        *env.out << (shown.size() > 1 ? title + ":\n" : "") << renderJsonTable(rows);
    }
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
    {"instances",
     "lists entry instances",
     [](const Arguments &a, Environment &e) {
         return list(a, e, {"instances", false, {}});
     }},
    {"workers",
     "lists the workers of every given planner",
     [](const Arguments &a, Environment &e) {
         return list(a, e, {"workers", true, {"domain", "worker"}});
     }},
    {"executors",
     "lists executors",
     [](const Arguments &a, Environment &e) {
         return list(a, e, {"executors", false, {}});
     }},
    {"leases",
     "lists the leases of every given planner",
     [](const Arguments &a, Environment &e) {
         return list(a, e, {"leases", true, {"worker", "lease"}});
     }},
    {"queues",
     "lists the queues of every given instance",
     [](const Arguments &a, Environment &e) {
         return list(a, e, {"queues", true, {}});
     }},
    {"drain", "drains one entry instance", drain, true},
};

}

auto fleetCommands() -> std::span<const Command>
{
    return commands;
}

}

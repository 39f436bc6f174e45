#include "cli/commandline.h"
#include "cli/commands.h"
#include "cli/sloreport.h"
#include "util/digest.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <map>

namespace Catkin::Cli
{

namespace
{

using nlohmann::json;
using Text = TCLAP::ValueArg<std::string>;

/// Reads the counts of one instance, from /v1/slo or as "since start" from /metrics.
auto readInstance(const Client &client, const std::string &address, bool fromMetrics) -> Result<std::vector<SloObjective>>
{
    const auto reply = client.callAt(address, {.path = fromMetrics ? "/metrics" : "/v1/slo"});
    if (!reply) {
        return reply.error();
    }
    if (reply.value().status != 200) {
        return failure(ErrorCode::Unavailable, reasonOf(reply.value()));
    }
    return fromMetrics ? Result<std::vector<SloObjective>>(readSloMetrics(reply.value().body)) : readSloJson(reply.value().body);
}

/// Reads every instance once.
/// @param code set to Failed if an instance refused instead of being unreachable
/// @return the objectives by address of the instances that answered; the others are reported.
auto readAll(const Client &client, bool fromMetrics, ExitCode &code) -> std::map<std::string, std::vector<SloObjective>>
{
    auto all = std::map<std::string, std::vector<SloObjective>>{};
    for (const auto &address : client.addresses()) {
        auto read = readInstance(client, address, fromMetrics);
        if (read) {
            all[address] = read.value();
        } else {
            code = read.error().code == ErrorCode::NotSent ? code : ExitCode::Failed;
            *client.env().err << "catkinctl: " << address << " is missing in the report: " << read.error().message << '\n';
        }
    }
    return all;
}

auto slo(const Arguments &args, Environment &env) -> ExitCode
{
    auto line = CommandLine("Reports error budgets and burn rates, added up over all given instances.", "slo", Audience::Operators, env);
    auto sources = std::vector<std::string>{"slo", "metrics"};
    auto sourceValues = TCLAP::ValuesConstraint<std::string>(sources);
    auto source
        = Text("", "source", "slo reads the windows of /v1/slo, metrics the counters of /metrics (default slo)", false, "slo", &sourceValues, line.tclap());
    auto over = Text("", "over", "with --source metrics: read again after this time, which gives a short window", false, "0s", "duration", line.tclap());
    auto svg = Text("", "svg", "also write the report as a plot", false, "", "file", line.tclap());
    if (const auto exit = line.parse(args)) {
        return *exit;
    }
    const auto fromMetrics = source.getValue() == "metrics";
    const auto time = readDuration(over.getValue());
    if (!time || (over.isSet() && !fromMetrics)) {
        return line.usageError(time ? "--over needs --source metrics" : "--over: " + time.error().message);
    }
    auto code = ExitCode::Unreachable;
    const auto first = readAll(line.client(), fromMetrics, code);
    if (first.empty()) {
        return report(env, line.json(), code, "no instance answered");
    }
    auto objectives = std::vector<SloObjective>{};
    if (time.value().count() == 0) {
        for (const auto &[address, read] : first) {
            mergeSlo(objectives, read);
        }
    } else {
        env.sleep(time.value());
        for (const auto &[address, later] : readAll(line.client(), true, code)) {
            const auto it = first.find(address);
            mergeSlo(objectives, sloBetween(it == first.end() ? std::vector<SloObjective>{} : it->second, later, time.value()));
            mergeSlo(objectives, later);
        }
    }
    if (svg.isSet()) {
        auto file = std::ofstream(svg.getValue(), std::ios::binary);
        file << renderSloSvg(objectives);
        file.close();
        if (!file) {
            return report(env, line.json(), ExitCode::Failed, "file '" + svg.getValue() + "' cannot be written");
        }
    }
    *env.out << (line.json() ? renderSloJson(objectives) : renderSloText(objectives));
    return ExitCode::Ok;
}

auto tokenHash(const Arguments &args, Environment &env) -> ExitCode
{
    auto line = CommandLine("Prints the SHA-256 of a token, for the settings file or the configuration document. The token is read from a file "
                            "or from standard input.",
                            "token-hash",
                            Audience::Nobody,
                            env);
    auto file = Text("f", "file", "file with the token, - for standard input", false, "-", "file", line.tclap());
    auto generate = TCLAP::SwitchArg("", "generate", "make a new token and print it before its hash", line.tclap());
    if (const auto exit = line.parse(args)) {
        return *exit;
    }
    auto token = std::string{};
    if (generate.getValue()) {
        token = env.newKey();
        token += env.newKey();
    } else {
        const auto read = readInput(env, file.getValue());
        if (!read) {
            return line.usageError(read.error().message);
        }
        token = read.value();
        token.erase(token.find_last_not_of(" \t\r\n") + 1);
    }
    if (token.empty()) {
        return line.usageError("the token is empty");
    }
    if (line.json()) {
        auto shown = json{{"sha256", sha256Hex(token)}};
        if (generate.getValue()) {
            shown["token"] = token;
        }
        *env.out << shown.dump(2) << '\n';
    } else {
        *env.out << (generate.getValue() ? "token  " + token + "\nsha256 " : "") << sha256Hex(token) << '\n';
    }
    return ExitCode::Ok;
}

constexpr Command commands[] = {
    {"slo", "reports error budgets and burn rates", slo},
    {"token-hash", "prints the hash of a token", tokenHash},
};

}

auto reportCommands() -> std::span<const Command>
{
    return commands;
}

}

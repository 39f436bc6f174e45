#include "cli/commandline.h"
#include "cli/commands.h"
#include "cli/requestsender.h"

#include <nlohmann/json.hpp>

namespace Catkin::Cli
{

namespace
{

using nlohmann::json;
using Text = TCLAP::ValueArg<std::string>;

auto print(const RequestOutcome &outcome, bool asJson, Environment &env) -> void
{
    const auto reply = parseJson(outcome.reply);
    if (asJson) {
        const auto shown = json{{"exit_code", static_cast<int>(outcome.code)},
                                {"key", outcome.key},
                                {"first_sent_ms", outcome.firstSentMs},
                                {"attempts", outcome.attempts},
                                {"reason", outcome.code == ExitCode::Ok ? "" : outcome.reason},
                                {"reply", reply.is_discarded() ? json{} : reply}};
        *env.out << shown.dump(2, ' ', false, json::error_handler_t::replace) << '\n';
        return;
    }
    if (outcome.code == ExitCode::Ok) {
        const auto answer = reply.value("answer", json{});
        *env.out << (answer.is_string() ? answer.get<std::string>() : answer.dump()) << '\n';
        return;
    }
    if (outcome.code == ExitCode::OutcomeUnknown) {
        *env.err << "catkinctl: outcome unknown: the request may have run: " << outcome.reason << "\nAsk again with --key " << outcome.key
                 << " --first-sent-ms " << outcome.firstSentMs << " --attempt " << outcome.attempts + 1 << "\n";
    } else if (outcome.code == ExitCode::NotRun) {
        *env.err << "catkinctl: not run: " << outcome.reason << '\n';
    } else {
        *env.err << "catkinctl: no address accepted a connection; nothing was sent: " << outcome.reason << '\n';
    }
}

auto request(const Arguments &args, Environment &env) -> ExitCode
{
    auto line = CommandLine("Sends one request and prints the answer.", "request", Audience::Callers, env);
    auto &cmd = line.tclap();
    auto workspace = Text("w", "workspace", "workspace", true, "", "name", cmd);
    auto caller = Text("c", "caller", "caller, for fair shares inside the workspace", true, "", "name", cmd);
    auto kind = Text("k", "kind", "kind of work", true, "", "name", cmd);
    auto payload = Text("p", "payload", "payload as text", false, "", "text", cmd);
    auto payloadFile = Text("f", "payload-file", "file with the payload, - for standard input", false, "", "file", cmd);
    auto deadline = Text("d", "deadline", "time for the answer, with all attempts (default 5s)", false, "5s", "duration", cmd);
    auto attempts = TCLAP::ValueArg<int>("n", "attempts", "most attempts (default 3)", false, 3, "number", cmd);
    auto ticket = TCLAP::SwitchArg("", "ticket", "fetch a ticket as the key, which works without the platform log", cmd);
    auto key = Text("", "key", "idempotency key (default: a new one)", false, "", "key", cmd);
    auto firstSent = TCLAP::ValueArg<std::int64_t>("", "first-sent-ms", "when the key was first sent", false, 0, "ms since 1970", cmd);
    auto attempt = TCLAP::ValueArg<int>("", "attempt", "number of the first attempt; above 1 if the key was sent before", false, 1, "number", cmd);
    if (const auto exit = line.parse(args)) {
        return *exit;
    }
    const auto time = readDuration(deadline.getValue());
    if (!time || time.value().count() == 0) {
        return line.usageError("--deadline: " + (time ? std::string("must not be 0") : time.error().message));
    }
    if (attempts.getValue() < 1 || attempt.getValue() < 1) {
        return line.usageError("--attempts and --attempt must be at least 1");
    }
    if (payload.isSet() && payloadFile.isSet()) {
        return line.usageError("--payload excludes --payload-file");
    }
    if (attempt.getValue() > 1 && (!key.isSet() || !firstSent.isSet())) {
        return line.usageError("--attempt above 1 needs the --key and the --first-sent-ms of the first attempt");
    }
    auto body = payload.getValue();
    if (payloadFile.isSet()) {
        auto read = readInput(env, payloadFile.getValue());
        if (!read) {
            return line.usageError(read.error().message);
        }
        body = read.value();
    }
    const auto texts = encodeJson(json::array({workspace.getValue(), caller.getValue(), kind.getValue(), key.getValue(), body}));
    if (!texts) {
        return line.usageError(texts.error().message);
    }
    const auto outcome = sendRequest({.workspace = workspace.getValue(),
                                      .caller = caller.getValue(),
                                      .kind = kind.getValue(),
                                      .key = key.getValue(),
                                      .ticket = ticket.getValue(),
                                      .firstAttempt = attempt.getValue(),
                                      .maxAttempts = attempts.getValue(),
                                      .firstSentMs = firstSent.getValue(),
                                      .deadline = time.value(),
                                      .payload = body},
                                     line.client());
    print(outcome, line.json(), env);
    return outcome.code;
}

constexpr Command commands[] = {{"request", "sends one request and prints the answer", request, true}};

}

auto requestCommands() -> std::span<const Command>
{
    return commands;
}

}

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
using Text = TCLAP::ValueArg<std::string>;

constexpr auto submitAttempts = 3;
constexpr auto longestPoll = Millis{20000};
constexpr auto pollGrace = Millis{2000};
constexpr auto pollPause = Millis{1000};

auto stateOf(const HttpReply &reply) -> std::string
{
    const auto body = parseJson(reply.body);
    return body.is_object() && body.contains("state") && body["state"].is_string() ? body["state"].get<std::string>() : "";
}

/// @return the exit code of a job that has ended, or nothing while it has not.
auto exitCodeOfState(const std::string &state) -> std::optional<ExitCode>
{
    if (state == "succeeded") {
        return ExitCode::Ok;
    }
    if (state == "failed" || state == "cancelled" || state == "parked") {
        return ExitCode::Failed;
    }
    return state == "unknown" ? std::optional(ExitCode::OutcomeUnknown) : std::nullopt;
}

auto print(const HttpReply &reply, bool asJson, Environment &env) -> void
{
    const auto body = parseJson(reply.body);
    if (asJson || !body.is_object() || !body.contains("state")) {
        *env.out << reply.body << '\n';
        return;
    }
    auto rows = std::vector<std::vector<std::string>>{};
    for (const auto &[name, value] : body.items()) {
        rows.push_back({name, value.is_string() ? value.get<std::string>() : value.dump(-1, ' ', false, json::error_handler_t::replace)});
    }
    *env.out << renderTable({"field", "value"}, rows);
}

/// Polls a job until it ends.
/// @param limit 0: no limit
auto waitFor(const std::string &job, Millis limit, CommandLine &line, Environment &env) -> ExitCode
{
    const auto start = env.clock.mono();
    for (auto state = std::string{};;) {
        const auto spent = std::chrono::duration_cast<Millis>(env.clock.mono() - start);
        if (limit.count() > 0 && spent >= limit) {
            return report(env, line.json(), ExitCode::Failed, "job " + job + " has not ended in time; state: " + (state.empty() ? "not known" : state));
        }
        const auto wait = limit.count() > 0 ? std::min(longestPoll, limit - spent) : longestPoll;
        const auto path = "/v1/jobs/" + encodeUrl(job) + "?wait_ms=" + std::to_string(wait.count());
        const auto reply = line.client().call({.path = path, .timeout = wait + pollGrace});
        if (!reply && limit.count() == 0 && reply.error().code == ErrorCode::NotSent) {
            return report(env, line.json(), ExitCode::Unreachable, reply.error().message);
        }
        if (reply && reply.value().status >= 400 && reply.value().status < 500) {
            return report(env, line.json(), ExitCode::Failed, reasonOf(reply.value()));
        }
        if (reply && reply.value().status == 200) {
            state = stateOf(reply.value());
            if (const auto code = exitCodeOfState(state)) {
                print(reply.value(), line.json(), env);
                return *code;
            }
        }
        env.sleep(pollPause);
    }
}

auto isOutcomeUnknown(const HttpReply &reply) -> bool
{
    const auto body = parseJson(reply.body);
    return reply.status == 504 || (body.is_object() && body.value("result", json{}) == "outcome_unknown");
}

auto readJob(const Arguments &args, Environment &env, const char *name, const char *description, const char *method) -> ExitCode
{
    auto line = CommandLine(description, name, Audience::Callers, env);
    auto job = TCLAP::UnlabeledValueArg<std::string>("job", "job id", true, "", "JOB", line.tclap());
    if (const auto exit = line.parse(args)) {
        return *exit;
    }
    const auto reply = line.client().call({.method = method, .path = "/v1/jobs/" + encodeUrl(job.getValue())});
    if (!reply) {
        return report(env, line.json(), exitCodeOf(reply.error()), reply.error().message);
    }
    if (exitCodeOf(reply.value()) != ExitCode::Ok) {
        return report(env, line.json(), isOutcomeUnknown(reply.value()) ? ExitCode::OutcomeUnknown : ExitCode::Failed, reasonOf(reply.value()));
    }
    print(reply.value(), line.json(), env);
    return ExitCode::Ok;
}

auto status(const Arguments &args, Environment &env) -> ExitCode
{
    return readJob(args, env, "status", "Shows a job.", "GET");
}

auto cancel(const Arguments &args, Environment &env) -> ExitCode
{
    return readJob(args, env, "cancel", "Cancels a job.", "DELETE");
}

auto wait(const Arguments &args, Environment &env) -> ExitCode
{
    auto line = CommandLine("Waits until a job ends; exit code 0 when it succeeded, 1 when not, 4 when that is unknown.", "wait", Audience::Callers, env);
    auto job = TCLAP::UnlabeledValueArg<std::string>("job", "job id", true, "", "JOB", line.tclap());
    auto limit = Text("", "limit", "longest time to wait (default: no limit)", false, "0s", "duration", line.tclap());
    if (const auto exit = line.parse(args)) {
        return *exit;
    }
    const auto time = readDuration(limit.getValue());
    if (!time) {
        return line.usageError("--limit: " + time.error().message);
    }
    return waitFor(job.getValue(), time.value(), line, env);
}

auto jobs(const Arguments &args, Environment &env) -> ExitCode
{
    auto line = CommandLine("Lists the jobs of the token's workspace.", "jobs", Audience::Callers, env);
    auto state = Text("", "state", "only jobs in this state", false, "", "state", line.tclap());
    if (const auto exit = line.parse(args)) {
        return *exit;
    }
    auto list = json::array();
    auto after = std::string{};
    do {
        const auto reply = line.client().call({.path = "/v1/jobs?limit=1000" + (after.empty() ? "" : "&after=" + encodeUrl(after))});
        if (!reply) {
            return report(env, line.json(), exitCodeOf(reply.error()), reply.error().message);
        }
        const auto body = parseJson(reply.value().body);
        if (exitCodeOf(reply.value()) != ExitCode::Ok || body.is_discarded()) {
            return report(env, line.json(), ExitCode::Failed, reasonOf(reply.value()));
        }
        const auto page = body.is_object() ? body.value("jobs", json::array()) : body;
        for (const auto &job : page) {
            list.push_back(job);
        }
        // Ids increase from page to page; anything else would ask for the same page for ever.
        const auto next = body.is_object() ? body.value("next", json{}) : json{};
        const auto more = next.is_string() && next.get<std::string>() > after;
        after = more ? next.get<std::string>() : "";
    } while (!after.empty());
    if (state.isSet()) {
        auto kept = json::array();
        std::copy_if(list.begin(), list.end(), std::back_inserter(kept), [&](const json &job) {
            return job.is_object() && job.value("state", json{}) == state.getValue();
        });
        list = kept;
    }
    *env.out << (line.json() ? json{{"jobs", list}}.dump(2, ' ', false, json::error_handler_t::replace) + "\n" : renderJsonTable(list));
    return ExitCode::Ok;
}

/// Sends a job until an instance says what became of it. The key makes repetition safe: the first accepted record of a key wins.
auto sendJob(const std::string &body, CommandLine &line, Environment &env) -> Result<HttpReply>
{
    auto result = Result<HttpReply>(failure(ErrorCode::NotSent, "nothing was sent"));
    auto maySent = false;
    for (auto i = 0; i < submitAttempts; ++i) {
        if (i > 0) {
            env.sleep(pollPause);
        }
        result = line.client().call({.method = "POST", .path = "/v1/jobs", .body = body});
        if (result && !isOutcomeUnknown(result.value())) {
            return result;
        }
        maySent = maySent || result || result.error().code != ErrorCode::NotSent;
    }
    if (!result && maySent) {
        return failure(ErrorCode::Unknown, result.error().message);
    }
    return result;
}

auto submit(const Arguments &args, Environment &env) -> ExitCode
{
    auto line = CommandLine("Submits a job and prints its id.", "submit", Audience::Callers, env);
    auto &cmd = line.tclap();
    auto workspace = Text("w", "workspace", "workspace", true, "", "name", cmd);
    auto caller = Text("c", "caller", "caller, for fair shares inside the workspace", true, "", "name", cmd);
    auto kind = Text("k", "kind", "kind of work", true, "", "name", cmd);
    auto tasks = TCLAP::ValueArg<int>("t", "tasks", "tasks of the gang (default 1)", false, 1, "number", cmd);
    auto slots = TCLAP::ValueArg<int>("s", "slots-per-task", "slots of one task (default 1)", false, 1, "number", cmd);
    auto adjacencies = std::vector<std::string>{"worker", "rack", "any"};
    auto adjacencyValues = TCLAP::ValuesConstraint<std::string>(adjacencies);
    auto adjacency = Text("", "adjacency", "where the gang's slots must lie together (default any)", false, "any", &adjacencyValues, cmd);
    auto urgencies = std::vector<std::string>{"urgent", "normal", "batch"};
    auto urgencyValues = TCLAP::ValuesConstraint<std::string>(urgencies);
    auto urgency = Text("u", "urgency", "urgency (default: the kind's)", false, "normal", &urgencyValues, cmd);
    auto declared = Text("", "declared", "expected run time (default 1h)", false, "1h", "duration", cmd);
    auto checkpointable = TCLAP::SwitchArg("", "checkpointable", "the job can save its progress when it is stopped", cmd);
    auto restartable = TCLAP::SwitchArg("", "restartable", "the job may be started again from its beginning", cmd);
    auto domain = Text("", "domain", "failure domain (default: chosen by the system)", false, "", "name", cmd);
    auto key = Text("", "key", "idempotency key (default: a new one)", false, "", "key", cmd);
    auto payload = Text("p", "payload", "payload as text", false, "", "text", cmd);
    auto payloadFile = Text("f", "payload-file", "file with the payload, - for standard input", false, "", "file", cmd);
    auto waits = TCLAP::SwitchArg("", "wait", "wait until the job ends", cmd);
    if (const auto exit = line.parse(args)) {
        return *exit;
    }
    const auto time = readDuration(declared.getValue());
    if (!time) {
        return line.usageError("--declared: " + time.error().message);
    }
    auto text = Result<std::string>(payload.getValue());
    if (payloadFile.isSet()) {
        text = readInput(env, payloadFile.getValue());
    }
    if (!text || tasks.getValue() < 1 || slots.getValue() < 1 || (payload.isSet() && payloadFile.isSet())) {
        return line.usageError(!text ? text.error().message : "--tasks and --slots-per-task must be at least 1, and only one payload may be given");
    }
    auto body = json{{"workspace", workspace.getValue()},
                     {"caller", caller.getValue()},
                     {"kind", kind.getValue()},
                     {"key", key.isSet() ? key.getValue() : env.newKey()},
                     {"tasks", tasks.getValue()},
                     {"slots_per_task", slots.getValue()},
                     {"adjacency", adjacency.getValue()},
                     {"declared_seconds", std::chrono::duration_cast<Seconds>(time.value()).count()},
                     {"checkpointable", checkpointable.getValue()},
                     {"restartable", restartable.getValue()},
                     {"payload", text.value()}};
    if (domain.isSet()) {
        body["domain"] = domain.getValue();
    }
    if (urgency.isSet()) {
        body["urgency"] = urgency.getValue();
    }
    const auto hint = "; the key is " + body["key"].get<std::string>();
    const auto encoded = encodeJson(body);
    if (!encoded) {
        return line.usageError(encoded.error().message);
    }
    const auto reply = sendJob(encoded.value(), line, env);
    if (!reply) {
        return report(env, line.json(), exitCodeOf(reply.error()), reply.error().message + hint);
    }
    if (isOutcomeUnknown(reply.value())) {
        return report(env, line.json(), ExitCode::OutcomeUnknown, "outcome unknown: " + reasonOf(reply.value()) + hint);
    }
    const auto answer = parseJson(reply.value().body);
    const auto job = answer.is_object() && answer.contains("job") && answer["job"].is_string() ? answer["job"].get<std::string>() : "";
    if (exitCodeOf(reply.value()) != ExitCode::Ok || job.empty()) {
        const auto notRun = reply.value().status >= 400 && reply.value().status != 500;
        return report(env, line.json(), notRun ? ExitCode::NotRun : ExitCode::OutcomeUnknown, reasonOf(reply.value()) + hint);
    }
    if (waits.getValue()) {
        *env.err << "job " << job << '\n';
        return waitFor(job, Millis{0}, line, env);
    }
    *env.out << (line.json() ? reply.value().body : job) << '\n';
    return ExitCode::Ok;
}

constexpr Command commands[] = {
    {"submit", "submits a job", submit, true},
    {"status", "shows a job", status},
    {"wait", "waits until a job ends", wait},
    {"cancel", "cancels a job", cancel, true},
    {"jobs", "lists jobs", jobs},
};

}

auto jobCommands() -> std::span<const Command>
{
    return commands;
}

}

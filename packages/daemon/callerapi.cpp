#include "daemon/callerapi.h"

#include "daemon/jsonfields.h"
#include "daemon/plannerview.h"
#include "util/digest.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

namespace Catkin
{

namespace
{

using nlohmann::json;

constexpr auto maxNameLength = std::size_t{128};
constexpr auto maxKeyLength = std::size_t{256};
constexpr auto maxGang = 64;
constexpr auto maxSlotsPerTask = 32;
constexpr auto maxDeadlineMs = std::int64_t{3'600'000};
constexpr auto maxDeclaredSeconds = std::int64_t{30} * 24 * 3600;
constexpr auto maxJobPayload = std::size_t{64} << 10U;
constexpr auto maxWait = Millis{30'000};
constexpr auto submitWait = Millis{3'000};
constexpr auto cancelWait = Millis{1'500};
/// Classes of calls that wait without being requests; identifiers of kinds cannot contain a blank.
const auto submitClass = KindId{"job submission"};
const auto waitClass = KindId{"job wait"};
constexpr auto draining = "the instance is draining";
constexpr auto defaultPage = std::int64_t{100};
constexpr auto maxPage = std::int64_t{1000};

auto dump(const json &body) -> std::string
{
    return body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

/// A failure before a request got an id; it has the same fields as one after.
auto failureBody(const char *result, const std::string &reason, Millis retryAfter) -> json
{
    return {{"result", result}, {"request_id", ""}, {"reason", reason}, {"retry_after_ms", retryAfter.count()}, {"config_version", 0}};
}

auto refuse(int status, const std::string &reason, Millis retryAfter = Millis{0}) -> HttpResponse
{
    auto response = HttpResponse{.status = status, .body = dump(failureBody("not_run", reason, retryAfter))};
    if (retryAfter > Millis{0}) {
        response.headers.emplace_back("Retry-After", std::to_string((retryAfter.count() + 999) / 1000));
    }
    return response;
}

auto refuseFields(const std::vector<FieldError> &errors) -> HttpResponse
{
    auto list = json::array();
    auto reason = std::string{};
    for (const auto &it : errors) {
        list.push_back({{"path", it.path}, {"message", it.message}});
        reason += (reason.empty() ? "" : "; ") + (it.path.empty() ? "" : it.path + " ") + it.message;
    }
    auto body = failureBody("not_run", reason, Millis{0});
    body["errors"] = list;
    return {.status = 400, .body = dump(body)};
}

auto verdictName(RequestVerdict verdict) -> const char *
{
    switch (verdict) {
    case RequestVerdict::Answer:
        return "answer";
    case RequestVerdict::NotRun:
        return "not_run";
    case RequestVerdict::OutcomeUnknown:
        break;
    }
    return "outcome_unknown";
}

auto toResponse(const RequestReply &reply) -> HttpResponse
{
    auto body = json{{"result", verdictName(reply.verdict)}, {"request_id", reply.request.str()}, {"config_version", reply.configVersion.value}};
    if (reply.verdict == RequestVerdict::Answer) {
        body["answer"] = reply.answer;
    }
    body["reason"] = reply.reason;
    body["retry_after_ms"] = reply.retryAfter.count();
    auto response = HttpResponse{.status = reply.status, .body = dump(body)};
    if (reply.retryAfter > Millis{0}) {
        response.headers.emplace_back("Retry-After", std::to_string((reply.retryAfter.count() + 999) / 1000));
    }
    return response;
}

auto jobToJson(const Job &job) -> json
{
    return {
        {"job", job.spec.id.str()},
        {"state", jobStateName(job.state)},
        {"workspace", job.spec.workspace.str()},
        {"caller", job.spec.caller.str()},
        {"kind", job.spec.kind.str()},
        {"key", job.spec.key.str()},
        {"domain", job.spec.domain.str()},
        {"tasks", job.spec.tasks},
        {"slots_per_task", job.spec.slotsPerTask.value},
        {"attempt", job.attempt},
        {"cancel_requested", job.cancelRequested},
        {"reason", job.detail},
        {"checkpoint", job.checkpoint},
        {"revision", job.revision},
        {"accepted_ms", job.accepted.time_since_epoch().count()},
        {"changed_ms", job.changed.time_since_epoch().count()},
    };
}

/// A call whose credential has been checked.
struct Authorized
{
    std::shared_ptr<const ActiveConfig> config;
    WorkspaceId workspace;
};

using AuthorizedHandler = std::function<HttpResponse(const HttpRequest &, const Authorized &)>;

auto guarded(const CallerContext &context, AuthorizedHandler handler) -> HttpListener::Handler
{
    return [context, handler = std::move(handler)](const HttpRequest &request) -> HttpResponse {
        const auto config = context.config->active();
        if (!config) {
            return refuse(503, "no configuration is known yet", Millis{1000});
        }
        const auto workspace = authenticate(*config, request);
        if (!workspace) {
            context.unauthorized();
            auto response = refuse(401, "a valid workspace token is required");
            response.headers.emplace_back("WWW-Authenticate", "Bearer");
            return response;
        }
        return handler(request, {.config = config, .workspace = *workspace});
    };
}

/// Reads the field "workspace", which may be left out, and compares it with the credential's.
auto checkWorkspace(JsonFields &fields, const WorkspaceId &workspace) -> bool
{
    return fields.text("workspace", workspace.str(), maxNameLength) == workspace.str();
}

auto readRequest(JsonFields &fields, const WorkspaceId &workspace) -> RequestCall
{
    auto call = RequestCall{.workspace = workspace};
    call.caller = CallerId{fields.identifier("caller", "default", maxNameLength)};
    call.kind = KindId{fields.requiredText("kind", maxNameLength)};
    call.key = IdempotencyKey{fields.identifier("key", "", maxKeyLength)};
    call.payload = fields.text("payload", "", std::string::npos);
    call.attempt = static_cast<int>(fields.integer("attempt", 0, 1, 1'000'000));
    if (const auto n = fields.optionalInteger("first_sent_ms", 0, std::int64_t{1} << 52U)) {
        call.firstSent = WallTime{Millis{*n}};
    }
    if (const auto n = fields.optionalInteger("deadline_ms", 1, maxDeadlineMs)) {
        call.deadline = Millis{*n};
    }
    fields.rejectOthers();
    return call;
}

/// Refuses a request that bears a ticket; whether an earlier attempt ran is not known here.
auto refuseTicket(const RequestCall &call, const std::string &reason) -> HttpResponse
{
    if (call.attempt == 1) {
        return refuse(503, reason, Millis{1000});
    }
    return {.status = 504, .body = dump(failureBody("outcome_unknown", reason + "; an earlier attempt may have run", Millis{1000}))};
}

/// Serves a ticket on the instance that issued it.
auto forwardTicket(const CallerContext &context, const Ticket &ticket, const RequestCall &call) -> HttpResponse
{
    const auto pass = context.gate->enter(call.workspace, call.kind, call.caller, Bytes{static_cast<std::int64_t>(call.payload.size())});
    return pass ? toResponse(context.forwardTicket(ticket, call)) : refuseTicket(call, "too many calls are in progress");
}

auto postRequest(const CallerContext &context, const HttpRequest &request, const Authorized &who) -> HttpResponse
{
    auto fields = JsonFields{request.body};
    const auto own = checkWorkspace(fields, who.workspace);
    const auto call = readRequest(fields, who.workspace);
    if (!fields.errors().empty()) {
        return refuseFields(fields.errors());
    }
    if (!own) {
        return refuse(403, "the token belongs to another workspace");
    }
    const auto isTicket = TicketService::looksLikeTicket(call.key.str());
    if (*context.draining) {
        return isTicket ? refuseTicket(call, draining) : toResponse(context.requests->refuse(call, draining));
    }
    if (!isTicket) {
        return toResponse(context.requests->handle(call));
    }
    const auto ticket = context.tickets->parse(call.key.str());
    if (!ticket) {
        return refuse(400, "the ticket is not valid");
    }
    if (context.tickets->owns(*ticket)) {
        return toResponse(context.tickets->serve(*ticket, call, [&] { return context.requests->handleOwned(call); }));
    }
    return forwardTicket(context, *ticket, call);
}

auto postTicket(const CallerContext &context, const HttpRequest &request, const Authorized &who) -> HttpResponse
{
    auto fields = JsonFields{request.body.empty() ? "{}" : request.body};
    const auto own = checkWorkspace(fields, who.workspace);
    fields.rejectOthers();
    if (!fields.errors().empty()) {
        return refuseFields(fields.errors());
    }
    if (!own) {
        return refuse(403, "the token belongs to another workspace");
    }
    const auto key = context.tickets->issue(who.workspace);
    if (!key) {
        return refuse(429, key.error().message, Millis{10'000});
    }
    return {.body = dump({{"key", key.value().str()}})};
}

auto readJob(JsonFields &fields, const Authorized &who) -> JobDescription
{
    const auto &workspace = who.workspace;
    const auto adjacency = std::map<std::string, JobAdjacency>{{"worker", JobAdjacency::Worker}, {"rack", JobAdjacency::Rack}, {"any", JobAdjacency::Any}};
    const auto urgency = std::map<std::string, WorkUrgency>{{"urgent", WorkUrgency::Urgent}, {"normal", WorkUrgency::Normal}, {"batch", WorkUrgency::Batch}};
    auto spec = JobDescription{.workspace = workspace};
    spec.caller = CallerId{fields.identifier("caller", "default", maxNameLength)};
    spec.kind = KindId{fields.requiredText("kind", maxNameLength)};
    spec.key = IdempotencyKey{fields.identifier("key", "", maxKeyLength)};
    if (spec.key.empty()) {
        fields.addError("key", "is required");
    }
    spec.domain = FailureDomainId{fields.identifier("domain", "", maxNameLength)};
    spec.tasks = static_cast<int>(fields.integer("tasks", 1, 1, maxGang));
    spec.slotsPerTask = SlotCount{fields.integer("slots_per_task", 1, 1, maxSlotsPerTask)};
    spec.adjacency = fields.choice("adjacency", "any", adjacency);
    const auto *kind = findKind(who.config->document, spec.kind);
    spec.urgency = fields.choice("urgency", kind == nullptr ? "normal" : urgencyName(kind->urgency), urgency);
    spec.declared = Seconds{fields.integer("declared_seconds", 0, 0, maxDeclaredSeconds)};
    spec.checkpointable = fields.boolean("checkpointable", false);
    spec.restartable = fields.boolean("restartable", false);
    spec.payload = fields.text("payload", "", maxJobPayload);
    spec.id = makeJobId(workspace, spec.key);
    fields.rejectOthers();
    return spec;
}

/// Slots of each rack and the largest worker of one failure domain, from the instance list.
struct DomainSize
{
    std::map<RackId, std::int64_t> racks;
    std::int64_t largestWorker = 0;
    std::int64_t total = 0;
};

auto domainSizes(const FleetView &view) -> std::map<FailureDomainId, DomainSize>
{
    auto sizes = std::map<FailureDomainId, DomainSize>{};
    for (const auto &it : view.workers) {
        auto &size = sizes[it.domain];
        size.racks[it.rack] += it.slots;
        size.largestWorker = std::max<std::int64_t>(size.largestWorker, it.slots);
        size.total += it.slots;
    }
    return sizes;
}

auto fits(const JobDescription &spec, const DomainSize &size) -> bool
{
    const auto slots = spec.slotsPerTask.value * spec.tasks;
    if (spec.slotsPerTask.value > size.largestWorker) {
        return false;
    }
    switch (spec.adjacency) {
    case JobAdjacency::Worker:
        return slots <= size.largestWorker;
    case JobAdjacency::Rack:
        return std::any_of(size.racks.begin(), size.racks.end(), [&](const auto &it) { return slots <= it.second; });
    case JobAdjacency::Any:
        break;
    }
    return slots <= size.total;
}

/// Chooses the home failure domain: the one named, else this instance's own, else the largest one that can hold the job.
/// @return an empty text, or why the job can never run on the known fleet.
auto chooseHome(const CallerContext &context, JobDescription &spec) -> std::string
{
    const auto sizes = domainSizes(*context.fleet->view());
    const auto named = !spec.domain.empty();
    if (sizes.empty()) {
        spec.domain = named ? spec.domain : context.domain;
        return {};
    }
    const auto own = named ? spec.domain : context.domain;
    const auto it = sizes.find(own);
    if (it != sizes.end() && fits(spec, it->second)) {
        spec.domain = own;
        return {};
    }
    if (named) {
        return it == sizes.end() ? "failure domain '" + own.str() + "' has no workers" : "failure domain '" + own.str() + "' can never hold the gang";
    }
    auto best = std::int64_t{-1};
    for (const auto &[id, size] : sizes) {
        if (fits(spec, size) && size.total > best) {
            best = size.total;
            spec.domain = id;
        }
    }
    return best < 0 ? "no failure domain can ever hold the gang" : std::string{};
}

auto checkJobKind(const Authorized &who, const JobDescription &spec) -> std::optional<HttpResponse>
{
    const auto *kind = findKind(who.config->document, spec.kind);
    if (kind == nullptr || kind->mode != WorkMode::Job) {
        return refuse(400, "kind '" + spec.kind.str() + "' is not a kind of job");
    }
    if (!mayUseKind(who.config->document, who.workspace, spec.kind)) {
        return refuse(403, "no service of the workspace offers kind '" + spec.kind.str() + "'");
    }
    if (spec.payload.size() > static_cast<std::size_t>(kind->maxPayload.value)) {
        return refuse(413, "the payload is longer than the kind allows");
    }
    if (spec.restartable && !kind->idempotent) {
        return refuse(400, "kind '" + spec.kind.str() + "' is not idempotent, so its jobs cannot be restartable");
    }
    return std::nullopt;
}

auto submitResponse(const SubmitResult &result) -> HttpResponse
{
    switch (result.outcome) {
    case SubmitOutcome::Accepted:
        return {.status = 202, .body = dump(jobToJson(*result.job))};
    case SubmitOutcome::Exists:
        return {.status = 200, .body = dump(jobToJson(*result.job))};
    case SubmitOutcome::KeyInUse:
        return refuse(409, result.reason);
    case SubmitOutcome::NotAccepted:
        return refuse(503, result.reason, Millis{1000});
    case SubmitOutcome::Unknown:
        break;
    }
    return {.status = 504, .body = dump(failureBody("outcome_unknown", result.reason + "; send the same key again", Millis{1000}))};
}

auto postJob(const CallerContext &context, const HttpRequest &request, const Authorized &who) -> HttpResponse
{
    auto fields = JsonFields{request.body};
    const auto own = checkWorkspace(fields, who.workspace);
    auto spec = readJob(fields, who);
    if (!fields.errors().empty()) {
        return refuseFields(fields.errors());
    }
    if (!own) {
        return refuse(403, "the token belongs to another workspace");
    }
    if (auto refused = checkJobKind(who, spec)) {
        return *refused;
    }
    if (*context.draining) {
        return refuse(503, draining, Millis{1000});
    }
    const auto pass = context.gate->enter(who.workspace, submitClass, spec.caller, Bytes{static_cast<std::int64_t>(spec.payload.size())});
    if (!pass) {
        return refuse(429, "too many submissions of the workspace are in progress", Millis{1000});
    }
    // A repeated key gets its job even if the fleet can no longer hold it.
    if (const auto known = context.jobs->find(spec.id); !known) {
        if (const auto reason = chooseHome(context, spec); !reason.empty()) {
            return refuse(422, reason);
        }
        // Such a job cannot give way, so that guarantees may leave it no place even on an idle fleet. Others can.
        if (!spec.restartable) {
            if (const auto reason = unschedulableReason(who.config->document, *context.fleet->view(), spec)) {
                return refuse(422, "failure domain '" + spec.domain.str() + "': " + *reason);
            }
        }
    }
    auto result = context.jobs->submit(spec, submitWait);
    if (result.outcome == SubmitOutcome::KeyInUse) {
        // Another instance may have accepted the key meanwhile with another choice of the failure domain, which is no conflict.
        result = context.jobs->submit(spec, submitWait);
    }
    if (result.outcome == SubmitOutcome::Accepted) {
        context.noticeJob(*result.job);
    }
    return submitResponse(result);
}

auto ownJob(const CallerContext &context, const HttpRequest &request, const Authorized &who) -> std::optional<Job>
{
    auto job = context.jobs->find(JobId{request.matches.at(0)});
    // A job of another workspace looks like none, so that ids cannot be probed.
    return job && job->spec.workspace == who.workspace ? job : std::nullopt;
}

auto notFound(const HttpRequest &request) -> HttpResponse
{
    return {.status = 404, .body = dump({{"reason", "no job '" + request.matches.at(0) + "' in this workspace"}})};
}

/// Reads a whole number of the query; larger ones than @p most count as @p most.
/// @return the number, @p otherwise when it is missing, or nothing when it is malformed.
auto readCount(const HttpRequest &request, const char *name, std::int64_t otherwise, std::int64_t most) -> std::optional<std::int64_t>
{
    const auto text = request.param(name);
    if (!request.params.contains(name)) {
        return otherwise;
    }
    constexpr auto maxDigits = std::size_t{18};
    const auto digits = !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isdigit(c) != 0; });
    if (!digits) {
        return std::nullopt;
    }
    return text.size() > maxDigits ? most : std::min<std::int64_t>(most, std::stoll(text));
}

auto badParameter(const char *name, const char *rule) -> HttpResponse
{
    return {.status = 400, .body = dump({{"reason", std::string(name) + " must be " + rule}})};
}

auto getJob(const CallerContext &context, const HttpRequest &request, const Authorized &who) -> HttpResponse
{
    const auto wait = readCount(request, "wait_ms", 0, maxWait.count());
    if (!wait) {
        return badParameter("wait_ms", "a whole number from 0");
    }
    auto job = ownJob(context, request, who);
    if (!job) {
        return notFound(request);
    }
    // Without a pass the present state is the answer; the caller asks again.
    const auto pass = context.gate->enter(who.workspace, waitClass, job->spec.caller, Bytes{0});
    const auto deadline = context.clock.mono() + (pass ? Millis{*wait} : Millis{0});
    while (job && !isTerminal(job->state) && context.clock.mono() < deadline && !*context.draining) {
        const auto left = std::chrono::duration_cast<Millis>(deadline - context.clock.mono());
        job = context.jobs->waitChanged(job->spec.id, job->revision, std::min(left, Millis{1000}));
    }
    return job ? HttpResponse{.body = dump(jobToJson(*job))} : notFound(request);
}

auto listJobs(const CallerContext &context, const HttpRequest &request, const Authorized &who) -> HttpResponse
{
    const auto wanted = readCount(request, "limit", defaultPage, maxPage);
    if (!wanted) {
        return badParameter("limit", "a whole number from 1 to 1000");
    }
    const auto live = request.param("live");
    if (request.params.contains("live") && live != "true" && live != "false") {
        return badParameter("live", "true or false");
    }
    const auto limit = std::max<std::size_t>(1, static_cast<std::size_t>(*wanted));
    auto filter = JobFilter{.workspace = who.workspace, .state = std::nullopt, .liveOnly = live == "true"};
    const auto jobs = context.jobs->list(filter, JobId{request.param("after")}, limit);
    auto list = json::array();
    for (const auto &it : jobs) {
        list.push_back(jobToJson(it));
    }
    auto body = json{{"jobs", list}};
    if (jobs.size() == limit) {
        body["next"] = jobs.back().spec.id.str();
    }
    return {.body = dump(body)};
}

auto deleteJob(const CallerContext &context, const HttpRequest &request, const Authorized &who) -> HttpResponse
{
    const auto job = ownJob(context, request, who);
    if (!job) {
        return notFound(request);
    }
    const auto cancelled = context.jobs->cancel(job->spec.id, who.workspace.str(), "cancelled by its workspace");
    if (!cancelled) {
        return refuse(503, cancelled.error().message, Millis{1000});
    }
    // The work ends at once, also while the log is down. The caller learns that it stays ended only when the log says so.
    context.noticeJob(cancelled.value());
    const auto pass = context.gate->enter(who.workspace, waitClass, job->spec.caller, Bytes{0});
    if (!context.jobs->waitCancelStored(job->spec.id, pass ? cancelWait : Millis{0})) {
        const auto *reason = "the log has not confirmed the cancellation; cancel the job again";
        return {.status = 504, .body = dump(failureBody("outcome_unknown", reason, Millis{1000}))};
    }
    const auto stored = context.jobs->find(job->spec.id); // nothing when its retention has passed meanwhile
    return {.status = 202, .body = dump(jobToJson(stored ? *stored : cancelled.value()))};
}

}

auto authenticate(const ActiveConfig &config, const HttpRequest &request) -> std::optional<WorkspaceId>
{
    constexpr auto scheme = std::string_view{"Bearer "};
    const auto header = request.header("authorization");
    if (!header.starts_with(scheme)) {
        return std::nullopt;
    }
    const auto hash = sha256Hex(std::string_view(header).substr(scheme.size()));
    auto found = std::optional<WorkspaceId>{};
    // Every token is compared, so that the time does not tell which one matched.
    for (const auto &workspace : config.document.workspaces) {
        for (const auto &token : workspace.tokens) {
            if (constantTimeEqual(token, hash)) {
                found = workspace.name;
            }
        }
    }
    return found;
}

auto addCallerRoutes(HttpListener &listener, const CallerContext &context) -> void
{
    const auto add = [&](const char *method, const char *pattern, auto function) {
        listener.route(method, pattern, guarded(context, [context, function](const HttpRequest &request, const Authorized &who) {
                           return function(context, request, who);
                       }));
    };
    add("POST", "/v1/requests", postRequest);
    add("POST", "/v1/tickets", postTicket);
    add("POST", "/v1/jobs", postJob);
    add("GET", "/v1/jobs", listJobs);
    add("GET", "/v1/jobs/([^/]+)", getJob);
    add("DELETE", "/v1/jobs/([^/]+)", deleteJob);
}

}

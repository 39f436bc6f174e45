#include "daemon/operatorapi.h"

#include "util/digest.h"
#include "util/jsonnumbers.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <map>

namespace Catkin
{

namespace
{

using nlohmann::json;

constexpr auto viewWait = Millis{1'000};
/// Above what a document may have, so that validation names the fault; below any depth at which writing it again ends the stack.
constexpr auto maxConfigDepth = 64;

auto dump(const json &body) -> std::string
{
    return body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

auto problem(int status, const std::string &reason) -> HttpResponse
{
    return {.status = status, .body = dump({{"reason", reason}})};
}

auto errorList(const std::vector<FieldError> &errors) -> json
{
    auto list = json::array();
    for (const auto &it : errors) {
        list.push_back({{"path", it.path}, {"message", it.message}});
    }
    return list;
}

auto ageOf(std::optional<Millis> age) -> json
{
    return age ? json(age->count()) : json(nullptr);
}

using OperatorHandler = std::function<HttpResponse(const HttpRequest &, const std::string &name)>;

auto guarded(const OperatorContext &context, OperatorHandler handler) -> HttpListener::Handler
{
    return [context, handler = std::move(handler)](const HttpRequest &request) -> HttpResponse {
        const auto name = authenticateOperator(context, request);
        if (!name) {
            context.unauthorized();
            auto response = problem(401, "a valid operator token is required");
            response.headers.emplace_back("WWW-Authenticate", "Basic realm=\"catkinworks\"");
            return response;
        }
        return handler(request, *name);
    };
}

auto getConfig(const OperatorContext &context) -> HttpResponse
{
    const auto active = context.config->active();
    if (!active) {
        return {.status = 404,
                .body = dump({{"version", 0}, {"document", nullptr}, {"reason", "no configuration is known"}, {"log_age_ms", ageOf(context.config->age())}})};
    }
    return {.body = dump({
                {"version", active->state.version.value},
                {"author", active->state.author},
                {"document", json::parse(active->state.document, nullptr, false)},
                {"log_age_ms", ageOf(context.config->age())},
            })};
}

auto applyResponse(const ApplyResult &result) -> HttpResponse
{
    switch (result.outcome) {
    case ApplyOutcome::Accepted:
        return {.body = dump({{"result", "accepted"}, {"version", result.version.value}})};
    case ApplyOutcome::Invalid:
        return {.status = 422, .body = dump({{"result", "rejected"}, {"reason", result.reason}, {"errors", errorList(result.errors)}})};
    case ApplyOutcome::Conflict:
        return {.status = 409, .body = dump({{"result", "conflict"}, {"reason", result.reason}, {"version", result.version.value}})};
    case ApplyOutcome::NotApplied:
        return {.status = 503, .body = dump({{"result", "not_applied"}, {"reason", result.reason}})};
    case ApplyOutcome::Unknown:
        break;
    }
    return {.status = 504, .body = dump({{"result", "outcome_unknown"}, {"reason", result.reason}})};
}

auto putConfig(const OperatorContext &context, const HttpRequest &request, const std::string &author) -> HttpResponse
{
    const auto body = parseShallow(request.body, maxConfigDepth);
    if (!body.is_object() || !body.contains("base") || !body["base"].is_number_unsigned() || !body.contains("document") || body.size() != 2) {
        return problem(400, "the body must be an object with only 'base', the version on which the change is based, and 'document'");
    }
    const auto text = body["document"].is_string() ? body["document"].get<std::string>() : body["document"].dump();
    const auto base = ConfigVersion{body["base"].get<std::int64_t>()};
    return applyResponse(context.config->apply(base, author, text, domainFleets(*context.fleet->view())));
}

auto validateConfig(const OperatorContext &context, const HttpRequest &request) -> HttpResponse
{
    const auto parsed = context.config->validate(request.body, domainFleets(*context.fleet->view()));
    const auto valid = parsed.errors.empty();
    return {.status = valid ? 200 : 422, .body = dump({{"valid", valid}, {"errors", errorList(parsed.errors)}})};
}

auto getVersions(const OperatorContext &context) -> HttpResponse
{
    const auto active = context.config->active();
    auto list = json::array();
    list.push_back({
        {"instance", context.instance.str()},
        {"version", active ? active->state.version.value : 0},
        {"age_ms", 0},
        {"state", "self"},
    });
    for (const auto &it : context.mesh->membership().instances(context.clock.mono())) {
        if (!it.self) {
            list.push_back({
                {"instance", it.id.str()},
                {"version", it.last ? json(it.last->configVersion.value) : json(nullptr)},
                {"age_ms", ageOf(it.age)},
                {"state", instanceStateName(it.state)},
            });
        }
    }
    return {.body = dump({{"instances", list}, {"log_age_ms", ageOf(context.config->age())}})};
}

auto getInstances(const OperatorContext &context) -> HttpResponse
{
    auto list = json::array();
    for (const auto &it : context.mesh->membership().instances(context.clock.mono())) {
        auto planners = json::array();
        if (it.last) {
            for (const auto &role : it.last->planners) {
                planners.push_back(role.domain.str());
            }
        }
        list.push_back({
            {"instance", it.id.str()},
            {"domain", it.domain.str()},
            {"region", it.region.str()},
            {"address", it.address},
            {"state", instanceStateName(it.state)},
            {"self", it.self},
            {"age_ms", ageOf(it.age)},
            {"plans", planners},
        });
    }
    return {.body = dump({{"instances", list}, {"list_age_ms", ageOf(context.fleet->age())}})};
}

auto generationToJson(const Generation &generation) -> json
{
    return {{"counter", generation.counter}, {"holder", generation.holder}};
}

auto getWorkers(const OperatorContext &context) -> HttpResponse
{
    auto list = json::array();
    for (const auto &view : context.planners->views(viewWait)) {
        for (const auto &it : view.workers) {
            const auto live = std::count_if(it.leases.begin(), it.leases.end(), [](const WorkerLease &lease) { return lease.state != LeaseState::Ended; });
            list.push_back({
                {"worker", it.worker.str()},
                {"domain", view.domain.str()},
                {"rack", it.rack.str()},
                {"slots", it.slots},
                {"reachable", it.reachable},
                {"leaving", it.leaving},
                {"leases", live},
                {"generation", generationToJson(it.generation)},
            });
        }
    }
    return {.body = dump({{"workers", list}})};
}

auto getLeases(const OperatorContext &context) -> HttpResponse
{
    constexpr auto states = std::array{"reserved", "running", "checkpointing", "ended"};
    auto list = json::array();
    for (const auto &view : context.planners->views(viewWait)) {
        for (const auto &worker : view.workers) {
            for (const auto &it : worker.leases) {
                if (it.state != LeaseState::Ended) {
                    list.push_back({
                        {"lease", it.lease.str()},
                        {"job", it.job.str()},
                        {"attempt", it.attempt},
                        {"member", it.member},
                        {"worker", worker.worker.str()},
                        {"domain", view.domain.str()},
                        {"slots", it.slots},
                        {"state", states[static_cast<std::size_t>(it.state)]},
                        {"remaining_ms", it.remaining.count()},
                    });
                }
            }
        }
    }
    return {.body = dump({{"leases", list}})};
}

auto getExecutors(const OperatorContext &context) -> HttpResponse
{
    constexpr auto states = std::array{"usable", "leaving", "suspect", "down"};
    auto list = json::array();
    for (const auto &it : context.requests->executors()) {
        list.push_back({
            {"executor", it.id.str()},
            {"state", states[static_cast<std::size_t>(it.state)]},
            {"quarantined", it.quarantined},
            {"in_flight", it.inFlight},
            {"peers_in_flight", it.peersInFlight},
            {"share", it.share},
            {"slots", it.slots},
            {"limit", it.limit},
        });
    }
    return {.body = dump({{"executors", list}})};
}

auto plannerToJson(const PlannerView &view) -> json
{
    auto queue = json::array();
    for (const auto &it : view.queue) {
        queue.push_back({
            {"job", it.job.str()},
            {"workspace", it.workspace.str()},
            {"slots", it.slots},
            {"reason", it.reason},
            {"parked", it.parked},
            {"reserved", it.reserved},
        });
    }
    return {
        {"domain", view.domain.str()},
        {"claimed", view.claimed},
        {"generation", generationToJson(view.generation)},
        {"gangs", view.gangs},
        {"workers", view.stats.workers},
        {"usable_slots", view.stats.usableSlots},
        {"free_slots", view.stats.freeSlots},
        {"guaranteed_slots_in_use", view.stats.coveredSlots},
        {"borrowed_slots", view.stats.borrowedSlots},
        {"guarantee_deficit", view.stats.guaranteeDeficit},
        {"fragmentation", view.stats.fragmentation},
        {"quarantined_workers", view.stats.quarantinedWorkers},
        {"queue", queue},
    };
}

auto getQueues(const OperatorContext &context) -> HttpResponse
{
    auto requests = json::array();
    for (const auto &it : context.requests->queues()) {
        requests.push_back({
            {"workspace", it.workspace.str()},
            {"kind", it.kind.str()},
            {"caller", it.caller.str()},
            {"queued", it.queued},
            {"average_cost_us", it.averageCost.count()},
            {"oldest_wait_ms", it.oldestWait.count()},
        });
    }
    auto planners = json::array();
    for (const auto &it : context.planners->views(viewWait)) {
        planners.push_back(plannerToJson(it));
    }
    return {.body = dump({{"requests", requests}, {"planners", planners}})};
}

auto getSlo(const OperatorContext &context) -> HttpResponse
{
    auto list = json::array();
    for (const auto &it : context.slo()) {
        auto windows = json::array();
        for (const auto &window : it.windows) {
            windows.push_back({
                {"window_ms", std::chrono::duration_cast<Millis>(window.length).count()},
                {"good", window.counts.good},
                {"total", window.counts.good + window.counts.bad},
            });
        }
        list.push_back({
            {"workspace", it.objective.workspace.str()},
            {"kind", it.objective.kind.str()},
            {"latency_ms", it.objective.latency.count()},
            {"target_percent", it.objective.targetMillipercent / 1000.0},
            {"burn_rate_short", it.burnShort},
            {"burn_rate_long", it.burnLong},
            {"budget_left", it.budgetLeft},
            {"alert", alertName(it.alert)},
            {"windows", windows},
        });
    }
    return {.body = dump({{"objectives", list}})};
}

auto decodeBase64(std::string_view text) -> std::string
{
    constexpr auto alphabet = std::string_view{"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/"};
    auto out = std::string{};
    auto bits = 0U;
    auto count = 0;
    for (const auto c : text) {
        const auto value = alphabet.find(c);
        if (value == std::string_view::npos) {
            break;
        }
        bits = (bits << 6U) | static_cast<unsigned>(value);
        count += 6;
        if (count >= 8) {
            count -= 8;
            out += static_cast<char>((bits >> static_cast<unsigned>(count)) & 0xffU);
        }
    }
    return out;
}

/// @return the token of a Bearer header, or the password of a Basic header, which browsers send for the console.
auto presentedToken(const HttpRequest &request) -> std::string
{
    const auto header = request.header("authorization");
    if (header.starts_with("Bearer ")) {
        return header.substr(7);
    }
    if (header.starts_with("Basic ")) {
        const auto pair = decodeBase64(std::string_view(header).substr(6));
        const auto colon = pair.find(':');
        return colon == std::string::npos ? std::string{} : pair.substr(colon + 1);
    }
    return {};
}

auto addProbes(HttpListener &listener, const OperatorContext &context) -> void
{
    listener.route("GET", "/healthz", [](const HttpRequest &) { return HttpResponse{.body = "ok\n", .contentType = "text/plain"}; });
    listener.route("GET", "/readyz", [context](const HttpRequest &) {
        const auto reason = context.readiness();
        return HttpResponse{.status = reason.empty() ? 200 : 503, .body = reason.empty() ? "ready\n" : reason + "\n", .contentType = "text/plain"};
    });
    listener.route(
        "GET", "/metrics", [context](const HttpRequest &) { return HttpResponse{.body = context.metrics(), .contentType = "text/plain; version=0.0.4"}; });
}

}

auto domainFleets(const FleetView &view) -> std::vector<DomainFleet>
{
    auto racks = std::map<FailureDomainId, std::map<RackId, int>>{};
    auto slots = std::map<FailureDomainId, int>{};
    for (const auto &it : view.workers) {
        if (it.leaving) {
            continue;
        }
        ++racks[it.domain][it.rack];
        const auto known = slots.find(it.domain);
        slots[it.domain] = known == slots.end() ? it.slots : std::min(known->second, it.slots);
    }
    auto out = std::vector<DomainFleet>{};
    for (const auto &[domain, counts] : racks) {
        auto fleet = DomainFleet{.domain = domain, .slotsPerWorker = slots[domain], .workersPerRack = {}};
        for (const auto &[rack, n] : counts) {
            fleet.workersPerRack.push_back(n);
        }
        out.push_back(std::move(fleet));
    }
    return out;
}

auto authenticateOperator(const OperatorContext &context, const HttpRequest &request) -> std::optional<std::string>
{
    const auto hash = sha256Hex(presentedToken(request));
    auto found = std::optional<std::string>{};
    if (!context.tokenHash.empty() && constantTimeEqual(context.tokenHash, hash)) {
        found = "settings";
    }
    if (const auto active = context.config->active()) {
        for (const auto &it : active->document.operators) {
            if (constantTimeEqual(it.token, hash)) {
                found = it.name;
            }
        }
    }
    return found;
}

auto addOperatorRoutes(HttpListener &listener, const OperatorContext &context) -> void
{
    addProbes(listener, context);
    const auto add = [&](const char *method, const char *pattern, auto function) {
        listener.route(method, pattern, guarded(context, [context, function](const HttpRequest &, const std::string &) { return function(context); }));
    };
    add("GET", "/v1/config", getConfig);
    add("GET", "/v1/config/versions", getVersions);
    add("GET", "/v1/instances", getInstances);
    add("GET", "/v1/workers", getWorkers);
    add("GET", "/v1/leases", getLeases);
    add("GET", "/v1/executors", getExecutors);
    add("GET", "/v1/queues", getQueues);
    add("GET", "/v1/slo", getSlo);
    add("POST", "/v1/drain", [](const OperatorContext &it) {
        it.drain();
        return HttpResponse{.status = 202, .body = dump({{"result", "draining"}})};
    });
    listener.route(
        "PUT", "/v1/config", guarded(context, [context](const HttpRequest &request, const std::string &name) { return putConfig(context, request, name); }));
    listener.route("POST", "/v1/config/validate", guarded(context, [context](const HttpRequest &request, const std::string &) {
                       return validateConfig(context, request);
                   }));
}

}

#include "state/document.h"

#include "state/fieldreader.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace Catkin
{

namespace
{

using nlohmann::json;

constexpr auto maxWorkspaces = std::size_t{1000};
constexpr auto maxNamed = std::size_t{2000}; ///< limit of services, of kinds and of operators
constexpr auto maxObjectives = std::size_t{5000};
constexpr auto maxTokens = std::size_t{100};
constexpr auto maxGuarantees = std::size_t{100};
constexpr auto maxKindsPerService = std::size_t{500};
constexpr auto maxWeight = std::int64_t{1000};
constexpr auto maxBlockSlots = std::int64_t{4096};
constexpr auto maxGuaranteeCount = std::int64_t{1000};
constexpr auto maxQuotaSlots = std::int64_t{1'000'000};
constexpr auto maxCallersLimit = std::int64_t{100'000};
constexpr auto maxDeadlineMs = std::int64_t{3'600'000};
constexpr auto defaultDeadlineMs = std::int64_t{30'000};
constexpr auto maxLatencyMs = std::int64_t{86'400'000};
constexpr auto defaultPayloadBytes = std::int64_t{65'536};
/// A request that is forwarded by ticket must fit into one peer frame of 1 MiB.
constexpr auto maxRequestPayloadBytes = std::int64_t{960} * 1024;
/// Smaller than for requests, because a job's payload is stored in the log and in the memory of every instance.
constexpr auto maxJobPayloadBytes = std::int64_t{65'536};
constexpr auto maxToleratedWorkers = std::int64_t{64};
constexpr auto maxToleratedRacks = std::int64_t{8};
constexpr auto millipercentPerPercent = 1000;
constexpr auto hundredPercent = 100 * millipercentPerPercent; ///< in thousandths of a percent

/// Path of the first occurrence of every name.
using FirstPaths = std::map<std::string, std::string>;

/// Reports @p name if it has occurred before; an empty one has been reported already.
/// @param what kind of name, for the message
auto checkUnique(FirstPaths &firstPaths, const std::string &name, const std::string &path, const char *what, std::vector<FieldError> &errors) -> void
{
    if (name.empty()) {
        return;
    }
    const auto [it, added] = firstPaths.try_emplace(name, path);
    if (!added) {
        errors.push_back({path, std::string(what) + " already occurs at " + it->second});
    }
}

auto readGuarantee(const json &value, const std::string &path, std::vector<FieldError> &errors) -> GuaranteeConfig
{
    auto reader = FieldReader{value, path, errors};
    auto guarantee = GuaranteeConfig{
        .domain = FailureDomainId{reader.name("domain")},
        .slots = {reader.integer("slots", {.min = 1, .max = maxBlockSlots})},
        .count = static_cast<int>(reader.integer("count", {.min = 1, .max = maxGuaranteeCount})),
    };
    reader.reportUnknownFields();
    return guarantee;
}

auto readToken(const json &value, const std::string &path, std::vector<FieldError> &errors) -> std::string
{
    if (!value.is_string() || !isSha256(value.get_ref<const std::string &>())) {
        errors.push_back({path, "has to be a SHA-256 of 64 lower-case hex digits"});
        return {};
    }
    return value.get<std::string>();
}

auto readWorkspace(const json &value, const std::string &path, std::vector<FieldError> &errors) -> WorkspaceConfig
{
    auto reader = FieldReader{value, path, errors};
    const auto defaults = WorkspaceConfig{};
    auto workspace = WorkspaceConfig{
        .name = WorkspaceId{reader.name("name")},
        .weight = static_cast<int>(reader.integer("weight", {.min = 1, .max = maxWeight, .fallback = defaults.weight})),
        .urgentSharePercent = static_cast<int>(reader.integer("urgent_share_percent", {.min = 0, .max = 100, .fallback = defaults.urgentSharePercent})),
    };
    reader.each(
        "tokens", false, maxTokens, [&](const json &token, const std::string &itemPath) { workspace.tokens.push_back(readToken(token, itemPath, errors)); });
    if (reader.has("callers_limit")) {
        workspace.callersLimit = static_cast<int>(reader.integer("callers_limit", {.min = 1, .max = maxCallersLimit}));
    }
    reader.raw("callers_limit");
    auto firstPaths = FirstPaths{};
    auto total = SlotCount{};
    reader.each("guarantees", false, maxGuarantees, [&](const json &item, const std::string &itemPath) {
        workspace.guarantees.push_back(readGuarantee(item, itemPath, errors));
        const auto &it = workspace.guarantees.back();
        checkUnique(firstPaths, it.domain.str() + '/' + std::to_string(it.slots.value), itemPath, "this pair of domain and slots", errors);
        total += {blockSlots(it.slots).value * it.count};
    });
    const auto before = errors.size();
    if (reader.has("quota_slots")) {
        workspace.quotaSlots = SlotCount{reader.integer("quota_slots", {.min = 0, .max = maxQuotaSlots})};
        if (errors.size() == before && *workspace.quotaSlots < total) {
            reader.error("quota_slots",
                         "is " + std::to_string(workspace.quotaSlots->value) + " slots, but the guarantees of this workspace need "
                             + std::to_string(total.value) + " slots");
        }
    }
    reader.raw("quota_slots");
    reader.reportUnknownFields();
    return workspace;
}

auto readService(const json &value, const std::string &path, std::vector<FieldError> &errors) -> ServiceConfig
{
    auto reader = FieldReader{value, path, errors};
    auto service = ServiceConfig{.name = ServiceId{reader.name("name")}, .workspace = WorkspaceId{reader.name("workspace")}, .kinds = {}};
    auto firstPaths = FirstPaths{};
    reader.each("kinds", true, maxKindsPerService, [&](const json &item, const std::string &itemPath) {
        if (!item.is_string()) {
            errors.push_back({itemPath, "has to be the name of a kind"});
            service.kinds.emplace_back();
            return;
        }
        service.kinds.emplace_back(item.get<std::string>());
        checkUnique(firstPaths, service.kinds.back().str(), itemPath, "this kind", errors);
    });
    const auto *kinds = reader.raw("kinds");
    if (kinds != nullptr && kinds->is_array() && kinds->empty()) {
        reader.error("kinds", "is empty; a service has to offer at least one kind");
    }
    reader.reportUnknownFields();
    return service;
}

auto readKind(const json &value, const std::string &path, std::vector<FieldError> &errors) -> KindConfig
{
    auto reader = FieldReader{value, path, errors};
    auto kind = KindConfig{.name = KindId{reader.name("name")}};
    kind.mode = reader.choice("mode", {"request", "job"}, std::nullopt) == 0 ? WorkMode::Request : WorkMode::Job;
    const auto isJob = kind.mode == WorkMode::Job;
    kind.idempotent = reader.boolean("idempotent", false);
    kind.weight = static_cast<int>(reader.integer("weight", {.min = 1, .max = maxWeight, .fallback = kind.weight}));
    kind.urgency = static_cast<WorkUrgency>(reader.choice("urgency", {"urgent", "normal", "batch"}, static_cast<std::size_t>(WorkUrgency::Normal)));
    kind.maxPayload
        = {reader.integer("max_payload_bytes", {.min = 0, .max = isJob ? maxJobPayloadBytes : maxRequestPayloadBytes, .fallback = defaultPayloadBytes})};
    kind.crossRegion = reader.boolean("cross_region", false);
    if (isJob) {
        // The canonical text writes every field, so deadline_ms may be present; for jobs it is 0.
        if (reader.integer("deadline_ms", {.min = 0, .max = maxDeadlineMs, .fallback = 0}) != 0) {
            reader.error("deadline_ms", "is not allowed for a kind of mode job, because jobs are answered asynchronously");
        }
        if (kind.crossRegion) {
            reader.error("cross_region", "is not allowed for a kind of mode job, because a job runs in one failure domain");
        }
    } else {
        kind.deadline = Millis{reader.integer("deadline_ms", {.min = 1, .max = maxDeadlineMs, .fallback = defaultDeadlineMs})};
    }
    reader.reportUnknownFields();
    return kind;
}

/// @return target_percent in thousandths of a percent; reports a value that is out of range or has more than three decimals.
auto readTarget(FieldReader &reader) -> int
{
    const auto *value = reader.raw("target_percent");
    if (value == nullptr || !value->is_number()) {
        reader.error("target_percent", value == nullptr ? "is missing" : "has to be a number");
        return 0;
    }
    const auto scaled = value->get<double>() * millipercentPerPercent;
    if (!(scaled > 0 && scaled < hundredPercent)) {
        reader.error("target_percent", "has to be a percentage above 0 and below 100");
        return 0;
    }
    const auto rounded = std::lround(scaled);
    constexpr auto tolerance = 1e-6;
    if (std::abs(scaled - static_cast<double>(rounded)) > tolerance || rounded == 0 || rounded == hundredPercent) {
        reader.error("target_percent", "has to be a percentage with at most three decimals");
    }
    return static_cast<int>(rounded);
}

auto readObjective(const json &value, const std::string &path, std::vector<FieldError> &errors) -> ObjectiveConfig
{
    auto reader = FieldReader{value, path, errors};
    auto objective = ObjectiveConfig{
        .workspace = WorkspaceId{reader.name("workspace")},
        .kind = KindId{reader.name("kind")},
        .latency = Millis{reader.integer("latency_ms", {.min = 1, .max = maxLatencyMs})},
        .targetMillipercent = readTarget(reader),
    };
    reader.reportUnknownFields();
    return objective;
}

auto readOperator(const json &value, const std::string &path, std::vector<FieldError> &errors) -> OperatorConfig
{
    auto reader = FieldReader{value, path, errors};
    auto person = OperatorConfig{.name = reader.name("name"), .token = reader.sha256("token")};
    reader.reportUnknownFields();
    return person;
}

auto fieldPath(const char *list, std::size_t index, const char *field) -> std::string
{
    return std::string(list) + '[' + std::to_string(index) + "]." + field;
}

/// Reports names and tokens that occur twice.
auto checkDuplicates(const ConfigDocument &document, std::vector<FieldError> &errors) -> void
{
    auto tokenPaths = FirstPaths{};
    const auto names = [&](const char *list, const auto &items, const auto &nameOf) {
        auto firstPaths = FirstPaths{};
        for (auto i = std::size_t{0}; i < items.size(); ++i) {
            checkUnique(firstPaths, nameOf(items[i]), fieldPath(list, i, "name"), "this name", errors);
        }
    };
    names("workspaces", document.workspaces, [](const auto &it) { return it.name.str(); });
    names("services", document.services, [](const auto &it) { return it.name.str(); });
    names("kinds", document.kinds, [](const auto &it) { return it.name.str(); });
    names("operators", document.operators, [](const auto &it) { return it.name; });
    // A token identifies its workspace or operator, so it must not occur in two of them.
    for (auto i = std::size_t{0}; i < document.workspaces.size(); ++i) {
        for (auto k = std::size_t{0}; k < document.workspaces[i].tokens.size(); ++k) {
            checkUnique(
                tokenPaths, document.workspaces[i].tokens[k], fieldPath("workspaces", i, "tokens") + '[' + std::to_string(k) + ']', "this token", errors);
        }
    }
    for (auto i = std::size_t{0}; i < document.operators.size(); ++i) {
        checkUnique(tokenPaths, document.operators[i].token, fieldPath("operators", i, "token"), "this token", errors);
    }
}

auto checkServices(const ConfigDocument &document, std::vector<FieldError> &errors) -> void
{
    for (auto i = std::size_t{0}; i < document.services.size(); ++i) {
        const auto &service = document.services[i];
        const auto *workspace = findWorkspace(document, service.workspace);
        if (workspace == nullptr && isName(service.workspace.str())) {
            errors.push_back({fieldPath("services", i, "workspace"), "there is no workspace " + service.workspace.str()});
        }
        for (auto k = std::size_t{0}; k < service.kinds.size(); ++k) {
            const auto &name = service.kinds[k];
            const auto path = fieldPath("services", i, "kinds") + '[' + std::to_string(k) + ']';
            const auto *kind = findKind(document, name);
            if (kind == nullptr && !name.empty()) {
                errors.push_back({path, "there is no kind " + name.str()});
            } else if (kind != nullptr && kind->urgency == WorkUrgency::Urgent && workspace != nullptr && workspace->urgentSharePercent == 0) {
                errors.push_back({path, "kind " + name.str() + " is urgent, but urgent_share_percent of workspace " + workspace->name.str() + " is 0"});
            }
        }
    }
}

auto checkObjectives(const ConfigDocument &document, std::vector<FieldError> &errors) -> void
{
    auto firstPaths = FirstPaths{};
    for (auto i = std::size_t{0}; i < document.objectives.size(); ++i) {
        const auto &objective = document.objectives[i];
        const auto path = "objectives[" + std::to_string(i) + ']';
        if (!isName(objective.workspace.str()) || !isName(objective.kind.str())) {
            continue;
        }
        checkUnique(firstPaths, objective.workspace.str() + '/' + objective.kind.str(), path, "this pair of workspace and kind", errors);
        const auto *kind = findKind(document, objective.kind);
        const auto known = kind != nullptr && findWorkspace(document, objective.workspace) != nullptr;
        if (findWorkspace(document, objective.workspace) == nullptr) {
            errors.push_back({path + ".workspace", "there is no workspace " + objective.workspace.str()});
        }
        if (kind == nullptr) {
            errors.push_back({path + ".kind", "there is no kind " + objective.kind.str()});
        } else if (kind->mode == WorkMode::Request && objective.latency > kind->deadline) {
            errors.push_back({path + ".latency_ms",
                              "is " + std::to_string(objective.latency.count()) + " ms, but requests of kind " + kind->name.str()
                                  + " end after their deadline_ms of " + std::to_string(kind->deadline.count())});
        }
        if (known && !mayUseKind(document, objective.workspace, objective.kind)) {
            errors.push_back({path + ".kind", "no service of workspace " + objective.workspace.str() + " offers kind " + objective.kind.str()});
        }
    }
}

auto readTolerate(const json &value, std::vector<FieldError> &errors) -> ToleratedLosses
{
    auto reader = FieldReader{value, "tolerate", errors};
    const auto defaults = ToleratedLosses{};
    auto losses = ToleratedLosses{
        .workers = static_cast<int>(reader.integer("workers", {.min = 0, .max = maxToleratedWorkers, .fallback = defaults.workers})),
        .racks = static_cast<int>(reader.integer("racks", {.min = 0, .max = maxToleratedRacks, .fallback = defaults.racks})),
    };
    reader.reportUnknownFields();
    return losses;
}

}

auto parseDocument(std::string_view text) -> ParsedDocument
{
    auto parsed = ParsedDocument{};
    auto &document = parsed.document;
    auto &errors = parsed.errors;
    if (text.size() > maxDocumentBytes) {
        errors.push_back({"", "has " + std::to_string(text.size()) + " bytes; at most " + std::to_string(maxDocumentBytes) + " are allowed"});
        return parsed;
    }
    const auto value = parseStrict(text, errors);
    if (value.is_discarded()) {
        return parsed;
    }
    auto reader = FieldReader{value, "", errors};
    reader.integer("format", {.min = 1, .max = 1});
    reader.each(
        "workspaces", true, maxWorkspaces, [&](const json &it, const std::string &path) { document.workspaces.push_back(readWorkspace(it, path, errors)); });
    reader.each("services", false, maxNamed, [&](const json &it, const std::string &path) { document.services.push_back(readService(it, path, errors)); });
    reader.each("kinds", false, maxNamed, [&](const json &it, const std::string &path) { document.kinds.push_back(readKind(it, path, errors)); });
    reader.each(
        "objectives", false, maxObjectives, [&](const json &it, const std::string &path) { document.objectives.push_back(readObjective(it, path, errors)); });
    reader.each("operators", false, maxNamed, [&](const json &it, const std::string &path) { document.operators.push_back(readOperator(it, path, errors)); });
    if (const auto *tolerate = reader.raw("tolerate")) {
        document.tolerate = readTolerate(*tolerate, errors);
    }
    reader.reportUnknownFields();
    checkDuplicates(document, errors);
    checkServices(document, errors);
    checkObjectives(document, errors);
    return parsed;
}

auto checkGuarantees(const ConfigDocument &document, std::span<const DomainFleet> fleet) -> std::vector<FieldError>
{
    struct Promise
    {
        ShapeDemand shape;
        std::string path;
    };
    auto errors = std::vector<FieldError>{};
    auto byDomain = std::map<FailureDomainId, std::vector<Promise>>{};
    for (auto i = std::size_t{0}; i < document.workspaces.size(); ++i) {
        const auto &guarantees = document.workspaces[i].guarantees;
        for (auto k = std::size_t{0}; k < guarantees.size(); ++k) {
            const auto path = fieldPath("workspaces", i, "guarantees") + '[' + std::to_string(k) + ']';
            byDomain[guarantees[k].domain].push_back({{guarantees[k].slots, guarantees[k].count}, path});
        }
    }
    for (const auto &entry : byDomain) {
        const auto &domain = entry.first;
        const auto &promises = entry.second;
        const auto known = std::find_if(fleet.begin(), fleet.end(), [&](const DomainFleet &it) { return it.domain == domain; });
        if (known == fleet.end()) {
            errors.push_back({promises.front().path + ".domain", "no workers are known in failure domain " + domain.str()});
            continue;
        }
        auto demands = std::vector<ShapeDemand>{};
        std::transform(promises.begin(), promises.end(), std::back_inserter(demands), [](const Promise &it) { return it.shape; });
        for (const auto &it : findShortfalls(demands, *known, document.tolerate)) {
            // The sum of all entries is too large. The error names the last entry of this size, which an operator has most likely just added.
            const auto reported
                = std::find_if(promises.rbegin(), promises.rend(), [&](const Promise &p) { return blockSlots(p.shape.slots) == it.blockSlots; });
            auto after = std::string{"on the known fleet"};
            if (it.loss == LossKind::Workers) {
                after = "after the loss of " + std::to_string(document.tolerate.workers) + " worker(s)";
            } else if (it.loss == LossKind::Racks) {
                after = "after the loss of " + std::to_string(document.tolerate.racks) + " rack(s)";
            }
            errors.push_back({reported->path + (it.available == 0 ? ".slots" : ".count"),
                              "the guarantees of failure domain " + domain.str() + " need " + std::to_string(it.needed) + " blocks of "
                                  + std::to_string(it.blockSlots.value) + " slots for this and larger sizes, but only " + std::to_string(it.available)
                                  + " can be formed " + after});
        }
    }
    return errors;
}

auto formatErrors(std::span<const FieldError> errors) -> std::string
{
    auto text = std::string{};
    for (const auto &it : errors) {
        text += (it.path.empty() ? "document" : it.path) + ": " + it.message + '\n';
    }
    return text;
}

auto findWorkspace(const ConfigDocument &document, const WorkspaceId &name) -> const WorkspaceConfig *
{
    const auto it = std::find_if(document.workspaces.begin(), document.workspaces.end(), [&](const auto &candidate) { return candidate.name == name; });
    return it == document.workspaces.end() ? nullptr : &*it;
}

auto findKind(const ConfigDocument &document, const KindId &name) -> const KindConfig *
{
    const auto it = std::find_if(document.kinds.begin(), document.kinds.end(), [&](const auto &candidate) { return candidate.name == name; });
    return it == document.kinds.end() ? nullptr : &*it;
}

auto mayUseKind(const ConfigDocument &document, const WorkspaceId &workspace, const KindId &kind) -> bool
{
    return std::any_of(document.services.begin(), document.services.end(), [&](const ServiceConfig &it) {
        return it.workspace == workspace && std::find(it.kinds.begin(), it.kinds.end(), kind) != it.kinds.end();
    });
}

auto urgencyName(WorkUrgency urgency) -> const char *
{
    switch (urgency) {
    case WorkUrgency::Urgent:
        return "urgent";
    case WorkUrgency::Normal:
        return "normal";
    case WorkUrgency::Batch:
        return "batch";
    }
    return "normal";
}

}

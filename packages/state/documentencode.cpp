#include "state/document.h"

#include "util/digest.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <tuple>

namespace Catkin
{

namespace
{

using nlohmann::json;

constexpr auto millipercentPerPercent = 1000;

auto encodeWorkspace(const WorkspaceConfig &workspace) -> json
{
    auto tokens = workspace.tokens;
    std::sort(tokens.begin(), tokens.end());
    auto sorted = workspace.guarantees;
    std::sort(sorted.begin(), sorted.end(), [](const auto &a, const auto &b) { return std::tie(a.domain, a.slots) < std::tie(b.domain, b.slots); });
    auto guarantees = json::array();
    for (const auto &it : sorted) {
        guarantees.push_back({{"domain", it.domain.str()}, {"slots", it.slots.value}, {"count", it.count}});
    }
    auto object = json{
        {"name", workspace.name.str()},
        {"weight", workspace.weight},
        {"tokens", tokens},
        {"urgent_share_percent", workspace.urgentSharePercent},
        {"guarantees", guarantees},
    };
    if (workspace.callersLimit) {
        object["callers_limit"] = *workspace.callersLimit;
    }
    if (workspace.quotaSlots) {
        object["quota_slots"] = workspace.quotaSlots->value;
    }
    return object;
}

auto encodeService(const ServiceConfig &service) -> json
{
    auto kinds = std::vector<std::string>{};
    std::transform(service.kinds.begin(), service.kinds.end(), std::back_inserter(kinds), [](const KindId &it) { return it.str(); });
    std::sort(kinds.begin(), kinds.end());
    return {{"name", service.name.str()}, {"workspace", service.workspace.str()}, {"kinds", kinds}};
}

auto encodeKind(const KindConfig &kind) -> json
{
    return {
        {"name", kind.name.str()},
        {"mode", kind.mode == WorkMode::Request ? "request" : "job"},
        {"idempotent", kind.idempotent},
        {"weight", kind.weight},
        {"urgency", urgencyName(kind.urgency)},
        {"deadline_ms", kind.deadline.count()},
        {"max_payload_bytes", kind.maxPayload.value},
        {"cross_region", kind.crossRegion},
    };
}

auto encodeObjective(const ObjectiveConfig &objective) -> json
{
    auto object = json{{"workspace", objective.workspace.str()}, {"kind", objective.kind.str()}, {"latency_ms", objective.latency.count()}};
    // 99 and 99.0 must give the same text, so a whole number is written as an integer.
    if (objective.targetMillipercent % millipercentPerPercent == 0) {
        object["target_percent"] = objective.targetMillipercent / millipercentPerPercent;
    } else {
        object["target_percent"] = static_cast<double>(objective.targetMillipercent) / millipercentPerPercent;
    }
    return object;
}

/// Encodes the items of one list, sorted by @p key.
template<typename T, typename Key, typename Encode>
auto encodeSorted(std::vector<T> items, const Key &key, const Encode &encode) -> json
{
    std::sort(items.begin(), items.end(), [&](const T &a, const T &b) { return key(a) < key(b); });
    auto list = json::array();
    for (const auto &it : items) {
        list.push_back(encode(it));
    }
    return list;
}

}

auto encodeDocument(const ConfigDocument &document) -> std::string
{
    const auto byName = [](const auto &it) { return it.name; };
    const auto encodeOperator = [](const OperatorConfig &it) { return json{{"name", it.name}, {"token", it.token}}; };
    const auto byPair = [](const ObjectiveConfig &it) { return std::pair{it.workspace, it.kind}; };
    const auto object = json{
        {"format", 1},
        {"workspaces", encodeSorted(document.workspaces, byName, encodeWorkspace)},
        {"services", encodeSorted(document.services, byName, encodeService)},
        {"kinds", encodeSorted(document.kinds, byName, encodeKind)},
        {"objectives", encodeSorted(document.objectives, byPair, encodeObjective)},
        {"tolerate", {{"workers", document.tolerate.workers}, {"racks", document.tolerate.racks}}},
        {"operators", encodeSorted(document.operators, byName, encodeOperator)},
    };
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto documentHash(const ConfigDocument &document) -> std::string
{
    return sha256Hex(encodeDocument(document));
}

}

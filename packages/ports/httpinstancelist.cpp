#include "ports/httpinstancelist.h"

#include "ports/entitytag.h"
#include "ports/httpclient.h"
#include "util/jsonnumbers.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <mutex>
#include <utility>

namespace Catkin
{

namespace
{

using nlohmann::json;

/// For platforms that do not list the number of slots.
constexpr auto defaultWorkerSlots = 8;

auto decodeRole(const std::string &text, InstanceRole &role) -> bool
{
    if (text == "entry") {
        role = InstanceRole::Entry;
    } else if (text == "executor") {
        role = InstanceRole::Executor;
    } else if (text == "worker") {
        role = InstanceRole::Worker;
    } else {
        return false;
    }
    return true;
}

auto decodeList(const std::string &text) -> Result<std::vector<ListedInstance>>
{
    const auto body = json::parse(text, nullptr, false);
    try {
        auto list = std::vector<ListedInstance>{};
        for (const auto &it : body.at("instances")) {
            auto entry = ListedInstance{};
            // A role added by a later platform release is not ours to use.
            if (!decodeRole(it.at("role").get<std::string>(), entry.role)) {
                continue;
            }
            entry.id = it.at("id").get<std::string>();
            entry.domain = FailureDomainId{it.at("domain").get<std::string>()};
            entry.region = RegionId{it.at("region").get<std::string>()};
            entry.rack = RackId{it.value("rack", std::string{})};
            entry.slots = it.contains("slots") ? intField<int>(it, "slots") : entry.role == InstanceRole::Worker ? defaultWorkerSlots : 0;
            entry.address = it.at("address").get<std::string>();
            entry.peerAddress = it.value("peer_address", std::string{});
            // A state added by a later platform release gets no new work.
            entry.leaving = it.at("state").get<std::string>() != "live";
            list.push_back(std::move(entry));
        }
        return list;
    } catch (const json::exception &e) {
        return failure(ErrorCode::Protocol, std::string("instance list: ") + e.what());
    }
}

using List = std::shared_ptr<const std::vector<ListedInstance>>;

/// The last list that the platform named by a tag.
struct KeptList
{
    std::mutex mutex;
    std::string tag;
    List list;
};

auto fetchList(KeptList &kept, const HttpTls &tls, const std::string &address, Millis timeout) -> Result<List>
{
    auto call = HttpCall{.address = address, .method = "GET", .path = "/v1/instances", .timeout = timeout, .tls = tls};
    auto known = std::string{};
    auto last = List{};
    {
        const auto lock = std::lock_guard{kept.mutex};
        known = kept.tag;
        last = kept.list;
    }
    if (!known.empty()) {
        call.headers.emplace_back("If-None-Match", matchHeader(known));
    }
    auto reply = httpExchange(call);
    if (!reply) {
        return failure(ErrorCode::Unavailable, "instance list: " + reply.error().message);
    }
    if (confirmsTag(reply.value(), known)) {
        return last;
    }
    if (reply.value().status != 200) {
        return failure(ErrorCode::Unavailable, "instance list: status " + std::to_string(reply.value().status));
    }
    auto decoded = decodeList(reply.value().body);
    if (!decoded) {
        return decoded.error();
    }
    auto list = std::make_shared<const std::vector<ListedInstance>>(std::move(decoded.value()));
    const auto lock = std::lock_guard{kept.mutex};
    kept.tag = entityTag(reply.value());
    kept.list = list;
    return List{list};
}

}

auto makeHttpInstanceList(const std::string &address, Millis timeout, const HttpTls &tls) -> InstanceListPort
{
    return {.fetch = [kept = std::make_shared<KeptList>(), address, timeout, tls] { return fetchList(*kept, tls, address, timeout); }};
}

}

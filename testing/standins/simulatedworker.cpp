#include "standins/simulatedworker.h"

#include "util/digest.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace Catkin
{

namespace
{

using nlohmann::json;

constexpr auto maxTtlMs = std::int64_t{600000};
constexpr auto fullSpeed = 100;

/// @return a number of the payload, which is a JSON object or anything else.
auto payloadNumber(const std::string &payload, const char *name, std::int64_t otherwise) -> std::int64_t
{
    const auto fields = json::parse(payload, nullptr, false);
    if (!fields.is_object()) {
        return otherwise;
    }
    const auto it = fields.find(name);
    return it != fields.end() && it->is_number_integer() ? it->get<std::int64_t>() : otherwise;
}

auto payloadExit(const std::string &payload) -> std::string
{
    const auto fields = json::parse(payload, nullptr, false);
    return fields.is_object() && fields.contains("exit") && fields["exit"] == "failed" ? "failed" : "ok";
}

auto ttlOf(const json &order) -> std::int64_t
{
    return std::clamp(order.at("ttl_ms").get<std::int64_t>(), std::int64_t{0}, maxTtlMs);
}

}

SimulatedWorker::SimulatedWorker(WorkerSettings settings, std::string boot, std::function<void(json)> record)
    : m_settings(std::move(settings))
    , m_boot(std::move(boot))
    , m_record(std::move(record))
{
}

auto SimulatedWorker::ownClock(double nowMs) const -> double
{
    return m_ownBase + (nowMs - m_clockBase) * m_settings.clockRate;
}

auto SimulatedWorker::machineClock(double ownMs) const -> double
{
    return m_clockBase + (ownMs - m_ownBase) / m_settings.clockRate;
}

auto SimulatedWorker::configure(const std::function<void(WorkerSettings &)> &change, std::int64_t nowMs) -> void
{
    advance(nowMs);
    // The own clock must not jump when its rate changes.
    m_ownBase = ownClock(static_cast<double>(nowMs));
    m_clockBase = static_cast<double>(nowMs);
    change(m_settings);
}

auto SimulatedWorker::leaseEvent(const char *event, const Lease &lease, double atMs) const -> void
{
    auto entry = json{{"event", event},
                      {"worker", m_settings.worker},
                      {"boot", m_boot},
                      {"lease", lease.id},
                      {"job", lease.job},
                      {"attempt", lease.attempt},
                      {"member", lease.member},
                      {"slots", lease.slots},
                      {"holder", lease.holder},
                      {"time_ms", static_cast<std::int64_t>(std::llround(atMs))}};
    const auto fields = json::parse(lease.payload, nullptr, false);
    if (fields.is_object() && fields.contains("key")) {
        entry["key"] = fields["key"];
    }
    if (lease.ended) {
        entry["exit"] = lease.exit;
        entry["started"] = lease.started;
    }
    m_record(std::move(entry));
}

auto SimulatedWorker::end(Lease &lease, const std::string &exit, double atMs) -> void
{
    lease.ended = true;
    lease.exit = exit;
    lease.endedMs = static_cast<std::int64_t>(std::llround(atMs));
    lease.checkpointDoneMs = -1;
    if (lease.started) {
        leaseEvent("end", lease, atMs);
    }
    leaseEvent("free", lease, atMs);
}

auto SimulatedWorker::advanceLease(Lease &lease, std::int64_t nowMs) -> void
{
    const auto now = static_cast<double>(nowMs);
    const auto lapseAt = machineClock(lease.expiresMs);
    const auto runs = lease.started && lease.percent > 0;
    const auto doneAt = runs ? lease.progressMs + lease.workLeftMs * fullSpeed / lease.percent : now + 1;
    if (lease.checkpointDoneMs >= 0 && lease.checkpointDoneMs <= std::min({now, lapseAt, doneAt})) {
        lease.checkpoint = lease.id + "-checkpoint-" + std::to_string(++lease.checkpoints);
        lease.checkpointDoneMs = -1;
    }
    if (runs && doneAt <= now && doneAt <= lapseAt) {
        end(lease, m_settings.failEverything ? "failed" : payloadExit(lease.payload), doneAt);
    } else if (lapseAt <= now) {
        end(lease, "lapsed", lapseAt);
    } else if (runs) {
        lease.workLeftMs -= (now - lease.progressMs) * lease.percent / fullSpeed;
        lease.progressMs = now;
    }
}

auto SimulatedWorker::measureUsage(std::int64_t nowMs) -> void
{
    if (m_measuredMs != 0 && nowMs - m_measuredMs < m_settings.usageLagMs) {
        return;
    }
    m_measuredMs = nowMs;
    for (auto &[id, lease] : m_leases) {
        lease.shownUsage = lease.started && !lease.ended ? lease.percent : -1;
    }
}

auto SimulatedWorker::advance(std::int64_t nowMs) -> void
{
    for (auto it = m_leases.begin(); it != m_leases.end();) {
        if (!it->second.ended) {
            advanceLease(it->second, nowMs);
        }
        if (it->second.ended && nowMs - it->second.endedMs > m_settings.keepEndedMs) {
            it = m_leases.erase(it);
        } else {
            ++it;
        }
    }
    measureUsage(nowMs);
}

auto SimulatedWorker::restart(const std::string &boot, std::int64_t nowMs) -> void
{
    advance(nowMs);
    for (auto &[id, lease] : m_leases) {
        if (!lease.ended) {
            end(lease, "restarted", static_cast<double>(nowMs));
        }
    }
    m_leases.clear();
    m_boot = boot;
    m_counter = 0;
    m_holder.clear();
    m_measuredMs = 0;
}

auto SimulatedWorker::slotError(const std::vector<int> &slots) const -> Outcome
{
    if (slots.empty() || std::set<int>(slots.begin(), slots.end()).size() != slots.size()) {
        return "slots are missing or repeated";
    }
    for (const auto slot : slots) {
        if (slot < 0 || slot >= m_settings.slots) {
            return "no slot " + std::to_string(slot);
        }
        for (const auto &[id, lease] : m_leases) {
            if (!lease.ended && std::find(lease.slots.begin(), lease.slots.end(), slot) != lease.slots.end()) {
                return "slot " + std::to_string(slot) + " is leased";
            }
        }
    }
    return {};
}

auto SimulatedWorker::reserve(const json &order, std::int64_t nowMs) -> Outcome
{
    auto lease = Lease{
        .id = order.at("lease").get<std::string>(),
        .job = order.at("job").get<std::string>(),
        .holder = m_holder,
        .attempt = order.at("attempt").get<std::int64_t>(),
        .member = order.at("member").get<std::int64_t>(),
        .slots = order.at("slots").get<std::vector<int>>(),
        .payload = order.value("payload", std::string{}),
        .expiresMs = ownClock(static_cast<double>(nowMs)) + static_cast<double>(ttlOf(order)),
    };
    const auto known = m_leases.find(lease.id);
    if (known != m_leases.end()) {
        const auto &it = known->second;
        if (std::tie(it.job, it.attempt, it.member, it.slots) != std::tie(lease.job, lease.attempt, lease.member, lease.slots)) {
            return "the lease exists with other contents";
        }
        return it.ended ? "the lease has ended" : "";
    }
    if (m_settings.leaving && !m_settings.acceptWhileLeaving) {
        return "the worker is leaving";
    }
    auto error = slotError(lease.slots);
    if (error.empty()) {
        leaseEvent("reserve", lease, static_cast<double>(nowMs));
        m_leases.emplace(lease.id, std::move(lease));
    }
    return error;
}

auto SimulatedWorker::start(Lease &lease, std::int64_t ttlMs, std::int64_t nowMs) -> Outcome
{
    if (lease.ended) {
        return "the lease has ended";
    }
    if (lease.started) {
        // A repeated start must not shorten a lease that was renewed in between.
        return {};
    }
    lease.started = true;
    lease.holder = m_holder;
    lease.expiresMs = ownClock(static_cast<double>(nowMs)) + static_cast<double>(ttlMs);
    lease.progressMs = static_cast<double>(nowMs);
    lease.workLeftMs = m_settings.failEverything ? 0 : static_cast<double>(payloadNumber(lease.payload, "run_ms", m_settings.defaultRunMs));
    leaseEvent("start", lease, static_cast<double>(nowMs));
    return {};
}

auto SimulatedWorker::checkpoint(Lease &lease, std::int64_t nowMs) const -> Outcome
{
    if (!lease.started || lease.ended) {
        return lease.ended ? "the lease has ended" : "the task has not started";
    }
    if (lease.checkpointDoneMs < 0) {
        lease.checkpointDoneMs = static_cast<double>(nowMs + payloadNumber(lease.payload, "checkpoint_ms", m_settings.checkpointMs));
    }
    return {};
}

auto SimulatedWorker::throttle(Lease &lease, std::int64_t percent, std::int64_t nowMs) const -> Outcome
{
    if (percent < 0 || percent > fullSpeed) {
        return "percent is not 0 to 100";
    }
    if (lease.ended) {
        return "the lease has ended";
    }
    lease.progressMs = static_cast<double>(nowMs);
    lease.percent = static_cast<int>(percent);
    return {};
}

auto SimulatedWorker::stop(Lease &lease, std::int64_t nowMs) -> Outcome
{
    if (lease.ended || (m_settings.ignoreStop && lease.started)) {
        return {};
    }
    end(lease, "stopped", static_cast<double>(nowMs));
    return {};
}

auto SimulatedWorker::release(Lease &lease, std::int64_t nowMs) -> Outcome
{
    if (lease.started && !lease.ended) {
        return "the task is running";
    }
    if (!lease.ended) {
        end(lease, "stopped", static_cast<double>(nowMs));
    }
    return {};
}

auto SimulatedWorker::order(const json &order, std::int64_t nowMs) -> Outcome
{
    const auto op = order.at("op").get<std::string>();
    if (op == "claim") {
        return {};
    }
    if (op == "reserve") {
        return reserve(order, nowMs);
    }
    const auto found = m_leases.find(order.at("lease").get<std::string>());
    if (found == m_leases.end()) {
        return "unknown lease";
    }
    auto &lease = found->second;
    if (op == "start") {
        return start(lease, ttlOf(order), nowMs);
    }
    if (op == "renew") {
        if (lease.ended) {
            return "the lease has ended";
        }
        lease.holder = m_holder;
        lease.expiresMs = ownClock(static_cast<double>(nowMs)) + static_cast<double>(ttlOf(order));
        return {};
    }
    if (op == "checkpoint") {
        return checkpoint(lease, nowMs);
    }
    if (op == "throttle") {
        return throttle(lease, order.at("percent").get<std::int64_t>(), nowMs);
    }
    if (op == "stop") {
        return stop(lease, nowMs);
    }
    return op == "release" ? release(lease, nowMs) : "unknown op";
}

auto SimulatedWorker::renewAll(const json &order, const std::string &known, std::int64_t nowMs) -> Outcome
{
    const auto ttlMs = ttlOf(order);
    if (known.empty() || known != tag(nowMs)) {
        return "the status has changed";
    }
    for (auto &[id, lease] : m_leases) {
        if (lease.started && !lease.ended) {
            lease.holder = m_holder;
            lease.expiresMs = ownClock(static_cast<double>(nowMs)) + static_cast<double>(ttlMs);
        }
    }
    return {};
}

auto SimulatedWorker::orders(const json &request, std::int64_t nowMs) -> std::pair<int, json>
{
    advance(nowMs);
    const auto counter = request.at("generation").at("counter").get<std::int64_t>();
    const auto holder = request.at("generation").at("holder").get<std::string>();
    const auto &list = request.at("orders");
    if (!list.is_array() || !std::all_of(list.begin(), list.end(), [](const json &it) { return it.is_object(); })) {
        return {400, {{"error", "'orders' is not an array of objects"}}};
    }
    if (std::tie(counter, holder) < std::tie(m_counter, m_holder)) {
        return {409, {{"generation", generationJson()}}};
    }
    m_counter = counter;
    m_holder = holder;
    const auto known = m_settings.tags ? request.value("known", std::string{}) : std::string{};
    auto results = json::array();
    for (const auto &it : list) {
        auto error = Outcome{};
        try {
            error = it.at("op") == "renew_all" ? renewAll(it, known, nowMs) : order(it, nowMs);
        } catch (const json::exception &e) {
            error = std::string("malformed order: ") + e.what();
        }
        results.push_back({{"op", it.value("op", json())}, {"lease", it.value("lease", json())}, {"ok", error.empty()}, {"error", error}});
        advance(nowMs);
    }
    auto answer = json{{"generation", generationJson()}, {"results", results}};
    const auto now = tag(nowMs);
    if (m_settings.tags) {
        answer["tag"] = now;
    }
    if (known.empty() || known != now) {
        answer["status"] = status(nowMs);
    }
    return {200, std::move(answer)};
}

auto SimulatedWorker::generationJson() const -> json
{
    return {{"counter", m_counter}, {"holder", m_holder}};
}

auto SimulatedWorker::leaseJson(const Lease &lease, std::int64_t nowMs) const -> json
{
    const auto *const live = lease.checkpointDoneMs >= 0 ? "checkpointing" : "running";
    const auto remaining = lease.ended ? 0.0 : lease.expiresMs - ownClock(static_cast<double>(nowMs));
    return {
        {"lease", lease.id},
        {"job", lease.job},
        {"attempt", lease.attempt},
        {"member", lease.member},
        {"holder", lease.holder},
        {"slots", lease.slots},
        {"state", lease.ended ? "ended" : (lease.started ? live : "reserved")},
        {"remaining_ms", static_cast<std::int64_t>(remaining)},
        {"started", lease.started},
        {"exit", lease.ended ? json(lease.exit) : json()},
        {"checkpoint", lease.checkpoint.empty() ? json() : json(lease.checkpoint)},
    };
}

auto SimulatedWorker::status(std::int64_t nowMs) -> json
{
    advance(nowMs);
    auto leases = json::array();
    auto usage = json::array();
    for (const auto &[id, lease] : m_leases) {
        leases.push_back(leaseJson(lease, nowMs));
        if (lease.shownUsage >= 0) {
            usage.push_back({{"lease", id}, {"busy_percent", lease.shownUsage}, {"age_ms", nowMs - m_measuredMs}});
        }
    }
    return {
        {"worker", m_settings.worker},
        {"boot", m_boot},
        {"rack", m_settings.rack},
        {"domain", m_settings.domain},
        {"slots", m_settings.slots},
        {"leaving", m_settings.leaving},
        {"generation", generationJson()},
        {"leases", leases},
        {"usage", usage},
    };
}

auto SimulatedWorker::tags() const -> bool
{
    return m_settings.tags;
}

auto SimulatedWorker::tag(std::int64_t nowMs) -> std::string
{
    auto content = status(nowMs);
    content.erase("usage");
    for (auto &it : content["leases"]) {
        it.erase("remaining_ms");
    }
    return xxh64Hex(content.dump(-1, ' ', false, json::error_handler_t::replace));
}

}

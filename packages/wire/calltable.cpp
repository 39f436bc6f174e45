#include "wire/calltable.h"

#include <algorithm>
#include <utility>

namespace Catkin
{

auto CallTable::add(std::uint64_t id, Call call) -> void
{
    m_calls.emplace(id, std::move(call));
}

auto CallTable::markSent(std::uint64_t id) -> void
{
    if (const auto it = m_calls.find(id); it != m_calls.end()) {
        it->second.sent = true;
    }
}

auto CallTable::complete(const InstanceId &peer, Envelope response) -> std::optional<EndedCall>
{
    const auto it = m_calls.find(response.correlation);
    // An answer is accepted only from the instance that was asked, so that no peer can answer for another.
    if (it == m_calls.end() || it->second.peer != peer || !it->second.sent) {
        return std::nullopt;
    }
    auto call = std::move(it->second);
    const auto id = it->first;
    m_calls.erase(it);
    auto result = [&]() -> Result<Envelope> {
        if (const auto *error = std::get_if<ErrorReply>(&response.message)) {
            return failure(error->code, error->message);
        }
        if (response.message.index() != call.response) {
            return failure(ErrorCode::Unknown, peer.str() + " answered with a message of another type");
        }
        return std::move(response);
    }();
    return EndedCall{.id = id, .peer = std::move(call.peer), .lane = call.lane, .done = std::move(call.done), .result = std::move(result)};
}

auto CallTable::endIf(const std::function<bool(const Call &)> &condition, const char *reason) -> std::vector<EndedCall>
{
    auto ended = std::vector<EndedCall>{};
    for (auto it = m_calls.begin(); it != m_calls.end();) {
        auto &call = it->second;
        if (!condition(call)) {
            ++it;
            continue;
        }
        auto error
            = call.sent ? failure(ErrorCode::Unknown, std::string("sent, but ") + reason) : failure(ErrorCode::NotSent, std::string("not sent, ") + reason);
        ended.push_back({.id = it->first, .peer = std::move(call.peer), .lane = call.lane, .done = std::move(call.done), .result = std::move(error)});
        it = m_calls.erase(it);
    }
    return ended;
}

auto CallTable::expire(MonoTime now) -> std::vector<EndedCall>
{
    return endIf([&](const Call &call) { return call.deadline <= now; }, "the deadline has passed");
}

auto CallTable::failLane(const InstanceId &peer, Lane lane) -> std::vector<EndedCall>
{
    return endIf([&](const Call &call) { return call.lane == lane && call.peer == peer; }, "the link was lost");
}

auto CallTable::failAll() -> std::vector<EndedCall>
{
    return endIf([](const Call &) { return true; }, "the mesh has stopped");
}

auto CallTable::nextDeadline() const -> std::optional<MonoTime>
{
    auto earliest = std::optional<MonoTime>{};
    for (const auto &[id, call] : m_calls) {
        earliest = earliest ? std::min(*earliest, call.deadline) : call.deadline;
    }
    return earliest;
}

auto CallTable::size() const -> std::size_t
{
    return m_calls.size();
}

}

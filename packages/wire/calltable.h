#pragma once

/// The calls that wait for their response.
///
/// Each call ends exactly once: with the response, or with an error that says whether its message may have reached
/// the peer. Pure and not thread-safe; the functions that end calls return what to invoke, so that the owner can do
/// so without holding its lock.
/// @code
///   calls.add(id, {.peer = peer, .lane = lane, .response = index, .deadline = deadline, .done = done});
///   calls.markSent(id);                                    // from now on its outcome may be unknown
///   for (auto &it : calls.expire(now)) { it.done(std::move(it.result)); }
/// @endcode

#include "util/ids.h"
#include "util/outcome.h"
#include "util/units.h"
#include "wire/messages.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Catkin
{

struct Call
{
    InstanceId peer;
    Lane lane = Lane::Control; ///< on which the request travels
    std::size_t response = 0; ///< index of the expected alternative of Message
    MonoTime deadline;
    std::function<void(Result<Envelope>)> done;
    bool sent = false;
};

/// A call that has ended.
struct EndedCall
{
    std::uint64_t id = 0;
    InstanceId peer;
    Lane lane = Lane::Control;
    std::function<void(Result<Envelope>)> done;
    Result<Envelope> result;
};

/// The table.
class CallTable
{
public:
    /// @param id correlation id, not in use
    auto add(std::uint64_t id, Call call) -> void;

    /// Notes that bytes of the call's message may leave this process from now on.
    auto markSent(std::uint64_t id) -> void;

    /// Takes a response from @p peer.
    /// @return the call that it ends; nothing when no call to that peer waits for it.
    auto complete(const InstanceId &peer, Envelope response) -> std::optional<EndedCall>;

    /// Ends the calls whose deadline has passed: with ErrorCode::Unknown if sent, else ErrorCode::NotSent. The owner
    /// must withdraw the messages of the latter.
    auto expire(MonoTime now) -> std::vector<EndedCall>;

    /// Ends the calls on a lane of a peer whose link is lost, with the same errors.
    auto failLane(const InstanceId &peer, Lane lane) -> std::vector<EndedCall>;

    /// Ends all calls, with the same errors.
    auto failAll() -> std::vector<EndedCall>;

    /// @return the earliest deadline.
    [[nodiscard]] auto nextDeadline() const -> std::optional<MonoTime>;

    [[nodiscard]] auto size() const -> std::size_t;

private:
    auto endIf(const std::function<bool(const Call &)> &condition, const char *reason) -> std::vector<EndedCall>;

    std::unordered_map<std::uint64_t, Call> m_calls;
};

}

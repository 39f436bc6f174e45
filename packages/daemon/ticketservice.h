#pragma once

/// Tickets: keys that name the only instance that may dispatch them, so that at-most-once needs no log.
///
/// @code
///   auto key = tickets.issue();
///   auto ticket = tickets.parse(key);                        // nothing: not a ticket
///   auto reply = tickets.serve(*ticket, call, handle);       // on the issuing instance
/// @endcode
/// A ticket is `t1.<instance>.<incarnation>.<number>.<mac>`; the MAC under the peer key keeps callers from inventing
/// tickets that no instance remembers. While that key is being replaced, a ticket has a MAC under each key, so that instances with either one
/// can check it.

#include "daemon/answerbudget.h"
#include "daemon/requestservice.h"
#include "util/clock.h"
#include "util/ids.h"
#include "util/units.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace Catkin
{

/// A ticket whose MAC is valid.
struct Ticket
{
    InstanceId instance;
    Incarnation incarnation;
    std::int64_t number = 0;
};

struct TicketServiceOptions
{
    InstanceId instance;
    Incarnation incarnation;
    std::string key; ///< the shared peer key
    std::string previousKey; ///< while the key is being replaced; empty: none
    Millis window{3'600'000}; ///< how long a ticket stays valid
    std::size_t maxTickets = 50'000; ///< further ones are not issued, because forgetting one would allow a second run
    Bytes answers{2 << 20}; ///< answers that are kept for repeated calls; the oldest are dropped above it
};

class TicketService
{
public:
    TicketService(TicketServiceOptions options, Clock clock);

    /// @return a new ticket for @p workspace; ErrorCode::Limit when too many are outstanding.
    auto issue(const WorkspaceId &workspace) -> Result<IdempotencyKey>;

    /// @return whether @p key has the form of a ticket.
    static auto looksLikeTicket(std::string_view key) -> bool;

    /// @return the ticket, or nothing when its form or MAC is wrong.
    [[nodiscard]] auto parse(std::string_view key) const -> std::optional<Ticket>;

    /// @return whether this process has issued @p ticket.
    [[nodiscard]] auto owns(const Ticket &ticket) const -> bool;

    /// Serves a ticket of this process: the first call runs @p handle, others wait for its result and get the same.
    /// A "not run" result leaves the ticket usable.
    auto serve(const Ticket &ticket, const RequestCall &call, const std::function<RequestReply()> &handle) -> RequestReply;

private:
    enum class State { Unused, Running, Done };
    struct Entry
    {
        WorkspaceId workspace;
        MonoTime issued;
        State state = State::Unused;
        std::string fingerprint; ///< of the first request; a ticket stands for one request only
        RequestReply reply;
    };

    auto macs(std::string_view text) const -> std::string;
    auto hasMac(std::string_view text, std::string_view given) const -> bool;
    auto expire() -> void;

    TicketServiceOptions m_options;
    Clock m_clock;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::int64_t, Entry> m_entries;
    std::map<WorkspaceId, std::size_t> m_outstanding; ///< entries of each workspace
    AnswerBudget<std::int64_t> m_answers;
    std::int64_t m_nextNumber = 1;
};

}

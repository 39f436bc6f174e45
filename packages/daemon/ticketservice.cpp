#include "daemon/ticketservice.h"

#include "util/digest.h"

#include <array>
#include <charconv>
#include <utility>

namespace Catkin
{

namespace
{

constexpr auto prefix = std::string_view{"t1."};
constexpr auto partCount = std::size_t{5};
/// 16 hex digits of the MAC: 64 bits, which a caller cannot guess within a key window.
constexpr auto macLength = std::size_t{16};

auto split(std::string_view text) -> std::vector<std::string_view>
{
    auto parts = std::vector<std::string_view>{};
    while (true) {
        const auto dot = text.find('.');
        parts.push_back(text.substr(0, dot));
        if (dot == std::string_view::npos) {
            return parts;
        }
        text.remove_prefix(dot + 1);
    }
}

auto parseNumber(std::string_view text, std::int64_t &value) -> bool
{
    const auto *const end = text.data() + text.size();
    const auto [ptr, ec] = std::from_chars(text.data(), end, value);
    return ec == std::errc{} && ptr == end;
}

auto unknownOutcome(std::string reason) -> RequestReply
{
    return {.verdict = RequestVerdict::OutcomeUnknown, .status = 504, .reason = std::move(reason)};
}

}

TicketService::TicketService(TicketServiceOptions options, Clock clock)
    : m_options(std::move(options))
    , m_clock(std::move(clock))
    , m_answers(m_options.answers)
{
}

auto TicketService::macs(std::string_view text) const -> std::string
{
    auto all = hmacSha256Hex(m_options.key, text).substr(0, macLength);
    if (!m_options.previousKey.empty()) {
        all += hmacSha256Hex(m_options.previousKey, text).substr(0, macLength);
    }
    return all;
}

auto TicketService::hasMac(std::string_view text, std::string_view given) const -> bool
{
    if (given.empty() || given.size() % macLength != 0 || given.size() > 2 * macLength) {
        return false;
    }
    const auto own = macs(text);
    auto found = false;
    for (auto i = std::size_t{0}; i < given.size(); i += macLength) {
        for (auto k = std::size_t{0}; k < own.size(); k += macLength) {
            found = constantTimeEqual(given.substr(i, macLength), std::string_view(own).substr(k, macLength)) || found;
        }
    }
    return found;
}

auto TicketService::expire() -> void
{
    const auto now = m_clock.mono();
    while (!m_entries.empty() && m_entries.begin()->second.state != State::Running && now - m_entries.begin()->second.issued > m_options.window) {
        const auto &[number, entry] = *m_entries.begin();
        m_answers.remove(number);
        if (const auto it = m_outstanding.find(entry.workspace); --it->second == 0) {
            m_outstanding.erase(it);
        }
        m_entries.erase(m_entries.begin());
    }
}

auto TicketService::issue(const WorkspaceId &workspace) -> Result<IdempotencyKey>
{
    const auto lock = std::lock_guard{m_mutex};
    expire();
    // A workspace may hold as many tickets as are free, so that one that takes ever more leaves half to the others.
    const auto held = m_outstanding.contains(workspace) ? m_outstanding.at(workspace) : 0;
    if (m_entries.size() >= m_options.maxTickets || held >= m_options.maxTickets - m_entries.size()) {
        return failure(ErrorCode::Limit, "too many tickets are outstanding");
    }
    ++m_outstanding[workspace];
    const auto number = m_nextNumber++;
    m_entries[number] = {.workspace = workspace, .issued = m_clock.mono(), .fingerprint = {}, .reply = {}};
    auto text = std::string{prefix} + m_options.instance.str() + "." + std::to_string(m_options.incarnation.value) + "." + std::to_string(number);
    return IdempotencyKey{text + "." + macs(text)};
}

auto TicketService::looksLikeTicket(std::string_view key) -> bool
{
    return key.starts_with(prefix);
}

auto TicketService::parse(std::string_view key) const -> std::optional<Ticket>
{
    const auto parts = split(key);
    auto ticket = Ticket{};
    if (!looksLikeTicket(key) || parts.size() != partCount || !parseNumber(parts[2], ticket.incarnation.value) || !parseNumber(parts[3], ticket.number)) {
        return std::nullopt;
    }
    const auto signedPart = key.substr(0, key.size() - parts[4].size() - 1);
    if (!hasMac(signedPart, parts[4])) {
        return std::nullopt;
    }
    ticket.instance = InstanceId{std::string(parts[1])};
    return ticket;
}

auto TicketService::owns(const Ticket &ticket) const -> bool
{
    return ticket.instance == m_options.instance && ticket.incarnation == m_options.incarnation;
}

auto TicketService::serve(const Ticket &ticket, const RequestCall &call, const std::function<RequestReply()> &handle) -> RequestReply
{
    const auto fingerprint = sha256Hex(call.kind.str() + '\n' + call.payload);
    {
        auto lock = std::unique_lock{m_mutex};
        expire();
        auto it = m_entries.find(ticket.number);
        if (it == m_entries.end()) {
            return unknownOutcome("the ticket has expired");
        }
        auto &entry = it->second;
        if (entry.workspace != call.workspace || (!entry.fingerprint.empty() && entry.fingerprint != fingerprint)) {
            return {.verdict = RequestVerdict::NotRun, .status = 409, .reason = "the ticket was used for another request"};
        }
        entry.fingerprint = fingerprint;
        m_changed.wait(lock, [&] {
            it = m_entries.find(ticket.number);
            return it == m_entries.end() || it->second.state != State::Running;
        });
        if (it == m_entries.end()) {
            return unknownOutcome("the ticket has expired");
        }
        if (it->second.state == State::Done) {
            return it->second.reply;
        }
        it->second.state = State::Running; // a running entry is never dropped
    }
    auto reply = handle();
    {
        const auto lock = std::lock_guard{m_mutex};
        auto &entry = m_entries.at(ticket.number);
        entry.state = reply.verdict == RequestVerdict::NotRun ? State::Unused : State::Done;
        entry.reply = reply;
        if (!reply.answer.empty()) {
            m_answers.add(ticket.number, reply.answer.size(), [this](std::int64_t oldest) {
                // The ticket stays used up; only the answer is gone.
                m_entries.at(oldest).reply = unknownOutcome("the answer is no longer available");
            });
        }
    }
    m_changed.notify_all();
    return reply;
}

}

#include "daemon/intentservice.h"

#include "util/digest.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace Catkin
{

namespace
{

constexpr auto attemptIdBytes = std::size_t{12};
/// Allowance for the difference between this instance's clock and the log's when an empty log is found.
constexpr auto clockMargin = Millis{10'000};
constexpr auto answerGone = "the answer is no longer available";

/// While the log cannot be read up to now, an earlier attempt may have run without being known here; only a caller
/// that states its first attempt excludes this.
auto notStarted(bool firstAttempt, std::string reason) -> Claim
{
    return {.kind = firstAttempt ? ClaimKind::NotStarted : ClaimKind::Undecided, .reason = std::move(reason)};
}

auto fromDone(const KeyStatus &status) -> AttemptOutcome
{
    const auto answered = status.result == LoggedOutcome::Answer && status.answer;
    return {
        .state = AttemptState::Done,
        .verdict = answered ? RequestVerdict::Answer : RequestVerdict::OutcomeUnknown,
        .request = status.attempt,
        .answer = answered ? *status.answer : std::string{},
        .reason = answered ? std::string{} : std::string{answerGone},
    };
}

}

IntentService::IntentService(const LogPort &log, LogWriter &writer, const Clock &clock, IntentServiceOptions options, QueryPeer queryPeer)
    : m_log(log)
    , m_writer(writer)
    , m_clock(clock)
    , m_options(std::move(options))
    , m_queryPeer(std::move(queryPeer))
    , m_fold(m_options.fold)
    , m_ownAnswers(m_options.ownAnswers)
    , m_tail(
          log, clock, "requests", [this](const LogPage &page, bool restart) { applyPage(page, restart); }, m_options.tail)
{
}

auto IntentService::applyPage(const LogPage &page, bool restart) -> void
{
    {
        const auto lock = std::lock_guard{m_mutex};
        if (restart) {
            m_fold.restart(page.first);
            // A stream that starts at offset 0 has dropped nothing, and an empty one holds nothing since ever.
            if (page.first == LogOffset{0}) {
                m_fold.noteEmptySince(WallTime{});
            } else if (page.records.empty()) {
                m_fold.noteEmptySince(m_clock.wall() - clockMargin);
            }
        }
        for (const auto &it : page.records) {
            m_fold.apply(it.offset, it.time, it.data);
        }
    }
    m_changed.notify_all();
}

auto IntentService::remember(const RequestId &attempt, AttemptOutcome outcome) -> void
{
    if (!m_own.contains(attempt)) {
        m_ownOrder.push_back(attempt);
    }
    const auto bytes = outcome.answer.size();
    m_own[attempt] = std::move(outcome);
    if (bytes > 0) {
        m_ownAnswers.add(attempt, bytes, [this](const RequestId &oldest) {
            auto &dropped = m_own.at(oldest);
            dropped.verdict = RequestVerdict::OutcomeUnknown;
            dropped.answer = {};
            dropped.reason = answerGone;
        });
    }
    while (m_ownOrder.size() > m_options.maxOwn) {
        m_ownAnswers.remove(m_ownOrder.front());
        m_own.erase(m_ownOrder.front());
        m_ownOrder.pop_front();
    }
}

auto IntentService::ready() const -> bool
{
    const auto age = m_tail.age();
    const auto lock = std::lock_guard{m_mutex};
    return age && *age < m_options.staleAfter && m_tail.caughtUp() && m_fold.coversWindow(m_clock.wall());
}

auto IntentService::claim(const RequestKey &key, bool firstAttempt, MonoTime deadline) -> Claim
{
    if (!ready()) {
        return notStarted(firstAttempt, "the platform's log is not available");
    }
    auto status = KeyStatus{};
    {
        const auto lock = std::lock_guard{m_mutex};
        status = m_fold.lookup(key);
    }
    switch (status.state) {
    case KeyState::Free:
        return appendIntent(key, firstAttempt, deadline);
    case KeyState::Owned:
        return awaitOther(key, status, firstAttempt, deadline);
    case KeyState::Done:
        return settled(key, status, deadline);
    case KeyState::Expired:
        return {.kind = ClaimKind::Undecided, .reason = "the key is older than the key window"};
    case KeyState::NotCovered:
        break;
    }
    return notStarted(firstAttempt, "the log has not been read back far enough");
}

auto IntentService::appendIntent(const RequestKey &key, bool firstAttempt, MonoTime deadline) -> Claim
{
    const auto attempt = RequestId{m_options.instance.str() + "-" + randomHex(attemptIdBytes)};
    {
        const auto lock = std::lock_guard{m_mutex};
        remember(attempt, {.state = AttemptState::Open, .request = attempt});
    }
    const auto appended
        = m_writer.append("requests", encodeRecord(RequestRecord{IntentRecord{.key = key, .attempt = attempt, .instance = m_options.instance}}));
    if (!appended && appended.error().code != ErrorCode::Unknown) {
        const auto lock = std::lock_guard{m_mutex};
        remember(attempt, {.state = AttemptState::Voided, .request = attempt});
        return notStarted(firstAttempt, appended.error().message);
    }
    // After a lost answer the key's owner appears in the log, or does not in time.
    auto status = KeyStatus{};
    {
        auto lock = std::unique_lock{m_mutex};
        const auto decided = [&] {
            status = m_fold.lookup(key);
            return appended ? m_fold.next() > appended.value() : status.state != KeyState::Free;
        };
        while (!decided() && m_clock.mono() < deadline) {
            m_changed.wait_for(lock, Millis{50});
        }
        if (decided() && status.state == KeyState::Owned && status.attempt == attempt) {
            return {.kind = ClaimKind::Won, .attempt = attempt};
        }
        remember(attempt, {.state = AttemptState::Voided, .request = attempt});
    }
    voidRecord(key, attempt);
    if (status.state == KeyState::Owned) {
        return awaitOther(key, status, firstAttempt, deadline);
    }
    if (status.state == KeyState::Done) {
        return settled(key, status, deadline);
    }
    return notStarted(firstAttempt, "the log did not confirm the request in time");
}

auto IntentService::askOwner(const RequestKey &key, const KeyStatus &status, MonoTime deadline) -> AttemptOutcome
{
    if (status.instance == m_options.instance) {
        return outcome(status.attempt);
    }
    const auto left = std::chrono::duration_cast<Millis>(deadline - m_clock.mono());
    const auto query = AttemptQuery{.workspace = key.workspace, .key = key.key, .firstSent = key.firstSent, .attempt = status.attempt.str()};
    auto answer = m_queryPeer(status.instance, query, std::min(m_options.queryTimeout, left));
    return answer ? std::move(answer).value() : AttemptOutcome{.state = AttemptState::Open, .reason = answer.error().message};
}

auto IntentService::settled(const RequestKey &key, const KeyStatus &status, MonoTime deadline) -> Claim
{
    // An answer that was too long for the log is with the instance that got it, while that has room for it.
    if (status.result == LoggedOutcome::Answer && !status.answer) {
        if (auto answer = askOwner(key, status, deadline); answer.state == AttemptState::Done) {
            return {.kind = ClaimKind::Settled, .outcome = std::move(answer)};
        }
    }
    return {.kind = ClaimKind::Settled, .outcome = fromDone(status)};
}

auto IntentService::awaitOther(const RequestKey &key, const KeyStatus &status, bool firstAttempt, MonoTime deadline) -> Claim
{
    auto current = status;
    while (m_clock.mono() < deadline) {
        if (current.state == KeyState::Done) {
            return settled(key, current, deadline);
        }
        if (current.state != KeyState::Owned) {
            // The owner has given up before it sent anything, so the key is free again.
            return current.state == KeyState::Free ? appendIntent(key, firstAttempt, deadline) : Claim{.reason = "the outcome is no longer known"};
        }
        auto answer = askOwner(key, current, deadline);
        if (answer.state == AttemptState::Done) {
            return {.kind = ClaimKind::Settled, .outcome = std::move(answer)};
        }
        auto lock = std::unique_lock{m_mutex};
        m_changed.wait_for(lock, m_options.queryPause);
        current = m_fold.lookup(key);
    }
    return {.kind = ClaimKind::Undecided, .reason = "another attempt of the key has no known outcome"};
}

auto IntentService::voidRecord(const RequestKey &key, const RequestId &attempt) -> void
{
    (void)m_writer.appendEventually("requests", encodeRecord(RequestRecord{VoidRecord{.key = key, .attempt = attempt, .instance = m_options.instance}}));
}

auto IntentService::giveUp(const RequestKey &key, const RequestId &attempt) -> void
{
    {
        const auto lock = std::lock_guard{m_mutex};
        remember(attempt, {.state = AttemptState::Voided, .request = attempt});
    }
    voidRecord(key, attempt);
    m_changed.notify_all();
}

auto IntentService::finish(const RequestKey &key, const RequestId &attempt, RequestVerdict verdict, const std::string &answer) -> void
{
    const auto answered = verdict == RequestVerdict::Answer;
    {
        const auto lock = std::lock_guard{m_mutex};
        remember(attempt, {.state = AttemptState::Done, .verdict = verdict, .request = attempt, .answer = answer});
    }
    m_changed.notify_all();
    const auto logged = answered && answer.size() <= maxLoggedAnswerBytes;
    const auto record = DoneRecord{
        .key = key,
        .attempt = attempt,
        .instance = m_options.instance,
        .result = answered ? LoggedOutcome::Answer : LoggedOutcome::Unknown,
        .hasAnswer = logged,
        .answer = logged ? answer : std::string{},
    };
    (void)m_writer.appendEventually("requests", encodeRecord(RequestRecord{record}));
}

auto IntentService::neverSeen(const RequestKey &key) -> bool
{
    auto next = LogOffset{};
    {
        const auto lock = std::lock_guard{m_mutex};
        const auto now = m_clock.mono();
        if (now - m_checkSecond >= Seconds{1}) {
            m_checkSecond = now;
            m_checks = 0;
        }
        if (++m_checks > m_options.checksPerSecond || m_fold.lookup(key).state != KeyState::Free) {
            return false;
        }
        next = m_fold.next();
    }
    // The reader may be behind by the time that a record takes to reach it, in which an earlier attempt can have begun.
    const auto page = m_log.read("requests", next, 1, Millis{0});
    return page && page.value().records.empty();
}

auto IntentService::outcome(const RequestId &attempt) const -> AttemptOutcome
{
    const auto lock = std::lock_guard{m_mutex};
    const auto it = m_own.find(attempt);
    return it == m_own.end() ? AttemptOutcome{.state = AttemptState::Unknown, .request = attempt} : it->second;
}

auto IntentService::bytesRead() const -> std::uint64_t
{
    return m_tail.bytesRead();
}

}

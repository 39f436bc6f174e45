#pragma once

/// At-most-once attempts of non-idempotent requests through intent records in the log.
///
/// @code
///   auto claim = intents.claim(key, deadline);
///   if (claim.kind == Catkin::ClaimKind::Won) {
///       ... dispatch ...
///       intents.finish(key, claim.attempt, verdict, answer);   // or giveUp() if no byte was sent
///   }
/// @endcode
/// An attempt may be dispatched only if its intent is the first one of its key in the log that is not voided. Only this
/// instance voids its own attempts, and only before dispatch, so a voided attempt never runs.

#include "daemon/logtail.h"
#include "daemon/logwriter.h"
#include "state/intentfold.h"
#include "wire/messages.h"

#include "daemon/answerbudget.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace Catkin
{

enum class ClaimKind {
    Won, ///< this attempt owns the key: dispatch it
    Settled, ///< an earlier attempt has an outcome, given in Claim::outcome
    NotStarted, ///< this attempt will never run, and the caller never made another one
    Undecided, ///< whether another attempt ran is unknown
};

struct Claim
{
    ClaimKind kind = ClaimKind::Undecided;
    RequestId attempt;
    AttemptOutcome outcome; ///< Settled only
    std::string reason;
};

struct IntentServiceOptions
{
    InstanceId instance;
    IntentFoldOptions fold;
    LogTailOptions tail;
    Millis staleAfter{10'000}; ///< without a successful read for this time the log counts as down
    Millis queryTimeout{1'000}; ///< for one query of the winning instance
    Millis queryPause{200}; ///< before an open attempt is asked about again
    int checksPerSecond = 20; ///< reads of the log's end for refused requests; a flood of refusals must not become one of reads
    /// Own attempts whose outcome is remembered: those of the seconds until the log has shown their outcome to everyone.
    std::size_t maxOwn = 8'192;
    Bytes ownAnswers{2 << 20}; ///< answers of own attempts that are kept, also those that are too long for the log
};

class IntentService
{
public:
    /// Asks another instance for the outcome of its attempt.
    using QueryPeer = std::function<Result<AttemptOutcome>(const InstanceId &peer, const AttemptQuery &query, Millis timeout)>;

    IntentService(const LogPort &log, LogWriter &writer, const Clock &clock, IntentServiceOptions options, QueryPeer queryPeer);

    /// Claims @p key, or finds out what became of the attempt that owns it.
    /// @param firstAttempt whether the caller states that it never sent this key before
    /// @param deadline when to give up waiting
    auto claim(const RequestKey &key, bool firstAttempt, MonoTime deadline) -> Claim;

    /// Voids a won attempt of which no byte was sent.
    auto giveUp(const RequestKey &key, const RequestId &attempt) -> void;

    /// Records the outcome of a won attempt.
    auto finish(const RequestKey &key, const RequestId &attempt, RequestVerdict verdict, const std::string &answer) -> void;

    /// Reads the end of the log to make sure; limited to IntentServiceOptions::checksPerSecond, beyond which it is false.
    /// @return whether the log certainly holds no attempt of @p key now.
    auto neverSeen(const RequestKey &key) -> bool;

    /// Answers a peer's query about an attempt of this instance.
    [[nodiscard]] auto outcome(const RequestId &attempt) const -> AttemptOutcome;

    /// @return whether the log has been read back to the start of the key window.
    [[nodiscard]] auto ready() const -> bool;
    /// @return bytes read from the log since the start.
    [[nodiscard]] auto bytesRead() const -> std::uint64_t;

private:
    auto applyPage(const LogPage &page, bool restart) -> void;
    auto appendIntent(const RequestKey &key, bool firstAttempt, MonoTime deadline) -> Claim;
    auto awaitOther(const RequestKey &key, const KeyStatus &status, bool firstAttempt, MonoTime deadline) -> Claim;
    auto askOwner(const RequestKey &key, const KeyStatus &status, MonoTime deadline) -> AttemptOutcome;
    auto settled(const RequestKey &key, const KeyStatus &status, MonoTime deadline) -> Claim;
    auto remember(const RequestId &attempt, AttemptOutcome outcome) -> void;
    auto voidRecord(const RequestKey &key, const RequestId &attempt) -> void;

    LogPort m_log;
    LogWriter &m_writer;
    Clock m_clock;
    IntentServiceOptions m_options;
    QueryPeer m_queryPeer;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    IntentFold m_fold;
    std::map<RequestId, AttemptOutcome> m_own;
    std::deque<RequestId> m_ownOrder;
    AnswerBudget<RequestId> m_ownAnswers;
    MonoTime m_checkSecond{}; ///< start of the second in which m_checks counts
    int m_checks = 0;
    LogTail m_tail;
};

}

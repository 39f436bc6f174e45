#pragma once

/// Folds the requests stream into one owner per request key.
///
/// @code
///   auto fold = Catkin::IntentFold{};
///   fold.restart(page.first);                                   // first page, and after every gap
///   for (const auto &it : page.records) {
///       fold.apply(it.offset, it.time, it.data);
///   }
///   // once next() has passed the offset of this instance's own intent:
///   auto status = fold.lookup(key);
///   if (status.state == Catkin::KeyState::Owned && status.attempt == mine) { dispatch(); }
/// @endcode
///
/// At most one attempt of a non-idempotent request is dispatched: that of the key's owner.
///
/// The first intent of a key that is not voided owns the key. An instance whose intent does not own the key and that stops
/// waiting must void its intent. Otherwise, when the owner is voided, the key would pass to an attempt that no instance
/// dispatches.
///
/// An intent counts only if the log stored it at most the key window after first_sent and not more than maxAhead before it.
/// All intents of a key therefore lie in a known range of the log, and an instance that has read this range from its
/// beginning (see covers()) finds the same owner as every other instance.
///
/// Memory is bounded. Above maxKeys, the keys with the oldest first_sent are removed in groups of 10 s; their requests are then
/// answered "outcome unknown", which is always safe.

#include "state/records.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Catkin
{

/// window and maxAhead must be the same on every instance, because the owner of a key depends on them.
struct IntentFoldOptions
{
    Seconds window{3600}; ///< time after first_sent for which a key is valid; less than the log's retention
    Seconds maxAhead{10}; ///< longest time by which first_sent may lie ahead of the log's clock
    std::size_t maxKeys = 100'000;
    std::size_t maxAnswerBytes = std::size_t{8} << 20U; ///< limit of all answers together; above it the oldest are dropped
};

enum class KeyState {
    Free, ///< no attempt owns the key: an intent may be appended
    Owned, ///< an attempt owns the key and has not reported an outcome
    Done, ///< the owner has reported its outcome
    Expired, ///< older than the window, or removed for lack of room: the outcome is unknown
    NotCovered, ///< this instance has not read all of the log in which intents of the key may lie
};

struct KeyStatus
{
    KeyState state = KeyState::NotCovered;
    RequestId attempt; ///< attempt that owns the key; only if Owned or Done
    InstanceId instance; ///< instance that made this attempt; only if Owned or Done
    LoggedOutcome result = LoggedOutcome::Unknown; ///< only if Done
    std::shared_ptr<const std::string> answer; ///< only if Done; null when there is none, it was too long or has been dropped
};

/// Number of records by their effect, and of what was removed to bound memory.
struct IntentFoldCounts
{
    std::uint64_t applied = 0;
    std::uint64_t undecodable = 0;
    std::uint64_t ignored = 0; ///< records of keys that are not covered or not valid, and records without effect on their key
    std::uint64_t forgottenKeys = 0; ///< keys removed because of maxKeys
    std::uint64_t droppedAnswers = 0; ///< answers removed because of maxAnswerBytes
};

class IntentFold
{
public:
    explicit IntentFold(IntentFoldOptions options = {});

    /// Removes every key and continues at @p first, the lowest offset that the log retains. Call it before the first record
    /// and after every gap in the records.
    auto restart(LogOffset first) -> void;

    /// Begins the coverage at @p since when the retained log is empty; otherwise the first record begins it.
    /// @param since a time from which on the log has stored no record, less a margin for the difference between this clock and
    ///        the log's
    auto noteEmptySince(WallTime since) -> void;

    /// Folds the record at @p offset; a record below next() is ignored.
    /// @param time log time: when the log stored the record
    auto apply(LogOffset offset, WallTime time, const RequestRecord &record) -> void;

    /// Decodes and folds; a record that cannot be decoded is counted and skipped.
    auto apply(LogOffset offset, WallTime time, std::string_view text) -> void;

    /// @return the state of @p key, its owner and the outcome.
    [[nodiscard]] auto lookup(const RequestKey &key) const -> KeyStatus;

    /// @return whether no intent of a key with this @p firstSent can lie before the part of the log that is being read.
    [[nodiscard]] auto covers(WallTime firstSent) const -> bool;

    /// @return whether every key that is valid at the wall-clock time @p now is covered. Only then may this instance serve
    /// non-idempotent requests.
    [[nodiscard]] auto coversWindow(WallTime now) const -> bool;

    /// @return the offset of the next record to read.
    [[nodiscard]] auto next() const -> LogOffset;

    [[nodiscard]] auto size() const -> std::size_t;

    [[nodiscard]] auto counts() const -> const IntentFoldCounts &;

private:
    /// First half of the SHA-256 of a RequestKey. Callers choose the keys, so they must not be able to construct a collision.
    using Digest = std::array<std::uint64_t, 2>;
    struct DigestHash
    {
        auto operator()(const Digest &digest) const noexcept -> std::size_t
        {
            return digest[0];
        }
    };
    struct Attempt
    {
        RequestId id;
        std::uint32_t instance = 0; ///< index into m_instances
    };
    /// State of one key.
    struct Entry
    {
        std::vector<Attempt> attempts; ///< not voided, in log order; the first one owns the key
        bool done = false;
        LoggedOutcome result = LoggedOutcome::Unknown;
        std::shared_ptr<const std::string> answer;
    };

    static auto digestOf(const RequestKey &key) -> Digest;
    static auto bucketOf(WallTime firstSent) -> std::int64_t;
    auto applyIntent(const IntentRecord &record) -> bool;
    auto applyVoid(const VoidRecord &record) -> bool;
    auto applyDone(const DoneRecord &record) -> bool;
    auto isValid(WallTime firstSent) const -> bool;
    auto internInstance(const InstanceId &id) -> std::uint32_t;
    auto observeTime(WallTime time) -> void;
    auto dropOldestBucket() -> void;

    IntentFoldOptions m_options;
    LogOffset m_next;
    WallTime m_now{}; ///< latest log time seen
    std::optional<WallTime> m_coveredFrom; ///< every record that the log stored after this time has been or will be read
    std::int64_t m_firstBucket = 0; ///< keys in earlier buckets have expired or were removed
    std::unordered_map<Digest, Entry, DigestHash> m_keys;
    std::map<std::int64_t, std::vector<Digest>> m_buckets; ///< keys by first_sent, in steps of bucketWidth
    std::deque<Digest> m_answers; ///< keys with an answer, oldest first
    std::size_t m_answerBytes = 0; ///< size of all answers
    std::vector<InstanceId> m_instances; ///< every instance that an entry refers to; kept once to save memory
    std::unordered_map<InstanceId, std::uint32_t> m_instanceIndex;
    IntentFoldCounts m_counts;
};

}

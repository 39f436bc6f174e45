#pragma once

/// The requests stream as one owner per key: at most one attempt of a non-idempotent request is dispatched.
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
/// The first intent of a key that is not voided owns it. A losing instance that gives up has to void its own intent, or the
/// key would pass to an attempt that nobody dispatches when the owner is voided. Intents count only if the log stored
/// them within the key window after first_sent, so all intents of a key lie in a known stretch of the log: an instance
/// that has read this stretch from its beginning (see covers()) finds the same owner as every other one.
///
/// Memory is bounded. When there are too many keys, the oldest ones are forgotten together with every key that is as
/// old; their requests are then answered "outcome unknown", which is always safe.

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

/// window and maxAhead are equal on every instance, because the fold depends on them.
struct IntentFoldOptions
{
    Seconds window{3600}; ///< how long after first_sent a key is valid; less than the log's retention
    Seconds maxAhead{10}; ///< how far first_sent may lie ahead of the log's clock
    std::size_t maxKeys = 100'000;
    std::size_t maxAnswerBytes = std::size_t{8} << 20U; ///< the oldest answers are dropped above this total
};

enum class KeyState {
    Free, ///< no attempt owns the key: an intent may be appended
    Owned, ///< an attempt owns the key and has not reported an outcome
    Done, ///< the owner has reported its outcome
    Expired, ///< older than the window, or forgotten: "outcome unknown"
    NotCovered, ///< this instance has not read far enough back to know
};

/// What is known about a key.
struct KeyStatus
{
    KeyState state = KeyState::NotCovered;
    RequestId attempt; ///< Owned, Done: the owner
    InstanceId instance; ///< Owned, Done: the owner's instance
    LoggedOutcome result = LoggedOutcome::Unknown; ///< Done only
    std::shared_ptr<const std::string> answer; ///< Done only; null when the answer was too long or has been dropped
};

struct IntentFoldCounts
{
    std::uint64_t applied = 0;
    std::uint64_t undecodable = 0;
    std::uint64_t ignored = 0; ///< not covered, outside the window, or without effect on the key
    std::uint64_t forgottenKeys = 0; ///< dropped for lack of room before the window had passed
    std::uint64_t droppedAnswers = 0;
};

class IntentFold
{
public:
    explicit IntentFold(IntentFoldOptions options = {});

    /// Begins reading at @p first, the lowest offset that the log retains; also to be called when records were missed.
    /// Forgets every key.
    auto restart(LogOffset first) -> void;

    /// States that the log holds no record stored between @p since and now, which is how coverage begins when the
    /// retained log is empty. The caller subtracts a margin for the difference between the clocks.
    auto noteEmptySince(WallTime since) -> void;

    /// Folds the record at @p offset; offsets that have been folded already are ignored.
    /// @param time when the log stored the record
    auto apply(LogOffset offset, WallTime time, const RequestRecord &record) -> void;

    /// Decodes and folds; a record that cannot be decoded is counted and skipped.
    auto apply(LogOffset offset, WallTime time, std::string_view text) -> void;

    /// @return who owns @p key and what came of it.
    [[nodiscard]] auto lookup(const RequestKey &key) const -> KeyStatus;

    /// @return whether every intent of a key first sent at @p firstSent has been or will be read.
    [[nodiscard]] auto covers(WallTime firstSent) const -> bool;

    /// @return whether every valid key at the wall-clock time @p now is covered, so that non-idempotent requests may be served.
    [[nodiscard]] auto coversWindow(WallTime now) const -> bool;

    /// @return the offset at which to continue reading.
    [[nodiscard]] auto next() const -> LogOffset;

    /// @return the number of keys held.
    [[nodiscard]] auto size() const -> std::size_t;

    [[nodiscard]] auto counts() const -> const IntentFoldCounts &;

private:
    /// First half of the SHA-256 of a RequestKey: keys are chosen by callers, so a collision must not be constructible.
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
    std::optional<WallTime> m_coveredFrom; ///< every record stored from here on has been read
    std::int64_t m_floorBucket = 0; ///< keys below this bucket are forgotten or expired
    std::unordered_map<Digest, Entry, DigestHash> m_keys;
    std::map<std::int64_t, std::vector<Digest>> m_buckets; ///< keys by first_sent, in steps of bucketWidth
    std::deque<Digest> m_answers; ///< keys with an answer, oldest first
    std::size_t m_answerBytes = 0;
    std::vector<InstanceId> m_instances;
    std::unordered_map<InstanceId, std::uint32_t> m_instanceIndex;
    IntentFoldCounts m_counts;
};

}

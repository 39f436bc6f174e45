#pragma once

/// Folds the configuration stream into the version in force.
///
/// @code
///   auto fold = Catkin::ConfigFold{};
///   fold.restart(page.first);                                   // first page, and after every gap
///   for (const auto &it : page.records) {
///       fold.apply(it.offset, it.time, it.data);
///   }
///   if (const auto *current = fold.current()) { use(current->document); }
/// @endcode
///
/// Every instance accepts the same changes in the same order, and the version in force never goes back.
///
/// A change is accepted if its base is the committed version: the version that the log alone determines.
///
/// A reader that starts in the middle of the stream does not know the committed version. It keeps the changes that it reads
/// until it finds a snapshot or change whose builder (the instance that built the record) had folded the stream at least up
/// to the reader's start. That record states the version at the builder's position. Replaying the changes from there on gives
/// the same committed version as on every other instance.
///
/// Until then, and while the log cannot be reached, the version in force may come from a peer's offer or from a snapshot that
/// was built before the reader's start.

#include "state/records.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Catkin
{

/// An accepted version.
struct ConfigState
{
    ConfigVersion version;
    std::string id; ///< id of the change that created the version; empty for version 0
    std::string author;
    std::string document; ///< canonical JSON text; empty for version 0

    auto operator==(const ConfigState &) const -> bool = default;
};

enum class ChangeOutcome { Pending, Accepted, Rejected };

struct ChangeResult
{
    ChangeOutcome outcome = ChangeOutcome::Pending;
    ConfigVersion version; ///< Accepted: the change's version; Rejected: the committed version, which was not its base
};

struct ConfigFoldOptions
{
    std::size_t maxPendingChanges = 64; ///< limit of changes kept while the committed version is not known
    std::size_t maxResults = 1024; ///< limit of results kept for result(); above it the oldest are dropped
};

class ConfigFold
{
public:
    explicit ConfigFold(ConfigFoldOptions options = {});

    /// Continues at @p first, the lowest offset that the log retains. Call it before the first record and after every gap in
    /// the records. The version in force stays; the committed version is unknown afterwards, unless @p first is 0.
    auto restart(LogOffset first) -> void;

    /// Folds the record at @p offset; a record below next() is ignored.
    /// @param time log time: when the log stored the record
    auto apply(LogOffset offset, WallTime time, const ConfigRecord &record) -> void;

    /// Decodes and folds; a record that cannot be decoded is counted and skipped.
    auto apply(LogOffset offset, WallTime time, std::string_view text) -> void;

    /// Takes a version that a peer has accepted, if it is newer than the one in force.
    /// @return whether it was taken.
    auto offer(const ConfigState &state) -> bool;

    /// @return the version in force, or null when none is known; valid until the next call of a non-const member.
    [[nodiscard]] auto current() const -> const ConfigState *;

    /// @return the version that the log alone determines, or null while it is not known; version 0 before the first change.
    [[nodiscard]] auto committed() const -> const ConfigState *;

    /// @return the result of the change with @p id; Pending when the change has not been read or its result has been dropped.
    [[nodiscard]] auto result(const std::string &id) const -> ChangeResult;

    /// @return the record that proposes @p document on the committed version; nothing while that is not known.
    /// @param id unique id for result()
    /// @param document canonical JSON text
    [[nodiscard]] auto makeChange(const std::string &id, const std::string &author, const std::string &document) const -> std::optional<ConfigChange>;

    /// @return the snapshot of the committed version; nothing while that is not known or is version 0.
    [[nodiscard]] auto makeSnapshot() const -> std::optional<ConfigSnapshot>;

    /// @return the offset of the next record to read.
    [[nodiscard]] auto next() const -> LogOffset;

    /// @return log time of the newest record that holds the whole committed version.
    [[nodiscard]] auto fullStateAt() const -> WallTime;

    /// @return the number of records that could not be decoded.
    [[nodiscard]] auto undecodable() const -> std::uint64_t;

private:
    struct PendingChange
    {
        LogOffset offset;
        WallTime time;
        ConfigChange change;
    };

    auto applyChange(LogOffset offset, WallTime time, const ConfigChange &change) -> void;
    auto applySnapshot(WallTime time, const ConfigSnapshot &snapshot) -> void;
    /// Sets the committed version, which was @p state at the offset @p through, and replays the pending changes from there on.
    auto commitFrom(LogOffset through, WallTime time, const ConfigState &state) -> void;
    auto storeResult(const std::string &id, ChangeResult result) -> void;

    ConfigFoldOptions m_options;
    LogOffset m_start; ///< every change from here on has been folded or is in m_pending
    LogOffset m_next;
    WallTime m_fullStateAt{};
    std::optional<ConfigState> m_committed;
    std::optional<ConfigState> m_offered; ///< newer than the committed version; from a peer or an old snapshot
    std::deque<PendingChange> m_pending; ///< changes read while the committed version is not known
    std::unordered_map<std::string, ChangeResult> m_results;
    std::deque<std::string> m_resultOrder; ///< ids of m_results, oldest first
    std::uint64_t m_undecodable = 0;
};

}

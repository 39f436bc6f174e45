#pragma once

/// The configuration stream as one current version.
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
/// A reader that starts in the middle of the stream does not know which base is current. It keeps the changes that it
/// reads until a snapshot or change whose builder had read at least up to the reader's own start: this tells the version
/// at the builder's position, and replaying the changes since then gives the same version as on every other instance.
/// Until then, and while the log is unreachable, offers from peers and snapshots that are too old for this supply the
/// version in force.

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
    std::string id; ///< of the change; empty for version 0
    std::string author;
    std::string document; ///< canonical JSON text; empty for version 0

    auto operator==(const ConfigState &) const -> bool = default;
};

enum class ChangeOutcome { Pending, Accepted, Rejected };

/// What became of a change.
struct ChangeResult
{
    ChangeOutcome outcome = ChangeOutcome::Pending;
    ConfigVersion version; ///< Accepted: its version; Rejected: the version that was current instead of its base
};

struct ConfigFoldOptions
{
    std::size_t maxPendingChanges = 64; ///< changes kept by a reader that waits for a snapshot
    std::size_t maxResults = 1024; ///< results of changes that are remembered
};

class ConfigFold
{
public:
    explicit ConfigFold(ConfigFoldOptions options = {});

    /// Begins reading at @p first, the lowest offset that the log retains; also to be called when records were missed.
    /// The version in force stays.
    auto restart(LogOffset first) -> void;

    /// Folds the record at @p offset; offsets that have been folded already are ignored.
    /// @param time when the log stored the record
    auto apply(LogOffset offset, WallTime time, const ConfigRecord &record) -> void;

    /// Decodes and folds; a record that cannot be decoded is counted and skipped.
    auto apply(LogOffset offset, WallTime time, std::string_view text) -> void;

    /// Takes a version that a peer has accepted, if it is newer than the one in force.
    /// @return whether it was taken.
    auto offer(const ConfigState &state) -> bool;

    /// @return the version in force, or null when none is known; valid until the next call of a non-const member.
    [[nodiscard]] auto current() const -> const ConfigState *;

    /// @return the version that the log alone determines, or null until it is certain. A new change is based on it.
    [[nodiscard]] auto committed() const -> const ConfigState *;

    /// @return what became of the change with @p id; Pending when it has not been read, or too long ago.
    [[nodiscard]] auto result(const std::string &id) const -> ChangeResult;

    /// @return the record that proposes @p document on the certain version, or nothing while that is not known.
    /// @param id unique id, by which result() reports what became of it
    /// @param document canonical JSON text
    [[nodiscard]] auto makeChange(const std::string &id, const std::string &author, const std::string &document) const -> std::optional<ConfigChange>;

    /// @return the record that carries the certain version, or nothing when there is none (or only version 0).
    [[nodiscard]] auto makeSnapshot() const -> std::optional<ConfigSnapshot>;

    /// @return the offset at which to continue reading.
    [[nodiscard]] auto next() const -> LogOffset;

    /// @return log time of the newest record that holds the whole certain version.
    [[nodiscard]] auto fullStateAt() const -> WallTime;

    /// @return how many records could not be decoded.
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
    /// Takes @p state as the version at @p through and replays the changes since then.
    auto settle(LogOffset through, WallTime time, const ConfigState &state) -> void;
    auto remember(const std::string &id, ChangeResult result) -> void;

    ConfigFoldOptions m_options;
    LogOffset m_start; ///< everything from here on has been read, or is kept in m_pending
    LogOffset m_next;
    WallTime m_fullStateAt{};
    std::optional<ConfigState> m_committed;
    std::optional<ConfigState> m_offered;
    std::deque<PendingChange> m_pending;
    std::unordered_map<std::string, ChangeResult> m_results;
    std::deque<std::string> m_resultOrder;
    std::uint64_t m_undecodable = 0;
};

}

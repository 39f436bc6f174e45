#pragma once

/// The configuration in force on this instance.
///
/// @code
///   auto config = Catkin::ConfigService{log, writer, clock, options, [&](const Catkin::ActiveConfig &active) { ... }};
///   auto active = config.active();                          // null while no configuration is known
///   auto result = config.apply(base, "maria", text, fleet);
/// @endcode

#include "daemon/logtail.h"
#include "daemon/logwriter.h"
#include "state/configfold.h"
#include "state/document.h"
#include "state/snapshotter.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Catkin
{

/// A configuration in force, parsed.
struct ActiveConfig
{
    ConfigState state;
    ConfigDocument document;
};

enum class ApplyOutcome {
    Accepted, ///< in the log and in force here
    Invalid, ///< the document has errors; nothing was appended
    Conflict, ///< another change won; see ApplyResult::version
    NotApplied, ///< the log certainly does not hold the change
    Unknown, ///< the log did not answer; the change may still take effect
};

struct ApplyResult
{
    ApplyOutcome outcome = ApplyOutcome::Unknown;
    ConfigVersion version; ///< Accepted: the new version; Conflict: the version in force
    std::vector<FieldError> errors; ///< Invalid only
    std::string reason;
};

struct ConfigServiceOptions
{
    InstanceId instance;
    Seconds retention{86'400}; ///< how long the log keeps records
    Millis applyTimeout{5'000}; ///< longest wait for the own change to come back from the log
    LogTailOptions tail;
    std::function<void(ApplyOutcome)> applied; ///< called with the result of each apply(); may be empty
};

class ConfigService
{
public:
    using Changed = std::function<void(const ActiveConfig &)>;

    /// @param changed called when another version is in force, on the log reader's thread
    ConfigService(const LogPort &log, LogWriter &writer, const Clock &clock, ConfigServiceOptions options, Changed changed);

    /// @return the configuration in force, or null.
    [[nodiscard]] auto active() const -> std::shared_ptr<const ActiveConfig>;

    /// Checks a document, fleet included, without applying it.
    [[nodiscard]] auto validate(const std::string &text, std::span<const DomainFleet> fleet) const -> ParsedDocument;

    /// Proposes @p text as the successor of version @p base and waits for the decision.
    /// @param author who proposes it, for the record
    auto apply(ConfigVersion base, const std::string &author, const std::string &text, std::span<const DomainFleet> fleet) -> ApplyResult;

    /// Takes a version from a peer if it is newer than the one in force.
    auto offer(const ConfigState &state) -> void;

    /// Appends the version in force again when its record grows old and this instance is to do it.
    /// @param fresh ids of the instances with fresh heartbeats, this one included
    auto appendSnapshots(std::span<const std::string> fresh, WallTime now) -> void;

    /// @return whether the log has been read to its end once.
    [[nodiscard]] auto caughtUp() const -> bool;
    /// @return whether the log has been read to its end once or cannot be read; see LogTail::settled().
    [[nodiscard]] auto settled() const -> bool;
    /// @return time since the log was last read.
    [[nodiscard]] auto age() const -> std::optional<Millis>;

private:
    auto applyPage(const LogPage &page, bool restart) -> void;
    auto publish() -> void;
    auto propose(ConfigVersion base, const std::string &author, const std::string &text, std::span<const DomainFleet> fleet) -> ApplyResult;
    auto decide(const ConfigChange &change, const Result<LogOffset> &appended) -> ApplyResult;

    LogWriter &m_writer;
    Clock m_clock;
    ConfigServiceOptions m_options;
    Changed m_changed;
    mutable std::mutex m_mutex;
    std::condition_variable m_folded;
    ConfigFold m_fold;
    Snapshotter m_snapshotter;
    std::shared_ptr<const ActiveConfig> m_active;
    LogTail m_tail;
};

}

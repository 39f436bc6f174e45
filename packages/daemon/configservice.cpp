#include "daemon/configservice.h"

#include "util/digest.h"
#include "util/logging.h"

#include <utility>

namespace Catkin
{

namespace
{
constexpr auto changeIdBytes = std::size_t{12};
}

ConfigService::ConfigService(const LogPort &log, LogWriter &writer, const Clock &clock, ConfigServiceOptions options, Changed changed)
    : m_writer(writer)
    , m_clock(clock)
    , m_options(std::move(options))
    , m_changed(std::move(changed))
    , m_snapshotter(m_options.instance, {.retention = m_options.retention})
    , m_tail(
          log, clock, "config", [this](const LogPage &page, bool restart) { applyPage(page, restart); }, m_options.tail)
{
}

auto ConfigService::applyPage(const LogPage &page, bool restart) -> void
{
    {
        const auto lock = std::lock_guard{m_mutex};
        if (restart) {
            m_fold.restart(page.first);
        }
        for (const auto &it : page.records) {
            m_fold.apply(it.offset, it.time, it.data);
        }
    }
    publish();
    m_folded.notify_all();
}

auto ConfigService::publish() -> void
{
    auto fresh = std::shared_ptr<const ActiveConfig>{};
    {
        const auto lock = std::lock_guard{m_mutex};
        const auto *current = m_fold.current();
        if (current == nullptr || current->version.value == 0 || (m_active && m_active->state.version >= current->version)) {
            return;
        }
        auto parsed = parseDocument(current->document);
        if (!parsed.errors.empty()) {
            // A newer release accepted a document that this one cannot read; the version in force here stays.
            logEvent(LogLevel::Error, 2202, "configuration " + std::to_string(current->version.value) + " cannot be read: " + formatErrors(parsed.errors));
            return;
        }
        fresh = std::make_shared<ActiveConfig>(ActiveConfig{.state = *current, .document = std::move(parsed.document)});
        m_active = fresh;
    }
    logEvent(LogLevel::Info, 2201, "configuration " + std::to_string(fresh->state.version.value) + " by " + fresh->state.author + " is in force");
    m_changed(*fresh);
}

auto ConfigService::active() const -> std::shared_ptr<const ActiveConfig>
{
    const auto lock = std::lock_guard{m_mutex};
    return m_active;
}

auto ConfigService::validate(const std::string &text, std::span<const DomainFleet> fleet) const -> ParsedDocument
{
    auto parsed = parseDocument(text);
    if (parsed.errors.empty()) {
        parsed.errors = checkGuarantees(parsed.document, fleet);
    }
    return parsed;
}

auto ConfigService::apply(ConfigVersion base, const std::string &author, const std::string &text, std::span<const DomainFleet> fleet) -> ApplyResult
{
    auto result = propose(base, author, text, fleet);
    if (m_options.applied) {
        m_options.applied(result.outcome);
    }
    return result;
}

auto ConfigService::propose(ConfigVersion base, const std::string &author, const std::string &text, std::span<const DomainFleet> fleet) -> ApplyResult
{
    auto parsed = validate(text, fleet);
    if (!parsed.errors.empty()) {
        return {.outcome = ApplyOutcome::Invalid, .errors = std::move(parsed.errors), .reason = "the document has errors"};
    }
    auto change = std::optional<ConfigChange>{};
    {
        const auto lock = std::lock_guard{m_mutex};
        const auto *committed = m_fold.committed();
        if (committed == nullptr || !m_tail.caughtUp()) {
            return {.outcome = ApplyOutcome::NotApplied, .reason = "the configuration stream has not been read yet"};
        }
        if (committed->version != base) {
            return {.outcome = ApplyOutcome::Conflict,
                    .version = committed->version,
                    .reason = "version " + std::to_string(committed->version.value) + " is in force"};
        }
        change = m_fold.makeChange(m_options.instance.str() + "-" + randomHex(changeIdBytes), author, encodeDocument(parsed.document));
    }
    return decide(*change, m_writer.append("config", encodeRecord(ConfigRecord{*change})));
}

auto ConfigService::decide(const ConfigChange &change, const Result<LogOffset> &appended) -> ApplyResult
{
    if (!appended && appended.error().code != ErrorCode::Unknown) {
        return {.outcome = ApplyOutcome::NotApplied, .reason = appended.error().message};
    }
    // A lost answer is settled by reading: the change either comes back from the log or stays unknown.
    auto result = ChangeResult{};
    {
        auto lock = std::unique_lock{m_mutex};
        m_folded.wait_for(lock, m_options.applyTimeout, [&] {
            result = m_fold.result(change.id);
            return result.outcome != ChangeOutcome::Pending;
        });
    }
    switch (result.outcome) {
    case ChangeOutcome::Accepted:
        return {.outcome = ApplyOutcome::Accepted, .version = result.version};
    case ChangeOutcome::Rejected:
        return {.outcome = ApplyOutcome::Conflict, .version = result.version, .reason = "another change won"};
    case ChangeOutcome::Pending:
        break;
    }
    return {.outcome = ApplyOutcome::Unknown, .reason = "the log has not shown the change yet; read the configuration before trying again"};
}

auto ConfigService::offer(const ConfigState &state) -> void
{
    auto taken = false;
    {
        const auto lock = std::lock_guard{m_mutex};
        taken = m_fold.offer(state);
    }
    if (taken) {
        publish();
    }
}

auto ConfigService::appendSnapshots(std::span<const std::string> fresh, WallTime now) -> void
{
    auto record = std::optional<ConfigSnapshot>{};
    {
        const auto lock = std::lock_guard{m_mutex};
        record = m_snapshotter.configSnapshot(m_fold, fresh, now);
    }
    if (record) {
        (void)m_writer.append("config", encodeRecord(ConfigRecord{*record}));
    }
}

auto ConfigService::caughtUp() const -> bool
{
    return m_tail.caughtUp();
}

auto ConfigService::settled() const -> bool
{
    return m_tail.settled();
}

auto ConfigService::age() const -> std::optional<Millis>
{
    return m_tail.age();
}

}

#include "daemon/recordtail.h"

#include "util/logging.h"
#include "util/threadname.h"

namespace Catkin
{

namespace
{
/// Between two tries while the store does not answer; short against every bound on configuration and takeover.
constexpr auto retryPause = Millis{150};
/// A snapshot may be several pages long.
constexpr auto snapshotTimeout = Millis{2'000};
/// A writer may repeat a malformed record with every heartbeat.
constexpr auto malformedLogInterval = Seconds{60};
}

RecordTail::RecordTail(RecordStore store, RecordLog log, const TailOptions &options, Clock clock, TailHandlers handlers)
    : m_store(std::move(store))
    , m_log(log)
    , m_options(options)
    , m_clock(std::move(clock))
    , m_handlers(std::move(handlers))
    , m_paceMs(options.pace.count())
{
}

RecordTail::~RecordTail()
{
    stop();
}

auto RecordTail::start() -> void
{
    m_thread = std::thread([this] { run(); });
}

auto RecordTail::stop() -> void
{
    {
        const auto lock = std::lock_guard{m_mutex};
        m_stopping = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

auto RecordTail::setPace(Millis pace) -> void
{
    m_paceMs = pace.count();
}

auto RecordTail::readAt() const -> std::optional<MonoTime>
{
    const auto micros = m_readAtMicros.load();
    return micros == 0 ? std::nullopt : std::optional{MonoTime{Micros{micros}}};
}

auto RecordTail::pause(Millis span) -> void
{
    if (span.count() <= 0) {
        return;
    }
    auto lock = std::unique_lock{m_mutex};
    m_changed.wait_for(lock, span, [&] { return m_stopping; });
}

auto RecordTail::noteMalformed(std::uint64_t n) -> void
{
    m_malformed += n;
    const auto now = m_clock.mono();
    if (m_malformed == 0 || (m_malformedLoggedAt && now - *m_malformedLoggedAt < malformedLogInterval)) {
        return;
    }
    logEvent(LogLevel::Warn, 6002, std::string("log=") + m_options.name + " malformed_records=" + std::to_string(m_malformed) + " left out");
    m_malformed = 0;
    m_malformedLoggedAt = now;
}

auto RecordTail::handOver(const RecordPage &page, MonoTime sentAt) -> void
{
    noteMalformed(page.malformed);
    for (const auto &it : page.records) {
        m_handlers.record(it);
    }
    m_next = page.end;
    m_readAtMicros = sentAt.time_since_epoch().count();
    if (!m_available) {
        logEvent(LogLevel::Info, 6004, std::string("log=") + m_options.name + " can be read again, offset=" + std::to_string(page.end.value));
        m_available = true;
    }
    m_handlers.caughtUp(page.end, sentAt);
}

auto RecordTail::readLost(const Error &error) -> void
{
    if (m_available) {
        logEvent(LogLevel::Warn, 6003, std::string("log=") + m_options.name + " cannot be read: " + error.message);
        m_available = false;
    }
    m_handlers.lost();
}

auto RecordTail::snapshot() -> bool
{
    const auto sentAt = m_clock.mono();
    const auto page = m_store.newest(m_log, snapshotTimeout);
    if (!page) {
        readLost(page.error());
        return false;
    }
    m_handlers.reset();
    handOver(page.value(), sentAt);
    return true;
}

auto RecordTail::readOnce() -> bool
{
    const auto sentAt = m_clock.mono();
    const auto page = m_store.read(m_log, *m_next, m_options.wait, m_options.wait + m_options.answer);
    if (!page) {
        if (page.error().code == ErrorCode::NotFound) {
            m_next.reset();
            return true;
        }
        readLost(page.error());
        return false;
    }
    handOver(page.value(), sentAt);
    return true;
}

auto RecordTail::run() -> void
{
    nameThread(m_options.name);
    while (true) {
        const auto begin = m_clock.mono();
        const auto ok = m_next ? readOnce() : snapshot();
        const auto spent = std::chrono::duration_cast<Millis>(m_clock.mono() - begin);
        pause(ok ? Millis{m_paceMs} - spent : retryPause);
        const auto lock = std::lock_guard{m_mutex};
        if (m_stopping) {
            return;
        }
    }
}

}

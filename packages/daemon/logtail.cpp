#include "daemon/logtail.h"

#include "util/logging.h"
#include "util/threadname.h"

#include <utility>

namespace Catkin
{

LogTail::LogTail(LogPort log, Clock clock, std::string stream, ApplyPage apply, const LogTailOptions &options)
    : m_log(std::move(log))
    , m_clock(std::move(clock))
    , m_stream(std::move(stream))
    , m_apply(std::move(apply))
    , m_options(options)
    , m_thread([this] { run(); })
{
}

LogTail::~LogTail()
{
    {
        const auto lock = std::lock_guard{m_mutex};
        m_stopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

auto LogTail::readPage() -> bool
{
    const auto from = m_next;
    // Before the end has been reached once, a wait would only delay the start.
    const auto wait = m_caughtUp ? m_options.longPoll : Millis{0};
    const auto page = m_log.read(m_stream, from, m_options.pageSize, wait);
    if (!page) {
        logEvent(LogLevel::Warn, 2002, page.error().message);
        const auto lock = std::lock_guard{m_mutex};
        ++m_failures;
        return false;
    }
    for (const auto &it : page.value().records) {
        m_bytesRead += it.data.size();
    }
    const auto restart = !m_started || page.value().first > from;
    m_started = true;
    m_apply(page.value(), restart);
    {
        const auto lock = std::lock_guard{m_mutex};
        m_next = std::max(from, page.value().next);
        m_lastRead = m_clock.mono();
        m_failures = 0;
        m_caughtUp = m_caughtUp || page.value().records.empty();
    }
    m_changed.notify_all();
    return true;
}

auto LogTail::run() -> void
{
    nameThread("log-reader");
    auto pause = m_options.startDelay;
    while (true) {
        {
            auto lock = std::unique_lock{m_mutex};
            if (m_changed.wait_for(lock, pause, [&] { return m_stopping; })) {
                return;
            }
        }
        pause = readPage() ? Millis{0} : m_options.retryDelay;
    }
}

auto LogTail::waitCaughtUp(Millis limit) -> bool
{
    auto lock = std::unique_lock{m_mutex};
    return m_changed.wait_for(lock, limit, [&] { return m_caughtUp || m_stopping; }) && m_caughtUp;
}

auto LogTail::waitApplied(LogOffset offset, Millis limit) -> bool
{
    auto lock = std::unique_lock{m_mutex};
    return m_changed.wait_for(lock, limit, [&] { return m_next > offset || m_stopping; }) && m_next > offset;
}

auto LogTail::caughtUp() const -> bool
{
    const auto lock = std::lock_guard{m_mutex};
    return m_caughtUp;
}

auto LogTail::settled() const -> bool
{
    const auto lock = std::lock_guard{m_mutex};
    return m_caughtUp || m_failures >= m_options.settleFailures;
}

auto LogTail::age() const -> std::optional<Millis>
{
    const auto lock = std::lock_guard{m_mutex};
    if (!m_lastRead) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Millis>(m_clock.mono() - *m_lastRead);
}

auto LogTail::bytesRead() const -> std::uint64_t
{
    return m_bytesRead;
}

}

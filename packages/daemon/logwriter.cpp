#include "daemon/logwriter.h"

#include "util/logging.h"
#include "util/threadname.h"

#include <algorithm>
#include <future>
#include <utility>

namespace Catkin
{

LogWriter::LogWriter(LogPort log, Clock clock, const LogWriterOptions &options)
    : m_log(std::move(log))
    , m_clock(std::move(clock))
    , m_options(options)
{
}

LogWriter::~LogWriter()
{
    {
        const auto lock = std::lock_guard{m_mutex};
        m_stopping = true;
    }
    m_changed.notify_all();
    for (auto &[name, stream] : m_streams) {
        stream.thread.join();
        for (auto &it : stream.queue) {
            if (it.done) {
                it.done(failure(ErrorCode::NotSent, "the instance is stopping"));
            }
        }
    }
}

auto LogWriter::enqueue(const std::string &name, Pending pending) -> Result<void>
{
    const auto lock = std::lock_guard{m_mutex};
    if (m_stopping) {
        return failure(ErrorCode::NotSent, "the instance is stopping");
    }
    if (m_pendingBytes + pending.record.size() > m_options.maxPendingBytes) {
        return failure(ErrorCode::Limit, "too many log records are pending");
    }
    auto &stream = m_streams[name];
    m_pendingBytes += pending.record.size();
    stream.queue.push_back(std::move(pending));
    if (!stream.thread.joinable()) {
        stream.thread = std::thread([this, name, &stream] { run(name, stream); });
    }
    m_changed.notify_all();
    return success();
}

auto LogWriter::append(const std::string &stream, std::string record) -> Result<LogOffset>
{
    auto promise = std::make_shared<std::promise<Result<LogOffset>>>();
    auto future = promise->get_future();
    auto queued = enqueue(stream, {.record = std::move(record), .done = [promise](Result<LogOffset> result) { promise->set_value(std::move(result)); }});
    if (!queued) {
        return queued.error();
    }
    return future.get();
}

auto LogWriter::appendEventually(const std::string &stream, std::string record) -> Result<void>
{
    return enqueue(stream, {.record = std::move(record), .done = {}});
}

auto LogWriter::takeGroup(Stream &stream) -> std::vector<Pending>
{
    auto group = std::vector<Pending>{};
    auto bytes = std::size_t{0};
    while (!stream.queue.empty() && (group.empty() || bytes + stream.queue.front().record.size() <= m_options.maxGroupBytes)) {
        bytes += stream.queue.front().record.size();
        group.push_back(std::move(stream.queue.front()));
        stream.queue.pop_front();
    }
    stream.inFlight = group.size();
    return group;
}

auto LogWriter::finishGroup(Stream &stream, std::vector<Pending> group, const Result<LogOffset> &result) -> void
{
    auto answered = std::vector<std::pair<Done, Result<LogOffset>>>{};
    {
        const auto lock = std::lock_guard{m_mutex};
        stream.inFlight = 0;
        if (result) {
            ++m_appends;
            m_records += group.size();
        }
        // From the back, so that records that are kept return to the head of the queue in their order.
        for (auto i = group.size(); i-- > 0;) {
            auto &it = group[i];
            if (!result && !it.done) {
                stream.queue.push_front(std::move(it));
                continue;
            }
            m_pendingBytes -= it.record.size();
            if (it.done) {
                auto own = result ? Result<LogOffset>(result.value() + LogOffset{static_cast<std::int64_t>(i)}) : result;
                answered.emplace_back(std::move(it.done), std::move(own));
            }
        }
    }
    m_changed.notify_all();
    for (auto &[done, own] : answered) {
        done(std::move(own));
    }
}

auto LogWriter::pacingDelay(Stream &stream) -> Micros
{
    const auto now = m_clock.mono();
    // A token bucket: unused appends are saved up to the burst, so a lone record does not wait for the period.
    const auto saved = m_options.minPeriod * m_options.burst;
    stream.earliest = std::max(stream.earliest, now - saved) + m_options.minPeriod;
    return std::max(Micros{0}, stream.earliest - now);
}

auto LogWriter::run(const std::string &name, Stream &stream) -> void
{
    nameThread("log-writer");
    auto delay = m_options.retryDelay;
    while (true) {
        auto group = std::vector<Pending>{};
        {
            auto lock = std::unique_lock{m_mutex};
            m_changed.wait(lock, [&] { return m_stopping || !stream.queue.empty(); });
            if (m_stopping) {
                return;
            }
            group = takeGroup(stream);
        }
        auto records = std::vector<std::string>{};
        records.reserve(group.size());
        for (const auto &it : group) {
            records.push_back(it.record);
        }
        const auto result = m_log.append(name, records);
        const auto failed = !result;
        if (failed) {
            logEvent(LogLevel::Warn, 2001, "append of " + std::to_string(group.size()) + " records to " + name + " failed: " + result.error().message);
        }
        finishGroup(stream, std::move(group), result);

        auto lock = std::unique_lock{m_mutex};
        const auto retained = failed && !stream.queue.empty() && !stream.queue.front().done;
        const auto pause = retained ? Micros{delay} : pacingDelay(stream);
        delay = failed ? std::min(delay * 2, m_options.maxRetryDelay) : m_options.retryDelay;
        m_changed.wait_for(lock, pause, [&] { return m_stopping; });
    }
}

auto LogWriter::flush(Millis limit) -> std::size_t
{
    auto lock = std::unique_lock{m_mutex};
    const auto pending = [&] {
        auto n = std::size_t{0};
        for (const auto &[name, stream] : m_streams) {
            n += stream.queue.size() + stream.inFlight;
        }
        return n;
    };
    m_changed.wait_for(lock, limit, [&] { return pending() == 0; });
    return pending();
}

auto LogWriter::pendingBytes() const -> std::size_t
{
    const auto lock = std::lock_guard{m_mutex};
    return m_pendingBytes;
}

auto LogWriter::counts() const -> std::pair<std::uint64_t, std::uint64_t>
{
    const auto lock = std::lock_guard{m_mutex};
    return {m_appends, m_records};
}

}

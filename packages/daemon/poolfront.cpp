#include "daemon/poolfront.h"

#include "util/logging.h"
#include "util/printable.h"

#include <algorithm>
#include <thread>

namespace Catkin
{

namespace
{

/// First try of an append; a lost answer must leave time for a second and a third try within a caller's usual 3 s.
constexpr auto firstTry = Millis{700};
/// Kept back from the caller's limit for the way of the answer.
constexpr auto answerReserve = Millis{250};
constexpr auto leastTry = Millis{100};
/// After every log has failed once.
constexpr auto refusedPause = Millis{80};
/// A store that refuses is asked for this long before the caller is sent elsewhere.
constexpr auto refusedLimit = Millis{400};
/// After that, between two tries for a caller that may have tried elsewhere: refused calls count against the store's rate as well.
constexpr auto repeatPause = Millis{250};
/// A first try has used less of the caller's time than this on its way; the far region is 20 ms away.
constexpr auto firstTryDelay = Millis{100};
/// The same for a refusal of a job that another instance may have stored: a try that was cut off fails sooner than one whose time is over. The
/// far region is 20 ms away.
constexpr auto hopelessTryDelay = Millis{30};
/// Between two lines of the log about refused jobs of a queue.
constexpr auto refusalLinePause = Millis{1'000};
/// Another instance may reach the store: the caller can come back soon.
constexpr auto retryElsewhere = Seconds{1};
constexpr auto unreadableRecord = "a log holds a record of the job that this instance cannot read";

}

PoolFront::PoolFront(const PoolFrontOptions &options, PoolView &view, RecordStore store, Clock clock, PoolFreshness freshness, Metrics &metrics)
    : m_options(options)
    , m_view(view)
    , m_store(std::move(store))
    , m_clock(std::move(clock))
    , m_freshness(std::move(freshness))
    , m_metrics(metrics)
    , m_random(static_cast<std::uint64_t>(m_clock.wall().time_since_epoch().count()) + options.homeLog)
    , m_preferredLog(options.homeLog)
{
}

auto PoolFront::configFresh() const -> bool
{
    const auto at = m_freshness.configReadAt();
    return at && m_clock.mono() - *at < m_options.configLimit;
}

auto PoolFront::isFresh(RecordLog log) const -> bool
{
    const auto at = m_freshness.jobsReadAt(log);
    return at && m_clock.mono() - *at < m_options.viewLimit;
}

/// Whether a job that is not in the view does not exist.
auto PoolFront::allJobsKnown() const -> bool
{
    return std::all_of(jobLogs.begin(), jobLogs.end(), [&](RecordLog it) { return isFresh(it); });
}

auto PoolFront::ready(std::string &reason) const -> bool
{
    if (!m_view.config()) {
        reason = "no configuration yet";
    } else if (!configFresh()) {
        reason = "the configuration is not confirmed";
    } else if (std::none_of(jobLogs.begin(), jobLogs.end(), [&](RecordLog it) { return isFresh(it); })) {
        reason = "the logs of jobs cannot be read";
    }
    return reason.empty();
}

auto PoolFront::resolve(const std::string &host, const std::string &path, const std::string &key) const -> Result<QueueAccess>
{
    const auto config = m_view.config();
    if (!config || !configFresh()) {
        m_metrics.requestRefused(MetricRefusal::NotReady);
        return failure(ErrorCode::Unavailable, config ? "the configuration is not confirmed" : "no configuration yet");
    }
    const auto *address = findQueue(*config, host, path);
    if (address == nullptr) {
        return failure(ErrorCode::NotFound, "no queue at this host and path");
    }
    const auto workspace = config->keys.find(key);
    if (workspace == config->keys.end() && !address->isPublic) {
        m_metrics.requestRefused(MetricRefusal::Unauthorized);
        return failure(ErrorCode::Unauthorized, "unknown key");
    }
    const auto rules = config->rules.queues.find(address->queue);
    return QueueAccess{
        .queue = address->queue,
        .rules = rules == config->rules.queues.end() ? std::nullopt : std::optional{rules->second},
        .workspace = workspace == config->keys.end() ? WorkspaceId{} : workspace->second,
        .isPublic = address->isPublic,
        .unsupported = address->unsupported,
        .callTimeout = address->callTimeout,
        .rest = path.substr(address->pathPrefix.size()),
    };
}

/// @param isRepeat whether the caller may have tried elsewhere before. A refusal cannot tell such a caller that its job has not run, so that
/// the store is asked until the caller's time is over.
auto PoolFront::append(const KeyedRecord &record, Millis limit, bool isRepeat) -> Result<LogOffset>
{
    const auto begin = m_clock.mono();
    auto inDoubt = std::optional<Error>{};
    auto failures = std::size_t{0};
    while (true) {
        const auto spent = std::chrono::duration_cast<Millis>(m_clock.mono() - begin);
        const auto left = limit - answerReserve - spent;
        if (left < leastTry) {
            return inDoubt ? *inDoubt : failure(ErrorCode::NotSent, "no time left to store the record");
        }
        const auto preferred = m_preferredLog.load();
        auto done = m_store.append(jobLogs.at(preferred), {record}, {}, std::min(left, firstTry));
        if (done) {
            return done;
        }
        if (done.error().code == ErrorCode::Limit || done.error().code == ErrorCode::InvalidInput) {
            return inDoubt ? *inDoubt : done.error(); // no later try ends otherwise
        }
        // The other log may be served although this one is not.
        m_preferredLog = (preferred + 1) % jobLogs.size();
        ++failures;
        if (done.error().code != ErrorCode::NotSent) {
            inDoubt = failure(ErrorCode::Unknown, done.error().message);
        }
        if (failures % jobLogs.size() != 0) {
            continue;
        }
        if (!inDoubt && !isRepeat && spent > refusedLimit) {
            return done;
        }
        std::this_thread::sleep_for(spent > refusedLimit ? repeatPause : refusedPause);
    }
}

/// @param job that no try has stored
/// @return the answer for a job whose result can have no value by the time it can start; nothing has been stored of it.
auto PoolFront::refuseHopeless(const PoolJob &job) -> std::optional<SubmitAnswer>
{
    const auto refusal = m_view.refusalOf(job);
    if (!refusal) {
        return {};
    }
    const auto toMillis = [](Micros it) { return std::to_string(std::chrono::duration_cast<Millis>(it).count()); };
    const auto now = m_clock.mono();
    auto retryAfter = Seconds{0};
    auto line = std::string{};
    {
        const auto lock = std::lock_guard{m_refusalMutex};
        retryAfter = retrySeconds(refusal->untilInTime, m_random);
        auto [it, isNew] = m_refusalLog.try_emplace(job.queue);
        if (isNew || now - it->second.lastLine >= refusalLinePause) {
            line = "admission_refused job=" + job.id.str() + " queue=" + job.queue.str() + " workspace=" + job.workspace.str()
                   + " wait_ms=" + toMillis(refusal->wait) + " limit_ms=" + toMillis(refusal->limit) + " retry_s=" + std::to_string(retryAfter.count())
                   + " others=" + std::to_string(std::exchange(it->second.heldBack, 0));
            it->second.lastLine = now;
        } else {
            ++it->second.heldBack;
        }
    }
    if (!line.empty()) {
        logEvent(LogLevel::Warn, 6025, line);
    }
    m_metrics.admissionRefused(job.queue);
    m_metrics.requestFinished(job.workspace, KindId{job.queue.str()}, MetricRequestResult::NotRun, Micros{0});
    return SubmitAnswer{
        .outcome = SubmitOutcome::Hopeless, .reason = "more urgent work waits for longer than the result would have a value", .retryAfter = retryAfter};
}

auto PoolFront::submit(const QueueAccess &access, PoolJob job, Millis limit) -> SubmitAnswer
{
    job.queue = access.queue;
    job.rules = access.rules;
    job.workspace = access.workspace;
    job.acceptedAt = std::clamp(m_clock.wall(), WallTime{}, maxJobTime);
    const auto refuse = [&](const std::string &reason) {
        logEvent(LogLevel::Warn, 6020, "job=" + printable(job.id.str()) + " queue=" + job.queue.str() + " refused as malformed: " + reason);
        m_metrics.requestRefused(MetricRefusal::BadInput);
        return SubmitAnswer{.outcome = SubmitOutcome::Malformed, .reason = reason};
    };
    if (const auto problem = access.unsupported.empty() ? jobProblem(job) : std::optional{access.unsupported}) {
        return refuse(*problem);
    }
    const auto known = m_view.find(job.id);
    if (known && known->job) {
        return {.outcome = SubmitOutcome::Accepted};
    }
    if (known && known->isUnreadable) {
        // Another version may have accepted it. A new record would replace the one that is promised.
        return {.outcome = SubmitOutcome::OutcomeUnknown, .reason = unreadableRecord, .retryAfter = retryElsewhere};
    }
    const auto record = encodeJob(job);
    const auto &[key, value] = record;
    if (const auto problem = recordProblem(record)) {
        return refuse("the job cannot be stored: " + *problem);
    }
    if (const auto size = 1 + key.size() + value.size(); size > m_options.recordBytes) {
        return refuse("the job takes " + std::to_string(size) + " bytes as a record, and the store takes " + std::to_string(m_options.recordBytes));
    }
    const auto isFirstTry = access.callTimeout > Millis{0} && limit + hopelessTryDelay >= access.callTimeout;
    if (isFirstTry && !known && allJobsKnown()) {
        if (const auto answer = refuseHopeless(job)) {
            return *answer;
        }
    }
    const auto begin = m_clock.mono();
    const auto triedBefore = limit + firstTryDelay < access.callTimeout;
    const auto done = append({.key = key, .value = value}, limit, triedBefore);
    if (!done && (done.error().code == ErrorCode::Limit || done.error().code == ErrorCode::InvalidInput)) {
        return refuse(done.error().message);
    }
    const auto took = std::chrono::duration_cast<Millis>(m_clock.mono() - begin).count();
    const auto latency = std::chrono::duration_cast<Micros>(m_clock.mono() - begin);
    const auto refused = !done && done.error().code == ErrorCode::NotSent && !triedBefore;
    m_metrics.logAppended(LogStream::Jobs, done ? AppendResult::Ok : refused ? AppendResult::NotSent : AppendResult::Unknown, latency);
    m_metrics.requestFinished(job.workspace,
                              KindId{job.queue.str()},
                              done      ? MetricRequestResult::Answer
                              : refused ? MetricRequestResult::NotRun
                                        : MetricRequestResult::OutcomeUnknown,
                              latency);
    if (done) {
        m_metrics.jobEvent(job.workspace, JobEvent::Accepted);
        logEvent(LogLevel::Info,
                 6021,
                 "job=" + job.id.str() + " queue=" + job.queue.str() + " workspace=" + job.workspace.str() + " accepted store_ms=" + std::to_string(took));
        return {.outcome = SubmitOutcome::Accepted};
    }
    logEvent(LogLevel::Warn,
             6022,
             "job=" + job.id.str() + " queue=" + job.queue.str() + " not accepted, outcome=" + (refused ? "not_run" : "in_doubt")
                 + " tried_before=" + (triedBefore ? "maybe" : "no") + " limit_ms=" + std::to_string(limit.count()) + " store_ms=" + std::to_string(took)
                 + " reason=" + done.error().message);
    return {.outcome = refused ? SubmitOutcome::NotRun : SubmitOutcome::OutcomeUnknown, .reason = done.error().message, .retryAfter = retryElsewhere};
}

auto PoolFront::state(const QueueAccess &access, const JobId &id) const -> Result<JobAnswer>
{
    // Freshness before the lookup: a job accepted before that read is then certainly in the view.
    const auto fresh = allJobsKnown();
    const auto known = m_view.find(id);
    if (known && known->job) {
        if (known->job->workspace != access.workspace) {
            return failure(ErrorCode::NotFound, "no such job");
        }
        const auto phase = PoolView::shownPhase(*known);
        return JobAnswer{.phase = phase, .reason = phase == known->phase ? known->reason : std::string{}};
    }
    if (known && known->isUnreadable) {
        return failure(ErrorCode::Unavailable, unreadableRecord);
    }
    if (!fresh) {
        return failure(ErrorCode::Unavailable, "a log of jobs cannot be read");
    }
    return failure(ErrorCode::NotFound, "no such job");
}

auto PoolFront::cancel(const QueueAccess &access, const JobId &id, Millis limit) -> Result<void>
{
    const auto known = m_view.find(id);
    if (!isJobId(id) || (known && known->job && known->job->workspace != access.workspace)) {
        return failure(ErrorCode::NotFound, "no such job");
    }
    if (known && (known->cancelled || isFinal(known->phase))) {
        return success();
    }
    // A job that is not in the view may have been accepted elsewhere a moment ago, so its cancellation is stored all the same.
    const auto [key, value] = encodeCancel(id);
    const auto done = append({.key = key, .value = value}, limit, false);
    if (!done) {
        logEvent(LogLevel::Warn, 6024, "job=" + id.str() + " cancellation not stored: " + done.error().message);
        return done.error();
    }
    logEvent(LogLevel::Info, 6023, "job=" + id.str() + " cancellation stored");
    return success();
}

auto PoolFront::pending(const QueueAccess &access) const -> Result<std::size_t>
{
    if (!allJobsKnown()) {
        return failure(ErrorCode::Unavailable, "a log of jobs cannot be read");
    }
    return m_view.pendingOf(access.queue);
}

}

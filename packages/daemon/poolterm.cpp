#include "daemon/poolterm.h"

#include "util/logging.h"
#include "util/printable.h"
#include "util/threadname.h"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace Catkin
{

namespace
{

/// Between two passes of the planner when nothing happens: leases, due times and repeats of orders are checked then.
constexpr auto planPeriod = Millis{100};
/// After a pass the planner rests for this many times its length, so that it leaves the processor to orders and looks.
constexpr auto restPerPass = 2;
constexpr auto maxRest = Millis{200};
/// One try of an append to the log of attempts or of states; its repeat has no second effect.
constexpr auto appendTry = Millis{600};
constexpr auto appendPause = Millis{60};
/// Before a job's records are tried again while the store refuses every record.
constexpr auto refusedPause = Millis{500};
/// For calls to the store that nothing waits for: one drops expired jobs, one reads earlier entries of workers.
constexpr auto storeThreads = std::size_t{2};
constexpr auto maxQueuedCalls = std::size_t{64};
/// Bytes in one append; below the store's limit of a call.
constexpr auto maxAppendBytes = std::size_t{1} << 20U;
/// States of jobs in one append; with ids of the longest kind below the store's limit of a call.
constexpr auto maxPublished = std::size_t{2'000};
/// Expired jobs that are dropped in one append.
constexpr auto maxDroppedJobs = std::size_t{1'000};
constexpr auto snapshotTimeout = Millis{2'000};
/// One try to drop expired jobs from a log of jobs; nothing waits for it.
constexpr auto dropTry = Millis{1'000};
/// A job accepted longer ago than this by another clock counts as this old.
constexpr auto maxJobAge = Millis{60'000};
/// What an earlier planner started has ended by then, or its lease has.
constexpr auto earlierWorkLimit = Millis{20'000};
/// How far back the log of workers' entries is read: a lease of 10 s and the heartbeats before it.
constexpr auto earlierHeartbeats = std::int64_t{10};
/// Between two searches, each of which goes over all these writes; short against the leases that are saved.
constexpr auto departuresPeriod = Millis{500};
/// Workers in one line about recorded ends.
constexpr auto maxRecordedEndsInLine = std::size_t{32};
/// Bounds of leases that are stored again with each renewal, so that an instance that reads them late knows them well.
constexpr auto fewLeaseBounds = std::size_t{32};
/// Between two records of the same workers if they are more than that: every instance reads them.
constexpr auto leaseBoundsPeriod = Millis{2'000};
constexpr auto leaseStretch = 1.03;
constexpr auto takeoverSlack = Millis{500};

auto byAcceptance(const JobSummary &a, const JobSummary &b) -> bool
{
    return std::pair{a.job->acceptedAt, a.job->id} < std::pair{b.job->acceptedAt, b.job->id};
}

auto toRecord(const EncodedRecord &it) -> KeyedRecord
{
    return {.key = it.first, .value = it.second};
}

auto sizeOf(const KeyedRecord &it) -> std::size_t
{
    return it.key.size() + it.value.size();
}

auto sizeOf(const std::vector<KeyedRecord> &records) -> std::size_t
{
    return std::accumulate(records.begin(), records.end(), std::size_t{0}, [](std::size_t sum, const KeyedRecord &it) { return sum + sizeOf(it); });
}

/// @return whether the store refuses the records whenever they are sent.
auto isLasting(ErrorCode code) -> bool
{
    return code == ErrorCode::Limit || code == ErrorCode::InvalidInput;
}

}

PoolTerm::PoolTerm(const PoolTermOptions &options, PoolPorts ports, Clock clock, PoolView &view, PoolTermHooks hooks)
    : m_options(options)
    , m_ports(std::move(ports))
    , m_clock(std::move(clock))
    , m_view(view)
    , m_hooks(std::move(hooks))
    , m_core(options.pool)
    , m_fence(options.epoch)
{
    m_core.adoptLeaseBounds(m_options.leaseEnds);
    m_core.adoptLateStarts(m_options.lateStarts);
    for (const auto &[id, end] : m_options.leaseEnds) {
        m_storedBounds.bounds.push_back({.worker = id});
    }
    for (const auto &[id, until] : m_options.lateStarts) {
        m_storedBounds.lateStarts.push_back({.worker = id});
    }
}

PoolTerm::~PoolTerm()
{
    stop();
}

auto PoolTerm::start() -> void
{
    m_storePool = std::make_unique<WorkPool>(storeThreads, maxQueuedCalls, "store-calls");
    m_caller = std::make_unique<WorkerCaller>(m_ports.orders, m_clock, callHandlers());
    m_beganAt = m_clock.mono();
    m_workersTail = std::make_unique<RecordTail>(m_ports.store,
                                                 RecordLog::Workers,
                                                 TailOptions{.name = "workers", .pace = Millis{250}},
                                                 m_clock,
                                                 TailHandlers{
                                                     .reset = [this] { workersReset(); },
                                                     .record = [this](const KeyedRecord &it) { workerRecord(it); },
                                                     .caughtUp = [this](LogOffset end, MonoTime sentAt) { workersRead(end, sentAt); },
                                                     .lost = [] {},
                                                 });
    m_workersTail->start();
    m_planner = std::thread([this] { plannerLoop(); });
    m_publisher = std::thread([this] { publisherLoop(); });
}

auto PoolTerm::stop() -> void
{
    {
        const auto lock = std::lock_guard{m_mutex};
        m_stopping = true;
    }
    m_wake.notify_all();
    m_publish.notify_all();
    if (m_planner.joinable()) {
        m_planner.join();
        m_publisher.join();
        m_caller->stop();
        m_storePool->stop();
        m_workersTail->stop();
        m_ports.metrics->setStoppingAttempts(0, Micros{0});
        for (const auto &it : m_shownEvacuations) {
            m_ports.metrics->setEvacuation(it, false, 0); // the next leader shows it
        }
    }
}

auto PoolTerm::stopped() const -> bool
{
    const auto lock = std::lock_guard{m_mutex};
    return m_stopping;
}

auto PoolTerm::pause(Millis span) -> void
{
    if (span.count() <= 0) {
        return;
    }
    auto lock = std::unique_lock{m_mutex};
    m_wake.wait_for(lock, span, [&] { return m_stopping; });
}

auto PoolTerm::jobChanged(const JobId &id) -> void
{
    const auto lock = std::lock_guard{m_mutex};
    m_inbox.insert(id);
    m_dirty = true;
    m_wake.notify_all();
}

auto PoolTerm::configChanged() -> void
{
    const auto lock = std::lock_guard{m_mutex};
    m_configDirty = true;
    m_dirty = true;
    m_wake.notify_all();
}

auto PoolTerm::evacuationChanged() -> void
{
    const auto lock = std::lock_guard{m_mutex};
    m_dirty = true;
    m_wake.notify_all();
}

auto PoolTerm::workerRecord(const KeyedRecord &record) -> void
{
    const auto id = WorkerId{record.key};
    if (record.value.empty()) {
        const auto lock = std::lock_guard{m_mutex};
        noteWrite({.id = id, .removal = true});
        m_workersDirty = noteRemoval(m_entries, id, m_options.workerHeartbeat, m_clock.mono()) || m_workersDirty;
        m_dirty = m_dirty || !m_entries.departed.empty();
        return;
    }
    const auto entry = m_ports.decodeWorker(record.key, record.value);
    if (!entry) {
        auto isNew = false;
        {
            const auto lock = std::lock_guard{m_mutex};
            isNew = noteUnusable(m_entries, id);
            m_workersDirty = dropEntry(m_entries, id) || m_workersDirty;
        }
        if (isNew) {
            logEvent(LogLevel::Warn, 6005, "worker=" + printable(id.str()) + " entry left out until it can be used: " + entry.error().message);
        }
        return;
    }
    const auto lock = std::lock_guard{m_mutex};
    const auto &info = entry.value();
    noteWrite({.id = id, .draining = info.draining, .born = info.born, .clock = info.clock, .address = info.address});
    m_core.workerWrote(info.id, m_clock.mono());
    m_core.workerCold(info.id, info.coldLeft, m_clock.mono());
    // The entries of a snapshot are listed when all of them have been read.
    if (noteEntry(m_entries, info) && m_writesBegin) {
        m_workersDirty = true;
        m_dirty = true;
    }
}

auto PoolTerm::workersReset() -> void
{
    const auto lock = std::lock_guard{m_mutex};
    resetEntries(m_entries);
    m_writesBegin.reset();
    m_writes.clear();
    m_earlierWrites.clear();
    m_earlierAsked = false;
}

auto PoolTerm::workersRead(LogOffset end, MonoTime sentAt) -> void
{
    const auto lock = std::lock_guard{m_mutex};
    noteRead(m_entries, sentAt);
    m_core.entriesRead(sentAt);
    m_workersDirty = m_workersDirty || !m_writesBegin;
    m_dirty = m_dirty || m_workersDirty;
    m_writesBegin = m_writesBegin.value_or(end);
    m_workersKnown = true;
    m_wake.notify_all();
}

/// The caller holds m_mutex.
auto PoolTerm::adoptAttempts(const RecordPage &attempts, MonoTime now) -> void
{
    const auto stretched = Millis{static_cast<std::int64_t>(static_cast<double>(m_options.pool.leaseDuration.count()) * leaseStretch)};
    const auto takenOverUntil = now + m_options.takeoverTimeout + stretched + takeoverSlack;
    auto jobs = std::map<JobId, std::map<int, AttemptsRecord>>{};
    for (const auto &it : attempts.records) {
        auto record = decodePoolRecord(it.key, it.value);
        auto *found = record ? std::get_if<AttemptsRecord>(&record.value()) : nullptr;
        if (found != nullptr && m_core.find(found->id) != nullptr) {
            jobs[found->id].emplace(found->part, std::move(*found));
        }
    }
    for (const auto &[id, parts] : jobs) {
        auto state = makeJobState(m_core.find(id)->job);
        auto &hashes = m_recorded[id];
        hashes.resize(static_cast<std::size_t>(parts.rbegin()->first) + 1);
        auto isWhole = false;
        for (const auto &[part, it] : parts) {
            if (isWhole) {
                break; // hashes of 0 let the parts be written again
            }
            hashes[static_cast<std::size_t>(part)] = std::hash<std::string>{}(it.value);
            const auto read = decodeAttempts(it, state);
            if (!read) {
                logEvent(
                    LogLevel::Error, 6006, "job=" + id.str() + " part=" + std::to_string(part) + " record of attempts cannot be used: " + read.error().message);
            }
            isWhole = read && read.value() == AttemptsExtent::Whole;
        }
        completeGangs(state);
        m_core.adoptRecord(id, state, takenOverUntil, now);
    }
}

/// Tells the planner that a job was cancelled, or which final state was published. The caller holds m_mutex.
auto PoolTerm::applyEnd(const JobSummary &summary, MonoTime now) -> void
{
    // A job that was shown as completed or failed stays so, although a cancellation has arrived since.
    if (isFinal(summary.phase)) {
        m_core.adoptFinal(summary.job->id, summary.phase, now);
    } else if (summary.cancelled) {
        m_core.cancelJob(summary.job->id, now);
    }
}

auto PoolTerm::loadJobs(const RecordPage &attempts) -> void
{
    const auto now = m_clock.mono();
    const auto wall = m_clock.wall();
    auto lastRules = std::map<JobId, std::optional<PoolQueue>>{};
    for (const auto &it : attempts.records) {
        const auto record = decodePoolRecord(it.key, it.value);
        if (!record) {
            logEvent(LogLevel::Error, 6015, "record of attempts at offset " + std::to_string(it.offset.value) + " left out: " + record.error().message);
        } else if (const auto *job = std::get_if<PoolJob>(&record.value())) {
            m_view.apply(RecordLog::Attempts, record.value()); // its own log may not be served
            m_recorded.try_emplace(job->id);
            lastRules[job->id] = job->rules;
        }
    }
    auto jobs = std::vector<JobSummary>{};
    for (const auto &[id, it] : m_view.jobs()) {
        if (it.job) {
            jobs.push_back(it);
        }
    }
    std::sort(jobs.begin(), jobs.end(), byAcceptance);
    const auto lock = std::lock_guard{m_mutex};
    if (const auto config = m_view.config()) {
        m_core.setRules(config->rules);
    }
    for (const auto &it : jobs) {
        const auto age = std::clamp(std::chrono::duration_cast<Millis>(wall - it.job->acceptedAt), Millis{0}, maxJobAge);
        auto job = *it.job;
        // The earlier planner recorded the rules again when they changed.
        if (const auto rules = lastRules.find(job.id); rules != lastRules.end() && rules->second) {
            job.rules = rules->second;
        }
        m_core.addJob(job, now - age);
    }
    adoptAttempts(attempts, now);
    m_core.tookOver(now);
    for (const auto &it : jobs) {
        const auto *state = m_core.find(it.job->id);
        applyEnd(it, now);
        if (state->phase != it.phase) {
            m_unpublished.insert(it.job->id);
        }
    }
}

auto PoolTerm::takeOver() -> bool
{
    const auto begin = m_clock.mono();
    // The epoch in the log of attempts shuts earlier planners out before it is read.
    if (appendAttempts({}) != AppendOutcome::Stored) {
        return false;
    }
    while (!stopped()) {
        const auto page = m_ports.store.newest(RecordLog::Attempts, snapshotTimeout);
        if (page) {
            loadJobs(page.value());
            auto lock = std::unique_lock{m_mutex};
            m_wake.wait(lock, [&] { return m_stopping || m_workersKnown; });
            m_workersDirty = true;
            m_tookOver = true;
            logEvent(LogLevel::Info,
                     6007,
                     "term epoch=" + std::to_string(m_options.epoch) + " jobs=" + std::to_string(m_core.jobs().size())
                         + " workers=" + std::to_string(m_entries.listed.size())
                         + " taken over in_ms=" + std::to_string(std::chrono::duration_cast<Millis>(m_clock.mono() - begin).count()));
            return !m_stopping;
        }
        pause(appendPause);
    }
    return false;
}

/// The caller holds m_mutex.
auto PoolTerm::noteWrite(const WorkerWrite &write) -> void
{
    // A snapshot has the entries in another order.
    if (m_writesBegin && m_clock.mono() - m_beganAt < earlierWorkLimit) {
        m_writes.push_back(write);
    }
}

/// Finds workers that left shortly before the term or after its begin, and the addresses of those that have no entry any more; without this, what ran
/// there would wait for its lease.
/// The caller holds m_mutex.
auto PoolTerm::findEarlierDepartures(MonoTime now) -> void
{
    if (!m_writesBegin || now - m_beganAt >= earlierWorkLimit || now - m_departuresSoughtAt < departuresPeriod || !m_core.hasUnlistedWork()) {
        return;
    }
    m_departuresSoughtAt = now;
    if (!m_earlierAsked) {
        const auto writes = static_cast<std::int64_t>(m_core.workers().size()) * earlierHeartbeats;
        const auto from = LogOffset{std::max<std::int64_t>(m_writesBegin->value - writes, 0)};
        m_earlierAsked = m_storePool->post([this, from, end = *m_writesBegin] { readEarlierWrites(from, end); });
        return;
    }
    auto history = m_earlierWrites;
    history.insert(history.end(), m_writes.begin(), m_writes.end());
    for (const auto &id : departuresIn(history, m_options.workerHeartbeat)) {
        const auto worker = m_core.workers().find(id);
        if (worker != m_core.workers().end() && !worker->second.listed && !m_entries.listed.contains(id)) {
            m_core.workerLeft(id);
        }
    }
    for (const auto &[id, it] : lastWritesIn(history)) {
        m_workersDirty = m_core.recallEntry(id, it.address, it.born) || m_workersDirty;
    }
}

auto PoolTerm::readEarlierWrites(LogOffset from, LogOffset end) -> void
{
    auto writes = std::vector<WorkerWrite>{};
    auto unreadable = std::uint64_t{0};
    while (from < end) {
        const auto page = m_ports.store.read(RecordLog::Workers, from, Millis{0}, snapshotTimeout);
        // A page may have none but malformed records.
        if (!page || page.value().end <= from) {
            logEvent(LogLevel::Warn,
                     6016,
                     "the earlier entries of workers cannot be read from offset " + std::to_string(from.value) + ": "
                         + (page ? "no records" : page.error().message));
            const auto lock = std::lock_guard{m_mutex};
            m_earlierAsked = !page && page.error().code == ErrorCode::NotFound; // records that are gone stay gone
            return;
        }
        unreadable += page.value().malformed;
        for (const auto &it : page.value().records) {
            const auto entry = it.value.empty() ? Result<PoolWorkerInfo>{PoolWorkerInfo{}} : m_ports.decodeWorker(it.key, it.value);
            if (!entry) {
                ++unreadable;
            } else if (it.offset < end) {
                const auto &info = entry.value();
                writes.push_back({.id = WorkerId{it.key},
                                  .removal = it.value.empty(),
                                  .draining = info.draining,
                                  .born = info.born,
                                  .clock = info.clock,
                                  .address = info.address});
            }
        }
        from = page.value().end;
    }
    if (unreadable > 0) {
        logEvent(LogLevel::Warn, 6017, std::to_string(unreadable) + " earlier entries of workers left out: they cannot be read");
    }
    const auto lock = std::lock_guard{m_mutex};
    if (m_writesBegin == end) {
        m_earlierWrites = std::move(writes);
    }
}

auto PoolTerm::takeInbox(MonoTime now) -> void
{
    if (std::exchange(m_configDirty, false)) {
        if (const auto config = m_view.config()) {
            m_core.setRules(config->rules);
        }
    }
    for (const auto &id : std::exchange(m_inbox, {})) {
        const auto known = m_view.find(id);
        if (!known || !known->job) {
            continue;
        }
        m_core.addJob(*known->job, now);
        applyEnd(*known, now);
    }
    findEarlierDepartures(now);
    for (const auto &id : takeDepartures(m_entries)) {
        m_core.workerLeft(id);
    }
    if (std::exchange(m_workersDirty, false)) {
        auto listed = std::vector<PoolWorkerInfo>{};
        for (const auto &[id, it] : m_entries.listed) {
            listed.push_back(it.info);
        }
        m_core.setWorkers(listed, now);
        m_caller->reconsiderAll(); // a worker may have restarted
    }
    takeEvacuations(now);
}

/// Tells the planner which failure domains are evacuated. Nothing is started while that is not known well enough. The caller holds m_mutex.
auto PoolTerm::takeEvacuations(MonoTime now) -> void
{
    const auto evacuated = m_view.evacuated();
    if (evacuated) {
        m_core.setEvacuated(*evacuated);
    }
    const auto isSuspended = !evacuated || !isReadRecent(m_hooks.operatorLogReadAt(), placementReadLimit(m_options.evacuateBound), now);
    m_core.suspendStarts(isSuspended);
    if (isSuspended == std::exchange(m_startsSuspended, isSuspended)) {
        return;
    }
    if (isSuspended) {
        logEvent(LogLevel::Warn, 6072, "nothing is started: log=config has not been read recently enough to know of evacuations");
    } else {
        logEvent(LogLevel::Info, 6073, "starts go on: log=config has been read");
    }
}

/// Shows the evacuated domains in the metrics. The caller holds m_mutex.
auto PoolTerm::showEvacuations() -> void
{
    const auto uses = m_core.evacuatedUse();
    std::erase_if(m_shownEvacuations, [&](const FailureDomainId &it) {
        if (!uses.contains(it)) {
            m_ports.metrics->setEvacuation(it, false, 0);
        }
        return !uses.contains(it);
    });
    for (const auto &[domain, use] : uses) {
        m_ports.metrics->setEvacuation(domain, true, static_cast<std::size_t>(use.attempts));
        m_shownEvacuations.insert(domain);
    }
}

/// Adds the parts of a job's progress that have changed since they were recorded; the caller holds m_mutex.
auto PoolTerm::attemptRecordsOf(const PoolJobState &state, bool jobChanged, std::vector<JobRecord> &out) -> void
{
    const auto &id = state.job.id;
    if (m_setAside.contains(id)) {
        return;
    }
    const auto [recorded, isNew] = m_recorded.try_emplace(id);
    if (isNew || jobChanged) {
        out.push_back({.job = id, .record = toRecord(encodeJob(state.job))});
    }
    auto encoded = encodeAttempts(state, m_options.recordBytes);
    auto &hashes = recorded->second;
    hashes.resize(std::max(hashes.size(), encoded.parts.size()));
    for (auto i = std::size_t{0}; i < encoded.parts.size(); ++i) {
        const auto hash = std::hash<std::string>{}(encoded.parts[i].second);
        if (std::exchange(hashes[i], hash) != hash) {
            out.push_back({.job = id, .record = toRecord(encoded.parts[i])});
        }
    }
    if (encoded.checkpointsLeftOut > 0 && m_longCheckpoints.insert(id).second) {
        logEvent(LogLevel::Warn, 6019, "job=" + id.str() + " checkpoints=" + std::to_string(encoded.checkpointsLeftOut) + " too long to be recorded");
    }
}

/// What a pass of the planner has to record before its orders go out; the caller holds m_mutex.
auto PoolTerm::attemptRecords(const PoolEffects &effects) -> std::vector<JobRecord>
{
    auto records = std::vector<JobRecord>{};
    for (const auto &id : effects.changed) {
        attemptRecordsOf(*m_core.find(id), effects.jobChanged.contains(id), records);
    }
    for (const auto &id : std::exchange(m_dropped, {})) {
        const auto recorded = m_recorded.find(id);
        for (const auto &it : encodeAttemptTombstones(id, recorded == m_recorded.end() ? 0 : recorded->second.size())) {
            records.push_back({.job = id, .record = toRecord(it)});
        }
        m_recorded.erase(id);
        m_setAside.erase(id);
        m_longCheckpoints.erase(id);
    }
    return records;
}

auto PoolTerm::planOnce() -> void
{
    const auto now = m_clock.mono();
    auto effects = PoolEffects{};
    auto records = std::vector<JobRecord>{};
    auto unconfirmed = false;
    {
        const auto lock = std::lock_guard{m_mutex};
        takeInbox(now);
        effects = m_core.plan(now, m_clock.wall());
        records = attemptRecords(effects);
        m_unpublished.insert(effects.phaseChanged.begin(), effects.phaseChanged.end());
        m_unpublished.insert(effects.reasonChanged.begin(), effects.reasonChanged.end());
        m_publish.notify_all();
        unconfirmed = now - m_confirmedAt >= m_options.renewInterval * 2;
    }
    const auto decided = m_clock.mono();
    // Stop orders need no record: a new planner derives them from the states of the jobs.
    m_caller->send(std::move(effects.stops));
    m_ports.metrics->setPlanningPass({.duration = decided - now,
                                      .searches = effects.searches,
                                      .openStarts = effects.openStarts,
                                      .deferredGroups = effects.deferredGroups,
                                      .kindPairs = effects.learning.pairs,
                                      .certainKindPairs = effects.learning.certainPairs,
                                      .slowWorkers = effects.learning.slowWorkers,
                                      .waiting = effects.waiting});
    countEffects(effects);
    for (const auto &it : effects.logEntries) {
        logEvent(LogLevel::Info, 6010, std::string("decision=") + it.decision + " " + it.text);
    }
    // The log of states may not be served; an append without records confirms the leadership as well.
    if (records.empty() && unconfirmed && appendAttempts({}) != AppendOutcome::Stored) {
        return;
    }
    if (!record(effects, std::move(records))) {
        return;
    }
    m_caller->send(std::move(effects.starts));
    if (!effects.expired.empty()) {
        dropJobs(effects.expired);
    }
    updateTargets();
    pause(std::min(std::chrono::duration_cast<Millis>(decided - now) * restPerPass, maxRest));
}

/// Drops expired jobs from the logs of jobs, and only then their states and attempts: a job that only a log of jobs holds
/// would be taken for a new one.
auto PoolTerm::dropJobs(const std::vector<JobId> &expired) -> void
{
    const auto lock = std::lock_guard{m_mutex};
    m_expired.insert(m_expired.end(), expired.begin(), expired.end());
    if (m_dropping) {
        return;
    }
    m_dropping = m_storePool->post([this] { dropQueued(); });
    if (!m_dropping) {
        logEvent(LogLevel::Error, 6014, "too many calls to the store wait; " + std::to_string(m_expired.size()) + " expired jobs stay in the logs for now");
    }
}

/// One thread at most drops jobs, however long a log of jobs is not served.
auto PoolTerm::dropQueued() -> void
{
    while (true) {
        auto expired = std::vector<JobId>{};
        {
            const auto lock = std::lock_guard{m_mutex};
            const auto rest = m_expired.begin() + static_cast<std::ptrdiff_t>(std::min(m_expired.size(), maxDroppedJobs));
            expired.assign(m_expired.begin(), rest);
            m_expired.erase(m_expired.begin(), rest);
            m_dropping = !expired.empty() && !m_stopping;
            if (!m_dropping) {
                return;
            }
        }
        auto records = std::vector<KeyedRecord>{};
        for (const auto &id : expired) {
            for (const auto &it : encodeJobTombstones(id)) {
                records.push_back(toRecord(it));
            }
        }
        for (const auto log : jobLogs) {
            while (!stopped()) {
                const auto done = m_ports.store.append(log, records, {}, dropTry);
                if (done) {
                    break;
                }
                logEvent(LogLevel::Warn, 6013, "expired jobs not dropped: " + done.error().message);
                pause(dropTry);
            }
        }
        const auto lock = std::lock_guard{m_mutex};
        m_dropped.insert(m_dropped.end(), expired.begin(), expired.end());
        m_droppedPhases.insert(m_droppedPhases.end(), expired.begin(), expired.end());
    }
}

auto PoolTerm::countEffects(const PoolEffects &effects) -> void
{
    const auto lock = std::lock_guard{m_mutex};
    for (const auto &id : effects.phaseChanged) {
        const auto *state = m_core.find(id);
        const auto event = state->phase == PoolJobPhase::Completed   ? JobEvent::Succeeded
                           : state->phase == PoolJobPhase::Failed    ? JobEvent::Failed
                           : state->phase == PoolJobPhase::Cancelled ? JobEvent::Cancelled
                                                                     : JobEvent::Started;
        m_ports.metrics->jobEvent(state->job.workspace, event);
    }
    for (const auto &[cause, total] : effects.stopped) {
        m_ports.metrics->attemptsStopped(stopReasonName(cause), static_cast<std::size_t>(total.attempts), total.lostCoreSeconds);
    }
    const auto usable = std::count_if(
        m_core.workers().begin(), m_core.workers().end(), [](const auto &it) { return it.second.listed && it.second.answered && it.second.reachable; });
    m_ports.metrics->setWorkers(BackendState::Usable, static_cast<std::size_t>(usable));
    m_ports.metrics->setWorkers(BackendState::Lost, m_core.workers().size() - static_cast<std::size_t>(usable));
    m_ports.metrics->setStoppingAttempts(static_cast<std::size_t>(m_core.stoppingAttempts()), m_core.oldestStop(m_clock.mono()));
    showEvacuations();
}

/// Ends a job whose progress the store refuses, so that its orders are withdrawn and the records of other jobs go on.
auto PoolTerm::setAside(const JobId &id) -> void
{
    logEvent(LogLevel::Error, 6051, "job=" + id.str() + " ends as failed: the store refuses the record of its attempts, and takes others");
    const auto lock = std::lock_guard{m_mutex};
    m_setAside.insert(id);
    m_core.failJob(id, "the progress of the job cannot be recorded", m_clock.mono());
    m_unpublished.insert(id);
}

/// Records what concerns one job. A refusal counts against the job only when the store takes another record in its place.
/// @return false when the term has ended
auto PoolTerm::recordAlone(const JobId &id, const std::vector<KeyedRecord> &records) -> bool
{
    while (true) {
        auto outcome = appendAttempts(records);
        if (outcome == AppendOutcome::Refused) {
            outcome = appendAttempts({toRecord(encodeEnd(id, PoolJobPhase::Failed))});
            if (outcome == AppendOutcome::Stored) {
                setAside(id);
            }
        }
        if (outcome != AppendOutcome::Refused) {
            return outcome == AppendOutcome::Stored;
        }
        pause(refusedPause);
    }
}

/// Records a batch, or each job of it alone if the store refuses the whole. The records of a job are next to each other.
/// @return false when the term has ended
auto PoolTerm::recordBatch(const std::vector<JobRecord> &batch) -> bool
{
    auto all = std::vector<KeyedRecord>{};
    for (const auto &it : batch) {
        all.push_back(it.record);
    }
    const auto outcome = appendAttempts(all);
    if (outcome != AppendOutcome::Refused) {
        return outcome == AppendOutcome::Stored;
    }
    for (auto begin = batch.begin(); begin != batch.end();) {
        const auto end = std::find_if(begin, batch.end(), [&](const JobRecord &it) { return it.job != begin->job; });
        auto own = std::vector<KeyedRecord>{};
        std::transform(begin, end, std::back_inserter(own), [](const JobRecord &it) { return it.record; });
        if (!recordAlone(begin->job, own)) {
            return false;
        }
        begin = end;
    }
    return true;
}

auto PoolTerm::record(const PoolEffects &effects, std::vector<JobRecord> records) -> bool
{
    auto batch = std::vector<JobRecord>{};
    auto bytes = std::size_t{0};
    for (auto &it : records) {
        const auto size = sizeOf(it.record);
        if (!batch.empty() && bytes + size > maxAppendBytes) {
            if (!recordBatch(batch)) {
                return false;
            }
            batch.clear();
            bytes = 0;
        }
        bytes += size;
        batch.push_back(std::move(it));
    }
    if (!batch.empty() && !recordBatch(batch)) {
        return false;
    }
    {
        const auto lock = std::lock_guard{m_mutex};
        m_core.recorded(effects);
    }
    logRecordedEnds(effects);
    auto ids = std::vector<WorkerId>{};
    for (const auto &[lifetime, number] : effects.completions) {
        ids.push_back(lifetime.worker);
    }
    m_caller->reconsider(std::move(ids));
    return true;
}

/// Up to which number the ends of each worker are in the log of attempts now.
auto PoolTerm::logRecordedEnds(const PoolEffects &effects) const -> void
{
    auto text = std::string{};
    auto items = std::size_t{0};
    const auto flush = [&] {
        if (items > 0) {
            logEvent(LogLevel::Info, 6018, "ends recorded end_offset=" + std::to_string(m_attemptsEnd.value) + " upto=" + text);
        }
        text.clear();
        items = 0;
    };
    for (const auto &[lifetime, number] : effects.completions) {
        text += (items == 0 ? "" : ",") + describeLifetime(lifetime) + ":" + std::to_string(number);
        if (++items == maxRecordedEndsInLine) {
            flush();
        }
    }
    flush();
}

/// An append that was sent at @p sentAt and stored shows that no newer planner has begun before.
auto PoolTerm::confirmed(MonoTime sentAt) -> void
{
    m_hooks.renewed(sentAt);
    const auto lock = std::lock_guard{m_mutex};
    m_confirmedAt = std::max(m_confirmedAt, sentAt);
}

/// Tries until the records are stored, the store refuses them for good, or the term ends.
auto PoolTerm::appendAttempts(const std::vector<KeyedRecord> &records) -> AppendOutcome
{
    const auto guard = AppendGuard{.epoch = m_options.epoch, .sequence = m_attemptsSequence};
    while (!stopped()) {
        const auto sentAt = m_clock.mono();
        const auto done = m_ports.store.append(RecordLog::Attempts, records, guard, appendTry);
        if (done) {
            if (!records.empty()) {
                ++m_attemptsSequence;
                m_attemptsEnd = done.value();
            }
            confirmed(sentAt);
            return AppendOutcome::Stored;
        }
        const auto longest = std::max_element(records.begin(), records.end(), [](const auto &a, const auto &b) { return sizeOf(a) < sizeOf(b); });
        logEvent(LogLevel::Warn,
                 6008,
                 "record of attempts not stored epoch=" + std::to_string(m_options.epoch) + " sequence=" + std::to_string(guard.sequence)
                     + " try_ms=" + std::to_string(std::chrono::duration_cast<Millis>(m_clock.mono() - sentAt).count())
                     + " records=" + std::to_string(records.size()) + " bytes=" + std::to_string(sizeOf(records))
                     + " longest=" + (longest == records.end() ? std::string("none") : longest->key + ":" + std::to_string(sizeOf(*longest)))
                     + " reason=" + done.error().message);
        if (done.error().code == ErrorCode::StaleGeneration || done.error().code == ErrorCode::Conflict) {
            m_hooks.fenced("the record of attempts belongs to a newer planner");
            return AppendOutcome::Ended;
        }
        if (m_tookOver) {
            stopUnwanted();
        }
        if (isLasting(done.error().code) && !records.empty()) {
            return AppendOutcome::Refused;
        }
        pause(appendPause);
    }
    return AppendOutcome::Ended;
}

/// Sends the stop orders that are due while the planner waits for the log of attempts.
auto PoolTerm::stopUnwanted() -> void
{
    auto stops = std::vector<PoolOrder>{};
    {
        const auto lock = std::lock_guard{m_mutex};
        const auto now = m_clock.mono();
        takeInbox(now);
        stops = m_core.planStops(now);
    }
    m_caller->send(std::move(stops));
}

auto PoolTerm::plannerLoop() -> void
{
    nameThread("planner");
    if (!takeOver()) {
        return;
    }
    while (true) {
        {
            auto lock = std::unique_lock{m_mutex};
            m_wake.wait_for(lock, planPeriod, [&] { return m_stopping || m_dirty; });
            if (m_stopping) {
                return;
            }
            m_dirty = false;
        }
        planOnce();
    }
}

auto PoolTerm::nextPublication() -> std::vector<KeyedRecord>
{
    auto lock = std::unique_lock{m_mutex};
    const auto due = [&] { return m_clock.mono() - m_lastRenewal >= m_options.renewInterval || m_core.withholdsFromAnswering(); };
    const auto left = std::chrono::duration_cast<Millis>(m_lastRenewal + m_options.renewInterval - m_clock.mono());
    if (left.count() > 0) {
        m_publish.wait_for(lock, left, [&] { return m_stopping || !m_unpublished.empty() || !m_droppedPhases.empty() || due(); });
    }
    auto records = std::vector<KeyedRecord>{};
    for (auto it = m_unpublished.begin(); it != m_unpublished.end() && records.size() < maxPublished; it = m_unpublished.erase(it)) {
        if (const auto *state = m_core.find(*it)) {
            records.push_back(toRecord(encodePhase(*it, state->phase, state->reason)));
        }
    }
    while (!m_droppedPhases.empty() && records.size() < maxPublished) {
        records.push_back(toRecord(encodePhaseTombstone(m_droppedPhases.back())));
        m_droppedPhases.pop_back();
    }
    if (!records.empty() || due()) {
        records.push_back(toRecord(encodeLeadership(m_hooks.renewal())));
        addLeaseBounds(records);
    }
    return records;
}

/// Adds the bounds of leases and of late start orders if they differ from the stored ones, or are those of a while ago. The caller holds m_mutex.
auto PoolTerm::addLeaseBounds(std::vector<KeyedRecord> &records) -> void
{
    const auto now = m_clock.mono();
    auto record = LeaseBoundsRecord{.epoch = m_options.epoch, .bounds = m_core.composeLeaseBounds(now), .lateStarts = m_core.composeLateStarts(now)};
    const auto n = record.bounds.size() + record.lateStarts.size();
    const auto isOld = n > 0 && (n <= fewLeaseBounds || now - m_boundsStoredAt >= leaseBoundsPeriod);
    if (isOld || !namesSameWorkers(record, m_storedBounds)) {
        records.push_back(toRecord(encodeLeaseBounds(record)));
        m_sentBounds = std::move(record);
    }
}

auto PoolTerm::leaseBoundsStored(MonoTime sentAt) -> void
{
    if (!m_sentBounds) {
        return;
    }
    m_storedBounds = *std::exchange(m_sentBounds, std::nullopt);
    m_boundsStoredAt = sentAt;
    const auto lock = std::lock_guard{m_mutex};
    m_core.leaseBoundsStored(m_storedBounds.bounds);
    m_wake.notify_all();
}

auto PoolTerm::publish(const std::vector<KeyedRecord> &records, std::int64_t sequence) -> bool
{
    while (!stopped()) {
        const auto sentAt = m_clock.mono();
        const auto done = m_ports.store.append(RecordLog::States, records, {.epoch = m_options.epoch, .sequence = sequence}, appendTry);
        if (done) {
            confirmed(sentAt);
            m_lastRenewal = sentAt;
            leaseBoundsStored(sentAt);
            const auto lock = std::lock_guard{m_mutex};
            m_fence.recordStored(LogOffset{done.value().value - 1});
            return true;
        }
        logEvent(LogLevel::Warn,
                 6012,
                 "states not published epoch=" + std::to_string(m_options.epoch) + " sequence=" + std::to_string(sequence) + " reason=" + done.error().message);
        if (done.error().code == ErrorCode::StaleGeneration || done.error().code == ErrorCode::Conflict) {
            m_hooks.fenced("the log of states belongs to a newer planner");
            return false;
        }
        pause(appendPause);
    }
    return false;
}

auto PoolTerm::publisherLoop() -> void
{
    nameThread("publisher");
    // The claim was the first append of this epoch.
    auto sequence = std::int64_t{1};
    while (!stopped()) {
        const auto records = nextPublication();
        if (records.empty()) {
            continue;
        }
        if (!publish(records, sequence)) {
            return;
        }
        ++sequence;
    }
}

}

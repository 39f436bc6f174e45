#include "daemon/poolnode.h"

#include "daemon/holderwatch.h"
#include "util/logging.h"
#include "util/random.h"
#include "util/threadname.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <variant>

namespace Catkin
{

namespace
{

/// Between two looks of the control thread at the leadership.
constexpr auto controlPeriod = Millis{20};
constexpr auto claimTimeout = Millis{600};
constexpr auto resignTimeout = Millis{500};
constexpr auto resignTries = 3;
constexpr auto announceRetry = Millis{2'000};
/// How often the thread that probes the store looks for a try that is due; short against the pauses between tries.
constexpr auto probePeriod = Millis{250};
/// One probe; as long as one try of a planner's append.
constexpr auto probeTimeout = Millis{600};
/// Longest claim delay that chance adds, so that few instances claim at the same time.
constexpr auto claimJitterMs = std::uint32_t{60};
/// The planner reads the logs of jobs with little delay, since jobs wait for it; the others read in groups.
constexpr auto plannerPace = Millis{10};
constexpr auto followerPace = Millis{200};
/// Margin by which the view's age limit stays below the bound on visibility.
constexpr auto viewMargin = Millis{1'000};
constexpr auto bytesPerMegabit = 125'000.0;

/// The log of jobs that an instance writes to first.
auto homeLogOf(const InstanceId &instance) -> std::size_t
{
    return std::hash<std::string>{}(instance.str()) % jobLogs.size();
}

/// While the store turns instances away, reads go through others, and operators allow half of the stretch more. Without it, starts would stay
/// suspended for seconds after an outage of the store, until a read that has had no answer times out.
auto evacuateBound(const PoolSettings &settings) -> std::optional<Millis>
{
    return settings.evacuate ? std::optional{*settings.evacuate + settings.configStretch / 2} : std::nullopt;
}

auto seedOf(const InstanceId &instance, const Clock &clock) -> Random
{
    return Random{std::hash<std::string>{}(instance.str()) ^ static_cast<std::uint64_t>(clock.wall().time_since_epoch().count())};
}

}

struct PoolNode::Impl
{
    Impl(const PoolSettings &nodeSettings, PoolPorts nodePorts, Clock nodeClock)
        : settings(nodeSettings)
        , ports(std::move(nodePorts))
        , clock(std::move(nodeClock))
        , leadership(LeadershipOptions{.self = settings.instance, .address = settings.peerAddress})
        , random(seedOf(settings.instance, clock))
        , watch([this](std::int64_t epoch) {
            const auto lock = std::lock_guard{mutex};
            leadership.holderDisconnected(epoch, clock.mono());
        })
        , configTail(ports.store, RecordLog::Configuration, TailOptions{.name = "config", .pace = Millis{0}}, clock, configHandlers())
        , statesTail(ports.store, RecordLog::States, TailOptions{.name = "states", .wait = Millis{500}, .pace = followerPace}, clock, statesHandlers())
        , jobTails{tailOf(RecordLog::Jobs, "jobs"), tailOf(RecordLog::JobsSpare, "jobs spare")}
        , front(PoolFrontOptions{.configLimit = settings.configApply + settings.configStretch / 2,
                                 .viewLimit = settings.visibility - viewMargin,
                                 .homeLog = homeLogOf(settings.instance),
                                 .recordBytes = settings.recordBytes},
                view,
                ports.store,
                clock,
                PoolFreshness{.configReadAt = [this] { return configTail.readAt(); },
                              .jobsReadAt = [this](RecordLog log) { return jobTails.at(static_cast<std::size_t>(log == RecordLog::JobsSpare)).readAt(); }},
                *ports.metrics)
    {
    }

    auto configHandlers() -> TailHandlers;
    auto statesHandlers() -> TailHandlers;
    auto jobHandlers(RecordLog log) -> TailHandlers;
    auto tailOf(RecordLog log, const char *name) -> RecordTail;
    auto operatorRecord(const KeyedRecord &record) -> void;
    auto configRecord(const KeyedRecord &record) -> void;
    auto notifyEvacuation() -> void;
    auto poolRecord(RecordLog log, const KeyedRecord &record) -> void;
    auto leadershipRecord(const LeadershipRecord &record, LogOffset offset) -> void;
    auto termHooks() -> PoolTermHooks;
    auto control() -> void;
    auto probeStore() -> void;
    auto controlOnce() -> void;
    /// @param bounds what is stored when the term of @p epoch begins
    auto updateTerm(std::optional<std::int64_t> epoch, KnownLeaseBounds bounds) -> void;
    auto claim() -> void;
    auto addMember(const MemberRecord &member) -> void;
    auto announce() -> void;
    auto resign(const LeadershipRecord &record, std::int64_t epoch) -> void;

    PoolSettings settings;
    PoolPorts ports;
    Clock clock;
    PoolView view{clock};

    std::mutex mutex; ///< guards the leadership, statesEnd and leaseBounds; taken before the term's lock, never after
    Leadership leadership;
    KnownLeaseBounds leaseBounds;
    LogOffset statesEnd;
    bool snapshotBegun = false; ///< thread of the states' tail only
    std::atomic<bool> retiring{false};
    std::atomic<bool> wasReady{false};
    Random random; ///< control thread only
    std::mutex membersMutex; ///< leaf
    std::map<InstanceId, std::string> members;
    std::atomic<bool> announced{false};
    MonoTime announcedAt; ///< control thread only
    std::size_t announceLog = 0; ///< control thread only; the next try goes to the other log of jobs

    std::mutex termMutex; ///< guards the pointer; taken without the other locks
    std::shared_ptr<PoolTerm> term;
    std::optional<std::int64_t> termEpoch; ///< control thread only

    HolderWatch watch;
    RecordTail configTail;
    RecordTail statesTail;
    std::array<RecordTail, jobLogs.size()> jobTails;
    PoolFront front;

    std::mutex stopMutex;
    std::condition_variable stopChanged;
    bool stopping = false;
    std::thread controlThread;
    std::thread probeThread;
};

auto PoolNode::Impl::configHandlers() -> TailHandlers
{
    return {
        .reset = [this] { view.beginOperatorSnapshot(); },
        .record = [this](const KeyedRecord &it) { operatorRecord(it); },
        .caughtUp =
            [this](LogOffset, MonoTime) {
                if (view.operatorLogRead()) {
                    notifyEvacuation();
                }
            },
        .lost = [] {},
    };
}

auto PoolNode::Impl::notifyEvacuation() -> void
{
    const auto lock = std::lock_guard{termMutex};
    if (term) {
        term->evacuationChanged();
    }
}

auto PoolNode::Impl::operatorRecord(const KeyedRecord &record) -> void
{
    const auto domain = ports.decodeEvacuation(record.key);
    if (!domain) {
        configRecord(record);
        return;
    }
    if (!*domain) {
        logEvent(LogLevel::Error, 6070, "evacuation at offset " + std::to_string(record.offset.value) + " left out: " + domain->error().message);
        return;
    }
    // Whatever the value says, the operator has asked for the evacuation.
    const auto isRequested = !record.value.empty();
    if (view.applyEvacuation(domain->value(), isRequested)) {
        logEvent(LogLevel::Info,
                 6071,
                 "evacuation domain=" + domain->value().str() + (isRequested ? " requested" : " revoked") + " offset=" + std::to_string(record.offset.value));
        notifyEvacuation();
    }
}

auto PoolNode::Impl::configRecord(const KeyedRecord &record) -> void
{
    if (record.key != ports.configKey || record.value.empty()) {
        return;
    }
    const auto config = ports.decodeConfig(record.value);
    if (!config) {
        logEvent(LogLevel::Error, 6030, "configuration at offset " + std::to_string(record.offset.value) + " cannot be read: " + config.error().message);
        return;
    }
    if (!view.applyConfig(config.value())) {
        return;
    }
    ports.metrics->setConfig(config.value().rules.version, Seconds{0});
    logEvent(LogLevel::Info,
             6031,
             "configuration version=" + std::to_string(config.value().rules.version.value) + " queues=" + std::to_string(config.value().addresses.size())
                 + " keys=" + std::to_string(config.value().keys.size()) + " in force");
    for (const auto &it : config.value().lowered) {
        logEvent(LogLevel::Warn, 6052, "configuration version=" + std::to_string(config.value().rules.version.value) + " " + it);
    }
    const auto lock = std::lock_guard{termMutex};
    if (term) {
        term->configChanged();
    }
}

auto PoolNode::Impl::statesHandlers() -> TailHandlers
{
    return {
        .reset =
            [this] {
                view.beginSnapshot(RecordLog::States);
                snapshotBegun = true;
                const auto lock = std::lock_guard{mutex};
                leaseBounds = {};
            },
        .record = [this](const KeyedRecord &it) { poolRecord(RecordLog::States, it); },
        .caughtUp =
            [this](LogOffset end, MonoTime sentAt) {
                view.endSnapshot(RecordLog::States);
                const auto now = clock.mono();
                const auto lock = std::lock_guard{mutex};
                statesEnd = end;
                // Only a snapshot is answered without waiting for a record, so that its time shows how far the store is.
                if (std::exchange(snapshotBegun, false)) {
                    leadership.setClaimDelay(claimDelay(std::chrono::duration_cast<Millis>(now - sentAt), settings.cores));
                }
                leadership.tailRead(sentAt, now);
            },
        .lost =
            [this] {
                const auto lock = std::lock_guard{mutex};
                leadership.tailLost();
            },
    };
}

auto PoolNode::Impl::jobHandlers(RecordLog log) -> TailHandlers
{
    return {
        .reset = [this, log] { view.beginSnapshot(log); },
        .record = [this, log](const KeyedRecord &it) { poolRecord(log, it); },
        .caughtUp =
            [this, log](LogOffset, MonoTime) {
                view.endSnapshot(log);
                ports.metrics->setLogAvailable(LogStream::Jobs, true);
            },
        .lost = [this] { ports.metrics->setLogAvailable(LogStream::Jobs, false); },
    };
}

auto PoolNode::Impl::tailOf(RecordLog log, const char *name) -> RecordTail
{
    return {ports.store, log, TailOptions{.name = name, .wait = Millis{500}, .pace = followerPace}, clock, jobHandlers(log)};
}

auto PoolNode::Impl::leadershipRecord(const LeadershipRecord &record, LogOffset offset) -> void
{
    // An epoch is the offset of its claim, which is before all records that name it. One from the future would shut out every claim.
    if (record.kind != LeadershipRecordKind::Claim && record.epoch >= offset.value) {
        logEvent(LogLevel::Error, 6050, "record of the leadership at offset " + std::to_string(offset.value) + " left out: its epoch is that of no claim");
        return;
    }
    const auto lock = std::lock_guard{mutex};
    leadership.applyRecord(record, offset, clock.mono());
    const auto &holder = leadership.holder();
    const auto watched = holder && holder->holder != settings.instance && holder->kind != LeadershipRecordKind::Resignation;
    watch.setHolder(watched ? holder->address : std::string{}, watched ? holder->epoch : -1);
}

auto PoolNode::Impl::poolRecord(RecordLog log, const KeyedRecord &record) -> void
{
    const auto decoded = decodePoolRecord(record.key, record.value);
    if (!decoded) {
        logEvent(LogLevel::Error, 6032, "record at offset " + std::to_string(record.offset.value) + " left out: " + decoded.error().message);
        if (isLeaseBoundsKey(record.key)) {
            const auto lock = std::lock_guard{mutex};
            leaseBounds = {}; // it may have replaced the known bounds
        }
        if (const auto id = jobOfKey(record.key)) {
            view.noteUnreadable(log, *id);
        }
        return;
    }
    if (const auto *it = std::get_if<LeadershipRecord>(&decoded.value())) {
        leadershipRecord(*it, record.offset);
        return;
    }
    if (const auto *it = std::get_if<LeaseBoundsRecord>(&decoded.value())) {
        const auto lock = std::lock_guard{mutex};
        noteLeaseBounds(leaseBounds, *it, clock.mono());
        return;
    }
    if (const auto *it = std::get_if<MemberRecord>(&decoded.value())) {
        addMember(*it);
        return;
    }
    if (!view.apply(log, decoded.value())) {
        return;
    }
    const auto id = std::holds_alternative<PoolJob>(decoded.value()) ? std::get<PoolJob>(decoded.value()).id : std::get<CancelRecord>(decoded.value()).id;
    const auto lock = std::lock_guard{termMutex};
    if (term) {
        term->jobChanged(id);
    }
}

auto PoolNode::Impl::addMember(const MemberRecord &member) -> void
{
    if (member.instance == settings.instance) {
        announced = announced || member.address == settings.peerAddress;
        return;
    }
    const auto lock = std::lock_guard{membersMutex};
    members[member.instance] = member.address;
    // The order differs from instance to instance, so that relayed calls spread.
    auto addresses = std::vector<std::pair<std::size_t, std::string>>{};
    for (const auto &[id, address] : members) {
        addresses.emplace_back(std::hash<std::string>{}(id.str() + settings.instance.str()), address);
    }
    std::sort(addresses.begin(), addresses.end());
    auto relays = std::vector<std::string>{};
    for (const auto &it : addresses) {
        relays.push_back(it.second);
    }
    ports.store.setRelays(relays);
}

auto PoolNode::Impl::announce() -> void
{
    const auto now = clock.mono();
    if (announced || now - announcedAt < announceRetry) {
        return;
    }
    announcedAt = now;
    const auto [key, value] = encodeMember({.instance = settings.instance, .address = settings.peerAddress});
    const auto done = ports.store.append(jobLogs.at(announceLog), {{.key = key, .value = value}}, {}, claimTimeout);
    announceLog = (announceLog + 1) % jobLogs.size();
    if (!done) {
        logEvent(LogLevel::Warn, 6047, "instance not announced to the others: " + done.error().message);
    }
}

auto PoolNode::Impl::termHooks() -> PoolTermHooks
{
    return {
        .mayOrder =
            [this] {
                const auto lock = std::lock_guard{mutex};
                return leadership.mayOrder(clock.mono());
            },
        .renewed =
            [this](MonoTime sentAt) {
                const auto lock = std::lock_guard{mutex};
                leadership.renewed(sentAt);
            },
        .fenced =
            [this](const char *reason) {
                const auto lock = std::lock_guard{mutex};
                if (leadership.ownEpoch()) {
                    logEvent(LogLevel::Warn, 6033, "leadership lost epoch=" + std::to_string(*leadership.ownEpoch()) + " reason=" + reason);
                }
                leadership.fenced();
            },
        .renewal =
            [this] {
                const auto lock = std::lock_guard{mutex};
                return leadership.renewal();
            },
        .operatorLogReadAt = [this] { return configTail.readAt(); },
    };
}

auto PoolNode::Impl::updateTerm(std::optional<std::int64_t> epoch, KnownLeaseBounds bounds) -> void
{
    if (epoch == termEpoch) {
        return;
    }
    auto old = std::shared_ptr<PoolTerm>{};
    {
        const auto lock = std::lock_guard{termMutex};
        old = std::exchange(term, nullptr);
    }
    if (old) {
        old->stop();
        logEvent(LogLevel::Info, 6034, "term epoch=" + std::to_string(termEpoch.value_or(0)) + " has ended");
    }
    termEpoch = epoch;
    ports.metrics->setPlanner(epoch.has_value());
    for (auto &it : jobTails) {
        it.setPace(epoch ? plannerPace : followerPace);
    }
    if (!epoch) {
        return;
    }
    logEvent(LogLevel::Info, 6035, "term epoch=" + std::to_string(*epoch) + " begins");
    const auto options = PoolTermOptions{
        .epoch = *epoch,
        .pool = {.leaseDuration = settings.lease,
                 .heartbeat = settings.workerHeartbeat,
                 .stopGrace = settings.stopGrace,
                 .restore = settings.restore,
                 .retention = settings.retention,
                 .gangTimeout = settings.gangTimeout,
                 .linkBytesPerSecond = static_cast<std::int64_t>(settings.linkMbps * bytesPerMegabit)},
        .workerHeartbeat = settings.workerHeartbeat,
        .recordBytes = settings.recordBytes,
        .evacuateBound = evacuateBound(settings),
        .leaseEnds = std::move(bounds.ends),
        .lateStarts = std::move(bounds.lateStarts),
    };
    auto fresh = std::make_shared<PoolTerm>(options, ports, clock, view, termHooks());
    const auto lock = std::lock_guard{termMutex};
    term = fresh;
    term->start();
}

auto PoolNode::Impl::claim() -> void
{
    auto record = LeadershipRecord{};
    auto bounds = LeaseBoundsRecord{};
    auto end = LogOffset{};
    {
        const auto lock = std::lock_guard{mutex};
        end = statesEnd;
        const auto holder = leadership.holder() ? leadership.holder()->epoch : -1;
        bounds = carriedBounds(leaseBounds, holder, end.value, clock.mono());
        record = leadership.claim(end, std::to_string(random()) + "-" + std::to_string(random()), clock.mono());
    }
    auto records = std::vector<KeyedRecord>{};
    for (const auto &[key, value] : {encodeLeadership(record), encodeLeaseBounds(bounds)}) {
        records.push_back({.key = key, .value = value});
    }
    const auto begin = clock.mono();
    const auto done = ports.store.append(RecordLog::States, records, {.at = end, .epoch = end.value, .sequence = 0}, claimTimeout);
    const auto took = std::chrono::duration_cast<Millis>(clock.mono() - begin);
    logEvent(LogLevel::Info,
             6036,
             "claim at offset " + std::to_string(end.value) + (done ? " stored" : " not stored: " + done.error().message)
                 + " store_ms=" + std::to_string(took.count()));
    const auto lock = std::lock_guard{mutex};
    leadership.setClaimDelay(claimDelay(took, settings.cores) + Millis{random(claimJitterMs)});
    if (!done && done.error().code != ErrorCode::Unknown) {
        leadership.claimRefused();
    }
}

auto PoolNode::Impl::controlOnce() -> void
{
    auto step = LeadershipStep::None;
    auto epoch = std::optional<std::int64_t>{};
    auto bounds = KnownLeaseBounds{};
    {
        const auto lock = std::lock_guard{mutex};
        step = leadership.next(clock.mono());
        epoch = leadership.ownEpoch();
        // The bounds of leases are the second record of a claim; a term does not begin before they have been read.
        if (epoch != termEpoch && epoch && leaseBounds.epoch != *epoch) {
            epoch.reset();
        }
        bounds = leaseBounds;
    }
    if (retiring) {
        return;
    }
    updateTerm(epoch, std::move(bounds));
    announce();
    if (step == LeadershipStep::Claim) {
        claim();
    }
}

auto PoolNode::Impl::control() -> void
{
    nameThread("control");
    auto lock = std::unique_lock{stopMutex};
    while (!stopping) {
        lock.unlock();
        controlOnce();
        lock.lock();
        stopChanged.wait_for(lock, controlPeriod, [&] { return stopping; });
    }
}

auto PoolNode::Impl::probeStore() -> void
{
    nameThread("probe");
    auto lock = std::unique_lock{stopMutex};
    while (!stopping) {
        lock.unlock();
        ports.store.probe(probeTimeout);
        lock.lock();
        stopChanged.wait_for(lock, probePeriod, [&] { return stopping; });
    }
}

auto PoolNode::Impl::resign(const LeadershipRecord &record, std::int64_t epoch) -> void
{
    const auto [key, value] = encodeLeadership(record);
    for (auto i = 0; i < resignTries; ++i) {
        // No sequence check: the term's own sequence has ended with its threads, and a newer epoch still refuses this append.
        const auto done = ports.store.append(RecordLog::States, {{.key = key, .value = value}}, {}, resignTimeout);
        if (done) {
            logEvent(LogLevel::Info, 6037, "leadership resigned epoch=" + std::to_string(epoch));
            return;
        }
    }
    logEvent(LogLevel::Warn, 6038, "resignation not stored epoch=" + std::to_string(epoch) + "; others take over after the usual silence");
}

PoolNode::PoolNode(const PoolSettings &settings, PoolPorts ports, Clock clock)
    : m_impl(std::make_unique<Impl>(settings, std::move(ports), std::move(clock)))
{
}

PoolNode::~PoolNode()
{
    stop();
}

auto PoolNode::start() -> void
{
    m_impl->configTail.start();
    m_impl->statesTail.start();
    for (auto &it : m_impl->jobTails) {
        it.start();
    }
    m_impl->controlThread = std::thread([impl = m_impl.get()] { impl->control(); });
    m_impl->probeThread = std::thread([impl = m_impl.get()] { impl->probeStore(); });
}

auto PoolNode::beginRetirement() -> void
{
    m_impl->retiring = true;
}

auto PoolNode::retire() -> void
{
    m_impl->retiring = true;
    auto record = LeadershipRecord{};
    auto epoch = std::optional<std::int64_t>{};
    {
        const auto lock = std::lock_guard{m_impl->mutex};
        m_impl->leadership.retire();
        epoch = m_impl->leadership.ownEpoch();
        record = m_impl->leadership.resignation();
    }
    auto term = std::shared_ptr<PoolTerm>{};
    {
        const auto lock = std::lock_guard{m_impl->termMutex};
        term = std::exchange(m_impl->term, nullptr);
    }
    if (epoch) {
        m_impl->resign(record, *epoch);
    }
    if (term) {
        term->stop();
    }
}

auto PoolNode::stop() -> void
{
    {
        const auto lock = std::lock_guard{m_impl->stopMutex};
        m_impl->stopping = true;
    }
    m_impl->stopChanged.notify_all();
    if (m_impl->controlThread.joinable()) {
        m_impl->controlThread.join();
        m_impl->probeThread.join();
    }
    auto term = std::shared_ptr<PoolTerm>{};
    {
        const auto lock = std::lock_guard{m_impl->termMutex};
        term = std::exchange(m_impl->term, nullptr);
    }
    if (term) {
        term->stop();
    }
    m_impl->watch.stop();
    m_impl->statesTail.stop();
    for (auto &it : m_impl->jobTails) {
        it.stop();
    }
    m_impl->configTail.stop();
}

auto PoolNode::front() -> PoolFront &
{
    return m_impl->front;
}

auto PoolNode::ready() -> bool
{
    auto reason = std::string{};
    const auto ready = !m_impl->retiring && m_impl->front.ready(reason);
    if (ready != m_impl->wasReady.exchange(ready)) {
        logEvent(LogLevel::Info, 6039, ready ? "ready for new connections" : "not ready: " + (reason.empty() ? std::string("stopping") : reason));
        m_impl->ports.metrics->setReady(ready);
    }
    return ready;
}

}

#include "requestsimulation.h"

#include "util/random.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <queue>
#include <random>
#include <unordered_map>

namespace Catkin
{

namespace
{

constexpr auto pollPeriod = Millis{1000};
constexpr auto heartbeatPeriod = Millis{500};
constexpr auto freshFor = 3 * heartbeatPeriod;

/// Baseline: FIFO queue, every instance may use all slots of every executor, refused attempts are sent again at once.
class FifoScheduler
{
public:
    FifoScheduler(std::vector<ListedExecutor> executors, int slots)
        : m_executors(std::move(executors))
        , m_inFlight(m_executors.size())
        , m_slots(slots)
    {
    }
    auto enqueue(MonoTime deadline) -> RequestNumber
    {
        m_requests[++m_last] = {deadline, 0, 0};
        m_queue.push_back(m_last);
        return {m_last};
    }
    /// Kind to the baseline: requests past their deadline are not sent.
    auto next(MonoTime now) -> RequestStep
    {
        if (m_queue.empty()) {
            return RequestIdle{};
        }
        const auto number = m_queue.front();
        auto &request = m_requests.at(number);
        if (request.deadline <= now) {
            m_queue.pop_front();
            m_requests.erase(number);
            return RequestDropped{{number}};
        }
        const auto best = std::min_element(m_inFlight.begin(), m_inFlight.end());
        if (*best >= m_slots) {
            return RequestIdle{};
        }
        // Starting the search after the last choice spreads equal loads.
        auto index = static_cast<std::size_t>(best - m_inFlight.begin());
        for (auto i = std::size_t{0}; i < m_inFlight.size(); ++i) {
            const auto candidate = (m_turn + i) % m_inFlight.size();
            if (m_inFlight[candidate] == *best) {
                index = candidate;
                break;
            }
        }
        m_turn = index + 1;
        m_queue.pop_front();
        ++m_inFlight[index];
        request.executor = index;
        ++request.attempts;
        return RequestDispatch{{number}, m_executors[index].id, "", false, request.attempts};
    }
    auto completed(RequestNumber number, DispatchOutcome outcome) -> RequestCompletion
    {
        auto &request = m_requests.at(number.value);
        --m_inFlight[request.executor];
        if (outcome == DispatchOutcome::Refused && request.attempts < 3) {
            m_queue.push_front(number.value);
            return RequestRetry{};
        }
        m_requests.erase(number.value);
        return outcome == DispatchOutcome::Answered ? RequestCompletion{RequestFinished{true}} : RequestCompletion{RequestNotRun{}};
    }

private:
    struct Request
    {
        MonoTime deadline;
        std::size_t executor = 0;
        int attempts = 0;
    };
    std::vector<ListedExecutor> m_executors;
    std::vector<int> m_inFlight;
    std::size_t m_turn = 0;
    int m_slots;
    std::deque<std::int64_t> m_queue;
    std::unordered_map<std::int64_t, Request> m_requests;
    std::int64_t m_last = 0;
};

enum class EventType { Arrival, AtExecutor, ServiceEnd, Reply, Wake, Poll, Heartbeat, HeartbeatArrival };

struct Event
{
    MonoTime at;
    std::int64_t order = 0;
    EventType type = EventType::Arrival;
    int who = 0; ///< stream or instance
    std::int64_t number = 0;
    int executor = 0;
    bool refused = false;

    auto operator<(const Event &other) const -> bool
    {
        return at != other.at ? at > other.at : order > other.order;
    }
};

struct InFlightRequest
{
    std::size_t stream = 0;
    MonoTime arrived;
    Micros service{0};
    bool counted = false; ///< arrived after the warm-up
};

struct SimInstance
{
    std::unique_ptr<RequestScheduler> fair;
    std::unique_ptr<FifoScheduler> fifo;
    std::unordered_map<std::int64_t, InFlightRequest> requests;
    std::optional<MonoTime> wakeAt;
    int region = 0;
    bool cutOff = false;
    std::vector<MonoTime> heard; ///< last heartbeat of each instance
};

struct SimHeartbeat
{
    std::size_t from = 0;
    std::size_t to = 0;
    std::vector<InFlightLoad> loads;
    std::vector<WorkspaceDemand> demands;
};

auto instanceName(std::size_t index) -> InstanceId
{
    return InstanceId{"i-" + std::to_string(index + 1)};
}

class Simulation
{
public:
    Simulation(const SimSetting &setting, const std::vector<SimStream> &streams, SimPolicy policy, std::uint64_t seed);
    auto run() -> SimResult;

private:
    auto add(Event event) -> void
    {
        event.order = ++m_order;
        m_events.push(event);
    }
    auto scheduleArrival(std::size_t stream) -> void;
    auto arrival(std::size_t stream) -> void;
    auto pump(int instance) -> void;
    auto handle(const Event &event) -> void;
    auto heartbeat() -> void;
    auto heartbeatArrived(const SimHeartbeat &beat) -> void;
    [[nodiscard]] auto isCutOff(std::size_t instance) const -> bool;
    auto updatePeers(std::size_t instance) -> void;
    auto instanceFor(std::size_t stream) -> int;

    const SimSetting &m_setting;
    const std::vector<SimStream> &m_streams;
    SimPolicy m_policy;
    std::vector<std::mt19937_64> m_random; ///< one per stream, so that a stream is the same with and without the others
    std::priority_queue<Event> m_events;
    std::int64_t m_order = 0;
    MonoTime m_now{Seconds{1000}};
    MonoTime m_start;
    MonoTime m_end;
    std::vector<ListedExecutor> m_executors;
    std::unordered_map<std::string, int> m_executorIndex;
    std::vector<int> m_busy;
    std::vector<SimInstance> m_instances;
    std::mt19937_64 m_heartbeatRandom;
    std::unordered_map<std::int64_t, SimHeartbeat> m_heartbeats; ///< on their way
    std::vector<double> m_capacity; ///< per instance
    SimResult m_result;
    double m_busySeconds = 0;
    std::int64_t m_attempts = 0;
    std::int64_t m_refusals = 0;
    std::int64_t m_first = 0;
    std::int64_t m_warmUpAttempts = 0;
    std::int64_t m_warmUpRefusals = 0;
};

Simulation::Simulation(const SimSetting &setting, const std::vector<SimStream> &streams, SimPolicy policy, std::uint64_t seed)
    : m_setting(setting)
    , m_streams(streams)
    , m_policy(policy)
    , m_heartbeatRandom(seed)
{
    m_start = m_now + setting.warmUp;
    m_end = m_start + setting.length;
    m_result.streams.resize(streams.size());
    for (auto i = std::size_t{0}; i < streams.size(); ++i) {
        m_random.emplace_back(seed * 1000 + i);
    }
    const auto domains = setting.executorsPerDomain.size();
    auto regionOf = [&](std::size_t domain) { return domain + 1 == domains ? 1 : 0; };
    auto domainName = [](std::size_t domain) { return "domain-" + std::to_string(domain); };
    auto regionName = [](int region) { return "region-" + std::to_string(region); };
    for (auto domain = std::size_t{0}; domain < domains; ++domain) {
        for (auto i = 0; i < setting.executorsPerDomain[domain]; ++i) {
            const auto id = "e-" + std::to_string(m_executors.size());
            m_executorIndex[id] = static_cast<int>(m_executors.size());
            m_executors.push_back({ExecutorId{id}, "", FailureDomainId{domainName(domain)}, RegionId{regionName(regionOf(domain))}, false});
        }
    }
    m_busy.resize(m_executors.size());
    auto fifoLimit = [&](int region) {
        auto instances = 0;
        for (auto domain = std::size_t{0}; domain < domains; ++domain) {
            instances += regionOf(domain) == region ? setting.instancesPerDomain[domain] : 0;
        }
        return policy == SimPolicy::FifoShare ? (setting.slots + instances - 1) / instances : setting.slots;
    };
    for (auto domain = std::size_t{0}; domain < domains; ++domain) {
        for (auto i = 0; i < setting.instancesPerDomain[domain]; ++i) {
            auto &instance = m_instances.emplace_back();
            instance.region = regionOf(domain);
            auto local = std::vector<ListedExecutor>{};
            for (const auto &it : m_executors) {
                if (it.region.str() == regionName(instance.region)) {
                    local.push_back(it);
                }
            }
            if (policy == SimPolicy::Fair) {
                auto options = setting.options;
                options.instance = InstanceId{"i-" + std::to_string(m_instances.size())};
                options.domain = FailureDomainId{domainName(domain)};
                options.region = RegionId{regionName(instance.region)};
                instance.fair = std::make_unique<RequestScheduler>(options, seed * 100 + m_instances.size());
                instance.fair->configChanged(setting.config, m_now);
                instance.fair->executorsChanged(m_executors, m_now);
            } else {
                instance.fifo = std::make_unique<FifoScheduler>(local, fifoLimit(regionOf(domain)));
            }
            m_capacity.push_back(static_cast<double>(local.size()));
        }
    }
    for (const auto i : setting.cutOff) {
        m_instances.at(static_cast<std::size_t>(i)).cutOff = true;
    }
    for (auto i = std::size_t{0}; i < m_instances.size(); ++i) {
        const auto region = m_instances[i].region;
        m_capacity[i] /= static_cast<double>(std::count_if(m_instances.begin(), m_instances.end(), [&](const auto &it) { return it.region == region; }));
        m_instances[i].heard.assign(m_instances.size(), m_now);
        updatePeers(i);
        add({.at = m_now, .type = EventType::Poll, .who = static_cast<int>(i)});
    }
    add({.at = m_now + Micros{1}, .type = EventType::Heartbeat});
    for (auto i = std::size_t{0}; i < streams.size(); ++i) {
        scheduleArrival(i);
    }
}

auto Simulation::scheduleArrival(std::size_t stream) -> void
{
    const auto pause = std::exponential_distribution<double>{m_streams[stream].perSecond}(m_random[stream]);
    const auto from = m_streams[stream].fromStart ? m_now : std::max(m_now, m_start);
    const auto at = from + Micros{static_cast<std::int64_t>(pause * 1e6) + 1};
    if (at < m_end) {
        add({.at = at, .type = EventType::Arrival, .who = static_cast<int>(stream)});
    }
}

auto Simulation::instanceFor(std::size_t stream) -> int
{
    const auto &own = m_streams[stream].instanceWeights;
    const auto &weights = own.empty() ? m_capacity : own;
    return std::discrete_distribution<int>{weights.begin(), weights.end()}(m_random[stream]);
}

auto Simulation::arrival(std::size_t stream) -> void
{
    const auto &from = m_streams[stream];
    scheduleArrival(stream);
    const auto index = instanceFor(stream);
    auto &instance = m_instances[static_cast<std::size_t>(index)];
    const auto counted = m_now >= m_start;
    m_result.streams[stream].offered += counted ? 1 : 0;
    const auto caller = from.callerPrefix + std::to_string(m_random[stream]() % static_cast<std::uint64_t>(from.callers));
    // The same number of draws for refused requests keeps the arrivals equal between policies.
    constexpr auto sigma = 0.5;
    const auto mean = static_cast<double>(std::chrono::duration_cast<Micros>(from.cost).count());
    auto normal = std::normal_distribution<double>{};
    const auto service = Micros{static_cast<std::int64_t>(mean * std::exp(sigma * normal(m_random[stream]) - sigma * sigma / 2)) + 1};
    auto number = RequestNumber{};
    if (instance.fair) {
        const auto queued
            = instance.fair->enqueue({WorkspaceId{from.workspace}, CallerId{caller}, KindId{from.kind}, m_now + from.deadline, Bytes{4000}}, m_now);
        if (queued.refusal) {
            return;
        }
        number = queued.number;
    } else {
        number = instance.fifo->enqueue(m_now + from.deadline);
    }
    instance.requests[number.value] = {stream, m_now, service, counted};
    pump(index);
}

auto Simulation::pump(int index) -> void
{
    auto &instance = m_instances[static_cast<std::size_t>(index)];
    for (;;) {
        auto step = instance.fair ? instance.fair->next(m_now) : instance.fifo->next(m_now);
        if (auto *dispatch = std::get_if<RequestDispatch>(&step)) {
            ++m_attempts;
            m_warmUpAttempts += m_now < m_start ? 1 : 0;
            m_first += dispatch->attempt == 1 ? 1 : 0;
            const auto oneWay = dispatch->otherRegion ? Millis{20} : m_setting.oneWay;
            add({.at = m_now + oneWay,
                 .type = EventType::AtExecutor,
                 .who = index,
                 .number = dispatch->number.value,
                 .executor = m_executorIndex.at(dispatch->executor.str())});
        } else if (auto *dropped = std::get_if<RequestDropped>(&step)) {
            instance.requests.erase(dropped->number.value);
        } else {
            const auto wakeAt = std::get<RequestIdle>(step).wakeAt;
            if (wakeAt && (!instance.wakeAt || *wakeAt < *instance.wakeAt || *instance.wakeAt <= m_now)) {
                instance.wakeAt = wakeAt;
                add({.at = *wakeAt, .type = EventType::Wake, .who = index});
            }
            return;
        }
    }
}

auto Simulation::isCutOff(std::size_t instance) const -> bool
{
    return m_instances[instance].cutOff && (!m_setting.cutOffAfter || m_now >= m_start + *m_setting.cutOffAfter);
}

auto Simulation::updatePeers(std::size_t instance) -> void
{
    auto &it = m_instances[instance];
    if (!it.fair) {
        return;
    }
    // A cut that was there from the start has left no time in which heartbeats could have been heard.
    const auto always = !m_setting.cutOffAfter;
    auto seen = std::vector<InstanceId>{};
    for (auto n = std::size_t{0}; n < m_instances.size(); ++n) {
        const auto cut = always && (m_instances[n].cutOff || it.cutOff);
        if (n != instance && m_instances[n].region == it.region && !cut && m_now - it.heard[n] <= freshFor) {
            seen.push_back(instanceName(n));
        } else if (n != instance) {
            it.fair->peerLoadsChanged(instanceName(n), {}, m_now);
        }
    }
    it.fair->peersChanged(seen, m_now);
}

auto Simulation::heartbeat() -> void
{
    for (auto from = std::size_t{0}; from < m_instances.size(); ++from) {
        auto &sender = m_instances[from];
        if (!sender.fair) {
            continue;
        }
        const auto beat = SimHeartbeat{from, from, sender.fair->ownLoads(), sender.fair->ownDemands(m_now)};
        for (auto to = std::size_t{0}; to < m_instances.size(); ++to) {
            const auto lost = m_setting.heartbeatLoss > 0 && std::bernoulli_distribution{m_setting.heartbeatLoss}(m_heartbeatRandom);
            if (to == from || isCutOff(from) || isCutOff(to) || lost) {
                continue;
            }
            auto copy = beat;
            copy.to = to;
            if (m_setting.heartbeatDelay == Millis{0}) {
                heartbeatArrived(copy);
                continue;
            }
            m_heartbeats.emplace(m_order + 1, std::move(copy));
            add({.at = m_now + m_setting.heartbeatDelay, .type = EventType::HeartbeatArrival, .number = m_order + 1});
        }
    }
    for (auto i = std::size_t{0}; i < m_instances.size(); ++i) {
        updatePeers(i);
    }
}

auto Simulation::heartbeatArrived(const SimHeartbeat &beat) -> void
{
    auto &receiver = m_instances[beat.to];
    receiver.heard[beat.from] = m_now;
    receiver.fair->peerLoadsChanged(instanceName(beat.from), beat.loads, m_now);
    if (receiver.region == m_instances[beat.from].region) {
        receiver.fair->peerDemandsChanged(instanceName(beat.from), beat.demands);
    }
}

auto Simulation::handle(const Event &event) -> void
{
    if (event.type == EventType::Arrival) {
        arrival(static_cast<std::size_t>(event.who));
        return;
    }
    if (event.type == EventType::Heartbeat) {
        heartbeat();
        add({.at = m_now + heartbeatPeriod, .type = EventType::Heartbeat});
        return;
    }
    if (event.type == EventType::HeartbeatArrival) {
        heartbeatArrived(m_heartbeats.extract(event.number).mapped());
        return;
    }
    auto &instance = m_instances[static_cast<std::size_t>(event.who)];
    const auto executor = static_cast<std::size_t>(event.executor);
    if (event.type == EventType::Poll) {
        for (auto i = std::size_t{0}; instance.fair && i < m_executors.size(); ++i) {
            instance.fair->executorPolled(m_executors[i].id, HealthSample{m_setting.slots, m_busy[i], false}, m_now);
        }
        add({.at = m_now + pollPeriod, .type = EventType::Poll, .who = event.who});
    } else if (event.type == EventType::AtExecutor) {
        const auto refused = m_busy[executor] >= m_setting.slots;
        const auto &request = instance.requests.at(event.number);
        if (refused) {
            ++m_refusals;
            m_warmUpRefusals += m_now < m_start ? 1 : 0;
            add({.at = m_now + m_setting.oneWay, .type = EventType::Reply, .who = event.who, .number = event.number, .refused = true});
        } else {
            ++m_busy[executor];
            add({.at = m_now + request.service, .type = EventType::ServiceEnd, .who = event.who, .number = event.number, .executor = event.executor});
        }
        return;
    } else if (event.type == EventType::ServiceEnd) {
        --m_busy[executor];
        const auto &request = instance.requests.at(event.number);
        const auto inside = std::chrono::duration<double>(std::min(m_now, m_end) - std::max(m_start, m_now - request.service)).count();
        m_busySeconds += std::max(0.0, inside);
        m_result.streams[request.stream].slotSeconds += std::max(0.0, inside);
        add({.at = m_now + m_setting.oneWay, .type = EventType::Reply, .who = event.who, .number = event.number});
        return;
    } else if (event.type == EventType::Reply) {
        const auto it = instance.requests.find(event.number);
        const auto request = it->second;
        const auto outcome = event.refused ? DispatchOutcome::Refused : DispatchOutcome::Answered;
        const auto cost = event.refused ? Micros{0} : request.service;
        const auto after = instance.fair ? instance.fair->completed({event.number}, outcome, cost, m_now) : instance.fifo->completed({event.number}, outcome);
        if (!std::holds_alternative<RequestRetry>(after)) {
            instance.requests.erase(it);
        }
        m_result.notRunAfterDispatch += std::holds_alternative<RequestNotRun>(after) ? 1 : 0;
        if (outcome == DispatchOutcome::Answered && request.counted) {
            auto &stream = m_result.streams[request.stream];
            stream.latencies.push_back(std::chrono::duration<double, std::milli>(m_now - request.arrived).count());
            stream.inTime += m_now - request.arrived <= m_streams[request.stream].deadline ? 1 : 0;
        }
    }
    pump(event.who);
}

auto Simulation::run() -> SimResult
{
    // Requests that arrived just before the end get the time to be answered.
    const auto stop = m_end + Seconds{6};
    while (!m_events.empty() && m_events.top().at < stop) {
        const auto event = m_events.top();
        m_events.pop();
        m_now = event.at;
        handle(event);
    }
    for (auto &it : m_result.streams) {
        std::sort(it.latencies.begin(), it.latencies.end());
    }
    const auto slots = static_cast<double>(m_executors.size()) * m_setting.slots;
    m_result.utilisation = m_busySeconds / slots / std::chrono::duration<double>(m_setting.length).count();
    m_result.refusedAttempts = m_attempts > 0 ? static_cast<double>(m_refusals) / static_cast<double>(m_attempts) : 0;
    const auto attempts = m_attempts - m_warmUpAttempts;
    m_result.refusedWhenMeasured = attempts > 0 ? static_cast<double>(m_refusals - m_warmUpRefusals) / static_cast<double>(attempts) : 0;
    m_result.retryShare = m_first > 0 ? static_cast<double>(m_attempts - m_first) / static_cast<double>(m_first) : 0;
    return std::move(m_result);
}

}

auto SimStreamResult::latency(double quantile) const -> double
{
    const auto rank = static_cast<std::size_t>(quantile * static_cast<double>(offered));
    return rank < latencies.size() ? latencies[rank] : -1;
}

auto SimStreamResult::goodput() const -> double
{
    return offered > 0 ? static_cast<double>(inTime) / static_cast<double>(offered) : 0;
}

auto simulate(const SimSetting &setting, const std::vector<SimStream> &streams, SimPolicy policy, std::uint64_t seed) -> SimResult
{
    return Simulation{setting, streams, policy, seed}.run();
}

}

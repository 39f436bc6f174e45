#include "policy/jobadmission.h"

#include "policy/lostwork.h"
#include "policy/overloadorder.h"

#include <algorithm>
#include <cmath>

namespace Catkin
{

namespace
{

/// A queue's objective is exceeded beyond value after this multiple, as in overloadorder.cpp.
constexpr auto valueEnds = 3;
/// Rates are measured over this many whole seconds. All of them must be limited by the capacity, so that bursts of 4 to 6 s refuse nobody.
constexpr auto rateWindow = std::int64_t{10};
/// A rate is limited by the capacity while at least the work of this many seconds waits.
constexpr auto backlogSeconds = 1.0;
/// After this many seconds in a row without any start, for example in a takeover, the rate is unknown.
constexpr auto standstillSeconds = std::int64_t{3};
/// Fewer waiting jobs do not show that their priority is passed over: they may be jobs that no worker can take.
constexpr auto fewestPassedOver = 5;
/// Errors of the estimate are taken this many times; an excess of twice the standard error has a chance of 2%.
constexpr auto errorMargin = 2.0;
/// A view shows starts this much later than arrivals at most, which makes the waiting work look larger.
constexpr auto viewDelay = Micros{Seconds{3}};
/// From this many classes on, those without an event in the memory are dropped. A configuration has a few services and three priorities.
constexpr auto maxClasses = std::size_t{64};
constexpr auto shortestRetry = Seconds{1};
constexpr auto longestRetry = Seconds{30};

auto secondOf(MonoTime now) -> std::int64_t
{
    return std::chrono::duration_cast<Seconds>(now.time_since_epoch()).count();
}

auto toMicros(double seconds) -> Micros
{
    constexpr auto longest = 86'400.0; // far above every limit, and representable
    return std::chrono::duration_cast<Micros>(std::chrono::duration<double>(std::min(seconds, longest)));
}

auto runsUntilCancelled(const PoolJob &job) -> bool
{
    return std::any_of(job.steps.begin(), job.steps.end(), [](const PoolStep &it) { return it.longRunning; });
}

/// @return the longest chain of estimates of a job, or nothing when an estimate is missing.
auto longestChain(const PoolJob &job) -> std::optional<Micros>
{
    auto longest = Micros{0};
    for (auto i = std::size_t{0}; i < job.steps.size(); ++i) {
        if (job.steps[i].estimate <= Millis{0}) {
            return {};
        }
        longest = std::max<Micros>(longest, remainingChain(job, static_cast<int>(i)));
    }
    return longest;
}

/// @return whether the queue names an objective; without one, the product's default is the estimate itself.
auto hasObjective(const PoolQueue &queue) -> bool
{
    return queue.targetRuntime > Millis{0} || queue.stretch > PoolQueue{}.stretch;
}

}

auto jobWork(const PoolJob &job) -> double
{
    auto sum = 0.0;
    for (const auto &it : job.steps) {
        sum += coresOf(it.perTask) * it.tasks * std::chrono::duration<double>(it.estimate).count();
    }
    return sum;
}

auto retrySeconds(Micros untilInTime, Random &random) -> Seconds
{
    constexpr auto steps = std::uint32_t{1'000};
    const auto least = std::clamp<Micros>(untilInTime, shortestRetry, longestRetry * 2 / 3);
    const auto drawn = least + least / 2 * uniform(random, steps + 1) / steps;
    return std::clamp(std::chrono::ceil<Seconds>(drawn), shortestRetry, longestRetry);
}

auto JobAdmission::Amount::operator+=(const Amount &other) -> Amount &
{
    sum += other.sum;
    squares += other.squares;
    jobs += other.jobs;
    return *this;
}

auto JobAdmission::ClassCounts::at(std::int64_t second) -> SecondCounts &
{
    return seconds.at(static_cast<std::size_t>(second % memory));
}

auto JobAdmission::advance(ClassCounts &counts, std::int64_t second) -> void
{
    // After a pause that is longer than the memory only its last seconds are entered.
    for (auto it = std::max(counts.newest, second - memory) + 1; it <= second; ++it) {
        auto &entry = counts.at(it);
        counts.waiting -= entry.waiting.sum;
        counts.jobsWaiting -= entry.waiting.jobs;
        if (counts.jobsWaiting == 0) {
            counts.waiting = 0.0; // without the rounding errors
        }
        entry = {.waiting = {}, .started = {}, .gone = 0.0, .leastWaiting = counts.waiting, .fewestWaiting = counts.jobsWaiting};
    }
    counts.newest = std::max(counts.newest, second);
}

auto JobAdmission::noteLeast(ClassCounts &counts) -> void
{
    auto &entry = counts.at(counts.newest);
    entry.leastWaiting = std::min(entry.leastWaiting, counts.waiting);
    entry.fewestWaiting = std::min(entry.fewestWaiting, counts.jobsWaiting);
}

auto JobAdmission::arrived(const PoolJob &job, bool counts, MonoTime now) -> std::optional<WaitingTicket>
{
    if (!job.rules || job.firstDue || runsUntilCancelled(job)) {
        return {};
    }
    const auto ticket = WaitingTicket{
        .jobClass = {.service = job.rules->service, .priority = job.rules->priority}, .second = secondOf(now), .work = jobWork(job), .counts = counts};
    if (m_classes.size() >= maxClasses && !m_classes.contains(ticket.jobClass)) {
        std::erase_if(m_classes, [&](const auto &it) { return it.second.newest < ticket.second - memory; });
    }
    auto &of = m_classes[ticket.jobClass];
    advance(of, ticket.second);
    if (counts) {
        of.at(ticket.second).waiting += {.sum = ticket.work, .squares = ticket.work * ticket.work, .jobs = 1};
        of.waiting += ticket.work;
        ++of.jobsWaiting;
    }
    return ticket;
}

auto JobAdmission::left(const WaitingTicket &ticket, bool started, MonoTime now) -> void
{
    auto &of = m_classes[ticket.jobClass];
    advance(of, secondOf(now));
    if (ticket.counts && of.newest - ticket.second < memory) {
        of.at(ticket.second).waiting += {.sum = -ticket.work, .squares = -ticket.work * ticket.work, .jobs = -1};
        of.waiting -= ticket.work;
        --of.jobsWaiting;
        of.at(of.newest).gone += started ? 0.0 : ticket.work;
        noteLeast(of);
    }
    if (started) {
        of.at(of.newest).started += {.sum = ticket.work, .squares = ticket.work * ticket.work, .jobs = 1};
    }
}

/// @return whether nothing of any priority of the service has started for a few seconds within the window.
auto JobAdmission::isStandstill(const ServiceId &service, std::int64_t second) -> bool
{
    auto run = std::int64_t{0};
    for (auto t = second - rateWindow; t <= second; ++t) {
        const auto isStarted
            = std::any_of(m_classes.begin(), m_classes.end(), [&](auto &it) { return it.first.service == service && it.second.at(t).started.jobs > 0; });
        run = isStarted ? 0 : run + 1;
        if (run >= standstillSeconds) {
            return true;
        }
    }
    return false;
}

/// @return whether jobs of the class have waited for all of the window, and none has started. By the order under overload, a new job can overtake
/// earlier ones of its priority, so that only this shows that it has no chance.
auto JobAdmission::isPassedOver(const AdmissionClass &jobClass, std::int64_t second) -> bool
{
    auto &of = m_classes[jobClass];
    advance(of, second);
    for (auto t = second - rateWindow; t <= second; ++t) {
        if (of.at(t).started.jobs > 0 || of.at(t).fewestWaiting < fewestPassedOver) {
            return false;
        }
    }
    return true;
}

auto JobAdmission::refusal(const PoolJob &job, MonoTime now) -> std::optional<AdmissionRefusal>
{
    const auto chain = longestChain(job);
    if (!job.rules || !chain || !hasObjective(*job.rules) || job.firstDue || runsUntilCancelled(job)) {
        return {};
    }
    const auto own = AdmissionClass{.service = job.rules->service, .priority = job.rules->priority};
    const auto second = secondOf(now);
    auto ahead = Amount{};
    auto started = std::array<Amount, memory>{}; // of the job's priority and more urgent ones, by second; the last whole second is the last entry
    auto gone = std::array<double, memory>{}; // of more urgent priorities, likewise: callers that cancel shorten the wait as well
    auto leastWaiting = std::array<double, rateWindow>{}; // of more urgent priorities
    for (auto &[key, counts] : m_classes) {
        if (key.service != own.service) {
            continue;
        }
        advance(counts, second);
        if (key.priority > own.priority) {
            continue;
        }
        for (auto i = std::int64_t{1}; i < memory; ++i) {
            started.at(static_cast<std::size_t>(memory - i)) += counts.at(second - i).started;
        }
        if (key.priority == own.priority) {
            continue;
        }
        for (auto i = std::int64_t{0}; i < memory; ++i) {
            ahead += counts.at(second - i).waiting;
            gone.at(static_cast<std::size_t>(memory - std::max(i, std::int64_t{1}))) += counts.at(second - i).gone;
        }
        for (auto i = std::int64_t{1}; i <= rateWindow; ++i) {
            leastWaiting.at(static_cast<std::size_t>(i - 1)) += counts.at(second - i).leastWaiting;
        }
    }
    if (ahead.jobs <= 0 || ahead.sum <= 0.0 || isStandstill(own.service, second) || !isPassedOver(own, second)) {
        return {};
    }
    auto measured = Amount{}; // in the last window
    auto highest = 0.0; // in any window that is remembered
    for (auto end = memory; end - rateWindow >= 1; --end) {
        auto window = Amount{};
        auto drained = 0.0;
        for (auto i = end - rateWindow; i < end; ++i) {
            window += started.at(static_cast<std::size_t>(i));
            drained += gone.at(static_cast<std::size_t>(i));
        }
        if (end == memory) {
            measured = window;
        }
        highest = std::max(highest, window.sum + drained);
    }
    const auto rate = highest / static_cast<double>(rateWindow);
    if (measured.sum <= 0.0 || *std::min_element(leastWaiting.begin(), leastWaiting.end()) < backlogSeconds * rate) {
        return {};
    }
    const auto errorSquared = ahead.squares / (ahead.sum * ahead.sum) + measured.squares / (measured.sum * measured.sum);
    const auto error = errorMargin * std::sqrt(std::max(errorSquared, 0.0));
    const auto drain = ahead.sum / rate;
    const auto wait = toMicros(drain * std::max(0.0, 1.0 - error)) - viewDelay;
    const auto objective = std::chrono::duration_cast<Micros>(*chain * job.rules->stretch) + job.rules->targetRuntime;
    const auto limit = objective * valueEnds - *chain;
    if (wait <= limit) {
        return {};
    }
    return AdmissionRefusal{.wait = wait, .limit = limit, .untilInTime = toMicros(drain) - (objective - *chain)};
}

}

#include "daemon/daemonoptions.h"

#include "util/digest.h"

#include <algorithm>

namespace Catkin
{

auto logTailOptions(const Settings &settings) -> LogTailOptions
{
    // Instances that start together spread their first reads over this time.
    constexpr auto startSpread = std::uint64_t{200};
    return {.startDelay = Millis{static_cast<std::int64_t>(xxh64(settings.instance.str()) % startSpread)}};
}

auto retentionOf(const Settings &settings) -> Seconds
{
    return std::chrono::duration_cast<Seconds>(settings.requests.logRetention);
}

auto gateOptions(const Settings &settings) -> CallGateOptions
{
    // The rest of the threads read new calls and refuse them.
    return {.callsAtMost = std::max(1, settings.limits.callerThreads * 3 / 4), .bytesAtMost = settings.limits.queueMemory};
}

auto intentOptions(const Settings &settings) -> IntentServiceOptions
{
    // limits.attempt_memory in parts: half for the keys, a quarter for answers read from the log, an eighth each for
    // own answers and those of tickets. A key needs about 400 bytes with its indexes.
    constexpr auto bytesPerKey = std::int64_t{512};
    const auto memory = settings.limits.attemptMemory.value;
    return {.instance = settings.instance,
            .fold = {.window = std::chrono::duration_cast<Seconds>(settings.requests.keyWindow),
                     .maxKeys = static_cast<std::size_t>(memory / 2 / bytesPerKey),
                     .maxAnswerBytes = static_cast<std::size_t>(memory / 4)},
            .tail = logTailOptions(settings),
            .ownAnswers = Bytes{memory / 8}};
}

auto ticketOptions(const Settings &settings, Incarnation incarnation) -> TicketServiceOptions
{
    return {.instance = settings.instance,
            .incarnation = incarnation,
            .key = settings.peers.key,
            .previousKey = settings.peers.previousKey,
            .window = settings.requests.keyWindow,
            .answers = Bytes{settings.limits.attemptMemory.value / 8}};
}

auto requestOptions(const Settings &settings, Incarnation incarnation) -> RequestServiceOptions
{
    auto options = RequestServiceOptions{.instance = settings.instance, .keyWindow = settings.requests.keyWindow};
    options.scheduler.instance = settings.instance;
    options.scheduler.domain = settings.domain;
    options.scheduler.region = settings.region;
    options.scheduler.health.pollPeriod = settings.poll.executors;
    options.scheduler.link.bytesPerSecond = settings.link.payloadPerSecond.value;
    options.scheduler.link.burst = settings.link.payloadPerSecond.value * settings.link.burst.count() / 1000;
    // Instances that start alike must not choose alike.
    options.seed = xxh64(settings.instance.str()) ^ static_cast<std::uint64_t>(incarnation.value);
    return options;
}

auto plannerOptions(const Settings &settings) -> PlannerOptions
{
    auto options = PlannerOptions{.instance = settings.instance, .pollPeriod = settings.poll.workers};
    options.gangs.probationTtl = settings.leases.probation;
    options.gangs.runTtl = settings.leases.run;
    options.gangs.renewPeriod = settings.leases.renew;
    return options;
}

auto meshOptions(const Settings &settings, Incarnation incarnation) -> PeerMeshOptions
{
    return {
        .self = settings.instance,
        .domain = settings.domain,
        .region = settings.region,
        .incarnation = incarnation,
        .listenAddress = settings.listeners.peers,
        .advertisedAddress = {},
        .advertise = settings.peers.advertise,
        .key = settings.peers.key,
        .previousKey = settings.peers.previousKey,
        .periodInRegion = settings.peers.heartbeat,
        .periodAcross = settings.peers.remoteHeartbeat,
    };
}

}

#include "policy/poolcore.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

/// Lifetimes of workers: what a restart leaves in doubt, and which list or answer belongs to which lifetime.

namespace Catkin
{

namespace
{

/// Two readings of one clock differ by this much more than the time between them: each is rounded to whole milliseconds.
constexpr auto clockRounding = Millis{2};
/// Attempts that a line about a restart names.
constexpr auto maxAttemptsInLine = std::size_t{16};

auto millisSince(MonoTime time, MonoTime now) -> std::string
{
    return std::to_string(std::chrono::duration_cast<Millis>(now - time).count());
}

/// @return how far a worker's clock goes on at most from the list that answers a poll to another answer of the same lifetime.
/// @param span from sending the poll to the arrival of the other answer
auto mostClockAdvance(Micros span) -> std::int64_t
{
    const auto elapsed = static_cast<double>(std::chrono::duration_cast<Millis>(span).count());
    return static_cast<std::int64_t>(elapsed / slowestWorkerClock) + clockRounding.count();
}

}

/// @return whether the worker's entry names a later lifetime than its last list.
auto PoolCore::isReborn(const Worker &worker) -> bool
{
    return worker.listedBorn > worker.info.born;
}

/// Takes the lifetime for which an earlier planner placed an attempt for the one in the worker's entry before this term, so that a restart between the
/// two shows as a change of the entry.
auto PoolCore::noteRecordedLifetime(Worker &worker, Incarnation born) -> void
{
    if (!worker.answered && !worker.listed && born.value != 0) {
        worker.listedBorn = worker.listedBorn.value == 0 ? born : std::min(worker.listedBorn, born);
    }
}

/// @return whether a lifetime that no list has shown may have accepted the attempt, and may get a lease from a call for the earlier one: from a start
/// order that was not answered, or, if the worker's entry shows that lifetime, from any call.
auto PoolCore::mayGetLateLease(const Worker &worker, const Allocation &allocation) -> bool
{
    if (allocation.acceptedAt <= worker.listAskedAt) {
        return false;
    }
    return worker.startsArriveUntil > worker.listAskedAt || (isReborn(worker) && worker.unansweredGrantAt != MonoTime{});
}

/// @return whether a poll has to be open at the worker, idle or not: a start order may begin work in its present lifetime, or in a later one, that no
/// planner has called for.
auto PoolCore::needsOpenPoll(const Worker &worker) -> bool
{
    return isReborn(worker) || worker.listAskedAt < worker.startsArriveUntil;
}

/// @return whether the list answers a poll that has failed since, from a worker that has not written its entry after that. Such a worker was there, and
/// may have ended before its answer arrived: a lease that is granted on it would only be waited for.
auto PoolCore::isOverdue(const Worker &worker, const WorkerPollReply &reply, MonoTime sentAt) -> bool
{
    const auto hasWritten = worker.listed && worker.listedBorn == reply.born && worker.retriedAt != MonoTime{} && worker.wroteAt > worker.retriedAt;
    return !worker.reachable && sentAt <= worker.failedPollAt && !hasWritten;
}

/// Gives up the attempts that a list of an earlier lifetime has named, once the worker's entry shows a later one, unless a try of their start orders may
/// still arrive: the later lifetime would carry it out.
auto PoolCore::loseListedEarlier(Worker &worker) -> void
{
    const auto mayBegin
        = [&](const Allocation &it) { return mayStartLate(it, worker.listAskedAt) || (it.startTries == 0 && worker.startsArriveUntil > worker.listAskedAt); };
    auto over = std::vector<AttemptKey>{};
    for (const auto &[key, it] : worker.allocations) {
        if (it.listedIn.value != 0 && it.listedIn < worker.listedBorn && !mayBegin(it)) {
            over.push_back(key);
        }
    }
    for (const auto &it : over) {
        const auto listedIn = worker.allocations.at(it).listedIn;
        loseAttempt(worker, it, "worker restarted entry_born=" + std::to_string(worker.listedBorn.value) + " list_born=" + std::to_string(listedIn.value));
    }
}

/// @return whether a list of a later lifetime has overtaken this one. A poll that is sent after that list cannot reach the earlier lifetime.
auto PoolCore::isOutdated(const Worker &worker, const WorkerPollReply &reply, MonoTime sentAt) -> bool
{
    return worker.answered && reply.born < worker.info.born && sentAt < worker.answeredAt;
}

/// @return what is known of the answer to the start order of an attempt, as fields of a line.
auto PoolCore::describeAcceptance(const Allocation &allocation, MonoTime now) -> std::string
{
    return "accepted_ms_ago=" + (allocation.acceptedAt == MonoTime{} ? std::string("unknown") : millisSince(allocation.acceptedAt, now))
           + " accepted_clock=" + std::to_string(allocation.acceptedClock.value);
}

/// @return the orders for an attempt that a restart leaves in doubt, as marks in a line.
/// @param sentAt when the list that shows the restart was asked for
auto PoolCore::describeOrders(const Allocation &allocation, MonoTime sentAt) -> std::string
{
    auto out = std::string{};
    out += allocation.orderOpen ? " order_open" : mayStartLate(allocation, sentAt) ? " may_arrive" : "";
    out += allocation.stopAnswered ? " stop_answered" : allocation.stopOpen ? " stop_open" : "";
    return out + (mayFollowList(allocation, sentAt) ? " in_doubt" : "");
}

/// Gives up an attempt of an earlier lifetime. The line has the list that shows it, and the answer to its start order.
auto PoolCore::loseEarlier(Worker &worker, const AttemptKey &key, const WorkerPollReply &reply, MonoTime sentAt, MonoTime now) -> void
{
    loseAttempt(worker,
                key,
                "worker restarted " + describeAcceptance(worker.allocations.at(key), now) + " list_born=" + std::to_string(reply.born.value)
                    + " list_clock=" + std::to_string(reply.clock.value) + " list_asked_ms_ago=" + millisSince(sentAt, now));
}

/// Logs a restart with the attempts that the first list of the new lifetime does not name, and what is known of their starts: a start that was
/// accepted after the list had been asked for can be later than the list.
/// @param lateCalls what the restart has added to the worker's leases
auto PoolCore::logRestart(const Worker &worker, const WorkerPollReply &reply, MonoTime sentAt, MonoTime now, Millis lateCalls) -> void
{
    const auto fields = "worker=" + worker.info.id.str() + " born=" + std::to_string(reply.born.value) + " before=" + std::to_string(worker.info.born.value)
                        + " clock=" + std::to_string(reply.clock.value) + " asked_ms_ago=" + millisSince(sentAt, now)
                        + " running=" + std::to_string(reply.running.size()) + " ends=" + std::to_string(reply.completions.size())
                        + " late_calls_ms=" + std::to_string(lateCalls.count());
    const auto isNamed = [&](const AttemptKey &key) {
        return std::any_of(reply.running.begin(), reply.running.end(), [&](const RunningAttempt &it) { return AttemptKey{it.task, it.attempt} == key; });
    };
    auto unlisted = std::string{};
    auto n = std::size_t{0};
    for (const auto &[key, it] : worker.allocations) {
        if (isNamed(key) || n == maxAttemptsInLine) {
            continue;
        }
        ++n;
        unlisted += (unlisted.empty() ? " unlisted=" : ",") + attemptName(key.first, key.second) + "(tries=" + std::to_string(it.startTries) + " "
                    + describeAcceptance(it, now) + describeOrders(it, sentAt) + ")";
    }
    logDecision("worker_restarted", fields + unlisted);
}

/// @return whether the attempt may run, in the lifetime that made the list or a later one, although the list does not name it: its start order may have
/// been carried out after the list was made. List and answer arrive on different connections, so that either may overtake the other, and the clock in
/// the answer does not tell its lifetime.
auto PoolCore::mayFollowList(const Allocation &allocation, MonoTime sentAt) -> bool
{
    return allocation.orderOpen || (allocation.startOutcomeUnknown && mayStartLate(allocation, sentAt)) || allocation.acceptedAt >= sentAt;
}

/// @param sentAt when the order was issued; MonoTime{} if that was before the restart showed
/// @return whether an answer to an order may come from an earlier lifetime of the worker than its last list. The clock only adds doubt: two lifetimes
/// can have the same reading.
auto PoolCore::mayBeOfEarlierLifetime(const Worker &worker, const OrderAnswer &answer, MonoTime sentAt, MonoTime now) -> bool
{
    if (sentAt == MonoTime{}) {
        return true;
    }
    const auto ahead = answer.clock.value - worker.clock.value;
    return answer.clock.value != 0 && (ahead < -clockRounding.count() || ahead > mostClockAdvance(now - worker.listAskedAt));
}

/// Stops the released attempts of a worker that has restarted: the present lifetime would carry out a try of their start orders, although their
/// tasks may have been placed elsewhere.
/// @param askedAt when the list that shows the restart was asked for; it names what was carried out before
auto PoolCore::stopReleasedStarts(Worker &worker, MonoTime askedAt, MonoTime now) -> void
{
    for (const auto &[key, until] : std::exchange(worker.releasedStarts, {})) {
        if (until > askedAt && !worker.allocations.contains(key)) {
            auto &allocation = addForeign(worker, key, now);
            allocation.startArrivesUntil = until;
            requestStop(allocation, StopReason::NotRecorded);
        }
    }
}

/// Begins a new lifetime of a worker. Answers to start orders do not name the lifetime that gave them, so that an attempt belongs to the earlier
/// lifetime only when a list of the new one shows it, see resolveMissing().
auto PoolCore::applyRestart(Worker &worker, const WorkerPollReply &reply, MonoTime sentAt, MonoTime now) -> void
{
    worker.grantedUntil = {};
    const auto lateCalls = countLateCalls(worker, now);
    logRestart(worker, reply, sentAt, now, lateCalls);
    worker.info.born = reply.born;
    worker.processedCompletions = 0;
    worker.recordedCompletions = 0;
    worker.acknowledgedCompletions = 0;
    worker.loggedAcknowledgement = 0;
    worker.heldEnds.clear();
    stopReleasedStarts(worker, sentAt, now);
    for (auto &[key, it] : worker.allocations) {
        it.lifetimeInDoubt = true;
        // The new lifetime knows nothing of the stop, and would carry out a start order that arrives later.
        it.stopAnswered = false;
        it.stopSentAt = MonoTime{};
        it.uncountedStopLogged = false;
    }
}

}

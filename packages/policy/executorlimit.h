#pragma once

/// Adaptive concurrency limit: the number of requests that one instance keeps in flight at one executor.
///
/// @code
///   auto limit = Catkin::ExecutorLimit{};
///   Catkin::setLimitShare(limit, slots, share);          // whenever one of them changes
///   if (inFlight < Catkin::currentLimit(limit)) { ... }
///   Catkin::limitAfterAnswer(limit, options, wasFull, late, now);
///   Catkin::limitAfterRefusal(limit, options, now);
/// @endcode
/// The limit stays between 1 and the executor's slots. The instance may always use its own share, usually slots / fresh
/// instances. It borrows slots beyond the share by attempts: the limit grows by one slot per round of attempts that filled
/// it, and a refusal takes the borrowed slots back.

#include "policy/requesttypes.h"

#include <span>

namespace Catkin
{

struct ExecutorLimit
{
    int slots = 1;
    int share = 1; ///< own share of the slots; 0 when a division by demand gives all of them to other instances
    double value = 1; ///< the limit, between 1 and the slots; the fraction is rounded down
    MonoTime decreased; ///< time of the last decrease
    MonoTime growAfter; ///< the limit does not grow before this time
    Millis pause{0}; ///< between a refusal and the next increase; doubles with each refusal
};

/// Sets slots and share. If one of them changes, the limit becomes the share: a larger share is used at once, and borrowed
/// slots are given back at once, since the instance that owns them has arrived.
auto setLimitShare(ExecutorLimit &limit, int slots, int share) -> void;

/// @param id id of the executor
/// @param slots number of slots of the executor
/// @param self own id; empty when the peers' names are not known: the remainder of the division is then only borrowed
/// @param fresh ids of the fresh instances of the region, including @p self
/// @return own share of the slots in an equal division, at least 1. Instances that see the same peers divide the slots
///         exactly: the remainder goes to the instances with the highest rendezvous hashes for this executor.
auto equalShare(const ExecutorId &id, int slots, const InstanceId &self, std::span<const std::string> fresh) -> int;

/// @return the number of requests that may be in flight.
auto currentLimit(const ExecutorLimit &limit) -> int;

/// Updates the limit after a complete answer.
/// @param wasFull whether as many requests as the limit allows were in flight; a limit that is not filled does not grow
/// @param late whether the answer was late (see isLate()); the limit then decreases as after a refusal
auto limitAfterAnswer(ExecutorLimit &limit, const ExecutorLimitOptions &options, bool wasFull, bool late, MonoTime now) -> void;

/// Decreases the limit after the executor refused, failed or did not answer.
auto limitAfterRefusal(ExecutorLimit &limit, const ExecutorLimitOptions &options, MonoTime now) -> void;

/// @param elapsed time from sending to the answer
/// @param expected expected cost of the request
/// @return whether the answer counts as late (see ExecutorLimitOptions::lateFactor).
auto isLate(const ExecutorLimitOptions &options, Micros elapsed, Micros expected) -> bool;

}

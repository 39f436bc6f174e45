#pragma once

/// Adaptive number of requests that one instance keeps in flight at one executor.
///
/// The limit stays between 1 and the executor's slots. The own share (slots / fresh instances) is used without
/// asking; slots beyond it are borrowed by trying: one more per round of attempts, given back on a refusal.
/// @code
///   auto limit = Catkin::ExecutorLimit{};
///   Catkin::setLimitShare(limit, slots, share);          // whenever one of them changes
///   if (inFlight < Catkin::currentLimit(limit)) { ... }
///   Catkin::limitAfterAnswer(limit, options, wasFull, late, now);
///   Catkin::limitAfterRefusal(limit, options, now);
/// @endcode

#include "policy/requesttypes.h"

#include <span>

namespace Catkin
{

struct ExecutorLimit
{
    int slots = 1;
    int share = 1; ///< own part of the slots; 0 when it is divided by demand and all belong to others
    double value = 1; ///< between 1 and the slots; the whole part counts
    MonoTime decreased; ///< last decrease
    MonoTime growAfter; ///< no increase before
    Millis pause{0}; ///< between a refusal and the next increase; doubles with each refusal
};

/// Sets slots and share. A share that grows is used at once; one that shrinks takes borrowed slots back at once, since
/// their owner has arrived.
auto setLimitShare(ExecutorLimit &limit, int slots, int share) -> void;

/// @param id of the executor
/// @param self own id; empty when the peers' names are not known, which leaves the remainder to borrowing
/// @param fresh ids of the fresh instances of the region, including @p self
/// @return own part of the slots, at least 1. Instances that see the same peers divide the slots exactly: the remainder
///         of the division goes to the instances with the highest rendezvous hashes for this executor.
auto equalShare(const ExecutorId &id, int slots, const InstanceId &self, std::span<const std::string> fresh) -> int;

/// @return how many requests may be in flight.
auto currentLimit(const ExecutorLimit &limit) -> int;

/// @param wasFull whether the limit was used up when the attempt started or ended; an unused limit does not grow
/// @param late whether the answer took much longer than expected
auto limitAfterAnswer(ExecutorLimit &limit, const ExecutorLimitOptions &options, bool wasFull, bool late, MonoTime now) -> void;

/// The executor refused, failed or did not answer.
auto limitAfterRefusal(ExecutorLimit &limit, const ExecutorLimitOptions &options, MonoTime now) -> void;

/// @return whether an answer counts as late.
auto isLate(const ExecutorLimitOptions &options, Micros elapsed, Micros expected) -> bool;

}

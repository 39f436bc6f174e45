#pragma once

/// Decides when a request arrives whether it can be answered in time.
///
/// @code
///   if (auto refusal = Catkin::admit(options, input)) { ... }   // answer "not run"
///   entry.dropAt = Catkin::dropTime(input);                     // otherwise queue it; if it is still queued then, answer "not run"
/// @endcode

#include "policy/fairqueue.h"

#include <optional>

namespace Catkin
{

/// State on which the decision about one request depends.
struct AdmissionInput
{
    MonoTime now;
    MonoTime deadline;
    FairCallerState caller;
    Micros expectedWait{0};
    int queued = 0; ///< requests of all callers, queued or waiting for a retry
    int callerInProgress = 0; ///< the caller's requests of all kinds, queued or in flight
    int callersLimit = 0; ///< limit of callerInProgress; 0 for none
    bool executorUsable = true;
};

/// @return the time after which a queued request is dropped: the deadline less the expected cost. At most half of the time
///         until the deadline is subtracted, so that requests still run and correct an average cost that is far too high.
auto dropTime(const AdmissionInput &input) -> MonoTime;

/// @return why the request is refused, or nothing when it may be queued.
auto admit(const AdmissionOptions &options, const AdmissionInput &input) -> std::optional<RequestRefusal>;

/// @return @p wait, rounded up to whole milliseconds and limited to minRetryAfter … maxRetryAfter.
auto retryAfter(const AdmissionOptions &options, Micros wait) -> Millis;

}

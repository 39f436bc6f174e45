#pragma once

/// Decides at once whether a new request can be answered in time.
///
/// @code
///   if (auto refusal = Catkin::admit(options, input)) { ... }   // answer "not run"
///   entry.dropAt = Catkin::dropTime(input);                     // otherwise: still queued then means "not run"
/// @endcode

#include "policy/fairqueue.h"

#include <optional>

namespace Catkin
{

/// Everything that the decision about one request depends on.
struct AdmissionInput
{
    MonoTime now;
    MonoTime deadline;
    FairCallerState caller;
    Micros expectedWait{0};
    int queued = 0; ///< by all callers
    int callerInProgress = 0; ///< over all kinds, queued or in flight
    int callersLimit = 0; ///< 0 for none
    bool executorUsable = true;
};

/// @return the last moment at which starting the request still makes sense. The expected cost is taken off the
///         deadline, but never more than half of the time, so that an average that is far too high can be corrected.
auto dropTime(const AdmissionInput &input) -> MonoTime;

/// @return why the request is refused, or nothing when it may be queued.
auto admit(const AdmissionOptions &options, const AdmissionInput &input) -> std::optional<RequestRefusal>;

/// @return @p wait within the configured bounds, in whole milliseconds.
auto retryAfter(const AdmissionOptions &options, Micros wait) -> Millis;

}

#pragma once

/// Decides whether a job that is handed in can start while its result still has a value.
///
/// Load: more urgent work of its service arrives faster than it can start for tens of seconds, so that nothing of the job's priority starts. Bursts of
/// a few seconds, takeovers and outages of the store refuse nobody.
/// @code
///   auto ticket = admission.arrived(job, now);         // accepted, nothing of it has started
///   admission.left(ticket, true, now);                 // started
///   if (auto it = admission.refusal(job, now)) { retryAfter = Catkin::retrySeconds(it->untilInTime, random); }
/// @endcode
///
/// Not thread-safe. The cost of a call depends on the numbers of priorities and seconds, not of jobs.

#include "policy/pooljob.h"
#include "util/random.h"

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>

namespace Catkin
{

/// Jobs that compete for the same workers with the same priority.
struct AdmissionClass
{
    ServiceId service;
    int priority = 0;

    auto operator<=>(const AdmissionClass &other) const = default;
};

/// A job that JobAdmission has counted.
struct WaitingTicket
{
    AdmissionClass jobClass;
    std::int64_t second = 0; ///< of its arrival
    double work = 0.0; ///< core-seconds; an accelerator counts as several cores
    bool counts = true; ///< whether it is counted as waiting, and not only when it starts
};

struct AdmissionRefusal
{
    Micros wait{0}; ///< least time until the job could start
    Micros limit{0}; ///< a start after this gives a result without a value
    Micros untilInTime{0}; ///< until the work before it has drained to where the job would be in time
};

/// @return the core-seconds of a job by its estimates.
auto jobWork(const PoolJob &job) -> double;

/// @param untilInTime see AdmissionRefusal
/// @return 1 s to 30 s, drawn at random between the time and one and a half times it, so that callers do not return together.
auto retrySeconds(Micros untilInTime, Random &random) -> Seconds;

class JobAdmission
{
public:
    /// Counts an accepted job of which nothing has started.
    /// @param counts false for a job that was accepted at an unknown time
    /// @return nothing for a job that does not wait for capacity: without rules, scheduled, or running until it is cancelled.
    auto arrived(const PoolJob &job, bool counts, MonoTime now) -> std::optional<WaitingTicket>;
    /// Reports that a counted job waits no longer.
    /// @param started false: it was cancelled, dropped or cannot go on
    auto left(const WaitingTicket &ticket, bool started, MonoTime now) -> void;

    /// @param job with its queue's rules; its workspace has no guarantee
    /// @return why the job is refused, or nothing when a start in time is possible or not certainly impossible.
    auto refusal(const PoolJob &job, MonoTime now) -> std::optional<AdmissionRefusal>;

private:
    /// Seconds that are remembered. Work that has waited for longer is no longer counted, so that jobs which no worker can take do not count for ever.
    static constexpr auto memory = std::int64_t{64};

    struct Amount
    {
        double sum = 0.0;
        double squares = 0.0; ///< of the jobs' amounts, for the error of the sum
        int jobs = 0;

        auto operator+=(const Amount &other) -> Amount &;
    };
    struct SecondCounts
    {
        Amount waiting; ///< arrived in this second and has not started
        Amount started; ///< started in this second, whenever it arrived
        double gone = 0.0; ///< core-seconds that were cancelled or dropped in this second before their start
        double leastWaiting = 0.0; ///< least work that waited during this second, whenever it arrived
        int fewestWaiting = 0; ///< the same in jobs
    };
    struct ClassCounts
    {
        std::int64_t newest = 0; ///< second of the last entry
        double waiting = 0.0;
        int jobsWaiting = 0;
        std::array<SecondCounts, memory> seconds{};

        [[nodiscard]] auto at(std::int64_t second) -> SecondCounts &;
    };

    static auto advance(ClassCounts &counts, std::int64_t second) -> void;
    static auto noteLeast(ClassCounts &counts) -> void;
    auto isStandstill(const ServiceId &service, std::int64_t second) -> bool;
    auto isPassedOver(const AdmissionClass &jobClass, std::int64_t second) -> bool;

    std::map<AdmissionClass, ClassCounts> m_classes;
};

}

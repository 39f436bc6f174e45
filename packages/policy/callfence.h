#pragma once

/// The fencing tokens of one planner's calls to its workers. Has no network access, threads or clock of its own.
///
/// A call that was not answered may be carried out seconds later, also by a later lifetime of its worker, which has seen no token. The token of a
/// worker therefore rises once a start order to it was not answered: with the first call that reaches a lifetime after that, this lifetime refuses
/// all earlier orders, whatever has become of their attempts since.
///
/// @code
///   auto fence = Catkin::CallFence{epoch};
///   fence.recordStored(LogOffset{4'711});       // each record of this planner in the log of states
///   fence.startUnanswered(id);
///   request.token = fence.tokenFor(id);
/// @endcode
///
/// Tokens are offsets of the planner's own records: they rise with each record, and the epoch of a later planner, which is the offset of its claim,
/// is above all of them.
///
/// Pattern: a hundred calls a second, of which all but a few are answered; only workers with such a call have an entry.

#include "util/ids.h"
#include "util/units.h"

#include <cstdint>
#include <map>

namespace Catkin
{

class CallFence
{
public:
    /// @param epoch of the planner; the token of all calls until one is not answered
    explicit CallFence(std::int64_t epoch);

    /// Reports that a record of this planner is in the log of states.
    auto recordStored(LogOffset offset) -> void;
    /// Reports that a start order to the worker was not answered in time.
    auto startUnanswered(const WorkerId &id) -> void;
    /// @return the token for a call to the worker that is sent now.
    auto tokenFor(const WorkerId &id) -> std::int64_t;
    /// @return whether calls of this planner with a higher token than @p token may have reached the worker, so that a refusal tells nothing of
    /// another planner.
    [[nodiscard]] auto isOvertaken(const WorkerId &id, std::int64_t token) const -> bool;

private:
    struct Raised
    {
        std::int64_t token = 0;
        bool isDue = false; ///< a start order that carried this token, or a lower one, was not answered
    };

    std::int64_t m_epoch;
    std::int64_t m_latest; ///< highest token that can be used
    std::map<WorkerId, Raised> m_raised;
};

}

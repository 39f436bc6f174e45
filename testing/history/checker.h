#pragma once

/// Slow and obvious checks of a recorded history; each returns one line of text for each violation.
///
/// The checks share no code with the daemon, so a fault there cannot hide itself here.

#include "history/history.h"

#include <functional>
#include <string>
#include <vector>

namespace Catkin
{

using Violations = std::vector<std::string>;

struct HistoryBounds
{
    std::int64_t partialStartMs = 3000; ///< longest time that a part of a gang runs before the whole gang has run
    std::int64_t partialLossMs = 120000; ///< longest time that a part of a gang runs after a member was lost
    std::int64_t leavingGraceMs = 5000; ///< time after which a leaving server gets no new work
};

/// Decides whether an answer belongs to a payload.
using AnswerMatch = std::function<bool(const std::string &payload, const std::string &answer)>;

/// Rule 1: no key whose work must not run twice ran twice; for jobs, no member of one.
auto checkAtMostOnce(const History &history) -> Violations;

/// Rule 2: work runs only if an earlier call of its key had another result than "not run". A caller that was refused and
/// sends the key again later may see it run then, but not before.
auto checkNotRun(const History &history) -> Violations;

/// Rule 3: every answer belongs to its own payload.
auto checkAnswers(const History &history, const AnswerMatch &matches) -> Violations;

/// Rule 4: no part of a gang ran for longer than the bounds while another member neither ran nor had finished.
auto checkGangs(const History &history, const HistoryBounds &bounds) -> Violations;

/// Rule 5: no slot was leased twice at the same time.
auto checkSlots(const History &history) -> Violations;

/// Rule 6: the version that an observer sees never decreases.
auto checkVersions(const History &history) -> Violations;

/// Rule 7: a leaving server got no new work after its grace time.
auto checkLeaving(const History &history, const HistoryBounds &bounds) -> Violations;

/// Rule 8: no task of an attempt of a job starts while a task of an earlier attempt runs.
auto checkAttempts(const History &history) -> Violations;

/// @return the violations of all rules.
auto checkAll(const History &history, const HistoryBounds &bounds, const AnswerMatch &matches) -> Violations;

}

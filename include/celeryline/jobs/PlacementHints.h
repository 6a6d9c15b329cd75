/// @file
/// Uncommitted state of the leader that a plan takes into account.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/jobs/TaskFit.h"
#include "celeryline/jobs/TaskName.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace celeryline {

/// Uncommitted state of the leader that influences placement.
struct PlacementHints {
    /// Tasks whose run is so slow that a second one should run beside it.
    std::set<TaskName> speculativeTasks;
    /// Steady time of the last failure of a task, by task and runner.
    std::map<TaskName, FailureTimes> failedOn;
    Millis now; ///< Steady time.
    /// Runners whose machines are due for upkeep. A long-running task that starts there must be recalled
    /// soon.
    std::set<std::string> dueForUpkeep;
};

/// The tickets of the advice service.
struct AdviceCheck {
    /// Returns whether there is a ticket for any runner for a step.
    std::function<bool(const TaskName& step)> hasTicket;
    /// Returns whether the advice service approved a runner for a step.
    std::function<bool(const TaskName& step, const std::string& runner)> isAdvised;
};

} // namespace celeryline

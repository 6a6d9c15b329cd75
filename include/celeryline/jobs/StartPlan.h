/// @file
/// Scheduling of waiting tasks on runners.
#pragma once

#include "celeryline/jobs/CandidateIndex.h"
#include "celeryline/jobs/JobStore.h"
#include "celeryline/jobs/PlacementHints.h"

#include <string>
#include <vector>

namespace celeryline {

/// Lateness of a job relative to its objective.
enum class JobLateness : std::uint8_t {
    InTime, ///< Can meet its objective; always the case for a long-running job.
    Late, ///< Can't meet its objective any more.
    Expired ///< So late that its result has no value to the caller.
};

/// @param job an open job.
/// @param wallNow wall time.
/// @return its lateness.
JobLateness latenessOf(const JobState& job, Millis wallNow);

/// @param candidates runners that accept new tasks.
/// @param spec a step.
/// @param step its state.
/// @param service pool of the step's queue.
/// @return whether another task of the step could start now.
bool canPlace(const CandidateIndex& candidates, const StepSpec& spec, const StepState& step,
    const std::string& service);

/// Chooses starts for tasks that are ready. Long-running jobs come first, then jobs that can still meet their
/// objective, by priority and latest start. Late jobs get the remaining capacity, because their results are
/// worth little; the least late ones come first, because their results may still be of use. Only a bounded
/// number of unplaceable jobs per queue is examined, so that a backlog doesn't slow down the leader.
///
/// Placement is best fit, which keeps large gaps for large tasks. The tasks of a gang start together or not
/// at all. The tasks of a finite job share a data centre where capacity permits, so that the loss of one
/// delays few jobs. A step whose tasks should share a rack goes to the rack with the tightest fit. A runner
/// on which the task failed comes last, and is excluded for two seconds if the pool has another one. Second
/// runs of slow tasks are placed after everything else. No start brings a customer above its limit; jobs of
/// customers without room in it are skipped. Jobs of customers beyond their share of a pool come after all
/// others there, those of the customer with the lowest use in relation to its weight first; see
/// docs/design/fair-shares.md.
/// @param store jobs and configuration.
/// @param candidates runners that accept new tasks; the reservations of the starts are subtracted.
/// @param wallNow wall time.
/// @param hints uncommitted state that influences placement.
/// @param advice tickets for steps of queues that need advice; without it they don't start.
/// @return the starts.
///
/// Example: `for (const auto& start : planStarts(store, candidates, wallNow)) { propose(start); }`
std::vector<StartRun> planStarts(const JobStore& store, CandidateIndex& candidates, Millis wallNow,
    const PlacementHints& hints = {}, const AdviceCheck& advice = {});

} // namespace celeryline

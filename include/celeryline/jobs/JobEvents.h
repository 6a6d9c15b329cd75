/// @file
/// Log events about jobs and runs.
#pragma once

#include "celeryline/jobs/JobStore.h"
#include "celeryline/jobs/PlacementAdvisor.h"
#include "celeryline/jobs/WaitReport.h"
#include "celeryline/settings/EventLog.h"

#include <optional>
#include <string>
#include <vector>

namespace celeryline {

/// @param name name of the event.
/// @param run the run that it concerns.
/// @return an event with the fields that identify the run.
Event describeRun(const char* name, const RunName& run);

/// @param name name of the event.
/// @param step any task of the step that it concerns.
/// @return an event with the fields that identify the step.
Event describeStep(const char* name, const TaskName& step);

/// @param step any task of a step.
/// @param advice response of the advice service; nothing if the call failed.
/// @param duration time from the call to the response.
/// @return an event that describes the response.
Event describeAnswer(const TaskName& step, const std::optional<PlacementAdvice>& advice, Millis duration);

/// @param command a request of a caller or operator.
/// @return an event that describes the request.
Event describeCommand(const JobCommand& command);

/// @param wait a waiting job.
/// @return an event with its first waiting task and the number of runners per wait reason.
Event describeWait(const PoolWait& wait);

/// Logs the ends of runs and of the jobs that ended with them.
/// @param store state after the commands were applied.
/// @param commands committed commands.
/// @param runner runner that reported the ends; empty if the leases of the runs expired.
void logEnds(const JobStore& store, const std::vector<JobCommand>& commands, const std::string& runner);

} // namespace celeryline

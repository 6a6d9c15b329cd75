/// @file
/// Log lines about jobs and tasks.
#pragma once

#include "celeryline/jobs/JobStore.h"
#include "celeryline/jobs/WaitReport.h"
#include "celeryline/settings/EventLog.h"

#include <string>
#include <vector>

namespace celeryline {

/// @param name what happened.
/// @param run the run that it happened to.
/// @return an event with the run's name.
Event describeRun(const char* name, const RunName& run);

/// @param command a caller's or operator's request.
/// @return an event with what it asks for.
Event describeCommand(const JobCommand& command);

/// @param wait a job that waits.
/// @return an event with its first waiting task and the number of runners for each reason.
Event describeWait(const PoolWait& wait);

/// Logs runs that ended, and the jobs that ended with them.
/// @param store state after the commands.
/// @param commands committed commands.
/// @param runner runner that reported the ends; empty if its lease lapsed.
void logEnds(const JobStore& store, const std::vector<JobCommand>& commands, const std::string& runner);

} // namespace celeryline

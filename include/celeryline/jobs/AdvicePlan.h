/// @file
/// Chooses what the advice service is asked next.
#pragma once

#include "celeryline/jobs/AdviceCache.h"
#include "celeryline/jobs/CandidateIndex.h"
#include "celeryline/jobs/JobStore.h"

#include <optional>

namespace celeryline {

/// @param timing durations of a queue's advice service.
/// @param runners number of runners that a call names.
/// @return how long the service takes for the call; 0 if unknown.
Millis adviceDuration(const AdviceTiming& timing, std::size_t runners);

/// @param timing durations of a queue's advice service.
/// @param runners number of runners that a call names.
/// @param doublings how often earlier calls that timed out have doubled it: the service may be slow, and goes
/// on working at them.
/// @return the timeout of the call.
Millis adviceTimeout(const AdviceTiming& timing, std::size_t runners, std::uint32_t doublings);

/// Limit on the doublings of a timeout.
constexpr std::uint32_t maxTimeoutDoublings = 5;

/// The tickets count from the call, so a call must leave enough of their validity.
/// @param timing durations of a queue's advice service.
/// @return how many runners a call may name, at least 1.
std::size_t maxAdvisedRunners(const AdviceTiming& timing);

/// Chooses the next call of the advice service, which handles one call at a time.
///
/// Steps that could start now come first, in the order in which the plan starts them; then steps without
/// room, so that they hold tickets when room appears; then steps whose predecessors are running; and last
/// steps all of whose runners were refused long ago. A call names only as many runners as the step is likely
/// to need, because the service takes time for each of them.
/// @param store jobs and configuration.
/// @param candidates runners that accept new tasks.
/// @param cache earlier answers; steps about which there is nothing to ask are postponed in it.
/// @param wallNow wall time.
/// @param now steady time.
/// @return the call; nothing if there is nothing to ask now.
std::optional<AdviceCall> chooseAdviceCall(
    const JobStore& store, const CandidateIndex& candidates, AdviceCache& cache, Millis wallNow, Millis now);

} // namespace celeryline

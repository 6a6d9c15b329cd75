/// @file
/// Timing of the replacement of a lost voter.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/consensus/RaftOptions.h"

namespace celeryline {

/// Time that a learner needs to catch up and that the two configuration changes of a replacement need.
inline constexpr Millis catchUpAllowance { 1000 };

/// Validity of the announcement of a shutdown. A process that stops doesn't reply for longer by then; one
/// that goes on, or whose restart was not heard of, can be promoted again.
inline constexpr Millis leavingTimeout { 5000 };

/// The timeout is short because a lost voter that is still in the set uses up the tolerated losses. A voter
/// that was only cut off or frozen for longer becomes a learner and can be promoted again.
/// @param electionTimeout minimum election timeout.
/// @return time without contact after which the leader replaces a voter if a learner has caught up.
constexpr Millis voterReplacementTimeout(Millis electionTimeout) { return { 2 * electionTimeout.count }; }

/// @param electionTimeout minimum election timeout.
/// @return the maximum time until the voter set tolerates the next loss, from the loss of a voter or the
/// start of its successor, whichever is later. Includes the election of a new leader, because the lost voter
/// may have been the leader, and because a leader counts the time without contact from the start of its term.
inline Millis maxVoterReplacementTime(Millis electionTimeout)
{
    return maxElectionTime(electionTimeout) + voterReplacementTimeout(electionTimeout) + catchUpAllowance;
}

} // namespace celeryline

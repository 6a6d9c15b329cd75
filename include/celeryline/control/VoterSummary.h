/// @file
/// Numbers about the voter set, for metrics.
#pragma once

#include "celeryline/consensus/RaftCore.h"

#include <cstddef>
#include <cstdint>
#include <tuple>

namespace celeryline {

/// Numbers about the voter set and elections as one control process sees them.
struct VoterSummary {
    std::size_t voters = 0; ///< Voters of the newest configuration.
    std::size_t majority = 0; ///< Voters that a leader must reach.
    std::size_t reached = 0; ///< Voters that this leader reaches, including itself; 0 on other processes.
    std::size_t readyLearners = 0; ///< Learners that could replace a voter; 0 on other processes.
    Millis longestSilence; ///< Silence of the longest unreached voter; 0 on other processes.
    std::uint64_t electionRounds = 0; ///< Rounds of pre-votes and votes that this process has begun.
    std::uint64_t changes = 0; ///< Changes of the voter set that this process has seen.
};

inline bool operator==(const VoterSummary& a, const VoterSummary& b)
{
    return std::tie(a.voters, a.majority, a.reached, a.readyLearners, a.longestSilence, a.electionRounds,
               a.changes)
        == std::tie(
            b.voters, b.majority, b.reached, b.readyLearners, b.longestSilence, b.electionRounds, b.changes);
}
inline bool operator!=(const VoterSummary& a, const VoterSummary& b) { return !(a == b); }

/// @return the numbers that the replica knows; those that are counted over time are 0.
VoterSummary summarizeVoters(const RaftCore& core);

} // namespace celeryline

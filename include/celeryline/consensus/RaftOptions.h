/// @file
/// Options of RaftCore.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/consensus/RaftMessage.h"

#include <cstdint>
#include <string>
#include <vector>

namespace celeryline {

/// Prefix of the storage ids of instances without a disk, which get a new id on each start.
inline constexpr const char* memoryIdPrefix = "memory-";

/// @return whether a storage id belongs to a data directory; only such a replica can be a voter.
inline bool isDurableId(const std::string& storageId)
{
    return !storageId.empty() && storageId.rfind(memoryIdPrefix, 0) != 0;
}

/// @param electionTimeout minimum election timeout.
/// @return the maximum duration of an election in which one round of votes fails: a follower waits for up to
/// two minimum timeouts, and a candidate retries after at most one more.
constexpr Millis maxElectionTime(Millis electionTimeout) { return { 3 * electionTimeout.count }; }

/// Options of RaftCore.
struct RaftOptions {
    ReplicaId self;
    bool isDurable = true; ///< False on an instance without a disk, which is always a learner.
    std::vector<std::string> peers; ///< Names of all other instances.
    std::vector<std::string>
        voterNames; ///< Instances that the leader promotes to voters once they have caught up.
    /// Number of voters that the leader maintains, instead of voterNames. It promotes caught-up learners
    /// while there are fewer voters, and replaces lost voters; see VoterReplacement.h. 0 uses voterNames.
    std::size_t voterTarget = 0;
    Millis heartbeat { 50 };
    Millis electionTimeout {
        300
    }; ///< Minimum; each timeout is chosen randomly between one and two times this value.
    std::size_t maxBatchBytes = 1 << 20; ///< Size limit of the entries in one Append message.
    std::uint64_t maxInFlightEntries = 4096; ///< Limit of unacknowledged entries per instance.
    std::size_t snapshotChunkBytes = 256 << 10;
    std::uint64_t seed = 0; ///< Seed of the random election timeouts; must differ between instances.
};

} // namespace celeryline

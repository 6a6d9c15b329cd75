/// @file
/// Constants of one RaftCore.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/consensus/RaftMessage.h"

#include <cstdint>
#include <string>
#include <vector>

namespace celeryline {

/// Begins the storage ids of instances without a disk, which differ after each start.
inline constexpr const char* memoryIdPrefix = "memory-";

/// @return whether a storage id is that of a data folder; only such a replica can be a voter.
inline bool isDurableId(const std::string& storageId)
{
    return !storageId.empty() && storageId.rfind(memoryIdPrefix, 0) != 0;
}

/// @param electionTimeout minimum of the election timeouts.
/// @return how long an election takes at most, if one round of votes is lost: a follower waits for up to
/// twice the minimum, and a candidate for up to once more.
constexpr Millis longestElection(Millis electionTimeout) { return { 3 * electionTimeout.count }; }

/// Constants of one RaftCore.
struct RaftOptions {
    ReplicaId self;
    bool isDurable = true; ///< False on an instance without a disk, which can only be a learner.
    std::vector<std::string> peers; ///< Names of all other instances.
    std::vector<std::string> voterNames; ///< Instances that the leader makes voters once they caught up.
    /// Without voterNames: how many voters the leader keeps. It makes caught-up learners voters while there
    /// are fewer, and replaces voters that are gone for good. 0 uses voterNames.
    std::size_t voterTarget = 0;
    /// With voterTarget: a voter that was silent for so long is replaced, if a learner is there.
    Millis voterGoneAfter { 8000 };
    Millis heartbeat { 50 };
    Millis electionTimeout { 300 }; ///< Minimum; each timeout is drawn from one to two times this.
    std::size_t maxBatchBytes = 1 << 20; ///< Payload of one Append message.
    std::uint64_t maxInFlightEntries = 4096; ///< Sent to one instance without an answer.
    std::size_t snapshotChunkBytes = 256 << 10;
    std::uint64_t seed = 0; ///< Of the random election timeouts; different on each instance.
};

} // namespace celeryline

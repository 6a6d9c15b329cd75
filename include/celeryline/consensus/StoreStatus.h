/// @file
/// Status of the replicated log on one instance.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace celeryline {

/// Role of an instance in the replicated log.
enum class ConsensusRole { Learner, Follower, Candidate, Leader };

/// Replication progress of another instance as of its last message.
struct ReplicaProgress {
    std::string name;
    std::uint64_t matchIndex = 0;
    bool isVoter = false;
    bool isReachable = false;
};

/// Status of the replicated log on one instance.
struct StoreStatus {
    ConsensusRole role = ConsensusRole::Learner;
    std::string leader; ///< Empty if unknown.
    std::uint64_t term = 0;
    std::uint64_t lastIndex = 0;
    std::uint64_t commitIndex = 0;
    std::uint64_t appliedIndex = 0;
    std::uint64_t revision = 0;
    /// On the leader: holds a valid lease. Otherwise: had contact with the leader within the election
    /// timeout.
    bool hasQuorum = false;
    std::vector<std::string> voters;
    std::vector<ReplicaProgress> replicas; ///< Set on the leader only.
    std::string failure; ///< Why this instance no longer participates, e.g. a full disk; empty if it does.
};

} // namespace celeryline

/// @file
/// The state of the replicated log as one instance sees it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace celeryline {

/// An instance's part in the replicated log.
enum class ConsensusRole { Learner, Follower, Candidate, Leader };

/// How far another instance has got, as its last message told.
struct ReplicaProgress {
    std::string name;
    std::uint64_t matchIndex = 0;
    bool isVoter = false;
    bool isReachable = false;
};

/// The state of the replicated log as one instance sees it.
struct StoreStatus {
    ConsensusRole role = ConsensusRole::Learner;
    std::string leader; ///< Empty if unknown.
    std::uint64_t term = 0;
    std::uint64_t lastIndex = 0;
    std::uint64_t commitIndex = 0;
    std::uint64_t appliedIndex = 0;
    std::uint64_t revision = 0;
    bool hasQuorum = false; ///< Leader: heard from a majority. Others: heard from a leader in time.
    std::vector<std::string> voters;
    std::vector<ReplicaProgress> replicas; ///< Filled in by the leader only.
    std::string failure; ///< Why this instance takes no part any more, such as a full disk; empty if it does.
};

} // namespace celeryline

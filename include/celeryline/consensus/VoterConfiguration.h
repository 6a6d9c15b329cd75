/// @file
/// The set of voters of the replicated log.
#pragma once

#include "celeryline/consensus/RaftMessage.h"

#include <string>
#include <vector>

namespace celeryline {

/// The set of voters. Every other instance that the leader knows by name is a learner; learners are not
/// part of the configuration, because they count for nothing.
struct VoterConfiguration {
    std::vector<ReplicaId> voters;

    /// @return whether the replica is a voter.
    bool contains(const ReplicaId& replica) const;

    /// @return the voter with this name, or null.
    const ReplicaId* find(const std::string& name) const;

    /// @return how many voters make a majority.
    std::size_t majority() const { return voters.size() / 2 + 1; }
};

inline bool operator==(const VoterConfiguration& a, const VoterConfiguration& b)
{
    return a.voters == b.voters;
}

/// @return the bytes of a configuration, as in the payload of a LogEntry of kind Configuration.
std::string encodeConfiguration(const VoterConfiguration& configuration);

/// @return the configuration that encodeConfiguration() encoded.
/// @throws Error of kind Corrupt if the bytes are not a whole configuration.
VoterConfiguration decodeConfiguration(const std::string& bytes);

} // namespace celeryline

/// @file
/// The set of voters of the replicated log.
#pragma once

#include "celeryline/consensus/RaftMessage.h"

#include <string>
#include <vector>

namespace celeryline {

/// The set of voters. Every other instance known to the leader is a learner. Learners aren't part of the
/// configuration, because they don't count towards a majority.
struct VoterConfiguration {
    std::vector<ReplicaId> voters;

    bool contains(const ReplicaId& replica) const;

    /// @return the voter with this name; null if there is none.
    const ReplicaId* find(const std::string& name) const;

    /// @return the number of voters that form a majority.
    std::size_t majority() const { return voters.size() / 2 + 1; }
};

inline bool operator==(const VoterConfiguration& a, const VoterConfiguration& b)
{
    return a.voters == b.voters;
}
inline bool operator!=(const VoterConfiguration& a, const VoterConfiguration& b) { return !(a == b); }

/// @return the encoding of a configuration, used as payload of a LogEntry of kind Configuration.
std::string encodeConfiguration(const VoterConfiguration& configuration);

/// Decodes the output of encodeConfiguration().
/// @throws Error of kind Corrupt if the bytes are not a complete configuration.
VoterConfiguration decodeConfiguration(const std::string& bytes);

} // namespace celeryline

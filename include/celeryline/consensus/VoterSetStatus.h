/// @file
/// The voter set as its leader sees it, and why the leader changes it.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/consensus/RaftMessage.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace celeryline {

/// Why the leader changed the voter set.
enum class VoterChangeReason : std::uint8_t {
    None, ///< This replica has not changed the voter set.
    DiskReplaced, ///< A voter returned with a new storage id, so its votes are lost.
    VoterLost, ///< A learner was added in place of a voter without contact.
    VoterLeaving, ///< A learner was added in place of a voter that announced its shutdown.
    LostVoterRemoved, ///< There were too many voters, and one of them had no contact.
    TooManyVoters, ///< There were too many voters, all of them in contact.
    DataCentreShared, ///< A learner was added in a data centre with fewer voters than another one.
    TooFewVoters, ///< A learner caught up while there were too few voters.
    ConfiguredVoter, ///< A learner caught up that the settings name as voter.
    Requested ///< The caller of RaftCore::changeConfiguration() requested it.
};

/// @return the name of a reason for the log, in lower case with hyphens.
const char* toString(VoterChangeReason reason);

/// The newest change of the voter set by this replica as leader.
struct VoterChange {
    std::uint64_t index = 0; ///< Index of the entry; 0 if this replica has not changed the voter set.
    VoterChangeReason reason = VoterChangeReason::None;
    ReplicaId lostVoter; ///< The voter whose loss caused the change; empty for the other reasons.
    Millis silent; ///< How long the leader had no contact with the lost voter.
};

inline bool operator==(const VoterChange& a, const VoterChange& b)
{
    return std::tie(a.index, a.reason, a.lostVoter, a.silent)
        == std::tie(b.index, b.reason, b.lostVoter, b.silent);
}
inline bool operator!=(const VoterChange& a, const VoterChange& b) { return !(a == b); }

/// What keeps a leader from changing the voter set at the moment.
enum class VoterChangeBlocker : std::uint8_t {
    None,
    LeadershipTransfer,
    TermStartNotCommitted, ///< No entry of the leader's term is committed yet.
    ChangeInProgress ///< The previous change is not committed yet.
};

/// @return the name of a blocker for the log, in lower case with hyphens.
const char* toString(VoterChangeBlocker blocker);

/// A voter as its leader sees it.
struct VoterContact {
    ReplicaId voter;
    bool isReached = false; ///< Replied within the election timeout; always true for the leader itself.
    bool isLost = false; ///< The leader replaces the voter as soon as a learner is ready.
    Millis silent; ///< Time since the last contact.
};

inline bool operator==(const VoterContact& a, const VoterContact& b)
{
    return std::tie(a.voter, a.isReached, a.isLost, a.silent)
        == std::tie(b.voter, b.isReached, b.isLost, b.silent);
}
inline bool operator!=(const VoterContact& a, const VoterContact& b) { return !(a == b); }

/// Whether a learner could become a voter, and otherwise why not.
enum class LearnerReadiness : std::uint8_t { Ready, NotInContact, NoDurableStorage, Leaving, LacksEntries };

/// @return the name of a readiness for the log, in lower case with hyphens.
const char* toString(LearnerReadiness readiness);

/// A learner as the leader sees it.
struct LearnerProgress {
    ReplicaId learner; ///< The storage id is empty until the first reply.
    LearnerReadiness readiness = LearnerReadiness::NotInContact;
    std::uint64_t missingEntries = 0; ///< Entries of the leader's log that the learner hasn't confirmed.
};

inline bool operator==(const LearnerProgress& a, const LearnerProgress& b)
{
    return std::tie(a.learner, a.readiness, a.missingEntries)
        == std::tie(b.learner, b.readiness, b.missingEntries);
}
inline bool operator!=(const LearnerProgress& a, const LearnerProgress& b) { return !(a == b); }

/// The voter set as its leader sees it.
struct VoterSetStatus {
    std::uint64_t term = 0;
    std::vector<VoterContact> voters; ///< Includes the leader.
    std::vector<LearnerProgress> learners;
    VoterChangeBlocker blocker = VoterChangeBlocker::None;
};

inline bool operator==(const VoterSetStatus& a, const VoterSetStatus& b)
{
    return std::tie(a.term, a.voters, a.learners, a.blocker)
        == std::tie(b.term, b.voters, b.learners, b.blocker);
}
inline bool operator!=(const VoterSetStatus& a, const VoterSetStatus& b) { return !(a == b); }

/// @return the number of voters that the leader reaches, including itself.
std::size_t reachedVoters(const VoterSetStatus& status);

/// @return the number of learners that could become voters.
std::size_t readyLearners(const VoterSetStatus& status);

/// @return the unreached voter with the longest silence; null if the leader reaches all voters.
const VoterContact* longestUnreached(const VoterSetStatus& status);

/// @return why no learner takes the place of the unreached voters, in lower case with hyphens: what blocks
/// changes, that no voter counts as lost yet, or what the learners lack. "due" if the next heartbeat replaces
/// the voter.
std::string replacementObstacle(const VoterSetStatus& status);

} // namespace celeryline

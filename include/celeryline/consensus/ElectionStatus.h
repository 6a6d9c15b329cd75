/// @file
/// An election as its candidate sees it, and why a replica refuses its vote.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/consensus/RaftMessage.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace celeryline {

/// A voter's reply to a candidate.
enum class VoteAnswer : std::uint8_t {
    None, ///< No reply in this round or the previous one.
    Granted,
    RefusedHigherTerm, ///< The voter is in a higher term than the candidate.
    Refused ///< The voter has contact with a leader, a newer log or has voted for another candidate.
};

/// @return the name of an answer for the log, in lower case with hyphens.
const char* toString(VoteAnswer answer);

/// The newest answer of one voter.
struct VoterAnswer {
    ReplicaId voter;
    VoteAnswer answer = VoteAnswer::None;
};

inline bool operator==(const VoterAnswer& a, const VoterAnswer& b)
{
    return std::tie(a.voter, a.answer) == std::tie(b.voter, b.answer);
}
inline bool operator!=(const VoterAnswer& a, const VoterAnswer& b) { return !(a == b); }

/// An election that has not ended, as its candidate sees it.
struct ElectionStatus {
    std::uint64_t term = 0; ///< Term of the newest round.
    bool isPreVote = false; ///< Whether the newest round asks for pre-votes.
    std::uint64_t rounds = 0; ///< Rounds of pre-votes and votes since there was a leader.
    Millis elapsed; ///< Time since the first round.
    std::vector<VoterAnswer> answers; ///< One for each voter, including the candidate.
};

inline bool operator==(const ElectionStatus& a, const ElectionStatus& b)
{
    return std::tie(a.term, a.isPreVote, a.rounds, a.elapsed, a.answers)
        == std::tie(b.term, b.isPreVote, b.rounds, b.elapsed, b.answers);
}
inline bool operator!=(const ElectionStatus& a, const ElectionStatus& b) { return !(a == b); }

/// Why a replica refused or ignored a request for its vote or pre-vote.
enum class VoteRefusalReason : std::uint8_t {
    None,
    OtherStorageId, ///< The request is for a replica with another storage id at this address.
    EmptyLog, ///< This replica has no log, or no disk.
    OldTerm, ///< This replica's term is higher, or not lower for a pre-vote.
    LeaderContact, ///< This replica has contact with a leader.
    VotedForOther, ///< This replica has voted for another candidate in this term.
    NewerLog ///< This replica's log is more up to date than the candidate's.
};

/// @return the name of a reason for the log, in lower case with hyphens.
const char* toString(VoteRefusalReason reason);

/// The newest refusal of a vote or pre-vote by this replica.
struct VoteRefusal {
    std::uint64_t count = 0; ///< Refusals by this replica so far; 0 if there was none.
    ReplicaId candidate;
    std::uint64_t term = 0; ///< Term that the candidate requested.
    bool isPreVote = false;
    VoteRefusalReason reason = VoteRefusalReason::None;
};

inline bool operator==(const VoteRefusal& a, const VoteRefusal& b)
{
    return std::tie(a.count, a.candidate, a.term, a.isPreVote, a.reason)
        == std::tie(b.count, b.candidate, b.term, b.isPreVote, b.reason);
}
inline bool operator!=(const VoteRefusal& a, const VoteRefusal& b) { return !(a == b); }

namespace detail {

/// One round of pre-votes or votes.
struct ElectionRound {
    std::uint64_t term = 0;
    bool isPreVote = false;
    std::map<std::string, VoteAnswer> answers; ///< By name of the voter.
};

/// The rounds of an election. Since a round may just have begun, the previous one is kept, too.
struct ElectionRecord {
    Millis start; ///< Start of the first round.
    std::uint64_t rounds = 0; ///< 0 if there is no election.
    ElectionRound current;
    ElectionRound previous;
};

/// Begins a round, and the election if it is the first one.
/// @param term term that the candidate requests.
void beginRound(ElectionRecord& record, Millis now, std::uint64_t term, bool isPreVote);

/// @return a voter's answer in the current round; if there is none, its answer in the previous round,
/// provided that this was a round of the same kind.
VoteAnswer answerOf(const ElectionRecord& record, const std::string& voter);

} // namespace detail

} // namespace celeryline

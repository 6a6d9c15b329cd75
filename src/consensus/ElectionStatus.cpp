#include "celeryline/consensus/ElectionStatus.h"

#include <utility>

namespace celeryline {

const char* toString(VoteAnswer answer)
{
    switch (answer) {
    case VoteAnswer::Granted:
        return "granted";
    case VoteAnswer::RefusedHigherTerm:
        return "higher-term";
    case VoteAnswer::Refused:
        return "leader-contact-newer-log-or-other-vote";
    case VoteAnswer::None:
        break;
    }
    return "no-answer";
}

const char* toString(VoteRefusalReason reason)
{
    switch (reason) {
    case VoteRefusalReason::OtherStorageId:
        return "other-storage-id";
    case VoteRefusalReason::EmptyLog:
        return "empty-log";
    case VoteRefusalReason::OldTerm:
        return "old-term";
    case VoteRefusalReason::LeaderContact:
        return "leader-contact";
    case VoteRefusalReason::VotedForOther:
        return "voted-for-other";
    case VoteRefusalReason::NewerLog:
        return "newer-log";
    case VoteRefusalReason::None:
        break;
    }
    return "";
}

namespace detail {

void beginRound(ElectionRecord& record, Millis now, std::uint64_t term, bool isPreVote)
{
    if (record.rounds++ == 0)
        record.start = now;
    record.previous = std::exchange(record.current, ElectionRound { term, isPreVote, {} });
}

VoteAnswer answerOf(const ElectionRecord& record, const std::string& voter)
{
    auto current = record.current.answers.find(voter);
    if (current != record.current.answers.end())
        return current->second;
    auto previous = record.previous.answers.find(voter);
    bool isSameKind = record.previous.isPreVote == record.current.isPreVote;
    return isSameKind && previous != record.previous.answers.end() ? previous->second : VoteAnswer::None;
}

} // namespace detail

} // namespace celeryline

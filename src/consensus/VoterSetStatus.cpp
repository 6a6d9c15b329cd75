#include "celeryline/consensus/VoterSetStatus.h"

#include <algorithm>

namespace celeryline {

const char* toString(VoterChangeReason reason)
{
    switch (reason) {
    case VoterChangeReason::DiskReplaced:
        return "disk-replaced";
    case VoterChangeReason::VoterLost:
        return "voter-lost";
    case VoterChangeReason::VoterLeaving:
        return "voter-leaving";
    case VoterChangeReason::LostVoterRemoved:
        return "lost-voter-removed";
    case VoterChangeReason::TooManyVoters:
        return "too-many-voters";
    case VoterChangeReason::DataCentreShared:
        return "data-centre-shared";
    case VoterChangeReason::TooFewVoters:
        return "too-few-voters";
    case VoterChangeReason::ConfiguredVoter:
        return "configured-voter";
    case VoterChangeReason::Requested:
        return "requested";
    case VoterChangeReason::None:
        break;
    }
    return "";
}

const char* toString(VoterChangeBlocker blocker)
{
    switch (blocker) {
    case VoterChangeBlocker::LeadershipTransfer:
        return "leadership-transfer";
    case VoterChangeBlocker::TermStartNotCommitted:
        return "term-start-not-committed";
    case VoterChangeBlocker::ChangeInProgress:
        return "change-in-progress";
    case VoterChangeBlocker::None:
        break;
    }
    return "";
}

const char* toString(LearnerReadiness readiness)
{
    switch (readiness) {
    case LearnerReadiness::NotInContact:
        return "not-in-contact";
    case LearnerReadiness::NoDurableStorage:
        return "no-durable-storage";
    case LearnerReadiness::Leaving:
        return "leaving";
    case LearnerReadiness::LacksEntries:
        return "lacks-entries";
    case LearnerReadiness::Ready:
        break;
    }
    return "ready";
}

std::size_t reachedVoters(const VoterSetStatus& status)
{
    return static_cast<std::size_t>(std::count_if(
        status.voters.begin(), status.voters.end(), [](const VoterContact& v) { return v.isReached; }));
}

std::size_t readyLearners(const VoterSetStatus& status)
{
    return static_cast<std::size_t>(std::count_if(status.learners.begin(), status.learners.end(),
        [](const LearnerProgress& l) { return l.readiness == LearnerReadiness::Ready; }));
}

const VoterContact* longestUnreached(const VoterSetStatus& status)
{
    const VoterContact* longest = nullptr;
    for (const auto& contact : status.voters) {
        if (!contact.isReached && (longest == nullptr || contact.silent > longest->silent))
            longest = &contact;
    }
    return longest;
}

std::string replacementObstacle(const VoterSetStatus& status)
{
    if (status.blocker != VoterChangeBlocker::None)
        return toString(status.blocker);
    auto isLost = [](const VoterContact& contact) { return contact.isLost; };
    if (std::none_of(status.voters.begin(), status.voters.end(), isLost))
        return "not-lost-long-enough";
    if (status.learners.empty())
        return "no-learner-known";
    return readyLearners(status) == 0 ? "no-learner-ready" : "due";
}

} // namespace celeryline

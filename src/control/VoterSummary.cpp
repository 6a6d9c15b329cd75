#include "celeryline/control/VoterSummary.h"

namespace celeryline {

VoterSummary summarizeVoters(const RaftCore& core)
{
    VoterSummary summary;
    const auto& configuration = core.log().configuration();
    summary.voters = configuration.voters.size();
    summary.majority = configuration.voters.empty() ? 0 : configuration.majority();
    auto status = core.voterSetStatus();
    if (!status)
        return summary;
    summary.reached = reachedVoters(*status);
    summary.readyLearners = readyLearners(*status);
    if (const auto* unreached = longestUnreached(*status))
        summary.longestSilence = unreached->silent;
    return summary;
}

} // namespace celeryline

#include "celeryline/control/ElectionLog.h"

#include "celeryline/control/ReplicaNames.h"

#include <utility>

namespace celeryline {
namespace {

/// Elections that end sooner are normal.
constexpr Millis minStalledTime { 1000 };
constexpr Millis stalledLineInterval { 2000 };
constexpr Millis refusalLineInterval { 2000 };

const char* kindOf(bool isPreVote) { return isPreVote ? "pre-vote" : "vote"; }

/// @return the voters that refused, with what the candidate knows about the reason.
std::string describeRefused(const std::vector<VoterAnswer>& answers)
{
    std::vector<std::string> texts;
    for (const auto& answer : answers) {
        if (answer.answer == VoteAnswer::Refused || answer.answer == VoteAnswer::RefusedHigherTerm)
            texts.push_back(describe(answer.voter) + ":" + toString(answer.answer));
    }
    return joinBounded(texts);
}

std::string describeWith(const std::vector<VoterAnswer>& answers, VoteAnswer wanted)
{
    std::vector<std::string> texts;
    for (const auto& answer : answers) {
        if (answer.answer == wanted)
            texts.push_back(describe(answer.voter));
    }
    return joinBounded(texts);
}

} // namespace

std::vector<Event> ElectionLog::observe(const RaftCore& core, Millis now)
{
    countRounds(core);
    observeElection(core, now);
    observeLearner(core, now);
    observeRefusals(core, now);
    return std::exchange(m_events, {});
}

void ElectionLog::countRounds(const RaftCore& core)
{
    if (core.electionRounds() < m_seenRounds)
        m_seenRounds = 0; // The replica was opened again.
    m_roundCount += core.electionRounds() - m_seenRounds;
    m_seenRounds = core.electionRounds();
}

void ElectionLog::observeElection(const RaftCore& core, Millis now)
{
    if (now < m_nextStalledLine)
        return;
    auto status = core.electionStatus();
    if (!status || status->elapsed < minStalledTime)
        return;
    m_nextStalledLine = now + stalledLineInterval;
    m_events.push_back(Event("election-stalled")
                           .with("term", status->term)
                           .with("kind", kindOf(status->isPreVote))
                           .with("rounds", status->rounds)
                           .with("elapsedMs", status->elapsed)
                           .with("voters", status->answers.size())
                           .with("majority", core.log().configuration().majority())
                           .with("granted", describeWith(status->answers, VoteAnswer::Granted))
                           .with("missing", describeWith(status->answers, VoteAnswer::None))
                           .with("refused", describeRefused(status->answers))
                           .with("lastIndex", core.log().lastIndex())
                           .with("lastTerm", core.log().lastTerm()));
}

void ElectionLog::observeLearner(const RaftCore& core, Millis now)
{
    if (!core.leader().empty() || core.isVoter()) {
        m_nextWaitingLine.reset();
        return;
    }
    if (!m_nextWaitingLine)
        m_nextWaitingLine = now + minStalledTime;
    if (now < *m_nextWaitingLine)
        return;
    m_nextWaitingLine = now + stalledLineInterval;
    const auto& configuration = core.log().configuration();
    m_events.push_back(Event("no-leader-to-follow")
                           .with("term", core.term())
                           .with("voters", configuration.voters.size())
                           .with("voterNames", voterNames(configuration))
                           .with("lastIndex", core.log().lastIndex()));
}

void ElectionLog::observeRefusals(const RaftCore& core, Millis now)
{
    const auto& refusal = core.lastVoteRefusal();
    if (refusal.count < m_loggedRefusals)
        m_loggedRefusals = 0; // The replica was opened again.
    if (refusal.count == m_loggedRefusals || now < m_nextRefusalLine)
        return;
    m_nextRefusalLine = now + refusalLineInterval;
    m_events.push_back(Event("vote-refused")
                           .with("term", core.term())
                           .with("kind", kindOf(refusal.isPreVote))
                           .with("candidate", describe(refusal.candidate))
                           .with("candidateTerm", refusal.term)
                           .with("reason", toString(refusal.reason))
                           .with("refusals", refusal.count - m_loggedRefusals)
                           .with("leader", core.leader())
                           .with("lastIndex", core.log().lastIndex())
                           .with("lastTerm", core.log().lastTerm()));
    m_loggedRefusals = refusal.count;
}

} // namespace celeryline

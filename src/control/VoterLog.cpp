#include "celeryline/control/VoterLog.h"

#include "celeryline/control/ReplicaNames.h"

#include <utility>

namespace celeryline {
namespace {

constexpr Millis statusInterval { 100 };
/// Bounds the lines about a voter whose link comes and goes.
constexpr Millis minContactLineInterval { 1000 };
/// Under load, a learner may be a few entries short of ready again and again.
constexpr Millis minLearnerLineInterval { 5000 };
constexpr Millis replacementLineInterval { 3000 };
/// An ordinary replacement is over by then; see VoterReplacement.h.
constexpr Millis minSilenceForReplacementLine { 1500 };

std::string describeContacts(const std::vector<VoterContact>& voters, Millis age, bool onlyUnreached)
{
    std::vector<std::string> texts;
    for (const auto& contact : voters) {
        if (!onlyUnreached || !contact.isReached)
            texts.push_back(contact.voter.name + ":" + std::to_string((contact.silent + age).count));
    }
    return joinBounded(texts);
}

std::string describeLearners(const std::vector<LearnerProgress>& learners)
{
    std::vector<std::string> texts;
    for (const auto& learner : learners) {
        auto text = learner.learner.name + ":" + toString(learner.readiness);
        if (learner.readiness == LearnerReadiness::LacksEntries)
            text += "=" + std::to_string(learner.missingEntries);
        texts.push_back(std::move(text));
    }
    return joinBounded(texts);
}

} // namespace

std::vector<Event> VoterLog::observe(const RaftCore& core, Millis now)
{
    observeConfiguration(core);
    observeOwnVote(core, now);
    observeLeadership(core, now);
    return std::exchange(m_events, {});
}

void VoterLog::observeConfiguration(const RaftCore& core)
{
    const auto& newest = core.log().configuration();
    bool isCommitted = core.commitIndex() >= core.log().configurationIndex();
    bool isNewlyCommitted = isCommitted && newest != m_committed;
    bool isNewlyAppended = newest != m_appended;
    if (!isNewlyAppended && !isNewlyCommitted)
        return;
    if (isNewlyAppended)
        ++m_changeCount;
    auto from = std::exchange(m_appended, newest);
    if (isNewlyCommitted)
        from = std::exchange(m_committed, newest);
    logChange(core, from, isCommitted);
}

void VoterLog::logChange(const RaftCore& core, const VoterConfiguration& from, bool isCommitted)
{
    const auto& to = core.log().configuration();
    auto index = core.log().configurationIndex();
    Event event("voters-changed");
    event.with("term", core.term())
        .with("index", index)
        .with("isCommitted", isCommitted)
        .with("from", voterNames(from))
        .with("to", voterNames(to))
        .with("added", votersMissingIn(from, to))
        .with("removed", votersMissingIn(to, from))
        .with("isVoter", core.isVoter());
    const auto& change = core.lastVoterChange();
    if (core.role() == ConsensusRole::Leader && change.index == index) {
        event.with("reason", toString(change.reason))
            .with("lostVoter", describe(change.lostVoter))
            .with("silentMs", change.silent);
    }
    m_events.push_back(std::move(event));
}

void VoterLog::observeOwnVote(const RaftCore& core, Millis now)
{
    bool wasVoter = m_isVoter.value_or(core.isVoter());
    m_isVoter = core.isVoter();
    if (core.isVoter() != wasVoter) {
        m_events.push_back(Event(core.isVoter() ? "became-voter" : "no-longer-voter")
                               .with("term", core.term())
                               .with("leader", core.leader())
                               .with("lastIndex", core.log().lastIndex()));
    }
    bool wasCaughtUp = m_isCaughtUp;
    m_isCaughtUp = core.role() == ConsensusRole::Learner && core.hasLeaderCommits();
    if (!m_isCaughtUp || wasCaughtUp || now < m_nextCaughtUpLine)
        return;
    m_nextCaughtUpLine = now + minLearnerLineInterval;
    m_events.push_back(Event("caught-up")
                           .with("term", core.term())
                           .with("leader", core.leader())
                           .with("lastIndex", core.log().lastIndex()));
}

void VoterLog::observeLeadership(const RaftCore& core, Millis now)
{
    bool isSameTerm = m_status && core.term() == m_status->term;
    if (m_status && (core.role() != ConsensusRole::Leader || !isSameTerm)) {
        logLeadershipEnd(core, now);
        m_status.reset();
        m_voters.clear();
        m_learners.clear();
    }
    if (core.role() != ConsensusRole::Leader || (m_status && now < m_statusTime + statusInterval))
        return;
    m_status = core.voterSetStatus();
    m_statusTime = now;
    for (const auto& contact : m_status->voters)
        observeVoter(contact, m_status->term, now);
    for (const auto& learner : m_status->learners)
        observeLearner(learner, m_status->term, now);
    observeReplacement(*m_status, now);
}

void VoterLog::logLeadershipEnd(const RaftCore& core, Millis now)
{
    auto age = now - m_statusTime;
    m_events.push_back(Event("leadership-lost")
                           .with("term", m_status->term)
                           .with("newTerm", core.term())
                           .with("reached", reachedVoters(*m_status))
                           .with("majority", m_status->voters.size() / 2 + 1)
                           .with("silentMs", describeContacts(m_status->voters, age, false)));
}

void VoterLog::observeVoter(const VoterContact& contact, std::uint64_t term, Millis now)
{
    if (!contact.isReached && contact.silent < m_electionTimeout)
        return; // At the beginning of a term, no voter has replied yet.
    auto& logged = m_voters.try_emplace(contact.voter.name, LoggedState { true, {} }).first->second;
    if (contact.isReached == logged.isGood || now < logged.loggedAt + minContactLineInterval)
        return;
    logged = { contact.isReached, now };
    m_events.push_back(Event(contact.isReached ? "voter-reachable" : "voter-unreachable")
                           .with("term", term)
                           .with("voter", describe(contact.voter))
                           .with("silentMs", contact.silent));
}

void VoterLog::observeLearner(const LearnerProgress& learner, std::uint64_t term, Millis now)
{
    bool isReady = learner.readiness == LearnerReadiness::Ready;
    auto& logged = m_learners.try_emplace(learner.learner.name).first->second;
    bool wasLogged = logged.loggedAt != Millis {};
    if (isReady == logged.isGood || (wasLogged && now < logged.loggedAt + minLearnerLineInterval))
        return;
    logged = { isReady, now };
    m_events.push_back(Event(isReady ? "learner-ready" : "learner-not-ready")
                           .with("term", term)
                           .with("learner", describe(learner.learner))
                           .with("state", toString(learner.readiness))
                           .with("missingEntries", learner.missingEntries));
}

void VoterLog::observeReplacement(const VoterSetStatus& status, Millis now)
{
    const auto* unreached = longestUnreached(status);
    if (unreached == nullptr || unreached->silent < minSilenceForReplacementLine
        || now < m_nextReplacementLine)
        return;
    m_nextReplacementLine = now + replacementLineInterval;
    m_events.push_back(Event("voter-not-replaced")
                           .with("term", status.term)
                           .with("voter", describe(unreached->voter))
                           .with("silentMs", unreached->silent)
                           .with("reason", replacementObstacle(status))
                           .with("unreached", describeContacts(status.voters, {}, true))
                           .with("learners", describeLearners(status.learners))
                           .with("reached", reachedVoters(status))
                           .with("majority", status.voters.size() / 2 + 1));
}

} // namespace celeryline

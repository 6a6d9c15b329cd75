// JobMaster: leases of silent runners, which outlive the leaders that granted them.
#include "celeryline/jobs/JobEvents.h"
#include "celeryline/jobs/JobMaster.h"

#include <algorithm>

namespace celeryline {
namespace {

/// A silence is noted again when this much of its lease has passed, because a replica that restarts counts
/// from the newest note.
constexpr Millis silenceNoteStep { 1000 };

} // namespace

void JobMaster::onCommitted(const JobCommand& command)
{
    if (!m_store.configuration().customers.empty())
        m_admission.durations().onCommitted(command, m_store, m_clock().steady);
    const auto* end = std::get_if<EndRun>(&command);
    if (end != nullptr && end->outcome == RunOutcome::Failed)
        avoidFailedRunner(*end);
    if (const auto* silence = std::get_if<NoteSilence>(&command))
        m_silenceAppliedAt[silence->incarnation] = m_clock().steady;
    if (const auto* contact = std::get_if<NoteContact>(&command))
        m_silenceAppliedAt.erase(contact->incarnation);
    if (m_silenceAppliedAt.size() <= m_store.allocations().size())
        return;
    for (auto it = m_silenceAppliedAt.begin(); it != m_silenceAppliedAt.end();)
        it = m_store.findAllocation(it->first) == nullptr ? m_silenceAppliedAt.erase(it) : std::next(it);
}

void JobMaster::onSnapshot()
{
    m_snapshotAppliedAt = m_clock().steady;
    m_silenceAppliedAt.clear();
    m_cancelledIdHistory.clear();
    m_hints.failedOn.clear();
    m_admission.durations().onSnapshot();
}

bool JobMaster::isUnheard(const RunnerIncarnation& incarnation) const
{
    const auto* state = m_runners.find(incarnation);
    if (state == nullptr)
        return m_clock().steady >= m_runners.resetAt() + m_options.firstReportTimeout + m_lag;
    bool isGone = state->hasLeft && state->lastReportAt <= state->leftAt;
    return isGone || isSilent(*state);
}

bool JobMaster::mustNoteSilence(
    const RunnerIncarnation& incarnation, const RunnerAllocation& allocation, Millis leaseLeft) const
{
    if (leaseLeft <= Millis {} || !isUnheard(incarnation))
        return false;
    return !allocation.silentLeaseLeft || leaseLeft + silenceNoteStep <= *allocation.silentLeaseLeft;
}

void JobMaster::noteSilences()
{
    if (!m_pendingSilences.empty())
        return;
    std::vector<JobCommand> commands;
    auto now = m_clock().steady;
    for (const auto& [incarnation, allocation] : m_store.allocations()) {
        auto leaseLeft = leaseExpiry(incarnation, allocation) - now;
        if (!mustNoteSilence(incarnation, allocation, leaseLeft))
            continue;
        commands.push_back(NoteSilence { incarnation, leaseLeft });
        m_pendingSilences.insert(incarnation);
    }
    if (commands.empty())
        return;
    m_log.propose(commands, [this, term = m_log.term()](bool) {
        if (term == m_log.term())
            m_pendingSilences.clear();
    });
}

Millis JobMaster::leaseExpiry(const RunnerIncarnation& incarnation, const RunnerAllocation& allocation) const
{
    auto expiry = m_runners.leaseExpiry(incarnation);
    // A report in this term counts although its NoteContact may not be committed yet.
    if (!allocation.silentLeaseLeft || m_runners.find(incarnation) != nullptr)
        return expiry;
    auto applied = m_silenceAppliedAt.find(incarnation);
    auto silentSince = applied == m_silenceAppliedAt.end() ? m_snapshotAppliedAt : applied->second;
    return std::min(expiry, silentSince + *allocation.silentLeaseLeft);
}

void JobMaster::endExpiredRuns()
{
    std::vector<JobCommand> commands;
    auto now = m_clock().steady;
    for (const auto& [incarnation, allocation] : m_store.allocations()) {
        if (now < leaseExpiry(incarnation, allocation))
            continue;
        for (const auto& run : allocation.runs) {
            commands.push_back(EndRun { run, RunOutcome::Lapsed, "" });
            // The runner may report again before the commit and must not be ordered to start the run.
            m_expiring.insert(run);
        }
    }
    if (commands.empty())
        return;
    m_isHousekeeping = true;
    m_log.propose(commands, [this, commands](bool isCommitted) {
        m_expiring.clear();
        if (isCommitted)
            logEnds(m_store, commands, "");
        m_isHousekeeping = false;
        m_mustPlan = true;
    });
}

} // namespace celeryline

#include "celeryline/jobs/RunnerTrust.h"

#include "celeryline/settings/EventLog.h"

#include <algorithm>

namespace celeryline {
namespace {

constexpr std::size_t maxAttempts = 20;
/// Older results say nothing about a runner's current health.
constexpr Millis recordRetention { 60000 };

/// Faults of runners here last seconds, and one cause may affect many runners of a pool.
HealthSettings settings()
{
    HealthSettings settings;
    settings.quarantine = { 2500 };
    // Gangs and tasks that need a whole runner can't start on probation, so successes alone might never end
    // it.
    settings.longestProbation = { 2500 };
    settings.maxQuarantinedPercent = 40;
    return settings;
}

const char* actionName(HealthAction action)
{
    switch (action) {
    case HealthAction::Keep:
        return "keep";
    case HealthAction::Quarantine:
        return "quarantine";
    case HealthAction::StartProbation:
        return "probation";
    case HealthAction::Release:
        return "release";
    }
    return "";
}

} // namespace

void RunnerTrust::recordResult(const RunnerIncarnation& incarnation, const std::string& pool,
    const TaskName& step, bool hasFailed, Millis now)
{
    auto& assessment = m_runners[incarnation];
    assessment.pool = pool;
    assessment.record.worker = incarnation.runner;
    assessment.failuresInARow = hasFailed ? assessment.failuresInARow + 1 : 0;
    JobAttempt attempt;
    attempt.job = step.job.text() + "." + std::to_string(step.step);
    attempt.failed = hasFailed;
    attempt.ended = now;
    auto& attempts = assessment.record.attempts;
    bool isKnown = std::any_of(attempts.begin(), attempts.end(),
        [&](const JobAttempt& known) { return known.job == attempt.job && known.failed; });
    // A step that always fails does so with all of its tasks, which often run concurrently.
    if (hasFailed && isKnown)
        return;
    attempts.push_back(hasFailed ? withResultsElsewhere(attempt, incarnation) : attempt);
    if (attempts.size() > maxAttempts)
        attempts.erase(attempts.begin());
    if (hasFailed || assessment.record.trust != WorkerTrust::Trusted)
        assess(incarnation, assessment, now);
}

JobAttempt RunnerTrust::withResultsElsewhere(JobAttempt attempt, const RunnerIncarnation& incarnation) const
{
    for (const auto& [other, assessment] : m_runners) {
        if (other == incarnation)
            continue;
        for (const auto& known : assessment.record.attempts) {
            if (known.job == attempt.job)
                ++(known.failed ? attempt.failedElsewhere : attempt.succeededElsewhere);
        }
    }
    return attempt;
}

void RunnerTrust::refresh(Millis now)
{
    for (auto it = m_runners.begin(); it != m_runners.end();) {
        bool isOld = now >= it->second.assessedAt + recordRetention;
        if (!isOld && it->second.record.trust != WorkerTrust::Trusted)
            assess(it->first, it->second, now);
        it = isOld ? m_runners.erase(it) : std::next(it);
    }
}

int RunnerTrust::quarantinedIn(const std::string& pool) const
{
    return static_cast<int>(std::count_if(m_runners.begin(), m_runners.end(), [&](const auto& entry) {
        return entry.second.pool == pool && entry.second.record.trust == WorkerTrust::Quarantined;
    }));
}

void RunnerTrust::assess(const RunnerIncarnation& incarnation, Assessment& assessment, Millis now)
{
    auto& record = assessment.record;
    assessment.assessedAt = now;
    record.poolQuarantined = quarantinedIn(assessment.pool);
    record.poolWorkers = static_cast<int>(std::count_if(m_runners.begin(), m_runners.end(),
        [&](const auto& entry) { return entry.second.pool == assessment.pool; }));
    auto decision = assessWorker(record, now, settings());
    if (decision.action == HealthAction::Keep)
        return;
    record.since = now;
    assessment.failuresInARow = 0;
    if (decision.action == HealthAction::Quarantine) {
        // A failed probation doubles the duration of the next quarantine.
        record.quarantines += record.trust == WorkerTrust::Probation ? 1 : 0;
        record.trust = WorkerTrust::Quarantined;
    } else {
        bool isReleased = decision.action == HealthAction::Release;
        record.trust = isReleased ? WorkerTrust::Trusted : WorkerTrust::Probation;
    }
    Event("runner-trust")
        .with("runner", incarnation.runner)
        .with("born", incarnation.startTime)
        .with("pool", assessment.pool)
        .with("decision", actionName(decision.action))
        .with("reason", decision.reason)
        .writeAlways();
}

WorkerTrust RunnerTrust::trust(const RunnerIncarnation& incarnation) const
{
    auto found = m_runners.find(incarnation);
    return found == m_runners.end() ? WorkerTrust::Trusted : found->second.record.trust;
}

Millis RunnerTrust::since(const RunnerIncarnation& incarnation) const
{
    auto found = m_runners.find(incarnation);
    return found == m_runners.end() ? Millis {} : found->second.record.since;
}

std::uint32_t RunnerTrust::failuresInARow(const RunnerIncarnation& incarnation) const
{
    auto found = m_runners.find(incarnation);
    return found == m_runners.end() ? 0 : found->second.failuresInARow;
}

} // namespace celeryline
